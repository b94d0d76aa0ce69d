"""HTTP API for callers: requests, tickets, outcome queries and cancellation."""

import itertools
from collections.abc import Callable
from typing import Any

import trio

from apricotgap.clock import Clock
from apricotgap.core.effects import (
    AnswerCaller,
    AnswerQuery,
    AnswerTicket,
    Effect,
    SetReady,
)
from apricotgap.core.events import (
    CallerDisconnected,
    Event,
    OutcomeQueried,
    RequestArrived,
    RequestCancelled,
    TicketRequested,
)
from apricotgap.drivers.bodies import BackendResponse, BodyBuffer
from apricotgap.drivers.http import (
    BodyIncompleteError,
    Receive,
    Scope,
    Send,
    headers_of,
    read_body,
    send_error,
    send_json,
    send_response,
)
from apricotgap.drivers.request_headers import key_digest, parse_request
from apricotgap.drivers.spans import RequestSpans
from apricotgap.errors import ApricotgapError
from apricotgap.model import (
    REFUSALS,
    Completed,
    FailedAfterStart,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalKind,
    Request,
)
from apricotgap.settings import LimitSettings

__all__ = ["CallerApp"]

_QUERY_TIMEOUT_S = 5.0
_OUTCOME_NAMES: dict[type, str] = {
    Completed: "completed",
    NotRun: "not_run",
    FailedAfterStart: "failed_after_start",
    OutcomeUnknown: "unknown",
}


class CallerApp:
    """ASGI application that serves the API for callers.

    Parameters
    ----------
    entry : str
        Name of the entry instance.
    incarnation : str
        Incarnation of the entry instance. It is part of each request id, so that ids
        stay unique across restarts.
    post : callable
        Called with each event.
    clock : Clock
        Source of the event timestamps.
    bodies : BodyBuffer
        Buffered bodies of requests and responses.
    spans : RequestSpans
        Spans of the open requests.
    limits : LimitSettings
        Limits on the number, size and duration of requests.
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        post: Callable[[Event], None],
        clock: Clock,
        bodies: BodyBuffer,
        spans: RequestSpans,
        limits: LimitSettings,
    ) -> None:
        self._id_prefix = f"{entry}.{incarnation}"
        self._post = post
        self._clock = clock
        self._bodies = bodies
        self._spans = spans
        self._limits = limits
        self._numbers = itertools.count(1)
        self._waiting: dict[str, _Waiter] = {}
        self._ready = False

    @property
    def runners(self) -> dict[type[Effect], Callable[..., None]]:
        """Functions that run the effects, by effect type."""
        return {
            AnswerCaller: self._answer_caller,
            AnswerQuery: self._finish_query,
            AnswerTicket: self._finish_query,
            SetReady: self._set_ready,
        }

    @property
    def n_waiting(self) -> int:
        """Number of callers that wait for a response."""
        return len(self._waiting)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        method, path = scope["method"], scope["path"]
        parts = [part for part in path.split("/") if part]
        headers = headers_of(scope)
        match method, parts:
            case "GET", ["healthz"]:
                await send_json(send, 200, {"alive": True})
            case "GET", ["readyz"]:
                await send_json(
                    send, 200 if self._ready else 503, {"ready": self._ready}
                )
            case "POST", ["v1", "queues", queue, "requests"]:
                await self._submit(queue, headers, receive, send)
            case "POST", ["v1", "tickets"]:
                await self._issue_ticket(headers, send)
            case "GET", ["v1", "requests", request_id]:
                await self._query_outcome(request_id, headers, send)
            case "DELETE", ["v1", "requests", request_id]:
                await self._cancel(request_id, headers, send)
            case _:
                await send_error(send, _NoSuchPathError(f"{method} {path}"))

    async def _submit(
        self, queue: str, headers: dict[str, str], receive: Receive, send: Send
    ) -> None:
        request_id = self._next_id("r")
        if len(self._waiting) >= self._limits.max_requests:
            outcome = NotRun(
                RefusalKind.QUEUE_FULL,
                f"{len(self._waiting)} requests are open at this entry instance",
            )
            await _send_outcome(send, request_id, outcome, None)
            return
        try:
            body = await read_body(
                headers, receive, self._limits.max_body, self._limits.body_timeout
            )
            request = parse_request(request_id, queue, headers, body)
        except BodyIncompleteError as error:
            await send_error(send, error, request_id)
            return
        except ApricotgapError as error:
            await send_error(send, error, request_id)
            return
        await self._await_outcome(request, body, headers, receive, send)

    async def _await_outcome(
        self,
        request: Request,
        body: bytes,
        headers: dict[str, str],
        receive: Receive,
        send: Send,
    ) -> None:
        request_id = request.request_id
        waiter = _Waiter()
        self._waiting[request_id] = waiter
        self._bodies.put_request(request_id, body)
        self._spans.start_request(request_id, "caller.request", headers)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, request_id, receive)
                self._post(RequestArrived(self._clock.now_ms, request))
                await waiter.done.wait()
                nursery.cancel_scope.cancel()
        finally:
            self._waiting.pop(request_id, None)
            name = _OUTCOME_NAMES.get(type(waiter.result), "caller_gone")
            self._spans.end_request(request_id, name)
        if waiter.result is not None:
            await _send_outcome(send, request_id, waiter.result, waiter.response)

    async def _watch_caller(self, request_id: str, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._post(CallerDisconnected(self._clock.now_ms, request_id))
        waiter = self._waiting.get(request_id)
        if waiter is not None:
            waiter.done.set()

    def _answer_caller(self, effect: AnswerCaller) -> None:
        response = None
        if effect.task_id is not None:
            response = self._bodies.pop_response(effect.task_id)
        if response is None and effect.source_request_id is not None:
            response = self._bodies.retained_response(effect.source_request_id)
        if response is not None:
            self._bodies.retain_response(effect.request_id, response)
        self._bodies.drop_request(effect.request_id)
        waiter = self._waiting.get(effect.request_id)
        if waiter is not None:
            waiter.result = effect.outcome
            waiter.response = response
            waiter.done.set()

    async def _issue_ticket(self, headers: dict[str, str], send: Send) -> None:
        call_id = self._next_id("q")
        event = TicketRequested(self._clock.now_ms, call_id, key_digest(headers))
        result = await self._run_query(call_id, event)
        if result is None:
            await send_error(
                send, _ResponseTimeoutError("the call was not answered in time")
            )
        elif result.ticket is None:
            await _send_outcome(send, call_id, result.outcome, None)
        else:
            await send_json(send, 201, {"ticket": result.ticket})

    async def _query_outcome(
        self, request_id: str, headers: dict[str, str], send: Send
    ) -> None:
        call_id = self._next_id("q")
        event = OutcomeQueried(
            self._clock.now_ms, call_id, request_id, key_digest(headers)
        )
        await self._send_request_state(
            request_id, await self._run_query(call_id, event), send
        )

    async def _cancel(
        self, request_id: str, headers: dict[str, str], send: Send
    ) -> None:
        call_id = self._next_id("q")
        event = RequestCancelled(
            self._clock.now_ms, call_id, request_id, key_digest(headers)
        )
        await self._send_request_state(
            request_id, await self._run_query(call_id, event), send
        )

    async def _send_request_state(
        self, request_id: str, result: AnswerQuery | None, send: Send
    ) -> None:
        if result is None:
            await send_error(
                send,
                _ResponseTimeoutError("the call was not answered in time"),
                request_id,
            )
        elif result.state == "not_found":
            await send_error(send, _NoSuchRequestError(request_id), request_id)
        else:
            data: dict[str, Any] = {"request_id": request_id, "state": result.state}
            if result.outcome is not None:
                data |= _outcome_data(result.outcome)
                response = self._bodies.retained_response(request_id)
                data["answer_held"] = response is not None
            await send_json(send, 200, data)

    async def _run_query(self, call_id: str, event: Event) -> Any:
        waiter = _Waiter()
        self._waiting[call_id] = waiter
        try:
            self._post(event)
            with trio.move_on_after(_QUERY_TIMEOUT_S):
                await waiter.done.wait()
        finally:
            del self._waiting[call_id]
        return waiter.result

    def _finish_query(self, effect: AnswerQuery | AnswerTicket) -> None:
        waiter = self._waiting.get(effect.call_id)
        if waiter is not None:
            waiter.result = effect
            waiter.done.set()

    def _set_ready(self, effect: SetReady) -> None:
        self._ready = effect.ready

    def _next_id(self, kind: str) -> str:
        return f"{self._id_prefix}.{kind}{next(self._numbers)}"


class _Waiter:
    """A caller that waits for a result of the core."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.result: Any = None
        self.response: BackendResponse | None = None


class _NoSuchPathError(ApricotgapError):
    kind = "unknown_path"
    http_status = 404

    def __init__(self, what: str) -> None:
        super().__init__(
            f"unknown path: {what}", "see the caller's guide for the valid paths"
        )


class _NoSuchRequestError(ApricotgapError):
    kind = "not_found"
    http_status = 404

    def __init__(self, request_id: str) -> None:
        super().__init__(
            f"request {request_id!r} is not known to this entry instance for this key",
            "query the entry instance that accepted it, with the key it was sent with",
        )


class _ResponseTimeoutError(ApricotgapError):
    kind = "timeout"
    http_status = 504

    def __init__(self, message: str) -> None:
        super().__init__(message, "retry through another entry instance")


def _outcome_data(outcome: Outcome) -> dict[str, Any]:
    name = _OUTCOME_NAMES[type(outcome)]
    if isinstance(outcome, Completed):
        return {"outcome": name, "status": outcome.status}
    if isinstance(outcome, NotRun):
        remedy = REFUSALS[outcome.kind].remedy
        return {
            "outcome": name,
            "kind": outcome.kind.value,
            "message": outcome.message,
            "remedy": remedy,
        }
    remedy = "check whether it took effect before sending it as a new request"
    return {
        "outcome": name,
        "kind": name,
        "message": outcome.message,
        "remedy": remedy,
    }


async def _send_outcome(
    send: Send, request_id: str, outcome: Outcome, response: BackendResponse | None
) -> None:
    name = _OUTCOME_NAMES[type(outcome)]
    headers = {"apricotgap-request-id": request_id, "apricotgap-outcome": name}
    if isinstance(outcome, Completed) and response is not None:
        await send_response(
            send, outcome.status, response.body, response.content_type, headers
        )
        return
    data = {"request_id": request_id, **_outcome_data(outcome)}
    status = 502
    if isinstance(outcome, Completed):
        status = 410
        data |= {
            "kind": "answer_dropped",
            "message": "the request completed and its response is no longer retained",
            "remedy": "do not send it again",
        }
    elif isinstance(outcome, NotRun):
        status = REFUSALS[outcome.kind].http_status
    elif isinstance(outcome, OutcomeUnknown):
        status = 504
    await send_json(send, status, data, headers)
