"""Base class of drivers that run effects in background tasks."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

__all__ = ["BackgroundDriver"]


class BackgroundDriver:
    """Starts a trio task for each effect; effects before `run` are dropped."""

    def __init__(self) -> None:
        self._nursery: trio.Nursery | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def _background_runner(
        self, function: Callable[[Any], Awaitable[None]]
    ) -> Callable[..., None]:
        def runner(effect: Any) -> None:
            if self._nursery is not None:
                self._nursery.start_soon(function, effect)

        return runner
