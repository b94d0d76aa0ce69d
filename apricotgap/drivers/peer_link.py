"""One authenticated connection to a peer with a bounded outgoing buffer."""

import contextlib
import hmac
import secrets
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import trio
from websockets.exceptions import ConnectionClosed

from apricotgap.core import limits
from apricotgap.core.state import Identity
from apricotgap.drivers import peer_codec
from apricotgap.drivers.peer_codec import Challenge, Hello, Refused
from apricotgap.model.peers import PeerMessage, Unsupported

__all__ = [
    "CLOSE_MALFORMED",
    "CLOSE_POLICY",
    "LINK_ERRORS",
    "HandshakeFailed",
    "Link",
    "WebSocket",
]

CLOSE_MALFORMED = 1007
CLOSE_POLICY = 1008
LINK_ERRORS = (
    ConnectionClosed,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
_NONCE_BYTES = 32
_MAX_REASON_BYTES = 100


class WebSocket(Protocol):
    """Interface of a websockets connection that this module uses."""

    recv_flow_control: trio.Event | None

    def resume_reading(self) -> None:
        """Resume reading from the network."""

    async def send(self, message: bytes) -> None:
        """Send one binary message."""

    async def recv(self) -> str | bytes:
        """Receive one message."""

    async def aclose(self, code: int = 1000, reason: str = "") -> None:
        """Close the connection."""


class HandshakeFailed(Exception):
    """The other side did not authenticate itself, or the connection was refused."""


@dataclass(frozen=True, slots=True)
class _Credentials:
    identity: Identity
    secret: bytes


class Link:
    """A connection to a peer that is authenticated with the shared secret.

    Parameters
    ----------
    socket : WebSocket
        The connection.
    identity : Identity
        Identity of this entry instance.
    secret : bytes
        The shared secret.
    """

    def __init__(self, socket: WebSocket, identity: Identity, secret: bytes) -> None:
        self._socket = socket
        self._credentials = _Credentials(identity, secret)
        self._outgoing: deque[bytes] = deque()
        self._n_bytes = 0
        self._wake = trio.Event()
        self._scope = trio.CancelScope()
        self.dialled = False
        self.peer = ""
        self.incarnation = ""
        self.data_centre = ""

    async def dial(self, expected: str) -> None:
        """Authenticate as the side that opened the connection.

        Raises
        ------
        HandshakeFailed
            If the other side refuses, is not `expected` or lacks the secret.
        """
        self.dialled = True
        challenge = await self._receive(Challenge)
        nonces = (challenge.nonce, secrets.token_bytes(_NONCE_BYTES))
        await self._socket.send(peer_codec.encode(self._hello("dial", nonces)))
        hello = await self._receive(Hello)
        await self._verify(hello, "accept", nonces)
        if hello.entry != expected:
            raise HandshakeFailed(f"expected {expected!r}, found {hello.entry!r}")

    async def accept(self, get_refusal_reason: Callable[["Link"], str]) -> None:
        """Authenticate as the side that accepted the connection.

        Parameters
        ----------
        get_refusal_reason : callable
            Returns why to refuse the connection, empty to accept it.

        Raises
        ------
        HandshakeFailed
            If the other side lacks the secret or the connection is refused.
        """
        own_nonce = secrets.token_bytes(_NONCE_BYTES)
        await self._socket.send(peer_codec.encode(Challenge(own_nonce)))
        hello = await self._receive(Hello)
        nonces = (own_nonce, hello.nonce)
        await self._verify(hello, "dial", nonces)
        if reason := get_refusal_reason(self):
            await self._socket.send(peer_codec.encode(Refused(reason)))
            raise HandshakeFailed(reason)
        await self._socket.send(peer_codec.encode(self._hello("accept", nonces)))

    def _hello(self, role: str, nonces: tuple[bytes, bytes]) -> Hello:
        own_identity = self._credentials.identity
        mac = peer_codec.handshake_mac(
            self._credentials.secret, role, own_identity, nonces
        )
        return Hello(
            own_identity.entry,
            own_identity.incarnation,
            own_identity.data_centre,
            nonces[1],
            mac,
        )

    async def _receive(self, cls: type) -> Any:
        blob = await self._socket.recv()
        try:
            if isinstance(blob, str):
                raise peer_codec.MalformedMessage("messages must be binary")
            message = peer_codec.decode(blob)
        except peer_codec.MalformedMessage as error:
            await self.close(CLOSE_MALFORMED, str(error))
            raise HandshakeFailed(str(error)) from error
        except (peer_codec.UnknownVersion, peer_codec.UnknownType) as error:
            await self._socket.send(peer_codec.encode(Unsupported(str(error))))
            raise HandshakeFailed(f"unsupported {error}") from error
        if isinstance(message, Refused):
            raise HandshakeFailed(f"refused: {message.reason}")
        if not isinstance(message, cls):
            raise HandshakeFailed(f"unexpected {type(message).__name__}")
        return message

    async def _verify(
        self, hello: Hello, role: str, nonces: tuple[bytes, bytes]
    ) -> None:
        expected = peer_codec.handshake_mac(
            self._credentials.secret, role, hello, nonces
        )
        if not hmac.compare_digest(expected, hello.mac):
            await self.close(CLOSE_POLICY, "wrong shared secret, check the settings")
            raise HandshakeFailed("wrong shared secret")
        if hello.entry == self._credentials.identity.entry:
            raise HandshakeFailed("the peer has the name of this entry instance")
        self.peer = hello.entry
        self.incarnation = hello.incarnation
        self.data_centre = hello.data_centre

    def send(self, blob: bytes) -> bool:
        """Queue a message; on overflow, drop the connection and return False."""
        if (
            len(self._outgoing) >= limits.MAX_PEER_BUFFER_MESSAGES
            or self._n_bytes + len(blob) > limits.MAX_PEER_BUFFER_BYTES
        ):
            self.drop()
            return False
        self._outgoing.append(blob)
        self._n_bytes += len(blob)
        self._wake.set()
        return True

    def drop(self) -> None:
        """Make `run` return."""
        self._scope.cancel()

    async def run(self, deliver: Callable[[PeerMessage], None]) -> None:
        """Exchange messages until the connection ends or is dropped.

        Parameters
        ----------
        deliver : callable
            Called with each valid message.
        """
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                with contextlib.suppress(*LINK_ERRORS):
                    await self._read(deliver)
                nursery.cancel_scope.cancel()

    async def _write(self) -> None:
        try:
            while True:
                while self._outgoing:
                    blob = self._outgoing.popleft()
                    await self._socket.send(blob)
                    self._n_bytes -= len(blob)
                self._wake = trio.Event()
                await self._wake.wait()
        except LINK_ERRORS:
            self.drop()

    async def _read(self, deliver: Callable[[PeerMessage], None]) -> None:
        while True:
            blob = await self._socket.recv()
            try:
                if isinstance(blob, str):
                    raise peer_codec.MalformedMessage("messages must be binary")
                message = peer_codec.decode(blob)
            except peer_codec.MalformedMessage as error:
                await self.close(CLOSE_MALFORMED, str(error))
                return
            except peer_codec.UnknownVersion as error:
                await self._socket.send(peer_codec.encode(Unsupported(str(error))))
                return
            except peer_codec.UnknownType as error:
                self.send(peer_codec.encode(Unsupported(str(error))))
                continue
            if not isinstance(message, (Hello, Challenge, Refused)):
                deliver(message)

    async def close(self, code: int = 1000, reason: str = "") -> None:
        """Close the connection with a status code and a reason."""
        text = reason.encode()[:_MAX_REASON_BYTES].decode(errors="ignore")
        await self._socket.aclose(code, text)

    async def release(self) -> None:
        """Close the connection and unblock its reader task.

        With a full buffer of unread messages, the reader task of the library is
        paused. Closing does not wake it, so the connection would never be released.
        """
        await self.close()
        if self._socket.recv_flow_control is not None:
            self._socket.resume_reading()
