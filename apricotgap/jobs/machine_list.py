"""The platform's list of machines as it was read."""

from collections.abc import Mapping
from dataclasses import dataclass

from apricotgap.jobs.fleet import Machine

__all__ = ["MachineList"]


@dataclass(frozen=True, slots=True)
class MachineList:
    """All pages of the list of machines.

    `machines` has the readable ones by name. `unreadable` are the names of those whose
    row cannot be decoded otherwise. `n_unnamed` rows do not even show a name: any
    machine that the list lacks may be one of them.
    """

    machines: Mapping[str, Machine]
    unreadable: frozenset[str] = frozenset()
    n_unnamed: int = 0

    def shows(self, name: str) -> bool:
        """Whether the list has a machine, readable or not."""
        return name in self.machines or name in self.unreadable

    def lacks(self, name: str) -> bool:
        """Whether the list is known not to have a machine."""
        return not self.n_unnamed and not self.shows(name)
