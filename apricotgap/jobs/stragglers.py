"""Runs that stand still or are far behind the others of their step."""

from collections.abc import Iterable
from statistics import median

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["StragglerWatch"]

_INTERVAL_MS = 300
# A run is late at this multiple of what the step's other tasks took.
LATE_FACTOR = 2.0
# Estimates are rough, so with nothing else to go by runs get more time.
LATE_FACTOR_ESTIMATED = 3.0
MIN_ESTIMATE_MS = 500
# Progress of a run tells how long it will take once it is this old and this far.
MIN_AGE_MS = 400
MIN_PERCENT = 2.0
# Other runs of the step whose progress tells what is usual.
MIN_SIBLINGS = 2
# What a restart costs beyond the run itself.
RESTART_MS = 300
# A worker with a straggler comes last for this long.
SLOW_WORKER_MS = 4_000


class StragglerWatch:
    """Starts a second copy of a late task, or starts it again elsewhere.

    Parameters
    ----------
    shard : Shard
        The state.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._looked_ms = -1_000_000

    def run(self, at_ms: int) -> list[Effect]:
        """Return what is to be done about late runs now."""
        if at_ms - self._looked_ms < _INTERVAL_MS:
            return []
        self._looked_ms = at_ms
        effects: list[Effect] = []
        for worker in self._shard.workers.values():
            if at_ms - worker.answered_ms > limits.SILENT_WORKER_MS:
                continue
            for run in list(worker.runs.values()):
                if run.phase is RunPhase.RUNNING and not run.step.lasts:
                    effects.extend(self._look_at(run, worker, at_ms))
        return effects

    def _look_at(self, run: Run, worker: Worker, at_ms: int) -> Iterable[Effect]:
        job = self._shard.jobs.get(run.name.job_id)
        if job is None or job.is_final or run.step.is_gang:
            return
        # What is known of the run is as old as the worker's last answer.
        age_ms = worker.answered_ms - run.started_ms
        if age_ms < MIN_AGE_MS:
            return
        usual_ms = self._usual_ms(job, run)
        typical_ms = usual_ms or max(run.step.estimated_ms, MIN_ESTIMATE_MS)
        still_ms = worker.answered_ms - run.progress_ms
        is_stalled = still_ms > max(limits.STALL_MS, typical_ms)
        total_ms = _projected_ms(run, age_ms)
        if usual_ms is None:
            is_behind = age_ms > LATE_FACTOR_ESTIMATED * typical_ms
        else:
            is_behind = total_ms > LATE_FACTOR * typical_ms
        is_late = is_behind and total_ms - age_ms > typical_ms + RESTART_MS
        if not is_stalled and not is_late:
            return
        worker.slow_until_ms = at_ms + SLOW_WORKER_MS
        if len(job.runs.get(run.name, ())) > 1:
            return
        line = {
            "task": str(run.name),
            "worker": worker.worker_id,
            "age_ms": age_ms,
            "percent": run.percent,
            "typical_ms": typical_ms,
        }
        if run.step.allows_duplicates:
            job.waiting[run.name.occurrence, run.name.step].add(run.name.number)
            yield LogDecision("run_copied", line)
            return
        job.avoid.setdefault(run.name, set()).add(worker.worker_id)
        yield LogDecision("run_restarted", line)
        yield from self._shard.stop(run, at_ms)

    def _usual_ms(self, job: JobState, run: Run) -> int | None:
        """Return what the step's tasks take, None while only the estimate tells."""
        took = job.durations_ms.get((run.name.occurrence, run.name.step))
        if took:
            return sum(took) // len(took)
        siblings = self._sibling_totals(job, run)
        return int(median(siblings)) if len(siblings) >= MIN_SIBLINGS else None

    def _sibling_totals(self, job: JobState, run: Run) -> list[float]:
        """Return how long the step's runs on other workers will take."""
        totals = []
        for number in range(run.step.n_tasks):
            for other in job.runs.get(run.name._replace(number=number), ()):
                worker = self._shard.workers.get(other.worker_id)
                is_running = other.phase is RunPhase.RUNNING
                if not is_running or worker is None:
                    continue
                if other.worker_id != run.worker_id and other.percent >= MIN_PERCENT:
                    age_ms = worker.answered_ms - other.started_ms
                    totals.append(_projected_ms(other, age_ms))
        return totals


def _projected_ms(run: Run, age_ms: int) -> float:
    """Return how long a run will take in all, by its progress so far."""
    return 100 * age_ms / max(run.percent, 1.0)
