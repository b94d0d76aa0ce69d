"""Calls between instances: malformed messages and unreachable peers."""

import socket
from functools import partial

import cbor2
import pytest
import trio
from websockets.trio.client import connect
from websockets.trio.server import serve

from apricotgap.instance.peers import PeerCallError, PeerClient, serve_peers
from tests.loopback import free_port


async def _echo(operation, argument):
    if operation != "echo":
        raise ValueError("unknown operation")
    return argument


def run(check):
    async def main():
        port = free_port()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, _echo)
            await trio.sleep(0.05)
            with trio.fail_after(10):
                await check(nursery, f"127.0.0.1:{port}")
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("message", [b"\xff", b"", cbor2.dumps(7), cbor2.dumps([1])])
def test_malformed_message_does_not_stop_the_server(message):
    """Guards against a malformed message of a peer that stops the process."""

    async def check(nursery, address):
        async with connect(f"ws://{address}/", proxy=None) as socket:
            await socket.send(message)
            await trio.sleep(0.05)
        client = PeerClient(nursery)
        assert await client.call(address, "echo", [1], 1_000) == [1]

    run(check)


def test_client_reconnects_after_a_call_without_an_answer():
    """Guards against calls on a connection that no longer answers.

    The server answers no call of an unknown operation.
    """

    async def check(nursery, address):
        client = PeerClient(nursery)
        with pytest.raises(PeerCallError):
            await client.call(address, "other", 1, 200)
        assert await client.call(address, "echo", 2, 1_000) == 2

    run(check)


def test_call_of_an_unreachable_peer_fails_within_its_timeout():
    """Guards against a call that waits longer than its caller allows."""

    async def check(nursery, address):
        client = PeerClient(nursery)
        with pytest.raises(PeerCallError):
            await client.call(f"127.0.0.1:{free_port()}", "echo", 1, 500)
        assert await client.call(address, "echo", 3, 1_000) == 3

    run(check)


def test_slow_answer_does_not_end_the_other_calls_of_a_connection():
    """Guards against calls that fail because another one took too long.

    Under load one slow answer closed the connection with all its calls, and the
    callers' submissions had unknown outcomes.
    """

    async def handle(operation, argument):
        await trio.sleep(argument / 1_000)
        return argument

    async def main():
        port = free_port()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, handle)
            await trio.sleep(0.05)
            client, answers = PeerClient(nursery), []

            async def call(delay_ms, timeout_ms):
                try:
                    answers.append(
                        await client.call(
                            f"127.0.0.1:{port}", "wait", delay_ms, timeout_ms
                        )
                    )
                except PeerCallError:
                    answers.append(None)

            async with trio.open_nursery() as calls:
                calls.start_soon(call, 5_000, 300)
                calls.start_soon(call, 50, 1_000)
                calls.start_soon(call, 600, 1_000)
            assert answers == [50, None, 600]
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("error", [IndexError, OverflowError, RuntimeError])
def test_unexpected_error_of_one_call_leaves_the_others(error):
    """Guards against one call whose error ends all calls of its connection."""

    async def handle(operation, argument):
        await trio.sleep(0.05)
        if operation == "fail":
            raise error("unexpected")
        return argument

    async def main():
        port = free_port()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, handle)
            await trio.sleep(0.05)
            client, answers = PeerClient(nursery), []

            async def call(operation, timeout_ms):
                try:
                    address = f"127.0.0.1:{port}"
                    answers.append(await client.call(address, operation, 1, timeout_ms))
                except PeerCallError:
                    answers.append(None)

            async with trio.open_nursery() as calls:
                calls.start_soon(call, "fail", 300)
                calls.start_soon(call, "echo", 2_000)
                await trio.sleep(0.1)
                calls.start_soon(call, "echo", 2_000)
            assert sorted(answers, key=str) == [1, 1, None]
            nursery.cancel_scope.cancel()

    trio.run(main)


class _Undumpable:
    """A result that CBOR has no form for."""


@pytest.mark.parametrize(
    "message",
    [
        cbor2.dumps(7),
        cbor2.dumps([1]),
        cbor2.dumps([1, 2, 3]),
        cbor2.dumps({1: 2, 3: 4}),
        cbor2.dumps([[1], 2]),
        cbor2.dumps([{}, 2]),
        cbor2.dumps(None),
        b"\xff",
        b"\x81" * 5_000,
        "text",
    ],
)
def test_malformed_answer_ends_only_its_connection(message):
    """Guards against one message of a peer that ends the calling process."""
    n_connections = 0

    async def serve_socket(socket):
        nonlocal n_connections
        n_connections += 1
        is_first = n_connections == 1
        async for data in socket:
            call_id, _, argument = cbor2.loads(data)
            await socket.send(message if is_first else cbor2.dumps([call_id, argument]))

    async def main():
        port = free_port()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(serve, serve_socket, port, host="127.0.0.1"))
            await trio.sleep(0.05)
            client = PeerClient(nursery)
            address = f"127.0.0.1:{port}"
            with pytest.raises(PeerCallError):
                await client.call(address, "echo", 1, 300)
            assert await client.call(address, "echo", 2, 1_000) == 2
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1:x", "", "[::1", "a b:1", "\ud800:1", 7]
)
def test_call_of_an_odd_address_is_not_answered(address):
    """Guards against an odd entry of a peer that ends the call with another error."""

    async def check(nursery, _address):
        client = PeerClient(nursery)
        with pytest.raises(PeerCallError):
            await client.call(address, "echo", 1, 500)

    run(check)


@pytest.mark.parametrize(
    "message",
    [
        cbor2.dumps([1, "fail", 1]),
        cbor2.dumps([[[]], "echo", 1]),
        cbor2.dumps([1, 7, 1]),
        cbor2.dumps([1, ["echo"], 1]),
        cbor2.dumps(["\u00e9", "dump", 1]),
        b"\x81" * 5_000,
        "text",
    ],
)
def test_odd_call_leaves_the_other_calls_of_its_connection(message):
    """Guards against one message that ends all calls of a connection."""

    async def handle(operation, argument):
        if operation == "dump":
            return _Undumpable()
        if operation == "fail":
            raise ExceptionGroup("unexpected", [OSError()])
        return await _echo(operation, argument)

    async def main():
        port = free_port()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, handle)
            await trio.sleep(0.05)
            async with connect(f"ws://127.0.0.1:{port}/", proxy=None) as socket:
                await socket.send(message)
                await socket.send(cbor2.dumps([2, "echo", "still"]))
                with trio.fail_after(2):
                    answer = None
                    while answer != [2, "still"]:
                        answer = cbor2.loads(await socket.recv())
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_calls_share_a_handshake_that_takes_longer_than_each_waits():
    """Guards against an overloaded peer that is never reached: each call begins a
    handshake of its own, which takes longer than the call waits for it.
    """
    n_opened = 0

    async def main():
        port, slow_port = free_port(), free_port()

        async def forward(source, sink):
            async with sink:
                async for data in source:
                    await sink.send_all(data)

        async def accept(client):
            nonlocal n_opened
            n_opened += 1
            await trio.sleep(1.0)
            server = await trio.open_tcp_stream("127.0.0.1", port)
            async with trio.open_nursery() as pair:
                pair.start_soon(forward, client, server)
                pair.start_soon(forward, server, client)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, _echo)
            await nursery.start(
                partial(trio.serve_tcp, accept, slow_port, host="127.0.0.1")
            )
            client, answers = PeerClient(nursery), []
            for number in range(4):
                try:
                    address = f"127.0.0.1:{slow_port}"
                    answers.append(await client.call(address, "echo", number, 500))
                except PeerCallError as error:
                    assert not error.sent
            nursery.cancel_scope.cancel()
        assert answers[-1] == 3
        assert n_opened == 1

    trio.run(main)


def test_connection_to_a_peer_that_stopped_reading_is_closed():
    """Guards against sockets that pile up while a peer is cut off: the end of a
    connection waits until its last bytes can be sent.
    """

    async def main():
        port, front_port = free_port(), free_port()

        async def accept(client):
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            server = await trio.open_tcp_stream("127.0.0.1", port)
            await server.send_all(await client.receive_some(10_000))
            await client.send_all(await server.receive_some(10_000))
            # Nothing is read any more, so that the window of the sender fills.
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, _echo)
            await nursery.start(
                partial(trio.serve_tcp, accept, front_port, host="127.0.0.1")
            )
            client, address = PeerClient(nursery), f"127.0.0.1:{front_port}"
            n_tasks = len(nursery.child_tasks)
            for n_bytes in (1, 32 << 20):
                with pytest.raises(PeerCallError):
                    await client.call(address, "echo", bytes(n_bytes), 300)
            with trio.move_on_after(1.0):
                while len(nursery.child_tasks) > n_tasks:
                    await trio.sleep(0.05)
            assert len(nursery.child_tasks) == n_tasks
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_handshake_that_hangs_does_not_keep_later_calls_from_the_peer():
    """Guards against a peer that seems away for 3 s after it has come back: a handshake
    that its last process, or a cut, has left without an answer is waited for.
    """
    n_opened = 0

    async def main():
        port, front_port = free_port(), free_port()

        async def forward(source, sink):
            async with sink:
                async for data in source:
                    await sink.send_all(data)

        async def accept(client):
            nonlocal n_opened
            n_opened += 1
            if n_opened == 1:
                await trio.sleep_forever()
            server = await trio.open_tcp_stream("127.0.0.1", port)
            async with trio.open_nursery() as pair:
                pair.start_soon(forward, client, server)
                pair.start_soon(forward, server, client)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, _echo)
            await nursery.start(
                partial(trio.serve_tcp, accept, front_port, host="127.0.0.1")
            )
            client = PeerClient(nursery)
            started_s = trio.current_time()
            answer = None
            while answer is None and trio.current_time() - started_s < 5:
                try:
                    address = f"127.0.0.1:{front_port}"
                    answer = await client.call(address, "echo", 1, 500)
                except PeerCallError as error:
                    assert not error.sent
            assert trio.current_time() - started_s < 2.5
            nursery.cancel_scope.cancel()

    trio.run(main)
