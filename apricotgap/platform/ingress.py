"""HTTP interface for callers, readiness checks and metrics, as an ASGI application."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

import msgspec
import structlog

from apricotgap.clock import Clock
from apricotgap.drivers.http import (
    BodyIncompleteError,
    BodyTooLargeError,
    Receive,
    Scope,
    Send,
    headers_of,
    parse_number,
    read_body,
    send_response,
)
from apricotgap.drivers.timed_calls import CallTimeoutError, TimedCalls
from apricotgap.jobs.configuration import Configuration, QueueSpec
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.service import (
    DEFAULT_RETRY_AFTER_MS,
    CancelResult,
    ConfigurationView,
    JobService,
    SubmitResult,
    UnreadableError,
)
from apricotgap.line_limit import LineLimit
from apricotgap.metrics import Metrics
from apricotgap.platform.job_wire import decode_job
from apricotgap.platform.wire import WireError

__all__ = ["IngressApp"]

_DEADLINE_HEADER = "x-apricotgap-request-deadline"
_KEY_HEADER = "api-key"
_DEFAULT_DEADLINE_MS = 3_000
# Part of the caller's deadline that is reserved for sending the response.
_RESPONSE_MARGIN_MS = 150
# Part of the margin in which the instance's own limits may still end the call.
_LATE_CALL_MS = 75
MAX_BODY_BYTES = 262_144
_BODY_TIMEOUT_MS = 3_000
_METHODS = frozenset({"GET", "POST", "DELETE"})
# Label of metrics for all methods that are not served.
OTHER_METHOD = "other"
_HEX_DIGITS = frozenset("0123456789abcdef")


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: object = None
    reason: str = ""
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS
    # Service of the queue that was called.
    service: str = ""


class IngressApp:
    """Serves callers, readiness checks and metrics.

    The port on which a request arrives decides which interface serves it.

    Parameters
    ----------
    view : ConfigurationView
        Cached copy of the operators' configuration.
    jobs : JobService
        Submits, reads and cancels jobs.
    calls : TimedCalls
        Ends the wait of a response at the caller's deadline.
    metrics : Metrics
        Served on `metrics_port`; records the latency of calls.
    clock : Clock
        Monotonic clock.
    revoke_ms : int
        How long a withdrawn key may still be accepted, in milliseconds.
    is_draining : callable
        Returns whether the process is about to stop.
    readiness_port, metrics_port : int
        Ports of the readiness check and the metrics.
    """

    def __init__(
        self,
        view: ConfigurationView,
        jobs: JobService,
        calls: TimedCalls,
        metrics: Metrics,
        clock: Clock,
        revoke_ms: int,
        is_draining: Callable[[], bool],
        readiness_port: int,
        metrics_port: int,
    ) -> None:
        self._view = view
        self._jobs = jobs
        self._calls = calls
        self._metrics = metrics
        self._clock = clock
        self.set_revoke_ms(revoke_ms)
        self._is_draining = is_draining
        self._readiness_port = readiness_port
        self._metrics_port = metrics_port
        self._denied_limit = LineLimit()
        self._log = structlog.get_logger()

    def set_revoke_ms(self, revoke_ms: int) -> None:
        """Set how long a withdrawn key may still be accepted, in milliseconds."""
        # A watch may deliver nothing for a second although keys are being changed, so
        # the maximum age of the view leaves a margin.
        self._max_view_age_ms = revoke_ms - 1_700
        self._ready_view_age_ms = revoke_ms // 2

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        port = scope["server"][1]
        if port == self._readiness_port:
            await send_response(
                send, 200 if self.is_ready() else 503, b"", "text/plain"
            )
        elif port == self._metrics_port:
            text = self._metrics.render().encode()
            await send_response(send, 200, text, "text/plain")
        else:
            await self._serve(scope, receive, send)

    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections."""
        age_ms = self._view.config_age_ms()
        if age_ms is None or self._is_draining():
            return False
        return age_ms < self._ready_view_age_ms

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        started_ms = self._clock.now_ms
        headers = headers_of(scope)
        method, path = scope["method"], scope["path"]
        try:
            body = await read_body(
                headers,
                receive,
                MAX_BODY_BYTES,
                max(
                    0, self._calls.limit_ms(started_ms + _BODY_TIMEOUT_MS) - started_ms
                ),
            )
            response = await self._respond(method, path, headers, body, started_ms)
        except BodyTooLargeError:
            response = _Response(413, reason="body too large")
        except BodyIncompleteError:
            response = _Response(408, reason="body incomplete")
        took_ms = self._clock.now_ms - started_ms
        label = method if method in _METHODS else OTHER_METHOD
        self._metrics.observe_ms("call", took_ms, method=label, status=response.status)
        if method != "GET" or response.status not in (200, 410):
            self._log.info(
                "call",
                method=method,
                path=path,
                shard=response.service,
                status=response.status,
                why=response.reason,
                took_ms=took_ms,
                view_age_ms=self._view.config_age_ms(),
            )
        extra_headers: dict[str, str] = {}
        if response.status in (429, 503):
            # The header has whole seconds; a caller that comes back early would only
            # be refused again.
            extra_headers["retry-after"] = str(-(-response.retry_after_ms // 1000))
        if self._is_draining() or response.status in (408, 413):
            extra_headers["connection"] = "close"
        data = b"{}" if response.body is None else msgspec.json.encode(response.body)
        await send_response(
            send, response.status, data, "application/json", extra_headers
        )

    async def _respond(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        started_ms: int,
    ) -> _Response:
        config = self._view.config
        if config is None:
            return _Response(503, reason="no configuration yet")
        queue = config.queue_for(headers.get("host", "").partition(":")[0], path)
        if queue is None:
            return _Response(404, reason="no such queue")
        response = await self._respond_for(
            config, queue, method, path, headers, body, started_ms
        )
        return replace(response, service=queue.service)

    async def _respond_for(
        self,
        config: Configuration,
        queue: QueueSpec,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        started_ms: int,
    ) -> _Response:
        team = ""
        if not queue.is_open:
            key_team = config.team_of_key.get(headers.get(_KEY_HEADER, ""))
            if key_team is None:
                return _Response(401, reason="unknown key")
            age_ms = self._view.config_age_ms()
            if age_ms is None or age_ms > self._max_view_age_ms:
                return _Response(503, reason="view of the keys too old")
            team = key_team
        else:
            team = config.team_of_key.get(headers.get(_KEY_HEADER, ""), "")
        wait_ms = parse_number(headers.get(_DEADLINE_HEADER, ""), _DEFAULT_DEADLINE_MS)
        deadline_ms = started_ms + min(wait_ms, queue.timeout_ms) - _RESPONSE_MARGIN_MS
        # A process that stops gives up sooner than a caller.
        deadline_ms = self._calls.limit_ms(deadline_ms)
        job_id = path[len(queue.prefix) :]
        if not job_id and method == "GET":
            return await self._in_time(
                partial(self._count_pending, queue, deadline_ms),
                deadline_ms,
                _Response(503, reason="jobs not readable: no answer in time"),
            )
        if len(job_id) != 16 or not _HEX_DIGITS.issuperset(job_id):
            return _Response(
                400,
                {"error": "a job id must be 16 lower-case hexadecimal digits"},
                "malformed job id",
            )
        if method == "POST":
            try:
                job = decode_job(body, job_id, queue, team, time.time_ns() // 1_000_000)
            except WireError as error:
                return _Response(400, {"error": str(error)}, str(error))
            return await self._in_time(
                partial(self._submit_job, job, deadline_ms),
                deadline_ms,
                _Response(504, reason="submission not confirmed in time"),
            )
        if method == "GET":
            return await self._in_time(
                partial(self._job_state, queue, job_id, deadline_ms),
                deadline_ms,
                _Response(503, reason="state not readable: no answer in time"),
            )
        if method == "DELETE":
            return await self._in_time(
                partial(self._cancel_job, queue, job_id, deadline_ms),
                deadline_ms,
                _Response(504, reason="cancellation not confirmed in time"),
            )
        return _Response(405, reason="method not allowed")

    async def _in_time(
        self,
        call: Callable[[], Awaitable[_Response]],
        deadline_ms: int,
        late: _Response,
    ) -> _Response:
        try:
            return await self._calls.run(call, deadline_ms + _LATE_CALL_MS)
        except CallTimeoutError:
            return late

    async def _submit_job(self, job: JobSpec, deadline_ms: int) -> _Response:
        outcome = await self._jobs.submit(job, deadline_ms)
        if outcome.result is SubmitResult.ACCEPTED:
            return _Response(200)
        if outcome.result is SubmitResult.REFUSED:
            return _Response(
                503,
                reason=outcome.reason or "store not reachable, not stored",
                retry_after_ms=outcome.retry_after_ms,
            )
        return _Response(504, reason="store gave no answer")

    async def _job_state(
        self, queue: QueueSpec, job_id: str, deadline_ms: int
    ) -> _Response:
        try:
            phase = await self._jobs.phase(queue.service, job_id, deadline_ms)
        except UnreadableError as error:
            return _Response(503, reason=f"state not readable: {error}")
        if phase is None:
            self._record_denied(queue, job_id)
            return _Response(410, reason="no such job")
        return _Response(200, {"state": phase.value})

    def _record_denied(self, queue: QueueSpec, job_id: str) -> None:
        """Record a state that was answered with 410."""
        self._metrics.count("states_denied", queue=queue.name)
        n_omitted = self._denied_limit.admit(job_id, self._clock.now_ms)
        if n_omitted is None:
            return
        self._log.info(
            "state_denied",
            job=job_id,
            queue=queue.name,
            shard=queue.service,
            view_age_ms=self._view.config_age_ms(),
            n_omitted=n_omitted,
        )

    async def _cancel_job(
        self, queue: QueueSpec, job_id: str, deadline_ms: int
    ) -> _Response:
        result = await self._jobs.cancel(queue.service, job_id, deadline_ms)
        if result is CancelResult.DONE:
            return _Response(200)
        if result is CancelResult.NO_SUCH_JOB:
            return _Response(410, reason="no such job")
        return _Response(504, reason="cancellation not confirmed")

    async def _count_pending(self, queue: QueueSpec, deadline_ms: int) -> _Response:
        try:
            n_pending = await self._jobs.n_pending(
                queue.service, queue.name, deadline_ms
            )
        except UnreadableError as error:
            return _Response(503, reason=f"jobs not readable: {error}")
        return _Response(200, {"pendingCount": n_pending})


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
