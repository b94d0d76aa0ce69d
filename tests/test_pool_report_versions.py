"""Pool reports between instances of this build and of the one before."""

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.owner_calls import OwnerCallError
from apricotgap.instance.pool_reports import (
    decode_pool_report,
    encode_first_report,
    encode_pool_report,
)
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport
from apricotgap.jobs.pool_shares import LATE_LEVEL, LEAST_URGENT

REPORT = PoolReport(
    4, (WorkerReport("w1", 2, 1, True, False, True, 900),), 3, True, 1, ((0, 2),), 2
)


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
        {"wanted": 1, "workers": [], "wanted_by_priority": [[1]]},
        {"wanted": 1, "workers": [], "wanted_by_priority": [[-1, 2]]},
        {"wanted": 1, "workers": [["w", 1, 0, True, False, False, -1]]},
    ],
)
def test_malformed_report_is_rejected(data):
    """Guards against a malformed answer that ends the owner of the fleet."""
    with pytest.raises(ValueError):
        decode_pool_report(data)


def test_report_of_an_earlier_build_counts_as_least_urgent():
    """Guards against undivided demand that goes before that of urgent jobs."""
    report = decode_pool_report({"wanted": 4, "workers": [], "wanted_late": 3})
    wants = {level: n for level, n in report.wants.by_level.items() if n}
    assert wants == {LEAST_URGENT: 4, LATE_LEVEL: 3}
    assert not report.takes_options


class Owners:
    """Owners of shards that answer requests with options only if they are new."""

    def __init__(self):
        self.is_new = True
        self.arguments = []

    async def call(self, service, operation, argument, deadline_ms):
        self.arguments.append(argument)
        if not self.is_new and len(argument) > 3:
            raise OwnerCallError(True)
        report = encode_pool_report(REPORT)
        return report if self.is_new else report | {"takes_options": False}


def test_options_go_only_to_owners_that_read_them():
    """Guards against a pool without reports while its owner is of an earlier build."""

    async def main():
        router = JobRouter("me", {}, None, None, None, FakeClock())
        owners = router._owner_calls = Owners()

        async def report():
            return await router.pool_report("s", ["w1"], [], 1, {"w1": 0})

        assert await report() == REPORT
        assert await report() == REPORT
        owners.is_new = False
        assert await report() is None
        assert await report() is not None
        assert await report() is not None
        n_elements = [len(argument) for argument in owners.arguments]
        assert n_elements == [3, 4, 4, 3, 3]
        assert owners.arguments[1][3] == {"urgent": {"w1": 0}}

    trio.run(main)
