"""Tests of the peer driver over loopback sockets with ports chosen by the kernel."""

from contextlib import asynccontextmanager

import cbor2
import pytest
import trio
from trio.testing import trio_test
from websockets.exceptions import ConnectionClosed
from websockets.trio.client import connect

from apricotgap.clock import TrioClock
from apricotgap.core import limits
from apricotgap.core.events import PeerConnected, PeerDisconnected, PeerReceived
from apricotgap.core.state import Identity
from apricotgap.drivers import peer_codec
from apricotgap.drivers.peer_link import Link
from apricotgap.drivers.peers import PeerDriver
from apricotgap.errors import SettingsError
from apricotgap.model.peers import ConfigAck, ConfigParts, Heartbeat, Unsupported

SECRET = b"s3cret"


class Entry:
    def __init__(self, name, secret=SECRET, incarnation="1"):
        self.events, self.identity = [], Identity(name, incarnation, name[0])
        self.driver = PeerDriver(
            self.identity, secret, "127.0.0.1:0", self.events.append, TrioClock()
        )
        self.address, self.scope = "", trio.CancelScope()

    async def run(self, task_status):
        with self.scope:
            await self.driver.run(task_status)

    def messages(self):
        return [e.message for e in self.events if isinstance(e, PeerReceived)]

    def count(self, cls):
        return sum(isinstance(event, cls) for event in self.events)


@asynccontextmanager
async def running(*entries):
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            for entry in entries:
                port = await nursery.start(entry.run)
                entry.address = f"127.0.0.1:{port}"
            yield nursery
            nursery.cancel_scope.cancel()


async def until(condition, timeout_s=8):
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


@asynccontextmanager
async def raw_link(entry, name="z9", **options):
    """Connect as an authenticated peer that has no driver."""
    async with connect(
        f"ws://{entry.address}/", proxy=None, close_timeout=0.2, **options
    ) as ws:
        link = Link(ws, Identity(name, "1", name[0]), SECRET)
        await link.dial(entry.identity.entry)
        await until(lambda: name in entry.driver.connected)
        yield ws
        await link.release()


async def wait_for_close(ws):
    with pytest.raises(ConnectionClosed) as caught, trio.fail_after(5):
        while True:
            await ws.recv()
    return caught.value.rcvd


def test_messages_arrive_unchanged():
    """Guards against fields that are lost in encoding or decoding."""
    heartbeat = Heartbeat("i", 3, None, 5, True, {"a1": 3}, 9, 8)
    parts = ConfigParts({"00": b"\x00\xff", "01": b""})

    async def main():
        a, b = Entry("a1"), Entry("b1")
        async with running(a, b):
            a.driver.connect({"b1": b.address})
            await until(lambda: b.driver.connected and a.driver.connected)
            for message in (heartbeat, parts):
                a.driver.send("b1", message)
            b.driver.send("a1", ConfigAck(7))
            await until(lambda: len(b.messages()) == 2 and a.messages())
            assert b.messages() == [heartbeat, parts]
            assert a.messages() == [ConfigAck(7)]
            connected = [e for e in b.events if isinstance(e, PeerConnected)]
            assert [(e.peer, e.data_centre) for e in connected] == [("a1", "a")]

    trio.run(main)


@pytest.mark.parametrize("_run", range(5))
@trio_test
async def test_simultaneous_connects_keep_one_connection(_run):
    """Guards against no connection, or two, after both sides dial at the same time."""
    a, b = Entry("a1"), Entry("b1")
    async with running(a, b):
        a.driver.connect({"b1": b.address})
        b.driver.connect({"a1": a.address})
        await until(lambda: b.driver.connected and a.driver.connected)
        await trio.sleep(0.5)
        for entry in (a, b):
            assert entry.count(PeerConnected) - entry.count(PeerDisconnected) == 1
        a.driver.send("b1", ConfigAck(1))
        b.driver.send("a1", ConfigAck(2))
        await until(lambda: a.messages() and b.messages())


@pytest.mark.parametrize("dialler", ["a1", "b1"])
@trio_test
async def test_a_wrong_secret_is_refused_by_both_sides(dialler):
    """Guards against a connection to a process that does not know the secret."""
    a, b = Entry("a1"), Entry("b1", b"other")
    dialling, accepting = (a, b) if dialler == "a1" else (b, a)
    async with running(a, b):
        dialling.driver.connect({accepting.identity.entry: accepting.address})
        await until(lambda: dialling.driver.counters["peer_dials_failed"] >= 2)
        assert not a.events and not b.events


@trio_test
async def test_a_reflected_mac_is_refused():
    """Guards against a reflection attack, which returns the MAC of the other role."""
    a = Entry("a1")
    async with (
        running(a),
        connect(f"ws://{a.address}/", proxy=None, close_timeout=0.2) as ws,
    ):
        challenge = peer_codec.decode(await ws.recv())
        me = Identity("b1", "1", "b")
        nonces = (challenge.nonce, b"n")
        mac = peer_codec.handshake_mac(SECRET, "accept", me, nonces)
        hello = peer_codec.Hello("b1", "1", "b", b"n", mac)
        await ws.send(peer_codec.encode(hello))
        assert (await wait_for_close(ws)).code == 1008
        assert not a.events


@trio_test
async def test_a_peer_under_another_name_is_refused():
    """Guards against messages to another entry instance that reuses an address."""
    a, c = Entry("a1"), Entry("c1")
    async with running(a, c):
        a.driver.connect({"b1": c.address})
        await until(lambda: a.driver.counters["peer_dials_failed"] >= 1)
        assert not a.driver.connected


@pytest.mark.parametrize(
    "blob",
    [
        b"\xff\x00",
        b"",
        b"\x81" * 4_000,
        cbor2.dumps([1]),
        cbor2.dumps({"v": 1, "type": "config_ack", "revision": "x"}),
        cbor2.dumps({"v": 1, "type": "heartbeat"}),
        "text",
    ],
)
@trio_test
async def test_malformed_message_closes_the_connection_with_a_reason(blob):
    """Guards against a crash, or a close without a reason, on malformed bytes."""
    a = Entry("a1")
    async with running(a), raw_link(a) as ws:
        await ws.send(blob)
        closed = await wait_for_close(ws)
        assert closed.code == 1007 and closed.reason
        await until(lambda: a.count(PeerDisconnected) == 1)
        async with raw_link(a, "z8"):
            assert a.driver.connected == {"z8"}


@trio_test
async def test_unknown_types_and_fields_are_tolerated_but_not_versions():
    """Guards against lost connections between versions during a rolling upgrade."""
    a = Entry("a1")
    async with running(a), raw_link(a) as ws:
        await ws.send(cbor2.dumps({"v": 1, "type": "novelty"}))
        answer = peer_codec.decode(await ws.recv())
        assert isinstance(answer, Unsupported) and "novelty" in answer.what
        ack = {"v": 1, "type": "config_ack", "revision": 4, "new": 1}
        await ws.send(cbor2.dumps(ack))
        await until(lambda: a.messages() == [ConfigAck(4)])
        await ws.send(cbor2.dumps({"v": 2, "type": "config_ack"}))
        answer = peer_codec.decode(await ws.recv())
        assert isinstance(answer, Unsupported) and answer.supported_version == 1
        await wait_for_close(ws)


@trio_test
async def test_a_message_above_the_size_limit_closes_the_connection():
    """Guards against large messages of a peer that fill the memory."""
    a = Entry("a1")
    async with running(a), raw_link(a) as ws:
        await ws.send(bytes(limits.MAX_PEER_MESSAGE_BYTES + 1))
        assert (await wait_for_close(ws)).code == 1009
        a.driver.send("z9", ConfigParts({"x": bytes(5_000_000)}))


@trio_test
async def test_a_slow_peer_is_disconnected_and_does_not_block_others():
    """Guards against a send buffer without bound for a peer that stops reading."""
    a, b = Entry("a1"), Entry("b1")
    async with running(a, b):
        a.driver.connect({"b1": b.address})
        async with raw_link(a, ping_interval=None, max_queue=1):
            await until(lambda: len(a.driver.connected) == 2)
            for number in range(limits.MAX_PEER_BUFFER_BYTES // 100_000 + 100):
                a.driver.send("z9", ConfigParts({"x": bytes(100_000)}))
                if number % 20 == 0:
                    a.driver.send("b1", ConfigAck(number))
                    await trio.sleep(0)
            assert a.driver.counters["peer_buffers_overflowed"] >= 1
            await until(lambda: a.driver.connected == {"b1"})
            await until(lambda: len(b.messages()) >= 9)


@trio_test
async def test_a_silent_connection_is_detected():
    """Guards against a connection that stays open but no longer delivers data."""
    a = Entry("a1")
    async with running(a) as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        muted = trio.Event()

        async def forward(source, target):
            async for chunk in source:
                if muted.is_set():
                    await trio.sleep_forever()
                await target.send_all(chunk)

        async def proxy(stream):
            host, _, number = a.address.rpartition(":")
            upstream = await trio.open_tcp_stream(host, int(number))
            async with trio.open_nursery() as pair:
                pair.start_soon(forward, stream, upstream)
                pair.start_soon(forward, upstream, stream)

        nursery.start_soon(trio.serve_listeners, proxy, listeners)
        b = Entry("b1")
        await nursery.start(b.run)
        b.driver.connect({"a1": f"127.0.0.1:{port}"})
        await until(lambda: a.driver.connected and b.driver.connected)
        muted.set()
        started = trio.current_time()
        await until(lambda: a.count(PeerDisconnected) and b.count(PeerDisconnected))
        bound_ms = limits.PEER_PING_INTERVAL_MS + limits.PEER_PING_TIMEOUT_MS
        assert trio.current_time() - started <= bound_ms / 1000 + 1.5
        nursery.cancel_scope.cancel()


@trio_test
async def test_a_restarted_peer_is_reconnected():
    """Guards against a peer that stays disconnected after its process restarted."""
    a, b = Entry("a1"), Entry("b1")
    async with running(a, b) as nursery:
        a.driver.connect({"b1": b.address})
        await until(lambda: a.driver.connected)
        b.scope.cancel()
        await until(lambda: a.count(PeerDisconnected) == 1)
        restarted = Entry("b1", incarnation="2")
        await nursery.start(restarted.run)
        restarted.driver.connect({"a1": a.address})
        await until(lambda: a.count(PeerConnected) == 2)
        assert a.events[-1].incarnation == "2"


@trio_test
async def test_connections_to_removed_peers_are_closed():
    """Guards against connections to former peers that are never closed."""
    a, b = Entry("a1"), Entry("b1")
    async with running(a, b):
        a.driver.connect({"b1": b.address})
        await until(lambda: b.driver.connected)
        a.driver.connect({})
        await until(lambda: not a.driver.connected and not b.driver.connected)


@trio_test
async def test_many_messages_before_the_handshake_leak_no_task():
    """Guards against a connection that is never released.

    With a full buffer of unread messages, the reader task is paused and does not
    notice that the connection is closed.
    """
    a = Entry("a1")
    async with running(a):
        await trio.sleep(0.1)
        n_tasks = trio.lowlevel.current_statistics().tasks_living
        stream = await trio.open_tcp_stream("127.0.0.1", int(a.address[10:]))
        await stream.send_all(
            b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        )
        empty_frame = b"\x82\x80\x00\x00\x00\x00"
        await stream.send_all(empty_frame * 500)
        await until(lambda: a.driver.counters["peer_accepts_failed"] == 1)
        statistics = trio.lowlevel.current_statistics
        await until(lambda: statistics().tasks_living == n_tasks)


@trio_test
async def test_a_connection_without_a_handshake_is_closed():
    """Guards against unauthenticated connections that stay open."""
    a = Entry("a1")
    async with (
        running(a),
        connect(f"ws://{a.address}/", proxy=None, close_timeout=0.2) as ws,
    ):
        await wait_for_close(ws)
        assert not a.events


@pytest.mark.parametrize("address", ["", "nowhere", "host:", "host:x", "host:70000"])
def test_an_invalid_listen_address_is_a_settings_error(address):
    """Guards against an error that does not point to the wrong setting."""
    with pytest.raises(SettingsError):
        PeerDriver(Identity("a1", "1", "a"), SECRET, address, print, TrioClock())
