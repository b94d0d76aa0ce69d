"""Progress of jobs in a shard: steps, ends and saves."""

from apricotgap.jobs import limits
from apricotgap.jobs.documents import (
    decode_job,
    encode_job,
)
from apricotgap.jobs.model import JobPhase, Resources, RunEnd, StepSpec
from tests.jobs_harness import (
    Rig,
    ended,
    job,
    running,
    stops,
)


def test_job_succeeds_once_all_its_tasks_are_done():
    """Guards against ends that are not applied to the phase of their job."""
    rig = Rig().ready()
    rig.submit(job())
    starts = rig.schedule()
    assert [start.name.number for start in starts] == [0, 1]
    rig.poll(ends=[ended(1, starts[0]), ended(2, starts[1])])
    assert rig.shard.jobs["j" * 16].progress.phase is JobPhase.SUCCEEDED


def test_success_is_reported_only_once_it_is_stored():
    """Guards against a job reported as succeeded that the next owner runs again."""
    rig = Rig().ready()
    state = rig.submit(job())
    starts = rig.schedule()
    rig.poll(ends=[ended(1, starts[0]), ended(2, starts[1])])
    assert state.reported_phase is JobPhase.RUNNING
    rig.save()
    assert state.reported_phase is JobPhase.SUCCEEDED


def test_ends_are_not_acknowledged_while_their_save_is_in_progress():
    """Guards against a worker forgetting an end that is not stored yet."""
    rig = Rig().ready()
    rig.submit(job())
    starts = rig.schedule()
    rig.poll(ends=[ended(1, starts[0])])
    batch = rig.shard.begin_save()
    assert not rig.shard.is_stored
    assert rig.shard.workers["w1"].acknowledged == 0
    rig.shard.saved(batch, {"j" * 16: 5})
    assert rig.shard.workers["w1"].acknowledged == 1


def test_ends_are_not_acknowledged_when_their_save_failed():
    """Guards against an end that is lost because its failed save is not repeated."""
    rig = Rig().ready()
    rig.submit(job())
    starts = rig.schedule()
    rig.poll(ends=[ended(1, starts[0])])
    batch = rig.shard.begin_save()
    rig.shard.save_failed(["j" * 16])
    rig.shard.saved(batch, {})
    assert rig.shard.workers["w1"].acknowledged == 0
    assert rig.shard.has_unsaved


def test_step_waits_for_all_tasks_of_the_steps_before_it():
    """Guards against a step that starts while a task it depends on still runs."""
    rig = Rig().ready()
    steps = (
        StepSpec(2, Resources(1000, 100), 800),
        StepSpec(1, Resources(1000, 100), 800, after=(0,)),
    )
    rig.submit(job(steps=steps))
    first = rig.schedule()
    rig.poll(running=[running(first[1], 50)], ends=[ended(1, first[0])])
    assert rig.schedule() == []
    rig.poll(ends=[ended(1, first[0]), ended(2, first[1])])
    assert [start.name.step for start in rig.schedule()] == [1]


def test_cancelled_job_stops_and_stays_cancelled():
    """Guards against late ends that turn a cancelled job into a succeeded one."""
    rig = Rig().ready()
    state = rig.submit(job())
    starts = rig.schedule()
    for start in starts:
        rig.answer(start)
    assert len(stops(rig.shard.cancel("j" * 16, 0, rig.now))) == 2
    rig.poll(ends=[ended(1, starts[0]), ended(2, starts[1])])
    assert state.progress.phase is JobPhase.CANCELLED
    assert rig.schedule() == []


def test_task_fails_its_job_after_the_last_attempt():
    """Guards against a task that is retried without limit."""
    rig = Rig().ready()
    state = rig.submit(
        job(steps=(StepSpec(1, Resources(1000, 100), 800),), max_attempts=2)
    )
    for number in (1, 2):
        (start,) = rig.schedule()
        rig.poll(ends=[ended(number, start, RunEnd.FAILED)])
    assert state.progress.phase is JobPhase.FAILED


def test_failure_counts_while_a_stop_is_pending():
    """Guards against one attempt too many when a stop and a failure cross."""
    rig = Rig().ready()
    state = rig.submit(
        job(steps=(StepSpec(1, Resources(1000, 100), 800),), max_attempts=1)
    )
    (start,) = rig.schedule()
    rig.answer(start)
    (run,) = state.runs[start.name]
    list(rig.shard.stop(run, rig.now))
    rig.poll(ends=[ended(1, start, RunEnd.FAILED)])
    assert state.progress.phase is JobPhase.FAILED


def test_job_document_round_trip():
    """Guards against fields lost or swapped in the stored form of a job."""
    steps = (
        StepSpec(3, Resources(1, 2, 3), 4, checkpoints=True, data_rack="r1"),
        StepSpec(
            1, Resources(1), 5, after=(0,), is_long_running=True, max_unavailable=1
        ),
    )
    spec = job(steps=steps, n_occurrences=2, start_ms=7, interval_ms=9)
    assert decode_job(encode_job(spec)) == spec


def test_nothing_of_a_job_starts_before_its_first_progress_is_stored():
    """Guards against a run of a job that the next owner considers never started."""
    rig = Rig().ready()
    rig.shard.submit(job())
    assert rig.schedule() == []
    assert rig.shard.has_urgent_unsaved
    rig.save()
    assert len(rig.schedule()) == 2


def test_number_of_pending_first_saves_is_limited():
    """Guards against an overload that marks all waiting jobs as started."""
    rig = Rig().ready()
    for n in range(40):
        rig.shard.submit(job(f"{n:016x}"))
    rig.schedule()
    assert len(rig.shard.begin_save().documents) == limits.MAX_PENDING_FIRST_SAVES
