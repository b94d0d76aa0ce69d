"""Weighted fair queueing over teams with two priority classes."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import islice
from typing import TYPE_CHECKING

from apricotgap.core import allotments, claims
from apricotgap.core.effects import Effect
from apricotgap.model import (
    NotRun,
    Outcome,
    OutcomeUnknown,
    Priority,
    RefusalKind,
    Request,
)

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "PendingRequest",
    "QueueState",
    "cancel",
    "charge",
    "dequeue",
    "enqueue",
    "expire",
    "n_waiting",
    "n_waiting_in_class",
    "peek",
    "recheck_parked",
    "requeue",
    "skip_team",
    "unpark",
    "unskip_team",
]

# How far, in slot time, a team that was parked at its limit may lag behind the virtual
# time when it returns; without a bound, a raised limit would let it starve the others.
MAX_VIRTUAL_TIME_CREDIT_MS = 10_000
MAX_RECHECKED_PER_TICK = 64
_COMPACT_SLACK = 64


@dataclass(slots=True, eq=False)
class PendingRequest:
    """An admitted request without an outcome and the history of its attempts.

    `n_broken_connections` counts the connections that broke after a task was sent.
    Each may be due to a worker crash that a probe detects only later. `excluded`
    holds the instances to which the request is not sent again.
    """

    request: Request
    team: str
    enqueued_ms: int
    deadline_ms: int
    n_attempts: int = 0
    n_refusals: int = 0
    n_failures: int = 0
    n_worker_crashes: int = 0
    n_broken_connections: int = 0
    may_have_run: bool = False
    removed: bool = False
    excluded: set[str] = field(default_factory=set)

    @property
    def class_key(self) -> tuple[str, Priority]:
        """Queue and priority class."""
        return self.request.queue, self.request.priority


@dataclass(slots=True, eq=False)
class _TeamQueue:
    team: str
    virtual_ms: float
    requests: deque[PendingRequest] = field(default_factory=deque)
    n_live: int = 0
    # Serial number of its valid heap item, 0 while it has none.
    serial: int = 0
    parked: bool = False


@dataclass(slots=True, eq=False)
class _ClassQueue:
    teams: dict[str, _TeamQueue] = field(default_factory=dict)
    heap: list[tuple[float, int, _TeamQueue]] = field(default_factory=list)
    virtual_ms: float = 0.0
    max_virtual_ms: float = 0.0
    n_waiting: int = 0
    n_pushed: int = 0

    def team(self, name: str) -> _TeamQueue:
        """Return the queue of a team, created at the current virtual time."""
        team_queue = self.teams.get(name)
        if team_queue is None:
            team_queue = self.teams[name] = _TeamQueue(name, self.virtual_ms)
        return team_queue

    def push(self, team_queue: _TeamQueue) -> None:
        """Push a team with its virtual time; this invalidates its older heap items."""
        self.n_pushed += 1
        team_queue.serial = self.n_pushed
        heappush(self.heap, (team_queue.virtual_ms, team_queue.serial, team_queue))
        if len(self.heap) > 2 * len(self.teams) + _COMPACT_SLACK:
            self.heap = [item for item in self.heap if item[1] == item[2].serial]
            heapify(self.heap)

    def drop_top(self) -> None:
        """Remove the first item of the heap, whether valid or not."""
        _, serial, team_queue = heappop(self.heap)
        if team_queue.serial == serial:
            team_queue.serial = 0


@dataclass(slots=True)
class QueueState:
    """Queued requests.

    `ready` holds the queues in which a request may have become able to start.
    `parked` maps each team at its limit to the classes in which it has requests, and
    `urgent_parked_ms` holds the time since which these include urgent requests.
    """

    classes: dict[tuple[str, Priority], _ClassQueue] = field(default_factory=dict)
    by_request: dict[str, PendingRequest] = field(default_factory=dict)
    n_by_queue: dict[str, int] = field(default_factory=dict)
    n_by_team: dict[str, int] = field(default_factory=dict)
    n_urgent_by_team: dict[str, int] = field(default_factory=dict)
    urgent_parked_ms: dict[str, int] = field(default_factory=dict)
    ready: dict[str, None] = field(default_factory=dict)
    parked: dict[str, dict[tuple[str, Priority], None]] = field(default_factory=dict)
    expiries: list[tuple[int, int, PendingRequest]] = field(default_factory=list)
    n_expiries: int = 0


def enqueue(
    state: "EntryState", request: Request, team: str, at_ms: int
) -> Iterable[Effect]:
    """Queue an admitted request.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    request : Request
        The request.
    team : str
        Its team, empty in queues open to all.
    at_ms : int
        Time.

    Returns
    -------
    iterable of Effect
        Effects of the refusal when the queue is full or removed, else none.
    """
    queue = state.config.queues.get(request.queue)
    if queue is None:
        outcome = NotRun(RefusalKind.UNKNOWN_QUEUE, f"unknown queue {request.queue}")
        return claims.conclude(state, request.request_id, outcome, None, at_ms)
    if n_waiting(state, request.queue) >= queue.max_length:
        outcome = NotRun(
            RefusalKind.QUEUE_FULL,
            f"{queue.max_length} requests are already waiting",
        )
        return claims.conclude(state, request.request_id, outcome, None, at_ms)
    pending = PendingRequest(request, team, at_ms, at_ms + request.max_wait_ms)
    _insert(state, pending, front=False)
    return ()


def requeue(state: "EntryState", pending: PendingRequest, at_ms: int) -> None:
    """Queue a request again, first of its team, after an attempt without an outcome.

    The length limit does not apply, since the request was admitted before.
    """
    pending.removed = False
    if pending.may_have_run:
        pending.deadline_ms = at_ms + pending.request.max_wait_ms
    _insert(state, pending, front=True)


def cancel(state: "EntryState", request_id: str) -> bool:
    """Remove a waiting request in constant time.

    Returns
    -------
    bool
        Whether it was queued and no attempt can have run. A request that waits for a
        retry after an attempt that may have run is not removed, since the outcome
        "cancelled" states that nothing ran.
    """
    pending = state.queues.by_request.get(request_id)
    if pending is None or pending.may_have_run:
        return False
    _remove(state, pending)
    return True


def n_waiting(state: "EntryState", queue: str) -> int:
    """Return the number of requests in a queue."""
    return state.queues.n_by_queue.get(queue, 0)


def n_waiting_in_class(state: "EntryState", queue: str, priority: Priority) -> int:
    """Return the number of requests in a priority class of a queue."""
    class_queue = state.queues.classes.get((queue, priority))
    return class_queue.n_waiting if class_queue else 0


def peek(
    state: "EntryState", queue: str, priority: Priority, at_ms: int
) -> PendingRequest | None:
    """Return the next request of a class whose team is below its limit.

    Teams at their limit are parked and keep their virtual time, so that they neither
    block other teams nor lose their position.
    """
    class_queue = state.queues.classes.get((queue, priority))
    if class_queue is None:
        return None
    while class_queue.heap:
        _, serial, team_queue = class_queue.heap[0]
        if team_queue.serial != serial or not team_queue.n_live:
            class_queue.drop_top()
            continue
        if team_queue.team and _headroom(state, team_queue.team, priority, at_ms) <= 0:
            class_queue.drop_top()
            team_queue.parked = True
            if priority is Priority.URGENT:
                state.queues.urgent_parked_ms.setdefault(team_queue.team, at_ms)
            state.queues.parked.setdefault(team_queue.team, {})[queue, priority] = None
            continue
        while team_queue.requests[0].removed:
            team_queue.requests.popleft()
        return team_queue.requests[0]
    return None


def _headroom(state: "EntryState", team: str, priority: Priority, at_ms: int) -> int:
    room = allotments.headroom(state, team, at_ms, priority)
    if priority is Priority.BATCH:
        # Otherwise batch requests of another queue would take each unit that becomes
        # free before the urgent requests of the team are considered.
        room -= state.queues.n_urgent_by_team.get(team, 0)
    return room


def dequeue(state: "EntryState", pending: PendingRequest) -> None:
    """Remove the request that `peek` returned in order to dispatch it."""
    class_queue = state.queues.classes[pending.class_key]
    class_queue.virtual_ms = max(
        class_queue.virtual_ms, class_queue.teams[pending.team].virtual_ms
    )
    _remove(state, pending)


def skip_team(state: "EntryState", pending: PendingRequest) -> None:
    """Skip the team of the request that `peek` returned until `unskip_team`."""
    state.queues.classes[pending.class_key].drop_top()


def unskip_team(state: "EntryState", pending: PendingRequest) -> None:
    """Undo `skip_team`."""
    class_queue = state.queues.classes[pending.class_key]
    team_queue = class_queue.teams[pending.team]
    if team_queue.n_live and not team_queue.serial and not team_queue.parked:
        class_queue.push(team_queue)


def charge(
    state: "EntryState", class_key: tuple[str, Priority], team: str, slot_ms: float
) -> None:
    """Add slot time to the virtual time of a team; negative for a correction."""
    class_queue = state.queues.classes.setdefault(class_key, _ClassQueue())
    team_queue = class_queue.team(team)
    if slot_ms > 0 and not team_queue.n_live:
        team_queue.virtual_ms = max(team_queue.virtual_ms, class_queue.virtual_ms)
    team_queue.virtual_ms += slot_ms / _weight(state, team)
    class_queue.max_virtual_ms = max(class_queue.max_virtual_ms, team_queue.virtual_ms)
    if team_queue.serial:
        class_queue.push(team_queue)


def unpark(state: "EntryState", team: str) -> None:
    """Return a parked team to its queues because it may be below its limit."""
    state.queues.urgent_parked_ms.pop(team, None)
    for class_key in state.queues.parked.pop(team, ()):
        class_queue = state.queues.classes[class_key]
        team_queue = class_queue.teams[team]
        team_queue.parked = False
        if not team_queue.n_live:
            continue
        credit_ms = MAX_VIRTUAL_TIME_CREDIT_MS / _weight(state, team)
        team_queue.virtual_ms = max(
            team_queue.virtual_ms, class_queue.virtual_ms - credit_ms
        )
        class_queue.push(team_queue)
        state.queues.ready[class_key[0]] = None


def recheck_parked(state: "EntryState", at_ms: int) -> None:
    """Unpark teams that are below their limit; checks a bounded number per call."""
    parked = state.queues.parked
    for team in list(islice(parked, MAX_RECHECKED_PER_TICK)):
        if allotments.headroom(state, team, at_ms) > 0:
            unpark(state, team)
        else:
            parked[team] = parked.pop(team)


def expire(state: "EntryState", at_ms: int) -> Iterable[Effect]:
    """End the requests whose wait deadline has passed."""
    queues = state.queues
    while queues.expiries and queues.expiries[0][0] <= at_ms:
        deadline_ms, _, pending = heappop(queues.expiries)
        if pending.removed or pending.deadline_ms != deadline_ms:
            continue
        _remove(state, pending)
        yield from claims.conclude(
            state, pending.request.request_id, _expired(pending), None, at_ms
        )


def _expired(pending: PendingRequest) -> Outcome:
    if pending.may_have_run:
        return OutcomeUnknown(
            "an earlier attempt may have run; no retry could start in time"
        )
    return NotRun(
        RefusalKind.WAIT_EXPIRED, f"waited {pending.request.max_wait_ms} ms for a slot"
    )


def _insert(state: "EntryState", pending: PendingRequest, front: bool) -> None:
    queues = state.queues
    class_queue = queues.classes.setdefault(pending.class_key, _ClassQueue())
    if not class_queue.n_waiting:
        # No team is backlogged, so old differences in virtual time are discarded.
        class_queue.virtual_ms = max(class_queue.virtual_ms, class_queue.max_virtual_ms)
        class_queue.teams = {
            name: team for name, team in class_queue.teams.items() if team.parked
        }
        class_queue.heap.clear()
    team_queue = class_queue.team(pending.team)
    if not team_queue.n_live:
        team_queue.requests.clear()
        credit_ms = (
            MAX_VIRTUAL_TIME_CREDIT_MS / _weight(state, pending.team) if front else 0
        )
        team_queue.virtual_ms = max(
            team_queue.virtual_ms, class_queue.virtual_ms - credit_ms
        )
    (team_queue.requests.appendleft if front else team_queue.requests.append)(pending)
    team_queue.n_live += 1
    class_queue.n_waiting += 1
    if not team_queue.serial and not team_queue.parked:
        class_queue.push(team_queue)
    queues.by_request[pending.request.request_id] = pending
    queues.n_expiries += 1
    heappush(queues.expiries, (pending.deadline_ms, queues.n_expiries, pending))
    if len(queues.expiries) > 2 * len(queues.by_request) + _COMPACT_SLACK:
        queues.expiries = [item for item in queues.expiries if not item[2].removed]
        heapify(queues.expiries)
    queues.ready[pending.request.queue] = None
    _update_counts(state, pending, 1)


def _remove(state: "EntryState", pending: PendingRequest) -> None:
    pending.removed = True
    class_queue = state.queues.classes[pending.class_key]
    team_queue = class_queue.teams[pending.team]
    team_queue.n_live -= 1
    class_queue.n_waiting -= 1
    if len(team_queue.requests) > 2 * team_queue.n_live + _COMPACT_SLACK:
        team_queue.requests = deque(
            item for item in team_queue.requests if not item.removed
        )
    elif not team_queue.n_live:
        team_queue.requests.clear()
    elif team_queue.requests[0] is pending:
        team_queue.requests.popleft()
    del state.queues.by_request[pending.request.request_id]
    _update_counts(state, pending, -1)


def _update_counts(state: "EntryState", pending: PendingRequest, step: int) -> None:
    queues = state.queues
    queue, team = pending.request.queue, pending.team
    _add_to_count(queues.n_by_queue, queue, step)
    if team:
        _add_to_count(queues.n_by_team, team, step)
        if pending.request.priority is Priority.URGENT:
            _add_to_count(queues.n_urgent_by_team, team, step)
        allotments.set_waiting(state, team, queues.n_by_team.get(team, 0))


def _add_to_count(counts: dict[str, int], name: str, step: int) -> None:
    counts[name] = counts.get(name, 0) + step
    if not counts[name]:
        del counts[name]


def _weight(state: "EntryState", team: str) -> int:
    configured = state.config.teams.get(team)
    return max(1, configured.share) if configured else 1
