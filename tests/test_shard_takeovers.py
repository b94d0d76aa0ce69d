"""Seeded days of a shard whose owner is lost several times."""

import os

import pytest

from apricotgap.jobs.documents import Progress
from apricotgap.jobs.events import WorkersListed
from apricotgap.jobs.workers import Worker
from tests.jobs_harness import MAX_LEASE_MS, Rig, entry, job
from tests.shard_takeovers import TakeoverWorld
from tests.test_shard_sequences import both, nothing, outages, restarts

pytestmark = pytest.mark.usefixtures("overload_state")

# More seeds by hand: SHARD_SEEDS=300 python -m pytest tests/test_shard_takeovers.py
N_SEEDS = int(os.environ.get("SHARD_SEEDS", "10"))
N_JOBS = 40
N_LOSSES = 3
SETTLE_MS = 40_000
# A day on which a worker restarted unseen just before its owner was lost.
UNSEEN_RESTART_SEED = 55


def play(seed, trouble):
    """Play a day with losses of the owner; returns the broken promises."""
    world = TakeoverWorld(seed)
    world.start()
    world.play(2_000)
    trouble(world)
    for _ in range(N_LOSSES):
        world.at(world.rng.randint(0, 14_000), world.lose_owner)
    for _ in range(N_JOBS):
        world.submit(world.rng.randint(1, 3))
        world.play(world.rng.randint(50, 600))
    world.has_late_calls = False
    world.play(SETTLE_MS)
    world.check_jobs()
    return world.broken


@pytest.mark.parametrize("seed", sorted({*range(N_SEEDS), UNSEEN_RESTART_SEED}))
@pytest.mark.parametrize("trouble", [nothing, outages, restarts, both])
def test_no_task_runs_twice_and_each_job_ends(trouble, seed):
    """Guards against tasks that run twice, and jobs that never end or fail without
    cause, when another owner takes the shard over.
    """
    assert play(seed, trouble)[:3] == []


def test_next_incarnation_may_run_tasks_of_the_previous_owner():
    """Guards against a second run of a task that the previous owner started on a worker
    of the roster just after this had restarted.
    """
    rig = Rig(epoch=2, workers=("w2",))
    rig.ready()
    rig.shard.add_inherited_worker(entry("w1"), rig.now)
    state = rig.shard.load(job(), Progress(), 1)
    rig.shard.step(WorkersListed(rig.now, (entry("w1", born_ms=2), entry("w2"))))
    assert rig.schedule() == []
    rig.poll("w1", born_ms=2)
    assert rig.schedule() == []
    rig.now += rig.shard.stop_listing_delay_ms
    rig.poll("w1", born_ms=2)
    assert len(rig.schedule()) == 2
    assert state.is_inherited


def test_next_incarnation_that_never_answers_is_waited_for_one_longest_lease():
    """Guards against a second run beside one whose lease ends on the clock of the
    incarnation before, and against tasks that wait for good.
    """
    rig = Rig(epoch=2, workers=("w2",))
    rig.ready()
    rig.shard.add_inherited_worker(entry("w1"), rig.now)
    rig.now += 1_000
    rig.shard.step(WorkersListed(rig.now, (entry("w1", born_ms=2), entry("w2"))))
    rig.shard.load(job(), Progress(), 1)
    rig.now = Worker.lease_bound_ms(rig.now, MAX_LEASE_MS)
    rig.shard.tick(rig.now)
    rig.poll("w2")
    assert rig.schedule() == []
    rig.now += 1
    rig.shard.tick(rig.now)
    assert len(rig.schedule()) == 2
