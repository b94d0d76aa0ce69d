"""Decoding of the calls and answers of other instances.

All functions raise `DecodeError` for what is malformed.
"""

from typing import Annotated, Any

import msgspec

from apricotgap.decoding import Count, DecodeError, Integer, convert, decode_cbor
from apricotgap.instance.pool_reports import Cores
from apricotgap.jobs.fleet_view import ReportRequest
from apricotgap.jobs.model import JobPhase
from apricotgap.jobs.service import CancelResult, SubmitOutcome, SubmitResult

__all__ = [
    "decode_answer",
    "decode_call",
    "decode_cancel_result",
    "decode_count",
    "decode_outcome",
    "decode_owner_call",
    "decode_phase",
    "decode_relay_call",
    "decode_relayed_names",
    "decode_report_call",
]

# More than any caller waits.
_MAX_LEFT_MS = 600_000

_LeftMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_LEFT_MS)]


class _ReportOptions(msgspec.Struct):
    other_use: dict[str, Cores] | None = None
    urgent: dict[str, Count] = {}


class _ReportCall(msgspec.Struct, array_like=True):
    reserved: list[str]
    ended: list[str]
    share: Count | None = None
    options: _ReportOptions = msgspec.field(default_factory=_ReportOptions)


def decode_call(data: bytes) -> tuple[int, str, Any]:
    """Decode a call: its number, the operation and its argument."""
    return decode_cbor(data, tuple[Integer, str, Any])


def decode_answer(data: bytes) -> tuple[int, Any]:
    """Decode an answer: the number of its call and the result."""
    return decode_cbor(data, tuple[Integer, Any])


def decode_owner_call(argument: Any) -> tuple[str, Any, int]:
    """Decode a call to an owner: its service, the payload and the time left in ms."""
    return convert(argument, tuple[str, Any, _LeftMs])


def decode_report_call(payload: Any) -> ReportRequest:
    """Decode a request for a report; options that are not known are ignored."""
    call = convert(payload, _ReportCall)
    options = call.options
    return ReportRequest(
        call.reserved, call.ended, call.share, options.other_use, options.urgent
    )


def decode_relay_call(argument: Any) -> tuple[Any, int]:
    """Decode a call to relay: its payload and the time left in ms."""
    return convert(argument, tuple[Any, _LeftMs])


def decode_relayed_names(payload: Any) -> tuple[str, str]:
    """Decode the payload of a relayed read: a service, and a job or a queue."""
    return convert(payload, tuple[str, str])


def decode_outcome(answer: Any) -> SubmitOutcome:
    """Decode the outcome of a submission; the first protocol has only the result."""
    if isinstance(answer, str):
        return SubmitOutcome(convert(answer, SubmitResult))
    return SubmitOutcome(*convert(answer, tuple[SubmitResult, Count, str]))


def decode_phase(value: Any) -> JobPhase | None:
    """Decode the state of a job, None for an unknown one."""
    return convert(value, JobPhase | None)


def decode_cancel_result(name: Any) -> CancelResult:
    """Decode the result of a cancellation."""
    member = CancelResult.__members__.get(convert(name, str))
    if member is None:
        raise DecodeError("malformed result of a cancellation")
    return member


def decode_count(value: Any) -> int:
    """Decode a number of jobs."""
    return convert(value, Count)
