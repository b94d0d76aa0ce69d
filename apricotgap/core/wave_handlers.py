"""Events that the maintenance runner reacts to."""

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
    """Advances plans as time passes, after the other modules saw the tick."""

    handles = (Tick,)
    order = 80

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Advance."""
        return waves.tick(state, event.at_ms)


class NoteWorkerReport(Handler):
    """Notes reports of instances that steps wait for."""

    handles = (WorkerReported,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Note the report."""
        assert isinstance(event, WorkerReported)
        waves.note_report(state, event)
        return ()


class TakeStoreAnswer(Handler):
    """Passes answers of the store to the runner role, which ignores foreign calls."""

    handles = (
        CasFinished,
        LeaseGranted,
        LeaseRenewed,
        LeaseLost,
        StoreCallFailed,
        StoreReadFinished,
    )

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Pass the answer on."""
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
