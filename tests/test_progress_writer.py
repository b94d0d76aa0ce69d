"""Saves of a shard's progress with a slow store and after a takeover."""

import pytest
import trio
import trio.testing

from apricotgap.instance.keys import owner_key
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.progress_writer import ProgressWriter
from apricotgap.platform.store import Conflict, Stored
from tests.jobs_harness import SERVICE, Rig, job

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


def run(check):
    async def main():
        rig = Rig().ready()
        store = SlowStore()
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
