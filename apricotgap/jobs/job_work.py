"""Work of a finite job, as the order of service sees it."""

from typing import NamedTuple

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import JobSpec

__all__ = ["JobWork", "remaining_work", "whole_work"]

# A job is of no use to its caller after this multiple of its objective.
USEFUL_FACTOR = 3.0
# Share of its estimated time by which a job may take longer. A job that starts without
# this margin ends late more often than not, and its capacity is lost to others.
ESTIMATE_MARGIN = 0.5


class JobWork(NamedTuple):
    """Work left of a job, in core-ms, and the Unix times that bound it.

    `span_ms` is the time from the submission to the objective, `path_ms` that of the
    longest chain of steps that is left. `held_cores` are the cores of runs that cannot
    be stopped without loss, and `held_core_ms` is the work left of them. By
    `latest_start_ms` the job should go on to end in time: this leaves a margin for its
    estimate, and the time that the pool takes to start all its tasks.
    """

    job_id: str
    queue: str
    team: str
    priority: int
    objective_ms: int
    span_ms: int
    path_ms: int
    core_ms: float
    held_cores: float
    held_core_ms: float
    latest_start_ms: float
    has_begun: bool

    def is_late(self, unix_ms: int) -> bool:
        """Whether the job can no longer end by its objective."""
        return unix_ms + self.path_ms > self.objective_ms

    def is_expired(self, unix_ms: int) -> bool:
        """Whether the job can hardly end while it is of use."""
        latest_ms: float = self.objective_ms - self.path_ms
        if not self.has_begun:
            latest_ms = self.latest_start_ms
        return unix_ms > latest_ms + (USEFUL_FACTOR - 1) * self.span_ms


def whole_work(spec: JobSpec, n_cores: float) -> JobWork:
    """Return the work of a job that has not begun.

    Parameters
    ----------
    spec : JobSpec
        Specification of the job.
    n_cores : float
        Cores of the pool, 0 if they are unknown.
    """
    core_ms = sum(
        step.n_tasks * step.estimated_ms * step.allocation.core_equivalents
        for step in spec.steps
    )
    span_ms = spec.objective_span_ms
    path_ms = spec.critical_path_ms
    objective_ms = spec.submitted_ms + span_ms
    margin_ms = _margin_ms(span_ms, path_ms, core_ms, n_cores)
    return JobWork(
        spec.job_id,
        spec.queue,
        spec.team,
        spec.priority,
        objective_ms,
        span_ms,
        path_ms,
        core_ms,
        held_cores=0.0,
        held_core_ms=0.0,
        latest_start_ms=objective_ms - path_ms - margin_ms,
        has_begun=False,
    )


def remaining_work(job: JobState, unix_ms: int, n_cores: float) -> JobWork | None:
    """Return the work left of a job, None if its next occurrence is not due yet.

    Runs in progress count as half done. Each occurrence of a scheduled job has the
    objective of a job that is submitted when it is due.

    Parameters
    ----------
    job : JobState
        The job.
    unix_ms : int
        Current Unix time.
    n_cores : float
        Cores of the pool, 0 if they are unknown.
    """
    spec = job.spec
    held_cores = held_core_ms = 0.0
    for runs in job.runs.values():
        for run in runs:
            if not run.step.checkpoints:
                cores = run.allocation.core_equivalents
                held_cores += cores
                held_core_ms += cores * run.step.estimated_ms / 2
    if not spec.n_occurrences:
        begin_ms, path_ms = spec.submitted_ms, job.critical_path_ms()
        core_ms = job.remaining_core_ms()
    else:
        occurrence = job.first_unfinished_occurrence
        begin_ms, path_ms = spec.due_ms(occurrence), spec.critical_path_ms
        if unix_ms < begin_ms:
            return None
        core_ms = job.remaining_core_ms(occurrence)
    span_ms = job.objective_ms - spec.submitted_ms
    objective_ms = begin_ms + span_ms
    margin_ms = _margin_ms(span_ms, path_ms, core_ms, n_cores)
    return JobWork(
        spec.job_id,
        spec.queue,
        spec.team,
        spec.priority,
        objective_ms,
        span_ms,
        path_ms,
        core_ms,
        held_cores,
        held_core_ms,
        objective_ms - path_ms - margin_ms,
        job.has_begun,
    )


def _margin_ms(span_ms: int, path_ms: int, core_ms: float, n_cores: float) -> float:
    """Return the margin of a job; one with a short objective has less.

    It would lack the margin from the start otherwise.
    """
    margin_ms = ESTIMATE_MARGIN * path_ms
    if n_cores > 0:
        margin_ms += core_ms / n_cores
    return max(0.0, min(margin_ms, (span_ms - path_ms) / 2))
