"""What the platform's key-value store holds, takes and answers."""

from dataclasses import dataclass

__all__ = [
    "Conflict",
    "HistoryLostError",
    "InterruptedReadError",
    "Item",
    "Lease",
    "LeaseGone",
    "PartialRead",
    "RefusedError",
    "Rejected",
    "Snapshot",
    "StoreError",
    "Stored",
    "Unavailable",
    "Unknown",
    "Write",
    "WriteOutcome",
]


class StoreError(Exception):
    """A call other than a write got no usable response.

    Parameters
    ----------
    reason : str
        What failed.
    stage : str
        What the call was waiting for, empty if it got a response.
    n_received_bytes : int
        Bytes of the response that had arrived.
    """

    def __init__(self, reason: str, stage: str = "", n_received_bytes: int = 0) -> None:
        super().__init__(reason)
        self.stage = stage
        self.n_received_bytes = n_received_bytes


class RefusedError(StoreError):
    """The store has refused a call and done nothing, since it has too many calls."""


class HistoryLostError(StoreError):
    """The store has dropped the history after the revision of a watch."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value, None if the key was removed, and last revision.

    `created` is the revision at which the key was created.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Items and the store revision at which they were read."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class PartialRead:
    """Pages of a prefix that were read before a failure.

    `revision` is that of the first page, `after` the last key of the last one.
    """

    items: tuple[Item, ...]
    revision: int
    after: str


class InterruptedReadError(StoreError):
    """A read of a prefix failed after some of its pages.

    Parameters
    ----------
    cause : StoreError
        Why it failed.
    partial : PartialRead
        From where to go on.
    """

    def __init__(self, cause: StoreError, partial: PartialRead) -> None:
        super().__init__(str(cause), cause.stage, cause.n_received_bytes)
        self.partial = partial


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store has granted.

    Raises
    ------
    ValueError
        The id is 0, which the store takes as no lease: the key would stay for good.
    """

    lease_id: int

    def __post_init__(self) -> None:
        if self.lease_id <= 0:
            raise ValueError(f"{self.lease_id} is not the id of a lease")


@dataclass(frozen=True, slots=True)
class Write:
    """Write and condition on one key of a transaction.

    `expected_revision` is None for no condition and 0 for a key that must not
    exist. A `value` of None removes the key, unless `check_only` is set. `lease` is
    the lease to which the key is attached, None for a key that stays.
    """

    key: str
    value: bytes | None = None
    expected_revision: int | None = None
    lease: Lease | None = None
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class Stored:
    """The transaction was committed at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition failed; `items` are the existing keys among those checked."""

    items: tuple[Item, ...]

    def revision_of(self, key: str) -> int:
        """Return the revision of a checked key, 0 if it does not exist."""
        return next((item.revision for item in self.items if item.key == key), 0)


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease to which a key was to be attached has ended."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The transaction was not committed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected(Unavailable):
    """The transaction was not committed, and no retry of it would be."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The transaction may have been committed or may yet be."""

    reason: str


WriteOutcome = Stored | Conflict | LeaseGone | Unavailable | Unknown
