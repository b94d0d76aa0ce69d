"""Errors of operators that `apricotgap configuration check` reports."""

import json

import pytest
from click.testing import CliRunner

from apricotgap.cli import main
from apricotgap.jobs.configuration_check import CHECKS, check_configuration
from apricotgap.jobs.configuration_diff import compare
from apricotgap.jobs.configuration_finding import CheckCase
from apricotgap.platform.configuration_errors import platform_path, read_configuration

SECRET = "bakers-secret"
DOCUMENT = {
    "version": 5,
    "routes": [
        {"name": "a", "host": "h.example", "prefix": "/a/", "service": "oven"},
        {"name": "b", "host": "h.example", "prefix": "/b/", "service": "oven"},
    ],
    "services": [{"name": "oven"}, {"name": "cellar", "standby": True}],
    "tenants": [
        {"name": "bakers", "apiKeys": [SECRET], "maxCount": {"cpu": 0, "memMb": 9}},
        {"name": "millers", "apiKeys": ["k2"], "weight": 2.5},
    ],
}


def changed(kind, **fields):
    """Return the document with other fields in its second entry of a kind."""
    first, second = DOCUMENT[kind]
    return DOCUMENT | {kind: [first, second | fields]}


def encode(document):
    return json.dumps(document).encode()


def decoded(document=DOCUMENT):
    return read_configuration(encode(document)).config


def found(document, in_force=None):
    findings = check_configuration(CheckCase(decoded(document), in_force))
    return [(each.check, platform_path(each.path)) for each in findings]


@pytest.mark.parametrize(
    ("document", "check", "path"),
    [
        (changed("routes", prefix="/a/"), "hidden_queue", "routes[1].prefix"),
        (changed("routes", prefix="/a/0f"), "hidden_queue", "routes[1].prefix"),
        (changed("routes", name="a"), "distinct_names", "routes[1].name"),
        (changed("routes", name=""), "distinct_names", "routes[1].name"),
        (changed("routes", host="h.example:80"), "routed_queue", "routes[1].host"),
        (changed("routes", prefix="b/"), "routed_queue", "routes[1].prefix"),
        (changed("routes", prefix="/b%20/"), "routed_queue", "routes[1].prefix"),
        (changed("routes", service="ovne"), "working_service", "routes[1].service"),
        (changed("routes", service="cellar"), "working_service", "routes[1].service"),
        (changed("routes", timeoutMs=0), "queue_times", "routes[1].timeoutMs"),
        (changed("routes", timeoutMs=999), "queue_times", "routes[1].timeoutMs"),
        (changed("routes", maxAttempts=0), "queue_times", "routes[1].maxAttempts"),
        (changed("routes", slackFactor=0.2), "queue_times", "routes[1].slackFactor"),
        (
            changed("routes", targetLatencyMs=-1),
            "queue_times",
            "routes[1].targetLatencyMs",
        ),
        (changed("routes", priority=-1), "queue_times", "routes[1].priority"),
        (
            changed("services", name="oven", standby=False),
            "distinct_names",
            "services[1].name",
        ),
        (changed("tenants", name="bakers"), "distinct_names", "tenants[1].name"),
        (changed("tenants", weight=0), "team_amounts", "tenants[1].weight"),
        (
            changed("tenants", maxCount={"memMb": -1}),
            "team_amounts",
            "tenants[1].maxCount.memMb",
        ),
        (changed("tenants", apiKeys=[]), "team_keys", "tenants[1].apiKeys"),
        (changed("tenants", apiKeys=[""]), "team_keys", "tenants[1].apiKeys"),
        (changed("tenants", apiKeys=["k2\n"]), "team_keys", "tenants[1].apiKeys"),
        (changed("tenants", apiKeys=[SECRET]), "shared_key", "tenants[0].apiKeys"),
    ],
)
def test_error_is_found(document, check, path):
    """Guards against an entry that instances accept but that has another effect."""
    assert found(document) == [(check, path)]


def test_each_check_has_a_name_of_its_own():
    """Guards against findings that cannot be told apart in the JSON report."""
    assert len({check.name for check in CHECKS}) == len(CHECKS)


@pytest.mark.parametrize(
    "document",
    [
        DOCUMENT,
        changed("routes", prefix="/a/q/"),
        changed("routes", prefix="/a/", host="other.example"),
        changed("tenants", maxCount={"cpu": 5, "memMb": 0}),
    ],
)
def test_valid_configuration_has_no_findings(document):
    """Guards against a false alarm for nested prefixes, hosts and unlimited kinds."""
    assert found(document, decoded(DOCUMENT | {"version": 4})) == []


@pytest.mark.parametrize(("in_force", "is_refused"), [(4, False), (5, True), (6, True)])
def test_version_must_rise(in_force, is_refused):
    """Guards against a forgotten new version number: instances ignore the change."""
    findings = found(DOCUMENT, decoded(DOCUMENT | {"version": in_force}))
    assert findings == [("rising_version", "version")] * is_refused


def test_all_wrong_types_are_listed():
    """Guards against one round of corrections for each error of a file."""
    document = changed("routes", timeoutMs="3 s", host=7, slackFactor=10**400)
    document["services"] = [{}]
    document["tenants"] = [{"name": "t", "apiKeys": SECRET}]
    reading = read_configuration(encode(document))
    paths = {platform_path(each.path) for each in reading.errors}
    assert reading.config is None
    assert paths == {
        "routes[1].timeoutMs",
        "routes[1].host",
        "routes[1].slackFactor",
        "services[0].name",
        "tenants[0].apiKeys",
    }
    assert SECRET not in str(reading.errors)


def test_misspelt_field_is_found():
    """Guards against a field that instances ignore because of its spelling."""
    reading = read_configuration(encode(changed("routes", timeoutMS=9, notes="x")))
    paths = [platform_path(each.path) for each in reading.misspelt]
    assert paths == ["routes[1].timeoutMS"]
    assert reading.config is not None


def test_changes_are_listed():
    """Guards against a removed or added entry that the operator did not intend."""
    new = changed("routes", name="c", advice={"url": "x"})
    new["routes"][0] = DOCUMENT["routes"][0] | {"timeoutMs": 4000}
    new["tenants"] = [
        {"name": "bakers", "apiKeys": [SECRET, "k3"], "maxCount": {"cpu": 7}},
        DOCUMENT["tenants"][1],
    ]
    changes = compare(decoded(), decoded(new))
    assert [(each.action, each.kind, each.name) for each in changes] == [
        ("changed", "queue", "a"),
        ("removed", "queue", "b"),
        ("added", "queue", "c"),
        ("changed", "team", "bakers"),
    ]
    fields = {platform_path(f.path): (f.old, f.new) for c in changes for f in c.fields}
    assert fields == {
        "routes.timeoutMs": (3000, 4000),
        "tenants.maxCount.cpu": (0, 7),
        "tenants.maxCount.memMb": (9, 0),
    }
    keys = changes[-1].keys
    assert (keys.n_old, keys.n_new, len(keys.added), keys.removed) == (1, 2, 1, ())


@pytest.fixture
def check(tmp_path):
    """Return a function that runs the command on files with the given bytes."""

    def run(data, in_force=None, *options):
        (tmp_path / "new").write_bytes(data)
        arguments = ["configuration", "check", str(tmp_path / "new"), *options]
        if in_force is not None:
            (tmp_path / "old").write_bytes(in_force)
            arguments += ["--against", str(tmp_path / "old")]
        return CliRunner().invoke(main, arguments)

    return run


OLD = encode(DOCUMENT | {"version": 4, "routes": []})


@pytest.mark.parametrize(
    ("data", "in_force", "exit_code"),
    [
        (encode(DOCUMENT), None, 0),
        (encode(DOCUMENT), OLD, 0),
        (encode(DOCUMENT), encode(DOCUMENT), 1),
        (encode(changed("routes", maxAttempts=0)), None, 1),
        (encode(changed("routes", timeoutMS=9)), None, 1),
        (encode(DOCUMENT), b"", 2),
        (encode([DOCUMENT]), None, 2),
        (b"null", None, 2),
        (b"", None, 2),
        (encode({"version": 1, "notes": "x"}).replace(b"x", b"\xff"), None, 2),
        (encode({"version": 10**400}), None, 2),
        (b'{"version": 1' + b"0" * 10_000 + b"}", None, 2),
        (b'{"version": 1e999}', None, 2),
        (b"[" * 10_000, None, 2),
    ],
)
@pytest.mark.parametrize("output_format", ["text", "json"])
def test_exit_code_tells_what_was_found(
    check, data, in_force, exit_code, output_format
):
    """Guards against a script that sends a configuration with errors."""
    result = check(data, in_force, "--format", output_format)
    assert result.exit_code == exit_code, result.output
    assert isinstance(result.exception, SystemExit | None)
    assert "Traceback" not in result.output
    if output_format == "json":
        report = json.loads(result.stdout)
        assert bool(report["errors"]) == (exit_code == 2)
        assert bool(report["findings"]) == (exit_code == 1)
    elif exit_code == 2:
        assert "expected" in result.stderr


@pytest.mark.parametrize("path", ["no/such/file", ""])
def test_missing_file_is_unreadable(check, path):
    """Guards against a wrong or empty file name that passes as a clean check."""
    result = CliRunner().invoke(main, ["configuration", "check", path])
    assert (result.exit_code, "readable file" in result.stderr) == (2, True)
    assert check(encode(DOCUMENT), None, "--against", path).exit_code == 2


@pytest.mark.parametrize("output_format", ["text", "json"])
def test_keys_are_never_printed(check, output_format):
    """Guards against keys of teams in terminals and logs of deployments."""
    for data in (
        encode(changed("tenants", apiKeys=[SECRET, f"{SECRET} "])),
        encode(changed("tenants", apiKeys=SECRET)),
        encode(DOCUMENT | {"tenants": SECRET}),
        encode(DOCUMENT | {"tenants": [SECRET]}),
        encode(DOCUMENT | {"tenants": []}),
    ):
        result = check(data, encode(DOCUMENT), "--format", output_format)
        assert result.exit_code in (1, 2)
        assert SECRET not in result.output
