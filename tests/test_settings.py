import pytest
from click.testing import CliRunner

from apricotgap.cli.daemon import settings as settings_command
from apricotgap.settings import check_settings

VALID = """
entry:
  name: pokhara-1
  data_centre: pokhara
  http_address: 127.0.0.1:8080
  peer_address: 127.0.0.1:9080
store:
  endpoints: ["http://127.0.0.1:2379"]
platform:
  endpoint: "http://127.0.0.1:2380"
peers:
  secret: a-long-enough-secret
  seeds:
    pokhara-1: 127.0.0.1:9080
    pokhara-2: 127.0.0.1:9081
limits:
  max_body: 1 MiB
  balancer_lag: 2 s
"""

# By case: text to replace in VALID, its replacement, and text of the error message.
INVALID = {
    "wrong type": ("endpoints: [", "endpoints: 7 #[", "store.endpoints"),
    "unknown name": ("data_centre:", "datacentre:", "did you mean 'data_centre'"),
    "duplicate address": ("127.0.0.1:9081", "127.0.0.1:9080", "peers.seeds.pokhara-2"),
    "unit error": ("balancer_lag: 2 s", "balancer_lag: 2", "limits.balancer_lag"),
    "wrong unit": ("1 MiB", "1 s", "limits.max_body"),
    "not YAML": ("store:", "store: [", "valid YAML"),
    "host name": ("127.0.0.1:8080", "localhost:8080", "entry.http_address"),
    "port out of range": ("127.0.0.1:8080", "127.0.0.1:80800", "entry.http_address"),
    "short secret": ("a-long-enough-secret", "short", "peers.secret"),
    "name missing": ("  name: pokhara-1\n", "", "entry.name"),
    "name twice": ("platform:", "store:", "is duplicated"),
    "no scheme": ('"http://127.0.0.1:2380"', '"127.0.0.1:2380"', "platform.endpoint"),
    "same listener": (
        "peer_address: 127.0.0.1:9080",
        "peer_address: 127.0.0.1:8080",
        "entry.peer_address",
    ),
    "missing file": (
        "secret: a-long-enough-secret",
        "secret_file: /nonexistent/secret",
        "peers.secret_file",
    ),
}


def test_valid_settings_are_read_with_units():
    """Guards against values that are converted with the wrong unit."""
    found, problems = check_settings(VALID)
    assert not problems
    assert (found.limits.balancer_lag, found.limits.max_body) == (2_000, 1_048_576)


@pytest.mark.parametrize("case", INVALID)
def test_invalid_settings_report_location_and_remedy(case, tmp_path):
    """Guards against a traceback, or a message without location and remedy."""
    old, new, expected = INVALID[case]
    assert old in VALID
    path = tmp_path / "entry.yaml"
    path.write_text(VALID.replace(old, new, 1))
    result = CliRunner().invoke(settings_command, ["check", str(path)])
    assert (result.exit_code, type(result.exception)) == (2, SystemExit)
    assert expected in result.stderr
    assert ";" in result.stderr


def test_all_errors_are_reported_at_once():
    """Guards against a check that stops at the first error."""
    text = VALID.replace("1 MiB", "1 s").replace("2 s", "2")
    assert len(check_settings(text)[1]) == 2


def test_secret_is_redacted_in_errors():
    """Guards against error messages that contain the peer secret."""
    problems = check_settings(VALID.replace("a-long-enough-secret", "hunter2"))[1]
    assert "hunter2" not in str(problems[0])
