"""Events from the platform's key-value store."""

from dataclasses import dataclass
from enum import StrEnum

from apricotgap.core.events.base import Event

__all__ = [
    "CasFinished",
    "CasResult",
    "KeyValue",
    "LeaseGranted",
    "LeaseLost",
    "LeaseRenewed",
    "StoreCallFailed",
    "StoreChanged",
    "StoreReadFinished",
    "WatchBroken",
    "WatchOpened",
]


class CasResult(StrEnum):
    """Result of a compare-and-swap."""

    STORED = "stored"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key of the store; `revision` is 0 and `value` empty if it is absent."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class StoreReadFinished(Event):
    """Answer to `StoreGet` (one item, also when absent) or `StoreList`.

    `sent_ms` is when the call was sent; the answer reflects the state of the store at
    that time or later. A watch from `revision` + 1 misses no later change;
    `revision` is 0 if it is unknown.
    """

    call_id: str
    items: tuple[KeyValue, ...]
    sent_ms: int
    revision: int = 0


@dataclass(frozen=True, slots=True)
class CasFinished(Event):
    """Answer to `StoreCas` or `StoreDelete`.

    `revision` is the new revision when stored.
    """

    call_id: str
    key: str
    result: CasResult
    revision: int = 0


@dataclass(frozen=True, slots=True)
class StoreCallFailed(Event):
    """A read or lease call failed or timed out."""

    call_id: str


@dataclass(frozen=True, slots=True)
class StoreChanged(Event):
    """A watch reported a change; `items` holds deleted keys as absent."""

    prefix: str
    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class WatchOpened(Event):
    """A watch is open."""

    prefix: str


@dataclass(frozen=True, slots=True)
class WatchBroken(Event):
    """A watch broke; the core reads the prefix again and reopens it."""

    prefix: str


@dataclass(frozen=True, slots=True)
class LeaseGranted(Event):
    """Answer to `GrantLease`; valid for `ttl_ms` from `sent_ms`."""

    call_id: str
    lease_id: int
    ttl_ms: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class LeaseRenewed(Event):
    """A keep-alive succeeded; the lease is valid for `ttl_ms` from `sent_ms`."""

    lease_id: int
    ttl_ms: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class LeaseLost(Event):
    """The store answered that the lease no longer exists."""

    lease_id: int
