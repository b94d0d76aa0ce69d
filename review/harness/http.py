"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json

# Faults of the stand-ins themselves; a case with one could not run.
errors = []


class Request:
    """One request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.headers = headers
        self.body = body

    def json(self):
        """Return the body as a JSON document."""
        return json.loads(self.body or b"{}")


async def _read_head(reader):
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (row := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(), headers


class Server:
    """Server on a loopback address.

    The handler returns a status, a document and, if the answer is on its way for long,
    for how many seconds.

    While `is_dark`, nothing is answered, as from a machine without power. After `wake`,
    a call on a connection of before resets it, and what was sent before stays
    unanswered.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        # Connections with an answer on its way for long.
        self._late = set()
        self._n_wakes = 0
        self.port = 0
        self.is_dark = False

    @property
    def address(self):
        """Address as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def start(self):
        """Listen; a second call listens at the same address again."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Refuse calls; reset the connections that have no answer on its way."""
        self._server.close()
        for writer in self._writers - self._late:
            writer.transport.abort()

    def wake(self):
        """Answer again, on new connections."""
        self.is_dark = False
        self._n_wakes += 1

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        n_wakes = self._n_wakes
        try:
            while True:
                head = await _read_head(reader)
                if head is None:
                    return
                (method, target, _), headers = head
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                if self.is_dark:
                    await asyncio.sleep(3600)
                if n_wakes != self._n_wakes:
                    return
                request = Request(method, target, headers, body)
                status, document, *late_s = await self._handler(request)
                if late_s:
                    # It has left; what happens to the server later doesn't change it.
                    self._late.add(writer)
                    await asyncio.sleep(late_s[0])
                elif self.is_dark or n_wakes != self._n_wakes:
                    await asyncio.sleep(3600)
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except Exception as error:
            # A fault of a stand-in, not of the system.
            errors.append(error)
        finally:
            self._writers.discard(writer)
            self._late.discard(writer)
            writer.transport.abort()


async def call(address, method, path, document=None, headers=(), timeout_s=3.0):
    """Make one call on a new connection; return (status, document).

    The status is 0 without a complete answer.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, document, headers)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _call(address, method, path, document, headers):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if document is None else json.dumps(document).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Content-Type: application/json", "Connection: close"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        head = await _read_head(reader)
        if head is None:
            return 0, None
        words, fields = head
        data = await reader.readexactly(int(fields.get("content-length", "0")))
        try:
            return int(words[1]), json.loads(data or b"null")
        except json.JSONDecodeError:
            return int(words[1]), None
    finally:
        writer.transport.abort()
