"""Waits of a successor for the leases of the workers that it takes over."""

import pytest
import trio
import trio.testing

from apricotgap.clock import FakeClock
from apricotgap.instance.election import Election
from apricotgap.instance.keys import (
    Member,
    Owner,
    encode_owner,
    epoch_key,
    owner_key,
    tenure_key,
)
from apricotgap.instance.tenure import inherited_lease_ms
from apricotgap.jobs.documents import Progress
from apricotgap.jobs.events import PollFailed, StartAnswered, StartResult
from apricotgap.jobs.limits import WORKER_LEASE_TAIL_MS
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import Item
from tests.conditional_store import ValueStore
from tests.election_harness import EndlessLease, TwoShardView
from tests.jobs_harness import SERVICE, Rig, entry, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

TTL_MS = 3_000
ONE_TASK = (StepSpec(1, Resources(1000, 100), 800),)


def inherited_ms():
    """Return the wait of a successor of a marked owner whose key went."""
    mark = Item(tenure_key(SERVICE), b"1", 7)
    return inherited_lease_ms(1, mark, None, TTL_MS)


def test_mark_that_its_owner_removes_beside_a_claim_shortens_no_wait():
    """Guards against a second run: the claim is decided by a mark that was read while
    its owner held the shard; the owner then gives the shard up with a valid lease, and
    its workers' leases outlast the wait.
    """
    claimed = []
    clock = FakeClock(100_000)
    store = ValueStore()
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


def test_time_that_a_process_takes_to_start_counts_as_time_without_predecessor():
    """Guards against a wait that begins only once a slow machine has started its
    process: the earlier process of the same instance ended before that.
    """
    claimed = []
    clock = FakeClock(100_000)
    store = ValueStore()
    view = TwoShardView(store, FakeClock())
    earlier = Owner("me", "2-i0", "10.0.0.1:1", 4)
    store.put(owner_key("s1"), encode_owner(earlier))
    view.apply(Item(owner_key("s1"), encode_owner(earlier), 1))

    async def run_shard(ownership):
        claimed.append(ownership)
        await trio.sleep_forever()

    async def main():
        me = Member("me", "2-i1", "10.0.0.1:1", "a", 1_000)
        election = Election(
            me,
            store,
            EndlessLease(),
            view,
            clock,
            run_shard,
            lambda shard: True,
            max_lease_ms=6_000,
            started_ms=98_000,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(election.run)
            for _ in range(5):
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
    (ownership,) = [each for each in claimed if each.shard == "s1"]
    assert 4_000 < ownership.inherited_lease_ms < 4_100


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


def takeover_of_a_lost_worker(*entries):
    """Return a successor that finds a job, `w1` in the roster and these entries."""
    rig = Rig(epoch=2, workers=())
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.shard.add_inherited_worker(entry("w1", machine="m1"), rig.now, True)
    rig.list_workers(entry("w2"), *entries)
    rig.ready_only("w2")
    rig.shard.load(job(steps=ONE_TASK), Progress(), 1)
    return rig


def test_successor_does_not_wait_for_a_worker_whose_machine_was_moved():
    """Guards against work that is away until the end of a lease that no worker holds:
    machines were moved to another pool just before the owner was lost, and its
    successor waits for all jobs as if the workers that ran there were out of reach.
    """
    moved = entry("w3", born_ms=2, machine="m1", service="spare")
    rig = takeover_of_a_lost_worker(moved)
    assert [start.worker_id for start in rig.schedule()] == ["w2"]
    assert "w1" not in rig.shard.workers


def test_successor_does_not_wait_for_a_worker_that_was_replaced_in_its_pool():
    """Guards against the same wait after maintenance: the next worker of the machine
    has another id.
    """
    rig = takeover_of_a_lost_worker(entry("w3", born_ms=2, machine="m1"))
    assert [start.worker_id for start in rig.schedule()] == ["w2"]
    assert "w1" not in rig.shard.workers


def test_entry_that_proves_no_later_worker_on_the_machine_ends_no_wait():
    """Guards against a second run beside one on a worker that is only out of reach: the
    entry is of an earlier worker, of none that the configuration names, of another
    machine, or without one.
    """
    for other in (
        entry("w3", born_ms=0, machine="m1", service="spare"),
        entry("w3", born_ms=1, machine="m1", service="spare"),
        entry("w3", born_ms=2, machine="m1", service="unnamed"),
        entry("w3", born_ms=2, machine="m3", service="spare"),
        entry("w3", born_ms=2, machine="", service="spare"),
    ):
        rig = takeover_of_a_lost_worker(other)
        assert rig.schedule() == []
        assert rig.shard.workers["w1"].is_unverified


def test_task_of_a_moved_worker_starts_elsewhere_at_once():
    """Guards against a task that waits for the lease of a worker that its machine no
    longer runs: the answer to the order to move it was lost, and no report names it.
    """
    rig = Rig(workers=("w1",)).ready()
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(running=[running(start)])
    rig.shard.step(PollFailed(rig.now, "w1", 1, "refused"))
    moved = entry("w3", born_ms=2, machine="mw1", service="spare")
    rig.list_workers(entry("w1"), entry("w2"), moved)
    rig.ready_only("w2")
    assert [each.worker_id for each in rig.schedule()] == ["w2"]
    # A moved machine is no crash of its worker.
    assert not rig.shard.jobs["j" * 16].n_crashes
    # Its entry is still listed for a while.
    rig.list_workers(entry("w1"), entry("w2"), moved)
    assert "w1" not in rig.shard.workers


def test_successor_waits_for_an_id_that_another_machine_runs_by_now():
    """Guards against a second run: the machine of the worker runs a later one, but its
    id lives on elsewhere, and a start of the previous owner that was under way names
    the id only.
    """
    later = entry("w3", born_ms=2, machine="m1", service="spare")
    for service in (SERVICE, "spare"):
        again = entry("w1", born_ms=3, machine="m2", service=service)
        rig = takeover_of_a_lost_worker(later, again)
        assert rig.schedule() == []
        assert rig.shard.workers["w1"].is_unverified


def test_worker_that_answers_is_not_ended_by_an_entry_of_its_machine():
    """Guards against a second run: the clock of a machine was set back between two of
    its workers, and the entry of the earlier one is still listed with a later start.
    """
    rig = Rig(workers=("w1",)).ready()
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(running=[running(start)])
    earlier = entry("w3", born_ms=5, machine="mw1", service="spare")
    rig.list_workers(entry("w1"), entry("w2"), earlier)
    rig.ready_only("w2")
    assert rig.schedule() == []
    # It ends once it answers no more.
    rig.shard.step(PollFailed(rig.now, "w1", 1, "refused"))
    rig.shard.tick(rig.now)
    assert [each.worker_id for each in rig.schedule()] == ["w2"]
