"""Tests of checkpoints that lists of workers show before the runs are lost."""

from dataclasses import replace

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.events import PollFailed
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from apricotgap.jobs.stragglers import StragglerDetector
from tests.jobs_harness import MAX_LEASE_MS, Rig, ended, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

STEP = StepSpec(1, Resources(1000, 100), 20_000, checkpoints=True)


def rig_at_checkpoint(step=STEP):
    """Return a rig with a run that has saved `c1`, and the start of the run."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(step,)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.now += 300
    row = replace(running(start, 20), checkpoint="c1")
    rig.poll(start.worker_id, running=[row])
    return rig, start


def other_than(start):
    return "w2" if start.worker_id == "w1" else "w1"


def test_task_of_a_lost_worker_resumes_from_its_last_listed_checkpoint():
    """Guards against work that is done again although it was saved."""
    rig, start = rig_at_checkpoint()
    rig.shard.step(PollFailed(rig.now, start.worker_id, 1, "timeout"))
    rig.now += 2 * MAX_LEASE_MS
    rig.shard.tick(rig.now)
    rig.poll(other_than(start))
    (again,) = rig.schedule()
    assert again.checkpoint == "c1"
    assert rig.shard.has_unsaved


def test_copy_of_a_task_of_a_silent_worker_resumes_from_the_checkpoint():
    """Guards against a copy that begins anew although the run has saved its work."""
    rig, start = rig_at_checkpoint(replace(STEP, allows_duplicates=True))
    rig.shard.step(PollFailed(rig.now, start.worker_id, 1, "timeout"))
    detector = StragglerDetector(rig.shard)
    for _ in range(2):
        rig.now += limits.COPY_SILENT_MS
        detector.run(rig.now)
    rig.poll(other_than(start))
    (copy,) = rig.schedule()
    assert copy.checkpoint == "c1"


def test_run_that_is_no_longer_listed_leaves_its_checkpoint():
    """Guards against saved work that is lost with a run that a worker forgot."""
    rig, start = rig_at_checkpoint()
    rig.now += limits.START_WINDOW_MS + 1_000
    rig.poll(start.worker_id)
    rig.poll(other_than(start))
    (again,) = rig.schedule()
    assert again.checkpoint == "c1"


@pytest.mark.parametrize("end", [RunEnd.STOPPED, RunEnd.FAILED])
def test_checkpoint_of_the_end_counts_most(end):
    """Guards against a run that resumes from before what its stop has saved."""
    rig, start = rig_at_checkpoint()
    rig.now += 100
    row = replace(ended(1, start, end), checkpoint="c2")
    rig.poll(start.worker_id, ends=[row])
    rig.poll(other_than(start))
    (again,) = rig.schedule()
    assert again.checkpoint == "c2"
