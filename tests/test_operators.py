import hashlib
import json

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.core import operator_handlers  # noqa: F401
from apricotgap.core.effects import AnswerOperator
from apricotgap.core.operators import actions
from apricotgap.drivers.operators import OperatorApp
from apricotgap.model import Budget
from tests.fleet_fakes import KEEP_FIVE, FakeCluster, ViewCase, make_fleet

DIGEST = "a" * 64
NEW = {"address": "10.0.0.9:80", "data_centre": "d1", "rack": "r", "pool": "a"}


@pytest.fixture
def cluster(monkeypatch):
    return FakeCluster(monkeypatch, make_fleet(budgets=(KEEP_FIVE,)), n_entries=2)


def test_every_action_of_the_design_is_registered():
    """Guards against an operator command without a registered action."""
    nouns = ("pool", "instance", "team", "queue", "budget", "data_centre")
    wanted = {f"{n}.{v}" for n in nouns for v in ("put", "delete", "list")}
    wanted |= {"key.grant", "key.withdraw", "key.list", "status", "apply"}
    wanted |= {f"intent.{v}" for v in ("plan", "confirm", "cancel", "list", "show")}
    assert set(actions()) == wanted


@pytest.mark.parametrize(
    ("action", "arguments", "kind", "text"),
    [
        ("nope", {}, "not_found", "no action"),
        ("pool.put", {}, "invalid", "name"),
        ("pool.put", {"name": "x y"}, "invalid", "name"),
        ("pool.put", {"name": "p", "color": 1}, "invalid", "color"),
        ("team.put", {"name": "t", "share": "3"}, "invalid", "share: expected int"),
        ("team.put", {"name": "t", "share": 0}, "invalid", "share: 0 is below 1"),
        ("pool.put", {"name": "p", "if_revision": 99}, "conflict", "revision 1"),
        ("pool.delete", {"name": "a"}, "conflict", "pool 'a'"),
        ("pool.delete", {"name": "zz"}, "not_found", "zz"),
        ("queue.put", {"name": "q", "pool": "zz"}, "conflict", "pool 'zz'"),
        ("instance.put", {"name": "d1-a0", "pool": "s"}, "conflict", "in_service"),
        ("instance.put", {"name": "d1-a0", "state": "drained"}, "invalid", "state"),
        ("instance.put", {"name": "n", **NEW, "address": "x"}, "invalid", "address"),
        ("instance.delete", {"name": "d1-a0"}, "conflict", "in_service"),
        ("key.grant", {"digest": "x", "team": "t"}, "invalid", "digest"),
        ("key.grant", {"digest": DIGEST, "team": "zz"}, "conflict", "team 'zz'"),
        ("budget.put", {"name": "b", "kind": "row"}, "invalid", "kind"),
        ("budget.put", {"name": "b", "kind": "rack"}, "invalid", "no limit"),
        ("budget.put", {"name": "keep", "min_available": 9}, "conflict", "cannot be"),
        ("apply", {"pools": [{"nam": "p"}]}, "invalid", "nam"),
        ("apply", {"pools": 3}, "invalid", "pools"),
        ("intent.confirm", {"id": "zz"}, "not_found", "zz"),
        ("intent.confirm", {"id": "zz", "if_revision": 1}, "invalid", "if_revision"),
    ],
)
def test_bad_calls_are_refused_with_a_remedy(cluster, action, arguments, kind, text):
    """Guards against an invalid call that changes state or gives no reason."""
    before = cluster.config
    answer = cluster.call(action, **arguments)
    assert (answer.error_kind, text in answer.message) == (kind, True), answer
    assert answer.remedy
    assert cluster.config == before


def test_move_of_a_serving_instance_names_the_plan(cluster):
    """Guards against an instance that changes its pool while it runs tasks."""
    answer = cluster.call("instance.put", name="d1-a0", pool="s")
    assert "intent plan move-capacity a --to-pool s" in answer.remedy


def test_put_keeps_fields_that_are_not_given(cluster):
    """Guards against a put that resets other fields to defaults."""
    cluster.call("team.put", name="t", share=7)
    assert cluster.config.teams["t"].upper_limit == 4
    assert cluster.config.teams["t"].share == 7


def test_apply_is_one_change_with_references_within(cluster):
    """Guards against a set that is partly applied or depends on its order."""
    objects = {
        "queues": [{"name": "q", "pool": "new"}],
        "pools": [{"name": "new"}],
        "instances": [{"name": "n1", **NEW, "pool": "new"}],
    }
    answer = cluster.call("apply", **objects)
    assert answer.result["revision"] == 2, answer
    assert cluster.call(
        "apply", pools=[{"name": "x"}], queues=[{"name": "y"}]
    ).error_kind
    assert "x" not in cluster.config.pools


def test_confirm_of_an_outdated_plan_says_plan_again(cluster):
    """Guards against running a plan on a fleet that has changed."""
    asked = {"kind": "drain-rack", "target": "d1-r1", "options": {}}
    plan = cluster.call("intent.plan", **asked).result
    cluster.call("pool.put", name="other")
    answer = cluster.call("intent.confirm", entry=1, id=plan["plan_id"])
    assert (answer.error_kind, answer.remedy) == ("conflict", "plan again")


def test_another_entry_confirms_and_a_second_confirm_conflicts(cluster):
    """Guards against plans known to one entry instance, and double confirmations."""
    asked = {"kind": "drain-rack", "target": "d1-r1", "options": {}}
    plan_id = cluster.call("intent.plan", **asked).result["plan_id"]
    assert not cluster.call("intent.confirm", entry=1, id=plan_id).error_kind
    assert cluster.call("intent.confirm", id=plan_id).error_kind == "conflict"
    assert cluster.call("intent.show", id=plan_id).result["state"] == "confirmed"


def test_lost_answer_of_the_plan_write_is_read_again(cluster):
    """Guards against a plan reported as failed although it was stored."""
    cluster.n_lost_answers = 1
    asked = {"kind": "drain-rack", "target": "d1-r1", "options": {}}
    assert cluster.call("intent.plan", **asked).result["plan_id"]


def test_withdrawal_reports_where_it_is_pending(cluster):
    """Guards against a withdrawal reported as in force everywhere too early."""
    cluster.call("key.grant", digest=DIGEST, team="t")
    cluster.missing = ["e9"]
    assert cluster.call("key.withdraw", digest=DIGEST) is None
    cluster.run(5_100)
    answer = next(a for c, a in cluster.answers.items() if "withdraw" in c)
    assert answer.result["accepted"]
    assert answer.result["in_force"]["missing"] == ["e9"]


def test_changes_are_refused_while_the_store_is_down(cluster):
    """Guards against reporting a change that the store has not accepted."""
    cluster.view = ViewCase.STORE_DOWN
    assert cluster.call("pool.put", name="p").error_kind == "unavailable"
    assert cluster.call("pool.list").result["items"]


def test_plan_of_a_budget_that_cannot_hold_names_it(cluster):
    """Guards against an intent that fails without a reason."""
    cluster.call("budget.put", name="r", kind="rack", max_groups_out=0)
    asked = {"kind": "roll-pool", "target": "a", "options": {}}
    assert "budget 'r'" in cluster.call("intent.plan", **asked).message
    assert cluster.config.budgets["r"] == Budget("r", "rack", max_groups_out=0)


async def _request(body, credential="secret", method="POST", answer=None, **options):
    digests = (hashlib.sha256(b"secret").hexdigest(),)
    sent = []

    def post(event):
        if answer is not None:
            app.answer(AnswerOperator(event.call_id, **answer))

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    app = OperatorApp(digests, post, FakeClock(), **options)
    headers = [(b"authorization", f"Bearer {credential}".encode())]
    path = "/v1/operator/pool.list"
    scope = {"type": "http", "method": method, "path": path, "headers": headers}
    await app(scope, receive, send)
    return sent[0]["status"], json.loads(sent[1]["body"])


@pytest.mark.parametrize(
    ("body", "options", "status"),
    [
        (b"{}", {"answer": {"result": {"items": []}}}, 200),
        (b"{}", {"answer": {"error_kind": "conflict", "message": "m"}}, 409),
        (b"{}", {"credential": "wrong"}, 401),
        (b"{}", {"method": "GET"}, 405),
        (b"{", {}, 400),
        (b"[]", {}, 400),
        (b"[" * 200_000, {}, 400),
        (b"\xff", {}, 400),
        (b" " * 11, {"max_body_bytes": 10}, 400),
        (b"{}", {"timeout_ms": 10}, 503),
    ],
)
def test_http_calls_end_in_a_structured_answer(body, options, status):
    """Guards against a call that hangs, crashes or passes without credential."""
    found, document = trio.run(lambda: _request(body, **options))
    assert found == status
    assert status == 200 or set(document) == {"kind", "message", "remedy"}


def test_other_scopes_are_refused_as_asgi_demands():
    """Guards against a server that cannot start because the app accepts lifespan."""

    async def serve():
        app = OperatorApp((), lambda event: None, FakeClock())
        await app({"type": "lifespan"}, None, None)

    with pytest.raises(NotImplementedError):
        trio.run(serve)
