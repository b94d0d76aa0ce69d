"""A rig of one instance that takes part in the election of shard owners."""

import trio
import trio.testing

from apricotgap.clock import FakeClock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.election import (
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
from apricotgap.platform.store import Item, Lease, Stored, Unavailable


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
