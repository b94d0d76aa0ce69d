"""Client of the workers' task interface."""

import msgspec

from apricotgap.jobs.effects import PaceRun, StartRun, StopRun
from apricotgap.jobs.events import EndRow, RunningRow, StartResult
from apricotgap.jobs.model import RunEnd, TaskName
from apricotgap.platform.http import HttpClient, NoAnswerError

__all__ = ["FencedError", "HoldAnswer", "MisdirectedError", "WorkerClient", "WorkerError"]

START_TIMEOUT_MS = 500
STOP_TIMEOUT_MS = 500
HOLD_SLACK_MS = 700
_OTHER_LIFE = 421


class WorkerError(Exception):
    """A worker gave no usable answer.

    Parameters
    ----------
    reason : str
        What was seen.
    sent : bool
        Whether the worker may have got the call.
    """

    def __init__(self, reason: str, sent: bool = True) -> None:
        super().__init__(reason)
        self.sent = sent


class FencedError(WorkerError):
    """The worker has a newer owner."""


class MisdirectedError(WorkerError):
    """Another worker, or another life of it, answers at the address."""


class HoldAnswer(msgspec.Struct, frozen=True):
    """What a worker runs and what has ended there."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningRow, ...]
    ends: tuple[EndRow, ...]


class _Hold(msgspec.Struct, rename={"clock_ms": "clockMs", "born_ms": "born"}):
    clock_ms: int
    born_ms: int = 0
    running: list[list] = []
    finished: list[list] = []


class _Outcome(msgspec.Struct, rename={"clock_ms": "clockMs"}):
    clock_ms: int = 0
    reason: str = ""


_HOLD = msgspec.json.Decoder(_Hold)
_OUTCOME = msgspec.json.Decoder(_Outcome)


def _outcome(body: bytes) -> _Outcome:
    try:
        return _OUTCOME.decode(body)
    except (msgspec.MsgspecError, ValueError):
        return _Outcome()


def _running_row(row: list) -> RunningRow:
    name, run_id, checkpoint, percent, *rest = row
    usage = float(rest[0]) if rest else 0.0
    return RunningRow(TaskName.parse(name), run_id, checkpoint, percent, usage)


def _end_row(row: list) -> EndRow:
    number, name, run_id, end, checkpoint = row[:5]
    return EndRow(number, TaskName.parse(name), run_id, RunEnd(end), checkpoint)


class WorkerClient:
    """Starts, stops and looks after runs on workers."""

    def __init__(self) -> None:
        # Holds wait on connections of their own, so that they delay no start.
        self._holds = HttpClient(max_connections=2)
        self._orders = HttpClient(max_connections=16)

    async def poll(
        self,
        address: str,
        worker_id: str,
        token: int,
        acknowledged: int,
        deadline_ms: int,
        wait_ms: int,
    ) -> HoldAnswer:
        """Renew the worker's lease and read its lists.

        Parameters
        ----------
        address : str
            ``HOST:PORT``.
        worker_id : str
            Intended worker.
        token : int
            Fencing token of the owner.
        acknowledged : int
            Number of the last end that the worker may forget.
        deadline_ms : int
            End of the lease on the worker's clock, 0 to leave it.
        wait_ms : int
            Longest wait for an end.

        Raises
        ------
        WorkerError
            No usable answer.
        """
        body: dict[str, int] = {"fencingToken": token, "lastSeen": acknowledged}
        if deadline_ms:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        try:
            answer = await self._holds.call(
                "POST",
                address,
                "/v1/hold",
                msgspec.json.encode(body),
                wait_ms + HOLD_SLACK_MS,
                _target(worker_id),
            )
        except NoAnswerError as error:
            raise WorkerError(error.reason, error.sent) from error
        if answer.status == _OTHER_LIFE:
            raise MisdirectedError("another life answers")
        if answer.status == 409:
            raise FencedError(_outcome(answer.body).reason)
        if answer.status != 200:
            raise WorkerError(f"status {answer.status}")
        try:
            wire = _HOLD.decode(answer.body)
            return HoldAnswer(
                wire.clock_ms,
                wire.born_ms,
                tuple(_running_row(row) for row in wire.running),
                tuple(_end_row(row) for row in wire.finished),
            )
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            raise WorkerError(f"malformed lists: {error}") from error

    async def start(self, order: StartRun, token: int) -> StartResult:
        """Start a run; ``unknown`` when it may have been carried out."""
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
            answer = await self._orders.call(
                "POST",
                order.address,
                "/v1/run-start",
                msgspec.json.encode(body),
                START_TIMEOUT_MS,
                _target(order.worker_id),
            )
        except NoAnswerError as error:
            return StartResult("unknown" if error.sent else "busy")
        outcome = _outcome(answer.body)
        if answer.status == 200:
            return StartResult("ok", outcome.clock_ms)
        if answer.status == 409:
            return StartResult(outcome.reason or "conflict", outcome.clock_ms)
        if answer.status in (429, 503):
            return StartResult("busy")
        if answer.status == _OTHER_LIFE:
            return StartResult("other life")
        if answer.status >= 500:
            return StartResult("unknown")
        return StartResult(f"status {answer.status}")

    async def stop(self, order: StopRun, token: int) -> bool:
        """Stop a run; False when the stop may not have arrived."""
        body = {
            "task": str(order.name),
            "runId": order.run_id,
            "fencingToken": token,
        }
        return await self._order(order, "/v1/run-stop", body)

    async def pace(self, order: PaceRun, token: int) -> bool:
        """Change the pace of a run; False when that may not have arrived."""
        body = {
            "task": str(order.name),
            "runId": order.run_id,
            "percent": order.percent,
            "fencingToken": token,
        }
        return await self._order(order, "/v1/pace", body)

    async def _order(
        self, order: StopRun | PaceRun, path: str, body: dict[str, object]
    ) -> bool:
        try:
            answer = await self._orders.call(
                "POST",
                order.address,
                path,
                msgspec.json.encode(body),
                STOP_TIMEOUT_MS,
                _target(order.worker_id),
            )
        except NoAnswerError:
            return False
        return answer.status == 200

    async def close_connections(self, address: str) -> None:
        """Close the connections to a worker that has left."""
        await self._holds.close_connections(address)
        await self._orders.close_connections(address)


def _target(worker_id: str) -> tuple[tuple[str, str], ...]:
    return (("X-Apricotgap-Target-Instance", worker_id),)
