"""Event handlers of the maintenance runner."""

from collections.abc import Iterable

from apricotgap.core import runner_role, waves
from apricotgap.core.effects import Effect
from apricotgap.core.events import (
    CasFinished,
    Event,
    LeaseGranted,
    LeaseLost,
    LeaseRenewed,
    StoreCallFailed,
    StoreReadFinished,
    Tick,
    WorkerReported,
)
from apricotgap.core.reducer import Handler
from apricotgap.core.state import EntryState

__all__: list[str] = []


class RunPlans(Handler):
    """Advances plans at each tick, after the other modules have handled it."""

    handles = (Tick,)
    order = 80

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Advance the plans."""
        return waves.tick(state, event.at_ms)


class RecordWorkerReport(Handler):
    """Records reports of instances that steps wait for."""

    handles = (WorkerReported,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Record the report."""
        assert isinstance(event, WorkerReported)
        waves.record_report(state, event)
        return ()


class RunnerStoreAnswers(Handler):
    """Passes responses of the store to the runner role, which ignores other calls."""

    handles = (
        CasFinished,
        LeaseGranted,
        LeaseRenewed,
        LeaseLost,
        StoreCallFailed,
        StoreReadFinished,
    )

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Pass the response on."""
        at_ms = event.at_ms
        match event:
            case CasFinished():
                return runner_role.cas_finished(
                    state, event.call_id, event.result, event.revision, at_ms
                )
            case LeaseGranted():
                return runner_role.lease_granted(state, event)
            case LeaseLost():
                return runner_role.lease_lost(state, event.lease_id, at_ms)
            case StoreCallFailed():
                return runner_role.call_failed(state, event.call_id, at_ms)
            case StoreReadFinished():
                return runner_role.read_finished(
                    state, event.call_id, event.items, at_ms
                )
            case LeaseRenewed():
                runner_role.lease_kept(
                    state, event.lease_id, event.ttl_ms, event.sent_ms
                )
        return ()
