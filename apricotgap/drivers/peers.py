"""WebSocket connections between entry instances."""

import random
import ssl
from collections import Counter
from collections.abc import Callable, Mapping

import structlog
import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import connect as ws_connect
from websockets.trio.server import ServerConnection
from websockets.trio.server import serve as ws_serve

from apricotgap.clock import Clock
from apricotgap.core import limits
from apricotgap.core.events import Event, PeerConnected, PeerDisconnected, PeerReceived
from apricotgap.core.state import Identity
from apricotgap.drivers import peer_codec
from apricotgap.drivers.peer_link import LINK_ERRORS, HandshakeFailed, Link
from apricotgap.errors import SettingsError
from apricotgap.model.peers import PeerMessage

__all__ = ["PeerDriver"]

_LOG = structlog.get_logger(__name__)
_PING_INTERVAL_S = limits.PEER_PING_INTERVAL_MS / 1000
_PING_TIMEOUT_S = limits.PEER_PING_TIMEOUT_MS / 1000
_HANDSHAKE_TIMEOUT_S = limits.PEER_HANDSHAKE_TIMEOUT_MS / 1000
# A peer that does not respond sends no close frame, so a longer wait only blocks.
_CLOSE_TIMEOUT_S = 0.5
_CONNECTION_ERRORS = (
    *LINK_ERRORS,
    WebSocketException,
    HandshakeFailed,
    trio.TooSlowError,
)


class PeerDriver:
    """Maintains one authenticated connection to each peer.

    Parameters
    ----------
    identity : Identity
        Identity of this entry instance.
    secret : bytes
        Shared secret of all entry instances.
    listen_address : str
        ``host:port`` to listen on; port 0 lets the kernel choose.
    post : callable
        Called with each event.
    clock : Clock
        Source of the event timestamps.
    rng : random.Random or None
        Generator for the jitter of the reconnect backoff; None for one that is seeded
        with the incarnation.
    server_tls, client_tls : ssl.SSLContext or None
        TLS for accepted and dialled connections; None for plain TCP.
    """

    def __init__(
        self,
        identity: Identity,
        secret: bytes,
        listen_address: str,
        post: Callable[[Event], None],
        clock: Clock,
        *,
        rng: random.Random | None = None,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        if not secret:
            raise SettingsError("the peer secret is empty", "set it in the settings")
        self._identity = identity
        self._secret = secret
        self._listen_address = _parse_address(listen_address)
        self._post = post
        self._clock = clock
        self._rng = rng or random.Random(identity.incarnation)
        self._server_tls = server_tls
        self._client_tls = client_tls
        self._links: dict[str, Link] = {}
        self._links_changed = trio.Event()
        self._addresses: dict[str, str] = {}
        self._dialling: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self.counters: Counter[str] = Counter()

    @property
    def connected(self) -> frozenset[str]:
        """Names of the connected peers."""
        return frozenset(self._links)

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and open connections until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Started with the listening port.
        """
        host, port = self._listen_address
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._serve, listeners)
            addresses, self._addresses = self._addresses, {}
            self.connect(addresses)
            task_status.started(listeners[0].socket.getsockname()[1])

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        await ws_serve(
            self._handle_accepted,
            listeners=listeners,
            ssl=self._server_tls,
            compression=None,
            open_timeout=_HANDSHAKE_TIMEOUT_S,
            ping_interval=_PING_INTERVAL_S,
            ping_timeout=_PING_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            max_size=limits.MAX_PEER_MESSAGE_BYTES,
        )

    def send(self, peer: str, message: PeerMessage) -> None:
        """Queue a message to a peer; it is dropped if the peer is not connected."""
        link = self._links.get(peer)
        if link is None:
            self.counters["peer_messages_not_connected"] += 1
            return
        blob = peer_codec.encode(message)
        if len(blob) > limits.MAX_PEER_MESSAGE_BYTES:
            self.counters["peer_messages_too_large"] += 1
            return
        if not link.send(blob):
            self.counters["peer_buffers_overflowed"] += 1

    def connect(self, addresses: Mapping[str, str]) -> None:
        """Set the peers to maintain connections to.

        Parameters
        ----------
        addresses : mapping of str to str
            ``host:port`` by entry name. Connections that this side dialled to other
            peers are closed.
        """
        old, self._addresses = self._addresses, dict(addresses)
        if self._nursery is None:
            return
        for peer in old.keys() | addresses.keys():
            if old.get(peer) == addresses.get(peer):
                continue
            if scope := self._dialling.pop(peer, None):
                scope.cancel()
            link = self._links.get(peer)
            if peer not in addresses and link is not None and link.dialled:
                link.drop()
            if peer in addresses and peer != self._identity.entry:
                self._nursery.start_soon(self._keep_connected, peer, addresses[peer])

    async def _keep_connected(self, peer: str, address: str) -> None:
        with trio.CancelScope() as scope:
            self._dialling[peer] = scope
            backoff_ms = limits.PEER_BACKOFF_MIN_MS
            while True:
                while peer in self._links:
                    await self._links_changed.wait()
                if await self._dial(peer, address):
                    backoff_ms = limits.PEER_BACKOFF_MIN_MS
                else:
                    backoff_ms = min(2 * backoff_ms, limits.PEER_BACKOFF_MAX_MS)
                await trio.sleep(self._rng.uniform(0.5, 1.0) * backoff_ms / 1000)

    async def _dial(self, peer: str, address: str) -> bool:
        """Dial a peer and serve the connection; return whether it was established."""
        scheme = "wss" if self._client_tls else "ws"
        established = False
        try:
            async with ws_connect(
                f"{scheme}://{address}/",
                ssl=self._client_tls,
                proxy=None,
                compression=None,
                open_timeout=_HANDSHAKE_TIMEOUT_S,
                ping_interval=_PING_INTERVAL_S,
                ping_timeout=_PING_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
                max_size=limits.MAX_PEER_MESSAGE_BYTES,
            ) as socket:
                link = Link(socket, self._identity, self._secret)
                try:
                    with trio.fail_after(_HANDSHAKE_TIMEOUT_S):
                        await link.dial(peer)
                    if self._refusal_reason(link):
                        return False
                    established = True
                    await self._run_link(link)
                finally:
                    await link.release()
        except (*_CONNECTION_ERRORS, ValueError) as error:
            # ValueError: the address is invalid.
            self._record_failure("peer_dials_failed", peer, error)
        return established

    async def _handle_accepted(self, socket: ServerConnection) -> None:
        link = Link(socket, self._identity, self._secret)
        try:
            with trio.fail_after(_HANDSHAKE_TIMEOUT_S):
                await link.accept(self._refusal_reason)
            await self._run_link(link)
        except _CONNECTION_ERRORS as error:
            self._record_failure("peer_accepts_failed", link.peer, error)
        finally:
            await link.release()

    def _record_failure(self, counter: str, peer: str, error: Exception) -> None:
        self.counters[counter] += 1
        _LOG.debug(counter, peer=peer, error=repr(error))

    def _refusal_reason(self, link: Link) -> str:
        """Return why to refuse a connection, empty to accept it.

        When both sides dial at the same time, both keep the connection dialled by the
        entry instance with the lower name. A connection of a new incarnation, or a new
        attempt of the same side, replaces one whose end was not detected here.
        """
        old = self._links.get(link.peer)
        if old is None or old.incarnation != link.incarnation:
            return ""
        if old.dialled == link.dialled or self._is_preferred(link):
            return ""
        return "duplicate connection"

    def _is_preferred(self, link: Link) -> bool:
        return link.dialled == (self._identity.entry < link.peer)

    async def _run_link(self, link: Link) -> None:
        peer = link.peer
        if old := self._links.pop(peer, None):
            old.drop()
            self._post(PeerDisconnected(self._clock.now_ms, peer))
        self._links[peer] = link
        self._notify()
        now_ms = self._clock.now_ms
        self._post(PeerConnected(now_ms, peer, link.data_centre, link.incarnation))

        def deliver(message: PeerMessage) -> None:
            if self._links.get(peer) is link:
                self._post(PeerReceived(self._clock.now_ms, peer, message))

        try:
            await link.run(deliver)
        finally:
            if self._links.get(peer) is link:
                del self._links[peer]
                self._notify()
                self._post(PeerDisconnected(self._clock.now_ms, peer))

    def _notify(self) -> None:
        self._links_changed.set()
        self._links_changed = trio.Event()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise SettingsError(
            f"{address!r} is not an address",
            "write it as host:port, for example [::]:7000",
        )
    return host.strip("[]"), int(port)
