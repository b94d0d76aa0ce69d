from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from apricotgap.core.effects import Dispatch
from apricotgap.drivers.spans import RequestSpans
from apricotgap.model import Priority
from apricotgap.settings import TelemetrySettings
from apricotgap.telemetry import Telemetry

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT = {"traceparent": f"00-{TRACE_ID}-b7ad6b7169203331-01"}


def test_each_hop_has_a_span_of_the_callers_trace():
    """Guards against a trace that is not propagated to the backend server."""
    exporter = InMemorySpanExporter()
    spans = RequestSpans(Telemetry("e1", TelemetrySettings(), exporter))
    spans.start_request("r1", "caller.request", PARENT)
    dispatch = Dispatch(
        "t1", "r1", "w", "10.0.0.7:8000", 0, 0, Priority.BATCH, "", 1_000
    )
    task = spans.start_task(dispatch)
    sent = spans.trace_headers(task)["traceparent"]
    task.end()
    spans.end_request("r1", "completed")
    task_span, request_span = exporter.get_finished_spans()
    assert sent.split("-")[1] == TRACE_ID
    assert sent.split("-")[2] == f"{task_span.context.span_id:016x}"
    assert task_span.parent.span_id == request_span.context.span_id
