"""What callers and workers were promised, checked on what they saw."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator
from itertools import pairwise
from typing import ClassVar

from soak.connections import CallResult, Ending
from soak.state import JobState, SoakState
from soak.timeline import Scope, Span
from standins.machine_service import OrderRecord

__all__ = ["CHECKS", "Check", "find_problems"]

CHECKS: dict[str, "Check"] = {}


class Check(ABC):
    """A promise; a subclass is registered under its `name`.

    `problems` yields a line for each time that the promise was broken, and must not
    change the state.
    """

    name: ClassVar[str]

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        CHECKS[cls.name] = cls()

    @abstractmethod
    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""


def find_problems(state: SoakState) -> list[str]:
    """Return what all checks find, and what was seen while the run went on."""
    found = [line for check in CHECKS.values() for line in check.problems(state)]
    return state.seen + found


class DoneOnce(Check):
    """No task ends as done twice."""

    name = "done_once"

    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""
        for task, n_ends in Counter(state.cluster.done_runs()).items():
            if n_ends > 1:
                yield f"TWICE: {task} ended as done {n_ends} times"


class RefusedNeverRuns(Check):
    """Nothing of a job runs whose submissions were all refused."""

    name = "refused_never_runs"

    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""
        ran = {
            run.task[:16] for worker in state.cluster.workers for run in worker.starts
        }
        for job in state.jobs.values():
            if job.is_refused and job.job_id in ran:
                yield f"REFUSED: {job.job_id} was refused and ran"


class GangsStartTogether(Check):
    """No member of a gang waits in vain for the others in calm times."""

    name = "gangs"

    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""
        contact_ms = state.layout.bound_ms("contactMs")
        for worker in state.cluster.workers:
            for run in worker.starts:
                job = state.jobs[run.task[:16]]
                if run.end != "alone" or job.cancel_sent_ms is not None:
                    continue
                spans = state.timeline.during(run.started_ms - contact_ms, run.at_ms)
                if all(span.scope == Scope.CONFIGURATION for span in spans):
                    yield f"GANG: {run.task} waited in vain, from {run.started_ms} on"


class HoldersTakeTurns(Check):
    """Orders of two holders for a machine are a lease apart, with a rising token."""

    name = "holders"

    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""
        last: dict[str, OrderRecord] = {}
        for order in state.cluster.platform.machines.orders:
            before = last.get(order.machine)
            last[order.machine] = order
            if before is None or before.holder == order.holder:
                continue
            gap_ms = order.at_ms - before.at_ms
            if order.token <= before.token or gap_ms < state.layout.bound_ms("leaseMs"):
                yield (
                    f"ONE: {order.machine}: {before.holder} and {order.holder} take"
                    f" turns after {gap_ms} ms"
                )


class WavesKeepTheirBound(Check):
    """No two machines of a wave are down at the same time."""

    name = "waves"

    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""
        service = state.cluster.platform.machines
        upkeep: dict[int, list[OrderRecord]] = {}
        for order in service.orders:
            if order.wave:
                upkeep.setdefault(order.wave, []).append(order)
        for wave, orders in upkeep.items():
            for first, second in pairwise(orders):
                if second.at_ms - first.at_ms < service.upkeep_ms:
                    yield f"LIMIT: wave {wave} has two machines down"


class RequestsAreAnswered(Check):
    """A request that was read is answered, whatever planned work goes on.

    A connection that ends within `lossSlackMs` of the request may have been closed
    before the request was read, and one that ends with unread bytes was.
    """

    name = "answered"

    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""
        slack_ms = state.layout.bound_ms("lossSlackMs")
        contact_ms = state.layout.bound_ms("contactMs")
        for call in state.unanswered:
            if call.ending is not Ending.CUT:
                continue
            # A late soak sees the end late; it is no reason for one.
            if call.ended_ms - call.sent_ms < slack_ms + _late_ms(state, call):
                continue
            impairments = state.timeline.unplanned(
                call.sent_ms - contact_ms, call.ended_ms
            )
            if any(span.scope != Scope.SOAK for span in impairments):
                continue
            planned = sorted({span.name for span in _planned(state, call)})
            yield (
                f"LOST 1: {call.method} {call.path} at {call.instance} was cut after"
                f" {call.ended_ms - call.sent_ms} ms at {call.ended_ms},"
                f" around {planned or 'nothing'}"
            )


def _late_ms(state: SoakState, call: CallResult) -> float:
    """Return for how long the soak was late during a call."""
    return sum(
        span.end_ms - span.start_ms
        for span in state.timeline.unplanned(call.sent_ms, call.ended_ms)
        if span.scope == Scope.SOAK
    )


def _planned(state: SoakState, call: CallResult) -> Iterator[Span]:
    """Yield the planned work around which a call must not be cut."""
    layout = state.layout
    apply_ms = layout.bound_ms("configApplyMs")
    after_ms = {
        Scope.STOP: layout.bound_ms("graceS") + 1_000,
        Scope.RELOAD: apply_ms,
        Scope.CONFIGURATION: apply_ms + 1_000,
    }
    for span in state.timeline.spans:
        if span.scope not in after_ms:
            continue
        if span.instances and call.instance not in span.instances:
            continue
        end_ms = span.end_ms + after_ms[span.scope]
        if span.start_ms <= call.ended_ms <= end_ms:
            yield span


class AcceptedIsKnown(Check):
    """An accepted job that nobody cancelled is known and not ended without cause."""

    name = "known"

    def problems(self, state: SoakState) -> Iterator[str]:
        """Yield what is wrong at the end of a run."""
        for denial in state.denials:
            if denial.state == "failed" and self._may_fail(state, denial.job_id):
                continue
            if not denial.state and not self._counts(state, denial):
                continue
            result = denial.result
            yield (
                f"LOST 2: {denial.job_id} of {state.jobs[denial.job_id].queue.service}"
                f" is shown as {denial.state or 'unknown'} at {result.instance}"
                f" at {result.ended_ms}, accepted at"
                f" {state.jobs[denial.job_id].accepted_ms}"
            )

    @staticmethod
    def _may_fail(state: SoakState, job_id: str) -> bool:
        """Whether some task has failed or crashed workers as often as is allowed."""
        if job_id in state.cluster.given_up_jobs():
            return True
        queue = state.jobs[job_id].queue.name
        routes = state.layout.configuration()["routes"]
        allowed = {each["name"]: each["maxAttempts"] for each in routes}[queue]
        n_failed = Counter(
            run.task for run in state.cluster.starts_of(job_id) if run.end == "failed"
        )
        return max(n_failed.values(), default=0) >= allowed

    @staticmethod
    def _counts(state: SoakState, denial: JobState) -> bool:
        result, layout = denial.result, state.layout
        accepted_ms = state.jobs[denial.job_id].accepted_ms or 0
        is_late = result.ended_ms > accepted_ms + layout.bound_ms("visible_ms")
        contact_ms = layout.bound_ms("contactMs")
        return is_late and state.timeline.in_touch(
            result.instance, result.ended_ms, contact_ms
        )
