"""Check of a decoded value against the type that its decoder declares."""

import dataclasses
import types
from enum import Enum
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import msgspec

from apricotgap.decoding import MAX_INTEGER


def find_mistyped(value: Any, kind: Any, path: str = "value") -> str:
    """Return where a value differs from a type, empty if nowhere."""
    if kind is Any:
        return ""
    origin, args = get_origin(kind), get_args(kind)
    if origin is Annotated:
        return find_mistyped(value, args[0], path)
    if origin in (Union, types.UnionType):
        found = [find_mistyped(value, each, path) for each in args]
        return "" if "" in found else found[0]
    if origin is not None:
        return _find_in_container(value, origin, args, path)
    if kind is float:
        is_bounded = type(value) in (int, float) and abs(value) <= MAX_INTEGER
        return "" if is_bounded else f"{path}: {value!r} is out of range"
    if kind is None or kind is type(None):
        return "" if value is None else f"{path}: not None"
    is_plain = kind in (int, str, bytes, bool)
    if type(value) is not kind if is_plain else not isinstance(value, kind):
        return f"{path}: {type(value).__name__}, expected {kind.__name__}"
    if isinstance(value, Enum) or is_plain:
        return ""
    return _find_in_fields(value, path)


def _find_in_container(value: Any, origin: Any, args: tuple, path: str) -> str:
    if not isinstance(value, origin):
        return f"{path}: {type(value).__name__}, expected {origin.__name__}"
    if origin is dict:
        pairs = [(each, args[0]) for each in value]
        pairs += [(each, args[1]) for each in value.values()]
    elif origin is tuple and Ellipsis not in args:
        if len(value) != len(args):
            return f"{path}: {len(value)} elements, expected {len(args)}"
        pairs = list(zip(value, args, strict=True))
    else:
        pairs = [(each, args[0]) for each in value]
    found = (find_mistyped(each, kind, f"{path}[]") for each, kind in pairs)
    return next(filter(None, found), "")


def _find_in_fields(value: Any, path: str) -> str:
    kind = type(value)
    if not (
        dataclasses.is_dataclass(value)
        or isinstance(value, msgspec.Struct)
        or hasattr(kind, "_fields")
    ):
        return ""
    hints = get_type_hints(kind, include_extras=True)
    names = [name for name in hints if hasattr(value, name)]
    found = (
        find_mistyped(getattr(value, name), hints[name], f"{path}.{name}")
        for name in names
        if get_origin(hints[name]) is not types.GenericAlias
        and "ClassVar" not in str(hints[name])
    )
    return next(filter(None, found), "")
