"""Ends that a worker may drop: the number that a poll acknowledges."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.events import StartAnswered, StartResult
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from tests.jobs_harness import Rig, ended, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

MANY_TASKS = (StepSpec(40, Resources(1000, 100), 800),)
ACKNOWLEDGED = 57


class AcknowledgementsRig(Rig):
    """One worker that has had ends before; it has room for eight tasks."""

    def __init__(self):
        super().__init__()
        self.ready()
        self.worker = self.shard.workers["w1"]
        self.worker.last_applied = self.worker.acknowledged = ACKNOWLEDGED
        self.submit(job(steps=MANY_TASKS))

    def confirm(self, start, clock_ms):
        """Answer a start at a time of the worker's clock."""
        result = StartResult("ok", clock_ms)
        self.shard.step(
            StartAnswered(self.now, "w1", 1, start.name, start.run_id, result)
        )


def test_late_answer_of_the_last_incarnation_lets_the_next_drop_no_end():
    """Guards against an end that is dropped unseen, and a task that runs again: an
    answer from before the restart comes in after the next one has confirmed a start.
    """
    rig = AcknowledgementsRig()
    start, *others = rig.schedule()
    for other in others:
        rig.answer(other)
    rig.now += 5
    rig.confirm(start, clock_ms=40)
    rig.now += 20
    rig.poll(sent_ms=rig.now - 30)
    assert rig.worker.last_seen == 0


def test_start_without_an_answer_lets_the_worker_drop_no_end():
    """Guards against an end of a start that reached the next incarnation, which a poll
    sent before its answer lets that incarnation drop unseen.
    """
    rig = AcknowledgementsRig()
    starts = rig.schedule()
    assert rig.worker.last_seen == 0
    rig.now += 5
    for start in starts:
        rig.confirm(start, clock_ms=50_000 + rig.now)
    assert rig.worker.last_seen == ACKNOWLEDGED


def test_worker_with_a_start_under_way_at_each_poll_may_drop_its_ends_in_time():
    """Guards against ends that are never taken note of, as each poll meets a start on
    its way to a worker that answers slowly.
    """
    rig = AcknowledgementsRig()
    starts = rig.schedule()
    n_ends = ACKNOWLEDGED
    undropped = []
    longest_ms = withheld_ms = 0
    for _ in range(60):
        for start in starts[:2]:
            rig.confirm(start, clock_ms=50_000 + rig.now)
            n_ends += 1
            undropped.append(ended(n_ends, start, RunEnd.STOPPED))
        starts = starts[2:] + rig.schedule()
        last_seen = rig.worker.last_seen
        undropped = [end for end in undropped if end.number > last_seen]
        withheld_ms = 0 if last_seen else withheld_ms + 100
        longest_ms = max(longest_ms, withheld_ms)
        rig.poll(ends=undropped)
        rig.worker.acknowledged = rig.worker.last_applied
        rig.now += 100
    assert n_ends > ACKNOWLEDGED + 40
    assert longest_ms <= limits.MAX_WITHHELD_MS + 1_000


def test_full_list_of_ends_does_not_hold_up_a_start_without_an_answer():
    """Guards against a worker that gets no task any more: a list that is full of ends
    proves no run gone, and while a run is open none of the ends is acknowledged.
    """
    rig = AcknowledgementsRig()
    lost, *others = rig.schedule()
    for other in others:
        rig.answer(other)
    rig.now += limits.START_WINDOW_MS
    rig.answer(lost, "unknown")
    n_ends = ACKNOWLEDGED + 2 * limits.MAX_LISTED_ENDS
    ends = [
        ended(number, others[0], RunEnd.STOPPED)
        for number in range(ACKNOWLEDGED + 1, n_ends + 1)
    ]
    for _ in range(100):
        rig.now += 100
        rig.shard.tick(rig.now)
        last_seen = rig.worker.last_seen
        ends = [end for end in ends if end.number > last_seen]
        rig.poll(running=map(running, others[1:]), ends=ends[: limits.MAX_LISTED_ENDS])
        rig.worker.acknowledged = rig.worker.last_applied
    assert not ends
    assert (lost.name, lost.run_id) not in rig.worker.runs
