"""HTTP/1.1 server for an ASGI application that stops without cutting a request."""

import errno
import socket
import ssl
from collections.abc import Awaitable, Callable, Sequence

import structlog
import trio

from apricotgap.drivers.http import Receive, Scope, Send
from apricotgap.drivers.http_exchange import (
    ClientLeftError,
    HttpExchange,
    RequestError,
)
from apricotgap.drivers.unanswered_requests import (
    EndedBy,
    RequestStage,
    UnansweredLog,
    UnansweredRequest,
)

__all__ = ["Application", "HttpServer"]

Application = Callable[[Scope, Receive, Send], Awaitable[None]]
Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]

_BACKLOG = 1024
_KEEP_ALIVE_TIMEOUT_S = 30.0
_MAX_HEAD_BYTES = 65_536
# For the rest of a request's head once its first bytes have arrived.
_HEAD_TIMEOUT_S = 3.0
# A client that still sends a refused body must read the response before the connection
# is reset.
_LINGER_S = 1.0
_HANDSHAKE_TIMEOUT_S = 10.0
# The TLS layer does not tell whether it holds bytes that have arrived.
_TLS_LAST_READ_S = 0.05
# Errors of a process or machine that has no room for another connection now.
_EXHAUSTED_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS}
_ACCEPT_RETRY_S = 0.1
_CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class HttpServer:
    """Serves an application until `stop` is called.

    A request whose first bytes have been read is answered; a connection is closed only
    while nothing of a request has been read from it.

    Parameters
    ----------
    application : callable
        ASGI application.
    addresses : sequence of str
        Addresses to listen on, as ``HOST:PORT``.
    tls : ssl.SSLContext or None
        Certificate and key, None to serve without TLS.
    max_head_bytes : int
        Largest size of a request's head.
    keep_alive_timeout_s : float
        Time in seconds after which an idle connection is closed.
    count_unanswered : callable
        Called for each request whose connection ends without a complete response, with
        who ended it and how far the request was.
    """

    def __init__(
        self,
        application: Application,
        addresses: Sequence[str],
        *,
        tls: ssl.SSLContext | None = None,
        max_head_bytes: int = _MAX_HEAD_BYTES,
        keep_alive_timeout_s: float = _KEEP_ALIVE_TIMEOUT_S,
        count_unanswered: Callable[[EndedBy, RequestStage], None] = (
            lambda _by, _stage: None
        ),
    ) -> None:
        self._application = application
        self._addresses = addresses
        self._tls = tls
        self._max_head_bytes = max_head_bytes
        self._keep_alive_timeout_s = keep_alive_timeout_s
        self._accepting: set[trio.CancelScope] = set()
        self._idle: set[trio.CancelScope] = set()
        self._is_stopping = False
        self._n_connections = 0
        self._unanswered = UnansweredLog(count_unanswered)
        self._log = structlog.get_logger()

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return self._n_connections

    def stop(self) -> None:
        """Accept no more connections and close each one once it is idle.

        What has arrived by now is still accepted and answered.
        """
        self._is_stopping = True
        for scope in self._accepting | self._idle:
            scope.cancel()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` was called and the last request has been answered.

        Raises
        ------
        OSError
            An address is not available.
        """
        listeners: list[trio.SocketListener] = []
        for address in self._addresses:
            host, _, port = address.rpartition(":")
            listeners += await trio.open_tcp_listeners(
                int(port), host=host.strip("[]"), backlog=_BACKLOG
            )
        task_status.started()
        async with trio.open_nursery() as connections:
            for listener in listeners:
                connections.start_soon(self._accept, listener, connections)

    async def _accept(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        async with listener:
            with trio.CancelScope() as scope:
                self._accepting.add(scope)
                while not self._is_stopping:
                    await self._accept_one(listener, connections)
            while listener.socket.is_readable():
                await self._accept_one(listener, connections)

    async def _accept_one(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in _EXHAUSTED_ERRORS:
                raise
            self._log.error("accept_failed", error=str(error))
            await trio.sleep(_ACCEPT_RETRY_S)
            return
        connections.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, transport: trio.SocketStream) -> None:
        self._n_connections += 1
        stream: Stream = transport
        try:
            transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                stream = await self._open_tls(transport, self._tls)
            await self._serve_exchange(
                stream, HttpExchange(stream, self._max_head_bytes)
            )
        except (ClientLeftError, *_CONNECTION_ERRORS):
            # The client has left; there is nobody to answer.
            pass
        except Exception:
            self._log.exception("connection_failed")
        finally:
            self._n_connections -= 1
            with trio.move_on_after(_LINGER_S):
                await stream.aclose()

    async def _open_tls(
        self, transport: trio.SocketStream, context: ssl.SSLContext
    ) -> Stream:
        stream = trio.SSLStream(transport, context, server_side=True)
        with trio.move_on_after(_HANDSHAKE_TIMEOUT_S):
            await stream.do_handshake()
            return stream
        raise trio.BrokenResourceError("the client did not complete the TLS handshake")

    async def _serve_exchange(self, stream: Stream, exchange: HttpExchange) -> None:
        """Serve a connection and record a request that it ends without a response."""
        # Only the end of the server cancels a connection.
        ended_by = EndedBy.INSTANCE
        try:
            await self._serve_requests(stream, exchange)
            ended_by = EndedBy.ERROR
        except ClientLeftError:
            ended_by = EndedBy.CLIENT
            raise
        except Exception:
            ended_by = EndedBy.ERROR
            raise
        finally:
            self._record_unanswered(exchange, ended_by)

    def _record_unanswered(self, exchange: HttpExchange, ended_by: EndedBy) -> None:
        stage = exchange.unanswered_stage
        if exchange.scope is None or stage is None:
            return
        now_s = trio.current_time()
        request = UnansweredRequest(
            exchange.scope["method"],
            exchange.scope["path"],
            ended_by,
            stage,
            int((now_s - exchange.read_s) * 1000),
        )
        self._unanswered.record(request, int(now_s * 1000))

    async def _serve_requests(self, stream: Stream, exchange: HttpExchange) -> None:
        while True:
            if not exchange.has_unread_bytes and not await self._wait_for_bytes(
                stream, exchange
            ):
                return
            try:
                with trio.move_on_after(_HEAD_TIMEOUT_S):
                    await exchange.receive_head()
            except RequestError as error:
                await exchange.refuse(error)
                await self._linger(stream)
                return
            if exchange.scope is None:
                return
            await self._answer(exchange)
            if not exchange.finish_request():
                await self._linger(stream)
                return
            if not exchange.start_next():
                return

    async def _wait_for_bytes(self, stream: Stream, exchange: HttpExchange) -> bool:
        """Wait for the next request; False if there will be none."""
        with trio.move_on_after(self._keep_alive_timeout_s) as scope:
            self._idle.add(scope)
            if self._is_stopping:
                scope.cancel()
            try:
                # Either returns bytes or is cancelled, so that none are read in vain.
                return await exchange.receive_bytes()
            finally:
                self._idle.discard(scope)
        # A request may have arrived that the event loop has not seen yet.
        if isinstance(stream, trio.SocketStream):
            return stream.socket.is_readable() and await exchange.receive_bytes()
        with trio.move_on_after(_TLS_LAST_READ_S):
            return await exchange.receive_bytes()
        return False

    async def _answer(self, exchange: HttpExchange) -> None:
        assert exchange.scope is not None
        exchange.read_s = trio.current_time()
        try:
            await self._application(exchange.scope, exchange.receive, exchange.send)
        except ClientLeftError:
            raise
        except Exception:
            # An error in one request must not end the others.
            self._log.exception("request_failed", path=exchange.scope["path"])
            await exchange.fail()

    async def _linger(self, stream: Stream) -> None:
        """Discard the rest of a request whose response has been sent."""
        with trio.move_on_after(_LINGER_S):
            if isinstance(stream, trio.SocketStream):
                await stream.send_eof()
            while await stream.receive_some():
                pass
