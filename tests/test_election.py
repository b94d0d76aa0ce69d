"""Election of shard owners: claims, handovers and reclaimed shards."""

import pytest
import trio
import trio.testing

from apricotgap.clock import FakeClock
from apricotgap.instance.cluster_view import FLEET_SHARD, ClusterView
from apricotgap.instance.election import (
    CLOSING_DELAY_MS,
    HANDOVER_DELAY_MS,
    RANK_DELAY_MS,
    RECLAIM_DELAY_MS,
    Election,
)
from apricotgap.instance.keys import (
    MEMBERS_PREFIX,
    OWNERS_PREFIX,
    SHARD_CLOSING,
    SHARD_OPEN,
    Member,
    Owner,
    encode_member,
    encode_owner,
    owner_key,
    shard_key,
    tenure_key,
)
from apricotgap.instance.lease import InstanceLease
from apricotgap.platform.store import Conflict, Item, Lease, Stored, Unavailable


class Store:
    """Applies every write at once and shows it in the cluster view."""

    def __init__(self):
        self.revision = 10
        self.cluster_view = None
        self.refuses_removals = False

    async def read_key(self, key):
        return Item(key, b"3", 5)

    async def write(self, writes):
        if self.refuses_removals and any(
            write.value is None and not write.check_only for write in writes
        ):
            return Unavailable("busy")
        self.revision += 1
        for write in writes:
            if write.check_only:
                continue
            item = Item(write.key, write.value, self.revision)
            self.cluster_view.apply(item)
        return Stored(self.revision)


class EndlessLease:
    """A lease that never expires."""

    lease_id = 1
    ttl_ms = 3_000
    valid_until_ms = 1_000_000
    is_valid = True
    current = Lease(1)

    def __init__(self):
        self.ended = []

    async def revoke(self):
        self.ended.append("revoked")

    def abandon(self):
        self.ended.append("abandoned")
        return 1


class TwoShardView(ClusterView):
    """A cluster view with two shards that watches no store."""

    offered = ("s1", "s2")

    def shards(self):
        return self.offered


class Rig:
    """One running instance; others exist only in the cluster view."""

    def __init__(self, speed_milli):
        self.clock = FakeClock(100_000)
        self.store = Store()
        self.cluster_view = TwoShardView(self.store, FakeClock())
        self.store.cluster_view = self.cluster_view
        self.me = Member("me", "i1", "10.0.0.1:1", "a", speed_milli)
        self.running = []
        self.lease = EndlessLease()
        self.settled = {"s1", "s2"}
        self.election = Election(
            self.me,
            self.store,
            self.lease,
            self.cluster_view,
            self.clock,
            self._run_shard,
            lambda shard: shard in self.settled,
        )

    async def _run_shard(self, ownership):
        self.running.append(ownership.shard)
        await trio.sleep_forever()

    def record_writes(self):
        """Return a list that gets the writes of each transaction from now on."""
        writes = []
        write = self.store.write

        async def record(transaction):
            writes.append(transaction)
            return await write(transaction)

        self.store.write = record
        return writes

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


def test_shard_whose_key_is_gone_unseen_is_claimed_after_a_conflict():
    """Guards against a shard that waits for a watch: a conflict shows no key that does
    not exist, and the view still has the key of an earlier process.
    """

    async def check(rig):
        owner = encode_owner(Owner("me", "i0", "10.0.0.1:1", 1))
        rig.cluster_view.apply(Item(owner_key("s1"), owner, 2))
        write = rig.store.write

        async def write_if_absent(writes):
            if any(
                each.key == owner_key("s1") and each.expected_revision
                for each in writes
            ):
                return Conflict(())
            return await write(writes)

        rig.store.write = write_if_absent
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


def test_claim_says_that_the_shard_may_have_jobs():
    """Guards against jobs without a next owner once their route has left."""

    async def check(rig):
        await rig.advance(1_000)
        assert {rig.cluster_view.shard_item(s).value for s in ("s1", "s2")} == {b"open"}

    run(check)


@pytest.mark.parametrize("is_closing, n_claimed", [(True, 1), (False, 2)])
def test_shard_that_is_given_up_is_left_until_its_key_is_removed(is_closing, n_claimed):
    """Guards against a claim that keeps an unused shard alive, again and again."""

    async def check(rig):
        value = SHARD_CLOSING if is_closing else SHARD_OPEN
        rig.cluster_view.apply(Item(shard_key("s1"), value, 5))
        await rig.advance(CLOSING_DELAY_MS - 500)
        assert len(rig.running) == n_claimed
        await rig.advance(1_000)
        assert len(rig.running) == 2

    run(check)


def test_shard_of_an_earlier_build_is_marked_by_another_instance():
    """Guards against jobs that an upgrade loses with the route of their service."""

    async def check(rig):
        rig.add("old", 1_000, "s1", FLEET_SHARD)
        await rig.advance(3 * RANK_DELAY_MS)
        assert rig.cluster_view.owner("s1").name == "old"
        assert rig.cluster_view.shard_item("s1").value == b"open"
        assert rig.cluster_view.shard_item(FLEET_SHARD) is None

    run(check)


def test_shard_that_returns_is_left_to_a_fast_instance_once_more():
    """Guards against all instances that claim a returning service at one moment."""

    async def check(rig):
        rig.add("fast", 2_150)
        await rig.advance(RANK_DELAY_MS // 2)
        rig.cluster_view.offered = ()
        await rig.advance(4 * RANK_DELAY_MS)
        rig.cluster_view.offered = ("s1",)
        await rig.advance(RANK_DELAY_MS // 2)
        assert rig.running == []
        await rig.advance(4 * RANK_DELAY_MS)
        assert rig.running == ["s1"]

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


def test_shard_whose_earlier_workers_are_unknown_is_not_handed_over():
    """Guards against tasks that wait for a lost worker again and again: each new owner
    begins to wait anew.
    """

    async def check(rig):
        rig.settled = set()
        await rig.advance(500)
        rig.add("fast", 2_150)
        await rig.advance(HANDOVER_DELAY_MS + 1_000)
        assert rig.election.n_owned == 2
        rig.settled = {"s2"}
        await rig.advance(200)
        assert rig.cluster_view.owner("s2") is None

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


class SlowStore(Store):
    """Reads of epochs last until `read_ends` is set; leases end when a test says so."""

    def __init__(self):
        super().__init__()
        self.read_ends = trio.Event()
        self.reading = trio.Event()
        self.writes = []
        self.has_lease_ended = False
        self.grants = trio.Event()
        self.n_leases = 0

    async def read_key(self, key):
        self.reading.set()
        await self.read_ends.wait()
        return await super().read_key(key)

    async def write(self, writes):
        self.writes += writes
        return await super().write(writes)

    async def grant_lease(self, ttl_ms):
        if self.has_lease_ended:
            await self.grants.wait()
        self.n_leases += 1
        return self.n_leases, ttl_ms

    async def renew_lease(self, lease, timeout_ms):
        return not self.has_lease_ended

    async def revoke_lease(self, lease):
        self.has_lease_ended = True

    @property
    def claims_without_a_lease(self):
        """Owner keys that were written and that no lease would ever remove."""
        return [
            write.key
            for write in self.writes
            if write.key.startswith(OWNERS_PREFIX) and write.value and not write.lease
        ]


class LeasedRig(Rig):
    """An instance whose claims take as long as a test wants them to."""

    def __init__(self):
        super().__init__(1_000)
        self.store = SlowStore()
        self.store.cluster_view = self.cluster_view
        self.lease = InstanceLease(self.store, self.clock, 1_000)
        self.election = Election(
            self.me,
            self.store,
            self.lease,
            self.cluster_view,
            self.clock,
            self._run_shard,
            lambda shard: True,
        )


def run_claiming(check):
    """Run a check from the moment on in which a claim has begun."""

    async def main():
        rig = LeasedRig()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.lease.run)
            nursery.start_soon(rig.election.run)
            await rig.store.reading.wait()
            await check(rig)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_claim_in_flight_is_dropped_when_the_instance_stops():
    """Guards against an owner key without a lease, which keeps its shard from all
    other instances after this one has left.
    """

    async def check(rig):
        rig.election.is_draining = True
        await rig.lease.revoke()
        rig.store.read_ends.set()
        await rig.advance(2_000)
        assert rig.store.claims_without_a_lease == []
        assert rig.running == []

    run_claiming(check)


def test_claim_in_flight_is_dropped_when_the_lease_has_ended():
    """Guards against an owner key without a lease while the next one is requested."""

    async def check(rig):
        rig.store.has_lease_ended = True
        await rig.advance(1_000)
        rig.store.read_ends.set()
        await rig.advance(1_000)
        assert rig.store.claims_without_a_lease == []
        assert rig.running == []
        rig.store.has_lease_ended = False
        rig.store.grants.set()
        await rig.advance(2_000)
        assert sorted(rig.running) == ["s1", "s2"]

    run_claiming(check)


def test_draining_instance_claims_no_further_shard():
    """Guards against shards that a stopping instance takes from those that stay."""

    async def check(rig):
        rig.election.is_draining = True
        rig.store.read_ends.set()
        await rig.advance(2_000)
        assert rig.running == []
        assert [
            w.key for w in rig.store.writes if w.key.startswith(OWNERS_PREFIX)
        ] == []

    run_claiming(check)


def test_lease_of_a_write_names_a_lease():
    """Guards against a key that the store takes as one without a lease."""
    with pytest.raises(ValueError, match="not the id of a lease"):
        Lease(0)


def test_shard_claimed_as_the_lease_ends_is_not_run():
    """Guards against an owner that begins its work after it gave its lease back."""

    async def check(rig):
        async def write(writes):
            outcome = await SlowStore.write(rig.store, writes)
            if any(write.key.startswith(OWNERS_PREFIX) for write in writes):
                await rig.lease.revoke()
            return outcome

        rig.store.write = write
        rig.store.read_ends.set()
        await rig.advance(1_000)
        assert rig.running == []

    run_claiming(check)


def test_shard_that_is_given_up_loses_the_mark_of_its_tenure():
    """Guards against a successor that takes a key that was removed for one that went
    with its lease, and then does not wait for leases that were given just before.
    """

    async def check(rig):
        await rig.advance(500)
        writes = rig.record_writes()
        ownership = rig.election._ownerships["s1"][0]
        await rig.election.resign(ownership, "test")
        assert {write.key for write in writes[-1] if write.value is None} == {
            owner_key("s1"),
            tenure_key("s1"),
        }

    run(check)


def test_lease_with_a_shard_that_could_not_be_given_up_is_not_revoked():
    """Guards against an owner key that is removed with its lease while the mark of the
    tenure stays.
    """

    async def check(rig):
        await rig.advance(500)
        rig.store.refuses_removals = True
        await rig.election.leave()
        assert rig.lease.ended == ["abandoned"]

    run(check)


def test_lease_under_which_a_shard_is_being_claimed_is_not_revoked():
    """Guards against a second run: the owner key goes before its lease would have
    ended, and the mark that came with it says that earlier leases have ended by then.
    """

    async def check(rig):
        is_sent, may_answer = trio.Event(), trio.Event()
        write = rig.store.write

        async def write_slowly(writes):
            outcome = await write(writes)
            if any(each.key == owner_key("s1") for each in writes):
                is_sent.set()
                await may_answer.wait()
            return outcome

        rig.store.write = write_slowly
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.advance, 500)
            await is_sent.wait()
            # The view of this instance does not show the key yet.
            rig.cluster_view.apply(Item(owner_key("s1"), None, rig.store.revision))
            nursery.start_soon(rig.election.leave)
            await trio.sleep(0.01)
            may_answer.set()
        assert rig.lease.ended == ["abandoned"]

    run(check)


def test_instance_that_stops_gives_up_its_shards_and_its_lease():
    """Guards against shards that wait until the lease of a stopped instance ends."""

    async def check(rig):
        await rig.advance(500)
        await rig.election.leave()
        assert rig.election.n_owned == 0
        assert rig.cluster_view.owner("s1") is None
        assert rig.lease.ended == ["revoked"]

    run(check)


def test_service_that_has_left_has_a_shard_as_long_as_it_has_an_owner():
    """Guards against a part of a team's limit that is given away under a running owner,
    or held for a service that nobody owns.
    """
    view = Rig(1_000).cluster_view
    assert view.has_shard("s1")
    assert not view.has_shard("left")
    owner = encode_owner(Owner("other", "i1", "10.0.0.2:1", 1))
    view.apply(Item(owner_key("left"), owner, 2))
    assert view.has_shard("left")
    view.apply(Item(owner_key("left"), None, 3))
    assert not view.has_shard("left")


def test_all_services_have_a_shard_before_the_first_configuration():
    """Guards against rows of a split that are void since nothing is known yet."""
    view = ClusterView(Store(), FakeClock())
    assert view.has_shard("s1")


def test_lease_is_not_revoked_beside_the_loss_of_another_shard():
    """Guards against an owner key that is removed with its lease while the mark of the
    tenure stays: the key of one shard is left from a failure, and that of another one,
    which still runs, is gone already.
    """

    async def check(rig):
        await rig.advance(500)
        rig.store.refuses_removals = True
        await rig.election.resign(rig.election._ownerships["s1"][0], "a defect")
        rig.store.refuses_removals = False
        rig.cluster_view.apply(Item(owner_key("s2"), None, 50))
        await rig.election.leave()
        assert rig.lease.ended == ["abandoned"]

    run(check)
