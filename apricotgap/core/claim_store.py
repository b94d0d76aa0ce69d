"""Claims on idempotency keys in the platform store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotgap.core import claims, config_view, peer_requests
from apricotgap.core.claim_document import (
    ClaimDocument,
    ClaimStep,
    claim_key,
)
from apricotgap.core.claim_state import Admission, Claim, OutcomeWrite, Phase
from apricotgap.core.effects import (
    Count,
    Effect,
    FetchBody,
    GrantLease,
    StoreBody,
    StoreCas,
    StoreGet,
)
from apricotgap.core.events import CasFinished, CasResult, KeyValue
from apricotgap.core.limits import (
    CLAIM_LEASE_WINDOW_MS,
    CLAIM_RETENTION_MS,
    CLAIM_TIMEOUT_MS,
    CLAIM_WRITE_BURST,
    CLAIM_WRITES_PER_S,
    MAX_CLAIM_TRIES,
    MAX_STORED_BODY_BYTES,
)
from apricotgap.model import (
    Completed,
    FailedAfterStart,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalKind,
)

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "begin",
    "finish_cas",
    "finish_fetch",
    "finish_read",
    "finish_write",
    "lease_failed",
    "lease_granted",
    "read",
    "read_failed",
    "store_outcome",
    "supersede",
    "time_out",
]

_NOT_CONFIRMED = "the store did not confirm the claim on the idempotency key"


def begin(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    """Join an earlier submission with the same key, or claim the key."""
    claim_state = state.claims
    key = claim_key(admission.team, admission.request)
    if key in claim_state.by_key:
        return claims.join(state, admission, claim_state.by_key[key], at_ms)
    if config_view.view_case(state, at_ms) == "store_down":
        message = "the store is down, so the idempotency key cannot be claimed"
        kind = RefusalKind.STORE_UNAVAILABLE
        return claims.refuse(state, admission, kind, message, at_ms)
    if not _take_write_tokens(state, 1, at_ms):
        message = f"limit of {CLAIM_WRITES_PER_S} claim writes per second exceeded"
        return claims.refuse(state, admission, RefusalKind.CLAIM_RATE, message, at_ms)
    identity = state.identity
    claim_state.last_n += 1
    token = f"{identity.entry}.{identity.incarnation}.{claim_state.last_n}"
    request_id = admission.request.request_id
    admission.claim = Claim(key, token)
    admission.phase = Phase.CLAIMING
    claim_state.by_key[key] = request_id
    claim_state.by_token[token] = request_id
    claim_state.resolving[request_id] = None
    return _write_claim(state, admission, admission.claim, at_ms)


def finish_cas(
    state: EntryState, admission: Admission, event: CasFinished
) -> list[Effect]:
    """Process the result of the compare-and-swap of a claim."""
    claim = _claim(admission)
    claim.call_id = ""
    if event.result is CasResult.STORED:
        return _stored(state, admission, claim, event.revision, event.at_ms)
    if admission.outcome is not None:
        return []
    return read(state, admission)


def read(state: EntryState, admission: Admission) -> list[Effect]:
    """Read the stored claim to find the claimant of the key."""
    claim = _claim(admission)
    claim.call_id = _new_call(state, admission)
    return [StoreGet(claim.call_id, claim.key)]


def finish_read(
    state: EntryState, admission: Admission, item: KeyValue, at_ms: int
) -> list[Effect]:
    """Process the claim document that was read from the store."""
    claim = _claim(admission)
    claim.call_id = ""
    claim.n_failed_reads = 0
    document = ClaimDocument.decode(item.value) if item.revision else None
    if document is not None and document.claimant == claim.token:
        return _stored(state, admission, claim, item.revision, at_ms)
    if admission.outcome is not None:
        return []
    if not item.revision and not claim.final_read:
        claim.expected_revision = 0
        return _write_claim(state, admission, claim, at_ms)
    if document is None:
        message = "the claim on the idempotency key is missing or unreadable"
        return claims.end(state, admission, OutcomeUnknown(message), at_ms)
    return _resolve(state, admission, document, item.revision, at_ms)


def read_failed(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    """Retry a failed read, or refuse the request after the last attempt."""
    claim = _claim(admission)
    claim.call_id = ""
    if admission.outcome is not None:
        return []
    claim.n_failed_reads += 1
    if claim.n_failed_reads < MAX_CLAIM_TRIES:
        return read(state, admission)
    if claim.final_read:
        return _end_unknown(state, admission, at_ms)
    return _give_up(state, admission, at_ms)


def time_out(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    """Refuse a request whose claim the store did not confirm in time."""
    return _give_up(state, admission, at_ms)


def supersede(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    """Replace an abandoned claim at the revision at which it was read."""
    claim = _claim(admission)
    claim.expected_revision = claim.existing_revision
    claim.existing = None
    if admission.phase is not Phase.CLAIMING:
        admission.phase = Phase.CLAIMING
        admission.deadline_ms = at_ms + CLAIM_TIMEOUT_MS
    return _write_claim(state, admission, claim, at_ms)


def finish_fetch(
    state: EntryState, admission: Admission, n_body_bytes: int | None, at_ms: int
) -> list[Effect]:
    """Answer with the response body that another entry instance stored."""
    claim = _claim(admission)
    if admission.outcome is not None or claim.existing is None:
        return []
    if n_body_bytes is None:
        return _end_answer_lost(state, admission, claim.existing, at_ms)
    outcome = Completed(claim.existing.status, n_body_bytes)
    answer_body_id = admission.request.request_id
    return claims.end(state, admission, outcome, at_ms, answer_body_id=answer_body_id)


def lease_granted(
    state: EntryState, lease_id: int, sent_ms: int, at_ms: int
) -> list[Effect]:
    """Write the claims that waited for a lease."""
    claim_state = state.claims
    claim_state.lease_call_id = ""
    claim_state.lease_id = lease_id
    claim_state.lease_fresh_until_ms = sent_ms + CLAIM_LEASE_WINDOW_MS
    effects: list[Effect] = []
    for admission in _pop_waiters(state):
        effects += _write_claim(state, admission, _claim(admission), at_ms)
    return effects


def lease_failed(state: EntryState, at_ms: int) -> list[Effect]:
    """Refuse the requests that waited for a lease; no claim was written."""
    state.claims.lease_call_id = ""
    effects: list[Effect] = []
    for admission in _pop_waiters(state):
        effects += _give_up(state, admission, at_ms)
    return effects


def store_outcome(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    """Write the outcome into the stored claim, best effort."""
    claim = admission.claim
    if claim is None or not claim.revision or admission.outcome is None:
        return []
    document = _outcome_document(claim, admission.digest, admission.outcome)
    if not _take_write_tokens(state, 2 if document.has_body else 1, at_ms):
        return [Count("claim_outcomes_not_stored")]
    write = OutcomeWrite(claim.key, claim.revision, claim.lease_id, document)
    if document.has_body:
        call_id = _new_call_id(state)
        state.claims.writes[call_id] = write
        key = document.body_key(claim.key)
        request_id = admission.request.request_id
        return [StoreBody(call_id, key, request_id, claim.lease_id)]
    return _write_document(state, write, document)


def finish_write(state: EntryState, call_id: str, stored: bool) -> list[Effect]:
    """Write the outcome document after its body."""
    write = state.claims.writes.pop(call_id)
    if write.document is None:
        return [] if stored else [Count("claim_outcomes_not_stored")]
    document = write.document
    if not stored:
        document = ClaimDocument(
            document.claimant, document.digest, document.step, document.status
        )
    return _write_document(state, write, document)


def _claim(admission: Admission) -> Claim:
    assert admission.claim is not None
    return admission.claim


def _new_call_id(state: EntryState) -> str:
    state.claims.last_n += 1
    return f"claim-{state.claims.last_n}"


def _new_call(state: EntryState, admission: Admission) -> str:
    call_id = _new_call_id(state)
    state.claims.calls[call_id] = admission
    return call_id


def _take_write_tokens(state: EntryState, n_writes: int, at_ms: int) -> bool:
    claim_state = state.claims
    refill = (at_ms - claim_state.refilled_ms) * CLAIM_WRITES_PER_S
    claim_state.write_milli_tokens = min(
        CLAIM_WRITE_BURST * 1000, claim_state.write_milli_tokens + refill
    )
    claim_state.refilled_ms = at_ms
    if claim_state.write_milli_tokens < n_writes * 1000:
        return False
    claim_state.write_milli_tokens -= n_writes * 1000
    return True


def _write_claim(
    state: EntryState, admission: Admission, claim: Claim, at_ms: int
) -> list[Effect]:
    # Every attempt writes the same token, so at most one of them can be stored.
    if claim.n_writes >= MAX_CLAIM_TRIES or at_ms > admission.deadline_ms:
        return _give_up(state, admission, at_ms)
    claim_state = state.claims
    if not claim_state.lease_id or at_ms >= claim_state.lease_fresh_until_ms:
        claim_state.lease_waiters.append(admission.request.request_id)
        if claim_state.lease_call_id:
            return []
        claim_state.lease_call_id = _new_call_id(state)
        ttl_ms = CLAIM_RETENTION_MS + CLAIM_LEASE_WINDOW_MS
        return [GrantLease(claim_state.lease_call_id, ttl_ms)]
    claim.n_writes += 1
    claim.lease_id = claim_state.lease_id
    claim.call_id = _new_call(state, admission)
    value = ClaimDocument(claim.token, admission.digest).encode()
    return [
        StoreCas(
            claim.call_id, claim.key, claim.expected_revision, value, claim.lease_id
        )
    ]


def _pop_waiters(state: EntryState) -> list[Admission]:
    claim_state = state.claims
    waiters, claim_state.lease_waiters = claim_state.lease_waiters, []
    candidates = (claim_state.admissions.get(request_id) for request_id in waiters)
    return [admission for admission in candidates if admission is not None]


def _stored(
    state: EntryState, admission: Admission, claim: Claim, revision: int, at_ms: int
) -> list[Effect]:
    claim.revision = revision
    if isinstance(admission.outcome, NotRun):
        return store_outcome(state, admission, at_ms)
    if admission.outcome is not None:
        return []
    if at_ms > admission.deadline_ms:
        # After a long pause of the process the retention lease may have expired.
        return _give_up(state, admission, at_ms)
    state.claims.resolving.pop(admission.request.request_id, None)
    return claims.enter_queue(state, admission, at_ms)


def _resolve(
    state: EntryState,
    admission: Admission,
    document: ClaimDocument,
    revision: int,
    at_ms: int,
) -> list[Effect]:
    claim = _claim(admission)
    claim.existing = document
    claim.existing_revision = revision
    if document.digest != admission.digest:
        message = "the idempotency key was used with another queue or body"
        return claims.refuse(state, admission, RefusalKind.KEY_REUSED, message, at_ms)
    match document.step:
        case ClaimStep.ABANDONED:
            return supersede(state, admission, at_ms)
        case ClaimStep.COMPLETED:
            return _fetch(state, admission, document, at_ms)
        case ClaimStep.FAILED:
            failed = FailedAfterStart(document.message)
            return claims.end(state, admission, failed, at_ms)
        case ClaimStep.UNKNOWN:
            unknown = OutcomeUnknown(document.message)
            return claims.end(state, admission, unknown, at_ms)
    if claim.final_read:
        return _end_unknown(state, admission, at_ms)
    return _follow_claimant(state, admission, document, at_ms)


def _follow_claimant(
    state: EntryState, admission: Admission, document: ClaimDocument, at_ms: int
) -> list[Effect]:
    claim_state = state.claims
    first_id = claim_state.by_token.get(document.claimant)
    retained = claim_state.keyed.records.get(first_id or "")
    if retained is not None and isinstance(retained.outcome, NotRun):
        return supersede(state, admission, at_ms)
    if retained is not None:
        answer_body_id = retained.body_id
        return claims.end(
            state, admission, retained.outcome, at_ms, answer_body_id=answer_body_id
        )
    return peer_requests.query_claimant(state, admission, document.claimant, at_ms)


def _fetch(
    state: EntryState, admission: Admission, document: ClaimDocument, at_ms: int
) -> list[Effect]:
    claim = _claim(admission)
    if not document.has_body and not claim.final_read:
        return peer_requests.query_claimant(state, admission, document.claimant, at_ms)
    if not document.has_body:
        return _end_answer_lost(state, admission, document, at_ms)
    admission.phase = Phase.FETCHING
    request_id = admission.request.request_id
    claim.call_id = _new_call(state, admission)
    return [FetchBody(claim.call_id, document.body_key(claim.key), request_id)]


def _end_answer_lost(
    state: EntryState, admission: Admission, document: ClaimDocument, at_ms: int
) -> list[Effect]:
    message = (
        f"the request completed with status {document.status}; its response is lost"
    )
    return claims.end(state, admission, OutcomeUnknown(message), at_ms)


def _end_unknown(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    message = "the entry instance that claimed the idempotency key is unreachable"
    return claims.end(state, admission, OutcomeUnknown(message), at_ms)


def _give_up(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    # The lease may be lost in the store, which makes every write fail.
    state.claims.lease_id = 0
    kind = RefusalKind.STORE_UNAVAILABLE
    return claims.refuse(state, admission, kind, _NOT_CONFIRMED, at_ms)


def _outcome_document(claim: Claim, digest: str, outcome: Outcome) -> ClaimDocument:
    match outcome:
        case NotRun():
            return ClaimDocument(claim.token, digest, ClaimStep.ABANDONED)
        case FailedAfterStart(message):
            step = ClaimStep.FAILED
            return ClaimDocument(claim.token, digest, step, message=message)
        case OutcomeUnknown(message):
            step = ClaimStep.UNKNOWN
            return ClaimDocument(claim.token, digest, step, message=message)
        case Completed(status, n_body_bytes):
            return ClaimDocument(
                claim.token,
                digest,
                ClaimStep.COMPLETED,
                status,
                has_body=n_body_bytes <= MAX_STORED_BODY_BYTES,
            )


def _write_document(
    state: EntryState, write: OutcomeWrite, document: ClaimDocument
) -> list[Effect]:
    call_id = _new_call_id(state)
    state.claims.writes[call_id] = OutcomeWrite(
        write.key, write.revision, write.lease_id
    )
    value = document.encode()
    return [StoreCas(call_id, write.key, write.revision, value, write.lease_id)]
