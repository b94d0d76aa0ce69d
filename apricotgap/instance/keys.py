"""Names of the product's keys in the store and the documents under them."""

from dataclasses import dataclass

import cbor2

from apricotgap.jobs.cbor import decode_cbor
from apricotgap.platform.store import Write

__all__ = [
    "FLEET_ORDERS",
    "MEMBERS",
    "OWNERS",
    "SYSTEM",
    "Member",
    "Owner",
    "cancel_key",
    "decode_member",
    "decode_owner",
    "encode_member",
    "encode_owner",
    "epoch_key",
    "index_key",
    "job_key",
    "limit_key",
    "job_writes",
    "jobs_prefix",
    "owner_key",
    "progress_key",
    "progress_prefix",
    "roster_key",
]

SYSTEM = "sys/"
MEMBERS = "sys/members/"
OWNERS = "sys/owners/"
# Machines that the fleet's owner has ordered about just now.
FLEET_ORDERS = "orders/fleet"


def owner_key(shard: str) -> str:
    """Key of a shard's owner."""
    return f"{OWNERS}{shard}"


def epoch_key(shard: str) -> str:
    """Key of the number of owners that a shard has had."""
    return f"epochs/{shard}"


def limit_key(team: str) -> str:
    """Key of the split of a team's limit among the shards."""
    return f"limits/{team}"


def roster_key(shard: str) -> str:
    """Key of the workers that an owner may have started tasks on."""
    return f"roster/{shard}"


def jobs_prefix(service: str) -> str:
    """Prefix of the accepted jobs of a service."""
    return f"jobs/{service}/"


def job_key(service: str, job_id: str) -> str:
    """Key of an accepted job."""
    return f"jobs/{service}/{job_id}"


def index_key(job_id: str) -> str:
    """Key that names the service of a job, whatever its queue is sent to later."""
    return f"ids/{job_id}"


def cancel_key(service: str, job_id: str) -> str:
    """Key of a cancellation that the owner has not seen yet."""
    return f"jobs/{service}/{job_id}/cancel"


def progress_prefix(service: str) -> str:
    """Prefix of the progress of a service's jobs."""
    return f"progress/{service}/"


def progress_key(service: str, job_id: str) -> str:
    """Key of a job's progress."""
    return f"progress/{service}/{job_id}"


@dataclass(frozen=True, slots=True)
class Member:
    """An instance that takes part.

    `address` is its peer address, `speed_milli` its processor in thousandths of a core.
    """

    name: str
    incarnation: str
    address: str
    data_centre: str
    speed_milli: int


@dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a shard; `epoch` is its fencing token."""

    name: str
    incarnation: str
    address: str
    epoch: int


def encode_member(member: Member) -> bytes:
    """Return the stored form."""
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
    """Read the stored form.

    Raises
    ------
    ValueError
        Malformed bytes.
    """
    return Member(*_decode_fields(data, 5))


def encode_owner(owner: Owner) -> bytes:
    """Return the stored form."""
    return cbor2.dumps([owner.name, owner.incarnation, owner.address, owner.epoch])


def decode_owner(data: bytes) -> Owner:
    """Read the stored form.

    Raises
    ------
    ValueError
        Malformed bytes.
    """
    return Owner(*_decode_fields(data, 4))


def _decode_fields(data: bytes, n_fields: int) -> list:
    row = decode_cbor(data)
    if not isinstance(row, list) or len(row) != n_fields:
        raise ValueError(f"expected {n_fields} fields")
    return row


def job_writes(service: str, job_id: str, document: bytes) -> tuple[Write, Write]:
    """Return the writes that accept a job unless its id is taken."""
    return (
        Write(index_key(job_id), service.encode(), expected_revision=0),
        Write(job_key(service, job_id), document),
    )
