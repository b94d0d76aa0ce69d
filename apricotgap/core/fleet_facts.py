"""Facts about the fleet for the runner: acknowledgements, reports and health."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricotgap.core import config_view, health, placement
from apricotgap.core.budgets import Grants, out_of_service
from apricotgap.core.events import WorkerReported
from apricotgap.core.limits import (
    DRIFT_FACTOR,
    MAX_TASK_LEASE_MS,
    START_WINDOW_MS,
)
from apricotgap.model import UNKNOWN_BOOT_ID, InstanceState, Step, StepState

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "FleetFacts",
    "WorkerFacts",
    "in_force_revision",
    "not_serving",
    "unplanned_unavailable",
]

# Reports of concurrent probes lie closer together than this on the server's clock.
_PROBE_SPREAD_MS = 2_000


@dataclass(slots=True)
class WorkerFacts:
    """Facts from the status reports of one instance.

    `settled_ms` is the time after which no delayed dispatch can start a task, and
    `idle` tells whether a report written after it showed no running task.
    """

    boot_id: str = ""
    idle: bool = False
    settled_ms: int | None = None
    last_contact_ms: int | None = None
    first_idle_server_ms: int | None = None
    silent_since_ms: int | None = None

    def record_report(self, report: WorkerReported) -> None:
        """Record a report."""
        if report.boot_id and report.boot_id != self.boot_id:
            self.boot_id = report.boot_id
            self.first_idle_server_ms = None
        self.last_contact_ms = report.at_ms
        if report.n_running or self.settled_ms is None:
            self.idle = False
            self.first_idle_server_ms = None
        elif report.at_ms >= self.settled_ms:
            self.idle = self.idle or self._is_after_settling(report)

    def _is_after_settling(self, report: WorkerReported) -> bool:
        """Return whether the server wrote the report after `settled_ms`.

        Without the time of the probe, a report counts if the server wrote it more
        than the probe spread after an earlier one that arrived after `settled_ms`.
        """
        if report.sent_ms is not None:
            return self.settled_ms is not None and report.sent_ms >= self.settled_ms
        if self.first_idle_server_ms is None:
            self.first_idle_server_ms = report.server_now_ms
        return report.server_now_ms >= self.first_idle_server_ms + _PROBE_SPREAD_MS


def in_force_revision(state: "EntryState", at_ms: int) -> int:
    """Return the revision known to be in force everywhere, 0 if unknown."""
    report = config_view.in_force_report(state, at_ms)
    return int(report["revision"]) if report["in_force"] else 0


def unplanned_unavailable(
    state: "EntryState", grants: Grants, at_ms: int
) -> frozenset[str]:
    """Return instances that should be available but are not.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    grants : Grants
        Grants of plans; instances with a grant are planned outages.
    at_ms : int
        Monotonic time in milliseconds.

    Returns
    -------
    frozenset of str
        Names of instances.
    """
    planned = out_of_service(state.config) | set(grants.instances)
    return not_serving(state, planned, at_ms)


def not_serving(
    state: "EntryState", planned: AbstractSet[str], at_ms: int
) -> frozenset[str]:
    """Return instances outside `planned` that are not available."""
    return frozenset(
        name
        for name in state.config.instances
        if name not in planned and not health.is_available(state, name, at_ms)
    )


class FleetFacts:
    """Implements `StepFacts` from the state of the entry instance."""

    def __init__(self, state: "EntryState", at_ms: int) -> None:
        self._state = state
        self.at_ms = at_ms
        self.in_force_revision = in_force_revision(state, at_ms)

    def record_in_force(self) -> None:
        """Record when the last changes of running steps came into force."""
        waves = self._state.waves
        for plan in self._state.config.active_plans.values():
            for step in plan.steps:
                key = (plan.plan_id, step.index)
                if step.state is not StepState.RUNNING or key in waves.in_force_at_ms:
                    continue
                since = waves.changed_revision.setdefault(
                    key, self._state.config.revision
                )
                if self.in_force_revision >= since:
                    waves.in_force_at_ms[key] = self.at_ms

    def is_in_force(self, plan_id: str, step: Step) -> bool:
        """Return whether the last change of the step is in force everywhere."""
        return (plan_id, step.index) in self._state.waves.in_force_at_ms

    def is_drained(self, plan_id: str, step: Step) -> bool:
        """Return whether no task runs on the target and none can start."""
        waves = self._state.waves
        in_force_ms = waves.in_force_at_ms.get((plan_id, step.index))
        facts = waves.workers.get(step.target)
        if in_force_ms is None or facts is None:
            return False
        if facts.settled_ms is None:
            facts.settled_ms = in_force_ms + int(START_WINDOW_MS * DRIFT_FACTOR)
        if facts.idle:
            return placement.n_in_flight(self._state, step.target) == 0
        # An unreachable server runs nothing once the leases of its tasks have expired.
        heard_ms = max(facts.last_contact_ms or 0, facts.settled_ms)
        return self.at_ms > heard_ms + int(MAX_TASK_LEASE_MS * DRIFT_FACTOR)

    def is_settled(self, step: Step) -> bool:
        """Return whether no new task can start on the target of a draining step."""
        facts = self._state.waves.workers.get(step.target)
        instance = self._state.config.instances.get(step.target)
        return (
            facts is not None
            and instance is not None
            and instance.state is InstanceState.DRAINING
            and facts.settled_ms is not None
            and self.at_ms >= facts.settled_ms
        )

    def is_available(self, instance: str) -> bool:
        """Return whether the instance is available, or was deleted."""
        known = self._state.config.instances.get(instance)
        if known is None:
            return True
        if known.state is not InstanceState.IN_SERVICE:
            return False
        return health.is_available(self._state, instance, self.at_ms)

    def has_rebooted(self, step: Step) -> bool:
        """Return whether the target reports another boot than before the reboot.

        If the server became unreachable before its boot was known, any report after
        the reboot request counts.
        """
        waves = self._state.waves
        facts = waves.workers.get(step.target)
        if facts is not None and step.boot_id == UNKNOWN_BOOT_ID:
            asked_ms = waves.last_call_ms.get(("reboot", step.target))
            heard_ms = facts.last_contact_ms
            return asked_ms is not None and heard_ms is not None and heard_ms > asked_ms
        return facts is not None and facts.boot_id not in ("", step.boot_id)

    def is_gone(self, instance: str) -> bool:
        """Return whether a tracked instance never reported until its leases expired.

        After the maximum task lease without any report, no task runs on it any more.
        """
        waves = self._state.waves
        facts = waves.workers.get(instance)
        if facts is None or facts.last_contact_ms is not None:
            return False
        if facts.silent_since_ms is None:
            facts.silent_since_ms = self.at_ms
        lapse_ms = int(MAX_TASK_LEASE_MS * DRIFT_FACTOR)
        return self.at_ms > facts.silent_since_ms + lapse_ms

    def boot_id(self, instance: str) -> str:
        """Return the last reported boot identifier, empty if there is none."""
        facts = self._state.waves.workers.get(instance)
        return facts.boot_id if facts is not None else ""
