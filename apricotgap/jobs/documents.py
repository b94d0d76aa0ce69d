"""Encoding of stored documents: jobs, their progress and splits of team limits."""

from dataclasses import dataclass, field

import cbor2

from apricotgap.decoding import decode_cbor
from apricotgap.jobs.model import JobPhase, JobSpec, Resources, StepSpec, TaskName

__all__ = [
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


class DocumentError(ValueError):
    """Stored data is malformed or has an unknown version."""


@dataclass(slots=True)
class TaskRecord:
    """Persistent state of a task: whether it is done, failed runs, last checkpoint.

    `failed_runs` holds run numbers instead of a count: workers report unacknowledged
    ends again to the next owner, which must not count them twice. `crash_points` say
    how likely the task crashes the workers that start it, `n_unconfirmed_crashes` how
    many crashed after a start that they never answered and that may not have arrived.
    """

    done: bool = False
    failed_runs: list[int] = field(default_factory=list)
    checkpoint: str = ""
    crash_points: int = 0
    n_unconfirmed_crashes: int = 0


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


def decode_job(data: bytes) -> JobSpec:
    """Decode the stored form of a job.

    Raises
    ------
    DocumentError
        The data is not a job document of this version.
    """
    try:
        version, *fields = decode_cbor(data)
        if version != _VERSION:
            raise DocumentError(f"unknown job version {version}")
        steps = tuple(_step(row) for row in fields[5])
        fields[5] = steps
        return JobSpec(*fields)
    except DocumentError:
        raise
    except (ValueError, TypeError, IndexError) as error:
        raise DocumentError(f"malformed job: {error}") from error


def _step(row: list) -> StepSpec:
    n_tasks, resources, estimated_ms, after, *rest = row
    return StepSpec(n_tasks, Resources(*resources), estimated_ms, tuple(after), *rest)


def encode_progress(progress: Progress) -> bytes:
    """Return the stored form of a job's progress."""
    return cbor2.dumps(
        [
            _VERSION,
            progress.phase.value,
            [
                [
                    *name[1:],
                    record.done,
                    record.failed_runs,
                    record.checkpoint,
                    record.crash_points,
                    record.n_unconfirmed_crashes,
                ]
                for name, record in progress.tasks.items()
            ],
            progress.finished_ms,
        ]
    )


def decode_progress(job_id: str, data: bytes) -> Progress:
    """Decode the stored form of a job's progress.

    Raises
    ------
    DocumentError
        The data is not a progress document of this version.
    """
    try:
        version, phase, rows, finished_ms = decode_cbor(data)
        if version != _VERSION:
            raise DocumentError(f"unknown progress version {version}")
        tasks = {TaskName(job_id, *row[:3]): _task_record(row[3:]) for row in rows}
        return Progress(JobPhase(phase), tasks, finished_ms)
    except DocumentError:
        raise
    except (ValueError, TypeError, IndexError) as error:
        raise DocumentError(f"malformed progress: {error}") from error


def _task_record(row: list) -> TaskRecord:
    # Documents of earlier builds have no crash points, or no unconfirmed crashes.
    done, failed_runs, checkpoint, *rest = row
    return TaskRecord(bool(done), list(failed_runs), checkpoint, *rest[:2])


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
    try:
        version, rows = decode_cbor(data)
        if version != _VERSION:
            raise DocumentError(f"unknown split version {version}")
        return {service: Resources(*row) for service, row in rows.items()}
    except DocumentError:
        raise
    except (ValueError, TypeError, AttributeError) as error:
        raise DocumentError(f"malformed split: {error}") from error
