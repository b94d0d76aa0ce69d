"""Effects for other entry instances."""

from dataclasses import dataclass

from apricotgap.core.effects.base import Effect
from apricotgap.model.peers import PeerMessage

__all__ = ["ConnectPeers", "SendPeer"]


@dataclass(frozen=True, slots=True)
class SendPeer(Effect):
    """Sends a message to a peer; it is dropped if the peer is not connected."""

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ConnectPeers(Effect):
    """Sets the peers to which the driver keeps connections.

    `addresses` maps an entry name to ``host:port``.
    """

    addresses: dict[str, str]
