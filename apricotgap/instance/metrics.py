"""Counters and latency histograms, served as text."""

from bisect import bisect_left

__all__ = ["Metrics"]

# Upper bounds of the latency buckets in milliseconds.
BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)


class Metrics:
    """Counters and histograms of one instance."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._histograms: dict[str, list[float]] = {}

    def count(self, name: str, n: int = 1, **labels: object) -> None:
        """Add to a counter."""
        key = _key(name + "_total", labels)
        self._counters[key] = self._counters.get(key, 0) + n

    def observe_ms(self, name: str, value_ms: float, **labels: object) -> None:
        """Record a latency in milliseconds."""
        key = _key(name, labels)
        row = self._histograms.setdefault(key, [0.0] * (len(BUCKETS_MS) + 2))
        row[bisect_left(BUCKETS_MS, value_ms)] += 1
        row[-1] += value_ms

    def text(self) -> str:
        """Return all values in the text format of metrics scrapers."""
        lines = [f"apricotgap_{key} {n}" for key, n in sorted(self._counters.items())]
        for key, row in sorted(self._histograms.items()):
            lines.extend(_histogram_lines(key, row))
        return "\n".join(lines) + "\n"


def _key(name: str, labels: dict[str, object]) -> str:
    if not labels:
        return name
    inner = ",".join(f'{label}="{value}"' for label, value in sorted(labels.items()))
    return f"{name}{{{inner}}}"


def _histogram_lines(key: str, row: list[float]) -> list[str]:
    name, _, rest = key.partition("{")
    labels = rest.rstrip("}")
    prefix = f"{labels}," if labels else ""
    suffix = f"{{{labels}}}" if labels else ""
    lines = []
    n_seen = 0.0
    for bound, n in zip((*BUCKETS_MS, "+Inf"), row[:-1], strict=True):
        n_seen += n
        lines.append(
            f'apricotgap_{name}_ms_bucket{{{prefix}le="{bound}"}} {int(n_seen)}'
        )
    lines.append(f"apricotgap_{name}_ms_sum{suffix} {row[-1]:.1f}")
    lines.append(f"apricotgap_{name}_ms_count{suffix} {int(n_seen)}")
    return lines
