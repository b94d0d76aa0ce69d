"""Pool reports as sent between the owner of the fleet and those of the shards."""

from dataclasses import astuple
from typing import Any

import msgspec

from apricotgap.decoding import Count, convert
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport

__all__ = ["decode_pool_report", "encode_first_report", "encode_pool_report"]


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
    takes_options: bool = False
    wanted_first: Count = 0
    wanted_by_priority: list[tuple[Count, Count]] = []
    n_busy: Count = 0


def encode_pool_report(report: PoolReport) -> dict[str, Any]:
    """Encode a report; readers ignore fields that they do not know."""
    return {
        "wanted": report.wanted,
        "wanted_late": report.wanted_late,
        "takes_options": report.takes_options,
        "wanted_first": report.wanted_first,
        "wanted_by_priority": [list(pair) for pair in report.wanted_by_priority],
        "n_busy": report.n_busy,
        "workers": [list(astuple(worker)) for worker in report.workers],
    }


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
        report.takes_options,
        report.wanted_first,
        tuple(report.wanted_by_priority),
        report.n_busy,
    )
