"""Starts that a worker refuses again and again."""

import pytest

from apricotgap.jobs.events import StartAnswered, StartResult
from apricotgap.jobs.model import Resources, StepSpec
from tests.jobs_harness import Rig, job

pytestmark = pytest.mark.usefixtures("overload_state")

ONE_TASK = (StepSpec(1, Resources(1000, 100), 800),)
PASS_INTERVAL_MS = 5


def refuse(rig, start, kind, clock_ms=0):
    """Answer a start with a refusal."""
    rig.shard.step(
        StartAnswered(
            rig.now,
            start.worker_id,
            start.born_ms,
            start.name,
            start.run_id,
            StartResult(kind, clock_ms),
        )
    )


@pytest.mark.parametrize("kind", ["fence", "late", "room", "other life", "conflict"])
def test_refused_start_is_not_repeated_at_once(kind):
    """Guards against hundreds of starts a second to a worker that refuses each, which
    keep the owner busy and use up the numbers of runs.
    """
    rig = Rig()
    rig.ready()
    rig.submit(job(steps=ONE_TASK))
    n_starts = 0
    for _ in range(100):
        rig.now += PASS_INTERVAL_MS
        for start in rig.schedule():
            n_starts += 1
            refuse(rig, start, kind)
    assert 2 <= n_starts <= 4


def test_start_with_an_old_number_goes_to_another_worker():
    """Guards against a task that starts in vain on the one worker that has ended a run
    of it with a higher number.
    """
    rig = Rig(workers=("w1", "w2"))
    rig.ready()
    rig.submit(job(steps=ONE_TASK))
    (first,) = rig.schedule()
    refuse(rig, first, "old")
    (second,) = rig.schedule()
    assert second.worker_id != first.worker_id


def test_late_start_corrects_the_clock_of_the_worker():
    """Guards against starts that all come too late after a response that was long on
    its way: the clock that it carries is behind.
    """
    rig = Rig()
    rig.ready()
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.now += PASS_INTERVAL_MS
    refuse(rig, start, "late", clock_ms=start.deadline_ms + 900)
    rig.now += 250
    (again,) = rig.schedule()
    assert again.deadline_ms > start.deadline_ms + 1_900
