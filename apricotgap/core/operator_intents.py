"""Actions on intents and their plans, and the status report."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec

from apricotgap.core import config_view, config_writer, plan_results, planner
from apricotgap.core.budgets import Grants
from apricotgap.core.effects import (
    AnswerOperator,
    Effect,
    GrantLease,
    StoreCas,
    StoreGet,
    StoreList,
)
from apricotgap.core.events import CasResult, KeyValue
from apricotgap.core.fleet_facts import unplanned_unavailable
from apricotgap.core.limits import PLAN_RETENTION_MS
from apricotgap.core.operators import Action, EditChange, PlanCall, answer_error
from apricotgap.core.plan_cancel import cancel_plan
from apricotgap.decoding import DecodeError, decode_json
from apricotgap.errors import (
    ApricotgapError,
    ConflictError,
    NotFoundError,
    UnavailableError,
)
from apricotgap.model import Configuration, Intent, Plan, PlanState

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "CALL_PREFIX",
    "PLANS_PREFIX",
    "cas_finished",
    "confirm_plan",
    "lease_granted",
    "read_finished",
    "store_failed",
]

PLANS_PREFIX = "plans/"
CALL_PREFIX = "operators/"

Values = Mapping[str, Any]


def _begin_store_call(state: "EntryState", pending: PlanCall, stage: str) -> str:
    store_call = f"{CALL_PREFIX}{stage}/{pending.call_id}"
    state.operators.plan_calls[store_call] = pending
    return store_call


def confirm_plan(config: Configuration, plan: Plan) -> Configuration:
    """Add a proposed plan to the active plans.

    Raises
    ------
    ConflictError
        If the configuration changed since the plan was made.
    """
    if plan.plan_id in config.active_plans:
        raise ConflictError(
            f"plan {plan.plan_id} is active already",
            f"follow it with intent show {plan.plan_id}",
        )
    if config.revision != plan.base_revision:
        raise ConflictError(
            f"plan {plan.plan_id} was made from revision {plan.base_revision}, "
            f"but the configuration is at revision {config.revision}",
            "plan again",
        )
    active = {
        **config.active_plans,
        plan.plan_id: replace(plan, state=PlanState.CONFIRMED),
    }
    return replace(config, active_plans=active)


def _plan_not_found(plan_id: str) -> ApricotgapError:
    return NotFoundError(
        f"there is no plan {plan_id!r}", "check the identifier with intent list"
    )


class PlanIntent(Action):
    """Plans an intent and stores the plan for confirmation at any entry instance."""

    name = "intent.plan"
    arguments = ("kind", "target", "options")
    changes = True

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Plan, then store under a lease, which limits how long plans are kept."""
        arguments = self.read(values)
        intent = Intent(
            arguments.text("kind").replace("-", "_"),
            arguments.text("target"),
            arguments.mapping("options"),
        )
        unavailable = unplanned_unavailable(state, Grants(), at_ms)
        plan_id = f"{state.rng.getrandbits(48):012x}"
        plan = planner.make_plan(state.config, intent, unavailable, plan_id)
        store_call = _begin_store_call(
            state, PlanCall(call_id, "plan", plan, plan_id), "lease"
        )
        return (GrantLease(store_call, PLAN_RETENTION_MS),)


class _ReadPlan(Action):
    arguments = ("id",)

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Use the active plan, or read the proposed one from the store."""
        plan_id = self.read(values).name("id")
        purpose = self.name.removeprefix("intent.")
        active = state.config.active_plans.get(plan_id)
        if active is not None and purpose == "show":
            return (AnswerOperator(call_id, _plan_report(state, active, at_ms)),)
        pending = PlanCall(call_id, purpose, plan_id=plan_id)
        if purpose == "show":
            store_call = _begin_store_call(
                state, replace(pending, purpose="result"), "result"
            )
            return (StoreGet(store_call, plan_results.RESULTS_PREFIX + plan_id),)
        store_call = _begin_store_call(state, pending, "read")
        return (StoreGet(store_call, PLANS_PREFIX + plan_id),)


class ConfirmIntent(_ReadPlan):
    """Makes a stored plan active."""

    name = "intent.confirm"
    changes = True


class ShowIntent(_ReadPlan):
    """Shows a plan with the progress of its steps."""

    name = "intent.show"


class CancelIntent(Action):
    """Cancels an active plan."""

    name = "intent.cancel"
    arguments = ("id",)
    changes = True
    takes_revision = True

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Skip all steps except running ones that cannot be undone."""
        arguments = self.read(values)
        plan_id = arguments.name("id")

        def edit(config: Configuration) -> Configuration:
            if plan_id not in config.active_plans:
                raise _plan_not_found(plan_id)
            return cancel_plan(config, plan_id)

        change = EditChange(call_id, edit, arguments.revision(), {"plan": plan_id})
        return config_writer.propose(state, change, at_ms)


class ListIntents(Action):
    """Lists active and proposed plans."""

    name = "intent.list"

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Read the proposed plans."""
        self.read(values)
        store_call = _begin_store_call(state, PlanCall(call_id, "list"), "list")
        return (StoreList(store_call, PLANS_PREFIX),)


class Status(Action):
    """Reports the configuration view, the fleet and the plans."""

    name = "status"

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Summarise the state of this entry instance."""
        self.read(values)
        config = state.config
        plans = [_summary(p) for _, p in sorted(config.active_plans.items())]
        states = Counter(i.state.value for i in config.instances.values())
        result = {
            "entry": state.identity.entry,
            "data_centre": state.identity.data_centre,
            "revision": config.revision,
            "view": str(config_view.view_case(state, at_ms)),
            "in_force": config_view.in_force_report(state, at_ms),
            "data_centres": {
                name: data_centre.state.value
                for name, data_centre in sorted(config.data_centres.items())
            },
            "n_instances_by_state": dict(sorted(states.items())),
            "unavailable": sorted(unplanned_unavailable(state, Grants(), at_ms)),
            "plans": plans,
        }
        return (AnswerOperator(call_id, result),)


def _summary(plan: Plan) -> dict[str, Any]:
    n_finished = sum(s.finished for s in plan.steps)
    return {
        "id": plan.plan_id,
        "kind": plan.intent.kind,
        "target": plan.intent.target,
        "state": plan.state.value,
        "progress": f"{n_finished}/{len(plan.steps)}",
        "paused": plan.paused_reason,
    }


def _plan_report(state: "EntryState", plan: Plan, at_ms: int) -> dict[str, Any]:
    result: dict[str, Any] = msgspec.to_builtins(plan)
    result["summary"] = _summary(plan)
    result["in_force"] = config_view.in_force_report(state, at_ms)
    return result


def lease_granted(
    state: "EntryState", store_call: str, lease_id: int
) -> Iterator[Effect]:
    """Store the plan under its lease."""
    pending = state.operators.plan_calls.pop(store_call, None)
    if pending is None or pending.plan is None:
        return
    value = msgspec.json.encode(pending.plan)
    key = PLANS_PREFIX + pending.plan_id
    yield StoreCas(_begin_store_call(state, pending, "save"), key, 0, value, lease_id)


def cas_finished(
    state: "EntryState", store_call: str, result: CasResult, at_ms: int
) -> Iterator[Effect]:
    """Answer with the stored plan; read it back if the result is unknown."""
    pending = state.operators.plan_calls.pop(store_call, None)
    if pending is None or pending.plan is None:
        return
    if result is CasResult.STORED:
        yield AnswerOperator(pending.call_id, _plan_report(state, pending.plan, at_ms))
    elif result is CasResult.UNKNOWN:
        key = PLANS_PREFIX + pending.plan_id
        yield StoreGet(_begin_store_call(state, pending, "reread"), key)
    else:
        error = ConflictError(f"plan {pending.plan_id} exists already", "plan again")
        yield answer_error(pending.call_id, error)


def store_failed(state: "EntryState", store_call: str) -> Iterator[Effect]:
    """Answer that the store cannot be reached."""
    pending = state.operators.plan_calls.pop(store_call, None)
    if pending is not None:
        error = UnavailableError(
            "the store did not respond", "repeat the command in a few seconds"
        )
        yield answer_error(pending.call_id, error)


def read_finished(
    state: "EntryState", store_call: str, items: Iterable[KeyValue], at_ms: int
) -> Iterator[Effect]:
    """Continue the call with the plans that were read."""
    pending = state.operators.plan_calls.pop(store_call, None)
    if pending is None:
        return
    try:
        stored = [_decode(item) for item in items if item.value]
        yield from _continue_call(state, pending, stored, at_ms)
    except ApricotgapError as error:
        yield answer_error(pending.call_id, error)


def _decode(item: KeyValue) -> Plan:
    try:
        return decode_json(item.value, Plan)
    except DecodeError as error:
        raise ConflictError(
            f"the document {item.key} is malformed: {error}", "plan again"
        ) from error


def _continue_call(
    state: "EntryState", pending: PlanCall, stored: list[Plan], at_ms: int
) -> Iterable[Effect]:
    if pending.purpose == "list":
        active = state.config.active_plans
        open_plans = [
            p
            for p in stored
            if p.plan_id not in active and p.base_revision == state.config.revision
        ]
        plans = [_summary(p) for p in (*active.values(), *open_plans)]
        return (AnswerOperator(pending.call_id, {"items": plans}),)
    if not stored and pending.purpose == "result":
        again = replace(pending, purpose="show")
        key = PLANS_PREFIX + pending.plan_id
        return (StoreGet(_begin_store_call(state, again, "read"), key),)
    if not stored and pending.purpose == "plan":
        raise UnavailableError("the plan was not stored", "plan again")
    if not stored:
        raise _plan_not_found(pending.plan_id)
    plan = stored[0]
    if pending.purpose == "confirm":
        change = EditChange(
            pending.call_id,
            lambda config: confirm_plan(config, plan),
            result={"plan": plan.plan_id},
        )
        return config_writer.propose(state, change, at_ms)
    result = _plan_report(state, plan, at_ms)
    if pending.purpose == "show" and plan.base_revision != state.config.revision:
        # Without a stored result it is unknown whether the plan ran or became outdated.
        result["state"] = result["summary"]["state"] = "closed"
    return (AnswerOperator(pending.call_id, result),)
