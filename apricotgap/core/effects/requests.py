"""Effects towards callers."""

from dataclasses import dataclass

from apricotgap.core.effects.base import Effect
from apricotgap.model import Outcome

__all__ = ["AnswerCaller", "AnswerQuery", "AnswerTicket"]


@dataclass(frozen=True, slots=True)
class AnswerCaller(Effect):
    """Ends a request with its outcome.

    For `Completed` the driver sends the body that it holds for `task_id`, or the
    stored body of `source_request_id` when an earlier submission has the answer.
    """

    request_id: str
    outcome: Outcome
    task_id: str | None = None
    source_request_id: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerTicket(Effect):
    """Answers `TicketRequested`; `ticket` is None on refusal."""

    call_id: str
    ticket: str | None
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class AnswerQuery(Effect):
    """Answers `OutcomeQueried` or `RequestCancelled`.

    `state` is ``waiting``, ``running``, ``done``, ``cancelled`` or ``not_found``;
    `outcome` is set when it is ``done``.
    """

    call_id: str
    state: str
    outcome: Outcome | None = None
