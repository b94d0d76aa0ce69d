"""A connection on which everything arrives at once, and calls that do not wait."""

from collections.abc import Coroutine
from typing import Any


class OneRead:
    """A socket and a stream from which one piece of data arrives."""

    def __init__(self, data: bytes) -> None:
        self.pieces = [data]
        self.socket = self

    async def send(self, data: bytes) -> int:
        """Take all data."""
        return len(data)

    async def recv(self, _n_bytes: int) -> bytes:
        """Return the piece, then the end."""
        return self.pieces.pop() if self.pieces else b""

    send_all = send
    receive_some = recv

    def getpeername(self) -> tuple[str, int]:
        """Return an address."""
        return "10.0.0.1", 1

    getsockname = getpeername


def finish(call: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that waits for nothing."""
    try:
        call.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")
