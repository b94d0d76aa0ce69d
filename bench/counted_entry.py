"""Entry instance that counts the bytes of its connections by kind of peer.

Run as ``python -m bench.counted_entry SETTINGS COUNTS``; COUNTS is rewritten once a
second.
"""

import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import trio

from apricotgap import entry
from apricotgap.settings import Settings, load_settings

__all__: list[str] = []


class _Counting:
    """Wraps the two methods of trio's stream through which all bytes pass."""

    def __init__(self, settings: Settings, path: Path) -> None:
        self._path = path
        self._counts: Counter[str] = Counter()
        self._next_s = 0.0
        seeds = settings.peers.seeds.values()
        self._remote = {_port(str(address)): "peer" for address in seeds}
        self._remote |= {_port(url): "store" for url in settings.store.endpoints}
        self._remote[_port(settings.platform.endpoint)] = "platform"
        self._local = {
            _port(str(settings.entry.peer_address)): "peer",
            _port(str(settings.entry.http_address)): "caller",
        }

    def install(self) -> None:
        """Replace the methods of the stream class."""
        counting = self
        send_all, receive_some = (
            trio.SocketStream.send_all,
            trio.SocketStream.receive_some,
        )

        async def counted_send(self: Any, data: Any) -> None:
            await send_all(self, data)
            counting.add(self, "sent", len(data))

        async def counted_receive(self: Any, max_bytes: int | None = None) -> bytes:
            data = await receive_some(self, max_bytes)
            counting.add(self, "received", len(data))
            return bytes(data)

        trio.SocketStream.send_all = counted_send  # type: ignore[method-assign]
        trio.SocketStream.receive_some = counted_receive  # type: ignore[assignment,method-assign]

    def add(self, stream: Any, direction: str, n_bytes: int) -> None:
        """Count the bytes of one call and write the counts when due."""
        kind = getattr(stream, "bench_kind", None)
        if kind is None:
            kind = stream.bench_kind = self._kind(stream)
        self._counts[f"{kind}_{direction}"] += n_bytes
        now_s = trio.current_time()
        if now_s >= self._next_s:
            self._next_s = now_s + 1
            self._path.write_text(json.dumps(self._counts))

    def _kind(self, stream: Any) -> str:
        try:
            local = stream.socket.getsockname()[1]
            remote = stream.socket.getpeername()[1]
        except OSError:
            return "lost"
        return self._local.get(local) or self._remote.get(remote, "backend")


def _port(address: str) -> int:
    return int(urlsplit(address if "//" in address else f"//{address}").port or 0)


def main() -> None:
    """Run the entry instance."""
    settings = load_settings(Path(sys.argv[1]))
    _Counting(settings, Path(sys.argv[2])).install()
    entry.main(settings)


if __name__ == "__main__":
    main()
