"""Lag of the event loop, as logs and metrics show it."""

import structlog

from apricotgap.clock import FakeClock
from apricotgap.instance.loop_monitor import LOGGED_LAG_MS, LoopMonitor
from apricotgap.metrics import Metrics


def test_a_late_event_loop_is_logged_once_in_two_seconds():
    """Guards against an overloaded instance that looks idle in its logs."""
    clock = FakeClock(10_000)
    monitor = LoopMonitor(clock, Metrics("a"))
    with structlog.testing.capture_logs() as lines:
        for _ in range(30):
            clock.advance(100)
            monitor.record(LOGGED_LAG_MS + 50)
    assert [line["event"] for line in lines] == ["event_loop_late"] * 2
    assert lines[0]["max_lag_ms"] == LOGGED_LAG_MS + 50
    assert monitor.lag_ms > LOGGED_LAG_MS


def test_a_punctual_event_loop_is_not_logged():
    """Guards against log lines without a reason."""
    monitor = LoopMonitor(FakeClock(), Metrics("a"))
    with structlog.testing.capture_logs() as lines:
        monitor.record(3)
    assert lines == []
