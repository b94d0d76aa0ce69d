"""Writes configuration changes: first the parts, then the root by compare-and-swap."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from typing import TYPE_CHECKING

from apricotgap.core import config_codec, config_sync, limits, part_fetch
from apricotgap.core.change import Change, RepublishView
from apricotgap.core.config_codec import ROOT_KEY, Root, Snapshot
from apricotgap.core.config_view import Candidate, ViewCase, view_case
from apricotgap.core.effects import Count, Effect, LogChange, StoreCas
from apricotgap.core.events.store import CasFinished, CasResult
from apricotgap.errors import (
    ApricotgapError,
    ConflictError,
    OutcomeUnknownError,
    UnavailableError,
    ValidationError,
)
from apricotgap.model import Configuration

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "CALL_PREFIX",
    "Change",
    "RepublishView",
    "WriterState",
    "advance",
    "cas_finished",
    "propose",
    "tick",
]

CALL_PREFIX = "change:"


class _Phase(Enum):
    BASE = auto()
    PARTS = auto()
    ROOT = auto()


@dataclass(slots=True)
class _Proposal:
    change: Change
    token: str
    started_ms: int
    phase: _Phase = _Phase.BASE
    n_attempts: int = 0
    base_revision: int = 0
    snapshot: Snapshot = field(default_factory=Snapshot)
    root: Root | None = None
    root_blob: bytes = b""
    root_call: str = ""
    root_sent_ms: int = 0
    # A root write with unknown result may still take effect.
    unresolved: bool = False
    parts_left: dict[str, int] = field(default_factory=dict)
    written: set[str] = field(default_factory=set)


@dataclass(slots=True)
class WriterState:
    """The active change, the queued ones, and removals of superseded parts.

    `removed` holds hashes of parts that are known to be removed but are still listed
    as superseded in the root.
    """

    active: _Proposal | None = None
    waiting: deque[_Proposal] = field(default_factory=deque)
    n_calls: int = 0
    next_attempt_ms: int = 0
    removal_due: bool = False
    removing: set[str] = field(default_factory=set)
    removed: set[str] = field(default_factory=set)


def propose(state: EntryState, change: Change, at_ms: int) -> tuple[Effect, ...]:
    """Queue a change and start it; `Change.finished` reports its end.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    change : Change
        What to change.
    at_ms : int
        Monotonic time in milliseconds.

    Returns
    -------
    tuple of Effect
        What drivers must do.
    """
    return tuple(_propose(state, change, at_ms))


def _propose(state: EntryState, change: Change, at_ms: int) -> Iterator[Effect]:
    writer = state.writer
    error = _refusal(state, change, at_ms)
    if error is None and len(writer.waiting) >= limits.MAX_WAITING_CHANGES:
        error = UnavailableError("too many changes are queued", "try again later")
    if error is not None:
        yield from change.finished(state, error, state.view.revision, at_ms)
        return
    token = f"{state.rng.getrandbits(64):016x}"
    writer.waiting.append(_Proposal(change, token, at_ms))
    yield from advance(state, at_ms)


def _refusal(state: EntryState, change: Change, at_ms: int) -> ApricotgapError | None:
    view = state.view
    if view.diverged:
        return ConflictError(
            "the store's change history lacks the configuration in force",
            "restore the store, or restart the entry instances to use the store's "
            "configuration",
        )
    if view.rolled_back_to is not None and not change.repairs_store:
        return UnavailableError(
            f"the store was restored to revision {view.rolled_back_to}, older than "
            f"revision {view.revision} in force",
            "restore a newer backup of the store or republish the configuration",
        )
    case = view_case(state, at_ms)
    if case is not ViewCase.LINKED:
        return UnavailableError(
            f"the store cannot be reached (this entry instance is {case.value})",
            "nothing was changed; try again when the store is reachable",
        )
    return None


def advance(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Continue the active change after the view or the queue has changed."""
    writer = state.writer
    while True:
        if writer.active is None:
            if not writer.waiting:
                return
            writer.active = writer.waiting.popleft()
        active = writer.active
        if active.phase is not _Phase.BASE or at_ms < writer.next_attempt_ms:
            return
        view = state.view
        if view.candidate is not None:
            return
        if view.store_revision is None:
            yield from config_sync.read_root(state, at_ms)
            return
        yield from _build(state, active, at_ms)
        if writer.active is active:
            return


def _build(state: EntryState, active: _Proposal, at_ms: int) -> Iterator[Effect]:
    view = state.view
    base = view.root or Root(0, {})
    if base.includes(active.token):
        yield from _finish(state, None, at_ms)
        return
    if active.unresolved and base.revision != active.base_revision:
        if base.revision - active.base_revision > limits.MAX_ROOT_AUTHORS:
            yield from _finish(state, _outcome_unknown(), at_ms)
            return
        # Another change was stored instead, so the earlier write can't take effect.
        active.unresolved = False
    error = _refusal(state, active.change, at_ms)
    if error is not None:
        yield from _finish(
            state, _outcome_unknown() if active.unresolved else error, at_ms
        )
        return
    if active.n_attempts >= limits.MAX_CHANGE_ATTEMPTS and not active.unresolved:
        error = ConflictError(
            "the change kept conflicting with other changes", "plan again"
        )
        yield from _finish(state, error, at_ms)
        return
    active.n_attempts += 1
    try:
        config = active.change.apply(state.config)
        if config == state.config and not active.change.repairs_store:
            yield from _finish(state, None, at_ms)
            return
        _encode(state, active, base, config)
    except ApricotgapError as error:
        yield from _finish(state, error, at_ms)
        return
    yield from _write_parts(state, active, at_ms)


def _encode(
    state: EntryState, active: _Proposal, base: Root, config: Configuration
) -> None:
    old = state.view.snapshot
    config = replace(config, revision=base.revision + 1)
    snapshot = config_codec.encode_snapshot(config, old, base.superseded)
    in_use = set(snapshot.hashes.values())
    dropped = (set(base.parts.values()) | active.written) - in_use
    listed = [h for h in base.superseded if h not in state.writer.removed]
    listed += sorted(dropped - set(listed))
    authors = (base.author, *base.earlier_authors) if base.author else ()
    active.base_revision = base.revision
    active.snapshot = snapshot
    active.root = Root(
        config.revision,
        snapshot.hashes,
        active.token,
        authors[: limits.MAX_ROOT_AUTHORS],
        tuple(listed),
    )
    active.root_blob = config_codec.encode_root(active.root)
    blobs = (active.root_blob, *snapshot.blobs.values())
    if max(map(len, blobs)) > limits.MAX_STORE_VALUE_BYTES:
        raise ValidationError(
            "a part of the changed configuration exceeds the store's size limit",
            "split the change or remove unused objects",
        )


def _write_parts(state: EntryState, active: _Proposal, at_ms: int) -> Iterator[Effect]:
    known = set() if active.change.repairs_store else set(state.view.snapshot.blobs)
    missing = sorted(active.snapshot.blobs.keys() - known - active.written)
    active.phase = _Phase.PARTS
    active.parts_left = dict.fromkeys(missing, at_ms)
    for digest in missing:
        yield _part_write(active, digest)
    if not missing:
        yield from _write_root(state, active, at_ms)


def _part_write(active: _Proposal, digest: str) -> StoreCas:
    return StoreCas(
        f"{CALL_PREFIX}part:{active.token}:{digest}",
        config_codec.part_key(digest),
        0,
        active.snapshot.blobs[digest],
    )


def _write_root(state: EntryState, active: _Proposal, at_ms: int) -> Iterator[Effect]:
    state.writer.n_calls += 1
    active.phase = _Phase.ROOT
    active.root_call = f"{CALL_PREFIX}root:{active.token}:{state.writer.n_calls}"
    active.root_sent_ms = at_ms
    expected = state.view.store_revision
    if expected is None or state.view.revision != active.base_revision:
        # The view has changed since the parts were encoded.
        yield from _rebase(state, at_ms)
        return
    yield StoreCas(active.root_call, ROOT_KEY, expected, active.root_blob)


def cas_finished(state: EntryState, event: CasFinished) -> Iterator[Effect]:
    """Handle the result of a write of a part or the root."""
    active = state.writer.active
    if active is None:
        return
    digest = event.call_id.rpartition(":")[2]
    if event.call_id == f"{CALL_PREFIX}part:{active.token}:{digest}":
        yield from _part_finished(state, active, digest, event)
    elif event.call_id == active.root_call and active.phase is _Phase.ROOT:
        yield from _root_finished(state, active, event)


def _part_finished(
    state: EntryState, active: _Proposal, digest: str, event: CasFinished
) -> Iterator[Effect]:
    if active.phase is not _Phase.PARTS or digest not in active.parts_left:
        return
    if event.result is CasResult.UNKNOWN:
        # The tick repeats the write, which is idempotent.
        return
    # A conflict means that the part exists, since its key is the hash of its content.
    del active.parts_left[digest]
    active.written.add(digest)
    if not active.parts_left:
        yield from _write_root(state, active, event.at_ms)


def _root_finished(
    state: EntryState, active: _Proposal, event: CasFinished
) -> Iterator[Effect]:
    if event.result is CasResult.STORED and active.root is not None:
        yield from _stored(state, active, event)
        return
    yield Count("config_change_" + event.result.value)
    if event.result is CasResult.UNKNOWN:
        active.unresolved = True
        state.writer.next_attempt_ms = event.at_ms + limits.CHANGE_RETRY_MS
    yield from _rebase(state, event.at_ms)


def _rebase(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Read the root again; the response to an earlier read may be outdated."""
    active = state.writer.active
    if active is None:
        return
    active.phase = _Phase.BASE
    state.view.store_revision = None
    state.view.read_call = ""
    yield from advance(state, at_ms)


def _stored(
    state: EntryState, active: _Proposal, event: CasFinished
) -> Iterator[Effect]:

    assert active.root is not None
    candidate = Candidate(
        active.root,
        active.root_blob,
        event.revision,
        active.root_sent_ms,
        None,
        dict(active.snapshot.blobs),
    )
    yield from part_fetch.install_written(state, candidate, event.at_ms)
    yield from _finish(state, None, event.at_ms, active.root.revision)


def _finish(
    state: EntryState,
    error: ApricotgapError | None,
    at_ms: int,
    revision: int | None = None,
) -> Iterator[Effect]:
    active, state.writer.active = state.writer.active, None
    if active is None:
        return
    result = error.kind if error else "accepted"
    state.writer.removal_due |= error is None
    yield Count("config_changes", labels=(("result", result),))
    yield LogChange("config_change_finished", {"result": result})
    shown = state.view.revision if revision is None else revision
    yield from active.change.finished(state, error, shown, at_ms)
    yield from advance(state, at_ms)


def _outcome_unknown() -> OutcomeUnknownError:
    return OutcomeUnknownError(
        "outcome unknown, check status",
        "try again only if status shows that the change is missing",
    )


def tick(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """End changes that time out, and repeat writes without a response."""
    writer = state.writer
    while writer.waiting and _is_late(writer.waiting[0], at_ms):
        late = writer.waiting.popleft()
        yield from late.change.finished(state, _timed_out(), state.view.revision, at_ms)
    active = writer.active
    if active is None:
        return
    if _is_late(active, at_ms):
        in_doubt = active.unresolved or active.phase is _Phase.ROOT
        yield from _finish(
            state, _outcome_unknown() if in_doubt else _timed_out(), at_ms
        )
        return
    if active.phase is _Phase.ROOT:
        if at_ms - active.root_sent_ms > 2 * limits.CAS_TIMEOUT_MS:
            active.unresolved = True
            yield from _rebase(state, at_ms)
        return
    if active.phase is _Phase.BASE:
        yield from advance(state, at_ms)
        return
    for digest, sent_ms in active.parts_left.items():
        if at_ms - sent_ms > limits.CAS_TIMEOUT_MS:
            active.parts_left[digest] = at_ms
            yield _part_write(active, digest)


def _is_late(proposal: _Proposal, at_ms: int) -> bool:
    return at_ms - proposal.started_ms > limits.CHANGE_TIMEOUT_MS


def _timed_out() -> UnavailableError:
    return UnavailableError(
        "the store did not respond in time",
        "nothing was changed; try again when the store is reachable",
    )
