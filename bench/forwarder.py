"""A plain forwarder without decisions: every request goes to the next server.

Run as ``python -m bench.forwarder ADDRESS SERVER...``.
"""

import json
import sys
from itertools import count, cycle
from typing import Any

import httpcore
import hypercorn.trio
import trio
from hypercorn.config import Config

__all__: list[str] = []

_FAR_DEADLINE_MS = 10**12


class Forwarder:
    """Forwards the body of each request as a task and returns the answer."""

    def __init__(self, servers: list[str]) -> None:
        self._pools = cycle(
            (s, httpcore.AsyncConnectionPool(max_connections=21)) for s in servers
        )
        self._ids = count()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            raise NotImplementedError(scope["type"])
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        server, pool = next(self._pools)
        response = await pool.request(
            "POST",
            f"http://{server}/v1/tasks/forwarded-{next(self._ids)}",
            headers={
                "Content-Type": "application/octet-stream",
                "Apricotgap-Start-Deadline-Ms": str(_FAR_DEADLINE_MS),
                "Apricotgap-Task-Lease-Ms": "10000",
                "Apricotgap-Priority": "batch",
                "Apricotgap-Team": "",
            },
            content=body,
        )
        length = str(len(response.content)).encode()
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": response.content})


async def _serve(address: str, servers: list[str]) -> None:
    config = Config()
    config.bind = [address]
    async with trio.open_nursery() as nursery:
        await nursery.start(hypercorn.trio.serve, Forwarder(servers), config)
        print(json.dumps({"ready": "forwarder", "address": address}), flush=True)


if __name__ == "__main__":
    trio.run(_serve, sys.argv[1], sys.argv[2:])
