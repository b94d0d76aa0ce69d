"""The stored document of current grants: instances that plans may take out."""

from dataclasses import dataclass, field

import msgspec

from apricotgap.decoding import DecodeError, decode_json
from apricotgap.errors import ValidationError

__all__ = ["GRANTS_KEY", "Grant", "Grants", "decode_grants", "encode_grants"]

GRANTS_KEY = "grants"


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission of a plan to take an instance out of service."""

    plan_id: str


@dataclass(frozen=True, slots=True)
class Grants:
    """The document ``grants``.

    Parameters
    ----------
    epoch : int
        Fencing epoch of the runner that may write the document.
    holder : str
        Incarnation of that runner.
    writer : str
        Call identifier of the last write; identifies it after a lost response.
    instances : dict of str to Grant
        Grants by instance.
    """

    epoch: int = 0
    holder: str = ""
    writer: str = ""
    instances: dict[str, Grant] = field(default_factory=dict)


def encode_grants(grants: Grants) -> bytes:
    """Encode the document as JSON with sorted keys."""
    return msgspec.json.encode(grants, order="sorted")


def decode_grants(value: bytes) -> Grants:
    """Decode the document; an empty value yields an empty document.

    Raises
    ------
    ValidationError
        If the value is not a grants document.
    """
    if not value:
        return Grants()
    try:
        return decode_json(value, Grants)
    except DecodeError as error:
        raise ValidationError(
            f"the document {GRANTS_KEY} is malformed: {error}",
            "restore it from a backup of the store",
        ) from error
