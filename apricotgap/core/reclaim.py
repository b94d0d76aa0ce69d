"""Detection of holders that have ended, so that their rows may be reclaimed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotgap.core import membership
from apricotgap.core.limits import (
    IN_FORCE_BOUND_MS,
    PEER_SILENCE_MS,
    RECLAIM_GRACE_MS,
)
from apricotgap.model.ledger import Row

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "reclaimable_holders",
    "record_peer_contact",
    "record_peer_incarnation",
    "record_store_contact",
]


def record_store_contact(state: EntryState, at_ms: int, *, reached: bool) -> None:
    """Record an answer of the store, or that a call or watch failed."""
    liveness = state.allotments.liveness
    late = (
        liveness.contact_ms is None or at_ms - liveness.contact_ms > IN_FORCE_BOUND_MS
    )
    if late or not reached:
        liveness.absent_since_ms.clear()
    liveness.contact_ms = at_ms if reached else None


def record_peer_incarnation(state: EntryState, peer: str, incarnation: str) -> None:
    """Record the incarnation of a connected peer."""
    state.allotments.liveness.incarnations[peer] = incarnation


def record_peer_contact(state: EntryState, peer: str, at_ms: int) -> None:
    """Record that a message from a peer arrived."""
    liveness = state.allotments.liveness
    incarnation = liveness.incarnations.get(peer)
    if incarnation is not None:
        liveness.heard_ms[f"{peer}/{incarnation}"] = at_ms


def reclaimable_holders(state: EntryState, at_ms: int) -> frozenset[str]:
    """Return the holders whose rows may be reclaimed now.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    at_ms : int
        Monotonic time in milliseconds.

    Returns
    -------
    frozenset of str
        Holders for which every condition of a reclaim has held without interruption
        for ``RECLAIM_GRACE_MS``. A change of a row restarts this time, because
        its holder wrote it.
    """
    allotment_state = state.allotments
    liveness = allotment_state.liveness
    contact_ms = liveness.contact_ms
    in_contact = contact_ms is not None and at_ms - contact_ms <= IN_FORCE_BOUND_MS
    if not (
        in_contact
        and allotment_state.watch_open
        and membership.lease_valid(state, at_ms)
    ):
        liveness.absent_since_ms.clear()
        return frozenset()
    rows = _rows_by_holder(state)
    rows.pop(f"{state.identity.entry}/{state.identity.incarnation}", None)
    for holder in list(liveness.absent_since_ms):
        if rows.get(holder) != liveness.rows.get(holder):
            del liveness.absent_since_ms[holder]
    liveness.rows = rows
    for holder in rows:
        if _appears_ended(state, holder, at_ms):
            liveness.absent_since_ms.setdefault(holder, at_ms)
        else:
            liveness.absent_since_ms.pop(holder, None)
    return frozenset(
        holder
        for holder, since_ms in liveness.absent_since_ms.items()
        if at_ms - since_ms >= RECLAIM_GRACE_MS
    )


def _rows_by_holder(state: EntryState) -> dict[str, dict[str, Row]]:
    rows_by_holder: dict[str, dict[str, Row]] = {}
    for stored in state.allotments.documents.values():
        for name, team in stored.ledger.teams.items():
            for holder, row in team.rows.items():
                rows_by_holder.setdefault(holder, {})[name] = row
    return rows_by_holder


def _appears_ended(state: EntryState, holder: str, at_ms: int) -> bool:
    liveness = state.allotments.liveness
    entry, _, incarnation = holder.rpartition("/")
    heard_ms = liveness.heard_ms.get(holder)
    if heard_ms is not None and at_ms - heard_ms <= PEER_SILENCE_MS:
        return False
    live = membership.live_entries_of(state, state.identity.data_centre, at_ms)
    member = live.get(entry)
    if member is not None:
        return member.incarnation != incarnation
    if entry == state.identity.entry:
        return True
    return liveness.listed is not None and entry not in liveness.listed
