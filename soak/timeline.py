"""What happened when: faults, planned work and orders of operators."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf

import trio

__all__ = ["Scope", "Span", "Timeline", "now_ms"]


def now_ms() -> int:
    """Return the time of the run in milliseconds."""
    return int(trio.current_time() * 1000)


class Scope:
    """What a fault or planned work concerns."""

    STORE = "store"
    INSTANCE = "instance"
    WORKER = "worker"
    MACHINES = "machines"
    CONFIGURATION = "configuration"
    STOP = "stop"
    RELOAD = "reload"
    SOAK = "soak"


@dataclass
class Span:
    """A fault or planned work; `instances` are those that it concerns.

    `detail` tells which variant of the fault it is.
    """

    name: str
    scope: str
    is_planned: bool
    start_ms: int
    end_ms: float = inf
    instances: set[str] = field(default_factory=set)
    detail: str = ""

    def overlaps(self, start_ms: float, end_ms: float) -> bool:
        """Whether it was going on at some time of a span."""
        return self.start_ms <= end_ms and self.end_ms >= start_ms


@dataclass
class Timeline:
    """All spans of a run."""

    spans: list[Span] = field(default_factory=list)

    @contextmanager
    def span(
        self, name: str, scope: str, is_planned: bool, *instances: str
    ) -> Iterator[Span]:
        """Record a span for the time of a block."""
        span = Span(name, scope, is_planned, now_ms(), instances=set(instances))
        self.spans.append(span)
        try:
            yield span
        finally:
            span.end_ms = now_ms()

    def during(self, start_ms: float, end_ms: float) -> list[Span]:
        """Return the spans that overlap a time."""
        return [span for span in self.spans if span.overlaps(start_ms, end_ms)]

    def unplanned(self, start_ms: float, end_ms: float) -> list[Span]:
        """Return the impairments that overlap a time."""
        return [span for span in self.during(start_ms, end_ms) if not span.is_planned]

    def in_touch(self, instance: str, at_ms: float, contact_ms: int) -> bool:
        """Whether an instance and the store had no impairment for `contact_ms`."""
        return not any(
            span.scope in (Scope.STORE, Scope.SOAK) or instance in span.instances
            for span in self.during(at_ms - contact_ms, at_ms)
            if span.scope not in (Scope.CONFIGURATION, Scope.RELOAD)
        )
