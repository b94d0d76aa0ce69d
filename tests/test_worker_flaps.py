"""Workers that go down and up by turns: no job is given up that crashed nothing."""

import os

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.model import JobPhase, Resources, StepSpec
from tests.jobs_harness import Rig, entry, job, task
from tests.shard_world import World

# More seeds by hand: SHARD_SEEDS=200 python -m pytest tests/test_worker_flaps.py
N_SEEDS = int(os.environ.get("SHARD_SEEDS", "10"))
N_WORKERS = 6
N_JOBS = 80
FLAPS_END_MS = 40_000
SETTLE_MS = 40_000
# Seeds with many starts that met a worker which was down.
UNANSWERED_SEEDS = (4, 42)


class FlapWorld(World):
    """A world that knows which workers crashed under begun runs of each task."""

    def __init__(self, seed, n_workers):
        super().__init__(seed, n_workers)
        self._crashed_under = {}

    def crash(self, worker_id, down_ms):
        """End a worker; it is back under its id, and listed some time later."""
        worker = self.workers[worker_id]
        if worker.is_up:
            worker.advance(self.now)
            for name, _ in [*worker.running, *worker.stopping]:
                self._crashed_under.setdefault(name, set()).add(worker_id)
        super().crash(worker_id, down_ms)

    def check_jobs(self):
        """Each job has succeeded, but for those with two crashed workers of a task."""
        super().check_jobs()
        for job_id in self._submitted:
            phase = self.shard.jobs[job_id].progress.phase
            crashed = [
                workers
                for name, workers in self._crashed_under.items()
                if name.job_id == job_id
            ]
            n_workers = max(map(len, crashed), default=0)
            if phase is not JobPhase.SUCCEEDED and n_workers < 2:
                self.broken.append(f"LOST {job_id} {phase} {n_workers} workers")


def flap(world, worker_id):
    """Let a worker go down and up by turns."""
    at_ms = world.rng.randrange(2_000)
    while at_ms < FLAPS_END_MS:
        down_ms = world.rng.randrange(100, 1_500)
        world.at(at_ms, world.crash, worker_id, down_ms)
        at_ms += down_ms + world.rng.randrange(300, 1_500)


def play(seed):
    """Play a day on which a third of the workers flap; returns the broken promises."""
    world = FlapWorld(seed, N_WORKERS)
    world.start()
    world.play(2_000)
    for worker_id in list(world.workers)[::3]:
        flap(world, worker_id)
    for _ in range(N_JOBS):
        world.submit(world.rng.randint(2, 8))
        world.play(world.rng.randint(50, 500))
    world.has_late_calls = False
    world.play(SETTLE_MS)
    world.check_jobs()
    return world.broken


@pytest.mark.parametrize("seed", sorted({*range(N_SEEDS), *UNANSWERED_SEEDS}))
def test_no_job_fails_whose_starts_met_workers_that_were_down(seed):
    """Guards against jobs that fail although at most one worker crashed under them."""
    assert play(seed)[:3] == []


class TestTaskWhoseStartsGotNoAnswer:
    """A task of which an earlier start got no answer before its worker crashed."""

    def suspect(self, n_tasks=1):
        """Return a rig with a job whose first task is such a task."""
        rig = Rig(workers=("w1", "w2"))
        rig.ready()
        steps = (StepSpec(n_tasks, Resources(1000, 100), 800),)
        state = rig.submit(job(steps=steps))
        state.record(task(0)).n_unconfirmed_crashes = 1
        return rig, state

    def test_it_starts_on_a_worker_that_has_answered_just_now(self):
        """Guards against a job that fails as its starts meet workers that are down."""
        rig, _ = self.suspect()
        rig.now += limits.FRESH_ANSWER_MS + 1
        assert rig.schedule() == []
        rig.poll("w2")
        assert [start.worker_id for start in rig.schedule()] == ["w2"]

    def test_it_waits_for_a_worker_on_which_it_has_not_failed(self):
        """Guards against a task that starts on one mute worker without end: the list
        that disproves a start there is the only answer that has just come.
        """
        rig, state = self.suspect()
        state.avoided_workers[task(0)] = {"w1"}
        rig.now += limits.FRESH_ANSWER_MS + 1
        rig.poll("w1")
        assert rig.schedule() == []
        rig.poll("w2")
        assert [start.worker_id for start in rig.schedule()] == ["w2"]

    def test_one_start_counts_for_one_crash(self):
        """Guards against a job that fails after one start: the start got no answer and
        was kept for each next incarnation of a worker that restarts again and again.
        """
        rig = Rig()
        rig.ready()
        state = rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
        (start,) = rig.schedule()
        rig.answer(start, "unknown")
        for born_ms in range(2, 9):
            rig.now += 100
            rig.list_workers(entry("w1", born_ms=born_ms))
        assert state.record(start.name).n_unconfirmed_crashes == 1
        assert state.progress.phase is JobPhase.RUNNING

    def test_the_other_tasks_of_its_step_start_meanwhile(self):
        """Guards against tasks that wait for another one of their step."""
        rig, state = self.suspect(n_tasks=3)
        rig.now += limits.FRESH_ANSWER_MS + 1
        assert {start.name.number for start in rig.schedule()} == {1, 2}
        assert state.progress.phase is JobPhase.RUNNING


def test_lasting_task_takes_one_crash_more():
    """Guards against a long-running task that never runs again since two workers went
    down by chance just after they had started it; three still end the trials.
    """
    rig = Rig(workers=("w1", "w2"))
    rig.ready()
    rig.shard.reported_ms = rig.now
    long_running = (StepSpec(1, Resources(1000, 100), is_long_running=True),)
    state = rig.submit(job(steps=long_running))
    born = {"w1": 1, "w2": 1}
    n_starts = 0
    for _ in range(7):
        for start in rig.schedule():
            n_starts += 1
            assert not state.is_given_up(start.name)
            rig.answer(start)
            born[start.worker_id] += 1
        rig.list_workers(*(entry(each, born_ms=ms) for each, ms in born.items()))
        rig.record_all()
        for each, ms in born.items():
            rig.poll(each, born_ms=ms)
        rig.save()
    assert n_starts == 3
    assert state.is_given_up(task(0))
