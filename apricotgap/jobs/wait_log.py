"""Log lines for accepted work that waits, a bounded number of them."""

from collections.abc import Iterator
from dataclasses import dataclass

from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.job_state import JobState, StepKey
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.waiting import WaitCase, explain_wait

__all__ = ["WaitLog"]

# Interval of looks; each logs at most this many lines, the longest waits first.
LOOK_INTERVAL_MS = 500
MAX_LINES_PER_LOOK = 2
# A wait is logged after this time, and again after this time at the earliest.
FIRST_LINE_MS = 2_000
REPEAT_MS = 5_000
# Most task numbers in one line.
_MAX_NUMBERS = 16


@dataclass(slots=True)
class _Waiting:
    """A job or a step that waits; a long-running step waits with its oldest task."""

    job: JobState
    key: StepKey
    since_ms: int
    numbers: list[int]


class WaitLog:
    """Logs why jobs with nothing running wait, and long-running tasks.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._last_look_ms = -1_000_000
        # Start of each wait: by job, and by task of long-running steps.
        self._since_ms: dict[tuple[object, ...], int] = {}
        self._logged_ms: dict[tuple[object, ...], int] = {}

    def run(self, at_ms: int, lease_until_ms: int) -> list[LogDecision]:
        """Look for waits and return the log lines of the longest ones."""
        if at_ms - self._last_look_ms < LOOK_INTERVAL_MS:
            return []
        self._last_look_ms = at_ms
        started = self._since_ms
        self._since_ms = {}
        waiting: list[_Waiting] = []
        for job in self._shard.open_jobs.values():
            with self._shard.guard(job):
                waiting += [
                    found
                    for found in self._waits_of(job, started, at_ms)
                    if at_ms - found.since_ms >= FIRST_LINE_MS
                ]
        logged = self._logged_ms
        units = {(each.job.spec.job_id, each.key): each for each in waiting}
        self._logged_ms = {unit: logged[unit] for unit in units if unit in logged}
        due = [
            each
            for unit, each in units.items()
            if at_ms - self._logged_ms.get(unit, -REPEAT_MS) >= REPEAT_MS
        ]
        due.sort(key=lambda each: each.since_ms)
        lines = []
        for each in due[:MAX_LINES_PER_LOOK]:
            self._logged_ms[each.job.spec.job_id, each.key] = at_ms
            with self._shard.guard(each.job):
                lines.append(self._line(each, at_ms, lease_until_ms, len(waiting)))
        return lines

    def _waits_of(
        self, job: JobState, started: dict[tuple[object, ...], int], at_ms: int
    ) -> Iterator[_Waiting]:
        if job.spec.is_long_running:
            yield from self._lasting_waits(job, started, at_ms)
            return
        if job.runs:
            return
        open_steps = job.open_steps(self._shard.unix_of(at_ms))
        if not open_steps:
            return
        key = open_steps[0]
        unit = (job.spec.job_id,)
        since_ms = self._since_ms[unit] = started.get(unit, at_ms)
        yield _Waiting(job, key, since_ms, sorted(job.waiting[key]))

    def _lasting_waits(
        self, job: JobState, started: dict[tuple[object, ...], int], at_ms: int
    ) -> Iterator[_Waiting]:
        for key in job.open_steps(self._shard.unix_of(at_ms)):
            numbers = sorted(job.waiting[key])
            for number in numbers:
                unit = (job.spec.job_id, key, number)
                self._since_ms[unit] = started.get(unit, at_ms)
            since_ms = min(
                self._since_ms[job.spec.job_id, key, number] for number in numbers
            )
            yield _Waiting(job, key, since_ms, numbers)

    def _line(
        self, waiting: _Waiting, at_ms: int, lease_until_ms: int, n_waiting: int
    ) -> LogDecision:
        job = waiting.job
        case = WaitCase(self._shard, job, waiting.key, at_ms, lease_until_ms)
        wait = explain_wait(case)
        return LogDecision(
            "job_waits",
            {
                "job": job.spec.job_id,
                "step": f"{waiting.key[0]}.{waiting.key[1]}",
                "numbers": waiting.numbers[:_MAX_NUMBERS],
                "n_tasks": len(waiting.numbers),
                "lasts": job.spec.is_long_running,
                "age_ms": at_ms - waiting.since_ms,
                "why": wait.reason,
                "next_look_in_ms": wait.next_look_ms - at_ms,
                "n_waiting": n_waiting,
                **wait.inputs,
            },
        )
