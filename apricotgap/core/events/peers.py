"""Events from other entry instances."""

from dataclasses import dataclass

from apricotgap.core.events.base import Event
from apricotgap.model.peers import PeerMessage

__all__ = ["PeerConnected", "PeerDisconnected", "PeerReceived"]


@dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """An authenticated connection to a peer was established.

    Parameters
    ----------
    peer : str
        Entry name of the peer.
    data_centre : str
        Its data centre.
    incarnation : str
        Its incarnation.
    """

    peer: str
    data_centre: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class PeerDisconnected(Event):
    """The connection to a peer broke or timed out."""

    peer: str


@dataclass(frozen=True, slots=True)
class PeerReceived(Event):
    """A valid message from a peer arrived."""

    peer: str
    message: PeerMessage
