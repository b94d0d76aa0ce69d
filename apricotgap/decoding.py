"""Decoding of bytes that other programs wrote.

Each document goes through one of these functions, so that an odd one is an error of
that document alone: its reader reports it and goes on with the others.
"""

from collections import Counter
from typing import Annotated, Any, NoReturn, TypeVar

import cbor2
import msgspec

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "MAX_INTEGER",
    "Count",
    "DecodeError",
    "Integer",
    "Number",
    "convert",
    "decode_cbor",
    "decode_json",
    "refused_documents",
]

_T = TypeVar("_T")

# More than a page of the store, the largest document that is read.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# Of lists and maps in each other. What works on a decoded document may recurse.
MAX_DEPTH = 64
# Largest integer on which JSON implementations agree. JSON itself has no limit, and
# calculations with much larger numbers overflow.
MAX_INTEGER = 2**53 - 1

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Neither infinite nor NaN, and small enough that a product of two is finite.
Number = Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]

# Messages of decoders may repeat the input.
_MAX_REASON_CHARS = 200
# Deep nesting raises RecursionError, a number that no float holds OverflowError, a map
# in place of a key TypeError, and a length that is not there MemoryError.
_FAILURES = (
    ValueError,
    TypeError,
    ArithmeticError,
    RecursionError,
    MemoryError,
    msgspec.MsgspecError,
    cbor2.CBORError,
)
# Tags that the library decodes to types of its own choice. Among them are lists that
# contain themselves, numbers too long to be printed and regular expressions.
_TAGS = (
    *(0, 1, 2, 3, 4, 5, 25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258),
    *(260, 261, 1004, 43000, 55799),
)


_n_refused: Counter[str] = Counter()


class DecodeError(ValueError):
    """Bytes are not a valid document."""


def refused_documents() -> dict[str, int]:
    """Return how many documents this process has refused, by their format."""
    return dict(_n_refused)


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
        The document is malformed, too large, nested too deeply or of another type.
    """
    _check_size("JSON", data)
    try:
        if isinstance(shape, msgspec.json.Decoder):
            return shape.decode(data)
        value = msgspec.json.decode(data, type=shape)
    except _FAILURES as error:
        raise _failure("JSON", error) from error
    if shape is Any:
        _check_depth(value)
    return value


def decode_cbor(data: bytes, shape: Any = Any) -> Any:
    """Decode a CBOR document of plain types: none has a tag, keys are text or bytes.

    Parameters
    ----------
    data : bytes
        The document.
    shape : type, optional
        Expected type.

    Raises
    ------
    DecodeError
        The document is malformed, too large, nested too deeply or of another type.
    """
    _check_size("CBOR", data)
    try:
        value = cbor2.loads(
            data,
            tag_hook=_refuse_tag,
            semantic_decoders=_TAG_DECODERS,
            max_depth=MAX_DEPTH,
            strict_hashable_types=True,
        )
    except _FAILURES as error:
        raise _failure("CBOR", error) from error
    return value if shape is Any else convert(value, shape)


def convert(value: Any, shape: Any) -> Any:
    """Return a decoded value as one of a type, with what it contains.

    Raises
    ------
    DecodeError
        The value is not of that type.
    """
    try:
        return msgspec.convert(value, shape, builtin_types=(bytes,))
    except _FAILURES as error:
        raise _failure("value", error) from error


def _refuse_tag(*_args: Any) -> NoReturn:
    raise ValueError("a document must not have tags")


_TAG_DECODERS = dict.fromkeys(_TAGS, _refuse_tag)


def _check_size(what: str, data: bytes) -> None:
    if len(data) > MAX_DOCUMENT_BYTES:
        raise _failure(what, f"{len(data)} bytes, more than {MAX_DOCUMENT_BYTES}")


def _check_depth(value: Any) -> None:
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [
            inner
            for each in level
            if isinstance(each, dict | list)
            for inner in (each.values() if isinstance(each, dict) else each)
        ]
        if not level:
            return
    raise _failure("JSON", f"more than {MAX_DEPTH} levels")


def _failure(what: str, error: object) -> DecodeError:
    _n_refused[what] += 1
    return DecodeError(f"malformed {what}: {error}"[:_MAX_REASON_CHARS])
