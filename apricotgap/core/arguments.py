"""Validation of operators' arguments."""

import re
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import msgspec

from apricotgap.errors import ValidationError, quoted

__all__ = ["Arguments", "convert", "reject_unknown"]

T = TypeVar("T")

# Names of unknown fields are quoted in messages up to this length.
_MAX_FIELD_CHARS = 80
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_AT_FIELD = re.compile(r"(?P<what>.*?)(?: - at `\$\.?(?P<field>.*)`)?")


def reject_unknown(given: Iterable[str], known: Iterable[str], path: str = "") -> None:
    """Reject unknown fields.

    Raises
    ------
    ValidationError
        If a field is unknown; the message names it and the known fields.
    """
    allowed = sorted(known)
    unknown = sorted(set(given) - set(allowed))
    if unknown:
        raise ValidationError(
            f"{path}{unknown[0][:_MAX_FIELD_CHARS]}: unknown field",
            f"use only {', '.join(allowed) or 'no fields'}",
        )


def convert(value: Any, to: type[T], path: str = "") -> T:
    """Convert a decoded JSON value to a type.

    Raises
    ------
    ValidationError
        If the value does not match; the message names the field.
    """
    try:
        return msgspec.convert(value, to)
    except msgspec.ValidationError as error:
        found = _AT_FIELD.fullmatch(str(error))
        field = (found["field"] if found else None) or "value"
        what = found["what"] if found else str(error)
        raise ValidationError(
            f"{path}{field}: {what.replace('`', '').lower()}", "correct the field"
        ) from error


class Arguments:
    """Validates and returns the arguments of one call.

    Parameters
    ----------
    values : mapping of str to object
        Decoded JSON.
    known : iterable of str
        Names that the action accepts.
    """

    def __init__(self, values: Mapping[str, Any], known: Iterable[str]) -> None:
        reject_unknown(values, known)
        self._values = values

    def text(self, field: str, default: str | None = None) -> str:
        """Return a string, required unless there is a default."""
        value = self._values.get(field, default)
        if not isinstance(value, str) or (default is None and not value):
            raise ValidationError(
                f"{field}: expected a non-empty string, got {quoted(value)}",
                f"give {field}",
            )
        return value

    def name(self, field: str) -> str:
        """Return a valid object name."""
        value = self.text(field)
        if not _NAME.fullmatch(value):
            raise ValidationError(
                f"{field}: {quoted(value)} is not a name",
                "use up to 63 letters, digits, dots, hyphens and underscores",
            )
        return value

    def digest(self, field: str) -> str:
        """Return a hex SHA-256 digest."""
        value = self.text(field)
        if not _DIGEST.fullmatch(value):
            raise ValidationError(
                f"{field}: expected 64 lower-case hexadecimal digits",
                "send the SHA-256 digest of the key",
            )
        return value

    def revision(self) -> int | None:
        """Return the optional argument ``if_revision``."""
        value = self._values.get("if_revision")
        if value is None:
            return None
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            raise ValidationError(
                f"if_revision: expected a whole number, got {quoted(value)}",
                "use the revision that a list action returned",
            )
        return value

    def mapping(self, field: str) -> dict[str, str]:
        """Return a map of strings, empty when absent."""
        return convert(self._values.get(field, {}), dict[str, str], f"{field}.")
