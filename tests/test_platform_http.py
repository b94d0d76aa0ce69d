"""Calls without an answer: what may have been executed and what cannot."""

import socket

import pytest
import trio

from apricotgap.platform.http import HttpClient, NoAnswerError
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
            with pytest.raises(NoAnswerError) as caught:
                await HttpClient().call("GET", address, "/", timeout_ms=500)
        assert not caught.value.sent

    trio.run(main)


def test_silent_answer_counts_as_sent():
    """Guards against a start that is repeated although it may run."""

    async def check(store, client):
        store.faults.is_silent = True
        with pytest.raises(NoAnswerError) as caught:
            await HttpClient().call("GET", store.address, "/", timeout_ms=200)
        assert caught.value.sent

    run(check)


def test_write_outcomes_tell_nothing_done_from_unknown():
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
    """Guards against refusals because a single answer was lost."""

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


def test_pages_of_a_prefix_are_read_whole():
    async def check(store, client):
        for n in range(501):
            store.put(f"p/{n:04d}", b"x")
        store.put("q/1", b"x")
        snapshot = await client.read_prefix("p/")
        assert len(snapshot.items) == 501

    run(check)
