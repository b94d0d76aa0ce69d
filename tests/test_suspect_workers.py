"""Tests of workers that are suspect after failures of several jobs."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from tests.jobs_harness import Rig, ended, job, running
from tests.shard_days import LivingWorld

pytestmark = pytest.mark.usefixtures("overload_state")

SIZE = Resources(1000, 100)
LONG_RUNNING = StepSpec(1, SIZE, is_long_running=True)
SHORT = (StepSpec(1, SIZE, 400),)


class SuspectRig(Rig):
    """A pool of one worker with a long-running task, suspect after two failed jobs."""

    def __init__(self):
        super().__init__()
        self.ready()
        self.shard.loaded_ms = self.shard.reported_ms = self.now
        self.n_ends = 0
        self.submit(job("a" * 16, (LONG_RUNNING,)))
        (long_running,) = self.schedule()
        self.answer(long_running)
        self.listed = [running(long_running)]
        self.now += 1_000
        self.poll(running=self.listed)
        for job_id in ("b" * 16, "c" * 16):
            self.submit(job(job_id, SHORT, max_attempts=1))
            self.end(self.start(), RunEnd.FAILED)
        assert self.shard.workers["w1"].suspect_since_ms is not None

    def start(self):
        """Run a pass that starts one task; returns the start."""
        (start,) = self.schedule()
        self.answer(start)
        return start

    def end(self, start, how):
        """List the end of a run."""
        self.n_ends += 1
        self.now += 100
        self.poll(running=self.listed, ends=[ended(self.n_ends, start, how)])

    def wait(self, span_ms):
        """Let time pass; the worker answers all the while."""
        for _ in range(span_ms // 100):
            self.now += 100
            self.poll(running=self.listed)


def test_suspect_worker_with_a_task_that_lasts_gets_a_task_on_probation():
    """Guards against a pool that takes nothing for ever: a suspect worker got a task
    on probation only once it was empty, which a long-running task prevents.
    """
    rig = SuspectRig()
    rig.submit(job(steps=SHORT))
    assert rig.schedule() == []
    rig.wait(limits.PROBATION_MS + 100)
    rig.end(rig.start(), RunEnd.DONE)
    assert rig.shard.workers["w1"].suspect_since_ms is None


def test_suspect_worker_gets_one_task_at_a_time():
    """Guards against more work on a worker that may fail all of it."""
    rig = SuspectRig()
    rig.submit(job(steps=(StepSpec(3, SIZE, 400),)))
    rig.wait(limits.PROBATION_MS + 100)
    first = rig.start()
    assert rig.schedule() == []
    rig.listed.append(running(first, 50))
    rig.wait(1_000)
    assert rig.schedule() == []


def test_task_on_probation_that_lasts_does_not_keep_others_away():
    """Guards against a suspect worker whose task on probation has no end."""
    rig = SuspectRig()
    rig.submit(job(steps=(LONG_RUNNING,)))
    rig.submit(job("d" * 16, SHORT))
    rig.wait(limits.PROBATION_MS + 100)
    first = rig.start()
    assert first.name.job_id == "j" * 16
    rig.listed.append(running(first))
    rig.wait(limits.PROBATION_MS + 100)
    assert rig.start().name.job_id == "d" * 16


def test_failed_task_on_probation_makes_room_for_the_next_one():
    """Guards against a wait of a whole probation for each job that cannot be done."""
    rig = SuspectRig()
    rig.submit(job("d" * 16, SHORT, max_attempts=1))
    rig.submit(job(steps=SHORT))
    rig.wait(limits.SUSPECT_WINDOW_MS + 100)
    rig.end(rig.start(), RunEnd.FAILED)
    assert len(rig.schedule()) == 1


def test_pool_that_hopeless_jobs_have_made_suspect_recovers():
    """Guards against accepted work beside free workers after jobs that can't be done,
    in a pool whose workers all have long-running tasks.
    """
    world = LivingWorld(0)
    world.has_late_calls = False
    world.start()
    world.play(2_000)
    world.submit(10, is_long_running=True)
    world.play(1_000)
    for _ in range(12):
        world.submit(3, is_hopeless=True)
    world.play(6_000)
    workers = world.shard.workers.values()
    assert any(worker.suspect_since_ms is not None for worker in workers)
    for _ in range(10):
        world.submit(2)
    world.play(30_000)
    world.check_jobs()
    assert world.broken[:3] == []


def test_gang_starts_on_suspect_workers_that_must_take_several_members():
    """Guards against a gang that never starts in an empty pool: all workers are
    suspect and would have to take several members, and no other job clears them.
    """
    rig = SuspectRig()
    rig.submit(job(steps=(StepSpec(3, SIZE, 400, is_gang=True),)))
    assert rig.schedule() == []
    rig.wait(limits.PROBATION_MS + 100)
    starts = rig.schedule()
    assert len(starts) == 3
    for start in starts:
        rig.answer(start)
    rig.end(starts[0], RunEnd.DONE)
    assert rig.shard.workers["w1"].suspect_since_ms is None
