"""Parsing of the headers with which callers describe a request."""

import hashlib
from typing import Any

from apricotgap.errors import ValidationError, quoted
from apricotgap.model import Priority, Request, Resources

__all__ = ["key_digest", "parse_request"]

_MAX_KEY_LENGTH = 256
_MAX_DIGITS = 12
_PRIORITIES = {"urgent": Priority.URGENT, "batch": Priority.BATCH}
_BOOLEANS = {"true": True, "false": False}


def key_digest(headers: dict[str, str]) -> str | None:
    """Return the SHA-256 digest of the key in a request, None if it has none."""
    value = headers.get("authorization", "")
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return hashlib.sha256(key.strip().encode()).hexdigest()


def parse_request(
    request_id: str, queue: str, headers: dict[str, str], body: bytes
) -> Request:
    """Return the request that the headers describe.

    Raises
    ------
    ValidationError
        A header has an invalid value.
    """
    return Request(
        request_id=request_id,
        queue=queue,
        key_digest=key_digest(headers),
        priority=_parse_choice(
            headers, "apricotgap-priority", _PRIORITIES, Priority.BATCH
        ),
        idempotent=_parse_choice(headers, "apricotgap-idempotent", _BOOLEANS, False),
        idempotency_key=_parse_text(headers, "idempotency-key"),
        ticket=_parse_text(headers, "apricotgap-ticket"),
        body_digest=hashlib.sha256(body).hexdigest(),
        n_body_bytes=len(body),
        declared=Resources(
            _parse_int(headers, "apricotgap-cpu-milli", 0) or 0,
            _parse_int(headers, "apricotgap-memory-mb", 0) or 0,
            _parse_int(headers, "apricotgap-accelerators", 0) or 0,
        ),
        expected_run_ms=_parse_int(headers, "apricotgap-expected-run-ms", None),
        max_wait_ms=_parse_int(headers, "apricotgap-max-wait-ms", 30_000) or 0,
    )


def _parse_choice(
    headers: dict[str, str], name: str, choices: dict[str, Any], default: Any
) -> Any:
    value = headers.get(name)
    if value is None:
        return default
    if value.lower() not in choices:
        raise ValidationError(
            f"header {name} is {quoted(value)}", f"use one of {', '.join(choices)}"
        )
    return choices[value.lower()]


def _parse_int(headers: dict[str, str], name: str, default: int | None) -> int | None:
    value = headers.get(name)
    if value is None:
        return default
    # Digits of other scripts are digits too, for str.isdigit.
    if not (value.isascii() and value.isdigit()) or len(value) > _MAX_DIGITS:
        raise ValidationError(f"header {name} is {quoted(value)}", "use a whole number")
    return int(value)


def _parse_text(headers: dict[str, str], name: str) -> str | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value or len(value) > _MAX_KEY_LENGTH or not value.isprintable():
        raise ValidationError(
            f"header {name} is empty, not printable or longer than"
            f" {_MAX_KEY_LENGTH} characters",
            "use a shorter printable value",
        )
    return value
