"""Client of the workers' task interface."""

import msgspec

from apricotgap.decoding import DecodeError, Integer, Number, decode_json
from apricotgap.jobs.effects import PaceRun, StartRun, StopRun
from apricotgap.jobs.events import EndReport, RunReport, StartResult
from apricotgap.jobs.model import RunEnd, TaskName
from apricotgap.platform.http import HttpClient, NoResponseError

__all__ = [
    "FencedError",
    "MisdirectedError",
    "PollResponse",
    "WorkerClient",
    "WorkerError",
    "decode_poll",
]

START_TIMEOUT_MS = 500
STOP_TIMEOUT_MS = 500
POLL_TIMEOUT_MARGIN_MS = 700
# Longest pause within the answer to a poll, which may list 500 ends and all runs.
POLL_STALL_MS = 700
_MISDIRECTED_REQUEST = 421
# Reasons of a refused start. Any other could be mistaken for a result of another kind.
_START_REFUSALS = frozenset({"fence", "late", "old", "room", "ticket"})


class WorkerError(Exception):
    """A call to a worker got no usable response.

    Parameters
    ----------
    reason : str
        Kind of failure.
    sent : bool
        Whether the worker may have received the call.
    has_timed_out : bool
        Whether nothing told of a failure before the time was over.
    """

    def __init__(
        self, reason: str, sent: bool = True, has_timed_out: bool = False
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.has_timed_out = has_timed_out


class FencedError(WorkerError):
    """The worker rejected the fencing token because it has a newer owner."""


class MisdirectedError(WorkerError):
    """A different worker, or a later incarnation, listens at the address."""


class PollResponse(msgspec.Struct, frozen=True):
    """Running and ended runs of a worker.

    `clock_ms` is the worker's clock, `born_ms` the start of its incarnation.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


class _RunningRow(msgspec.Struct, array_like=True):
    name: str
    run_id: Integer
    checkpoint: str
    percent: Number
    usage: Number = 0.0

    def report(self) -> RunReport:
        name = TaskName.parse(self.name)
        return RunReport(name, self.run_id, self.checkpoint, self.percent, self.usage)


class _EndRow(msgspec.Struct, array_like=True):
    number: Integer
    name: str
    run_id: Integer
    end: RunEnd
    checkpoint: str

    def report(self) -> EndReport:
        name = TaskName.parse(self.name)
        return EndReport(self.number, name, self.run_id, self.end, self.checkpoint)


class _PollBody(msgspec.Struct, rename={"clock_ms": "clockMs", "born_ms": "born"}):
    clock_ms: Integer
    born_ms: Integer = 0
    running: list[_RunningRow] = []
    finished: list[_EndRow] = []


class _OutcomeBody(msgspec.Struct, rename={"clock_ms": "clockMs"}):
    clock_ms: Integer = 0
    reason: str = ""


_POLL_DECODER = msgspec.json.Decoder(_PollBody)
_OUTCOME_DECODER = msgspec.json.Decoder(_OutcomeBody)


def _decode_outcome(body: bytes) -> _OutcomeBody:
    try:
        return decode_json(body, _OUTCOME_DECODER)
    except DecodeError:
        return _OutcomeBody()


def decode_poll(body: bytes) -> PollResponse:
    """Decode the response of a worker to a poll.

    Raises
    ------
    WorkerError
        The body is malformed.
    """
    try:
        wire = decode_json(body, _POLL_DECODER)
        return PollResponse(
            wire.clock_ms,
            wire.born_ms,
            tuple(row.report() for row in wire.running),
            tuple(row.report() for row in wire.finished),
        )
    except ValueError as error:
        raise WorkerError(f"malformed response: {error}"[:200]) from error


class WorkerClient:
    """Starts, stops, paces and polls runs on workers."""

    def __init__(self) -> None:
        # Long polls occupy separate connections, so that they do not delay orders.
        self._poll_http = HttpClient(max_connections=2)
        self._order_http = HttpClient(max_connections=16)

    async def poll(
        self,
        address: str,
        worker_id: str,
        token: int,
        acknowledged: int,
        deadline_ms: int,
        wait_ms: int,
    ) -> PollResponse:
        """Renew the worker's lease and read its running and ended runs.

        The worker delays its response until a run ends, at most `wait_ms`. A response
        that has begun may take any time while it arrives. The lease counts from before
        the call.

        Parameters
        ----------
        address : str
            ``HOST:PORT``.
        worker_id : str
            Expected worker.
        token : int
            Fencing token of the owner.
        acknowledged : int
            Number of the last ended run that is stored; the worker may drop the
            ended runs up to this number.
        deadline_ms : int
            End of the lease on the worker's clock in milliseconds, 0 to leave the
            lease unchanged.
        wait_ms : int
            Maximum wait for a run to end, in milliseconds.

        Raises
        ------
        MisdirectedError
            A different worker, or a later incarnation, responded.
        FencedError
            The worker has a newer owner.
        WorkerError
            No usable response.
        """
        body: dict[str, int] = {"fencingToken": token, "lastSeen": acknowledged}
        if deadline_ms:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        try:
            response = await self._poll_http.call(
                "POST",
                address,
                "/v1/hold",
                msgspec.json.encode(body),
                wait_ms + POLL_TIMEOUT_MARGIN_MS,
                _target_header(worker_id),
                POLL_STALL_MS,
            )
        except NoResponseError as error:
            raise WorkerError(error.reason, error.sent, error.has_timed_out) from error
        if response.status == _MISDIRECTED_REQUEST:
            raise MisdirectedError(
                "a different worker or a later incarnation responded"
            )
        if response.status == 409:
            raise FencedError(_decode_outcome(response.body).reason)
        if response.status != 200:
            raise WorkerError(f"status {response.status}")
        return decode_poll(response.body)

    async def start(self, order: StartRun, token: int) -> StartResult:
        """Start a run; the result is ``unknown`` if the worker may have started it."""
        body: dict[str, object] = {
            "task": str(order.name),
            "runId": order.run_id,
            "spec": order.content,
            "deadlineMs": order.deadline_ms,
            "fencingToken": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        try:
            response = await self._order_http.call(
                "POST",
                order.address,
                "/v1/run-start",
                msgspec.json.encode(body),
                START_TIMEOUT_MS,
                _target_header(order.worker_id),
            )
        except NoResponseError as error:
            return StartResult("unknown" if error.sent else "busy")
        outcome = _decode_outcome(response.body)
        if response.status == 200:
            return StartResult("ok", outcome.clock_ms)
        if response.status == 409:
            is_known = outcome.reason in _START_REFUSALS
            kind = outcome.reason if is_known else "conflict"
            return StartResult(kind, outcome.clock_ms)
        if response.status in (429, 503):
            return StartResult("busy")
        if response.status == _MISDIRECTED_REQUEST:
            return StartResult("other life")
        if response.status >= 500:
            return StartResult("unknown")
        return StartResult(f"status {response.status}")

    async def stop(self, order: StopRun, token: int) -> bool:
        """Stop a run; False if the worker may not have received the order."""
        body = {
            "task": str(order.name),
            "runId": order.run_id,
            "fencingToken": token,
        }
        return await self._send_order(order, "/v1/run-stop", body)

    async def pace(self, order: PaceRun, token: int) -> bool:
        """Set the pace of a run; False if the worker may not have received it."""
        body = {
            "task": str(order.name),
            "runId": order.run_id,
            "percent": order.percent,
            "fencingToken": token,
        }
        return await self._send_order(order, "/v1/pace", body)

    async def _send_order(
        self, order: StopRun | PaceRun, path: str, body: dict[str, object]
    ) -> bool:
        try:
            response = await self._order_http.call(
                "POST",
                order.address,
                path,
                msgspec.json.encode(body),
                STOP_TIMEOUT_MS,
                _target_header(order.worker_id),
            )
        except NoResponseError:
            return False
        return response.status == 200

    async def close_connections(self, address: str) -> None:
        """Close the connections to a worker that is no longer listed."""
        await self._poll_http.close_connections(address)
        await self._order_http.close_connections(address)


def _target_header(worker_id: str) -> tuple[tuple[str, str], ...]:
    return (("X-Apricotgap-Target-Instance", worker_id),)
