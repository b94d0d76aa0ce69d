"""Request bodies that stopped the workers that ran them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotgap.core.limits import MAX_QUARANTINE_DIGESTS, QUARANTINE_KILLS

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["is_quarantined", "note_worker_killed"]


def note_worker_killed(state: EntryState, body_digest: str) -> None:
    """Record that a task with this body stopped its worker.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    body_digest : str
        Hex SHA-256 of the body; empty is ignored.
    """
    if not body_digest:
        return
    kills = state.claims.kills
    kills[body_digest] = kills.pop(body_digest, 0) + 1
    while len(kills) > MAX_QUARANTINE_DIGESTS:
        del kills[next(iter(kills))]


def is_quarantined(state: EntryState, body_digest: str) -> bool:
    """Tell whether requests with this body are refused."""
    return state.claims.kills.get(body_digest, 0) >= QUARANTINE_KILLS
