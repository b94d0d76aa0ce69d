"""JSON calls over HTTP/1.1 with a deadline for the whole call."""

import socket
import struct
from dataclasses import dataclass

import httpcore
import trio

__all__ = ["Answer", "HttpClient", "NoAnswerError"]

_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    httpcore.UnsupportedProtocol,
    OSError,
)
_JSON = [("Content-Type", "application/json")]
# Closing resets the connection, so that bytes of a call that was given up during a
# partition do not arrive after it.
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
# Idle connections are closed before a silent loss of their state becomes likely.
_KEEPALIVE_S = 20.0
_CONNECT_SHARE = 0.6


class NoAnswerError(Exception):
    """A call got no usable answer.

    Parameters
    ----------
    reason : str
        Type of the failure.
    sent : bool
        Whether the other side may have executed the call.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpClient:
    """Connection pools, one for each address.

    Parameters
    ----------
    max_connections : int
        Most connections to one address.
    """

    def __init__(self, max_connections: int = 24) -> None:
        self._max_connections = max_connections
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        body: bytes = b"",
        timeout_ms: int = 1000,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Make one call.

        Parameters
        ----------
        method : str
            HTTP method.
        address : str
            ``HOST:PORT``.
        target : str
            Path and query.
        body : bytes
            JSON body, may be empty.
        timeout_ms : int
            Longest time for connecting, sending and the whole answer.
        headers : tuple of (str, str)
            Further headers.

        Returns
        -------
        Answer
            Any status.

        Raises
        ------
        NoAnswerError
            No whole answer arrived in time.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=self._max_connections,
                max_keepalive_connections=self._max_connections,
                keepalive_expiry=_KEEPALIVE_S,
                socket_options=_SOCKET_OPTIONS,
            )
            self._pools[address] = pool
        # Shorter than the whole, to tell a call that was never sent.
        connect_s = timeout_ms * _CONNECT_SHARE / 1000
        try:
            with trio.fail_after(timeout_ms / 1000):
                response = await pool.request(
                    method,
                    f"http://{address}{target}",
                    headers=[*_JSON, *headers],
                    content=body,
                    extensions={"timeout": {"connect": connect_s}},
                )
        except trio.TooSlowError:
            raise NoAnswerError("timeout", sent=True) from None
        except _FAILURES as error:
            sent = not isinstance(error, _NOT_SENT)
            raise NoAnswerError(type(error).__name__, sent) from error
        return Answer(response.status, response.content)

    async def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer used."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            await pool.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        for address in list(self._pools):
            await self.forget(address)
