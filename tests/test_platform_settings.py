"""Settings file of an instance: cut, missing and odd files at start and reload."""

import os
from random import Random

import pytest
import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apricotgap.errors import SettingsError
from apricotgap.platform.settings import PlatformSettings, load_platform_settings
from soak.cluster import SIGHUP, open_cluster

# 80 in CI; more by hand.
N_EXAMPLES = int(os.environ.get("SETTINGS_EXAMPLES", "80"))
TEXT = """# Zürich
nodeName = "a"
ip = "127.0.0.1"
zone = "z"
internalPorts = [7000, 7015]
advice = "127.0.0.1:1"
[listenAddrs]
frontendAddr = "127.0.0.1:1"
readinessAddr = "127.0.0.1:2"
[limits]
cpuShare = 0.5
cpuCores = 2
[bounds]
maxHoldMs = 6000
revokeMs = 5000
status_s = 120
graceS = 6
migrateS = 1.5
[cloudApi]
address = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
minTtlMs = 1000
"""
NUMBERS = (
    "[7000, 7015]",
    "0.5",
    "= 2\n",
    "6000",
    "5000",
    "120",
    "= 6\n",
    "1.5",
    "1000",
)
ODD_VALUES = (
    "inf",
    "-inf",
    "nan",
    "1e300",
    "1" + "0" * 400,
    "-1",
    "[]",
    "{}",
    '"x"',
    "[inf]",
    "[1e400, 2]",
    "1979-05-27",
    "[" * 5_000,
)


def load(path, data):
    path.write_bytes(data)
    return load_platform_settings(str(path))


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("number", NUMBERS)
def test_odd_value_is_a_settings_error(tmp_path, number, value):
    """Guards against a value that ends the process, or one that refuses all keys."""
    odd = f"= {value}\n" if number.startswith("=") else value
    assert TEXT.count(number) == 1
    with pytest.raises(SettingsError):
        load(tmp_path / "boot.toml", TEXT.replace(number, odd).encode())


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"\0" * 100, b"nodeName = 'a"])
def test_unreadable_file_is_a_settings_error(tmp_path, data):
    """Guards against a file in the middle of being written that ends the process."""
    with pytest.raises(SettingsError):
        load(tmp_path / "boot.toml", data)


def test_missing_file_is_a_settings_error(tmp_path):
    """Guards against a file that is replaced and for a moment not there."""
    for path in (tmp_path / "none.toml", tmp_path, tmp_path / "a\0b"):
        with pytest.raises(SettingsError):
            load_platform_settings(str(path))


@st.composite
def damaged_files(draw):
    """Return the settings file with a cut, a part twice or other bytes in it."""
    data = TEXT.encode()
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(data)))
        end = draw(st.integers(start, len(data)))
        part = draw(
            st.one_of(
                st.just(b""),
                st.just(data[start:end] * 2),
                st.binary(max_size=8),
                st.sampled_from([value.encode() for value in ODD_VALUES]),
            )
        )
        data = data[:start] + part + data[end:]
    return data


@seed(1)
@settings(max_examples=N_EXAMPLES, deadline=None)
@given(data=damaged_files())
def test_damaged_file_is_loaded_or_a_settings_error(tmp_path_factory, data):
    """Guards against a damaged file that raises anything else."""
    path = tmp_path_factory.getbasetemp() / "damaged.toml"
    try:
        loaded = load(path, data)
    except SettingsError:
        return
    assert isinstance(loaded, PlatformSettings)
    assert loaded.bounds.revoke_ms > 0


def test_process_goes_on_with_its_settings_while_the_file_is_damaged(tmp_path):
    """Guards against a process that ends on a file that is just being written."""

    async def main():
        async with open_cluster(tmp_path, n_instances=1) as cluster:
            instance = cluster.instances[0]
            path = tmp_path / f"{instance.name}.toml"
            whole = path.read_bytes()
            random = Random(1)
            odd = whole.replace(b"revokeMs = 5000", b"revokeMs = inf")
            cut = [whole[: random.randrange(len(whole))] for _ in range(4)]
            for data in (b"", b"# \xc3", odd, *cut, None):
                path.unlink()
                if data is not None:
                    path.write_bytes(data)
                instance.signal(SIGHUP)
                await trio.sleep(0.1)
                assert instance.is_running
                assert (await cluster.request(instance, "GET", "f" * 16))[0] == 410
            path.write_bytes(whole)
            instance.signal(SIGHUP)
            await trio.sleep(0.5)
            assert instance.lines("reload_failed")
            assert (await cluster.request(instance, "GET", "f" * 16))[0] == 410

    trio.run(main)


async def write_pipe(path, data):
    """Write to a named pipe once it has a reader, until which the open fails."""
    while True:
        try:
            pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            break
        except OSError:
            await trio.sleep(0.01)
    os.write(pipe, data)
    os.close(pipe)


def test_process_starts_beside_a_change_of_its_file(tmp_path):
    """Guards against a process that ends at its start: it read a file that was just
    being written. A named pipe has it read the cut file first.
    """

    async def main():
        async with open_cluster(tmp_path, n_instances=1) as cluster:
            instance = cluster.instances[0]
            path = tmp_path / f"{instance.name}.toml"
            whole = path.read_bytes()
            instance.stop()
            path.unlink()
            os.mkfifo(path)
            instance.start()
            with trio.fail_after(20):
                await write_pipe(path, whole[:20])
                await write_pipe(path, whole)
            (tmp_path / "whole").write_bytes(whole)
            (tmp_path / "whole").rename(path)
            await cluster.until_ready()

    trio.run(main)
