"""Demand of the teams in a shard: what they use and what could start beside it."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from apricotgap.jobs.inherited_usage import possible_usage
from apricotgap.jobs.model import NO_RESOURCES, Resources, StepSpec
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["team_demand"]


@dataclass(frozen=True, slots=True)
class _Shape:
    """What decides on how many workers tasks of a step fit; 1 member for no gang."""

    allocation: Resources
    required_label: str
    max_per_worker: int
    n_members: int

    @classmethod
    def of(cls, step: StepSpec) -> "_Shape":
        """Return the shape of a step."""
        n_members = step.n_tasks if step.is_gang else 1
        return cls(step.allocation, step.required_label, step.max_per_worker, n_members)

    def n_places(self, workers: Iterable[Worker], n_wanted: int) -> int:
        """Return how many tasks fit at once, at most `n_wanted` and in whole gangs."""
        n_places = 0
        for worker in workers:
            if self.required_label and self.required_label not in worker.entry.labels:
                continue
            n_places += self._n_on(worker, n_wanted)
            if n_places >= n_wanted:
                break
        n_places = min(n_places, n_wanted)
        return n_places - n_places % self.n_members

    def _n_on(self, worker: Worker, n_wanted: int) -> int:
        most = min(n_wanted, self.max_per_worker or n_wanted)
        return self.allocation.n_fitting(worker.free, most)


def team_demand(shard: Shard, at_ms: int) -> dict[str, Resources]:
    """Return the resources that each team uses or could use now.

    Tasks for which no worker has room do not count. An allowance for them would be
    kept from other shards, where tasks of the team could start.
    """
    demand = possible_usage(shard)
    waiting = _waiting_tasks(shard, at_ms)
    if not waiting:
        return demand
    workers = _open_workers(shard, at_ms)
    room = NO_RESOURCES
    for worker in workers:
        room = room + worker.free.elementwise_max(NO_RESOURCES)
    startable: dict[str, Resources] = {}
    for (team, shape), n_tasks in waiting.items():
        n_startable = shape.n_places(workers, n_tasks)
        size = shape.allocation.times(n_startable)
        startable[team] = startable.get(team, NO_RESOURCES) + size
    for team, amount in startable.items():
        used = demand.get(team, NO_RESOURCES)
        demand[team] = used + amount.elementwise_min(room)
    return demand


def _waiting_tasks(shard: Shard, at_ms: int) -> Counter[tuple[str, _Shape]]:
    """Return the number of waiting tasks that are due, by team and shape."""
    unix_ms = shard.unix_of(at_ms)
    waiting: Counter[tuple[str, _Shape]] = Counter()
    for job in shard.open_jobs.values():
        with shard.guard(job):
            for key in job.open_steps(unix_ms):
                shape = _Shape.of(job.spec.steps[key[1]])
                waiting[job.spec.team, shape] += len(job.waiting[key])
    return waiting


def _open_workers(shard: Shard, at_ms: int) -> list[Worker]:
    """Return the workers that take tasks now, or once they have answered a call."""
    accepting = shard.accepting_workers(at_ms)
    known = {worker.worker_id for worker in accepting}
    pausing = [
        worker
        for worker in shard.workers.values()
        if worker.worker_id not in known
        and worker.is_usable(at_ms, shard.evacuated)
        and not worker.is_reserved(at_ms)
    ]
    return accepting + pausing
