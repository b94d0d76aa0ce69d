"""Pool reports between instances of this build and of the one before."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.instance import pool_reports
from apricotgap.instance.keys import Owner, new_incarnation
from apricotgap.instance.owner_calls import OwnerCalls
from apricotgap.instance.peer_documents import decode_report_call
from apricotgap.instance.pool_reports import (
    decode_pool_report,
    encode_first_report,
    encode_pool_report,
    encode_report_call,
)
from apricotgap.jobs.fleet_view import PoolReport, ReportRequest, WorkerReport
from apricotgap.jobs.pool_shares import LATE_LEVEL, LEAST_URGENT

REPORT = PoolReport(
    4,
    (WorkerReport("w1", 2, 1, True, False, True, 900),),
    3,
    1,
    ((0, 2),),
    2,
    {"a": 1.5},
)
REQUEST = ReportRequest(["w1"], ["w2"], 5, {"a": 2.25}, {"w1": 0})


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


def test_report_of_an_earlier_build_has_no_use():
    """Guards against a fleet owner that cannot read the reports of earlier builds."""
    data = encode_pool_report(REPORT)
    del data["team_cores"]
    assert decode_pool_report(data) == replace(REPORT, team_cores={})


def test_request_round_trip():
    """Guards against a request that loses an element on its way."""
    assert decode_report_call(encode_report_call(REQUEST)) == REQUEST


def test_options_that_a_later_build_adds_to_a_request_are_ignored():
    """Guards against a shard that reports nothing to a fleet owner of a later build."""
    *elements, options = encode_report_call(REQUEST)
    assert decode_report_call([*elements, {**options, "new": 1}, "new"]) == REQUEST


@pytest.mark.parametrize(
    ("incarnation", "n_elements"),
    [("ab12", 2), ("2-ab12", 3), ("2-ab12-r", 3), (new_incarnation(), 4)],
)
def test_request_has_only_the_elements_that_its_receiver_accepts(
    incarnation, n_elements
):
    """Guards against a shard owner of an earlier build, which rejects a longer call."""
    sent = []

    class Peers:
        async def call(self, address, operation, argument, timeout_ms):
            sent.append(argument[1])
            return ["ok", None]

    view = SimpleNamespace(owner=lambda service: Owner("o", incarnation, "o:1", 3))
    calls = OwnerCalls({}, view, Peers(), FakeClock())
    trio.run(calls.call, "s", "report", encode_report_call(REQUEST), 1_000)
    assert sent == [encode_report_call(REQUEST)[:n_elements]]
    assert decode_report_call(sent[0]).reserved == ["w1"]


def test_use_in_a_message_is_bounded():
    """Guards against messages that grow with each team, also with those at rest."""
    many = {f"team-{n}": n / 10 for n in range(2 * pool_reports.MAX_TEAMS)}
    sent = encode_report_call(replace(REQUEST, other_use=many))[3]["other_use"]
    assert len(sent) == pool_reports.MAX_TEAMS
    assert min(sent.values()) >= pool_reports.MAX_TEAMS / 10
    little = encode_report_call(replace(REQUEST, other_use={"a": 0.001}))
    assert little[3]["other_use"] == {}


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
        {"wanted": 1, "workers": [], "team_cores": {"a": -1}},
        {"wanted": 1, "workers": [], "team_cores": {"a": float("nan")}},
        {"wanted": 1, "workers": [], "team_cores": {"a": float("inf")}},
        {"wanted": 1, "workers": [], "team_cores": ["a"]},
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
