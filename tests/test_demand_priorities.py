"""Demand of a shard by priority, and what a machine that is moved in can still help."""

from apricotgap.jobs import demand
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.remaining_time import remaining_ms
from tests.jobs_harness import Rig, entry, job, running, task

WIDE = StepSpec(16, Resources(1000, 100), 2_000)


def rig_at_the_start(*workers):
    """Return a rig in which jobs are submitted now, at Unix time 0."""
    rig = Rig(workers=workers or ("w1",)).ready()
    rig.shard.unix_offset_ms = -rig.now
    return rig


def submit(rig, estimator, number, **changes):
    spec = job(f"{number:016x}", steps=(WIDE,), **changes)
    estimator.record_job(spec, rig.now)
    rig.submit(spec)


def test_demand_is_reported_by_priority():
    """Load: jobs of two priorities in one shard.

    Guards against a fleet owner that cannot tell urgent from other demand.
    """
    rig = rig_at_the_start()
    estimator = Demand(rig.shard)
    for number in range(6):
        submit(rig, estimator, number, priority=number % 2)
    report = estimator.report((), 3, rig.now)
    assert report.wanted_first == demand.MIN_WORKERS
    assert [priority for priority, _ in report.wanted_by_priority] == [0, 1]
    in_levels = sum(n for _, n in report.wanted_by_priority)
    assert report.wanted == report.wanted_first + in_levels
    assert all(n > 0 for _, n in report.wanted_by_priority)


def wanted_with_backlog(slack_ms, n_new_workers=0):
    """Return the demand of 10 full workers with jobs that wait and have this slack.

    New workers have just joined the pool, before anything could start on them.
    """
    names = [f"w{number}" for number in range(1, 11 + n_new_workers)]
    rig = rig_at_the_start(*names[:10])
    for number in range(8):
        changes = {"slack_factor": 1.0, "target_latency_ms": slack_ms}
        rig.submit(job(f"{number:016x}", steps=(WIDE,), **changes))
    while rig.schedule():
        pass
    rig.list_workers(*map(entry, names))
    for name in names[10:]:
        rig.poll(name)
    return Demand(rig.shard).wanted(rig.now)


def test_backlog_that_cannot_wait_for_a_machine_draws_none():
    """Load: a peak of jobs with little slack that fills its pool.

    Guards against machines that arrive when the jobs that drew them are late.
    """
    soon_ms, later_ms = demand.MOVE_IN_MS - 100, demand.MOVE_IN_MS + 100
    assert wanted_with_backlog(soon_ms) == wanted_with_backlog(0) == 11
    assert wanted_with_backlog(later_ms) == 18


def test_backlog_that_cannot_wait_keeps_the_machines_that_are_there():
    """Guards against a pool that shrinks while jobs in time wait in it."""
    soon_ms = demand.MOVE_IN_MS - 100
    assert wanted_with_backlog(soon_ms, n_new_workers=6) >= 16


def test_workers_in_use_are_those_of_jobs_in_time():
    """Guards against late jobs that keep machines from a more urgent pool."""
    rig = rig_at_the_start("w1", "w2")
    estimator = Demand(rig.shard)
    submit(rig, estimator, 1)
    starts = rig.schedule()
    assert len(starts) == 16
    assert estimator.report((), 2, rig.now).n_busy >= 2
    rig.now += 60_000
    assert estimator.report((), 2, rig.now).n_busy == 0


class TestRemainingTime:
    """Estimate of how long a run still takes."""

    def rig(self, checkpoint=""):
        rig = rig_at_the_start()
        spec = job(steps=(StepSpec(1, Resources(1000, 100), 2_000),))
        rig.submit(spec)
        rig.shard.jobs[spec.job_id].record(task(0)).checkpoint = checkpoint
        (self.start,) = rig.schedule()
        rig.answer(self.start)
        return rig

    def left_ms(self, rig):
        worker = rig.shard.workers["w1"]
        (run,) = worker.runs.values()
        return remaining_ms(run, worker.answered_ms, rig.now)

    def list_after(self, rig, span_ms, percent):
        rig.now += span_ms
        rig.poll(running=[running(self.start, percent)])

    def test_estimate_counts_until_there_is_progress(self):
        """Guards against a run that seems to end as it starts."""
        rig = self.rig()
        rig.now += 500
        assert self.left_ms(rig) == 1_500

    def test_progress_counts_for_more_than_the_estimate(self):
        """Guards against a run seven times as long as estimated that seems to end."""
        rig = self.rig()
        self.list_after(rig, 1_000, 10)
        assert self.left_ms(rig) == 9_000
        rig.now += 600
        assert self.left_ms(rig) == 8_400

    def test_stalled_run_takes_as_long_as_a_new_one(self):
        """Guards against a run without progress that seems to be about to end."""
        rig = self.rig()
        self.list_after(rig, 2_500, 1)
        assert self.left_ms(rig) == 2_000

    def test_progress_from_before_a_resumption_is_no_speed(self):
        """Guards against a resumed run that seems to be as fast as its checkpoint."""
        rig = self.rig(checkpoint="saved")
        self.list_after(rig, 100, 80)
        assert self.left_ms(rig) == 400
        self.list_after(rig, 1_000, 85)
        assert self.left_ms(rig) == 3_000
