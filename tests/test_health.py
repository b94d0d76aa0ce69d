from apricotgap.core import health, polling
from apricotgap.core.effects import Dispatch, DropConnections, ProbeWorker
from apricotgap.core.events import (
    InstanceListRead,
    TaskCompleted,
    TaskFailed,
    WorkerUnreachable,
)
from tests.scheduling_harness import Fleet, configuration, dispatched, of_type


def fail_all(fleet, name, n):
    for _ in range(n):
        health.record_failure(fleet.state, name, fleet.at_ms)


def usable(fleet, name):
    return health.can_take_work(fleet.state, name, fleet.at_ms)


def test_failing_worker_is_ejected_for_growing_times_and_returns_on_probation(
    monkeypatch,
):
    """Guards against a failing worker that continues to receive tasks."""
    fleet = Fleet(monkeypatch, configuration(n_workers=4, slots=8))
    fleet.report("w0")
    fail_all(fleet, "w0", 5)
    assert not usable(fleet, "w0")
    fleet.at_ms += health.EJECTION_MS
    fleet.report("w0")
    assert usable(fleet, "w0")
    fleet.submit("a0")
    fleet.submit("a1")
    assert len(fleet.state.placement.tasks) == 1
    (task,) = fleet.state.placement.tasks.values()
    fleet.step(TaskFailed, task.task_id, sent=True)
    fleet.at_ms += health.EJECTION_MS
    fleet.report("w0")
    assert not usable(fleet, "w0")
    fleet.at_ms += health.EJECTION_MS
    fleet.report("w0")
    assert usable(fleet, "w0")


def test_ejections_are_limited_to_a_fraction_of_the_pool(monkeypatch):
    """Guards against a failing request that ejects a whole pool."""
    fleet = Fleet(monkeypatch, configuration(n_workers=9))
    names = [f"w{i}" for i in range(9)]
    fleet.report(*names)
    for name in names:
        fail_all(fleet, name, 20)
    assert sum(not usable(fleet, name) for name in names) == 3


def test_worker_that_fails_fast_does_not_attract_work(monkeypatch):
    """Guards against preferring a worker whose load is low because it fails fast."""
    fleet = Fleet(monkeypatch, configuration(n_workers=3, slots=100))
    fleet.report("w0", "w1", "w2")
    fleet.state.placement.index.workers["w0"].rank = -1
    n_bad = 0
    for i in range(60):
        sent = dispatched(fleet.submit(f"a{i}"))
        if sent.instance == "w0":
            n_bad += 1
            fleet.step(TaskCompleted, sent.task_id, 503, 0, 1)
    assert 1 <= n_bad <= 2


def test_silent_connection_is_dropped_and_the_server_is_probed(monkeypatch):
    """Guards against ejecting a server for a silent connection or reusing it."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    sent = dispatched(fleet.submit("a0"))
    effects = fleet.step(TaskFailed, sent.task_id, sent=True, timed_out=True)
    assert of_type(effects, DropConnections)
    assert of_type(effects, ProbeWorker)[0].fresh
    assert health.recent_failures(fleet.state, "w0", fleet.at_ms) == 0


def test_leaving_servers_get_no_new_work(monkeypatch):
    """Guards against tasks on a server that the list or its report marks as leaving."""
    fleet = Fleet(monkeypatch, configuration(n_workers=2))
    fleet.report("w0")
    fleet.report("w1", draining=True)
    fleet.step(InstanceListRead, frozenset({"w0", "w1"}), frozenset({"w0"}))
    assert not fleet.submit("a0")
    assert not health.is_available(fleet.state, "w1", fleet.at_ms)
    fleet.step(InstanceListRead, frozenset({"w1"}), frozenset())
    assert not health.is_available(fleet.state, "w0", fleet.at_ms)


def test_old_report_allows_no_dispatch(monkeypatch):
    """Guards against a start deadline computed from an outdated clock reading."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    fleet.at_ms += health.MAX_REPORT_AGE_MS + 1
    assert not fleet.submit("a0")
    assert dispatched(fleet.report("w0")).request_id == "a0"


def test_status_probes_are_limited_and_favour_used_servers(monkeypatch):
    """Guards against probe traffic that grows with the fleet."""
    fleet = Fleet(monkeypatch, configuration(n_workers=500))
    fleet.report("w7")
    dispatched(fleet.submit("a0"))
    probed = []
    for _ in range(100):
        probed += [probe.instance for probe in of_type(fleet.tick(), ProbeWorker)]
    assert len(probed) <= 10 * polling.MAX_PROBES_PER_S + 5
    assert probed.count("w7") >= 10
    assert "x0" not in probed


def test_worker_crash_is_counted_once_per_task(monkeypatch):
    """Guards against missing or double counting a crash seen by probes and restart."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    fleet.submit("a0", body_digest="bad", idempotent=True)
    for _ in range(5):
        fleet.step(WorkerUnreachable, "w0")
    fleet.report("w0", boot_id="b2")
    assert fleet.crashed_digests == ["bad"]


def test_request_whose_tasks_break_two_connections_is_not_retried(monkeypatch):
    """Guards against a request that crashes workers faster than probes detect it."""
    fleet = Fleet(monkeypatch, configuration(n_workers=3))
    fleet.report("w0", "w1", "w2")
    first = dispatched(fleet.submit("a0", body_digest="bad", idempotent=True))
    second = dispatched(fleet.step(TaskFailed, first.task_id, sent=True))
    effects = fleet.step(TaskFailed, second.task_id, sent=True)
    assert of_type(effects, Dispatch) == []
