"""Events of a shard; `at_ms` is the monotonic clock of the instance."""

from dataclasses import dataclass

from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import RunEnd, TaskName

__all__ = [
    "EndReport",
    "HoldAnswered",
    "HoldFailed",
    "RunReport",
    "StartAnswered",
    "StartResult",
    "StopAnswered",
    "WorkersListed",
]


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a worker lists; `usage` is a tail in ms or cpu in use."""

    name: TaskName
    run_id: int
    checkpoint: str
    percent: float
    usage: float


@dataclass(frozen=True, slots=True)
class EndReport:
    """An end that a worker lists; `number` rises within a life of the worker."""

    number: int
    name: TaskName
    run_id: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldAnswered:
    """A worker renewed its lease and told what it runs."""

    at_ms: int
    worker_id: str
    born_ms: int
    sent_ms: int
    clock_ms: int
    running: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


@dataclass(frozen=True, slots=True)
class HoldFailed:
    """A hold got no usable answer; unless `was_sent` it renewed no lease either."""

    at_ms: int
    worker_id: str
    born_ms: int
    reason: str
    is_other_incarnation: bool = False
    was_sent: bool = True


@dataclass(frozen=True, slots=True)
class StartResult:
    """Outcome of a start: ``ok``, ``unknown``, ``busy`` or the worker's reason."""

    kind: str
    clock_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """A start was answered or given up."""

    at_ms: int
    worker_id: str
    born_ms: int
    name: TaskName
    run_id: int
    result: StartResult


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A stop was carried out or, when not `ok`, may not have arrived."""

    at_ms: int
    worker_id: str
    born_ms: int
    name: TaskName
    run_id: int
    ok: bool


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The workers that the platform lists now, of all services."""

    at_ms: int
    entries: tuple[WorkerEntry, ...]
