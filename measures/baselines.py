"""Simple policies for comparison."""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from heapq import heappop, heappush
from typing import TYPE_CHECKING
from unittest.mock import patch

from apricotgap.core import allotments
from measures.figures import Job, Work

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["one_at_a_time_ms", "run_in_order", "static_split"]


def run_in_order(
    jobs: Iterable[Job],
    pools: Mapping[str, int],
    max_wait_ms: int,
    reserve: int | None = None,
) -> Work:
    """Run jobs first in, first out on the slots of each queue.

    Parameters
    ----------
    jobs : iterable of Job
        Jobs in order of arrival.
    pools : mapping of str to int
        Slots by queue.
    max_wait_ms : int
        A job that waits longer is refused.
    reserve : int or None
        Slots that only urgent jobs may take, which then go first; None treats
        all jobs alike.

    Returns
    -------
    Work
        Records of the run.
    """
    by_queue: dict[str, list[Job]] = {queue: [] for queue in pools}
    work = Work({})
    for job in jobs:
        work.jobs[job.name] = job
        by_queue[job.queue].append(job)
    for queue, found in by_queue.items():
        _run_queue(work, found, pools[queue], max_wait_ms, reserve)
    return work


def _run_queue(
    work: Work, jobs: list[Job], n_slots: int, max_wait_ms: int, reserve: int | None
) -> None:
    running: list[int] = []
    waiting: tuple[deque[Job], deque[Job]] = (deque(), deque())

    def start(at_ms: int) -> None:
        for is_batch, line in enumerate(waiting):
            kept = (reserve or 0) if is_batch else 0
            while line and len(running) < n_slots - kept:
                job = line.popleft()
                if at_ms - job.at_ms > max_wait_ms:
                    work.not_run.add(job.name)
                    work.ended_ms[job.name] = job.at_ms + max_wait_ms
                    continue
                heappush(running, at_ms + job.run_ms)
                work.spans.append((job.name, at_ms, at_ms + job.run_ms))
                work.ended_ms[job.name] = at_ms + job.run_ms
                work.completed.add(job.name)

    def advance(to_ms: float) -> None:
        while running and running[0] <= to_ms:
            start(heappop(running))

    for job in jobs:
        advance(job.at_ms)
        first = job.urgent and reserve is not None
        waiting[0 if first or reserve is None else 1].append(job)
        start(job.at_ms)
    advance(float("inf"))


@contextmanager
def static_split(n_entries: int) -> Iterator[None]:
    """Give each entry instance a fixed part of every upper limit."""

    def headroom(
        state: "EntryState", team: str, at_ms: int, priority: object = None
    ) -> int:
        if not team:
            return allotments.UNLIMITED
        part = allotments.limit_of(state, team) // n_entries
        return max(0, part - state.allotments.running.get(team, 0))

    with patch.object(allotments, "headroom", headroom):
        yield


def one_at_a_time_ms(n_instances: int, cycle_ms: float) -> float:
    """Return the roll-out time of a fleet that takes one instance out at a time."""
    return n_instances * cycle_ms
