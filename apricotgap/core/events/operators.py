"""Events from operators."""

from dataclasses import dataclass
from typing import Any

from apricotgap.core.events.base import Event

__all__ = ["OperatorCalled"]


@dataclass(frozen=True, slots=True)
class OperatorCalled(Event):
    """An authorised operator call.

    Parameters
    ----------
    call_id : str
        Identifies the call; its answer is an `AnswerOperator` effect.
    action : str
        Registered action, for example ``pool.put`` or ``intent.confirm``.
    arguments : dict of str to object
        Arguments as decoded from JSON, validated by the action.
    """

    call_id: str
    action: str
    arguments: dict[str, Any]
