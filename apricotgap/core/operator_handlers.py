"""Event handlers of operator calls."""

from collections.abc import Iterable

from apricotgap.core import operator_intents, operator_objects, operators
from apricotgap.core.effects import Effect
from apricotgap.core.events import (
    CasFinished,
    Event,
    LeaseGranted,
    OperatorCalled,
    StoreCallFailed,
    StoreReadFinished,
    Tick,
)
from apricotgap.core.reducer import Handler
from apricotgap.core.state import EntryState

# The import of these modules registers their actions.
ACTION_MODULES = (operator_intents, operator_objects)

__all__ = ["ACTION_MODULES"]


class RunOperatorCall(Handler):
    """Runs the action of an operator call."""

    handles = (OperatorCalled,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Run the action."""
        assert isinstance(event, OperatorCalled)
        return operators.call(
            state, event.call_id, event.action, event.arguments, event.at_ms
        )


class AnswerWhenInForce(Handler):
    """Answers calls that wait until their change is in force."""

    handles = (Tick,)
    order = 85

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Answer the calls that are due."""
        return operators.answer_pending(state, event.at_ms)


class IntentStoreAnswers(Handler):
    """Passes responses of the store to the intent actions."""

    handles = (CasFinished, LeaseGranted, StoreCallFailed, StoreReadFinished)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Pass the response on; the actions ignore calls that are not theirs."""
        match event:
            case CasFinished():
                return operator_intents.cas_finished(
                    state, event.call_id, event.result, event.at_ms
                )
            case LeaseGranted():
                return operator_intents.lease_granted(
                    state, event.call_id, event.lease_id
                )
            case StoreCallFailed():
                return operator_intents.store_failed(state, event.call_id)
            case StoreReadFinished():
                return operator_intents.read_finished(
                    state, event.call_id, event.items, event.at_ms
                )
        return ()
