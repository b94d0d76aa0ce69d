"""Registers this entry instance in the store and tracks the other members."""

from collections.abc import Iterable, Iterator

import cbor2
import msgspec

from apricotgap.core import limits
from apricotgap.core.effects import (
    Count,
    Effect,
    GrantLease,
    LogChange,
    OpenWatch,
    RenewLease,
    RevokeLease,
    SetReady,
    StoreCas,
    StoreGet,
    StoreList,
)
from apricotgap.core.events import (
    CasFinished,
    CasResult,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    LeaseRenewed,
)
from apricotgap.core.membership import Member, is_data_centre_cut_off, own_member
from apricotgap.core.state import EntryState
from apricotgap.decoding import decode_cbor

__all__ = [
    "CALL_PREFIX",
    "MEMBER_PREFIX",
    "call_failed",
    "decode_member",
    "deregister",
    "encode_member",
    "lease_granted",
    "lease_kept",
    "lease_lost",
    "member_key",
    "members_changed",
    "members_listed",
    "own_key_read",
    "register_finished",
    "start",
    "tick",
    "watch_opened",
]

CALL_PREFIX = "member:"
MEMBER_PREFIX = "members/"
_RETRY_MS = 1_000
_KEEP_INTERVAL_MS = limits.MEMBER_LEASE_MS // 4
_LIST_INTERVAL_MS = limits.MEMBER_LEASE_MS


class _WireMember(msgspec.Struct):
    entry: str
    incarnation: str
    data_centre: str
    peer_address: str = ""
    http_address: str = ""


def member_key(state: EntryState) -> str:
    """Return the store key of the own registration."""
    return f"{MEMBER_PREFIX}{state.identity.data_centre}/{state.identity.entry}"


def encode_member(member: Member) -> bytes:
    """Encode a member as canonical CBOR."""
    return cbor2.dumps(msgspec.to_builtins(member), canonical=True)


def decode_member(blob: bytes) -> Member | None:
    """Decode a member; return None if the document is malformed."""
    try:
        wire = msgspec.convert(decode_cbor(blob), _WireMember)
    except (ValueError, RecursionError):
        return None
    return Member(
        wire.entry,
        wire.incarnation,
        wire.data_centre,
        wire.peer_address,
        wire.http_address,
    )


def _call(state: EntryState, purpose: str) -> str:
    state.members.n_calls += 1
    return f"{CALL_PREFIX}{purpose}:{state.members.n_calls}"


def start(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Request a lease, and watch and list the members."""
    yield OpenWatch(MEMBER_PREFIX)
    yield from _request_lease(state, at_ms)
    yield from _list_members(state, at_ms)


def tick(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Renew the lease, register if needed, and list the members periodically."""
    members = state.members
    _check_lease_expiry(state, at_ms)
    if members.replaced or members.deregistered:
        return
    if at_ms >= members.next_lease_ms:
        if members.lease_id:
            members.next_lease_ms = at_ms + _KEEP_INTERVAL_MS
            yield RenewLease(members.lease_id)
        else:
            yield from _request_lease(state, at_ms)
    due = at_ms >= members.next_register_ms
    if members.lease_id and not members.registered and due:
        yield from _read_own_key(state, at_ms)
    if (
        members.watch_broken_ms is not None
        and at_ms - members.watch_broken_ms >= _RETRY_MS
    ):
        members.watch_broken_ms = None
        yield OpenWatch(MEMBER_PREFIX)
    # A watch may stop delivering changes without an error.
    if at_ms >= members.next_list_ms:
        yield from _list_members(state, at_ms)


def _check_lease_expiry(state: EntryState, at_ms: int) -> None:
    members = state.members
    gap_ms = at_ms - members.last_tick_ms
    members.last_tick_ms = at_ms
    if at_ms < members.lease_until_ms:
        return
    if gap_ms > limits.PEER_SILENCE_MS or not is_data_centre_cut_off(state, at_ms):
        members.lapsed = True


def _request_lease(state: EntryState, at_ms: int) -> Iterator[Effect]:
    state.members.lease_call = _call(state, "lease")
    state.members.next_lease_ms = at_ms + 2 * _RETRY_MS
    yield GrantLease(state.members.lease_call, limits.MEMBER_LEASE_MS)


def _list_members(state: EntryState, at_ms: int) -> Iterator[Effect]:
    state.members.list_call = _call(state, "list")
    state.members.next_list_ms = at_ms + _LIST_INTERVAL_MS
    yield StoreList(state.members.list_call, MEMBER_PREFIX)


def _read_own_key(state: EntryState, at_ms: int) -> Iterator[Effect]:
    state.members.register_call = _call(state, "register")
    state.members.next_register_ms = at_ms + 2 * _RETRY_MS
    yield StoreGet(state.members.register_call, member_key(state))


def lease_granted(state: EntryState, event: LeaseGranted) -> Iterator[Effect]:
    """Record the lease and register under it."""
    members = state.members
    if event.call_id != members.lease_call or members.replaced or members.deregistered:
        # The call was abandoned; the lease must not remain until it expires.
        yield RevokeLease(event.lease_id)
        return
    members.lease_call = ""
    members.lease_id = event.lease_id
    members.next_lease_ms = event.at_ms + _KEEP_INTERVAL_MS
    members.registered = False
    _extend(state, event.sent_ms, event.ttl_ms)
    yield from _read_own_key(state, event.at_ms)


def lease_kept(state: EntryState, event: LeaseRenewed) -> None:
    """Extend the own lease."""
    if event.lease_id == state.members.lease_id:
        _extend(state, event.sent_ms, event.ttl_ms)


def _extend(state: EntryState, sent_ms: int, ttl_ms: int) -> None:
    members = state.members
    until_ms = sent_ms + int(ttl_ms / limits.DRIFT_FACTOR)
    members.lease_until_ms = max(members.lease_until_ms, until_ms)
    if members.lapsed:
        members.lapsed = False
        members.lease_epoch += 1


def lease_lost(state: EntryState, event: LeaseLost) -> Iterator[Effect]:
    """Record the loss of the lease, and request another one."""
    members = state.members
    if event.lease_id != members.lease_id or members.deregistered:
        return
    members.lease_id = members.lease_until_ms = 0
    members.registered = False
    members.lapsed = True
    yield Count("member_lease_lost")
    yield LogChange("member_lease_lost")
    if not members.replaced:
        yield from _request_lease(state, event.at_ms)


def call_failed(state: EntryState, call_id: str, at_ms: int) -> None:
    """Schedule the next attempt of a failed call."""
    members = state.members
    if call_id == members.lease_call:
        members.next_lease_ms = at_ms + _RETRY_MS
    elif call_id == members.register_call:
        members.next_register_ms = at_ms + _RETRY_MS
    elif call_id == members.list_call:
        members.next_list_ms = at_ms + 2 * _RETRY_MS


def own_key_read(
    state: EntryState, call_id: str, item: KeyValue, at_ms: int
) -> Iterator[Effect]:
    """Replace an absent or older registration; yield to a newer one."""
    members = state.members
    if call_id != members.register_call:
        return
    yield from _check_own(state, item)
    if members.replaced or members.registered or not members.lease_id:
        return
    members.register_call = _call(state, "register")
    members.next_register_ms = at_ms + 2 * _RETRY_MS
    value = encode_member(own_member(state))
    yield StoreCas(
        members.register_call, item.key, item.revision, value, members.lease_id
    )


def register_finished(state: EntryState, event: CasFinished) -> Iterator[Effect]:
    """Record the registration; after any other result, read the key again."""
    members = state.members
    if event.call_id != members.register_call:
        return
    if event.result is CasResult.STORED:
        members.registered = members.ever_registered = True
        yield LogChange("member_registered", {"entry": state.identity.entry})
        return
    if event.result is CasResult.CONFLICT:
        yield from _read_own_key(state, event.at_ms)
        return
    members.next_register_ms = event.at_ms + _RETRY_MS


def _check_own(state: EntryState, item: KeyValue) -> Iterator[Effect]:
    """Stop accepting work if another incarnation has registered under the own key.

    An incarnation that has been registered was replaced by the one found. One that
    never was compares start times, since it may itself be the newer one.
    """
    members = state.members
    found = decode_member(item.value) if item.revision else None
    if found is None or members.replaced or members.deregistered:
        return
    mine = state.identity.incarnation
    if found.incarnation == mine:
        return
    if not members.ever_registered and found.incarnation < mine:
        return
    members.replaced = state.stopping = True
    members.registered = False
    yield SetReady(False)
    yield Count("member_replaced")
    yield LogChange("member_replaced", {"by": found.incarnation})


def members_listed(
    state: EntryState, call_id: str, items: Iterable[KeyValue], at_ms: int
) -> Iterator[Effect]:
    """Replace the registry by the listed members."""
    members = state.members
    if call_id != members.list_call:
        return
    members.listed = True
    present = [item for item in items if item.revision]
    old, members.registry = members.registry, {}
    for item in present:
        yield from _add_member(state, item, at_ms)
    for entry in old.keys() - members.registry.keys():
        _remove_member(state, entry)
    names = {item.key for item in present}
    if members.registered and member_key(state) not in names:
        # The read in the next tick tells a lost registration from an outdated list.
        members.registered = False
        members.next_register_ms = at_ms


def members_changed(
    state: EntryState, items: Iterable[KeyValue], at_ms: int
) -> Iterator[Effect]:
    """Apply changes from the watch."""
    for item in items:
        if item.revision:
            yield from _add_member(state, item, at_ms)
            continue
        entry = item.key.rpartition("/")[2]
        if state.members.registry.pop(entry, None) is not None:
            _remove_member(state, entry)
        if item.key == member_key(state):
            state.members.registered = False


def _add_member(state: EntryState, item: KeyValue, at_ms: int) -> Iterator[Effect]:
    members = state.members
    if item.key == member_key(state):
        yield from _check_own(state, item)
    member = decode_member(item.value)
    if member is None or item.key.rpartition("/")[2] != member.entry:
        yield Count("member_document_refused")
        return
    members.registry[member.entry] = member
    members.first_seen_ms.setdefault(member.entry, at_ms)


def _remove_member(state: EntryState, entry: str) -> None:
    members = state.members
    members.first_seen_ms.pop(entry, None)
    members.seen_peers.pop(entry, None)


def watch_opened(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """List the members, since changes before the watch opened were missed."""
    yield from _list_members(state, at_ms)


def deregister(state: EntryState) -> tuple[Effect, ...]:
    """Revoke the lease, which removes the registration, at the end of a shutdown."""
    members = state.members
    if members.deregistered:
        return ()
    members.deregistered = True
    lease_id, members.lease_id, members.lease_until_ms = members.lease_id, 0, 0
    members.registered = False
    return (RevokeLease(lease_id),) if lease_id else ()
