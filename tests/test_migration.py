"""Runs that leave reserved and draining workers."""

from dataclasses import replace

from apricotgap.jobs import limits
from apricotgap.jobs.events import StopAnswered
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from tests.jobs_harness import (
    Rig,
    ended,
    entry,
    job,
    running,
    stops,
)


def test_stopping_run_counts_until_its_end_is_listed():
    """Guards against a second run: workers do not list a run while they stop it."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), is_long_running=True),)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, running=[running(start)])
    rig.shard.reserve([start.worker_id], rig.now)
    (stop,) = stops(Migrator(rig.shard).run(rig.now))
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
        assert [stop.name for stop in stops(Migrator(rig.shard).run(rig.now))] == [
            self.starts[0].name
        ]

    def test_no_second_run_leaves_while_the_first_is_unavailable(self):
        """Guards against two stops in one pass or in consecutive passes."""
        rig = self.rig()
        rig.shard.reserve([start.worker_id for start in self.starts], rig.now)
        assert len(stops(Migrator(rig.shard).run(rig.now))) == 1
        assert stops(Migrator(rig.shard).run(rig.now)) == []

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
        found = stops(Migrator(rig.shard).run(rig.now))
        assert [stop.worker_id for stop in found] == [leaving]

    def test_no_run_leaves_while_the_worker_of_another_is_silent(self):
        """Guards against counting a run on a dead worker as available."""
        rig = self.rig()
        rig.now += limits.SILENT_WORKER_MS + 1
        rig.poll(self.starts[0].worker_id, running=[running(self.starts[0])])
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert stops(Migrator(rig.shard).run(rig.now)) == []

    def test_no_run_leaves_right_after_a_takeover(self):
        """Guards against a second stop besides one that the previous owner has sent."""
        rig = self.rig()
        rig.shard.loaded_ms = rig.now
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert stops(Migrator(rig.shard).run(rig.now)) == []

    def test_long_running_task_waits_for_reservations_after_a_takeover(self):
        """Guards against a start on a machine whose maintenance is already ordered."""
        rig = Rig(epoch=2)
        rig.shard.loaded_ms = rig.now
        rig.ready()
        rig.submit(job(steps=self.steps))
        assert rig.schedule() == []
        rig.shard.reported_ms = rig.now
        assert len(rig.schedule()) == 1
