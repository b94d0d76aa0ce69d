"""Differences between two versions of the configuration."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any

from apricotgap.jobs.configuration import Configuration, QueueSpec, ServiceSpec, Team
from apricotgap.jobs.configuration_finding import FieldPath
from apricotgap.jobs.key_digest import key_digest
from apricotgap.jobs.model import Resources

__all__ = ["Change", "FieldChange", "KeyChange", "compare"]


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field with its value in either version."""

    path: FieldPath
    old: Any
    new: Any


@dataclass(frozen=True, slots=True)
class KeyChange:
    """Numbers of keys in either version, and digests of those that differ."""

    n_old: int
    n_new: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """An entry that was added, removed or changed."""

    kind: str
    name: str
    action: str
    fields: tuple[FieldChange, ...] = ()
    keys: KeyChange | None = None


def compare(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return the changes of queues, services and teams from one version to another."""
    return (
        *_compare("queue", old.queue_by_name, new.queue_by_name),
        *_compare("service", old.service_by_name, new.service_by_name),
        *_compare("team", _teams_by_name(old), _teams_by_name(new)),
    )


def _teams_by_name(config: Configuration) -> dict[str, Team]:
    return {team.name: team for team in config.teams}


def _compare(
    kind: str,
    old: Mapping[str, QueueSpec | ServiceSpec | Team],
    new: Mapping[str, QueueSpec | ServiceSpec | Team],
) -> list[Change]:
    changes = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        keys = _compare_keys(before, after)
        if before is None or after is None:
            action = "added" if before is None else "removed"
            changes.append(Change(kind, name, action, keys=keys))
            continue
        changed = tuple(_compare_fields((f"{kind}s",), before, after))
        changes.append(Change(kind, name, "changed", changed, keys))
    return changes


def _compare_fields(path: FieldPath, before: Any, after: Any) -> Iterator[FieldChange]:
    for name in (field.name for field in fields(after)):
        old, new = getattr(before, name), getattr(after, name)
        if old == new or name == "keys":
            continue
        if isinstance(new, Resources):
            yield from _compare_fields((*path, name), old, new)
        else:
            yield FieldChange((*path, name), old, new)


def _compare_keys(before: object, after: object) -> KeyChange | None:
    old = before.keys if isinstance(before, Team) else frozenset()
    new = after.keys if isinstance(after, Team) else frozenset()
    if old == new:
        return None
    return KeyChange(len(old), len(new), _digests(new - old), _digests(old - new))


def _digests(keys: frozenset[str]) -> tuple[str, ...]:
    return tuple(sorted(map(key_digest, keys)))
