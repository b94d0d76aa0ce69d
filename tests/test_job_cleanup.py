"""Removal of ended jobs: not too early, and for good."""

from functools import partial

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.job_cleanup import CLEANUP_INTERVAL_S, JobCleanup
from apricotgap.instance.keys import job_key, jobs_prefix
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.shard_loader import add_found_jobs
from apricotgap.jobs.documents import Progress, encode_job
from apricotgap.jobs.limits import RETENTION_MARGIN_MS
from apricotgap.jobs.model import JobPhase
from apricotgap.platform.store import Item, Snapshot
from tests.conditional_store import ConditionalStore
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, Rig, job

RETENTION_MS = 120_000
# Largest error of a machine's wall clock.
CLOCK_ERROR_MS = 5_000
UNIX_MS = 1_000_000_000_000


def mirror_of(store, rig, clock):
    """Return the copy of the stored jobs from which the shard adds what it lacks."""
    on_change = partial(add_found_jobs, rig.shard)
    return PrefixMirror(store, jobs_prefix(SERVICE), clock, on_change, 1_000)


@pytest.mark.parametrize("ended_error_ms", [-CLOCK_ERROR_MS, 0, CLOCK_ERROR_MS])
@pytest.mark.parametrize("owner_error_ms", [-CLOCK_ERROR_MS, 0, CLOCK_ERROR_MS])
def test_job_is_kept_although_clocks_differ(ended_error_ms, owner_error_ms):
    """Guards against an accepted job that is denied before its time: it ended at an
    owner whose clock is behind that of the one which removes it.
    """

    async def main():
        rig = Rig()
        clock = TrioClock()
        ended_ms = clock.now_ms
        rig.shard.unix_offset_ms = UNIX_MS + owner_error_ms - ended_ms
        progress = Progress(JobPhase.SUCCEEDED, {}, UNIX_MS + ended_error_ms)
        rig.shard.load(job(), progress, 1)
        ownership = Ownership(SERVICE, 1, 5, 1, MAX_LEASE_MS)
        store = ConditionalStore()
        cleanup = JobCleanup(rig.shard, ownership, store, clock, RETENTION_MS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cleanup.run, mirror_of(store, rig, clock))
            await trio.sleep(RETENTION_MS / 1000)
            assert rig.shard.jobs
            await trio.sleep(2 * RETENTION_MARGIN_MS / 1000 + 2 * CLEANUP_INTERVAL_S)
            assert not rig.shard.jobs
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


class SlowReadStore(ConditionalStore):
    """Answers a read of all jobs late, with what was stored as it arrived."""

    READ_S = 2 * CLEANUP_INTERVAL_S

    def __init__(self, items):
        super().__init__()
        self.items = items

    async def read_prefix(self, prefix):
        at = self.at
        await trio.sleep(self.READ_S)
        return Snapshot(self.items, at)

    async def watch(self, prefix, after, wait_ms):
        await trio.sleep(wait_ms / 1000)
        return Snapshot((), after)


def test_removed_job_is_not_found_again_by_a_read_that_began_before():
    """Guards against an ended job that runs again: the store has dropped its history,
    and the owner removes the job while it reads all jobs anew.
    """

    async def main():
        rig = Rig()
        clock = TrioClock()
        now_ms = clock.now_ms
        rig.shard.unix_offset_ms = UNIX_MS - now_ms
        ended_ms = UNIX_MS - RETENTION_MS - 2 * RETENTION_MARGIN_MS
        rig.shard.load(job(), Progress(JobPhase.SUCCEEDED, {}, ended_ms), 1)
        key = job_key(SERVICE, job().job_id)
        store = SlowReadStore((Item(key, encode_job(job()), 50),))
        mirror = mirror_of(store, rig, clock)
        ownership = Ownership(SERVICE, 1, 5, 1, MAX_LEASE_MS)
        cleanup = JobCleanup(rig.shard, ownership, store, clock, RETENTION_MS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(mirror.run)
            nursery.start_soon(cleanup.run, mirror)
            await trio.sleep(CLEANUP_INTERVAL_S + 1)
            assert not rig.shard.jobs
            await mirror.loaded.wait()
            await trio.sleep(1)
            assert not rig.shard.open_jobs
            assert key not in mirror.items
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
