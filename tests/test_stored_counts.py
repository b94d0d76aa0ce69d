"""Counts of waiting jobs that are read from the store while their owner is slow."""

from contextlib import suppress
from functools import partial
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.keys import jobs_prefix
from apricotgap.instance.stored_jobs import MAX_COUNT_AGE_MS
from apricotgap.jobs.documents import encode_job
from apricotgap.jobs.service import UnreadableError
from apricotgap.platform.store import Item, Snapshot, StoreError
from tests.jobs_harness import SERVICE, job

READ_S = 0.4
# What callers accept.
MAX_ANSWER_AGE_S = 2.0


class Store:
    """A store whose reads of a prefix show what it held as they began."""

    is_down = False

    def __init__(self):
        self.jobs = 1
        self.n_reads = 0
        self.read_s = READ_S
        self.error = None

    async def read_prefix(self, prefix):
        if prefix != jobs_prefix(SERVICE):
            return Snapshot((), 5)
        self.n_reads += 1
        documents = [job(f"{n:016x}") for n in range(self.jobs)]
        await trio.sleep(self.read_s)
        if self.error is not None:
            raise self.error
        return Snapshot(
            tuple(Item(prefix + d.job_id, encode_job(d), 5) for d in documents), 5
        )


def run(check):
    """Run a check with a store and a router that reaches no owner."""

    async def main():
        store = Store()
        view = SimpleNamespace(
            owner=lambda service: None,
            members=lambda: (),
            former_services=lambda queue, service: (),
        )
        clock = TrioClock()
        router = JobRouter("me", {}, view, store, None, clock)

        async def count(queue="plans", wait_ms=3_000):
            return await router.n_pending(SERVICE, queue, clock.now_ms + wait_ms)

        await check(store, count)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_calls_for_one_service_share_a_read():
    """Guards against a link that is full of the jobs of one service, which each call
    reads again while its owner is slow.
    """

    async def check(store, count):
        store.jobs = 3
        answers = []

        async def call(queue):
            answers.append(await count(queue))

        async with trio.open_nursery() as nursery:
            for queue in ("plans", "other", "plans"):
                nursery.start_soon(call, queue)
                await trio.sleep(0.01)
        assert sorted(answers) == [0, 3, 3]
        assert await count() == 3
        assert store.n_reads == 1

    run(check)


@pytest.mark.parametrize("read_s", [0.1, READ_S, 1.9, 2.5])
def test_count_is_not_older_than_callers_accept(read_s):
    """Guards against a count that misses jobs accepted over 2 s before.

    A count of which the caller waited for the whole read is as old as that read.
    """

    async def check(store, count):
        store.read_s = read_s
        accepted_s = []

        async def call():
            called_s = trio.current_time()
            n_pending = await count(wait_ms=9_000)
            visible_s = trio.current_time() - MAX_ANSWER_AGE_S
            if read_s > MAX_ANSWER_AGE_S:
                visible_s = min(called_s, visible_s)
            assert n_pending >= sum(at_s < visible_s for at_s in accepted_s)

        async with trio.open_nursery() as nursery:
            for _ in range(80):
                accepted_s.append(trio.current_time())
                store.jobs = len(accepted_s)
                nursery.start_soon(call)
                await trio.sleep(0.15)

    run(check)


def test_reads_are_as_rare_as_callers_accept():
    """Guards against reads that follow each other although none is needed."""

    async def check(store, count):
        for _ in range(60):
            await count()
            await trio.sleep(0.1)
        assert store.n_reads <= 1 + 60 * 0.5 / (MAX_COUNT_AGE_MS / 1_000)

    run(check)


def test_failed_read_serves_no_later_call():
    """Guards against counts that stay unreadable when the store is back."""

    async def check(store, count):
        store.error = StoreError("timeout")
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(partial(fail, count))
        assert store.n_reads <= 2
        store.error = None
        assert await count() == 1

    async def fail(count):
        with pytest.raises(UnreadableError):
            await count(wait_ms=600)

    run(check)


def test_call_that_is_cancelled_does_not_end_the_others():
    """Guards against calls that wait for a read which nobody makes any more."""

    async def check(store, count):
        answers = []

        async def call():
            answers.append(await count())

        async with trio.open_nursery() as nursery:

            async def call_briefly():
                with trio.move_on_after(READ_S / 2):
                    await count()

            nursery.start_soon(call_briefly)
            await trio.sleep(0.01)
            nursery.start_soon(call)
        assert answers == [1]

    run(check)


def test_reads_that_take_long_leave_time_for_other_calls():
    """Guards against a link that is full for good, since each read takes longer than
    its result serves and the next one begins at once.
    """

    async def check(store, count):
        store.read_s = 2.5

        async def call():
            with suppress(UnreadableError):
                await count()

        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(call)
                await trio.sleep(0.1)
        assert store.n_reads * store.read_s <= 0.6 * 23

    run(check)
