"""Accounting of slot time and its exchange with peers of the data centre."""

from typing import TYPE_CHECKING

from apricotgap.core import fair_queue
from apricotgap.model import Priority
from apricotgap.model.peers import Usage

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["apply_usage", "charge", "usage_report"]


def charge(
    state: "EntryState", class_key: tuple[str, Priority], team: str, slot_ms: int
) -> None:
    """Charge slot time to a team locally and, in the next report, at the peers."""
    fair_queue.charge(state, class_key, team, slot_ms)
    queue, priority = class_key
    key = f"{queue}/{priority}/{team}"
    charged = state.placement.charged_ms
    charged[key] = charged.get(key, 0) + slot_ms


def usage_report(state: "EntryState") -> Usage:
    """Return the usage since the last report and start a new period."""
    placement = state.placement
    charged_ms = {key: ms for key, ms in placement.charged_ms.items() if ms}
    placement.charged_ms = {}
    waiting = dict(state.queues.n_by_team)
    in_flight = {name: len(tasks) for name, tasks in placement.by_instance.items()}
    queued = {
        queue: state.queues.n_by_queue[queue]
        for queue in placement.starved
        if queue in state.queues.n_by_queue
    }
    return Usage(charged_ms, waiting, in_flight, queued)


def apply_usage(state: "EntryState", peer: str, usage: Usage) -> None:
    """Charge the slot time that a peer reported and record its waiting requests.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    peer : str
        Name of the peer.
    usage : Usage
        Its report. Keys that this version or configuration does not know are
        ignored.
    """
    if peer == state.identity.entry:
        return
    _record_queued(state, peer, usage)
    for key, slot_ms in usage.charged_ms.items():
        queue, _, rest = key.partition("/")
        priority, _, team = rest.partition("/")
        if queue not in state.config.queues or priority not in set(Priority):
            continue
        if team and team not in state.config.teams:
            continue
        fair_queue.charge(state, (queue, Priority(priority)), team, slot_ms)


def _record_queued(state: "EntryState", peer: str, usage: Usage) -> None:
    placement, queues = state.placement, state.config.queues
    pools = {
        queues[name].pool for name, n in usage.queued.items() if n if name in queues
    }
    for pool in placement.peer_pools.get(peer, frozenset()) - pools:
        del placement.peers_waiting[pool][peer]
    placement.peer_pools[peer] = frozenset(pools)
    for pool in sorted(pools):
        placement.peers_waiting.setdefault(pool, {})[peer] = placement.now_ms
