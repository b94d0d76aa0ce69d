"""Names and documents of the store keys that instances write."""

import secrets
import time
from dataclasses import dataclass
from typing import Annotated

import cbor2
import msgspec

from apricotgap.decoding import MAX_INTEGER, Count, DecodeError, decode_cbor
from apricotgap.platform.store import Item, Write

__all__ = [
    "FLEET_ORDERS_KEY",
    "LIMIT_NEEDS_PREFIX",
    "MEMBERS_PREFIX",
    "OWNERS_PREFIX",
    "REFUSALS_PREFIX",
    "SHARDS_PREFIX",
    "SHARD_CLOSING",
    "SHARD_OPEN",
    "SYSTEM_PREFIX",
    "Member",
    "Owner",
    "Refusal",
    "cancel_key",
    "decode_epoch",
    "decode_member",
    "decode_owner",
    "decode_refusal",
    "decode_service",
    "decode_teams",
    "encode_member",
    "encode_owner",
    "encode_refusal",
    "encode_teams",
    "epoch_key",
    "index_key",
    "job_key",
    "limit_key",
    "limit_needs_key",
    "job_writes",
    "jobs_prefix",
    "names_owner",
    "new_incarnation",
    "owner_key",
    "progress_key",
    "progress_prefix",
    "refusal_key",
    "roster_key",
    "shard_key",
    "tenure_key",
]

SYSTEM_PREFIX = "sys/"
MEMBERS_PREFIX = "sys/members/"
OWNERS_PREFIX = "sys/owners/"
# Teams that lack a part of their limit in a shard.
LIMIT_NEEDS_PREFIX = "sys/limit-needs/"
# Services that may have unfinished jobs, whether a queue uses them or not.
SHARDS_PREFIX = "sys/shards/"
# Services whose owner refuses jobs.
REFUSALS_PREFIX = "sys/refusals/"
# Values of the keys of shards. While one is closing, its owner checks that no job is
# left.
SHARD_OPEN = b"open"
SHARD_CLOSING = b"closing"
# Machines that were recently named in an order of the fleet owner.
FLEET_ORDERS_KEY = "orders/fleet"

# Name, incarnation, address, data centre and speed of a member, which divides its load.
_MemberRow = tuple[
    str, str, str, str, Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
]
# Name, incarnation, address and epoch of an owner.
_OwnerRow = tuple[str, str, str, Count]
# Epoch of the owner, when refused callers should come back, in milliseconds, and the
# priority from which on jobs are refused.
_RefusalRow = tuple[Count, Count, Count]
# A run id is up to a thousand times an epoch, and must fit an integer.
_MAX_EPOCH_DIGITS = 12


def owner_key(shard: str) -> str:
    """Return the key of a shard's owner."""
    return f"{OWNERS_PREFIX}{shard}"


def shard_key(service: str) -> str:
    """Return the key that exists while a service may have unfinished jobs."""
    return f"{SHARDS_PREFIX}{service}"


def refusal_key(service: str) -> str:
    """Return the key that exists while the owner of a service refuses jobs."""
    return f"{REFUSALS_PREFIX}{service}"


@dataclass(frozen=True, slots=True)
class Refusal:
    """What the owner of a service with an epoch refuses.

    Jobs with the priority `from_priority` or a less urgent one are refused. Their
    callers should come back after `retry_after_ms`.
    """

    epoch: int
    retry_after_ms: int
    from_priority: int


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the value of the key of a refusal."""
    return cbor2.dumps([refusal.epoch, refusal.retry_after_ms, refusal.from_priority])


def decode_refusal(data: bytes) -> Refusal:
    """Decode the value of the key of a refusal.

    Raises
    ------
    DecodeError
        The value is malformed.
    """
    return Refusal(*decode_cbor(data, _RefusalRow))


def epoch_key(shard: str) -> str:
    """Return the key of the number of owners that a shard has had."""
    return f"epochs/{shard}"


def tenure_key(shard: str) -> str:
    """Return the key of the mark that an owner sets on its tenure."""
    return f"tenures/{shard}"


def limit_key(team: str) -> str:
    """Return the key of the split of a team's limit among the shards."""
    return f"limits/{team}"


def limit_needs_key(shard: str) -> str:
    """Return the key of the teams that lack a part of their limit in a shard."""
    return f"{LIMIT_NEEDS_PREFIX}{shard}"


def roster_key(shard: str) -> str:
    """Return the key of the workers on which a shard may have started tasks."""
    return f"roster/{shard}"


def jobs_prefix(service: str) -> str:
    """Return the prefix of the accepted jobs of a service."""
    return f"jobs/{service}/"


def job_key(service: str, job_id: str) -> str:
    """Return the key of an accepted job."""
    return f"jobs/{service}/{job_id}"


def index_key(job_id: str) -> str:
    """Return the key that maps a job to the service it was accepted for.

    A later change of its queue's service does not change it.
    """
    return f"ids/{job_id}"


def cancel_key(service: str, job_id: str) -> str:
    """Return the key of a cancellation that the shard owner has yet to process."""
    return f"jobs/{service}/{job_id}/cancel"


def progress_prefix(service: str) -> str:
    """Return the prefix of the progress of a service's jobs."""
    return f"progress/{service}/"


def progress_key(service: str, job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"progress/{service}/{job_id}"


# Instances with this prefix of their incarnation know the calls of the second version
# of the peer protocol. During an upgrade, instances of both versions run side by side.
_SECOND_PROTOCOL_PREFIX = "2-"
# Instances with this suffix also relay reads and cancellations. Those without it would
# not answer such a call at all.
_RELAYED_READS_SUFFIX = "-r"
# Instances with this mark, too, accept options in a request for a report. The others
# reject such a call.
_OPTIONS_SUFFIX = f"-o{_RELAYED_READS_SUFFIX}"


def new_incarnation() -> str:
    """Return an identifier for this run of the process."""
    started_ms = time.time_ns() // 1_000_000
    run = f"{started_ms:x}{secrets.token_hex(4)}"
    return f"{_SECOND_PROTOCOL_PREFIX}{run}{_OPTIONS_SUFFIX}"


@dataclass(frozen=True, slots=True)
class Member:
    """An instance that takes part in the election.

    `incarnation` identifies one run of its process, `address` is its peer address and
    `speed_milli` its CPU capacity in thousandths of a core.
    """

    name: str
    incarnation: str
    address: str
    data_centre: str
    speed_milli: int

    @property
    def relays_reads(self) -> bool:
        """Whether it relays reads and cancellations besides submissions."""
        return self.incarnation.endswith(_RELAYED_READS_SUFFIX)


@dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a shard; `epoch` is its fencing token."""

    name: str
    incarnation: str
    address: str
    epoch: int

    @property
    def has_second_protocol(self) -> bool:
        """Whether it knows the calls of the second version of the peer protocol."""
        return self.incarnation.startswith(_SECOND_PROTOCOL_PREFIX)

    @property
    def accepts_report_options(self) -> bool:
        """Whether a request for a report may have options."""
        return self.incarnation.endswith(_OPTIONS_SUFFIX)


def encode_member(member: Member) -> bytes:
    """Encode for the store."""
    return cbor2.dumps(
        [
            member.name,
            member.incarnation,
            member.address,
            member.data_centre,
            member.speed_milli,
        ]
    )


def decode_member(data: bytes) -> Member:
    """Decode from the store.

    Raises
    ------
    DecodeError
        The bytes are malformed.
    """
    return Member(*decode_cbor(data, _MemberRow))


def encode_owner(owner: Owner) -> bytes:
    """Encode for the store."""
    return cbor2.dumps([owner.name, owner.incarnation, owner.address, owner.epoch])


def decode_owner(data: bytes) -> Owner:
    """Decode from the store.

    Raises
    ------
    DecodeError
        The bytes are malformed.
    """
    return Owner(*decode_cbor(data, _OwnerRow))


def decode_epoch(item: Item) -> int:
    """Return the number of owners that a shard has had, 0 for a missing key.

    Raises
    ------
    DecodeError
        The value is not a number in decimal digits.
    """
    if item.value is None:
        return 0
    if not item.value.isdigit() or len(item.value) > _MAX_EPOCH_DIGITS:
        raise DecodeError(f"malformed epoch of {len(item.value)} bytes")
    return int(item.value)


def decode_service(data: bytes) -> str:
    """Return the service that a job was accepted for.

    Raises
    ------
    DecodeError
        The value is no text.
    """
    try:
        return data.decode()
    except ValueError as error:
        raise DecodeError(f"malformed service of {len(data)} bytes") from error


def names_owner(value: bytes | None, owner: Owner) -> bool:
    """Whether the value of an owner key names an owner; it is None without a key."""
    if value is None:
        return False
    try:
        return decode_owner(value) == owner
    except DecodeError:
        return False


def encode_teams(teams: frozenset[str]) -> bytes:
    """Encode names of teams for the store."""
    return cbor2.dumps(sorted(teams))


def decode_teams(data: bytes) -> frozenset[str]:
    """Decode names of teams from the store.

    Raises
    ------
    DecodeError
        The bytes are malformed.
    """
    return frozenset(decode_cbor(data, list[str]))


def job_writes(service: str, job_id: str, document: bytes) -> tuple[Write, Write]:
    """Return the writes that accept a job; they fail if its id is in use."""
    return (
        Write(index_key(job_id), service.encode(), expected_revision=0),
        Write(job_key(service, job_id), document),
    )
