"""CBOR decoding that reports malformed input as `ValueError`."""

from typing import Any

import cbor2

__all__ = ["decode_cbor"]


def decode_cbor(data: bytes) -> Any:
    """Decode one CBOR document.

    Raises
    ------
    ValueError
        The data is not valid CBOR. Some decoding errors of cbor2 are not subclasses
        of `ValueError`, so they are converted.
    """
    try:
        return cbor2.loads(data)
    except cbor2.CBORDecodeError as error:
        raise ValueError(f"malformed CBOR: {error}") from error
