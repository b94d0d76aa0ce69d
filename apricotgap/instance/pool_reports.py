"""Pool reports as sent between the owner of the fleet and those of the shards."""

import heapq
from collections.abc import Mapping
from dataclasses import astuple
from operator import itemgetter
from typing import Annotated, Any

import msgspec

from apricotgap.decoding import MAX_INTEGER, Count, convert
from apricotgap.jobs.fleet_view import PoolReport, ReportRequest, WorkerReport

__all__ = [
    "Cores",
    "decode_pool_report",
    "encode_first_report",
    "encode_pool_report",
    "encode_report_call",
]

# Teams in one message, those with the largest use; 330 teams are expected to be in use.
MAX_TEAMS = 500

Cores = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _WorkerRow(msgspec.Struct, array_like=True):
    worker_id: str
    n_runs: Count
    n_long_running: Count
    is_usable: bool
    is_reserved: bool
    is_suspect: bool = False
    drain_ms: Count = 0


class _Report(msgspec.Struct):
    wanted: Count
    workers: list[_WorkerRow]
    wanted_late: Count = 0
    wanted_first: Count = 0
    wanted_by_priority: list[tuple[Count, Count]] = []
    n_busy: Count = 0
    team_cores: dict[str, Cores] = {}


def encode_pool_report(report: PoolReport) -> dict[str, Any]:
    """Encode a report; readers ignore fields that they do not know."""
    return {
        "wanted": report.wanted,
        "wanted_late": report.wanted_late,
        "wanted_first": report.wanted_first,
        "wanted_by_priority": [list(pair) for pair in report.wanted_by_priority],
        "n_busy": report.n_busy,
        "workers": [list(astuple(worker)) for worker in report.workers],
        "team_cores": _encode_use(report.team_cores),
    }


def encode_report_call(request: ReportRequest) -> list[Any]:
    """Encode a request for a report."""
    use = _encode_use(request.other_use or {})
    options = {"other_use": use, "urgent": dict(request.urgent)}
    return [[*request.reserved], [*request.ended], request.share or 0, options]


def _encode_use(team_cores: Mapping[str, float]) -> dict[str, float]:
    """Encode the cores that each team uses; teams without use are left out."""
    largest = heapq.nlargest(MAX_TEAMS, team_cores.items(), key=itemgetter(1))
    rounded = {team: round(cores, 2) for team, cores in largest}
    return {team: cores for team, cores in rounded.items() if cores > 0}


def encode_first_report(report: PoolReport) -> list[Any]:
    """Encode a report for a fleet owner of the first version of the protocol."""
    return [
        report.wanted + report.wanted_late,
        [list(astuple(worker)) for worker in report.workers],
    ]


def decode_pool_report(data: Any) -> PoolReport:
    """Decode a report of either version.

    Raises
    ------
    DecodeError
        The report is malformed.
    """
    if isinstance(data, dict):
        report = convert(data, _Report)
    else:
        report = _Report(*convert(data, tuple[Count, list[_WorkerRow]]))
    workers = tuple(
        WorkerReport(*msgspec.structs.astuple(row)) for row in report.workers
    )
    return PoolReport(
        report.wanted,
        workers,
        report.wanted_late,
        report.wanted_first,
        tuple(report.wanted_by_priority),
        report.n_busy,
        report.team_cores,
    )
