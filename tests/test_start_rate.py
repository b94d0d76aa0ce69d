"""Jobs that an owner cannot start in time: refused at once, beside idle workers."""

from dataclasses import replace

import pytest

from apricotgap.jobs.admission import Admission
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.start_rate import MIN_SHORT_MS, WINDOW_MS, StartRate
from tests.jobs_harness import Rig, entry, job

STEP = StepSpec(100, Resources(100, 10), 1_000)
# A job of one second that starts after this time ends too late to be of use.
LATEST_START_MS = 8_000
PASS_MS = 100


def new_job(job_id="a" * 16, steps=(STEP,), **changes):
    return replace(job(job_id, steps=steps), submitted_ms=10_000, **changes)


class Owner:
    """A shard with room for 1,000 tasks, 400 of which wait for the owner."""

    def __init__(self):
        self.rig = Rig()
        self.rig.list_workers(entry("w1", free=Resources(100_000, 100_000)))
        self.rig.ready()
        self.rate = StartRate()
        demand = Demand(self.rig.shard)
        demand.wanted(self.rig.now)
        demand.record_share(1)
        order = Scheduler(self.rig.shard, demand, self.rig.overload).service_order
        self.gate = Admission(self.rig.shard, demand, order, self.rate)
        for n in range(4):
            self.rig.submit(new_job(f"{n:016x}"))

    def run_short(self, starts_per_s, short_ms=2_000):
        """Let the owner start this many tasks a second while others wait."""
        for n_passes in range(short_ms // PASS_MS):
            self.rate.record_pass(self.rig.now + n_passes * PASS_MS, True)
            for _ in range(starts_per_s * PASS_MS // 1_000):
                self.rate.record_start()
        self.rate.record_pass(self.rig.now + short_ms, True)
        return self

    def decide(self, spec=None, after_ms=0):
        return self.gate.decide(spec or new_job(), self.rig.now + after_ms)


def test_job_that_the_owner_cannot_start_in_time_is_refused_beside_idle_workers():
    """Guards against accepted jobs that wait beside free workers for an owner whose
    processor bounds its starts.
    """
    refusal = Owner().run_short(40).decide()
    assert refusal is not None
    assert refusal.limit == "starts"
    assert refusal.wait_ms == 10_000 > LATEST_START_MS
    assert refusal.retry_after_ms >= LATEST_START_MS


def test_job_that_the_owner_can_start_in_time_is_accepted():
    """Guards against refusals by an owner that is short of starts for a short time."""
    assert Owner().run_short(100).decide() is None


def test_owner_that_was_never_short_refuses_nothing():
    """Guards against refusals by a rate that is low since there was little to start."""
    owner = Owner()
    for n_passes in range(50):
        owner.rate.record_pass(owner.rig.now + n_passes * PASS_MS, False)
        owner.rate.record_start()
    assert owner.decide(after_ms=5_000) is None


def test_short_burst_tells_no_rate():
    """Guards against refusals by a burst that is sent in several passes."""
    owner = Owner().run_short(10, MIN_SHORT_MS - PASS_MS)
    assert owner.decide() is None


def test_refusals_end_with_the_shortage():
    """Guards against refusals by an owner that has recovered."""
    owner = Owner().run_short(40)
    now_ms = owner.rig.now + 2_000
    owner.rate.record_pass(now_ms, False)
    assert owner.rate.per_s(now_ms) is not None
    assert owner.rate.per_s(now_ms + WINDOW_MS + 1) is None


def test_urgent_job_does_not_wait_for_less_urgent_tasks():
    """Guards against an urgent job that is refused for tasks that start after it."""
    owner = Owner().run_short(40)
    assert owner.decide(new_job(priority=-1)) is None


def test_accepted_jobs_that_are_being_stored_wait_too():
    """Guards against a burst that is accepted before its first job counts."""
    owner = Owner().run_short(100)
    for n in range(5):
        owner.gate.record_accepted(new_job(f"b{n:015x}"), owner.rig.now)
    refusal = owner.decide()
    assert refusal is not None
    assert refusal.wait_ms == 9_000


@pytest.mark.parametrize(
    "spec",
    [
        new_job(steps=(replace(STEP, is_long_running=True),)),
        new_job(n_occurrences=2, interval_ms=1_000),
    ],
)
def test_long_running_and_scheduled_jobs_are_accepted(spec):
    """Guards against refusals of jobs that may wait."""
    assert Owner().run_short(40).decide(spec) is None
