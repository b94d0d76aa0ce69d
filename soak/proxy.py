"""Loopback proxy that delays, silences or resets the connections through it."""

import socket
import struct
from dataclasses import dataclass

import trio

__all__ = ["FaultyProxy"]

_CHUNK_BYTES = 65_536
_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass
class FaultyProxy:
    """Forwards to `target` as its fields say.

    `silent_up` and `silent_down` hold bytes towards the target and back, as a
    partition does that cuts one way; held bytes go on when it heals.
    """

    target: str
    delay_ms: int = 0
    silent_up: bool = False
    silent_down: bool = False

    def __post_init__(self) -> None:
        self.address = ""
        self._open: set[trio.SocketStream] = set()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for stream in list(self._open):
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            stream.socket.close()
            trio.lowlevel.notify_closing(stream.socket)

    def heal(self) -> None:
        """Forward everything at once again."""
        self.delay_ms = 0
        self.silent_up = self.silent_down = False

    async def run(
        self, task_status: "trio.TaskStatus[None]" = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        await trio.serve_listeners(self._connection, listeners, task_status=task_status)

    async def _connection(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await client.aclose()
            return
        self._open |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, "silent_up", nursery)
                nursery.start_soon(self._pump, server, client, "silent_down", nursery)
        finally:
            self._open -= {client, server}
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(client)
                await trio.aclose_forcefully(server)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        switch: str,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                await trio.sleep(self.delay_ms / 1000)
                while getattr(self, switch):
                    await trio.sleep(0.05)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        nursery.cancel_scope.cancel()
