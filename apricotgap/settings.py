"""Settings of an entry instance: their fields, and checks across fields."""

import re
import typing
from dataclasses import dataclass, field
from pathlib import Path

from apricotgap.settings_file import check_document, load_document
from apricotgap.settings_reader import (
    Address,
    Bytes,
    Digest,
    Duration,
    Problem,
    SettingsReader,
)

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

_MIN_SECRET_BYTES = 16


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


def _check_consistency(settings: Settings, reader: SettingsReader) -> None:
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


def _check_url(path: str, value: str, reader: SettingsReader) -> None:
    if not re.fullmatch(r"https?://[^/\s]+", value):
        reader.add_problem(
            path, value, "an http(s) URL", "write it like 'http://10.0.0.9:2379'"
        )


def _check_secret(settings: Settings, reader: SettingsReader) -> None:
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


def _check_files(settings: Settings, reader: SettingsReader) -> None:
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
    return check_document(text, Settings, _check_consistency)


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
    return load_document(path, Settings, _check_consistency)
