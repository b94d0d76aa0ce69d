"""Encoding and decoding of a single configuration part."""

import hashlib
from dataclasses import fields, is_dataclass
from typing import Any

import cbor2
import msgspec

from apricotgap.core import limits
from apricotgap.decoding import DecodeError, decode_cbor
from apricotgap.errors import ValidationError, quoted
from apricotgap.model import (
    Budget,
    DataCentre,
    Instance,
    KeyRecord,
    Plan,
    Pool,
    Queue,
    Step,
    Team,
)

__all__ = [
    "KIND_TYPES",
    "PLAIN_KINDS",
    "Group",
    "convert",
    "decode_part",
    "encode_part",
    "is_part_name",
    "loads",
    "malformed",
    "part_name",
    "sha256_hex",
]


KIND_TYPES: dict[str, type] = {
    "data_centres": DataCentre,
    "instances": Instance,
    "pools": Pool,
    "teams": Team,
    "keys": KeyRecord,
    "queues": Queue,
    "budgets": Budget,
    "plans": Plan,
    "steps": Step,
}
_N_BUCKETS = {
    "instances": limits.N_INSTANCE_BUCKETS_PER_DATA_CENTRE,
    "pools": limits.N_POOL_BUCKETS,
    "teams": limits.N_TEAM_BUCKETS,
    "keys": limits.N_KEY_BUCKETS,
    "queues": limits.N_QUEUE_BUCKETS,
    "budgets": limits.N_BUDGET_BUCKETS,
}
# Omitted from rows because the row's key holds the same value.
_ID_FIELDS = {"keys": "digest", "plans": "plan_id"}
PLAIN_KINDS = tuple(kind for kind in KIND_TYPES if kind not in ("plans", "steps"))
Group = dict[str, Any]
_MAX_CAUSE = 200


def sha256_hex(blob: bytes) -> str:
    """Return the SHA-256 hash in hexadecimal, which names a stored part."""
    return hashlib.sha256(blob).hexdigest()


def is_part_name(name: str) -> bool:
    """Return whether a part name has a known kind."""
    kind, *rest = name.split("/", 2)
    return kind in KIND_TYPES and (kind != "steps" or len(rest) == 2)


def _bucket(name: str, n_buckets: int) -> int:
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], "big") % n_buckets


def part_name(kind: str, key: str, item: Any) -> str:
    """Return the name of the part that holds an object."""
    if kind == "data_centres":
        return kind
    bucket = _bucket(key, _N_BUCKETS[kind])
    if kind == "instances":
        return f"{kind}/{bucket}/{item.data_centre}"
    return f"{kind}/{bucket}"


def encode_part(
    name: str, group: Group, revision: int, banned: frozenset[str]
) -> tuple[str, bytes]:
    """Return the hash and bytes of a part, salted if its hash is in `banned`."""
    keys = sorted(group)
    id_field = _id_field(name)
    rows = [_flatten(group[key]) for key in keys]
    for row in rows:
        row.pop(id_field, None)
    columns = sorted({column for row in rows for column in row})
    document: dict[str, Any] = {
        "keys": keys,
        "columns": columns,
        "rows": [[row[column] for column in columns] for row in rows],
    }
    blob = cbor2.dumps(document, canonical=True)
    while sha256_hex(blob) in banned:
        document["salt"] = (revision, document.get("salt", (revision, 0))[1] + 1)
        blob = cbor2.dumps(document, canonical=True)
    return sha256_hex(blob), blob


def _id_field(name: str) -> str:
    kind = name.split("/", maxsplit=1)[0]
    return "" if kind == "steps" else _ID_FIELDS.get(kind, "name")


def _flatten(item: Any, prefix: str = "") -> dict[str, Any]:
    row: dict[str, Any] = {}
    for spec in fields(item):
        value = getattr(item, spec.name)
        if is_dataclass(value):
            row |= _flatten(value, f"{prefix}{spec.name}.")
        else:
            row[prefix + spec.name] = msgspec.to_builtins(value)
    return row


class _WirePart(msgspec.Struct):
    keys: tuple[str, ...]
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


def decode_part(name: str, blob: bytes) -> Group:
    """Decode and validate the objects of a part."""
    kind = name.split("/", maxsplit=1)[0]
    wire = convert(loads(blob, name), _WirePart, name)
    if len(wire.keys) != len(wire.rows) or len(set(wire.keys)) != len(wire.keys):
        raise malformed(name, "keys are not unique or do not match the rows")
    group: Group = {}
    for key, row in zip(wire.keys, wire.rows, strict=True):
        if len(row) != len(wire.columns):
            raise malformed(name, f"row {key!r} does not have one value per column")
        document = _unflatten(dict(zip(wire.columns, row, strict=True)), name)
        if id_field := _id_field(name):
            document[id_field] = key
        group[key] = convert(document, KIND_TYPES[kind], name)
    for key, item in group.items():
        if kind in PLAIN_KINDS and part_name(kind, key, item) != name:
            raise malformed(name, f"object {key!r} belongs to another part")
    return group


def _unflatten(row: dict[str, Any], name: str) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for column, value in row.items():
        *outer, last = column.split(".")
        target = document
        for step in outer:
            target = target.setdefault(step, {})
            if not isinstance(target, dict):
                raise malformed(name, f"column {column!r} conflicts with another")
        target[last] = value
    return document


def loads(blob: bytes, name: str) -> Any:
    """Decode CBOR, raising `ValidationError` on malformed bytes."""
    try:
        return decode_cbor(blob)
    except DecodeError as error:
        raise malformed(name, str(error)) from error


def convert(document: Any, target: Any, name: str) -> Any:
    """Validate a decoded document, raising `ValidationError`."""
    try:
        return msgspec.convert(document, target, builtin_types=(bytes,))
    except (msgspec.ValidationError, TypeError, ValueError, RecursionError) as error:
        raise malformed(name, str(error)) from error


def malformed(name: str, cause: str) -> ValidationError:
    """Return the error for a malformed document."""
    return ValidationError(
        f"configuration document {quoted(name)} is malformed: {cause[:_MAX_CAUSE]}",
        "restore the document from a peer or a backup of the store",
    )
