"""JSON calls over HTTP/1.1 with a deadline for the whole call.

The owner of a shard makes hundreds of small calls a second. Responses are parsed
with `httptools`, which takes a tenth of the CPU time of `httpcore`'s pool.
"""

import errno
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import httptools
import trio

from apricotgap.decoding import MAX_DOCUMENT_BYTES
from apricotgap.platform.call_timer import CallTimer

__all__ = ["CallStage", "HttpClient", "HttpResponse", "NoResponseError"]

# Zero linger resets the connection on close and drops unsent data, so that bytes of
# a call that timed out during a network partition are not delivered after it.
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
# Idle connections are closed before the peer or the network is likely to drop their
# state without notice.
_MAX_IDLE_S = 20.0
# Connecting may take only part of the call's timeout. A connect timeout then shows
# that the request was not sent.
_CONNECT_TIMEOUT_FRACTION = 0.6
_READ_BYTES = 65_536
# Reason of a call that got neither a response nor an error in time.
_TIMEOUT = "timeout"
_MAX_INTERIM_STATUS = 199


class CallStage(Enum):
    """What a call was waiting for as it failed."""

    CONNECTION = "connection"
    SEND = "send"
    RESPONSE = "response"
    BODY = "body"


class NoResponseError(Exception):
    """A call got no usable response.

    Parameters
    ----------
    reason : str
        Kind of failure, such as ``timeout`` or an errno name.
    sent : bool
        Whether a byte of the call was written, so that the server may execute it.
    stage : CallStage
        What the call was waiting for.
    n_received_bytes : int
        Bytes of the response that had arrived.
    """

    def __init__(
        self,
        reason: str,
        sent: bool,
        stage: CallStage = CallStage.CONNECTION,
        n_received_bytes: int = 0,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.stage = stage
        self.n_received_bytes = n_received_bytes

    @property
    def has_timed_out(self) -> bool:
        """Whether nothing told of a failure before the time was over."""
        return self.reason == _TIMEOUT


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status code and body of a response."""

    status: int
    body: bytes


class _ResponseReader:
    """Collects one response from the parser's callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.is_complete = False
        self.is_reusable = False
        self._body: list[bytes] = []
        self._n_bytes = 0

    def on_message_begin(self) -> None:
        """Check that there is only one response: any of two could be that of the call.

        Raises
        ------
        ValueError
            The response is complete already.
        """
        if self.is_complete:
            raise ValueError("a second response to one call")

    def on_body(self, body: bytes) -> None:
        """Append a chunk of the body.

        Raises
        ------
        ValueError
            The body is too large.
        """
        self._n_bytes += len(body)
        if self._n_bytes > MAX_DOCUMENT_BYTES:
            raise ValueError(f"a body of more than {MAX_DOCUMENT_BYTES} bytes")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Record the end of the response, before the parser resets its state."""
        if self.parser.get_status_code() <= _MAX_INTERIM_STATUS:
            return
        self.is_complete = True
        self.is_reusable = self.parser.should_keep_alive()

    def response(self) -> HttpResponse:
        """Return the complete response."""
        return HttpResponse(self.parser.get_status_code(), b"".join(self._body))


class _Connection:
    """One open connection, used by one call at a time."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self.idle_since_s = 0.0
        # Whether the kernel has taken a byte of the present request.
        self.has_sent = False
        self.stage = CallStage.SEND
        # Bytes of the present response, with its header.
        self.n_received_bytes = 0
        # Time limit that has passed without an end of the call.
        self._passed_limit_s: float | None = None

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
        """Whether the peer has closed the connection or may have lost its state."""
        is_old = trio.current_time() - self.idle_since_s > _MAX_IDLE_S
        return is_old or self._sock.is_readable()

    async def exchange(
        self,
        request: bytes,
        timer: CallTimer,
        on_received: Callable[[], None] | None = None,
    ) -> tuple[HttpResponse, bool]:
        """Return the response and whether the connection can be reused.

        `on_received` is called with each part of the response.

        Raises
        ------
        trio.TooSlowError
            The limit of the timer has passed.
        """
        self.n_received_bytes = 0
        self._passed_limit_s = None
        self.has_sent = False
        self.stage = CallStage.SEND
        reader = _ResponseReader()

        def take(data: bytes) -> None:
            self._take(data, reader)
            timer.record_bytes(len(data))
            if on_received is not None:
                on_received()

        while not reader.is_complete:
            with trio.CancelScope(deadline=timer.deadline_s) as scope:
                if self.stage is CallStage.SEND:
                    await self._send(request)
                while not reader.is_complete:
                    take(await self._sock.recv(_READ_BYTES))
                    scope.deadline = timer.deadline_s
            if scope.cancelled_caught:
                take(await self._receive_late(timer.deadline_s))
        return reader.response(), reader.is_reusable

    def _take(self, data: bytes, reader: _ResponseReader) -> None:
        """Parse a part of the response."""
        self.stage = CallStage.BODY
        self.n_received_bytes += len(data)
        if not data:
            raise ConnectionResetError(errno.ECONNRESET, "closed before the response")
        try:
            reader.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise httptools.HttpParserError("an upgrade") from error

    async def _send(self, request: bytes) -> None:
        unsent = memoryview(request)
        while unsent:
            # A send that fails or is cancelled has taken no byte.
            n_taken = await self._sock.send(unsent)
            self.has_sent = True
            unsent = unsent[n_taken:]
        self.stage = CallStage.RESPONSE

    async def _receive_late(self, limit_s: float) -> bytes:
        """Return a part of the response that is there as a time limit passes.

        A process that is late itself finds a limit passed before it has looked at what
        arrived in time. Once for each limit, it reads what the socket holds by then.
        """
        is_sent = self.stage is not CallStage.SEND
        if not is_sent or limit_s == self._passed_limit_s:
            raise trio.TooSlowError
        if not self._sock.is_readable():
            raise trio.TooSlowError
        self._passed_limit_s = limit_s
        # Data is there, so this does not wait.
        return await self._sock.recv(_READ_BYTES)

    def close(self) -> None:
        """Reset the connection."""
        self._sock.close()


def _no_response(reason: str, connection: _Connection | None) -> NoResponseError:
    if connection is None:
        return NoResponseError(reason, sent=False)
    return NoResponseError(
        reason, connection.has_sent, connection.stage, connection.n_received_bytes
    )


class _Pool:
    """Connections to one address."""

    def __init__(self, address: str, max_connections: int, max_idle: int) -> None:
        self._address = address
        self._max_idle = max_idle
        self._semaphore = trio.Semaphore(max_connections)
        self._idle: deque[_Connection] = deque()
        self._is_closed = False

    async def call(
        self,
        request: bytes,
        timeout_ms: int,
        stall_ms: int | None,
        on_received: Callable[[], None] | None,
    ) -> HttpResponse:
        connection: _Connection | None = None
        timer = CallTimer(timeout_ms, stall_ms)
        try:
            await self._enter(timer)
            try:
                connection = self._take_idle()
                if connection is None:
                    connection = await self._open(timer, timeout_ms)
                response, is_reusable = await connection.exchange(
                    request, timer, on_received
                )
                if is_reusable and self._keep(connection):
                    connection = None
                return response
            finally:
                self._semaphore.release()
        except trio.TooSlowError:
            raise _no_response(_TIMEOUT, connection) from None
        except OSError as error:
            reason = errno.errorcode.get(error.errno or 0, type(error).__name__)
            raise _no_response(reason, connection) from error
        except (httptools.HttpParserError, trio.ClosedResourceError) as error:
            raise _no_response(type(error).__name__, connection) from error
        except (ValueError, OverflowError) as error:
            raise _no_response(f"address {self._address}", connection) from error
        finally:
            if connection is not None:
                connection.close()

    def _keep(self, connection: _Connection) -> bool:
        """Keep a connection for a later call, unless there are enough."""
        if self._is_closed or len(self._idle) >= self._max_idle:
            return False
        connection.idle_since_s = trio.current_time()
        self._idle.append(connection)
        return True

    async def _enter(self, timer: CallTimer) -> None:
        """Wait until there may be one more connection."""
        try:
            self._semaphore.acquire_nowait()
        except trio.WouldBlock:
            with trio.fail_at(timer.deadline_s):
                await self._semaphore.acquire()

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale:
                return connection
            connection.close()
        return None

    async def _open(self, timer: CallTimer, timeout_ms: int) -> _Connection:
        longest_s = timeout_ms * _CONNECT_TIMEOUT_FRACTION / 1000
        limit_s = min(timer.deadline_s, trio.current_time() + longest_s)
        with trio.fail_at(limit_s):
            return await _Connection.open(self._address)

    def close(self) -> None:
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()


class HttpClient:
    """HTTP client with a connection pool for each address.

    Parameters
    ----------
    max_connections : int
        Maximum number of connections to one address.
    max_idle : int, optional
        Maximum number of idle ones, by default all.
    """

    def __init__(self, max_connections: int = 24, max_idle: int | None = None) -> None:
        self._max_connections = max_connections
        self._max_idle = max_connections if max_idle is None else max_idle
        self._pools: dict[str, _Pool] = {}

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        body: bytes = b"",
        timeout_ms: int = 1000,
        headers: tuple[tuple[str, str], ...] = (),
        stall_ms: int | None = None,
        on_received: Callable[[], None] | None = None,
    ) -> HttpResponse:
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
            Limit for the whole call, from connecting to the end of the response; with
            `stall_ms`, to its first byte.
        headers : tuple of (str, str)
            Additional headers.
        stall_ms : int, optional
            Longest pause within a response that may be large; the call then goes on
            while the response arrives, see `CallTimer`.
        on_received : callable, optional
            Called with each part of the response that has arrived.

        Returns
        -------
        HttpResponse
            Response with any status code.

        Raises
        ------
        NoResponseError
            No complete response arrived in time.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = _Pool(address, self._max_connections, self._max_idle)
            self._pools[address] = pool
        header_lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
        header_lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            header_lines.append("Content-Type: application/json")
            header_lines.append(f"Content-Length: {len(body)}")
        # Names and addresses come from store entries that other programs write, so
        # they may hold line breaks or other characters that break the header.
        if not all(line.isascii() and line.isprintable() for line in header_lines):
            raise NoResponseError("unprintable character in a header", sent=False)
        head = "\r\n".join(header_lines) + "\r\n\r\n"
        request = head.encode("ascii") + body
        return await pool.call(request, timeout_ms, stall_ms, on_received)

    async def close_connections(self, address: str) -> None:
        """Close the connections to an address that is no longer used."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    async def aclose(self) -> None:
        """Close all connections."""
        for address in list(self._pools):
            await self.close_connections(address)
