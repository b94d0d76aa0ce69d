"""Effects for callers and for bodies of requests and responses."""

from dataclasses import dataclass

from apricotgap.core.effects.base import Effect
from apricotgap.model import Outcome
from apricotgap.model.peers import ClaimAnswer, TicketAnswer, TicketForward

__all__ = [
    "AnswerCaller",
    "AnswerQuery",
    "AnswerTicket",
    "FetchBody",
    "ForwardRequest",
    "ReleaseBodies",
    "SendAnswerWithBody",
    "StoreBody",
]


@dataclass(frozen=True, slots=True)
class AnswerCaller(Effect):
    """Ends a request with its outcome.

    For `Completed` the driver sends the body that it buffers for `task_id`, or the
    response body of `source_request_id` if an earlier submission has the response.
    The response body stays buffered under `request_id` until `ReleaseBodies`; the
    request body is no longer needed. Both also apply if the caller has disconnected.
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


@dataclass(frozen=True, slots=True)
class ForwardRequest(Effect):
    """Sends a request to a peer with the body buffered for `request_id`.

    The driver fills in `message.body`. It buffers the body of the `TicketAnswer`
    under the same request id, as the response body.
    """

    peer: str
    message: TicketForward
    request_id: str


@dataclass(frozen=True, slots=True)
class SendAnswerWithBody(Effect):
    """Sends an outcome to a peer with the response body buffered for `request_id`.

    The driver fills in `message.body`. If `task_id` is set, the body that it buffers
    for the task first becomes the response body of `request_id`.
    """

    peer: str
    message: ClaimAnswer | TicketAnswer
    request_id: str
    task_id: str | None = None


@dataclass(frozen=True, slots=True)
class StoreBody(Effect):
    """Writes the response body buffered for `request_id` to an absent store key.

    Answered by `CasFinished`.
    """

    call_id: str
    key: str
    request_id: str
    lease_id: int


@dataclass(frozen=True, slots=True)
class FetchBody(Effect):
    """Reads a key and buffers its value as the response body of `request_id`.

    Answered by `BodyFetched`.
    """

    call_id: str
    key: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ReleaseBodies(Effect):
    """Frees the bodies of a request once pending sends have finished.

    Bodies stay buffered under a request id until this effect.
    """

    request_id: str
