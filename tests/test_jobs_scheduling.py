"""Tests of scheduling order, placement, stragglers, pacing, tickets and demand."""

from dataclasses import replace
from math import ceil

import pytest

from apricotgap.jobs import demand, limits
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.effects import PaceRun, StopRun
from apricotgap.jobs.events import RunReport, StartAnswered, StartResult
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from apricotgap.jobs.pacing import Pacer
from apricotgap.jobs.stragglers import StragglerDetector
from apricotgap.jobs.tickets import StepName
from tests.jobs_harness import (
    FREE,
    Rig,
    configuration,
    ended,
    entry,
    job,
    running,
    task,
)

pytestmark = pytest.mark.usefixtures("overload_state")

ONE = StepSpec(1, Resources(1000, 100), 800)


def effects_of(kind, effects):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_long_running_jobs_come_first_and_late_jobs_last():
    """Guards against timely jobs delayed for one that misses its objective anyway."""
    rig = Rig(workers=())
    rig.list_workers(entry("w1", free=Resources(1000, 8000)))
    rig.ready()
    rig.shard.unix_offset_ms = 1_000_000
    now = rig.shard.unix_of(rig.now)
    late = replace(job("a" * 16, steps=(ONE,)), submitted_ms=now - 60_000)
    timely = replace(job("b" * 16, steps=(ONE,)), submitted_ms=now)
    long_running = job("c" * 16, steps=(replace(ONE, is_long_running=True),))
    for spec in (late, timely, long_running):
        rig.submit(spec)
    order = []
    for number in (1, 2, 3):
        (start,) = rig.schedule()
        order.append(start.name.job_id[0])
        if start.name.job_id[0] == "c":
            rig.shard.cancel("c" * 16, now, rig.now)
        rig.poll(ends=[ended(number, start, RunEnd.DONE)])
    assert order == ["c", "b", "a"]


def test_max_per_worker_limits_tasks_on_a_worker():
    """Guards against more tasks of a step on a worker than the step allows."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(replace(ONE, n_tasks=3, max_per_worker=1),)))
    assert sorted(start.worker_id for start in rig.schedule()) == ["w1", "w2"]


def test_task_starts_only_on_a_worker_with_its_label():
    """Guards against a start on a worker without the required label."""
    rig = Rig()
    rig.list_workers(entry("w1"), entry("w2", labels=("k", "r2", "fast")))
    rig.ready()
    rig.submit(job(steps=(replace(ONE, required_label="fast"),)))
    assert [start.worker_id for start in rig.schedule()] == ["w2"]


def test_nothing_starts_on_draining_or_evacuated_workers():
    """Guards against starts on workers that are about to leave."""
    rig = Rig()
    rig.list_workers(entry("w1"), entry("w2"), entry("w3", data_centre="b"))
    rig.ready()
    rig.list_workers(
        entry("w1", is_draining=True), entry("w2"), entry("w3", data_centre="b")
    )
    rig.shard.evacuated = frozenset({"b"})
    rig.submit(job(steps=(replace(ONE, n_tasks=4),)))
    assert {start.worker_id for start in rig.schedule()} == {"w2"}


def test_workers_are_not_filled_beyond_their_capacity():
    """Guards against a pass that ignores the runs it has already placed."""
    rig = Rig().ready()
    rig.submit(job(steps=(replace(ONE, n_tasks=20),)))
    assert len(rig.schedule()) == 8


def test_gang_starts_whole_or_not_at_all():
    """Guards against part of a gang reserving resources while it waits."""
    gang = StepSpec(3, Resources(4000, 100), 800, is_gang=True)
    rig = Rig().ready()
    rig.submit(job(steps=(gang,)))
    assert rig.schedule() == []
    rig.list_workers(entry("w1"), entry("w2"))
    rig.ready()
    starts = rig.schedule()
    assert len(starts) == 3
    assert len({start.run_id for start in starts}) == 1


def test_scheduled_occurrence_does_not_start_before_its_time():
    """Guards against occurrences of a timed job that start early or all at once."""
    rig = Rig().ready()
    timed = job(steps=(ONE,), n_occurrences=2, start_ms=rig.now + 500, interval_ms=500)
    rig.submit(timed)
    assert rig.schedule() == []
    rig.now += 500
    rig.poll()
    assert [start.name.occurrence for start in rig.schedule()] == [0]


def started(rig, step):
    rig.submit(job(steps=(step,)))
    (start,) = rig.schedule()
    rig.shard.step(
        StartAnswered(
            rig.now, start.worker_id, 1, start.name, start.run_id, StartResult("ok")
        )
    )
    return start


def test_stalled_run_is_stopped():
    """Guards against a run without progress that keeps its job from finishing."""
    rig = Rig(workers=("w1", "w2")).ready()
    start = started(rig, ONE)
    rig.now += 5_000
    rig.poll(start.worker_id, running=[running(start, 0)])
    effects = StragglerDetector(rig.shard).run(rig.now)
    assert [stop.name for stop in effects_of(StopRun, effects)] == [start.name]


def test_run_without_news_from_its_worker_does_not_count_as_stalled():
    """Guards against restarting a run only because its worker's response is late."""
    rig = Rig(workers=("w1", "w2")).ready()
    start = started(rig, ONE)
    rig.now += 700
    rig.poll(start.worker_id, running=[running(start, 60)])
    rig.now += 1_400
    assert StragglerDetector(rig.shard).run(rig.now) == []


def test_late_task_that_allows_duplicates_gets_one_copy_elsewhere():
    """Guards against copies on the slow worker and against more than one copy."""
    rig = Rig(workers=("w1", "w2")).ready()
    start = started(rig, replace(ONE, allows_duplicates=True))
    rig.now += 5_000
    for worker in ("w1", "w2"):
        rows = [running(start, 5)] if worker == start.worker_id else []
        rig.poll(worker, running=rows)
    assert not effects_of(StopRun, StragglerDetector(rig.shard).run(rig.now))
    (copy,) = rig.schedule()
    assert copy.worker_id != start.worker_id
    assert rig.schedule() == []


def test_best_effort_task_is_throttled_beside_serving_task_near_its_target():
    """Guards against best-effort work that makes a serving task miss its target."""
    rig = Rig().ready()
    serving = StepSpec(1, Resources(1000, 100), is_long_running=True, target_ms=100)
    filling = StepSpec(
        1, Resources(1000, 100), is_long_running=True, is_best_effort=True
    )
    rig.submit(job(steps=(serving, filling)))
    starts = rig.schedule()
    for start in starts:
        rig.answer(start)

    def run_pacer(tail_ms):
        rig.now += limits.PACE_INTERVAL_MS
        rig.poll(
            running=[
                RunReport(starts[0].name, starts[0].run_id, "", 100, tail_ms),
                RunReport(starts[1].name, starts[1].run_id, "", 100, 500),
            ]
        )
        return effects_of(PaceRun, Pacer(rig.shard).run(rig.now))

    (slowed,) = run_pacer(90)
    assert (slowed.name.step, slowed.percent) == (1, 50)
    (sped_up,) = run_pacer(10)
    assert sped_up.percent > 50


def test_task_that_an_earlier_owner_has_throttled_is_sped_up():
    """Guards against a best-effort task that stands still after a takeover: its owner
    has stopped its work, and the next one believes it at full pace.
    """
    rig = Rig(epoch=2).ready()
    filling = replace(ONE, is_long_running=True, is_best_effort=True)
    spec = rig.submit(job(steps=(filling,))).spec
    adopted = RunReport(task(0, spec.job_id), 1, "", 40, 0)
    rig.poll(running=[adopted])
    rig.now += limits.PACE_INTERVAL_MS
    (order,) = effects_of(PaceRun, Pacer(rig.shard).run(rig.now))
    assert (order.name, order.run_id, order.percent) == (adopted.name, 1, 100)
    rig.now += limits.PACE_INTERVAL_MS
    assert not effects_of(PaceRun, Pacer(rig.shard).run(rig.now))


def test_queue_with_placement_policy_starts_only_with_a_ticket():
    """Guards against a start that the advice service has not approved."""
    rig = Rig().ready()
    config = configuration()
    queue = replace(config.queues[0], needs_ticket=True)
    rig.shard.config = type(config)(2, (queue,), config.services, config.teams)
    rig.submit(job(steps=(ONE,)))
    assert rig.schedule() == []
    step, workers = rig.shard.tickets.next_request()
    assert step == StepName.of(task(0))
    rig.shard.tickets.handle_response(step, workers, {"w1": "t-1"}, rig.now + 3_000)
    assert [start.ticket for start in rig.schedule()] == ["t-1"]


def test_denied_worker_is_not_requested_again():
    """Guards against repeated calls for a worker that the policy never approves."""
    rig = Rig().ready()
    tickets = rig.shard.tickets
    worker = rig.shard.workers["w1"]
    step = StepName.of(task(0))
    assert tickets.find(step, worker, rig.now) is None
    tickets.handle_response(*tickets.next_request(), {}, rig.now + 3_000)
    assert tickets.find(step, worker, rig.now) is None
    assert tickets.next_request() is None


def test_demand_rises_with_arriving_work_and_falls_after_a_delay():
    """Guards against a pool that does not grow under load or never shrinks."""
    rig = Rig().ready()
    estimator = Demand(rig.shard)
    assert estimator.wanted(rig.now) == demand.MIN_WORKERS
    heavy = job(steps=(replace(ONE, n_tasks=100),))
    estimator.record_job(heavy, rig.now)
    assert estimator.wanted(rig.now) > demand.MIN_WORKERS
    rig.now += demand.RATE_WINDOW_MS + demand.SCALE_DOWN_DELAY_MS + 1
    assert estimator.wanted(rig.now) == demand.MIN_WORKERS


def test_demand_covers_long_running_tasks_limited_per_worker():
    """Guards against long-running tasks that never start for lack of workers."""
    rig = Rig().ready()
    apart = replace(
        ONE, n_tasks=18, is_long_running=True, estimated_ms=0, max_per_worker=2
    )
    rig.submit(job(steps=(apart,)))
    assert Demand(rig.shard).wanted(rig.now) == 9


def test_start_of_a_burst_raises_demand_before_the_long_average_does():
    """Guards against machines that are moved in only after the backlog has grown."""
    rig = Rig().ready()
    estimator = Demand(rig.shard)
    wide = replace(ONE, n_tasks=10)
    for _ in range(demand.MIN_BURST_JOBS):
        estimator.record_job(job(steps=(wide,)), rig.now)
    work = (
        demand.MIN_BURST_JOBS * 10 * ONE.allocation.core_equivalents * ONE.estimated_ms
    )
    cores = work / demand.MIN_BURST_MS
    assert estimator.wanted(rig.now) >= cores / (FREE.cpu / 1000)


def test_single_large_job_is_no_rate():
    """Guards against one job that draws machines from all other pools."""
    rig = Rig().ready()
    estimator = Demand(rig.shard)
    long = replace(ONE, n_tasks=16, estimated_ms=60_000)
    estimator.record_job(job(steps=(long,)), rig.now)
    rig.submit(job(steps=(long,)))
    n_workers = 16 * ONE.allocation.core_equivalents / (FREE.cpu / 1000)
    growth = demand.HEADROOM * (1 + demand.MAX_BACKLOG_SHARE)
    assert estimator.wanted(rig.now) <= ceil(n_workers * growth)


def test_late_jobs_are_no_demand_for_jobs_in_time():
    """Guards against late jobs that take machines from those that can be in time."""
    rig = Rig().ready()
    estimator = Demand(rig.shard)
    for n in range(40):
        late = replace(job(f"{n:016x}", steps=(replace(ONE, n_tasks=8),)))
        rig.submit(late)
    rig.now += 60_000
    assert estimator.wanted(rig.now) == demand.MIN_WORKERS
    assert estimator.wanted_for_late_jobs(rig.now) > 1


def test_pace_that_an_earlier_owner_has_set_is_lifted():
    """Guards against a task that stands still for good: the owner that had halted it
    beside a serving task is gone, and its successor takes the task to be at full pace.
    """
    filler = StepSpec(
        1, Resources(1000, 100), is_long_running=True, is_best_effort=True
    )
    rig = Rig().ready()
    rig.submit(job(steps=(filler,)))
    earlier = RunReport(task(0), 7, "", 100, 0.0)
    rig.poll(running=[earlier])
    orders = effects_of(PaceRun, Pacer(rig.shard).run(rig.now))
    assert [(order.run_id, order.percent) for order in orders] == [(7, 100)]
    rig.now += limits.PACE_INTERVAL_MS
    assert not effects_of(PaceRun, Pacer(rig.shard).run(rig.now))
