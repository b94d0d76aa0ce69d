"""Reads, watches and writes the allotment documents of the own data centre."""

from collections.abc import Iterable

from apricotgap.core import allotment_writes, ledger_codec, reclaim
from apricotgap.core.allotments import Stored, check_lease, holder_of
from apricotgap.core.effects import Effect, LogChange, OpenWatch, StoreGet, StoreList
from apricotgap.core.events import (
    CasFinished,
    CasResult,
    Event,
    InstanceListRead,
    KeyValue,
    LeaseRenewed,
    PeerConnected,
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
from apricotgap.errors import ValidationError
from apricotgap.model.peers import Heartbeat, Usage

__all__ = [
    "FollowDocuments",
    "FollowPeers",
    "FollowTime",
    "FollowWatch",
    "FollowWrites",
]

WATCH_RETRY_MS = 1_000


class FollowTime(Handler):
    """Opens the watch, notices lapses, and writes what the work needs."""

    handles = (Started, Tick)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """React to time."""
        check_lease(state, event.at_ms)
        yield from _open_watch(state, event.at_ms)
        if not state.allotments.confirmed:
            allotment_writes.ask(state, _prefix(state), event.at_ms)
        yield from allotment_writes.write(state, event.at_ms)
        yield from _issue_reads(state, event.at_ms)


class FollowWatch(Handler):
    """Keeps the documents up to date by the watch of the data centre's prefix."""

    handles = (WatchOpened, WatchBroken, StoreChanged)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """React to the watch."""
        check_lease(state, event.at_ms)
        if not isinstance(event, WatchOpened | WatchBroken | StoreChanged):
            return
        if event.prefix != _prefix(state):
            return
        own = state.allotments
        own.watch_open = not isinstance(event, WatchBroken)
        reclaim.record_store_contact(state, event.at_ms, reached=own.watch_open)
        if isinstance(event, StoreChanged):
            for item in event.items:
                yield from _learn(state, item)
        else:
            allotment_writes.ask(state, _prefix(state), event.at_ms)
        if isinstance(event, WatchOpened):
            yield from _issue_reads(state, event.at_ms)


class FollowDocuments(Handler):
    """Takes documents and confirmations from reads."""

    handles = (StoreReadFinished, StoreCallFailed, LeaseRenewed)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """React to an answer of the store."""
        check_lease(state, event.at_ms)
        own = state.allotments
        reached = not isinstance(event, StoreCallFailed)
        reclaim.record_store_contact(state, event.at_ms, reached=reached)
        if isinstance(event, LeaseRenewed | Started):
            return
        if not isinstance(event, StoreReadFinished | StoreCallFailed):
            return
        what = own.reads.pop(event.call_id, None)
        if what is None:
            return
        if isinstance(event, StoreCallFailed):
            own.due[what] = event.at_ms + WATCH_RETRY_MS
            return
        for item in event.items:
            yield from _learn(state, item, event.sent_ms)
        if what == _prefix(state):
            _confirm(state, event.sent_ms)


class FollowWrites(Handler):
    """Settles compare-and-swap results."""

    handles = (CasFinished,)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """React to the result of a write."""
        check_lease(state, event.at_ms)
        own = state.allotments
        if not isinstance(event, CasFinished):
            return
        known = event.result is not CasResult.UNKNOWN
        reclaim.record_store_contact(state, event.at_ms, reached=known)
        write = own.writing
        if write is None or write.call_id != event.call_id:
            return
        own.writing = None
        if event.result is CasResult.STORED:
            allotment_writes.stored(state, write, event.revision, event.at_ms)
            return
        if not known:
            allotment_writes.keep_unresolved(state, write)
        allotment_writes.ask(state, write.key, event.at_ms)
        yield from _issue_reads(state, event.at_ms)


class FollowPeers(Handler):
    """Hears of unmet demand and of who is alive."""

    handles = (PeerReceived, PeerConnected, InstanceListRead)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """React to peers and the platform's list."""
        own = state.allotments
        if isinstance(event, InstanceListRead):
            own.evidence.listed = event.live | event.leaving
        elif isinstance(event, PeerConnected):
            reclaim.record_peer_incarnation(state, event.peer, event.incarnation)
            reclaim.record_peer_contact(state, event.peer, event.at_ms)
        elif isinstance(event, PeerReceived):
            if isinstance(event.message, Heartbeat):
                incarnation = event.message.incarnation
                reclaim.record_peer_incarnation(state, event.peer, incarnation)
            reclaim.record_peer_contact(state, event.peer, event.at_ms)
            if isinstance(event.message, Usage):
                for team, n in event.message.waiting.items():
                    if n > 0:
                        own.unmet_ms[team] = event.at_ms
        return ()


def _prefix(state: EntryState) -> str:
    return ledger_codec.data_centre_prefix(state.identity.data_centre)


def _open_watch(state: EntryState, at_ms: int) -> Iterable[Effect]:
    own = state.allotments
    if own.watch_open:
        return
    if own.watch_asked_ms is not None and at_ms - own.watch_asked_ms < WATCH_RETRY_MS:
        return
    own.watch_asked_ms = at_ms
    yield OpenWatch(_prefix(state))


def _issue_reads(state: EntryState, at_ms: int) -> Iterable[Effect]:
    own = state.allotments
    for what, due_ms in sorted(own.due.items()):
        if due_ms > at_ms or what in own.reads.values():
            continue
        del own.due[what]
        call_id = allotment_writes.next_call(state)
        own.reads[call_id] = what
        if what == _prefix(state):
            yield StoreList(call_id, what)
        else:
            yield StoreGet(call_id, what)


def _learn(
    state: EntryState, item: KeyValue, sent_ms: int | None = None
) -> Iterable[Effect]:
    """Take a document unless a newer one is known."""
    own = state.allotments
    bucket_text = item.key.rpartition("/")[2]
    if not bucket_text.isdecimal():
        return
    bucket = int(bucket_text)
    is_fleet = item.key == ledger_codec.fleet_key(bucket)
    try:
        if is_fleet:
            shares = Stored(ledger_codec.decode_fleet(item.value), item.revision)
            if item.revision >= own.fleet.get(bucket, shares).revision:
                own.fleet[bucket] = shares
            if sent_ms is not None:
                own.fleet_read_ms[bucket] = sent_ms
        elif item.key.startswith(_prefix(state)):
            rows = Stored(ledger_codec.decode_ledger(item.value), item.revision)
            if item.revision >= own.documents.get(bucket, rows).revision:
                own.documents[bucket] = rows
    except ValidationError as error:
        if item.key not in own.unreadable:
            own.unreadable.add(item.key)
            yield LogChange(
                "allotment_unreadable", {"key": item.key, "why": str(error)}
            )
        return
    own.unreadable.discard(item.key)
    own.plan_after_ms = 0
    allotment_writes.settle(state)


def _confirm(state: EntryState, sent_ms: int) -> None:
    """Rely on the rows again after a read that was sent after the last lapse."""
    own = state.allotments
    if own.confirmed or sent_ms <= own.lapsed_ms:
        return
    own.confirmed = True
    holder = holder_of(state)
    own.to_renew = {
        bucket
        for bucket, stored in own.documents.items()
        if any(holder in team.rows for team in stored.ledger.teams.values())
    }
