"""Decoding of submitted jobs into the product's types."""

import msgspec

from apricotgap.decoding import Integer
from apricotgap.jobs.configuration import QueueSpec
from apricotgap.jobs.model import JobSpec, Resources, StepSpec
from apricotgap.platform.wire import WireError, decode

__all__ = ["decode_job"]

MAX_SPEC_BYTES = 4_000
# Limit on the tasks of a job over all its occurrences. The owner of the shard keeps
# each task in memory.
MAX_TASKS = 20_000


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


def _check_job(wire: _Job) -> None:
    if len(wire.content.encode()) > MAX_SPEC_BYTES:
        raise WireError(f"spec has more than {MAX_SPEC_BYTES} bytes; shorten it")
    if not wire.steps or any(step.n_tasks <= 0 for step in wire.steps):
        raise WireError("a job needs steps with at least one task each")
    if min(wire.n_occurrences, wire.start_ms, wire.interval_ms) < 0:
        raise WireError("repetitions and times must not be negative")
    n_tasks = sum(step.n_tasks for step in wire.steps) * max(1, wire.n_occurrences)
    if n_tasks > MAX_TASKS:
        raise WireError(f"a job has at most {MAX_TASKS} tasks; submit several jobs")
    for index, step in enumerate(wire.steps):
        if min(step.cpu, step.memory_mb, step.gpus, step.estimated_ms) < 0:
            raise WireError(f"step {index} has a negative resource or duration")
        if any(not 0 <= earlier < index for earlier in step.after):
            raise WireError(f"step {index} depends on a step that is not before it")


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
    _check_job(wire)
    steps = tuple(step.step() for step in wire.steps)
    return JobSpec(
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
