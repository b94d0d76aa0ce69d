"""Connections of clients that tell how each of their requests ended."""

import json
import math
import select
from dataclasses import dataclass
from enum import Enum
from typing import Any

import trio

from soak.layout import HOST
from soak.timeline import now_ms

__all__ = ["CallResult", "ClientConnection", "Ending"]

_CHUNK_BYTES = 65_536
_TIMEOUT_S = 3.2
_DEADLINE_MS = 3_000


class Ending(Enum):
    """How a request ended.

    After a `CUT` the process had read all bytes of the request: the kernel announces
    the end of a connection with a reset when bytes were left unread, and the request
    is the only thing that was sent.
    """

    ANSWERED = "answered"
    CUT = "cut"
    UNREAD = "reset with unread bytes"
    UNSENT = "not sent"
    LATE = "no answer in time"


@dataclass(frozen=True)
class CallResult:
    """A request, its answer if there was one, and the times of both."""

    instance: str
    method: str
    path: str
    ending: Ending
    sent_ms: int
    ended_ms: int
    status: int = 0
    document: Any = None
    n_before: int = 0

    @property
    def is_answered(self) -> bool:
        """Whether a complete answer came."""
        return self.ending is Ending.ANSWERED


class ClientConnection:
    """A connection that is used until the other side closes it."""

    def __init__(self, instance: str, stream: trio.SocketStream) -> None:
        self.instance = instance
        self.is_open = True
        self._stream = stream
        self._n_calls = 0

    @classmethod
    async def open(cls, instance: str, address: str) -> "ClientConnection | None":
        """Connect to an instance; None when it does not accept."""
        host, _, port = address.rpartition(":")
        with trio.move_on_after(1):
            try:
                return cls(instance, await trio.open_tcp_stream(host, int(port)))
            except OSError:
                return None
        return None

    async def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        await trio.aclose_forcefully(self._stream)

    async def call(
        self, method: str, path: str, key: str, document: Any = None
    ) -> CallResult:
        """Send one request and wait for its answer."""
        body = b"" if document is None else json.dumps(document).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {key}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"X-Apricotgap-Request-Deadline: {_DEADLINE_MS}\r\n\r\n"
        )
        sent_ms = now_ms()
        n_before, self._n_calls = self._n_calls, self._n_calls + 1

        def result(ending: Ending, status: int = 0, answer: Any = None) -> CallResult:
            times = (sent_ms, now_ms())
            return CallResult(
                self.instance, method, path, ending, *times, status, answer, n_before
            )

        if self._is_ended():
            await self.close()
            return result(Ending.UNSENT)
        try:
            await self._stream.send_all(head.encode() + body)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self.close()
            return result(Ending.UNSENT)
        try:
            with trio.move_on_after(_TIMEOUT_S):
                status, answer = await self._receive()
                return result(Ending.ANSWERED, status, answer)
        except EOFError:
            await self.close()
            return result(Ending.CUT)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self.close()
            return result(Ending.UNREAD)
        await self.close()
        return result(Ending.LATE)

    def _is_ended(self) -> bool:
        """Whether the other side has closed the connection while it was idle."""
        poll = select.poll()
        poll.register(self._stream.socket, select.POLLIN)
        return bool(poll.poll(0))

    async def _receive(self) -> tuple[int, Any]:
        data, length = b"", math.inf
        while len(data) < length:
            part = await self._stream.receive_some(_CHUNK_BYTES)
            if not part:
                raise EOFError
            data += part
            head, end, _ = data.partition(b"\r\n\r\n")
            if end and math.isinf(length):
                fields = _fields(head)
                length = len(head) + len(end) + int(fields[b"content-length"])
        if fields.get(b"connection") == b"close":
            await self.close()
        body = data[len(head) + len(end) :]
        return int(head.split(b" ", 2)[1]), json.loads(body or b"null")


def _fields(head: bytes) -> dict[bytes, bytes]:
    lines = head.split(b"\r\n")[1:]
    pairs = (line.partition(b":") for line in lines)
    return {name.strip().lower(): value.strip().lower() for name, _, value in pairs}
