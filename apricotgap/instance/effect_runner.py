"""Execution of the effects of a shard: log lines and calls to workers."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.jobs.effects import (
    Count,
    Effect,
    LogDecision,
    PaceRun,
    StartRun,
    StopRun,
)
from apricotgap.jobs.events import StartAnswered, StopAnswered
from apricotgap.jobs.pacing import Pacer
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.start_rate import StartRate
from apricotgap.jobs.start_window import StartWindow
from apricotgap.metrics import Metrics
from apricotgap.platform.workers import START_TIMEOUT_MS, WorkerClient

__all__ = ["EffectRunner"]

# Counters of decisions that are logged.
_COUNTERS = {
    "worker_lost": "workers_lost",
    "crash_charged": "crashes_charged",
    "job_set_aside": "jobs_set_aside",
    "run_preempted": "runs_preempted",
    "task_given_up": "tasks_given_up",
}


class EffectRunner:
    """Executes effects without waiting for the answers of workers.

    Parameters
    ----------
    shard, ownership, pacer, client, clock, metrics
        Dependencies.
    on_unsaved : callable
        Called when progress has to be stored.
    on_room : callable
        Called when waiting tasks may be able to start.
    start_window : StartWindow, optional
        Limit on the starts without an answer, which learns of the answers.
    start_rate : StartRate, optional
        Rate of starts, which learns of those that are confirmed.
    """

    def __init__(
        self,
        shard: Shard,
        ownership: Ownership,
        pacer: Pacer,
        client: WorkerClient,
        clock: Clock,
        metrics: Metrics,
        on_unsaved: Callable[[], None],
        on_room: Callable[[], None],
        start_window: StartWindow | None = None,
        start_rate: StartRate | None = None,
    ) -> None:
        self._shard = shard
        self._service = ownership.shard
        self._epoch = ownership.epoch
        self._pacer = pacer
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._on_unsaved = on_unsaved
        self._on_room = on_room
        self._start_window = start_window or StartWindow()
        self._start_rate = start_rate or StartRate()
        self._nursery: trio.Nursery | None = None
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    def open(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which the calls run."""
        self._nursery = nursery

    def execute(self, effects: Iterable[Effect]) -> None:
        """Execute effects; the answers to calls are applied to the shard."""
        for effect in effects:
            if isinstance(effect, LogDecision):
                write = self._log.error if effect.is_error else self._log.info
                write(effect.event, **effect.fields)
                if effect.event in _COUNTERS:
                    self._metrics.count(_COUNTERS[effect.event], shard=self._service)
            elif isinstance(effect, Count):
                self._metrics.count(effect.counter, effect.number, shard=self._service)
            elif isinstance(effect, StartRun):
                self._call(self._send_start, effect)
            elif isinstance(effect, StopRun):
                self._call(self._send_stop, effect)
            elif isinstance(effect, PaceRun):
                self._call(self._send_pace, effect)
        if self._shard.has_unsaved:
            self._on_unsaved()

    def _call(self, send: Callable[[Any], Awaitable[None]], effect: Effect) -> None:
        # While the shard loads, jobs can end but no runs are known, so nothing is sent.
        if self._nursery is None:
            raise RuntimeError(f"call to a worker while the shard loads: {effect}")
        try:
            self._nursery.start_soon(send, effect)
        except RuntimeError as error:
            # A call that began before the owner ended; the nursery is closed.
            raise OwnershipLostError("the owner has ended") from error

    async def _send_start(self, effect: StartRun) -> None:
        sent_ms = self._clock.now_ms
        result = await self._client.start(effect, self._epoch)
        self._metrics.count("run_starts", result=result.kind)
        self._start_window.record_answer(
            self._is_too_late(effect, result.kind, sent_ms)
        )
        if result.kind == "ok":
            self._start_rate.record_start()
        self.execute(
            self._shard.step(
                StartAnswered(
                    self._clock.now_ms,
                    effect.worker_id,
                    effect.born_ms,
                    effect.name,
                    effect.run_id,
                    result,
                )
            )
        )
        if result.kind != "ok" or self._start_window.is_blocking:
            self._on_room()

    def _is_too_late(self, effect: StartRun, kind: str, sent_ms: int) -> bool:
        """Whether a worker that is there got a start too late, or its answer did.

        A worker that has answered no poll since may be gone; this tells nothing of what
        the owner can handle. Nor does a worker that rejects the start at once.
        """
        if kind == "late":
            return True
        worker = self._shard.workers.get(effect.worker_id)
        if kind not in ("unknown", "busy") or worker is None:
            return False
        took_ms = self._clock.now_ms - sent_ms
        return took_ms >= START_TIMEOUT_MS // 2 and worker.answered_ms > sent_ms

    async def _send_stop(self, effect: StopRun) -> None:
        ok = await self._client.stop(effect, self._epoch)
        self.execute(
            self._shard.step(
                StopAnswered(
                    self._clock.now_ms,
                    effect.worker_id,
                    effect.born_ms,
                    effect.name,
                    effect.run_id,
                    ok,
                )
            )
        )

    async def _send_pace(self, effect: PaceRun) -> None:
        ok = await self._client.pace(effect, self._epoch)
        self._pacer.handle_response(effect, ok)
