"""Calls without a response: whether the server may have executed them."""

import socket
from functools import partial

import pytest
import trio
from trio.testing import MockClock

from apricotgap.platform import http
from apricotgap.platform.http import CallStage, HttpClient, NoResponseError
from apricotgap.platform.store import StoreClient, Stored, Unavailable, Unknown, Write
from standins.transactional_store import TransactionalStore


def run(check):
    async def main():
        store = TransactionalStore()
        async with trio.open_nursery() as nursery:
            await nursery.start(store.listener.run)
            await check(store, StoreClient(store.address))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_refused_connection_was_not_sent():
    async def main():
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free.getsockname()[1]}"
            with pytest.raises(NoResponseError) as caught:
                await HttpClient().call("GET", address, "/", timeout_ms=500)
        assert not caught.value.sent

    trio.run(main)


def test_call_without_response_counts_as_sent():
    """Guards against a run that is started again although it may be running."""

    async def check(store, client):
        store.faults.is_silent = True
        with pytest.raises(NoResponseError) as caught:
            await HttpClient().call("GET", store.address, "/", timeout_ms=200)
        assert caught.value.sent

    run(check)


def test_write_outcomes_distinguish_unavailable_from_unknown():
    """Guards against a committed write that is reported as not executed."""

    async def check(store, client):
        write = (Write("a", b"1", expected_revision=0),)
        store.faults.is_busy = True
        assert isinstance(await client.write(write), Unavailable)
        store.faults.is_busy = False
        store.faults.n_lost_answers = 1
        assert isinstance(await client.write(write), Unknown)
        item = await client.read_key("a")
        assert item.value == b"1"
        again = (Write("a", b"2", expected_revision=item.revision),)
        assert isinstance(await client.write(again), Stored)

    run(check)


def test_store_counts_as_down_only_after_several_failures():
    """Guards against refusing requests after a single lost response."""

    async def check(store, client):
        store.faults.is_busy = True
        await client.write((Write("a", b"1"),))
        assert not client.is_down
        for _ in range(2):
            await client.write((Write("a", b"1"),))
        assert client.is_down
        store.faults.is_busy = False
        await client.read_key("a")
        assert not client.is_down

    run(check)


def test_all_pages_of_a_prefix_are_read():
    """Guards against a read that stops after the first page."""

    async def check(store, client):
        for n in range(501):
            store.put(f"p/{n:04d}", b"x")
        store.put("q/1", b"x")
        snapshot = await client.read_prefix("p/")
        assert len(snapshot.items) == 501

    run(check)


@pytest.mark.parametrize(
    "address", ["nowhere", "127.0.0.1:port", "127.0.0.1:99999", ":", "a b:1", "é:1"]
)
def test_call_to_an_invalid_address_is_not_sent(address):
    """Guards against a malformed store entry whose address crashes the shard."""

    async def main():
        with pytest.raises(NoResponseError) as caught:
            await HttpClient().call("GET", address, "/", timeout_ms=300)
        assert not caught.value.sent

    trio.run(main)


def test_header_with_a_line_break_is_not_sent():
    """Guards against header injection through a name read from the store."""

    async def check(store, client):
        headers = (("X-Apricotgap-Target-Instance", "w1\r\nHost: other"),)
        with pytest.raises(NoResponseError) as caught:
            await HttpClient().call("GET", store.address, "/", headers=headers)
        assert not caught.value.sent

    run(check)


def respond_once(*parts):
    """Return a handler that sends `parts` on each connection and closes it."""

    async def serve(stream):
        async with stream:
            await stream.receive_some(1_000)
            for part in parts:
                await stream.send_all(part)
                await trio.sleep(0.02)

    return serve


@pytest.mark.parametrize(
    ("parts", "body"),
    [
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", b"cd"), b"abcd"),
        ((b"HTTP/1.1 20", b"0 OK\r\nContent-Length: 1\r\n\r", b"\nx"), b"x"),
        (
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                b"1\r\nc\r\n0\r\n\r\n",
            ),
            b"abc",
        ),
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",), None),
        ((b"nonsense\r\n\r\n",), None),
        ((), None),
    ],
)
def test_response_is_complete_or_an_error(parts, body):
    """Guards against a truncated response that is accepted as complete."""

    async def main():
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(
                partial(trio.serve_tcp, respond_once(*parts), 0, host="127.0.0.1")
            )
            port = listener.socket.getsockname()[1]
            call = HttpClient().call("GET", f"127.0.0.1:{port}", "/", timeout_ms=2_000)
            if body is None:
                with pytest.raises(NoResponseError) as caught:
                    await call
                assert caught.value.sent
            else:
                assert (await call).body == body
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_connection_is_reused():
    """Guards against opening a new connection for each call."""

    async def main():
        n_opened = 0

        async def serve(stream):
            nonlocal n_opened
            n_opened += 1
            while await stream.receive_some(1_000):
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(
                partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
            )
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            client = HttpClient()
            for _ in range(5):
                assert (await client.call("POST", address, "/", b"{}")).body == b"{}"
            assert n_opened == 1
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_connection_closed_while_idle_is_not_reused():
    """Guards against calls with an unknown outcome after an idle timeout."""

    async def main():
        serve = respond_once(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(
                partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
            )
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            client = HttpClient()
            for _ in range(3):
                assert (await client.call("GET", address, "/")).status == 200
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_failed_call_tells_what_it_was_waiting_for():
    """Guards against a timeout that does not show whether the answer had begun."""

    async def main():
        async def serve(stream):
            await stream.receive_some(1_000)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            with pytest.raises(NoResponseError) as caught:
                await HttpClient().call("GET", f"127.0.0.1:{port}", "/", timeout_ms=200)
            nursery.cancel_scope.cancel()
        assert caught.value.stage is CallStage.BODY
        assert caught.value.n_received_bytes == 40

    trio.run(main)


class LateSocket:
    """A socket in a process that does not run for a time after it has sent.

    `parts` are what the socket holds by then, in reads.
    """

    def __init__(self, clock, away_s, parts):
        self._clock = clock
        self._away_s = away_s
        self._parts = list(parts)

    async def send(self, data):
        self._clock.jump(self._away_s)
        await trio.lowlevel.cancel_shielded_checkpoint()
        return len(data)

    async def recv(self, n_bytes):
        await trio.lowlevel.checkpoint_if_cancelled()
        if not self._parts:
            await trio.sleep_forever()
        await trio.lowlevel.cancel_shielded_checkpoint()
        return self._parts.pop(0)

    def is_readable(self):
        return bool(self._parts)

    def close(self):
        """Close nothing."""


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


def call_late(monkeypatch, parts, away_s=2.0, **limits):
    """Return the response to a call that the process looks after too late."""
    clock = MockClock(autojump_threshold=0)

    async def open_connection(address):
        return http._Connection(LateSocket(clock, away_s, parts))

    monkeypatch.setattr(http._Connection, "open", open_connection)

    async def main():
        return await HttpClient().call("GET", "10.0.0.1:1", "/", **limits)

    return trio.run(main, clock=clock)


def test_answer_that_arrived_while_the_process_was_late_is_read(monkeypatch):
    """Guards against starts that are repeated although their answer is there."""
    response = call_late(monkeypatch, [HEAD + b"abcd"], timeout_ms=500)
    assert response.body == b"abcd"


def test_large_answer_goes_on_after_the_process_was_late(monkeypatch):
    """Guards against a read that is thrown away in its middle by a late process."""
    parts = [HEAD + b"a", b"bc", b"d"]
    response = call_late(monkeypatch, parts, timeout_ms=500, stall_ms=500)
    assert response.body == b"abcd"


@pytest.mark.parametrize("parts", [(), (HEAD + b"a",), (HEAD + b"a", b"b", b"cd")])
def test_late_process_gets_no_more_time_for_an_answer(monkeypatch, parts):
    """Guards against a limit that a server extends by parts of its answer."""
    with pytest.raises(NoResponseError) as caught:
        call_late(monkeypatch, parts, timeout_ms=500)
    assert caught.value.has_timed_out
    assert caught.value.sent
