"""Effects for operators."""

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
        Result that can be encoded as JSON.
    error_kind : str
        `kind` of an `ApricotgapError` subclass, empty on success.
    message : str
        Description of the error.
    remedy : str
        How the operator can correct the error.
    """

    call_id: str
    result: dict[str, Any] = field(default_factory=dict)
    error_kind: str = ""
    message: str = ""
    remedy: str = ""
