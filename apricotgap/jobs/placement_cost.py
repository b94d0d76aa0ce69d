"""Costs of placing a task on a worker; the worker with the lowest cost gets it.

With `packs_domains` the tasks of a finite job are kept within few failure domains: the
loss of a machine, a rack or a data centre then hits few jobs. The terms are soft, so
that a task goes to another domain before it waits.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import StepSpec, TaskName
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["PlacementCost", "n_of_step"]

# Costs of placing a task of a job where it has none: on another machine, beside that in
# another rack, and beside that in another data centre. They add up to less than
# DATA_RACK_COST, since a step runs fastest where its data are. The use of a machine, 0
# to 1, is added to them.
MACHINE_COST = 0.5
RACK_COST = 0.4
DATA_CENTRE_COST = 0.9
DATA_RACK_COST = 2.0
SLOW_COST = 3.0
SUSPECT_COST = 5.0


def n_of_step(worker: Worker, name: TaskName) -> int:
    """Return the number of runs on a worker that belong to the step of a task."""
    return sum(key[0][:3] == name[:3] for key in worker.runs)


@dataclass(slots=True)
class _Rack:
    """Candidates in one rack, and the CPU that they have free together."""

    data_centre: str
    rack: str
    workers: dict[str, Worker] = field(default_factory=dict)
    free_cpu: int = 0


@dataclass(slots=True)
class _Footprint:
    """Failure domains that a job uses, or is to use.

    `costs` holds the cost of each candidate while the domains stay the same.
    """

    data_centres: set[str] = field(default_factory=set)
    racks: set[str] = field(default_factory=set)
    workers: set[str] = field(default_factory=set)
    costs: dict[str, float] = field(default_factory=dict)

    def add(self, worker: Worker) -> None:
        entry = worker.entry
        if entry.worker_id in self.workers:
            return
        self.data_centres.add(entry.data_centre)
        self.racks.add(entry.rack)
        self.workers.add(entry.worker_id)
        self.costs = {}

    def find_costs(self, racks: Iterable[_Rack]) -> None:
        for each in racks:
            cost = MACHINE_COST
            if each.rack not in self.racks:
                cost += RACK_COST
            if each.data_centre not in self.data_centres:
                cost += DATA_CENTRE_COST
            self.costs.update(dict.fromkeys(each.workers, cost))
        self.costs.update(dict.fromkeys(self.workers, 0.0))


class PlacementCost:
    """Costs of placements in one shard.

    What a job uses is found once per job and scheduling pass: a pass compares up to
    150 workers for each task.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    overload : OverloadOptions, optional
        Which decisions under overload are taken.
    """

    def __init__(
        self, shard: Shard, overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS
    ) -> None:
        self._shard = shard
        self._packs_domains = overload.packs_domains
        self._workers: list[Worker] = []
        self._racks: dict[tuple[str, str], _Rack] = {}
        self._footprints: dict[str, _Footprint] = {}

    def begin_pass(self, workers: list[Worker]) -> None:
        """Begin a scheduling pass with these candidates."""
        self._workers = workers
        self._racks.clear()
        self._footprints.clear()

    def record_start(self, job: JobState, worker: Worker, cpu: int) -> None:
        """Record that a task of a job starts on a worker."""
        rack = self._racks.get((worker.entry.data_centre, worker.entry.rack))
        if rack is not None:
            rack.free_cpu -= cpu
        footprint = self._footprints.get(job.spec.job_id)
        if footprint is not None:
            footprint.add(worker)

    def domain_costs(
        self, job: JobState, name: TaskName, step: StepSpec
    ) -> Mapping[str, float]:
        """Return the costs of the failure domain of each candidate, by its id.

        They are empty for steps that are spread, for those that last, and for all
        steps while `packs_domains` is off.
        """
        if not self._packs_domains:
            return {}
        if step.is_long_running or step.is_best_effort or step.max_per_worker:
            return {}
        if not self._racks:
            self._find_racks()
        footprint = self._footprint(job, name, step)
        if not footprint.costs:
            footprint.find_costs(self._racks.values())
        return footprint.costs

    def _find_racks(self) -> None:
        for worker in self._workers:
            entry = worker.entry
            key = (entry.data_centre, entry.rack)
            rack = self._racks.get(key)
            if rack is None:
                rack = self._racks[key] = _Rack(*key)
            rack.workers[entry.worker_id] = worker
            rack.free_cpu += max(0, worker.free.cpu)

    def of(
        self,
        worker: Worker,
        name: TaskName,
        step: StepSpec,
        at_ms: int,
        is_suspect: bool,
        domain_costs: Mapping[str, float],
    ) -> float:
        """Return the cost of placing a task on a worker.

        Parameters
        ----------
        worker : Worker
            Candidate.
        name, step
            The task.
        at_ms : int
            Current time.
        is_suspect : bool
            Whether the task may crash its worker.
        domain_costs : mapping of str to float
            Result of `domain_costs` for the job.
        """
        total = worker.total
        cost = worker.used.cpu / total.cpu if total.cpu else 1.0
        ends_soon = not step.is_long_running and not step.is_best_effort
        if ends_soon and not is_suspect:
            # Tasks that end soon are packed, so that other workers become empty and
            # their machines can move at once.
            cost = 1 - cost + domain_costs.get(worker.entry.worker_id, 0.0)
        if is_suspect:
            # Another crash would interrupt long-running tasks, and could not be told
            # from one by a task that started just before.
            cost += worker.n_long_running + 3 * worker.has_recent_start(at_ms)
        if step.data_rack and worker.entry.rack != step.data_rack:
            cost += DATA_RACK_COST
        if worker.suspect_since_ms is not None or worker.n_unanswered_starts:
            cost += SUSPECT_COST
        if at_ms < worker.slow_until_ms:
            cost += SLOW_COST
        if step.is_best_effort:
            cost += worker.n_serving
        if step.is_long_running:
            # A long-running task keeps its machine in the pool. Such tasks are packed
            # on few machines, two of a step per machine, and spread over racks.
            cost += n_of_step(worker, name) - 2.0 * (worker.n_long_running > 0)
            cost += 0.3 * self._n_in_rack(worker.entry.rack, name)
        return cost

    def _n_in_rack(self, rack: str, name: TaskName) -> int:
        return sum(
            n_of_step(worker, name)
            for worker in self._shard.workers.values()
            if worker.entry.rack == rack
        )

    def _footprint(self, job: JobState, name: TaskName, step: StepSpec) -> _Footprint:
        """Return where a job runs, else where it has run or has the most room."""
        footprint = self._footprints.get(job.spec.job_id)
        if footprint is not None:
            return footprint
        footprint = _Footprint()
        for runs in job.runs.values():
            for run in runs:
                worker = self._shard.workers.get(run.worker_id)
                # Workers that take no work may be out of reach with their data centre.
                if worker is not None and self._is_candidate(worker):
                    footprint.add(worker)
        if not footprint.workers:
            n_waiting = len(job.waiting[name.occurrence, name.step])
            home = self._choose_home(job, step, n_waiting)
            if home is not None:
                job.home = (home.entry.data_centre, home.entry.rack, home.worker_id)
                footprint.add(home)
        self._footprints[job.spec.job_id] = footprint
        return footprint

    def _is_candidate(self, worker: Worker) -> bool:
        rack = self._racks.get((worker.entry.data_centre, worker.entry.rack))
        return rack is not None and worker.worker_id in rack.workers

    def _choose_home(
        self, job: JobState, step: StepSpec, n_tasks: int
    ) -> Worker | None:
        """Return the worker with which the tasks of a step begin.

        Jobs are spread over the data centres by their room. Within one, the step goes
        to the fullest rack and machine that hold it whole. If none does, it goes to
        those that hold the most of it.
        """
        last_centre, last_rack, last_worker = job.home or ("", "", "")
        required_cpu = n_tasks * step.allocation.cpu
        free: dict[str, int] = {}
        for rack in self._racks.values():
            free[rack.data_centre] = free.get(rack.data_centre, 0) + rack.free_cpu

        def rank(rack: _Rack) -> tuple[float, ...]:
            return (
                -min(free[rack.data_centre], required_cpu),
                rack.rack != step.data_rack,
                rack.data_centre != last_centre,
                -free[rack.data_centre],
                -min(rack.free_cpu, required_cpu),
                rack.rack != last_rack,
                rack.free_cpu,
            )

        for rack in sorted(self._racks.values(), key=rank):
            fitting = [
                worker
                for worker in rack.workers.values()
                if step.allocation.fits(worker.free)
                and (
                    not step.required_label
                    or step.required_label in worker.entry.labels
                )
            ]
            if fitting:
                return max(
                    fitting,
                    key=lambda worker: (
                        step.allocation.n_fitting(worker.free, n_tasks),
                        worker.worker_id == last_worker,
                        -worker.free.cpu,
                    ),
                )
        return None
