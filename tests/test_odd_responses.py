"""Responses of programs that are not the server that a call was meant for."""

import contextlib

import pytest
import trio

from apricotgap.decoding import MAX_DOCUMENT_BYTES
from apricotgap.platform.http import HttpClient, NoResponseError

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
UPGRADE = (
    b"HTTP/1.1 101 Switching Protocols\r\n"
    b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
)
# Lets the parts of a response arrive in different reads.
PART_PAUSE_S = 0.05
MALFORMED = {
    "upgrade": UPGRADE,
    "no HTTP": b"\x00\xff" * 100,
    "status out of range": b"HTTP/1.1 99999 OK\r\n\r\n",
    "endless length": b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5_000 + b"\r\n",
    "odd chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "two responses": OK + OTHER,
    "cut": OK[:-1],
}


async def call(address):
    return await HttpClient().call("GET", address, "/", timeout_ms=2_000)


def respond(*parts):
    """Call a server that sends these parts, and return the outcome of the call."""

    async def serve(stream):
        await stream.receive_some()
        for part in parts:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(part)
            await trio.sleep(PART_PAUSE_S)
        await stream.aclose()

    async def main():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            port = listener.socket.getsockname()[1]
            try:
                outcome = await call(f"127.0.0.1:{port}")
            except NoResponseError as error:
                outcome = error
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main)


def one_error(*parts):
    outcome = respond(*parts)
    assert isinstance(outcome, NoResponseError)
    return outcome


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED)
def test_odd_response_is_no_response_to_a_call_that_was_sent(data):
    """Guards against an answer that ends the process of the caller."""
    assert one_error(data).sent


@pytest.mark.parametrize("interim", [CONTINUE, EARLY_HINTS])
@pytest.mark.parametrize("is_split", [True, False])
def test_interim_response_is_not_that_of_the_call(interim, is_split):
    """Guards against an answer that the next call on the connection gets instead."""
    parts = (interim, OK) if is_split else (interim + OK,)
    response = respond(*parts)
    assert (response.status, response.body) == (200, b"ok")


def test_size_of_a_response_is_limited():
    """Guards against a server that takes the memory of its callers."""
    n_bytes = MAX_DOCUMENT_BYTES + 1
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {n_bytes}\r\n\r\n"
    assert one_error(head.encode(), b"x" * n_bytes).sent
