"""Membership state: known entry instances, their liveness and the own lease."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from apricotgap.core import limits

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "Member",
    "MembershipState",
    "PeerInfo",
    "acknowledged_revisions",
    "expected_entries",
    "is_certainly_alive",
    "is_data_centre_cut_off",
    "is_heard",
    "is_relay",
    "lease_valid",
    "live_entries",
    "live_entries_of",
    "may_take_work",
    "new_incarnation",
    "other_entries",
    "own_member",
]


@dataclass(frozen=True, slots=True)
class Member:
    """An entry instance, known from its registration or from a connection."""

    entry: str
    incarnation: str
    data_centre: str
    peer_address: str = ""
    http_address: str = ""


@dataclass(slots=True)
class PeerInfo:
    """A connected peer.

    `heard_ms` is when its last message arrived. `last_alive_ms` is a time after
    which the peer certainly sent a message: the handshake, then the time at which
    the last heartbeat that it echoed was sent. `relayed` holds the revisions at
    other entry instances that its last heartbeat reported.
    """

    member: Member
    connected_ms: int
    heard_ms: int
    last_alive_ms: int
    revision: int | None = None
    store_age_ms: int | None = None
    direct_store_age_ms: int | None = None
    draining: bool = False
    last_sent_ms: int | None = None
    relayed: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class MembershipState:
    """Known entry instances and the own registration.

    `registry` holds the members registered in the store, and `first_seen_ms` when
    each was first listed. `seen_peers` holds peers that were connected and have not
    shut down gracefully. `listed` is True once the members were read from the store.
    `replaced` is True once a newer incarnation of this entry instance has
    registered. `lapsed` is True while the lease has expired, unless the whole data
    centre was cut off from the store. The next lease increments `lease_epoch`: rows
    acquired in an earlier epoch must be read again before they are used.
    """

    registry: dict[str, Member] = field(default_factory=dict)
    first_seen_ms: dict[str, int] = field(default_factory=dict)
    seen_peers: dict[str, Member] = field(default_factory=dict)
    peers: dict[str, PeerInfo] = field(default_factory=dict)
    listed: bool = False
    wanted_since_ms: dict[str, int] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    replaced: bool = False
    deregistered: bool = False
    lease_id: int = 0
    lease_until_ms: int = 0
    lease_epoch: int = 0
    lapsed: bool = True
    last_tick_ms: int = 0
    registered: bool = False
    ever_registered: bool = False
    n_calls: int = 0
    lease_call: str = ""
    register_call: str = ""
    list_call: str = ""
    next_lease_ms: int = 0
    next_register_ms: int = 0
    next_list_ms: int = 0
    watch_broken_ms: int | None = None
    next_heartbeat_ms: int = 0
    last_store_contact_ms: int | None = None


def new_incarnation(started_wall_ms: int, rng: Random) -> str:
    """Return an incarnation identifier that sorts by start time.

    Parameters
    ----------
    started_wall_ms : int
        Wall-clock start time of the process in milliseconds.
    rng : Random
        Source of the random part.
    """
    return f"{started_wall_ms:014d}-{rng.getrandbits(64):016x}"


def own_member(state: EntryState) -> Member:
    """Return this entry instance as a member."""
    me = state.identity
    return Member(
        me.entry, me.incarnation, me.data_centre, me.peer_address, me.http_address
    )


def other_entries(state: EntryState) -> dict[str, Member]:
    """Return the other entry instances that are registered or have been connected.

    Those that have shut down gracefully are left out.
    """
    members = state.members
    known = {**members.seen_peers, **members.registry}
    known |= {name: peer.member for name, peer in members.peers.items()}
    known.pop(state.identity.entry, None)
    return known


def expected_entries(state: EntryState) -> set[str]:
    """Return the other entry instances whose silence indicates a partition.

    The configured seeds are included until the members were read from the store.
    """
    expected = set(other_entries(state))
    if not state.members.listed:
        expected |= state.seeds.keys()
    return expected - {state.identity.entry}


def is_heard(state: EntryState, entry: str, at_ms: int) -> bool:
    """Return whether an entry instance sent a message recently, maybe via a peer."""
    peer = state.members.peers.get(entry)
    if peer is not None and at_ms - peer.heard_ms <= limits.PEER_SILENCE_MS:
        return True
    return _relayed_recently(state, entry, at_ms)


def is_certainly_alive(state: EntryState, entry: str, at_ms: int) -> bool:
    """Return whether an entry instance certainly sent a message recently.

    Stricter than `is_heard`: messages that were delayed in transit do not count.
    """
    peer = state.members.peers.get(entry)
    if peer is not None and at_ms - peer.last_alive_ms <= limits.PEER_SILENCE_MS:
        return True
    return _relayed_recently(state, entry, at_ms)


def _relayed_recently(state: EntryState, entry: str, at_ms: int) -> bool:
    return any(
        entry in peer.relayed and at_ms - peer.last_alive_ms <= limits.PEER_SILENCE_MS
        for peer in state.members.peers.values()
    )


def acknowledged_revisions(state: EntryState) -> dict[str, int]:
    """Return the newest revision known to be in force, by other entry instance."""
    acks: dict[str, int] = {}
    for name, peer in state.members.peers.items():
        for entry, revision in (*peer.relayed.items(), (name, peer.revision or 0)):
            acks[entry] = max(acks.get(entry, 0), revision)
    return acks


def live_entries(state: EntryState, at_ms: int) -> dict[str, Member]:
    """Return the live entry instances, including this one.

    Another entry instance is live while it is heard. One of another data centre is
    also live while it is registered, since the expiry of its store lease removes
    the registration. One of the own data centre counts as live for
    `PEER_SILENCE_MS` after it was first listed, the time that it has to connect.
    """
    return _live(state, other_entries(state), at_ms)


def _live(state: EntryState, known: dict[str, Member], at_ms: int) -> dict[str, Member]:
    members = state.members
    live = (
        {}
        if members.replaced or members.deregistered
        else {state.identity.entry: own_member(state)}
    )
    for entry, member in known.items():
        if is_heard(state, entry, at_ms) or _counts_as_live(state, member, at_ms):
            live[entry] = member
    return dict(sorted(live.items()))


def _counts_as_live(state: EntryState, member: Member, at_ms: int) -> bool:
    if member.entry not in state.members.registry:
        return False
    if member.data_centre != state.identity.data_centre:
        return True
    since_ms = state.members.first_seen_ms.get(member.entry, at_ms)
    return at_ms - since_ms <= limits.PEER_SILENCE_MS


def live_entries_of(
    state: EntryState, data_centre: str, at_ms: int
) -> dict[str, Member]:
    """Return the live entry instances of one data centre."""
    known = {
        entry: member
        for entry, member in other_entries(state).items()
        if member.data_centre == data_centre
    }
    live = _live(state, known, at_ms)
    if state.identity.data_centre != data_centre:
        live.pop(state.identity.entry, None)
    return live


def is_relay(state: EntryState, at_ms: int) -> bool:
    """Return whether this entry instance is the relay of its data centre.

    The relay is the connected entry instance with the lowest name that is not
    draining. Those that are not heard are ignored, so that each side of a partition
    has a relay.
    """
    stop_requested = state.lifecycle.stop_requested_ms is not None
    if stop_requested or state.members.replaced or state.members.deregistered:
        return False
    own = state.identity
    return not any(
        entry < own.entry
        and peer.member.data_centre == own.data_centre
        and not peer.draining
        and at_ms - peer.heard_ms <= limits.PEER_SILENCE_MS
        for entry, peer in state.members.peers.items()
    )


def may_take_work(state: EntryState) -> bool:
    """Return whether this incarnation may accept new work."""
    return not (state.stopping or state.members.replaced or state.members.deregistered)


def lease_valid(state: EntryState, at_ms: int) -> bool:
    """Return whether tasks may start under the allotment rows of this entry instance.

    Either the own lease has not expired, or ever since it did the whole data centre
    has been cut off from the store: every other entry instance of the data centre is
    alive and none reaches the store, so none can reclaim the rows.
    """
    members = state.members
    if members.replaced or members.deregistered:
        return False
    if at_ms < members.lease_until_ms:
        return True
    if members.lapsed or at_ms - members.last_tick_ms > limits.PEER_SILENCE_MS:
        return False
    return is_data_centre_cut_off(state, at_ms)


def is_data_centre_cut_off(state: EntryState, at_ms: int) -> bool:
    """Return whether no entry instance of the own data centre reaches the store.

    False if another one is not certainly alive, since it may reach the store.
    """
    for entry, member in other_entries(state).items():
        if member.data_centre != state.identity.data_centre:
            continue
        peer = state.members.peers.get(entry)
        if peer is None or at_ms - peer.last_alive_ms > limits.PEER_SILENCE_MS:
            return False
        direct_ms = peer.direct_store_age_ms
        if direct_ms is not None and direct_ms <= limits.IN_FORCE_BOUND_MS:
            return False
    return True
