"""Decoding of bytes that other programs wrote.

Each document goes through one of these functions, so that an odd one is an error of
that document alone: its reader reports it and goes on with the others.
"""

from typing import Any, TypeVar

import cbor2
import msgspec

__all__ = ["DecodeError", "decode_cbor", "decode_json"]

_T = TypeVar("_T")

# Messages of decoders may repeat the input.
_MAX_REASON_CHARS = 200
# Deep nesting raises RecursionError, a number that no float holds OverflowError.
_FAILURES = (
    ValueError,
    RecursionError,
    OverflowError,
    msgspec.MsgspecError,
    cbor2.CBORError,
)


class DecodeError(ValueError):
    """Bytes are not a valid document."""


def decode_json(data: bytes, shape: "type[_T] | msgspec.json.Decoder[_T]") -> _T:
    """Decode a JSON document.

    Parameters
    ----------
    data : bytes
        The document.
    shape : type or msgspec.json.Decoder
        Expected type, or a decoder for it where many documents are decoded.

    Raises
    ------
    DecodeError
        The document is malformed, nested too deeply or of another type.
    """
    try:
        if isinstance(shape, msgspec.json.Decoder):
            return shape.decode(data)
        return msgspec.json.decode(data, type=shape)
    except _FAILURES as error:
        raise DecodeError(f"malformed JSON: {error}"[:_MAX_REASON_CHARS]) from error


def decode_cbor(data: bytes) -> Any:
    """Decode a CBOR document.

    Raises
    ------
    DecodeError
        The document is malformed or nested too deeply.
    """
    try:
        return cbor2.loads(data)
    except _FAILURES as error:
        raise DecodeError(f"malformed CBOR: {error}"[:_MAX_REASON_CHARS]) from error
