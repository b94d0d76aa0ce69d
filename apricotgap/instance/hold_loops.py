"""One loop for each worker that renews its lease and reads its lists."""

from collections.abc import Callable, Iterable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.tenure import OwnershipLostError, Tenure
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.effects import Effect
from apricotgap.jobs.events import HoldAnswered, HoldFailed
from apricotgap.jobs.limits import HOLD_WAIT_MS, SILENT_WORKER_MS
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker
from apricotgap.platform.workers import (
    FencedError,
    MisdirectedError,
    WorkerClient,
    WorkerError,
)

__all__ = ["HoldLoops"]

_RETRY_S = 0.15
# A worker that has been silent for a while is asked less often.
SILENT_RETRY_S = 0.4
# Between two looks at a worker whose ends are not stored yet.
HOLD_GAP_S = 0.1


class HoldLoops:
    """Holds of one shard's workers.

    Parameters
    ----------
    shard, tenure, client, workers, clock
        What it works with.
    lease_until_ms : callable
        End of the tenure's lease.
    run : callable
        Carries out effects.
    changed : callable
        Called when tasks may start that could not before.
    """

    def __init__(
        self,
        shard: Shard,
        tenure: Tenure,
        client: WorkerClient,
        workers: WorkerList,
        clock: Clock,
        lease_until_ms: Callable[[], int],
        run: Callable[[Iterable[Effect]], None],
        changed: Callable[[], None],
    ) -> None:
        self._shard = shard
        self._tenure = tenure
        self._client = client
        self._workers = workers
        self._clock = clock
        self._lease_until_ms = lease_until_ms
        self._run = run
        self._changed = changed
        self._holding: set[tuple[str, int, str]] = set()
        self._log = structlog.get_logger().bind(shard=tenure.shard, epoch=tenure.epoch)

    def start(self, nursery: trio.Nursery) -> None:
        """Start a loop for each worker that has none."""
        for worker in self._shard.workers.values():
            entry = worker.entry
            key = (entry.worker_id, entry.born_ms, entry.address)
            if key not in self._holding:
                self._holding.add(key)
                nursery.start_soon(self._hold_loop, key)

    async def _hold_loop(self, key: tuple[str, int, str]) -> None:
        worker_id, born_ms, address = key
        try:
            while True:
                worker = self._shard.workers.get(worker_id)
                if worker is None or worker.entry.born_ms != born_ms:
                    break
                if worker.entry.address != address:
                    break
                await self._hold(worker)
        finally:
            self._holding.discard(key)
        if not any(entry.address == address for entry in self._workers.entries()):
            await self._client.close_connections(address)

    async def _hold(self, worker: Worker) -> None:
        entry = worker.entry
        sent_ms = self._clock.now_ms
        deadline_ms = self._shard.hold_sent(worker, sent_ms, self._lease_until_ms())
        wait_ms = HOLD_WAIT_MS if worker.is_taken and worker.clock_at_ms else 0
        try:
            answer = await self._client.poll(
                entry.address,
                entry.worker_id,
                self._tenure.epoch,
                worker.acknowledged,
                deadline_ms,
                wait_ms,
            )
        except FencedError as error:
            self._log.warning("fenced", worker=entry.worker_id, reason=str(error))
            raise OwnershipLostError("a worker has a newer owner") from error
        except WorkerError as error:
            self._hold_failed(worker, error)
            silent_ms = self._clock.now_ms - worker.answered_ms
            is_gone = worker.is_taken and silent_ms > SILENT_WORKER_MS
            await trio.sleep(SILENT_RETRY_S if is_gone else _RETRY_S)
            return
        had_ends = worker.seen
        self._run(
            self._shard.step(
                HoldAnswered(
                    self._clock.now_ms,
                    entry.worker_id,
                    answer.born_ms,
                    sent_ms,
                    answer.clock_ms,
                    answer.running,
                    answer.ends,
                )
            )
        )
        if worker.seen != had_ends:
            self._changed()
        if worker.seen > worker.acknowledged:
            if self._shard.is_stored:
                worker.acknowledged = worker.seen
            await trio.sleep(HOLD_GAP_S)

    def _hold_failed(self, worker: Worker, error: WorkerError) -> None:
        entry = worker.entry
        silent_ms = self._clock.now_ms - worker.answered_ms
        if worker.is_taken and silent_ms < 2 * HOLD_WAIT_MS:
            self._log.warning(
                "hold_failed",
                worker=entry.worker_id,
                reason=str(error),
                silent_ms=silent_ms,
                lease_left_ms=worker.lease_until_ms - self._clock.now_ms,
            )
        self._run(
            self._shard.step(
                HoldFailed(
                    self._clock.now_ms,
                    entry.worker_id,
                    entry.born_ms,
                    str(error),
                    is_other_life=isinstance(error, MisdirectedError),
                    was_sent=error.sent,
                )
            )
        )
        self._changed()
