"""The story of one request, told from the log lines of all instances."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

__all__ = ["Moment", "explain"]

# Lines without the request's id that can be the cause of what happened to it.
CAUSES = frozenset(
    {
        "claim",
        "lease_ended",
        "log_lines_dropped",
        "resigned",
        "shard_failed",
        "shard_loaded",
        "shard_lost",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
        "worker_draining",
        "worker_lost",
        "worker_suspect",
    }
)
_NOT_FIELDS = frozenset({"timestamp", "event", "instance", "level"})
# An outage that began this long before the request may still be its cause.
LEAD_S = 5.0


@dataclass(frozen=True, slots=True)
class Moment:
    """One log line; `is_cause` when it does not name the request itself."""

    timestamp: str
    instance: str
    event: str
    fields: tuple[tuple[str, object], ...]
    is_cause: bool

    def __str__(self) -> str:
        mark = "  | " if self.is_cause else ""
        fields = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.timestamp} {mark}{self.instance} {self.event} {fields}".rstrip()


def explain(lines: Iterable[str], request_id: str) -> list[Moment]:
    """Return what was decided on a request, in order, and what may have caused it.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any instances, in any order. Other lines are ignored, and
        what stands before the first brace of a line.
    request_id : str
        Id of a job.

    Returns
    -------
    list of Moment
        Empty when no line names the request.
    """
    rows = sorted(_rows(lines), key=lambda row: row[0])
    own = [(at_s, row) for at_s, row in rows if _names(row, request_id)]
    if not own:
        return []
    shards = {row["shard"] for _, row in own if "shard" in row}
    workers = {row["worker"] for _, row in own if "worker" in row}
    first_s, last_s = own[0][0] - LEAD_S, own[-1][0]
    story = []
    for at_s, row in rows:
        if _names(row, request_id):
            story.append(_moment(row, is_cause=False))
        elif first_s <= at_s <= last_s and _is_cause(row, shards, workers):
            story.append(_moment(row, is_cause=True))
    return story


def _rows(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, object]]]:
    """Return the log lines among all lines, with the seconds of their time."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            row = json.loads(line[start:])
            at_s = datetime.fromisoformat(row["timestamp"]).timestamp()
        except (ValueError, KeyError, TypeError):
            # Not a log line: what is in a file of logs need not all be ours.
            continue
        if "event" in row:
            yield at_s, row


def _names(row: dict[str, object], request_id: str) -> bool:
    if row.get("job") == request_id:
        return True
    task, path = str(row.get("task", "")), str(row.get("path", ""))
    return task.startswith(f"{request_id}.") or path.endswith(f"/{request_id}")


def _is_cause(
    row: dict[str, object], shards: set[object], workers: set[object]
) -> bool:
    if row["event"] not in CAUSES:
        return False
    if "worker" in row:
        return row["worker"] in workers
    return "shard" not in row or row["shard"] in shards


def _moment(row: dict[str, object], is_cause: bool) -> Moment:
    fields = tuple(item for item in row.items() if item[0] not in _NOT_FIELDS)
    return Moment(
        str(row["timestamp"]),
        str(row.get("instance", "")),
        str(row["event"]),
        fields,
        is_cause,
    )
