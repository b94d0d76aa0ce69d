"""What the runner may do next, worked out from the state without changing it."""

from collections.abc import Collection, Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from apricotgap.core import config_view, health, placement
from apricotgap.core.budgets import Grant, Grants, Usage, out_of_service
from apricotgap.core.limits import (
    DRIFT_FACTOR,
    MAX_TASK_LEASE_MS,
    START_WINDOW_MS,
)
from apricotgap.core.plan_steps import (
    Phase,
    Transition,
    action_of,
    has_joined,
)
from apricotgap.model import (
    Budget,
    DataCentreState,
    InstanceState,
    Plan,
    Step,
    StepKind,
    StepState,
)

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "FleetFacts",
    "RunnerView",
    "WorkerFacts",
    "awaits_acknowledgement",
    "unplanned_unavailable",
]

# The second report was asked for after the first had arrived, so it was taken after
# the time from which no late dispatch can start.
_N_IDLE_REPORTS = 2


@dataclass(slots=True)
class WorkerFacts:
    """Reports of one instance; `n_idle_reports` counts those since it was last busy."""

    boot_id: str = ""
    n_idle_reports: int = 0
    settled_ms: int | None = None
    last_contact_ms: int | None = None

    def note_report(self, n_running: int, boot_id: str, at_ms: int) -> None:
        """Take a report in."""
        self.boot_id = boot_id or self.boot_id
        self.last_contact_ms = at_ms
        settled = self.settled_ms is not None and at_ms >= self.settled_ms
        self.n_idle_reports = (
            self.n_idle_reports + 1 if settled and n_running == 0 else 0
        )


def awaits_acknowledgement(state: "EntryState", at_ms: int) -> bool:
    """Tell whether an entry may still act on an older configuration."""
    return bool(config_view.in_force_report(state, at_ms)["pending"])


def unplanned_unavailable(
    state: "EntryState", grants: Grants, at_ms: int
) -> frozenset[str]:
    """Return instances that should serve but do not.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    grants : Grants
        Grants of plans; their instances are not unplanned.
    at_ms : int
        Present time.

    Returns
    -------
    frozenset of str
        Names of instances.
    """
    planned = out_of_service(state.config) | set(grants.instances)
    return _not_serving(state, planned, at_ms)


def _not_serving(
    state: "EntryState", planned: AbstractSet[str], at_ms: int
) -> frozenset[str]:
    return frozenset(
        name
        for name in state.config.instances
        if name not in planned and not health.is_available(state, name, at_ms)
    )


class FleetFacts:
    """Answers the questions of step actions from the state of the entry."""

    def __init__(self, state: "EntryState", at_ms: int) -> None:
        self._state = state
        self.at_ms = at_ms
        in_force = not awaits_acknowledgement(state, at_ms)
        self.in_force_revision = state.config.revision if in_force else 0

    def note_in_force(self) -> None:
        """Record since when the changes of steps have been in force."""
        waves = self._state.waves
        for plan in self._state.config.active_plans.values():
            for step in plan.steps:
                key = (plan.plan_id, step.index)
                if step.state is not StepState.RUNNING or key in waves.in_force_at_ms:
                    continue
                since = waves.since_revision.setdefault(
                    key, self._state.config.revision
                )
                if self.in_force_revision >= since:
                    waves.in_force_at_ms[key] = self.at_ms

    def is_in_force(self, plan_id: str, step: Step) -> bool:
        """Tell whether the last change of the step is in force everywhere."""
        return (plan_id, step.index) in self._state.waves.in_force_at_ms

    def is_drained(self, plan_id: str, step: Step) -> bool:
        """Tell whether no task runs on the target and none can start."""
        waves = self._state.waves
        in_force_ms = waves.in_force_at_ms.get((plan_id, step.index))
        facts = waves.workers.get(step.target)
        if in_force_ms is None or facts is None:
            return False
        if facts.settled_ms is None:
            facts.settled_ms = in_force_ms + int(START_WINDOW_MS * DRIFT_FACTOR)
        if facts.n_idle_reports >= _N_IDLE_REPORTS:
            return placement.n_in_flight(self._state, step.target) == 0
        # A server that is gone runs nothing once the leases of its tasks have lapsed.
        heard_ms = max(facts.last_contact_ms or 0, facts.settled_ms)
        return self.at_ms > heard_ms + int(MAX_TASK_LEASE_MS * DRIFT_FACTOR)

    def is_available(self, instance: str) -> bool:
        """Tell whether the instance serves, or is gone for good."""
        known = self._state.config.instances.get(instance)
        if known is None:
            return True
        if known.state is not InstanceState.IN_SERVICE:
            return False
        return health.is_available(self._state, instance, self.at_ms)

    def has_rebooted(self, step: Step) -> bool:
        """Tell whether the target reports another boot than before the reboot."""
        facts = self._state.waves.workers.get(step.target)
        return facts is not None and facts.boot_id not in ("", step.boot_id)

    def boot_id(self, instance: str) -> str:
        """Return the last reported boot identifier, empty when there is none."""
        facts = self._state.waves.workers.get(instance)
        return facts.boot_id if facts is not None else ""


class RunnerView:
    """The next grants and transitions of all active plans.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    facts : FleetFacts
        What is known of the fleet now.
    usage : Usage
        Budgets as spent by the configuration alone; it is not changed.
    """

    def __init__(self, state: "EntryState", facts: FleetFacts, usage: Usage) -> None:
        self._usage = usage
        self._state = state
        self._config = state.config
        self._facts = facts
        self._grants = state.waves.role.grants
        self._plans = [plan for _, plan in sorted(state.config.active_plans.items())]
        self._blocked: dict[str, str] = {}
        self._unplanned: frozenset[str] = frozenset()

    def running_on_instances(self) -> Iterator[tuple[str, Step]]:
        """List running steps whose target is an instance."""
        for plan in self._plans:
            for step in plan.steps:
                if step.state is StepState.RUNNING and (
                    step.target in self._config.instances
                ):
                    yield plan.plan_id, step

    def startable_reboots(self) -> Iterator[tuple[str, Step]]:
        """List reboots that wait for the boot identifier of their target."""
        for plan in self._plans:
            for step in self._startable(plan):
                if step.kind is StepKind.REBOOT:
                    yield plan.plan_id, step

    def next_grants(self) -> Grants:
        """Return grants of serving instances and take those that budgets permit."""
        kept = {
            name: grant
            for name, grant in self._grants.instances.items()
            if not self._is_returnable(name)
        }
        if not any(self._needed_grants()):
            return replace(self._grants, instances=kept)
        planned = self._usage.out | set(self._grants.instances)
        self._unplanned = _not_serving(self._state, planned, self._facts.at_ms)
        usage = self._usage.copy()
        usage.take(kept)
        usage.take(self._unplanned)
        for plan in self._plans:
            self._grant_plan(plan, usage, kept)
        return replace(self._grants, instances=kept)

    def _needed_grants(self) -> Iterator[bool]:
        for plan in self._plans:
            for step in self._startable(plan):
                yield not self._has_grants(plan, step)

    def _grant_plan(self, plan: Plan, usage: Usage, kept: dict[str, Grant]) -> None:
        for step in self._startable(plan):
            targets = [
                t
                for t in action_of(step).targets(plan, step)
                if t not in kept and t in self._config.instances
            ]
            reason = self._refusal(plan, step, usage.violated(targets))
            if targets and reason:
                self._blocked.setdefault(plan.plan_id, reason)
                if step.kind is StepKind.CLOSE_DATA_CENTRE:
                    return
                continue
            usage.take(targets)
            kept.update((t, Grant(plan.plan_id)) for t in targets)

    def _refusal(self, plan: Plan, step: Step, violated: list[Budget]) -> str:
        """Tell why a step may not take its targets out, empty when it may."""
        if step.target in self._unplanned and _returns_to_service(plan, step):
            return f"waits until the failed instance {step.target} serves again"
        if not violated:
            return ""
        names = sorted(self._unplanned)
        cause = "instances that are out"
        if names:
            shown = ", ".join(names[:3]) + (" and others" if len(names) > 3 else "")
            cause = f"failed instances: {shown}"
        name = violated[0].name
        return f"budget {name} does not permit {step.target}: waits for {cause}"

    def transitions(self) -> Iterator[Transition]:
        """List steps that may start, join or finish now.

        A step starts in the same change in which its predecessor finishes, which
        saves a round of acknowledgements.
        """
        for plan in self._plans:
            finishing = set()
            for step in plan.steps:
                if step.state is not StepState.RUNNING:
                    continue
                phase = action_of(step).progress(
                    self._config, self._facts, plan.plan_id, step
                )
                if phase is Phase.FINISH:
                    finishing.add(step.index)
                if phase is not None:
                    yield Transition(plan.plan_id, step.index, phase)
            yield from self._starts(plan, finishing)

    def _starts(self, plan: Plan, finishing: set[int]) -> Iterator[Transition]:
        for step in self._startable(plan, finishing):
            if not self._has_grants(plan, step):
                if step.kind is StepKind.CLOSE_DATA_CENTRE:
                    return
                continue
            boot_id = ""
            if step.kind is StepKind.REBOOT:
                boot_id = self._facts.boot_id(step.target)
                if not boot_id:
                    continue
            yield Transition(plan.plan_id, step.index, Phase.START, boot_id)

    def pauses(self) -> dict[str, str]:
        """Return changed reasons of pauses by plan; empty reasons end a pause."""
        changed = {}
        for plan in self._plans:
            reason = self._pause_reason(plan)
            if reason != plan.paused_reason:
                changed[plan.plan_id] = reason
        return changed

    def closed_plans(self) -> tuple[str, ...]:
        """List plans whose steps are finished and whose grants are returned."""
        return tuple(
            plan.plan_id
            for plan in self._plans
            if all(s.finished for s in plan.steps)
            and not any(self._holds_grant(s.target) for s in plan.steps)
        )

    def _pause_reason(self, plan: Plan) -> str:
        if plan.plan_id not in self._blocked or any(
            s.state is StepState.RUNNING for s in plan.steps
        ):
            return ""
        return self._blocked[plan.plan_id]

    def _has_grants(self, plan: Plan, step: Step) -> bool:
        return all(
            t in self._grants.instances or t not in self._config.instances
            for t in action_of(step).targets(plan, step)
        )

    def _startable(self, plan: Plan, finishing: Collection[int] = ()) -> Iterator[Step]:
        """List pending steps whose predecessors are finished or finish now."""
        open_steps = [
            s for s in plan.steps if not s.finished and s.index not in finishing
        ]
        first_open_wave = min((s.wave for s in open_steps), default=0)
        busy: set[str] = set()
        for step in open_steps:
            may_start = step.target not in busy and first_open_wave > step.after_wave
            if step.state is StepState.PENDING and may_start:
                yield step
            busy.add(step.target)

    def _holds_grant(self, name: str) -> bool:
        """Whether a grant remains that the runner has to return."""
        instance = self._config.instances.get(name)
        return name in self._grants.instances and (
            instance is None or instance.state is InstanceState.IN_SERVICE
        )

    def _is_returnable(self, name: str) -> bool:
        """Whether the instance serves and no step is about to take it out."""
        instance = self._config.instances.get(name)
        if instance is None:
            return True
        data_centre = self._config.data_centres.get(instance.data_centre)
        if data_centre is not None and data_centre.state is DataCentreState.CLOSED:
            return False
        return self._facts.is_available(name) and not any(
            step.target == name and self._keeps_grant(step)
            for plan in self._plans
            for step in plan.steps
        )

    def _keeps_grant(self, step: Step) -> bool:
        if step.finished or step.kind is StepKind.RESTORE:
            return False
        if step.kind is StepKind.MOVE and step.state is StepState.RUNNING:
            return not has_joined(self._config.instances, step)
        return True


def _returns_to_service(plan: Plan, step: Step) -> bool:
    """Tell whether the plan expects the target to serve afterwards."""
    return step.kind is StepKind.MOVE or any(
        s.kind is StepKind.REBOOT and s.target == step.target for s in plan.steps
    )
