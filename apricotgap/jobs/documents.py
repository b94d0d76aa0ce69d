"""Encoding of stored documents: jobs, their progress and splits of team limits."""

from dataclasses import dataclass, field
from typing import Annotated, Any, TypeVar

import cbor2
import msgspec

from apricotgap.decoding import Count, DecodeError, Integer, Number, decode_cbor
from apricotgap.jobs.job_check import find_defect
from apricotgap.jobs.model import JobPhase, JobSpec, Resources, StepSpec, TaskName

__all__ = [
    "MAX_CRASHED_MACHINES",
    "POSSIBLE_CRASH",
    "DocumentError",
    "Progress",
    "TaskRecord",
    "decode_job",
    "decode_progress",
    "decode_split",
    "encode_job",
    "encode_progress",
    "encode_split",
]

_VERSION = 1

# Mark of a machine that may have crashed after the run on it had ended.
POSSIBLE_CRASH = "?"
# Most machines in the record of a task. One with as many crashes is given up.
MAX_CRASHED_MACHINES = 5

_T = TypeVar("_T")


class DocumentError(ValueError):
    """Stored data is malformed or has an unknown version."""


@dataclass(slots=True)
class TaskRecord:
    """Persistent state of a task: whether it is done, failed runs, last checkpoint.

    `failed_runs` holds run numbers instead of a count: workers report unacknowledged
    ends again to the next owner, which must not count them twice. `crash_points` say
    how likely the task crashes the workers that start it, `n_unconfirmed_crashes` how
    many crashed after a start that they never answered and that may not have arrived.
    `crashed_machines` has a digest of the machine for each crash under a run that may
    have caused it; the latest come last. Those of runs that may have ended before begin
    with POSSIBLE_CRASH. An empty one stands for a machine that is not known.
    """

    done: bool = False
    failed_runs: list[int] = field(default_factory=list)
    checkpoint: str = ""
    crash_points: int = 0
    n_unconfirmed_crashes: int = 0
    crashed_machines: tuple[str, ...] = ()

    @property
    def machines_to_avoid(self) -> frozenset[str]:
        """Digests of the machines that have or may have crashed under the task."""
        return frozenset(each.lstrip(POSSIBLE_CRASH) for each in self.crashed_machines)

    @property
    def n_proven_machines(self) -> int:
        """Number of machines that have crashed while the task ran on them."""
        return sum(
            bool(each) and not each.startswith(POSSIBLE_CRASH)
            for each in set(self.crashed_machines)
        )


@dataclass(slots=True)
class Progress:
    """Stored progress of a job; a task without a record has not ended yet."""

    phase: JobPhase = JobPhase.PENDING
    tasks: dict[TaskName, TaskRecord] = field(default_factory=dict)
    finished_ms: int = 0


def encode_job(job: JobSpec) -> bytes:
    """Return the stored form of a job."""
    steps = [
        [
            step.n_tasks,
            [step.resources.cpu, step.resources.memory_mb, step.resources.gpus],
            step.estimated_ms,
            list(step.after),
            step.checkpoints,
            step.is_gang,
            step.same_rack,
            step.required_label,
            step.data_rack,
            step.max_per_worker,
            step.allows_duplicates,
            step.is_long_running,
            step.image,
            step.target_ms,
            step.is_best_effort,
            step.max_unavailable,
        ]
        for step in job.steps
    ]
    return cbor2.dumps(
        [
            _VERSION,
            job.job_id,
            job.queue,
            job.service,
            job.team,
            job.content,
            steps,
            job.submitted_ms,
            job.max_attempts,
            job.priority,
            job.slack_factor,
            job.target_latency_ms,
            job.n_occurrences,
            job.start_ms,
            job.interval_ms,
        ]
    )


class _ResourcesRow(msgspec.Struct, array_like=True):
    cpu: Count = 0
    memory_mb: Count = 0
    gpus: Count = 0

    def resources(self) -> Resources:
        return Resources(self.cpu, self.memory_mb, self.gpus)


class _StepRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    n_tasks: Count
    resources: _ResourcesRow
    estimated_ms: Count = 0
    after: tuple[Count, ...] = ()
    checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: Integer = 0
    allows_duplicates: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: Integer = 0
    is_best_effort: bool = False
    max_unavailable: Integer = 0

    def step(self) -> StepSpec:
        fields = msgspec.structs.asdict(self)
        return StepSpec(**fields | {"resources": self.resources.resources()})


class _JobRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    version: Integer
    job_id: str
    queue: str
    service: str
    team: str
    content: str
    steps: tuple[_StepRow, ...]
    submitted_ms: Integer
    max_attempts: Integer = 3
    priority: Integer = 0
    slack_factor: Number = 2.0
    target_latency_ms: Integer = 1000
    n_occurrences: Count = 0
    start_ms: Count = 0
    interval_ms: Count = 0

    def job(self) -> JobSpec:
        fields = msgspec.structs.asdict(self)
        del fields["version"]
        return JobSpec(**fields | {"steps": tuple(step.step() for step in self.steps)})


class _TaskRow(msgspec.Struct, array_like=True):
    # Documents of earlier builds have no crash points, no unconfirmed crashes or no
    # machines. Earlier builds ignore the fields that they do not know.
    occurrence: Count
    step: Count
    number: Count
    done: bool
    failed_runs: list[Integer]
    checkpoint: str
    crash_points: Count = 0
    n_unconfirmed_crashes: Count = 0
    crashed_machines: tuple[str, ...] | None = None

    def record(self) -> TaskRecord:
        return TaskRecord(
            self.done,
            self.failed_runs,
            self.checkpoint,
            self.crash_points,
            self.n_unconfirmed_crashes,
            self._known_machines(),
        )

    def _known_machines(self) -> tuple[str, ...]:
        """Return the machines that crashed; each point of an earlier build is one."""
        if self.crashed_machines is None:
            return ("",) * min(self.crash_points, MAX_CRASHED_MACHINES)
        return self.crashed_machines[-MAX_CRASHED_MACHINES:]


class _ProgressRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    version: Integer
    phase: JobPhase
    tasks: list[_TaskRow]
    finished_ms: Integer


# Parts of a limit may be without bound, see `UNLIMITED` of the team limits.
_Amount = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class _SplitRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    version: Integer
    parts: dict[str, tuple[_Amount, _Amount, _Amount]]


def _decode(data: bytes, shape: type[_T]) -> _T:
    """Decode a document of this version."""
    try:
        row: Any = decode_cbor(data, shape)
    except DecodeError as error:
        raise DocumentError(str(error)) from error
    if row.version != _VERSION:
        raise DocumentError(f"unknown version {row.version}")
    return row


def decode_job(data: bytes) -> JobSpec:
    """Decode the stored form of a job.

    Raises
    ------
    DocumentError
        The data is not a job document of this version, or no caller could have
        submitted the job.
    """
    job = _decode(data, _JobRow).job()
    if defect := find_defect(job):
        raise DocumentError(defect)
    return job


def encode_progress(progress: Progress) -> bytes:
    """Return the stored form of a job's progress."""
    return cbor2.dumps(
        [
            _VERSION,
            progress.phase.value,
            [_task_row(name, record) for name, record in progress.tasks.items()],
            progress.finished_ms,
        ]
    )


def _task_row(name: TaskName, record: TaskRecord) -> list[Any]:
    row: list[Any] = [
        *name[1:],
        record.done,
        record.failed_runs,
        record.checkpoint,
        record.crash_points,
        record.n_unconfirmed_crashes,
    ]
    if record.crash_points or record.crashed_machines:
        row.append(record.crashed_machines)
    return row


def decode_progress(job_id: str, data: bytes) -> Progress:
    """Decode the stored form of a job's progress.

    Raises
    ------
    DocumentError
        The data is not a progress document of this version.
    """
    row = _decode(data, _ProgressRow)
    tasks = {
        TaskName(job_id, task.occurrence, task.step, task.number): task.record()
        for task in row.tasks
    }
    return Progress(row.phase, tasks, row.finished_ms)


def encode_split(split: dict[str, Resources]) -> bytes:
    """Return the stored form of the split of a team's limit."""
    rows = {
        service: [row.cpu, row.memory_mb, row.gpus] for service, row in split.items()
    }
    return cbor2.dumps([_VERSION, rows])


def decode_split(data: bytes) -> dict[str, Resources]:
    """Decode the stored split of a team's limit.

    Raises
    ------
    DocumentError
        The data is not a split document of this version.
    """
    parts = _decode(data, _SplitRow).parts
    return {service: Resources(*part) for service, part in parts.items()}
