"""Cancellation of an active plan."""

from collections.abc import Callable
from dataclasses import replace

from apricotgap.core.plan_steps import ConfigDraft, clear_lent_for, has_joined
from apricotgap.model import (
    Configuration,
    DataCentreState,
    InstanceState,
    Plan,
    PlanState,
    Step,
    StepKind,
    StepState,
)

__all__ = ["cancel_plan"]


def cancel_plan(config: Configuration, plan_id: str) -> Configuration:
    """Cancel a plan: finish steps that cannot be undone, and undo or skip the others.

    Parameters
    ----------
    config : Configuration
        Configuration with the active plan.
    plan_id : str
        Identifier of the plan.

    Returns
    -------
    Configuration
        Reboots, pool changes, restores and openings that have begun stay in the
        plan. Every other unfinished step is skipped, and drained instances without
        such a step return to service.
    """
    draft = ConfigDraft(config)
    plan = draft.plans[plan_id]
    kept = {s.index for s in plan.steps if _must_finish(config, plan, s)}
    for step in plan.steps:
        if step.index in kept or step.state is StepState.SKIPPED:
            continue
        undo = _UNDO.get(step.kind)
        under_way = step.state is not StepState.PENDING
        if undo is not None and under_way:
            undo(draft, step)
        if not step.finished:
            draft.set_step(plan_id, step.index, state=StepState.SKIPPED)
    draft.plans[plan_id] = replace(
        draft.plans[plan_id], state=PlanState.CANCELLED, paused_reason=""
    )
    return draft.build()


def _must_finish(config: Configuration, plan: Plan, step: Step) -> bool:
    if step.finished:
        return False
    if step.kind is StepKind.MOVE:
        return step.state is StepState.RUNNING and has_joined(config.instances, step)
    if step.kind is StepKind.OPEN_DATA_CENTRE:
        return step.state is StepState.RUNNING
    if step.kind not in (StepKind.REBOOT, StepKind.RESTORE):
        return False
    if step.state is StepState.RUNNING:
        return True
    earlier = [s for s in plan.steps[: step.index] if s.target == step.target]
    if any(
        s.kind is StepKind.REBOOT and s.state is not StepState.PENDING for s in earlier
    ):
        return True
    return step.kind is StepKind.RESTORE and any(
        s.kind is StepKind.OPEN_DATA_CENTRE and s.state is not StepState.PENDING
        for s in plan.steps
    )


def _undo_drain(draft: ConfigDraft, step: Step) -> None:
    if step.kind is StepKind.MOVE and step.state is not StepState.RUNNING:
        return
    instance = draft.instances.get(step.target)
    waits = (InstanceState.DRAINING, InstanceState.DRAINED)
    if instance is not None and instance.state in waits:
        draft.set_instance(step.target, state=InstanceState.IN_SERVICE)
        clear_lent_for(draft, step)


def _undo_close(draft: ConfigDraft, step: Step) -> None:
    draft.set_data_centre(step.target, DataCentreState.OPEN)


_UNDO: dict[StepKind, Callable[[ConfigDraft, Step], None]] = {
    StepKind.DRAIN: _undo_drain,
    StepKind.MOVE: _undo_drain,
    StepKind.CLOSE_DATA_CENTRE: _undo_close,
}
