"""Stored form of a claim on an idempotency key, ``claims/<team>/<hash>``."""

from enum import StrEnum
from hashlib import sha256

import msgspec

from apricotgap.decoding import DecodeError, decode_json
from apricotgap.model import Request

__all__ = ["ClaimDocument", "ClaimStep", "claim_key", "request_digest"]


class ClaimStep(StrEnum):
    """Progress of a claim."""

    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"


class ClaimDocument(msgspec.Struct, frozen=True):
    """A stored claim on an idempotency key.

    Parameters
    ----------
    claimant : str
        Token ``<entry>.<incarnation>.<n>``, unique for each submission.
    digest : str
        `request_digest` of the submission.
    step : ClaimStep
        Progress.
    status : int
        HTTP status of a completed request.
    has_body : bool
        Whether the response body is stored under `body_key`.
    message : str
        Cause of a failed or unknown outcome.
    """

    claimant: str
    digest: str
    step: ClaimStep = ClaimStep.CLAIMED
    status: int = 0
    has_body: bool = False
    message: str = ""

    def encode(self) -> bytes:
        """Return the document as JSON."""
        return msgspec.json.encode(self)

    @staticmethod
    def decode(value: bytes) -> "ClaimDocument | None":
        """Return the document, or None when the value is malformed."""
        try:
            return decode_json(value, ClaimDocument)
        except DecodeError:
            return None

    def body_key(self, key: str) -> str:
        """Return the store key of the response body of this claim."""
        return f"claim-bodies/{key.removeprefix('claims/')}/{self.claimant}"


def claim_key(team: str, request: Request) -> str:
    """Return the store key of a request's claim.

    Callers of an open queue without a key share the namespace of that queue.
    """
    scope = team or f"\0{request.queue}"
    name = sha256(f"{scope}\0{request.idempotency_key}".encode()).hexdigest()
    return f"claims/{team or '_open'}/{name}"


def request_digest(request: Request) -> str:
    """Return a hash of queue and body that is equal for resubmissions."""
    return sha256(f"{request.queue}\0{request.body_digest}".encode()).hexdigest()
