"""HTTP API for operators, as an ASGI sub-application."""

import hashlib
import hmac
import json
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from itertools import count
from typing import Any

import trio

from apricotgap import errors
from apricotgap.clock import Clock
from apricotgap.core.effects import AnswerOperator
from apricotgap.core.events import Event, OperatorCalled
from apricotgap.decoding import DecodeError, decode_json
from apricotgap.errors import (
    ApricotgapError,
    NotAuthorisedError,
    NotFoundError,
    UnavailableError,
    ValidationError,
)

__all__ = ["OPERATOR_PATH", "OperatorApp"]

OPERATOR_PATH = "/v1/operator/"
# Large enough for a complete configuration of the target size, although the store
# limits a single value to 1 MB.
MAX_BODY_BYTES = 4 * 1024 * 1024
ANSWER_TIMEOUT_MS = 15_000

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

_HTTP_STATUS_BY_KIND = {
    cls.kind: cls.http_status
    for cls in vars(errors).values()
    if isinstance(cls, type) and issubclass(cls, ApricotgapError)
}


class OperatorApp:
    """Posts each HTTP request as `OperatorCalled` and responds with the result.

    Parameters
    ----------
    credential_digests : iterable of str
        Hex SHA-256 digests of the operators' credentials.
    post : callable
        Posts an event to the reducer.
    clock : Clock
        Source of `at_ms`.
    max_body_bytes : int
        Maximum size of a body.
    timeout_ms : int
        Maximum time to wait for the result, in milliseconds.
    """

    def __init__(
        self,
        credential_digests: Iterable[str],
        post: Callable[[Event], object],
        clock: Clock,
        max_body_bytes: int = MAX_BODY_BYTES,
        timeout_ms: int = ANSWER_TIMEOUT_MS,
    ) -> None:
        self._digests = tuple(d.lower().encode() for d in credential_digests)
        self._post = post
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._timeout_ms = timeout_ms
        self._ids = count(1)
        self._waiting: dict[str, tuple[trio.Event, list[AnswerOperator]]] = {}

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one HTTP request below ``/v1/operator/``."""
        if scope["type"] != "http":
            # ASGI servers read the exception as missing support for lifespan events.
            raise NotImplementedError(f"scope type {scope['type']!r}")
        try:
            status, document = await self._serve(scope, receive)
        except ApricotgapError as error:
            status = error.http_status
            document = _error(error.kind, error.message, error.remedy)
        body = json.dumps(document).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    def answer(self, effect: AnswerOperator) -> None:
        """Pass the result to the waiting call; it is dropped after the timeout."""
        waiting = self._waiting.get(effect.call_id)
        if waiting is not None:
            waiting[1].append(effect)
            waiting[0].set()

    async def _serve(self, scope: Message, receive: Receive) -> tuple[int, Any]:
        self._authorise(scope)
        path = scope["path"]
        action = path.removeprefix(OPERATOR_PATH)
        if not path.startswith(OPERATOR_PATH) or not action or "/" in action:
            raise NotFoundError(
                f"there is no path {path}", f"use {OPERATOR_PATH}ACTION"
            )
        if scope["method"] != "POST":
            return 405, _error(
                "method", f"{scope['method']} is not supported", "use POST"
            )
        return await self._call(action, _decode(await self._read_body(receive)))

    def _authorise(self, scope: Message) -> None:
        headers = {k.lower(): v for k, v in scope["headers"]}
        scheme, _, credential = headers.get(b"authorization", b"").partition(b" ")
        digest = hashlib.sha256(credential.strip()).hexdigest().encode()
        # Comparing every digest keeps the time independent of a match.
        matches = [hmac.compare_digest(digest, known) for known in self._digests]
        if scheme.lower() != b"bearer" or not any(matches):
            raise NotAuthorisedError(
                "the operator credential is missing or wrong",
                "send a valid credential as a bearer token",
            )

    async def _read_body(self, receive: Receive) -> bytes:
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise ValidationError("the body is incomplete", "send it again")
            body += message.get("body", b"")
            if len(body) > self._max_body_bytes:
                raise ValidationError(
                    f"the body is larger than {self._max_body_bytes} bytes",
                    "split the change",
                )
            if not message.get("more_body", False):
                return bytes(body)

    async def _call(self, action: str, arguments: dict[str, Any]) -> tuple[int, Any]:
        call_id = f"op-{next(self._ids)}"
        answered = trio.Event()
        answers: list[AnswerOperator] = []
        self._waiting[call_id] = (answered, answers)
        try:
            self._post(OperatorCalled(self._clock.now_ms, call_id, action, arguments))
            with trio.move_on_after(self._timeout_ms / 1000):
                await answered.wait()
        finally:
            del self._waiting[call_id]
        if not answers:
            raise UnavailableError(
                "the call was not answered in time; a change may still be accepted",
                "check the current state with a list or show command first",
            )
        effect = answers[0]
        if effect.error_kind:
            document = _error(effect.error_kind, effect.message, effect.remedy)
            return _HTTP_STATUS_BY_KIND.get(effect.error_kind, 500), document
        return 200, effect.result


def _decode(body: bytes) -> dict[str, Any]:
    try:
        decoded = decode_json(body or b"{}", Any)
    except DecodeError as error:
        raise ValidationError(
            f"the body is not JSON: {error}", "send one JSON object"
        ) from error
    if not isinstance(decoded, dict):
        raise ValidationError("the body is not a JSON object", "send one JSON object")
    return decoded


def _error(kind: str, message: str, remedy: str) -> dict[str, str]:
    return {"kind": kind, "message": message, "remedy": remedy}
