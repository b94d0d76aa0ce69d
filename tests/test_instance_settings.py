"""Settings of an instance: the decisions under overload that it takes."""

import shlex
import tomllib
from dataclasses import asdict, replace
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio
from click.testing import CliRunner

from apricotgap.cli.daemon import serve
from apricotgap.errors import SettingsError
from apricotgap.instance.settings import InstanceSettings, load_instance_settings
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from soak import cluster as soak_cluster
from soak.cluster import open_cluster
from tests.test_shard_owner import owner_with

ROOT = Path(__file__).parent.parent
NAMES = list(asdict(DEFAULT_OVERLOAD_OPTIONS))
LEASE_LEFT_MS = 3_000

# By case: text of the file and parts of the message.
INVALID = {
    "not a boolean": (
        "overload:\n  packs_domains: 'true'\n",
        ("overload.packs_domains: 'true' is not true or false; write true or false",),
    ),
    "number": ("overload: {packs_domains: 1}", ("packs_domains: 1 is not true",)),
    "no value": ("overload:\n  packs_domains:\n", ("packs_domains: None is not true",)),
    "unknown decision": (
        "overload: {pack_domains: true}",
        ("overload.pack_domains", "did you mean 'packs_domains'?"),
    ),
    "unknown section": ("overlod: {}", ("overlod", "did you mean 'overload'?")),
    "no mapping": ("overload: true", ("overload: True is not a mapping",)),
    "empty": ("", ("file: None is not a mapping",)),
    "twice": (
        "overload: {packs_domains: true, packs_domains: false}",
        ("line 1", "is duplicated"),
    ),
    "two errors": (
        "overload: {packs_domains: 1, starts_by_standing: 2}",
        ("overload.packs_domains", "overload.starts_by_standing"),
    ),
}


def written(path, text):
    path.write_text(text)
    return path


def deployed_settings_path():
    """Return the settings file that the command of the deploy file names."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    (role,) = deploy["roles"].values()
    command = shlex.split(role["run"])
    return ROOT / command[command.index("--settings") + 1]


def test_without_a_file_no_decision_is_on():
    """Guards against a decision that is on without a setting that turns it on."""
    assert load_instance_settings(None) == InstanceSettings()
    assert asdict(load_instance_settings(None).overload) == dict.fromkeys(NAMES, False)


@pytest.mark.parametrize("name", NAMES)
def test_each_decision_is_turned_on_by_its_name_alone(name, tmp_path):
    """Guards against a decision that no setting turns on, or that of another name."""
    path = written(tmp_path / "instance.yaml", f"overload:\n  {name}: true\n")
    expected = replace(DEFAULT_OVERLOAD_OPTIONS, **{name: True})
    assert load_instance_settings(path).overload == expected


@pytest.mark.parametrize("case", INVALID)
def test_invalid_settings_report_field_value_and_remedy(case, tmp_path):
    """Guards against an instance that starts with another state than was asked for."""
    text, parts = INVALID[case]
    path = written(tmp_path / "instance.yaml", text)
    with pytest.raises(SettingsError) as caught:
        load_instance_settings(path)
    assert str(caught.value).startswith(f"{path}:")
    for part in parts:
        assert part in str(caught.value)


def test_missing_file_ends_the_start(tmp_path, monkeypatch):
    """Guards against a wrong path that leaves the decisions off unnoticed."""
    # The platform's file is read first.
    monkeypatch.setattr(
        "apricotgap.instance.instance.load_platform_settings",
        lambda path: SimpleNamespace(name="i"),
    )
    path = tmp_path / "none.yaml"
    result = CliRunner().invoke(serve, ["--settings", str(path)])
    assert (result.exit_code, type(result.exception)) == (2, SystemExit)
    assert f"{path}: cannot be read" in result.stderr
    assert "name a readable UTF-8 file with --settings" in result.stderr


def test_deployed_settings_are_the_defaults_that_the_tests_run_with():
    """Guards against tests that run in another state than the one in service, and
    against a deploy file that names a settings file which cannot be read.
    """
    deployed = load_instance_settings(deployed_settings_path()).overload
    assert deployed == DEFAULT_OVERLOAD_OPTIONS


@pytest.mark.parametrize("name", [None, *NAMES])
def test_owner_takes_exactly_the_decisions_that_are_on(name):
    """Guards against a setting that is read and has no effect on a shard."""
    changes = {name: True} if name else {}
    overload = replace(DEFAULT_OVERLOAD_OPTIONS, **changes)
    owner = owner_with(LEASE_LEFT_MS, overload)
    assert overload == OverloadOptions(
        starts_by_standing=owner._scheduler._starts_by_standing,
        packs_domains=owner._scheduler._cost._packs_domains,
        stops_finite_runs=owner._migrator._stops_finite_runs,
    )


@pytest.mark.parametrize("name", [None, *NAMES])
def test_start_line_names_the_state_of_each_decision(name, tmp_path, monkeypatch):
    """Guards against a process whose state cannot be told from its log."""
    if name is not None:
        path = written(tmp_path / "instance.yaml", f"overload: {{{name}: true}}")
        command = [
            str(path) if part == "deploy/instance.yaml" else part
            for part in soak_cluster.COMMAND
        ]
        assert str(path) in command
        monkeypatch.setattr(soak_cluster, "COMMAND", command)
    expected = {each: each == name for each in NAMES}

    async def main():
        async with open_cluster(tmp_path, n_instances=1) as cluster:
            (line,) = cluster.instances[0].lines("started")
            assert line["overload"] == expected

    trio.run(main)
