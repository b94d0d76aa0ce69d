"""How many workers a shard wants."""

from collections import deque
from math import ceil

from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.shard import Shard

__all__ = ["Demand"]

# Arriving work is averaged over the long span, and over the short one as well once
# that has seen enough jobs, so that the start of a burst shows at once.
RATE_WINDOW_MS = 1_400
SHORT_WINDOW_MS = 350
MIN_SHORT_JOBS = 10
# A want is kept for this long, so that a pool does not shrink between two jobs.
SCALE_DOWN_DELAY_MS = 1_000
# A machine that is moved in serves after this time; until then work piles up.
MOVE_IN_MS = 1_800
# Work that has piled up should be done within this time, but for it a pool grows by
# this share of its present need at most: a backlog is short-lived and machines dear.
BACKLOG_CLEAR_MS = 2_000
MAX_BACKLOG_SHARE = 0.6
# Room above the measured demand; tasks of uneven size do not pack tightly.
HEADROOM = 1.1
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
        self._excess_since_ms: int | None = None

    def record_job(self, spec: JobSpec, at_ms: int) -> None:
        """Take note of an accepted job."""
        work = sum(
            step.n_tasks * step.allocation.core_equivalents * step.estimated_ms
            for step in spec.steps
            if not step.is_long_running
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
        cores = self._required_cores(at_ms)
        want = max(
            MIN_WORKERS, ceil(cores * HEADROOM / worker_cores), self._n_spread_workers()
        )
        self._wants.append((at_ms, want))
        while self._wants[0][0] < at_ms - SCALE_DOWN_DELAY_MS:
            self._wants.popleft()
        return max(want for _, want in self._wants)

    def _required_cores(self, at_ms: int) -> float:
        arriving = self._arrival_cores(at_ms)
        lasting = running = 0.0
        usable = 0.0
        for worker in self._shard.workers.values():
            if worker.is_usable(at_ms, self._shard.evacuated):
                usable += worker.total.core_equivalents
            for run in worker.runs.values():
                if run.step.is_long_running:
                    lasting += run.allocation.core_equivalents
                else:
                    running += run.allocation.core_equivalents
        backlog = self._backlog(at_ms)
        backlog += self._expected_backlog(arriving + lasting - usable, at_ms)
        present = lasting + max(arriving, running)
        return present + min(backlog / BACKLOG_CLEAR_MS, MAX_BACKLOG_SHARE * present)

    def _expected_backlog(self, excess: float, at_ms: int) -> float:
        """Return the work that will wait before machines ordered now can serve."""
        if excess <= 0:
            self._excess_since_ms = None
            return 0.0
        if self._excess_since_ms is None:
            self._excess_since_ms = at_ms
        left_ms = self._excess_since_ms + MOVE_IN_MS - at_ms
        return excess * max(0, left_ms)

    def _n_spread_workers(self) -> int:
        """Return the workers over which the tasks of a lasting step are spread.

        Other tasks that must be apart can run one after the other.
        """
        return max(
            (
                ceil(step.n_tasks / step.max_per_worker)
                for job in self._shard.open_jobs.values()
                for step in job.spec.steps
                if step.is_long_running and step.max_per_worker
            ),
            default=0,
        )

    def _arrival_cores(self, at_ms: int) -> float:
        """Return the cores that new work takes, of the last moments."""
        arrivals = self._arrivals
        while arrivals and arrivals[0][0] < at_ms - RATE_WINDOW_MS:
            arrivals.popleft()
        rate = sum(work for _, work in arrivals) / RATE_WINDOW_MS
        recent = [work for at, work in arrivals if at >= at_ms - SHORT_WINDOW_MS]
        if len(recent) >= MIN_SHORT_JOBS:
            rate = max(rate, sum(recent) / SHORT_WINDOW_MS)
        return rate

    def _backlog(self, at_ms: int) -> float:
        """Return the work that could start now, in cores times milliseconds."""
        unix_ms = self._shard.unix_of(at_ms)
        work = 0.0
        for job in self._shard.open_jobs.values():
            for key in job.open_steps(unix_ms):
                step = job.spec.steps[key[1]]
                if not step.is_long_running:
                    tasks_ms = len(job.waiting[key]) * step.estimated_ms
                    work += tasks_ms * step.allocation.core_equivalents
        return work
