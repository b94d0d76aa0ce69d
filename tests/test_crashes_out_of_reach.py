"""Crashes of workers that had been out of reach, and of machines ordered away."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.events import PollFailed
from apricotgap.jobs.model import JobPhase, Resources, StepSpec
from tests.jobs_harness import MAX_LEASE_MS, entry, job, task
from tests.test_worker_crashes import MAX_STARTS, ONE_TASK, CrashRig

POSSIBLE = (f"?{entry('w0').machine_digest}",)


class CutRig(CrashRig):
    """Workers that are cut off, run on and crash before they are reached again."""

    def cut_off(self, worker_id):
        """Let a poll of a worker time out."""
        self.now += 2 * limits.CRASH_SIGN_MS
        self.shard.step(
            PollFailed(
                self.now,
                worker_id,
                self.born_ms[worker_id],
                "timeout",
                has_timed_out=True,
            )
        )

    def crash_out_of_reach(self, start):
        """Let the run of a start end unseen, and its worker crash afterwards."""
        self.advance(2 * limits.START_UP_MS)
        self.cut_off(start.worker_id)
        self.now += 2_000
        self.crash(start.worker_id)
        self.save()
        self.advance(3_300)


def test_runs_that_may_have_ended_out_of_reach_do_not_fail_the_job():
    """Guards against a job that fails although its runs had ended on workers that were
    cut off, before these crashed.
    """
    rig = CutRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    for _ in range(4):
        (start,) = rig.start_and_answer()
        rig.crash_out_of_reach(start)
    assert state.progress.phase is JobPhase.RUNNING
    assert len(rig.schedule()) == 1


def test_one_crash_beside_them_is_not_enough():
    """Guards against a job that fails after one worker has crashed under it."""
    rig = CutRig()
    state = rig.submit(job(steps=ONE_TASK))
    (start,) = rig.start_and_answer()
    rig.crash(start.worker_id)
    rig.save()
    rig.advance(3_300)
    for _ in range(2):
        (start,) = rig.start_and_answer()
        rig.crash_out_of_reach(start)
    assert state.progress.phase is JobPhase.RUNNING


@pytest.mark.parametrize(
    ("n_workers", "most"), [(1, MAX_STARTS), (2, MAX_STARTS - 1), (6, MAX_STARTS - 1)]
)
def test_task_that_crashes_workers_which_no_call_reaches_is_given_up(n_workers, most):
    """Guards against crashes without end where a lost worker refuses no connection.

    Where several machines crash, one start is left for a crash that no owner counted.
    """
    rig = CutRig(n_workers=n_workers)
    state = rig.submit(job(steps=ONE_TASK))
    n_starts = 0
    for _ in range(12):
        for start in rig.start_and_answer():
            n_starts += 1
            rig.crash_out_of_reach(start)
    assert n_starts == most
    assert state.progress.phase is JobPhase.FAILED


def test_run_that_lapsed_before_the_crash_does_not_count_for_its_machine():
    """Guards against a crash that is charged to a run whose lease had ended before."""
    rig = CutRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    rig.start_and_answer()
    rig.advance(2 * limits.START_UP_MS)
    rig.cut_off("w0")
    rig.now += 2 * MAX_LEASE_MS
    rig.shard.tick(rig.now)
    rig.crash("w0")
    assert state.record(task(0)).crashed_machines == POSSIBLE


@pytest.mark.parametrize("is_silent", [False, True])
def test_refused_poll_dates_the_crash(is_silent):
    """Guards against a task that crashes worker after worker as no crash is certain."""
    rig = CutRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    rig.start_and_answer()
    rig.advance(2 * limits.START_UP_MS)
    rig.fail_poll("w0")
    rig.cut_off("w0")
    if is_silent:
        rig.now += 2 * MAX_LEASE_MS
        rig.shard.tick(rig.now)
    rig.crash("w0")
    digest = entry("w0").machine_digest
    assert state.record(task(0)).crashed_machines == (digest,)


def test_worker_that_is_reached_again_counts_by_its_last_silence():
    """Guards against a crash that counts for less since the worker was once cut off."""
    rig = CutRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    rig.start_and_answer()
    rig.cut_off("w0")
    rig.advance(2 * limits.START_UP_MS)
    rig.fail_poll("w0")
    rig.crash("w0")
    digest = entry("w0").machine_digest
    assert state.record(task(0)).crashed_machines == (digest,)


class TestCrashThatOnlyTheSuccessorShows:
    """No poll fails: the list or the next incarnation tells of the crash."""

    def crashed_machines(self, silent_ms, is_listed):
        """Return what a task has for a crash found so long after the last answer."""
        rig = CutRig(n_workers=1)
        state = rig.submit(job(steps=ONE_TASK))
        rig.start_and_answer()
        rig.advance(2 * limits.START_UP_MS)
        rig.now += silent_ms
        if is_listed:
            rig.crash("w0")
        else:
            rig.poll("w0", born_ms=2, polled=1)
        return state.record(task(0)).crashed_machines

    @pytest.mark.parametrize("is_listed", [False, True])
    def test_long_after_the_last_answer_the_run_may_have_ended(self, is_listed):
        """Guards against a machine that counts for a run which ended unseen."""
        assert self.crashed_machines(limits.CRASH_SIGN_MS + 1, is_listed) == POSSIBLE

    @pytest.mark.parametrize("is_listed", [False, True])
    def test_soon_after_the_last_answer_it_has_not(self, is_listed):
        """Guards against crashes that count for no machine although they are dated."""
        digest = entry("w0").machine_digest
        assert self.crashed_machines(limits.CRASH_SIGN_MS, is_listed) == (digest,)


def test_poll_that_breaks_off_when_it_is_overdue_dates_nothing():
    """Guards against a machine that counts for a run which ended on a mute worker."""
    rig = CutRig(n_workers=1)
    state = rig.submit(job(steps=ONE_TASK))
    rig.start_and_answer()
    rig.advance(2 * limits.START_UP_MS)
    worker = rig.shard.workers["w0"]
    worker.record_poll(rig.now, limits.POLL_WAIT_MS)
    rig.now += limits.POLL_WAIT_MS + limits.MISSED_ANSWER_MS
    rig.fail_poll("w0")
    rig.crash("w0")
    assert state.record(task(0)).crashed_machines == POSSIBLE


class TestMachineOrderedAwayWithoutAReport:
    """The owner of the fleet was lost before it reported the end of the worker."""

    def crashed_machines(self, reserved_before_ms, by_list):
        """Return what a task has for the end of a worker that had been reserved."""
        rig = CutRig(n_workers=1)
        state = rig.submit(job(steps=ONE_TASK))
        rig.start_and_answer()
        rig.advance(2 * limits.START_UP_MS)
        rig.shard.reserve(["w0"], rig.now - reserved_before_ms)
        if not by_list:
            rig.fail_poll("w0")
            rig.now += 2 * MAX_LEASE_MS
            rig.shard.tick(rig.now)
        rig.crash("w0")
        return state.record(task(0)).crashed_machines

    @pytest.mark.parametrize("by_list", [False, True])
    def test_its_runs_count_for_no_machine(self, by_list):
        """Guards against a job that fails since machines were taken down for
        maintenance while the owner of the fleet changed.
        """
        assert self.crashed_machines(0, by_list) == POSSIBLE

    @pytest.mark.parametrize("by_list", [False, True])
    def test_worker_that_is_no_longer_reserved_has_crashed(self, by_list):
        """Guards against crashes that count for no machine long after an order."""
        before_ms = limits.RESERVATION_MS
        assert self.crashed_machines(before_ms, by_list) == (
            entry("w0").machine_digest,
        )


def test_task_starts_next_on_another_machine():
    """Guards against five possible crashes of one machine, the emptiest as it comes
    back, which give the task up.
    """
    rig = CutRig(n_workers=2)
    state = rig.submit(job(steps=ONE_TASK))
    (start,) = rig.start_and_answer()
    other = "w1" if start.worker_id == "w0" else "w0"
    rig.shard.reserve([start.worker_id], rig.now)
    rig.submit(job("b" * 16, steps=(StepSpec(4, Resources(1000, 100), 8_000),)))
    assert {each.worker_id for each in rig.start_and_answer()} == {other}
    rig.advance(limits.RESERVATION_MS)
    # With the next crash it starts on the emptiest worker.
    state.record(start.name).crash_points = 1
    rig.crash_out_of_reach(start)
    assert [each.worker_id for each in rig.start_and_answer()] == [other]


@pytest.mark.parametrize("is_listed", [False, True])
def test_crash_just_after_a_confirmed_start_is_certain(is_listed):
    """Guards against a task that crashes workers and gets more starts since their polls
    had been pending for a while.
    """
    rig = CutRig(n_workers=2)
    state = rig.submit(job(steps=ONE_TASK))
    for _ in range(2):
        rig.now += 2 * limits.CRASH_SIGN_MS
        (start,) = rig.start_and_answer()
        rig.now += limits.CRASH_SIGN_MS
        if is_listed:
            rig.crash(start.worker_id)
        else:
            rig.born_ms[start.worker_id] += 1
            rig.poll(start.worker_id, born_ms=2, polled=1)
            rig.crash()
        rig.save()
    assert state.progress.phase is JobPhase.FAILED
