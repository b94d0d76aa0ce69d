"""Connections and heartbeats between entry instances."""

from collections.abc import Iterator

from apricotgap.core import config_view, limits, membership, placement
from apricotgap.core.effects import ConnectPeers, Effect, LogChange, SendPeer
from apricotgap.core.events import PeerConnected, PeerReceived
from apricotgap.core.membership import Member, PeerInfo
from apricotgap.core.state import EntryState
from apricotgap.model.peers import ConfigAck, Heartbeat

__all__ = [
    "connected",
    "heartbeat_received",
    "lost",
    "received",
    "send_heartbeats",
    "tick",
    "update_connections",
]


def tick(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Update the peers to connect to, and send heartbeats when due."""
    yield from update_connections(state, at_ms)
    members = state.members
    if at_ms < members.next_heartbeat_ms:
        return
    if not members.next_heartbeat_ms:
        # A random offset spreads the heartbeats of entry instances that start together.
        members.next_heartbeat_ms = at_ms + state.rng.randrange(limits.HEARTBEAT_MS)
        return
    members.next_heartbeat_ms = at_ms + limits.HEARTBEAT_MS
    yield from send_heartbeats(state, at_ms)


def send_heartbeats(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Send a heartbeat to every peer, and usage to those of the own data centre."""
    usage = None
    for name, peer in sorted(state.members.peers.items()):
        yield SendPeer(name, _heartbeat(state, peer, at_ms))
        if peer.member.data_centre != state.identity.data_centre:
            continue
        if usage is None:
            usage = placement.usage_report(state)
        yield SendPeer(name, usage)


def _heartbeat(state: EntryState, peer: PeerInfo, at_ms: int) -> Heartbeat:
    contact_ms = state.members.last_store_contact_ms
    return Heartbeat(
        incarnation=state.identity.incarnation,
        revision=state.view.revision,
        store_age_ms=config_view.age_ms(state, at_ms),
        direct_store_age_ms=None if contact_ms is None else at_ms - contact_ms,
        draining=state.lifecycle.stop_requested_ms is not None,
        relayed_acks=_relayed_acks(state, peer, at_ms),
        sent_ms=at_ms,
        echo_ms=peer.last_sent_ms,
    )


def _relayed_acks(state: EntryState, to: PeerInfo, at_ms: int) -> dict[str, int]:
    """Return the revisions at live entry instances to relay to a peer.

    A peer of another data centre gets those of the own data centre, a peer of the
    own data centre those of the others, including relayed ones. What peers of the
    own data centre relayed is left out: otherwise two entry instances could keep
    confirming to each other that a third one, which sends nothing, is alive.
    """
    own_centre = state.identity.data_centre
    inside = to.member.data_centre == own_centre
    acks = {
        name: peer.revision or 0
        for name, peer in state.members.peers.items()
        if at_ms - peer.last_alive_ms <= limits.PEER_SILENCE_MS
        and (peer.member.data_centre == own_centre) is not inside
        and name != to.member.entry
    }
    if inside:
        for name in tuple(acks):
            acks = {**state.members.peers[name].relayed, **acks}
    return dict(sorted(acks.items()))


def connected(state: EntryState, event: PeerConnected) -> Iterator[Effect]:
    """Record a new connection, and send a first heartbeat."""
    members = state.members
    known = members.registry.get(event.peer)
    address = known.peer_address if known else state.seeds.get(event.peer, "")
    http_address = known.http_address if known else ""
    member = Member(
        event.peer, event.incarnation, event.data_centre, address, http_address
    )
    at_ms = event.at_ms
    peer = PeerInfo(member, at_ms, at_ms, at_ms)
    members.peers[event.peer] = peer
    members.seen_peers[event.peer] = member
    state.view.roots_sent.pop(event.peer, None)
    yield LogChange("peer_connected", {"peer": event.peer})
    yield SendPeer(event.peer, _heartbeat(state, peer, at_ms))


def lost(state: EntryState, peer: str) -> Iterator[Effect]:
    """Remove a disconnected peer; one that was draining has shut down gracefully."""
    members = state.members
    info = members.peers.pop(peer, None)
    if info is None:
        return
    if info.draining:
        members.seen_peers.pop(peer, None)
    state.view.roots_sent.pop(peer, None)
    yield LogChange("peer_lost", {"peer": peer, "draining": info.draining})


def received(state: EntryState, event: PeerReceived) -> None:
    """Record that a message from a peer arrived."""
    peer = state.members.peers.get(event.peer)
    if peer is None:
        return
    peer.heard_ms = event.at_ms
    if isinstance(event.message, ConfigAck):
        peer.revision = max(peer.revision or 0, event.message.revision)


def heartbeat_received(
    state: EntryState, name: str, message: Heartbeat, at_ms: int
) -> None:
    """Record the state of a peer and the revisions that it relays."""
    peer = state.members.peers.get(name)
    if peer is None:
        return
    peer.revision = message.revision
    peer.store_age_ms = message.store_age_ms
    peer.direct_store_age_ms = message.direct_store_age_ms
    peer.draining = message.draining
    peer.last_sent_ms = message.sent_ms
    echo_ms = message.echo_ms
    if echo_ms is None or not peer.connected_ms <= echo_ms <= at_ms:
        return
    peer.last_alive_ms = max(peer.last_alive_ms, echo_ms)
    peer.relayed = dict(message.relayed_acks)


def update_connections(state: EntryState, at_ms: int) -> Iterator[Effect]:
    """Update the addresses to which connections are kept.

    They are those of all entry instances of the own data centre; at a relay, of the
    live entry instance with the lowest name in each other data centre; and of the
    seeds that are not known yet.
    """
    members = state.members
    known = membership.other_entries(state)
    seeds = {name: a for name, a in state.seeds.items() if name != state.identity.entry}
    wanted = {name: a for name, a in seeds.items() if name not in known}
    by_centre: dict[str, list[Member]] = {}
    for _, member in sorted(known.items()):
        by_centre.setdefault(member.data_centre, []).append(member)
    relay = membership.is_relay(state, at_ms)
    for data_centre, candidates in by_centre.items():
        if data_centre == state.identity.data_centre:
            chosen = candidates
        elif relay:
            chosen = _lowest_live(state, candidates, at_ms)
        else:
            continue
        for member in chosen:
            address = member.peer_address or seeds.get(member.entry, "")
            if address:
                wanted[member.entry] = address
    if members.replaced or members.deregistered:
        wanted = {}
    for name in members.wanted_since_ms.keys() - wanted.keys():
        del members.wanted_since_ms[name]
    for name in wanted:
        members.wanted_since_ms.setdefault(name, at_ms)
    if wanted != members.addresses:
        members.addresses = wanted
        yield ConnectPeers(dict(sorted(wanted.items())))


def _lowest_live(
    state: EntryState, candidates: list[Member], at_ms: int
) -> list[Member]:
    """Return the candidates up to the first that is connected or may still connect."""
    chosen: list[Member] = []
    for member in candidates:
        chosen.append(member)
        peer = state.members.peers.get(member.entry)
        if peer is not None:
            if not peer.draining and at_ms - peer.heard_ms <= limits.PEER_SILENCE_MS:
                break
            continue
        since_ms = state.members.wanted_since_ms.get(member.entry, at_ms)
        if at_ms - since_ms <= limits.PEER_SILENCE_MS:
            break
    return chosen
