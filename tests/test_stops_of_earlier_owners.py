"""Runs that an earlier owner told a worker to stop, seen by its successor."""

import pytest

from apricotgap.jobs.documents import Progress
from apricotgap.jobs.waiting import WaitCase, explain_wait
from tests.jobs_harness import FAR_MS, Rig, entry, job
from tests.test_owner_days import play

pytestmark = pytest.mark.usefixtures("overload_state")

# The owner gets SIGTERM 30 ms after it has stopped two slow runs, and its successor
# has the lists of all workers 90 ms after that.
STOP_BEFORE_RESIGNATION_SEED = 201


def taken_over():
    """Return a successor whose only worker has listed no run yet."""
    rig = Rig(epoch=2, workers=())
    rig.shard.add_inherited_worker(entry("w1"), rig.now, is_settled=True)
    rig.list_workers(entry("w1"))
    rig.shard.load(job(), Progress(), 1)
    return rig


def test_task_that_no_list_shows_waits_until_a_stop_must_have_ended():
    """Guards against a second run beside one that is being stopped: it is in no list
    until its end is.
    """
    rig = taken_over()
    rig.ready()
    assert rig.schedule() == []
    rig.now += rig.shard.stop_listing_delay_ms - 1
    rig.poll()
    assert rig.schedule() == []
    rig.now += 1
    rig.poll()
    assert len(rig.schedule()) == 2


def test_list_that_was_asked_for_before_a_stop_must_have_ended_proves_nothing():
    """Guards against a late answer that counts as proof."""
    rig = taken_over()
    rig.ready()
    sent_ms = rig.now
    rig.now += rig.shard.stop_listing_delay_ms
    rig.poll(sent_ms=sent_ms)
    assert rig.schedule() == []


def test_worker_is_polled_again_as_soon_as_a_stop_must_have_ended():
    """Guards against tasks that wait for the end of a long poll."""
    rig = taken_over()
    rig.ready()
    worker = rig.shard.workers["w1"]
    rig.shard.offer_lease(worker, rig.now, rig.now + 3_000)
    rig.now += rig.shard.stop_listing_delay_ms - 50
    assert rig.shard.poll_wait_ms(worker, rig.now) == 50
    rig.now += 50
    assert rig.shard.poll_wait_ms(worker, rig.now) == 0


def test_wait_for_a_stop_tells_when_it_must_have_ended():
    """Guards against a log that says the task waits for the lease of a worker, which
    each poll renews.
    """
    rig = taken_over()
    rig.ready()
    case = WaitCase(rig.shard, rig.shard.jobs[job().job_id], (0, 0), rig.now, FAR_MS)
    wait = explain_wait(case)
    assert wait.reason == "previous_owner"
    assert wait.next_look_ms == rig.now + rig.shard.stop_listing_delay_ms


def test_no_task_runs_twice_when_an_owner_resigns_while_runs_stop():
    """Guards against the same with real owners."""
    assert play(STOP_BEFORE_RESIGNATION_SEED, "replacements").broken[:3] == []
