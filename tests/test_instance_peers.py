"""Calls between instances: malformed messages and lost peers."""

import cbor2
import pytest
import trio
from websockets.trio.client import connect

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
def test_malformed_message_does_not_end_the_server(message):
    """Guards against one bad message of a peer that ends the process."""

    async def check(nursery, address):
        async with connect(f"ws://{address}/", proxy=None) as socket:
            await socket.send(message)
            await trio.sleep(0.05)
        client = PeerClient(nursery)
        assert await client.call(address, "echo", [1], 1_000) == [1]

    run(check)


def test_unknown_operation_gets_no_answer_and_the_link_is_opened_again():
    async def check(nursery, address):
        client = PeerClient(nursery)
        with pytest.raises(PeerCallError):
            await client.call(address, "other", 1, 200)
        assert await client.call(address, "echo", 2, 1_000) == 2

    run(check)


def test_peer_that_is_not_there_is_an_error_within_the_deadline():
    async def check(nursery, address):
        client = PeerClient(nursery)
        with pytest.raises(PeerCallError):
            await client.call(f"127.0.0.1:{free_port()}", "echo", 1, 500)
        assert await client.call(address, "echo", 3, 1_000) == 3

    run(check)
