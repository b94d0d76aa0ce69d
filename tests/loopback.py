"""HTTP calls of the tests to servers on loopback."""

import json
import socket
from contextlib import closing

import httpcore


async def call_raw(method, address, path, body=b"", headers=()):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method, f"http://{address}{path}", headers=list(headers), content=body
        )


async def call(method, address, path, document=None, headers=()):
    body = b"" if document is None else json.dumps(document).encode()
    response = await call_raw(method, address, path, body, headers)
    return response.status, json.loads(response.content)


def free_port():
    """Return a port that was free just now."""
    with closing(socket.socket()) as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]
