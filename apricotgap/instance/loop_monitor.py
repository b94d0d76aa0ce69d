"""Measures how late the event loop of the process runs its tasks."""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.metrics import Metrics

__all__ = ["LoopMonitor"]

_INTERVAL_MS = 100
# A lag above this is logged, at most once in the time below.
LOGGED_LAG_MS = 200
MIN_LOG_INTERVAL_MS = 2_000
# Part that the last measurement has in the average.
_SMOOTHING = 0.25


class LoopMonitor:
    """Wakes up at an interval and measures how much later it is run.

    A process with too little processor time handles answers late that arrived in time.

    Parameters
    ----------
    clock, metrics
        Dependencies.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._average_ms = 0.0
        # Greatest lag since the last log line.
        self._max_ms = 0
        self._logged_ms = -MIN_LOG_INTERVAL_MS
        self._log = structlog.get_logger()

    @property
    def lag_ms(self) -> float:
        """Average lag over about the last half second, in milliseconds."""
        return self._average_ms

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_ms = self._clock.now_ms + _INTERVAL_MS
            await trio.sleep(_INTERVAL_MS / 1000)
            self.record(max(0, self._clock.now_ms - due_ms))

    def record(self, lag_ms: int) -> None:
        """Take one measurement, in milliseconds."""
        self._average_ms += _SMOOTHING * (lag_ms - self._average_ms)
        self._max_ms = max(self._max_ms, lag_ms)
        self._metrics.observe_ms("event_loop_lag", lag_ms)
        now_ms = self._clock.now_ms
        if self._max_ms < LOGGED_LAG_MS:
            return
        if now_ms - self._logged_ms < MIN_LOG_INTERVAL_MS:
            return
        self._log.warning(
            "event_loop_late",
            max_lag_ms=self._max_ms,
            average_lag_ms=round(self._average_ms),
        )
        self._logged_ms = now_ms
        self._max_ms = 0
