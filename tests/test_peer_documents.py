"""Calls and answers of other instances with odd fields."""

import cbor2
import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.decoding import DecodeError
from apricotgap.instance import peer_documents as documents
from apricotgap.instance.pool_reports import decode_pool_report
from apricotgap.instance.stored_jobs import StoredJobs
from apricotgap.jobs.service import CancelResult
from apricotgap.platform.store import Item, StoreError

ODD = [5, 1.5, [], {}, b"x", [[]], ["x", None], True]


@pytest.mark.parametrize("name", [*ODD, None, "unknown"], ids=repr)
def test_odd_result_of_a_cancellation_is_a_typed_error(name):
    """Guards against an answer that its reader can't look up."""
    with pytest.raises(DecodeError):
        documents.decode_cancel_result(name)


def test_results_of_cancellations_are_read():
    """Guards against an answer of another instance that is not understood."""
    for result in CancelResult:
        assert documents.decode_cancel_result(result.name) is result


@pytest.mark.parametrize(
    "answer",
    [*ODD, None, "strange", ["accepted", "1", ""], ["accepted", -1, ""]]
    + [["accepted", 1, None], ["accepted", 1], [["accepted"], 1, ""]],
    ids=repr,
)
def test_odd_outcome_of_a_submission_is_a_typed_error(answer):
    """Guards against a time to come back that is no number."""
    with pytest.raises(DecodeError):
        documents.decode_outcome(answer)


@pytest.mark.parametrize("value", [*ODD, -1, "x"], ids=repr)
def test_odd_states_and_counts_are_typed_errors(value):
    """Guards against an answer that reaches the caller as it came."""
    if value != 5:
        with pytest.raises(DecodeError):
            documents.decode_count(value)
    with pytest.raises(DecodeError):
        documents.decode_phase(value)


@pytest.mark.parametrize(
    "argument",
    [*ODD, ["s", None, -1], ["s", None, 1e300], ["s", None, 2**60], [5, None, 1]],
    ids=repr,
)
def test_odd_call_to_an_owner_is_a_typed_error(argument):
    """Guards against a call that waits for days, or whose time overflows."""
    with pytest.raises(DecodeError):
        documents.decode_owner_call(argument)


@pytest.mark.parametrize(
    "message", [[1], [1, 2, 3], [1, [], 3], {"a": 1, "b": 1}, ["x", "phase", 1]]
)
def test_odd_message_is_a_typed_error(message):
    """Guards against a message whose reader expects three fields."""
    with pytest.raises(DecodeError):
        documents.decode_call(cbor2.dumps(message))


@pytest.mark.parametrize(
    "data", [{"wanted": "w" * 10**6, "workers": []}, [1, ["w" * 10**6]]]
)
def test_error_of_a_report_is_short(data):
    """Guards against log lines as long as the messages of peers."""
    with pytest.raises(DecodeError) as caught:
        decode_pool_report(data)
    assert len(str(caught.value)) < 300


def test_unreadable_service_of_a_job_is_an_error_of_the_store():
    """Guards against a 500 for a job whose stored service is no text."""

    class Store:
        async def read_key(self, key, timeout_ms):
            return Item(key, b"\xff", 1)

    with pytest.raises(StoreError):
        trio.run(StoredJobs(Store(), FakeClock()).service_of, "a" * 16)
