"""Outcomes kept for repeated submissions, bounded in count, bytes and age."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotgap.core.claim_state import Admission, Retained, RetainedOutcomes
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


def find(state: EntryState, request_id: str) -> Retained | None:
    """Return the kept outcome of a request."""
    keyed = state.claims.keyed.records.get(request_id)
    return keyed or state.claims.plain.records.get(request_id)


def retain(
    state: EntryState,
    admission: Admission,
    outcome: Outcome,
    source: str | None,
    at_ms: int,
) -> list[Effect]:
    """Keep an outcome; the body only of requests that may be submitted again."""
    request_id = admission.request.request_id
    claim = admission.claim
    keyed = claim is not None or admission.ticket_n is not None
    holds_body = keyed and isinstance(outcome, Completed)
    kept = Retained(
        team=admission.team,
        digest=admission.digest,
        outcome=outcome,
        at_ms=at_ms,
        claim_key=claim.key if claim else None,
        token=claim.token if claim else None,
        ticket_n=admission.ticket_n,
        body_id=(source or request_id) if holds_body else None,
        n_body_bytes=_n_body_bytes(outcome) if holds_body else 0,
    )
    outcomes = state.claims.keyed if keyed else state.claims.plain
    outcomes.records[request_id] = kept
    outcomes.n_body_bytes += kept.n_body_bytes
    effects: list[Effect] = []
    if kept.body_id != request_id:
        effects.append(ReleaseBodies(request_id))
    return [*effects, *_evict(state, outcomes, at_ms)]


def expire(state: EntryState, at_ms: int) -> list[Effect]:
    """Forget outcomes past the retention time."""
    return [
        *_evict(state, state.claims.keyed, at_ms),
        *_evict(state, state.claims.plain, at_ms),
    ]


def _evict(state: EntryState, outcomes: RetainedOutcomes, at_ms: int) -> list[Effect]:
    effects: list[Effect] = []
    while outcomes.records:
        request_id = next(iter(outcomes.records))
        kept = outcomes.records[request_id]
        full = (
            len(outcomes.records) > MAX_RETAINED_OUTCOMES
            or outcomes.n_body_bytes > MAX_RETAINED_BODY_BYTES
        )
        if not full and at_ms - kept.at_ms < OUTCOME_RETENTION_MS:
            break
        del outcomes.records[request_id]
        outcomes.n_body_bytes -= kept.n_body_bytes
        _forget(state, request_id, kept)
        if kept.body_id is not None:
            state.claims.asks.pop(kept.body_id, None)
            effects.append(ReleaseBodies(kept.body_id))
    return effects


def _forget(state: EntryState, request_id: str, kept: Retained) -> None:
    claims = state.claims
    if kept.claim_key is not None and claims.by_key.get(kept.claim_key) == request_id:
        del claims.by_key[kept.claim_key]
    if kept.token is not None:
        claims.by_token.pop(kept.token, None)
    if kept.ticket_n is not None:
        claims.tickets.used.pop(kept.ticket_n, None)
        claims.tickets.forgotten_n = max(claims.tickets.forgotten_n, kept.ticket_n)


def _n_body_bytes(outcome: Outcome) -> int:
    return outcome.n_body_bytes if isinstance(outcome, Completed) else 0
