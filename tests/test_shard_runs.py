"""Starts, stops and the lists that confirm or disprove runs."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.effects import StartRun
from apricotgap.jobs.events import StopAnswered
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from apricotgap.jobs.runs import RunPhase
from tests.jobs_harness import (
    Rig,
    ended,
    job,
    running,
    stops,
    task,
)

pytestmark = pytest.mark.usefixtures("overload_state")


def test_unanswered_start_is_stopped_before_the_task_starts_again():
    """Guards against two runs of a task when a start takes effect late."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    assert len(stops(rig.answer(start, "unknown"))) == 1
    rig.now += 100
    rig.poll(start.worker_id)
    assert rig.schedule() == []
    rig.now += limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS
    rig.poll(start.worker_id)
    other = "w2" if start.worker_id == "w1" else "w1"
    rig.poll(other)
    (again,) = rig.schedule()
    assert again.run_id > start.run_id


def test_list_requested_before_a_start_does_not_disprove_the_run():
    """Guards against a second run when an older response arrives after the start."""
    rig = Rig().ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    sent_ms = rig.now
    rig.now += 10
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(sent_ms=sent_ms)
    assert rig.schedule() == []


def test_list_requested_in_the_millisecond_of_an_answer_does_not_disprove_the_run():
    """Guards against a second run of a task where a poll is sent just before a start is
    answered: the worker may have made its lists before it carried the start out.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    sent_ms = rig.now
    rig.answer(start)
    rig.now += 5
    rig.poll(start.worker_id, sent_ms=sent_ms)
    assert rig.schedule() == []
    rig.poll(start.worker_id, running=[running(start)])
    assert rig.schedule() == []
    # One that was requested later does.
    rig.now += 1
    rig.poll(start.worker_id)
    assert len(rig.schedule()) == 1


def test_run_that_a_late_stop_is_ending_is_not_started_again():
    """Guards against a second run while the first is being stopped: a stop that got no
    answer takes effect late, and until its end is listed the run is in no list.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    state = rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, running=[running(start)])
    (run,) = state.runs[start.name]
    stop_ms = rig.shard.stop_listing_delay_ms
    list(rig.shard.stop(run, rig.now))
    rig.shard.step(
        StopAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, ok=False)
    )
    other = "w2" if start.worker_id == "w1" else "w1"
    # The worker carries the stop out only now; the run needs some time to end.
    rig.now += stop_ms + 1
    rig.poll(start.worker_id)
    for _ in range(4):
        rig.poll(other)
        assert rig.schedule() == []
        rig.now += stop_ms // 5
    rig.poll(other)
    rig.poll(start.worker_id, ends=[ended(1, start, RunEnd.STOPPED)])
    assert len(rig.schedule()) == 1


def test_run_that_never_was_is_absent_soon_after_its_stop():
    """Guards against a task that waits for the end of a run that doesn't exist."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    rig.answer(start, "unknown")
    rig.shard.step(
        StopAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, ok=False)
    )
    rig.now += limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS + 1
    rig.poll(start.worker_id)
    rig.now += rig.shard.stop_listing_delay_ms + 1
    rig.poll(start.worker_id)
    rig.poll("w2" if start.worker_id == "w1" else "w1")
    assert len(rig.schedule()) == 1


def test_nothing_starts_close_to_the_end_of_the_owners_lease():
    """Guards against a start that takes effect after the owner has been replaced."""
    rig = Rig().ready()
    rig.submit(job())
    assert rig.schedule(lease_until_ms=rig.now + limits.LEASE_MARGIN_MS - 1) == []


def test_run_of_an_unknown_job_is_stopped():
    """Guards against a run that continues although its job is gone."""
    rig = Rig().ready()
    start = StartRun("w1", "", 1, task(0), 1, "", 0, "")
    assert len(stops(rig.poll(running=[running(start)]))) == 1


def test_unanswered_start_is_confirmed_by_a_poll():
    """Guards against a run that is lost because nobody heard that it was started."""
    rig = Rig().ready()
    rig.submit(job())
    first, second = rig.schedule()
    rig.now += 400
    rig.poll(running=[running(first)])
    runs = rig.shard.workers["w1"].runs
    assert runs[first.name, first.run_id].phase is RunPhase.RUNNING
    # The list may be older than the second start, which is still on its way.
    assert runs[second.name, second.run_id].phase is RunPhase.STARTING
    rig.now += limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS
    rig.poll(running=[running(first)])
    assert (second.name, second.run_id) not in runs
