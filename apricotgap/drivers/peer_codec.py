"""Messages between entry instances as CBOR, and the proof of the shared secret."""

import hmac
import re
from typing import Any, get_args

import cbor2
import msgspec

from apricotgap.core.state import Identity
from apricotgap.model.peers import PROTOCOL_VERSION, PeerMessage

__all__ = [
    "Challenge",
    "Hello",
    "MalformedMessage",
    "Refused",
    "UnknownType",
    "UnknownVersion",
    "decode",
    "encode",
    "handshake_mac",
]


class MalformedMessage(Exception):
    """Bytes that are not a message of the protocol."""


class UnknownType(Exception):
    """A message of a type that this version does not know."""


class UnknownVersion(Exception):
    """A message of another version of the protocol."""


class Challenge(msgspec.Struct, frozen=True):
    """First message of the accepting side."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True):
    """Who the sender is, with a proof that it knows the secret.

    `nonce` is the dialling side's own challenge; the accepting side repeats it.
    """

    entry: str
    incarnation: str
    data_centre: str
    nonce: bytes
    mac: bytes


class Refused(msgspec.Struct, frozen=True):
    """The accepting side does not keep the connection."""

    reason: str


Message = PeerMessage | Challenge | Hello | Refused


def _type_name(cls: type) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


_BY_NAME: dict[str, type] = {
    _type_name(cls): cls for cls in (*get_args(PeerMessage), Challenge, Hello, Refused)
}


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    document = {"v": PROTOCOL_VERSION, "type": _type_name(type(message)), **fields}
    return cbor2.dumps(document)


def decode(blob: bytes) -> Any:
    """Return the message in the bytes.

    Raises
    ------
    MalformedMessage
        If the bytes are not a valid message.
    UnknownVersion, UnknownType
        If they are one of another version or an unknown type.
    """
    try:
        document = cbor2.loads(blob)
    except (cbor2.CBORError, ValueError, RecursionError) as error:
        raise MalformedMessage(f"malformed CBOR: {error}") from error
    if not isinstance(document, dict):
        raise MalformedMessage("a message must be a map")
    version = document.pop("v", None)
    if version != PROTOCOL_VERSION or isinstance(version, bool):
        raise UnknownVersion(f"version {version!r}"[:100])
    name = document.pop("type", None)
    cls = _BY_NAME.get(name) if isinstance(name, str) else None
    if cls is None:
        raise UnknownType(f"type {name!r}"[:100])
    try:
        return msgspec.convert(document, cls, builtin_types=(bytes,))
    except (msgspec.ValidationError, TypeError, ValueError, RecursionError) as error:
        raise MalformedMessage(f"malformed {name}: {error}") from error


def handshake_mac(
    secret: bytes, role: str, identity: Identity | Hello, nonces: tuple[bytes, bytes]
) -> bytes:
    """Return the HMAC that proves the secret for one side of one handshake.

    The role keeps a proof from being sent back to the side that made it.
    """
    content = cbor2.dumps(
        [
            PROTOCOL_VERSION,
            role,
            identity.entry,
            identity.incarnation,
            identity.data_centre,
            *nonces,
        ]
    )
    return hmac.digest(secret, content, "sha256")
