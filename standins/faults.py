"""Switchable faults with limits in time, number, chance and clients."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standins.serving import now_ms

__all__ = ["Fault", "Faults"]


@dataclass(slots=True)
class Fault:
    """An active fault.

    Parameters
    ----------
    kind : str
        One of the kinds that the stand-in knows.
    options : dict
        Further fields of the request that set it, such as ``delay_ms``.
    until_ms : int or None
        End in process time, None until cleared.
    n_left : int or None
        Calls that it still hits, None without limit.
    probability : float
        Chance to hit a call.
    entries : frozenset of str
        Values of ``Apricotgap-Entry`` that it hits; empty hits everyone.
    """

    kind: str
    options: dict[str, Any]
    until_ms: int | None
    n_left: int | None
    probability: float
    entries: frozenset[str]
    chance: random.Random

    @property
    def delay_ms(self) -> int:
        """Delay of slow and late faults in milliseconds."""
        return int(self.options.get("delay_ms", 1_000))


class Faults:
    """Faults of one stand-in.

    Parameters
    ----------
    kinds : frozenset of str
        Known kinds.
    changed : callable
        Called after faults were set or cleared.
    """

    def __init__(
        self, kinds: frozenset[str], changed: Callable[[], None] = lambda: None
    ) -> None:
        self._kinds = kinds
        self._changed = changed
        self._active: list[Fault] = []

    def apply(self, request: dict[str, Any]) -> dict[str, Any]:
        """Set or clear faults.

        Parameters
        ----------
        request : dict
            ``{"clear": kind or "all"}``, or ``{"fault": kind}`` with the optional
            fields ``for_ms``, ``n``, ``probability``, ``seed``, ``entries`` and
            those of the kind.

        Returns
        -------
        dict
            Active faults.

        Raises
        ------
        ValueError
            If the kind is not known or a field is out of range.
        """
        if "clear" in request:
            kind = request["clear"]
            self._check(kind, also="all")
            self._active = [f for f in self._active if kind not in (f.kind, "all")]
        else:
            self._check(request.get("fault"))
            self._active.append(_parse(request))
        self._changed()
        return self.describe()

    def describe(self) -> dict[str, Any]:
        """List active faults as JSON."""
        self._expire()
        return {
            "faults": [
                {**f.options, "fault": f.kind, "n_left": f.n_left} for f in self._active
            ]
        }

    def active(self, kind: str, entry: str = "") -> Fault | None:
        """Return an active fault of a kind without counting a hit."""
        self._expire()
        for fault in self._active:
            if fault.kind == kind and (not fault.entries or entry in fault.entries):
                return fault
        return None

    def hit(self, kind: str, entry: str = "") -> Fault | None:
        """Return the fault that hits this call, and count it."""
        fault = self.active(kind, entry)
        if fault is None or fault.chance.random() >= fault.probability:
            return None
        if fault.n_left is not None:
            fault.n_left -= 1
        return fault

    def _check(self, kind: object, also: str = "") -> None:
        if kind not in self._kinds and (not also or kind != also):
            raise ValueError(f"unknown fault {kind}; known: {sorted(self._kinds)}")

    def _expire(self) -> None:
        now = now_ms()
        self._active = [
            f
            for f in self._active
            if (f.until_ms is None or f.until_ms > now) and f.n_left != 0
        ]


def _parse(request: dict[str, Any]) -> Fault:
    for_ms, n = request.get("for_ms"), request.get("n")
    probability = float(request.get("probability", 1.0))
    if not 0 <= probability <= 1 or (n is not None and int(n) < 1):
        raise ValueError("probability must lie in 0 to 1 and n must be positive")
    return Fault(
        kind=request["fault"],
        options=request,
        until_ms=None if for_ms is None else now_ms() + int(for_ms),
        n_left=None if n is None else int(n),
        probability=probability,
        entries=frozenset(request.get("entries", ())),
        chance=random.Random(request.get("seed", 0)),
    )
