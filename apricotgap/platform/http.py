"""JSON calls over HTTP/1.1 with a deadline for the whole call.

The owner of a shard makes hundreds of small calls a second. Parsing is left to
`httptools`, which takes a tenth of the processor time of `httpcore`'s pool.
"""

import errno
import socket
import struct
from collections import deque
from dataclasses import dataclass

import httptools
import trio

__all__ = ["Answer", "HttpClient", "NoAnswerError"]

# Closing resets the connection, so that bytes of a call that was given up during a
# partition do not arrive after it.
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
# Idle connections are closed before a silent loss of their state becomes likely.
_KEEPALIVE_S = 20.0
# Shorter than the whole, to tell a call that was never sent.
_CONNECT_SHARE = 0.6
_READ_BYTES = 65_536


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


class _AnswerReader:
    """Collects one answer from the parser's callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.is_complete = False
        self.is_reusable = False
        self._body: list[bytes] = []

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Take note of the end of the answer; the parser then starts anew."""
        self.is_complete = True
        self.is_reusable = self.parser.should_keep_alive()

    def answer(self) -> Answer:
        """Return the whole answer."""
        return Answer(self.parser.get_status_code(), b"".join(self._body))


class _Connection:
    """One open connection, used by one call at a time."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self.idle_since_s = 0.0

    @classmethod
    async def open(cls, address: str) -> "_Connection":
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket()
        try:
            for level, option, value in _SOCKET_OPTIONS:
                sock.setsockopt(level, option, value)
            await sock.connect((host, int(port)))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    @property
    def is_stale(self) -> bool:
        """Whether the other side closed the connection, or may have lost it."""
        is_old = trio.current_time() - self.idle_since_s > _KEEPALIVE_S
        return is_old or self._sock.is_readable()

    async def exchange(self, request: bytes) -> tuple[Answer, bool]:
        """Return the answer and whether the connection can be used again."""
        left = memoryview(request)
        while left:
            left = left[await self._sock.send(left) :]
        reader = _AnswerReader()
        while not reader.is_complete:
            data = await self._sock.recv(_READ_BYTES)
            if not data:
                raise ConnectionResetError(errno.ECONNRESET, "closed before the answer")
            reader.parser.feed_data(data)
        return reader.answer(), reader.is_reusable

    def close(self) -> None:
        """Reset the connection."""
        self._sock.close()


class _Pool:
    """Connections to one address."""

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._limit = trio.Semaphore(max_connections)
        self._idle: deque[_Connection] = deque()
        self._is_closed = False

    async def call(self, request: bytes, timeout_ms: int) -> Answer:
        is_sent = False
        connection: _Connection | None = None
        try:
            with trio.fail_after(timeout_ms / 1000):
                async with self._limit:
                    connection = await self._take(timeout_ms)
                    is_sent = True
                    answer, is_reusable = await connection.exchange(request)
                    if is_reusable and not self._is_closed:
                        connection.idle_since_s = trio.current_time()
                        self._idle.append(connection)
                        connection = None
                    return answer
        except trio.TooSlowError:
            raise NoAnswerError("timeout", is_sent) from None
        except OSError as error:
            reason = errno.errorcode.get(error.errno or 0, type(error).__name__)
            raise NoAnswerError(reason, is_sent) from error
        except (httptools.HttpParserError, trio.ClosedResourceError) as error:
            raise NoAnswerError(type(error).__name__, is_sent) from error
        except (ValueError, OverflowError) as error:
            raise NoAnswerError(f"address {self._address}", is_sent) from error
        finally:
            if connection is not None:
                connection.close()

    async def _take(self, timeout_ms: int) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale:
                return connection
            connection.close()
        with trio.fail_after(timeout_ms * _CONNECT_SHARE / 1000):
            return await _Connection.open(self._address)

    def close(self) -> None:
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()


class HttpClient:
    """Connection pools, one for each address.

    Parameters
    ----------
    max_connections : int
        Most connections to one address.
    """

    def __init__(self, max_connections: int = 24) -> None:
        self._max_connections = max_connections
        self._pools: dict[str, _Pool] = {}

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
            pool = self._pools[address] = _Pool(address, self._max_connections)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
        # Names and addresses may come from another writer's entry in the store.
        if not all(line.isascii() and line.isprintable() for line in lines):
            raise NoAnswerError("unprintable character in a header", sent=False)
        head = "\r\n".join(lines) + "\r\n\r\n"
        return await pool.call(head.encode("ascii") + body, timeout_ms)

    async def close_connections(self, address: str) -> None:
        """Close the connections to an address that is no longer used."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    async def aclose(self) -> None:
        """Close all connections."""
        for address in list(self._pools):
            await self.close_connections(address)
