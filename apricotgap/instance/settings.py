"""Settings of an instance on the platform that its operators choose."""

from dataclasses import dataclass
from pathlib import Path

from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.settings_file import load_document

__all__ = ["InstanceSettings", "load_instance_settings"]


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Validated settings of one instance; they hold until it ends."""

    overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS


def load_instance_settings(path: str | Path | None) -> InstanceSettings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str, Path or None
        Path of a YAML file, None for the defaults.

    Returns
    -------
    InstanceSettings
        Validated settings.

    Raises
    ------
    SettingsError
        The file cannot be read or has errors; the message lists all of them.
    """
    if path is None:
        return InstanceSettings()
    return load_document(path, InstanceSettings)
