"""Event handlers that read, watch and write the data centre's allotments."""

from collections.abc import Iterable

from apricotgap.core import allotment_writes, ledger_codec, reclaim
from apricotgap.core.allotments import StoredDocument, check_lease, holder_of
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
    "AllotmentReads",
    "AllotmentPeers",
    "AllotmentTick",
    "AllotmentWatch",
    "AllotmentWrites",
]

WATCH_RETRY_MS = 1_000


class AllotmentTick(Handler):
    """Opens the watch, checks the lease, and sends due reads and writes."""

    handles = (Started, Tick)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Check the lease, then send due calls."""
        check_lease(state, event.at_ms)
        yield from _open_watch(state, event.at_ms)
        if not state.allotments.confirmed:
            allotment_writes.schedule_read(state, _prefix(state), event.at_ms)
        yield from allotment_writes.write_next_document(state, event.at_ms)
        yield from _issue_reads(state, event.at_ms)


class AllotmentWatch(Handler):
    """Updates the documents from the watch on the data centre's prefix."""

    handles = (WatchOpened, WatchBroken, StoreChanged)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Apply changes; read all documents again when the watch opens or breaks."""
        check_lease(state, event.at_ms)
        if not isinstance(event, WatchOpened | WatchBroken | StoreChanged):
            return
        if event.prefix != _prefix(state):
            return
        allotment_state = state.allotments
        allotment_state.watch_open = not isinstance(event, WatchBroken)
        reclaim.record_store_contact(
            state, event.at_ms, reached=allotment_state.watch_open
        )
        if isinstance(event, StoreChanged):
            for item in event.items:
                yield from _apply_document(state, item)
        else:
            allotment_writes.schedule_read(state, _prefix(state), event.at_ms)
        if isinstance(event, WatchOpened):
            yield from _issue_reads(state, event.at_ms)


class AllotmentReads(Handler):
    """Applies documents that were read, and confirms the rows."""

    handles = (StoreReadFinished, StoreCallFailed, LeaseRenewed)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Apply a response, or schedule a failed read again."""
        check_lease(state, event.at_ms)
        allotment_state = state.allotments
        reached = not isinstance(event, StoreCallFailed)
        reclaim.record_store_contact(state, event.at_ms, reached=reached)
        if isinstance(event, LeaseRenewed | Started):
            return
        if not isinstance(event, StoreReadFinished | StoreCallFailed):
            return
        key_or_prefix = allotment_state.pending_reads.pop(event.call_id, None)
        if key_or_prefix is None:
            return
        if isinstance(event, StoreCallFailed):
            allotment_state.due_reads[key_or_prefix] = event.at_ms + WATCH_RETRY_MS
            return
        for item in event.items:
            yield from _apply_document(state, item, event.sent_ms)
        if key_or_prefix == _prefix(state):
            _confirm_rows(state, event.sent_ms)


class AllotmentWrites(Handler):
    """Handles the results of compare-and-swap writes."""

    handles = (CasFinished,)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Apply a stored write; read the document again after any other result."""
        check_lease(state, event.at_ms)
        allotment_state = state.allotments
        if not isinstance(event, CasFinished):
            return
        known = event.result is not CasResult.UNKNOWN
        reclaim.record_store_contact(state, event.at_ms, reached=known)
        write = allotment_state.pending_write
        if write is None or write.call_id != event.call_id:
            return
        allotment_state.pending_write = None
        if event.result is CasResult.STORED:
            allotment_writes.apply_stored_write(
                state, write, event.revision, event.at_ms
            )
            return
        if not known:
            allotment_writes.add_unresolved(state, write)
        allotment_writes.schedule_read(state, write.key, event.at_ms)
        yield from _issue_reads(state, event.at_ms)


class AllotmentPeers(Handler):
    """Records unmet demand and signs of life of other entry instances."""

    handles = (PeerReceived, PeerConnected, InstanceListRead)
    order = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Record what peers and the platform's instance list report."""
        allotment_state = state.allotments
        if isinstance(event, InstanceListRead):
            allotment_state.liveness.listed = event.live | event.leaving
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
                        allotment_state.unmet_demand_ms[team] = event.at_ms
        return ()


def _prefix(state: EntryState) -> str:
    return ledger_codec.data_centre_prefix(state.identity.data_centre)


def _open_watch(state: EntryState, at_ms: int) -> Iterable[Effect]:
    allotment_state = state.allotments
    if allotment_state.watch_open:
        return
    if (
        allotment_state.watch_asked_ms is not None
        and at_ms - allotment_state.watch_asked_ms < WATCH_RETRY_MS
    ):
        return
    allotment_state.watch_asked_ms = at_ms
    yield OpenWatch(_prefix(state))


def _issue_reads(state: EntryState, at_ms: int) -> Iterable[Effect]:
    allotment_state = state.allotments
    for key_or_prefix, due_ms in sorted(allotment_state.due_reads.items()):
        if due_ms > at_ms or key_or_prefix in allotment_state.pending_reads.values():
            continue
        del allotment_state.due_reads[key_or_prefix]
        call_id = allotment_writes.next_call_id(state)
        allotment_state.pending_reads[call_id] = key_or_prefix
        if key_or_prefix == _prefix(state):
            yield StoreList(call_id, key_or_prefix)
        else:
            yield StoreGet(call_id, key_or_prefix)


def _apply_document(
    state: EntryState, item: KeyValue, sent_ms: int | None = None
) -> Iterable[Effect]:
    """Decode a document and keep it unless a newer one is known."""
    allotment_state = state.allotments
    bucket_text = item.key.rpartition("/")[2]
    if not bucket_text.isdecimal():
        return
    bucket = int(bucket_text)
    is_fleet = item.key == ledger_codec.fleet_key(bucket)
    try:
        if is_fleet:
            shares = StoredDocument(
                ledger_codec.decode_fleet(item.value), item.revision
            )
            if item.revision >= allotment_state.fleet.get(bucket, shares).revision:
                allotment_state.fleet[bucket] = shares
            if sent_ms is not None:
                allotment_state.fleet_read_ms[bucket] = sent_ms
        elif item.key.startswith(_prefix(state)):
            rows = StoredDocument(ledger_codec.decode_ledger(item.value), item.revision)
            if item.revision >= allotment_state.documents.get(bucket, rows).revision:
                allotment_state.documents[bucket] = rows
    except ValidationError as error:
        if item.key not in allotment_state.unreadable:
            allotment_state.unreadable.add(item.key)
            yield LogChange(
                "allotment_unreadable", {"key": item.key, "why": str(error)}
            )
        return
    allotment_state.unreadable.discard(item.key)
    allotment_state.next_plan_ms = 0
    allotment_writes.prune_unresolved(state)


def _confirm_rows(state: EntryState, sent_ms: int) -> None:
    """Confirm the rows by a read that was sent after the last lease expiry."""
    allotment_state = state.allotments
    if allotment_state.confirmed or sent_ms <= allotment_state.lapsed_ms:
        return
    allotment_state.confirmed = True
    holder = holder_of(state)
    allotment_state.to_renew = {
        bucket
        for bucket, stored in allotment_state.documents.items()
        if any(holder in team.rows for team in stored.ledger.teams.values())
    }
