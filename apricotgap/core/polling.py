"""Status probes of backend servers, spread over time and limited in rate."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from apricotgap.core.effects import Effect, ProbeWorker
from apricotgap.core.limits import STATUS_INTERVAL_MS

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "PollState",
    "poll",
    "record_demand",
    "record_use",
]

# Limits the cost of status probes at any fleet size.
MAX_PROBES_PER_S = 20
IDLE_INTERVAL_MS = 2_000
# Fraction of the probe rate for servers without work.
_IDLE_SHARE = 0.25
# How long a server counts as used, and a pool as in demand, after the last use.
RECENT_USE_MS = 10_000


@dataclass(slots=True)
class PollState:
    """Servers to poll, ordered by due time.

    `due_ms` holds the valid due time of each polled server; other items of `heap`
    are stale. `demand_ms` is when a pool last lacked a free server.
    """

    heap: list[tuple[int, int, str]] = field(default_factory=list)
    due_ms: dict[str, int] = field(default_factory=dict)
    used_ms: dict[str, int] = field(default_factory=dict)
    demand_ms: dict[str, int] = field(default_factory=dict)
    n_pushed: int = 0
    tokens: float = 0.0
    refilled_ms: int = 0
    config: object = None


def record_use(state: "EntryState", instance: str, at_ms: int) -> None:
    """Record that a server gets work, so that it is polled often."""
    state.health.polls.used_ms[instance] = at_ms
    _poll_sooner(state, instance, at_ms + STATUS_INTERVAL_MS)


def record_demand(state: "EntryState", pool: str, at_ms: int) -> None:
    """Record that a pool lacks free servers and poll it and the spare pools soon."""
    from apricotgap.core import worker_index  # noqa: PLC0415

    polls = state.health.polls
    last_ms = polls.demand_ms.get(pool)
    if last_ms is not None and at_ms - last_ms < STATUS_INTERVAL_MS:
        return
    index = worker_index.index_of(state)
    pools = [pool, *dict.fromkeys(name for name, _ in index.spare_groups)]
    for name in pools:
        polls.demand_ms[name] = at_ms
        for instance in index.members.get(name, ()):
            _poll_sooner(state, instance, at_ms)


def poll(state: "EntryState", at_ms: int) -> Iterable[Effect]:
    """Return the probes that are due.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    at_ms : int
        Time.

    Returns
    -------
    iterable of Effect
        At most ``MAX_PROBES_PER_S`` probes per second over all calls.
    """
    from apricotgap.core import health  # noqa: PLC0415

    polls = state.health.polls
    if polls.config is not state.config:
        _add_own_workers(state, at_ms)
    earned = (at_ms - polls.refilled_ms) * MAX_PROBES_PER_S / 1000
    polls.tokens = min(polls.tokens + earned, MAX_PROBES_PER_S / 4)
    polls.refilled_ms = at_ms
    while polls.heap and polls.heap[0][0] <= at_ms and polls.tokens >= 1:
        due_ms, _, name = heappop(polls.heap)
        if polls.due_ms.get(name) != due_ms:
            continue
        instance = state.config.instances.get(name)
        interval_ms = _interval_ms(state, name, at_ms)
        if instance is None or interval_ms is None:
            del polls.due_ms[name]
            polls.used_ms.pop(name, None)
            health.forget_report(state, name)
            continue
        polls.tokens -= 1
        _push(polls, name, at_ms + interval_ms)
        worker_health = health.get_or_create(state, name)
        worker_health.probe_sent_ms = at_ms
        worker_health.n_done_since_probe = 0
        yield ProbeWorker(name, instance.address)


def _interval_ms(state: "EntryState", name: str, at_ms: int) -> int | None:
    instance = state.config.instances.get(name)
    if instance is None:
        return None
    polls = state.health.polls
    used_ms = polls.used_ms.get(name)
    is_used = used_ms is not None and at_ms - used_ms < RECENT_USE_MS
    if is_used or state.placement.by_instance.get(name):
        return STATUS_INTERVAL_MS
    demand_ms = polls.demand_ms.get(instance.pool)
    in_demand = demand_ms is not None and at_ms - demand_ms < RECENT_USE_MS
    is_own = instance.data_centre == state.identity.data_centre
    if in_demand:
        # Servers of other data centres are polled less often, so that reports of the
        # local ones stay recent while a whole region is searched for free slots.
        return STATUS_INTERVAL_MS if is_own else 2 * STATUS_INTERVAL_MS
    if not is_own:
        return None
    spread_ms = int(len(polls.due_ms) * 1000 / (MAX_PROBES_PER_S * _IDLE_SHARE))
    return max(IDLE_INTERVAL_MS, spread_ms)


def _add_own_workers(state: "EntryState", at_ms: int) -> None:
    polls = state.health.polls
    polls.config = state.config
    for by_instance in (state.health.workers, polls.used_ms):
        for name in [
            name for name in by_instance if name not in state.config.instances
        ]:
            del by_instance[name]
    own_data_centre = state.identity.data_centre
    new = [
        instance.name
        for instance in state.config.instances.values()
        if instance.data_centre == own_data_centre and instance.name not in polls.due_ms
    ]
    for i, name in enumerate(new):
        _push(polls, name, at_ms + i * 1000 // MAX_PROBES_PER_S)


def _poll_sooner(state: "EntryState", name: str, due_ms: int) -> None:
    polls = state.health.polls
    sent = state.health.workers.get(name)
    if sent is not None and sent.probe_sent_ms is not None:
        due_ms = max(due_ms, sent.probe_sent_ms + STATUS_INTERVAL_MS)
    scheduled_ms = polls.due_ms.get(name)
    if scheduled_ms is None or scheduled_ms > due_ms:
        _push(polls, name, due_ms)


def _push(polls: PollState, name: str, due_ms: int) -> None:
    polls.n_pushed += 1
    polls.due_ms[name] = due_ms
    heappush(polls.heap, (due_ms, polls.n_pushed, name))
