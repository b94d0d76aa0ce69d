"""Migration of runs off workers that are to be emptied."""

from collections.abc import Mapping

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import TaskName
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.jobs.remaining_time import remaining_ms
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["Migrator"]

# A task is not stopped again for this long: the workers that it resumes on may be
# reserved in turn. A stop and a resumption take up to 1.7 s, in which it does nothing.
RESTOP_DELAY_MS = 3_000
# Interval of the estimates of how long it takes to empty a worker. For a hundred
# workers they take 10 ms.
DRAIN_INTERVAL_MS = 250
# A run resumes from its checkpoint within this time.
RESUME_MS = 600


class Migrator:
    """Stops runs on reserved and draining workers.

    A long-running run is stopped only while fewer than `max_unavailable` other tasks of
    its step (at least one is allowed) are unavailable. With `stops_finite_runs`, finite
    runs leave reserved workers if they lose nothing, or nothing of use: those of steps
    with checkpoints whose job does not become late by it, and those of late jobs whose
    machine leaves for more urgent demand. Runs that end before a stop would are left
    alone. The scheduler starts the tasks elsewhere.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    overload : OverloadOptions, optional
        Which decisions under overload are taken.
    """

    def __init__(
        self, shard: Shard, overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS
    ) -> None:
        self._shard = shard
        self._stops_finite_runs = overload.stops_finite_runs
        self._stopped_ms: dict[TaskName, int] = {}
        # Time of the last estimate and its result, by worker.
        self._drains: dict[str, tuple[int, int]] = {}
        # Priority of the demand that a worker's machine leaves for, until a time.
        self._urgent: dict[str, tuple[int, int]] = {}

    def record_urgent(self, priorities: Mapping[str, int], at_ms: int) -> None:
        """Record the workers whose machines leave for jobs that can end in time.

        Parameters
        ----------
        priorities : mapping of str to int
            Most urgent priority of these jobs by worker.
        at_ms : int
            Current time; the record ends along with the reservations.
        """
        until_ms = at_ms + limits.RESERVATION_MS
        self._urgent = {
            worker_id: (priority, until_ms)
            for worker_id, priority in priorities.items()
        }

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
        self._forget_old(at_ms)
        leaving = [
            worker
            for worker in shard.workers.values()
            if worker.entry.is_draining or worker.is_reserved(at_ms)
        ]
        # Draining workers leave in any case, so their runs use the budget first.
        leaving.sort(key=lambda worker: not worker.entry.is_draining)
        for worker in leaving:
            for run in list(worker.runs.values()):
                job = shard.jobs.get(run.name.job_id)
                if job is None or run.phase is not RunPhase.RUNNING:
                    continue
                why = ""
                with shard.guard(job):
                    why = self._reason(job, run, worker, at_ms)
                if not why:
                    continue
                self._stopped_ms[run.name] = at_ms
                effects.extend(shard.stop(run, at_ms))
                line: dict[str, object] = {
                    "task": str(run.name),
                    "worker": worker.worker_id,
                    "why": why,
                    "percent": run.percent,
                }
                effects.append(LogDecision("run_migrated", line))
        return effects

    def _forget_old(self, at_ms: int) -> None:
        self._drains = {
            worker_id: found
            for worker_id, found in self._drains.items()
            if at_ms - found[0] < DRAIN_INTERVAL_MS
        }
        self._stopped_ms = {
            name: stopped_ms
            for name, stopped_ms in self._stopped_ms.items()
            if at_ms - stopped_ms < RESTOP_DELAY_MS
        }

    def _reason(self, job: JobState, run: Run, worker: Worker, at_ms: int) -> str:
        """Return why to stop a run on a leaving worker, "" to leave it alone."""
        if job.is_final:
            return ""
        if run.step.is_long_running:
            return "long_running" if self._may_interrupt(job, run, at_ms) else ""
        if not self._stops_finite_runs:
            return ""
        if not worker.is_reserved(at_ms) or run.name in self._stopped_ms:
            return ""
        left_ms = remaining_ms(run, worker.answered_ms, at_ms)
        if left_ms <= self._shard.stop_listing_delay_ms:
            return ""
        if self._urgent_priority(worker, at_ms) is None and not self._is_late(
            job, at_ms
        ):
            # No other pool needs the machine, but a caller waits for the job.
            return ""
        return self._reason_to_displace(job, run, worker, left_ms, at_ms)

    def _is_late(self, job: JobState, at_ms: int) -> bool:
        return job.is_late(self._shard.unix_of(at_ms))

    def _reason_to_displace(
        self, job: JobState, run: Run, worker: Worker, left_ms: int, at_ms: int
    ) -> str:
        """Return why to stop a finite run that would not end soon."""
        if run.step.is_gang:
            # It would resume only once there is room for all its members.
            return ""
        due_ms = job.spec.due_ms(run.name.occurrence)
        objective_ms = job.objective_ms + max(0, due_ms - job.spec.submitted_ms)
        spare_ms = objective_ms - self._shard.unix_of(at_ms) - left_ms
        spare_ms -= max(0, job.critical_path_ms() - run.step.estimated_ms)
        priority = self._urgent_priority(worker, at_ms)
        if run.step.checkpoints:
            stop_ms = self._shard.stop_listing_delay_ms + RESUME_MS
            if spare_ms < 0 or spare_ms >= stop_ms:
                return "resumable"
            is_behind = priority is not None and priority < job.spec.priority
            return "resumable" if is_behind else ""
        return "late" if spare_ms < 0 and priority is not None else ""

    def _urgent_priority(self, worker: Worker, at_ms: int) -> int | None:
        """Return the priority of the demand that a machine leaves for, None if low."""
        priority, until_ms = self._urgent.get(worker.worker_id, (0, 0))
        return priority if at_ms < until_ms else None

    def drain_ms(self, worker: Worker, at_ms: int) -> int:
        """Return how long it takes to empty a worker of its finite runs.

        A run that can be stopped takes no longer than its stop. The estimate is made
        anew after a while only.
        """
        if not worker.runs:
            return 0
        found = self._drains.get(worker.worker_id)
        if found is not None and at_ms - found[0] < DRAIN_INTERVAL_MS:
            return found[1]
        drain_ms = max(
            self._run_drain_ms(run, worker, at_ms) for run in worker.runs.values()
        )
        self._drains[worker.worker_id] = (at_ms, drain_ms)
        return drain_ms

    def _run_drain_ms(self, run: Run, worker: Worker, at_ms: int) -> int:
        stop_ms = self._shard.stop_listing_delay_ms
        if run.phase is RunPhase.STOPPING:
            return stop_ms
        if run.step.is_long_running:
            return 0
        left_ms = remaining_ms(run, worker.answered_ms, at_ms)
        if not self._stops_finite_runs or left_ms <= stop_ms:
            return left_ms
        job = self._shard.jobs.get(run.name.job_id)
        if job is None or run.name in self._stopped_ms:
            return left_ms
        why = ""
        with self._shard.guard(job):
            why = self._reason_to_displace(job, run, worker, left_ms, at_ms)
        return stop_ms if why else left_ms

    def _may_interrupt(self, job: JobState, run: Run, at_ms: int) -> bool:
        """Whether a run may be stopped within the unavailability budget of its step."""
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
