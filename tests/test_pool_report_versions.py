"""Pool reports between instances of this build and of the one before."""

import pytest

from apricotgap.instance.pool_reports import (
    decode_pool_report,
    encode_first_report,
    encode_pool_report,
)
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport

REPORT = PoolReport(4, (WorkerReport("w1", 2, 1, True, False, True),), 3)


def test_report_round_trip():
    """Guards against a report that loses a field on its way."""
    assert decode_pool_report(encode_pool_report(REPORT)) == REPORT


def test_report_for_a_fleet_owner_of_the_first_protocol():
    """Guards against a fleet owner of the earlier build that cannot read reports."""
    wanted, rows = encode_first_report(REPORT)
    assert wanted == 7
    assert [WorkerReport(*row) for row in rows] == list(REPORT.workers)
    assert decode_pool_report([wanted, rows]).workers == REPORT.workers


def test_unknown_fields_of_a_later_build_are_ignored():
    """Guards against a later build whose reports this one cannot read."""
    assert decode_pool_report({**encode_pool_report(REPORT), "new": 1}) == REPORT


@pytest.mark.parametrize(
    "data",
    [
        None,
        7,
        {},
        [1],
        {"wanted": 1},
        [1, [[1, 2]]],
        ["many", []],
        [-1, []],
        {"wanted": 1, "workers": [["w", "x", 0, True, True]]},
        {"wanted": 1, "workers": [], "wanted_late": None},
    ],
)
def test_malformed_report_is_rejected(data):
    """Guards against a malformed answer that ends the owner of the fleet."""
    with pytest.raises(ValueError):
        decode_pool_report(data)
