"""Event handlers of registration, connections and heartbeats."""

from collections.abc import Iterator

from apricotgap.core import heartbeats, placement, registration
from apricotgap.core.effects import Effect
from apricotgap.core.events import (
    CasFinished,
    Event,
    LeaseGranted,
    LeaseLost,
    LeaseRenewed,
    PeerConnected,
    PeerDisconnected,
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
from apricotgap.core.registration import CALL_PREFIX, MEMBER_PREFIX
from apricotgap.core.state import EntryState
from apricotgap.model.peers import Heartbeat, Usage

__all__ = [
    "MemberTick",
    "MemberLease",
    "MemberReads",
    "MemberWatch",
    "MemberWrites",
    "PeerConnections",
    "StoreContact",
]


class MemberTick(Handler):
    """Starts the registration and runs its periodic work."""

    handles = (Started, Tick)
    order = 10

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Send due calls and heartbeats."""
        if isinstance(event, Started):
            state.members.last_tick_ms = event.at_ms
            yield from registration.start(state, event.at_ms)
            yield from heartbeats.update_connections(state, event.at_ms)
            return
        yield from registration.tick(state, event.at_ms)
        yield from heartbeats.tick(state, event.at_ms)


class StoreContact(Handler):
    """Records when this entry instance last reached the store.

    The time is that of the call, since the response may have been delayed.
    """

    handles = (StoreReadFinished, LeaseGranted, LeaseRenewed)
    order = 5

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Record the time of the call."""
        sent_ms = getattr(event, "sent_ms", event.at_ms)
        last_ms = state.members.last_store_contact_ms
        state.members.last_store_contact_ms = max(last_ms or sent_ms, sent_ms)
        yield from ()


class MemberLease(Handler):
    """Handles events of the own lease."""

    handles = (LeaseGranted, LeaseRenewed, LeaseLost)
    order = 10

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Extend the lease, or request another one."""
        if isinstance(event, LeaseGranted) and event.call_id.startswith(CALL_PREFIX):
            yield from registration.lease_granted(state, event)
        elif isinstance(event, LeaseRenewed):
            registration.lease_kept(state, event)
        elif isinstance(event, LeaseLost):
            yield from registration.lease_lost(state, event)


class MemberReads(Handler):
    """Handles responses to reads of members."""

    handles = (StoreReadFinished, StoreCallFailed)
    order = 10

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Dispatch the response by its call identifier."""
        if isinstance(event, StoreCallFailed):
            registration.call_failed(state, event.call_id, event.at_ms)
            return
        if not isinstance(event, StoreReadFinished):
            return
        if event.call_id.startswith(CALL_PREFIX + "register:") and event.items:
            yield from registration.own_key_read(
                state, event.call_id, event.items[0], event.at_ms
            )
        elif event.call_id.startswith(CALL_PREFIX + "list:"):
            yield from registration.members_listed(
                state, event.call_id, event.items, event.at_ms
            )


class MemberWatch(Handler):
    """Follows the watch on members."""

    handles = (StoreChanged, WatchOpened, WatchBroken)
    order = 10

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Apply changes, or list the members again."""
        if isinstance(event, StoreChanged) and event.prefix == MEMBER_PREFIX:
            yield from registration.members_changed(state, event.items, event.at_ms)
        elif isinstance(event, WatchOpened) and event.prefix == MEMBER_PREFIX:
            yield from registration.watch_opened(state, event.at_ms)
        elif isinstance(event, WatchBroken) and event.prefix == MEMBER_PREFIX:
            state.members.watch_broken_ms = event.at_ms


class MemberWrites(Handler):
    """Handles results of the registration write."""

    handles = (CasFinished,)
    order = 10

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Record whether the entry instance is registered."""
        if not isinstance(event, CasFinished):
            return
        yield from registration.register_finished(state, event)


class PeerConnections(Handler):
    """Handles connections to peers, their heartbeats and usage."""

    handles = (PeerConnected, PeerDisconnected, PeerReceived)
    order = 10

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Record connections and messages."""
        if isinstance(event, PeerConnected):
            yield from heartbeats.connected(state, event)
        elif isinstance(event, PeerDisconnected):
            yield from heartbeats.lost(state, event.peer)
        elif isinstance(event, PeerReceived):
            heartbeats.received(state, event)
            if isinstance(event.message, Heartbeat):
                heartbeats.heartbeat_received(
                    state, event.peer, event.message, event.at_ms
                )
            elif isinstance(event.message, Usage):
                placement.apply_usage(state, event.peer, event.message)
