"""Workers that are listed, restarted, lost and ordered away."""

import pytest

from apricotgap.jobs.events import PollFailed
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from tests.jobs_harness import (
    FAR_MS,
    Rig,
    ended,
    entry,
    job,
    running,
)

pytestmark = pytest.mark.usefixtures("overload_state")


def test_nothing_starts_on_a_worker_that_is_not_in_the_roster():
    """Guards against a run on a worker that the next owner does not know of."""
    rig = Rig()
    rig.poll()
    rig.submit(job())
    assert rig.schedule() == []
    rig.record_all()
    assert len(rig.schedule()) == 2


def test_restarted_worker_has_lost_its_runs():
    """Guards against a task that is never started again after a restart."""
    rig = Rig().ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    rig.answer(rig.schedule()[0])
    rig.list_workers(entry("w1", born_ms=2))
    rig.record_all()
    rig.poll(born_ms=2)
    assert rig.schedule() == []
    rig.save()
    assert len(rig.schedule()) == 1


def test_worker_of_a_machine_that_was_ordered_away_is_not_added_again():
    """Guards against a next owner that waits for the lease of a removed worker."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.shard.end_workers(["w1"], rig.now)
    rig.list_workers(entry("w1"), entry("w2"))
    assert set(rig.shard.workers) == {"w2"}


def test_failures_of_several_jobs_make_a_worker_suspect():
    """Guards against more tasks sent to a worker on which everything fails."""
    rig = Rig().ready()
    for letter in "ab":
        rig.submit(job(letter * 16, steps=(StepSpec(1, Resources(1000, 100), 800),)))
    starts = rig.schedule()
    rig.poll(ends=[ended(n + 1, s, RunEnd.FAILED) for n, s in enumerate(starts)])
    assert not rig.shard.workers["w1"].accepts(rig.now)


def test_unsent_polls_do_not_extend_the_lease_of_a_lost_worker():
    """Guards against a long-running task that waits forever for a dead worker."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), is_long_running=True),)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, running=[running(start)])
    other = "w2" if start.worker_id == "w1" else "w1"
    for _ in range(8):
        rig.now += 1_000
        worker = rig.shard.workers[start.worker_id]
        rig.shard.offer_lease(worker, rig.now, FAR_MS)
        rig.shard.step(
            PollFailed(rig.now, start.worker_id, 1, "no connection", was_sent=False)
        )
        rig.poll(other)
    rig.shard.tick(rig.now)
    assert [again.worker_id for again in rig.schedule()] == [other]


def test_loss_of_a_worker_names_the_runs_that_it_had():
    """Guards against a log from which the task that crashes workers cannot be told."""
    rig = Rig().ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (at_work,) = rig.schedule()
    rig.answer(at_work)
    rig.now += 300
    rig.poll(running=[running(at_work)])
    rig.now += 50
    rig.submit(job("k" * 16, steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (fresh,) = rig.schedule()
    rig.now += 10
    (line,) = (
        effect
        for effect in rig.list_workers(entry("w1", born_ms=2))
        if effect.event == "worker_lost"
    )
    assert line.fields["n_starting"] == 1
    assert line.fields["tasks"] == [str(fresh.name), str(at_work.name)]
    assert line.fields["sent_before_ms"] == [10, 360]


def test_worker_that_returns_under_its_id_after_maintenance_is_used():
    """Guards against a worker that is left idle since an earlier incarnation ended."""
    rig = Rig().ready()
    rig.shard.end_workers(["w1"], rig.now)
    rig.list_workers(entry("w1"))
    assert not rig.shard.workers
    rig.list_workers(entry("w1", born_ms=2))
    rig.record_all()
    rig.poll(born_ms=2)
    rig.submit(job())
    assert len(rig.schedule()) == 2


def test_ended_incarnation_is_not_added_again_from_an_old_list():
    """Guards against calls to a worker that has left, once for each old list."""
    rig = Rig().ready()
    rig.shard.step(
        PollFailed(rig.now, "w1", 1, "another worker", is_other_incarnation=True)
    )
    assert rig.list_workers(entry("w1")) == []
    assert not rig.shard.workers
