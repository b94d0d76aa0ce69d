"""Election of shard owners: claims, handovers and reclaimed shards."""

import trio
import trio.testing

from apricotgap.clock import FakeClock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.election import (
    HANDOVER_DELAY_MS,
    RANK_DELAY_MS,
    RECLAIM_DELAY_MS,
    Election,
)
from apricotgap.instance.keys import (
    MEMBERS_PREFIX,
    Member,
    Owner,
    encode_member,
    encode_owner,
    owner_key,
)
from apricotgap.platform.store import Item, Stored, Unavailable


class Store:
    """Applies every write at once and shows it in the cluster view."""

    def __init__(self):
        self.revision = 10
        self.cluster_view = None
        self.refuses_removals = False

    async def read_key(self, key):
        return Item(key, b"3", 5)

    async def write(self, writes):
        if self.refuses_removals and any(write.value is None for write in writes):
            return Unavailable("busy")
        self.revision += 1
        for write in writes:
            item = Item(write.key, write.value, self.revision)
            self.cluster_view.apply(item)
        return Stored(self.revision)


class Lease:
    """A lease that never expires."""

    lease_id = 1
    is_valid = True


class TwoShardView(ClusterView):
    """A cluster view with two shards that watches no store."""

    def shards(self):
        return ("s1", "s2")


class Rig:
    """One running instance; others exist only in the cluster view."""

    def __init__(self, speed_milli):
        self.clock = FakeClock(100_000)
        self.store = Store()
        self.cluster_view = TwoShardView(self.store, FakeClock())
        self.store.cluster_view = self.cluster_view
        self.me = Member("me", "i1", "10.0.0.1:1", "a", speed_milli)
        self.running = []
        self.election = Election(
            self.me, self.store, Lease(), self.cluster_view, self.clock, self._run_shard
        )

    async def _run_shard(self, ownership):
        self.running.append(ownership.shard)
        await trio.sleep_forever()

    def add(self, name, speed_milli, *owned):
        member = Member(name, "i1", "10.0.0.2:1", "a", speed_milli)
        self.cluster_view.apply(Item(MEMBERS_PREFIX + name, encode_member(member), 1))
        for shard in owned:
            owner = Owner(name, "i1", "10.0.0.2:1", 1)
            self.cluster_view.apply(Item(owner_key(shard), encode_owner(owner), 2))

    async def advance(self, span_ms):
        for _ in range(span_ms // 100 + 1):
            self.clock.advance(100)
            await trio.sleep(0.1)


def run(check, speed_milli=1_000):
    async def main():
        rig = Rig(speed_milli)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.election.run)
            await check(rig)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_single_instance_claims_all_shards():
    """Guards against shards that no instance claims."""

    async def check(rig):
        await rig.advance(1_000)
        assert sorted(rig.running) == ["s1", "s2"]

    run(check)


def test_slow_instance_leaves_vacant_shards_to_a_fast_one():
    """Guards against a shard on an instance that is too slow for its load."""

    async def check(rig):
        rig.add("fast", 2_150)
        await rig.advance(RANK_DELAY_MS // 2)
        assert rig.running == []
        # The fast instance claimed none, so the slow one must.
        await rig.advance(4 * RANK_DELAY_MS)
        assert sorted(rig.running) == ["s1", "s2"]

    run(check, speed_milli=500)


def test_slow_owner_hands_a_shard_over_to_a_fast_instance_that_joins_later():
    """Guards against shards that stay on a slow instance."""

    async def check(rig):
        await rig.advance(500)
        assert rig.election.n_owned == 2
        rig.add("fast", 2_150)
        await rig.advance(HANDOVER_DELAY_MS + 200)
        assert rig.election.n_owned == 1

    run(check, speed_milli=500)


def test_shard_is_claimed_again_after_a_failed_resignation():
    """Guards against a shard that has an owner key but that no instance runs.

    The store refused to delete the key when the owner resigned.
    """

    async def check(rig):
        await rig.advance(500)
        ownership = rig.election._ownerships["s1"][0]
        rig.store.refuses_removals = True
        await rig.election.resign(ownership, "a defect")
        assert rig.election.n_owned == 1
        await rig.advance(RECLAIM_DELAY_MS + 300)
        assert rig.election.n_owned == 2
        assert rig.running.count("s1") == 2

    run(check)


def test_owner_keeps_its_shards_when_an_equal_instance_joins():
    """Guards against handovers that cost more than they gain."""

    async def check(rig):
        await rig.advance(500)
        rig.add("equal", 1_000)
        await rig.advance(3 * HANDOVER_DELAY_MS)
        assert rig.election.n_owned == 2

    run(check)
