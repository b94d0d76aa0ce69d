"""Requests, tasks and their outcomes."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "REFUSALS",
    "Completed",
    "FailedAfterStart",
    "NotRun",
    "Outcome",
    "OutcomeUnknown",
    "Priority",
    "RefusalKind",
    "RefusalRule",
    "Request",
    "Resources",
]


class Priority(StrEnum):
    """Priority class of a request."""

    URGENT = "urgent"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources that an instance has or a task needs.

    Parameters
    ----------
    cpu_milli : int
        Thousandths of a core.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, other: "Resources") -> bool:
        """Return whether these resources fit in `other`."""
        return (
            self.cpu_milli <= other.cpu_milli
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request without its body, which the driver buffers.

    Parameters
    ----------
    request_id : str
        Identifier, unique among all entry instances and incarnations.
    queue : str
        Name of the queue.
    key_digest : str or None
        Hex SHA-256 of the presented key, None when no key came with the request.
    priority : Priority
        Priority class.
    idempotent : bool
        Whether the request may run more than once.
    idempotency_key : str or None
        Caller's key for at-most-once submission.
    ticket : str or None
        Ticket issued earlier.
    body_digest : str
        Hex SHA-256 of the body, to detect a reused idempotency key.
    n_body_bytes : int
        Size of the body.
    declared : Resources
        Resources that the caller declared, often inaccurate.
    expected_run_ms : int or None
        Run time that the caller declared, often inaccurate.
    max_wait_ms : int
        Maximum time in the queue before the request is refused.
    """

    request_id: str
    queue: str
    key_digest: str | None = None
    priority: Priority = Priority.BATCH
    idempotent: bool = False
    idempotency_key: str | None = None
    ticket: str | None = None
    body_digest: str = ""
    n_body_bytes: int = 0
    declared: Resources = Resources()
    expected_run_ms: int | None = None
    max_wait_ms: int = 30_000


class RefusalKind(StrEnum):
    """Why a request was not run."""

    INVALID = "invalid"
    UNKNOWN_QUEUE = "unknown_queue"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_REUSED = "key_reused"
    TEAM_NOT_ALLOWED = "team_not_allowed"
    TOO_LARGE = "too_large"
    QUEUE_FULL = "queue_full"
    WAIT_EXPIRED = "wait_expired"
    INFEASIBLE = "infeasible"
    QUARANTINED = "quarantined"
    CUT_OFF = "cut_off"
    STORE_UNAVAILABLE = "store_unavailable"
    CLAIM_RATE = "claim_rate"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_INVALID = "ticket_invalid"
    NO_CAPACITY = "no_capacity"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    BACKEND_REFUSED = "backend_refused"


@dataclass(frozen=True, slots=True)
class RefusalRule:
    """HTTP status and remedy that a refusal returns to the caller."""

    http_status: int
    remedy: str


REFUSALS: dict[RefusalKind, RefusalRule] = {
    RefusalKind.INVALID: RefusalRule(400, "correct the request and send it again"),
    RefusalKind.UNKNOWN_QUEUE: RefusalRule(404, "use a queue that operators created"),
    RefusalKind.KEY_MISSING: RefusalRule(401, "send the team's key as a bearer token"),
    RefusalKind.KEY_UNKNOWN: RefusalRule(401, "ask an operator for a valid key"),
    RefusalKind.KEY_REUSED: RefusalRule(
        422, "use a new idempotency key for a different body"
    ),
    RefusalKind.TEAM_NOT_ALLOWED: RefusalRule(
        403, "ask an operator to allow the team on this queue"
    ),
    RefusalKind.TOO_LARGE: RefusalRule(413, "send a smaller body"),
    RefusalKind.QUEUE_FULL: RefusalRule(429, "retry later with backoff"),
    RefusalKind.WAIT_EXPIRED: RefusalRule(
        503, "retry later or allow a longer waiting time"
    ),
    RefusalKind.INFEASIBLE: RefusalRule(
        422, "ask for resources that one instance of the pool has"
    ),
    RefusalKind.QUARANTINED: RefusalRule(
        422, "find out why the request crashes its workers before sending it again"
    ),
    RefusalKind.CUT_OFF: RefusalRule(
        503, "retry through another data centre; this one cannot verify keys now"
    ),
    RefusalKind.STORE_UNAVAILABLE: RefusalRule(
        503, "retry later with the same idempotency key, or use a ticket"
    ),
    RefusalKind.CLAIM_RATE: RefusalRule(
        429, "retry later with the same idempotency key, or use a ticket"
    ),
    RefusalKind.TICKET_EXPIRED: RefusalRule(410, "ask for a new ticket"),
    RefusalKind.TICKET_INVALID: RefusalRule(400, "ask for a new ticket"),
    RefusalKind.NO_CAPACITY: RefusalRule(503, "retry later with backoff"),
    RefusalKind.NOT_READY: RefusalRule(503, "retry through another entry instance"),
    RefusalKind.STOPPING: RefusalRule(503, "retry through another entry instance"),
    RefusalKind.CANCELLED: RefusalRule(409, "send a new request if it is still needed"),
    RefusalKind.BACKEND_REFUSED: RefusalRule(503, "retry later with backoff"),
}


@dataclass(frozen=True, slots=True)
class Completed:
    """The backend server responded; the driver buffers the body."""

    status: int
    n_body_bytes: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """No task of this submission has run or will run."""

    kind: RefusalKind
    message: str


@dataclass(frozen=True, slots=True)
class FailedAfterStart:
    """The task started and failed."""

    message: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The task may or may not have run; it is not run again."""

    message: str


Outcome = Completed | NotRun | FailedAfterStart | OutcomeUnknown
