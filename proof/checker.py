"""Breadth-first search of all states of a small specification."""

from abc import ABC, abstractmethod
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import ClassVar

__all__ = ["Result", "Specification", "explore"]


class Specification(ABC):
    """A state machine with invariants and guards.

    A subclass declares its `guards`: the name of each and what it prevents. A mutant
    is the specification with one guard removed. States must be immutable, and their
    number finite.

    With a `goal`, each state must also lead to one in which the goal is `reached`, by
    steps that are no faults.

    Parameters
    ----------
    without : str or None
        Guard to remove.
    """

    name: ClassVar[str]
    bounds: ClassVar[str]
    invariants: ClassVar[tuple[str, ...]]
    guards: ClassVar[dict[str, str]]
    goal: ClassVar[str | None] = None

    def __init__(self, without: str | None = None) -> None:
        if without is not None and without not in self.guards:
            raise ValueError(f"{self.name} has no guard {without}")
        self._without = without

    def guarded(self, guard: str) -> bool:
        """Tell whether a guard is in place."""
        return guard != self._without

    @abstractmethod
    def initial(self) -> Iterable[Hashable]:
        """Return the initial states."""

    @abstractmethod
    def steps(self, state: Hashable) -> Iterable[tuple[str, Hashable]]:
        """Return what can happen next, as labels and states."""

    @abstractmethod
    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks, None if there is none."""

    def reached(self, state: Hashable) -> bool:
        """Return whether the goal is reached in a state."""
        return True

    def is_fault(self, label: str) -> bool:
        """Return whether a step is one on which the goal must not rely."""
        return False


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a search; `trace` leads to the violation, if there is one."""

    n_states: int
    depth: int
    violation: str | None = None
    trace: tuple[str, ...] = ()


def explore(specification: Specification) -> Result:
    """Search all reachable states, shortest traces first.

    Parameters
    ----------
    specification : Specification
        What to check.

    Returns
    -------
    Result
        The first violation, or the number of all states.
    """
    level = list(specification.initial())
    came_from: dict[Hashable, tuple[Hashable, str] | None] = dict.fromkeys(level)
    for state in level:
        broken = specification.violated(state)
        if broken is not None:
            return Result(len(came_from), 0, broken)
    depth = 0
    before: dict[Hashable, list[Hashable]] = {}
    while level:
        following = []
        for state in level:
            for label, after in specification.steps(state):
                if specification.goal and not specification.is_fault(label):
                    before.setdefault(after, []).append(state)
                if after in came_from:
                    continue
                came_from[after] = (state, label)
                broken = specification.violated(after)
                if broken is not None:
                    trace = _trace(came_from, after)
                    return Result(len(came_from), depth + 1, broken, trace)
                following.append(after)
        level = following
        depth += bool(level)
    if specification.goal:
        stuck = _first_stuck(specification, came_from, before)
        if stuck is not None:
            trace = _trace(came_from, stuck)
            return Result(len(came_from), len(trace), specification.goal, trace)
    return Result(len(came_from), depth)


def _first_stuck(
    specification: Specification,
    states: Iterable[Hashable],
    before: dict[Hashable, list[Hashable]],
) -> Hashable | None:
    """Return the first state from which no steps lead to the goal."""
    leading = {state for state in states if specification.reached(state)}
    pending = list(leading)
    while pending:
        for state in before.get(pending.pop(), ()):
            if state not in leading:
                leading.add(state)
                pending.append(state)
    return next((state for state in states if state not in leading), None)


def _trace(
    came_from: dict[Hashable, tuple[Hashable, str] | None], state: Hashable
) -> tuple[str, ...]:
    labels: list[str] = []
    while (step := came_from[state]) is not None:
        state, label = step
        labels.append(label)
    return tuple(reversed(labels))
