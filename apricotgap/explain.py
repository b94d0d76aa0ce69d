"""Timeline of one request, reconstructed from the log lines of all instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from apricotgap.decoding import decode_json

__all__ = ["TimelineEntry", "explain"]

# Events that can explain what happened to a request without naming it.
CAUSE_EVENTS = frozenset(
    {
        "claim",
        "crash_charged",
        "lease_ended",
        "log_lines_dropped",
        "resigned",
        "shard_failed",
        "shard_loaded",
        "shard_lost",
        "started",
        "stop_timeout",
        "stopping",
        "store_lost",
        "store_reachable_again",
        "store_regained",
        "store_unreachable",
        "worker_draining",
        "worker_lost",
        "worker_suspect",
    }
)
_HEADER_FIELDS = frozenset({"timestamp", "event", "instance", "level"})
# Events up to this long before the first line of a request count as possible causes,
# since an outage may have begun before it.
CAUSE_WINDOW_S = 5.0


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One log line; `is_possible_cause` if it does not name the request itself."""

    timestamp: str
    instance: str
    event: str
    fields: tuple[tuple[str, object], ...]
    is_possible_cause: bool

    def __str__(self) -> str:
        marker = "  | " if self.is_possible_cause else ""
        fields = " ".join(f"{name}={value}" for name, value in self.fields)
        return (
            f"{self.timestamp} {marker}{self.instance} {self.event} {fields}".rstrip()
        )


def explain(lines: Iterable[str], request_id: str) -> list[TimelineEntry]:
    """Return the log lines of a request and its possible causes, ordered by time.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any instances, in any order. Other lines are ignored, and so is
        the text before the first brace of a line.
    request_id : str
        Id of the request, which is a job id.

    Returns
    -------
    list of TimelineEntry
        Empty when no line names the request.
    """
    rows = sorted(_parse_lines(lines), key=lambda row: row[0])
    own_rows = [(at_s, row) for at_s, row in rows if _mentions(row, request_id)]
    if not own_rows:
        return []
    shards = {row["shard"] for _, row in own_rows if "shard" in row}
    workers = {row["worker"] for _, row in own_rows if "worker" in row}
    for _, row in own_rows:
        listed = row.get("workers")
        workers.update(listed if isinstance(listed, list) else ())
    first_s, last_s = own_rows[0][0] - CAUSE_WINDOW_S, own_rows[-1][0]
    timeline = []
    for at_s, row in rows:
        if _mentions(row, request_id):
            timeline.append(_timeline_entry(row, is_possible_cause=False))
        elif first_s <= at_s <= last_s and _is_possible_cause(row, shards, workers):
            timeline.append(_timeline_entry(row, is_possible_cause=True))
    return timeline


def _parse_lines(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, object]]]:
    """Yield the time in Unix seconds and the fields of each line that is a log line."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            row: Any = decode_json(line[start:].encode(errors="replace"), Any)
            at_s = datetime.fromisoformat(row["timestamp"]).timestamp()
        except (ValueError, KeyError, TypeError, OverflowError):
            # Log files may contain lines of other programs.
            continue
        if "event" in row:
            yield at_s, row


def _mentions(row: dict[str, object], request_id: str) -> bool:
    if request_id in (row.get("job"), row.get("for_job"), row.get("about")):
        return True
    listed = row.get("tasks")
    tasks = [row.get("task", ""), *(listed if isinstance(listed, list) else ())]
    if any(str(task).startswith(f"{request_id}.") for task in tasks):
        return True
    return str(row.get("path", "")).endswith(f"/{request_id}")


def _is_possible_cause(
    row: dict[str, object], shards: set[object], workers: set[object]
) -> bool:
    if row["event"] not in CAUSE_EVENTS:
        return False
    if "worker" in row:
        return row["worker"] in workers
    return "shard" not in row or row["shard"] in shards


def _timeline_entry(row: dict[str, object], is_possible_cause: bool) -> TimelineEntry:
    fields = tuple(item for item in row.items() if item[0] not in _HEADER_FIELDS)
    return TimelineEntry(
        str(row["timestamp"]),
        str(row.get("instance", "")),
        str(row["event"]),
        fields,
        is_possible_cause,
    )
