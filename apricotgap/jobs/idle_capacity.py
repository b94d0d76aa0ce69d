"""Capacity that is idle: room on workers that no waiting task is about to take."""

from collections.abc import Iterable, Iterator

from apricotgap.jobs.model import NO_RESOURCES, JobSpec, StepSpec
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["has_idle_capacity"]


def has_idle_capacity(
    shard: Shard, spec: JobSpec, being_stored: Iterable[JobSpec], at_ms: int
) -> bool:
    """Whether the first tasks of a job could start now beside all that wait.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    spec : JobSpec
        A job that is not accepted yet.
    being_stored : iterable of JobSpec
        Accepted jobs that the shard does not have yet.
    at_ms : int
        Current time.
    """
    steps = _first_steps(spec)
    if not all(_is_allowed(shard, spec.team, step) for step in steps):
        return False
    workers = [
        worker
        for worker in shard.accepting_workers(at_ms)
        if any(_fits(step, worker) for step in steps)
    ]
    if not workers:
        return False
    room = NO_RESOURCES
    for worker in workers:
        room = room + worker.free.elementwise_max(NO_RESOURCES)
    required = NO_RESOURCES
    for step in steps:
        required = required.elementwise_max(step.allocation)
    for step, n_tasks in _waiting(shard, being_stored, at_ms):
        # Tasks that fit on none of these workers take no room from the job.
        if any(_fits(step, worker) for worker in workers):
            required = required + step.allocation.times(n_tasks)
            if not required.fits(room):
                return False
    return required.fits(room)


def _first_steps(spec: JobSpec) -> list[StepSpec]:
    return [step for step in spec.steps if not step.after]


def _waiting(
    shard: Shard, being_stored: Iterable[JobSpec], at_ms: int
) -> Iterator[tuple[StepSpec, int]]:
    """Yield the steps with tasks that may start now, and the number of these."""
    for spec in being_stored:
        for step in _first_steps(spec):
            yield step, step.n_tasks
    unix_ms = shard.unix_of(at_ms)
    for job in shard.open_jobs.values():
        with shard.guard(job):
            for key in job.open_steps(unix_ms):
                step = job.spec.steps[key[1]]
                if _is_allowed(shard, job.spec.team, step):
                    yield step, len(job.waiting[key])


def _is_allowed(shard: Shard, team: str, step: StepSpec) -> bool:
    """Whether the limit of a team lets a task start, or all members of a gang."""
    n_tasks = step.n_tasks if step.is_gang else 1
    return shard.is_within_team_limit(team, step.allocation.times(n_tasks))


def _fits(step: StepSpec, worker: Worker) -> bool:
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    return step.allocation.fits(worker.free)
