"""Tests of jobs with a task that fails on each worker."""

import pytest

from apricotgap.jobs.documents import Progress, TaskRecord
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.model import JobPhase, Resources, RunEnd, StepSpec
from apricotgap.jobs.probing import choose_probe
from tests.jobs_harness import Rig, ended, job, task

pytestmark = pytest.mark.usefixtures("overload_state")

JOB = "j" * 16
SIZE = Resources(1000, 100)
N_TASKS = 8
STEPS = (StepSpec(N_TASKS, SIZE, 800),)


class FailingRig(Rig):
    """Four workers on which some tasks of a job fail each time."""

    def __init__(self, failing, steps=STEPS, **changes):
        super().__init__(workers=("w1", "w2", "w3", "w4"))
        self.ready()
        self.failing = failing
        self.submit(job(JOB, steps, **changes))
        self.state = self.shard.jobs[JOB]
        self.starts = []
        self.live = []
        self.n_ends = {}
        self.lines = []

    def begin_waiting(self):
        for start in self.schedule():
            self.answer(start)
            self.starts.append(start)
            self.live.append(start)

    def end_first(self):
        """End the run that started first."""
        start = self.live.pop(0)
        worker_id = start.worker_id
        self.n_ends[worker_id] = number = self.n_ends.get(worker_id, 0) + 1
        end = RunEnd.FAILED if start.name in self.failing else RunEnd.DONE
        self.now += 20
        effects = self.poll(worker_id, ends=[ended(number, start, end)])
        found = [each for each in effects if isinstance(each, LogDecision)]
        self.lines += [each for each in found if each.event == "job_probed"]
        for worker in self.shard.workers.values():
            # Suspect workers are none of this test.
            worker.suspect_since_ms = None
            worker.answered_ms = self.now

    def play(self):
        """Play until the job has ended; returns its phase."""
        for _ in range(1_000):
            if self.state.is_final:
                return self.state.progress.phase
            self.begin_waiting()
            self.end_first()
        raise AssertionError("the job does not end")


def test_job_whose_tasks_always_fail_ends_after_few_runs():
    """Guards against a job that can never succeed and runs all of its tasks up to the
    maximum of attempts: 1 job in 100 is one.
    """
    max_attempts = 5
    rig = FailingRig(set(map(task, range(N_TASKS))), max_attempts=max_attempts)
    assert rig.play() is JobPhase.FAILED
    assert [line.fields["n_failed"] for line in rig.lines] == [2]
    # All tasks twice at most, then one of them alone.
    assert len(rig.starts) <= 2 * N_TASKS + max_attempts - 2


def test_job_starts_only_the_task_that_failed_on_two_workers():
    """Guards against work that is lost when one task ends the job."""
    rig = FailingRig({task(7)}, max_attempts=6)
    rig.state.waiting[0, 0] = {6, 7}
    for run_id, worker_id in enumerate(("w1", "w2"), 1):
        rig.state.record_failure(task(7), run_id, worker_id)
    rig.begin_waiting()
    assert [start.name for start in rig.starts] == [task(7)]
    rig.failing = set()
    rig.end_first()
    rig.begin_waiting()
    assert rig.starts[-1].name == task(6)
    assert rig.state.probe is None


def test_failures_on_one_worker_hold_nothing_back():
    """Guards against a job that waits for one task since one worker is faulty."""
    rig = FailingRig(set())
    for run_id in (1, 2):
        rig.state.record_failure(task(0), run_id, "w1")
    rig.begin_waiting()
    assert len(rig.starts) == N_TASKS


def test_other_jobs_go_on_beside_one_that_fails():
    """Guards against a pool that waits for the tries of one job."""
    rig = FailingRig(set())
    for run_id, worker_id in enumerate(("w1", "w2"), 1):
        rig.state.record_failure(task(0), run_id, worker_id)
    rig.submit(job("k" * 16))
    names = [start.name for start in rig.schedule()]
    assert sum(name.job_id == JOB for name in names) == 1
    assert sum(name.job_id == "k" * 16 for name in names) == 2


def test_gang_whose_member_has_failed_starts_whole():
    """Guards against a gang that never starts since one member is tried alone."""
    gang = StepSpec(3, SIZE, 800, is_gang=True)
    rig = FailingRig(set(), (gang, StepSpec(2, SIZE, 800)))
    for run_id, worker_id in enumerate(("w1", "w2"), 1):
        rig.state.record_failure(task(1), run_id, worker_id)
    rig.begin_waiting()
    assert {start.name.step for start in rig.starts} == {0}
    assert len(rig.starts) == 3


@pytest.mark.parametrize(
    ("failed_runs", "workers", "is_probe"),
    [
        ([1], ["w1"], False),
        ([1, 2], ["w1", "w1"], False),
        ([1, 2], ["w1", "w2"], True),
        ([1, 2], [], True),
        ([1, 1001], ["w1"], True),
    ],
)
def test_failures_before_a_takeover_count_as_of_another_worker(
    failed_runs, workers, is_probe
):
    """Guards against an owner that starts all tasks anew, as it does not know the
    workers of failures that are stored.
    """
    progress = Progress()
    progress.tasks[task(3)] = TaskRecord(failed_runs=failed_runs)
    probe = choose_probe(progress, {task(3): workers})
    assert probe == (task(3) if is_probe else None)
