"""Seeded days of a shard whose urgent jobs stop the tasks of others."""

from dataclasses import replace

import pytest

from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.limits import LEASE_MARGIN_MS
from apricotgap.jobs.model import StepSpec
from apricotgap.jobs.preemption import Preemptor
from tests.jobs_harness import job
from tests.shard_days import TASK_SIZE, LivingWorld

pytestmark = pytest.mark.usefixtures("overload_state")

BATCH_MS = 5_000
DAY_MS = 12_000
SETTLE_MS = 40_000


class UrgentWorld(LivingWorld):
    """A world with a long, less urgent load and bursts of an urgent one."""

    def __init__(self, seed):
        super().__init__(seed, n_workers=3)
        self.n_preempted = 0

    def submit_with(self, priority, step):
        spec = job(f"{len(self.specs):016x}", (step,), priority=priority)
        self._submitted.append(spec.job_id)
        self._accept(replace(spec, submitted_ms=self.now))

    def burst(self):
        for _ in range(4):
            self.submit_with(0, StepSpec(2, TASK_SIZE, 400))

    def _duration_ms(self, order):
        step = self.specs[order.name.job_id].steps[0]
        return BATCH_MS if step.checkpoints else super()._duration_ms(order)

    def _tick(self):
        super()._tick()
        if self.now < self.owner_until_ms - LEASE_MARGIN_MS:
            order = self.scheduler.service_order
            effects = Preemptor(self.shard, order).run(self.now)
            self.n_preempted += sum(isinstance(each, LogDecision) for each in effects)
            self._execute(effects)


def take_over(world):
    world.take_over(world.rng.choice((300, 3_000)))


def outage(world):
    world.outage(2_000)


def lose(world):
    world.lose(world.rng.choice(list(world.workers)))
    world.at(1_500, world.add_worker)


@pytest.mark.parametrize("trouble", [None, take_over, outage, lose])
@pytest.mark.parametrize("seed", [1, 2])
def test_stopped_tasks_go_on_and_never_run_twice(seed, trouble):
    """Guards against a second run of a task that is stopped for another, and against
    tasks that are stopped again and again: calls are lost or late, and the owner, the
    store or a worker fails in the middle.
    """
    world = UrgentWorld(seed)
    world.start()
    world.play(4_000)
    for _ in range(12):
        world.submit_with(1, StepSpec(4, TASK_SIZE, BATCH_MS, checkpoints=True))
    for n in range(DAY_MS // 1_000):
        if n == 5 and trouble is not None:
            trouble(world)
        if n % 3 == 2:
            world.burst()
        world.play(1_000)
    world.has_late_calls = False
    world.play(SETTLE_MS)
    world.check_jobs()
    assert world.broken == []
    assert world.n_preempted
