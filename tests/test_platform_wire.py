"""Decoding of valid and invalid platform documents."""

import json

import pytest

from apricotgap.errors import SettingsError
from apricotgap.jobs.model import Resources, RunEnd, TaskName
from apricotgap.platform.job_wire import decode_job
from apricotgap.platform.settings import load_platform_settings
from apricotgap.platform.wire import (
    WireError,
    decode_configuration,
    decode_machines,
    decode_wave,
    decode_worker,
)
from apricotgap.platform.workers import WorkerError, decode_poll
from tests.jobs_harness import configuration

WORKER = {
    "service": "bakery",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "state": "ready",
    "freeCapacity": {"cpu": 1000, "memMb": 2000, "gpus": 0},
    "labels": ["k", "r1"],
    "born": 77,
    "coldRemainingMs": 0,
}
QUEUE = configuration().queues[0]
# JSON allows it, but the calculations with it overflow.
HUGE = 10**400


def encode(document):
    return json.dumps(document).encode()


def test_worker_entry_is_decoded():
    entry = decode_worker("i-1", encode(WORKER))
    assert (entry.rack, entry.born_ms, entry.free) == ("r1", 77, Resources(1000, 2000))
    assert decode_worker("i-1", encode(WORKER | {"state": "draining"})).is_draining


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"null",
        encode(WORKER | {"state": "sleeping"}),
        encode(WORKER | {"address": "nowhere"}),
        encode(WORKER | {"address": 7}),
        encode(WORKER | {"address": "10.0.0.1:0"}),
        encode(WORKER | {"address": "10.0.0.1:65536"}),
        encode(WORKER | {"address": "10.0.0.1:" + "9" * 5_000}),
        encode(WORKER | {"address": "10.0.0.1:\u00b2"}),
        encode(WORKER | {"address": "10.0.0.1:+80"}),
        encode(WORKER | {"address": "10.0.0.256:80"}),
        encode(WORKER | {"address": "\u00e9" * 70 + ".example:80"}),
        encode(WORKER | {"address": "10.0.0.1\r\nX: y:80"}),
        encode(WORKER | {"freeCapacity": "much"}),
        encode(WORKER | {"freeCapacity": {"cpu": HUGE}}),
        encode({key: WORKER[key] for key in WORKER if key != "service"}),
    ],
)
def test_invalid_worker_entry_is_rejected(data):
    """Guards against a malformed entry in the store that is used as a worker."""
    with pytest.raises(WireError):
        decode_worker("i-1", data)


def test_job_fields_are_mapped_from_platform_names():
    body = {
        "spec": "x",
        "steps": [
            {"count": 2, "cpu": 500, "memMb": 9, "affinity": "r1", "mayMiss": 1},
            {"count": 1, "cpu": 1, "after": [0], "longRunning": True},
        ],
        "repeatCount": 3,
        "intervalMs": 50,
    }
    job = decode_job(encode(body), "a" * 16, QUEUE, "bakers", 5)
    assert job.steps[0].data_rack == "r1"
    assert job.steps[0].max_unavailable == 1
    assert job.steps[1].after == (0,)
    assert job.is_long_running
    assert list(job.occurrences) == [0, 1, 2]


@pytest.mark.parametrize(
    "steps",
    [[], [{"count": 0}], [{"count": 1, "after": [0]}], [{"count": 1, "after": [3]}], 7],
)
def test_job_that_could_never_run_is_rejected(steps):
    """Guards against jobs with no tasks or with unsatisfiable dependencies."""
    with pytest.raises(WireError):
        decode_job(encode({"spec": "x", "steps": steps}), "a" * 16, QUEUE, "", 0)


@pytest.mark.parametrize(
    ("changes", "step"),
    [
        ({"spec": "x" * 4_001}, {}),
        ({"spec": "é" * 2_001}, {}),
        ({}, {"count": 10**9}),
        ({"repeatCount": 10**9, "intervalMs": 1}, {}),
        ({"repeatCount": -1}, {}),
        ({}, {"cpu": -1}),
        ({}, {"memMb": -5}),
        ({}, {"gpus": -1}),
        ({}, {"estimatedMs": -1}),
        ({}, {"estimatedMs": HUGE}),
        ({}, {"cpu": HUGE}),
        ({}, {"gpus": HUGE}),
        ({"startTimeMs": HUGE}, {}),
    ],
)
def test_job_beyond_a_limit_is_rejected(changes, step):
    """Guards against one submission that stops owner after owner of a shard.

    It would exhaust their memory, or numbers in it would overflow in calculations.
    """
    body = {"spec": "x", "steps": [{"count": 1, "cpu": 1, **step}], **changes}
    with pytest.raises(WireError):
        decode_job(encode(body), "a" * 16, QUEUE, "", 0)


def test_job_with_the_longest_spec_is_accepted():
    """Guards against a limit that rejects a spec of exactly the longest length."""
    body = {"spec": "x" * 4_000, "steps": [{"count": 1, "cpu": 1}]}
    assert len(decode_job(encode(body), "a" * 16, QUEUE, "", 0).content) == 4_000


def test_decoded_configuration_finds_queue_and_team():
    """Guards against routing by the wrong prefix or host, or to the wrong team."""
    document = {
        "version": 4,
        "routes": [
            {"name": "a", "host": "H.example", "prefix": "/p/", "service": "s"},
            {"name": "b", "host": "h.example", "prefix": "/p/q/", "service": "s"},
        ],
        "services": [{"name": "s", "admissionCheck": True}],
        "tenants": [{"name": "t", "apiKeys": ["k1"], "weight": 2}],
        "limits": {"maxHeaderBytes": 1},
    }
    config = decode_configuration(encode(document))
    assert config.queue_for("h.example", "/p/q/1").name == "b"
    assert config.queue_for("h.example", "/p/1").name == "a"
    assert config.queue_for("other", "/p/1") is None
    assert config.team_of_key["k1"] == "t"


@pytest.mark.parametrize("data", [b"{}", b"[1]", encode({"version": "x"})])
def test_invalid_configuration_is_rejected(data):
    """Guards against exceptions other than `WireError`, which callers handle."""
    with pytest.raises(WireError):
        decode_configuration(data)


def test_machines_and_waves_are_decoded():
    page = {
        "machines": [
            {"machine": "m1", "pool": "s", "state": "up", "zone": "a", "id": None}
        ],
        "nextPageToken": "2",
    }
    machines, next_page = decode_machines(encode(page))
    assert (machines[0].name, machines[0].worker_id, next_page) == ("m1", "", "2")
    wave = decode_wave(
        encode({"wave": 3, "machines": ["m1"], "durationS": 2.5, "maxCount": 4})
    )
    assert (wave.number, wave.duration_ms, wave.max_down) == (3, 2500, 4)


def test_poll_response_is_decoded():
    body = {
        "clockMs": 5,
        "running": [["a.0.1.2", 3, "saved", 40], ["b.0.0.0", 1, "", 100, 250.5]],
        "finished": [[7, "c.0.0.1", 2, "done", ""]],
    }
    response = decode_poll(encode(body))
    assert [run.usage for run in response.running] == [0.0, 250.5]
    assert response.running[0].name == TaskName("a", 0, 1, 2)
    assert response.ends[0].end is RunEnd.DONE


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        encode({"running": []}),
        encode({"clockMs": HUGE}),
        encode({"clockMs": 1, "running": [[7, 1, "", 0]]}),
        encode({"clockMs": 1, "running": [["a.0.0", 1, "", 0]]}),
        encode({"clockMs": 1, "running": [["a.0.0.0", "1", "", 0]]}),
        encode({"clockMs": 1, "running": [["a.0.0.0", 1, "", "much"]]}),
        encode({"clockMs": 1, "finished": [[1, "a.0.0.0", 1, "vanished", ""]]}),
        encode({"clockMs": 1, "finished": [[1]]}),
    ],
)
def test_malformed_poll_response_is_rejected(body):
    """Guards against one worker that stops owner after owner of its shard."""
    with pytest.raises(WorkerError):
        decode_poll(body)


@pytest.mark.parametrize("duration_s", ["1e308", "1e400", "-1", '"x"'])
def test_invalid_wave_is_rejected(duration_s):
    """Guards against one document in the store that stops every instance."""
    data = b'{"wave":3,"machines":["m1"],"durationS":%s}' % duration_s.encode()
    with pytest.raises(WireError):
        decode_wave(data)


@pytest.mark.parametrize(
    "text", ["", "not toml [", 'nodeName = "x"', 'internalPorts = "x"']
)
def test_invalid_settings_are_rejected(tmp_path, text):
    """Guards against a traceback for an invalid settings file."""
    path = tmp_path / "boot.toml"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_platform_settings(str(path))
