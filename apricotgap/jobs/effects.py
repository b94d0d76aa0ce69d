"""Effects returned by the shard reducer as plain data, for a driver to execute."""

from dataclasses import dataclass
from typing import Any

from apricotgap.jobs.model import TaskName

__all__ = ["Count", "Effect", "LogDecision", "PaceRun", "StartRun", "StopRun"]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run of a task.

    The worker rejects the start after `deadline_ms`, a time on its own clock.
    """

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
    """Throttle a run to `percent` of its full speed."""

    worker_id: str
    address: str
    born_ms: int
    name: TaskName
    run_id: int
    percent: int


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one structured log line."""

    event: str
    fields: dict[str, Any]
    is_error: bool = False


@dataclass(frozen=True, slots=True)
class Count:
    """Increase a counter of the shard."""

    counter: str
    number: int


Effect = StartRun | StopRun | PaceRun | LogDecision | Count
