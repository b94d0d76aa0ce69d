"""Migration of long-running runs off workers that are to be emptied."""

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.shard import Shard

__all__ = ["Migrator"]


class Migrator:
    """Stops long-running runs on reserved and draining workers.

    A run is stopped only while fewer than `max_unavailable` other tasks of its step
    (at least one is allowed) are unavailable. The scheduler starts the task elsewhere.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard

    def run(self, at_ms: int) -> list[Effect]:
        """Return the stops that are due now."""
        shard = self._shard
        effects: list[Effect] = []
        if (
            shard.has_unverified_workers
            or at_ms - shard.loaded_ms < limits.MIGRATION_DELAY_MS
        ):
            # Stops sent by a previous owner may still be in flight.
            return effects
        leaving = [
            worker
            for worker in shard.workers.values()
            if worker.entry.is_draining or worker.is_reserved(at_ms)
        ]
        # Draining workers leave in any case, so their runs use the budget first.
        leaving.sort(key=lambda worker: not worker.entry.is_draining)
        for worker in leaving:
            for run in list(worker.runs.values()):
                if run.phase is not RunPhase.RUNNING or not run.step.is_long_running:
                    continue
                job = shard.jobs.get(run.name.job_id)
                if job is None:
                    continue
                may_interrupt = False
                with shard.guard(job):
                    may_interrupt = self._may_interrupt(job, run, at_ms)
                if not may_interrupt:
                    continue
                effects.extend(shard.stop(run, at_ms))
                line: dict[str, object] = {
                    "task": str(run.name),
                    "worker": worker.worker_id,
                }
                effects.append(LogDecision("run_migrated", line))
        return effects

    def _may_interrupt(self, job: JobState, run: Run, at_ms: int) -> bool:
        """Whether a run may be stopped within the unavailability budget of its step."""
        if job.is_final:
            return False
        n_unavailable = 0
        for index in range(run.step.n_tasks):
            if index != run.name.number:
                others = job.runs.get(run.name._replace(number=index), ())
                n_unavailable += not any(
                    self._is_serving(other, at_ms) for other in others
                )
        return n_unavailable < max(1, run.step.max_unavailable)

    def _is_serving(self, run: Run, at_ms: int) -> bool:
        worker = self._shard.workers.get(run.worker_id)
        if worker is None or at_ms - worker.answered_ms > limits.SILENT_WORKER_MS:
            return False
        return run.phase is RunPhase.RUNNING and run.percent >= 100
