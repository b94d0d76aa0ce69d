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
            return PoolReport(
                data["wanted"],
                tuple(WorkerReport(*row) for row in data["workers"]),
                data.get("wanted_late", 0),
            )
        wanted, rows = data
        return PoolReport(wanted, tuple(WorkerReport(*row) for row in rows))
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed pool report: {error!r}") from error
