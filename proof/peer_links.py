"""Links between the fakes of entry instances, and the bodies that they send."""

import dataclasses

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.model.peers import (
    ClaimAnswer,
    PeerMessage,
    TicketAnswer,
    TicketForward,
)
from proof.fake_entry import EventBuilder, FakeEntry
from proof.harness_state import HarnessState

__all__ = ["PeerLinks"]


class PeerLinks(HarnessState):
    """Connects entry instances and delivers their messages.

    Parameters
    ----------
    seed, link_ms
        As for `HarnessState`.
    """

    def _connect_peers(self, entry: FakeEntry, effect: fx.ConnectPeers) -> None:
        entry.wanted_peers = dict(effect.addresses)
        self._connect_wanted(entry.identity.entry)

    def _connect_wanted(self, name: str) -> None:
        for peer in sorted(self.entries[name].wanted_peers):
            self._dial(name, peer, 2 * self.link_ms)

    def _dial(self, name: str, peer: str, delay_ms: float) -> None:
        if (name, peer) not in self._dialling:
            self._dialling.add((name, peer))
            self.schedule.after(delay_ms, lambda: self._connect(name, peer))

    def _connect(self, name: str, peer: str) -> None:
        self._dialling.discard((name, peer))
        pair = frozenset((name, peer))
        other = self.entries.get(peer)
        entry = self.entries[name]
        if len(pair) != 2 or pair in self._connected:
            return
        if other is None or not (entry.alive and other.alive) or other.paused:
            self._retry_connect(name, peer)
            return
        if self.is_cut(entry, other):
            self._retry_connect(name, peer)
            return
        self._connected.add(pair)
        for one, two in ((entry, other), (other, entry)):
            who = two.identity
            one.post(
                lambda at, who=who: ev.PeerConnected(
                    at, who.entry, who.data_centre, who.incarnation
                )
            )

    def _retry_connect(self, name: str, peer: str) -> None:
        entry = self.entries[name]
        if entry.alive and peer in entry.wanted_peers:
            self._dial(name, peer, 500)

    def is_cut(self, entry: FakeEntry, other: FakeEntry) -> bool:
        """Tell whether the path between two entries is cut."""
        pair = frozenset((entry.identity.entry, other.identity.entry))
        return pair in self.cut_links or self._data_centres_cut(entry, other)

    def _data_centres_cut(self, entry: FakeEntry, other: FakeEntry) -> bool:
        centres = {entry.identity.data_centre, other.identity.data_centre}
        return len(centres) == 2 and frozenset(centres) in self.cut_links

    def _send_peer(self, entry: FakeEntry, effect: fx.SendPeer) -> None:
        self._send(entry, effect.peer, effect.message)

    def _send(self, entry: FakeEntry, peer: str, message: PeerMessage) -> None:
        name = entry.identity.entry
        pair = frozenset((name, peer))
        if pair not in self._connected:
            return

        def arrive() -> None:
            other = self.entries.get(peer)
            if other is not None and pair in self._connected:
                self._receive(other, name, message)

        self.schedule.after(self.link_ms, arrive)

    def _receive(self, entry: FakeEntry, peer: str, message: PeerMessage) -> None:
        if isinstance(message, TicketForward):
            entry.n_forwarded += 1
            me = entry.identity
            request_id = f"{me.entry}.{me.incarnation}.f{entry.n_forwarded}"
            self.bodies[request_id] = message.body
            entry.request_bodies[request_id] = message.body
            n_bytes = len(message.body)
            bare = dataclasses.replace(message, body=b"")
            entry.post(
                lambda at: ev.ForwardedRequestArrived(
                    at, peer, bare, request_id, n_bytes
                )
            )
            return
        if isinstance(message, ClaimAnswer | TicketAnswer):
            if message.n_body_bytes or message.body:
                entry.retained[message.call_id] = message.body
            message = dataclasses.replace(message, body=b"")
        entry.post(lambda at: ev.PeerReceived(at, peer, message))

    def _forward(self, entry: FakeEntry, effect: fx.ForwardRequest) -> None:
        body = entry.request_bodies.get(effect.request_id)
        if body is not None:
            message = dataclasses.replace(effect.message, body=body)
            self._send(entry, effect.peer, message)

    def _send_answer(self, entry: FakeEntry, effect: fx.SendAnswerWithBody) -> None:
        if effect.task_id is not None:
            body = entry.task_answers.pop(effect.task_id, None)
            if body is not None:
                entry.retained[effect.request_id] = body
        message = effect.message
        held = entry.retained.get(effect.request_id)
        if held is not None:
            message = dataclasses.replace(message, body=held)
        self._send(entry, effect.peer, message)

    def _store_body(self, entry: FakeEntry, effect: fx.StoreBody) -> None:
        held = entry.retained.get(effect.request_id)
        if held is None:
            entry.post(
                lambda at: ev.CasFinished(
                    at, effect.call_id, effect.key, ev.CasResult.CONFLICT
                )
            )
            return
        cas = fx.StoreCas(effect.call_id, effect.key, 0, held, effect.lease_id)
        self._store(entry, cas)

    def _fetch_body(self, entry: FakeEntry, effect: fx.FetchBody) -> None:
        def found(build: EventBuilder) -> None:
            read = build(self.now_ms)
            n_bytes: int | None = None
            if isinstance(read, ev.StoreReadFinished) and read.items[0].revision:
                entry.retained[effect.request_id] = read.items[0].value
                n_bytes = len(read.items[0].value)
            entry.post(lambda at: ev.BodyFetched(at, effect.call_id, n_bytes))

        self._store(entry, fx.StoreGet(effect.call_id, effect.key), found)

    def _release(self, entry: FakeEntry, effect: fx.ReleaseBodies) -> None:
        entry.request_bodies.pop(effect.request_id, None)

    def cut_data_centres(self, one: str, *others: str) -> None:
        """Cut a data centre's entry instances and workers off from others."""
        for other in others:
            self.cut_links.add(frozenset((one, other)))
        for pair in sorted(self._connected, key=sorted):
            first, second = (self.entries[name] for name in pair)
            if self._data_centres_cut(first, second):
                self._disconnect(pair)

    def _disconnect(self, pair: frozenset[str]) -> None:
        self._connected.discard(pair)
        for name in sorted(pair):
            (peer,) = pair - {name}
            entry = self.entries.get(name)
            if entry is not None:
                self._post_soon(
                    entry, lambda at, peer=peer: ev.PeerDisconnected(at, peer)
                )
                self._retry_connect(name, peer)

    def _post_soon(self, entry: FakeEntry, build: EventBuilder) -> None:
        self.schedule.after(0, lambda: entry.post(build))

    def _close_links_of(self, name: str) -> None:
        for pair in sorted((p for p in self._connected if name in p), key=sorted):
            self._disconnect(pair)
