"""State of admitted requests, claims and retained outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from apricotgap.core.claim_document import ClaimDocument
from apricotgap.core.limits import CLAIM_WRITE_BURST
from apricotgap.core.tickets import TicketState
from apricotgap.model import Configuration, Outcome, Request, Resources

__all__ = [
    "Admission",
    "Claim",
    "ClaimState",
    "Origin",
    "OutcomeWrite",
    "Phase",
    "Relay",
    "RetainedOutcome",
    "RetainedOutcomes",
]


class Phase(StrEnum):
    """Phase of an admitted request."""

    CLAIMING = "claiming"
    FETCHING = "fetching"
    ASKING = "asking"
    FOLLOWING = "following"
    FORWARDED = "forwarded"
    WAITING = "waiting"
    RUNNING = "running"


@dataclass(frozen=True, slots=True)
class Origin:
    """The peer that forwarded a request."""

    peer: str
    call_id: str
    n_hops: int


@dataclass(slots=True)
class Claim:
    """Progress of a claim on an idempotency key.

    `revision` is the revision of this claim in the store, 0 until it is confirmed.
    `existing` is the claim of another submission that already holds the key.
    """

    key: str
    token: str
    revision: int = 0
    expected_revision: int = 0
    lease_id: int = 0
    call_id: str = ""
    n_writes: int = 0
    n_failed_reads: int = 0
    existing: ClaimDocument | None = None
    existing_revision: int = 0
    query_id: str = ""
    queried_ms: int = 0
    answered_ms: int = 0
    final_read: bool = False


@dataclass(slots=True)
class Admission:
    """A request from its admission to its outcome."""

    request: Request
    team: str
    digest: str
    deadline_ms: int
    phase: Phase = Phase.WAITING
    origin: Origin | None = None
    claim: Claim | None = None
    ticket_n: int | None = None
    leader: str | None = None
    followers: list[str] = field(default_factory=list)
    forwarded_to: str | None = None
    caller_gone: bool = False
    cancel_requested: bool = False
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class RetainedOutcome:
    """An outcome retained for resubmissions and status queries.

    `body_id` is the id under which the driver buffers the response body, None when
    no body is buffered.
    """

    team: str
    digest: str
    outcome: Outcome
    at_ms: int
    claim_key: str | None = None
    token: str | None = None
    ticket_n: int | None = None
    body_id: str | None = None
    n_body_bytes: int = 0


@dataclass(slots=True)
class RetainedOutcomes:
    """Outcomes by request id, oldest first."""

    records: dict[str, RetainedOutcome] = field(default_factory=dict)
    n_body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class OutcomeWrite:
    """An outcome being stored; `document`, if set, is written after its body."""

    key: str
    revision: int
    lease_id: int
    document: ClaimDocument | None = None


@dataclass(frozen=True, slots=True)
class Relay:
    """A peer whose claim query this entry instance has relayed."""

    peer: str
    at_ms: int


@dataclass(slots=True)
class ClaimState:
    """Claims, tickets and retained outcomes.

    `keyed` holds the outcomes of requests with a claim or ticket, `plain` those of
    all others, so that a burst of plain requests does not evict keyed outcomes.
    """

    admissions: dict[str, Admission] = field(default_factory=dict)
    resolving: dict[str, None] = field(default_factory=dict)
    by_key: dict[str, str] = field(default_factory=dict)
    by_token: dict[str, str] = field(default_factory=dict)
    calls: dict[str, Admission] = field(default_factory=dict)
    queries: dict[str, str] = field(default_factory=dict)
    writes: dict[str, OutcomeWrite] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    keyed: RetainedOutcomes = field(default_factory=RetainedOutcomes)
    plain: RetainedOutcomes = field(default_factory=RetainedOutcomes)
    tickets: TicketState = field(default_factory=TicketState)
    connected: set[str] = field(default_factory=set)
    worker_crashes: dict[str, int] = field(default_factory=dict)
    last_n: int = 0
    lease_id: int = 0
    lease_fresh_until_ms: int = 0
    lease_call_id: str = ""
    lease_waiters: list[str] = field(default_factory=list)
    write_milli_tokens: int = CLAIM_WRITE_BURST * 1000
    refilled_ms: int = 0
    capacities: dict[str, frozenset[Resources]] = field(default_factory=dict)
    capacities_config: Configuration | None = None
