"""CBOR encoding of peer messages and the MAC of the connection handshake."""

import hmac
import re
from typing import Any, get_args

import cbor2
import msgspec

from apricotgap.core.state import Identity
from apricotgap.decoding import DecodeError, decode_cbor
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
    """Identity of the sender, authenticated with the shared secret.

    `nonce` is the challenge of the dialling side; the accepting side echoes it.
    """

    entry: str
    incarnation: str
    data_centre: str
    nonce: bytes
    mac: bytes


class Refused(msgspec.Struct, frozen=True):
    """The accepting side rejects the connection."""

    reason: str


Message = PeerMessage | Challenge | Hello | Refused


def _type_name(cls: type) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


_BY_NAME: dict[str, type] = {
    _type_name(cls): cls for cls in (*get_args(PeerMessage), Challenge, Hello, Refused)
}


def encode(message: Message) -> bytes:
    """Encode a message."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    document = {"v": PROTOCOL_VERSION, "type": _type_name(type(message)), **fields}
    return cbor2.dumps(document)


def decode(blob: bytes) -> Any:
    """Decode a message.

    Raises
    ------
    MalformedMessage
        If the bytes are not a valid message.
    UnknownVersion, UnknownType
        If the protocol version or the message type is unknown.
    """
    try:
        document = decode_cbor(blob)
    except DecodeError as error:
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
    """Return the HMAC with which one side of a handshake proves the shared secret.

    The role prevents a reflection attack, which returns a MAC to the side that sent
    it.
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
