"""Quarantine of request bodies whose tasks crashed their workers."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

from apricotgap.core.limits import MAX_QUARANTINE_DIGESTS, QUARANTINE_KILLS

if TYPE_CHECKING:
    from apricotgap.core.placement import Task
    from apricotgap.core.state import EntryState

__all__ = [
    "is_quarantined",
    "record_completion",
    "record_crash_under",
    "record_worker_crash",
]

# Requests without a body differ in what the entry does not see.
_NO_BODY_DIGESTS = frozenset({"", sha256(b"").hexdigest()})


def record_crash_under(state: EntryState, task: Task) -> None:
    """Record once that the worker of a task crashed, for its request and its body."""
    if task.crash_recorded:
        return
    task.crash_recorded = True
    if task.pending_request is not None:
        task.pending_request.n_worker_crashes += 1
    record_worker_crash(state, task.body_digest)


def record_worker_crash(state: EntryState, body_digest: str) -> None:
    """Record that the worker of a task with this body crashed.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    body_digest : str
        Hex SHA-256 of the body; requests without one are ignored.
    """
    if body_digest in _NO_BODY_DIGESTS:
        return
    crashes = state.claims.worker_crashes
    crashes[body_digest] = crashes.pop(body_digest, 0) + 1
    while len(crashes) > MAX_QUARANTINE_DIGESTS:
        del crashes[next(iter(crashes))]


def record_completion(state: EntryState, body_digest: str) -> None:
    """Forget the crashes under tasks with this body: one has run to its end."""
    state.claims.worker_crashes.pop(body_digest, None)


def is_quarantined(state: EntryState, body_digest: str) -> bool:
    """Tell whether requests with this body are refused."""
    return state.claims.worker_crashes.get(body_digest, 0) >= QUARANTINE_KILLS
