"""Workers that a pool needs so that each waiting task has room on one.

Demand in cores does not show it. Memory may be what is used up, a task may need more
than is left on any one worker, and long-running tasks never end.
"""

from collections.abc import Collection
from dataclasses import dataclass
from math import ceil

from apricotgap.jobs.job_state import JobState, StepKey
from apricotgap.jobs.model import NO_RESOURCES, Resources, StepSpec
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.tickets import StepName
from apricotgap.jobs.workers import Worker

__all__ = ["RoomDemand", "room_demand"]


@dataclass(frozen=True, slots=True)
class RoomDemand:
    """Numbers of workers with room for the waiting tasks of a shard.

    `n_occupied` workers have long-running tasks or turn starts away, and `n_new` are
    needed for the tasks that wait or must leave their workers. A job is without room if
    a task of it needs another worker beside all these. `priorities_without_room` has
    the priorities of such jobs in time, and `has_late_without_room` tells of late ones.
    """

    n_occupied: int = 0
    n_new: int = 0
    priorities_without_room: frozenset[int] = frozenset()
    has_late_without_room: bool = False

    @property
    def n_long_running(self) -> int:
        """Number of workers for the long-running tasks, 0 if each has its room."""
        return self.n_occupied + self.n_new if self.n_new else 0

    def n_workers(self, priority: int) -> int:
        """Return the workers for jobs in time up to a priority, 0 if they have room."""
        if not any(each <= priority for each in self.priorities_without_room):
            return 0
        return self.n_occupied + self.n_new + 1

    @property
    def n_late(self) -> int:
        """Number of workers for the late jobs, 0 if they have room."""
        return self.n_occupied + self.n_new + 1 if self.has_late_without_room else 0


class _Room:
    """What workers have left beside long-running tasks, and new ones that are empty.

    Parameters
    ----------
    workers : collection of Worker
        Workers that the pool keeps; those without long-running tasks do not count.
    n_failing : int
        Number of further workers, whose starts fail.
    capacities : collection of Resources
        Capacities of the workers of the pool, which a new one may have.
    """

    def __init__(
        self,
        workers: Collection[Worker],
        n_failing: int,
        capacities: Collection[Resources],
    ) -> None:
        self._capacities = capacities
        self._n_failing = n_failing
        self._occupied = [
            (worker, _beside_long_running(worker))
            for worker in workers
            if worker.n_long_running
        ]
        # What new workers have left, and how many have as much.
        self._new: list[tuple[Resources, int]] = []

    @property
    def n_occupied(self) -> int:
        """Number of workers with long-running tasks, and of those that fail."""
        return len(self._occupied) + self._n_failing

    @property
    def n_new(self) -> int:
        """Number of new workers that the placed tasks need."""
        return sum(n_workers for _, n_workers in self._new)

    def fits(self, step: StepSpec) -> bool:
        """Whether a task of a step fits on one of the workers."""
        if any(step.allocation.fits(left) for left, _ in self._new):
            return True
        return any(
            _is_suited(worker, step) and step.allocation.fits(left)
            for worker, left in self._occupied
        )

    def fits_on_empty(self, step: StepSpec) -> bool:
        """Whether a task of a step fits on an empty worker of the pool."""
        return any(step.allocation.fits(each) for each in self._capacities)

    def take(self, step_name: StepName, step: StepSpec, n_tasks: int) -> None:
        """Place tasks of a step, on new workers where the others have no room.

        Tasks that fit on no empty worker are left out.
        """
        most = step.max_per_worker or n_tasks
        for index, (worker, left) in enumerate(self._occupied):
            if not n_tasks:
                return
            if step.allocation.fits(left) and _is_suited(worker, step):
                n_more = max(0, most - _n_of_step(worker, step_name, step))
                n_here = min(n_tasks, step.allocation.n_fitting(left, n_more))
                self._occupied[index] = worker, left - step.allocation.times(n_here)
                n_tasks -= n_here
        found = self._new
        self._new = []
        for left, n_workers in found:
            n_tasks = self._place_on_new(step, n_tasks, most, left, n_workers)
        n_on_empty, capacity = max(
            (
                (step.allocation.n_fitting(each, most), each)
                for each in self._capacities
            ),
            key=lambda found: found[0],
            default=(0, NO_RESOURCES),
        )
        if n_on_empty and n_tasks:
            n_workers = ceil(n_tasks / n_on_empty)
            self._place_on_new(step, n_tasks, most, capacity, n_workers)

    def _place_on_new(
        self, step: StepSpec, n_tasks: int, most: int, left: Resources, n_workers: int
    ) -> int:
        """Place tasks on new workers that have as much left; return those left over."""
        n_each = step.allocation.n_fitting(left, most)
        n_full = min(n_workers, n_tasks // n_each) if n_each else 0
        n_tasks -= n_full * n_each
        groups = [(n_full, n_each)]
        if n_each and n_tasks and n_full < n_workers:
            groups.append((1, n_tasks))
            n_tasks = 0
        groups.append((n_workers - sum(n for n, _ in groups), 0))
        self._new += [
            (left - step.allocation.times(n_placed), n) for n, n_placed in groups if n
        ]
        return n_tasks


class _TeamBudget:
    """What the teams may still use in a shard, by their limits over all shards.

    The allowances of the shard say nothing about it: they are raised only for tasks
    that have room.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._left: dict[str, Resources | None] = {}

    def take(self, team: str, step: StepSpec, n_tasks: int) -> int:
        """Use the budget of a team for tasks; return for how many it suffices."""
        left = self._left_of(team)
        if left is None:
            return n_tasks
        n_allowed = step.allocation.n_fitting(left, n_tasks)
        self._left[team] = left - step.allocation.times(n_allowed)
        return n_allowed

    def allows(self, team: str, step: StepSpec) -> bool:
        """Whether a team may run another task of a step."""
        left = self._left_of(team)
        return left is None or step.allocation.fits(left)

    def _left_of(self, team: str) -> Resources | None:
        if team not in self._left:
            attainable = self._shard.team_limits.attainable(team)
            if attainable is not None:
                attainable = attainable - self._shard.possible_usage_of(team)
            self._left[team] = attainable
        return self._left[team]


def room_demand(shard: Shard, at_ms: int) -> RoomDemand:
    """Return the demand for room of a shard; that of gangs is determined elsewhere.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    at_ms : int
        Current time.
    """
    kept = {
        worker.worker_id: worker
        for worker in shard.workers.values()
        if worker.is_usable(at_ms, shard.evacuated) and not worker.is_reserved(at_ms)
    }
    capacities = {worker.total for worker in shard.workers.values()}
    sound = [worker for worker in kept.values() if not worker.is_failing(at_ms)]
    room = _Room(sound, len(kept) - len(sound), capacities)
    budget = _TeamBudget(shard)
    unix_ms = shard.unix_of(at_ms)
    beside: set[int] = set()
    is_late = False
    # Whether a kind of task has room beside the long-running ones, or never has any.
    is_served: dict[tuple[Resources, str], bool] = {}
    for job in shard.open_jobs.values():
        if not job.spec.is_long_running:
            continue
        with shard.guard(job):
            for key, n_tasks in _unplaced(job, kept, unix_ms, budget).items():
                step_name = StepName(job.spec.job_id, *key)
                room.take(step_name, job.spec.steps[key[1]], n_tasks)
    for job in shard.open_jobs.values():
        if job.spec.is_long_running:
            continue
        with shard.guard(job):
            for key in job.open_steps(unix_ms):
                step = job.spec.steps[key[1]]
                if step.is_gang:
                    continue
                kind = step.allocation, step.required_label
                if kind not in is_served:
                    is_served[kind] = room.fits(step) or not room.fits_on_empty(step)
                if is_served[kind]:
                    continue
                if not budget.allows(job.spec.team, step):
                    continue
                if job.is_late(unix_ms):
                    is_late = True
                else:
                    beside.add(job.spec.priority)
    return RoomDemand(room.n_occupied, room.n_new, frozenset(beside), is_late)


def _unplaced(
    job: JobState, kept: Collection[str], unix_ms: int, budget: _TeamBudget
) -> dict[StepKey, int]:
    """Return the long-running tasks that wait or must leave their workers, by step.

    Tasks that wait for their team's limit do not count.
    """
    numbers: dict[StepKey, int] = {}
    for key in job.open_steps(unix_ms):
        step = job.spec.steps[key[1]]
        if step.is_long_running and not step.is_gang:
            numbers[key] = budget.take(job.spec.team, step, len(job.waiting[key]))
    for name, runs in job.runs.items():
        key = (name.occurrence, name.step)
        step = job.spec.steps[key[1]]
        is_placed = any(run.worker_id in kept for run in runs)
        if step.is_long_running and not step.is_gang and not is_placed:
            numbers[key] = numbers.get(key, 0) + 1
    return numbers


def _is_suited(worker: Worker, step: StepSpec) -> bool:
    return not step.required_label or step.required_label in worker.entry.labels


def _n_of_step(worker: Worker, step_name: StepName, step: StepSpec) -> int:
    """Return the runs of a step on a worker that its tasks may not share."""
    if not step.max_per_worker:
        return 0
    return sum(name[:3] == step_name for name, _ in worker.runs)


def _beside_long_running(worker: Worker) -> Resources:
    used = NO_RESOURCES
    for run in worker.runs.values():
        if run.step.is_long_running:
            used = used + run.allocation
    return worker.total - used
