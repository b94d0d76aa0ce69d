"""Events from callers and for request bodies."""

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
    """A complete request of a caller arrived."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestCancelled(Event):
    """A caller requests a cancellation with a key of the submitting team."""

    call_id: str
    request_id: str
    key_digest: str | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """The connection of the caller broke before the response was sent."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TicketRequested(Event):
    """A caller requests a ticket."""

    call_id: str
    key_digest: str | None = None


@dataclass(frozen=True, slots=True)
class OutcomeQueried(Event):
    """A caller queries the outcome of an earlier request."""

    call_id: str
    request_id: str
    key_digest: str | None = None


@dataclass(frozen=True, slots=True)
class ForwardedRequestArrived(Event):
    """A peer forwarded a request; reported instead of `PeerReceived`.

    The driver chose `request_id`, buffers the body under it and left
    `message.body` empty. `n_body_bytes` is the size of the body.
    """

    peer: str
    message: TicketForward
    request_id: str
    n_body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class BodyFetched(Event):
    """Answer to `FetchBody`; `n_body_bytes` is None if the body is missing."""

    call_id: str
    n_body_bytes: int | None = None
