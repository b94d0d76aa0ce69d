"""Availability budgets and counts of the instances that are out of service."""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass
from typing import ClassVar

from apricotgap.core.grants import (
    GRANTS_KEY,
    Grant,
    Grants,
    decode_grants,
    encode_grants,
)
from apricotgap.model import (
    Budget,
    Configuration,
    DataCentreState,
    Instance,
    InstanceState,
)

__all__ = [
    "GRANTS_KEY",
    "BudgetKind",
    "BudgetUsage",
    "Grant",
    "Grants",
    "GroupCounts",
    "budget_kinds",
    "decode_grants",
    "encode_grants",
    "out_of_service",
    "violated_budgets",
]

_KINDS: dict[str, "BudgetKind"] = {}


@dataclass(frozen=True, slots=True)
class GroupCounts:
    """Number of instances in a group, of those out, and of groups with one out."""

    n_total: int
    n_out: int
    n_groups_out: int


class BudgetKind(ABC):
    """A way to group instances and to limit how many of them are out.

    A subclass declares `name` and the fields of `Budget` that it uses, and is
    registered by its definition. `group_of` must depend on the instance alone.
    """

    name: ClassVar[str]
    fields: ClassVar[tuple[str, ...]]

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        _KINDS[cls.name] = cls()

    @abstractmethod
    def group_of(self, instance: Instance) -> str:
        """Return the group of an instance."""

    @abstractmethod
    def is_violated(self, budget: Budget, counts: GroupCounts) -> bool:
        """Return whether the counts of a group violate the budget."""


def _exceeds(value: int, limit: int | None) -> bool:
    return limit is not None and value > limit


class PoolBudget(BudgetKind):
    """Keeps a minimum of the instances of a pool in service."""

    name = "pool"
    fields = ("min_available", "max_unavailable")

    def group_of(self, instance: Instance) -> str:
        """Return the pool."""
        return instance.pool

    def is_violated(self, budget: Budget, counts: GroupCounts) -> bool:
        """Check the instances in service and those that are out."""
        minimum = budget.min_available or 0
        return counts.n_total - counts.n_out < minimum or _exceeds(
            counts.n_out, budget.max_unavailable
        )


class RackBudget(BudgetKind):
    """Limits the racks out at once and the instances out within a rack."""

    name = "rack"
    fields = ("max_unavailable", "max_groups_out")

    def group_of(self, instance: Instance) -> str:
        """Return the rack."""
        return instance.rack

    def is_violated(self, budget: Budget, counts: GroupCounts) -> bool:
        """Check the instances and the racks that are out."""
        return _exceeds(counts.n_out, budget.max_unavailable) or _exceeds(
            counts.n_groups_out, budget.max_groups_out
        )


class DataCentreBudget(BudgetKind):
    """Limits the data centres out at once and the instances out within one."""

    name = "data_centre"
    fields = ("max_unavailable", "max_groups_out")

    def group_of(self, instance: Instance) -> str:
        """Return the data centre."""
        return instance.data_centre

    def is_violated(self, budget: Budget, counts: GroupCounts) -> bool:
        """Check the instances and the data centres that are out."""
        return _exceeds(counts.n_out, budget.max_unavailable) or _exceeds(
            counts.n_groups_out, budget.max_groups_out
        )


def budget_kinds() -> dict[str, BudgetKind]:
    """Return the registered kinds by name."""
    return dict(_KINDS)


def out_of_service(config: Configuration) -> set[str]:
    """Return the instances that are out by their state or their data centre's."""
    closed = {
        name
        for name, data_centre in config.data_centres.items()
        if data_centre.state is DataCentreState.CLOSED
    }
    return {
        name
        for name, instance in config.instances.items()
        if instance.state is not InstanceState.IN_SERVICE
        or instance.data_centre in closed
    }


class BudgetUsage:
    """Counts of instances that are out, updated as instances leave and return.

    Parameters
    ----------
    config : Configuration
        Instances and budgets.
    out : iterable of str
        Instances that are out for any reason.
    """

    def __init__(self, config: Configuration, out: Iterable[str]) -> None:
        self._instances = dict(config.instances)
        self._budgets: dict[tuple[str, str], list[Budget]] = defaultdict(list)
        for budget in config.budgets.values():
            self._budgets[budget.kind, budget.target].append(budget)
        # An entry instance of a newer version may have accepted an unknown kind.
        self._unknown = [b for b in config.budgets.values() if b.kind not in _KINDS]
        self._out: set[str] = set()
        self._n_total: dict[tuple[str, str], int] = defaultdict(int)
        self._n_out: dict[tuple[str, str], int] = defaultdict(int)
        self._n_groups_out: dict[str, int] = defaultdict(int)
        for instance in self._instances.values():
            self._count_total(instance, 1)
        self.mark_out(out)

    @property
    def out(self) -> frozenset[str]:
        """Instances that are out of service."""
        return frozenset(self._out)

    def copy(self) -> "BudgetUsage":
        """Return an independent copy, which is cheaper than a new count."""
        other = copy(self)
        other._instances = dict(self._instances)
        other._out = set(self._out)
        other._n_total = self._n_total.copy()
        other._n_out = self._n_out.copy()
        other._n_groups_out = self._n_groups_out.copy()
        return other

    def is_out(self, name: str) -> bool:
        """Return whether an instance is out."""
        return name in self._out

    def mark_out(self, names: Iterable[str]) -> None:
        """Count instances as out of service."""
        for name in names:
            if name in self._instances and name not in self._out:
                self._out.add(name)
                self._count_out(self._instances[name], 1)

    def mark_serving(self, names: Iterable[str]) -> None:
        """Count instances as in service again."""
        for name in names:
            if name in self._out:
                self._out.remove(name)
                self._count_out(self._instances[name], -1)

    def replace_instance(self, instance: Instance) -> None:
        """Replace an instance by a changed one, for example in another pool."""
        before = self._instances[instance.name]
        was_out = instance.name in self._out
        self.mark_serving((instance.name,))
        self._count_total(before, -1)
        self._instances[instance.name] = instance
        self._count_total(instance, 1)
        if was_out:
            self.mark_out((instance.name,))

    def budgets_covering(self, name: str) -> list[Budget]:
        """Return the budgets that cover an instance, sorted by name."""
        groups = self._groups((self._instances[name],))
        return sorted(
            (b for kind, group in groups for b in self._of_group(kind, group)),
            key=lambda b: b.name,
        )

    def slack(self, pool: str) -> tuple[int, Budget | None]:
        """Count the instances of a pool in service above its strictest minimum.

        Parameters
        ----------
        pool : str
            Name of the pool.

        Returns
        -------
        n_above : int
            Negative when the pool is below the minimum.
        budget : Budget or None
            Budget with the strictest minimum, None without one.
        """
        n_serving = self._n_total["pool", pool] - self._n_out["pool", pool]
        bound = max(
            self._of_group(_KINDS["pool"], pool),
            key=lambda b: b.min_available or 0,
            default=None,
        )
        return n_serving - ((bound.min_available or 0) if bound else 0), bound

    def violated(self, names: Iterable[str]) -> list[Budget]:
        """Return the budgets that are violated if the instances go out together.

        Parameters
        ----------
        names : iterable of str
            Instances; those that are already out are ignored.

        Returns
        -------
        list of Budget
            Violated budgets, sorted by name; empty if the instances may go out.
        """
        fresh = [n for n in names if n in self._instances and n not in self._out]
        if not fresh:
            return []
        self.mark_out(fresh)
        broken = {
            budget.name: budget
            for kind, group in self._groups(self._instances[n] for n in fresh)
            for budget in self._of_group(kind, group)
            if kind.is_violated(budget, self._counts(kind, group))
        }
        broken.update((budget.name, budget) for budget in self._unknown)
        self.mark_serving(fresh)
        return [broken[name] for name in sorted(broken)]

    def _groups(self, instances: Iterable[Instance]) -> set[tuple[BudgetKind, str]]:
        return {(k, k.group_of(i)) for i in instances for k in _KINDS.values()}

    def _of_group(self, kind: BudgetKind, group: str) -> list[Budget]:
        own = self._budgets.get((kind.name, group), [])
        return own + self._budgets.get((kind.name, "*"), [])

    def _counts(self, kind: BudgetKind, group: str) -> GroupCounts:
        return GroupCounts(
            self._n_total[kind.name, group],
            self._n_out[kind.name, group],
            self._n_groups_out[kind.name],
        )

    def _count_total(self, instance: Instance, step: int) -> None:
        for kind in _KINDS.values():
            self._n_total[kind.name, kind.group_of(instance)] += step

    def _count_out(self, instance: Instance, step: int) -> None:
        for kind in _KINDS.values():
            key = (kind.name, kind.group_of(instance))
            before = self._n_out[key]
            self._n_out[key] = before + step
            if (before == 0) != (before + step == 0):
                self._n_groups_out[kind.name] += step


def violated_budgets(
    config: Configuration,
    grants: Grants,
    unavailable: Iterable[str],
    instance: str | Iterable[str],
) -> list[Budget]:
    """Return the budgets that are violated if more instances go out.

    Parameters
    ----------
    config : Configuration
        Instances and budgets.
    grants : Grants
        Current grants.
    unavailable : iterable of str
        Instances that are out without a grant, counted first.
    instance : str or iterable of str
        An instance, or a set that goes out together.

    Returns
    -------
    list of Budget
        Violated budgets; empty if the instances may go out.
    """
    out = out_of_service(config) | set(grants.instances) | set(unavailable)
    names = (instance,) if isinstance(instance, str) else tuple(instance)
    return BudgetUsage(config, out).violated(names)
