"""Attribution of worker crashes to the tasks that may have caused them.

A crashed worker says nothing of its runs. Each of them gets points for the crash, most
of them those that had just started, and a task with too many points is given up. The
crashes of one machine alone do not raise them that far. A task that is suspect by its
points starts again on trial: until it has started up, nothing else starts on its
worker, so that the next crash has one cause.

A start that was never answered may have crashed its worker, or have found it down. Such
crashes are counted apart, and weigh less than those under a run that began.
"""

from dataclasses import dataclass

from apricotgap.jobs import limits
from apricotgap.jobs.documents import (
    MAX_CRASHED_MACHINES,
    POSSIBLE_CRASH,
    TaskRecord,
)
from apricotgap.jobs.model import TaskName
from apricotgap.jobs.runs import Run
from apricotgap.jobs.workers import Worker

__all__ = [
    "SUSPECT_POINTS",
    "LostRuns",
    "LostTask",
    "is_given_up",
    "is_suspect",
    "lost_tasks",
]

# Points for a crash during the start of a task, and later in its run. The latter are
# fewer: of the runs that had started up, at most one is the cause.
CRASH_AT_START_POINTS = 2
CRASH_AT_WORK_POINTS = 1
# Points for a crash during a trial of a long-running task. They are fewer, since it
# never runs again once it is given up.
CRASH_OF_LASTING_TRIAL_POINTS = 1
# A task with as many points starts on trial.
SUSPECT_POINTS = CRASH_AT_START_POINTS
# A task with as many points is given up: after two to four crashes.
MAX_CRASH_POINTS = 4
# So many machines have crashed under a task that has these points. One machine may go
# down and up by turns for reasons of its own.
MIN_CRASHED_MACHINES = 2
# Most crashes after starts of a task, of whichever machines and whether the starts were
# answered or not. A task that has crashed three workers may be started twice more.
MAX_CRASHES = MAX_CRASHED_MACHINES
# A long-running task that had run for this long is not the cause of a crash. It
# may run for weeks, and would collect points by chance.
PROVEN_RUN_MS = 10_000


@dataclass(frozen=True, slots=True)
class LostTask:
    """A task whose run ended with its worker; points count if the worker crashed.

    They raise the points of the task to `max_points` at most, and to less than
    MAX_CRASH_POINTS while only one machine has crashed under it. `is_cleared` means
    that the run proved the task harmless, `is_unconfirmed` that its start was not
    answered.

    `machine_digest` tells which machine crashed. It begins with POSSIBLE_CRASH if the
    run may have ended before the crash.
    """

    name: TaskName
    points: int
    machine_digest: str = ""
    max_points: int = MAX_CRASH_POINTS
    is_cleared: bool = False
    is_unconfirmed: bool = False

    def charge(self, record: TaskRecord) -> None:
        """Add the crash of the worker to the record of the task."""
        if self.is_cleared:
            record.crash_points = record.n_unconfirmed_crashes = 0
            record.crashed_machines = ()
            return
        record.n_unconfirmed_crashes += self.is_unconfirmed
        if self.points and self.max_points >= MAX_CRASH_POINTS:
            machines = (*record.crashed_machines, self.machine_digest)
            record.crashed_machines = machines[-MAX_CRASHED_MACHINES:]
        max_points = self.max_points
        if not _have_several_crashed(record):
            max_points = min(max_points, MAX_CRASH_POINTS - 1)
        points = min(record.crash_points + self.points, max_points)
        record.crash_points = max(record.crash_points, points)


@dataclass(frozen=True, slots=True)
class LostRuns:
    """Tasks of a worker whose lease ended before it was known whether it crashed."""

    worker_id: str
    machine: str
    born_ms: int
    lost_ms: int
    tasks: tuple[LostTask, ...]


def is_suspect(record: TaskRecord) -> bool:
    """Whether a task may crash the worker that starts it."""
    return record.crash_points >= SUSPECT_POINTS or record.n_unconfirmed_crashes > 0


def is_given_up(record: TaskRecord) -> bool:
    """Whether a task must not start again since workers crashed under it."""
    if record.crash_points >= MAX_CRASH_POINTS:
        return True
    n_crashes = len(record.crashed_machines) + record.n_unconfirmed_crashes
    return n_crashes >= MAX_CRASHES


def lost_tasks(worker: Worker, at_ms: int) -> tuple[LostTask, ...]:
    """Return the tasks of a worker that was lost by now with their points for a crash.

    If a task on trial may have caused the crash, it counts only for that task and for
    other starts that the trial may have met under way.
    """
    runs = [run for run in worker.runs.values() if _was_sent_before(run, worker)]
    begun = [run for run in runs if run.has_begun]
    at_start = [run for run in begun if _was_starting(run, worker)]
    lost = [
        LostTask(run.name, _points_at_start(run), _machine_to_blame(run, worker, at_ms))
        for run in at_start
    ]
    lost += [
        LostTask(run.name, 0, is_unconfirmed=True)
        for run in runs
        if not run.has_begun and not run.is_charged
    ]
    if worker.trial is None or worker.trial not in at_start:
        lost += [
            _lost_at_work(run, worker, at_ms) for run in begun if run not in at_start
        ]
    return tuple(lost)


def _have_several_crashed(record: TaskRecord) -> bool:
    """Whether several machines have crashed under a task, as far as can be known.

    Of several possible crashes on different machines hardly all came after the end of a
    run. A task is given up for them while a start is left that an owner may have made
    without knowing of its crash.
    """
    if record.n_proven_machines >= MIN_CRASHED_MACHINES:
        return True
    has_several = len(record.machines_to_avoid) >= MIN_CRASHED_MACHINES
    return has_several and len(record.crashed_machines) >= MAX_CRASHES - 1


def _machine_to_blame(run: Run, worker: Worker, at_ms: int) -> str:
    """Return the digest of a machine, marked if the run may have ended before.

    A worker that was reserved as it fell silent may have been ordered away: the report
    of it is lost if the owner of the fleet is. One that had just confirmed the run was
    there, although it may not have answered a poll for longer.
    """
    digest = worker.entry.machine_digest
    gone_ms = at_ms if worker.silent_since_ms is None else worker.silent_since_ms
    is_confirmed = gone_ms - run.started_ms <= limits.CRASH_SIGN_MS
    has_run_on = worker.may_have_run_on(at_ms) and not is_confirmed
    if worker.is_reserved(gone_ms) or has_run_on:
        return POSSIBLE_CRASH + digest
    return digest


def _was_sent_before(run: Run, worker: Worker) -> bool:
    """Whether a start was sent before the worker fell silent."""
    return worker.silent_since_ms is None or run.sent_ms <= worker.silent_since_ms


def _was_starting(run: Run, worker: Worker) -> bool:
    """Whether the worker may have crashed during the start of a run."""
    if run.is_started_up:
        return False
    if worker.silent_since_ms is None:
        return True
    return worker.silent_since_ms - run.sent_ms <= limits.CRASH_SIGN_MS


def _points_at_start(run: Run) -> int:
    """Return the points of a crash that a run may have caused at its start."""
    if run.step.is_long_running and run.is_on_trial:
        return CRASH_OF_LASTING_TRIAL_POINTS
    return CRASH_AT_START_POINTS


def _lost_at_work(run: Run, worker: Worker, at_ms: int) -> LostTask:
    if not run.step.is_long_running:
        digest = _machine_to_blame(run, worker, at_ms)
        return LostTask(run.name, CRASH_AT_WORK_POINTS, digest)
    if worker.answered_ms - run.sent_ms >= PROVEN_RUN_MS:
        return LostTask(run.name, 0, is_cleared=True)
    # It is tried by itself, but not given up: it has to run in spite of crashes.
    return LostTask(run.name, CRASH_AT_WORK_POINTS, max_points=SUSPECT_POINTS)
