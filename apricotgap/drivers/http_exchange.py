"""Requests and responses of one HTTP/1.1 connection, as ASGI messages."""

from email.utils import formatdate
from typing import Any
from urllib.parse import unquote

import h11
import trio

from apricotgap.drivers.http import Scope
from apricotgap.drivers.unanswered_requests import RequestStage
from apricotgap.errors import ApricotgapError

__all__ = ["ClientLeftError", "HttpExchange", "RequestError"]

_READ_BYTES = 65_536
# Bytes of later requests that are kept while one is answered.
_MAX_PIPELINED_BYTES = 65_536
_STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class RequestError(ApricotgapError):
    """The bytes of a client are not an HTTP request."""

    kind = "bad_request"
    http_status = 400


class ClientLeftError(Exception):
    """The connection to the client has failed, so that there is nobody to answer."""


class HttpExchange:
    """The current request of a connection and its response.

    Parameters
    ----------
    stream : trio.SocketStream or trio.SSLStream
        The connection.
    max_head_bytes : int
        Largest size of a request's head.
    """

    def __init__(
        self,
        stream: trio.SocketStream | trio.SSLStream[trio.SocketStream],
        max_head_bytes: int,
    ) -> None:
        self._stream = stream
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_head_bytes
        )
        self._head: h11.Response | None = None
        self._has_unread_bytes = False
        self._is_answered = False
        self._is_receiving = False
        self.scope: Scope | None = None
        # When the head of the current request had been read, on the clock of trio.
        self.read_s = 0.0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of the next request have been received already."""
        return self._has_unread_bytes

    @property
    def unanswered_stage(self) -> RequestStage | None:
        """How far the current request is, None if it has a complete response."""
        if self.scope is None or self._is_answered:
            return None
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return RequestStage.RESPONSE
        if self._connection.their_state is h11.SEND_BODY:
            return RequestStage.BODY
        return RequestStage.WORK

    def finish_request(self) -> bool:
        """Skip a body that was not asked for; False if it has not arrived yet."""
        connection = self._connection
        try:
            while connection.their_state is h11.SEND_BODY:
                if connection.next_event() is h11.NEED_DATA:
                    return False
        except h11.RemoteProtocolError:
            return False
        return True

    async def receive_bytes(self) -> bool:
        """Receive bytes of the client; False at the end of the connection.

        Raises
        ------
        ClientLeftError
            The connection has failed.
        """
        self._is_receiving = True
        try:
            data = await self._stream.receive_some(_READ_BYTES)
        except _STREAM_ERRORS as error:
            raise ClientLeftError(repr(error)) from error
        finally:
            self._is_receiving = False
        self._connection.receive_data(bytes(data))
        return bool(data)

    async def receive_head(self) -> None:
        """Receive the head of the next request; `scope` is None if it ended early.

        Raises
        ------
        RequestError
            The head is malformed or too large.
        ClientLeftError
            The connection has failed.
        """
        self.scope = None
        event = await self._next_event()
        if isinstance(event, h11.Request):
            self._is_answered = False
            self.scope = self._scope_of(event)

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestError(str(error), "send an HTTP/1.1 request") from error
            if event is not h11.NEED_DATA:
                return event
            if self._connection.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.receive_bytes()

    def _scope_of(self, request: h11.Request) -> Scope:
        path, _, query = request.target.partition(b"?")
        transport, scheme = self._stream, "http"
        if isinstance(transport, trio.SSLStream):
            transport, scheme = transport.transport_stream, "https"
        try:
            client = transport.socket.getpeername()[:2]
        except OSError as error:
            raise ClientLeftError(repr(error)) from error
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": request.http_version.decode("ascii"),
            "method": request.method.decode("ascii"),
            "scheme": scheme,
            "path": unquote(path.decode("latin-1")),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": list(request.headers),
            "client": client,
            "server": transport.socket.getsockname()[:2],
        }

    async def receive(self) -> dict[str, Any]:
        """Receive the next part of the body, as an ASGI message.

        After the body, wait until the client closes the connection.
        """
        if self._connection.their_state is not h11.SEND_BODY:
            await self._wait_for_disconnect()
            return {"type": "http.disconnect"}
        try:
            event = await self._next_event()
        except RequestError:
            return {"type": "http.disconnect"}
        if isinstance(event, h11.Data):
            return {
                "type": "http.request",
                "body": bytes(event.data),
                "more_body": True,
            }
        if isinstance(event, h11.EndOfMessage):
            return {"type": "http.request", "body": b"", "more_body": False}
        return {"type": "http.disconnect"}

    async def _wait_for_disconnect(self) -> None:
        connection = self._connection
        if connection.their_state is h11.ERROR:
            return
        try:
            while len(connection.trailing_data[0]) < _MAX_PIPELINED_BYTES:
                if not await self.receive_bytes():
                    return
        except ClientLeftError:
            return
        await trio.sleep_forever()

    async def send(self, message: Any) -> None:
        """Send a part of the response, given as an ASGI message."""
        if message["type"] == "http.response.start":
            if (b"connection", b"close") in message.get("headers", ()):
                await self._receive_arrived()
            headers = [*self._response_headers(message), (b"date", _date())]
            self._head = h11.Response(status_code=message["status"], headers=headers)
            return
        # Head and body in one piece cost one system call and one packet.
        parts: list[h11.Event] = []
        if self._head is not None:
            parts.append(self._head)
            self._head = None
        body = message.get("body", b"")
        if body and self.scope is not None and self.scope["method"] != "HEAD":
            parts.append(h11.Data(data=body))
        if not message.get("more_body", False):
            parts.append(h11.EndOfMessage())
        await self._send(*parts)

    async def _receive_arrived(self) -> None:
        """Receive what has arrived of the next request, so that it is answered too.

        A connection that is closed with unread bytes is reset, which may destroy the
        response before.
        """
        stream = self._stream
        if self._is_receiving or not isinstance(stream, trio.SocketStream):
            return
        if not self.finish_request() or self._connection.trailing_data[0]:
            return
        if stream.socket.is_readable():
            await self.receive_bytes()

    def _response_headers(self, message: Any) -> list[tuple[bytes, bytes]]:
        """Return the headers; a request that has arrived is answered as well."""
        headers = list(message.get("headers", ()))
        if not self.finish_request() or not self._connection.trailing_data[0]:
            return headers
        return [header for header in headers if header[0].lower() != b"connection"]

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self._connection.send(event) or b"" for event in events)
        if data:
            try:
                await self._stream.send_all(data)
            except _STREAM_ERRORS as error:
                raise ClientLeftError(repr(error)) from error
        if any(isinstance(event, h11.EndOfMessage) for event in events):
            self._is_answered = True

    async def refuse(self, error: RequestError) -> None:
        """Answer a request that could not be parsed."""
        await self._send_error(error.http_status)

    async def fail(self) -> None:
        """Answer a request whose application has failed."""
        await self._send_error(500)

    async def _send_error(self, status: int) -> None:
        self._head = None
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            (b"content-length", b"0"),
            (b"connection", b"close"),
            (b"date", _date()),
        ]
        await self._send(
            h11.Response(status_code=status, headers=headers), h11.EndOfMessage()
        )

    def start_next(self) -> bool:
        """Prepare for the next request; False if the connection must be closed."""
        connection = self._connection
        if connection.our_state is not h11.DONE or (
            connection.their_state is not h11.DONE
        ):
            return False
        connection.start_next_cycle()
        self._has_unread_bytes = bool(connection.trailing_data[0])
        return True


def _date() -> bytes:
    return formatdate(usegmt=True).encode()
