"""Check of what a job asks for, whoever has written it."""

from apricotgap.jobs.limits import MAX_JOB_TASKS
from apricotgap.jobs.model import JobSpec, StepSpec

__all__ = ["find_defect"]


def find_defect(job: JobSpec) -> str:
    """Return why a job can't be scheduled, empty if it can."""
    if not job.steps or any(step.n_tasks <= 0 for step in job.steps):
        return "a job needs steps with at least one task each"
    if min(job.n_occurrences, job.start_ms, job.interval_ms) < 0:
        return "repetitions and times must not be negative"
    n_tasks = sum(step.n_tasks for step in job.steps) * len(job.occurrences)
    if n_tasks > MAX_JOB_TASKS:
        return f"a job has at most {MAX_JOB_TASKS} tasks; submit several jobs"
    for index, step in enumerate(job.steps):
        if defect := _find_step_defect(index, step):
            return defect
    return ""


def _find_step_defect(index: int, step: StepSpec) -> str:
    amounts = step.resources
    if min(amounts.cpu, amounts.memory_mb, amounts.gpus, step.estimated_ms) < 0:
        return f"step {index} has a negative resource or duration"
    if any(not 0 <= earlier < index for earlier in step.after):
        return f"step {index} depends on a step that is not before it"
    return ""
