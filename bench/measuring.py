"""Processor time, memory, medians, slopes, tables and checks."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median

__all__ = ["Check", "Sample", "linear_fit", "memory_mb", "process_ms", "table"]

# A cost counts as flat when the largest size costs at most this much more.
MAX_GROWTH = 1.5


@dataclass(frozen=True, slots=True)
class Sample:
    """Repeated measurements of one quantity.

    Parameters
    ----------
    values : tuple of float
        One value for each repetition.
    """

    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """Middle value."""
        return float(median(self.values))

    @property
    def spread(self) -> float:
        """Largest less smallest value, as a share of the median."""
        return (max(self.values) - min(self.values)) / self.median


@dataclass(frozen=True, slots=True)
class Check:
    """A goal and whether the measurement meets it."""

    name: str
    value: float
    most: float

    @property
    def passed(self) -> bool:
        """Whether the value is within the goal."""
        return self.value <= self.most


def linear_fit(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, values : sequence of float
        Points; at least two different sizes.

    Returns
    -------
    base : float
        Value at size 0.
    slope : float
        Rise of the value for each unit of size.

    Raises
    ------
    ValueError
        If all sizes are equal.
    """
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    if not spread:
        raise ValueError("a slope needs two different sizes")
    pairs = zip(sizes, values, strict=True)
    slope = sum((s - mean_size) * (v - mean_value) for s, v in pairs) / spread
    return mean_value - slope * mean_size, slope


def process_ms(pid: int) -> float:
    """Return the processor time of a process in milliseconds, all threads."""
    total_ns = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text().split()[0])
    return total_ns / 1e6


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes (10^6 bytes)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ProcessLookupError(pid)


def table(title: str, header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table in plain text with aligned columns."""
    cells = [list(header), *([_cell(item) for item in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = [
        "  ".join(text.rjust(width) for text, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join([f"{title}:", *lines])


def _cell(item: object) -> str:
    if isinstance(item, float):
        return f"{item:.3g}" if abs(item) < 100 else f"{item:,.0f}"
    return f"{item:,}" if isinstance(item, int) else str(item)
