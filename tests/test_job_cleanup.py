"""Removal of ended jobs by an owner whose clock differs from that of the last one."""

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


def mirror_of(shard, clock):
    """Return a copy of the stored jobs that adds new ones to the shard."""

    def jobs_changed(items):
        add_found_jobs(shard, items)

    return PrefixMirror(None, jobs_prefix(SERVICE), clock, jobs_changed, 4_000)


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
        cleanup = JobCleanup(
            rig.shard, ownership, ConditionalStore(), clock, RETENTION_MS
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cleanup.run, mirror_of(rig.shard, clock))
            await trio.sleep(RETENTION_MS / 1000)
            assert rig.shard.jobs
            await trio.sleep(2 * RETENTION_MARGIN_MS / 1000 + 2 * CLEANUP_INTERVAL_S)
            assert not rig.shard.jobs
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_job_does_not_run_again_as_a_read_began_before_its_removal():
    """Guards against ended jobs that run again: the store has dropped its history, and
    the read of all jobs that follows meets their removal.
    """

    async def main():
        rig = Rig()
        clock = TrioClock()
        rig.shard.unix_offset_ms = UNIX_MS - clock.now_ms
        ended = Progress(JobPhase.SUCCEEDED, {}, UNIX_MS - 2 * RETENTION_MS)
        spec = job()
        rig.shard.load(spec, ended, 1)
        stored = mirror_of(rig.shard, clock)
        item = Item(job_key(SERVICE, spec.job_id), encode_job(spec), 7)
        read_before = Snapshot((item,), ConditionalStore().at)
        stored.replace(read_before)
        ownership = Ownership(SERVICE, 1, 5, 1, MAX_LEASE_MS)
        cleanup = JobCleanup(
            rig.shard, ownership, ConditionalStore(), clock, RETENTION_MS
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cleanup.run, stored)
            await trio.sleep(2 * CLEANUP_INTERVAL_S)
            nursery.cancel_scope.cancel()
        assert not rig.shard.jobs
        stored.replace(read_before)
        assert not rig.shard.jobs

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
