"""Bound on similar log lines that callers cause."""

from apricotgap.line_limit import LineLimit


def test_line_is_repeated_once_in_each_period():
    """Guards against a client that polls a state and fills the log."""
    limit = LineLimit(max_lines=10, period_ms=1_000)
    admitted = [limit.admit("a", at_ms) for at_ms in range(0, 3_000, 100)]
    assert [each for each in admitted if each is not None] == [0, 9, 9]


def test_lines_with_ever_new_keys_are_limited():
    """Guards against a client that asks for another job each time, and against keys
    that are kept without a bound.
    """
    limit = LineLimit(max_lines=10, period_ms=1_000)
    admitted = [limit.admit(str(at_ms), at_ms) for at_ms in range(2_000)]
    assert [each for each in admitted if each is not None] == (
        [0] * 10 + [990] + [0] * 9
    )
