"""Execution of confirmed plans under availability budgets."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from apricotgap.core import config_writer, plan_results, runner_role
from apricotgap.core.budgets import BudgetUsage, out_of_service
from apricotgap.core.effects import (
    Count,
    Effect,
    LogChange,
    ProbeWorker,
    RebootInstance,
)
from apricotgap.core.events import WorkerReported
from apricotgap.core.fleet_facts import FleetFacts, WorkerFacts
from apricotgap.core.limits import (
    IN_FORCE_BOUND_MS,
    REBOOT_REPEAT_MS,
    RUNNER_INTERVAL_MS,
    RUNNER_PAUSED_INTERVAL_MS,
    STATUS_INTERVAL_MS,
)
from apricotgap.core.plan_steps import (
    ConfigDraft,
    Transition,
    apply_transition,
)
from apricotgap.core.runner_role import RoleState
from apricotgap.core.runner_view import RunnerView
from apricotgap.errors import ApricotgapError, ConflictError
from apricotgap.model import Configuration, Plan, PlanState, Step, StepKind

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["StepsChange", "WaveState", "has_work", "record_report", "tick"]

# Token bucket that limits the probes while a whole data centre drains.
_PROBES_PER_S = 20
_PROBE_BURST = 100
_BOOT_PROBE_INTERVAL_MS = 1_000


@dataclass(slots=True)
class WaveState:
    """Grants, the runner role and progress of plans.

    Parameters
    ----------
    role : RoleState
        The runner role and the grants document.
    changed_revision : dict
        Revision of the last change of a step, by plan and index.
    in_force_at_ms : dict
        When that revision was first found to be in force everywhere.
    workers : dict of str to WorkerFacts
        Facts from the reports of the instances that steps wait for.
    change_pending : bool
        Whether a configuration change of this runner is pending.
    last_change_revision : int
        Revision of the last accepted change of this runner.
    last_change_ms : int
        When it was accepted.
    last_call_ms : dict
        When a probe or reboot was last sent, by kind of call and instance.
    next_advance_ms : int
        When the runner checks the plans again.
    probe_tokens : float
        Tokens of the bucket as of `refilled_ms`; each probe uses one.
    refilled_ms : int
        When `probe_tokens` was last refilled.
    usage : BudgetUsage or None
        Counts of instances that are out by the configuration alone.
    usage_revision : int
        Configuration revision of `usage`.
    results : dict of str to Plan
        Finished plans that are being stored, by call.
    """

    role: RoleState = field(default_factory=RoleState)
    changed_revision: dict[tuple[str, int], int] = field(default_factory=dict)
    in_force_at_ms: dict[tuple[str, int], int] = field(default_factory=dict)
    workers: dict[str, WorkerFacts] = field(default_factory=dict)
    change_pending: bool = False
    last_change_revision: int = 0
    last_change_ms: int = 0
    last_call_ms: dict[tuple[str, str], int] = field(default_factory=dict)
    next_advance_ms: int = 0
    probe_tokens: float = _PROBE_BURST
    refilled_ms: int = 0
    usage: BudgetUsage | None = None
    usage_revision: int = -1
    results: dict[str, Plan] = field(default_factory=dict)


class StepsChange(config_writer.Change):
    """Advances steps, sets pause reasons and closes plans in one change.

    Parameters
    ----------
    transitions : tuple of Transition
        Transitions of steps; those that were already applied are ignored.
    paused : dict of str to str
        New pause reasons, by plan.
    closed : tuple of str
        Plans to close because all their steps are finished.
    """

    def __init__(
        self,
        transitions: tuple[Transition, ...],
        paused: dict[str, str],
        closed: tuple[str, ...],
    ) -> None:
        self._transitions = transitions
        self._paused = paused
        self._closed = closed
        self._final: dict[str, Plan] = {}

    def apply(self, config: Configuration) -> Configuration:
        """Apply the transitions, pauses and closings that are still possible.

        Raises
        ------
        ConflictError
            If no change is left.
        """
        draft = ConfigDraft(config)
        changed = [t for t in self._transitions if apply_transition(draft, t)]
        n_plans = self._apply_plans(draft)
        if not changed and not n_plans:
            raise ConflictError(
                "the steps have already advanced", "no change is needed"
            )
        return draft.build()

    def _apply_plans(self, draft: ConfigDraft) -> int:
        n_changed = 0
        for plan_id, reason in self._paused.items():
            plan = draft.plans.get(plan_id)
            if plan is not None and plan.paused_reason != reason:
                draft.plans[plan_id] = replace(plan, paused_reason=reason)
                n_changed += 1
        for plan_id in self._closed:
            plan = draft.plans.get(plan_id)
            if plan is not None and all(s.finished for s in plan.steps):
                cancelled = plan.state is PlanState.CANCELLED
                state = PlanState.CANCELLED if cancelled else PlanState.DONE
                self._final[plan_id] = replace(plan, state=state)
                del draft.plans[plan_id]
                n_changed += 1
        return n_changed

    def finished(
        self,
        state: "EntryState",
        error: ApricotgapError | None,
        revision: int,
        at_ms: int,
    ) -> Iterable[Effect]:
        """Record the revision that the steps wait for."""
        waves = state.waves
        waves.change_pending = False
        if error is not None:
            yield Count("wave_changes_refused")
            return
        waves.last_change_revision = revision
        waves.last_change_ms = at_ms
        for transition in self._transitions:
            key = (transition.plan_id, transition.index)
            waves.changed_revision[key] = revision
            waves.in_force_at_ms.pop(key, None)
        for plan_id, reason in self._paused.items():
            yield LogChange("plan_paused", {"plan": plan_id, "reason": reason})
        for plan_id in self._closed:
            yield LogChange("plan_closed", {"plan": plan_id})
            if plan_id in self._final:
                yield plan_results.record(state, self._final[plan_id])


def has_work(state: "EntryState") -> bool:
    """Return whether a runner is needed."""
    return bool(state.config.active_plans)


def tick(state: "EntryState", at_ms: int) -> Iterator[Effect]:
    """Maintain the runner role, and advance the plans while it is held.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    at_ms : int
        Monotonic time in milliseconds.

    Yields
    ------
    Effect
        Store writes, configuration changes, probes and reboots.
    """
    waves = state.waves
    was_held = waves.role.is_held(at_ms)
    wanted = has_work(state) and not state.stopping
    yield from runner_role.maintain(state, wanted, at_ms)
    if not waves.role.is_held(at_ms):
        if not was_held:
            _clear_progress(waves)
        return
    if wanted and at_ms >= waves.next_advance_ms:
        # Each check of a paused plan evaluates the health of all instances.
        all_paused = all(p.paused_reason for p in state.config.active_plans.values())
        interval_ms = RUNNER_PAUSED_INTERVAL_MS if all_paused else RUNNER_INTERVAL_MS
        waves.next_advance_ms = at_ms + interval_ms
        yield from _advance(state, at_ms)


def record_report(state: "EntryState", report: WorkerReported) -> None:
    """Record a status report of an instance that a step waits for."""
    facts = state.waves.workers.get(report.instance)
    if facts is not None:
        facts.record_report(report)


def _clear_progress(waves: WaveState) -> None:
    """Drop progress that is valid only while the role is held continuously."""
    waves.changed_revision.clear()
    waves.in_force_at_ms.clear()
    waves.workers.clear()
    waves.last_call_ms.clear()
    waves.usage = None
    waves.change_pending = False
    waves.last_change_revision = 0


def _advance(state: "EntryState", at_ms: int) -> Iterator[Effect]:
    waves = state.waves
    facts = FleetFacts(state, at_ms)
    facts.record_in_force()
    view = RunnerView(state, facts, _planned_usage(state))
    _track_workers(waves, view)
    _prune_closed_plans(state)
    yield from _send_due_calls(state, view, at_ms)
    grants = view.next_grants()
    if waves.role.may_write and grants.instances != waves.role.grants.instances:
        yield waves.role.begin_write(grants, at_ms)
    if waves.change_pending or _awaits_acknowledgement(waves, facts, at_ms):
        return
    transitions = tuple(view.transitions())
    paused = view.pauses()
    closed = view.closed_plans()
    if transitions or paused or closed:
        waves.change_pending = True
        change = StepsChange(transitions, paused, closed)
        yield from config_writer.propose(state, change, at_ms)


def _planned_usage(state: "EntryState") -> BudgetUsage:
    """Return the counts of the current configuration, cached by its revision."""
    waves = state.waves
    if waves.usage is None or waves.usage_revision != state.config.revision:
        waves.usage = BudgetUsage(state.config, out_of_service(state.config))
        waves.usage_revision = state.config.revision
    return waves.usage


def _awaits_acknowledgement(waves: WaveState, facts: FleetFacts, at_ms: int) -> bool:
    """Return whether to delay changes until the last one is in force.

    Steps that become ready in the meantime then share one change.
    """
    if waves.last_change_revision <= facts.in_force_revision:
        return False
    return at_ms < waves.last_change_ms + IN_FORCE_BOUND_MS


def _track_workers(waves: WaveState, view: RunnerView) -> None:
    wanted = {step.target for _, step in view.running_on_instances()}
    wanted |= {step.target for _, step in view.startable_reboots()}
    for name in set(waves.workers) - wanted:
        del waves.workers[name]
    for name in wanted:
        waves.workers.setdefault(name, WorkerFacts())


def _prune_closed_plans(state: "EntryState") -> None:
    """Drop the progress of plans that are no longer active, to bound memory use."""
    waves = state.waves
    active = state.config.active_plans
    for progress in (waves.changed_revision, waves.in_force_at_ms):
        for key in [k for k in progress if k[0] not in active]:
            del progress[key]
    for call in [k for k in waves.last_call_ms if k[1] not in waves.workers]:
        del waves.last_call_ms[call]


def _send_due_calls(
    state: "EntryState", view: RunnerView, at_ms: int
) -> Iterator[Effect]:
    waves = state.waves
    earned = (at_ms - waves.refilled_ms) * _PROBES_PER_S / 1000
    waves.probe_tokens = min(waves.probe_tokens + earned, _PROBE_BURST)
    waves.refilled_ms = at_ms
    yield from _send_due_reboots(state, view, at_ms)
    steps = sorted(
        view.steps_to_probe(),
        key=lambda s: (waves.last_call_ms.get(("probe", s.target), -1), s.target),
    )
    for step in steps:
        is_reboot = step.kind is StepKind.REBOOT
        interval_ms = _BOOT_PROBE_INTERVAL_MS if is_reboot else STATUS_INTERVAL_MS
        if waves.probe_tokens >= 1 and _is_due(
            waves, ("probe", step.target), interval_ms, at_ms
        ):
            waves.probe_tokens -= 1
            instance = state.config.instances[step.target]
            yield ProbeWorker(instance.name, instance.address)


def _send_due_reboots(
    state: "EntryState", view: RunnerView, at_ms: int
) -> Iterator[Effect]:
    waves = state.waves
    for plan_id, step in view.running_on_instances():
        if step.kind is StepKind.REBOOT and _is_due(
            waves, ("reboot", step.target), REBOOT_REPEAT_MS, at_ms
        ):
            # Delays the probe, since the server may still report its old boot.
            waves.last_call_ms["probe", step.target] = at_ms
            yield RebootInstance(
                step.target, _step_id(plan_id, step), waves.role.expires_ms
            )


def _step_id(plan_id: str, step: Step) -> str:
    return f"{plan_id}/{step.index}"


def _is_due(
    waves: WaveState, key: tuple[str, str], interval_ms: int, at_ms: int
) -> bool:
    last = waves.last_call_ms.get(key)
    if last is not None and at_ms < last + interval_ms:
        return False
    waves.last_call_ms[key] = at_ms
    return True
