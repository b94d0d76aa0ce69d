"""Costs of placing a task on a worker; the worker with the lowest cost gets it.

The tasks of a finite job are kept within few failure domains: the loss of a machine, a
rack or a data centre then hits few jobs. The terms are soft, so that a task goes to
another domain before it waits.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import StepSpec, TaskName
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["PlacementCost", "n_of_step"]

# Costs of placing a task of a job where it has none: on another machine, beside that in
# another rack, and beside that in another data centre. The use of a machine counts 0 to
# 1. Together they stay below DATA_RACK_COST: a step runs fastest where its data are.
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
class _Footprint:
    """Failure domains that a job uses, or is to use."""

    data_centres: set[str] = field(default_factory=set)
    racks: set[str] = field(default_factory=set)
    workers: set[str] = field(default_factory=set)

    def add(self, worker: Worker) -> None:
        self.data_centres.add(worker.entry.data_centre)
        self.racks.add(worker.entry.rack)
        self.workers.add(worker.worker_id)

    def cost(self, worker: Worker) -> float:
        entry = worker.entry
        if entry.worker_id in self.workers:
            return 0.0
        if entry.data_centre not in self.data_centres:
            return MACHINE_COST + RACK_COST + DATA_CENTRE_COST
        return MACHINE_COST + (entry.rack not in self.racks) * RACK_COST


class PlacementCost:
    """Costs of placements in one shard.

    What a job uses is found once per job and scheduling pass: a pass compares up to
    150 workers for each task.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._workers: list[Worker] = []
        self._footprints: dict[str, _Footprint] = {}

    def begin_pass(self, workers: list[Worker]) -> None:
        """Begin a scheduling pass with these candidates."""
        self._workers = workers
        self._footprints.clear()

    def record_start(self, job: JobState, worker: Worker) -> None:
        """Record that a task of a job starts on a worker."""
        footprint = self._footprints.get(job.spec.job_id)
        if footprint is not None:
            footprint.add(worker)

    def of(
        self,
        worker: Worker,
        job: JobState,
        name: TaskName,
        step: StepSpec,
        at_ms: int,
        is_suspect: bool,
    ) -> float:
        """Return the cost of placing a task on a worker."""
        total = worker.total
        cost = worker.used.cpu / total.cpu if total.cpu else 1.0
        ends_soon = not step.is_long_running and not step.is_best_effort
        if ends_soon and not is_suspect:
            # Tasks that end soon are packed, so that other workers become empty and
            # their machines can move at once.
            cost = 1 - cost
            if not step.max_per_worker:
                cost += self._footprint(job, name, step).cost(worker)
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
        candidates = {worker.worker_id: worker for worker in self._workers}
        for runs in job.runs.values():
            for run in runs:
                # Others may be out of reach, with all of their data centre.
                if run.worker_id in candidates:
                    footprint.add(candidates[run.worker_id])
        if not footprint.workers:
            n_waiting = len(job.waiting[name.occurrence, name.step])
            home = self._choose_home(job, step, n_waiting)
            if home is not None:
                job.home = (home.entry.data_centre, home.entry.rack, home.worker_id)
                footprint.add(home)
        self._footprints[job.spec.job_id] = footprint
        return footprint

    def _choose_home(
        self, job: JobState, step: StepSpec, n_tasks: int
    ) -> Worker | None:
        """Return the worker with which the tasks of a step begin.

        Jobs are spread over the data centres by their room. Within one, the step goes
        to the fullest rack and machine that hold it whole. If none does, it goes to
        those that hold the most of it.
        """
        rooms = [
            (worker, step.allocation.n_fitting(worker.free, n_tasks))
            for worker in self._workers
            if not step.required_label or step.required_label in worker.entry.labels
        ]
        rooms = [(worker, room) for worker, room in rooms if room]
        if not rooms:
            return None
        last_centre, last_rack, last_worker = job.home or ("", "", "")
        by_centre = _sums((worker.entry.data_centre, room) for worker, room in rooms)
        data_centre = max(
            by_centre,
            key=lambda each: (
                min(by_centre[each], n_tasks),
                each == last_centre,
                by_centre[each],
            ),
        )
        rooms = [each for each in rooms if each[0].entry.data_centre == data_centre]
        by_rack = _sums((worker.entry.rack, room) for worker, room in rooms)
        rack = max(
            by_rack,
            key=lambda each: (
                min(by_rack[each], n_tasks),
                each == last_rack,
                -by_rack[each],
            ),
        )
        rooms = [each for each in rooms if each[0].entry.rack == rack]
        home, _ = max(
            rooms,
            key=lambda each: (
                each[1],
                each[0].worker_id == last_worker,
                -each[0].free.cpu,
            ),
        )
        return home


def _sums(rooms: Iterable[tuple[str, int]]) -> dict[str, int]:
    sums: dict[str, int] = {}
    for domain, room in rooms:
        sums[domain] = sums.get(domain, 0) + room
    return sums
