"""Autoscaling demand: the number of workers that a shard needs."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport
from apricotgap.jobs.gang_demand import n_gang_workers
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.room_demand import RoomDemand, room_demand
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.shard_work import ShardWork, collect_work

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
# The fleet owner sends a plan every 300 ms. An older plan is ignored, since its owner
# may be about to be replaced.
PLAN_VALID_MS = 1_000
# Between two reports the target is determined no more often than this.
TARGET_INTERVAL_MS = 100


# Numbers of workers for the jobs up to a priority, by that priority in its order. The
# first number, without a priority, is for no finite jobs.
_Levels = list[tuple[int | None, int]]


@dataclass(frozen=True, slots=True)
class _Arrival:
    """Work of an accepted job in core-ms, and the cores of its widest step."""

    at_ms: int
    work: float
    width: float
    priority: int
    slack_ms: int


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
        self._targets: deque[tuple[int, _Levels]] = deque()
        self._excess_since_ms: int | None = None
        self._share: int | None = None
        # Number of workers in the last report, and in the report that the plan answers.
        self._reported: int | None = None
        self._decided: int | None = None
        self._planned_ms: int | None = None
        # A recent target and when it was determined.
        self._recent_target: tuple[int, float] | None = None
        self._last_work: tuple[int, ShardWork] | None = None
        self._last_room: tuple[int, RoomDemand] | None = None
        # Numbers of workers that jobs in time used, over the same window.
        self._busy: deque[tuple[int, int]] = deque()

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
        owner have not answered, or the fleet owner has not told its plan for a while.
        """
        present = self.forecast(at_ms)
        if present is None or self._share is None:
            return None
        if self._planned_ms is not None and at_ms - self._planned_ms > PLAN_VALID_MS:
            return None
        n_workers: float = self._share
        if self._decided is None or self._share >= self._decided:
            n_workers = max(n_workers, self._lately_wanted(at_ms))
        planned = n_workers * self._worker_cores() - self._long_running_cores()
        later = max(present.now_cores, planned)
        return CapacityForecast(present.now_cores, later, MOVE_IN_MS)

    def forecast(self, at_ms: int) -> CapacityForecast | None:
        """Return the capacity of the pool for finite jobs, None if it is unknown.

        Machines that are planned do not count: they may still have to be emptied.
        """
        if self._share is None or self._shard.has_unverified_workers:
            return None
        cores = max(0.0, self._usable_cores(at_ms) - self._long_running_cores())
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
        slack_ms = spec.objective_span_ms - spec.critical_path_ms
        self._add_to_recent_target(work)
        arrival = _Arrival(at_ms, work, width, spec.priority, slack_ms)
        self._arrivals.append(arrival)

    def report(
        self, workers: tuple[WorkerReport, ...], share: int | None, at_ms: int
    ) -> PoolReport:
        """Record the plan for the pool and return its report to the fleet owner."""
        if share is not None:
            self.record_share(share)
            self._planned_ms = at_ms
        first, by_priority = self.wanted_by_priority(at_ms)
        self._reported = first + sum(n for _, n in by_priority)
        return PoolReport(
            self._reported,
            workers,
            self.wanted_for_late_jobs(at_ms),
            wanted_first=first,
            wanted_by_priority=by_priority,
            n_busy=max((n for _, n in self._busy), default=0),
        )

    def wanted(self, at_ms: int) -> int:
        """Return the number of workers to report, for jobs that can end in time."""
        first, by_priority = self.wanted_by_priority(at_ms)
        self._reported = first + sum(n for _, n in by_priority)
        return self._reported

    def _lately_wanted(self, at_ms: int) -> float:
        """Return a recent target, with what the jobs since then add to it."""
        recent = self._recent_target
        if recent is None or at_ms - recent[0] > TARGET_INTERVAL_MS:
            target = max(n for _, n in self._target(at_ms))
            recent = self._recent_target = at_ms, target
        return recent[1]

    def _add_to_recent_target(self, core_ms: float) -> None:
        worker_cores = self._worker_cores()
        if self._recent_target is None or not worker_cores:
            return
        at_ms, target = self._recent_target
        n_workers = core_ms / BACKLOG_CLEAR_MS * HEADROOM / worker_cores
        self._recent_target = at_ms, target + n_workers

    def wanted_by_priority(self, at_ms: int) -> tuple[int, tuple[tuple[int, int], ...]]:
        """Return what `wanted` returns by the priority of the jobs.

        Returns
        -------
        tuple
            The minimum and the workers for long-running tasks, and pairs of a priority
            and the number of further workers for its jobs.
        """
        self._targets.append((at_ms, self._target(at_ms)))
        while self._targets[0][0] < at_ms - SCALE_DOWN_DELAY_MS:
            self._targets.popleft()
        while self._busy and self._busy[0][0] < at_ms - SCALE_DOWN_DELAY_MS:
            self._busy.popleft()
        n_so_far = first = max(levels[0][1] for _, levels in self._targets)
        by_priority: list[tuple[int, int]] = []
        found = {level for _, levels in self._targets for level, _ in levels[1:]}
        for priority in sorted(level for level in found if level is not None):
            n_workers = max(_at_level(levels, priority) for _, levels in self._targets)
            if n_workers > n_so_far:
                by_priority.append((priority, n_workers - n_so_far))
                n_so_far = n_workers
        return first, tuple(by_priority)

    def _target(self, at_ms: int) -> _Levels:
        worker_cores = self._worker_cores()
        least = self._min_workers()
        if not worker_cores:
            return [(None, least)]
        work = self._work(at_ms, is_new=True)
        self._forget_arrivals(at_ms)
        self._record_excess(work, at_ms)
        room = self._room(at_ms, is_new=True)
        n_workers = max(
            least,
            ceil(work.long_running * HEADROOM / worker_cores),
            self._n_spread_workers(),
            room.n_long_running,
        )
        busy = min(sum(work.running.values()), self._kept_cores(at_ms))
        n_busy = ceil((work.long_running + busy) * HEADROOM / worker_cores)
        self._busy.append((at_ms, n_busy))
        levels: _Levels = [(None, n_workers)]
        for priority in self._priorities(work):
            cores = self._required_cores(work, priority, at_ms)
            n_workers = max(
                n_workers,
                ceil(cores * HEADROOM / worker_cores),
                n_gang_workers(self._shard, at_ms, is_late=False, priority=priority),
                room.n_workers(priority),
            )
            levels.append((priority, n_workers))
        return levels

    def _work(self, at_ms: int, is_new: bool = False) -> ShardWork:
        """Return the work of all jobs; that of one time is collected once."""
        if is_new or self._last_work is None or self._last_work[0] != at_ms:
            work = collect_work(self._shard, at_ms, MOVE_IN_MS)
            self._last_work = (at_ms, work)
        return self._last_work[1]

    def _room(self, at_ms: int, is_new: bool = False) -> RoomDemand:
        """Return the demand for room; that of one time is determined once."""
        if is_new or self._last_room is None or self._last_room[0] != at_ms:
            self._last_room = (at_ms, room_demand(self._shard, at_ms))
        return self._last_room[1]

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
        work = self._work(at_ms)
        cores = work.running_late + work.backlog_late / LATE_CLEAR_MS
        n_at_once = max(
            n_gang_workers(self._shard, at_ms, is_late=True),
            self._room(at_ms).n_late,
        )
        return max(
            ceil(cores * HEADROOM / worker_cores), n_at_once - self._n_first(at_ms)
        )

    def _n_first(self, at_ms: int) -> int:
        """Return the workers for no finite jobs, of the last target if it is of now."""
        if self._targets and self._targets[-1][0] == at_ms:
            return self._targets[-1][1][0][1]
        return self._min_workers()

    def _worker_cores(self) -> float:
        return max(
            (worker.total.core_equivalents for worker in self._shard.workers.values()),
            default=0.0,
        )

    def _long_running_cores(self) -> float:
        return sum(
            run.allocation.core_equivalents
            for worker in self._shard.workers.values()
            for run in worker.runs.values()
            if run.step.is_long_running
        )

    def _required_cores(self, work: ShardWork, priority: int, at_ms: int) -> float:
        """Return the cores for long-running tasks and jobs up to a priority."""
        arriving = self._arrival_cores(at_ms, priority)
        running = _up_to(work.running, priority)
        present = work.long_running + max(arriving, running)

        def with_backlog(core_ms: float) -> float:
            extra = min(core_ms / BACKLOG_CLEAR_MS, MAX_BACKLOG_SHARE * present)
            return present + extra

        excess = arriving + work.long_running - self._usable_cores(at_ms)
        expected = max(0.0, excess) * self._move_in_left_ms(at_ms, priority)
        needed = with_backlog(_up_to(work.backlog_ahead, priority) + expected)
        # Other jobs cannot wait for a machine, but those that are here may serve them.
        usable_now = with_backlog(_up_to(work.backlog, priority))
        return max(needed, min(usable_now, self._kept_cores(at_ms)))

    def _record_excess(self, work: ShardWork, at_ms: int) -> None:
        """Record since when the pool has been too small for what arrives."""
        arriving = self._arrival_cores(at_ms, max(self._priorities(work), default=0))
        if arriving + work.long_running <= self._usable_cores(at_ms):
            self._excess_since_ms = None
        elif self._excess_since_ms is None:
            self._excess_since_ms = at_ms

    def _move_in_left_ms(self, at_ms: int, priority: int) -> int:
        """Return for how long a backlog grows until machines ordered now can serve.

        What arrives before that and cannot wait so long is left out.
        """
        if self._excess_since_ms is None:
            return 0
        slacks = [each.slack_ms for each in self._arrivals if each.priority <= priority]
        slack_ms = sum(slacks) // len(slacks) if slacks else 0
        left_ms = self._excess_since_ms + MOVE_IN_MS - at_ms
        return max(0, min(left_ms, slack_ms))

    def _kept_cores(self, at_ms: int) -> float:
        return sum(
            worker.total.core_equivalents
            for worker in self._shard.workers.values()
            if worker.is_usable(at_ms, self._shard.evacuated)
            and not worker.is_reserved(at_ms)
        )

    def _priorities(self, work: ShardWork) -> list[int]:
        found = {each.priority for each in self._arrivals}
        return sorted(found | set(work.running) | set(work.backlog))

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

    def _forget_arrivals(self, at_ms: int) -> None:
        while self._arrivals and self._arrivals[0].at_ms < at_ms - RATE_WINDOW_MS:
            self._arrivals.popleft()

    def _arrival_cores(self, at_ms: int, priority: int) -> float:
        """Return the cores that keep up with recent arrivals up to a priority."""
        arrivals = [each for each in self._arrivals if each.priority <= priority]
        # At the start of a burst the window is not filled yet.
        window_ms = RATE_WINDOW_MS
        if len(arrivals) >= MIN_BURST_JOBS:
            window_ms = max(MIN_BURST_MS, at_ms - arrivals[0].at_ms)
        rate = sum(each.work for each in arrivals) / window_ms
        # A few jobs are no rate: they use no more cores than their tasks do at once.
        width = sum(each.width for each in arrivals)
        return min(rate, width * max(1.0, len(arrivals) / MIN_RATE_JOBS))


def _up_to(amounts: Mapping[int, float], priority: int) -> float:
    return sum(amount for level, amount in amounts.items() if level <= priority)


def _at_level(levels: _Levels, priority: int) -> int:
    """Return the number of workers for the jobs up to a priority."""
    return max(n for level, n in levels if level is None or level <= priority)
