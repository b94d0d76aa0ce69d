"""Demand of tasks that fit on none of the workers that a pool keeps."""

from dataclasses import replace
from unittest import mock

from apricotgap.jobs.configuration import Team
from apricotgap.jobs.demand import MIN_WORKERS, Demand
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.room_demand import _Room
from apricotgap.jobs.tickets import StepName
from tests.jobs_harness import FREE, SERVICE, Rig, entry, job, running

# Four of them fill the memory of a worker and a quarter of its cores.
HEAVY = Resources(500, 2000)
SERVICE_STEP = StepSpec(12, HEAVY, is_long_running=True)


def rig_with(n_workers, *specs):
    """Return a rig that has started what fits of these jobs."""
    rig = Rig(workers=[f"w{number}" for number in range(1, n_workers + 1)]).ready()
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.shard.unix_offset_ms = -rig.now
    for spec in specs:
        rig.submit(spec)
    while rig.schedule():
        pass
    return rig


def wanted(rig):
    return Demand(rig.shard).wanted(rig.now)


def wanted_late(rig):
    return Demand(rig.shard).wanted_for_late_jobs(rig.now)


def test_long_running_tasks_without_room_draw_workers():
    """Guards against long-running tasks that wait for good beside spare machines: the
    demand counts the cores of those that run, and the waiting ones lack memory.
    """
    rig = rig_with(2, job(steps=(SERVICE_STEP,)))
    state = rig.shard.jobs["j" * 16]
    assert len(state.waiting[0, 0]) == 4
    assert wanted(rig) == 3
    # One more worker is enough.
    rig.list_workers(entry("w1"), entry("w2"), entry("w3"))
    rig.ready()
    assert wanted(rig) == 3
    rig.schedule()
    assert not state.waiting[0, 0]
    assert wanted(rig) <= 3


def test_finite_task_without_room_beside_long_running_ones_draws_a_worker():
    """Guards against a job that never starts: long-running tasks use up the memory of
    each worker, and its few cores ask for no other one.
    """
    finite = job("f" * 16, steps=(StepSpec(1, Resources(500, 1000), 100),))
    full = job(steps=(replace(SERVICE_STEP, n_tasks=8),))
    rig = rig_with(2, full, finite)
    assert rig.shard.jobs["f" * 16].waiting[0, 0]
    assert wanted(rig) == 3


def test_late_task_without_room_beside_long_running_ones_draws_a_worker():
    """Guards against the same wait of a job that can only end late."""
    finite = job("f" * 16, steps=(StepSpec(1, Resources(500, 1000), 100),))
    full = job(steps=(replace(SERVICE_STEP, n_tasks=8),))
    rig = rig_with(2, full, finite)
    rig.shard.unix_offset_ms += 1_000_000
    assert wanted(rig) == MIN_WORKERS
    assert wanted_late(rig) == 1


def test_long_running_tasks_on_reserved_workers_draw_room_to_migrate_to():
    """Guards against maintenance that ends late: no kept worker has the memory for the
    long-running tasks of the workers that are to be emptied.
    """
    rig = rig_with(3, job(steps=(SERVICE_STEP,)))
    rig.shard.reserve(["w2", "w3"], rig.now)
    # One kept worker, and two for what the reserved ones run.
    assert wanted(rig) == 3


def test_tasks_that_no_worker_could_run_draw_none():
    """Guards against a pool that grows without end for a task that fits nowhere."""
    too_large = StepSpec(3, Resources(500, 9000), is_long_running=True)
    too_large_finite = StepSpec(3, Resources(500, 9000), 100)
    rig = rig_with(2, job(steps=(too_large,)), job("f" * 16, steps=(too_large_finite,)))
    assert wanted(rig) == MIN_WORKERS
    assert wanted_late(rig) == 0


def rig_with_limit(n_workers, limit, allowance, *specs):
    """Return a rig whose team has a limit and a stored allowance in this shard."""
    rig = Rig(workers=[f"w{number}" for number in range(1, n_workers + 1)])
    team = Team("bakers", frozenset({"key"}), 1.0, limit)
    others = Team("others", frozenset({"key2"}), 1.0, Resources())
    rig.shard.config = replace(rig.shard.config, version=2, teams=(team, others))
    rig.shard.team_limits.set_configuration(rig.shard.config)
    rig.shard.team_limits.record_split("bakers", {SERVICE: allowance}, 1)
    rig.ready()
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.shard.unix_offset_ms = -rig.now
    for spec in specs:
        rig.submit(spec)
    while rig.schedule():
        pass
    return rig


def test_tasks_beyond_the_limit_of_their_team_draw_none():
    """Guards against machines that are paid for tasks that may not start."""
    limit = HEAVY.times(8)
    rig = rig_with_limit(2, limit, limit, job(steps=(SERVICE_STEP,)))
    assert len(rig.shard.jobs["j" * 16].waiting[0, 0]) == 4
    assert wanted(rig) == MIN_WORKERS


def test_task_above_the_allowance_of_its_team_draws_room():
    """Guards against a task that waits for good: the allowance of its team is raised
    only for tasks that have room, and room was asked for only within the allowance.
    """
    full = replace(job(steps=(replace(SERVICE_STEP, n_tasks=8),)), team="others")
    lasting = job("l" * 16, steps=(replace(SERVICE_STEP, n_tasks=1),))
    finite = job("f" * 16, steps=(StepSpec(1, HEAVY, 100),))
    limit, allowance = Resources(8000, 24_000), Resources(500, 1600)
    for waiting in (lasting, finite):
        rig = rig_with_limit(2, limit, allowance, full, waiting)
        assert rig.shard.jobs[waiting.job_id].waiting[0, 0]
        assert wanted(rig) == 3


def test_waiting_tasks_draw_workers_up_to_the_limit_of_their_team_only():
    """Guards against machines that are paid for and stay empty: the limit allows one
    more task of the many that wait.
    """
    limit = Resources(8000, 18_000)
    rig = rig_with_limit(
        2, limit, limit, job(steps=(replace(SERVICE_STEP, n_tasks=40),))
    )
    assert len(rig.shard.jobs["j" * 16].runs) == 8
    assert wanted(rig) == 3


def test_reserved_tasks_of_a_team_at_its_limit_draw_room_to_migrate_to():
    """Guards against maintenance that ends late: what the tasks use on the workers that
    are to be emptied counts towards the limit already.
    """
    limit = Resources(8000, 24_000)
    rig = rig_with_limit(3, limit, limit, job(steps=(SERVICE_STEP,)))
    assert len(rig.shard.jobs["j" * 16].runs) == 12
    rig.shard.reserve(["w2", "w3"], rig.now)
    assert wanted(rig) == 3


def test_limit_that_other_shards_have_taken_draws_no_worker():
    """Guards against machines for tasks that only the share of other shards allows."""
    rig = rig_with_limit(2, Resources(8000, 18_000), Resources(8000, 16_000))
    split = {SERVICE: Resources(8000, 16_000), "other": Resources(0, 2000)}
    rig.shard.team_limits.record_split("bakers", split, 2)
    rig.submit(job(steps=(SERVICE_STEP,)))
    while rig.schedule():
        pass
    assert len(rig.shard.jobs["j" * 16].runs) == 8
    assert wanted(rig) == MIN_WORKERS


def test_small_long_running_tasks_share_the_workers_that_they_draw():
    """Guards against a pool that takes a machine for each job, from others or paid for,
    although all of them fit on one.
    """
    small = StepSpec(1, Resources(300, 300), is_long_running=True)
    rig = Rig(workers=("w1", "w2")).ready()
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    for number in range(20):
        rig.submit(job(f"{number:016d}", steps=(small,)))
    assert wanted(rig) == MIN_WORKERS


def test_tasks_of_one_kind_are_compared_with_the_workers_once():
    """Guards against an owner that is busy with its demand: many jobs wait whose tasks
    fit on no worker, and each was compared with each worker, twice a report.
    """
    full = job(steps=(replace(SERVICE_STEP, n_tasks=8),))
    rig = rig_with(2, full)
    for number in range(50):
        waiting = StepSpec(1, Resources(500, 1000), 100)
        rig.submit(job(f"{number:016d}", steps=(waiting,)))
    with mock.patch.object(
        _Room, "fits", autospec=True, side_effect=_Room.fits
    ) as fits:
        report = Demand(rig.shard).report((), None, rig.now)
    assert report.wanted == 3
    assert fits.call_count == 1


def test_long_running_task_that_may_not_share_a_worker_draws_one():
    """Guards against a task that waits for good: the workers with room for it run as
    many tasks of its step as one may, and the other one is full.
    """
    apart = StepSpec(3, Resources(100, 100), is_long_running=True, max_per_worker=1)
    full = replace(SERVICE_STEP, n_tasks=4)
    rig = rig_with(1, job(steps=(full,)))
    rig.list_workers(entry("w1"), entry("w2"), entry("w3"))
    rig.ready()
    rig.submit(job("a" * 16, steps=(apart,)))
    while rig.schedule():
        pass
    assert len(rig.shard.jobs["a" * 16].waiting[0, 0]) == 1
    assert wanted(rig) == 4


def test_worker_that_turns_starts_away_is_no_room():
    """Guards against a task that waits as long as the only worker with room is
    unhealthy: it answers polls, and the demand counted its room.
    """
    rig = Rig(workers=("w1",)).ready()
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.submit(job(steps=(replace(SERVICE_STEP, n_tasks=4),)))
    begun = rig.schedule()
    for start in begun:
        rig.answer(start)

    def poll_later():
        rig.now += 1_500
        rig.poll("w1", [running(start) for start in begun if start.worker_id == "w1"])
        rig.poll("w2", [running(start) for start in begun if start.worker_id == "w2"])

    rig.list_workers(entry("w1"), entry("w2"))
    rig.ready_only("w2")
    rig.submit(job("a" * 16, steps=(replace(SERVICE_STEP, n_tasks=1),)))
    for kind in ("busy", "busy"):
        (start,) = rig.schedule()
        assert start.worker_id == "w2"
        rig.answer(start, kind)
        poll_later()
    assert wanted(rig) == 3
    (start,) = rig.schedule()
    rig.answer(start)
    begun.append(start)
    poll_later()
    assert wanted(rig) == MIN_WORKERS


def test_late_task_draws_no_workers_that_long_running_tasks_have_already():
    """Guards against a pool that grows to twice its size for one late task: the workers
    of the long-running tasks counted a second time.
    """
    whole = StepSpec(10, Resources(8000, 100), is_long_running=True)
    rig = rig_with(10, job(steps=(whole,)))
    rig.submit(job("f" * 16, steps=(StepSpec(1, Resources(500, 1000), 100),)))
    rig.shard.unix_offset_ms += 1_000_000
    report = Demand(rig.shard).report((), None, rig.now)
    assert report.wanted >= 10
    assert report.wanted_late == 1


def test_new_workers_are_counted_however_many_tasks_wait():
    """Guards against an owner that is busy with its demand: callers may hand in jobs of
    20,000 tasks, each of which needs a worker of its own.
    """
    whole = StepSpec(20_000, Resources(8000, 100), is_long_running=True)
    small = StepSpec(20_000, Resources(0, 100), is_long_running=True)
    rig = Rig(workers=("w1", "w2")).ready()
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    for number in range(5):
        rig.submit(job(f"{number:016d}", steps=(whole,)))
    rig.submit(job("s" * 16, steps=(small,)))
    assert wanted(rig) == 100_000
    room = _Room((), 0, (FREE,))
    step_name = StepName("j" * 16, 0, 0)
    for _ in range(5):
        room.take(step_name, whole, 20_000)
    room.take(step_name, small, 20_000)
    assert room.n_new == 100_000
    assert len(room._new) < 10
