"""Progress of a run, from the percentages in the lists of its worker."""

from dataclasses import dataclass

from apricotgap.jobs import limits

__all__ = ["RunProgress", "clamped"]

# Shortest time over which a rate is taken. Lists are under way for up to 100 ms, which
# is a quarter of it.
WINDOW_MS = 400
# A run has become slower when its rate falls below this share of its highest rate.
DROP_SHARE = 0.4
# From this percentage on, a run tells how long it takes in all.
MIN_CLAIM_PERCENT = 1.0


def clamped(percent: float) -> float:
    """Return a percentage that a worker has listed, which may be any number."""
    return min(max(percent, 0.0), 100.0)


@dataclass(slots=True)
class RunProgress:
    """Rates of a run in percent per ms, and how long it claims to take.

    `rate` is None until a first window has passed, `claimed_ms` is the shortest total
    duration that the percentages have implied so far, None without any.
    """

    rate: float | None = None
    highest_rate: float = 0.0
    claimed_ms: float | None = None
    _anchor_ms: int | None = None
    _anchor_percent: float = 0.0
    _began_ms: int = 0
    _began_percent: float = 0.0

    def begin(self, at_ms: int, percent: float) -> None:
        """Begin with what the run had done at this time."""
        self._anchor_ms = self._began_ms = at_ms
        self._anchor_percent = self._began_percent = percent

    @property
    def has_begun(self) -> bool:
        """Whether it is known from when on the run is observed."""
        return self._anchor_ms is not None

    def record(self, at_ms: int, percent: float) -> None:
        """Record a percentage that a worker has listed."""
        percent = clamped(percent)
        if self._anchor_ms is None or percent < self._anchor_percent:
            self.begin(at_ms, percent)
            return
        done = percent - self._began_percent
        if done >= MIN_CLAIM_PERCENT and at_ms - self._began_ms >= WINDOW_MS:
            claimed_ms = (at_ms - self._began_ms) * (100 - self._began_percent) / done
            self.claimed_ms = min(self.claimed_ms or claimed_ms, claimed_ms)
        span_ms = at_ms - self._anchor_ms
        gained = percent - self._anchor_percent
        is_closed = span_ms >= WINDOW_MS and gained > 0
        if not is_closed and span_ms <= limits.STALL_MS:
            return
        self.rate = gained / span_ms
        self.highest_rate = max(self.highest_rate, self.rate)
        if is_closed:
            self._anchor_ms, self._anchor_percent = at_ms, percent

    @property
    def has_slowed(self) -> bool:
        """Whether the run is much slower than it was before."""
        return self.rate is not None and self.rate < DROP_SHARE * self.highest_rate

    def left_ms(self, percent: float) -> float | None:
        """Return the time that the rest takes at the present rate, None if unknown."""
        if self.rate is None:
            return None
        return (100 - clamped(percent)) / self.rate if self.rate else float("inf")

    @property
    def total_ms(self) -> float | None:
        """Duration of a whole run at the present rate, None if it is unknown."""
        if self.rate is None:
            return None
        return 100 / self.rate if self.rate else float("inf")
