"""Decoding of CBOR documents with one kind of error."""

from typing import Any

import cbor2

__all__ = ["decode_cbor"]


def decode_cbor(data: bytes) -> Any:
    """Decode one document.

    Raises
    ------
    ValueError
        The bytes are no CBOR document; not all errors of the library are one.
    """
    try:
        return cbor2.loads(data)
    except cbor2.CBORDecodeError as error:
        raise ValueError(f"malformed CBOR: {error}") from error
