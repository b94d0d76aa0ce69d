"""Settings file that the platform provides to an instance."""

import os
import tomllib
from dataclasses import dataclass, fields
from typing import Any

from apricotgap.errors import SettingsError

__all__ = ["Bounds", "PlatformSettings", "load_platform_settings", "settings_path"]

_PATH_VARIABLE = "APRICOTGAP_NODE_FILE"
_DEFAULT_PATH = "/etc/apricotgap/boot.toml"
# Beyond any meaningful value, and small enough for sums in the units of all fields.
_MAX_NUMBER = 10**9
_MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits set by the platform, in milliseconds.

    `max_lease_ms` is the longest lease of a worker, `stop_timeout_ms` the longest
    time that a worker takes to stop a run, `revoke_ms` how long a withdrawn key may
    still be accepted, `status_retention_ms` how long a finished job must stay
    readable. `contact_ms` is how long an instance may go by what it knew when it was
    last in contact with the platform. `shutdown_ms` is the time from SIGTERM to
    SIGKILL.
    """

    max_lease_ms: int
    stop_timeout_ms: int
    revoke_ms: int
    status_retention_ms: int
    upkeep_ms: int
    move_ms: int
    holder_lease_ms: int
    contact_ms: int
    shutdown_ms: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Validated settings of one instance.

    Addresses are ``HOST:PORT``; `advice_address` is empty if there is no advice
    service. `speed_milli` is the available CPU in thousandths of a core.
    """

    name: str
    ip: str
    data_centre: str
    client_address: str
    readiness_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    min_lease_ms: int
    fleet_address: str
    advice_address: str
    speed_milli: int
    bounds: Bounds

    def changed_fields(self, other: "PlatformSettings") -> list[str]:
        """Return the names of the fields whose values differ from `other`."""
        changed = [
            spec.name
            for spec in fields(self)
            if spec.name != "bounds"
            and getattr(self, spec.name) != getattr(other, spec.name)
        ]
        changed += [
            f"bounds.{spec.name}"
            for spec in fields(self.bounds)
            if getattr(self.bounds, spec.name) != getattr(other.bounds, spec.name)
        ]
        return changed


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH)


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and validate the settings file.

    Raises
    ------
    SettingsError
        The file cannot be read, or a field is missing or has the wrong type.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, ValueError, RecursionError) as error:
        # A file that is being written may be cut inside a line or a character.
        raise SettingsError(
            f"{path} cannot be read: {error}", "name a readable TOML file"
        ) from error
    try:
        return _build_settings(_FieldReader(path, data))
    except (TypeError, ValueError, LookupError) as error:
        raise SettingsError(
            f"{path} has a field of the wrong type: {error}", "correct the field"
        ) from error


class _FieldReader:
    def __init__(self, path: str, data: dict[str, Any]) -> None:
        self._path = path
        self._data = data

    def get(self, name: str, default: Any = None) -> Any:
        value: Any = self._data
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
        if default is None:
            raise SettingsError(f"{self._path} lacks {name}", f"add the field {name}")
        return default

    def number(
        self, name: str, default: float, minimum: float = 0, scale: int = 1
    ) -> int:
        """Return a number times `scale`, rounded down."""
        value = self.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise TypeError(f"{name} must be a number")
        # Not true of NaN either.
        if not minimum <= value <= _MAX_NUMBER:
            raise ValueError(f"{name} must be from {minimum} to {_MAX_NUMBER}")
        return int(scale * value)


def _build_settings(reader: _FieldReader) -> PlatformSettings:
    get, number = reader.get, reader.number
    port = get("internalPorts")[0]
    if not isinstance(port, int) or not 0 < port < _MAX_PORT:
        raise ValueError(f"internalPorts must begin with a port below {_MAX_PORT}")
    return PlatformSettings(
        name=str(get("nodeName")),
        ip=str(get("ip")),
        data_centre=str(get("zone")),
        client_address=str(get("listenAddrs.frontendAddr")),
        readiness_address=str(get("listenAddrs.readinessAddr")),
        peer_port=port,
        metrics_port=port + 1,
        store_address=str(get("platform.address")),
        min_lease_ms=number("platform.minTtlMs", 1000),
        fleet_address=str(get("cloudApi.address", "")),
        advice_address=str(get("advice", "")),
        speed_milli=_speed_milli(reader),
        bounds=Bounds(
            max_lease_ms=number("bounds.maxHoldMs", 6000),
            stop_timeout_ms=number("bounds.stopTimeoutMs", 900),
            revoke_ms=number("bounds.revokeMs", 5000, minimum=1),
            status_retention_ms=number("bounds.status_s", 120, scale=1000),
            upkeep_ms=number("bounds.maintenanceS", 2, scale=1000),
            move_ms=number("bounds.migrateS", 1.5, scale=1000),
            holder_lease_ms=number("bounds.leaseMs", 3000),
            contact_ms=number("bounds.contactMs", 3000),
            shutdown_ms=number("bounds.graceS", 6, scale=1000),
        ),
    )


def _speed_milli(reader: _FieldReader) -> int:
    share = reader.number("limits.cpuShare", 1.0, scale=1000)
    return max(1, int(share * reader.number("limits.cpuCores", 1, scale=1000) / 1000))
