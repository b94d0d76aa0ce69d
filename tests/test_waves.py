from random import Random

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.core import budgets
from apricotgap.core.effects import (
    LogChange,
    ProbeWorker,
    RebootInstance,
    RevokeLease,
)
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
from tests.fleet_fakes import KEEP_FIVE, FakeCluster, make_fleet


@pytest.fixture
def cluster(monkeypatch):
    return FakeCluster(monkeypatch, make_fleet(budgets=(KEEP_FIVE,)), n_entries=2)


def finished(cluster):
    return lambda: not cluster.config.active_plans


def grants(cluster):
    value = cluster.store.get(budgets.GRANTS_KEY, (b"", 0))[0]
    return budgets.decode_grants(value)


def test_roll_reboots_each_instance_once_within_the_budget(cluster):
    """Guards against a wave that takes more instances out than the budget permits."""
    cluster.confirm("roll_pool", "a")
    assert cluster.run(300_000, finished(cluster))
    assert cluster.min_serving == 5
    assert len(cluster.boots) == 6
    assert not cluster.rebooted_while_serving
    assert not grants(cluster).instances


def test_drain_waits_for_running_tasks(cluster):
    """Guards against a reboot that interrupts a request."""
    cluster.busy.add("d1-a0")
    cluster.confirm("drain_instance", "d1-a0", reboot="true")
    cluster.run(60_000)
    assert "d1-a0" not in cluster.boots
    cluster.busy.clear()
    assert cluster.run(30_000, finished(cluster))


def test_drain_waits_until_every_entry_has_the_change(cluster):
    """Guards against a drain unknown to an entry instance with an outdated view."""
    cluster.missing = ["e9"]
    cluster.confirm("drain_instance", "d1-a0")
    cluster.run(60_000)
    assert cluster.config.instances["d1-a0"].state is InstanceState.DRAINING


def test_idle_report_before_late_dispatches_can_arrive_does_not_count(cluster):
    """Guards against a task in transit that starts after the drain has finished."""
    cluster.confirm("drain_instance", "d1-a0")
    assert cluster.run(
        20_000,
        lambda: cluster.config.instances["d1-a0"].state is InstanceState.DRAINING,
    )
    start_ms = cluster.now_ms
    assert cluster.run(30_000, finished(cluster))
    assert cluster.now_ms - start_ms > 2_000


def test_failures_pause_the_plan_and_its_reason_names_the_budget(cluster):
    """Guards against grants that ignore unplanned failures."""
    plan_id = cluster.confirm("roll_pool", "a")
    cluster.failed.add("d2-a1")
    cluster.run(60_000)
    assert not grants(cluster).instances
    assert "keep" in cluster.config.active_plans[plan_id].paused_reason
    cluster.failed.clear()
    assert cluster.run(300_000, finished(cluster))


def test_grant_is_kept_until_the_instance_serves(cluster):
    """Guards against taking out a second instance before the first is available."""
    cluster.confirm("roll_pool", "a")
    cluster.run(60_000, lambda: bool(cluster.boots))
    first = next(iter(cluster.boots))
    cluster.unhealthy.add(first)
    cluster.run(60_000)
    assert cluster.config.instances[first].state is InstanceState.IN_SERVICE
    assert set(grants(cluster).instances) == {first}
    assert len(cluster.boots) == 1


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


def test_server_that_was_silent_while_drained_is_rebooted_when_heard(cluster):
    """Guards against a reboot that waits for a report that is never requested."""
    cluster.confirm("drain_instance", "d1-a0", reboot="true")
    cluster.run(1_500)
    cluster.failed.add("d1-a0")
    cluster.run(60_000)
    assert not cluster.boots
    cluster.failed.clear()
    assert cluster.run(60_000, finished(cluster))
    assert set(cluster.boots) == {"d1-a0"}


def test_drain_ends_without_the_time_of_probes(cluster):
    """Guards against a plan that never ends if reports lack the time of the probe."""
    cluster.reports_sent_ms = False
    cluster.confirm("roll_pool", "a")
    assert cluster.run(300_000, finished(cluster))


def test_drain_waits_for_dispatches_of_the_own_entry(cluster):
    """Guards against a drain that misses a task the server did not report."""
    cluster.in_flight.add("d1-a0")
    cluster.confirm("drain_instance", "d1-a0")
    cluster.run(20_000)
    assert cluster.config.instances["d1-a0"].state is InstanceState.DRAINING


def test_late_change_of_an_old_runner_does_not_undo_a_cancellation(cluster):
    """Guards against a step that starts after it was skipped."""
    plan_id = cluster.confirm("drain_instance", "d1-a0")
    cluster.call("intent.cancel", id=plan_id)
    draft = ConfigDraft(cluster.config)
    assert not apply_transition(draft, Transition(plan_id, 0, Phase.START))
    assert draft.build() == cluster.config


def test_another_entry_resumes_the_plan_of_a_killed_runner(cluster):
    """Guards against plans that depend on the memory of their runner."""
    cluster.confirm("roll_pool", "a")
    cluster.run(60_000, lambda: bool(cluster.boots))
    runner = next(
        e for e in cluster.entries if e.state.waves.role.is_held(cluster.now_ms)
    )
    cluster.entries.remove(runner)
    cluster.store.pop("roles/waves")
    assert cluster.run(300_000, finished(cluster))
    assert cluster.min_serving == 5
    assert grants(cluster).epoch == 2


def test_paused_runner_is_fenced_by_the_epoch(cluster):
    """Guards against grants written by a runner that lost its lease in a pause."""
    cluster.confirm("roll_pool", "a")
    cluster.run(60_000, lambda: bool(cluster.boots))
    old = next(e for e in cluster.entries if e.state.waves.role.is_held(cluster.now_ms))
    cluster.entries.remove(old)
    cluster.store.pop("roles/waves")
    cluster.run(20_000)
    before = grants(cluster)
    role = old.state.waves.role
    write = role.begin_write(budgets.Grants(1, "e", "w", {}), cluster.now_ms)
    role.expires_ms = cluster.now_ms + 10_000
    cluster._run(old, write)
    assert grants(cluster) == before
    assert not role.is_held(cluster.now_ms)


def test_reboot_carries_the_end_of_the_runners_lease(cluster):
    """Guards against a reboot that is sent, or sent again, by a runner that is one no
    more.
    """
    cluster.confirm("roll_pool", "a")
    reboots = []
    for entry in cluster.entries:
        step = entry.step

        def record(event, entry=entry, step=step):
            effects = step(event)
            expires_ms = entry.state.waves.role.expires_ms
            reboots.extend(
                (effect, expires_ms)
                for effect in effects
                if isinstance(effect, RebootInstance)
            )
            return effects

        entry.step = record
    cluster.run(60_000, lambda: len(reboots) > 1)
    assert reboots
    for effect, expires_ms in reboots:
        assert effect.until_ms == expires_ms > 0


def test_lapsed_lease_stops_the_runner_before_its_next_step(cluster):
    """Guards against a runner that continues without its role."""
    cluster.confirm("roll_pool", "a")
    cluster.run(60_000, lambda: bool(cluster.boots))
    old = next(e for e in cluster.entries if e.state.waves.role.is_held(cluster.now_ms))
    cluster.entries.remove(old)
    cluster.now_ms += 10_000
    effects = old.step(Tick(cluster.now_ms))
    assert {type(e) for e in effects} <= {RevokeLease, LogChange}
    assert not old.state.waves.role.is_held(cluster.now_ms)


def test_progress_of_closed_plans_is_dropped(cluster):
    """Guards against memory use that grows with each plan."""
    cluster.confirm("roll_pool", "a")
    assert cluster.run(300_000, finished(cluster))
    cluster.run(1_000)
    waves = [e.state.waves for e in cluster.entries]
    assert not any(w.changed_revision or w.workers or w.last_call_ms for w in waves)


def test_lost_answer_of_a_grant_write_is_resolved(cluster):
    """Guards against a runner stuck after an unknown write."""
    cluster.confirm("roll_pool", "a")
    cluster.n_lost_answers = 5
    assert cluster.run(300_000, finished(cluster))
    assert cluster.min_serving == 5


@pytest.mark.parametrize("after_ms", range(0, 30_000, 700))
def test_cancel_leaves_every_instance_serving(cluster, after_ms):
    """Guards against a cancelled plan that leaves instances out of service."""
    plan_id = cluster.confirm("roll_pool", "a")
    cluster.run(after_ms, finished(cluster))
    if plan_id in cluster.config.active_plans:
        assert not cluster.call("intent.cancel", id=plan_id).error_kind
    assert cluster.run(60_000, finished(cluster))
    assert cluster.serving() == 6
    assert not grants(cluster).instances


def test_data_centre_leaves_and_returns_with_lent_capacity(cluster):
    """Guards against a closing that violates a pool budget or loses its moves."""
    before = dict(cluster.config.instances)
    cluster.confirm("take_out_data_centre", "d1")
    assert cluster.run(120_000, finished(cluster))
    assert cluster.config.data_centres["d1"].state is DataCentreState.CLOSED
    assert cluster.min_serving == 5
    cluster.confirm("bring_back_data_centre", "d1")
    assert cluster.run(120_000, finished(cluster))
    assert cluster.config.instances == before
    assert not grants(cluster).instances


def test_lent_capacity_stays_until_the_data_centre_serves_again(cluster):
    """Guards against moves that start before the steps that they must follow."""
    cluster.confirm("take_out_data_centre", "d1")
    assert cluster.run(120_000, finished(cluster))
    cluster.confirm("bring_back_data_centre", "d1")
    cluster.missing = ["e9"]
    cluster.run(60_000)
    assert cluster.serving() == 8
    cluster.missing = []
    assert cluster.run(60_000, finished(cluster))
    assert cluster.serving() == 6


def test_answer_to_an_older_write_is_ignored(cluster):
    """Guards against a late response mistaken for that of the pending write."""
    cluster.confirm("roll_pool", "a")
    cluster.run(60_000, lambda: bool(cluster.boots))
    entry = next(
        e for e in cluster.entries if e.state.waves.role.is_held(cluster.now_ms)
    )
    role = entry.state.waves.role
    old_call, before = role.call_id, role.grants
    role.begin_write(budgets.Grants(role.epoch, "x", "w", {}), cluster.now_ms)
    stored = CasFinished(cluster.now_ms, old_call, "grants", CasResult.STORED, 99)
    assert not entry.step(stored)
    assert role.grants == before


def test_move_never_counts_an_instance_in_two_pools(cluster):
    """Guards against a move that changes the pool before the instance has drained."""
    cluster.busy.add("d1-s0")
    cluster.confirm("move_capacity", "s", to_pool="a", count="1")
    cluster.run(30_000)
    assert cluster.config.instances["d1-s0"].pool == "s"
    cluster.busy.clear()
    assert cluster.run(30_000, finished(cluster))
    assert cluster.serving() == 7


INTENTS = (
    ("roll_pool", "a", {}),
    ("take_out_data_centre", "d1", {}),
    ("drain_rack", "d1-r1", {"reboot": "true"}),
    ("move_capacity", "s", {"to_pool": "a", "count": "2"}),
)


@pytest.mark.parametrize("seed", range(24))
def test_plans_keep_budgets_and_end_under_random_faults(cluster, seed):
    """Guards against faults that exceed a budget or leave a plan stuck."""
    rng = Random(seed)
    kind, target, options = INTENTS[seed % len(INTENTS)]
    plan_id = cluster.confirm(kind, target, **options)
    cluster.fault_rng = rng
    cancel_ms = rng.randint(0, 80_000)
    for _ in range(600):
        cluster.run(100)
        n_in_pool = sum(i.pool == "a" for i in cluster.config.instances.values())
        assert n_in_pool - cluster.n_planned_out() >= 5
        name = rng.choice(sorted(cluster.config.instances))
        if rng.random() < 0.03:
            cluster.failed ^= {name}
        if rng.random() < 0.05:
            cluster.busy ^= {name}
        if rng.random() < 0.02:
            cluster.missing = [] if cluster.missing else ["e9"]
        if rng.random() < 0.005:
            cluster.unrenewable_leases.add(cluster.role_lease)
        if cluster.now_ms >= cancel_ms and plan_id in cluster.config.active_plans:
            cluster.call("intent.cancel", id=plan_id)
    cluster.fault_rng = None
    cluster.failed.clear()
    cluster.busy.clear()
    cluster.missing = []
    assert cluster.run(400_000, finished(cluster))
    out = {n for n, i in cluster.config.instances.items() if i.state != "in_service"}
    assert set(grants(cluster).instances) == out


def test_wave_shares_one_change(monkeypatch):
    """Guards against one configuration change for each instance of a wave."""
    cluster = FakeCluster(monkeypatch, make_fleet(n_per_dc=20))
    cluster.confirm("roll_pool", "a")
    n_before = cluster.n_config_changes
    assert cluster.run(120_000, finished(cluster))
    assert len(cluster.boots) == 40
    assert cluster.n_config_changes - n_before <= 6


def test_restored_server_that_was_unreachable_is_asked_again(monkeypatch):
    """Guards against a plan that waits indefinitely after one failed probe."""
    cluster = FakeCluster(monkeypatch, make_fleet())
    plan_id = cluster.confirm("drain_instance", "d1-a0", reboot="true")

    def restores():
        steps = cluster.config.active_plans[plan_id].steps
        return steps[-1].state is StepState.RUNNING

    assert cluster.run(60_000, restores)
    cluster.unhealthy.add("d1-a0")
    report = cluster.report

    def answer(entry, name):
        cluster.unhealthy.discard(name)
        report(entry, name)

    cluster.report = answer
    assert cluster.run(20_000, lambda: not cluster.config.active_plans)
