"""Computes the next actions of the runner without changing the state."""

from collections.abc import Collection, Iterator
from dataclasses import replace
from typing import TYPE_CHECKING

from apricotgap.core.budgets import BudgetUsage, Grant, Grants
from apricotgap.core.fleet_facts import FleetFacts, not_serving
from apricotgap.core.plan_steps import (
    Phase,
    Transition,
    action_of,
    has_joined,
)
from apricotgap.model import (
    UNKNOWN_BOOT_ID,
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

__all__ = ["RunnerView"]


class RunnerView:
    """The next grants and transitions of all active plans.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    facts : FleetFacts
        Current facts about the fleet.
    usage : BudgetUsage
        Counts of instances that are out by the configuration; not changed.
    """

    def __init__(
        self, state: "EntryState", facts: FleetFacts, usage: BudgetUsage
    ) -> None:
        self._usage = usage
        self._state = state
        self._config = state.config
        self._facts = facts
        self._grants = state.waves.role.grants
        self._plans = [plan for _, plan in sorted(state.config.active_plans.items())]
        self._blocked: dict[str, str] = {}
        self._next: dict[str, Grant] = {}
        self._unplanned: frozenset[str] = frozenset()

    def running_on_instances(self) -> Iterator[tuple[str, Step]]:
        """Yield running steps whose target is an instance, with their plan."""
        for plan in self._plans:
            for step in plan.steps:
                if step.state is StepState.RUNNING and (
                    step.target in self._config.instances
                ):
                    yield plan.plan_id, step

    def steps_to_probe(self) -> Iterator[Step]:
        """Yield steps that a report of their target may start or complete."""
        for _, step in self.running_on_instances():
            if (
                step.kind is StepKind.REBOOT
                or self._facts.is_settled(step)
                or self._awaits_service(step)
            ):
                yield step
        for _, step in self.startable_reboots():
            known = step.target in self._config.instances
            if known and not self._facts.boot_id(step.target):
                yield step

    def _awaits_service(self, step: Step) -> bool:
        """Return whether the target is in service but was last found unreachable.

        The runner does not poll servers of other data centres, so only a probe can
        tell it that the server is reachable again.
        """
        instance = self._config.instances[step.target]
        is_back = instance.state is InstanceState.IN_SERVICE
        return is_back and not self._facts.is_available(step.target)

    def startable_reboots(self) -> Iterator[tuple[str, Step]]:
        """Yield reboots that wait for the boot identifier of their target."""
        for plan in self._plans:
            for step in self._startable(plan):
                if step.kind is StepKind.REBOOT:
                    yield plan.plan_id, step

    def next_grants(self) -> Grants:
        """Return the grants without returnable ones and with new permitted ones."""
        kept = {
            name: grant
            for name, grant in self._grants.instances.items()
            if not self._is_returnable(name)
        }
        if not any(self._needed_grants()):
            return replace(self._grants, instances=kept)
        planned = self._usage.out | set(self._grants.instances)
        self._unplanned = not_serving(self._state, planned, self._facts.at_ms)
        usage = self._usage.copy()
        usage.mark_out(kept)
        usage.mark_out(self._unplanned)
        for plan in self._plans:
            self._grant_plan(plan, usage, kept)
        self._next = kept
        return replace(self._grants, instances=kept)

    def _needed_grants(self) -> Iterator[bool]:
        for plan in self._plans:
            for step in self._startable(plan):
                yield not self._has_grants(plan, step)

    def _grant_plan(
        self, plan: Plan, usage: BudgetUsage, kept: dict[str, Grant]
    ) -> None:
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
            usage.mark_out(targets)
            kept.update((t, Grant(plan.plan_id)) for t in targets)

    def _refusal(self, plan: Plan, step: Step, violated: list[Budget]) -> str:
        """Return why a step may not take its targets out, empty if it may."""
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
        """Yield the transitions that steps are ready for.

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
                if not boot_id and self._facts.is_gone(step.target):
                    boot_id = UNKNOWN_BOOT_ID
                if not boot_id:
                    continue
            yield Transition(plan.plan_id, step.index, Phase.START, boot_id)

    def pauses(self) -> dict[str, str]:
        """Return changed pause reasons by plan; an empty reason ends a pause."""
        changed = {}
        for plan in self._plans:
            reason = self._pause_reason(plan)
            if reason != plan.paused_reason:
                changed[plan.plan_id] = reason
        return changed

    def closed_plans(self) -> tuple[str, ...]:
        """Return plans whose steps are finished and whose grants are returned."""
        return tuple(
            plan.plan_id
            for plan in self._plans
            if all(s.finished for s in plan.steps)
            and not any(self._holds_grant(s.target) for s in plan.steps)
        )

    def _pause_reason(self, plan: Plan) -> str:
        goes_on = any(s.state is StepState.RUNNING for s in plan.steps) or any(
            grant.plan_id == plan.plan_id and self._is_unfinished(plan, name)
            for name, grant in self._next.items()
        )
        if goes_on or plan.plan_id not in self._blocked:
            return ""
        return self._blocked[plan.plan_id]

    @staticmethod
    def _is_unfinished(plan: Plan, target: str) -> bool:
        return any(s.target == target and not s.finished for s in plan.steps)

    def _has_grants(self, plan: Plan, step: Step) -> bool:
        return all(
            t in self._grants.instances or t not in self._config.instances
            for t in action_of(step).targets(plan, step)
        )

    def _startable(self, plan: Plan, finishing: Collection[int] = ()) -> Iterator[Step]:
        """Yield pending steps whose predecessors are finished or are finishing."""
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
        """Return whether the instance has a grant that the runner must return."""
        instance = self._config.instances.get(name)
        return name in self._grants.instances and (
            instance is None or instance.state is InstanceState.IN_SERVICE
        )

    def _is_returnable(self, name: str) -> bool:
        """Return whether the instance is available and no step needs its grant."""
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
    """Return whether the plan returns the target to service afterwards."""
    return step.kind is StepKind.MOVE or any(
        s.kind is StepKind.REBOOT and s.target == step.target for s in plan.steps
    )
