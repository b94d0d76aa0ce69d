"""Input of other programs that no decoder may let through as an unexpected error."""

import contextlib
import json
from functools import partial
from typing import Any

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.core import claim_document, grants
from apricotgap.decoding import decode_json
from apricotgap.errors import ApricotgapError
from apricotgap.instance.keys import decode_member, decode_owner
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs import documents
from apricotgap.platform import advice, machines, store, store_answers, workers
from apricotgap.platform.job_wire import decode_job
from apricotgap.platform.wire import (
    decode_configuration,
    decode_machines,
    decode_wave,
    decode_worker,
)
from tests.jobs_harness import configuration
from tests.test_platform_wire import WORKER

N_LEVELS = 10_000
NESTED = [
    b'{"notes":' + b"[" * N_LEVELS,
    b'{"notes":' + b"[" * N_LEVELS + b"]" * N_LEVELS + b"}",
    b'{"a":' * N_LEVELS + b"1" + b"}" * N_LEVELS,
    b"[" * N_LEVELS + b"]" * N_LEVELS,
]
ODD = [
    b"",
    b"\xff\xfe",
    b"null",
    b'{"a":' + b"9" * 5_000 + b"}",
    b'{"service":1e400}',
    *NESTED,
]
DECODERS = {
    "worker": partial(decode_worker, "i-1"),
    "configuration": decode_configuration,
    "wave": decode_wave,
    "machines": decode_machines,
    "job": lambda data: decode_job(data, "a" * 16, configuration().queues[0], "", 0),
    "poll": workers.decode_poll,
    "store": store_answers.decode_changes,
    "advice": advice.decode_approval,
    "member": decode_member,
    "owner": decode_owner,
    "progress": partial(documents.decode_progress, "a" * 16),
    "job document": documents.decode_job,
    "split": documents.decode_split,
    "answer of a backend server": partial(decode_json, shape=Any),
}


EXPECTED = (
    ValueError,
    ApricotgapError,
    workers.WorkerError,
    store.StoreError,
    advice.AdviceError,
)


@pytest.mark.parametrize("data", NESTED, ids=range(len(NESTED)))
@pytest.mark.parametrize("name", DECODERS)
def test_nested_input_is_an_error_of_the_item(name, data):
    """Guards against a process that ends because of one entry of another writer."""
    with pytest.raises(EXPECTED) as caught:
        DECODERS[name](data)
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize("data", ODD, ids=range(len(ODD)))
@pytest.mark.parametrize("name", DECODERS)
def test_odd_input_raises_no_unexpected_error(name, data):
    """Guards against an error that the readers of an item don't expect."""
    with contextlib.suppress(*EXPECTED):
        DECODERS[name](data)


@pytest.mark.parametrize("data", ODD, ids=range(len(ODD)))
def test_odd_answer_of_a_service_has_no_reason(data):
    """Guards against an answer of the machine service that ends the fleet's owner."""
    assert machines._conflict_reason(data) == "conflict"
    assert workers._decode_outcome(data).reason == ""


@pytest.mark.parametrize("data", NESTED, ids=range(len(NESTED)))
def test_nested_grants_are_an_error_of_the_document(data):
    """Guards against a document that ends each instance that runs plans."""
    with pytest.raises(ApricotgapError):
        grants.decode_grants(data)


@pytest.mark.parametrize("data", ODD, ids=range(len(ODD)))
def test_odd_claim_is_malformed(data):
    """Guards against a stored claim that ends the instance that reads it."""
    assert claim_document.ClaimDocument.decode(data) is None


class WatchedStore:
    """Shows a list of entries and then nothing more."""

    def __init__(self, items):
        self.items = items

    async def read_prefix(self, prefix):
        return store.Snapshot(self.items, 1)

    async def watch(self, prefix, after, wait_ms):
        await trio.sleep_forever()


@pytest.mark.parametrize("data", ODD, ids=range(len(ODD)))
def test_odd_entry_does_not_keep_others_from_being_read(data):
    """Guards against a list of workers that one entry of another writer ends."""

    async def main():
        sound = json.dumps(WORKER).encode()
        items = [store.Item(f"servers/i-{n}", sound, 1) for n in range(3)]
        items[1] = store.Item("servers/i-1", data, 1)
        listed = WorkerList(WatchedStore(tuple(items)), FakeClock())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listed.run)
            listed.add_reader("bakery")
            await listed.loaded.wait()
            nursery.cancel_scope.cancel()
        assert [entry.worker_id for entry in listed.entries()] == ["i-0", "i-2"]

    trio.run(main)


def test_entries_that_are_gone_are_not_remembered():
    """Guards against a set of odd entries' names that only grows."""

    async def main():
        items = [store.Item(f"servers/i-{n}", b"{", 1) for n in range(3)]
        listed = WorkerList(WatchedStore(tuple(items)), FakeClock())
        listed._changed(tuple(items))
        sound = json.dumps(WORKER).encode()
        later = (
            store.Item("servers/i-0", None, 2),
            store.Item("servers/i-1", sound, 2),
        )
        listed._changed(later)
        assert listed._unreadable == {"i-2"}

    trio.run(main)


def test_long_values_are_not_repeated_in_errors():
    """Guards against log lines as long as the entries of other writers."""
    entry = {"service": "s", "address": "a" * 100_000, "state": "ready"}
    for changes in ({}, {"state": "s" * 100_000}):
        data = json.dumps(entry | {"freeCapacity": {}} | changes).encode()
        with pytest.raises(ValueError, match="a|s") as caught:
            decode_worker("i-1", data)
        assert len(str(caught.value)) < 500
