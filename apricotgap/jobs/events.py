"""Events that a shard reduces; `at_ms` is on the monotonic clock of the instance.

A poll is the long-poll call that renews the lease of a worker and returns its running
runs and the ends that are not acknowledged yet.
"""

from dataclasses import dataclass

from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import RunEnd, TaskName

__all__ = [
    "EndReport",
    "PollAnswered",
    "PollFailed",
    "RunReport",
    "StartAnswered",
    "StartResult",
    "StopAnswered",
    "WorkersListed",
]


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a worker lists as running.

    `usage` is the tail latency in ms of a serving task, else the CPU in use.
    """

    name: TaskName
    run_id: int
    checkpoint: str
    percent: float
    usage: float


@dataclass(frozen=True, slots=True)
class EndReport:
    """The end of a run as listed by a worker.

    `number` increases with each end within one incarnation of the worker.
    """

    number: int
    name: TaskName
    run_id: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollAnswered:
    """A worker responded to a poll: its lease is renewed and its lists are current.

    `polled_born_ms` is the incarnation to which the poll was sent, `born_ms` the one
    that responded, 0 if it does not say.
    """

    at_ms: int
    worker_id: str
    polled_born_ms: int
    born_ms: int
    sent_ms: int
    clock_ms: int
    running: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


@dataclass(frozen=True, slots=True)
class PollFailed:
    """A poll got no usable response; unless `was_sent`, the lease was not renewed.

    `has_timed_out` means that nothing told of a failure: the worker may be cut off.
    """

    at_ms: int
    worker_id: str
    born_ms: int
    reason: str
    is_other_incarnation: bool = False
    was_sent: bool = True
    has_timed_out: bool = False


# Results of starts that a worker has rejected before it looked at their window.
_NO_EFFECT = frozenset({"busy", "fence", "late", "other life"})


@dataclass(frozen=True, slots=True)
class StartResult:
    """Result of a start: ``ok``, ``unknown``, ``busy`` or the worker's reason."""

    kind: str
    clock_ms: int = 0

    @property
    def may_extend_lease(self) -> bool:
        """Whether the worker may have taken a lease from the start."""
        return self.kind not in _NO_EFFECT


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """A start got a response or was abandoned."""

    at_ms: int
    worker_id: str
    born_ms: int
    name: TaskName
    run_id: int
    result: StartResult


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A stop was acknowledged or, unless `ok`, may not have reached the worker."""

    at_ms: int
    worker_id: str
    born_ms: int
    name: TaskName
    run_id: int
    ok: bool


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The workers of all services that the platform lists now."""

    at_ms: int
    entries: tuple[WorkerEntry, ...]
