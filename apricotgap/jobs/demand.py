"""Autoscaling demand: the number of workers that a shard needs."""

from collections import deque
from dataclasses import dataclass
from math import ceil

from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.gang_room import n_places
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import JobSpec, StepSpec
from apricotgap.jobs.shard import Shard

__all__ = ["Demand"]

# The arrival rate is averaged over this window, or since its first job if it holds
# enough of them for the start of a burst, but over no less than the shortest time.
RATE_WINDOW_MS = 1_400
MIN_BURST_JOBS = 4
MIN_BURST_MS = 350
# Number of jobs in the long window that shows a lasting rate.
MIN_RATE_JOBS = 3
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
# The backlog of jobs that can only end late should be cleared within this time.
LATE_CLEAR_MS = 3_000
# Factor over the measured demand: tasks of different sizes do not pack tightly.
HEADROOM = 1.1
# Workers that a pool keeps without demand: they run the long-running tasks and absorb
# the start of a burst until more machines have been moved in.
MIN_WORKERS = 2


@dataclass(frozen=True, slots=True)
class _Arrival:
    """Work of an accepted job in core-ms, and the cores of its widest step."""

    at_ms: int
    work: float
    width: float


class Demand:
    """Estimates the demand of one shard from arriving, running and waiting work.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._arrivals: deque[_Arrival] = deque()
        self._targets: deque[tuple[int, int]] = deque()
        self._excess_since_ms: int | None = None
        self._share: int | None = None
        # What the last report has asked for, and the one that the share responds to.
        self._reported: int | None = None
        self._decided: int | None = None

    def record_share(self, n_workers: int) -> None:
        """Set the number of workers that the fleet owner has planned for the pool.

        The plan responds to the last report.
        """
        self._share = n_workers
        self._decided = self._reported

    def planned_forecast(self, at_ms: int) -> CapacityForecast | None:
        """Return the capacity for finite jobs with the machines that are planned.

        They count from when they can be there. Machines that the pool wants since its
        last report are expected too, unless the pool got less than it asked for. None
        as long as the capacity is unknown after a takeover: workers of the previous
        owner have not answered, or the fleet owner has not told its plan.
        """
        present = self.forecast(at_ms)
        if present is None or self._share is None:
            return None
        n_workers = self._share
        if self._decided is None or self._share >= self._decided:
            n_workers = max(n_workers, self._wanted(at_ms))
        planned = n_workers * self._worker_cores() - self._running_cores(at_ms)[0]
        later = max(present.now_cores, planned)
        return CapacityForecast(present.now_cores, later, MOVE_IN_MS)

    def forecast(self, at_ms: int) -> CapacityForecast | None:
        """Return the capacity of the pool for finite jobs, None if it is unknown.

        Machines that are planned do not count: they may still have to be emptied.
        """
        if self._share is None or self._shard.has_unverified_workers:
            return None
        cores = max(0.0, self._usable_cores(at_ms) - self._running_cores(at_ms)[0])
        return CapacityForecast(cores, cores, MOVE_IN_MS)

    def _usable_cores(self, at_ms: int) -> float:
        return sum(
            worker.total.core_equivalents
            for worker in self._shard.workers.values()
            if worker.is_usable(at_ms, self._shard.evacuated)
        )

    def record_job(self, spec: JobSpec, at_ms: int) -> None:
        """Add an accepted job to the arrival rate."""
        work = sum(
            step.n_tasks * step.allocation.core_equivalents * step.estimated_ms
            for step in spec.steps
            if not step.is_long_running
        )
        width = max(
            step.n_tasks * step.allocation.core_equivalents for step in spec.steps
        )
        self._arrivals.append(_Arrival(at_ms, work, width))

    def wanted(self, at_ms: int) -> int:
        """Return the number of workers to report, for jobs that can end in time."""
        self._reported = self._wanted(at_ms)
        return self._reported

    def _wanted(self, at_ms: int) -> int:
        worker_cores = self._worker_cores()
        least = self._min_workers()
        if not worker_cores:
            return least
        cores = self._required_cores(at_ms)
        target = max(
            least,
            ceil(cores * HEADROOM / worker_cores),
            self._n_spread_workers(),
            self._n_gang_workers(at_ms, is_late=False),
        )
        self._targets.append((at_ms, target))
        while self._targets[0][0] < at_ms - SCALE_DOWN_DELAY_MS:
            self._targets.popleft()
        return max(target for _, target in self._targets)

    def _min_workers(self) -> int:
        """Return the workers without demand, 0 if the service has no work to expect."""
        config = self._shard.config
        if config is None or self._shard.service in config.used_services:
            return MIN_WORKERS
        # Ended jobs are kept for a while, in which the queue may return.
        return MIN_WORKERS if self._shard.jobs else 0

    def wanted_for_late_jobs(self, at_ms: int) -> int:
        """Return the number of further workers for jobs that can only end late."""
        worker_cores = self._worker_cores()
        if not worker_cores:
            return 0
        cores = self._running_cores(at_ms)[2] + self._backlog(at_ms)[1] / LATE_CLEAR_MS
        n_gang_workers = self._n_gang_workers(at_ms, is_late=True)
        return max(
            ceil(cores * HEADROOM / worker_cores), n_gang_workers - self._min_workers()
        )

    def _worker_cores(self) -> float:
        return max(
            (worker.total.core_equivalents for worker in self._shard.workers.values()),
            default=0.0,
        )

    def _running_cores(self, at_ms: int) -> tuple[float, float, float]:
        """Return the cores of long-running runs, of jobs in time and of late jobs."""
        unix_ms = self._shard.unix_of(at_ms)
        long_running = in_time = late = 0.0
        is_late: dict[str, bool] = {}
        for worker in self._shard.workers.values():
            for run in worker.runs.values():
                cores = run.allocation.core_equivalents
                if run.step.is_long_running:
                    long_running += cores
                    continue
                job_id = run.name.job_id
                if job_id not in is_late:
                    job = self._shard.jobs.get(job_id)
                    is_late[job_id] = job is None or job.is_late(unix_ms)
                if is_late[job_id]:
                    late += cores
                else:
                    in_time += cores
        return long_running, in_time, late

    def _required_cores(self, at_ms: int) -> float:
        arriving = self._arrival_cores(at_ms)
        long_running, running, _ = self._running_cores(at_ms)
        usable = self._usable_cores(at_ms)
        backlog = self._backlog(at_ms)[0]
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

    def _n_gang_workers(self, at_ms: int, is_late: bool) -> int:
        """Return the workers that the largest gang needs at once, however short it is.

        Gangs of jobs that can only end late count apart from those of the others.
        """
        unix_ms = self._shard.unix_of(at_ms)
        may_allow = self._shard.team_limits.may_allow
        n_workers = 0
        for job in self._shard.open_jobs.values():
            with self._shard.guard(job):
                for key in job.open_steps(unix_ms):
                    step = job.spec.steps[key[1]]
                    if not step.is_gang or job.is_late(unix_ms) is not is_late:
                        continue
                    if may_allow(job.spec.team, step.allocation.times(step.n_tasks)):
                        n_workers = max(n_workers, self._n_workers_of_gang(step))
        return n_workers

    def _n_workers_of_gang(self, step: StepSpec) -> int:
        """Return the workers that a gang needs beside the tasks that last.

        0 if no worker of the pool could run a member.
        """
        label = step.required_label
        workers = [
            worker
            for worker in self._shard.workers.values()
            if not label or label in worker.entry.labels
        ]
        if not workers:
            return 0
        most = step.max_per_worker or step.n_tasks
        capacities = {worker.total for worker in workers}
        n_on_empty = max(step.allocation.n_fitting(each, most) for each in capacities)
        if not n_on_empty:
            return 0
        occupied = [worker for worker in workers if worker.n_long_running]
        n_left = step.n_tasks - sum(n_places(worker, step) for worker in occupied)
        return len(occupied) + max(0, ceil(n_left / n_on_empty))

    def _arrival_cores(self, at_ms: int) -> float:
        """Return the cores that keep up with the recent arrival rate."""
        arrivals = self._arrivals
        while arrivals and arrivals[0].at_ms < at_ms - RATE_WINDOW_MS:
            arrivals.popleft()
        # At the start of a burst the window is not filled yet.
        window_ms = RATE_WINDOW_MS
        if len(arrivals) >= MIN_BURST_JOBS:
            window_ms = max(MIN_BURST_MS, at_ms - arrivals[0].at_ms)
        rate = sum(each.work for each in arrivals) / window_ms
        # A few jobs are no rate: they use no more cores than their tasks do at once.
        width = sum(each.width for each in arrivals)
        return min(rate, width * max(1.0, len(arrivals) / MIN_RATE_JOBS))

    def _backlog(self, at_ms: int) -> tuple[float, float]:
        """Return the work that could start now, in core-ms, in time and late."""
        unix_ms = self._shard.unix_of(at_ms)
        in_time = late = 0.0
        for job in self._shard.open_jobs.values():
            with self._shard.guard(job):
                work = _startable_core_ms(job, unix_ms)
                if job.is_late(unix_ms):
                    late += work
                else:
                    in_time += work
        return in_time, late


def _startable_core_ms(job: JobState, unix_ms: int) -> float:
    """Return the work of a job that could start now, but for long-running steps."""
    work = 0.0
    for key in job.open_steps(unix_ms):
        step = job.spec.steps[key[1]]
        if not step.is_long_running:
            tasks_ms = len(job.waiting[key]) * step.estimated_ms
            work += tasks_ms * step.allocation.core_equivalents
    return work
