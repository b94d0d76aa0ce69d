"""Jobs, runs and workers of a previous owner."""

import pytest

from apricotgap.instance.shard_loader import load_jobs
from apricotgap.jobs import limits
from apricotgap.jobs.documents import (
    Progress,
    decode_progress,
    encode_job,
    encode_progress,
)
from apricotgap.jobs.effects import StartRun
from apricotgap.jobs.model import JobPhase, Resources, RunEnd, StepSpec
from apricotgap.platform.store import Item, Snapshot
from tests.jobs_harness import (
    SERVICE,
    Rig,
    ended,
    entry,
    job,
    running,
    task,
)
from tests.test_team_limit_updater import limited

pytestmark = pytest.mark.usefixtures("overload_state")

SIZE = Resources(1000, 100)


def test_inherited_job_waits_for_workers_that_a_previous_owner_used():
    """Guards against a second run while the first may go on, out of reach."""
    rig = Rig(epoch=2)
    rig.shard.add_inherited_worker(entry("w9"), rig.now)
    rig.record_all()
    rig.poll("w1")
    rig.shard.load(job(), Progress(), 1)
    rig.submit(job("k" * 16))
    names = {start.name.job_id for start in rig.schedule()}
    assert names == {"k" * 16}
    rig.now += int(6_000 * 1.03) + 300
    rig.shard.tick(rig.now)
    rig.poll("w1")
    assert "j" * 16 in {start.name.job_id for start in rig.schedule()}


def takeover_rig(allows_duplicates, team_limit=None):
    """Return a new owner's rig; the last one used a worker that gives no answer."""
    rig = Rig(epoch=2)
    rig.shard.loaded_ms = rig.now
    rig.shard.add_inherited_worker(entry("w9"), rig.now)
    rig.record_all()
    rig.poll("w1")
    steps = (StepSpec(2, SIZE, 800, allows_duplicates=allows_duplicates),)
    rig.shard.load(job(steps=steps), Progress(), 1)
    if team_limit is not None:
        rig.shard.team_limits.set_configuration(team_limit)
        row = rig.shard.team_limits.limit("bakers")
        rig.shard.team_limits.record_split("bakers", {SERVICE: row}, 1)
    rig.shard.workers["w9"].record_poll(rig.now, 0)
    return rig


def starts_after(rig, duration_ms):
    rig.now += duration_ms
    rig.poll("w1")
    return rig.schedule()


def test_inherited_tasks_that_may_be_copied_do_not_wait_for_silent_workers():
    """Guards against jobs that wait for leases of up to 6.5 s after a data centre was
    lost with the owner, although their steps allow duplicates.
    """
    rig = takeover_rig(allows_duplicates=True)
    assert starts_after(rig, limits.COPY_SILENT_MS - 100) == []
    assert len(starts_after(rig, 100)) == 2


def test_inherited_tasks_without_duplicates_wait_for_silent_workers():
    """Guards against a second run while the first may go on, out of reach."""
    rig = takeover_rig(allows_duplicates=False)
    assert starts_after(rig, limits.COPY_SILENT_MS) == []
    assert starts_after(rig, 2_000) == []


def test_inherited_tasks_wait_for_workers_whose_answer_is_not_due():
    """Guards against copies of all tasks by an owner that has just begun to poll."""
    rig = takeover_rig(allows_duplicates=True)
    rig.now += limits.COPY_SILENT_MS
    rig.shard.workers["w9"].record_poll(rig.now, 0)
    assert starts_after(rig, limits.MISSED_ANSWER_MS - 1) == []
    assert len(starts_after(rig, 1)) == 2


def test_inherited_tasks_of_a_team_with_a_limit_wait_for_silent_workers():
    """Guards against a team above its limit by runs that this owner does not know."""
    rig = takeover_rig(allows_duplicates=True, team_limit=limited())
    assert starts_after(rig, limits.COPY_SILENT_MS) == []
    assert starts_after(rig, 2_000) == []


def test_run_of_a_previous_owner_is_adopted():
    """Guards against a second run of a task that still runs after a takeover."""
    rig = Rig(epoch=2)
    rig.record_all()
    rig.shard.load(job(), Progress(), 1)
    from_before = StartRun("w1", "", 1, task(0), 1, "", 0, "")
    rig.poll(running=[running(from_before)])
    assert [start.name for start in rig.schedule()] == [task(1)]


def test_done_task_of_a_previous_owner_is_not_started_again():
    """Guards against repeated tasks after a takeover."""
    rig = Rig(epoch=2)
    rig.record_all()
    progress = Progress(JobPhase.RUNNING)
    first = Rig().ready()
    state = first.shard.submit(job())
    state.mark_done(task(0))
    progress = decode_progress("j" * 16, encode_progress(state.progress))
    rig.shard.load(job(), progress, 3)
    rig.poll()
    assert [start.name for start in rig.schedule()] == [task(1)]


def test_run_numbers_increase_from_owner_to_owner():
    """Guards against two owners that assign the same run number to a task."""
    starts = []
    for epoch in (1, 2):
        rig = Rig(epoch=epoch).ready()
        rig.submit(job())
        starts.append(rig.schedule()[0].run_id)
    assert starts[0] == 1
    assert starts[1] > limits.RUNS_PER_EPOCH


def test_failure_listed_again_to_the_next_owner_counts_once():
    """Guards against a job that fails too early after a change of owner."""
    spec = job(steps=(StepSpec(1, Resources(1000, 100), 800),), max_attempts=2)
    first = Rig().ready()
    state = first.submit(spec)
    (start,) = first.schedule()
    first.poll(ends=[ended(1, start, RunEnd.FAILED)])
    stored = decode_progress("j" * 16, encode_progress(state.progress))
    second = Rig(epoch=2)
    second.record_all()
    again = second.shard.load(spec, stored, 1)
    second.poll(ends=[ended(1, start, RunEnd.FAILED)])
    assert again.progress.phase is not JobPhase.FAILED


def test_runs_found_by_the_first_poll_are_kept_until_their_lease_has_ended():
    """Guards against a second run right after a takeover, as the first poll offers
    no lease and one of the previous owner may be valid.
    """
    rig = Rig(epoch=2)
    rig.record_all()
    rig.shard.load(job(steps=(StepSpec(1, Resources(1000, 100), 800),)), None, 0)
    from_before = StartRun("w1", "", 1, task(0), 1, "", 0, "")
    rig.poll(running=[running(from_before)])
    rig.now += 100
    rig.shard.tick(rig.now)
    rig.poll(running=[running(from_before)])
    assert rig.schedule() == []


def test_job_that_no_owner_has_started_does_not_wait_for_lost_workers():
    """Guards against delay after a takeover for jobs that cannot be running yet."""
    rig = Rig(epoch=2)
    rig.shard.add_inherited_worker(entry("w9"), rig.now)
    rig.ready_only("w1")
    rig.shard.load(job("a" * 16), None, 0)
    rig.shard.load(job("b" * 16), Progress(), 7)
    rig.schedule()
    rig.save()
    assert {start.name.job_id for start in rig.schedule()} == {"a" * 16}


def test_unreadable_progress_counts_as_started():
    """Guards against a second run of a job whose progress cannot be decoded."""
    rig = Rig(epoch=2)
    rig.shard.add_inherited_worker(entry("w9"), rig.now)
    rig.ready_only("w1")
    data = encode_job(job())
    jobs = Snapshot((Item(f"jobs/{SERVICE}/{'j' * 16}", data, 5),), 9)
    progress = Snapshot((Item(f"progress/{SERVICE}/{'j' * 16}", b"\xff", 6),), 9)
    load_jobs(rig.shard, jobs, progress)
    assert rig.schedule() == []


def test_unverified_worker_does_not_count_as_empty():
    """Guards against moving a machine whose runs are not known yet."""
    rig = Rig(epoch=2, workers=())
    rig.shard.add_inherited_worker(entry("w1"), rig.now)
    rig.list_workers(entry("w1"))
    worker = rig.shard.workers["w1"]
    assert worker.n_possible_runs == 1
    rig.poll()
    # A run that the previous owner has just stopped is in no list.
    assert worker.n_possible_runs == 1
    rig.now += rig.shard.stop_listing_delay_ms
    rig.poll()
    assert worker.n_possible_runs == 0
