"""Loading of stored jobs by the owner of a shard."""

from dataclasses import replace

import pytest

from apricotgap.instance.keys import cancel_key, job_key, progress_key
from apricotgap.instance.shard_loader import (
    add_found_jobs,
    cancel_found_jobs,
    load_jobs,
)
from apricotgap.jobs.documents import (
    Progress,
    TaskRecord,
    encode_job,
    encode_progress,
)
from apricotgap.jobs.model import JobPhase, Resources, StepSpec, TaskName
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import Item, Snapshot
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, job

GOOD, BAD = "a" * 16, "b" * 16
OVERFLOWING_STEP = StepSpec(1, Resources(1000), estimated_ms=10**400)


def stored_jobs():
    """Return a readable job behind one whose numbers overflow in calculations."""
    specs = job(BAD, steps=(OVERFLOWING_STEP,)), replace(job(GOOD))
    return tuple(
        Item(job_key(SERVICE, spec.job_id), encode_job(spec), 1) for spec in specs
    )


def test_job_that_cannot_be_loaded_leaves_the_others():
    """Guards against one stored job that stops owner after owner of its shard."""
    shard = Shard(SERVICE, 1, MAX_LEASE_MS)
    load_jobs(shard, Snapshot(stored_jobs(), 1), Snapshot((), 1))
    assert list(shard.jobs) == [GOOD]


def test_job_that_another_instance_stored_leaves_the_others():
    """Guards against one job found in the store that stops the owner of its shard."""
    shard = Shard(SERVICE, 1, MAX_LEASE_MS)
    add_found_jobs(shard, stored_jobs())
    assert list(shard.jobs) == [GOOD]


@pytest.fixture
def raising_shard(monkeypatch):
    """Return a shard that can't hold one job, which no check has refused."""
    shard = Shard(SERVICE, 1, MAX_LEASE_MS)

    def refuse_bad(add):
        def call(spec, *args):
            if spec.job_id == BAD:
                raise RuntimeError("defect")
            return add(spec, *args)

        return call

    monkeypatch.setattr(shard, "load", refuse_bad(shard.load))
    monkeypatch.setattr(shard, "submit", refuse_bad(shard.submit))
    return shard


def readable_jobs():
    return tuple(
        Item(job_key(SERVICE, name), encode_job(job(name)), 1) for name in (BAD, GOOD)
    )


def test_job_that_raises_while_it_is_loaded_leaves_the_others(raising_shard):
    """Guards against a defect of one job's state that stops owner after owner."""
    load_jobs(raising_shard, Snapshot(readable_jobs(), 1), Snapshot((), 1))
    assert list(raising_shard.jobs) == [GOOD]


def test_found_job_that_raises_leaves_the_others(raising_shard):
    """Guards against a defect of one found job's state that stops the owner."""
    add_found_jobs(raising_shard, readable_jobs())
    assert list(raising_shard.jobs) == [GOOD]


@pytest.mark.parametrize("name", [(0, 0, 7), (0, 9, 0), (5, 0, 0)], ids=repr)
def test_record_of_a_task_that_the_job_lacks_is_ignored(name):
    """Guards against a job that counts as complete, or is never loaded, by it."""
    record = TaskRecord(done=True, crash_points=10**6)
    progress = Progress(JobPhase.RUNNING, {TaskName(GOOD, *name): record})
    stored = Item(progress_key(SERVICE, GOOD), encode_progress(progress), 1)
    shard = Shard(SERVICE, 1, MAX_LEASE_MS)
    load_jobs(shard, Snapshot(readable_jobs()[1:], 1), Snapshot((stored,), 1))
    assert shard.jobs[GOOD].waiting == {(0, 0): {0, 1}}
    assert not shard.jobs[GOOD].progress.tasks
    for task in (0, 1):
        assert not shard.jobs[GOOD].is_complete
        shard.jobs[GOOD].mark_done(TaskName(GOOD, 0, 0, task))
    assert shard.jobs[GOOD].is_complete


def test_found_cancellation_that_raises_leaves_the_others(monkeypatch):
    """Guards against a stored cancellation that stops owner after owner."""
    shard = Shard(SERVICE, 1, MAX_LEASE_MS)
    add_found_jobs(shard, readable_jobs())

    def fail(*_args):
        raise RuntimeError("defect")

    monkeypatch.setattr(shard.jobs[BAD], "finish", fail)
    items = [Item(cancel_key(SERVICE, name), b"1", 2) for name in (BAD, GOOD, "c")]
    cancel_found_jobs(shard, items, 0)
    assert shard.jobs[GOOD].progress.phase is JobPhase.CANCELLED
    shard.tick(0)
    assert not shard.open_jobs
    assert shard.n_pending("plans") == 1
