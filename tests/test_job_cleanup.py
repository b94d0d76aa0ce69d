"""Removal of ended jobs by an owner whose clock differs from that of the last one."""

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.job_cleanup import CLEANUP_INTERVAL_S, JobCleanup
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.documents import Progress
from apricotgap.jobs.limits import RETENTION_MARGIN_MS
from apricotgap.jobs.model import JobPhase
from tests.conditional_store import ConditionalStore
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, Rig, job

RETENTION_MS = 120_000
# Largest error of a machine's wall clock.
CLOCK_ERROR_MS = 5_000
UNIX_MS = 1_000_000_000_000


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
            nursery.start_soon(cleanup.run)
            await trio.sleep(RETENTION_MS / 1000)
            assert rig.shard.jobs
            await trio.sleep(2 * RETENTION_MARGIN_MS / 1000 + 2 * CLEANUP_INTERVAL_S)
            assert not rig.shard.jobs
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
