"""Encoding, decoding and keys of the stored allotment documents."""

from dataclasses import asdict
from functools import lru_cache
from hashlib import sha256
from typing import TypeVar

import cbor2
import msgspec

from apricotgap.decoding import DecodeError, decode_cbor
from apricotgap.errors import ValidationError
from apricotgap.model.ledger import DataCentreLedger, FleetLedger, Row

__all__ = [
    "N_BUCKETS",
    "bucket_of",
    "data_centre_key",
    "data_centre_prefix",
    "decode_fleet",
    "decode_ledger",
    "encode",
    "fleet_key",
]

# With 330 teams and 22 data centres, a bucket (330 / 16 teams) stays below 20 KB.
N_BUCKETS = 16

_Ledger = TypeVar("_Ledger", FleetLedger, DataCentreLedger)


@lru_cache(maxsize=4_096)
def bucket_of(team: str) -> int:
    """Return the bucket of a team, a stable hash of its name."""
    return int.from_bytes(sha256(team.encode()).digest()[:4], "big") % N_BUCKETS


def fleet_key(bucket: int) -> str:
    """Return the store key of a bucket's shares by data centre."""
    return f"allot/fleet/{bucket}"


def data_centre_prefix(data_centre: str) -> str:
    """Return the store key prefix of all rows of a data centre."""
    return f"allot/dc/{data_centre}/"


def data_centre_key(data_centre: str, bucket: int) -> str:
    """Return the store key of a bucket's rows by entry instance."""
    return f"{data_centre_prefix(data_centre)}{bucket}"


def encode(ledger: FleetLedger | DataCentreLedger) -> bytes:
    """Encode a document as canonical CBOR."""
    return cbor2.dumps(asdict(ledger), canonical=True)


def decode_fleet(value: bytes) -> FleetLedger:
    """Decode the shares of a bucket; an empty value yields an empty document."""
    ledger = _decode(value, FleetLedger)
    for shares in ledger.teams.values():
        _check_rows(shares)
    return ledger


def decode_ledger(value: bytes) -> DataCentreLedger:
    """Decode the rows of a bucket; an empty value yields an empty document."""
    ledger = _decode(value, DataCentreLedger)
    for team in ledger.teams.values():
        _check_rows({"cap": team.cap, **team.rows})
    return ledger


def _decode(value: bytes, form: type[_Ledger]) -> _Ledger:
    if not value:
        return form(writer="")
    try:
        return msgspec.convert(decode_cbor(value), form)
    except (DecodeError, msgspec.ValidationError, TypeError) as error:
        raise ValidationError(
            f"the {form.__name__} document is malformed: {error}",
            "restore the key from the store's history",
        ) from error


def _check_rows(rows: dict[str, Row]) -> None:
    for name, row in rows.items():
        if row.n < 0 or row.basis < 1:
            raise ValidationError(
                f"row {name} holds {row.n} units of {row.basis}",
                "restore the key from the store's history",
            )
