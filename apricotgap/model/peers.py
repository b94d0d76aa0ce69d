"""Messages between entry instances."""

from dataclasses import dataclass, field

__all__ = [
    "PROTOCOL_VERSION",
    "ClaimAnswer",
    "ClaimQuery",
    "ConfigAck",
    "ConfigParts",
    "ConfigPartsWanted",
    "ConfigRoot",
    "Heartbeat",
    "PeerMessage",
    "TicketAnswer",
    "TicketForward",
    "Unsupported",
    "Usage",
]

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness, configuration revision and store contact of the sender.

    Parameters
    ----------
    incarnation : str
        Incarnation of the sender.
    revision : int
        Configuration revision in force at the sender.
    store_age_ms : int or None
        Age of the last store confirmation that the sender has, direct or relayed;
        None if it never had one.
    direct_store_age_ms : int or None
        Age of the last direct store contact of the sender; None if it never had one.
    draining : bool
        Whether the sender is stopping.
    relayed_acks : dict of str to int
        Revisions in force at other entry instances, by name. A receiver in another
        data centre gets those of the sender's data centre, a receiver in the same one
        those of other data centres.
    sent_ms : int
        Sender's clock when it sent this heartbeat.
    echo_ms : int or None
        `sent_ms` of the last heartbeat that the sender got from the receiver. It
        shows that this heartbeat was sent after that one, so that a delayed heartbeat
        cannot make the view look current.
    """

    incarnation: str
    revision: int
    store_age_ms: int | None
    direct_store_age_ms: int | None = None
    draining: bool = False
    relayed_acks: dict[str, int] = field(default_factory=dict)
    sent_ms: int = 0
    echo_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ConfigRoot:
    """The configuration root document as stored."""

    revision: int
    root: bytes


@dataclass(frozen=True, slots=True)
class ConfigPartsWanted:
    """Requests parts by hash."""

    hashes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigParts:
    """Parts by hash."""

    parts: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class ConfigAck:
    """Reports that a revision is in force at the sender."""

    revision: int


@dataclass(frozen=True, slots=True)
class Usage:
    """Work of the sender since its last report.

    Parameters
    ----------
    charged_ms : dict of str to int
        Slot milliseconds by ``queue/priority/team`` since the last report.
    waiting : dict of str to int
        Requests that wait for an allotment, by team.
    in_flight : dict of str to int
        Tasks in flight, by worker.
    queued : dict of str to int
        Requests of queues that wait for a free worker, by queue.
    """

    charged_ms: dict[str, int]
    waiting: dict[str, int]
    in_flight: dict[str, int]
    queued: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Queries the claimant of an idempotency key for the outcome."""

    call_id: str
    claim_key: str
    claimant: str
    body_digest: str
    n_hops: int = 0


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer to `ClaimQuery`: running, completed, failed, unknown or abandoned."""

    call_id: str
    state: str
    status: int = 0
    body: bytes = b""
    n_body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class TicketForward:
    """Forwards a request with a ticket to the entry instance that issued it."""

    call_id: str
    ticket: str
    queue: str
    key_digest: str | None
    priority: str
    body_digest: str
    body: bytes
    expected_run_ms: int | None = None
    max_wait_ms: int = 30_000
    idempotent: bool = False
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    n_hops: int = 0


@dataclass(frozen=True, slots=True)
class TicketAnswer:
    """Outcome of a forwarded request."""

    call_id: str
    outcome: str
    kind: str = ""
    message: str = ""
    status: int = 0
    body: bytes = b""
    n_body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Unsupported:
    """Reports that the sender does not support a version or message type."""

    what: str
    supported_version: int = PROTOCOL_VERSION


PeerMessage = (
    Heartbeat
    | ConfigRoot
    | ConfigPartsWanted
    | ConfigParts
    | ConfigAck
    | Usage
    | ClaimQuery
    | ClaimAnswer
    | TicketForward
    | TicketAnswer
    | Unsupported
)
