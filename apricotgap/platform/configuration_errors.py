"""All errors of a configuration file, in the names that its author uses."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Annotated, Any, get_args, get_origin

import msgspec

from apricotgap.decoding import MAX_INTEGER, DecodeError, convert, decode_json
from apricotgap.errors import quoted
from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.configuration_finding import FieldPath, Finding
from apricotgap.platform.wire import (
    ConfigurationDocument,
    WireError,
    decode_configuration,
)

__all__ = ["Reading", "platform_path", "read_configuration"]

_SYNTAX = "syntax"
_TYPES = "types"
_FIELD_NAMES = "field_names"
_EXPECTED: dict[Any, str] = {
    bool: "true or false",
    str: "a text",
    list: "a list",
    int: f"a whole number of at most {MAX_INTEGER}",
    float: f"a number of at most {MAX_INTEGER}",
}
# "timeoutMS" is taken for "timeoutMs", "priorityClass" is not taken for "priority".
_MIN_LIKENESS = 0.8
# The product keeps only whether this field of the platform is given.
_DERIVED_FIELDS = {"needs_ticket": "advice"}


@dataclass(frozen=True, slots=True)
class Reading:
    """A configuration, or the errors for which instances refuse the document.

    Instances ignore fields with unknown names. Those that look like a known one are
    listed in `misspelt`.
    """

    config: Configuration | None
    errors: tuple[Finding, ...] = ()
    misspelt: tuple[Finding, ...] = ()


def read_configuration(data: bytes) -> Reading:
    """Decode a configuration and find all of its errors."""
    try:
        data.decode("utf-8")
    except UnicodeDecodeError as error:
        return _unreadable(f"byte {error.start} of the file", "UTF-8 text")
    try:
        document = decode_json(data, Any)
    except DecodeError as error:
        return _unreadable(str(error), "a JSON document")
    found = tuple(_find_errors((), document, ConfigurationDocument))
    misspelt = tuple(each for each in found if each.check == _FIELD_NAMES)
    try:
        return Reading(decode_configuration(data), (), misspelt)
    except WireError as error:
        errors = tuple(each for each in found if each.check != _FIELD_NAMES)
        # The decoder of the instances has the last word.
        return (
            Reading(None, errors, misspelt)
            if errors
            else _unreadable(str(error), "a configuration")
        )


def platform_path(path: FieldPath) -> str:
    """Return a path in the platform's names, for example ``routes[0].timeoutMs``."""
    text = ""
    shape: Any = ConfigurationDocument
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        known = {each.name: each for each in _fields(shape)}.get(part)
        if known:
            name = known.encode_name
        else:
            name = _DERIVED_FIELDS.get(part) or _name_of_unknown(part)
        text += f".{name}" if text else name
        shape = _struct_in(known.type) if known else None
    return text


def _name_of_unknown(name: str) -> str:
    """Return the name of an unknown field, without control characters."""
    return name if name.isidentifier() else quoted(name)


def _unreadable(value: str, expected: str) -> Reading:
    remedy = "correct the file; the errors after this one are not known"
    return Reading(None, (Finding(_SYNTAX, (), value, expected, remedy),))


def _fields(shape: Any) -> tuple[msgspec.structs.FieldInfo, ...]:
    return msgspec.structs.fields(shape) if shape is not None else ()


def _struct_in(shape: Any) -> Any:
    """Return the struct that a field holds, itself or in a list, None without one."""
    inner = get_args(shape)[0] if get_origin(shape) is list else shape
    is_struct = isinstance(inner, type) and issubclass(inner, msgspec.Struct)
    return inner if is_struct else None


def _find_errors(path: FieldPath, value: Any, shape: Any) -> Iterator[Finding]:
    if not isinstance(value, dict):
        yield _type_error(path, value, "an object")
        return
    known = {each.encode_name: each for each in _fields(shape)}
    for name in value:
        if name in known:
            continue
        near = get_close_matches(name, known.keys() - value.keys(), 1, _MIN_LIKENESS)
        if near:
            yield Finding(
                _FIELD_NAMES,
                (*path, name),
                "a field without effect",
                f"a field {near[0]!r}",
                "correct the name of the field",
            )
    for name, field in known.items():
        inner = (*path, field.name)
        if name in value:
            yield from _find_field_errors(inner, value[name], field.type)
        elif field.required:
            yield Finding(
                _TYPES, inner, "nothing", _expected(field.type), "add the field"
            )


def _find_field_errors(path: FieldPath, value: Any, shape: Any) -> Iterator[Finding]:
    struct = _struct_in(shape)
    if struct is None:
        try:
            convert(value, shape)
        except DecodeError:
            yield _type_error(path, value, _expected(shape))
    elif get_origin(shape) is not list:
        yield from _find_errors(path, value, struct)
    elif not isinstance(value, list):
        yield _type_error(path, value, "a list")
    else:
        for index, each in enumerate(value):
            yield from _find_errors((*path, index), each, struct)


def _type_error(path: FieldPath, value: Any, expected: str) -> Finding:
    return Finding(_TYPES, path, _shown(path, value), expected, "correct the value")


def _expected(shape: Any) -> str:
    if shape == list[str]:
        return "a list of texts"
    base = get_args(shape)[0] if get_origin(shape) is Annotated else shape
    return _EXPECTED.get(base, "an object")


def _shown(path: FieldPath, value: Any) -> str:
    """Return a value in a form that may be printed."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, str):
        # It may be a key in the wrong place.
        return "a text" if path[:1] == ("teams",) else quoted(value)
    if isinstance(value, int | float) and abs(value) > MAX_INTEGER:
        # Python refuses to print very long numbers.
        return "a number that is too large"
    return json.dumps(value)
