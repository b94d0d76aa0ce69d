"""Encoding and decoding of the configuration root and its immutable parts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import cbor2
import msgspec

from apricotgap.core import limits
from apricotgap.core.part_codec import (
    PLAIN_KINDS,
    Group,
    convert,
    decode_part,
    encode_part,
    is_part_name,
    loads,
    malformed,
    part_name,
    sha256_hex,
)
from apricotgap.model import Configuration, Step

__all__ = [
    "PART_PREFIX",
    "ROOT_KEY",
    "Root",
    "Snapshot",
    "decode_root",
    "decode_snapshot",
    "encode_root",
    "encode_snapshot",
    "part_key",
    "sha256_hex",
]

ROOT_KEY = "config/root"
PART_PREFIX = "config/part/"


@dataclass(frozen=True, slots=True)
class Root:
    """The root document.

    Parameters
    ----------
    revision : int
        Incremented by each change.
    parts : dict of str to str
        SHA-256 hash in hexadecimal, by part name.
    author : str
        Token of the change that wrote this root.
    earlier_authors : tuple of str
        Tokens of the changes before it, newest first.
    superseded : tuple of str
        Hashes of parts that are no longer used and not known to be removed.
    """

    revision: int
    parts: dict[str, str]
    author: str = ""
    earlier_authors: tuple[str, ...] = ()
    superseded: tuple[str, ...] = ()

    def includes(self, author: str) -> bool:
        """Return whether the change with this token is in the root's history."""
        return author == self.author or author in self.earlier_authors


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A configuration with its encoded parts.

    `groups` maps a part name to its objects, `hashes` to its hash, and `blobs` maps
    a hash to the bytes.
    """

    config: Configuration = field(default_factory=Configuration)
    groups: dict[str, Group] = field(default_factory=dict)
    hashes: dict[str, str] = field(default_factory=dict)
    blobs: dict[str, bytes] = field(default_factory=dict)


def part_key(digest: str) -> str:
    """Return the store key of a part."""
    return PART_PREFIX + digest


def encode_root(root: Root) -> bytes:
    """Encode a root deterministically."""
    document = {
        "revision": root.revision,
        "parts": {name: bytes.fromhex(value) for name, value in root.parts.items()},
        "author": root.author,
        "earlier_authors": root.earlier_authors,
        "superseded": [bytes.fromhex(value) for value in root.superseded],
    }
    return cbor2.dumps(document, canonical=True)


class _WireRoot(msgspec.Struct):
    revision: int
    parts: dict[str, bytes]
    author: str
    earlier_authors: tuple[str, ...]
    superseded: tuple[bytes, ...]


def decode_root(blob: bytes) -> Root:
    """Decode and validate a root.

    Raises
    ------
    ValidationError
        If the bytes are not a root.
    """
    wire = convert(loads(blob, "root"), _WireRoot, "root")
    hashes = (*wire.parts.values(), *wire.superseded)
    if wire.revision < 1 or any(len(value) != 32 for value in hashes):
        raise malformed("root", "revision below 1 or hash not 32 bytes long")
    if not all(is_part_name(name) for name in wire.parts):
        raise malformed("root", "part of an unknown kind")
    return Root(
        wire.revision,
        {name: value.hex() for name, value in wire.parts.items()},
        wire.author,
        wire.earlier_authors,
        tuple(value.hex() for value in wire.superseded),
    )


def encode_snapshot(
    config: Configuration, previous: Snapshot, avoid: Iterable[str] = ()
) -> Snapshot:
    """Encode the parts of a configuration that differ from a previous one.

    Parameters
    ----------
    config : Configuration
        What to encode.
    previous : Snapshot
        Provides the parts that did not change.
    avoid : iterable of str
        Hashes of parts that may be removed from the store at any time. A part that
        would get one of them is salted, so no part in use is ever removed.

    Returns
    -------
    Snapshot
        Parts of `config` only.
    """
    banned = frozenset(avoid)
    snapshot = Snapshot(config)
    for name, group in _split(config, previous).items():
        snapshot.groups[name] = group
        if name in previous.hashes and previous.groups[name] == group:
            digest = previous.hashes[name]
            blob = previous.blobs[digest]
        else:
            digest, blob = encode_part(name, group, config.revision, banned)
        snapshot.hashes[name] = digest
        snapshot.blobs[digest] = blob
    return snapshot


def decode_snapshot(
    root: Root, blobs: Mapping[str, bytes], previous: Snapshot
) -> Snapshot:
    """Decode a configuration, reusing the unchanged parts of a previous one.

    Raises
    ------
    ValidationError
        If a part is malformed, corrupt or contradicts another one.
    """
    snapshot = Snapshot(Configuration(root.revision))
    for name, digest in root.parts.items():
        snapshot.hashes[name] = digest
        if previous.hashes.get(name) == digest:
            snapshot.groups[name] = previous.groups[name]
            snapshot.blobs[digest] = previous.blobs[digest]
            continue
        blob = blobs[digest]
        if sha256_hex(blob) != digest:
            raise malformed(name, "its hash differs from that in the root")
        snapshot.groups[name] = decode_part(name, blob)
        snapshot.blobs[digest] = blob
    return replace(snapshot, config=_join(root.revision, snapshot, previous))


def _split(config: Configuration, previous: Snapshot) -> dict[str, Group]:
    groups: dict[str, Group] = {}
    for kind in PLAIN_KINDS:
        items = getattr(config, kind)
        if items is getattr(previous.config, kind):
            groups |= _groups_of(previous, kind)
            continue
        for key, item in items.items():
            groups.setdefault(part_name(kind, key, item), {})[key] = item
    for plan_id, plan in config.active_plans.items():
        groups[f"plans/{plan_id}"] = {plan_id: replace(plan, steps=())}
        for start in range(0, len(plan.steps), limits.N_STEPS_PER_PART):
            chunk = plan.steps[start : start + limits.N_STEPS_PER_PART]
            number = start // limits.N_STEPS_PER_PART
            groups[f"steps/{number}/{plan_id}"] = {
                f"{start + offset}": step for offset, step in enumerate(chunk)
            }
    return groups


def _groups_of(snapshot: Snapshot, kind: str) -> dict[str, Group]:
    return {
        name: group
        for name, group in snapshot.groups.items()
        if name.split("/")[0] == kind
    }


def _join(revision: int, snapshot: Snapshot, previous: Snapshot) -> Configuration:
    maps: dict[str, Any] = {}
    for kind in PLAIN_KINDS:
        groups = _groups_of(snapshot, kind)
        old = _groups_of(previous, kind)
        if groups.keys() == old.keys() and all(groups[n] is old[n] for n in groups):
            maps[kind] = getattr(previous.config, kind)
            continue
        merged: Group = {}
        maps[kind] = merged
        for name in sorted(groups):
            if merged.keys() & groups[name].keys():
                raise malformed(name, "an object occurs in two parts")
            merged.update(groups[name])
    plans = {}
    for name, group in _groups_of(snapshot, "plans").items():
        for plan_id, plan in group.items():
            if name != f"plans/{plan_id}":
                raise malformed(name, "plan id differs from the part name")
            plans[plan_id] = replace(plan, steps=_steps(snapshot, plan_id))
    return Configuration(revision, active_plans=plans, **maps)


def _step_number(key: str) -> tuple[int, str]:
    # As numbers, without the conversion, which fails for 5,000 digits.
    return len(key.lstrip("0")), key.lstrip("0")


def _steps(snapshot: Snapshot, plan_id: str) -> tuple[Step, ...]:
    steps: list[Step] = []
    while group := snapshot.groups.get(
        f"steps/{len(steps) // limits.N_STEPS_PER_PART}/{plan_id}"
    ):
        if not all(key.isascii() and key.isdigit() for key in group):
            raise malformed(f"plans/{plan_id}", "a step whose key is no number")
        steps.extend(group[key] for key in sorted(group, key=_step_number))
        if len(group) < limits.N_STEPS_PER_PART:
            break
    n_parts = sum(
        name.split("/", 2)[2] == plan_id for name in _groups_of(snapshot, "steps")
    )
    if n_parts * limits.N_STEPS_PER_PART >= len(steps) + limits.N_STEPS_PER_PART:
        raise malformed(f"plans/{plan_id}", "a part with steps is missing")
    return tuple(steps)
