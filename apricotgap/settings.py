"""Settings of an entry instance: declared types, read and checked as a whole."""

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
    """Milliseconds, written with a unit: ``500 ms``, ``5 s``, ``2 min``."""


class Bytes(int):
    """Bytes, written with a unit: ``64 KiB``, ``1 MB``."""


class Address(str):
    """``host:port`` with a numeric IP address."""


class Digest(str):
    """SHA-256 digest in 64 lower-case hexadecimal digits."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in a settings file.

    Parameters
    ----------
    path : str
        Place in the file, for example ``peers.seeds.pokhara-2``.
    value : object
        What stands there.
    expected : str
        What would be valid.
    remedy : str
        What to do.
    """

    path: str
    value: object
    expected: str
    remedy: str

    def __str__(self) -> str:
        """Return one line for an operator."""
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
    """The platform's key-value store."""

    endpoints: tuple[str, ...]
    timeout: Duration = Duration(1_000)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's instance list."""

    endpoint: str
    interval: Duration = Duration(2_000)


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Certificate of a listener and the authorities that it trusts."""

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Other entry instances.

    `seeds` maps entry names to peer addresses; the own name may be among them.
    """

    secret: str = ""
    secret_file: str = ""
    seeds: dict[str, Address] = field(default_factory=dict)
    tls: TlsSettings | None = None


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Who may act as an operator."""

    credential_digests: tuple[Digest, ...] = ()


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Protection against callers and the load balancer's lag."""

    max_body: Bytes = Bytes(1_048_576)
    max_headers: Bytes = Bytes(16_384)
    max_requests: int = 2_000
    max_retained_answers: Bytes = Bytes(8_388_608)
    body_timeout: Duration = Duration(10_000)
    balancer_lag: Duration = Duration(2_000)
    stop_timeout: Duration = Duration(60_000)


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Where metrics, spans and logs go."""

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
        """The shared secret, from the file if one is named."""
        if self.peers.secret_file:
            return Path(self.peers.secret_file).read_bytes().strip()
        return self.peers.secret.encode()


_MISSING = object()


class _Reader:
    """Converts plain YAML data into settings and collects every mistake."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def read(self, path: str, value: object, wanted: Any) -> Any:
        """Convert `value` to type `wanted`; return None after a mistake."""
        origin = typing.get_origin(wanted)
        if origin is types.UnionType or origin is typing.Union:
            return self._optional(path, value, wanted)
        if dataclasses.is_dataclass(wanted):
            return self._section(path, value, wanted)
        if origin is dict:
            return self._mapping(path, value, typing.get_args(wanted)[1])
        if origin is tuple:
            return self._sequence(path, value, typing.get_args(wanted)[0])
        if origin is typing.Literal:
            return self._choice(path, value, typing.get_args(wanted))
        return self._scalar(path, value, wanted)

    def fail(self, path: str, value: object, expected: str, remedy: str) -> None:
        """Record a mistake."""
        self.problems.append(Problem(path or "file", value, expected, remedy))

    def _optional(self, path: str, value: object, wanted: Any) -> Any:
        if value is None:
            return None
        inner = next(t for t in typing.get_args(wanted) if t is not type(None))
        return self.read(path, value, inner)

    def _section(self, path: str, value: object, wanted: Any) -> Any:
        if not isinstance(value, dict):
            return self.fail(
                path,
                value,
                "a mapping",
                "write the names of this section below it, one to a line",
            )
        hints = typing.get_type_hints(wanted)
        fields = {f.name: f for f in dataclasses.fields(wanted)}
        before = len(self.problems)
        for name in value:
            if name not in fields:
                self._unknown_name(_join(path, name), name, fields)
        values = {}
        for name, spec in fields.items():
            if name in value:
                values[name] = self.read(_join(path, name), value[name], hints[name])
            elif (
                spec.default is dataclasses.MISSING
                and spec.default_factory is dataclasses.MISSING
            ):
                self.fail(_join(path, name), None, "set", f"add {name!r}")
        return wanted(**values) if len(self.problems) == before else None

    def _unknown_name(self, path: str, name: object, fields: dict[str, Any]) -> None:
        close = difflib.get_close_matches(str(name), fields, n=1)
        remedy = f"did you mean {close[0]!r}?" if close else "remove it"
        self.fail(path, name, f"one of {', '.join(fields)}", remedy)

    def _mapping(self, path: str, value: object, wanted: Any) -> Any:
        if not isinstance(value, dict):
            return self.fail(path, value, "a mapping", "write 'name: value' lines")
        return {
            str(name): self.read(_join(path, name), item, wanted)
            for name, item in value.items()
        }

    def _sequence(self, path: str, value: object, wanted: Any) -> Any:
        if not isinstance(value, list):
            return self.fail(path, value, "a list", "write one item to a line after -")
        return tuple(
            self.read(f"{path}[{index}]", item, wanted)
            for index, item in enumerate(value)
        )

    def _choice(self, path: str, value: object, choices: tuple[str, ...]) -> Any:
        if value in choices:
            return value
        return self.fail(
            path, value, f"one of {', '.join(choices)}", "use one of these words"
        )

    def _scalar(self, path: str, value: object, wanted: Any) -> Any:
        if wanted is Duration:
            return self._with_unit(path, value, Duration, _DURATION_UNITS_MS, "500 ms")
        if wanted is Bytes:
            return self._with_unit(path, value, Bytes, _BYTE_UNITS, "1 MiB")
        if wanted is Address:
            return self._address(path, value)
        if wanted is Digest:
            return self._digest(path, value)
        if wanted is int:
            if isinstance(value, int) and not isinstance(value, bool) and value > 0:
                return value
            return self.fail(path, value, "a positive whole number", "correct it")
        if isinstance(value, str) and value:
            return value
        return self.fail(path, value, "a non-empty text", "put it in quotes")

    def _with_unit(
        self, path: str, value: object, kind: Any, units: dict[str, int], example: str
    ) -> Any:
        match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)", str(value))
        if match is None or match[2] not in units:
            return self.fail(
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
        return self.fail(
            path,
            value,
            "an IP address and a port",
            "write it like '10.0.0.5:8080'; names are not looked up",
        )

    def _digest(self, path: str, value: object) -> Any:
        if isinstance(value, str) and re.fullmatch(r"[0-9a-f]{64}", value):
            return Digest(value)
        return self.fail(
            path,
            "(not shown)",
            "a SHA-256 digest",
            "write the 64 hexadecimal digits that 'apricotgap settings digest' prints",
        )


def _join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)


def _cross_checks(settings: Settings, reader: _Reader) -> None:
    entry = settings.entry
    if entry.http_address == entry.peer_address:
        reader.fail(
            "entry.peer_address",
            entry.peer_address,
            "different from entry.http_address",
            "give each listener its own port",
        )
    seen: dict[str, str] = {}
    for name, address in settings.peers.seeds.items():
        if address in seen:
            reader.fail(
                f"peers.seeds.{name}",
                address,
                f"different from the address of {seen[address]!r}",
                "give each entry instance its own address",
            )
        seen[address] = name
    own = settings.peers.seeds.get(entry.name)
    if own is not None and own != entry.peer_address:
        reader.fail(
            f"peers.seeds.{entry.name}",
            own,
            f"the entry's own peer_address {entry.peer_address}",
            "make the two the same",
        )
    _check_secret(settings, reader)
    _check_files(settings, reader)
    for index, endpoint in enumerate(settings.store.endpoints):
        _check_url(f"store.endpoints[{index}]", endpoint, reader)
    if not settings.store.endpoints:
        reader.fail("store.endpoints", [], "a list with an endpoint", "add one")
    _check_url("platform.endpoint", settings.platform.endpoint, reader)


def _check_url(path: str, value: str, reader: _Reader) -> None:
    if not re.fullmatch(r"https?://[^/\s]+", value):
        reader.fail(
            path, value, "an http(s) URL", "write it like 'http://10.0.0.9:2379'"
        )


def _check_secret(settings: Settings, reader: _Reader) -> None:
    peers = settings.peers
    if bool(peers.secret) == bool(peers.secret_file):
        reader.fail(
            "peers.secret",
            "(not shown)",
            "given once",
            "set either secret or secret_file",
        )
        return
    if peers.secret_file and not Path(peers.secret_file).is_file():
        reader.fail(
            "peers.secret_file",
            peers.secret_file,
            "a file that exists",
            "create it or correct the path",
        )
        return
    if len(settings.peer_secret) < _MIN_SECRET_BYTES:
        reader.fail(
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
                reader.fail(
                    f"{prefix}.{name}",
                    path,
                    "a file that exists",
                    "create it or correct the path",
                )


class _StrictLoader(yaml.SafeLoader):
    """YAML loader that refuses a name that stands twice in a mapping."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        """Construct a mapping after checking its names."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)  # type: ignore[no-untyped-call]
            if key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f"the name {key!r} stands twice",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def check_settings(text: str) -> tuple[Settings | None, list[Problem]]:
    """Check a settings document as a whole.

    Parameters
    ----------
    text : str
        YAML text.

    Returns
    -------
    settings : Settings or None
        The settings, None if there are problems.
    problems : list of Problem
        Every mistake found.
    """
    reader = _Reader()
    try:
        data = yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark else "file"
        what = getattr(error, "problem", None) or "unreadable"
        reader.fail(place, what, "valid YAML", "correct the syntax at this place")
        return None, reader.problems
    settings = reader.read("", data, Settings)
    if settings is None:
        return None, reader.problems
    _cross_checks(settings, reader)
    return (None if reader.problems else settings), reader.problems


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path
        The file.

    Returns
    -------
    Settings
        Valid settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or has any mistake; the message lists them all.
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
