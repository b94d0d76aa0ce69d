"""Effects of a shard as data; a driver carries them out."""

from dataclasses import dataclass

from apricotgap.jobs.model import TaskName

__all__ = ["Effect", "LogDecision", "PaceRun", "StartRun", "StopRun"]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a task; `deadline_ms` is on the worker's clock."""

    worker_id: str
    address: str
    born_ms: int
    name: TaskName
    run_id: int
    content: str
    deadline_ms: int
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run."""

    worker_id: str
    address: str
    born_ms: int
    name: TaskName
    run_id: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at `percent` of its speed."""

    worker_id: str
    address: str
    born_ms: int
    name: TaskName
    run_id: int
    percent: int


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one structured line."""

    event: str
    fields: dict[str, object]


Effect = StartRun | StopRun | PaceRun | LogDecision
