"""Settings file of a process on the platform."""

import os
import tomllib
from dataclasses import dataclass, fields
from typing import Any

from apricotgap.errors import SettingsError

__all__ = ["Bounds", "PlatformSettings", "load_platform_settings", "settings_path"]

_PATH_VARIABLE = "APRICOTGAP_NODE_FILE"
_DEFAULT_PATH = "/etc/apricotgap/boot.toml"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds of the platform, in milliseconds.

    `status_retention_ms` is how long a finished job must stay readable,
    `revoke_ms` how long a withdrawn key may still work, `max_lease_ms` the longest
    lease of a worker.
    """

    max_lease_ms: int
    stop_timeout_ms: int
    revoke_ms: int
    status_retention_ms: int
    upkeep_ms: int
    move_ms: int
    holder_lease_ms: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Checked settings of one instance.

    Addresses are ``HOST:PORT``; `advice_address` is empty without such a service.
    `speed_milli` is the machine's processor in thousandths of a core.
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
        """Return the names of the fields in which other settings differ."""
        found = [
            each.name
            for each in fields(self)
            if each.name != "bounds"
            and getattr(self, each.name) != getattr(other, each.name)
        ]
        found += [
            f"bounds.{each.name}"
            for each in fields(self.bounds)
            if getattr(self.bounds, each.name) != getattr(other.bounds, each.name)
        ]
        return found


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH)


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        The file cannot be read or a field is missing or has the wrong type.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}", "name a readable TOML file"
        ) from error
    try:
        return _settings(_Fields(path, data))
    except (TypeError, ValueError, IndexError) as error:
        raise SettingsError(
            f"{path} has a field of the wrong type: {error}", "correct the field"
        ) from error


class _Fields:
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


def _settings(found: _Fields) -> PlatformSettings:
    get = found.get

    def number(name: str, default: float) -> int:
        return int(get(f"bounds.{name}", default))

    ports = get("internalPorts")
    return PlatformSettings(
        name=str(get("nodeName")),
        ip=str(get("ip")),
        data_centre=str(get("zone")),
        client_address=str(get("listenAddrs.frontendAddr")),
        readiness_address=str(get("listenAddrs.readinessAddr")),
        peer_port=int(ports[0]),
        metrics_port=int(ports[0]) + 1,
        store_address=str(get("platform.address")),
        min_lease_ms=int(get("platform.minTtlMs", 1000)),
        fleet_address=str(get("cloudApi.address", "")),
        advice_address=str(get("advice", "")),
        speed_milli=max(
            1, int(1000 * get("limits.cpuShare", 1.0) * get("limits.cpuCores", 1))
        ),
        bounds=Bounds(
            max_lease_ms=number("maxHoldMs", 6000),
            stop_timeout_ms=number("stopTimeoutMs", 900),
            revoke_ms=number("revokeMs", 5000),
            status_retention_ms=1000 * number("status_s", 120),
            upkeep_ms=int(1000 * get("bounds.maintenanceS", 2)),
            move_ms=int(1000 * get("bounds.migrateS", 1.5)),
            holder_lease_ms=number("leaseMs", 3000),
        ),
    )
