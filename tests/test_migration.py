"""Runs that leave reserved and draining workers."""

from dataclasses import replace

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.events import StopAnswered
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from apricotgap.jobs.overload_options import OverloadOptions
from tests.jobs_harness import (
    Rig,
    ended,
    entry,
    job,
    running,
    stops,
)

STOPS_FINITE_RUNS = OverloadOptions(stops_finite_runs=True)


@pytest.mark.usefixtures("overload_state")
def test_stopping_run_counts_until_its_end_is_listed():
    """Guards against a second run: workers do not list a run while they stop it."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), is_long_running=True),)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, running=[running(start)])
    rig.shard.reserve([start.worker_id], rig.now)
    (stop,) = stops(Migrator(rig.shard, rig.overload).run(rig.now))
    rig.now += 100
    rig.shard.step(
        StopAnswered(rig.now, stop.worker_id, 1, stop.name, stop.run_id, True)
    )
    rig.now += 100
    other = "w2" if start.worker_id == "w1" else "w1"
    rig.poll(start.worker_id)
    rig.poll(other)
    assert rig.schedule() == []
    rig.poll(start.worker_id, ends=[ended(1, start, RunEnd.STOPPED)])
    assert len(rig.schedule()) == 1


@pytest.mark.usefixtures("overload_state")
class TestBudget:
    """Long-running runs are migrated within the `max_unavailable` of their step."""

    steps = (
        StepSpec(
            2,
            Resources(1000, 100),
            is_long_running=True,
            max_per_worker=1,
            max_unavailable=1,
        ),
    )

    def rig(self):
        rig = Rig(workers=("w1", "w2", "w3")).ready()
        rig.submit(job(steps=self.steps))
        self.starts = rig.schedule()
        for start in self.starts:
            rig.answer(start)
            rig.poll(start.worker_id, running=[running(start)])
        return rig

    def test_one_run_leaves_a_reserved_worker(self):
        """Guards against a reserved worker that is never emptied."""
        rig = self.rig()
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert [
            stop.name for stop in stops(Migrator(rig.shard, rig.overload).run(rig.now))
        ] == [self.starts[0].name]

    def test_no_second_run_leaves_while_the_first_is_unavailable(self):
        """Guards against two stops in one pass or in consecutive passes."""
        rig = self.rig()
        rig.shard.reserve([start.worker_id for start in self.starts], rig.now)
        assert len(stops(Migrator(rig.shard, rig.overload).run(rig.now))) == 1
        assert stops(Migrator(rig.shard, rig.overload).run(rig.now)) == []

    def test_draining_worker_uses_the_budget_before_a_reserved_one(self):
        """Guards against one unavailable run too many: the draining worker's leaves
        in any case.
        """
        rig = self.rig()
        reserved, leaving = (start.worker_id for start in self.starts)
        listed = [entry("w1"), entry("w2"), entry("w3")]
        rig.list_workers(
            *(replace(each, is_draining=each.worker_id == leaving) for each in listed)
        )
        rig.shard.reserve([reserved], rig.now)
        found = stops(Migrator(rig.shard, rig.overload).run(rig.now))
        assert [stop.worker_id for stop in found] == [leaving]

    def test_no_run_leaves_while_the_worker_of_another_is_silent(self):
        """Guards against counting a run on a dead worker as available."""
        rig = self.rig()
        rig.now += limits.SILENT_WORKER_MS + 1
        rig.poll(self.starts[0].worker_id, running=[running(self.starts[0])])
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert stops(Migrator(rig.shard, rig.overload).run(rig.now)) == []

    def test_no_run_leaves_right_after_a_takeover(self):
        """Guards against a second stop besides one that the previous owner has sent."""
        rig = self.rig()
        rig.shard.loaded_ms = rig.now
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert stops(Migrator(rig.shard, rig.overload).run(rig.now)) == []

    def test_long_running_task_waits_for_reservations_after_a_takeover(self):
        """Guards against a start on a machine whose maintenance is already ordered."""
        rig = Rig(epoch=2)
        rig.shard.loaded_ms = rig.now
        rig.ready()
        rig.submit(job(steps=self.steps))
        assert rig.schedule() == []
        rig.shard.reported_ms = rig.now
        assert len(rig.schedule()) == 1


class DrainRig:
    """A run on a worker whose machine the owner of the fleet reserves."""

    overload: OverloadOptions

    def rig(self, estimated_ms=4_000, at_percent=10, **changes):
        """Return a rig with one run that has been going for a while on a worker."""
        rig = Rig(workers=("w1", "w2"), overload=self.overload).ready()
        step = StepSpec(1, Resources(1000, 100), estimated_ms, **changes)
        rig.submit(job(steps=(step,), slack_factor=3.0))
        rig.shard.unix_offset_ms = -rig.now
        (self.start,) = rig.schedule()
        rig.answer(self.start)
        rig.now += 400
        rig.poll(self.start.worker_id, running=[running(self.start, at_percent)])
        self.migrator = Migrator(rig.shard, rig.overload)
        return rig

    def stopped(self, rig, level=None):
        worker_id = self.start.worker_id
        rig.shard.reserve([worker_id], rig.now)
        urgent = {} if level is None else {worker_id: level}
        self.migrator.record_urgent(urgent, rig.now)
        return [stop.name for stop in stops(self.migrator.run(rig.now))]

    def drain_ms(self, rig):
        worker = rig.shard.workers[self.start.worker_id]
        return self.migrator.drain_ms(worker, rig.now)


class TestDrain(DrainRig):
    """Finite runs leave a worker whose machine the owner of the fleet reserves.

    The decision `stops_finite_runs` is on.
    """

    overload = STOPS_FINITE_RUNS

    def test_run_with_checkpoints_is_stopped_at_once(self):
        """Guards against a peak that waits for runs that could resume elsewhere."""
        rig = self.rig(checkpoints=True)
        assert self.drain_ms(rig) == rig.shard.stop_listing_delay_ms
        assert self.stopped(rig, level=0) == [self.start.name]

    def test_run_of_a_job_in_time_stays_while_nobody_needs_its_machine(self):
        """Guards against jobs that end late for machines that only leave the pool."""
        rig = self.rig(checkpoints=True)
        assert self.stopped(rig) == []

    def test_run_without_checkpoints_keeps_its_work(self):
        """Guards against lost work of a job that can end in time."""
        rig = self.rig()
        assert self.stopped(rig, level=0) == []
        assert self.drain_ms(rig) == 3_600

    def test_run_that_is_about_to_end_is_left_alone(self):
        """Guards against a stop that takes longer than the run."""
        rig = self.rig(checkpoints=True, estimated_ms=500, at_percent=30)
        assert self.drain_ms(rig) == 933
        assert self.stopped(rig, level=0) == []

    def test_straggler_is_stopped_although_its_estimate_has_passed(self):
        """Guards against a machine that waits for a run far slower than estimated."""
        rig = self.rig(checkpoints=True, estimated_ms=500, at_percent=10)
        assert self.stopped(rig, level=0) == [self.start.name]

    def test_job_does_not_become_late_by_a_stop_for_no_more_urgent_demand(self):
        """Guards against a job in time that ends late so that a machine may leave."""
        rig = self.rig(checkpoints=True)
        rig.now += 8_000
        rig.poll(self.start.worker_id, running=[running(self.start, 70)])
        assert self.stopped(rig, level=0) == []

    def test_late_run_is_stopped_only_for_demand_in_time(self):
        """Guards against lost work of a late job when no other pool needs machines."""
        rig = self.rig()
        rig.now += 11_000
        rig.poll(self.start.worker_id, running=[running(self.start, 70)])
        assert self.stopped(rig) == []
        assert self.stopped(rig, level=1) == [self.start.name]

    def test_resumed_run_is_not_stopped_again_at_once(self):
        """Guards against a task that makes no progress while machines leave in turn."""
        rig = self.rig(checkpoints=True)
        assert self.stopped(rig, level=0) == [self.start.name]
        other = "w2" if self.start.worker_id == "w1" else "w1"
        rig.poll(self.start.worker_id, ends=[ended(1, self.start, RunEnd.STOPPED)])
        (self.start,) = rig.schedule()
        assert self.start.worker_id == other
        rig.answer(self.start)
        rig.poll(other, running=[running(self.start, 10)])
        assert self.stopped(rig, level=0) == []

    def test_worker_that_gives_no_answer_to_a_stop_is_not_empty(self):
        """Guards against an order that ends a run which goes on despite its stop."""
        rig = self.rig(checkpoints=True)
        (name,) = self.stopped(rig, level=0)
        rig.now += 1_500
        (report,) = (
            each
            for each in rig.shard.report_workers(rig.now, self.migrator.drain_ms)
            if each.worker_id == self.start.worker_id
        )
        assert report.n_runs == 1
        assert [stop.name for stop in stops(rig.shard.tick(rig.now))] == [name]

    def test_nothing_is_stopped_right_after_a_takeover(self):
        """Guards against a second stop besides one that the previous owner has sent."""
        rig = self.rig(checkpoints=True)
        rig.shard.loaded_ms = rig.now
        assert self.stopped(rig, level=0) == []


class TestDrainWithoutStops(DrainRig):
    """Finite runs keep a reserved worker while `stops_finite_runs` is off."""

    overload = OverloadOptions(stops_finite_runs=False)

    def test_run_with_checkpoints_goes_on_to_its_end(self):
        """Guards against a stop that no setting has asked for."""
        rig = self.rig(checkpoints=True)
        assert self.stopped(rig, level=0) == []

    def test_run_of_a_late_job_goes_on_to_its_end(self):
        """Guards against lost work of a late job that no setting has given up."""
        rig = self.rig()
        rig.now += 11_000
        rig.poll(self.start.worker_id, running=[running(self.start, 70)])
        assert self.stopped(rig, level=1) == []

    def test_worker_is_empty_only_at_the_end_of_its_runs(self):
        """Guards against machines that are reserved as soon empty, whose runs go on:
        nothing stops them, so that they leave later than others would.
        """
        rig = self.rig(checkpoints=True)
        assert self.drain_ms(rig) == 3_600
