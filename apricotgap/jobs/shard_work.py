"""Work of a shard's jobs by priority, as the basis of the demand for workers."""

from dataclasses import dataclass, field

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.shard import Shard

__all__ = ["ShardWork", "collect_work"]


@dataclass(slots=True)
class ShardWork:
    """Cores of the runs in progress, and startable work in core-ms.

    Those of jobs that can end in time are divided by the priority of the jobs.
    """

    long_running: float = 0.0
    running: dict[int, float] = field(default_factory=dict)
    backlog: dict[int, float] = field(default_factory=dict)
    running_late: float = 0.0
    backlog_late: float = 0.0


def collect_work(shard: Shard, at_ms: int) -> ShardWork:
    """Return the work of all jobs of a shard."""
    unix_ms = shard.unix_of(at_ms)
    work = ShardWork()
    _add_runs(work, shard, unix_ms)
    for job in shard.open_jobs.values():
        with shard.guard(job):
            core_ms = _startable_core_ms(job, unix_ms)
            if job.is_late(unix_ms):
                work.backlog_late += core_ms
            else:
                _add(work.backlog, job.spec.priority, core_ms)
    return work


def _add_runs(work: ShardWork, shard: Shard, unix_ms: int) -> None:
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
                is_late[job_id] = job is None or job.is_late(unix_ms)
            if job is None or is_late[job_id]:
                work.running_late += cores
            else:
                _add(work.running, job.spec.priority, cores)


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
