"""How long a new owner waits for workers that earlier owners used."""

import pytest
import trio
import trio.testing

from apricotgap.clock import FakeClock
from apricotgap.instance.keys import tenure_key
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.tenure import TenureMark, inherited_lease_ms, new_mark
from apricotgap.jobs.documents import Progress
from apricotgap.jobs.limits import WORKER_LEASE_TAIL_MS
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import Conflict, Item, Stored, Unavailable
from tests.jobs_harness import SERVICE, Rig, entry, job

TTL_MS = 3_000
KEY = tenure_key(SERVICE)
LONG_RUNNING = (StepSpec(1, Resources(1000, 100), 3_000, is_long_running=True),)
# A long-running task may be away for 6 s after its last run, and 3 s more.
AWAY_LIMIT_MS = 9_000


def mark(epoch):
    return Item(KEY, str(epoch).encode(), 7)


NO_MARK = Item(KEY, None, 0)


def test_leases_of_an_owner_whose_own_lease_ended_last_no_longer_than_the_tail():
    """Guards against a takeover that waits for leases that nobody can have given."""
    span_ms = inherited_lease_ms(4, mark(4), None, TTL_MS)
    assert WORKER_LEASE_TAIL_MS < span_ms < WORKER_LEASE_TAIL_MS + 1_000


@pytest.mark.parametrize(
    ("found", "predecessor_gone_ms"),
    [
        (NO_MARK, None),  # Given up, or never settled.
        (mark(3), None),  # Of an owner before the last one.
        (mark(4), 0),  # An earlier process of this instance, just killed.
        (Item(KEY, b"\xff", 7), None),
        (Item(KEY, b"4 x", 7), None),
        (Item(KEY, b"3 100", 7), None),
        # Of another writer: too long for a number, and longer than any lease.
        (Item(KEY, b"4 " + b"9" * 5_000, 7), None),
        (Item(KEY, b"4 99999999", 7), None),
        (Item(KEY, b"4 100", 7), 0),
    ],
)
def test_leases_of_an_owner_that_may_have_had_a_valid_lease_last_longer(
    found, predecessor_gone_ms
):
    """Guards against a second run beside one behind a cut, whose owner gave it a lease
    just before it gave the shard up.
    """
    span_ms = inherited_lease_ms(4, found, predecessor_gone_ms, TTL_MS)
    assert span_ms == TTL_MS + WORKER_LEASE_TAIL_MS


@pytest.mark.parametrize(("left_ms", "earlier_ms"), [(3_000, 3_500), (200, 6_300)])
def test_leases_before_a_short_tenure_are_waited_for_as_far_as_it_did_not(
    left_ms, earlier_ms
):
    """Guards against a wait that begins anew with each owner that is lost while it
    waits itself, and against one that ends before the leases of still earlier owners.
    """
    longest_ms = TTL_MS + WORKER_LEASE_TAIL_MS
    found = Item(KEY, new_mark(4, longest_ms, left_ms), 7)
    span_ms = inherited_lease_ms(4, found, None, TTL_MS)
    assert earlier_ms < span_ms < earlier_ms + 1_000


def test_first_owner_has_no_leases_of_earlier_owners_to_wait_for():
    """Guards against a successor of the first owner that waits for what never was."""
    found = Item(KEY, new_mark(1, TTL_MS + WORKER_LEASE_TAIL_MS, 0), 7)
    span_ms = inherited_lease_ms(1, found, None, TTL_MS)
    assert span_ms < WORKER_LEASE_TAIL_MS + 1_000


def test_leases_of_a_predecessor_that_has_long_been_gone_have_ended():
    """Guards against a wait that begins with the claim of a process that could not
    claim the shard before, as the store was down ever since its start.
    """
    longest_ms = TTL_MS + WORKER_LEASE_TAIL_MS
    spans_ms = [
        inherited_lease_ms(4, NO_MARK, gone_ms, TTL_MS)
        for gone_ms in (0, 2_000, 12_000)
    ]
    assert spans_ms[0] == longest_ms
    # It counts all of that time on the slow clock of a worker.
    assert longest_ms - 2_000 < spans_ms[1] < longest_ms - 1_900
    assert spans_ms[2] < 1_000


def test_time_since_the_predecessor_ended_counts_in_full_for_short_leases():
    """Guards against a successor that waits as long as if its predecessor had just
    ended, since the longest lease of the workers is shorter than that of the owner.
    """
    max_lease_ms = TTL_MS + WORKER_LEASE_TAIL_MS - 500
    spans_ms = [
        inherited_lease_ms(4, NO_MARK, gone_ms, TTL_MS, max_lease_ms)
        for gone_ms in (0, 2_000)
    ]
    assert spans_ms[0] == max_lease_ms
    # It counts all of that time on the slow clock of a worker.
    assert max_lease_ms - 2_000 < spans_ms[1] < max_lease_ms - 1_900


def test_task_of_a_worker_that_is_lost_with_its_owner_is_back_in_time():
    """Guards against earlier jobs that wait for the longest lease of all, 10 s on some
    deployments, because one worker of the roster is gone.
    """
    rig = Rig(epoch=2)
    rig.shard = Shard(SERVICE, 2, 10_000, inherited_lease_ms=WORKER_LEASE_TAIL_MS + 500)
    rig.shard.config = rig.scheduler._shard.config
    rig.scheduler._shard = rig.shard
    # The owner's lease ends 3 s after its loss, and another instance claims the shard.
    lost_ms = rig.now
    rig.now += TTL_MS + 500
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.shard.add_inherited_worker(entry("w9"), rig.now, is_settled=True)
    rig.list_workers(entry("w1"))
    rig.ready_only("w1")
    rig.shard.load(job(steps=LONG_RUNNING), Progress(), 1)
    assert rig.schedule() == []
    while not rig.schedule():
        rig.now += 100
        assert rig.now - lost_ms < AWAY_LIMIT_MS
        rig.shard.tick(rig.now)
        rig.poll("w1")


class Store:
    """Gives the outcomes that it was told, then stores."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.written = []

    async def write(self, writes):
        if self.outcomes:
            return self.outcomes.pop(0)
        self.written.append(writes)
        return Stored(9)


def play_mark(store, span_ms):
    """Run the mark of a tenure for a while."""
    clock = FakeClock(100_000)
    ownership = Ownership(SERVICE, 4, 8, 1, TTL_MS + WORKER_LEASE_TAIL_MS)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(TenureMark(ownership, store, clock).run)
            for _ in range(span_ms // 100):
                clock.advance(100)
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_tenure_is_marked_once_the_leases_before_it_have_ended():
    """Guards against a mark that lets the next owner ignore the leases of the owner
    before the last one.
    """
    store = Store(Unavailable("busy"))
    play_mark(store, TTL_MS + WORKER_LEASE_TAIL_MS)
    assert store.written == []
    play_mark(store, 10_000)
    ((condition, write),) = store.written
    assert condition.check_only
    assert condition.expected_revision == 8
    assert (write.key, write.value) == (KEY, b"4")


def test_tenure_that_has_ended_is_not_marked():
    """Guards against an owner that marks a shard that another one has."""
    store = Store(Conflict(()))
    with pytest.RaisesGroup(OwnershipLostError):
        play_mark(store, 10_000)
