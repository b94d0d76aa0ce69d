"""Effect of each step kind on the configuration, and its completion condition."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, ClassVar, Protocol

from apricotgap.model import (
    Configuration,
    DataCentreState,
    InstanceState,
    Plan,
    Step,
    StepKind,
    StepState,
)

__all__ = [
    "ConfigDraft",
    "Phase",
    "StepAction",
    "StepFacts",
    "Transition",
    "action_of",
    "apply_transition",
    "clear_lent_for",
    "has_joined",
]

_ACTIONS: dict[StepKind, "StepAction"] = {}


class Phase(StrEnum):
    """Progress of a step that a transition makes."""

    START = "start"
    JOIN = "join"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class Transition:
    """A transition of one step; `boot_id` is recorded when a reboot starts."""

    plan_id: str
    index: int
    phase: Phase
    boot_id: str = ""


class StepFacts(Protocol):
    """Facts about the fleet that decide whether a step is complete."""

    def is_in_force(self, plan_id: str, step: Step) -> bool:
        """Return whether the last change of the step is in force everywhere."""

    def is_drained(self, plan_id: str, step: Step) -> bool:
        """Return whether no task runs on the target and none can start."""

    def is_available(self, instance: str) -> bool:
        """Return whether the instance is available."""

    def has_rebooted(self, step: Step) -> bool:
        """Return whether the target reports another boot than before the reboot."""


class ConfigDraft:
    """A mutable copy of the parts of a configuration that steps change."""

    def __init__(self, config: Configuration) -> None:
        self._config = config
        self.instances = dict(config.instances)
        self.data_centres = dict(config.data_centres)
        self.plans = dict(config.active_plans)

    def set_instance(self, name: str, **changes: Any) -> None:
        """Change fields of an instance that still exists."""
        if name in self.instances:
            self.instances[name] = replace(self.instances[name], **changes)

    def set_data_centre(self, name: str, state: DataCentreState) -> None:
        """Change the state of a data centre that still exists."""
        if name in self.data_centres:
            self.data_centres[name] = replace(self.data_centres[name], state=state)

    def set_step(self, plan_id: str, index: int, **changes: Any) -> None:
        """Change fields of a step."""
        plan = self.plans[plan_id]
        steps = list(plan.steps)
        steps[index] = replace(steps[index], **changes)
        self.plans[plan_id] = replace(plan, steps=tuple(steps))

    def build(self) -> Configuration:
        """Return the changed configuration."""
        return replace(
            self._config,
            instances=self.instances,
            data_centres=self.data_centres,
            active_plans=self.plans,
        )


class StepAction(ABC):
    """Behaviour of a step kind.

    A subclass declares its `kind` and whether it `takes_out` its target, in which
    case a grant must be stored before it starts. `start` must be idempotent.
    """

    kind: ClassVar[StepKind]
    takes_out: ClassVar[bool] = False

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        if "kind" in cls.__dict__:
            _ACTIONS[cls.kind] = cls()

    @abstractmethod
    def start(self, draft: ConfigDraft, step: Step) -> None:
        """Apply the changes of the start of the step to the configuration."""

    @abstractmethod
    def progress(
        self, config: Configuration, facts: StepFacts, plan_id: str, step: Step
    ) -> Phase | None:
        """Return the transition that a running step is ready for."""

    def finish_changes(self, step: Step) -> dict[str, Any]:
        """Return the fields of the target instance to set on completion."""
        return {}

    def targets(self, plan: Plan, step: Step) -> tuple[str, ...]:
        """Return the instances that need grants before the step starts."""
        return (step.target,) if self.takes_out else ()


def _finish_if(complete: bool) -> Phase | None:
    return Phase.FINISH if complete else None


class DrainAction(StepAction):
    """Stops new tasks and waits for the running ones."""

    kind = StepKind.DRAIN
    takes_out = True

    def start(self, draft: ConfigDraft, step: Step) -> None:
        """Mark the instance as draining."""
        draft.set_instance(step.target, state=InstanceState.DRAINING)

    def progress(
        self, config: Configuration, facts: StepFacts, plan_id: str, step: Step
    ) -> Phase | None:
        """Finish when no task runs."""
        return _finish_if(facts.is_drained(plan_id, step))

    def finish_changes(self, step: Step) -> dict[str, Any]:
        """Mark the instance as drained."""
        lent = {"lent_for": step.lent_for} if step.lent_for else {}
        return {"state": InstanceState.DRAINED, **lent}


class RebootAction(StepAction):
    """Reboots a drained instance."""

    kind = StepKind.REBOOT

    def start(self, draft: ConfigDraft, step: Step) -> None:
        """Mark the instance as rebooting."""
        draft.set_instance(step.target, state=InstanceState.REBOOTING)

    def progress(
        self, config: Configuration, facts: StepFacts, plan_id: str, step: Step
    ) -> Phase | None:
        """Finish when the instance reports a new boot identifier."""
        return _finish_if(facts.has_rebooted(step))


class RestoreAction(StepAction):
    """Returns an instance to service."""

    kind = StepKind.RESTORE

    def start(self, draft: ConfigDraft, step: Step) -> None:
        """Mark the instance as in service."""
        draft.set_instance(step.target, state=InstanceState.IN_SERVICE)
        clear_lent_for(draft, step)

    def progress(
        self, config: Configuration, facts: StepFacts, plan_id: str, step: Step
    ) -> Phase | None:
        """Finish when the instance is available."""
        return _finish_if(facts.is_available(step.target))


class MoveAction(StepAction):
    """Drains an instance, then changes its pool and returns it to service."""

    kind = StepKind.MOVE
    takes_out = True

    def start(self, draft: ConfigDraft, step: Step) -> None:
        """Mark the instance as draining."""
        draft.set_instance(step.target, state=InstanceState.DRAINING)

    def progress(
        self, config: Configuration, facts: StepFacts, plan_id: str, step: Step
    ) -> Phase | None:
        """Change the pool when drained; finish when the instance is available."""
        if not has_joined(config.instances, step):
            return Phase.JOIN if facts.is_drained(plan_id, step) else None
        return _finish_if(facts.is_available(step.target))

    @staticmethod
    def join(draft: ConfigDraft, step: Step) -> None:
        """Change the pool, the only record of pool membership, and resume service."""
        if step.target not in draft.instances:
            return
        lends = bool(step.lent_for)
        draft.set_instance(
            step.target,
            home_pool=draft.instances[step.target].pool if lends else "",
            lent_for=step.lent_for,
            pool=step.to_pool,
            state=InstanceState.IN_SERVICE,
        )


class _DataCentreAction(StepAction):
    """Sets the state of a data centre and waits until that is in force everywhere."""

    goal: ClassVar[DataCentreState]

    def start(self, draft: ConfigDraft, step: Step) -> None:
        """Set the state."""
        draft.set_data_centre(step.target, self.goal)

    def progress(
        self, config: Configuration, facts: StepFacts, plan_id: str, step: Step
    ) -> Phase | None:
        """Finish when the state is in force everywhere."""
        return _finish_if(facts.is_in_force(plan_id, step))


class CloseAction(_DataCentreAction):
    """Closes a data centre; the grants of all its drains are acquired together."""

    kind = StepKind.CLOSE_DATA_CENTRE
    goal = DataCentreState.CLOSED

    def targets(self, plan: Plan, step: Step) -> tuple[str, ...]:
        """Return all instances that the plan drains in the data centre."""
        return tuple(
            s.target
            for s in plan.steps
            if s.kind is StepKind.DRAIN and s.lent_for == step.target
        )


class OpenAction(_DataCentreAction):
    """Opens a data centre."""

    kind = StepKind.OPEN_DATA_CENTRE
    goal = DataCentreState.OPEN


def clear_lent_for(draft: ConfigDraft, step: Step) -> None:
    """Clear `lent_for`, except for an instance that is lent to another pool."""
    instance = draft.instances.get(step.target)
    if instance is not None and not instance.home_pool:
        draft.set_instance(step.target, lent_for="")


def has_joined(instances: dict[str, Any], step: Step) -> bool:
    """Return whether a move has changed the pool, or its instance was deleted."""
    instance = instances.get(step.target)
    return instance is None or instance.pool == step.to_pool


def action_of(step: Step) -> StepAction:
    """Return the behaviour of a step."""
    return _ACTIONS[step.kind]


def apply_transition(draft: ConfigDraft, transition: Transition) -> bool:
    """Advance one step, unless another runner has done so already.

    Returns
    -------
    bool
        Whether the step was in the state that the transition starts from.
    """
    plan = draft.plans.get(transition.plan_id)
    if plan is None:
        return False
    step = plan.steps[transition.index]
    key = (transition.plan_id, transition.index)
    expected = (
        StepState.PENDING if transition.phase is Phase.START else StepState.RUNNING
    )
    if step.state is not expected:
        return False
    action = action_of(step)
    if transition.phase is Phase.START:
        action.start(draft, step)
        draft.set_step(*key, state=StepState.RUNNING, boot_id=transition.boot_id)
    elif transition.phase is Phase.FINISH:
        draft.set_instance(step.target, **action.finish_changes(step))
        draft.set_step(*key, state=StepState.DONE)
    elif has_joined(draft.instances, step):
        return False
    else:
        MoveAction.join(draft, step)
    return True
