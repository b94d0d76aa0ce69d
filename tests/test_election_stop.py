"""Claims in flight and leases of an instance that stops or loses its lease."""

import pytest
import trio
import trio.testing

from apricotgap.instance.election import (
    Election,
)
from apricotgap.instance.keys import (
    OWNERS_PREFIX,
    owner_key,
    tenure_key,
)
from apricotgap.instance.lease import InstanceLease
from apricotgap.platform.store import Item, Lease
from tests.election_harness import Rig, Store, run


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

    async def grant_lease(self, ttl_ms, timeout_ms):
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
