"""Incarnations of a worker under one id: what belongs to which of them."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.effects import StopRun
from apricotgap.jobs.events import (
    PollFailed,
    StartAnswered,
    StartResult,
    StopAnswered,
)
from apricotgap.jobs.fleet_orders import ENDED_REPORT_MS
from apricotgap.jobs.model import JobPhase, Resources, StepSpec
from tests.jobs_harness import MAX_LEASE_MS, Rig, ended, entry, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

ONE_TASK = (StepSpec(1, Resources(1000, 100), 800),)
# Lists of workers have births; the first incarnation of each was born at 1.
NEXT_BORN_MS = 2


class IncarnationsRig(Rig):
    """Two workers, of which only the first may run the job's task."""

    def __init__(self):
        super().__init__(workers=("w1", "w2"))
        self.ready()
        self.state = self.submit(job(steps=ONE_TASK))

    def start_one(self):
        """Start the task; returns the start and the worker that doesn't have it."""
        (start,) = self.schedule()
        return start, "w2" if start.worker_id == "w1" else "w1"

    def list_next(self, worker_id):
        """List the next incarnation of a worker."""
        born_ms = {worker_id: NEXT_BORN_MS}
        self.list_workers(*(entry(w, born_ms=born_ms.get(w, 1)) for w in ("w1", "w2")))

    def is_started_again(self, other):
        """Whether the task starts on the other worker, which has answered just now."""
        self.poll(other)
        self.save()
        return bool(self.schedule())


def test_late_answer_of_the_last_incarnation_ends_nothing():
    """Guards against runs that are dropped, and started elsewhere, since a worker's
    answer from before its restart comes in late.
    """
    rig = IncarnationsRig()
    for worker_id in ("w1", "w2"):
        rig.list_workers(*(entry(w, born_ms=NEXT_BORN_MS) for w in ("w1", "w2")))
        rig.poll(worker_id, born_ms=NEXT_BORN_MS)
    rig.record_all()
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, born_ms=1, polled=1)
    rig.poll(start.worker_id, born_ms=1)
    worker = rig.shard.workers[start.worker_id]
    assert worker.entry.born_ms == NEXT_BORN_MS
    assert list(worker.runs) == [(start.name, start.run_id)]
    rig.now += 10
    rig.poll(start.worker_id, [running(start)], born_ms=NEXT_BORN_MS)
    assert worker.accepts(rig.now)
    assert rig.schedule() == []


@pytest.mark.parametrize("polled", [1, NEXT_BORN_MS])
def test_list_of_the_last_incarnation_disproves_no_run_of_the_next(polled):
    """Guards against a run that is started twice: the answer to a poll comes from the
    incarnation before, long after the run has started in the present one.
    """
    rig = IncarnationsRig()
    for worker_id in ("w1", "w2"):
        rig.list_workers(*(entry(w, born_ms=NEXT_BORN_MS) for w in ("w1", "w2")))
        rig.poll(worker_id, born_ms=NEXT_BORN_MS)
    rig.record_all()
    (start,) = rig.schedule()
    rig.answer(start)
    rig.now += 2 * limits.START_WINDOW_MS
    rig.poll(start.worker_id, [running(start)], born_ms=NEXT_BORN_MS)
    rig.now += limits.START_WINDOW_MS
    rig.poll(start.worker_id, born_ms=1, polled=polled)
    worker = rig.shard.workers[start.worker_id]
    assert list(worker.runs) == [(start.name, start.run_id)]


@pytest.mark.parametrize("is_answered", [False, True])
def test_start_that_reached_the_next_incarnation_is_found_in_its_list(is_answered):
    """Guards against a second run of a task whose start was meant for a worker that had
    just restarted: a start names the id only.
    """
    rig = IncarnationsRig()
    start, other = rig.start_one()
    rig.now += 5
    if is_answered:
        rig.answer(start)
    rig.now += 5
    # The list of the next incarnation comes before the entry that tells of it.
    rig.poll(start.worker_id, [running(start)], born_ms=NEXT_BORN_MS, polled=1)
    assert not rig.is_started_again(other)
    rig.now += 100
    rig.list_next(start.worker_id)
    assert not rig.is_started_again(other)
    done = [ended(1, start)]
    rig.poll(start.worker_id, ends=done, born_ms=NEXT_BORN_MS)
    rig.save()
    assert rig.state.progress.phase is JobPhase.SUCCEEDED


def test_unanswered_start_may_have_reached_the_incarnation_that_is_listed():
    """Guards against a second run before the next incarnation has been polled."""
    rig = IncarnationsRig()
    start, other = rig.start_one()
    rig.now += 5
    rig.list_next(start.worker_id)
    assert not rig.is_started_again(other)
    rig.now += limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS + 1
    rig.poll(start.worker_id, born_ms=NEXT_BORN_MS)
    assert rig.is_started_again(other)


def test_start_without_an_answer_is_stopped_in_the_next_incarnation():
    """Guards against a second run of a task: the start arrives seconds late in the next
    incarnation, whose clock its window does not bind, after it started elsewhere.
    """
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    rig.now += 5
    rig.list_next(start.worker_id)
    rig.now += 500
    stops = [
        effect for effect in rig.answer(start, "unknown") if isinstance(effect, StopRun)
    ]
    assert [(stop.run_id, stop.born_ms) for stop in stops] == [
        (start.run_id, NEXT_BORN_MS)
    ]


def test_start_confirmed_by_the_next_incarnations_clock_is_not_lost():
    """Guards against a second run of a task that the next incarnation confirmed: its
    clock starts anew, so that it is behind the clock by which the start was sent.
    """
    rig = IncarnationsRig()
    start, other = rig.start_one()
    rig.now += 5
    result = StartResult("ok", clock_ms=40)
    rig.shard.step(
        StartAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, result)
    )
    assert not rig.shard.workers[start.worker_id].accepts(rig.now)
    rig.now += 5
    rig.list_next(start.worker_id)
    assert not rig.is_started_again(other)
    rig.now += 5
    rig.poll(start.worker_id, [running(start)], born_ms=NEXT_BORN_MS)
    assert not rig.is_started_again(other)


@pytest.mark.parametrize("is_end_listed", [True, False])
def test_crash_is_not_charged_to_a_run_of_the_next_incarnation(is_end_listed):
    """Guards against a job that fails although no worker crashed under it: its run
    began and ended in the next incarnation before that was polled.
    """
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    rig.now += 5
    result = StartResult("ok", clock_ms=40)
    rig.shard.step(
        StartAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, result)
    )
    rig.now += 300
    ends = [ended(1, start)] if is_end_listed else []
    rig.poll(start.worker_id, ends=ends, born_ms=NEXT_BORN_MS, polled=1)
    assert rig.state.record(start.name).crash_points == 0
    expected = JobPhase.SUCCEEDED if is_end_listed else JobPhase.RUNNING
    assert rig.state.progress.phase is expected


def test_crash_long_after_a_start_is_not_one_at_the_start():
    """Guards against a job that fails since a worker crashed twice under it because of
    another task: no list had shown that it was over its start.
    """
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    rig.answer(start)
    rig.now += limits.CRASH_SIGN_MS + 50
    rig.poll(start.worker_id, born_ms=NEXT_BORN_MS, polled=1)
    assert rig.state.record(start.name).crash_points == 1


def test_start_confirmed_by_the_incarnation_after_the_next_is_not_lost():
    """Guards against a second run where a worker restarts twice within one poll: the
    list that tells of the next incarnation is older than the start in the one after it.
    """
    rig = IncarnationsRig()
    start, other = rig.start_one()
    sent_ms = rig.now
    rig.now += 5
    result = StartResult("ok", clock_ms=40)
    rig.shard.step(
        StartAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, result)
    )
    rig.poll(start.worker_id, born_ms=NEXT_BORN_MS, sent_ms=sent_ms, polled=1)
    rig.now += 5
    born_ms = {start.worker_id: NEXT_BORN_MS + 1}
    rig.list_workers(*(entry(w, born_ms=born_ms.get(w, 1)) for w in ("w1", "w2")))
    assert not rig.is_started_again(other)
    rig.now += 5
    rig.poll(start.worker_id, [running(start)], born_ms=NEXT_BORN_MS + 1)
    assert not rig.is_started_again(other)


def test_run_of_the_ended_incarnation_starts_again_at_once():
    """Guards against tasks that wait for runs which ended with their worker."""
    rig = IncarnationsRig()
    start, other = rig.start_one()
    rig.answer(start)
    rig.now += 50
    rig.poll(start.worker_id, [running(start)])
    rig.now += 50
    rig.list_next(start.worker_id)
    assert rig.is_started_again(other)


def test_lease_of_the_next_incarnation_may_be_as_long_as_any():
    """Guards against a lease that counts as ended while a poll for the last incarnation
    has given it to the next one.
    """
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    rig.now += 5
    rig.poll(start.worker_id, [running(start)], born_ms=NEXT_BORN_MS, polled=1)
    rig.now += MAX_LEASE_MS - 100
    rig.shard.tick(rig.now)
    assert rig.shard.workers[start.worker_id].runs


def test_incarnation_that_is_not_listed_gets_no_work():
    """Guards against starts on a worker whose capacity and owner record are unknown."""
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    rig.now += 5
    rig.poll(start.worker_id, [running(start)], born_ms=NEXT_BORN_MS, polled=1)
    assert not rig.shard.workers[start.worker_id].accepts(rig.now)
    rig.list_next(start.worker_id)
    assert not rig.shard.workers[start.worker_id].accepts(rig.now)
    rig.record_all()
    assert rig.shard.workers[start.worker_id].accepts(rig.now)


def test_poll_after_silence_lets_the_worker_drop_no_end():
    """Guards against an end of the next incarnation that is dropped unseen, as its
    number is below that of the last end of the one before.
    """
    rig = IncarnationsRig()
    worker = rig.shard.workers["w1"]
    worker.acknowledged = 57
    assert worker.last_seen == 57
    rig.shard.step(PollFailed(rig.now, "w1", 1, "reset"))
    assert worker.last_seen == 0
    rig.poll("w1")
    assert worker.last_seen == 57


def test_stop_that_an_ended_incarnation_answered_is_sent_to_the_next_one():
    """Guards against a run that goes on although its job is cancelled: the incarnation
    that answered the stop has ended, the start reached the next one, and the stop that
    follows the cancellation is lost.
    """
    rig = Rig().ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 60_000),)))
    (start,) = rig.schedule()
    rig.now += limits.START_WINDOW_MS
    rig.answer(start, "unknown")
    rig.shard.step(
        StopAnswered(rig.now, "w1", start.born_ms, start.name, start.run_id, True)
    )
    rig.now += 100
    rig.list_workers(entry(born_ms=NEXT_BORN_MS))
    rig.poll(running=[running(start)], born_ms=NEXT_BORN_MS)
    rig.shard.cancel("j" * 16, 0, rig.now)
    stops = []
    for _ in range(20):
        rig.now += 100
        effects = rig.shard.tick(rig.now)
        stops += [effect for effect in effects if isinstance(effect, StopRun)]
        rig.poll(running=[running(start)], born_ms=NEXT_BORN_MS)
    assert stops


def test_late_answer_of_the_next_incarnation_lengthens_the_wait_of_a_successor():
    """Guards against a task that runs twice: the next incarnation has taken a lease
    from a poll for the last one, and the roster calls it settled before its end.
    """
    rig = IncarnationsRig()
    rig.list_next("w1")
    rig.now += MAX_LEASE_MS // 2
    rig.poll("w1", born_ms=NEXT_BORN_MS, polled=1)
    worker = rig.shard.workers["w1"]
    until_ms = worker.lease_bound_ms(rig.now, MAX_LEASE_MS)
    assert worker.lease_until_ms == until_ms
    assert not worker.is_settled(until_ms)


def test_poll_of_the_last_incarnation_without_an_answer_may_have_renewed_the_next():
    """Guards against a task that runs twice: a poll that was under way as the worker
    restarted got no answer, and may have given its lease to the next incarnation.
    """
    rig = IncarnationsRig()
    rig.poll("w1", born_ms=1)
    rig.list_next("w1")
    rig.now += 1_000
    worker = rig.shard.workers["w1"]
    before_ms = worker.lease_until_ms
    rig.shard.step(PollFailed(rig.now, "w1", 1, "reset", was_sent=False))
    assert worker.lease_until_ms == before_ms
    rig.shard.step(PollFailed(rig.now, "w1", 1, "timeout"))
    until_ms = worker.lease_bound_ms(rig.now, MAX_LEASE_MS)
    assert worker.lease_until_ms == until_ms
    assert not worker.is_settled(until_ms)


def test_start_confirmed_by_the_next_incarnation_lengthens_the_wait_of_a_successor():
    """Guards against a task that runs twice: its owner is lost before a list shows the
    next incarnation, which has taken the longest lease from the start.
    """
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    worker = rig.shard.workers[start.worker_id]
    assert worker.is_settled(rig.now)
    result = StartResult("ok", clock_ms=40)
    rig.shard.step(
        StartAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, result)
    )
    until_ms = worker.lease_bound_ms(rig.now, MAX_LEASE_MS)
    assert worker.lease_until_ms == until_ms
    assert not worker.is_settled(until_ms)


@pytest.mark.parametrize("kind", ["ok", "unknown", "old", "room"])
def test_start_for_the_last_incarnation_may_have_renewed_the_next(kind):
    """Guards against a task that runs twice: the platform listed the next incarnation
    before the answer of a start that gave it the longest lease.
    """
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    rig.list_next(start.worker_id)
    rig.now += limits.START_WINDOW_MS
    rig.answer(start, kind)
    worker = rig.shard.workers[start.worker_id]
    until_ms = worker.lease_bound_ms(rig.now, MAX_LEASE_MS)
    assert worker.lease_until_ms == until_ms
    assert not worker.is_settled(until_ms)


@pytest.mark.parametrize("is_listed_first", [True, False])
def test_reserved_worker_that_restarts_stays_reserved(is_listed_first):
    """Guards against tasks that a machine order ends: its worker was empty and reserved
    as the order was planned, restarted, and got new tasks before the order arrived.
    """
    rig = Rig(workers=("w1",)).ready()
    rig.shard.reserve(["w1"], rig.now)
    if is_listed_first:
        rig.list_workers(entry("w1", born_ms=NEXT_BORN_MS))
    else:
        failed = PollFailed(rig.now, "w1", 1, "other", is_other_incarnation=True)
        rig.shard.step(failed)
        rig.list_workers(entry("w1", born_ms=NEXT_BORN_MS))
    rig.record_all()
    rig.poll("w1", born_ms=NEXT_BORN_MS)
    rig.submit(job(steps=ONE_TASK))
    assert rig.schedule() == []
    rig.now += limits.RESERVATION_MS
    rig.poll("w1", born_ms=NEXT_BORN_MS)
    assert len(rig.schedule()) == 1


def test_worker_that_is_reserved_before_its_shard_lists_it_gets_no_work():
    """Guards against tasks on a worker that the owner of the fleet has asked to leave
    alone: the list of workers of the shard's owner was older than the order.
    """
    rig = Rig(workers=())
    rig.shard.reserve(["w1"], rig.now)
    rig.list_workers(entry("w1"))
    rig.ready()
    rig.submit(job(steps=ONE_TASK))
    assert rig.schedule() == []


@pytest.mark.parametrize("is_reported_first", [True, False])
def test_report_of_an_ended_worker_spares_its_next_incarnation(is_reported_first):
    """Guards against a task that runs twice, and a worker that gets no more work: the
    list of machines is late, so that the worker of an order is reported as ended while
    the next one runs tasks under its id.
    """
    rig = Rig(workers=("w1",)).ready()
    if is_reported_first:
        rig.shard.end_workers(["w1"], rig.now)
        assert not rig.shard.workers
    rig.list_workers(entry("w1", born_ms=NEXT_BORN_MS))
    rig.record_all()
    rig.poll("w1", born_ms=NEXT_BORN_MS)
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.answer(start)
    for _ in range(30):
        rig.now += 300
        rig.poll("w1", [running(start)], born_ms=NEXT_BORN_MS)
        assert rig.shard.end_workers(["w1"], rig.now) == []
        assert rig.shard.workers["w1"].runs
    rig.now += ENDED_REPORT_MS + 1
    rig.shard.end_workers(["w1"], rig.now)
    assert not rig.shard.workers


def test_old_list_does_not_bring_the_last_incarnation_back():
    """Guards against a run that is started elsewhere although it goes on: a list from
    before the restart of its worker is applied after a newer one.
    """
    rig = IncarnationsRig()
    rig.list_next("w1")
    rig.list_next("w2")
    rig.list_workers(*(entry(w, born_ms=NEXT_BORN_MS) for w in ("w1", "w2")))
    for worker_id in ("w1", "w2"):
        rig.poll(worker_id, born_ms=NEXT_BORN_MS)
    rig.record_all()
    (start,) = rig.schedule()
    rig.answer(start)
    rig.list_workers(entry("w1"), entry("w2"))
    worker = rig.shard.workers[start.worker_id]
    assert worker.entry.born_ms == NEXT_BORN_MS
    assert worker.runs


def test_late_answer_of_a_start_does_not_set_the_clock_of_the_next_incarnation():
    """Guards against starts and leases by the clock of the last incarnation, which is
    far ahead: their windows would bind nothing.
    """
    rig = IncarnationsRig()
    start, _ = rig.start_one()
    rig.list_next(start.worker_id)
    rig.poll(start.worker_id, born_ms=NEXT_BORN_MS)
    worker = rig.shard.workers[start.worker_id]
    before_ms = worker.clock_now_ms(rig.now)
    result = StartResult("ok", clock_ms=10**9)
    rig.shard.step(
        StartAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, result)
    )
    assert worker.clock_now_ms(rig.now) == before_ms
