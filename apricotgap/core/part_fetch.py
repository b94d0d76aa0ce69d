"""Fetches the missing parts of a new configuration and puts it in force."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from apricotgap.core import config_codec, limits
from apricotgap.core.config_codec import PART_PREFIX
from apricotgap.core.config_view import Candidate
from apricotgap.core.effects import Count, Effect, LogChange, SendPeer, StoreGet
from apricotgap.core.events import KeyValue
from apricotgap.errors import ValidationError
from apricotgap.model.peers import ConfigAck, ConfigParts, ConfigPartsWanted

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "PART_CALL",
    "add_candidate",
    "confirm_view",
    "install_written",
    "part_failed",
    "part_read",
    "parts_received",
    "parts_wanted",
    "reject_document",
    "retry_late_parts",
]


PART_CALL = "config:part:"
# Keeps a message with parts well below MAX_PEER_MESSAGE_BYTES.
_REPLY_BYTES = 1_048_576
_N_REFUSED_KEPT = 256


def confirm_view(state: EntryState, since_ms: int | None) -> None:
    """Record that the store had no newer root at `since_ms`."""
    if since_ms is not None:
        state.view.confirmed_ms = max(state.view.confirmed_ms or since_ms, since_ms)


def add_candidate(state: EntryState, new: Candidate, at_ms: int) -> Iterator[Effect]:
    """Make a newer root the candidate and request its missing parts."""
    view = state.view
    old = view.candidate
    if old is not None and old.blob == new.blob:
        if new.store_revision is not None:
            old.store_revision = new.store_revision
        if new.seen_ms is not None:
            old.seen_ms = max(old.seen_ms or 0, new.seen_ms)
        return
    if old is not None:
        # A root known only from a peer must not block the store's root for long.
        stuck = at_ms - old.started_ms > limits.IN_FORCE_BOUND_MS
        superior = stuck and old.store_revision is None and new.peer is None
        if new.root.revision <= old.root.revision and not superior:
            return
        new.blobs = {
            digest: blob
            for digest, blob in old.blobs.items()
            if digest in new.root.parts.values()
        }
    new.started_ms = at_ms
    view.candidate = new
    if missing_parts(state):
        announcer = new.peer if new.peer in state.members.peers else None
        yield from request_parts(state, at_ms, announcer)
    else:
        yield from install(state, at_ms)


def missing_parts(state: EntryState) -> list[str]:
    """Return the hashes of the parts that the candidate still lacks."""
    candidate = state.view.candidate
    if candidate is None:
        return []
    wanted = set(candidate.root.parts.values())
    return sorted(wanted - state.view.snapshot.blobs.keys() - candidate.blobs.keys())


def request_parts(state: EntryState, at_ms: int, peer: str | None) -> Iterator[Effect]:
    """Request the missing parts from a peer, or from the store if `peer` is None."""
    candidate = state.view.candidate
    if candidate is None:
        return
    candidate.requested_ms = at_ms
    candidate.from_store = peer is None
    wanted = missing_parts(state)
    if peer is not None:
        yield SendPeer(peer, ConfigPartsWanted(tuple(wanted)))
        return
    for digest in wanted:
        yield StoreGet(PART_CALL + digest, config_codec.part_key(digest))


def retry_late_parts(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Request parts from another source after a timeout."""
    candidate = state.view.candidate
    if (
        candidate is not None
        and at_ms - candidate.requested_ms >= limits.PART_FETCH_TIMEOUT_MS
    ):
        peer = _choose_peer(state, candidate) if candidate.from_store else None
        yield from request_parts(state, at_ms, peer)


def _choose_peer(state: EntryState, candidate: Candidate) -> str | None:
    ready = sorted(
        name
        for name, peer in state.members.peers.items()
        if name == candidate.peer or (peer.revision or 0) >= candidate.root.revision
    )
    return state.rng.choice(ready) if ready else None


def part_read(state: EntryState, item: KeyValue, at_ms: int) -> Iterator[Effect]:
    """Handle a part read from the store."""
    digest = item.key.removeprefix(PART_PREFIX)
    if digest not in missing_parts(state):
        return
    if not item.revision:
        # A part is removed only after a newer root has replaced the one that names it.
        state.view.next_read_ms = at_ms
        state.view.read_due = True
        return
    yield from _part_arrived(state, digest, item.value, at_ms)


def part_failed(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Request from a peer the parts that could not be read from the store."""
    candidate = state.view.candidate
    if candidate is None or not candidate.from_store:
        return
    peer = _choose_peer(state, candidate)
    if peer is not None:
        yield from request_parts(state, at_ms, peer)


def parts_received(
    state: EntryState, message: ConfigParts, at_ms: int
) -> Iterator[Effect]:
    """Handle parts received from a peer."""
    for digest, blob in message.parts.items():
        if digest in missing_parts(state):
            yield from _part_arrived(state, digest, blob, at_ms)


def _part_arrived(
    state: EntryState, digest: str, blob: bytes, at_ms: int
) -> Iterator[Effect]:
    candidate = state.view.candidate
    if candidate is None:
        return
    if config_codec.sha256_hex(blob) != digest:
        yield from reject_document(
            state, f"part:{digest}", "the part does not match its hash"
        )
        return
    candidate.blobs[digest] = blob
    if not missing_parts(state):
        yield from install(state, at_ms)


def parts_wanted(
    state: EntryState, peer: str, message: ConfigPartsWanted
) -> Iterator[Effect]:
    """Send the requested parts that are known here."""
    parts: dict[str, bytes] = {}
    for digest in message.hashes:
        blob = state.view.snapshot.blobs.get(digest)
        if blob is None:
            continue
        if sum(map(len, parts.values())) + len(blob) > _REPLY_BYTES and parts:
            yield SendPeer(peer, ConfigParts(parts))
            parts = {}
        parts[digest] = blob
    if parts:
        yield SendPeer(peer, ConfigParts(parts))


def install_written(
    state: EntryState, candidate: Candidate, at_ms: int
) -> Iterator[Effect]:
    """Put a configuration in force that this entry instance has just stored."""
    if candidate.root.revision > state.view.revision:
        state.view.candidate = candidate
        yield from install(state, at_ms)


def install(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Decode the candidate and put it in force."""
    view = state.view
    candidate, view.candidate = view.candidate, None
    if candidate is None:
        return
    try:
        snapshot = config_codec.decode_snapshot(
            candidate.root, candidate.blobs, view.snapshot
        )
    except ValidationError as error:
        digest = config_codec.sha256_hex(candidate.blob)
        yield from reject_document(state, digest, str(error))
        return
    view.root, view.root_blob, view.snapshot = candidate.root, candidate.blob, snapshot
    view.store_revision = candidate.store_revision
    view.installed_ms = at_ms
    if candidate.store_revision is not None:
        view.rolled_back_to, view.diverged = None, False
    confirm_view(state, candidate.seen_ms)
    view.superseded_since = {
        digest: view.superseded_since.get(digest, at_ms)
        for digest in candidate.root.superseded
    }
    state.config = snapshot.config
    yield Count("config_installed")
    yield LogChange("config_installed", {"revision": view.revision})
    for peer in sorted(state.members.peers):
        yield SendPeer(peer, ConfigAck(view.revision))


def reject_document(state: EntryState, digest: str, cause: str) -> Iterator[Effect]:
    """Count a rejected document, and log it once."""
    view = state.view
    view.n_refused += 1
    yield Count("config_document_refused")
    if digest in view.refused:
        return
    if len(view.refused) >= _N_REFUSED_KEPT:
        view.refused.clear()
    view.refused.add(digest)
    yield LogChange("config_document_refused", {"document": digest, "cause": cause})
