"""Admission of jobs under overload: who is refused, and when callers come back."""

from dataclasses import replace

from apricotgap.jobs import admission
from apricotgap.jobs.admission import Admission
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.model import Resources, StepSpec
from tests.jobs_harness import Rig, entry, job

STEP = StepSpec(8, Resources(1000, 100), 1_000)
# Fills the eight cores of the only worker for this long.
BACKLOG_S = 30


def new_job(job_id="a" * 16, **changes):
    return replace(job(job_id, steps=(STEP,)), submitted_ms=10_000, **changes)


def overloaded():
    """Return a rig with a backlog, and its admission."""
    rig = Rig().ready()
    for n in range(BACKLOG_S):
        rig.submit(new_job(f"{n:016x}"))
    rig.schedule()
    return rig, gate_of(rig)


def gate_of(rig, share=1):
    """Return the admission of a pool for which the fleet owner plans `share`."""
    demand = Demand(rig.shard)
    demand.record_share(share)
    return Admission(rig.shard, demand)


def test_job_without_a_chance_is_refused_at_once():
    """Guards against a job that is accepted in a burst only to fail at its end."""
    rig, gate = overloaded()
    refusal = gate.decide(new_job(), rig.now)
    assert refusal is not None
    assert refusal.backlog_core_ms > 0


def test_job_is_accepted_while_it_can_still_end_in_time():
    """Guards against refusals by a shard that has capacity."""
    rig = Rig().ready()
    assert gate_of(rig).decide(new_job(), rig.now) is None


def test_machines_that_are_on_their_way_count():
    """Guards against refusals at the start of a burst, before machines are moved."""
    rig, _ = overloaded()
    assert gate_of(rig, share=40).decide(new_job(), rig.now) is None


def test_nothing_is_refused_before_the_plan_for_the_pool_is_known():
    """Guards against refusals right after a takeover, with capacity left."""
    rig, _ = overloaded()
    gate = Admission(rig.shard, Demand(rig.shard))
    assert gate.decide(new_job(), rig.now) is None


def test_nothing_is_refused_while_inherited_workers_have_not_answered():
    """Guards against refusals by a new owner that knows a part of its workers."""
    rig, gate = overloaded()
    rig.shard.add_inherited_worker(entry("w2"), rig.now)
    assert gate.decide(new_job(), rig.now) is None


def test_long_running_and_scheduled_jobs_are_never_refused():
    """Guards against a lasting job that is refused because others wait."""
    rig, gate = overloaded()
    lasting = replace(new_job(), steps=(replace(STEP, is_long_running=True),))
    assert gate.decide(lasting, rig.now) is None
    assert gate.decide(new_job(n_occurrences=3), rig.now) is None


def test_more_urgent_queue_does_not_wait_for_a_less_urgent_one():
    """Guards against urgent work that is refused for a backlog of batch work."""
    rig = Rig().ready()
    for n in range(BACKLOG_S):
        rig.submit(new_job(f"{n:016x}", priority=1))
    gate = gate_of(rig)
    assert gate.decide(new_job(priority=0), rig.now) is None
    assert gate.decide(new_job(priority=1), rig.now) is not None


def test_refused_callers_return_at_different_times():
    """Guards against a burst that comes back as a burst."""
    rig, gate = overloaded()
    times = {
        gate.decide(new_job(f"{n:016x}"), rig.now).retry_after_ms
        for n in range(100, 140)
    }
    assert len(times) > 20
    assert min(times) >= admission.MIN_RETRY_AFTER_MS
    assert max(times) <= admission.MAX_RETRY_AFTER_MS


def test_caller_that_returns_keeps_its_place():
    """Guards against a refused caller that is overtaken by all who came later."""
    rig, gate = overloaded()
    assert gate.decide(new_job(), rig.now) is not None
    returned = replace(new_job(), submitted_ms=14_000)
    assert gate.keep_place(returned).submitted_ms == 10_000
    other = replace(new_job("b" * 16), submitted_ms=14_000)
    assert gate.keep_place(other).submitted_ms == 14_000


def test_memory_of_refused_jobs_is_bounded(monkeypatch):
    """Guards against memory that grows with each refused job."""
    monkeypatch.setattr(admission, "MAX_REFUSED", 5)
    rig, gate = overloaded()
    for n in range(100, 120):
        assert gate.decide(new_job(f"{n:016x}"), rig.now) is not None
    places = [
        gate.keep_place(replace(new_job(f"{n:016x}"), submitted_ms=1)).submitted_ms
        for n in range(100, 120)
    ]
    assert places.count(10_000) == 5


def test_accepted_jobs_count_before_the_load_is_determined_again():
    """Guards against a burst of submissions that all see the same empty shard."""
    rig = Rig().ready()
    gate = gate_of(rig)
    n_accepted = 0
    for n in range(100):
        spec = new_job(f"{n:016x}")
        if gate.decide(spec, rig.now) is None:
            gate.record_accepted(spec)
            n_accepted += 1
    assert 0 < n_accepted < 20
