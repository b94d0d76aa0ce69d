"""Requests whose connection ended before their response was complete."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import structlog

from apricotgap.line_limit import LineLimit

__all__ = ["EndedBy", "RequestStage", "UnansweredLog", "UnansweredRequest"]


class EndedBy(StrEnum):
    """Who ended a connection."""

    CLIENT = "client"
    INSTANCE = "instance"
    ERROR = "error"


class RequestStage(StrEnum):
    """How far a request is whose head has been read."""

    BODY = "body"
    WORK = "work"
    RESPONSE = "response"


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request that was read and has no complete response.

    `age_ms` is the time in milliseconds since its head was read.
    """

    method: str
    path: str
    ended_by: EndedBy
    stage: RequestStage
    age_ms: int


class UnansweredLog:
    """Logs and counts unanswered requests.

    Parameters
    ----------
    count : callable
        Adds one to a counter with the labels `by` and `stage`.
    """

    def __init__(self, count: Callable[[EndedBy, RequestStage], None]) -> None:
        self._count = count
        self._limit = LineLimit()
        self._log = structlog.get_logger()

    def record(self, request: UnansweredRequest, now_ms: int) -> None:
        """Record a request at a time in milliseconds."""
        self._count(request.ended_by, request.stage)
        n_omitted = self._limit.admit(f"{request.method} {request.path}", now_ms)
        if n_omitted is None:
            return
        self._log.warning(
            "request_unanswered",
            method=request.method,
            path=request.path,
            by=request.ended_by.value,
            stage=request.stage.value,
            age_ms=request.age_ms,
            n_omitted=n_omitted,
        )
