"""Answers of the store with odd values in one item, or without end."""

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.platform.store import StoreClient, StoreError
from tests.answering_http import Http

ODD_BASE64 = ["a", "é", "YQ", "=YQ="]


def client_of(*documents):
    client = StoreClient("10.0.0.1:1")
    client._http = Http(*documents)
    return client


@pytest.mark.parametrize("value", ODD_BASE64)
def test_watch_goes_on_after_a_value_that_cannot_be_decoded(value):
    """Guards against a record of the store that ends each process that watches it."""
    sound = {"key": "p/b", "revision": 3, "value": "eA=="}
    odd = {"key": "p/a", "revision": 2, "value": value}
    later = {"key": "p/c", "revision": 4, "value": "eQ=="}
    store = client_of(
        {"at": 1, "items": []},
        {"at": 3, "events": [odd, sound]},
        {"at": 4, "events": [later]},
        None,
    )
    seen = []
    mirror = PrefixMirror(store, "p/", FakeClock(), seen.extend, 1_000)

    async def main():
        with trio.move_on_after(0.5):
            await mirror.run()

    trio.run(main)
    assert [item.key for item in seen] == ["p/a", "p/b", "p/c"]
    assert [item.value for item in seen[1:]] == [b"x", b"y"]
    # The key is there, which is all that some of them say.
    assert seen[0].value is not None


def test_pages_of_the_store_without_end_are_an_error():
    """Guards against a read that never returns and takes ever more memory."""
    page = {"at": 1, "items": [{"key": "a", "value": "eA=="}], "hasMore": True}
    store = client_of(page)
    with pytest.raises(StoreError, match="no end"):
        trio.run(store.read_prefix, "a")
