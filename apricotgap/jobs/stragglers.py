"""Detection of runs that are stalled or far slower than others of their step."""

from collections.abc import Iterable

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.silent_copies import SilentCopies
from apricotgap.jobs.workers import Worker

__all__ = ["StragglerDetector"]

_INTERVAL_MS = 300
# A run is late at this multiple of the mean duration of the step's finished tasks.
LATE_FACTOR = 2.0
# Without finished tasks there is only the estimate, which is rough: allow more time.
LATE_FACTOR_ESTIMATED = 3.0
MIN_ESTIMATE_MS = 500
# A run of a task that was restarted before is late at this multiple of the age then.
RESTART_BACKOFF = 2
# A worker with a straggler is given new tasks last for this long.
SLOW_WORKER_MS = 4_000


class StragglerDetector:
    """Starts a copy of a late task, or stops the run to restart it elsewhere.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._silent_copies = SilentCopies(shard)
        self._last_check_ms = -1_000_000

    def run(self, at_ms: int) -> list[Effect]:
        """Check all runs and return the stops and log lines for late ones."""
        effects = self._silent_copies.run(at_ms)
        if at_ms - self._last_check_ms < _INTERVAL_MS:
            return effects
        self._last_check_ms = at_ms
        for worker in self._shard.workers.values():
            if at_ms - worker.answered_ms > limits.SILENT_WORKER_MS:
                continue
            for run in list(worker.runs.values()):
                job = self._shard.jobs.get(run.name.job_id)
                if job is None or run.phase is not RunPhase.RUNNING:
                    continue
                with self._shard.guard(job):
                    effects.extend(self._check_run(job, run, worker, at_ms))
        return effects

    def _check_run(
        self, job: JobState, run: Run, worker: Worker, at_ms: int
    ) -> Iterable[Effect]:
        if job.is_final or run.step.is_gang or run.step.is_long_running:
            return
        typical_ms, factor = self._typical_duration(job, run)
        # The state of the run is as old as the last response of its worker.
        age_ms = worker.answered_ms - run.started_ms
        since_progress_ms = worker.answered_ms - run.last_progress_ms
        is_stalled = since_progress_ms > max(limits.STALL_MS, typical_ms)
        done = max(run.percent, 1.0) / 100
        left_ms = age_ms * (1 - done) / done
        is_late = age_ms > factor * typical_ms and left_ms > typical_ms
        if not is_stalled and not is_late:
            return
        # A task may be longer than all that is known of it. With this back-off its
        # restarts lose less than twice its length.
        restarted_ms = job.restarted_at_age_ms.get(run.name, 0)
        if age_ms < RESTART_BACKOFF * restarted_ms:
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
        job.restarted_at_age_ms[run.name] = max(restarted_ms, age_ms)
        job.avoided_workers.setdefault(run.name, set()).add(worker.worker_id)
        yield LogDecision("run_restarted", line)
        yield from self._shard.stop(run, at_ms)

    @staticmethod
    def _typical_duration(job: JobState, run: Run) -> tuple[int, float]:
        durations = job.durations_ms.get((run.name.occurrence, run.name.step))
        if durations:
            return sum(durations) // len(durations), LATE_FACTOR
        return max(run.step.estimated_ms, MIN_ESTIMATE_MS), LATE_FACTOR_ESTIMATED
