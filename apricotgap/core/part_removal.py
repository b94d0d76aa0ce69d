"""Removes superseded parts from the store after a retention time."""

from collections.abc import Iterator

from apricotgap.core import config_codec, limits
from apricotgap.core.config_writer import CALL_PREFIX
from apricotgap.core.effects import Count, Effect, StoreDelete, StoreGet
from apricotgap.core.events import CasFinished, CasResult, KeyValue
from apricotgap.core.state import EntryState

__all__ = ["REMOVAL_CALL", "part_removed", "part_to_remove_read", "remove_superseded"]

REMOVAL_CALL = CALL_PREFIX + "removal:"


def remove_superseded(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Start removals after an own change.

    No later root uses a hash on the superseded list, since `encode_snapshot` salts
    a part that would get it. A hash leaves the list only after its removal is
    confirmed.
    """
    writer = state.writer
    listed = state.view.superseded_since
    writer.removal_due = False
    writer.removed &= listed.keys()
    writer.removing.clear()
    due = [
        digest
        for digest, since_ms in listed.items()
        if at_ms - since_ms >= limits.PART_RETENTION_MS and digest not in writer.removed
    ]
    for digest in due[: limits.MAX_PART_REMOVALS_PER_CHANGE]:
        writer.removing.add(digest)
        yield StoreGet(REMOVAL_CALL + digest, config_codec.part_key(digest))


def part_to_remove_read(state: EntryState, item: KeyValue) -> Iterator[Effect]:
    """Delete a part if it still has the revision that was read."""
    digest = item.key.removeprefix(config_codec.PART_PREFIX)
    if digest not in state.writer.removing:
        return
    if not item.revision:
        state.writer.removed.add(digest)
        return
    yield StoreDelete(REMOVAL_CALL + digest, item.key, item.revision)


def part_removed(state: EntryState, event: CasFinished) -> Iterator[Effect]:
    """Record a confirmed removal; others are repeated after a later change."""
    digest = event.call_id.removeprefix(REMOVAL_CALL)
    if event.result is CasResult.STORED and digest in state.writer.removing:
        state.writer.removed.add(digest)
        yield Count("config_parts_removed")
