"""Tests of tasks that crash the workers on which they start."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.crashes import PROVEN_RUN_MS, SUSPECT_POINTS
from apricotgap.jobs.documents import decode_progress, encode_progress
from apricotgap.jobs.events import PollFailed
from apricotgap.jobs.model import JobPhase, Resources, StepSpec, TaskName
from apricotgap.jobs.runs import RunPhase
from tests.jobs_harness import MAX_LEASE_MS, Rig, entry, job, running, task

pytestmark = pytest.mark.usefixtures("overload_state")

ONE_TASK = (StepSpec(1, Resources(1000, 100), 800),)
# A task may be started twice more after three workers have crashed under it.
MAX_STARTS = 5


class CrashRig(Rig):
    """A shard whose workers crash and come back as another incarnation."""

    def __init__(self, n_workers=6, **options):
        super().__init__(workers=[f"w{n}" for n in range(n_workers)], **options)
        self.born_ms = {f"w{n}": 1 for n in range(n_workers)}
        self.ready()

    def crash(self, *worker_ids):
        """End the incarnations of these workers; the next ones are ready at once."""
        for worker_id in worker_ids:
            self.born_ms[worker_id] += 1
        self.list_workers(
            *(entry(each, born_ms=born_ms) for each, born_ms in self.born_ms.items())
        )
        self.record_all()
        for each in worker_ids:
            self.poll(each, born_ms=self.born_ms[each])

    def advance(self, ms):
        """Let time pass, with a poll of each worker at its end."""
        self.now += ms
        for each, born_ms in self.born_ms.items():
            runs = self.shard.workers[each].runs.values()
            self.poll(each, running=[running(run) for run in runs], born_ms=born_ms)

    def fail_poll(self, worker_id):
        """Let a poll of a worker find no connection."""
        born_ms = self.born_ms[worker_id]
        self.shard.step(PollFailed(self.now, worker_id, born_ms, "connection refused"))

    def start_and_answer(self):
        """Run a scheduling pass whose starts all succeed."""
        starts = self.schedule()
        for start in starts:
            self.answer(start)
        return starts


def test_task_that_crashes_each_worker_is_given_up():
    """Guards against one task that crashes worker after worker without end."""
    rig = CrashRig()
    state = rig.submit(job(steps=ONE_TASK))
    n_starts = 0
    for _ in range(12):
        rig.advance(3_300)
        for start in rig.start_and_answer():
            n_starts += 1
            rig.crash(start.worker_id)
        rig.save()
    assert n_starts <= MAX_STARTS, n_starts
    assert state.progress.phase is JobPhase.FAILED


def test_tasks_beside_one_that_crashes_workers_are_not_given_up():
    """Guards against jobs that fail because another job crashes their workers."""
    rig = CrashRig(n_workers=4)
    deadly = rig.submit(job("d" * 16, steps=ONE_TASK))
    others = [
        rig.submit(job(letter * 16, steps=(StepSpec(5, Resources(500, 100), 800),)))
        for letter in "abc"
    ]
    for _ in range(20):
        rig.save()
        for start in rig.start_and_answer():
            if start.name.job_id == "d" * 16:
                rig.crash(start.worker_id)
        rig.advance(limits.START_UP_MS)
    assert deadly.progress.phase is JobPhase.FAILED
    assert [state.progress.phase for state in others] == [JobPhase.RUNNING] * 3
    assert all(len(state.runs) == 5 for state in others)


def test_nothing_else_starts_on_a_worker_with_a_suspect_task():
    """Guards against a second crash that cannot be told from one of a bystander."""
    rig = CrashRig(n_workers=2)
    rig.submit(job(steps=ONE_TASK))
    (start,) = rig.start_and_answer()
    rig.crash(start.worker_id)
    rig.save()
    (trial,) = rig.start_and_answer()
    rig.submit(job("b" * 16, steps=(StepSpec(12, Resources(1000, 100), 800),)))
    assert {each.worker_id for each in rig.start_and_answer()} == {
        "w1" if trial.worker_id == "w0" else "w0"
    }
    rig.advance(limits.START_UP_MS)
    assert {each.worker_id for each in rig.start_and_answer()} == {trial.worker_id}


def test_crash_is_stored_before_the_task_starts_again():
    """Guards against a successor that counts the crashes of a task anew."""
    rig = CrashRig()
    state = rig.submit(job(steps=ONE_TASK))
    (start,) = rig.start_and_answer()
    rig.crash(start.worker_id)
    batch = rig.shard.begin_save()
    assert rig.schedule() == []
    rig.shard.save_failed(["j" * 16])
    rig.shard.saved(batch, {})
    assert rig.schedule() == []
    rig.save()
    assert len(rig.schedule()) == 1
    stored = decode_progress("j" * 16, encode_progress(state.progress))
    successor = CrashRig(epoch=2)
    again = successor.shard.load(state.spec, stored, 1)
    (start,) = successor.start_and_answer()
    successor.crash(start.worker_id)
    assert again.progress.phase is JobPhase.FAILED


@pytest.mark.parametrize("is_same_id", [True, False])
def test_crash_that_outlasts_the_lease_counts(is_same_id):
    """Guards against crashes that count for nothing as the worker is away for long."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    rig.start_and_answer()
    rig.list_workers()
    rig.now += 2 * MAX_LEASE_MS
    rig.shard.tick(rig.now)
    assert "w0" not in rig.shard.workers
    worker_id = "w0" if is_same_id else "w7"
    rig.list_workers(entry(worker_id, born_ms=2, machine="mw0"))
    assert state.is_suspect(next(iter(state.progress.tasks)))


def test_silent_worker_is_not_taken_for_a_crashed_one():
    """Guards against a job given up since its workers were out of reach at times."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    for _ in range(5):
        rig.start_and_answer()
        rig.list_workers()
        rig.now += 2 * MAX_LEASE_MS
        rig.shard.tick(rig.now)
        rig.list_workers(entry("w0"))
        rig.record_all()
        rig.poll("w0")
    # After the worker was found alive, a later crash does not count for the old runs.
    rig.list_workers(entry("w0", born_ms=2))
    assert not any(record.crash_points for record in state.progress.tasks.values())


def test_worker_that_leaves_as_announced_has_not_crashed():
    """Guards against points for tasks of workers that drain or are ordered away."""
    rig = CrashRig(n_workers=2)
    state = rig.submit(job(steps=ONE_TASK))
    (start,) = rig.start_and_answer()
    rig.list_workers(*(entry(each, is_draining=True) for each in rig.born_ms))
    rig.list_workers(*(entry(each, born_ms=2) for each in rig.born_ms))
    rig.record_all()
    for each in rig.born_ms:
        rig.poll(each, born_ms=2)
    (start,) = rig.start_and_answer()
    rig.shard.end_workers([start.worker_id], rig.now)
    rig.list_workers(entry("w8", born_ms=9, machine=f"m{start.worker_id}"))
    assert not any(record.crash_points for record in state.progress.tasks.values())


def test_long_running_task_is_not_given_up_for_crashes_over_its_life():
    """Guards against a task of weeks that fails since its workers crash at times."""
    rig = CrashRig(n_workers=2)
    state = rig.submit(job(steps=(StepSpec(1, Resources(1000), is_long_running=True),)))
    rig.shard.reported_ms = rig.now
    for _ in range(8):
        (start,) = rig.start_and_answer()
        for _ in range(PROVEN_RUN_MS // 1_000 + 1):
            rig.advance(1_000)
        rig.crash(start.worker_id)
        rig.save()
    assert state.progress.phase is JobPhase.RUNNING


def test_crash_long_after_a_start_does_not_count_as_one_at_the_start():
    """Guards against tasks given up since workers crash for other causes.

    A list shows only some time after the start that a run got over it; the first call
    that fails tells when the worker crashed.
    """
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    (start,) = rig.start_and_answer()
    rig.now += limits.CRASH_SIGN_MS + 1
    rig.fail_poll("w0")
    rig.now += 2_000
    rig.fail_poll("w0")
    rig.crash("w0")
    assert state.record(start.name).crash_points == 1


def test_start_on_a_worker_that_had_crashed_before_does_not_count():
    """Guards against tasks given up since their starts found a crashed worker."""
    rig = CrashRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    (start,) = rig.start_and_answer()
    run = state.runs[start.name][0]
    run.sent_ms = rig.now + 1
    rig.fail_poll("w0")
    rig.crash("w0")
    assert state.record(start.name).crash_points == 0


def test_nothing_starts_on_a_worker_whose_poll_failed():
    """Guards against starts on a crashed worker and on one that may have crashed."""
    rig = CrashRig(n_workers=1)
    rig.submit(job(steps=ONE_TASK))
    rig.fail_poll("w0")
    assert rig.schedule() == []
    rig.poll("w0")
    assert len(rig.schedule()) == 1


def test_long_running_task_is_not_given_up_for_crashes_after_its_start():
    """Guards against a service given up since workers crash in a series."""
    rig = CrashRig(n_workers=2)
    state = rig.submit(job(steps=(StepSpec(1, Resources(1000), is_long_running=True),)))
    rig.shard.reported_ms = rig.now
    for _ in range(8):
        starts = rig.start_and_answer()
        if not starts:
            rig.save()
            starts = rig.start_and_answer()
        rig.advance(2 * limits.START_UP_MS)
        rig.crash(starts[0].worker_id)
        rig.save()
    assert not state.is_given_up(starts[0].name)


class TestLongRunningJob:
    """A long-running job of three tasks, one of which crashes its workers."""

    DEADLY = TaskName("j" * 16, 0, 0, 0)

    def crashed(self, n_tasks):
        """Return the rig and the job after the task was given up."""
        rig = CrashRig(n_workers=4)
        rig.shard.reported_ms = rig.now
        step = StepSpec(
            n_tasks, Resources(1000), is_long_running=True, max_per_worker=1
        )
        state = rig.submit(job(steps=(step,)))
        for _ in range(8):
            for start in rig.start_and_answer():
                if start.name == self.DEADLY:
                    rig.crash(start.worker_id)
            rig.save()
            rig.advance(limits.START_UP_MS)
        assert state.is_given_up(self.DEADLY)
        return rig, state

    def test_other_tasks_go_on(self):
        """Guards against a service that ends since one of its tasks crashes workers."""
        rig, state = self.crashed(n_tasks=3)
        assert state.progress.phase is JobPhase.RUNNING
        assert [name.number for name in state.runs] == [1, 2]
        assert all(run.phase is RunPhase.RUNNING for (run,) in state.runs.values())

    def test_successor_does_not_start_the_task(self):
        """Guards against a task that is tried anew after each change of owner."""
        _, state = self.crashed(n_tasks=3)
        stored = decode_progress("j" * 16, encode_progress(state.progress))
        successor = CrashRig(epoch=2)
        successor.shard.reported_ms = successor.now
        successor.shard.load(state.spec, stored, 1)
        started = {start.name.number for start in successor.start_and_answer()}
        assert started == {1, 2}

    def test_job_whose_tasks_are_all_given_up_fails(self):
        """Guards against a job that is shown as running and never runs again."""
        _, state = self.crashed(n_tasks=1)
        assert state.progress.phase is JobPhase.FAILED


def test_task_that_crashes_workers_late_in_its_run_is_given_up():
    """Guards against crashes without end by a task that starts without trouble."""
    rig = CrashRig()
    state = rig.submit(job(steps=ONE_TASK))
    n_starts = 0
    for _ in range(12):
        for start in rig.start_and_answer():
            n_starts += 1
            rig.advance(2 * limits.START_UP_MS)
            rig.crash(start.worker_id)
        rig.save()
    assert n_starts <= MAX_STARTS, n_starts
    assert state.progress.phase is JobPhase.FAILED


def test_tasks_lost_beside_a_crash_are_tried_soon():
    """Guards against suspect tasks that wait for seconds while workers are free.

    Workers list their runs once a second while none ends.
    """
    rig = CrashRig(n_workers=4)
    n_tasks = 24
    state = rig.submit(job(steps=(StepSpec(n_tasks, Resources(100, 100), 8_000),)))
    for number in range(n_tasks):
        state.record(task(number)).crash_points = SUSPECT_POINTS
    n_started = 0
    for n_passes in range(30):
        rig.now += 100
        if n_passes % 10 == 0:
            rig.advance(0)
        n_started += len(rig.start_and_answer())
    assert n_started == n_tasks


def test_trial_is_apart_from_other_starts():
    """Guards against a crash of a trial that is charged to a task started before."""
    rig = CrashRig(n_workers=2)
    state = rig.submit(job("s" * 16, steps=ONE_TASK))
    state.record(TaskName("s" * 16, 0, 0, 0)).crash_points = SUSPECT_POINTS
    rig.submit(job("b" * 16, steps=ONE_TASK))
    rig.shard.jobs["b" * 16].objective_ms = 0
    busy, trial = sorted(rig.start_and_answer(), key=lambda start: start.name)
    assert busy.worker_id != trial.worker_id


def test_suspect_task_is_tried_away_from_long_running_ones():
    """Guards against long-running tasks interrupted by one crash after another."""
    rig = CrashRig(n_workers=2)
    rig.shard.reported_ms = rig.now
    long_running = (StepSpec(1, Resources(1000, 100), is_long_running=True),)
    rig.submit(job("l" * 16, steps=long_running))
    (long_running,) = rig.start_and_answer()
    other = "w1" if long_running.worker_id == "w0" else "w0"
    busy = (StepSpec(6, Resources(1000, 100), 800),)
    rig.shard.reserve([long_running.worker_id], rig.now)
    rig.submit(job("b" * 16, steps=busy))
    assert {start.worker_id for start in rig.start_and_answer()} == {other}
    rig.advance(limits.RESERVATION_MS)
    state = rig.submit(job("s" * 16, steps=ONE_TASK))
    state.record(TaskName("s" * 16, 0, 0, 0)).crash_points = SUSPECT_POINTS
    assert [start.worker_id for start in rig.start_and_answer()] == [other]


class TestUnansweredStart:
    """A start that was never answered may not have reached its worker at all."""

    def crash_silently(self, rig, start):
        """Let the worker of a start that it never answers crash and come back."""
        rig.answer(start, "unknown")
        rig.fail_poll(start.worker_id)
        rig.crash(start.worker_id)
        rig.save()
        rig.now += 2 * limits.START_WINDOW_MS
        for worker_id, born_ms in rig.born_ms.items():
            rig.poll(worker_id, born_ms=born_ms)

    def play(self, n_crashes, steps=ONE_TASK):
        rig = CrashRig()
        state = rig.submit(job(steps=steps))
        rig.shard.reported_ms = rig.now
        n_starts = 0
        for _ in range(n_crashes):
            rig.shard.reported_ms = rig.now
            for start in rig.schedule():
                n_starts += 1
                self.crash_silently(rig, start)
        return rig, state, n_starts

    def test_two_crashes_before_the_starts_arrived_do_not_fail_the_job(self):
        """Guards against a job shown as failed although none of its tasks began."""
        rig, state, _ = self.play(n_crashes=2)
        assert state.progress.phase is JobPhase.RUNNING
        assert len(rig.schedule()) == 1

    def test_long_running_task_goes_on_after_two_such_crashes(self):
        """Guards against a long-running task that is silently never started again."""
        steps = (StepSpec(1, Resources(1000), is_long_running=True),)
        rig, state, _ = self.play(n_crashes=2, steps=steps)
        rig.shard.reported_ms = rig.now
        assert not state.is_given_up(task(0))
        assert len(rig.schedule()) == 1

    def test_one_confirmed_crash_beside_them_is_not_enough(self):
        """Guards against a job that fails after one worker has crashed under it."""
        rig, state, _ = self.play(n_crashes=2)
        (start,) = rig.start_and_answer()
        rig.crash(start.worker_id)
        assert state.progress.phase is JobPhase.RUNNING

    def test_one_confirmed_crash_and_three_others_are_not_enough(self):
        """Guards against points that count as crashes beside unanswered starts: a job
        fails after one worker has crashed under it and three that it may never have
        reached.
        """
        rig, state, n_starts = self.play(n_crashes=3)
        (start,) = rig.start_and_answer()
        rig.crash(start.worker_id)
        assert state.progress.phase is JobPhase.RUNNING
        rig.save()
        rig.advance(3_300)
        n_starts += 1
        for _ in range(6):
            for start in rig.start_and_answer():
                n_starts += 1
                rig.crash(start.worker_id)
            rig.save()
            rig.advance(3_300)
        assert n_starts == MAX_STARTS
        assert state.progress.phase is JobPhase.FAILED

    def test_task_that_crashes_workers_before_they_answer_is_given_up(self):
        """Guards against a task that crashes worker after worker without an answer."""
        _, state, n_starts = self.play(n_crashes=12)
        assert n_starts == MAX_STARTS
        assert state.progress.phase is JobPhase.FAILED

    def test_confirmed_and_other_crashes_together_are_bounded(self):
        """Guards against starts without end of a task that is answered at times."""
        rig, state, n_starts = self.play(n_crashes=3)
        for _ in range(6):
            for start in rig.start_and_answer():
                n_starts += 1
                rig.crash(start.worker_id)
                rig.save()
                rig.advance(3_300)
        assert n_starts <= MAX_STARTS
        assert state.progress.phase is JobPhase.FAILED

    def test_successor_counts_on(self):
        """Guards against a count that begins anew with each owner of the shard."""
        _, state, _ = self.play(n_crashes=4)
        data = encode_progress(state.progress)
        stored = decode_progress(state.spec.job_id, data)
        assert stored.tasks[task(0)].n_unconfirmed_crashes == 4

    def test_task_that_starts_up_is_no_longer_suspect(self):
        """Guards against long-running tasks that collect such crashes over weeks."""
        rig, state, _ = self.play(n_crashes=4)
        (start,) = rig.start_and_answer()
        rig.advance(2 * limits.START_UP_MS)
        assert state.record(start.name).n_unconfirmed_crashes == 0
        assert not state.is_suspect(start.name)

    def test_start_that_a_list_shows_is_confirmed(self):
        """Guards against a lost answer that hides a task which crashes workers."""
        rig = CrashRig()
        state = rig.submit(job(steps=ONE_TASK))
        for _ in range(2):
            (start,) = rig.schedule()
            rig.poll(
                start.worker_id,
                running=[running(start)],
                born_ms=rig.born_ms[start.worker_id],
            )
            rig.crash(start.worker_id)
            rig.save()
            rig.advance(3_300)
        assert state.progress.phase is JobPhase.FAILED
