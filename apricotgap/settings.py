"""Settings of an entry instance: types, parsing and validation."""

import dataclasses
import difflib
import ipaddress
import re
import types
import typing
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from apricotgap.errors import SettingsError

__all__ = [
    "Address",
    "Bytes",
    "Duration",
    "EntrySettings",
    "LimitSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "Problem",
    "Settings",
    "StoreSettings",
    "TelemetrySettings",
    "TlsSettings",
    "check_settings",
    "load_settings",
]

_DURATION_UNITS_MS = {"ms": 1, "s": 1_000, "min": 60_000}
_BYTE_UNITS = {"B": 1, "kB": 1_000, "KiB": 1_024, "MB": 1_000_000, "MiB": 1_048_576}
_MIN_SECRET_BYTES = 16


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


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Identity and addresses of the entry instance."""

    name: str
    data_centre: str
    http_address: Address
    peer_address: Address


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Addresses and call timeout of the platform's key-value store."""

    endpoints: tuple[str, ...]
    timeout: Duration = Duration(1_000)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Address of the platform's list of instances."""

    endpoint: str
    interval: Duration = Duration(2_000)


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Certificate and key of a listener and the CA certificates that it trusts."""

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Other entry instances.

    `seeds` maps names of entry instances to peer addresses and may include this
    instance.
    """

    secret: str = ""
    secret_file: str = ""
    seeds: dict[str, Address] = field(default_factory=dict)
    tls: TlsSettings | None = None


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """SHA-256 digests of the accepted operator credentials."""

    credential_digests: tuple[Digest, ...] = ()


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on requests, and delays on shutdown.

    `balancer_lag` is how long the load balancer may keep sending requests after the
    instance has reported that it is not ready.
    """

    max_body: Bytes = Bytes(1_048_576)
    max_headers: Bytes = Bytes(16_384)
    max_requests: int = 2_000
    max_retained_answers: Bytes = Bytes(8_388_608)
    body_timeout: Duration = Duration(10_000)
    balancer_lag: Duration = Duration(2_000)
    stop_timeout: Duration = Duration(60_000)


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Format of the log and destination of spans."""

    log_format: typing.Literal["json", "console"] = "json"
    spans: typing.Literal["none", "console"] = "none"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an entry instance."""

    entry: EntrySettings
    store: StoreSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    tls: TlsSettings | None = None

    @property
    def peer_secret(self) -> bytes:
        """Secret shared by the entry instances, read from the file if one is named."""
        if self.peers.secret_file:
            return Path(self.peers.secret_file).read_bytes().strip()
        return self.peers.secret.encode()


_MISSING = object()


class _Reader:
    """Converts parsed YAML into settings and collects all errors."""

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


def _check_consistency(settings: Settings, reader: _Reader) -> None:
    entry = settings.entry
    if entry.http_address == entry.peer_address:
        reader.add_problem(
            "entry.peer_address",
            entry.peer_address,
            "different from entry.http_address",
            "give each listener its own port",
        )
    name_by_address: dict[str, str] = {}
    for name, address in settings.peers.seeds.items():
        if address in name_by_address:
            reader.add_problem(
                f"peers.seeds.{name}",
                address,
                f"different from the address of {name_by_address[address]!r}",
                "give each entry instance its own address",
            )
        name_by_address[address] = name
    own_seed = settings.peers.seeds.get(entry.name)
    if own_seed is not None and own_seed != entry.peer_address:
        reader.add_problem(
            f"peers.seeds.{entry.name}",
            own_seed,
            f"entry.peer_address {entry.peer_address}",
            "use the same address in both places",
        )
    _check_secret(settings, reader)
    _check_files(settings, reader)
    for index, endpoint in enumerate(settings.store.endpoints):
        _check_url(f"store.endpoints[{index}]", endpoint, reader)
    if not settings.store.endpoints:
        reader.add_problem("store.endpoints", [], "a non-empty list", "add an endpoint")
    _check_url("platform.endpoint", settings.platform.endpoint, reader)


def _check_url(path: str, value: str, reader: _Reader) -> None:
    if not re.fullmatch(r"https?://[^/\s]+", value):
        reader.add_problem(
            path, value, "an http(s) URL", "write it like 'http://10.0.0.9:2379'"
        )


def _check_secret(settings: Settings, reader: _Reader) -> None:
    peers = settings.peers
    if bool(peers.secret) == bool(peers.secret_file):
        reader.add_problem(
            "peers.secret",
            "(not shown)",
            "set exactly once",
            "set either secret or secret_file",
        )
        return
    if peers.secret_file and not Path(peers.secret_file).is_file():
        reader.add_problem(
            "peers.secret_file",
            peers.secret_file,
            "a file that exists",
            "create it or correct the path",
        )
        return
    if len(settings.peer_secret) < _MIN_SECRET_BYTES:
        reader.add_problem(
            "peers.secret",
            "(not shown)",
            f"at least {_MIN_SECRET_BYTES} bytes long",
            "use a longer secret, the same at every entry instance",
        )


def _check_files(settings: Settings, reader: _Reader) -> None:
    for prefix, tls in (("tls", settings.tls), ("peers.tls", settings.peers.tls)):
        for name in ("certificate", "key", "authority"):
            path = getattr(tls, name) if tls else ""
            if path and not Path(path).is_file():
                reader.add_problem(
                    f"{prefix}.{name}",
                    path,
                    "a file that exists",
                    "create it or correct the path",
                )


class _StrictLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys in a mapping."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        """Construct a mapping after checking that its keys are unique."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)  # type: ignore[no-untyped-call]
            if key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f"the key {key!r} is duplicated",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def check_settings(text: str) -> tuple[Settings | None, list[Problem]]:
    """Parse and validate a settings document.

    Parameters
    ----------
    text : str
        YAML text.

    Returns
    -------
    settings : Settings or None
        Settings, None if the document has errors.
    problems : list of Problem
        All errors found.
    """
    reader = _Reader()
    try:
        data = yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark else "file"
        what = getattr(error, "problem", None) or "unreadable"
        reader.add_problem(place, what, "valid YAML", "correct the syntax there")
        return None, reader.problems
    settings = reader.read("", data, Settings)
    if settings is None:
        return None, reader.problems
    _check_consistency(settings, reader)
    return (None if reader.problems else settings), reader.problems


def load_settings(path: str | Path) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or Path
        Path of the file.

    Returns
    -------
    Settings
        Validated settings.

    Raises
    ------
    SettingsError
        The file cannot be read or has errors; the message lists all of them.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: cannot be read ({getattr(error, 'strerror', None) or error})",
            "name a readable UTF-8 file with --settings",
        ) from None
    settings, problems = check_settings(text)
    if settings is None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        raise SettingsError(f"{path}:\n{lines}\n", "correct the lines above")
    return settings
