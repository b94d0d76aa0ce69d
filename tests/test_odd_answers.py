"""Documents of the platform and answers of workers with numbers out of range."""

import json

import pytest

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import TaskName
from apricotgap.platform.advice import AdviceError, decode_approval
from apricotgap.platform.job_wire import decode_job
from apricotgap.platform.wire import WireError, decode_configuration, decode_wave
from apricotgap.platform.workers import WorkerError, decode_poll


@pytest.mark.parametrize("factor", [1e308, -1e308])
def test_queue_with_a_factor_out_of_range_is_rejected(factor):
    """Guards against a queue whose accepted jobs overflow in their shard's owner."""
    route = {"name": "a", "host": "h", "prefix": "/p/", "service": "s"}
    document = {"version": 1, "routes": [route | {"slackFactor": factor}]}
    with pytest.raises(WireError):
        decode_configuration(json.dumps(document).encode())


def test_largest_factor_and_estimates_give_a_number():
    """Guards against a bound on factors that products of them exceed."""
    largest = 2**53 - 1
    route = {"name": "a", "host": "h", "prefix": "/p/", "service": "s"}
    document = {"version": 1, "routes": [route | {"slackFactor": float(largest)}]}
    queue = decode_configuration(json.dumps(document).encode()).queues[0]
    steps = [{"count": 1, "estimatedMs": largest, "after": []} for _ in range(100)]
    body = json.dumps({"steps": steps}).encode()
    assert JobState(decode_job(body, "a" * 16, queue, "", 0)).objective_ms > 0


@pytest.mark.parametrize("number", [0, -1, 2**53])
def test_wave_without_a_number_is_rejected(number):
    """Guards against maintenance that is ordered as a move to no pool."""
    document = {"wave": number, "machines": ["m1"], "durationS": 5}
    with pytest.raises(WireError):
        decode_wave(json.dumps(document).encode())


@pytest.mark.parametrize("field", [3, 4])
@pytest.mark.parametrize("value", ["1e300", "-1e300", "1e400", "NaN", "Infinity"])
def test_poll_with_numbers_out_of_range_is_malformed(field, value):
    """Guards against a worker whose numbers overflow in its shard's owner."""
    row = ['"a.0.0.0"', "1", '""', "0", "0"]
    row[field] = value
    body = f'{{"clockMs":1,"running":[[{",".join(row)}]]}}'
    with pytest.raises(WorkerError):
        decode_poll(body.encode())


@pytest.mark.parametrize(
    "name",
    ["a.0.0", "a.0.0.0.0", "a.0.0.-1", "a.0.0. 1", "a.0.1_0.0", "a.0.٣.0"]
    + ["a.0.0." + "9" * 4_000],
)
def test_odd_task_name_is_malformed(name):
    """Guards against two names of one task, and numbers that can't be printed."""
    with pytest.raises(ValueError, match="not a task name") as caught:
        TaskName.parse(name)
    assert len(str(caught.value)) < 200


@pytest.mark.parametrize("validity_ms", ["1" + "0" * 18, "1e3", "null"])
def test_advice_with_an_odd_validity_is_malformed(validity_ms):
    """Guards against a ticket whose end can't be computed with."""
    body = f'{{"approved":[["w","t"]],"validityMs":{validity_ms}}}'
    with pytest.raises(AdviceError):
        decode_approval(body.encode())
