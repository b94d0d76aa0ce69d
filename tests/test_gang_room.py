"""Workers that are kept for gangs, and the jobs that leave them these workers."""

from dataclasses import replace

import pytest

from apricotgap.jobs.demand import RATE_WINDOW_MS, SCALE_DOWN_DELAY_MS, Demand
from apricotgap.jobs.gang_room import KEEP_MS
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.tickets import StepName
from tests.jobs_harness import FREE, SERVICE, Rig, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

WORKERS = ("w1", "w2", "w3", "w4", "w5")
ROOM_BOUND_MS = 3_000


def test_gangs_that_wait_at_different_times_leave_room_to_other_jobs_in_turn():
    """Guards against a job that waits beside free workers because one gang after
    another has them kept: the second gang began to wait while the first one kept none.
    """
    rig = Rig(workers=WORKERS).ready()
    occupied = StepSpec(1, FREE, 60_000)
    rig.submit(job("1" * 16, (occupied,)))
    (start,) = rig.schedule()
    rig.answer(start)
    gang = StepSpec(5, FREE, 800, is_gang=True)
    rig.submit(job("2" * 16, (gang,)))
    begun_ms = rig.now
    is_second_gang_there = is_small_job_there = False
    while rig.now < begun_ms + 12 * KEEP_MS:
        rig.now += 100
        for worker in WORKERS:
            is_occupied = worker == start.worker_id
            rig.poll(worker, running=[running(start, 1)] if is_occupied else ())
        waited_ms = rig.now - begun_ms
        if not is_second_gang_there and waited_ms >= KEEP_MS - 200:
            rig.submit(job("3" * 16, (gang,)))
            is_second_gang_there = True
        if not is_small_job_there and waited_ms > 3 * KEEP_MS:
            small = StepSpec(1, Resources(100, 100), 100)
            rig.submit(job("4" * 16, (small,), priority=1))
            is_small_job_there = True
            submitted_ms = rig.now
        starts = rig.schedule()
        if is_small_job_there and starts:
            break
    assert rig.now - submitted_ms < ROOM_BOUND_MS


def test_gang_beyond_the_limit_of_its_team_keeps_no_workers():
    """Guards against free workers that other jobs must leave to a gang which could not
    start on them.
    """
    rig = Rig(workers=WORKERS).ready()
    limit = replace(rig.shard.config.teams[0], limit=FREE)
    rig.shard.config = replace(rig.shard.config, teams=(limit,))
    rig.shard.team_limits.set_configuration(rig.shard.config)
    rig.shard.team_limits.record_split("bakers", {SERVICE: FREE}, 1)
    rig.submit(job("2" * 16, (StepSpec(5, FREE, 800, is_gang=True),)))
    assert not rig.schedule()
    rig.now += KEEP_MS
    for worker in WORKERS:
        rig.poll(worker)
    small = StepSpec(1, Resources(100, 100), 100)
    rig.submit(job("4" * 16, (small,), priority=1))
    assert rig.schedule()


def test_gang_that_no_worker_may_run_keeps_no_workers():
    """Guards against free workers that other jobs must leave to a gang which the
    placement policy of its queue allows on none of them.
    """
    rig = Rig(workers=WORKERS).ready()
    (queue,) = rig.shard.config.queues
    strict = replace(queue, name="strict", needs_ticket=True)
    rig.shard.config = replace(rig.shard.config, queues=(queue, strict))
    gang = StepSpec(5, FREE, 800, is_gang=True)
    rig.submit(replace(job("2" * 16, (gang,)), queue="strict"))
    assert not rig.schedule()
    step = StepName("2" * 16, 0, 0)
    rig.shard.tickets.handle_response(step, rig.shard.workers.values(), {}, 0)
    assert not rig.schedule()
    rig.now += KEEP_MS
    for worker in WORKERS:
        rig.poll(worker)
    small = StepSpec(1, Resources(100, 100), 100)
    rig.submit(job("4" * 16, (small,), priority=1))
    assert rig.schedule()


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize(
    "gang",
    [
        StepSpec(4, Resources(100, 100), 100, is_gang=True, max_per_worker=1),
        StepSpec(4, FREE, 100, is_gang=True),
    ],
)
def test_pool_grows_to_the_workers_that_a_gang_needs_at_once(gang, is_late):
    """Guards against a gang that never starts, since the pool has too few workers for
    its members and the work of the gang is too little to ask for more.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    rig.shard.unix_offset_ms = 1_000_000
    submitted_ms = 0 if is_late else rig.shard.unix_of(rig.now)
    wide = replace(job("2" * 16, (gang,)), submitted_ms=submitted_ms)
    wide = replace(wide, target_latency_ms=30_000)
    rig.submit(wide)
    demand = Demand(rig.shard)
    demand.record_job(wide, rig.now)
    rig.now += RATE_WINDOW_MS + SCALE_DOWN_DELAY_MS
    assert rig.schedule() == []
    assert demand.wanted(rig.now) + demand.wanted_for_late_jobs(rig.now) >= 4


def test_workers_full_of_tasks_that_last_do_not_count_for_a_gang():
    """Guards against a gang that never starts beside long-running tasks: the pool has
    as many workers as the gang needs, but not as much room.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    long_running = StepSpec(2, FREE, is_long_running=True)
    rig.shard.reported_ms = rig.now
    rig.submit(job("1" * 16, (long_running,)))
    for start in rig.schedule():
        rig.answer(start)
    rig.submit(job("2" * 16, (StepSpec(4, FREE, 100, is_gang=True),)))
    demand = Demand(rig.shard)
    assert demand.wanted(rig.now) + demand.wanted_for_late_jobs(rig.now) >= 6


def test_pool_grows_for_no_gang_that_can_never_start():
    """Guards against machines that are kept in a pool for a gang which the limit of its
    team, or the labels of the workers, rule out.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    limit = replace(rig.shard.config.teams[0], limit=FREE)
    rig.shard.config = replace(rig.shard.config, teams=(limit,))
    rig.shard.team_limits.set_configuration(rig.shard.config)
    gang = StepSpec(40, Resources(1, 1), 100, is_gang=True, max_per_worker=1)
    rig.submit(job("1" * 16, (replace(gang, resources=FREE),)))
    rig.submit(job("2" * 16, (replace(gang, required_label="gpu"),)))
    demand = Demand(rig.shard)
    assert demand.wanted_for_late_jobs(rig.now) < 20
    rig.submit(job("3" * 16, (gang,)))
    assert demand.wanted_for_late_jobs(rig.now) >= 38
