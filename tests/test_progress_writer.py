"""Saves of a shard's progress with a slow store and after a takeover."""

import pytest
import trio
import trio.testing

from apricotgap.instance.keys import job_key, owner_key, progress_key
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.progress_writer import (
    REJECTED_RETRY_S,
    URGENT_SAVE_DELAY_S,
    ProgressWriter,
)
from apricotgap.instance.shard_loader import add_found_jobs
from apricotgap.jobs.documents import decode_progress, encode_job
from apricotgap.jobs.model import JobPhase
from apricotgap.platform.store import Conflict, Item, Stored
from tests.conditional_store import ConditionalStore, LateStore
from tests.jobs_harness import SERVICE, Rig, ended, job

WRITE_S = 0.25


class SlowStore:
    """Answers each write after `WRITE_S` seconds."""

    def __init__(self):
        self.n_writes = 0
        self.is_taken_over = False

    async def write(self, writes):
        await trio.sleep(WRITE_S)
        self.n_writes += 1
        if self.is_taken_over:
            return Conflict(())
        return Stored(100 + self.n_writes)


def run(check, store_type=SlowStore):
    async def main():
        rig = Rig().ready()
        store = store_type()
        ownership = Ownership(SERVICE, 1, 5, 1, 6_500)
        assert owner_key(SERVICE) == ownership.condition.key
        await check(rig, store, ProgressWriter(rig.shard, ownership, store))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def cancel_jobs(rig, n_jobs):
    for n in range(n_jobs):
        rig.submit(job(f"{n:016x}"))
        rig.shard.cancel(f"{n:016x}", 0, rig.now)


def test_documents_are_saved_in_concurrent_transactions():
    """Guards against starts that wait for sequential writes to a slow store."""

    async def check(rig, store, writer):
        cancel_jobs(rig, 60)
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            writer.wake()
            await writer.saved.wait()
            nursery.cancel_scope.cancel()
        assert trio.current_time() - started_s < 2 * WRITE_S
        assert store.n_writes == 4
        assert not rig.shard.has_unsaved

    run(check)


def test_writer_fails_after_a_takeover():
    """Guards against a replaced owner that runs on."""

    async def check(rig, store, writer):
        cancel_jobs(rig, 60)
        store.is_taken_over = True
        writer.wake()
        with pytest.raises(ExceptionGroup) as caught, trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
        _, others = caught.value.split(OwnershipLostError)
        assert others is None

    run(check)


@pytest.mark.parametrize("ends_by", ["handover", "takeover"])
def test_wait_for_a_save_ends_with_the_owner(ends_by):
    """Guards against a cancellation that waits for its deadline beside a handover: the
    owner has given up its shard and stores nothing more.
    """

    async def check(rig, store, writer):
        cancel_jobs(rig, 1)
        store.is_taken_over = ends_by == "takeover"

        async def wait():
            with pytest.raises(OwnershipLostError), trio.fail_after(2 * WRITE_S):
                await writer.wait_for_phase(rig.shard.jobs[f"{0:016x}"])

        async def own(task_status):
            with trio.CancelScope() as scope:
                task_status.started(scope)
                try:
                    await writer.run()
                except* OwnershipLostError:
                    assert ends_by == "takeover"

        async with trio.open_nursery() as nursery:
            scope = await nursery.start(own)
            nursery.start_soon(wait)
            writer.wake()
            if ends_by == "handover":
                await trio.sleep(WRITE_S / 2)
                scope.cancel()
        # A caller that comes later does not wait either.
        await wait()

    run(check)


def test_wait_for_a_save_ends_with_the_save():
    """Guards against a cancellation that is stored and not confirmed."""

    async def check(rig, store, writer):
        cancel_jobs(rig, 1)
        state = rig.shard.jobs[f"{0:016x}"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            writer.wake()
            with trio.fail_after(2 * WRITE_S):
                await writer.wait_for_phase(state)
            assert state.saved_phase is JobPhase.CANCELLED
            nursery.cancel_scope.cancel()

    run(check)


def test_write_that_takes_effect_late_does_not_undo_a_later_one():
    """Guards against a job that is shown as running for good, or runs again: a write
    whose answer was lost takes effect after the one that stored its end.
    """

    async def check(rig, store, writer):
        state = rig.shard.submit(job())
        rig.shard.request_first_save(state)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            writer.wake()
            await trio.sleep(2 * URGENT_SAVE_DELAY_S)
            rig.shard.cancel(job().job_id, 0, rig.now)
            writer.wake()
            await writer.wait_for_phase(state)
            nursery.cancel_scope.cancel()
        document = store.values[progress_key(SERVICE, job().job_id)]
        assert decode_progress(job().job_id, document).phase is JobPhase.CANCELLED

    run(check, LateStore)


class TestDocumentThatFails:
    """One document that can't be written, among those of other jobs."""

    BAD = f"{7:016x}"

    def play(self, damage, span_s=2.0):
        """Save 30 cancelled jobs and an end after damage to the store of one job."""

        async def check(rig, store, writer):
            for n in range(30):
                key = progress_key(SERVICE, f"{n:016x}")
                store.revisions[key] = 1
            damage(store, progress_key(SERVICE, self.BAD))
            cancel_jobs(rig, 30)
            rig.submit(job("e" * 16))
            store.revisions[progress_key(SERVICE, "e" * 16)] = 1
            start = rig.schedule()[0]
            rig.poll(ends=[ended(1, start)])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                writer.wake()
                await trio.sleep(span_s)
                nursery.cancel_scope.cancel()
            self.rig, self.store, self.writer = rig, store, writer

        run(check, ConditionalStore)

    def unsaved(self):
        """Return the jobs whose end is not stored."""
        jobs = self.rig.shard.jobs.values()
        return [
            state.spec.job_id
            for state in jobs
            if state.is_final and state.saved_phase is not JobPhase.CANCELLED
        ]

    def test_document_that_is_gone_is_written_anew(self):
        """Guards against ends that are never acknowledged, and jobs that never start,
        since the stored document of another job no longer exists.
        """
        self.play(lambda store, key: store.revisions.pop(key))
        assert self.unsaved() == []
        assert self.rig.shard.workers["w1"].acknowledged == 1

    def test_document_that_has_changed_is_written_over(self):
        """Guards against saves that fail for good on a revision that has changed."""
        self.play(lambda store, key: store.revisions.update({key: 42}))
        assert self.unsaved() == []
        assert self.rig.shard.workers["w1"].acknowledged == 1

    def test_rejected_document_holds_up_no_other(self):
        """Guards against a shard that stands still since the store rejects the document
        of one job.
        """
        self.play(lambda store, key: store.rejected.add(key))
        assert self.unsaved() == [self.BAD]
        assert self.rig.shard.workers["w1"].acknowledged == 1

    def test_rejected_document_is_written_later(self):
        """Guards against a job whose end is never stored, and a loop of writes."""
        self.play(lambda store, key: store.rejected.add(key), 3 * REJECTED_RETRY_S)
        assert self.store.n_writes < 40

        async def check(rig, store, writer):
            rig.submit(job(self.BAD))
            rig.shard.cancel(self.BAD, 0, rig.now)
            key = progress_key(SERVICE, self.BAD)
            store.revisions[key] = 1
            store.rejected.add(key)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                writer.wake()
                await trio.sleep(1)
                store.rejected.clear()
                await trio.sleep(REJECTED_RETRY_S)
                nursery.cancel_scope.cancel()
            assert not rig.shard.has_unsaved
            assert rig.shard.jobs[self.BAD].saved_phase is JobPhase.CANCELLED

        run(check, ConditionalStore)

    def test_job_that_is_found_late_starts_although_its_document_exists(self):
        """Guards against an accepted job that never starts: the answer to the write of
        it and its first progress was lost, and it was found in the store.
        """

        async def check(rig, store, writer):
            store.revisions[progress_key(SERVICE, self.BAD)] = 42
            add_found_jobs(
                rig.shard,
                [Item(job_key(SERVICE, self.BAD), encode_job(job(self.BAD)), 42)],
            )
            assert rig.schedule() == []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                writer.wake()
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            assert len(rig.schedule()) == 2

        run(check, ConditionalStore)
