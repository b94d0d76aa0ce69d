"""Keeps the configuration view up to date from the store and from peers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from apricotgap.core import config_codec, limits, membership, part_fetch
from apricotgap.core.config_codec import ROOT_KEY, Root
from apricotgap.core.config_view import Candidate, age_ms
from apricotgap.core.effects import (
    Count,
    Effect,
    LogChange,
    OpenWatch,
    SendPeer,
    StoreGet,
)
from apricotgap.core.events import KeyValue
from apricotgap.errors import ValidationError
from apricotgap.model.peers import ConfigRoot, Heartbeat

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "REVISION_CALL",
    "ROOT_CALL",
    "heartbeat_received",
    "read_failed",
    "read_root",
    "root_changed",
    "root_read",
    "root_received",
    "start",
    "tick",
    "watch_broken",
]

ROOT_CALL = "config:root:"
REVISION_CALL = ROOT_CALL + "light:"
# A restored store may reuse revisions, so every tenth read also reads the content.
_N_READS_PER_FULL = 10


def start(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Open the watch and read the root."""
    yield OpenWatch(ROOT_KEY)
    yield from read_root(state, at_ms)


def read_root(state: EntryState, at_ms: int, full: bool = True) -> Iterator[Effect]:
    """Read the root unless a read is in progress.

    Without `full`, only the store revision of the key is read. An unchanged revision
    confirms the root in force.
    """
    view = state.view
    if view.read_call:
        return
    view.n_reads += 1
    view.read_due = False
    revision_only = (
        not full and view.store_revision is not None and view.root is not None
    )
    view.read_call = f"{REVISION_CALL if revision_only else ROOT_CALL}{view.n_reads}"
    view.read_sent_ms = at_ms
    view.next_read_ms = at_ms + limits.CONFIRM_INTERVAL_MS
    yield StoreGet(view.read_call, ROOT_KEY, revision_only)


def read_failed(state: EntryState, call_id: str) -> Iterator[Effect]:
    """Record a failed read; a later tick repeats it."""
    if call_id == state.view.read_call:
        state.view.read_call = ""
    yield Count("config_root_read_failed")


def watch_broken(state: EntryState, at_ms: int) -> None:
    """Record a broken watch; a later tick opens it again."""
    state.view.watch_broken_ms = at_ms


def tick(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Confirm the root when due, request late parts again, and relay the root."""
    view = state.view
    if view.read_call and at_ms - view.read_sent_ms > limits.CAS_TIMEOUT_MS:
        view.read_call = ""
    if (
        view.watch_broken_ms is not None
        and at_ms - view.watch_broken_ms >= limits.CONFIRM_INTERVAL_MS
    ):
        view.watch_broken_ms = None
        yield OpenWatch(ROOT_KEY)
    if at_ms >= view.next_read_ms and _needs_read(state, at_ms):
        full = view.read_due or view.n_reads % _N_READS_PER_FULL == 0
        yield from read_root(state, at_ms, full)
    yield from part_fetch.retry_late_parts(state, at_ms)
    yield from _relay(state, at_ms)


def _needs_read(state: EntryState, at_ms: int) -> bool:
    age = age_ms(state, at_ms)
    if age is None or state.view.read_due:
        return True
    first = membership.is_relay(state, at_ms)
    return age >= (limits.CONFIRM_INTERVAL_MS if first else limits.CONFIRM_MAX_AGE_MS)


def root_read(
    state: EntryState, call_id: str, item: KeyValue, sent_ms: int, at_ms: int
) -> Iterator[Effect]:
    """Handle the response to a read of the root."""
    view = state.view
    if call_id == view.read_call:
        view.read_call = ""
    if not call_id.startswith(REVISION_CALL):
        yield from _apply_root(state, item, sent_ms, at_ms)
    elif item.revision != view.store_revision or view.rolled_back_to is not None:
        yield from read_root(state, at_ms)
    else:
        part_fetch.confirm_view(state, sent_ms)


def root_changed(state: EntryState, item: KeyValue, at_ms: int) -> Iterator[Effect]:
    """Apply a root from the watch; read it again if it differs from the view."""
    if item.revision:
        yield from _apply_root(state, item, None, at_ms)
    root = state.view.root
    if root is not None and item.value != state.view.root_blob:
        yield from read_root(state, at_ms)


def root_received(
    state: EntryState, peer: str, message: ConfigRoot, at_ms: int
) -> Iterator[Effect]:
    """Apply a root that a peer relayed."""
    if message.revision > state.view.revision:
        item = KeyValue(ROOT_KEY, message.root, 0)
        yield from _apply_root(state, item, None, at_ms, peer)


def _apply_root(
    state: EntryState,
    item: KeyValue,
    sent_ms: int | None,
    at_ms: int,
    peer: str | None = None,
) -> Iterator[Effect]:
    view = state.view
    if peer is None and not item.revision:
        yield from _record_rollback(state, 0, 0, sent_ms)
        return
    if view.root is not None and item.value == view.root_blob:
        if peer is None:
            view.store_revision = item.revision
            view.rolled_back_to, view.diverged = None, False
        part_fetch.confirm_view(state, sent_ms)
        return
    digest = config_codec.sha256_hex(item.value)
    try:
        root = config_codec.decode_root(item.value)
    except ValidationError as error:
        yield from part_fetch.reject_document(state, digest, str(error))
        return
    if root.revision < view.revision:
        if peer is None:
            yield from _record_rollback(state, root.revision, item.revision, sent_ms)
    elif _diverges(view.root, root):
        view.diverged = view.diverged or peer is None
        yield from part_fetch.reject_document(
            state, digest, "its history lacks the configuration in force"
        )
    elif digest not in view.refused:
        store_revision = item.revision if peer is None else None
        candidate = Candidate(root, item.value, store_revision, sent_ms, peer)
        yield from part_fetch.add_candidate(state, candidate, at_ms)


def _record_rollback(
    state: EntryState, revision: int, store_revision: int, sent_ms: int | None
) -> Iterator[Effect]:
    """Record that the root in the store is absent or older than the view.

    A response to a read sent before the view was installed may only be late and is
    ignored.
    """
    view = state.view
    if sent_ms is None or (view.root is not None and sent_ms <= view.installed_ms):
        return
    view.store_revision = store_revision
    part_fetch.confirm_view(state, sent_ms)
    if view.root is not None and view.rolled_back_to != revision:
        view.rolled_back_to = revision
        yield Count("config_store_rolled_back")
        yield LogChange(
            "config_store_rolled_back",
            {"in_force": view.revision, "in_store": revision},
        )


def _diverges(mine: Root | None, other: Root) -> bool:
    if mine is None:
        return False
    if other.revision - mine.revision > limits.MAX_ROOT_AUTHORS:
        return False
    return other.revision == mine.revision or not other.includes(mine.author)


def heartbeat_received(
    state: EntryState, name: str, message: Heartbeat, at_ms: int
) -> None:
    """Apply the store confirmation in a peer's heartbeat.

    The peer sent the message after `echo_ms`, so its confirmation is not older than
    `echo_ms` minus the reported age, however long the message was in transit.
    """
    if message.echo_ms is None or message.store_age_ms is None:
        return
    peer = state.members.peers.get(name)
    if peer is None or not peer.connected_ms <= message.echo_ms <= at_ms:
        return
    if message.revision > state.view.revision:
        return
    confirmed = message.echo_ms - message.store_age_ms
    state.view.relayed_ms = max(state.view.relayed_ms or confirmed, confirmed)


def _relay(state: EntryState, at_ms: int) -> Iterable[Effect]:
    view = state.view
    if view.root is None or at_ms - view.installed_ms < limits.ROOT_RELAY_DELAY_MS:
        return
    for name, peer in sorted(state.members.peers.items()):
        if peer.revision is None or peer.revision >= view.revision:
            continue
        revision, sent_ms = view.roots_sent.get(name, (0, 0))
        late = at_ms - sent_ms >= limits.ROOT_RELAY_RETRY_MS
        if revision != view.revision or late:
            view.roots_sent[name] = (view.revision, at_ms)
            yield SendPeer(name, ConfigRoot(view.revision, view.root_blob))
