"""Removes parts that no root uses, after a time in which no reader needs them."""

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

    A hash on the superseded list is never used by a later root (`encode_snapshot`
    salts the part), and it leaves the list only once its removal is confirmed.
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
    """Delete the part at the revision that was read."""
    digest = item.key.removeprefix(config_codec.PART_PREFIX)
    if digest not in state.writer.removing:
        return
    if not item.revision:
        state.writer.removed.add(digest)
        return
    yield StoreDelete(REMOVAL_CALL + digest, item.key, item.revision)


def part_removed(state: EntryState, event: CasFinished) -> Iterator[Effect]:
    """Note a confirmed removal; others are tried again after a later change."""
    digest = event.call_id.removeprefix(REMOVAL_CALL)
    if event.result is CasResult.STORED and digest in state.writer.removing:
        state.writer.removed.add(digest)
        yield Count("config_parts_removed")
