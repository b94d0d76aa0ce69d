"""Kinds of configuration objects: their fields, ranges and references."""

import re
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import fields, replace
from typing import Any, ClassVar

import msgspec

from apricotgap.core.arguments import Arguments, convert, reject_unknown
from apricotgap.core.budgets import budget_kinds
from apricotgap.errors import ApricotgapError, ConflictError, NotFoundError
from apricotgap.errors import ValidationError as Invalid
from apricotgap.model import (
    Budget,
    Configuration,
    DataCentre,
    Instance,
    InstanceState,
    KeyRecord,
    Pool,
    Queue,
    Team,
)

__all__ = ["ObjectKind", "object_kinds", "require_consistent"]

_KINDS: dict[str, "ObjectKind"] = {}
_ADDRESS = re.compile(r"[^\s:/]+:[0-9]{1,5}|\[[0-9a-fA-F:]+\]:[0-9]{1,5}")


def _merge(known: Mapping[str, Any], values: Mapping[str, Any]) -> dict[str, Any]:
    merged = {**known, **values}
    for field, value in values.items():
        if isinstance(value, dict) and isinstance(known.get(field), dict):
            merged[field] = {**known[field], **value}
    return merged


class ObjectKind(ABC):
    """A kind of object that operators put, delete and list.

    A subclass declares the `noun` of its actions, the `part` of the configuration,
    the `model` class, `system_fields` that operators may not set, and the minimum
    values of numeric fields; it is registered by its definition. `problems` must
    yield an error for each invalid reference.
    """

    noun: ClassVar[str]
    part: ClassVar[str]
    model: ClassVar[type]
    id_field: ClassVar[str] = "name"
    system_fields: ClassVar[frozenset[str]] = frozenset()
    minimums: ClassVar[Mapping[str, int]] = {}

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        _KINDS[cls.noun] = cls()

    @property
    def fields(self) -> frozenset[str]:
        """Fields that operators may set."""
        return frozenset(f.name for f in fields(self.model)) - self.system_fields

    def of(self, config: Configuration) -> dict[str, Any]:
        """Return the objects of the kind by identifier."""
        objects: dict[str, Any] = getattr(config, self.part)
        return objects

    def identify(self, values: Mapping[str, Any]) -> str:
        """Return the identifier among the values."""
        return Arguments(values, values).name(self.id_field)

    def put(self, config: Configuration, values: Mapping[str, Any]) -> Configuration:
        """Add an object, or change the given fields of one.

        Parameters
        ----------
        config : Configuration
            Current configuration.
        values : mapping of str to object
            Fields; omitted ones keep their values or get defaults.

        Returns
        -------
        Configuration
            Changed configuration, not yet checked for consistency.

        Raises
        ------
        ApricotgapError
            If a field is unknown, malformed or may not change.
        """
        name = self.identify(values)
        path = f"{self.noun} {name}: "
        reject_unknown(values, self.fields, path)
        before = self.of(config).get(name)
        known = {} if before is None else msgspec.to_builtins(before)
        changed: Any = convert(_merge(known, values), self.model, path)
        self._check_ranges(changed, path)
        refusal = self.refuse_put(before, changed)
        if refusal is not None:
            raise refusal
        parts: dict[str, Any] = {self.part: {**self.of(config), name: changed}}
        return replace(config, **parts)

    def delete(self, config: Configuration, name: str) -> Configuration:
        """Remove an object.

        Raises
        ------
        ApricotgapError
            If it does not exist or may not be deleted.
        """
        objects = dict(self.of(config))
        before = objects.pop(name, None)
        if before is None:
            raise NotFoundError(
                f"there is no {self.noun} {name!r}",
                f"check the name with {self.noun} list",
            )
        refusal = self.refuse_delete(before)
        if refusal is not None:
            raise refusal
        parts: dict[str, Any] = {self.part: objects}
        return replace(config, **parts)

    def refuse_put(self, before: Any, after: Any) -> ApricotgapError | None:
        """Return an error if operators may not make a change directly, else None."""
        return None

    def refuse_delete(self, before: Any) -> ApricotgapError | None:
        """Return an error if an object may not be deleted, else None."""
        return None

    @abstractmethod
    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield an error for each invalid reference of the kind."""

    def _check_ranges(self, value: Any, path: str) -> None:
        for field, minimum in self.minimums.items():
            number = getattr(value, field)
            if number is not None and number < minimum:
                raise Invalid(
                    f"{path}{field}: {number} is below {minimum}",
                    f"use a number that is {minimum} or above",
                )


def _missing_reference(
    referrer: str, field: str, noun: str, name: str
) -> ApricotgapError:
    return ConflictError(
        f"{referrer}: {field} refers to {noun} {name!r}, which would not exist",
        f"put the {noun} first or in the same change; otherwise first change or "
        f"delete {referrer}",
    )


class DataCentreKind(ObjectKind):
    """Data centres, which are opened and closed by intents."""

    noun = "data_centre"
    part = "data_centres"
    model = DataCentre
    system_fields = frozenset({"state"})

    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield nothing, since a data centre refers to nothing."""
        return iter(())


class PoolKind(ObjectKind):
    """Pools of instances."""

    noun = "pool"
    part = "pools"
    model = Pool
    minimums = {"urgent_reserve_slots": 0}

    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield nothing, since a pool refers to nothing."""
        return iter(())


class InstanceKind(ObjectKind):
    """Instances; only plans change their state, and their pool while in service."""

    noun = "instance"
    part = "instances"
    model = Instance
    system_fields = frozenset({"state", "home_pool", "lent_for"})
    minimums = {"slots": 1, "connections": 1}

    def refuse_put(self, before: Any, after: Any) -> ApricotgapError | None:
        """Reject a malformed address, and a move without a plan."""
        if not _ADDRESS.fullmatch(after.address):
            return Invalid(
                f"instance {after.name}: address: {after.address!r} is not host:port",
                "give an address such as 10.0.0.7:8000",
            )
        if before is None or before.state is InstanceState.DRAINED:
            return None
        for field in ("pool", "data_centre", "rack", "address"):
            if getattr(before, field) != getattr(after, field):
                remedy = f"drain it first with intent plan drain-instance {after.name}"
                if field == "pool":
                    remedy = (
                        f"plan a move with intent plan move-capacity {before.pool} "
                        f"--to-pool {after.pool} --count 1"
                    )
                return ConflictError(
                    f"instance {after.name}: {field}: the instance is "
                    f"{before.state.value} in pool {before.pool!r}",
                    remedy,
                )
        return None

    def refuse_delete(self, before: Any) -> ApricotgapError | None:
        """Reject the deletion of an instance that may run tasks."""
        if before.state is InstanceState.DRAINED:
            return None
        return ConflictError(
            f"instance {before.name} is {before.state.value}",
            f"drain it first with intent plan drain-instance {before.name}",
        )

    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield an error for each pool and data centre that does not exist."""
        for instance in config.instances.values():
            referrer = f"instance {instance.name}"
            if instance.pool not in config.pools:
                yield _missing_reference(referrer, "pool", "pool", instance.pool)
            if instance.data_centre not in config.data_centres:
                yield _missing_reference(
                    referrer, "data_centre", "data_centre", instance.data_centre
                )


class TeamKind(ObjectKind):
    """Teams, with their share and upper limit."""

    noun = "team"
    part = "teams"
    model = Team
    minimums = {"share": 1, "upper_limit": 0}

    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield nothing, since a team refers to nothing."""
        return iter(())


class KeyKind(ObjectKind):
    """Keys of teams, identified by digest."""

    noun = "key"
    part = "keys"
    model = KeyRecord
    id_field = "digest"

    def identify(self, values: Mapping[str, Any]) -> str:
        """Return the digest."""
        return Arguments(values, values).digest("digest")

    def refuse_put(self, before: Any, after: Any) -> ApricotgapError | None:
        """Reject the transfer of a key to another team."""
        if before is None or before.team == after.team:
            return None
        return ConflictError(
            f"the key belongs to team {before.team!r}", "grant a new key"
        )

    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield an error for each team that does not exist."""
        for key in config.keys.values():
            if key.team not in config.teams:
                referrer = f"key {key.digest[:12]}"
                yield _missing_reference(referrer, "team", "team", key.team)


class QueueKind(ObjectKind):
    """Queues of requests, served by a pool."""

    noun = "queue"
    part = "queues"
    model = Queue
    minimums = {"max_length": 1}

    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield an error for each pool and team that does not exist."""
        for queue in config.queues.values():
            referrer = f"queue {queue.name}"
            if queue.pool not in config.pools:
                yield _missing_reference(referrer, "pool", "pool", queue.pool)
            for team in queue.teams:
                if team not in config.teams:
                    yield _missing_reference(referrer, "teams", "team", team)


class BudgetObjectKind(ObjectKind):
    """Availability budgets, with a target and limits."""

    noun = "budget"
    part = "budgets"
    model = Budget
    minimums = {"min_available": 0, "max_unavailable": 0, "max_groups_out": 0}

    def refuse_put(self, before: Any, after: Any) -> ApricotgapError | None:
        """Reject an unknown kind, and limits that the kind does not support."""
        kind = budget_kinds().get(after.kind)
        if kind is None:
            return Invalid(
                f"budget {after.name}: kind: {after.kind!r} is unknown",
                f"use one of {', '.join(sorted(budget_kinds()))}",
            )
        given = {f for f in self.minimums if getattr(after, f) is not None}
        path = f"budget {after.name}: "
        reject_unknown(given, kind.fields, path)
        if not given:
            return Invalid(
                f"{path}no limit is given", f"give one of {', '.join(kind.fields)}"
            )
        if after.max_groups_out is not None and after.target != "*":
            return Invalid(
                f"{path}target: max_groups_out counts all groups of the kind",
                "use the target *",
            )
        return None

    def problems(self, config: Configuration) -> Iterator[ApricotgapError]:
        """Yield an error for each missing target and each group that is too small."""
        groups = {
            kind.name: Counter(kind.group_of(i) for i in config.instances.values())
            for kind in budget_kinds().values()
        }
        for budget in config.budgets.values():
            counts = groups.get(budget.kind)
            if counts is None:
                continue
            if budget.target != "*" and budget.target not in counts:
                yield _missing_reference(
                    f"budget {budget.name}",
                    "target",
                    f"{budget.kind} with instances",
                    budget.target,
                )
                continue
            targets = counts if budget.target == "*" else (budget.target,)
            for target in targets:
                if counts[target] < (budget.min_available or 0):
                    yield ConflictError(
                        f"budget {budget.name}: min_available "
                        f"{budget.min_available} cannot be met: {budget.kind} "
                        f"{target!r} has {counts[target]} instances",
                        "put more instances in the same change, or lower the budget",
                    )


def object_kinds() -> dict[str, ObjectKind]:
    """Return the registered kinds by noun."""
    return dict(_KINDS)


def require_consistent(config: Configuration) -> None:
    """Reject a configuration with invalid references.

    Raises
    ------
    ApricotgapError
        The first problem found.
    """
    for kind in _KINDS.values():
        for problem in kind.problems(config):
            raise problem
