"""Work of a shard's jobs by priority, as the basis of the demand for workers."""

from dataclasses import dataclass, field

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.shard import Shard

__all__ = ["ShardWork", "collect_work"]


@dataclass(slots=True)
class ShardWork:
    """Cores of the runs in progress, and startable work in core-ms.

    Those of jobs that can end in time are divided by the priority of the jobs.
    `backlog_ahead` is the part of `backlog` whose jobs could also end in time if they
    started only on a machine that is moved in.
    """

    long_running: float = 0.0
    running: dict[int, float] = field(default_factory=dict)
    backlog: dict[int, float] = field(default_factory=dict)
    backlog_ahead: dict[int, float] = field(default_factory=dict)
    running_late: float = 0.0
    backlog_late: float = 0.0


def collect_work(shard: Shard, at_ms: int, move_in_ms: int) -> ShardWork:
    """Return the work of all jobs of a shard.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    at_ms : int
        Current time.
    move_in_ms : int
        Time until a machine that is ordered now can serve.
    """
    unix_ms = shard.unix_of(at_ms)
    work = ShardWork()
    _add_runs(work, shard, at_ms)
    for job in shard.open_jobs.values():
        with shard.guard(job):
            core_ms = _startable_core_ms(job, unix_ms)
            if job.is_late(unix_ms):
                work.backlog_late += core_ms
                continue
            _add(work.backlog, job.spec.priority, core_ms)
            if not job.is_late(unix_ms + move_in_ms):
                _add(work.backlog_ahead, job.spec.priority, core_ms)
    return work


def _add_runs(work: ShardWork, shard: Shard, at_ms: int) -> None:
    is_late: dict[str, bool] = {}
    for worker in shard.workers.values():
        for run in worker.runs.values():
            cores = run.allocation.core_equivalents
            if run.step.is_long_running:
                work.long_running += cores
                continue
            job_id = run.name.job_id
            job = shard.jobs.get(job_id)
            if job_id not in is_late:
                is_late[job_id] = job is None or _is_late(job, shard, at_ms)
            if job is None or is_late[job_id]:
                work.running_late += cores
            else:
                _add(work.running, job.spec.priority, cores)


def _is_late(job: JobState, shard: Shard, at_ms: int) -> bool:
    """Whether a job with runs can no longer end by its objective.

    What its runs have done counts once none of their tasks waits any more.
    """
    unix_ms = shard.unix_of(at_ms)
    if any(job.open_steps(unix_ms)):
        return job.is_late(unix_ms)
    runs = [run for runs in job.runs.values() for run in runs]
    elapsed_ms = min(
        (min(at_ms - run.sent_ms, run.step.estimated_ms) for run in runs), default=0
    )
    return job.is_late(unix_ms - elapsed_ms)


def _add(amounts: dict[int, float], priority: int, amount: float) -> None:
    amounts[priority] = amounts.get(priority, 0.0) + amount


def _startable_core_ms(job: JobState, unix_ms: int) -> float:
    """Return the work of a job that could start now, but for long-running steps."""
    work = 0.0
    for key in job.open_steps(unix_ms):
        step = job.spec.steps[key[1]]
        if not step.is_long_running:
            tasks_ms = len(job.waiting[key]) * step.estimated_ms
            work += tasks_ms * step.allocation.core_equivalents
    return work
