from apricotgap.model import REFUSALS, RefusalKind, Row


def test_every_refusal_kind_has_a_status_and_a_remedy():
    """Guards against a refusal kind without an HTTP status."""
    assert set(REFUSALS) == set(RefusalKind)


def test_usable_units_scale_down_with_a_lowered_limit():
    """Guards against rows that together exceed a limit after it was lowered."""
    rows = [Row(5, 10), Row(3, 10), Row(2, 10)]
    assert sum(row.usable(7) for row in rows) <= 7
