"""Typed reading of a settings document into dataclasses, with all of its errors."""

import dataclasses
import difflib
import ipaddress
import re
import types
import typing
from dataclasses import dataclass
from typing import Any

__all__ = ["Address", "Bytes", "Digest", "Duration", "Problem", "SettingsReader"]

_DURATION_UNITS_MS = {"ms": 1, "s": 1_000, "min": 60_000}
_BYTE_UNITS = {"B": 1, "kB": 1_000, "KiB": 1_024, "MB": 1_000_000, "MiB": 1_048_576}


class Duration(int):
    """Duration in milliseconds, written with a unit: ``500 ms``, ``5 s``, ``2 min``."""


class Bytes(int):
    """Size in bytes, written with a unit: ``64 KiB``, ``1 MB``."""


class Address(str):
    """``host:port`` with a numeric IP address."""


class Digest(str):
    """SHA-256 digest as 64 lower-case hexadecimal digits."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a settings file.

    Parameters
    ----------
    path : str
        Path of the field, for example ``peers.seeds.pokhara-2``.
    value : object
        Invalid value.
    expected : str
        Description of a valid value.
    remedy : str
        Suggested correction.
    """

    path: str
    value: object
    expected: str
    remedy: str

    def __str__(self) -> str:
        """Return the error message for operators."""
        return f"{self.path}: {self.value!r} is not {self.expected}; {self.remedy}"


_MISSING = object()


class SettingsReader:
    """Converts parsed YAML into settings dataclasses and collects all errors."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def read(self, path: str, value: object, expected_type: Any) -> Any:
        """Convert `value` to `expected_type`; return None if it is invalid."""
        origin = typing.get_origin(expected_type)
        if origin is types.UnionType or origin is typing.Union:
            return self._optional(path, value, expected_type)
        if dataclasses.is_dataclass(expected_type):
            return self._section(path, value, expected_type)
        if origin is dict:
            return self._mapping(path, value, typing.get_args(expected_type)[1])
        if origin is tuple:
            return self._sequence(path, value, typing.get_args(expected_type)[0])
        if origin is typing.Literal:
            return self._choice(path, value, typing.get_args(expected_type))
        return self._scalar(path, value, expected_type)

    def add_problem(self, path: str, value: object, expected: str, remedy: str) -> None:
        """Record an error."""
        self.problems.append(Problem(path or "file", value, expected, remedy))

    def _optional(self, path: str, value: object, expected_type: Any) -> Any:
        if value is None:
            return None
        inner = next(t for t in typing.get_args(expected_type) if t is not type(None))
        return self.read(path, value, inner)

    def _section(self, path: str, value: object, expected_type: Any) -> Any:
        if not isinstance(value, dict):
            return self.add_problem(
                path,
                value,
                "a mapping",
                "list the fields of this section below it, one per line",
            )
        hints = typing.get_type_hints(expected_type)
        fields = {f.name: f for f in dataclasses.fields(expected_type)}
        n_earlier_problems = len(self.problems)
        for name in value:
            if name not in fields:
                self._report_unknown_name(_join(path, name), name, fields)
        values = {}
        for name, field_spec in fields.items():
            if name in value:
                values[name] = self.read(_join(path, name), value[name], hints[name])
            elif (
                field_spec.default is dataclasses.MISSING
                and field_spec.default_factory is dataclasses.MISSING
            ):
                self.add_problem(
                    _join(path, name), None, "set", f"add the field {name!r}"
                )
        return (
            expected_type(**values)
            if len(self.problems) == n_earlier_problems
            else None
        )

    def _report_unknown_name(
        self, path: str, name: object, fields: dict[str, Any]
    ) -> None:
        close = difflib.get_close_matches(str(name), fields, n=1)
        remedy = f"did you mean {close[0]!r}?" if close else "remove it"
        self.add_problem(path, name, f"one of {', '.join(fields)}", remedy)

    def _mapping(self, path: str, value: object, expected_type: Any) -> Any:
        if not isinstance(value, dict):
            return self.add_problem(
                path, value, "a mapping", "write 'name: value' lines"
            )
        return {
            str(name): self.read(_join(path, name), item, expected_type)
            for name, item in value.items()
        }

    def _sequence(self, path: str, value: object, expected_type: Any) -> Any:
        if not isinstance(value, list):
            return self.add_problem(
                path, value, "a list", "write one item per line, each after '-'"
            )
        return tuple(
            self.read(f"{path}[{index}]", item, expected_type)
            for index, item in enumerate(value)
        )

    def _choice(self, path: str, value: object, choices: tuple[str, ...]) -> Any:
        if value in choices:
            return value
        return self.add_problem(
            path, value, f"one of {', '.join(choices)}", "use one of these values"
        )

    def _scalar(self, path: str, value: object, expected_type: Any) -> Any:
        if expected_type is Duration:
            return self._with_unit(path, value, Duration, _DURATION_UNITS_MS, "500 ms")
        if expected_type is Bytes:
            return self._with_unit(path, value, Bytes, _BYTE_UNITS, "1 MiB")
        if expected_type is Address:
            return self._address(path, value)
        if expected_type is Digest:
            return self._digest(path, value)
        if expected_type is bool:
            if isinstance(value, bool):
                return value
            return self.add_problem(
                path, value, "true or false", "write true or false, without quotes"
            )
        if expected_type is int:
            if isinstance(value, int) and not isinstance(value, bool) and value > 0:
                return value
            return self.add_problem(path, value, "a positive integer", "correct it")
        if isinstance(value, str) and value:
            return value
        return self.add_problem(path, value, "a non-empty string", "put it in quotes")

    def _with_unit(
        self, path: str, value: object, kind: Any, units: dict[str, int], example: str
    ) -> Any:
        match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)", str(value))
        if match is None or match[2] not in units:
            return self.add_problem(
                path,
                value,
                f"a number with one of the units {', '.join(units)}",
                f"write it like '{example}'",
            )
        return kind(round(float(match[1]) * units[match[2]]))

    def _address(self, path: str, value: object) -> Any:
        host, _, port = str(value).rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            valid = 0 < int(port) < 65_536
        except ValueError:
            valid = False
        if valid:
            return Address(value)
        return self.add_problem(
            path,
            value,
            "an IP address and a port",
            "write it like '10.0.0.5:8080'; host names are not resolved",
        )

    def _digest(self, path: str, value: object) -> Any:
        if isinstance(value, str) and re.fullmatch(r"[0-9a-f]{64}", value):
            return Digest(value)
        return self.add_problem(
            path,
            "(not shown)",
            "a SHA-256 digest",
            "use the 64 hexadecimal digits that 'apricotgap settings digest' prints",
        )


def _join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)
