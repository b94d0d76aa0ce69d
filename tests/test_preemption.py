"""Runs that are stopped for jobs which would otherwise end late."""

from dataclasses import replace

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.events import StopAnswered
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from apricotgap.jobs.preemption import Preemptor
from apricotgap.jobs.scheduling import Scheduler
from tests.jobs_harness import Rig, ended, job, running, stops

pytestmark = pytest.mark.usefixtures("overload_state")

URGENT, OTHER = "a" * 16, "b" * 16
BATCH = StepSpec(1, Resources(1000, 100), 20_000, checkpoints=True)
QUICK = StepSpec(4, Resources(1000, 100), 800)
# An objective of 2.7 s.
QUICK_FIELDS = {"slack_factor": 2.0, "target_latency_ms": 1_100}


class Pool(Rig):
    """A worker of eight cores that eight tasks of a less urgent queue have filled."""

    def __init__(self, step=BATCH, n_tasks=8, priority=1, age_ms=2_000):
        super().__init__()
        self.shard.loaded_ms = self.now - limits.MIGRATION_DELAY_MS
        demand = Demand(self.shard)
        demand.record_share(1)
        self.scheduler = Scheduler(self.shard, demand, self.overload)
        self.preemptor = Preemptor(self.shard, self.scheduler.service_order)
        self.ready()
        self.starts = []
        for n in range(n_tasks):
            self.submit_job(f"{n:016x}", step, priority=priority)
            self.starts += self.schedule()
            self.answer(self.starts[-1])
            self.now += 10
        self.advance(age_ms)

    def submit_job(self, job_id, step, **changes):
        spec = replace(job(job_id, (step,), **changes), submitted_ms=self.now)
        return self.submit(spec)

    def advance(self, span_ms, percent=10):
        self.now += span_ms
        self.poll(running=[running(start, percent) for start in self.starts])

    def urge(self, step=QUICK, **changes):
        """Submit a job of the most urgent queue, and look for runs to stop."""
        self.submit_job(URGENT, step, **(QUICK_FIELDS | changes))
        return self.look()

    def look(self):
        self.now += 100
        assert self.schedule() == []
        return self.preemptor.run(self.now)


def stopped(effects):
    return [stop.name.job_id for stop in stops(effects)]


def test_urgent_job_stops_the_newest_runs_of_a_less_urgent_queue():
    """Guards against an urgent peak that waits for long tasks to end.

    All capacity is used by tasks of 20 s as four tasks of 0.8 s arrive.
    """
    pool = Pool()
    effects = pool.urge()
    assert stopped(effects) == [f"{n:016x}" for n in (7, 6, 5, 4)]
    lines = [each for each in effects if isinstance(each, LogDecision)]
    assert [line.event for line in lines] == ["run_preempted"] * 4
    assert lines[0].fields["for_job"] == URGENT
    assert lines[0].fields["saved"] is False


def test_stops_under_way_count_as_room():
    """Guards against more stops than the waiting job needs, look after look."""
    pool = Pool()
    assert len(stopped(pool.urge())) == 4
    assert pool.look() == []


def test_run_that_ends_sooner_than_a_stop_counts_as_room():
    """Guards against stops of work that is about to be done."""
    pool = Pool()
    pool.advance(100, percent=90)
    assert pool.urge() == []


def test_one_run_is_enough_for_several_small_tasks():
    """Guards against one stop per task where a large run makes room for all."""
    pool = Pool(replace(BATCH, resources=Resources(4000, 100)), n_tasks=2)
    assert len(stopped(pool.urge())) == 1


@pytest.mark.parametrize(
    ("pool_changes", "job_changes"),
    [
        ({"step": replace(BATCH, checkpoints=False)}, {}),
        ({"step": replace(BATCH, is_long_running=True)}, {}),
        ({"step": replace(BATCH, is_gang=True)}, {}),
        ({"priority": 0}, {"priority": 1}),
        ({"age_ms": 200}, {}),
        ({}, {"target_latency_ms": 60_000}),
        ({}, {"target_latency_ms": 0, "slack_factor": 1.2}),
    ],
    ids=[
        "work would be lost",
        "long-running",
        "gang",
        "more urgent",
        "too young",
        "can wait",
        "too late for a stop",
    ],
)
def test_run_is_left_alone(pool_changes, job_changes):
    """Guards against stops that lose work, break promises or help nobody."""
    assert stopped(Pool(**pool_changes).urge(**job_changes)) == []


def test_runs_of_late_jobs_of_the_same_queue_are_stopped():
    """Guards against capacity that goes on to jobs which end late in any case.

    The runs have an objective of 41 s, and have done a tenth of 20 s after 30 s.
    """
    pool = Pool(priority=0, age_ms=30_000)
    assert len(stopped(pool.urge())) == 4


def test_nothing_is_stopped_right_after_a_takeover():
    """Guards against a second stop besides one that the previous owner has sent."""
    pool = Pool()
    pool.shard.loaded_ms = pool.now
    assert pool.urge() == []


def test_nothing_is_stopped_for_a_team_at_its_limit():
    """Guards against stops for a job that may not start in any case."""
    pool = Pool()
    pool.shard.is_within_team_limit = lambda *_: False
    assert pool.urge() == []


def test_nothing_is_stopped_on_a_worker_that_takes_no_work():
    """Guards against room on a machine that is to be emptied."""
    pool = Pool()
    pool.shard.reserve(["w1"], pool.now + 200)
    assert pool.urge() == []


def test_unsaved_job_is_saved_while_the_runs_stop():
    """Guards against room that another job takes while the urgent one is stored."""
    pool = Pool()
    spec = replace(job(URGENT, (QUICK,), **QUICK_FIELDS), submitted_ms=pool.now)
    pool.shard.submit(spec)
    pool.look()
    assert pool.shard.is_first_save_pending(pool.shard.jobs[URGENT])


def test_no_second_run_starts_before_the_end_of_the_first_is_known():
    """Guards against two runs of one task: the worker does not answer the stop.

    It goes on to answer polls, and lists neither the run nor its end while it stops it.
    """
    pool = Pool()
    effects = pool.urge(replace(QUICK, n_tasks=1))
    (stop,) = stops(effects)
    stopping = next(each for each in pool.starts if each.name == stop.name)
    pool.starts.remove(stopping)
    for _ in range(9):
        pool.advance(100)
        assert pool.schedule() == []
        assert pool.preemptor.run(pool.now) == []
    pool.shard.step(
        StopAnswered(pool.now, stop.worker_id, 1, stop.name, stop.run_id, False)
    )
    assert pool.schedule() == []
    pool.poll(
        running=[running(each, 10) for each in pool.starts],
        ends=[ended(1, stopping, RunEnd.STOPPED)],
    )
    assert [start.name.job_id for start in pool.schedule()] == [URGENT]


def test_room_of_a_stopped_run_goes_to_the_job_it_was_stopped_for():
    """Guards against work that is interrupted for a job in time, while another job that
    cannot end in time takes the room.

    The other job has an earlier objective and far more work than the worker can do.
    """
    pool = Pool()
    pool.submit_job(OTHER, replace(QUICK, n_tasks=60), **QUICK_FIELDS)
    pool.now += 300
    effects = pool.urge()
    lines = [each for each in effects if isinstance(each, LogDecision)]
    assert [line.fields["for_job"] for line in lines] == [URGENT] * 4
    stopping = {stop.name for stop in stops(effects)}
    pool.now += 200
    pool.poll(
        running=[
            running(each, 10) for each in pool.starts if each.name not in stopping
        ],
        ends=[
            ended(n, each, RunEnd.STOPPED)
            for n, each in enumerate(pool.starts, start=1)
            if each.name in stopping
        ],
    )
    assert [start.name.job_id for start in pool.schedule()] == [URGENT] * 4
