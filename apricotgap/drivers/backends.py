"""HTTP client that dispatches tasks to backend servers and probes them."""

from collections.abc import Callable
from typing import Any

import httpcore

from apricotgap.clock import Clock
from apricotgap.core.effects import (
    CheckpointTask,
    Dispatch,
    DropConnections,
    Effect,
    ProbeTask,
    ProbeWorker,
    RenewTask,
    StopTask,
    ThrottleTask,
)
from apricotgap.core.events import (
    Event,
    TaskCheckpointed,
    TaskCompleted,
    TaskFailed,
    TaskProbed,
    TaskRefusal,
    TaskRefused,
    TaskState,
    WorkerReported,
    WorkerUnreachable,
)
from apricotgap.decoding import decode_json
from apricotgap.drivers.background import BackgroundDriver
from apricotgap.drivers.bodies import BackendResponse, BodyBuffer
from apricotgap.drivers.spans import RequestSpans

__all__ = ["BackendDriver"]

_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 1.5
_MAX_RESPONSE_BYTES = 64 * 1_048_576
# Raised before any byte of the request was written.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)
_REFUSALS = {refusal.value: refusal for refusal in TaskRefusal}


class _InvalidResponseError(Exception):
    """The response is incomplete, too large or belongs to another task."""


class BackendDriver(BackgroundDriver):
    """Runs the effects that call backend servers.

    Parameters
    ----------
    post : callable
        Called with each event.
    clock : Clock
        Source of the event timestamps.
    bodies : BodyBuffer
        Buffered bodies of requests and responses.
    spans : RequestSpans
        Spans of the open requests.
    max_connections : int
        Maximum number of connections to one server.
    """

    def __init__(
        self,
        post: Callable[[Event], None],
        clock: Clock,
        bodies: BodyBuffer,
        spans: RequestSpans,
        max_connections: int = 21,
    ) -> None:
        super().__init__()
        self._post = post
        self._clock = clock
        self._bodies = bodies
        self._spans = spans
        self._max_connections = max_connections
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @property
    def runners(self) -> dict[type[Effect], Callable[..., None]]:
        """Functions that run the effects, by effect type."""
        return {
            Dispatch: self._background_runner(self._dispatch),
            ProbeWorker: self._background_runner(self._probe_worker),
            ProbeTask: self._background_runner(self._probe_task),
            RenewTask: self._background_runner(self._control_runner("renew")),
            CheckpointTask: self._background_runner(self._checkpoint),
            ThrottleTask: self._background_runner(self._control_runner("throttle")),
            StopTask: self._background_runner(self._control_runner("stop")),
            DropConnections: self._drop_connections,
        }

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=self._max_connections,
                max_keepalive_connections=self._max_connections,
                keepalive_expiry=30.0,
            )
            self._pools[address] = pool
        return pool

    def _drop_connections(self, effect: DropConnections) -> None:
        # Requests in flight finish on the old pool. It gets no new requests, so its
        # idle connections are not reused.
        self._pools.pop(effect.address, None)

    async def _dispatch(self, effect: Dispatch) -> None:
        body = self._bodies.request(effect.request_id)
        if body is None:
            self._post_failure(
                effect, sent=False, message="the request body is no longer buffered"
            )
            return
        started_ms = self._clock.now_ms
        span = self._spans.start_task(effect)
        headers: dict[str, str] = {
            "Content-Type": "application/octet-stream",
            "Apricotgap-Start-Deadline-Ms": str(effect.server_deadline_ms),
            "Apricotgap-Task-Lease-Ms": str(effect.lease_ms),
            "Apricotgap-Priority": effect.priority.value,
            "Apricotgap-Team": effect.team,
            **self._spans.trace_headers(span),
        }
        try:
            async with self._pool(effect.address).stream(
                "POST",
                f"http://{effect.address}/v1/tasks/{effect.task_id}",
                headers=list(headers.items()),
                content=body,
                extensions={"timeout": _timeouts(effect.timeout_ms)},
            ) as response:
                self._check_task_id(effect, response)
                content = await _read_bounded(response)
            self._post_result(effect, response, content, started_ms)
        except _NOT_SENT_ERRORS as error:
            self._post_failure(effect, sent=False, message=_describe(error))
        except httpcore.TimeoutException as error:
            self._post_failure(
                effect, sent=True, timed_out=True, message=_describe(error)
            )
        except (*_NETWORK_ERRORS, _InvalidResponseError) as error:
            self._post_failure(effect, sent=True, message=_describe(error))
        finally:
            span.end()

    def _check_task_id(self, effect: Dispatch, response: httpcore.Response) -> None:
        response_task_id = _header(response, b"apricotgap-task-id")
        if response_task_id == effect.task_id:
            return
        # Later responses on this connection could belong to other tasks as well.
        self._pools.pop(effect.address, None)
        raise _InvalidResponseError(f"the response is for task {response_task_id!r}")

    def _post_result(
        self,
        effect: Dispatch,
        response: httpcore.Response,
        content: bytes,
        started_ms: int,
    ) -> None:
        now_ms = self._clock.now_ms
        refusal = _header(response, b"apricotgap-not-run")
        if refusal in _REFUSALS:
            self._post(TaskRefused(now_ms, effect.task_id, _REFUSALS[refusal]))
            return
        end_state = _header(response, b"apricotgap-task-ended")
        if end_state == "checkpointed":
            self._post(TaskCheckpointed(now_ms, effect.task_id, True))
            return
        if end_state:
            self._post_failure(effect, sent=True, message=end_state)
            return
        if _header(response, b"content-length") != str(len(content)):
            raise _InvalidResponseError("the response body is incomplete")
        content_type = _header(response, b"content-type") or "application/octet-stream"
        self._bodies.put_response(
            effect.task_id, BackendResponse(response.status, content_type, content)
        )
        self._post(
            TaskCompleted(
                now_ms,
                effect.task_id,
                response.status,
                len(content),
                now_ms - started_ms,
            )
        )

    def _post_failure(
        self, effect: Dispatch, *, sent: bool, message: str, timed_out: bool = False
    ) -> None:
        self._post(
            TaskFailed(self._clock.now_ms, effect.task_id, sent, timed_out, message)
        )

    async def _probe_worker(self, effect: ProbeWorker) -> None:
        sent_ms = self._clock.now_ms
        try:
            data = await self._get(effect.address, "/v1/status", fresh=effect.fresh)
            report = WorkerReported(
                self._clock.now_ms,
                effect.instance,
                int(data["now_ms"]),
                int(data["n_slots"]),
                int(data["n_running"]),
                bool(data.get("draining", False)),
                str(data.get("boot_id", "")),
                {str(k): int(v) for k, v in data.get("n_running_by_team", {}).items()},
                sent_ms,
            )
        except (*_NETWORK_ERRORS, ValueError, KeyError, TypeError, AttributeError):
            self._post(WorkerUnreachable(self._clock.now_ms, effect.instance))
            return
        self._post(report)

    async def _probe_task(self, effect: ProbeTask) -> None:
        state: TaskState | None = None
        server_now_ms = 0
        boot_id = ""
        try:
            path = f"/v1/tasks/{effect.task_id}"
            data = await self._get(effect.address, path, fresh=True)
            state = TaskState(data["state"])
            server_now_ms = int(data.get("now_ms", 0))
            boot_id = str(data.get("boot_id", ""))
        except (*_NETWORK_ERRORS, ValueError, KeyError, TypeError):
            state = None
        self._post(
            TaskProbed(
                self._clock.now_ms, effect.task_id, state, server_now_ms, boot_id
            )
        )

    async def _get(self, address: str, path: str, *, fresh: bool) -> Any:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _PROBE_TIMEOUT_S)
        url = f"http://{address}{path}"
        if not fresh:
            response = await self._pool(address).request(
                "GET", url, extensions={"timeout": timeouts}
            )
        else:
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                response = await pool.request(
                    "GET",
                    url,
                    headers={"Connection": "close"},
                    extensions={"timeout": timeouts},
                )
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        return decode_json(response.content, Any)

    def _control_runner(self, action: str) -> Callable[[Any], Any]:
        # A failed control call posts no event: the core repeats the call, or the task
        # lease expires.
        async def call(effect: Any) -> None:
            await self._send_control_call(effect, action)

        return call

    async def _checkpoint(self, effect: CheckpointTask) -> None:
        # Only a failure is posted here; the response to the dispatch reports the
        # checkpoint.
        if not await self._send_control_call(effect, "checkpoint"):
            self._post(TaskCheckpointed(self._clock.now_ms, effect.task_id, False))

    async def _send_control_call(self, effect: Any, action: str) -> bool:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _PROBE_TIMEOUT_S)
        url = f"http://{effect.address}/v1/tasks/{effect.task_id}/{action}"
        try:
            response = await self._pool(effect.address).request(
                "POST", url, extensions={"timeout": timeouts}
            )
        except _NETWORK_ERRORS:
            return False
        return response.status < 300


def _header(response: httpcore.Response, name: bytes) -> str:
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""


async def _read_bounded(response: httpcore.Response) -> bytes:
    chunks = []
    n_bytes = 0
    async for chunk in response.aiter_stream():
        n_bytes += len(chunk)
        if n_bytes > _MAX_RESPONSE_BYTES:
            raise _InvalidResponseError(
                f"the response has more than {_MAX_RESPONSE_BYTES} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def _timeouts(timeout_ms: int) -> dict[str, float]:
    io_timeout_s = timeout_ms / 1000
    return {
        "connect": _CONNECT_TIMEOUT_S,
        "pool": _CONNECT_TIMEOUT_S,
        "read": io_timeout_s,
        "write": io_timeout_s,
    }


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}".rstrip(": ")
