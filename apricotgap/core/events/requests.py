"""Events from callers."""

from dataclasses import dataclass

from apricotgap.core.events.base import Event
from apricotgap.model import Request
from apricotgap.model.peers import TicketForward

__all__ = [
    "BodyFetched",
    "CallerDisconnected",
    "ForwardedRequestArrived",
    "OutcomeQueried",
    "RequestArrived",
    "RequestCancelled",
    "TicketRequested",
]


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller sent a whole request."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestCancelled(Event):
    """A caller asks to cancel; `key_digest` must be of the team that submitted."""

    call_id: str
    request_id: str
    key_digest: str | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """The connection of the caller broke before the answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TicketRequested(Event):
    """A caller asks for a ticket."""

    call_id: str
    key_digest: str | None = None


@dataclass(frozen=True, slots=True)
class OutcomeQueried(Event):
    """A caller asks for the outcome of an earlier request."""

    call_id: str
    request_id: str
    key_digest: str | None = None


@dataclass(frozen=True, slots=True)
class ForwardedRequestArrived(Event):
    """A peer sent a request; sent instead of `PeerReceived`.

    The driver chose `request_id`, holds the body under it and left
    `message.body` empty. `n_body_bytes` is the size of the body.
    """

    peer: str
    message: TicketForward
    request_id: str
    n_body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class BodyFetched(Event):
    """Answer to `FetchBody`; `n_body_bytes` is None when the body is not there."""

    call_id: str
    n_body_bytes: int | None = None
