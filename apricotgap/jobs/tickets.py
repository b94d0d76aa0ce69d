"""Tickets of an advice service, which queues with their own placement policy need."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from apricotgap.jobs.model import TaskName
from apricotgap.jobs.workers import Worker

__all__ = ["StepName", "Tickets"]

# Workers named in one call; the service takes time for each.
MAX_WORKERS_PER_CALL = 30
# A ticket is not used this close to its end.
VALIDITY_MARGIN_MS = 300


class StepName(NamedTuple):
    """Name of a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}"

    @classmethod
    def of(cls, name: TaskName) -> "StepName":
        """Return the step of a task."""
        return cls(*name[:3])


@dataclass(slots=True)
class _Advice:
    approved: dict[tuple[str, int], tuple[str, int]] = field(default_factory=dict)
    denied: set[tuple[str, int]] = field(default_factory=set)


class Tickets:
    """Answers of the advice service and the steps that wait for one."""

    def __init__(self) -> None:
        self._advice: dict[StepName, _Advice] = {}
        self._wanted: dict[StepName, list[Worker]] = {}

    def find(self, step: StepName, worker: Worker, at_ms: int) -> str | None:
        """Return a valid ticket; without one the worker is asked about."""
        key = (worker.worker_id, worker.entry.born_ms)
        advice = self._advice.setdefault(step, _Advice())
        if key in advice.denied:
            return None
        ticket, until_ms = advice.approved.get(key, ("", 0))
        if ticket and at_ms < until_ms - VALIDITY_MARGIN_MS:
            return ticket
        wanted = self._wanted.setdefault(step, [])
        if worker not in wanted and len(wanted) < MAX_WORKERS_PER_CALL:
            wanted.append(worker)
        return None

    def next_request(self) -> tuple[StepName, list[Worker]] | None:
        """Return the step that waits longest and the workers to ask about."""
        for step in self._wanted:
            return step, self._wanted.pop(step)
        return None

    def handle_answer(
        self,
        step: StepName,
        workers: Iterable[Worker],
        approved: dict[str, str],
        until_ms: int,
    ) -> None:
        """Take over an answer; the policy does not change, so a denial lasts."""
        advice = self._advice.setdefault(step, _Advice())
        for worker in workers:
            key = (worker.worker_id, worker.entry.born_ms)
            ticket = approved.get(worker.worker_id)
            if ticket is None:
                advice.denied.add(key)
            else:
                advice.approved[key] = (ticket, until_ms)

    def discard_ticket(self, step: StepName, worker: Worker) -> None:
        """Drop a ticket that a worker rejected."""
        advice = self._advice.get(step)
        if advice is not None:
            advice.approved.pop((worker.worker_id, worker.entry.born_ms), None)

    def forget_job(self, job_id: str) -> None:
        """Drop everything of a job that is over."""
        for found in (self._advice, self._wanted):
            for step in [step for step in found if step.job_id == job_id]:
                del found[step]  # type: ignore[attr-defined]
