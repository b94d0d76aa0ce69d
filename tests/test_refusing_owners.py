"""Jobs at instances that get no answer from an owner that refuses jobs."""

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.direct_submissions import DirectSubmissions
from apricotgap.instance.keys import (
    Owner,
    Refusal,
    encode_owner,
    encode_refusal,
    index_key,
    owner_key,
    refusal_key,
)
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.refusal_mark import HOLD_MS, RefusalMark
from apricotgap.jobs.documents import encode_job
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.service import SubmitResult
from apricotgap.platform.store import Conflict, Item, Snapshot, Stored, StoreError
from tests.jobs_harness import SERVICE, job

EPOCH = 4
REFUSAL = Refusal(EPOCH, 5_000, 1)
LASTING = (StepSpec(1, Resources(1_000, 100), is_long_running=True),)


class Store:
    """Records what is written; holds the ids of jobs that were stored before."""

    is_down = False

    def __init__(self):
        self.written = []
        self.stored_ids = set()
        self.outcome = Stored(9)
        self.is_unreadable = False

    async def write(self, writes, timeout_ms=0):
        if isinstance(self.outcome, Stored):
            self.written += [each for each in writes if not each.check_only]
        return self.outcome

    async def read_key(self, key, timeout_ms=0):
        if self.is_unreadable:
            raise StoreError("timeout")
        is_known = key in self.stored_ids
        return Item(key, SERVICE.encode() if is_known else None, 3 * is_known)


def submit(spec, store, refusal=REFUSAL, epoch=EPOCH):
    """Submit a job at an instance that gets no answer from the owner."""
    clock = TrioClock()
    view = ClusterView(store, clock)
    items = [Item(owner_key(SERVICE), encode_owner(Owner("o", "i", "a:1", epoch)), 5)]
    if refusal is not None:
        items.append(Item(refusal_key(SERVICE), encode_refusal(refusal), 6))
    view.system_mirror.replace(Snapshot(tuple(items), 7))

    async def main():
        deadline_ms = clock.now_ms + 1_000
        return await DirectSubmissions(view, store, clock).submit(
            spec, encode_job(spec), deadline_ms
        )

    return trio.run(main)


def test_no_job_is_stored_past_an_owner_that_refuses_it():
    """Guards against jobs that are accepted by the store and wait beside free workers,
    since their owner is too busy to answer.
    """
    store = Store()
    outcome = submit(job(priority=1), store)
    assert outcome.result is SubmitResult.REFUSED
    assert outcome.retry_after_ms == REFUSAL.retry_after_ms
    assert outcome.reason
    assert store.written == []


@pytest.mark.parametrize(
    "spec", [job(priority=0), job(priority=2, steps=LASTING)], ids=["urgent", "lasting"]
)
def test_other_jobs_are_stored_beside_refused_ones(spec):
    """Guards against urgent and long-running jobs that are refused with the others."""
    assert submit(spec, Store()).result is SubmitResult.ACCEPTED


def test_job_that_is_stored_already_is_not_refused():
    """Guards against an answer "not run" for a job that runs."""
    store = Store()
    spec = job(priority=1)
    store.stored_ids.add(index_key(spec.job_id))
    assert submit(spec, store).result is SubmitResult.ACCEPTED
    store.is_unreadable = True
    assert submit(spec, store).result is SubmitResult.UNKNOWN


def test_refusal_of_an_earlier_owner_does_not_count():
    """Guards against jobs that are refused after a takeover by an idle owner."""
    spec = job(priority=1)
    assert submit(spec, Store(), epoch=EPOCH + 1).result is SubmitResult.ACCEPTED
    assert submit(spec, Store(), refusal=None).result is SubmitResult.ACCEPTED


def run_mark(check):
    async def main():
        store, clock = Store(), TrioClock()
        mark = RefusalMark(Ownership(SERVICE, EPOCH, 5, 77, 0), store, clock)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(mark.run)
            await check(store, mark)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_mark_follows_the_refusals_of_the_owner():
    """Guards against a mark that outlasts the shortage, and many writes for one."""

    async def check(store, mark):
        for _ in range(40):
            mark.record_refusal(2, 4_000)
            await trio.sleep(0.1)
        mark.record_refusal(1, 4_000)
        await trio.sleep(1)
        values = [write.value for write in store.written]
        assert values == [
            encode_refusal(Refusal(EPOCH, 4_000, priority)) for priority in (2, 1)
        ]
        assert all(write.lease.lease_id == 77 for write in store.written)
        await trio.sleep(HOLD_MS / 1000 + 1)
        assert store.written[-1].value is None
        assert len(store.written) == 3

    run_mark(check)


def test_mark_is_not_written_by_an_owner_that_was_replaced():
    """Guards against a mark of an earlier owner over that of the present one."""
    store, clock = Store(), TrioClock()
    store.outcome = Conflict((Item(owner_key(SERVICE), b"", 8),))
    mark = RefusalMark(Ownership(SERVICE, EPOCH, 5, 77, 0), store, clock)

    async def main():
        mark.record_refusal(1, 1_000)
        await mark.run()

    with pytest.raises(OwnershipLostError):
        trio.run(main)
