from dataclasses import replace

import pytest

from apricotgap.core import admission, claims
from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.limits import READINESS_GRACE_MS
from apricotgap.model import NotRun, RefusalKind, Resources
from tests.request_double import CONFIG, Entry, FakeCluster, install_fakes


@pytest.fixture
def entry(monkeypatch):
    install_fakes(monkeypatch)
    return Entry(FakeCluster())


def refusal(entry, **kwargs):
    entry.submit("r", **kwargs)
    outcome, _ = entry.answers["r"]
    assert isinstance(outcome, NotRun)
    assert not entry.state.queues.waiting
    return outcome


@pytest.mark.parametrize(
    ("fields", "kind", "named"),
    [
        ({"queue": "gone"}, RefusalKind.UNKNOWN_QUEUE, "gone"),
        ({"key_digest": None}, RefusalKind.KEY_MISSING, "plans"),
        ({"key_digest": "no"}, RefusalKind.KEY_UNKNOWN, "key"),
        ({"queue": "open", "key_digest": "no"}, RefusalKind.KEY_UNKNOWN, "key"),
        ({"key_digest": "k2"}, RefusalKind.TEAM_NOT_ALLOWED, "tally"),
        ({"declared": Resources(9000)}, RefusalKind.INFEASIBLE, "ovens"),
        ({"declared": Resources(8000, 100)}, RefusalKind.INFEASIBLE, "ovens"),
        ({"idempotency_key": ""}, RefusalKind.INVALID, "key"),
        ({"idempotency_key": "x", "ticket": "y"}, RefusalKind.INVALID, "both"),
        ({"ticket": "y"}, RefusalKind.TICKET_INVALID, "malformed"),
    ],
)
def test_refusals_name_what_is_wrong(entry, fields, kind, named):
    """Guards against accepting an invalid request and against a vague refusal."""
    outcome = refusal(entry, **fields)
    assert outcome.kind is kind
    assert named in outcome.message


def test_open_queue_identifies_the_team_of_a_key(entry):
    """Guards against a team that evades its upper limit by using open queues."""
    entry.submit("anonymous", queue="open", key_digest=None)
    entry.submit("keyed", queue="open", key_digest="k2")
    teams = {i: a.team for i, a in entry.state.claims.admissions.items()}
    assert teams == {"anonymous": "", "keyed": "tally"}


def test_feasibility_follows_pools_and_configuration(entry):
    """Guards against ignoring the spare pool or using an outdated configuration."""
    entry.submit("r1", declared=Resources(8000, 50, 1))
    assert "r1" in entry.state.queues.waiting
    entry.state.config = replace(CONFIG, instances={})
    entry.submit("r2")
    assert entry.answers["r2"][0].kind is RefusalKind.NO_CAPACITY


def test_full_queue_is_refused(entry):
    """Guards against an unbounded queue."""
    entry.submit("r1")
    entry.submit("r2")
    entry.submit("r3")
    assert entry.answers["r3"][0].kind is RefusalKind.QUEUE_FULL


def test_cut_off_refuses_keys_and_serves_open_queues(entry):
    """Guards against accepting a withdrawn key in an isolated data centre."""
    entry.state.view.accepts = False
    assert refusal(entry).kind is RefusalKind.CUT_OFF
    entry.submit("open", queue="open", key_digest=None)
    assert "open" in entry.state.queues.waiting


def test_body_that_crashed_two_workers_is_quarantined(entry):
    """Guards against a request that crashes all workers of a pool one by one."""
    claims.record_worker_crash(entry.state, "b1")
    entry.submit("r1")
    claims.record_worker_crash(entry.state, "b1")
    entry.submit("r2")
    assert "r1" in entry.state.queues.waiting
    assert entry.answers["r2"][0].kind is RefusalKind.QUARANTINED


def test_requests_are_refused_before_the_first_configuration(entry):
    """Guards against reporting unknown queues before a configuration is known."""
    entry.state.config = replace(CONFIG, revision=0, queues={})
    assert refusal(entry).kind is RefusalKind.NOT_READY


def test_shutdown_refuses_after_the_grace_time_and_waits_for_admitted_work(entry):
    """Guards against a graceful shutdown that aborts or refuses requests early."""
    assert fx.SetReady(False) in entry.step(ev.StopRequested)
    entry.submit("early")
    entry.cluster.now += READINESS_GRACE_MS
    entry.step(ev.StopRequested)
    entry.submit("late")
    assert entry.answers["late"][0].kind is RefusalKind.STOPPING
    assert not admission.may_exit(entry.state)
    entry.dispatch("early")
    entry.finish("early")
    assert admission.may_exit(entry.state)


def test_cancel_before_dispatch_ends_as_not_run(entry):
    """Guards against dispatching a cancelled request later."""
    entry.submit("r")
    *_, answer = entry.step(ev.RequestCancelled, "c", "r", "k1")
    assert answer.state == "cancelled"
    assert entry.answers["r"][0].kind is RefusalKind.CANCELLED
    assert not entry.state.queues.waiting


def test_cancel_after_dispatch_never_says_not_run(entry):
    """Guards against the outcome "not run" for a task that has started."""
    entry.submit("r")
    entry.dispatch("r")
    assert entry.step(ev.RequestCancelled, "c", "r", "k1")[0].state == "running"
    assert "r" not in entry.answers
    assert claims.cancel_requested(entry.state, "r")


def test_other_teams_can_neither_cancel_nor_look_up(entry):
    """Guards against access to the requests of another team."""
    entry.submit("r")
    for event in (ev.RequestCancelled, ev.OutcomeQueried):
        assert entry.step(event, "c", "r", "k2") == (fx.AnswerQuery("c", "not_found"),)
    entry.dispatch("r")
    entry.finish("r")
    assert entry.step(ev.OutcomeQueried, "c", "r", "k2")[0].state == "not_found"
    assert entry.step(ev.OutcomeQueried, "c", "r", "k1")[0].state == "done"


def test_caller_disconnect_withdraws_only_undispatched_requests(entry):
    """Guards against running abandoned requests and losing outcomes of started ones."""
    entry.submit("r1")
    entry.submit("r2")
    entry.dispatch("r2")
    entry.step(ev.CallerDisconnected, "r1")
    entry.step(ev.CallerDisconnected, "r2")
    assert set(entry.state.claims.admissions) == {"r2"}
    assert not entry.state.queues.waiting


@pytest.mark.parametrize("key_digest", [None, "k1"])
def test_replaced_process_accepts_no_work(entry, key_digest):
    """Guards against two processes of the same name that both accept work: open queues
    have no key, by whose check the older one would refuse.
    """
    entry.submit("before", queue="open", key_digest=key_digest)
    assert "before" in entry.state.claims.admissions
    entry.state.members.replaced = True
    entry.submit("r", queue="open", key_digest=key_digest)
    outcome, _ = entry.answers["r"]
    assert isinstance(outcome, NotRun)
    assert outcome.kind is RefusalKind.STOPPING
