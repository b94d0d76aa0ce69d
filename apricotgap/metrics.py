"""Counters and latency histograms, exported in the Prometheus text format."""

from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

from apricotgap.decoding import refused_documents

__all__ = ["Metrics"]

# Upper bounds of the histogram buckets.
BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)


class Metrics:
    """Counters and histograms of one instance.

    Parameters
    ----------
    instance : str
        Name of the instance.
    """

    def __init__(self, instance: str) -> None:
        self._reader = InMemoryMetricReader()
        provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource({"service.instance.id": instance}),
            views=[
                View(
                    instrument_name="*_ms",
                    aggregation=ExplicitBucketHistogramAggregation(BUCKETS_MS),
                )
            ],
        )
        self._meter = provider.get_meter("apricotgap")
        self._meter.create_observable_counter(
            "documents_refused_total", callbacks=[_observe_refused_documents]
        )
        self._counters: dict[str, Any] = {}
        self._histograms: dict[str, Any] = {}

    def count(self, name: str, n: int = 1, **labels: str | int) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter.create_counter(f"{name}_total")
            self._counters[name] = counter
        counter.add(n, labels)

    def observe_ms(self, name: str, value_ms: float, **labels: str | int) -> None:
        """Record a latency in milliseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(f"{name}_ms", unit="ms")
            self._histograms[name] = histogram
        histogram.record(value_ms, labels)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        data = self._reader.get_metrics_data()
        lines: list[str] = []
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        lines.extend(_render_point(f"apricotgap_{metric.name}", point))
        return "\n".join(lines) + "\n"


def _observe_refused_documents(_options: CallbackOptions) -> list[Observation]:
    return [Observation(n, {"format": each}) for each, n in refused_documents().items()]


def _render_point(name: str, point: Any) -> list[str]:
    labels = ",".join(
        f'{label}="{value}"' for label, value in sorted(point.attributes.items())
    )
    suffix = f"{{{labels}}}" if labels else ""
    if hasattr(point, "value"):
        return [f"{name}{suffix} {point.value}"]
    prefix = f"{labels}," if labels else ""
    lines = []
    n_cumulative = 0
    bounds = [*map(str, point.explicit_bounds), "+Inf"]
    for bound, n in zip(bounds, point.bucket_counts, strict=True):
        n_cumulative += n
        lines.append(f'{name}_bucket{{{prefix}le="{bound}"}} {n_cumulative}')
    lines.append(f"{name}_sum{suffix} {point.sum}")
    lines.append(f"{name}_count{suffix} {point.count}")
    return lines
