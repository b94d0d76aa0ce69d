"""Metrics, spans and logs."""

import logging
import sys
from collections.abc import Mapping
from typing import Any

import structlog
from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    ConsoleSpanExporter,
    SimpleSpanProcessor,
    SpanExporter,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from apricotgap.core.effects import Count, LogChange, Observe
from apricotgap.settings import TelemetrySettings

__all__ = ["Telemetry", "configure_logs"]

_PROPAGATOR = TraceContextTextMapPropagator()


def configure_logs(log_format: str) -> None:
    """Configure structlog to write to standard error.

    Parameters
    ----------
    log_format : {"json", "console"}
        Format of the log lines.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


class Telemetry:
    """Counters, histograms and spans of one entry instance.

    Parameters
    ----------
    entry : str
        Name of the entry instance.
    settings : TelemetrySettings
        Destination of spans.
    exporter : SpanExporter or None
        Exporter of spans, overriding the one that the settings name.
    """

    def __init__(
        self,
        entry: str,
        settings: TelemetrySettings,
        exporter: SpanExporter | None = None,
    ) -> None:
        resource = Resource.create(
            {"service.name": "apricotgap", "service.instance.id": entry}
        )
        self._reader = InMemoryMetricReader()
        meters = MeterProvider(metric_readers=[self._reader], resource=resource)
        self._meter = meters.get_meter("apricotgap")
        self._counters: dict[str, Any] = {}
        self._histograms: dict[str, Any] = {}
        self._spans_wanted = exporter is not None or settings.spans != "none"
        tracers = TracerProvider(resource=resource)
        if exporter is None and settings.spans == "console":
            exporter = ConsoleSpanExporter(out=sys.stderr)
        if exporter is not None:
            tracers.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = tracers.get_tracer("apricotgap")
        self._log = structlog.get_logger().bind(entry=entry)

    @property
    def tracer(self) -> trace.Tracer:
        """Tracer that starts the span of each hop."""
        return self._tracer

    def count(self, effect: Count) -> None:
        """Add to a counter."""
        counter = self._counters.get(effect.name)
        if counter is None:
            counter = self._meter.create_counter(effect.name)
            self._counters[effect.name] = counter
        counter.add(effect.n, dict(effect.labels))

    def observe(self, effect: Observe) -> None:
        """Record a value in a histogram."""
        histogram = self._histograms.get(effect.name)
        if histogram is None:
            histogram = self._meter.create_histogram(effect.name)
            self._histograms[effect.name] = histogram
        histogram.record(effect.value, dict(effect.labels))

    def log_change(self, effect: LogChange) -> None:
        """Log a state change."""
        self._log.info(effect.event, **effect.fields)

    def start_span(self, name: str, headers: Mapping[str, str]) -> trace.Span:
        """Start a span whose parent is the trace context in the headers.

        Parameters
        ----------
        name : str
            Name of the hop.
        headers : mapping of str to str
            Headers with an optional ``traceparent``.

        Returns
        -------
        Span
            Span that the caller must end.
        """
        parent = _PROPAGATOR.extract(headers)
        return self._tracer.start_span(name, context=parent)

    def start_child(self, name: str, parent: trace.Span | None) -> trace.Span:
        """Start a child span of `parent`, or of the current context if it is None."""
        context = trace.set_span_in_context(parent) if parent else None
        return self._tracer.start_span(name, context=context)

    def trace_headers(self, span: trace.Span) -> dict[str, str]:
        """Return the headers that propagate the trace context of a span."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(
            carrier, trace.set_span_in_context(span, otel_context.Context())
        )
        return carrier

    def snapshot(self) -> dict[str, Any]:
        """Return all metrics as a dict that can be encoded as JSON.

        Returns
        -------
        dict of str to list of dict
            Data points by metric name, each with ``labels`` and ``value``, or
            ``labels``, ``count`` and ``sum`` for histograms.
        """
        data = self._reader.get_metrics_data()
        points_by_metric: dict[str, Any] = {}
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    points_by_metric[metric.name] = [
                        _point(point) for point in metric.data.data_points
                    ]
        return points_by_metric


def _point(point: Any) -> dict[str, Any]:
    labels = dict(point.attributes or {})
    if hasattr(point, "value"):
        return {"labels": labels, "value": point.value}
    return {"labels": labels, "count": point.count, "sum": point.sum}
