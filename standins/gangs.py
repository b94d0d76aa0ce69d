"""Gangs: the tasks of a step that work only together, on whatever workers they run."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["GangRuns", "Member"]

# How a run ended whose work was complete.
_COMPLETE = {"done", "listed", "lost"}


class Member(Protocol):
    """A run of one task of a gang; `end` is empty while it is at work."""

    task: str
    run_id: int
    started_ms: int
    end: str


@dataclass
class GangRuns:
    """Runs of gangs at all workers.

    `n_members` tells how many tasks the gang of a task has, 0 for a single task.
    """

    n_members: Callable[[str], int]
    timeout_ms: int = 4_000
    _runs: dict[tuple[str, int], dict[str, Member]] = field(default_factory=dict)

    def add(self, run: Member) -> None:
        """Add a run that a worker has begun."""
        if self.n_members(run.task):
            self._members(run)[run.task] = run

    def _members(self, run: Member) -> dict[str, Member]:
        step = run.task.rpartition(".")[0]
        return self._runs.setdefault((step, run.run_id), {})

    def is_complete(self, run: Member) -> bool:
        """Whether all members of the gang of a run, if it has one, are present."""
        return len(self._members(run)) >= self.n_members(run.task)

    def end_of(self, run: Member, at_ms: int) -> str:
        """Return how a run ends because of its gang, empty if it does not."""
        if not self.n_members(run.task):
            return ""
        ends = {member.end for member in self._members(run).values() if member.end}
        if ends:
            return "done" if ends & _COMPLETE else "broken"
        is_late = at_ms - run.started_ms >= self.timeout_ms
        return "alone" if is_late and not self.is_complete(run) else ""
