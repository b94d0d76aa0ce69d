"""HTTP serving shared by the stand-ins."""

import json
import signal
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any, Generic, TypeVar

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

__all__ = ["Exchange", "Handler", "Lagged", "Listener", "now_ms", "run_until_signal"]

MAX_BODY_BYTES = 16 * 1024 * 1024
GRACEFUL_TIMEOUT_S = 1.0

T = TypeVar("T")


def now_ms() -> int:
    """Monotonic time of the process in milliseconds."""
    return int(trio.current_time() * 1000)


class Exchange:
    """One HTTP request and the means to answer it."""

    def __init__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: str = scope["query_string"].decode("latin1")
        self.client: tuple[str, int] = tuple(scope["client"] or ("", 0))
        self.body = b""
        self._headers = {
            name.decode("latin1").lower(): value.decode("latin1")
            for name, value in scope["headers"]
        }
        self._receive = receive
        self._send = send

    async def read_body(self) -> bool:
        """Read the whole body; False when the client went away or sent too much."""
        parts, n_bytes = [], 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return False
            parts.append(message.get("body", b""))
            n_bytes += len(parts[-1])
            if n_bytes > MAX_BODY_BYTES:
                await self.answer_json(413, {"message": "body too large"})
                return False
            if not message.get("more_body", False):
                self.body = b"".join(parts)
                return True

    def header(self, name: str, default: str = "") -> str:
        """Value of a header, whatever its case."""
        return self._headers.get(name.lower(), default)

    def json(self) -> dict[str, Any]:
        """Body as a JSON object; raises ValueError otherwise."""
        document = json.loads(self.body or b"{}")
        if not isinstance(document, dict):
            raise ValueError("the body must be a JSON object")
        return document

    async def answer(
        self,
        status: int,
        body: bytes,
        headers: Iterable[tuple[str, str]] = (),
        n_cut_bytes: int = 0,
    ) -> None:
        """Send an answer; `n_cut_bytes` of its end are left out.

        A cut answer announces its full length, so the connection is closed after it.
        """
        raw = [(name.lower().encode(), value.encode()) for name, value in headers]
        raw.append((b"content-length", str(len(body)).encode()))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": raw}
        )
        kept = body[: len(body) - n_cut_bytes]
        if kept != body:
            # No final message: the server then closes the connection.
            await self._send(
                {"type": "http.response.body", "body": kept, "more_body": True}
            )
            return
        await self._send({"type": "http.response.body", "body": body})

    async def answer_json(
        self, status: int, document: object, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a JSON answer."""
        await self.answer(
            status,
            json.dumps(document).encode(),
            [("content-type", "application/json"), *headers],
        )

    async def lose_answer(self) -> None:
        """Close the connection before any byte of the answer's body."""
        await self.answer(200, b"{}", n_cut_bytes=2)

    async def start_stream(self) -> None:
        """Start an answer of unknown length."""
        headers = [(b"content-type", b"application/json")]
        await self._send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    async def send_line(self, document: object) -> None:
        """Send one line of a stream."""
        body = json.dumps(document).encode() + b"\n"
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def end_stream(self) -> None:
        """End a stream."""
        await self._send({"type": "http.response.body", "body": b""})

    async def until_disconnected(self) -> None:
        """Wait until the client closes the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass


Handler = Callable[[Exchange], Awaitable[None]]


def _asgi(handler: Handler) -> Any:
    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        exchange = Exchange(scope, receive, send)
        if not await exchange.read_body():
            return
        try:
            await handler(exchange)
        except (ValueError, KeyError, TypeError) as error:
            await exchange.answer_json(400, {"message": f"bad request: {error!r}"})

    return app


async def _answer_lifespan(receive: Any, send: Any) -> None:
    await receive()
    await send({"type": "lifespan.startup.complete"})
    await receive()
    await send({"type": "lifespan.shutdown.complete"})


class Listener:
    """One listening address that can be closed and opened again.

    Parameters
    ----------
    handler : Handler
        Answers each request.
    address : str
        ``host:port``; port 0 lets the kernel choose, and the choice is then kept.
    """

    def __init__(self, handler: Handler, address: str = "127.0.0.1:0") -> None:
        self._handler = handler
        self.address = address
        self._scope: trio.CancelScope | None = None
        self._may_open = trio.Event()
        self._may_open.set()
        self._stop = trio.Event()

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` or cancelled."""
        while not self._stop.is_set():
            await self._may_open.wait()
            if self._stop.is_set():
                return
            config = Config()
            config.bind = [self.address]
            config.errorlog = None
            config.keep_alive_timeout = 120
            config.keep_alive_max_requests = 10**9
            config.graceful_timeout = GRACEFUL_TIMEOUT_S
            run = partial(
                serve,
                _asgi(self._handler),
                config,
                shutdown_trigger=self._stop.wait,
                mode="asgi",
            )
            async with trio.open_nursery() as nursery:
                binds = await nursery.start(run)
                self.address = binds[0].removeprefix("http://")
                task_status.started(self.address)
                task_status = trio.TASK_STATUS_IGNORED
                self._scope = nursery.cancel_scope
                if not self._may_open.is_set():
                    nursery.cancel_scope.cancel()

    def close(self) -> None:
        """Break all connections and refuse new ones."""
        if not self._may_open.is_set():
            return
        self._may_open = trio.Event()
        if self._scope is not None:
            self._scope.cancel()

    def reopen(self) -> None:
        """Accept connections again at the same address."""
        self._may_open.set()

    def stop(self) -> None:
        """Stop for good; requests in flight have a short time to end."""
        self._stop.set()
        self._may_open.set()


class Lagged(Generic[T]):
    """A value that readers see only after a lag.

    Parameters
    ----------
    initial : object
        Value before the first one that is old enough.
    lag_ms : int
        Lag in milliseconds.
    """

    def __init__(self, initial: T, lag_ms: int) -> None:
        self.lag_ms = lag_ms
        self._visible = initial
        self._pending: deque[tuple[int, T]] = deque()

    def put(self, value: T, settled: bool = False) -> None:
        """Set the value; readers see it at once when it is `settled`."""
        if settled:
            self._pending.clear()
            self._visible = value
            return
        self._pending.append((now_ms(), value))

    def get(self) -> T:
        """Value as it was one lag ago."""
        while self._pending and self._pending[0][0] <= now_ms() - self.lag_ms:
            self._visible = self._pending.popleft()[1]
        return self._visible


async def run_until_signal(
    listeners: list[Listener], ready: Callable[[], dict[str, object]]
) -> None:
    """Serve, print one JSON line when all listen, and stop on SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                await nursery.start(listener.run)
            print(json.dumps(ready()), flush=True)
            async for _ in signals:
                break
            for listener in listeners:
                listener.stop()
