"""Long polls of workers, which renew their leases and report their runs."""

from collections.abc import Callable, Iterable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.effects import Effect
from apricotgap.jobs.events import PollAnswered, PollFailed
from apricotgap.jobs.limits import POLL_WAIT_MS, SILENT_WORKER_MS
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker
from apricotgap.platform.workers import (
    FencedError,
    MisdirectedError,
    WorkerClient,
    WorkerError,
)

__all__ = ["PollLoops"]

_RETRY_S = 0.15
# Retry interval of a worker that has not responded for a while.
SILENT_RETRY_S = 0.4
# Pause between two polls of a worker while ended runs that it lists are not stored yet:
# until they are acknowledged, it responds to each poll at once.
POLL_PAUSE_S = 0.1
# Polls that a core carries beside the other work of an owner. With more workers or a
# slower machine the pauses are longer, and a poll returns more ends.
POLLS_PER_CORE_S = 600
MAX_POLL_PAUSE_S = 0.5


class PollLoops:
    """Polls each worker of one shard in a loop of its own.

    Parameters
    ----------
    shard, ownership, client, workers, clock
        Dependencies.
    lease_until_ms : callable
        Returns the end of the lease of the ownership.
    execute : callable
        Executes effects.
    on_change : callable
        Called when waiting tasks may be able to start.
    awaits_answer : callable
        Returns whether a task waits for a worker that has just answered.
    speed_milli : int
        Processor capacity of this machine in thousandths of a core.
    """

    def __init__(
        self,
        shard: Shard,
        ownership: Ownership,
        client: WorkerClient,
        workers: WorkerList,
        clock: Clock,
        lease_until_ms: Callable[[], int],
        execute: Callable[[Iterable[Effect]], None],
        on_change: Callable[[], None],
        awaits_answer: Callable[[], bool],
        speed_milli: int,
    ) -> None:
        self._shard = shard
        self._ownership = ownership
        self._client = client
        self._workers = workers
        self._clock = clock
        self._lease_until_ms = lease_until_ms
        self._execute = execute
        self._on_change = on_change
        self._awaits_answer = awaits_answer
        self._speed_milli = speed_milli
        self._active: set[tuple[str, int, str]] = set()
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    @property
    def _pause_s(self) -> float:
        rate = POLLS_PER_CORE_S * self._speed_milli / 1000
        pause_s = len(self._active) / rate
        return min(max(POLL_PAUSE_S, pause_s), MAX_POLL_PAUSE_S)

    def start(self, nursery: trio.Nursery) -> None:
        """Start a loop for each worker that has none."""
        for worker in self._shard.workers.values():
            entry = worker.entry
            key = (entry.worker_id, entry.born_ms, entry.address)
            if key not in self._active:
                self._active.add(key)
                nursery.start_soon(self._poll_loop, key)

    async def _poll_loop(self, key: tuple[str, int, str]) -> None:
        worker_id, born_ms, address = key
        try:
            while True:
                worker = self._shard.workers.get(worker_id)
                if worker is None or worker.entry.born_ms != born_ms:
                    break
                if worker.entry.address != address:
                    break
                await self._poll(worker)
        finally:
            self._active.discard(key)
        if not any(entry.address == address for entry in self._workers.entries()):
            await self._client.close_connections(address)

    async def _poll(self, worker: Worker) -> None:
        entry = worker.entry
        sent_ms = self._clock.now_ms
        deadline_ms = self._shard.offer_lease(worker, sent_ms, self._lease_until_ms())
        wait_ms = self._shard.poll_wait_ms(worker, sent_ms)
        worker.record_poll(sent_ms, wait_ms)
        try:
            response = await self._client.poll(
                entry.address,
                entry.worker_id,
                self._ownership.epoch,
                worker.last_seen,
                deadline_ms,
                wait_ms,
            )
        except FencedError as error:
            self._log.warning("fenced", worker=entry.worker_id, reason=str(error))
            raise OwnershipLostError(
                "a worker rejected the epoch: it has a newer owner"
            ) from error
        except WorkerError as error:
            self._poll_failed(worker, error)
            silent_ms = self._clock.now_ms - worker.answered_ms
            is_silent = worker.is_acquired and silent_ms > SILENT_WORKER_MS
            await trio.sleep(SILENT_RETRY_S if is_silent else _RETRY_S)
            return
        seen_before = worker.last_applied
        self._execute(
            self._shard.step(
                PollAnswered(
                    self._clock.now_ms,
                    entry.worker_id,
                    entry.born_ms,
                    response.born_ms,
                    sent_ms,
                    response.clock_ms,
                    response.running,
                    response.ends,
                )
            )
        )
        if worker.last_applied != seen_before or self._awaits_answer():
            self._on_change()
        if worker.last_applied > worker.acknowledged and self._shard.is_stored:
            worker.acknowledged = worker.last_applied
        if response.ends:
            await trio.sleep(self._pause_s)

    def _poll_failed(self, worker: Worker, error: WorkerError) -> None:
        entry = worker.entry
        silent_ms = self._clock.now_ms - worker.answered_ms
        if worker.is_acquired and silent_ms < 2 * POLL_WAIT_MS:
            self._log.warning(
                "hold_failed",
                worker=entry.worker_id,
                reason=str(error),
                silent_ms=silent_ms,
                lease_left_ms=worker.lease_until_ms - self._clock.now_ms,
            )
        self._execute(
            self._shard.step(
                PollFailed(
                    self._clock.now_ms,
                    entry.worker_id,
                    entry.born_ms,
                    str(error),
                    is_other_incarnation=isinstance(error, MisdirectedError),
                    was_sent=error.sent,
                    has_timed_out=error.has_timed_out,
                )
            )
        )
        self._on_change()
