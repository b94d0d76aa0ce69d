"""Crashes of one machine and of several under a task."""

import cbor2
import msgspec
import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.crashes import MAX_CRASH_POINTS, MAX_CRASHES, SUSPECT_POINTS
from apricotgap.jobs.documents import (
    Progress,
    TaskRecord,
    decode_progress,
    encode_progress,
)
from apricotgap.jobs.model import JobPhase, Resources, StepSpec
from tests.jobs_harness import entry, job, task
from tests.test_worker_crashes import MAX_STARTS, ONE_TASK, CrashRig

# Length of a row of a task in documents of builds that store no machines.
N_EARLIER_FIELDS = 8


def crash_starts(rig, n_rounds):
    """Let the worker of each start crash at once; returns the workers of the starts."""
    workers = []
    for _ in range(n_rounds):
        for start in rig.start_and_answer():
            workers.append(start.worker_id)
            rig.crash(start.worker_id)
        rig.save()
        rig.advance(3_300)
    return workers


def stored(state):
    """Return the progress of a job as the next owner reads it."""
    return decode_progress(state.spec.job_id, encode_progress(state.progress))


def without_machines(progress, job_id="j" * 16):
    """Return progress as a build reads it that another one without machines wrote."""
    document = cbor2.loads(encode_progress(progress))
    document[2] = [row[:N_EARLIER_FIELDS] for row in document[2]]
    return decode_progress(job_id, cbor2.dumps(document))


@pytest.mark.parametrize("n_crashes", [2, 3, 4])
def test_crashes_of_one_machine_do_not_fail_the_job(n_crashes):
    """Guards against a sound job shown as failed since one machine flaps."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    assert crash_starts(rig, n_crashes) == ["w0"] * n_crashes
    assert state.progress.phase is JobPhase.RUNNING
    assert len(rig.schedule()) == 1


def test_crashes_of_one_machine_over_two_owners_do_not_fail_the_job():
    """Guards against a record from which machines cannot be told apart."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    crash_starts(rig, 1)
    successor = CrashRig(n_workers=1, epoch=2)
    again = successor.shard.load(state.spec, stored(state), 1)
    crash_starts(successor, 1)
    assert again.progress.phase is JobPhase.RUNNING
    assert len(successor.schedule()) == 1


def test_task_that_crashes_a_single_machine_is_given_up_within_the_budget():
    """Guards against a task that crashes the only machine of a pool without end."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    assert len(crash_starts(rig, 12)) == MAX_STARTS
    assert state.progress.phase is JobPhase.FAILED


def test_two_machines_that_crash_by_turns_end_the_starts():
    """Guards against a task that crashes one machine twice and others without end."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    crash_starts(rig, 2)
    rig.born_ms = {"w1": 1}
    rig.list_workers(entry("w1"))
    rig.ready()
    assert crash_starts(rig, 3) == ["w1"]
    assert state.progress.phase is JobPhase.FAILED


def test_worker_with_another_id_on_the_same_machine_is_not_a_second_one():
    """Guards against one machine that counts as two as its worker gets another id."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    crash_starts(rig, 1)
    rig.list_workers(entry("w7", born_ms=9, machine="mw0"))
    rig.record_all()
    rig.poll("w7", born_ms=9)
    for start in rig.start_and_answer():
        rig.list_workers(entry(start.worker_id, born_ms=10, machine="mw0"))
    assert state.record(task(0)).crashed_machines == (entry("w0").machine_digest,) * 2
    assert state.progress.phase is JobPhase.RUNNING


def test_task_starts_next_on_another_machine():
    """Guards against a task that starts where a worker has crashed under it, which is
    the emptiest as it comes back; the next owner knows of the crash too.
    """
    rig = CrashRig(n_workers=2)
    state = rig.submit(job(steps=ONE_TASK))
    (crashed,) = crash_starts(rig, 1)
    other = "w1" if crashed == "w0" else "w0"
    progress = stored(state)
    rig = CrashRig(n_workers=2, epoch=2)
    rig.shard.reserve([crashed], rig.now)
    rig.submit(job("b" * 16, steps=(StepSpec(4, Resources(1000, 100), 8_000),)))
    assert {start.worker_id for start in rig.start_and_answer()} == {other}
    rig.advance(limits.RESERVATION_MS)
    rig.shard.load(state.spec, progress, 1)
    assert [start.worker_id for start in rig.start_and_answer()] == [other]


def test_long_running_task_outlives_three_crashes_of_one_machine():
    """Guards against a long-running task that never runs again since one machine went
    down by turns just after it had started it.
    """
    rig = CrashRig(n_workers=1)
    rig.shard.reported_ms = rig.now
    state = rig.submit(job(steps=(StepSpec(1, Resources(1000), is_long_running=True),)))
    assert crash_starts(rig, 3) == ["w0"] * 3
    assert not state.is_given_up(task(0))


class TestDocumentsOfOtherBuilds:
    """Progress that a build with other fields reads or has written."""

    def test_machines_are_stored(self):
        """Guards against an owner that counts the machines anew."""
        record = TaskRecord(crash_points=2, crashed_machines=("0a1b2c3d", ""))
        progress = Progress(JobPhase.RUNNING, {task(0): record})
        assert decode_progress("j" * 16, encode_progress(progress)) == progress

    def test_earlier_build_reads_the_document(self):
        """Guards against an instance of the last build that cannot load a job."""

        class EarlierRow(msgspec.Struct, array_like=True):
            occurrence: int
            step: int
            number: int
            done: bool
            failed_runs: list[int]
            checkpoint: str
            crash_points: int = 0
            n_unconfirmed_crashes: int = 0

        record = TaskRecord(crash_points=3, crashed_machines=("0a1b2c3d",) * 2)
        progress = Progress(JobPhase.RUNNING, {task(0): record})
        (row,) = cbor2.loads(encode_progress(progress))[2]
        read = msgspec.convert(row, EarlierRow)
        assert (read.crash_points, read.n_unconfirmed_crashes) == (3, 0)

    def test_task_without_crashes_takes_no_more_room(self):
        """Guards against documents that grow by a field which most tasks do not use."""
        progress = Progress(JobPhase.RUNNING, {task(0): TaskRecord(done=True)})
        (row,) = cbor2.loads(encode_progress(progress))[2]
        assert len(row) == N_EARLIER_FIELDS

    def test_machines_in_a_record_are_bounded(self):
        """Guards against a document that grows with each crash."""
        record = TaskRecord(crash_points=2, crashed_machines=("0a1b2c3d",) * 90)
        progress = Progress(JobPhase.RUNNING, {task(0): record})
        read = decode_progress("j" * 16, encode_progress(progress))
        assert len(read.tasks[task(0)].crashed_machines) == MAX_CRASHES

    def test_task_that_an_earlier_build_gave_up_stays_so(self):
        """Guards against a long-running task that crashes workers after an upgrade."""
        record = TaskRecord(crash_points=MAX_CRASH_POINTS)
        progress = Progress(JobPhase.RUNNING, {task(0): record})
        rig = CrashRig()
        rig.shard.reported_ms = rig.now
        steps = (StepSpec(1, Resources(1000), is_long_running=True),)
        state = rig.shard.load(job(steps=steps), without_machines(progress), 1)
        assert state.is_given_up(task(0))
        assert rig.schedule() == []

    @pytest.mark.parametrize("n_points", [1, SUSPECT_POINTS, 3])
    @pytest.mark.parametrize("n_workers", [1, 6])
    def test_crashes_that_an_earlier_build_counted_stay_in_the_budget(
        self, n_points, n_workers
    ):
        """Guards against a task that gets a new budget with an upgrade."""
        record = TaskRecord(crash_points=n_points)
        progress = Progress(JobPhase.RUNNING, {task(0): record})
        rig = CrashRig(n_workers=n_workers)
        state = rig.shard.load(job(steps=ONE_TASK), without_machines(progress), 1)
        assert len(crash_starts(rig, 12)) <= MAX_STARTS - n_points
        assert state.progress.phase is JobPhase.FAILED


class TestTrialOnTheOtherMachine:
    """Tasks that have crashed one of two machines, and a trial on the other one."""

    def started_on(self, n_crashes):
        """Return the workers on which two such tasks start in one pass."""
        rig = CrashRig(n_workers=2)
        crashed = (entry("w0").machine_digest,) * n_crashes
        suspects = {
            task(number): TaskRecord(crash_points=2, crashed_machines=crashed)
            for number in range(2)
        }
        progress = Progress(JobPhase.RUNNING, suspects)
        steps = (StepSpec(2, Resources(1000, 100), 800),)
        rig.shard.load(job(steps=steps), progress, 1)
        first = [start.worker_id for start in rig.start_and_answer()]
        rig.advance(2 * limits.START_UP_MS)
        return first, [start.worker_id for start in rig.start_and_answer()]

    def test_task_that_crashed_twice_waits_for_it(self):
        """Guards against a sound job that fails since its task starts again and again
        on one machine that flaps, while a trial keeps the others busy for a moment.
        """
        assert self.started_on(n_crashes=2) == (["w1"], ["w1"])

    def test_tasks_that_were_lost_once_are_tried_on_both(self):
        """Guards against many tasks of one crash whose trials take turns on few
        machines.
        """
        assert self.started_on(n_crashes=1) == (["w1", "w0"], [])
