"""Admission control, cancellation and status queries of callers' requests."""

from collections.abc import Iterable

from apricotgap.core import (
    claim_handlers,  # noqa: F401  registers the handlers of claims
    claims,
    config_view,
    fair_queue,
    membership,
    outcomes,
    peer_requests,
    quarantine,
    tickets,
)
from apricotgap.core.claim_state import Admission, Origin, Phase
from apricotgap.core.effects import (
    AnswerCaller,
    AnswerQuery,
    AnswerTicket,
    Count,
    Effect,
    ReleaseBodies,
)
from apricotgap.core.events import (
    CallerDisconnected,
    Event,
    ForwardedRequestArrived,
    OutcomeQueried,
    RequestArrived,
    RequestCancelled,
    TicketRequested,
)
from apricotgap.core.reducer import Handler
from apricotgap.core.state import EntryState
from apricotgap.model import (
    NotRun,
    OutcomeUnknown,
    Queue,
    RefusalKind,
    Request,
    Resources,
)

__all__ = [
    "CallerDisconnect",
    "ForwardedRequestAdmission",
    "OutcomeQuery",
    "RequestAdmission",
    "RequestCancellation",
    "TicketIssue",
    "check",
    "check_start",
    "may_exit",
]

_MAX_KEY_CHARS = 256
_WAITING_PHASES = (Phase.CLAIMING, Phase.FOLLOWING, Phase.WAITING)


def check(state: EntryState, request: Request, at_ms: int) -> str | NotRun:
    """Validate a request and authorise its caller.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    request : Request
        The request.
    at_ms : int
        Time of the decision in milliseconds.

    Returns
    -------
    str or NotRun
        The team, empty for a request without a key, or the refusal.
    """
    team = _team(state, request.key_digest)
    starts = claims.may_start_here(state, request, team or "")
    if starts and _is_stopping(state, at_ms):
        return _stopping()
    if not state.config.revision:
        return NotRun(RefusalKind.NOT_READY, "no configuration has been received yet")
    if refusal := _check_fields(request):
        return refusal
    queue = state.config.queues.get(request.queue)
    if queue is None:
        message = f"queue {request.queue!r} does not exist"
        return NotRun(RefusalKind.UNKNOWN_QUEUE, message)
    if request.key_digest is None and not queue.open_to_all:
        message = f"queue {queue.name!r} requires a key"
        return NotRun(RefusalKind.KEY_MISSING, message)
    if team is None:
        return NotRun(RefusalKind.KEY_UNKNOWN, "the key belongs to no team")
    if team and queue.teams and team not in queue.teams and not queue.open_to_all:
        message = f"team {team!r} may not use queue {queue.name!r}"
        return NotRun(RefusalKind.TEAM_NOT_ALLOWED, message)
    return team


def check_start(
    state: EntryState, request: Request, team: str, at_ms: int
) -> NotRun | None:
    """Decide whether this entry instance may start a request that passed `check`.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    request : Request
        The request.
    team : str
        Its team, empty without a key.
    at_ms : int
        Time of the decision in milliseconds.

    Returns
    -------
    NotRun or None
        The refusal. A resubmission is never refused here.
    """
    if not claims.may_start_here(state, request, team):
        return None
    if team and not config_view.accepts_keyed(state, team, at_ms):
        return _cut_off(state)
    return _check_capacity(state, request, state.config.queues[request.queue])


def may_exit(state: EntryState) -> bool:
    """Tell whether no request, store call or outcome write is in progress."""
    claim_state = state.claims
    return not (claim_state.admissions or claim_state.writes or claim_state.calls)


class RequestAdmission(Handler):
    """Accepts or refuses a caller's request."""

    handles = (RequestArrived,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Check the request, then admit it."""
        assert isinstance(event, RequestArrived)
        request = event.request
        return _accept(state, request, event.at_ms)


class ForwardedRequestAdmission(Handler):
    """Accepts or refuses a request with a ticket that a peer forwarded."""

    handles = (ForwardedRequestArrived,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Apply the same checks as to a request of a local caller."""
        assert isinstance(event, ForwardedRequestArrived)
        message = event.message
        request = peer_requests.request_of(
            message, event.request_id, event.n_body_bytes
        )
        origin = Origin(event.peer, message.call_id, message.n_hops)
        return _accept(state, request, event.at_ms, origin)


class CallerDisconnect(Handler):
    """Withdraws undispatched requests that no caller waits for any more."""

    handles = (CallerDisconnected,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Withdraw the request unless resubmissions wait for its outcome."""
        assert isinstance(event, CallerDisconnected)
        admission = state.claims.admissions.get(event.request_id)
        if admission is None:
            return ()
        admission.caller_gone = True
        if admission.phase is Phase.FOLLOWING:
            return _end_follower(state, admission, event.at_ms)
        return _withdraw_without_callers(state, admission, event.at_ms)


class RequestCancellation(Handler):
    """Cancels a request on behalf of its caller."""

    handles = (RequestCancelled,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """End a request before dispatch, or mark a dispatched one as cancelled."""
        assert isinstance(event, RequestCancelled)
        claim_state = state.claims
        admission = claim_state.admissions.get(event.request_id)
        if admission is None:
            return [_answer_from_retained(state, event)]
        if not _is_authorised(state, admission.team, event.key_digest):
            return [AnswerQuery(event.call_id, "not_found")]
        original = claim_state.admissions.get(admission.leader or "", admission)
        message = "the caller cancelled the request before it was dispatched"
        effects = claims.withdraw(state, original, message, event.at_ms)
        if effects is None:
            original.cancel_requested = True
            return [AnswerQuery(event.call_id, "running")]
        return [*effects, AnswerQuery(event.call_id, "cancelled", original.outcome)]


class OutcomeQuery(Handler):
    """Looks up the outcome of a request."""

    handles = (OutcomeQueried,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Answer only the team that submitted the request."""
        assert isinstance(event, OutcomeQueried)
        admission = state.claims.admissions.get(event.request_id)
        if admission is None:
            return [_answer_from_retained(state, event)]
        if not _is_authorised(state, admission.team, event.key_digest):
            return [AnswerQuery(event.call_id, "not_found")]
        original = state.claims.admissions.get(admission.leader or "", admission)
        waiting = original.phase in _WAITING_PHASES
        return [AnswerQuery(event.call_id, "waiting" if waiting else "running")]


class TicketIssue(Handler):
    """Issues tickets."""

    handles = (TicketRequested,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Issue a ticket to the team of the key, or to callers without a key."""
        assert isinstance(event, TicketRequested)
        team = _team(state, event.key_digest)
        if refusal := _check_issue(state, team, event.at_ms):
            return [
                AnswerTicket(event.call_id, None, refusal),
                _count_refusal(refusal),
            ]
        ticket = tickets.issue(state, team or "", event.at_ms)
        if ticket is not None:
            return [AnswerTicket(event.call_id, ticket)]
        refusal = NotRun(
            RefusalKind.QUEUE_FULL, "this entry instance has too many unused tickets"
        )
        return [AnswerTicket(event.call_id, None, refusal), _count_refusal(refusal)]


def _accept(
    state: EntryState, request: Request, at_ms: int, origin: Origin | None = None
) -> list[Effect]:
    team = check(state, request, at_ms)
    if isinstance(team, NotRun):
        return _refuse(request, team, origin)
    refusal = check_start(state, request, team, at_ms)
    if refusal is not None and request.ticket is None:
        return _refuse(request, refusal, origin)
    return claims.admit(state, request, team, at_ms, origin=origin, refusal=refusal)


def _refuse(request: Request, refusal: NotRun, origin: Origin | None) -> list[Effect]:
    answer: Effect = AnswerCaller(request.request_id, refusal)
    if origin is not None:
        answer = peer_requests.refusal_answer(origin, refusal)
    return [answer, ReleaseBodies(request.request_id), _count_refusal(refusal)]


def _team(state: EntryState, key_digest: str | None) -> str | None:
    """Return the team of a key, empty without a key, None for an unknown one."""
    if key_digest is None:
        return ""
    return config_view.team_of_key(state, key_digest)


def _is_stopping(state: EntryState, at_ms: int) -> bool:
    if not membership.may_take_work(state):
        return True
    stop_ms = state.lifecycle.stop_requested_ms
    return stop_ms is not None and at_ms - stop_ms >= state.lifecycle.balancer_lag_ms


def _stopping() -> NotRun:
    return NotRun(RefusalKind.STOPPING, "this entry instance is stopping")


def _cut_off(state: EntryState) -> NotRun:
    data_centre = state.identity.data_centre
    message = f"data centre {data_centre!r} is cut off and cannot verify keys"
    return NotRun(RefusalKind.CUT_OFF, message)


def _check_fields(request: Request) -> NotRun | None:
    key = request.idempotency_key
    if key is not None and request.ticket is not None:
        message = "a request carries an idempotency key or a ticket, not both"
        return NotRun(RefusalKind.INVALID, message)
    if key is not None and not 0 < len(key) <= _MAX_KEY_CHARS:
        message = f"an idempotency key has 1 to {_MAX_KEY_CHARS} characters"
        return NotRun(RefusalKind.INVALID, message)
    return None


def _check_capacity(state: EntryState, request: Request, queue: Queue) -> NotRun | None:
    """Check capacity, queue length and quarantine."""
    capacities = _capacities(state, queue.pool)
    if not capacities:
        message = f"pool {queue.pool!r} and the spare pools have no instance"
        return NotRun(RefusalKind.NO_CAPACITY, message)
    if not any(request.declared.fits_in(capacity) for capacity in capacities):
        message = f"no instance of pool {queue.pool!r} or a spare pool is large enough"
        return NotRun(RefusalKind.INFEASIBLE, message)
    if fair_queue.n_waiting(state, queue.name) >= queue.max_length:
        message = f"queue {queue.name!r} holds {queue.max_length} waiting requests"
        return NotRun(RefusalKind.QUEUE_FULL, message)
    if quarantine.is_quarantined(state, request.body_digest):
        message = "requests with this body crashed the workers that ran them"
        return NotRun(RefusalKind.QUARANTINED, message)
    return None


def _capacities(state: EntryState, pool: str) -> frozenset[Resources]:
    """Return the distinct capacities of the instances that may serve a pool."""
    claim_state, config = state.claims, state.config
    if claim_state.capacities_config is not config:
        claim_state.capacities_config = config
        claim_state.capacities = {}
    if pool not in claim_state.capacities:
        claim_state.capacities[pool] = frozenset(
            instance.capacity
            for instance in config.instances.values()
            if instance.pool == pool or _is_spare(state, instance.pool)
        )
    return claim_state.capacities[pool]


def _is_spare(state: EntryState, pool: str) -> bool:
    configured = state.config.pools.get(pool)
    return configured is not None and configured.spare


def _check_issue(state: EntryState, team: str | None, at_ms: int) -> NotRun | None:
    if _is_stopping(state, at_ms):
        return _stopping()
    if not state.config.revision:
        return NotRun(RefusalKind.NOT_READY, "no configuration has been received yet")
    if team is None:
        return NotRun(RefusalKind.KEY_UNKNOWN, "the key belongs to no team")
    if team and not config_view.accepts_keyed(state, team, at_ms):
        return _cut_off(state)
    return None


def _end_follower(
    state: EntryState, follower: Admission, at_ms: int
) -> Iterable[Effect]:
    """End a follower, and its leader too if no caller waits for that one."""
    leader = state.claims.admissions.get(follower.leader or "")
    message = "the caller disconnected; the first submission continues"
    effects = claims.end(state, follower, OutcomeUnknown(message), at_ms)
    if leader is None or not leader.caller_gone:
        return effects
    return [*effects, *_withdraw_without_callers(state, leader, at_ms)]


def _withdraw_without_callers(
    state: EntryState, admission: Admission, at_ms: int
) -> Iterable[Effect]:
    if admission.followers:
        return ()
    message = "the caller disconnected before the request was dispatched"
    if admission.phase in (Phase.ASKING, Phase.FETCHING):
        return claims.end(state, admission, OutcomeUnknown(message), at_ms)
    return claims.withdraw(state, admission, message, at_ms) or ()


def _answer_from_retained(
    state: EntryState, event: OutcomeQueried | RequestCancelled
) -> AnswerQuery:
    retained = outcomes.find(state, event.request_id)
    if retained is None or not _is_authorised(state, retained.team, event.key_digest):
        return AnswerQuery(event.call_id, "not_found")
    return AnswerQuery(event.call_id, "done", retained.outcome)


def _is_authorised(state: EntryState, team: str, key_digest: str | None) -> bool:
    return not team or _team(state, key_digest) == team


def _count_refusal(refusal: NotRun) -> Count:
    return Count("requests_refused", labels=(("kind", refusal.kind.value),))
