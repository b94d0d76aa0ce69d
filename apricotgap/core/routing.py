"""Selection of a backend server for a request."""

from heapq import heappush
from typing import TYPE_CHECKING

from apricotgap.core import estimates, health
from apricotgap.core.limits import PEER_SILENCE_MS
from apricotgap.core.worker_index import (
    Group,
    RoutingIndex,
    Worker,
    index_of,
    refresh,
)
from apricotgap.model import Priority, Request

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["choose"]

# Bounds the cost of a selection when many workers are too small or excluded.
MAX_WORKERS_EXAMINED = 8
# Slots of a worker in another data centre that are left to the entry instances there.
# An entry instance that refilled every slot at once would starve them.
RESERVED_REMOTE_SLOTS = 1


def choose(
    state: "EntryState", request: Request, excluded: set[str], at_ms: int
) -> Worker | None:
    """Return the best worker that may take the request now.

    Prefers the local data centre, then the others, then idle workers of spare pools.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    request : Request
        The request.
    excluded : set of str
        Instances that the request must not be sent to again.
    at_ms : int
        Time.

    Returns
    -------
    Worker or None
        None if no worker has enough free slots for the request.
    """
    index = index_of(state)
    pool = state.config.pools.get(state.config.queues[request.queue].pool)
    if pool is None:
        return None
    reserve = 0 if request.priority is Priority.URGENT else pool.urgent_reserve_slots
    for _, group in index.groups.get(pool.name, ()):
        if group.n_free <= min(reserve, group.n_slots - 1):
            continue
        worker = _best(state, group, request, excluded, reserve=reserve, at_ms=at_ms)
        if worker is not None:
            return worker
    if pool.spare:
        return None
    return _choose_spare(state, index, request, excluded, at_ms)


def _choose_spare(
    state: "EntryState",
    index: RoutingIndex,
    request: Request,
    excluded: set[str],
    at_ms: int,
) -> Worker | None:
    for spare_name, group in index.spare_groups:
        spare = state.config.pools[spare_name]
        queues = index.queues_of_pool.get(spare_name, ())
        if any(_needs_slots(state, queue) for queue in queues):
            continue
        worker = _best(state, group, request, excluded, reserve=0, at_ms=at_ms)
        if worker is None:
            continue
        # Spilled tasks leave the urgent reserve of the spare pool free.
        own_group = worker.groups[0]
        n_needed = estimates.n_slots_needed(request.declared, worker.instance)
        if own_group.n_free - n_needed >= spare.urgent_reserve_slots:
            return worker
    return None


def _is_within_fair_share(
    state: "EntryState", worker: Worker, n_needed: int, at_ms: int
) -> bool:
    """Tell whether the slots are within this entry's fair share of the worker.

    An entry instance that refilled every slot at once would starve the requests that
    wait at its peers. Entry instances with waiting requests therefore split the slots
    of a worker evenly, and those of other data centres leave one slot free.
    """
    n_slots = worker.instance.slots
    if worker.instance.data_centre != state.identity.data_centre:
        n_reserved = min(RESERVED_REMOTE_SLOTS, n_slots - n_needed)
        return n_needed + n_reserved <= worker.n_free
    waiting = state.placement.peers_waiting.get(worker.instance.pool)
    if not waiting:
        return True
    n_entries = 1 + sum(
        at_ms - reported_ms < PEER_SILENCE_MS for reported_ms in waiting.values()
    )
    n_own = state.placement.n_slots_in_flight(worker.instance.name)
    return not n_own or n_own + n_needed <= -(-n_slots // n_entries)


def _needs_slots(state: "EntryState", queue: str) -> bool:
    queues = state.queues
    return queue in state.placement.starved or (
        queue in queues.ready and queue in queues.n_by_queue
    )


def _best(
    state: "EntryState",
    group: Group,
    request: Request,
    excluded: set[str],
    *,
    reserve: int,
    at_ms: int,
) -> Worker | None:
    popped = []
    selected = None
    for _ in range(MAX_WORKERS_EXAMINED):
        item = group.pop()
        if item is None:
            break
        worker = item[4]
        if not health.can_take_work(state, worker.instance.name, at_ms):
            refresh(state, worker.instance.name, at_ms)
            continue
        popped.append(item)
        if worker.instance.name in excluded:
            continue
        if not estimates.fits(request.declared, worker.instance):
            continue
        n_needed = estimates.n_slots_needed(request.declared, worker.instance)
        if not _is_within_fair_share(state, worker, n_needed, at_ms):
            continue
        n_left = worker.groups[0].n_free - n_needed
        # A pool too small for both has no reserve, else batch requests never run.
        n_reserved = min(reserve, worker.groups[0].n_slots - n_needed)
        if n_needed <= worker.n_free and n_left >= n_reserved:
            selected = worker
            break
    for item in popped:
        heappush(group.heap, item)
    return selected
