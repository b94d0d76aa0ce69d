"""Effects towards operators."""

from dataclasses import dataclass, field
from typing import Any

from apricotgap.core.effects.base import Effect

__all__ = ["AnswerOperator"]


@dataclass(frozen=True, slots=True)
class AnswerOperator(Effect):
    """Answers `OperatorCalled`.

    Parameters
    ----------
    call_id : str
        The call.
    result : dict of str to object
        JSON-shaped result.
    error_kind : str
        `kind` of an `ApricotgapError` subclass, empty on success.
    message : str
        What is wrong.
    remedy : str
        What the operator can do.
    """

    call_id: str
    result: dict[str, Any] = field(default_factory=dict)
    error_kind: str = ""
    message: str = ""
    remedy: str = ""
