"""The configuration in force at this entry instance and how fresh it is."""

from dataclasses import dataclass

__all__ = ["ViewState"]


@dataclass(slots=True)
class ViewState:
    """Root, parts and freshness of the configuration."""
