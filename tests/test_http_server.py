"""HTTP server of the instances: requests, malformed bytes and the end of the server."""

import os
import socket
import ssl
import struct
import time
from pathlib import Path
from random import Random

import pytest
import trio

from apricotgap.drivers.http import headers_of, read_body, send_response
from apricotgap.drivers.http_server import HttpServer
from tests.loopback import free_port


async def connect(address):
    host, _, port = address.partition(":")
    return await trio.open_tcp_stream(host, int(port))


async def read_all(stream):
    data = b""
    try:
        while chunk := await stream.receive_some(65_536):
            data += chunk
    except trio.BrokenResourceError:
        pass
    return data


async def exchange(stream, data):
    """Send bytes and return the status of the answer, None if there is none."""
    await stream.send_all(data)
    received = b""
    while not received.partition(b"\r\n\r\n")[2].endswith(b"ok"):
        chunk = await stream.receive_some(65_536)
        if not chunk:
            break
        received += chunk
    return int(received.split()[1]) if received else None


def run(application, check, **options):
    async def main():
        address = f"127.0.0.1:{free_port()}"
        server = HttpServer(application, [address], **options)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await trio.sleep(0.05)
            with trio.fail_after(20):
                await check(server, address)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def echo(scope, receive, send):
    """Answer with the body, `ok` without one."""
    body = await read_body(headers_of(scope), receive, 1_000_000, 3_000)
    if scope["path"] == "/error":
        raise RuntimeError("unexpected")
    await send_response(send, 200, body or b"ok", "text/plain")


async def ok(scope, receive, send):
    await send_response(send, 200, b"ok", "text/plain")


CERTIFICATE = Path(__file__).parent / "data" / "loopback.pem"
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nnook",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nno\r\n2\r\nok\r\n0\r\n\r\n",
        b"GET /a%20b?c=d HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\n\r\n",
        b"GET / HTTP/1.0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("n_bytes", [1, 7, 1_000])
def test_request_in_pieces_is_answered(data, n_bytes):
    """Guards against a request whose parts arrive one by one and that is refused."""

    async def check(server, address):
        async with await connect(address) as stream:
            for at in range(0, len(data) - n_bytes, n_bytes):
                await stream.send_all(data[at : at + n_bytes])
                await trio.sleep(0.001)
            rest = len(data) - max(0, len(data) - n_bytes) % n_bytes
            sent = len(range(0, len(data) - n_bytes, n_bytes)) * n_bytes
            assert rest and await exchange(stream, data[sent:]) == 200

    run(echo, check)


def test_requests_sent_at_once_are_answered_in_order():
    """Guards against a second request that is read with the first and forgotten."""

    async def check(server, address):
        async with await connect(address) as stream:
            await stream.send_all(GET * 3)
            received = b""
            while received.count(b"HTTP/1.1 200") < 3:
                received += await stream.receive_some(65_536)

    run(echo, check)


def test_client_that_asks_first_may_send_its_body():
    """Guards against a client that waits for leave to send its body."""

    async def check(server, address):
        async with await connect(address) as stream:
            await stream.send_all(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                b"Expect: 100-continue\r\n\r\n"
            )
            assert b" 100 " in await stream.receive_some(65_536)
            assert await exchange(stream, b"ok") == 200

    run(echo, check)


@pytest.mark.parametrize(
    "data",
    [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: \xb2\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"GET /" + b"a" * 100_000,
    ],
)
def test_malformed_request_is_refused_and_the_others_go_on(data):
    """Guards against bytes of one client that end the server."""

    async def check(server, address):
        async with await connect(address) as stream:
            assert await exchange(stream, data) in (400, 431)
        async with await connect(address) as stream:
            assert await exchange(stream, GET) == 200

    run(echo, check)


def test_error_of_the_application_is_answered():
    """Guards against a connection that ends without an answer."""

    async def check(server, address):
        async with await connect(address) as stream:
            data = b"GET /error HTTP/1.1\r\nHost: x\r\n\r\n"
            assert await exchange(stream, data) == 500

    run(echo, check)


@pytest.mark.parametrize(
    "error",
    [OSError("x"), trio.BrokenResourceError("x"), trio.ClosedResourceError("x")],
    ids=repr,
)
def test_error_of_another_connection_is_answered(error):
    """Guards against a request that gets no answer: an error of a connection to a peer
    or the store was taken for the end of the client's own.
    """

    async def fail(scope, receive, send):
        raise error

    async def check(server, address):
        async with await connect(address) as stream:
            assert await exchange(stream, GET) == 500

    run(fail, check)


def test_refused_body_does_not_hide_the_answer():
    """Guards against a connection that is reset before its answer has been read."""

    async def refuse(scope, receive, send):
        await send_response(send, 413, b"ok", "text/plain", {"connection": "close"})

    async def check(server, address):
        async with await connect(address) as stream:
            head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
            assert await exchange(stream, head + b"x" * 300_000) == 413

    run(refuse, check)


@pytest.mark.parametrize("seed", range(5))
def test_request_that_was_read_is_answered_while_connections_close(seed):
    """Guards against a request that is read from a connection that is being closed."""
    read, answered, unanswered = set(), set(), set()
    random = Random(seed)

    async def answer(scope, receive, send):
        read.add(scope["path"])
        await trio.sleep(0.001)
        await send_response(send, 200, b"ok", "text/plain")

    async def call_repeatedly(number, address):
        async with await connect(address) as stream:
            for n in range(1_000_000):
                path = f"/{number}/{n}"
                data = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                try:
                    status = await exchange(stream, data)
                except trio.BrokenResourceError:
                    status = None
                if status is None:
                    unanswered.add(path)
                    return
                answered.add(path)
                await trio.sleep(random.random() * 0.2)

    async def check(server, address):
        async with trio.open_nursery() as nursery:
            for number in range(100):
                nursery.start_soon(call_repeatedly, number, address)
            while len(answered) < 300:
                await trio.sleep(random.random() / 10)
            server.stop()
        assert not read & unanswered

    run(answer, check)


def test_request_half_read_at_the_end_is_answered():
    """Guards against a request that is cut although its rest was on its way."""

    async def check(server, address):
        async with await connect(address) as stream, await connect(address) as idle:
            await stream.send_all(b"POST / HTTP/1.1\r\nHost: x\r\nConte")
            await trio.sleep(0.05)
            server.stop()
            # A connection without a request is closed at once.
            assert await idle.receive_some() == b""
            await trio.sleep(0.3)
            assert await exchange(stream, b"nt-Length: 2\r\n\r\nok") == 200
            assert await stream.receive_some() == b""

    run(echo, check)


@pytest.mark.parametrize("is_new", [False, True])
def test_request_that_waits_in_the_socket_is_answered_by_a_server_that_stops(is_new):
    """Guards against a request that is cut by a stop: it arrived while the event loop
    was busy, longer ago than a cut is excused.
    """

    async def check(server, address):
        host, _, port = address.partition(":")
        if is_new:
            client = socket.create_connection((host, int(port)))
            client.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(client))
        else:
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(GET)
            assert await stream.receive_some(65_536)
            client = socket.socket(fileno=os.dup(stream.socket.fileno()))
        # From here to the stop the event loop serves nothing.
        client.send(GET)
        time.sleep(0.3)
        server.stop()
        assert (await read_all(stream)).startswith(b"HTTP/1.1 200")

    run(ok, check)


def test_second_request_of_a_pipeline_is_answered():
    """Guards against a request that was read together with the one before and is
    dropped, since the answer to that one closes the connection.
    """

    async def closing(scope, receive, send):
        await send_response(send, 200, b"ok", "text/plain", {"connection": "close"})

    async def check(server, address):
        stream = await connect(address)
        await stream.send_all(GET + GET)
        assert (await read_all(stream)).count(b"HTTP/1.1 200") == 2

    run(closing, check)


def test_request_that_waits_in_the_socket_is_answered_after_one_that_closes():
    """Guards against a request, and the response before it, that a reset destroys: its
    bytes were unread as the connection was closed.
    """

    async def closing(scope, receive, send):
        await trio.sleep(0.2)
        await send_response(send, 200, b"ok", "text/plain", {"connection": "close"})

    async def check(server, address):
        stream = await connect(address)
        for _ in range(3):
            await stream.send_all(GET)
            await trio.sleep(0.02)
        received = b""
        while data := await stream.receive_some(65_536):
            received += data
        assert received.count(b"HTTP/1.1 200") == 3
        assert received.count(b"connection: close") == 1

    run(closing, check)


@pytest.mark.parametrize("is_reset", [False, True])
def test_application_learns_that_the_client_has_left(is_reset):
    """Guards against work for a caller that is gone, and against a request that is
    taken for abandoned while its caller waits.
    """
    left = trio.Event()

    async def wait(scope, receive, send):
        await read_body(headers_of(scope), receive, 1_000, 3_000)
        assert (await receive())["type"] == "http.disconnect"
        left.set()

    async def check(server, address):
        async with await connect(address) as stream:
            await stream.send_all(GET)
            await trio.sleep(0.3)
            assert not left.is_set()
            if is_reset:
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await left.wait()

    run(wait, check)


def test_request_that_arrives_while_another_waits_is_answered():
    """Guards against the bytes of a request that are lost to the watch for the end
    of the connection.
    """

    async def watch(scope, receive, send):
        with trio.move_on_after(0.2):
            while True:
                await receive()
        await send_response(send, 200, b"ok", "text/plain")

    async def check(server, address):
        async with await connect(address) as stream:
            await stream.send_all(GET)
            await trio.sleep(0.1)
            await stream.send_all(GET * 2)
            received = b""
            while received.count(b"HTTP/1.1 200") < 3:
                received += await stream.receive_some(65_536)

    run(watch, check)


def test_head_beyond_the_limit_is_refused():
    """Guards against a limit in the settings that has no effect."""

    async def check(server, address):
        async with await connect(address) as stream:
            assert await exchange(stream, b"GET /" + b"a" * 2_000) in (400, 431)

    run(echo, check, max_head_bytes=1_000)


async def connect_tls(address):
    context = ssl.create_default_context(cafile=CERTIFICATE)
    return trio.SSLStream(await connect(address), context, server_hostname="127.0.0.1")


def test_requests_over_tls_are_answered_until_the_end():
    """Guards against a request that waits in the TLS layer as the server stops."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(CERTIFICATE)
    schemes = []

    async def answer(scope, receive, send):
        schemes.append(scope["scheme"])
        await echo(scope, receive, send)

    async def check(server, address):
        idle, stream = await connect_tls(address), await connect_tls(address)
        assert await exchange(idle, GET) == 200
        assert await exchange(stream, GET) == 200
        await stream.send_all(GET)
        server.stop()
        assert await exchange(stream, b"") == 200
        # The end is announced, so that a client knows that nothing is missing.
        assert await idle.receive_some() == b""
        assert await stream.receive_some() == b""
        assert schemes == ["https"] * 3

    run(answer, check, tls=context)


def test_client_without_tls_does_not_stop_a_server_with_tls():
    """Guards against bytes of one client that end the server."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(CERTIFICATE)

    async def check(server, address):
        async with await connect(address) as stream:
            assert await exchange(stream, GET) is None
        assert await exchange(await connect_tls(address), GET) == 200

    run(echo, check, tls=context)
