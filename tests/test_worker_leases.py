"""Leases of workers around an outage of the store."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.events import PollAnswered, PollFailed
from apricotgap.jobs.limits import WORKER_LEASE_TAIL_MS
from apricotgap.jobs.model import Resources, StepSpec
from tests.jobs_harness import FAR_MS, MAX_LEASE_MS, Rig, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

ONE_TASK = (StepSpec(1, Resources(1000, 100), 3_000),)


class OutageRig(Rig):
    """A shard whose owner can renew its lease only now and then."""

    def __init__(self, workers=("w1", "w2")):
        super().__init__(workers=workers)
        self.ready()
        self.lease_until_ms = self.now + 3_000

    def send_poll(self, worker_id):
        """Send a poll to a worker; returns when it was sent."""
        worker = self.shard.workers[worker_id]
        self.shard.offer_lease(worker, self.now, self.lease_until_ms)
        return self.now

    def answer_poll(self, worker_id, sent_ms, *runs):
        """Apply the answer of a worker that lists these runs."""
        listed = tuple(running(run) for run in runs)
        self.shard.step(
            PollAnswered(
                self.now, worker_id, 1, 1, sent_ms, 50_000 + self.now, listed, ()
            )
        )

    def last_through_outage(self, left_ms):
        """Poll until the leases of the workers are about to end; send one poll more."""
        self.now = self.lease_until_ms + WORKER_LEASE_TAIL_MS - 1_000
        for worker_id in self.shard.workers:
            self.answer_poll(worker_id, self.send_poll(worker_id))
        self.now = self.lease_until_ms + WORKER_LEASE_TAIL_MS - left_ms
        for worker_id in self.shard.workers:
            self.send_poll(worker_id)
        return self.now


def test_task_started_as_the_store_is_back_is_not_started_twice():
    """Guards against a second run while a start has extended the lease of its worker
    beyond what the last poll before the end of an outage offered.
    """
    rig = OutageRig()
    rig.submit(job(steps=ONE_TASK))
    sent_ms = rig.last_through_outage(left_ms=200)
    rig.now += 150
    rig.lease_until_ms = rig.now + 3_000
    (start,) = rig.schedule(rig.lease_until_ms)
    rig.answer(start)
    other = "w2" if start.worker_id == "w1" else "w1"
    for _ in range(8):
        rig.now += 100
        rig.shard.tick(rig.now)
        rig.answer_poll(other, rig.send_poll(other))
        assert rig.schedule(rig.lease_until_ms) == []
    rig.answer_poll(start.worker_id, sent_ms, start)
    assert rig.schedule(rig.lease_until_ms) == []


def test_start_window_that_a_worker_spends_out_of_reach_ends():
    """Guards against a task that waits for a worker that fell silent at its start."""
    rig = OutageRig()
    rig.submit(job(steps=ONE_TASK))
    rig.last_through_outage(left_ms=200)
    rig.lease_until_ms = rig.now + 3_000
    (start,) = rig.schedule(rig.lease_until_ms)
    rig.answer(start)
    rig.now += 2 * limits.START_WINDOW_MS
    rig.lease_until_ms = rig.now + 3_000
    rig.shard.tick(rig.now)
    assert rig.shard.workers[start.worker_id].runs == {}


def test_poll_with_a_short_lease_is_answered_soon():
    """Guards against a worker whose lease ends while a long poll holds back its next
    one, although the owner can renew it.
    """
    rig = OutageRig()
    for left_ms in (2_500, 1_500, 600):
        rig.last_through_outage(left_ms)
        for worker in rig.shard.workers.values():
            assert rig.shard.poll_wait_ms(worker, rig.now) <= left_ms / 2


def test_poll_without_a_lease_still_waits():
    """Guards against polls without a pause while the owner may offer no lease."""
    rig = OutageRig()
    rig.now = rig.lease_until_ms + WORKER_LEASE_TAIL_MS + 1
    for worker in rig.shard.workers.values():
        assert rig.shard.offer_lease(worker, rig.now, rig.lease_until_ms) == 0
        assert rig.shard.poll_wait_ms(worker, rig.now) >= 100


def test_poll_with_a_full_lease_waits_for_an_end():
    """Guards against short polls while the store is up."""
    rig = OutageRig()
    for worker in rig.shard.workers.values():
        rig.send_poll(worker.worker_id)
        assert worker.offered_until_ms > rig.now + MAX_LEASE_MS - 1_000
        assert rig.shard.poll_wait_ms(worker, rig.now) == limits.POLL_WAIT_MS


def test_worker_is_polled_soon_while_a_long_running_task_starts_up():
    """Guards against a wave that misses its end: the next task of a step moves only
    once this one is known to be at work.
    """
    rig = Rig(workers=("w1",)).ready()
    rig.shard.reported_ms = rig.now
    long_running = StepSpec(1, Resources(1000, 100), 800, is_long_running=True)
    rig.submit(job(steps=(long_running,)))
    (start,) = rig.schedule()
    rig.answer(start)
    worker = rig.shard.workers["w1"]

    def wait_ms(percent):
        rig.now += limits.START_UP_MS
        rig.poll(running=(running(start, percent),))
        rig.shard.offer_lease(worker, rig.now, rig.now + 3_000)
        return rig.shard.poll_wait_ms(worker, rig.now)

    assert wait_ms(50) <= limits.STARTING_POLL_WAIT_MS
    assert wait_ms(100) == limits.POLL_WAIT_MS


def test_lease_of_a_worker_that_hangs_ends():
    """Guards against tasks that wait for ever since their worker takes each poll, and
    a lease with it, but hangs and answers none.
    """
    rig = Rig(workers=("w1", "w2"))
    rig.ready_only("w1")
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.answer(start)
    began_ms = rig.now
    most_ms = MAX_LEASE_MS + 1_000
    while rig.shard.workers["w1"].runs:
        assert rig.now - began_ms <= most_ms
        worker = rig.shard.workers["w1"]
        rig.shard.offer_lease(worker, rig.now, rig.now + 3_000)
        rig.now += 500
        rig.shard.step(PollFailed(rig.now, "w1", 1, "timeout", was_sent=True))
        rig.shard.tick(rig.now)
    rig.poll("w2")
    (again,) = rig.schedule()
    assert (again.worker_id, again.name) == ("w2", start.name)


def test_one_unsent_poll_does_not_extend_the_lease():
    """Guards against a task that is away for a lease too long: its worker was lost, and
    a poll that never left counts as its last renewal.
    """
    rig = Rig().ready()
    worker = rig.shard.workers["w1"]
    rig.poll()
    before_ms = worker.lease_until_ms
    rig.now += 1_000
    assert rig.shard.offer_lease(worker, rig.now, FAR_MS)
    failed = PollFailed(rig.now, "w1", 1, "no connection", was_sent=False)
    rig.shard.step(failed)
    assert worker.lease_until_ms == before_ms


def test_one_poll_without_an_answer_may_have_extended_the_lease():
    """Guards against a task that runs twice: the worker has taken the poll."""
    rig = Rig().ready()
    worker = rig.shard.workers["w1"]
    rig.poll()
    rig.now += 1_000
    rig.shard.offer_lease(worker, rig.now, FAR_MS)
    rig.shard.step(PollFailed(rig.now, "w1", 1, "timeout"))
    assert worker.lease_until_ms == worker.lease_bound_ms(rig.now, MAX_LEASE_MS)
