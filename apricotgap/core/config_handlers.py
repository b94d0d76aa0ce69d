"""Event handlers of the configuration view and writer."""

from collections.abc import Iterable, Iterator

from apricotgap.core import config_sync, config_writer, limits, part_fetch, part_removal
from apricotgap.core.config_codec import ROOT_KEY
from apricotgap.core.effects import Effect
from apricotgap.core.events import (
    CasFinished,
    Event,
    PeerReceived,
    Started,
    StoreCallFailed,
    StoreChanged,
    StoreReadFinished,
    Tick,
    WatchBroken,
    WatchOpened,
)
from apricotgap.core.reducer import Handler
from apricotgap.core.state import EntryState
from apricotgap.model.peers import (
    ConfigParts,
    ConfigPartsWanted,
    ConfigRoot,
    Heartbeat,
)

__all__ = [
    "ConfigReads",
    "ConfigTick",
    "ConfigWatch",
    "ConfigWrites",
    "PeerConfig",
    "ConfigStart",
]


class ConfigStart(Handler):
    """Starts following the configuration root."""

    handles = (Started,)
    order = 11

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Open the watch and read the root."""
        return config_sync.start(state, event.at_ms)


class ConfigTick(Handler):
    """Runs the periodic work of the view and the writer."""

    handles = (Tick,)
    order = 11

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Run due reads and writes, and remove parts after an own change."""
        yield from config_sync.tick(state, event.at_ms)
        yield from config_writer.tick(state, event.at_ms)
        if state.writer.removal_due:
            yield from part_removal.remove_superseded(state, event.at_ms)


class ConfigReads(Handler):
    """Handles responses to reads of the root and of parts."""

    handles = (StoreReadFinished, StoreCallFailed)
    order = 11

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Dispatch the response by its call identifier."""
        if isinstance(event, StoreCallFailed):
            if event.call_id.startswith(config_sync.ROOT_CALL):
                yield from config_sync.read_failed(state, event.call_id)
                state.writer.next_attempt_ms = event.at_ms + limits.CHANGE_RETRY_MS
            elif event.call_id.startswith(part_fetch.PART_CALL):
                yield from part_fetch.part_failed(state, event.at_ms)
            return
        if not isinstance(event, StoreReadFinished) or not event.items:
            return
        item, call_id = event.items[0], event.call_id
        if call_id.startswith(config_sync.ROOT_CALL):
            yield from config_sync.root_read(
                state, call_id, item, event.sent_ms, event.at_ms
            )
        elif call_id.startswith(part_fetch.PART_CALL):
            yield from part_fetch.part_read(state, item, event.at_ms)
        elif call_id.startswith(part_removal.REMOVAL_CALL):
            yield from part_removal.part_to_remove_read(state, item)
            return
        else:
            return
        yield from config_writer.advance(state, event.at_ms)


class ConfigWatch(Handler):
    """Follows the watch on the root."""

    handles = (StoreChanged, WatchOpened, WatchBroken)
    order = 11

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Apply a changed root, or read it again."""
        if isinstance(event, StoreChanged) and event.prefix == ROOT_KEY:
            for item in event.items:
                yield from config_sync.root_changed(state, item, event.at_ms)
            yield from config_writer.advance(state, event.at_ms)
        elif isinstance(event, WatchOpened) and event.prefix == ROOT_KEY:
            yield from config_sync.read_root(state, event.at_ms)
        elif isinstance(event, WatchBroken) and event.prefix == ROOT_KEY:
            config_sync.watch_broken(state, event.at_ms)
            yield from config_sync.read_root(state, event.at_ms)


class PeerConfig(Handler):
    """Exchanges roots and parts with peers."""

    handles = (PeerReceived,)
    order = 11

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Dispatch the message by its type."""
        if not isinstance(event, PeerReceived):
            return
        match event.message:
            case Heartbeat() as beat:
                config_sync.heartbeat_received(state, event.peer, beat, event.at_ms)
            case ConfigRoot() as root:
                yield from config_sync.root_received(
                    state, event.peer, root, event.at_ms
                )
                yield from config_writer.advance(state, event.at_ms)
            case ConfigPartsWanted() as wanted:
                yield from part_fetch.parts_wanted(state, event.peer, wanted)
            case ConfigParts() as parts:
                yield from part_fetch.parts_received(state, parts, event.at_ms)
                yield from config_writer.advance(state, event.at_ms)


class ConfigWrites(Handler):
    """Handles results of the writer's calls."""

    handles = (CasFinished,)
    order = 11

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Continue the change or the removal."""
        if not isinstance(event, CasFinished):
            return
        if not event.call_id.startswith(config_writer.CALL_PREFIX):
            return
        if event.call_id.startswith(part_removal.REMOVAL_CALL):
            yield from part_removal.part_removed(state, event)
            return
        yield from config_writer.cas_finished(state, event)
