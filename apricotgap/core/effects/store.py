"""Effects for the platform's key-value store."""

from dataclasses import dataclass

from apricotgap.core.effects.base import Effect

__all__ = [
    "GrantLease",
    "OpenWatch",
    "RenewLease",
    "RevokeLease",
    "StoreCas",
    "StoreDelete",
    "StoreGet",
    "StoreList",
]


@dataclass(frozen=True, slots=True)
class StoreGet(Effect):
    """Reads one key; with `keys_only` only its revision, without the value."""

    call_id: str
    key: str
    keys_only: bool = False


@dataclass(frozen=True, slots=True)
class StoreList(Effect):
    """Reads all keys below a prefix."""

    call_id: str
    prefix: str


@dataclass(frozen=True, slots=True)
class StoreCas(Effect):
    """Writes a key if its revision is `expected_revision` (0: it is absent)."""

    call_id: str
    key: str
    expected_revision: int
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class StoreDelete(Effect):
    """Deletes a key if its revision is `expected_revision`."""

    call_id: str
    key: str
    expected_revision: int


@dataclass(frozen=True, slots=True)
class GrantLease(Effect):
    """Requests a lease."""

    call_id: str
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class RenewLease(Effect):
    """Renews a lease."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class RevokeLease(Effect):
    """Revokes a lease."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class OpenWatch(Effect):
    """Watches all keys below a prefix from `from_revision` on."""

    prefix: str
    from_revision: int = 0
