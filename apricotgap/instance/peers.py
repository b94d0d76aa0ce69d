"""Remote calls between instances: CBOR messages over WebSocket."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import structlog
import trio
from websockets.exceptions import WebSocketException
from websockets.protocol import State
from websockets.trio.client import connect
from websockets.trio.server import serve

from apricotgap.instance.peer_documents import decode_answer, decode_call

__all__ = ["PeerCallError", "PeerClient", "serve_peers"]

Handler = Callable[[str, Any], Awaitable[Any]]

# A call waits this long for its connection, and a peer that can be reached accepts one.
_CONNECT_WAIT_S = 0.4
# The handshake goes on for longer, for the calls that follow: a peer that is overloaded
# would never get through one that is begun anew for each call.
_HANDSHAKE_TIMEOUT_S = 3.0
# A handshake without an end for this long may be lost, in a cut or with a process that
# is gone. One more is begun beside it; they are what costs an overloaded peer most.
_SECOND_HANDSHAKE_S = 1.0
_MAX_HANDSHAKES = 2
_CLOSE_TIMEOUT_S = 0.2
# A link that was heard within this time is not pinged before a call that must not get
# lost, and one that failed within this time is not tried again for such a call.
_LINK_CHECK_MS = 200
# Instances answer pings at once, also to one in another data centre.
_PING_TIMEOUT_S = 0.25
_MAX_MESSAGE_BYTES = 1 << 20
# Messages of errors may repeat the input.
_MAX_ERROR_CHARS = 200
_CONNECTION_ERRORS = (
    WebSocketException,
    OSError,
    EOFError,
    TimeoutError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class PeerCallError(Exception):
    """A peer did not answer.

    Parameters
    ----------
    reason : str
        What failed.
    sent : bool
        Whether a byte of the call was written, so that the peer may execute it.
    """

    def __init__(self, reason: str, sent: bool = True) -> None:
        super().__init__(reason)
        self.sent = sent


async def serve_peers(host: str, port: int, handler: Handler) -> None:
    """Serve calls of peers until cancelled.

    Parameters
    ----------
    host, port : str, int
        Listening address.
    handler : callable
        Called with the operation and its argument; returns the result.
    """
    log = structlog.get_logger()

    async def answer(socket: Any, data: bytes) -> None:
        operation = None
        try:
            call_id, operation, argument = decode_call(data)
            message = cbor2.dumps([call_id, await handler(operation, argument)])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("peer_call_malformed", error=repr(error)[:_MAX_ERROR_CHARS])
            return
        except Exception:
            # An error in one call must not end the other calls of the connection.
            log.exception("peer_call_failed", operation=operation)
            return
        try:
            await socket.send(message)
        except _CONNECTION_ERRORS as error:
            log.info("peer_answer_unsent", operation=operation, error=repr(error))

    async def serve_connection(socket: Any) -> None:
        async with trio.open_nursery() as nursery:
            try:
                async for data in socket:
                    nursery.start_soon(answer, socket, data)
            except _CONNECTION_ERRORS as error:
                log.info("peer_link_lost", error=repr(error))
            nursery.cancel_scope.cancel()

    await serve(
        serve_connection,
        port,
        host=host,
        ping_interval=None,
        compression=None,
        max_size=_MAX_MESSAGE_BYTES,
    )


class _Connection:
    """A connection to a peer and its unanswered calls.

    `scope` ends it at once: the closing handshake waits for bytes that a peer that is
    cut off does not take.
    """

    def __init__(self, socket: Any, scope: trio.CancelScope) -> None:
        self.socket = socket
        self.scope = scope
        self.pending_calls: dict[int, tuple[trio.Event, list[Any]]] = {}
        self.received_s = trio.current_time()

    def receive(self, data: bytes | str) -> None:
        """Take the answer of a call.

        Raises
        ------
        ValueError
            The message is malformed.
        """
        if isinstance(data, str):
            raise ValueError("received a text message, expected a binary one")
        self.received_s = trio.current_time()
        call_id, result = decode_answer(data)
        pending_call = self.pending_calls.get(call_id)
        if pending_call is not None:
            pending_call[1].append(result)
            pending_call[0].set()


class _Opening:
    """A connection that is being opened, for all calls that wait for it."""

    def __init__(self) -> None:
        self.has_ended = trio.Event()
        self.connection: _Connection | None = None
        self.error = "not opened"
        self._n_attempts = 0
        self._begun_s = 0.0

    def begin_attempt(self) -> bool:
        """Count an attempt to open it, if one is due; returns whether it is."""
        now_s = trio.current_time()
        if self._n_attempts >= _MAX_HANDSHAKES:
            return False
        if self._n_attempts and now_s - self._begun_s < _SECOND_HANDSHAKE_S:
            return False
        self._n_attempts += 1
        self._begun_s = now_s
        return True

    def end_attempt(self) -> bool:
        """Count an attempt that has ended; returns whether it was the last one."""
        self._n_attempts -= 1
        return self._n_attempts == 0

    async def wait(self) -> _Connection:
        """Return the connection.

        Raises
        ------
        OSError
            It could not be opened, or not yet.
        """
        with trio.move_on_after(_CONNECT_WAIT_S):
            await self.has_ended.wait()
        if self.connection is not None:
            return self.connection
        if self.has_ended.is_set():
            raise OSError(self.error)
        raise OSError("the connection is still being opened")


class PeerClient:
    """Calls other instances; opens a connection to each on first use.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the tasks that read from the connections.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._connections: dict[str, _Connection] = {}
        self._openings: dict[str, _Opening] = {}
        self._failed_s: dict[str, float] = {}
        self._call_ids = itertools.count(1)

    async def call(
        self, address: str, operation: str, argument: Any, timeout_ms: int
    ) -> Any:
        """Call a peer and return its result.

        Raises
        ------
        PeerCallError
            No answer within `timeout_ms`, or the connection failed.
        """
        connection = None
        is_sent = False
        started_s = trio.current_time()
        try:
            with trio.fail_after(timeout_ms / 1000):
                connection = await self._get_connection(address)
                call_id = next(self._call_ids)
                answered = trio.Event()
                results: list[Any] = []
                connection.pending_calls[call_id] = (answered, results)
                try:
                    message = cbor2.dumps([call_id, operation, argument])
                    # A socket in any other state writes nothing.
                    is_sent = connection.socket.state is State.OPEN
                    await connection.socket.send(message)
                    await answered.wait()
                finally:
                    connection.pending_calls.pop(call_id, None)
        except trio.TooSlowError as error:
            # Without any answer since the call, the connection may be half-open; the
            # next call opens a new one. Other calls go on if the peer is only slow.
            if connection is not None and connection.received_s < started_s:
                self._close(address, connection)
            raise PeerCallError("timed out", is_sent) from error
        except _CONNECTION_ERRORS as error:
            if connection is not None:
                self._close(address, connection)
            raise PeerCallError(repr(error), is_sent) from error
        except (ValueError, TypeError, ExceptionGroup) as error:
            # The address is malformed, or the argument has no encoding.
            raise PeerCallError(repr(error)[:_MAX_ERROR_CHARS], is_sent) from error
        if not results:
            raise PeerCallError("connection closed before the answer", is_sent)
        return results[0]

    async def verify(self, address: str) -> None:
        """Check that a peer can be reached now, without a call to it.

        Raises
        ------
        PeerCallError
            It cannot; nothing that it might execute was sent.
        """
        now_s = trio.current_time()
        failed_s = self._failed_s.get(address)
        if failed_s is not None and now_s - failed_s < _LINK_CHECK_MS / 1000:
            raise PeerCallError("not reached before", sent=False)
        connection = None
        try:
            with trio.fail_after(_PING_TIMEOUT_S):
                connection = await self._get_connection(address)
                if now_s - connection.received_s >= _LINK_CHECK_MS / 1000:
                    pong = await connection.socket.ping()
                    await pong.wait()
                    connection.received_s = trio.current_time()
        except (*_CONNECTION_ERRORS, ValueError, TypeError, ExceptionGroup) as error:
            # Calls that are under way may get their answers if the peer is only slow.
            if connection is not None and not connection.pending_calls:
                self._close(address, connection)
            self._failed_s[address] = trio.current_time()
            raise PeerCallError(f"not reached: {error!r}", sent=False) from error
        self._failed_s.pop(address, None)

    async def _get_connection(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is not None:
            return connection
        opening = self._openings.get(address)
        if opening is None:
            opening = self._openings[address] = _Opening()
        if opening.begin_attempt():
            self._nursery.start_soon(self._run_connection, address, opening)
        return await opening.wait()

    async def _run_connection(self, address: str, opening: _Opening) -> None:
        try:
            host, _, port = address.rpartition(":")
            with trio.fail_after(_CONNECT_WAIT_S):
                stream = await trio.open_tcp_stream(host, int(port))
            with trio.CancelScope() as scope:
                async with connect(
                    f"ws://{address}/",
                    stream=stream,
                    ping_interval=None,
                    compression=None,
                    max_size=_MAX_MESSAGE_BYTES,
                    proxy=None,
                    open_timeout=_HANDSHAKE_TIMEOUT_S,
                    close_timeout=_CLOSE_TIMEOUT_S,
                ) as socket:
                    if opening.has_ended.is_set():
                        return
                    opening.connection = _Connection(socket, scope)
                    self._end_opening(address, opening)
                    await self._receive(address, opening.connection)
        except Exception as error:
            # Addresses come from records that other programs may have written.
            opening.error = repr(error)[:_MAX_ERROR_CHARS]
        finally:
            if opening.end_attempt():
                self._end_opening(address, opening)

    def _end_opening(self, address: str, opening: _Opening) -> None:
        if self._openings.get(address) is opening:
            del self._openings[address]
        if opening.connection is not None and not opening.has_ended.is_set():
            self._connections[address] = opening.connection
        opening.has_ended.set()

    async def _receive(self, address: str, connection: _Connection) -> None:
        try:
            async for data in connection.socket:
                connection.receive(data)
        except (*_CONNECTION_ERRORS, ValueError) as error:
            structlog.get_logger().info(
                "peer_link_lost",
                peer=address,
                error=repr(error)[:_MAX_ERROR_CHARS],
            )
        finally:
            self._close(address, connection)

    def _close(self, address: str, connection: _Connection) -> None:
        if self._connections.get(address) is connection:
            del self._connections[address]
        connection.scope.cancel()
        for answered, _ in list(connection.pending_calls.values()):
            answered.set()
