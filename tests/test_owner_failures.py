"""Owners that fail or lose their shard, and what becomes of shard and submissions."""

from types import SimpleNamespace

import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.instance import Instance
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.keys import owner_key, tenure_key
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.submissions import Submissions
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.service import SubmitResult
from apricotgap.metrics import Metrics
from apricotgap.platform.store import Conflict, StoreError, Unavailable, Unknown
from tests.election_harness import run as run_election
from tests.jobs_harness import SERVICE, Rig, job


def test_owner_that_fails_resigns():
    """Guards against a shard that stays with an instance in which it fails: the
    resignation is cancelled together with the owner.
    """

    async def check(rig):
        instance = object.__new__(Instance)
        instance._election = rig.election
        instance._metrics = SimpleNamespace(count=lambda name: None)
        instance._log = SimpleNamespace(exception=lambda *args, **fields: None)

        async def fail():
            await trio.sleep(1)
            raise RuntimeError("unexpected")

        async def run_shard(ownership):
            await instance._run_isolated(ownership, fail)

        rig.election._run_shard = run_shard
        removed = set()
        write = rig.store.write

        async def record(writes):
            # A call to the store takes a while.
            await trio.sleep(0.005)
            removed.update(each.key for each in writes if each.value is None)
            return await write(writes)

        rig.store.write = record
        await rig.advance(1_500)
        assert owner_key("s1") in removed

    run_election(check)


def test_lease_is_not_revoked_while_the_key_of_a_failed_owner_is_there():
    """Guards against a second run: the owner of a shard has failed, its instance stops,
    and the end of its lease removes the owner key but not the mark, as if the lease had
    expired.
    """

    async def check(rig):
        owned = {}

        async def run_shard(ownership):
            owned[ownership.shard] = ownership
            await trio.sleep_forever()

        rig.election._run_shard = run_shard
        await rig.advance(500)
        rig.election.step_down(owned["s1"], "it failed")
        writes = rig.record_writes()
        await rig.election.leave()
        removed = {each.key for txn in writes for each in txn if each.value is None}
        assert tenure_key("s1") in removed or "revoked" not in rig.lease.ended

    run_election(check)


def test_submission_with_an_unknown_write_is_not_refused_when_ownership_is_lost():
    """Guards against a job that runs although its caller was told that it never will:
    its first write got no answer, the next one shows another owner, and then the store
    fails.
    """

    class Store:
        is_down = False

        def __init__(self):
            self.outcomes = [Unknown("timeout"), Conflict(())]

        async def write(self, writes, timeout_ms=0):
            return self.outcomes.pop(0) if self.outcomes else Unavailable("busy")

        async def read_key(self, key, timeout_ms=0):
            raise StoreError("busy")

    async def main():
        rig = Rig().ready()
        store, clock = Store(), TrioClock()
        submissions = Submissions(
            rig.shard,
            Ownership(SERVICE, 1, 5, 1, 6_500),
            store,
            Demand(rig.shard),
            rig.scheduler.service_order,
            clock,
            Metrics("me"),
            lambda job: None,
        )
        ready = trio.Event()
        ready.set()
        owner = SimpleNamespace(submit=submissions.submit, ready=ready)
        view = SimpleNamespace(
            owner=lambda service: None,
            members=lambda: (),
            shard_item=lambda service: None,
            refusal=lambda service: None,
        )
        router = JobRouter("me", {SERVICE: owner}, view, store, None, clock)
        outcome = await router.submit(job(), clock.now_ms + 3_000)
        assert outcome.result is SubmitResult.UNKNOWN

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
