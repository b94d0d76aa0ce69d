"""Tests of the copies of tasks whose workers have fallen silent."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.events import PollFailed
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.stragglers import StragglerDetector
from tests.jobs_harness import Rig, entry, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

SIZE = Resources(1000, 100)
COPYABLE = (StepSpec(4, SIZE, 10_000, allows_duplicates=True),)
SINGLE = (StepSpec(4, SIZE, 10_000),)
TICK_MS = limits.TICK_INTERVAL_MS


class SilenceRig(Rig):
    """A shard of two data centres whose workers can fall silent."""

    def __init__(self, n_workers=4):
        super().__init__(workers=())
        entries = [
            entry(f"w{n}", data_centre="ab"[n % 2], labels=("k", f"r{n % 2}"))
            for n in range(1, n_workers + 1)
        ]
        self.list_workers(*entries)
        self.ready()
        self.detector = StragglerDetector(self.shard)
        self.silent = set()
        self.starts = []

    def begin(self, steps, job_id="j" * 16):
        """Submit a job, start its tasks and list them as running."""
        self.submit(job(job_id, steps))
        self.starts += self.start_waiting()
        self.now += 200
        self.answer_polls()

    def start_waiting(self):
        starts = self.schedule()
        for start in starts:
            if start.worker_id not in self.silent:
                self.answer(start)
        return starts

    def answer_polls(self):
        """Let each worker that answers respond, and poll it again."""
        for worker_id, worker in self.shard.workers.items():
            if worker_id in self.silent:
                continue
            listed = [each for each in self.starts if each.worker_id == worker_id]
            # Steady progress: no run counts as slow.
            percent = (self.now - 10_000) / 100
            self.poll(worker_id, running=[running(each, percent) for each in listed])
            worker.record_poll(self.now, self.shard.poll_wait_ms(worker, self.now))

    def tick(self):
        """Advance by a tick; returns the starts of the pass after it."""
        self.now += TICK_MS
        effects = self.detector.run(self.now)
        effects += self.shard.tick(self.now)
        self.lines = [each.fields for each in effects if hasattr(each, "fields")]
        return self.start_waiting()

    def silent_for(self, duration_ms, poll_interval_ms=400):
        """Advance the time; returns the starts with the time of each."""
        found = []
        began_ms = polled_ms = self.now
        while self.now < began_ms + duration_ms:
            starts = self.tick()
            self.starts += starts
            found += [(self.now - began_ms, start) for start in starts]
            if self.now - polled_ms >= poll_interval_ms:
                polled_ms = self.now
                self.answer_polls()
        return found


def test_tasks_of_a_silent_data_centre_start_elsewhere_if_duplicates_are_allowed():
    """Guards against jobs that wait for leases of up to 6.5 s while a data centre is
    cut off, and against a second run of a task that must not have one.
    """
    rig = SilenceRig()
    rig.begin(COPYABLE, "c" * 16)
    rig.begin(SINGLE, "d" * 16)
    rig.silent = {start.worker_id for start in rig.starts if start.name.number == 0}
    lost = {each.name for each in rig.starts if each.worker_id in rig.silent}
    found = rig.silent_for(2_000)
    assert {start.name for _, start in found} == {
        name for name in lost if name.job_id == "c" * 16
    }
    assert found
    latest_ms = limits.COPY_SILENT_MS + 3 * TICK_MS
    assert all(at_ms <= latest_ms for at_ms, _ in found)
    assert not {start.worker_id for _, start in found} & rig.silent


def test_worker_that_answers_polls_slowly_keeps_its_tasks():
    """Guards against copies of all tasks of sound workers, whose polls are answered
    only when a run ends or the wait is over.
    """
    rig = SilenceRig()
    rig.begin(COPYABLE)
    wait_ms = limits.COPYABLE_POLL_WAIT_MS + limits.MISSED_ANSWER_MS - TICK_MS
    assert rig.silent_for(5_000, poll_interval_ms=wait_ms) == []


def test_pause_of_the_owner_copies_nothing():
    """Guards against copies of all tasks after a pause of the owner, in which answers
    arrived that are not applied yet.
    """
    rig = SilenceRig()
    rig.begin(COPYABLE)
    rig.now += 2_000
    assert rig.tick() == []
    rig.answer_polls()
    assert rig.tick() == []
    assert rig.tick() == []


def test_copy_that_has_not_started_is_withdrawn_when_the_worker_answers():
    """Guards against needless second runs after a short loss of a link."""
    rig = SilenceRig(n_workers=1)
    rig.begin(COPYABLE)
    rig.silent = {"w1"}
    assert rig.silent_for(1_000) == []
    state = rig.shard.jobs["j" * 16]
    assert state.waiting[0, 0]
    rig.silent = set()
    rig.answer_polls()
    assert rig.tick() == []
    assert not state.waiting[0, 0]


def test_task_has_few_runs_however_many_workers_fall_silent():
    """Guards against a task that takes up a machine after the other."""
    rig = SilenceRig(n_workers=6)
    rig.begin((StepSpec(1, SIZE, 9_000, allows_duplicates=True),))
    for _ in range(5):
        rig.silent.update(start.worker_id for start in rig.starts)
        rig.silent_for(900)
        rig.answer_polls()
    assert 2 <= len(rig.starts) <= limits.MAX_RUNS_PER_TASK


def test_refused_connections_count_as_missed_answers():
    """Guards against a crashed worker whose tasks wait since no poll is pending."""
    rig = SilenceRig()
    rig.begin(COPYABLE)
    (silent,) = {each.worker_id for each in rig.starts if each.name.number == 0}
    rig.silent = {silent}
    rig.now += 400
    failed = PollFailed(rig.now, silent, 1, "refused", was_sent=False)
    rig.shard.step(failed)
    rig.answer_polls()
    rig.now += 400
    rig.answer_polls()
    rig.tick()
    rig.now += 100
    assert {start.worker_id for start in rig.tick()} - {silent}
