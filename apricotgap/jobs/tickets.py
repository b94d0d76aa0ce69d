"""Tickets of the advice service, for queues with a placement policy of their own."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from apricotgap.jobs.model import TaskName
from apricotgap.jobs.workers import Worker

__all__ = ["StepName", "Tickets"]

# Maximum number of workers in one call: the service takes time for each.
MAX_WORKERS_PER_CALL = 30
# A ticket is not used this close to its expiry.
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
    """Cache of tickets and denials, and the requests still to be sent.

    The advice service approves a worker for a step with a ticket of limited validity,
    or denies it.
    """

    def __init__(self) -> None:
        self._advice: dict[StepName, _Advice] = {}
        self._wanted: dict[StepName, list[Worker]] = {}

    def find(self, step: StepName, worker: Worker, at_ms: int) -> str | None:
        """Return a valid ticket; without one, add the worker to the next request."""
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
        """Return the step that has waited longest, and the workers to ask about."""
        for step in self._wanted:
            return step, self._wanted.pop(step)
        return None

    def handle_response(
        self,
        step: StepName,
        workers: Iterable[Worker],
        approved: dict[str, str],
        until_ms: int,
    ) -> None:
        """Store a response; denials do not expire, as the policy does not change."""
        advice = self._advice.setdefault(step, _Advice())
        for worker in workers:
            key = (worker.worker_id, worker.entry.born_ms)
            ticket = approved.get(worker.worker_id)
            if ticket is None:
                advice.denied.add(key)
            else:
                advice.approved[key] = (ticket, until_ms)

    def discard_ticket(self, step: StepName, worker: Worker) -> None:
        """Discard a ticket that a worker rejected."""
        advice = self._advice.get(step)
        if advice is not None:
            advice.approved.pop((worker.worker_id, worker.entry.born_ms), None)

    def forget_job(self, job_id: str) -> None:
        """Discard the tickets and requests of a job that has ended."""
        for found in (self._advice, self._wanted):
            for step in [step for step in found if step.job_id == job_id]:
                del found[step]  # type: ignore[attr-defined]
