from apricotgap.core import fair_queue, placement
from apricotgap.core.effects import Dispatch
from apricotgap.core.events import TaskCompleted, TaskFailed, Tick
from apricotgap.core.fair_queue import QueueState
from apricotgap.model import OutcomeUnknown, RefusalKind
from apricotgap.model.peers import Usage
from tests.scheduling_harness import Fleet, configuration, dispatched, of_type


def saturate(fleet, n_rounds, run_ms):
    """Keep the single slot of a worker busy; return the slot time of each team."""
    served = {}
    (current,) = of_type(fleet.report("w0"), Dispatch)
    for _ in range(n_rounds):
        team = current.team
        served[team] = served.get(team, 0) + run_ms[team]
        fleet.at_ms += run_ms[team]
        fleet.report("w0", n_running=1)
        done = fleet.step(TaskCompleted, current.task_id, 200, 1, run_ms[team])
        current = dispatched(done)
    return served


def test_shares_follow_weights_despite_wrong_declared_run_times(monkeypatch):
    """Guards against a team that increases its share by declaring short run times."""
    fleet = Fleet(monkeypatch, configuration(shares=(("a", 3), ("b", 1))))
    for i in range(600):
        fleet.submit(f"a{i}", "a", expected_run_ms=1_000, max_wait_ms=10**7)
        fleet.submit(f"b{i}", "b", expected_run_ms=1, max_wait_ms=10**7)
    served = saturate(fleet, 500, {"a": 20, "b": 100})
    assert abs(served["a"] / sum(served.values()) - 0.75) < 0.02


def test_idle_team_gets_no_credit(monkeypatch):
    """Guards against a team that starves the others after an idle period."""
    fleet = Fleet(monkeypatch)
    fleet.submit("b-first", "b")
    for i in range(400):
        fleet.submit(f"a{i}", "a", max_wait_ms=10**7)
    saturate(fleet, 200, {"a": 100, "b": 100})
    for i in range(100):
        fleet.submit(f"b{i}", "b", max_wait_ms=10**7)
    task = next(iter(fleet.state.placement.tasks.values()))
    starts = []
    for _ in range(40):
        fleet.report("w0", n_running=1)
        effects = fleet.step(TaskCompleted, task.task_id, 200, 1, 100, after_ms=100)
        starts.append(dispatched(effects).team)
        task = fleet.state.placement.tasks[dispatched(effects).task_id]
    assert 15 <= starts.count("a") <= 25


def test_team_at_its_limit_blocks_no_other_and_keeps_its_position(monkeypatch):
    """Guards against head-of-line blocking by a team limit and a lost position."""
    fleet = Fleet(monkeypatch)
    fleet.limits["a"] = 0
    fleet.submit("a0", "a")
    fleet.submit("b0", "b")
    first = dispatched(fleet.report("w0"))
    assert first.request_id == "b0"
    fleet.submit("b1", "b")
    fleet.limits["a"] = 1
    fleet.tick()
    fleet.report("w0", n_running=1)
    done = fleet.step(TaskCompleted, first.task_id, 200, 1, 1_000)
    assert dispatched(done).request_id == "a0"


def test_usage_of_peers_counts_for_the_share(monkeypatch):
    """Guards against a team that gets its full share at each entry instance."""
    fleet = Fleet(monkeypatch)
    fleet.submit("a0", "a")
    fleet.submit("b0", "b")
    placement.apply_usage(fleet.state, "e2", Usage({"q/batch/a": 5_000}, {}, {}))
    assert dispatched(fleet.report("w0")).request_id == "b0"
    report = placement.usage_report(fleet.state)
    assert report.charged_ms == {"q/batch/b": 1_000}
    assert placement.usage_report(fleet.state).charged_ms == {}


def test_unknown_keys_in_usage_are_ignored(monkeypatch):
    """Guards against state that grows with unknown names sent by a peer."""
    fleet = Fleet(monkeypatch)
    charged = {"nope/batch/a": 1, "q/later/a": 1, "q/batch/nope": 1, "q": 1}
    placement.apply_usage(fleet.state, "e2", Usage(charged, {}, {}))
    assert fleet.state.queues == QueueState()


def test_cancelled_request_never_starts(monkeypatch):
    """Guards against a dispatch after a cancellation, even of many requests."""
    fleet = Fleet(monkeypatch)
    for i in range(300):
        fleet.submit(f"a{i}")
    assert all(fair_queue.cancel(fleet.state, f"a{i}") for i in range(299))
    assert not fair_queue.cancel(fleet.state, "a0")
    assert fair_queue.n_waiting(fleet.state, "q") == 1
    assert dispatched(fleet.report("w0")).request_id == "a299"


def test_wait_and_length_are_bounded(monkeypatch):
    """Guards against requests that wait forever and unbounded queues."""
    fleet = Fleet(monkeypatch)
    for i in range(1_001):
        fleet.submit(f"a{i}", queue="sq", max_wait_ms=500)
    assert fleet.outcomes["a1000"].kind is RefusalKind.QUEUE_FULL
    fleet.step(Tick, after_ms=500)
    assert fleet.outcomes["a0"].kind is RefusalKind.WAIT_EXPIRED
    assert len(fleet.outcomes) == 1_001


def test_expiry_after_an_attempt_is_not_reported_as_not_run(monkeypatch):
    """Guards against the outcome "not run" for a request that may have run."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    sent = dispatched(fleet.submit("a0", idempotent=True, max_wait_ms=300))
    fleet.step(TaskFailed, sent.task_id, sent=True)
    assert fair_queue.n_waiting(fleet.state, "q") == 1
    assert not fair_queue.cancel(fleet.state, "a0")
    fleet.tick(300)
    assert isinstance(fleet.outcomes["a0"], OutcomeUnknown)
