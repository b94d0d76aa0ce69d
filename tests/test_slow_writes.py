"""Large writes over slow links: they end, instead of being repeated for ever."""

import json
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance import direct_submissions
from apricotgap.instance.direct_submissions import DirectSubmissions
from apricotgap.instance.keys import job_key, roster_key
from apricotgap.instance.owner_calls import PEER_TIMEOUT_MS, OwnerCalls
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.progress_writer import MAX_TXN_BYTES, ProgressWriter
from apricotgap.jobs.service import SubmitResult
from apricotgap.jobs.shard_jobs import SaveBatch
from apricotgap.platform.http import HttpResponse, NoResponseError
from apricotgap.platform.store import StoreClient, Stored, Unknown, Write
from tests.jobs_harness import SERVICE, Rig, job

# 2 Mbit/s
LINK_BYTES_PER_S = 250_000
PART_BYTES = 1_500


class SlowUplink:
    """HTTP client of a store behind a link that all requests share.

    A request that is given up takes no more of the link.
    """

    def __init__(self, bytes_per_s=LINK_BYTES_PER_S):
        self.bytes_per_s = bytes_per_s
        self.revisions = {}
        self.n_calls = 0
        self.n_timeouts = 0
        self.bodies = []
        self._lock = trio.StrictFIFOLock()

    async def call(self, method, address, target, body, timeout_ms, **_options):
        self.n_calls += 1
        with trio.move_on_after(timeout_ms / 1000):
            for start in range(0, len(body), PART_BYTES):
                async with self._lock:
                    n_bytes = len(body[start : start + PART_BYTES])
                    await trio.sleep(n_bytes / self.bytes_per_s)
            return self._answer(method, body)
        self.n_timeouts += 1
        raise NoResponseError("timeout", sent=True)

    def _answer(self, method, body):
        if method == "GET":
            return HttpResponse(404, b"")
        self.bodies.append(body)
        for row in json.loads(body)["setKeys"]:
            self.revisions[row["key"]] = 100 + self.n_calls
        return HttpResponse(200, json.dumps({"revision": 100 + self.n_calls}).encode())


def run(check, **link):
    async def main():
        store = StoreClient("10.0.0.1:1")
        store._http = uplink = SlowUplink(**link)
        await check(store, uplink)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def save(store, documents):
    """Return a writer that stores documents, and the shard that it tells of them."""
    rig = Rig().ready()
    shard = SimpleNamespace(
        service=SERVICE,
        jobs=rig.shard.jobs,
        batch=SaveBatch(tuple(documents), {}, {}, {}),
        has_urgent_unsaved=True,
        stored={},
    )
    shard.has_unsaved = True

    def begin_save():
        left = [row for row in documents if row[0] not in shard.stored]
        return SaveBatch(tuple(left), {}, {}, {})

    def saved(batch, revisions, is_complete):
        shard.stored.update(revisions)
        shard.has_unsaved = len(shard.stored) < len(documents)

    shard.begin_save = begin_save
    shard.save_failed = lambda job_ids: None
    shard.saved = saved
    return ProgressWriter(shard, Ownership(SERVICE, 1, 5, 1, 6_500), store), shard


async def play(writer, shard, span_s):
    """Run a writer until all documents are stored; return how long that took."""
    started_s = trio.current_time()
    with trio.move_on_after(span_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            writer.wake()
            while shard.has_unsaved:
                await writer.saved.wait()
            nursery.cancel_scope.cancel()
    assert not shard.has_unsaved
    return trio.current_time() - started_s


@pytest.mark.parametrize(
    ("n_jobs", "n_bytes"), [(90, 8_000), (12, 60_000), (1, 250_000)]
)
def test_progress_that_takes_longer_than_a_call_is_stored(n_jobs, n_bytes):
    """Guards against an owner that writes the same progress for ever: its transactions
    take longer on its link than the limit of a call.
    """

    async def check(store, uplink):
        documents = [(f"{n:016x}", b"x" * n_bytes, 0) for n in range(n_jobs)]
        writer, shard = save(store, documents)
        await play(writer, shard, 20)
        assert uplink.n_timeouts == 0

    run(check)


def test_transactions_are_bounded_by_bytes_and_entries():
    """Guards against transactions that a slow link carries as a whole or not at all."""

    async def check(store, uplink):
        sizes = [10, 4_000, 20_000, 4_000, *([100] * 40), 16_000, 16_000]
        documents = [(f"{n:016x}", b"x" * size, 0) for n, size in enumerate(sizes)]
        writer, shard = save(store, documents)
        await play(writer, shard, 20)
        assert len(shard.stored) == len(sizes)
        for body in uplink.bodies:
            rows = json.loads(body)["setKeys"]
            # A document alone may exceed the bound.
            assert len(rows) == 1 or len(body) < 1.4 * MAX_TXN_BYTES + 6_000
            assert len(rows) <= 15

    run(check)


def test_limit_of_a_write_grows_with_its_size():
    """Guards against a list of workers that is never stored, so that none of those that
    came last gets work.
    """

    async def check(store, uplink):
        write = Write(roster_key(SERVICE), b"x" * 300_000)
        assert isinstance(await store.write((write,)), Stored)

    run(check)


def test_limit_of_a_write_stays_bounded():
    """Guards against an owner that waits for minutes on a store that is gone."""

    async def check(store, uplink):
        started_s = trio.current_time()
        write = Write(roster_key(SERVICE), b"x" * 8_000_000)
        assert isinstance(await store.write((write,)), Unknown)
        assert trio.current_time() - started_s <= 12

    run(check, bytes_per_s=1)


def test_write_with_a_deadline_keeps_it():
    """Guards against a write that outlasts what its caller was told."""

    async def check(store, uplink):
        started_s = trio.current_time()
        write = Write(job_key(SERVICE, "j" * 16), b"x" * 300_000)
        assert isinstance(await store.write((write,), 700), Unknown)
        assert trio.current_time() - started_s < 0.71

    run(check)


def test_large_job_is_accepted_without_an_owner():
    """Guards against a job that is sent again and again until its caller gives up."""

    async def check(store, uplink):
        clock = TrioClock()
        view = SimpleNamespace(
            shard_item=lambda service: None, refusal=lambda service: None
        )
        document = b"x" * 250_000
        submissions = DirectSubmissions(view, store, clock)
        outcome = await submissions.submit(job(), document, clock.now_ms + 2_850)
        assert outcome.result is SubmitResult.ACCEPTED
        assert uplink.n_calls == 1
        assert direct_submissions._STORE_TIMEOUT_MS == 700

    run(check)


@pytest.mark.parametrize(
    ("argument", "least_ms"), [(b"x" * 100_000, 1_400), ("j" * 16, PEER_TIMEOUT_MS)]
)
def test_call_of_an_owner_may_take_as_long_as_it_carries(argument, least_ms):
    """Guards against a large job that never reaches its owner, and a small call that
    waits too long to be made elsewhere.
    """
    limits_ms = []

    class Peers:
        async def call(self, address, operation, argument, timeout_ms):
            limits_ms.append(timeout_ms)
            return ["ok", None]

    async def check(store, uplink):
        clock = TrioClock()
        owner = SimpleNamespace(address="other:1", name="o", has_second_protocol=True)
        view = SimpleNamespace(owner=lambda service: owner)
        calls = OwnerCalls({}, view, Peers(), clock)
        await calls.call(SERVICE, "submit", argument, clock.now_ms + 2_850)
        assert least_ms <= limits_ms[0] <= 1_425
        if not isinstance(argument, bytes):
            assert limits_ms == [PEER_TIMEOUT_MS]

    run(check)
