"""Helpers for ASGI applications."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import trio

from apricotgap.errors import ApricotgapError

__all__ = [
    "BodyTooLargeError",
    "BodyIncompleteError",
    "Receive",
    "Scope",
    "Send",
    "headers_of",
    "parse_number",
    "read_body",
    "send_error",
    "send_json",
    "send_response",
]

_MAX_DIGITS = 10

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class BodyTooLargeError(ApricotgapError):
    """The body is larger than allowed."""

    kind = "too_large"
    http_status = 413


class BodyIncompleteError(ApricotgapError):
    """The body ended early or did not arrive in time."""

    kind = "body_incomplete"
    http_status = 408


def headers_of(scope: Scope) -> dict[str, str]:
    """Return the request headers with lower-case names."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def parse_number(text: str, default: int) -> int:
    """Return the whole number of a header, the default if it has none.

    Numbers beyond nine digits are all taken as one that is larger than any limit.
    """
    # Digits of other scripts are digits too, for str.isdigit.
    if not text.isascii() or not text.isdigit():
        return default
    digits = text.lstrip("0")
    return int(digits or "0") if len(digits) < _MAX_DIGITS else 10**_MAX_DIGITS


async def read_body(
    headers: dict[str, str], receive: Receive, max_bytes: int, timeout_ms: int
) -> bytes:
    """Read a complete request body.

    Parameters
    ----------
    headers : dict of str to str
        Request headers with lower-case names.
    receive : callable
        ASGI receive.
    max_bytes : int
        Maximum size of the body.
    timeout_ms : int
        Timeout in milliseconds for the complete body.

    Returns
    -------
    bytes
        The body.

    Raises
    ------
    BodyTooLargeError
        If the body has more than `max_bytes` bytes.
    BodyIncompleteError
        If the body ends early or does not arrive in time.
    """
    too_large = BodyTooLargeError(
        f"the body has more than {max_bytes} bytes", "send a smaller body"
    )
    if parse_number(headers.get("content-length", ""), 0) > max_bytes:
        raise too_large
    chunks = []
    n_bytes = 0
    with trio.move_on_after(timeout_ms / 1000) as scope:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                break
            chunk = message.get("body", b"")
            n_bytes += len(chunk)
            if n_bytes > max_bytes:
                raise too_large
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)
    what = "did not arrive in time" if scope.cancelled_caught else "ended early"
    raise BodyIncompleteError(f"the body {what}", "send the complete body again")


async def send_response(
    send: Send,
    status: int,
    body: bytes,
    content_type: str,
    headers: dict[str, str] | None = None,
) -> None:
    """Send a response with its complete body."""
    fields = {
        "content-type": content_type,
        "content-length": str(len(body)),
        **(headers or {}),
    }
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in fields.items()
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, status: int, data: Any, headers: dict[str, str] | None = None
) -> None:
    """Send a JSON response."""
    body = json.dumps(data).encode()
    await send_response(send, status, body, "application/json", headers)


async def send_error(
    send: Send,
    error: ApricotgapError,
    request_id: str = "",
    outcome: str = "not_run",
) -> None:
    """Send a structured error."""
    data = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "request_id": request_id,
        "outcome": outcome,
    }
    headers = {"connection": "close"} if error.http_status in (408, 413) else None
    await send_json(send, error.http_status, data, headers)
