"""Tests of the demand by which a shard takes its part of a team's limit."""

from dataclasses import replace

import pytest

from apricotgap.jobs.model import NO_RESOURCES, Resources, StepSpec
from apricotgap.jobs.team_demand import team_demand
from apricotgap.jobs.team_limits import LOWER_AFTER_MS
from tests.jobs_harness import Rig, entry, job, running
from tests.shard_days import LivingWorld
from tests.test_team_limits import Store, request_allowance, team_limits

pytestmark = pytest.mark.usefixtures("overload_state")

CORE = Resources(1000, 100)
# The limit of the team, far more than one worker has.
LIMIT = Resources(40_000)


def rig_with(step, **changes):
    """Return a rig with one worker of eight cores and one job of the step."""
    rig = Rig().ready()
    rig.submit(job(steps=(step,), **changes))
    return rig


def demand_cpu(rig):
    """Return the demand of the only team."""
    demand = team_demand(rig.shard, rig.now).get("bakers", NO_RESOURCES)
    return demand.cpu


def full_rig():
    """Return a rig whose worker is full, with a backlog of 100 tasks."""
    rig = rig_with(StepSpec(108, CORE, 800))
    starts = rig.schedule()
    for start in starts:
        rig.answer(start)
    rig.poll(running=[running(start, 10) for start in starts])
    assert len(starts) == 8
    return rig


def test_backlog_of_a_full_pool_leaves_the_limit_to_a_shard_with_room():
    """Guards against accepted work beside free workers while its team runs less than
    half of its limit: another shard, whose pool is full, held it for its backlog.
    """
    full, free = full_rig(), rig_with(StepSpec(8, CORE, 800))
    store, one, two = Store(), team_limits("one", LIMIT), team_limits("two", LIMIT)
    request_allowance(one, store, demand_cpu(full))
    request_allowance(two, store, demand_cpu(free))
    assert two.allowed("bakers").cpu >= 8_000
    assert one.allowed("bakers").cpu >= 8_000


def test_shard_gives_back_a_limit_that_its_pool_can_no_longer_use():
    """Guards against an allowance that stays with a pool that has filled up."""
    store, one, two = Store(), team_limits("one", LIMIT), team_limits("two", LIMIT)
    request_allowance(one, store, 40_000)
    full, free = full_rig(), rig_with(StepSpec(8, CORE, 800))
    for at_ms in (0, LOWER_AFTER_MS):
        request_allowance(one, store, demand_cpu(full), at_ms)
    request_allowance(two, store, demand_cpu(free), LOWER_AFTER_MS)
    assert two.allowed("bakers").cpu >= 8_000


def test_allowance_of_a_full_pool_does_not_flap_as_its_tasks_end():
    """Guards against a write of the split for each task that ends and starts."""
    world = LivingWorld(0, n_workers=3)
    world.has_late_calls = False
    world.start()
    world.play(2_000)
    world.limit_team(60_000)
    for _ in range(150):
        world.submit(3)
    world.play(2_000)
    n_before = world.split_revision
    world.play(10_000)
    assert world.shard.has_waiting_jobs
    assert world.split_revision <= n_before + 2


def test_task_that_a_worker_has_room_for_counts():
    """Guards against a limit that is never asked for, so that nothing starts."""
    rig = rig_with(StepSpec(3, CORE, 800))
    assert demand_cpu(rig) == 3_000


def test_task_on_a_suspect_worker_that_may_try_again_counts():
    """Guards against a pool of suspect workers that never gets a limit again."""
    rig = rig_with(StepSpec(1, Resources(8_000), 800))
    rig.shard.workers["w1"].suspect_since_ms = rig.now - 10_000
    assert demand_cpu(rig) == 8_000


def test_worker_that_pauses_after_a_refused_start_counts():
    """Guards against an allowance that follows each short pause of a worker."""
    rig = rig_with(StepSpec(3, CORE, 800))
    rig.shard.workers["w1"].block(rig.now + 200)
    assert demand_cpu(rig) == 3_000


@pytest.mark.parametrize(
    ("step", "cpu"),
    [
        (StepSpec(9, Resources(1000, 3_000), 800), 2_000),
        (StepSpec(9, Resources(5_000), 800), 5_000),
        (StepSpec(9, CORE, 800, max_per_worker=2), 2_000),
        (StepSpec(9, CORE, 800, required_label="gpu"), 0),
        (StepSpec(9, CORE, 800, is_gang=True), 0),
        (StepSpec(4, CORE, 800, is_gang=True), 4_000),
    ],
)
def test_demand_follows_what_fits(step, cpu):
    """Guards against a part of a limit that no worker can use."""
    assert demand_cpu(rig_with(step)) == cpu


def test_workers_that_take_no_work_do_not_count():
    """Guards against a part of a limit held for reserved or evacuated workers."""
    rig = rig_with(StepSpec(3, CORE, 800))
    rig.shard.reserve(["w1"], rig.now)
    assert demand_cpu(rig) == 0
    rig = rig_with(StepSpec(3, CORE, 800))
    rig.shard.evacuated = frozenset({"a"})
    assert demand_cpu(rig) == 0


def test_steps_that_share_the_room_count_it_once():
    """Guards against a demand above the whole pool for many small steps."""
    rig = rig_with(StepSpec(8, CORE, 800))
    sizes = (Resources(1000, 200), Resources(1000, 300))
    for number, size in enumerate(sizes):
        rig.submit(job(f"{number:016x}", (StepSpec(8, size, 800),)))
    assert demand_cpu(rig) == 8_000


def test_a_worker_that_drains_counts_with_its_runs_only():
    """Guards against a limit held for the room of a worker that leaves."""
    rig = full_rig()
    rig.list_workers(replace(entry("w1"), is_draining=True, free=Resources(16_000)))
    assert demand_cpu(rig) == 8_000
