"""Jobs that callers see as waiting, beside rejected starts and moved queues."""

import pytest

from apricotgap.jobs.documents import Progress
from apricotgap.jobs.model import JobPhase, RunEnd
from tests.jobs_harness import Rig, ended, job, running


@pytest.fixture
def rig():
    """Return a shard with one job whose two tasks have been sent to a worker."""
    rig = Rig().ready()
    rig.submit(job())
    rig.starts = rig.schedule()
    assert len(rig.starts) == 2
    return rig


def n_pending(rig):
    return rig.shard.n_pending("plans")


@pytest.mark.parametrize("kind", ["room", "late", "busy", "unknown"])
def test_job_whose_first_starts_were_rejected_is_still_pending(rig, kind):
    """Guards against a count that is too low while workers reject starts."""
    for start in rig.starts:
        rig.answer(start, kind)
    assert n_pending(rig) == 1
    assert rig.shard.n_pending("other") == 0


def test_job_with_a_started_task_is_not_pending(rig):
    """Guards against a count that includes jobs at work."""
    assert n_pending(rig) == 1
    rig.answer(rig.starts[0])
    rig.answer(rig.starts[1], "room")
    assert n_pending(rig) == 0


@pytest.mark.parametrize("end", [RunEnd.FAILED, RunEnd.LAPSED, RunEnd.DONE])
def test_job_whose_only_run_has_ended_is_not_pending(rig, end):
    """Guards against a job that counts as waiting again after its first run."""
    rig.answer(rig.starts[0], "unknown")
    rig.poll(ends=[ended(1, rig.starts[0], end)])
    assert n_pending(rig) == 0


def test_job_that_runs_after_a_takeover_is_not_pending():
    """Guards against jobs that count as waiting after a change of the owner."""
    rig = Rig()
    rig.shard.load(job(), Progress(JobPhase.RUNNING), 5)
    assert n_pending(rig) == 0
    rig.shard.load(job("k" * 16), Progress(), 5)
    assert n_pending(rig) == 1
    earlier = Rig().ready()
    earlier.submit(job("k" * 16))
    rig.ready()
    rig.poll(running=[running(start) for start in earlier.schedule()])
    assert n_pending(rig) == 0
