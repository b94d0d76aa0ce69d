"""Decoding of submitted jobs into the product's types."""

import msgspec

from apricotgap.decoding import Integer
from apricotgap.jobs.configuration import QueueSpec
from apricotgap.jobs.job_check import find_defect
from apricotgap.jobs.model import JobSpec, Resources, StepSpec
from apricotgap.platform.wire import WireError, decode

__all__ = ["decode_job"]

MAX_SPEC_BYTES = 4_000


class _Step(
    msgspec.Struct,
    rename={
        "n_tasks": "count",
        "memory_mb": "memMb",
        "estimated_ms": "estimatedMs",
        "checkpoints": "checkpointing",
        "is_gang": "gang",
        "same_rack": "sameRack",
        "required_label": "requirements",
        "data_rack": "affinity",
        "max_per_worker": "antiAffinity",
        "allows_duplicates": "allowDuplicates",
        "is_long_running": "longRunning",
        "target_ms": "targetMs",
        "max_unavailable": "mayMiss",
        "is_best_effort": "fills",
    },
):
    n_tasks: Integer
    cpu: Integer = 0
    memory_mb: Integer = 0
    gpus: Integer = 0
    estimated_ms: Integer = 0
    after: list[Integer] = []
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
        return StepSpec(
            self.n_tasks,
            Resources(self.cpu, self.memory_mb, self.gpus),
            self.estimated_ms,
            tuple(self.after),
            self.checkpoints,
            self.is_gang,
            self.same_rack,
            self.required_label,
            self.data_rack,
            self.max_per_worker,
            self.allows_duplicates,
            self.is_long_running,
            self.image,
            self.target_ms,
            self.is_best_effort,
            self.max_unavailable,
        )


class _Job(
    msgspec.Struct,
    rename={
        "content": "spec",
        "n_occurrences": "repeatCount",
        "start_ms": "startTimeMs",
        "interval_ms": "intervalMs",
    },
):
    steps: list[_Step]
    content: str = ""
    n_occurrences: Integer = 0
    start_ms: Integer = 0
    interval_ms: Integer = 0


def decode_job(
    data: bytes, job_id: str, queue: QueueSpec, team: str, now_ms: int
) -> JobSpec:
    """Decode and check a submitted job.

    Parameters
    ----------
    data : bytes
        JSON body of the submission.
    job_id : str
        Id chosen by the caller.
    queue : QueueSpec
        Queue to which the job was submitted.
    team : str
        Team of the caller, empty if unknown.
    now_ms : int
        Time of submission in Unix milliseconds.

    Raises
    ------
    WireError
        The body is malformed, or the job exceeds a limit.
    """
    wire = decode(_Job, data)
    if len(wire.content.encode()) > MAX_SPEC_BYTES:
        raise WireError(f"spec has more than {MAX_SPEC_BYTES} bytes; shorten it")
    steps = tuple(step.step() for step in wire.steps)
    job = JobSpec(
        job_id,
        queue.name,
        queue.service,
        team,
        wire.content,
        steps,
        now_ms,
        queue.max_attempts,
        queue.priority,
        queue.slack_factor,
        queue.target_latency_ms,
        wire.n_occurrences,
        wire.start_ms,
        wire.interval_ms,
    )
    if defect := find_defect(job):
        raise WireError(defect)
    return job
