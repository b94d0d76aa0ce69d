"""Tests that nothing keeps a worker, a slot or a task for ever."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from tests.jobs_harness import Rig, ended, job, running, task

SIZE = Resources(1000, 100)
ONE_TASK = (StepSpec(1, SIZE, 400),)


def wait(rig, span_ms, listed=()):
    """Let time pass; all workers answer and list these runs."""
    for _ in range(span_ms // 100):
        rig.now += 100
        rig.shard.tick(rig.now)
        for worker_id in list(rig.shard.workers):
            rig.poll(worker_id, running=listed)


@pytest.mark.parametrize("kind", ["unknown", "busy", "room", "late", "old", "ticket"])
def test_refused_start_blocks_its_worker_for_a_second_at_most(kind):
    """Guards against a worker that is blocked without an end."""
    rig = Rig().ready()
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.answer(start, kind)
    assert rig.shard.workers["w1"].blocked_until_ms <= rig.now + 1_000
    wait(rig, 4_000)
    assert len(rig.schedule()) == 1


def test_start_without_any_answer_frees_its_task():
    """Guards against a task that waits for a start whose answer never comes, and for a
    stop whose answer never comes either.
    """
    rig = Rig().ready()
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    wait(rig, 2_000)
    (again,) = rig.schedule()
    assert again.run_id > start.run_id


@pytest.mark.parametrize("has_begun", [True, False])
def test_task_starts_again_although_no_stop_of_its_run_is_answered(has_begun):
    """Guards against a task that waits for ever: each repeated stop put off the list by
    which its run is known to be gone. An unhealthy worker lists its runs and rejects
    stops.
    """
    rig = Rig().ready()
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.answer(start, "ok" if has_begun else "unknown")
    run = rig.shard.workers["w1"].runs[start.name, start.run_id]
    list(rig.shard.stop(run, rig.now))
    wait(rig, 4_000)
    assert len(rig.schedule()) == 1


def test_run_that_a_worker_loses_frees_its_task():
    """Guards against a task that waits for the end of a run that is in no list."""
    rig = Rig().ready()
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.schedule()
    rig.answer(start)
    wait(rig, 500, [running(start)])
    wait(rig, 500)
    assert len(rig.schedule()) == 1


def test_trial_ends_although_its_start_is_never_answered():
    """Guards against a worker that takes nothing since a task is on trial there."""
    rig = Rig().ready()
    state = rig.submit(job(steps=ONE_TASK))
    state.record(task(0)).crash_points = 2
    rig.schedule()
    worker = rig.shard.workers["w1"]
    assert worker.is_on_trial(rig.now)
    assert not worker.is_on_trial(rig.now + limits.CRASH_SIGN_MS + 1)


def test_reservation_ends_unless_the_owner_of_the_fleet_repeats_it():
    """Guards against a worker that stays reserved after its order has gone."""
    rig = Rig().ready()
    rig.submit(job(steps=ONE_TASK))
    rig.shard.reserve(["w1"], rig.now)
    assert rig.schedule() == []
    wait(rig, limits.RESERVATION_MS)
    assert len(rig.schedule()) == 1


def pending_rig():
    """Return a rig whose slots for first saves are all taken."""
    rig = Rig().ready()
    for number in range(limits.MAX_PENDING_FIRST_SAVES + 1):
        rig.shard.submit(job(f"{number:016x}", ONE_TASK))
    for _ in range(3):
        rig.schedule()
    assert rig.shard.n_pending_first_saves == limits.MAX_PENDING_FIRST_SAVES
    return rig


def test_first_save_gives_its_slot_back():
    """Guards against jobs that never start since all slots for first saves are held."""
    rig = pending_rig()
    rig.save()
    assert rig.shard.n_pending_first_saves == 0


def test_cancelled_job_gives_its_slot_for_the_first_save_back():
    """Guards against slots that cancelled jobs hold."""
    rig = pending_rig()
    rig.shard.begin_save()
    rig.shard.cancel(f"{0:016x}", 0, rig.now)
    rig.shard.save_failed([f"{number:016x}" for number in range(40)])
    rig.save()
    assert rig.shard.n_pending_first_saves == 0


def test_failed_save_is_repeated_and_gives_the_slots_back():
    """Guards against slots that are lost with a save that the store has refused."""
    rig = pending_rig()
    batch = rig.shard.begin_save()
    rig.shard.save_failed([job_id for job_id, *_ in batch.documents])
    rig.shard.saved(batch, {})
    assert rig.shard.n_pending_first_saves == limits.MAX_PENDING_FIRST_SAVES
    assert rig.shard.has_unsaved
    rig.save()
    assert rig.shard.n_pending_first_saves == 0


def test_forgotten_job_gives_its_slot_back():
    """Guards against slots of jobs that the store no longer holds."""
    rig = pending_rig()
    for number in range(limits.MAX_PENDING_FIRST_SAVES + 1):
        rig.shard.forget(f"{number:016x}")
    assert rig.shard.n_pending_first_saves == 0


def test_gang_starts_although_single_tasks_keep_taking_room():
    """Guards against a gang that waits for ever: each time a part of its room is free,
    a single task takes it.
    """
    rig = Rig().ready()
    gang = StepSpec(6, SIZE, 400, is_gang=True)
    n_jobs = n_ends = 0
    runs = []

    def submit_single():
        nonlocal n_jobs
        n_jobs += 1
        rig.submit(job(f"{n_jobs:016x}", ONE_TASK))

    for _ in range(12):
        submit_single()
    runs += [(start, rig.now) for start in rig.schedule()]
    rig.submit(job("f" * 16, (gang,)))
    began_ms = rig.now
    while rig.now - began_ms < 30_000:
        # One task ends each 100 ms, and one job arrives.
        rig.now += 100
        submit_single()
        (oldest, _), *runs = runs
        n_ends += 1
        listed = [running(start, 50) for start, _ in runs]
        rig.poll(running=listed, ends=[ended(n_ends, oldest, RunEnd.DONE)])
        starts = rig.schedule()
        for start in starts:
            rig.answer(start)
        if any(start.name.job_id == "f" * 16 for start in starts):
            return
        runs += [(start, rig.now) for start in starts]
    raise AssertionError("the gang has not started")


def test_single_tasks_go_on_beside_a_gang_that_waits():
    """Guards against workers kept for ever for a gang that has no room for long."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job("a" * 16, (StepSpec(2, Resources(5_000), 60_000),)))
    places = {start.worker_id: start for start in rig.schedule()}
    for start in places.values():
        rig.answer(start)
    rig.submit(job("f" * 16, (StepSpec(2, Resources(8_000), 400, is_gang=True),)))
    numbers = dict.fromkeys(places, 0)
    n_done = 0
    for number in range(24):
        rig.submit(job(f"{number:016x}", ONE_TASK))
        starts = rig.schedule()
        for start in starts:
            rig.answer(start)
        rig.now += 500
        for worker_id, long_run in places.items():
            ends = []
            for start in starts:
                if start.worker_id == worker_id:
                    numbers[worker_id] += 1
                    ends.append(ended(numbers[worker_id], start, RunEnd.DONE))
            n_done += len(ends)
            rig.poll(worker_id, running=[running(long_run, 1)], ends=ends)
    assert n_done >= 20
    assert not rig.shard.jobs["f" * 16].runs
