"""Proof that the holder of a row is gone."""

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

__all__ = ["gone_holders", "note_heard", "note_incarnation", "note_store_contact"]


def note_store_contact(state: EntryState, at_ms: int, *, reached: bool) -> None:
    """Note an answer of the store, or that a call or watch failed."""
    liveness = state.allotments.liveness
    late = (
        liveness.contact_ms is None or at_ms - liveness.contact_ms > IN_FORCE_BOUND_MS
    )
    if late or not reached:
        liveness.absent_since_ms.clear()
    liveness.contact_ms = at_ms if reached else None


def note_incarnation(state: EntryState, peer: str, incarnation: str) -> None:
    """Note which incarnation a peer connection belongs to."""
    state.allotments.liveness.incarnations[peer] = incarnation


def note_heard(state: EntryState, peer: str, at_ms: int) -> None:
    """Note that a peer was heard."""
    liveness = state.allotments.liveness
    incarnation = liveness.incarnations.get(peer)
    if incarnation is not None:
        liveness.heard_ms[f"{peer}/{incarnation}"] = at_ms


def gone_holders(state: EntryState, at_ms: int) -> frozenset[str]:
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
        Holders for which every condition of a reclaim held without a break for
        ``RECLAIM_GRACE_MS``. A change of a row starts the time again, because its
        holder wrote it.
    """
    own = state.allotments
    liveness = own.liveness
    contact_ms = liveness.contact_ms
    in_contact = contact_ms is not None and at_ms - contact_ms <= IN_FORCE_BOUND_MS
    if not (in_contact and own.watch_open and membership.lease_valid(state, at_ms)):
        liveness.absent_since_ms.clear()
        return frozenset()
    rows = _rows_by_holder(state)
    rows.pop(f"{state.identity.entry}/{state.identity.incarnation}", None)
    for holder in list(liveness.absent_since_ms):
        if rows.get(holder) != liveness.rows.get(holder):
            del liveness.absent_since_ms[holder]
    liveness.rows = rows
    for holder in rows:
        if _seems_gone(state, holder, at_ms):
            liveness.absent_since_ms.setdefault(holder, at_ms)
        else:
            liveness.absent_since_ms.pop(holder, None)
    return frozenset(
        holder
        for holder, since_ms in liveness.absent_since_ms.items()
        if at_ms - since_ms >= RECLAIM_GRACE_MS
    )


def _rows_by_holder(state: EntryState) -> dict[str, dict[str, Row]]:
    found: dict[str, dict[str, Row]] = {}
    for stored in state.allotments.documents.values():
        for name, team in stored.ledger.teams.items():
            for holder, row in team.rows.items():
                found.setdefault(holder, {})[name] = row
    return found


def _seems_gone(state: EntryState, holder: str, at_ms: int) -> bool:
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
