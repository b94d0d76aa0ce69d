"""Stores the results of finished plans for operators."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, ClassVar

import msgspec

from apricotgap.core.effects import Effect, GrantLease, StoreCas
from apricotgap.core.events import CasFinished, Event, LeaseGranted, StoreCallFailed
from apricotgap.core.limits import PLAN_RETENTION_MS
from apricotgap.core.reducer import Handler
from apricotgap.model import Plan

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["RESULTS_PREFIX", "SavePlanResult", "record"]

RESULTS_PREFIX = "plan-results/"
_CALL_PREFIX = "plan-results/"


def record(state: "EntryState", plan: Plan) -> Effect:
    """Return the effect that starts storing a finished plan under a lease.

    The lease limits how long the result is kept. A result that cannot be stored is
    dropped; the plan is then shown as closed.
    """
    call_id = f"{_CALL_PREFIX}{plan.plan_id}"
    state.waves.results[call_id] = plan
    return GrantLease(call_id, PLAN_RETENTION_MS)


class SavePlanResult(Handler):
    """Writes the finished plan once its lease is granted."""

    handles: ClassVar = (LeaseGranted, CasFinished, StoreCallFailed)

    def apply(self, state: "EntryState", event: Event) -> Iterable[Effect]:
        """Write the plan, or drop it when the call has ended."""
        assert isinstance(event, LeaseGranted | CasFinished | StoreCallFailed)
        plan = state.waves.results.get(event.call_id)
        if plan is None:
            return
        if not isinstance(event, LeaseGranted):
            del state.waves.results[event.call_id]
            return
        key = RESULTS_PREFIX + plan.plan_id
        value = msgspec.json.encode(plan)
        yield StoreCas(event.call_id, key, 0, value, event.lease_id)
