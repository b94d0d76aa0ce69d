"""Calls between instances: websockets with CBOR."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import structlog
import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import connect
from websockets.trio.server import serve

from apricotgap.jobs.cbor import decode_cbor

__all__ = ["PeerCallError", "PeerClient", "serve_peers"]

Handler = Callable[[str, Any], Awaitable[Any]]

_CONNECT_TIMEOUT_S = 0.4
_CLOSE_TIMEOUT_S = 0.2
_MAX_MESSAGE_BYTES = 1 << 20
_LINK_ERRORS = (
    WebSocketException,
    OSError,
    EOFError,
    TimeoutError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class PeerCallError(Exception):
    """A peer gave no answer; the call may have been executed."""


async def serve_peers(host: str, port: int, handler: Handler) -> None:
    """Answer calls of peers until cancelled.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    handler : callable
        Gets the operation and its argument, returns the result.
    """
    log = structlog.get_logger()

    async def answer(socket: Any, data: bytes) -> None:
        try:
            number, operation, argument = decode_cbor(data)
            result = await handler(operation, argument)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("peer_call_malformed", error=repr(error))
            return
        try:
            await socket.send(cbor2.dumps([number, result]))
        except _LINK_ERRORS as error:
            log.info("peer_answer_unsent", operation=operation, error=repr(error))

    async def connection(socket: Any) -> None:
        async with trio.open_nursery() as nursery:
            try:
                async for data in socket:
                    nursery.start_soon(answer, socket, data)
            except _LINK_ERRORS as error:
                log.info("peer_link_lost", error=repr(error))
            nursery.cancel_scope.cancel()

    await serve(
        connection,
        port,
        host=host,
        ping_interval=None,
        compression=None,
        max_size=_MAX_MESSAGE_BYTES,
    )


class _Link:
    """One connection to a peer and the calls that wait on it."""

    def __init__(self, socket: Any, scope: trio.CancelScope) -> None:
        self.socket = socket
        self.scope = scope
        self.waiting: dict[int, tuple[trio.Event, list[Any]]] = {}


class PeerClient:
    """Connections to other instances, opened on first use.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the readers of the connections.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._links: dict[str, _Link] = {}
        self._locks: dict[str, trio.Lock] = {}
        self._numbers = itertools.count(1)

    async def call(
        self, address: str, operation: str, argument: Any, timeout_ms: int
    ) -> Any:
        """Call a peer.

        Raises
        ------
        PeerCallError
            No answer within `timeout_ms`.
        """
        link = None
        try:
            with trio.fail_after(timeout_ms / 1000):
                link = await self._link(address)
                number = next(self._numbers)
                answered = trio.Event()
                slot: list[Any] = []
                link.waiting[number] = (answered, slot)
                try:
                    await link.socket.send(cbor2.dumps([number, operation, argument]))
                    await answered.wait()
                finally:
                    link.waiting.pop(number, None)
        except trio.TooSlowError as error:
            # An open connection may have gone silent for good.
            if link is not None:
                self._drop(address, link)
            raise PeerCallError("timeout") from error
        except _LINK_ERRORS as error:
            if link is not None:
                self._drop(address, link)
            raise PeerCallError(repr(error)) from error
        if not slot:
            raise PeerCallError("connection lost")
        return slot[0]

    async def _link(self, address: str) -> _Link:
        lock = self._locks.setdefault(address, trio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is None:
                link = await self._nursery.start(self._read, address)
                self._links[address] = link
            return link

    async def _read(
        self,
        address: str,
        task_status: "trio.TaskStatus[_Link]" = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with trio.CancelScope() as scope:
            async with connect(
                f"ws://{address}/",
                ping_interval=None,
                compression=None,
                max_size=_MAX_MESSAGE_BYTES,
                proxy=None,
                open_timeout=_CONNECT_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
            ) as socket:
                link = _Link(socket, scope)
                task_status.started(link)
                try:
                    async for data in socket:
                        if isinstance(data, str):
                            raise ValueError("text message")
                        number, result = decode_cbor(data)
                        waiter = link.waiting.get(number)
                        if waiter is not None:
                            waiter[1].append(result)
                            waiter[0].set()
                except (*_LINK_ERRORS, ValueError) as error:
                    structlog.get_logger().info(
                        "peer_link_lost", peer=address, error=repr(error)
                    )
                finally:
                    self._drop(address, link)

    def _drop(self, address: str, link: _Link) -> None:
        if self._links.get(address) is link:
            del self._links[address]
        link.scope.cancel()
        for answered, _ in list(link.waiting.values()):
            answered.set()
