"""How many workers a shard wants."""

from collections import deque
from math import ceil

from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.shard import Shard

__all__ = ["Demand"]

# Arriving work is averaged over this span.
RATE_WINDOW_MS = 900
# A want is kept for this long, so that a pool does not shrink between two jobs.
HOLD_MS = 2_000
# Work that waits or runs should be done within this time.
CLEAR_MS = 1_500
# Room above the measured demand; tasks of uneven size do not pack tightly.
HEADROOM = 1.2
# Workers that a pool keeps without any demand: they carry the lasting tasks and the
# first moments of a burst, until others have been moved in.
MIN_WORKERS = 3


class Demand:
    """Trend of the work of one shard.

    Parameters
    ----------
    shard : Shard
        The state.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._arrivals: deque[tuple[int, float]] = deque()
        self._wants: deque[tuple[int, int]] = deque()

    def note_job(self, spec: JobSpec, at_ms: int) -> None:
        """Take note of an accepted job."""
        work = sum(
            step.n_tasks * step.room.core_equivalents * step.estimated_ms
            for step in spec.steps
            if not step.lasts
        )
        self._arrivals.append((at_ms, work))

    def wanted(self, at_ms: int) -> int:
        """Return the number of workers that the shard wants now."""
        worker_cores = max(
            (worker.total.core_equivalents for worker in self._shard.workers.values()),
            default=0.0,
        )
        if not worker_cores:
            return MIN_WORKERS
        want = max(MIN_WORKERS, ceil(self._cores(at_ms) * HEADROOM / worker_cores))
        self._wants.append((at_ms, want))
        while self._wants[0][0] < at_ms - HOLD_MS:
            self._wants.popleft()
        return max(want for _, want in self._wants)

    def _cores(self, at_ms: int) -> float:
        while self._arrivals and self._arrivals[0][0] < at_ms - RATE_WINDOW_MS:
            self._arrivals.popleft()
        arriving = sum(work for _, work in self._arrivals) / RATE_WINDOW_MS
        lasting = work = 0.0
        for worker in self._shard.workers.values():
            for run in worker.runs.values():
                cores = run.room.core_equivalents
                if run.step.lasts:
                    lasting += cores
                else:
                    work += cores * run.step.estimated_ms / 2
        unix_ms = self._shard.unix_of(at_ms)
        for job in self._shard.open_jobs.values():
            for key in job.open_steps(unix_ms):
                step = job.spec.steps[key[1]]
                tasks_ms = len(job.waiting[key]) * step.estimated_ms
                if not step.lasts:
                    work += tasks_ms * step.room.core_equivalents
        return lasting + max(arriving, work / CLEAR_MS)
