"""Number of workers that gangs need: all members of one run at the same time."""

from math import ceil

from apricotgap.jobs.gang_room import n_places
from apricotgap.jobs.model import StepSpec
from apricotgap.jobs.shard import Shard

__all__ = ["n_gang_workers"]


def n_gang_workers(
    shard: Shard, at_ms: int, is_late: bool, priority: int | None = None
) -> int:
    """Return the workers that the largest gang needs at once, however short it is.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    at_ms : int
        Current time.
    is_late : bool
        Whether gangs of jobs that can only end late count, or those of the others.
    priority : int, optional
        Gangs of less urgent jobs do not count.
    """
    unix_ms = shard.unix_of(at_ms)
    may_allow = shard.team_limits.may_allow
    n_workers = 0
    for job in shard.open_jobs.values():
        if priority is not None and job.spec.priority > priority:
            continue
        if not any(step.is_gang for step in job.spec.steps):
            continue
        with shard.guard(job):
            for key in job.open_steps(unix_ms):
                step = job.spec.steps[key[1]]
                if not step.is_gang or job.is_late(unix_ms) is not is_late:
                    continue
                if may_allow(job.spec.team, step.allocation.times(step.n_tasks)):
                    n_workers = max(n_workers, _n_workers_of(shard, step))
    return n_workers


def _n_workers_of(shard: Shard, step: StepSpec) -> int:
    """Return the workers that a gang needs beside the long-running tasks.

    0 if no worker of the pool could run a member.
    """
    label = step.required_label
    workers = [
        worker
        for worker in shard.workers.values()
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
