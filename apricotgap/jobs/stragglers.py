"""Runs that are stalled, or that a slow worker delays, and what is done about them."""

from collections.abc import Iterable
from enum import Enum

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.idle_room import IdleRoom
from apricotgap.jobs.job_state import JobState, StepKey
from apricotgap.jobs.run_progress import clamped
from apricotgap.jobs.runs import FULL_PACE, Run, RunPhase
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.silent_copies import SilentCopies
from apricotgap.jobs.worker_speed import RunSpeed, WorkerSpeed, judge_worker
from apricotgap.jobs.workers import Worker

__all__ = ["Reason", "StragglerDetector"]

_INTERVAL_MS = 300
# A run of a task that was restarted before is restarted again no sooner than at this
# multiple of its age then.
RESTART_BACKOFF = 2
# A worker with a straggler is given new tasks last for this long.
SLOW_WORKER_MS = 4_000
# A run that has not ended after its claimed duration by this factor, and several times
# the typical duration more, has reported progress that it has not made.
CLAIM_FACTOR = 1.5
OVERDUE_FACTOR = 3
# The same for a run without a usable claim. The longest tasks take about seven times as
# long as others, and estimates are off by half.
MAX_OVERDUE_FACTOR = 20
# A run resumes from a checkpoint within this time.
RESUME_MS = 600
# Where a long task cannot be told from a slow worker, a restart must gain this much.
UNDECIDED_GAIN = 2.0


class Reason(Enum):
    """Why a run is copied or restarted."""

    STALLED = "stalled"
    FALSE_PROGRESS = "false_progress"
    SLOW_WORKER = "slow_worker"
    UNDECIDED = "undecided"

    @property
    def is_stall(self) -> bool:
        """Whether the run may never end."""
        return self in (Reason.STALLED, Reason.FALSE_PROGRESS)


class StragglerDetector:
    """Starts a copy of a straggler, or stops the run to restart it elsewhere.

    A long task on a sound worker is left alone, since it is as long elsewhere.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._silent_copies = SilentCopies(shard)
        self._last_check_ms = -1_000_000
        # Typical and late duration of each step in this check, and whether they are
        # more than an estimate: a step may have thousands of finished tasks.
        self._references: dict[tuple[str, StepKey], tuple[int, int, bool]] = {}

    def run(self, at_ms: int) -> list[Effect]:
        """Check all runs and return the stops and log lines for stragglers."""
        effects = self._silent_copies.run(at_ms)
        if at_ms - self._last_check_ms < _INTERVAL_MS:
            return effects
        self._last_check_ms = at_ms
        room = IdleRoom(self._shard, at_ms)
        self._references.clear()
        for worker in self._shard.workers.values():
            if at_ms - worker.answered_ms > limits.SILENT_WORKER_MS:
                continue
            speeds = self._speeds(worker)
            if not speeds:
                continue
            worker_speed = judge_worker(worker, speeds, at_ms)
            if worker_speed is WorkerSpeed.SLOW:
                worker.found_slow_ms = at_ms
                worker.slow_until_ms = at_ms + SLOW_WORKER_MS
            for each in speeds:
                reason = self._reason(each, worker, worker_speed)
                if reason is None:
                    continue
                with self._shard.guard(each.job):
                    effects += self._relieve(
                        each, worker, worker_speed, reason, room, at_ms
                    )
        return effects

    def _speeds(self, worker: Worker) -> list[RunSpeed]:
        speeds = []
        for run in worker.runs.values():
            step = run.step
            if step.is_gang or step.is_long_running or run.pace != FULL_PACE:
                # A throttled run is slow, or stands still, by order.
                continue
            job = self._shard.open_jobs.get(run.name.job_id)
            if job is None or run.phase is not RunPhase.RUNNING:
                continue
            with self._shard.guard(job):
                speeds.append(self._speed(job, run))
        return speeds

    def _speed(self, job: JobState, run: Run) -> RunSpeed:
        key = (run.name.occurrence, run.name.step)
        reference = self._references.get((run.name.job_id, key))
        if reference is None:
            times = self._shard.run_times
            reference = (
                times.typical_in_job_ms(job, key),
                times.late_in_job_ms(job, key),
                times.is_calibrated(job, key),
            )
            self._references[run.name.job_id, key] = reference
        # A best-effort run is as fast as what others leave idle.
        total_ms = None if run.step.is_best_effort else run.progress.total_ms
        return RunSpeed(job, run, total_ms, *reference)

    def _relieve(
        self,
        speed: RunSpeed,
        worker: Worker,
        worker_speed: WorkerSpeed,
        reason: Reason,
        room: IdleRoom,
        at_ms: int,
    ) -> Iterable[Effect]:
        """Copy or restart a run, if that gains anything."""
        job, run = speed.job, speed.run
        if len(job.runs.get(run.name, ())) > 1:
            return
        # The state of the run is as old as the last response of its worker.
        age_ms = worker.answered_ms - run.started_ms
        # A task may be longer than all that is known of it. With this back-off its
        # restarts lose less than twice its length.
        restarted_ms = job.restarted_at_age_ms.get(run.name, 0)
        if age_ms < RESTART_BACKOFF * restarted_ms:
            return
        is_copy = run.step.may_be_copied
        left_ms = run.progress.left_ms(run.percent)
        new_ms = self._new_run_ms(speed, is_copy)
        if not reason.is_stall:
            gain = UNDECIDED_GAIN if reason is Reason.UNDECIDED else 1.0
            if left_ms is None or left_ms <= gain * new_ms:
                return
            if not room.take(run):
                return
        elif worker_speed is not WorkerSpeed.SOUND or reason is Reason.FALSE_PROGRESS:
            worker.slow_until_ms = at_ms + SLOW_WORKER_MS
        line = {
            "task": str(run.name),
            "worker": worker.worker_id,
            "reason": reason.value,
            "age_ms": age_ms,
            "percent": run.percent,
            "typical_ms": speed.typical_ms,
            "left_ms": _rounded(left_ms),
            "new_run_ms": new_ms,
        }
        if is_copy:
            self._shard.keep_checkpoint(run)
            job.waiting[run.name.occurrence, run.name.step].add(run.name.number)
            yield LogDecision("run_copied", line)
            return
        job.restarted_at_age_ms[run.name] = max(restarted_ms, age_ms)
        job.avoided_workers.setdefault(run.name, set()).add(worker.worker_id)
        yield LogDecision("run_restarted", line)
        yield from self._shard.stop(run, at_ms)

    @staticmethod
    def _reason(
        speed: RunSpeed, worker: Worker, worker_speed: WorkerSpeed
    ) -> Reason | None:
        run = speed.run
        since_progress_ms = worker.answered_ms - run.last_progress_ms
        if since_progress_ms > max(limits.STALL_MS, speed.typical_ms):
            return Reason.STALLED
        if _is_overdue(speed, worker.answered_ms - run.started_ms):
            return Reason.FALSE_PROGRESS
        if not speed.is_slow:
            return None
        if worker_speed is WorkerSpeed.SLOW:
            return Reason.SLOW_WORKER
        is_cheap = run.step.may_be_copied or run.step.checkpoints
        if worker_speed is WorkerSpeed.UNDECIDED and is_cheap:
            return Reason.UNDECIDED
        return None

    def _new_run_ms(self, speed: RunSpeed, is_copy: bool) -> int:
        """Return the time of a new run, with what it has to do again."""
        if is_copy:
            return speed.typical_ms
        stop_ms = self._shard.stop_listing_delay_ms
        if not speed.run.step.checkpoints:
            return stop_ms + speed.typical_ms
        # The stop saves what is done.
        left = 1 - clamped(speed.run.percent) / 100
        return stop_ms + RESUME_MS + int(left * speed.typical_ms)


def _is_overdue(speed: RunSpeed, age_ms: int) -> bool:
    """Whether a run has not ended long after it should have by its own progress."""
    claimed_ms = speed.run.progress.claimed_ms
    slack_ms = max(limits.STALL_MS, OVERDUE_FACTOR * speed.typical_ms)
    if claimed_ms is not None and age_ms > CLAIM_FACTOR * claimed_ms + slack_ms:
        return True
    return age_ms > MAX_OVERDUE_FACTOR * max(limits.STALL_MS, speed.typical_ms)


def _rounded(duration_ms: float | None) -> int | None:
    if duration_ms is None or duration_ms == float("inf"):
        return None
    return int(duration_ms)
