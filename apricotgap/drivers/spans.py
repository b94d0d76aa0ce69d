"""Tracing spans of open requests, one for each hop."""

from opentelemetry.trace import Span

from apricotgap.core.effects import Dispatch
from apricotgap.telemetry import Telemetry

__all__ = ["RequestSpans"]


class RequestSpans:
    """Keeps the span of each open request as the parent of the spans of its tasks.

    Parameters
    ----------
    telemetry : Telemetry
        Starts spans.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._by_request: dict[str, Span] = {}

    def start_request(
        self, request_id: str, name: str, headers: dict[str, str]
    ) -> Span:
        """Start the span of a request as a child of the caller's span."""
        span = self._telemetry.start_span(name, headers)
        span.set_attribute("apricotgap.request_id", request_id)
        self._by_request[request_id] = span
        return span

    def end_request(self, request_id: str, outcome: str) -> None:
        """End the span of a request."""
        span = self._by_request.pop(request_id, None)
        if span is not None:
            span.set_attribute("apricotgap.outcome", outcome)
            span.end()

    def start_task(self, effect: Dispatch) -> Span:
        """Start the span of a task; the caller of this method ends it."""
        parent = self._by_request.get(effect.request_id)
        span = self._telemetry.start_child("backend.task", parent)
        span.set_attribute("apricotgap.task_id", effect.task_id)
        span.set_attribute("apricotgap.instance", effect.instance)
        return span

    def trace_headers(self, span: Span) -> dict[str, str]:
        """Return the headers that propagate a span to the backend server."""
        return self._telemetry.trace_headers(span)
