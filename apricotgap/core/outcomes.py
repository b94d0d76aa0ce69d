"""Outcomes retained for resubmissions, bounded in count, bytes and age."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotgap.core.claim_state import Admission, RetainedOutcome, RetainedOutcomes
from apricotgap.core.effects import Effect, ReleaseBodies
from apricotgap.core.limits import (
    MAX_RETAINED_BODY_BYTES,
    MAX_RETAINED_OUTCOMES,
    OUTCOME_RETENTION_MS,
)
from apricotgap.model import Completed, Outcome

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["expire", "find", "retain"]


def find(state: EntryState, request_id: str) -> RetainedOutcome | None:
    """Return the retained outcome of a request."""
    keyed = state.claims.keyed.records.get(request_id)
    return keyed or state.claims.plain.records.get(request_id)


def retain(
    state: EntryState,
    admission: Admission,
    outcome: Outcome,
    answer_body_id: str | None,
    at_ms: int,
) -> list[Effect]:
    """Retain an outcome; its body only for requests with a claim or ticket."""
    request_id = admission.request.request_id
    claim = admission.claim
    keyed = claim is not None or admission.ticket_n is not None
    holds_body = keyed and isinstance(outcome, Completed)
    retained = RetainedOutcome(
        team=admission.team,
        digest=admission.digest,
        outcome=outcome,
        at_ms=at_ms,
        claim_key=claim.key if claim else None,
        token=claim.token if claim else None,
        ticket_n=admission.ticket_n,
        body_id=(answer_body_id or request_id) if holds_body else None,
        n_body_bytes=_n_body_bytes(outcome) if holds_body else 0,
    )
    outcomes = state.claims.keyed if keyed else state.claims.plain
    outcomes.records[request_id] = retained
    outcomes.n_body_bytes += retained.n_body_bytes
    effects: list[Effect] = []
    if retained.body_id != request_id:
        effects.append(ReleaseBodies(request_id))
    return [*effects, *_evict(state, outcomes, at_ms)]


def expire(state: EntryState, at_ms: int) -> list[Effect]:
    """Remove outcomes past their retention time."""
    return [
        *_evict(state, state.claims.keyed, at_ms),
        *_evict(state, state.claims.plain, at_ms),
    ]


def _evict(state: EntryState, outcomes: RetainedOutcomes, at_ms: int) -> list[Effect]:
    effects: list[Effect] = []
    while outcomes.records:
        request_id = next(iter(outcomes.records))
        retained = outcomes.records[request_id]
        full = (
            len(outcomes.records) > MAX_RETAINED_OUTCOMES
            or outcomes.n_body_bytes > MAX_RETAINED_BODY_BYTES
        )
        if not full and at_ms - retained.at_ms < OUTCOME_RETENTION_MS:
            break
        del outcomes.records[request_id]
        outcomes.n_body_bytes -= retained.n_body_bytes
        _forget(state, request_id, retained)
        if retained.body_id is not None:
            state.claims.queries.pop(retained.body_id, None)
            effects.append(ReleaseBodies(retained.body_id))
    return effects


def _forget(state: EntryState, request_id: str, retained: RetainedOutcome) -> None:
    claims = state.claims
    if (
        retained.claim_key is not None
        and claims.by_key.get(retained.claim_key) == request_id
    ):
        del claims.by_key[retained.claim_key]
    if retained.token is not None:
        claims.by_token.pop(retained.token, None)
    if retained.ticket_n is not None:
        claims.tickets.used.pop(retained.ticket_n, None)
        claims.tickets.max_forgotten_n = max(
            claims.tickets.max_forgotten_n, retained.ticket_n
        )


def _n_body_bytes(outcome: Outcome) -> int:
    return outcome.n_body_bytes if isinstance(outcome, Completed) else 0
