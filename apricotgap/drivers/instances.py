"""Client of the platform's API for instance lists and reboots."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import httpcore
import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.core.effects import Effect, ReadInstanceList, RebootInstance
from apricotgap.core.events import Event, InstanceListRead
from apricotgap.decoding import decode_json

__all__ = ["InstancesDriver"]

CALL_TIMEOUT_MS = 2_000


class _PlatformCallError(Exception):
    """The platform did not respond, or responded with an error status."""


class InstancesDriver:
    """Runs `ReadInstanceList` and `RebootInstance`.

    A failed read is retried by the next `ReadInstanceList`. So is a failed reboot,
    which the platform deduplicates by its step id, until the permission of the runner
    ends.

    Parameters
    ----------
    base_url : str
        Base URL of the platform.
    post : callable
        Synchronous function that is called with each event.
    clock : Clock
        Source of the event timestamps.
    entry : str
        Name of this entry instance, sent as ``Apricotgap-Entry``.
    timeout_ms : int
        Timeout of a call in milliseconds.
    """

    handles = (ReadInstanceList, RebootInstance)

    def __init__(
        self,
        base_url: str,
        post: Callable[[Event], None],
        clock: Clock,
        entry: str = "",
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._post = post
        self._clock = clock
        self._headers = [(b"Apricotgap-Entry", entry.encode())]
        self._timeout_ms = timeout_ms
        self._nursery: trio.Nursery | None = None
        self._stopped = False
        self._reading = False
        self._reboots_in_flight: set[str] = set()
        self._failed_reboots: dict[str, RebootInstance] = {}
        self._reachable = True
        self._log = structlog.get_logger("instances")
        self.n_failed = 0

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            self._pool = pool
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                try:
                    await trio.sleep_forever()
                finally:
                    self._stopped = True

    def run(self, effect: Effect) -> None:
        """Start an effect; its event is posted later, never from this call.

        Effects passed after the driver has stopped are dropped.
        """
        if self._stopped:
            return
        if self._nursery is None:
            raise RuntimeError("the instances driver is not running; call serve first")
        match effect:
            case RebootInstance():
                self._start_reboot(self._nursery, effect)
            case ReadInstanceList():
                for reboot in list(self._failed_reboots.values()):
                    self._start_reboot(self._nursery, reboot)
                if not self._reading:
                    self._reading = True
                    self._nursery.start_soon(self._read)
            case _:
                raise TypeError(f"{type(effect).__name__} is not an instance effect")

    def _start_reboot(self, nursery: trio.Nursery, effect: RebootInstance) -> None:
        if effect.step_id in self._reboots_in_flight:
            return
        self._failed_reboots.pop(effect.step_id, None)
        if self._clock.now_ms >= effect.until_ms:
            return
        self._reboots_in_flight.add(effect.step_id)
        nursery.start_soon(self._reboot, effect)

    async def _read(self) -> None:
        try:
            response: Any = decode_json(
                await self._call("GET", "/v1/instances", b""), Any
            )
            live, leaving = frozenset(response["live"]), frozenset(response["leaving"])
        except (_PlatformCallError, ValueError, KeyError, TypeError) as error:
            self._record_failure(error)
            return
        finally:
            self._reading = False
        if not self._reachable:
            self._reachable = True
            self._log.info("instance list readable again")
        self._post(InstanceListRead(self._clock.now_ms, live, leaving))

    async def _reboot(self, effect: RebootInstance) -> None:
        path = f"/v1/instances/{quote(effect.instance, safe='')}/reboot"
        body = json.dumps({"step_id": effect.step_id}).encode()
        try:
            await self._call("POST", path, body, effect.until_ms - self._clock.now_ms)
        except _PlatformCallError as error:
            self._failed_reboots[effect.step_id] = effect
            self._record_failure(error)
        finally:
            self._reboots_in_flight.discard(effect.step_id)

    async def _call(
        self, method: str, path: str, body: bytes, left_ms: int | None = None
    ) -> bytes:
        url = self._base_url + path
        timeout_ms = self._timeout_ms
        if left_ms is not None:
            timeout_ms = max(0, min(timeout_ms, left_ms))
        try:
            with trio.fail_after(timeout_ms / 1000):
                response = await self._pool.request(
                    method, url, headers=self._headers, content=body
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as error:
            raise _PlatformCallError(type(error).__name__) from error
        if response.status != 200:
            raise _PlatformCallError(f"status {response.status}")
        return response.content

    def _record_failure(self, error: Exception) -> None:
        self.n_failed += 1
        if self._reachable:
            self._reachable = False
            self._log.warning("platform call failed", cause=str(error))
