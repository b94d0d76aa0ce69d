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


_NO_ADVICE = _Advice()


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
        if self.is_denied(step, worker):
            return None
        ticket = self._valid_ticket(step, worker, at_ms)
        if ticket:
            return ticket
        wanted = self._wanted.setdefault(step, [])
        if worker not in wanted and len(wanted) < MAX_WORKERS_PER_CALL:
            wanted.append(worker)
        return None

    def holds(self, step: StepName, worker: Worker, at_ms: int) -> bool:
        """Whether a valid ticket is known."""
        return bool(self._valid_ticket(step, worker, at_ms))

    def is_denied(self, step: StepName, worker: Worker) -> bool:
        """Whether the advice service has denied a worker."""
        advice = self._advice.get(step)
        return advice is not None and _key(worker) in advice.denied

    def _valid_ticket(self, step: StepName, worker: Worker, at_ms: int) -> str:
        advice = self._advice.get(step, _NO_ADVICE)
        ticket, until_ms = advice.approved.get(_key(worker), ("", 0))
        return ticket if at_ms < until_ms - VALIDITY_MARGIN_MS else ""

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
            key = _key(worker)
            ticket = approved.get(worker.worker_id)
            if ticket is None:
                advice.denied.add(key)
            else:
                advice.approved[key] = (ticket, until_ms)

    def discard_ticket(self, step: StepName, worker: Worker) -> None:
        """Discard a ticket that a worker rejected."""
        advice = self._advice.get(step)
        if advice is not None:
            advice.approved.pop(_key(worker), None)

    def forget_job(self, job_id: str) -> None:
        """Discard the tickets and requests of a job that has ended."""
        for found in (self._advice, self._wanted):
            for step in [step for step in found if step.job_id == job_id]:
                del found[step]  # type: ignore[attr-defined]


def _key(worker: Worker) -> tuple[str, int]:
    """Return what names one incarnation of a worker."""
    return worker.worker_id, worker.entry.born_ms
