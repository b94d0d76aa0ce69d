"""Admission of jobs under overload: who is refused, and when callers come back."""

from dataclasses import replace

import pytest

from apricotgap.jobs import admission, refused_jobs
from apricotgap.jobs.admission import Admission
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.scheduling import Scheduler
from tests.jobs_harness import Rig, entry, job

pytestmark = pytest.mark.usefixtures("overload_state")

STEP = StepSpec(8, Resources(1000, 100), 1_000)
# Fills the eight cores of the only worker for this long.
BACKLOG_S = 30


def new_job(job_id="a" * 16, steps=(STEP,), **changes):
    return replace(job(job_id, steps=steps), submitted_ms=10_000, **changes)


def overloaded():
    """Return a rig with a backlog, and its admission."""
    rig = Rig().ready()
    for n in range(BACKLOG_S):
        rig.submit(new_job(f"{n:016x}"))
    gate = gate_of(rig)
    rig.schedule()
    return rig, gate


def gate_of(rig, share=1):
    """Return the admission of a pool for which the fleet owner plans `share`.

    None as the share stands for a plan that is not known yet.
    """
    demand = Demand(rig.shard)
    if share is not None:
        # The plan responds to a report; a pool of one worker got less than it wants.
        demand.wanted(rig.now)
        demand.record_share(share)
    rig.scheduler = Scheduler(rig.shard, demand, rig.overload)
    return Admission(rig.shard, demand, rig.scheduler.service_order)


def test_job_without_a_chance_is_refused_at_once():
    """Guards against a job that is accepted in a burst only to fail at its end."""
    rig, gate = overloaded()
    refusal = gate.decide(new_job(), rig.now)
    assert refusal is not None
    assert refusal.ahead_core_ms > 0


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
    gate = gate_of(rig, share=None)
    assert gate.decide(new_job(), rig.now) is None


def test_nothing_is_refused_by_the_plan_of_a_fleet_owner_that_is_away():
    """Guards against refusals in a peak that begins while the fleet owner is replaced:
    the last plan is that of the time before.
    """
    rig, gate = overloaded()
    gate._demand.report((), 1, rig.now)
    assert gate.decide(new_job(), rig.now) is not None
    rig.now += 2_000
    assert gate.decide(new_job("b" * 16), rig.now) is None


def test_nothing_is_refused_while_inherited_workers_have_not_answered():
    """Guards against refusals by a new owner that knows a part of its workers."""
    rig, gate = overloaded()
    rig.shard.add_inherited_worker(entry("w2"), rig.now)
    assert gate.decide(new_job(), rig.now) is None


def test_long_running_and_scheduled_jobs_are_never_refused():
    """Guards against a long-running job that is refused because others wait."""
    rig, gate = overloaded()
    long_running = replace(new_job(), steps=(replace(STEP, is_long_running=True),))
    assert gate.decide(long_running, rig.now) is None
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
    monkeypatch.setattr(refused_jobs, "MAX_REFUSED", 5)
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
            gate.record_accepted(spec, rig.now)
            n_accepted += 1
    assert 0 < n_accepted < 20


def test_burst_of_a_team_meets_its_own_jobs_first():
    """Guards against a team at several times its load whose burst takes the capacity of
    the others: all of its excess is refused, and no job of the other team.
    """
    rig = Rig().ready()
    gate = gate_of(rig)
    n_accepted = {"burst": 0, "steady": 0}
    for n in range(120):
        team = "burst" if n % 6 else "steady"
        spec = new_job(f"{n:016x}", team=team)
        if gate.decide(spec, rig.now) is None:
            gate.record_accepted(spec, rig.now)
            n_accepted[team] += 1
        if n % 12 == 11:
            # A second passes, in which the eight cores do the work of one job.
            rig.now += 1_000
            rig.shard.unix_offset_ms -= 1_000
    assert n_accepted["steady"] == 20
    assert n_accepted["burst"] < 50


def test_no_job_is_refused_while_capacity_is_idle():
    """Guards against a caller that is sent away from idle machines, as one that returns
    after its objective.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    gate = gate_of(rig, share=2)
    rig.submit(new_job("b" * 16))
    rig.schedule()
    old = replace(new_job(), submitted_ms=-100_000)
    assert gate.decide(old, rig.now) is None
    rig.submit(new_job("c" * 16))
    assert gate.decide(old, rig.now) is not None


def test_job_that_no_idle_worker_can_run_is_refused():
    """Guards against idle workers without the label of a job that keep it waiting."""
    rig = Rig().ready()
    gate = gate_of(rig)
    step = replace(STEP, required_label="other")
    old = replace(new_job(), steps=(step,), submitted_ms=-100_000)
    assert gate.decide(old, rig.now) is not None


def test_machines_that_cannot_be_there_in_time_do_not_count():
    """Guards against a job that is accepted for machines that come after it has become
    useless.
    """
    rig = Rig().ready()
    step = replace(STEP, estimated_ms=200)
    for n in range(40):
        rig.submit(new_job(f"{n:016x}", (step,), target_latency_ms=200))
    gate = gate_of(rig, share=40)
    rig.schedule()
    short = new_job("a" * 16, (step,), target_latency_ms=200)
    assert gate.decide(short, rig.now) is not None
    long = new_job("b" * 16, (step,), target_latency_ms=2_000)
    assert gate.decide(long, rig.now) is None


def test_machines_that_the_fleet_owner_has_not_decided_on_are_expected():
    """Guards against refusals at the start of a burst, when the plan for the pool does
    not respond to the burst yet; and against a burst that is accepted for machines that
    the fleet does not have.
    """
    step = StepSpec(24, Resources(1_000, 10), 400)
    specs = [
        new_job(f"{n:016x}", (step,), slack_factor=1.6, target_latency_ms=600)
        for n in range(40)
    ]
    for share, least, most in ((2, 6, 40), (1, 1, 5)):
        rig = Rig(workers=("w1", "w2")).ready()
        gate = gate_of(rig, share=share)
        n_accepted = 0
        for spec in specs:
            if gate.decide(spec, rig.now) is None:
                gate.record_accepted(spec, rig.now)
                rig.submit(spec)
                gate._demand.record_job(spec, rig.now)
                n_accepted += 1
        assert least <= n_accepted <= most


def test_callers_refused_first_return_first():
    """Guards against a later caller that is told to come back before an earlier one,
    and against callers who return before there is capacity for all of them.
    """
    rig = Rig().ready()
    steps = (replace(STEP, estimated_ms=200),)
    for n in range(16):
        rig.submit(replace(new_job(f"{n:016x}"), steps=steps, target_latency_ms=200))
    gate = gate_of(rig)
    rig.schedule()
    times = []
    for n in range(100, 110):
        spec = replace(new_job(f"{n:016x}"), steps=steps, target_latency_ms=200)
        times.append(gate.decide(spec, rig.now).retry_after_ms)
    # The cores do the work of five jobs a second.
    assert sum(times[-3:]) / 3 >= sum(times[:3]) / 3 + 1_000


def test_caller_that_returns_goes_before_newcomers():
    """Guards against a caller that is refused again in favour of newcomers of its team,
    who come while it is away or as it returns.
    """
    rig, gate = overloaded()
    refusal = gate.decide(new_job(), rig.now)
    assert refusal is not None
    rig.now += refusal.retry_after_ms // 1_000 * 1_000 + 1_000
    rig.shard.unix_offset_ms = 10_000 - rig.now
    for n in range(BACKLOG_S - 6):
        rig.shard.cancel(f"{n:016x}", 0, rig.now)
    newcomer = new_job("b" * 16)
    gate.decide(newcomer, rig.now)
    order = rig.scheduler.service_order
    own = order.would_stand(new_job(), rig.now)
    assert own.key < order.would_stand(newcomer, rig.now).key


def test_reservations_are_bounded_and_end(monkeypatch):
    """Guards against callers who never return and keep others away."""
    monkeypatch.setattr(admission, "MAX_RESERVED", 3)
    rig, gate = overloaded()
    order = rig.scheduler.service_order
    probe = new_job("f" * 16, steps=(replace(STEP, n_tasks=9),), priority=1)
    before = order.would_stand(probe, rig.now).ahead_core_ms
    for n in range(100, 120):
        assert gate.decide(new_job(f"{n:016x}"), rig.now) is not None
    held = []
    for _ in range(200):
        rig.now += 100
        rig.shard.unix_offset_ms -= 100
        gate.decide(new_job("e" * 16, priority=9), rig.now)
        ahead = order.would_stand(probe, rig.now).ahead_core_ms
        held.append(round((ahead - before) / 8_000))
    assert 0 < max(held) <= 3
    assert held[-1] == 0


def test_refusal_names_the_use_and_the_share_of_the_team():
    """Guards against a refusal that an operator cannot explain."""
    rig, gate = overloaded()
    refusal = gate.decide(new_job(), rig.now)
    assert refusal.team == "bakers"
    assert refusal.share == 1
    assert refusal.team_cores > 0
    assert refusal.n_refusals == 1
    assert gate.decide(new_job(), rig.now).n_refusals == 2
