"""What a check of the configuration finds, and the shape of the checks."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar

from apricotgap.jobs.configuration import Configuration

__all__ = ["CheckCase", "ConfigurationCheck", "FieldPath", "Finding"]

# Names of fields and positions in lists, from the document to a value.
FieldPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in a configuration.

    Parameters
    ----------
    check : str
        Name of the check.
    path : FieldPath
        Path of the value, in the names of `Configuration`.
    value : str
        The value, in a form that may be printed.
    expected : str
        Description of a valid value.
    remedy : str
        Suggested correction.
    """

    check: str
    path: FieldPath
    value: str
    expected: str
    remedy: str


@dataclass(frozen=True, slots=True)
class CheckCase:
    """A configuration, and the version in force if it is known."""

    config: Configuration
    in_force: Configuration | None = None


class ConfigurationCheck(ABC):
    """One rule for configurations.

    A subclass declares its `name` and yields a finding for each value that breaks it.
    """

    name: ClassVar[str]

    @abstractmethod
    def find(self, case: CheckCase) -> Iterator[Finding]:
        """Yield the values that break the rule."""

    def finding(
        self, path: FieldPath, value: str, expected: str, remedy: str
    ) -> Finding:
        """Return a finding of this check."""
        return Finding(self.name, path, value, expected, remedy)
