"""At-most-once admission of requests and delivery of their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotgap.core import (
    claim_store,
    fair_queue,
    outcomes,
    peer_requests,
    placement,
    tickets,
)
from apricotgap.core.claim_document import claim_key, request_digest
from apricotgap.core.claim_state import Admission, ClaimState, Origin, Phase
from apricotgap.core.effects import AnswerCaller, Count, Effect
from apricotgap.core.limits import CLAIM_TIMEOUT_MS
from apricotgap.core.quarantine import record_worker_crash
from apricotgap.model import (
    Completed,
    FailedAfterStart,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalKind,
    Request,
)

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "ClaimState",
    "admit",
    "cancel_requested",
    "conclude",
    "end",
    "enter_queue",
    "join",
    "may_start_here",
    "record_dispatched",
    "record_worker_crash",
    "refuse",
    "withdraw",
]


def admit(
    state: EntryState,
    request: Request,
    team: str,
    at_ms: int,
    *,
    origin: Origin | None = None,
    refusal: NotRun | None = None,
) -> list[Effect]:
    """Claim the key or redeem the ticket of a checked request, then queue it.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    request : Request
        A request that passed the admission checks.
    team : str
        Its team, empty without a key.
    at_ms : int
        Time of the decision in milliseconds.
    origin : Origin or None
        The peer that forwarded the request.
    refusal : NotRun or None
        Refuses a request with a ticket and voids the ticket. Otherwise a delayed
        earlier submission could run after the caller was told "not run".

    Returns
    -------
    list of Effect
        Effects, including the outcome if the request has ended.
    """
    request_id = request.request_id
    if request_id in state.claims.admissions or outcomes.find(state, request_id):
        return []
    admission = Admission(
        request=request,
        team=team,
        digest=request_digest(request),
        deadline_ms=at_ms + CLAIM_TIMEOUT_MS,
        origin=origin,
    )
    state.claims.admissions[request_id] = admission
    if request.ticket is not None:
        return _admit_ticket(state, admission, request.ticket, at_ms, refusal)
    if request.idempotency_key is not None:
        return claim_store.begin(state, admission, at_ms)
    return enter_queue(state, admission, at_ms)


def conclude(
    state: EntryState,
    request_id: str,
    outcome: Outcome,
    task_id: str | None,
    at_ms: int,
) -> list[Effect]:
    """End an admitted request.

    Has no effect on a request that has ended, so its first outcome stands.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    request_id : str
        The request.
    outcome : Outcome
        Its outcome. `NotRun` requires proof that no task ran, and the request must
        never be dispatched afterwards.
    task_id : str or None
        Task whose response body belongs to a `Completed` outcome.
    at_ms : int
        Time in milliseconds.

    Returns
    -------
    list of Effect
        Answers to the caller and to all followers.
    """
    admission = state.claims.admissions.get(request_id)
    if admission is None:
        return []
    return end(state, admission, outcome, at_ms, task_id=task_id)


def record_dispatched(state: EntryState, request_id: str) -> None:
    """Record that a task of the request was dispatched."""
    admission = state.claims.admissions.get(request_id)
    if admission is not None:
        admission.phase = Phase.RUNNING


def cancel_requested(state: EntryState, request_id: str) -> bool:
    """Tell whether the caller cancelled after dispatch: stop and do not retry."""
    admission = state.claims.admissions.get(request_id)
    return admission is not None and admission.cancel_requested


def may_start_here(state: EntryState, request: Request, team: str) -> bool:
    """Tell whether the request may start a task of this entry instance.

    False for a request that joins an earlier submission or is forwarded to the
    issuer of its ticket. Load shedding must not answer "not run" to such a request,
    since the earlier submission may have run.
    """
    if request.ticket is not None:
        parsed = tickets.parse(request.ticket)
        return parsed is None or (
            parsed.entry == state.identity.entry
            and parsed.incarnation == state.identity.incarnation
            and parsed.n in state.claims.tickets.unused
        )
    if request.idempotency_key is None:
        return True
    return claim_key(team, request) not in state.claims.by_key


def enter_queue(state: EntryState, admission: Admission, at_ms: int) -> list[Effect]:
    """Queue a request whose claim is stored or that needs none."""
    request = admission.request
    if request.queue not in state.config.queues:
        message = f"queue {request.queue!r} was removed"
        return refuse(state, admission, RefusalKind.UNKNOWN_QUEUE, message, at_ms)
    admission.phase = Phase.WAITING
    fair_queue.enqueue(state, request, admission.team, at_ms)
    return list(placement.schedule(state, at_ms))


def join(
    state: EntryState, admission: Admission, leader_id: str, at_ms: int
) -> list[Effect]:
    """Give a resubmission the outcome of the first submission."""
    leader = state.claims.admissions.get(leader_id)
    first = leader or outcomes.find(state, leader_id)
    if first is None:
        message = "the outcome of the first submission is no longer retained"
        return end(state, admission, OutcomeUnknown(message), at_ms)
    if first.team != admission.team:
        message = "the ticket was first used by another team"
        return refuse(state, admission, RefusalKind.TICKET_INVALID, message, at_ms)
    if first.digest != admission.digest:
        message = (
            "an earlier submission with this key or ticket had another queue or body"
        )
        return refuse(state, admission, RefusalKind.KEY_REUSED, message, at_ms)
    if leader is not None:
        admission.phase = Phase.FOLLOWING
        admission.leader = leader_id
        leader.followers.append(admission.request.request_id)
        return []
    retained = outcomes.find(state, leader_id)
    assert retained is not None
    return end(
        state, admission, retained.outcome, at_ms, answer_body_id=retained.body_id
    )


def withdraw(
    state: EntryState, admission: Admission, message: str, at_ms: int
) -> list[Effect] | None:
    """End a request that was not dispatched; return None if it may have been."""
    before_dispatch = admission.phase is Phase.CLAIMING or (
        admission.phase in (Phase.WAITING, Phase.RUNNING)
        and fair_queue.cancel(state, admission.request.request_id)
    )
    if not before_dispatch:
        return None
    return refuse(state, admission, RefusalKind.CANCELLED, message, at_ms)


def refuse(
    state: EntryState,
    admission: Admission,
    kind: RefusalKind,
    message: str,
    at_ms: int,
) -> list[Effect]:
    """End a request none of whose tasks may have run."""
    return end(state, admission, NotRun(kind, message), at_ms)


def end(
    state: EntryState,
    admission: Admission,
    outcome: Outcome,
    at_ms: int,
    *,
    task_id: str | None = None,
    answer_body_id: str | None = None,
) -> list[Effect]:
    """Answer a request and its followers, and retain and store the outcome.

    `answer_body_id` is the id of a response body that the driver already buffers.
    """
    claims = state.claims
    request_id = admission.request.request_id
    if claims.admissions.pop(request_id, None) is None:
        return []
    if isinstance(outcome, NotRun):
        fair_queue.cancel(state, request_id)
    dispatched = admission.phase is Phase.RUNNING or admission.phase is Phase.WAITING
    admission.outcome = outcome
    claims.resolving.pop(request_id, None)
    _detach_from_leader(state, admission)
    if admission.claim is not None and admission.claim.query_id != answer_body_id:
        claims.queries.pop(admission.claim.query_id, None)
    effects = _answer(admission, outcome, task_id, answer_body_id)
    for follower_id in admission.followers:
        follower = claims.admissions.pop(follower_id)
        follower.outcome = outcome
        effects += _answer(follower, outcome, None, answer_body_id or request_id)
        effects += outcomes.retain(state, follower, outcome, None, at_ms)
    effects += claim_store.store_outcome(state, admission, at_ms)
    if not _applies_to_resubmissions(outcome, dispatched):
        _forget_key(state, admission)
    effects += outcomes.retain(state, admission, outcome, answer_body_id, at_ms)
    effects.append(Count("requests_ended", labels=_labels(outcome)))
    return effects


def _admit_ticket(
    state: EntryState,
    admission: Admission,
    ticket: str,
    at_ms: int,
    refusal: NotRun | None,
) -> list[Effect]:
    parsed = tickets.parse(ticket)
    if parsed is None:
        message = "the ticket is malformed"
        return refuse(state, admission, RefusalKind.TICKET_INVALID, message, at_ms)
    identity = state.identity
    if (parsed.entry, parsed.incarnation) != (identity.entry, identity.incarnation):
        return peer_requests.forward(state, admission, parsed, at_ms)
    if not tickets.is_authentic(state, parsed):
        message = "the ticket was not issued by this entry instance"
        return refuse(state, admission, RefusalKind.TICKET_INVALID, message, at_ms)
    ticket_state = state.claims.tickets
    tickets.expire(state, at_ms)
    if parsed.n in ticket_state.used:
        return join(state, admission, ticket_state.used[parsed.n], at_ms)
    unused = ticket_state.unused.get(parsed.n)
    if unused is None and parsed.n <= ticket_state.max_forgotten_n:
        message = "the outcome of the ticket is no longer retained"
        return end(state, admission, OutcomeUnknown(message), at_ms)
    if unused is None:
        message = "the ticket expired unused"
        return refuse(state, admission, RefusalKind.TICKET_EXPIRED, message, at_ms)
    if unused.team != admission.team:
        message = "the ticket was issued to another team"
        return refuse(state, admission, RefusalKind.TICKET_INVALID, message, at_ms)
    del ticket_state.unused[parsed.n]
    ticket_state.used[parsed.n] = admission.request.request_id
    admission.ticket_n = parsed.n
    if refusal is not None:
        message = f"{refusal.message}; the ticket is void, request a new one"
        return refuse(state, admission, refusal.kind, message, at_ms)
    return enter_queue(state, admission, at_ms)


def _answer(
    admission: Admission,
    outcome: Outcome,
    task_id: str | None,
    answer_body_id: str | None,
) -> list[Effect]:
    if not isinstance(outcome, Completed):
        answer_body_id = None
    if admission.origin is not None:
        return [
            peer_requests.ticket_answer(admission, outcome, task_id, answer_body_id)
        ]
    request_id = admission.request.request_id
    return [AnswerCaller(request_id, outcome, task_id, answer_body_id)]


def _detach_from_leader(state: EntryState, admission: Admission) -> None:
    leader = state.claims.admissions.get(admission.leader or "")
    if leader is not None:
        leader.followers.remove(admission.request.request_id)


def _applies_to_resubmissions(outcome: Outcome, dispatched: bool) -> bool:
    # The outcome of a claim of another entry instance may become known later.
    return isinstance(outcome, Completed | FailedAfterStart) or (
        dispatched and isinstance(outcome, OutcomeUnknown)
    )


def _forget_key(state: EntryState, admission: Admission) -> None:
    claim = admission.claim
    by_key = state.claims.by_key
    if claim is not None and by_key.get(claim.key) == admission.request.request_id:
        del by_key[claim.key]


def _labels(outcome: Outcome) -> tuple[tuple[str, str], ...]:
    name = type(outcome).__name__
    if isinstance(outcome, NotRun):
        return (("outcome", name), ("kind", outcome.kind.value))
    return (("outcome", name),)
