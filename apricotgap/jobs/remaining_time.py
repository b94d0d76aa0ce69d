"""Estimates of how long runs in progress still take."""

from apricotgap.jobs.runs import Run

__all__ = ["remaining_ms"]

# Least progress, in percent, from which the speed of a run is derived.
MIN_GAIN = 5.0


def remaining_ms(run: Run, answered_ms: int, at_ms: int) -> int:
    """Return the time until a run ends, by its progress or else by its estimate.

    Parameters
    ----------
    run : Run
        The run; its percentage is that of the last response of its worker.
    answered_ms : int
        Time of that response.
    at_ms : int
        Current time.
    """
    estimate_ms = run.step.estimated_ms
    if not run.started_ms:
        return estimate_ms
    from_ms, from_percent = run.measured_from or (run.started_ms, 0.0)
    span_ms = answered_ms - from_ms
    gained = run.percent - from_percent
    if span_ms > 0 and gained >= MIN_GAIN:
        left_ms = (100 - run.percent) * span_ms / gained
    elif span_ms > estimate_ms:
        # It should have ended by now but has hardly progressed.
        return estimate_ms
    else:
        left_ms = estimate_ms * (100 - run.percent) / 100
    since_ms = at_ms - max(answered_ms, run.started_ms)
    return max(0, int(left_ms) - since_ms)
