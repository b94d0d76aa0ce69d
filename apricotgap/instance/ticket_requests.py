"""Requests for the tickets that some queues need for their starts."""

from collections.abc import Callable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.shard import Shard
from apricotgap.platform.advice import AdviceClient, AdviceError

__all__ = ["TicketRequests"]

_IDLE_DELAY_S = 0.05
_RETRY_S = 0.15


class TicketRequests:
    """Requests tickets for the steps that wait for them.

    Parameters
    ----------
    shard, ownership, advice, clock
        Dependencies.
    on_change : callable
        Called when waiting tasks may be able to start.
    """

    def __init__(
        self,
        shard: Shard,
        ownership: Ownership,
        advice: AdviceClient,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._shard = shard
        self._advice = advice
        self._clock = clock
        self._on_change = on_change
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    async def run(self) -> None:
        """Request tickets, one call at a time as the service allows per instance."""
        tickets = self._shard.tickets
        while True:
            question = tickets.next_request()
            if question is None:
                await trio.sleep(_IDLE_DELAY_S)
                continue
            step, workers = question
            sent_ms = self._clock.now_ms
            try:
                approved, validity_ms = await self._advice.fetch_approvals(
                    str(step), [worker.worker_id for worker in workers]
                )
            except AdviceError as error:
                self._log.warning("advice_failed", step=str(step), reason=str(error))
                await trio.sleep(_RETRY_S)
                continue
            self._log.info(
                "advice", step=str(step), n_asked=len(workers), n_approved=len(approved)
            )
            tickets.handle_response(step, workers, approved, sent_ms + validity_ms)
            self._on_change()
