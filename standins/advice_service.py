"""Stand-in of the service that knows which workers may run a step."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from standins.serving import Exchange, Listener

__all__ = ["AdviceService"]

MAX_WORKERS = 100
MAX_WAITING = 32


@dataclass
class AdviceService:
    """Approves the workers for which `approves` says so, one call at a time."""

    approves: Callable[[str, str], bool]
    decision_ms: int = 5
    per_item_ms: int = 1
    validity_ms: int = 2_000
    n_calls: int = 0
    asked: list[tuple[str, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.listener = Listener(self._serve)
        self._lock = trio.Lock()

    async def _serve(self, exchange: Exchange) -> None:
        if self._lock.statistics().tasks_waiting >= MAX_WAITING:
            await exchange.answer_json(429, {})
            return
        body = exchange.json()
        step, workers = body["step"], body["workers"]
        if len(workers) > MAX_WORKERS:
            await exchange.answer_json(400, {})
            return
        async with self._lock:
            self.n_calls += 1
            self.asked += [(step, worker) for worker in workers]
            busy_ms = self.decision_ms + self.per_item_ms * len(workers)
            await trio.sleep(busy_ms / 1000)
        approved = [
            [worker, self.ticket(step, worker)]
            for worker in workers
            if self.approves(step, worker)
        ]
        await exchange.answer_json(
            200, {"approved": approved, "validityMs": self.validity_ms}
        )

    @staticmethod
    def ticket(step: str, worker: str) -> str:
        """Return the ticket of a step on a worker."""
        return f"{step}@{worker}"
