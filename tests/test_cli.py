import json

import click
import httpcore
import pytest
from click.testing import CliRunner

from apricotgap import client
from apricotgap.cli import main
from apricotgap.client import OperatorClient
from apricotgap.errors import UnavailableError

ENV = {"APRICOTGAP_ENTRY": "10.0.0.1:1 10.0.0.2:1", "APRICOTGAP_CREDENTIAL": "c"}


@pytest.fixture
def sent(monkeypatch):
    """Recorded transport calls, and the transport, which returns `send.response`."""
    calls = []

    def send(url, headers, body):
        calls.append((url, json.loads(body)))
        return send.response

    send.response = (200, b'{"revision": 3, "items": [{"name": "a", "spare": true}]}')
    calls_and_transport = (calls, send)
    monkeypatch.setattr(client, "_send", send)
    return calls_and_transport


def run(*arguments, env=ENV):
    return CliRunner().invoke(main, arguments, env=env)


@pytest.mark.parametrize(
    ("line", "action", "arguments"),
    [
        ("pool put p --spare", "pool.put", {"name": "p", "spare": True}),
        ("pool put p", "pool.put", {"name": "p"}),
        (
            "instance put w --cpu-milli 5 --slots 2",
            "instance.put",
            {"name": "w", "slots": 2, "capacity": {"cpu_milli": 5}},
        ),
        ("queue put q --teams a --teams b", "queue.put", {"teams": ["a", "b"]}),
        ("data-centre list", "data_centre.list", {}),
        ("budget delete b --if-revision 4", "budget.delete", {"if_revision": 4}),
        (
            "intent plan move-capacity s --to-pool p --count 2",
            "intent.plan",
            {"options": {"to_pool": "p", "count": "2"}},
        ),
        ("intent confirm 3f", "intent.confirm", {"id": "3f"}),
    ],
)
def test_commands_call_their_action(sent, line, action, arguments):
    """Guards against a command that calls the wrong action or drops an option."""
    result = run(*line.split())
    assert result.exit_code == 0, result.output
    url, body = sent[0][0]
    assert url == f"http://10.0.0.1:1/v1/operator/{action}"
    assert arguments.items() <= body.items()


def test_granted_secret_is_shown_and_not_sent(sent):
    """Guards against sending the secret of a new key to an entry instance."""
    shown = json.loads(run("--json", "key", "grant", "t").output)
    _, body = sent[0][0]
    assert shown["key"] not in json.dumps(body)
    assert body["digest"] == shown["digest"]


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        ("error", 1),
        ("invalid", 2),
        ("conflict", 3),
        ("not_found", 4),
        ("not_authorised", 5),
        ("unavailable", 6),
    ],
)
def test_errors_have_exit_codes_and_no_traceback(sent, kind, code):
    """Guards against errors that scripts cannot tell apart by their exit code."""
    document = {"kind": kind, "message": "m", "remedy": "r"}
    sent[1].response = (400, json.dumps(document).encode())
    result = run("status")
    assert result.exit_code == code
    assert "error: m" in result.stderr
    assert "remedy: r" in result.stderr


def test_missing_credential_bad_usage_and_bad_files(tmp_path):
    """Guards against tracebacks after an operator's mistake."""
    bad = tmp_path / "bad.yaml"
    bad.write_text("pools: [")
    no_credential = {"APRICOTGAP_ENTRY": "x:1", "APRICOTGAP_CREDENTIAL": ""}
    assert run("status", env=no_credential).exit_code == 5
    assert run("pool", "put").exit_code == 2
    assert run("apply", str(bad)).exit_code == 2
    assert run("apply", str(tmp_path / "absent")).exit_code == 2


def test_table_has_a_row_for_each_object(sent):
    """Guards against lists of objects that are not printed as aligned columns."""
    lines = run("pool", "list").output.splitlines()
    assert lines[-2:] == ["NAME  SPARE", "a     yes"]


def test_next_entry_is_tried_only_when_nothing_was_sent():
    """Guards against a change that is sent twice because its response was lost."""
    tried = []

    def refuse_first(url, headers, body):
        tried.append(url)
        if len(tried) == 1:
            raise httpcore.ConnectError("refused")
        return 200, b'{"ok": true}'

    def lose(url, headers, body):
        tried.append(url)
        raise httpcore.ReadTimeout("silent")

    assert OperatorClient(("a:1", "b:1"), "c", refuse_first).call("status", {})
    assert len(tried) == 2
    with pytest.raises(UnavailableError, match="may have been accepted"):
        OperatorClient(("a:1", "b:1"), "c", lose).call("status", {})
    assert len(tried) == 3


def _commands(command, path=()):
    yield path, command
    for name, child in getattr(command, "commands", {}).items():
        yield from _commands(child, (*path, name))


def test_every_command_has_help():
    """Guards against commands without a help text."""
    for path, command in _commands(main):
        assert isinstance(command, click.Command)
        result = run(*path, "--help")
        assert result.exit_code == 0, path
        assert command.help, path
