"""Settings file that the platform provides to an instance."""

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
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}", "name a readable TOML file"
        ) from error
    try:
        return _build_settings(_FieldReader(path, data))
    except (TypeError, ValueError, IndexError) as error:
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


def _build_settings(reader: _FieldReader) -> PlatformSettings:
    get = reader.get

    def bound(name: str, default: float) -> int:
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
            max_lease_ms=bound("maxHoldMs", 6000),
            stop_timeout_ms=bound("stopTimeoutMs", 900),
            revoke_ms=bound("revokeMs", 5000),
            status_retention_ms=1000 * bound("status_s", 120),
            upkeep_ms=int(1000 * get("bounds.maintenanceS", 2)),
            move_ms=int(1000 * get("bounds.migrateS", 1.5)),
            holder_lease_ms=bound("leaseMs", 3000),
            contact_ms=bound("contactMs", 3000),
            shutdown_ms=int(1000 * get("bounds.graceS", 6)),
        ),
    )
