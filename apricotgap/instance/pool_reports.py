"""Pool reports as sent between the owner of the fleet and those of the shards."""

from dataclasses import astuple
from typing import Any

from apricotgap.jobs.fleet_view import PoolReport, WorkerReport

__all__ = ["decode_pool_report", "encode_first_report", "encode_pool_report"]


def encode_pool_report(report: PoolReport) -> dict[str, Any]:
    """Encode a report; readers ignore fields that they do not know."""
    return {
        "wanted": report.wanted,
        "wanted_late": report.wanted_late,
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
    ValueError
        The report is malformed.
    """
    try:
        if isinstance(data, dict):
            wanted, rows = data["wanted"], data["workers"]
            wanted_late = data.get("wanted_late", 0)
        else:
            (wanted, rows), wanted_late = data, 0
        return PoolReport(
            _number(wanted), tuple(map(_worker_report, rows)), _number(wanted_late)
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed pool report: {error!r}") from error


def _worker_report(row: Any) -> WorkerReport:
    worker_id, n_runs, n_long_running, *flags = row
    if not isinstance(worker_id, str):
        raise TypeError(f"a worker's id is not text: {worker_id!r}")
    return WorkerReport(
        worker_id, _number(n_runs), _number(n_long_running), *map(bool, flags)
    )


def _number(value: Any) -> int:
    if not isinstance(value, int) or value < 0:
        raise ValueError(f"malformed pool report: {value!r} is no number of anything")
    return value
