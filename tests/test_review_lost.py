"""Faults of the takeover, of the stop and of the limits that a review has shown."""

import os
import socket
import time
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from apricotgap.clock import FakeClock, TrioClock
from apricotgap.drivers.http import send_response
from apricotgap.drivers.http_server import HttpServer
from apricotgap.instance.election import Election
from apricotgap.instance.instance import Instance
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.keys import (
    Member,
    Owner,
    encode_owner,
    epoch_key,
    limit_key,
    owner_key,
    tenure_key,
)
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.poll_loops import PollLoops
from apricotgap.instance.submissions import Submissions
from apricotgap.instance.team_limit_updater import TeamLimitUpdater
from apricotgap.instance.tenure import inherited_lease_ms
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.documents import Progress, decode_split, encode_split
from apricotgap.jobs.events import PollFailed, StartAnswered, StartResult
from apricotgap.jobs.limits import WORKER_LEASE_TAIL_MS
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.service import SubmitResult
from apricotgap.jobs.shard import Shard
from apricotgap.metrics import Metrics
from apricotgap.platform.store import (
    Conflict,
    Item,
    Stored,
    StoreError,
    Unavailable,
    Unknown,
)
from apricotgap.platform.workers import PollResponse
from tests.jobs_harness import FAR_MS, SERVICE, Rig, ended, entry, job, task
from tests.loopback import free_port
from tests.test_election import EndlessLease, TwoShardView
from tests.test_election import run as run_election
from tests.test_team_limit_updater import LIMIT, limited

TTL_MS = 3_000
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class StoreWithConditions:
    """A store in memory that checks all conditions of a transaction."""

    is_down = False

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.cluster_view = None
        self.before_write = None

    def put(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = Item(key, value, self.revision)
        if self.cluster_view is not None:
            self.cluster_view.apply(Item(key, value, self.revision))

    async def read_key(self, key):
        return self.items.get(key, Item(key, None, 0))

    async def write(self, writes, timeout_ms=0):
        await trio.sleep(0.005)
        if self.before_write is not None:
            self.before_write(writes)
        checked = [each for each in writes if each.expected_revision is not None]
        found = tuple(self.items[w.key] for w in checked if w.key in self.items)
        for each in checked:
            item = self.items.get(each.key)
            if (item.revision if item else 0) != each.expected_revision:
                return Conflict(found)
        for each in writes:
            if not each.check_only:
                self.put(each.key, each.value)
        return Stored(self.revision)


def test_mark_that_its_owner_removes_beside_a_claim_shortens_no_wait():
    """Guards against a second run: the claim is decided by a mark that was read while
    its owner held the shard; the owner then gives the shard up with a valid lease, and
    its workers' leases outlast the wait.
    """
    claimed = []
    clock = FakeClock(100_000)
    store = StoreWithConditions()
    store.put(epoch_key("s1"), b"4")
    store.put(tenure_key("s1"), b"4")
    # The view of this instance lags behind: it does not show this owner.
    store.put(owner_key("s1"), encode_owner(Owner("other", "2-i", "10.0.0.2:1", 4)))
    view = TwoShardView(store, FakeClock())

    def resign(writes):
        if any(write.key == epoch_key("s1") for write in writes):
            store.before_write = None
            store.put(owner_key("s1"), None)
            store.put(tenure_key("s1"), None)

    store.before_write = resign

    async def run_shard(ownership):
        claimed.append(ownership)
        await trio.sleep_forever()

    async def main():
        me = Member("me", "2-i1", "10.0.0.1:1", "a", 1_000)
        election = Election(
            me, store, EndlessLease(), view, clock, run_shard, lambda shard: True
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(election.run)
            for _ in range(30):
                clock.advance(100)
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
    (ownership,) = [each for each in claimed if each.shard == "s1"]
    assert ownership.inherited_lease_ms >= TTL_MS + WORKER_LEASE_TAIL_MS


ONE_TASK = (StepSpec(1, Resources(1000, 100), 800),)


def inherited_ms():
    """Return the wait of a successor of a marked owner whose key went."""
    mark = Item(tenure_key(SERVICE), b"1", 7)
    return inherited_lease_ms(1, mark, None, TTL_MS)


def test_successor_waits_for_a_worker_that_restarted_before_its_start():
    """Guards against a second run: a start reached the next incarnation of its worker,
    whose clock had begun anew, and so gave it the longest lease, beyond the tail that
    the successor waits for.
    """
    max_lease_ms = 10_000
    rig = Rig(workers=("w1",))
    rig.shard = Shard(SERVICE, 1, max_lease_ms)
    rig.shard.config = rig.scheduler._shard.config
    rig.scheduler._shard = rig.shard
    rig.list_workers(entry("w1"))
    rig.ready()
    rig.submit(job(steps=ONE_TASK))
    owner_until_ms = rig.now + TTL_MS
    (start,) = rig.schedule(owner_until_ms)
    rig.now += 10
    # The next incarnation confirms the start and is listed; its lease is as long as
    # any, since the end of the start's window is far ahead on its new clock.
    result = StartResult("ok", 40)
    rig.shard.step(StartAnswered(rig.now, "w1", 1, start.name, start.run_id, result))
    rig.shard.step(PollFailed(rig.now, "w1", 1, "reset"))
    rig.list_workers(entry("w1", born_ms=2))
    worker_until_ms = rig.now + max_lease_ms
    assert rig.shard.workers["w1"].runs
    assert rig.shard.workers["w1"].lease_until_ms >= worker_until_ms

    # The owner is lost, its key goes with its lease, and the worker is out of reach.
    successor = Rig(epoch=2, workers=())
    successor.shard = Shard(SERVICE, 2, max_lease_ms, inherited_lease_ms=inherited_ms())
    successor.shard.config = successor.scheduler._shard.config
    successor.scheduler._shard = successor.shard
    successor.now = owner_until_ms + 100
    successor.shard.loaded_ms = successor.shard.reported_ms = successor.now
    successor.shard.add_inherited_worker(entry("w1", born_ms=2), successor.now)
    successor.list_workers(entry("w1", born_ms=2), entry("w2"))
    successor.ready_only("w2")
    successor.shard.load(job(steps=ONE_TASK), Progress(), 1)
    while successor.now < worker_until_ms:
        assert successor.schedule() == []
        successor.now += 100
        successor.shard.tick(successor.now)
        successor.poll("w2")


def test_successor_waits_for_an_incarnation_that_the_roster_does_not_name():
    """Guards against a second run: a start of the earlier owner reached the next
    incarnation of its worker before the roster named it, and the successor takes that
    incarnation for one without runs although it has not answered yet.
    """
    rig = Rig(epoch=2, workers=())
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.shard.add_inherited_worker(entry("w1", born_ms=1), rig.now)
    rig.list_workers(entry("w1", born_ms=2), entry("w2"))
    rig.ready_only("w2")
    rig.shard.load(job(steps=ONE_TASK), Progress(), 1)
    assert rig.schedule() == []


def test_row_of_a_limit_is_kept_while_runs_of_the_earlier_owner_may_go_on():
    """Guards against a team above its limit: the new owner lowers its row, since its
    workers that have answered have no room, while one out of reach still runs tasks.
    """

    async def main():
        rig = Rig(epoch=2, workers=())
        clock = TrioClock()
        rig.now = clock.now_ms
        rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
        # Out of reach, with four of the team's tasks, all that its limit allows.
        rig.shard.add_inherited_worker(entry("w1"), rig.now)
        rig.list_workers(entry("w1"), entry("w2", free=Resources(500, 8000)))
        rig.record_all()
        steps = (StepSpec(4, Resources(1000, 100), 9_000),)
        rig.shard.load(job(steps=steps), Progress(), 1)
        rig.shard.team_limits.set_configuration(limited())
        store = StoreWithConditions()
        store.put(owner_key(SERVICE), b"me")
        ownership = Ownership(SERVICE, 2, store.revision, 1, 6_500)
        key = limit_key("bakers")
        store.put(key, encode_split({SERVICE: LIMIT}))
        updater = TeamLimitUpdater(
            rig.shard,
            ownership,
            store,
            clock,
            lambda: FAR_MS * 1_000,
            lambda service: True,
            lambda: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(updater.run)
            for _ in range(30):
                await trio.sleep(0.1)
                rig.now = clock.now_ms
                rig.poll("w2")
                rig.shard.tick(rig.now)
                assert rig.shard.workers["w1"].is_unverified
                row = decode_split(store.items[key].value)[SERVICE]
                assert row.cpu >= LIMIT.cpu
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


async def _ok(scope, receive, send):
    await send_response(send, 200, b"ok", "text/plain")


def _run_server(application, check):
    async def main():
        address = f"127.0.0.1:{free_port()}"
        server = HttpServer(application, [address])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            await trio.sleep(0.05)
            with trio.fail_after(10):
                await check(server, address)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _connect(address):
    host, _, port = address.partition(":")
    return await trio.open_tcp_stream(host, int(port))


async def _read_all(stream):
    data = b""
    try:
        while chunk := await stream.receive_some(65_536):
            data += chunk
    except trio.BrokenResourceError:
        pass
    return data


@pytest.mark.parametrize("is_new", [False, True])
def test_request_that_waits_in_the_socket_is_answered_by_a_server_that_stops(is_new):
    """Guards against a request that is cut by a stop: it arrived while the event loop
    was busy, longer ago than a cut is excused.
    """

    async def check(server, address):
        host, _, port = address.partition(":")
        if is_new:
            client = socket.create_connection((host, int(port)))
            client.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(client))
        else:
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(GET)
            assert await stream.receive_some(65_536)
            client = socket.socket(fileno=os.dup(stream.socket.fileno()))
        # From here to the stop the event loop serves nothing.
        client.send(GET)
        time.sleep(0.3)
        server.stop()
        assert (await _read_all(stream)).startswith(b"HTTP/1.1 200")

    _run_server(_ok, check)


def test_second_request_of_a_pipeline_is_answered():
    """Guards against a request that was read together with the one before and is
    dropped, since the answer to that one closes the connection.
    """

    async def closing(scope, receive, send):
        await send_response(send, 200, b"ok", "text/plain", {"connection": "close"})

    async def check(server, address):
        stream = await _connect(address)
        await stream.send_all(GET + GET)
        assert (await _read_all(stream)).count(b"HTTP/1.1 200") == 2

    _run_server(closing, check)


def test_owner_that_fails_resigns():
    """Guards against a shard that stays with an instance in which it fails: the
    resignation is cancelled together with the owner.
    """

    async def check(rig):
        instance = object.__new__(Instance)
        instance._election = rig.election
        instance._metrics = SimpleNamespace(count=lambda name: None)
        instance._log = SimpleNamespace(exception=lambda *args, **fields: None)

        async def fail():
            await trio.sleep(1)
            raise RuntimeError("unexpected")

        async def run_shard(ownership):
            await instance._run_isolated(ownership, fail)

        rig.election._run_shard = run_shard
        removed = set()
        write = rig.store.write

        async def record(writes):
            # A call to the store takes a while.
            await trio.sleep(0.005)
            removed.update(each.key for each in writes if each.value is None)
            return await write(writes)

        rig.store.write = record
        await rig.advance(1_500)
        assert owner_key("s1") in removed

    run_election(check)


def test_submission_with_an_unknown_write_is_not_refused_when_ownership_is_lost():
    """Guards against a job that runs although its caller was told that it never will:
    its first write got no answer, the next one shows another owner, and then the store
    fails.
    """

    class Store:
        is_down = False

        def __init__(self):
            self.outcomes = [Unknown("timeout"), Conflict(())]

        async def write(self, writes, timeout_ms=0):
            return self.outcomes.pop(0) if self.outcomes else Unavailable("busy")

        async def read_key(self, key, timeout_ms=0):
            raise StoreError("busy")

    async def main():
        rig = Rig().ready()
        store, clock = Store(), TrioClock()
        submissions = Submissions(
            rig.shard,
            Ownership(SERVICE, 1, 5, 1, 6_500),
            store,
            Demand(rig.shard),
            clock,
            Metrics("me"),
            lambda job: None,
        )
        ready = trio.Event()
        ready.set()
        owner = SimpleNamespace(submit=submissions.submit, ready=ready)
        view = SimpleNamespace(
            owner=lambda service: None,
            members=lambda: (),
            shard_item=lambda service: None,
        )
        router = JobRouter("me", {SERVICE: owner}, view, store, None, clock)
        outcome = await router.submit(job(), clock.now_ms + 3_000)
        assert outcome.result is SubmitResult.UNKNOWN

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_worker_whose_ends_are_withheld_is_not_polled_without_a_pause():
    """Guards against an owner that spends its processor on polls: while a start has no
    answer no end is acknowledged, and the worker answers each poll at once.
    """

    class Client:
        n_polls = 0

        async def poll(self, address, worker_id, token, last_seen, deadline, wait_ms):
            self.n_polls += 1
            await trio.sleep(0.003 if last_seen < 1 else wait_ms / 1_000)
            ends = (ended(1, done),) if last_seen < 1 else ()
            return PollResponse(50_000 + clock.now_ms, 1, (), ends)

        async def close_connections(self, address):
            pass

    clock = TrioClock()
    rig = Rig(workers=("w1",))
    done = SimpleNamespace(name=task(0), run_id=1)

    async def main():
        rig.now = clock.now_ms
        rig.list_workers(entry("w1"))
        rig.ready()
        rig.poll(ends=(ended(1, done),))
        worker = rig.shard.workers["w1"]
        worker.acknowledged = worker.last_applied
        rig.submit(job(steps=ONE_TASK))
        assert len(rig.schedule()) == 1
        client = Client()
        loops = PollLoops(
            rig.shard,
            Ownership(SERVICE, 1, 5, 1, 6_500),
            client,
            SimpleNamespace(entries=lambda: (entry("w1"),)),
            clock,
            lambda: FAR_MS * 1_000,
            lambda effects: None,
            lambda: None,
            lambda: False,
            1_000,
        )
        async with trio.open_nursery() as nursery:
            loops.start(nursery)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        assert client.n_polls <= 20

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_raise_of_a_limit_whose_answer_is_lost_takes_effect():
    """Guards against a task that waits for good within its team's limit: the raise for
    it was stored and its answer lost, so that the row needs no change any more.
    """

    class Store(StoreWithConditions):
        """Carries out one write and loses its answer."""

        loses_answer = False

        async def write(self, writes, timeout_ms=0):
            outcome = await super().write(writes)
            if isinstance(outcome, Stored) and self.loses_answer:
                self.loses_answer = False
                return Unknown("timeout")
            return outcome

    async def main():
        clock = TrioClock()
        rig = Rig()
        rig.now = clock.now_ms
        rig.list_workers(entry("w1"))
        rig.ready()
        rig.shard.team_limits.set_configuration(limited())
        store = Store()
        store.put(owner_key(SERVICE), b"me")
        ownership = Ownership(SERVICE, 1, store.revision, 1, 6_500)
        updater = TeamLimitUpdater(
            rig.shard,
            ownership,
            store,
            clock,
            lambda: FAR_MS * 1_000,
            lambda service: True,
            lambda: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(updater.run)
            await trio.sleep(1)
            store.loses_answer = True
            rig.submit(job(steps=(StepSpec(1, Resources(2000, 100), 9_000),)))
            for _ in range(50):
                rig.now = clock.now_ms
                rig.poll()
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert not store.loses_answer
        assert len(rig.schedule()) == 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_lowering_of_a_limit_that_is_not_stored_is_no_end_of_it():
    """Guards against a task that waits for good within its team's limit: the lower row
    after the last task was not stored, so that the next one needs no other row.
    """

    class Store(StoreWithConditions):
        """Rejects one write."""

        is_busy = False

        async def write(self, writes, timeout_ms=0):
            if self.is_busy:
                self.is_busy = False
                return Unavailable("busy")
            return await super().write(writes)

    async def main():
        clock = TrioClock()
        rig = Rig()
        rig.now = clock.now_ms
        rig.list_workers(entry("w1"))
        rig.ready()
        steps = (StepSpec(1, Resources(2000, 100), 9_000),)
        rig.submit(job("a" * 16, steps=steps))
        rig.shard.team_limits.set_configuration(limited())
        store = Store()
        store.put(owner_key(SERVICE), b"me")
        ownership = Ownership(SERVICE, 1, store.revision, 1, 6_500)
        updater = TeamLimitUpdater(
            rig.shard,
            ownership,
            store,
            clock,
            lambda: FAR_MS * 1_000,
            lambda service: True,
            lambda: None,
        )

        async def play(span_ms):
            for _ in range(span_ms // 100):
                await trio.sleep(0.1)
                rig.now = clock.now_ms
                rig.poll()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(updater.run)
            await play(1_000)
            rig.shard.cancel("a" * 16, 0, rig.now)
            store.is_busy = True
            while store.is_busy:
                await play(100)
            rig.submit(job("b" * 16, steps=steps))
            await play(5_000)
            nursery.cancel_scope.cancel()
        assert len(rig.schedule()) == 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_lease_is_not_revoked_while_the_key_of_a_failed_owner_is_there():
    """Guards against a second run: the owner of a shard has failed, its instance stops,
    and the end of its lease removes the owner key but not the mark, as if the lease had
    expired.
    """

    async def check(rig):
        owned = {}

        async def run_shard(ownership):
            owned[ownership.shard] = ownership
            await trio.sleep_forever()

        rig.election._run_shard = run_shard
        await rig.advance(500)
        rig.election.step_down(owned["s1"], "it failed")
        writes = rig.record_writes()
        await rig.election.leave()
        removed = {each.key for txn in writes for each in txn if each.value is None}
        assert tenure_key("s1") in removed or "revoked" not in rig.lease.ended

    run_election(check)
