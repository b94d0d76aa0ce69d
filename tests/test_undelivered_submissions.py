"""Submissions that reach neither their owner nor the store."""

from dataclasses import replace
from functools import partial
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from apricotgap.clock import FakeClock
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.keys import Member, Owner, new_incarnation
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.peers import PeerCallError, PeerClient, serve_peers
from apricotgap.instance.submissions import Submissions
from apricotgap.instance.unresolved_submissions import (
    MAX_SUBMISSIONS,
    RETENTION_MS,
    UnresolvedSubmissions,
)
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.service import SubmitOutcome, SubmitResult
from apricotgap.metrics import Metrics
from apricotgap.platform import http
from apricotgap.platform.http import HttpClient, NoResponseError
from apricotgap.platform.store import Stored, Unavailable, Unknown
from soak.proxy import FaultyProxy
from tests.jobs_harness import SERVICE, Rig, job
from tests.loopback import free_port

pytestmark = pytest.mark.usefixtures("overload_state")

ACCEPTED, REFUSED, UNKNOWN = (
    SubmitResult.ACCEPTED,
    SubmitResult.REFUSED,
    SubmitResult.UNKNOWN,
)
OWNER = Owner("other", "2-1", "other:1", 3)


class Peers:
    """Links to the owner and to a relay, cut before or after a call was written."""

    def __init__(self, is_call_sent=False, is_owner_heard=False):
        self.is_call_sent = is_call_sent
        self.is_owner_heard = is_owner_heard
        self.n_calls = 0

    async def verify(self, address):
        if not self.is_owner_heard:
            raise PeerCallError("not reached", sent=False)

    async def call(self, address, operation, argument, timeout_ms):
        self.n_calls += 1
        raise PeerCallError("timed out", sent=self.is_call_sent)


class Store:
    """A store that gives one outcome to each write."""

    def __init__(self, outcome, is_down=False):
        self.outcome = outcome
        self.is_down = is_down
        self.n_writes = 0

    async def write(self, writes, timeout_ms=0):
        self.n_writes += 1
        # A submission is tried once, as by a caller with a short deadline.
        self.is_down = True
        return self.outcome


def router(store, peers):
    members = (Member("relay", new_incarnation(), "relay:1", "a", 1_000),)
    view = SimpleNamespace(
        owner=lambda service: OWNER,
        members=lambda: members,
        shard_item=lambda service: None,
        refusal=lambda service: None,
    )
    return JobRouter("me", {}, view, store, peers, FakeClock())


def submit(store, peers):
    return trio.run(router(store, peers).submit, job(), 3_000).result


def test_submission_is_refused_if_nothing_was_written():
    """Guards against "unknown" for a job of which no byte has left the instance."""
    assert submit(Store(Unavailable("ECONNREFUSED")), Peers()) is REFUSED


def test_submission_is_unknown_once_its_owner_was_sent_a_byte():
    """Guards against "not run" for a job that its owner may have taken."""
    store = Store(Unavailable("ECONNREFUSED"))
    assert submit(store, Peers(is_call_sent=True)) is UNKNOWN


def test_submission_is_unknown_once_the_store_was_sent_a_byte():
    """Guards against "not run" for a job that the store may have taken."""
    assert submit(Store(Unknown("timeout")), Peers()) is UNKNOWN


def test_relay_that_was_sent_a_byte_makes_a_submission_unknown():
    """Guards against "not run" for a job that another instance may have stored."""

    class RelayOnly(Peers):
        async def call(self, address, operation, argument, timeout_ms):
            is_relay = operation.startswith("relay-")
            raise PeerCallError("timed out", sent=is_relay)

    class DownLater(Store):
        async def write(self, writes, timeout_ms=0):
            return self.outcome

    assert submit(DownLater(Unavailable("ECONNREFUSED")), RelayOnly()) is UNKNOWN


def test_nothing_is_sent_while_owner_and_store_are_unreachable():
    """Guards against callers that wait for the deadline of a call in vain.

    A data centre is cut off from the store and the owner while its callers go on.
    """
    store, peers = Store(Unknown("timeout"), is_down=True), Peers(is_call_sent=True)
    assert submit(store, peers) is REFUSED
    assert (store.n_writes, peers.n_calls) == (0, 0)


def test_owner_that_is_heard_gets_the_submission_while_the_store_is_unreachable():
    """Guards against refusals by an instance that is cut off from the store only."""
    store = Store(Unknown("timeout"), is_down=True)
    peers = Peers(is_call_sent=True, is_owner_heard=True)
    assert submit(store, peers) is UNKNOWN
    assert store.n_writes == 0
    assert peers.n_calls == 2


def test_job_of_an_unanswered_submission_is_never_refused_afterwards():
    """Guards against "not run" for a second try, when the first one took effect."""
    store, peers = Store(Unknown("timeout")), Peers()
    route = router(store, peers)

    async def main():
        results = [(await route.submit(job(), 3_000)).result for _ in range(3)]
        store.is_down, store.outcome = False, Stored(5)
        results.append((await route.submit(job(), 3_000)).result)
        return results

    assert trio.run(main) == [UNKNOWN, UNKNOWN, UNKNOWN, ACCEPTED]


def test_owner_never_refuses_a_job_that_it_may_have_stored():
    """Guards against "not run" from an owner whose first write may take effect, also if
    the second try of the caller came through another instance.
    """
    rig, clock = Rig().ready(), FakeClock()
    store = Store(Unknown("timeout"))

    async def main():
        demand = Demand(rig.shard)
        submissions = Submissions(
            rig.shard,
            Ownership(SERVICE, 1, 5, 1, 6_500),
            store,
            demand,
            Scheduler(rig.shard, demand, rig.overload).service_order,
            clock,
            Metrics("me"),
            lambda job: None,
        )
        first = await submissions.submit(job(), clock.now_ms - 1)
        other = replace(job(), job_id="b" * 16)
        return [
            each.result
            for each in (
                first,
                await submissions.submit(job(), clock.now_ms),
                await submissions.submit(other, clock.now_ms),
            )
        ]

    assert trio.run(main) == [UNKNOWN, UNKNOWN, REFUSED]
    assert store.n_writes == 1


def test_job_is_not_refused_while_another_submission_of_it_is_under_way():
    """Guards against "not run" for a job that the first of two calls has sent."""
    unresolved = UnresolvedSubmissions(FakeClock())
    results = []

    async def submission(delay_s, result):
        await trio.sleep(delay_s)
        return SubmitOutcome(result)

    async def run(delay_s, result):
        outcome = await unresolved.run("j", partial(submission, delay_s, result))
        results.append(outcome.result)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, 0.5, ACCEPTED)
            await trio.sleep(0.1)
            nursery.start_soon(run, 0.1, REFUSED)
        with trio.move_on_after(0.1):
            await run(5, ACCEPTED)
        await run(0, REFUSED)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert results == [UNKNOWN, ACCEPTED, UNKNOWN]


def test_overlapping_submissions_that_end_unknown_stay_unresolved():
    """Guards against a refusal of the first of two overlapping submissions that drops
    the record of the second: its write may still take effect.
    """
    unresolved = UnresolvedSubmissions(FakeClock())
    first_may_end = trio.Event()
    results = []

    async def end(result, may_end=None):
        if may_end is not None:
            await may_end.wait()
        return SubmitOutcome(result)

    async def submit(result, may_end=None):
        outcome = await unresolved.run("a" * 16, partial(end, result, may_end))
        results.append(outcome.result)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, REFUSED, first_may_end)
            await trio.testing.wait_all_tasks_blocked()
            await submit(UNKNOWN)
            first_may_end.set()
        await submit(REFUSED)

    trio.run(main)
    assert results == [UNKNOWN, UNKNOWN, UNKNOWN]


def test_record_of_unresolved_jobs_is_bounded():
    """Guards against memory that grows with each outage."""
    clock = FakeClock()
    unresolved = UnresolvedSubmissions(clock)

    async def answer(result):
        return SubmitOutcome(result)

    async def main():
        for number in range(MAX_SUBMISSIONS + 1):
            await unresolved.run(str(number), partial(answer, UNKNOWN))
        assert len(unresolved._until_ms) == MAX_SUBMISSIONS
        clock.advance(RETENTION_MS)
        outcome = await unresolved.run("1", partial(answer, REFUSED))
        assert outcome.result is REFUSED
        assert not unresolved._until_ms

    trio.run(main)


class Socket:
    """A socket whose link is cut after it has taken some bytes."""

    def __init__(self, n_taken):
        self._n_left = n_taken

    async def send(self, data):
        if not self._n_left:
            raise BrokenPipeError(32, "cut")
        n_taken, self._n_left = self._n_left, 0
        return n_taken

    def close(self):
        """Close nothing."""


@pytest.mark.parametrize("n_taken", [0, 1])
def test_http_call_tells_whether_a_byte_was_written(monkeypatch, n_taken):
    """Guards against a write that counts as not sent after its first byte."""

    async def open_connection(address):
        return http._Connection(Socket(n_taken))

    monkeypatch.setattr(http._Connection, "open", open_connection)

    async def main():
        with pytest.raises(NoResponseError) as caught:
            await HttpClient().call("POST", "10.0.0.1:1", "/", b"{}")
        assert caught.value.sent is bool(n_taken)

    trio.run(main)


def test_peer_call_tells_whether_a_byte_was_written():
    """Guards against a call that counts as not sent although its peer has it."""
    handled = []

    async def handle(operation, argument):
        handled.append(operation)
        await trio.sleep_forever()

    async def main():
        port = free_port()
        async with trio.open_nursery() as nursery:
            client = PeerClient(nursery)
            with pytest.raises(PeerCallError) as caught:
                await client.call(f"127.0.0.1:{port}", "submit", 1, 300)
            assert not caught.value.sent
            nursery.start_soon(serve_peers, "127.0.0.1", port, handle)
            await trio.sleep(0.05)
            with pytest.raises(PeerCallError) as caught:
                await client.call(f"127.0.0.1:{port}", "submit", 1, 300)
            assert caught.value.sent
            assert handled == ["submit"]
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_link_is_verified_without_a_call():
    """Guards against a call that is sent on a link that is cut, and a link that is not
    used again once it is back.
    """
    handled = []

    async def handle(operation, argument):
        handled.append(operation)
        return argument

    async def main():
        port = free_port()
        proxy = FaultyProxy(f"127.0.0.1:{port}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_peers, "127.0.0.1", port, handle)
            await nursery.start(proxy.run)
            client = PeerClient(nursery)
            await client.verify(proxy.address)
            # A link that was idle for longer is pinged.
            await trio.sleep(0.3)
            await client.verify(proxy.address)
            await trio.sleep(0.3)
            proxy.silent_up = proxy.silent_down = True
            for _ in range(2):
                with pytest.raises(PeerCallError) as caught:
                    await client.verify(proxy.address)
                assert not caught.value.sent
            proxy.heal()
            await trio.sleep(0.3)
            await client.verify(proxy.address)
            assert handled == []
            assert await client.call(proxy.address, "submit", 1, 300) == 1
            nursery.cancel_scope.cancel()

    trio.run(main)
