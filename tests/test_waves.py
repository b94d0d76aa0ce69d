from random import Random

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.core import budgets
from apricotgap.core.effects import LogChange, ProbeWorker, RevokeLease
from apricotgap.core.events import CasFinished, CasResult, Tick, WorkerReported
from apricotgap.core.fleet_facts import WorkerFacts
from apricotgap.core.plan_steps import (
    ConfigDraft,
    Phase,
    Transition,
    apply_transition,
)
from apricotgap.drivers.backends import BackendDriver
from apricotgap.model import DataCentreState, InstanceState, StepState
from tests.fleet_fakes import KEEP_FIVE, World, make_fleet


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch, make_fleet(budgets=(KEEP_FIVE,)), n_entries=2)


def finished(world):
    return lambda: not world.config.active_plans


def grants(world):
    value = world.store.get(budgets.GRANTS_KEY, (b"", 0))[0]
    return budgets.decode_grants(value)


def test_roll_reboots_each_instance_once_within_the_budget(world):
    """Guards against a wave that takes more instances out than the budget permits."""
    world.confirm("roll_pool", "a")
    assert world.run(300_000, finished(world))
    assert world.least_serving == 5
    assert len(world.boots) == 6
    assert not world.rebooted_while_serving
    assert not grants(world).instances


def test_drain_waits_for_running_tasks(world):
    """Guards against a reboot that interrupts a request."""
    world.busy.add("d1-a0")
    world.confirm("drain_instance", "d1-a0", reboot="true")
    world.run(60_000)
    assert "d1-a0" not in world.boots
    world.busy.clear()
    assert world.run(30_000, finished(world))


def test_drain_waits_until_every_entry_has_the_change(world):
    """Guards against a drain unknown to an entry instance with an outdated view."""
    world.missing = ["e9"]
    world.confirm("drain_instance", "d1-a0")
    world.run(60_000)
    assert world.config.instances["d1-a0"].state is InstanceState.DRAINING


def test_idle_report_before_late_dispatches_can_arrive_does_not_count(world):
    """Guards against a task in transit that starts after the drain has finished."""
    world.confirm("drain_instance", "d1-a0")
    assert world.run(
        20_000,
        lambda: world.config.instances["d1-a0"].state is InstanceState.DRAINING,
    )
    start_ms = world.now_ms
    assert world.run(30_000, finished(world))
    assert world.now_ms - start_ms > 2_000


def test_failures_pause_the_plan_and_its_reason_names_the_budget(world):
    """Guards against grants that ignore unplanned failures."""
    plan_id = world.confirm("roll_pool", "a")
    world.failed.add("d2-a1")
    world.run(60_000)
    assert not grants(world).instances
    assert "keep" in world.config.active_plans[plan_id].paused_reason
    world.failed.clear()
    assert world.run(300_000, finished(world))


def test_grant_is_kept_until_the_instance_serves(world):
    """Guards against taking out a second instance before the first is available."""
    world.confirm("roll_pool", "a")
    world.run(60_000, lambda: bool(world.boots))
    first = next(iter(world.boots))
    world.unhealthy.add(first)
    world.run(60_000)
    assert world.config.instances[first].state is InstanceState.IN_SERVICE
    assert set(grants(world).instances) == {first}
    assert len(world.boots) == 1


def test_reports_older_than_the_last_dispatch_do_not_prove_a_drain():
    """Guards against a report delayed in transit or in a paused process."""
    late = WorkerFacts(settled_ms=1_000)
    late.record_report(WorkerReported(9_000, "w", 500, 8, 0, sent_ms=999))
    assert not late.idle
    held_up = WorkerFacts(settled_ms=1_000)
    for server_ms in (500, 1_900):
        held_up.record_report(WorkerReported(9_000, "w", server_ms, 8, 0))
    assert not held_up.idle
    held_up.record_report(WorkerReported(9_100, "w", 2_500, 8, 0))
    assert held_up.idle


def test_driver_reports_when_it_sent_a_probe(monkeypatch):
    """Guards against a delayed report that appears newer than it is."""
    posted, clock = [], FakeClock(100)

    async def get(driver, address, path, *, fresh):
        clock.advance(700)
        return {"now_ms": 5, "n_slots": 8, "n_running": 0}

    monkeypatch.setattr(BackendDriver, "_get", get)
    driver = BackendDriver(posted.append, clock, None, None)
    trio.run(driver._probe_worker, ProbeWorker("w", "10.0.0.1:80"))
    assert (posted[0].sent_ms, posted[0].at_ms) == (100, 800)


def test_server_that_was_silent_while_drained_is_rebooted_when_heard(world):
    """Guards against a reboot that waits for a report that is never requested."""
    world.confirm("drain_instance", "d1-a0", reboot="true")
    world.run(1_500)
    world.failed.add("d1-a0")
    world.run(60_000)
    assert not world.boots
    world.failed.clear()
    assert world.run(60_000, finished(world))
    assert set(world.boots) == {"d1-a0"}


def test_drain_ends_without_the_time_of_probes(world):
    """Guards against a plan that never ends if reports lack the time of the probe."""
    world.tells_sent_ms = False
    world.confirm("roll_pool", "a")
    assert world.run(300_000, finished(world))


def test_drain_waits_for_dispatches_of_the_own_entry(world):
    """Guards against a drain that misses a task the server did not report."""
    world.in_flight.add("d1-a0")
    world.confirm("drain_instance", "d1-a0")
    world.run(20_000)
    assert world.config.instances["d1-a0"].state is InstanceState.DRAINING


def test_late_change_of_an_old_runner_does_not_undo_a_cancellation(world):
    """Guards against a step that starts after it was skipped."""
    plan_id = world.confirm("drain_instance", "d1-a0")
    world.call("intent.cancel", id=plan_id)
    draft = ConfigDraft(world.config)
    assert not apply_transition(draft, Transition(plan_id, 0, Phase.START))
    assert draft.build() == world.config


def test_another_entry_resumes_the_plan_of_a_killed_runner(world):
    """Guards against plans that depend on the memory of their runner."""
    world.confirm("roll_pool", "a")
    world.run(60_000, lambda: bool(world.boots))
    runner = next(e for e in world.entries if e.state.waves.role.is_held(world.now_ms))
    world.entries.remove(runner)
    world.store.pop("roles/waves")
    assert world.run(300_000, finished(world))
    assert world.least_serving == 5
    assert grants(world).epoch == 2


def test_paused_runner_is_fenced_by_the_epoch(world):
    """Guards against grants written by a runner that lost its lease in a pause."""
    world.confirm("roll_pool", "a")
    world.run(60_000, lambda: bool(world.boots))
    old = next(e for e in world.entries if e.state.waves.role.is_held(world.now_ms))
    world.entries.remove(old)
    world.store.pop("roles/waves")
    world.run(20_000)
    before = grants(world)
    role = old.state.waves.role
    write = role.begin_write(budgets.Grants(1, "e", "w", {}), world.now_ms)
    role.expires_ms = world.now_ms + 10_000
    world._run(old, write)
    assert grants(world) == before
    assert not role.is_held(world.now_ms)


def test_lapsed_lease_stops_the_runner_before_its_next_step(world):
    """Guards against a runner that continues without its role."""
    world.confirm("roll_pool", "a")
    world.run(60_000, lambda: bool(world.boots))
    old = next(e for e in world.entries if e.state.waves.role.is_held(world.now_ms))
    world.entries.remove(old)
    world.now_ms += 10_000
    effects = old.step(Tick(world.now_ms))
    assert {type(e) for e in effects} <= {RevokeLease, LogChange}
    assert not old.state.waves.role.is_held(world.now_ms)


def test_progress_of_closed_plans_is_dropped(world):
    """Guards against memory use that grows with each plan."""
    world.confirm("roll_pool", "a")
    assert world.run(300_000, finished(world))
    world.run(1_000)
    waves = [e.state.waves for e in world.entries]
    assert not any(w.changed_revision or w.workers or w.last_call_ms for w in waves)


def test_lost_answer_of_a_grant_write_is_resolved(world):
    """Guards against a runner stuck after an unknown write."""
    world.confirm("roll_pool", "a")
    world.lost_answers = 5
    assert world.run(300_000, finished(world))
    assert world.least_serving == 5


@pytest.mark.parametrize("after_ms", range(0, 30_000, 700))
def test_cancel_leaves_every_instance_serving(world, after_ms):
    """Guards against a cancelled plan that leaves instances out of service."""
    plan_id = world.confirm("roll_pool", "a")
    world.run(after_ms, finished(world))
    if plan_id in world.config.active_plans:
        assert not world.call("intent.cancel", id=plan_id).error_kind
    assert world.run(60_000, finished(world))
    assert world.serving() == 6
    assert not grants(world).instances


def test_data_centre_leaves_and_returns_with_lent_capacity(world):
    """Guards against a closing that violates a pool budget or loses its moves."""
    before = dict(world.config.instances)
    world.confirm("take_out_data_centre", "d1")
    assert world.run(120_000, finished(world))
    assert world.config.data_centres["d1"].state is DataCentreState.CLOSED
    assert world.least_serving == 5
    world.confirm("bring_back_data_centre", "d1")
    assert world.run(120_000, finished(world))
    assert world.config.instances == before
    assert not grants(world).instances


def test_lent_capacity_stays_until_the_data_centre_serves_again(world):
    """Guards against moves that start before the steps that they must follow."""
    world.confirm("take_out_data_centre", "d1")
    assert world.run(120_000, finished(world))
    world.confirm("bring_back_data_centre", "d1")
    world.missing = ["e9"]
    world.run(60_000)
    assert world.serving() == 8
    world.missing = []
    assert world.run(60_000, finished(world))
    assert world.serving() == 6


def test_answer_to_an_older_write_is_ignored(world):
    """Guards against a late response mistaken for that of the pending write."""
    world.confirm("roll_pool", "a")
    world.run(60_000, lambda: bool(world.boots))
    entry = next(e for e in world.entries if e.state.waves.role.is_held(world.now_ms))
    role = entry.state.waves.role
    old_call, before = role.call_id, role.grants
    role.begin_write(budgets.Grants(role.epoch, "x", "w", {}), world.now_ms)
    stored = CasFinished(world.now_ms, old_call, "grants", CasResult.STORED, 99)
    assert not entry.step(stored)
    assert role.grants == before


def test_move_never_counts_an_instance_in_two_pools(world):
    """Guards against a move that changes the pool before the instance has drained."""
    world.busy.add("d1-s0")
    world.confirm("move_capacity", "s", to_pool="a", count="1")
    world.run(30_000)
    assert world.config.instances["d1-s0"].pool == "s"
    world.busy.clear()
    assert world.run(30_000, finished(world))
    assert world.serving() == 7


INTENTS = (
    ("roll_pool", "a", {}),
    ("take_out_data_centre", "d1", {}),
    ("drain_rack", "d1-r1", {"reboot": "true"}),
    ("move_capacity", "s", {"to_pool": "a", "count": "2"}),
)


@pytest.mark.parametrize("seed", range(24))
def test_plans_keep_budgets_and_end_under_random_faults(world, seed):
    """Guards against faults that exceed a budget or leave a plan stuck."""
    rng = Random(seed)
    kind, target, options = INTENTS[seed % len(INTENTS)]
    plan_id = world.confirm(kind, target, **options)
    world.fault_rng = rng
    cancel_ms = rng.randint(0, 80_000)
    for _ in range(600):
        world.run(100)
        n_in_pool = sum(i.pool == "a" for i in world.config.instances.values())
        assert n_in_pool - world.n_planned_out() >= 5
        name = rng.choice(sorted(world.config.instances))
        if rng.random() < 0.03:
            world.failed ^= {name}
        if rng.random() < 0.05:
            world.busy ^= {name}
        if rng.random() < 0.02:
            world.missing = [] if world.missing else ["e9"]
        if rng.random() < 0.005:
            world.cut_leases.add(world.role_lease)
        if world.now_ms >= cancel_ms and plan_id in world.config.active_plans:
            world.call("intent.cancel", id=plan_id)
    world.fault_rng = None
    world.failed.clear()
    world.busy.clear()
    world.missing = []
    assert world.run(400_000, finished(world))
    out = {n for n, i in world.config.instances.items() if i.state != "in_service"}
    assert set(grants(world).instances) == out


def test_wave_shares_one_change(monkeypatch):
    """Guards against one configuration change for each instance of a wave."""
    world = World(monkeypatch, make_fleet(n_per_dc=20))
    world.confirm("roll_pool", "a")
    n_before = world.n_changes
    assert world.run(120_000, finished(world))
    assert len(world.boots) == 40
    assert world.n_changes - n_before <= 6


def test_restored_server_that_was_unreachable_is_asked_again(monkeypatch):
    """Guards against a plan that waits indefinitely after one failed probe."""
    world = World(monkeypatch, make_fleet())
    plan_id = world.confirm("drain_instance", "d1-a0", reboot="true")

    def restores():
        steps = world.config.active_plans[plan_id].steps
        return steps[-1].state is StepState.RUNNING

    assert world.run(60_000, restores)
    world.unhealthy.add("d1-a0")
    report = world.report

    def answer(entry, name):
        world.unhealthy.discard(name)
        report(entry, name)

    world.report = answer
    assert world.run(20_000, lambda: not world.config.active_plans)
