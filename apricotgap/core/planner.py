"""Planner: turns operators' intents into plans, with one class per intent kind."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import ClassVar

from apricotgap.core.budgets import Grants
from apricotgap.core.plan_draft import PlanDraft
from apricotgap.errors import ConflictError, NotFoundError, ValidationError
from apricotgap.model import (
    Configuration,
    DataCentreState,
    Instance,
    InstanceState,
    Intent,
    Plan,
    StepKind,
)

__all__ = ["IntentKind", "intent_kinds", "make_plan"]

_KINDS: dict[str, "IntentKind"] = {}


class IntentKind(ABC):
    """A kind of intent.

    A subclass declares `name`, the `options` that it accepts and the `required`
    ones, and is registered by its definition. `draft_steps` must add steps that
    violate no budget when run in the order of the plan, or raise an
    `ApricotgapError` that names the budget and the remedy.
    """

    name: ClassVar[str]
    options: ClassVar[tuple[str, ...]] = ()
    required: ClassVar[tuple[str, ...]] = ()

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        if "name" in cls.__dict__:
            _KINDS[cls.name] = cls()

    @abstractmethod
    def draft_steps(self, draft: PlanDraft, intent: Intent) -> None:
        """Add the steps that the intent needs."""

    def check_options(self, intent: Intent) -> None:
        """Reject unknown options and missing required ones."""
        for option in sorted(set(intent.options) - set(self.options)):
            known = ", ".join(self.options) or "none"
            raise ValidationError(
                f"options.{option} is not an option of {self.name}",
                f"use only these options: {known}",
            )
        for option in self.required:
            if not intent.options.get(option):
                raise ValidationError(
                    f"options.{option} is missing", f"give {self.name} this option"
                )


def _instances_of(config: Configuration, field: str, target: str) -> list[Instance]:
    return sorted(
        (i for i in config.instances.values() if getattr(i, field) == target),
        key=lambda i: (i.data_centre, i.rack, i.name),
    )


def _require_found(
    instances: list[Instance], target_noun: str, target: str
) -> list[Instance]:
    if not instances:
        raise NotFoundError(
            f"there is no {target_noun} {target!r}", "check the name with instance list"
        )
    return instances


def _in_service(instances: Iterable[Instance]) -> list[Instance]:
    return [i for i in instances if i.state is InstanceState.IN_SERVICE]


class DrainInstance(IntentKind):
    """Drains an instance; with ``reboot=true`` it is rebooted and restored."""

    name = "drain_instance"
    options = ("reboot",)
    field: ClassVar[str] = "name"
    target_noun: ClassVar[str] = "instance"

    def draft_steps(self, draft: PlanDraft, intent: Intent) -> None:
        """Drain all instances together, or in waves if they are rebooted."""
        found = _instances_of(draft.config, self.field, intent.target)
        found = _in_service(_require_found(found, self.target_noun, intent.target))
        if _bool_option(intent, "reboot"):
            draft.reboot_in_waves(found)
            return
        draft.backfill_pools(found, lent_for="")
        draft.drain_together(found)


class DrainRack(DrainInstance):
    """Drains all instances of a rack."""

    name = "drain_rack"
    field = "rack"
    target_noun = "rack"


class RestoreInstance(IntentKind):
    """Returns a drained instance to service."""

    name = "restore_instance"
    field: ClassVar[str] = "name"
    target_noun: ClassVar[str] = "instance"

    def draft_steps(self, draft: PlanDraft, intent: Intent) -> None:
        """Restore all drained instances in one wave."""
        found = _instances_of(draft.config, self.field, intent.target)
        for instance in _require_found(found, self.target_noun, intent.target):
            if instance.state is InstanceState.DRAINED:
                draft.add(StepKind.RESTORE, instance.name, "")


class RestoreRack(RestoreInstance):
    """Returns all drained instances of a rack to service."""

    name = "restore_rack"
    field = "rack"
    target_noun = "rack"


class RollPool(IntentKind):
    """Reboots every instance of a pool, a wave at a time."""

    name = "roll_pool"

    def draft_steps(self, draft: PlanDraft, intent: Intent) -> None:
        """Reboot in waves as large as the budgets permit."""
        _require_pool(draft.config, "target", intent.target)
        found = _instances_of(draft.config, "pool", intent.target)
        draft.reboot_in_waves(_in_service(found))


class MoveCapacity(IntentKind):
    """Moves a number of instances from the target pool to another one."""

    name = "move_capacity"
    options = ("to_pool", "count")
    required = ("to_pool", "count")

    def draft_steps(self, draft: PlanDraft, intent: Intent) -> None:
        """Move instances in order of data centre and rack, to affect few racks."""
        to_pool = intent.options["to_pool"]
        _require_pool(draft.config, "target", intent.target)
        _require_pool(draft.config, "options.to_pool", to_pool)
        if to_pool == intent.target:
            raise ValidationError(
                "options.to_pool is the target pool", "name another pool"
            )
        count = _positive_int(intent, "count")
        found = _in_service(_instances_of(draft.config, "pool", intent.target))
        found = [i for i in found if not draft.usage.is_out(i.name)]
        if count > len(found):
            raise ConflictError(
                f"pool {intent.target!r} has {len(found)} serving instances, "
                f"fewer than {count}",
                "ask for fewer instances or choose another pool",
            )
        draft.move_in_waves(found, to_pool, count)


class TakeOutDataCentre(IntentKind):
    """Closes a data centre and drains its instances."""

    name = "take_out_data_centre"

    def draft_steps(self, draft: PlanDraft, intent: Intent) -> None:
        """Move spare instances into pools that would fall short, then close."""
        data_centre = _data_centre(draft.config, intent.target)
        if data_centre is DataCentreState.CLOSED:
            raise ConflictError(
                f"data centre {intent.target!r} is out already",
                "use the intent bring_back_data_centre to reopen it",
            )
        found = _in_service(_instances_of(draft.config, "data_centre", intent.target))
        draft.backfill_pools(found, lent_for=intent.target)
        draft.close(intent.target, found)


class BringBackDataCentre(IntentKind):
    """Opens a data centre, restores its instances and returns lent capacity."""

    name = "bring_back_data_centre"

    def draft_steps(self, draft: PlanDraft, intent: Intent) -> None:
        """Reopen the data centre, then return the instances lent for it."""
        if _data_centre(draft.config, intent.target) is DataCentreState.OPEN:
            raise ConflictError(
                f"data centre {intent.target!r} is open already",
                "no change is needed",
            )
        found = _instances_of(draft.config, "data_centre", intent.target)
        lent = _instances_of(draft.config, "lent_for", intent.target)
        draft.reopen(intent.target, [i for i in found if i in lent])
        draft.return_lent([i for i in lent if i.home_pool in draft.config.pools])


def _bool_option(intent: Intent, option: str) -> bool:
    value = intent.options.get(option, "false")
    if value not in ("true", "false"):
        raise ValidationError(
            f"options.{option} is {value!r}, expected true or false",
            "correct the option",
        )
    return value == "true"


def _positive_int(intent: Intent, option: str) -> int:
    value = intent.options[option]
    if not value.isascii() or not value.isdigit() or int(value) == 0:
        raise ValidationError(
            f"options.{option} is {value!r}, expected a whole number above 0",
            "correct the option",
        )
    return int(value)


def _require_pool(config: Configuration, field: str, name: str) -> None:
    if name not in config.pools:
        raise NotFoundError(
            f"{field}: there is no pool {name!r}", "check the name with pool list"
        )


def _data_centre(config: Configuration, name: str) -> DataCentreState:
    if name not in config.data_centres:
        raise NotFoundError(
            f"there is no data centre {name!r}",
            "check the name with data-centre list",
        )
    return config.data_centres[name].state


def intent_kinds() -> dict[str, IntentKind]:
    """Return the registered kinds by name."""
    return dict(_KINDS)


def make_plan(
    config: Configuration,
    intent: Intent,
    unavailable: Iterable[str],
    plan_id: str,
    grants: Grants | None = None,
) -> Plan:
    """Return a plan for an intent that violates no budget.

    Parameters
    ----------
    config : Configuration
        Configuration to plan from.
    intent : Intent
        The operator's intent.
    unavailable : iterable of str
        Instances that are unavailable without a plan.
    plan_id : str
        Identifier of the new plan.
    grants : Grants or None
        Grants of other plans.

    Returns
    -------
    Plan
        Proposed plan.

    Raises
    ------
    ApricotgapError
        If the intent is malformed, or no plan keeps the budgets; the message names
        the budget and the remedy.
    """
    kind = _KINDS.get(intent.kind)
    if kind is None:
        known = ", ".join(sorted(_KINDS))
        raise ValidationError(
            f"kind: there is no intent kind {intent.kind!r}", f"use one of {known}"
        )
    kind.check_options(intent)
    draft = PlanDraft(config, unavailable, grants or Grants())
    kind.draft_steps(draft, intent)
    if not draft.steps:
        raise ConflictError(
            f"{intent.kind} of {intent.target!r} has nothing to do",
            "check the state of its instances with instance list",
        )
    _require_no_overlap(config, {s.target for s in draft.steps})
    return Plan(plan_id, intent, config.revision, tuple(draft.steps))


def _require_no_overlap(config: Configuration, targets: set[str]) -> None:
    for plan in config.active_plans.values():
        shared = targets & _held_targets(plan)
        if shared:
            raise ConflictError(
                f"{min(shared)!r} is part of the active plan {plan.plan_id}",
                f"wait for it or cancel it with intent cancel {plan.plan_id}",
            )


def _held_targets(plan: Plan) -> set[str]:
    """Return the targets that a cancellation of the plan could still change."""
    restores = any(s.kind is StepKind.RESTORE for s in plan.steps)
    return {
        s.target
        for s in plan.steps
        if not s.finished or (s.kind is StepKind.DRAIN and not restores)
    }
