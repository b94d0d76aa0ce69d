"""Base class and registry of faults."""

from abc import ABC, abstractmethod
from random import Random
from typing import ClassVar

from soak.state import SoakState
from soak.timeline import Span

__all__ = ["FAULTS", "Fault", "choose_faults"]

FAULTS: dict[str, "Fault"] = {}


class Fault(ABC):
    """A fault or planned work that a run injects.

    A subclass sets the class attributes and is registered under its name. `inject`
    returns when the fault is over and has undone what does not end by itself. It adds
    the instances that it concerns to the span before it touches them.

    Attributes
    ----------
    name : str
        Name on the command line and in reports.
    scope : str
        What it concerns, a constant of `Scope`.
    is_planned : bool
        Whether requests have to outlive it.
    is_by_name_only : bool
        Whether scopes and ``all`` leave it out, since the present code is known to
        break a promise under it.
    """

    name: ClassVar[str]
    scope: ClassVar[str]
    is_planned: ClassVar[bool] = False
    is_by_name_only: ClassVar[bool] = False

    def __init_subclass__(cls) -> None:
        """Register the subclass if it is a fault and no further base class."""
        if "name" in vars(cls):
            FAULTS[cls.name] = cls()

    @abstractmethod
    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""


def choose_faults(names: str) -> list[Fault]:
    """Return the faults that a list names by name, scope, ``planned`` or ``all``.

    Raises
    ------
    ValueError
        A name is unknown.
    """
    chosen: dict[str, Fault] = {}
    for word in filter(None, names.split(",")):
        found = {
            name: fault
            for name, fault in sorted(FAULTS.items())
            if word == name or _is_in_group(fault, word)
        }
        if not found:
            raise ValueError(f"unknown fault {word!r}; known: {', '.join(FAULTS)}")
        chosen |= found
    return list(chosen.values())


def _is_in_group(fault: Fault, word: str) -> bool:
    if fault.is_by_name_only:
        return False
    kind = {"planned": True, "unplanned": False}.get(word)
    return word in ("all", fault.scope) or fault.is_planned is kind
