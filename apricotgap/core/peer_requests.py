"""Requests and claim queries that another entry instance answers."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from apricotgap.core import claim_store, claims, membership, outcomes
from apricotgap.core.claim_state import Admission, Origin, Phase, Relay
from apricotgap.core.effects import (
    Effect,
    ForwardRequest,
    ReleaseBodies,
    SendAnswerWithBody,
    SendPeer,
)
from apricotgap.core.limits import (
    CLAIM_ANSWER_TIMEOUT_MS,
    CLAIM_POLL_MS,
    MAX_PEER_HOPS,
)
from apricotgap.core.tickets import ParsedTicket
from apricotgap.model import (
    Completed,
    FailedAfterStart,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Priority,
    RefusalKind,
    Request,
    Resources,
)
from apricotgap.model.peers import ClaimAnswer, ClaimQuery, TicketAnswer, TicketForward

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "answer_query",
    "end_forwarded_requests",
    "expire_relays",
    "finish_forward",
    "finish_query",
    "forward",
    "poll",
    "query_claimant",
    "refusal_answer",
    "request_of",
    "ticket_answer",
]

_RELAY_RETENTION_MS = 2 * CLAIM_ANSWER_TIMEOUT_MS


def forward(
    state: EntryState, admission: Admission, ticket: ParsedTicket, at_ms: int
) -> list[Effect]:
    """Forward a request to the entry incarnation that issued its ticket."""
    request = admission.request
    n_hops = admission.origin.n_hops if admission.origin else 0
    peer = _next_hop(state, ticket.entry, ticket.incarnation, n_hops, at_ms)
    if peer is None:
        cause = (
            f"entry instance {ticket.entry!r}, which issued the ticket, is unreachable"
        )
        return claims.end(state, admission, OutcomeUnknown(cause), at_ms)
    admission.phase = Phase.FORWARDED
    admission.forwarded_to = peer
    message = TicketForward(
        call_id=request.request_id,
        ticket=request.ticket or "",
        queue=request.queue,
        key_digest=request.key_digest,
        priority=request.priority.value,
        body_digest=request.body_digest,
        body=b"",
        expected_run_ms=request.expected_run_ms,
        max_wait_ms=request.max_wait_ms,
        idempotent=request.idempotent,
        cpu_milli=request.declared.cpu_milli,
        memory_mb=request.declared.memory_mb,
        accelerators=request.declared.accelerators,
        n_hops=n_hops + 1,
    )
    return [ForwardRequest(peer, message, request.request_id)]


def request_of(message: TicketForward, request_id: str, n_body_bytes: int) -> Request:
    """Return the request in a forwarded message under the id that the driver chose."""
    is_known = message.priority in (item.value for item in Priority)
    return Request(
        request_id=request_id,
        queue=message.queue,
        key_digest=message.key_digest,
        priority=Priority(message.priority) if is_known else Priority.BATCH,
        idempotent=message.idempotent,
        ticket=message.ticket,
        body_digest=message.body_digest,
        n_body_bytes=n_body_bytes,
        declared=Resources(message.cpu_milli, message.memory_mb, message.accelerators),
        expected_run_ms=message.expected_run_ms,
        max_wait_ms=message.max_wait_ms,
    )


def ticket_answer(
    admission: Admission,
    outcome: Outcome,
    task_id: str | None,
    answer_body_id: str | None,
) -> Effect:
    """Return the effect that sends an outcome to the peer that forwarded a request."""
    assert admission.origin is not None
    peer, call_id = admission.origin.peer, admission.origin.call_id
    match outcome:
        case Completed(status, n_body_bytes):
            message = TicketAnswer(
                call_id, "completed", status=status, n_body_bytes=n_body_bytes
            )
            buffered_id = answer_body_id or admission.request.request_id
            return SendAnswerWithBody(peer, message, buffered_id, task_id)
        case NotRun():
            return refusal_answer(admission.origin, outcome)
        case FailedAfterStart(text):
            message = TicketAnswer(call_id, "failed_after_start", message=text)
        case OutcomeUnknown(text):
            message = TicketAnswer(call_id, "outcome_unknown", message=text)
    return SendPeer(peer, message)


def refusal_answer(origin: Origin, refusal: NotRun) -> Effect:
    """Return the effect that sends a refusal to the peer that forwarded a request."""
    message = TicketAnswer(
        origin.call_id, "not_run", refusal.kind.value, refusal.message
    )
    return SendPeer(origin.peer, message)


def finish_forward(
    state: EntryState, peer: str, message: TicketAnswer, at_ms: int
) -> list[Effect]:
    """End a forwarded request with the answer of the ticket's issuer."""
    admission = state.claims.admissions.get(message.call_id)
    if admission is None:
        return _release_unused(state, message.call_id)
    if admission.forwarded_to != peer:
        return []
    outcome = _outcome_of(message)
    return claims.end(state, admission, outcome, at_ms, answer_body_id=message.call_id)


def end_forwarded_requests(state: EntryState, peer: str, at_ms: int) -> list[Effect]:
    """End the requests that were forwarded over a broken connection as unknown."""
    lost = [
        admission
        for admission in state.claims.admissions.values()
        if admission.forwarded_to == peer
    ]
    effects: list[Effect] = []
    for admission in lost:
        message = f"the connection to entry instance {peer!r} broke"
        effects += claims.end(state, admission, OutcomeUnknown(message), at_ms)
    return effects


def query_claimant(
    state: EntryState, admission: Admission, claimant: str, at_ms: int
) -> list[Effect]:
    """Query the claimant of a key for the outcome.

    Each claim that is queried gets its own call id, so that a late answer about an
    earlier claim never supersedes the current one.
    """
    claim = admission.claim
    assert claim is not None
    admission.phase = Phase.ASKING
    state.claims.last_n += 1
    identity = state.identity
    claim.query_id = (
        f"ask-{identity.entry}.{identity.incarnation}.{state.claims.last_n}"
    )
    state.claims.queries[claim.query_id] = admission.request.request_id
    claim.answered_ms = at_ms
    return _send_query(state, admission, claimant, at_ms)


def poll(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    """Repeat the query, or read the stored outcome if the claimant is silent."""
    claim = admission.claim
    assert claim is not None
    if claim.final_read or claim.existing is None:
        return []
    if at_ms - claim.answered_ms >= CLAIM_ANSWER_TIMEOUT_MS:
        return _read_stored_outcome(state, admission)
    if at_ms - claim.queried_ms < CLAIM_POLL_MS:
        return []
    return _send_query(state, admission, claim.existing.claimant, at_ms)


def answer_query(
    state: EntryState, peer: str, query: ClaimQuery, at_ms: int
) -> list[Effect]:
    """Answer a query about a local claim, or relay it towards the claimant."""
    entry, incarnation = _parse_token(query.claimant)
    if entry == state.identity.entry:
        return [_local_answer(state, peer, query)]
    hop = _next_hop(state, entry, incarnation, query.n_hops, at_ms)
    if hop is None:
        return [SendPeer(peer, ClaimAnswer(query.call_id, "unknown"))]
    state.claims.relays.pop(query.call_id, None)
    state.claims.relays[query.call_id] = Relay(peer, at_ms)
    return [SendPeer(hop, replace(query, n_hops=query.n_hops + 1))]


def finish_query(state: EntryState, message: ClaimAnswer, at_ms: int) -> list[Effect]:
    """Process the answer of a claimant, or relay it to the peer that queried."""
    relay = state.claims.relays.pop(message.call_id, None)
    if relay is not None and message.state != "completed":
        return [SendPeer(relay.peer, message)]
    if relay is not None:
        return [
            SendAnswerWithBody(relay.peer, message, message.call_id),
            ReleaseBodies(message.call_id),
        ]
    request_id = state.claims.queries.get(message.call_id, "")
    admission = state.claims.admissions.get(request_id)
    claim = admission.claim if admission else None
    if admission is None or claim is None or claim.final_read:
        return _release_unused(state, message.call_id)
    if admission.phase is not Phase.ASKING or claim.query_id != message.call_id:
        return _release_unused(state, message.call_id)
    claim.answered_ms = at_ms
    if message.state == "running":
        return []
    if message.state == "completed":
        outcome = Completed(message.status, message.n_body_bytes)
        return claims.end(
            state, admission, outcome, at_ms, answer_body_id=message.call_id
        )
    del state.claims.queries[message.call_id]
    match message.state:
        case "failed":
            failed = FailedAfterStart("the first submission failed after its start")
            return claims.end(state, admission, failed, at_ms)
        case "abandoned":
            return claim_store.supersede(state, admission, at_ms)
    return _read_stored_outcome(state, admission)


def expire_relays(state: EntryState, at_ms: int) -> None:
    """Remove relayed queries that were never answered."""
    relays = state.claims.relays
    while relays:
        call_id = next(iter(relays))
        if at_ms - relays[call_id].at_ms < _RELAY_RETENTION_MS:
            return
        del relays[call_id]


def _parse_token(token: str) -> tuple[str, str]:
    entry, _, incarnation = token.rpartition(".")[0].rpartition(".")
    return entry, incarnation


def _send_query(
    state: EntryState, admission: Admission, claimant: str, at_ms: int
) -> list[Effect]:
    claim = admission.claim
    assert claim is not None
    entry, incarnation = _parse_token(claimant)
    peer = _next_hop(state, entry, incarnation, 0, at_ms)
    if peer is None:
        return _read_stored_outcome(state, admission)
    claim.queried_ms = at_ms
    query = ClaimQuery(claim.query_id, claim.key, claimant, admission.digest, 1)
    return [SendPeer(peer, query)]


def _read_stored_outcome(state: EntryState, admission: Admission) -> list[Effect]:
    assert admission.claim is not None
    admission.claim.final_read = True
    state.claims.queries.pop(admission.claim.query_id, None)
    return claim_store.read(state, admission)


def _release_unused(state: EntryState, answer_body_id: str) -> list[Effect]:
    """Release the body of a late answer unless a retained outcome uses it."""
    retained = outcomes.find(
        state, state.claims.queries.get(answer_body_id, answer_body_id)
    )
    if retained is not None and retained.body_id == answer_body_id:
        return []
    return [ReleaseBodies(answer_body_id)]


def _local_answer(state: EntryState, peer: str, query: ClaimQuery) -> Effect:
    request_id = state.claims.by_token.get(query.claimant)
    if request_id is None:
        return SendPeer(peer, ClaimAnswer(query.call_id, "unknown"))
    if request_id in state.claims.admissions:
        return SendPeer(peer, ClaimAnswer(query.call_id, "running"))
    retained = outcomes.find(state, request_id)
    match retained.outcome if retained else None:
        case Completed(status, n_body_bytes) if retained and retained.body_id:
            message = ClaimAnswer(
                query.call_id, "completed", status, n_body_bytes=n_body_bytes
            )
            return SendAnswerWithBody(peer, message, retained.body_id)
        case FailedAfterStart():
            return SendPeer(peer, ClaimAnswer(query.call_id, "failed"))
        case NotRun():
            return SendPeer(peer, ClaimAnswer(query.call_id, "abandoned"))
    return SendPeer(peer, ClaimAnswer(query.call_id, "unknown"))


def _outcome_of(message: TicketAnswer) -> Outcome:
    match message.outcome:
        case "completed":
            return Completed(message.status, message.n_body_bytes)
        case "not_run":
            is_known = message.kind in (kind.value for kind in RefusalKind)
            kind = RefusalKind(message.kind) if is_known else RefusalKind.NO_CAPACITY
            return NotRun(kind, message.message)
        case "failed_after_start":
            return FailedAfterStart(message.message)
    return OutcomeUnknown(message.message)


def _next_hop(
    state: EntryState, entry: str, incarnation: str, n_hops: int, at_ms: int
) -> str | None:
    """Return the connected peer on the route to an entry instance, or None."""
    if n_hops >= MAX_PEER_HOPS or entry == state.identity.entry:
        return None
    member = membership.live_entries(state, at_ms).get(entry)
    if member is None or member.incarnation != incarnation:
        return None
    connected = state.claims.connected
    if entry in connected:
        return entry
    data_centre = state.identity.data_centre
    if member.data_centre == data_centre:
        return None
    if membership.is_relay(state, at_ms):
        data_centre = member.data_centre
    relay = min(membership.live_entries_of(state, data_centre, at_ms), default=None)
    return relay if relay in connected else None
