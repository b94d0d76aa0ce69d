"""Autoscaling demand: the number of workers that a shard needs."""

from collections import deque
from math import ceil

from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.shard import Shard

__all__ = ["Demand"]

# The arrival rate is averaged over the long window, and also over the short one once
# that holds enough jobs, so that the start of a burst is detected at once.
RATE_WINDOW_MS = 1_400
SHORT_WINDOW_MS = 350
MIN_SHORT_JOBS = 10
# The demand is the maximum over this window, so that a pool does not shrink between
# two jobs.
SCALE_DOWN_DELAY_MS = 1_000
# A machine that is moved into the pool serves after this time; until then the backlog
# grows.
MOVE_IN_MS = 1_800
# The backlog should be cleared within this time, but a pool grows for it by at most
# this share of its current demand: a backlog is short-lived and machines expensive.
BACKLOG_CLEAR_MS = 2_000
MAX_BACKLOG_SHARE = 0.6
# Factor over the measured demand: tasks of different sizes do not pack tightly.
HEADROOM = 1.1
# Workers that a pool keeps without demand: they run the long-running tasks and absorb
# the start of a burst until more machines have been moved in.
MIN_WORKERS = 3


class Demand:
    """Estimates the demand of one shard from arriving, running and waiting work.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._arrivals: deque[tuple[int, float]] = deque()
        self._targets: deque[tuple[int, int]] = deque()
        self._excess_since_ms: int | None = None

    def record_job(self, spec: JobSpec, at_ms: int) -> None:
        """Add an accepted job to the arrival rate."""
        work = sum(
            step.n_tasks * step.allocation.core_equivalents * step.estimated_ms
            for step in spec.steps
            if not step.is_long_running
        )
        self._arrivals.append((at_ms, work))

    def wanted(self, at_ms: int) -> int:
        """Return the number of workers that the shard needs now."""
        worker_cores = max(
            (worker.total.core_equivalents for worker in self._shard.workers.values()),
            default=0.0,
        )
        if not worker_cores:
            return MIN_WORKERS
        cores = self._required_cores(at_ms)
        target = max(
            MIN_WORKERS, ceil(cores * HEADROOM / worker_cores), self._n_spread_workers()
        )
        self._targets.append((at_ms, target))
        while self._targets[0][0] < at_ms - SCALE_DOWN_DELAY_MS:
            self._targets.popleft()
        return max(target for _, target in self._targets)

    def _required_cores(self, at_ms: int) -> float:
        arriving = self._arrival_cores(at_ms)
        long_running = running = 0.0
        usable = 0.0
        for worker in self._shard.workers.values():
            if worker.is_usable(at_ms, self._shard.evacuated):
                usable += worker.total.core_equivalents
            for run in worker.runs.values():
                if run.step.is_long_running:
                    long_running += run.allocation.core_equivalents
                else:
                    running += run.allocation.core_equivalents
        backlog = self._backlog(at_ms)
        backlog += self._expected_backlog(arriving + long_running - usable, at_ms)
        present = long_running + max(arriving, running)
        return present + min(backlog / BACKLOG_CLEAR_MS, MAX_BACKLOG_SHARE * present)

    def _expected_backlog(self, excess: float, at_ms: int) -> float:
        """Return the backlog, in core-ms, until machines ordered now can serve."""
        if excess <= 0:
            self._excess_since_ms = None
            return 0.0
        if self._excess_since_ms is None:
            self._excess_since_ms = at_ms
        left_ms = self._excess_since_ms + MOVE_IN_MS - at_ms
        return excess * max(0, left_ms)

    def _n_spread_workers(self) -> int:
        """Return the workers that the tasks of a long-running step must spread over.

        Other steps with `max_per_worker` need no more workers for it: their tasks can
        run one after the other.
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
        """Return the cores that keep up with the recent arrival rate."""
        arrivals = self._arrivals
        while arrivals and arrivals[0][0] < at_ms - RATE_WINDOW_MS:
            arrivals.popleft()
        rate = sum(work for _, work in arrivals) / RATE_WINDOW_MS
        recent = [work for at, work in arrivals if at >= at_ms - SHORT_WINDOW_MS]
        if len(recent) >= MIN_SHORT_JOBS:
            rate = max(rate, sum(recent) / SHORT_WINDOW_MS)
        return rate

    def _backlog(self, at_ms: int) -> float:
        """Return the work that could start now, in core-ms."""
        unix_ms = self._shard.unix_of(at_ms)
        work = 0.0
        for job in self._shard.open_jobs.values():
            for key in job.open_steps(unix_ms):
                step = job.spec.steps[key[1]]
                if not step.is_long_running:
                    tasks_ms = len(job.waiting[key]) * step.estimated_ms
                    work += tasks_ms * step.allocation.core_equivalents
        return work
