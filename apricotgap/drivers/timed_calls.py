"""Calls whose callers stop waiting at a deadline."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from apricotgap.clock import Clock

__all__ = ["CallTimeoutError", "TimedCalls"]

_T = TypeVar("_T")


class CallTimeoutError(Exception):
    """A call did not return by its deadline; it goes on."""


class TimedCalls:
    """Runs calls and ends the waits for them at their deadlines.

    A call that is late isn't cancelled: cancelled between two of its steps, it could
    leave what it changes half done.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the calls.
    clock : Clock
        Clock of the deadlines.
    """

    def __init__(self, nursery: trio.Nursery, clock: Clock) -> None:
        self._nursery = nursery
        self._clock = clock
        self._waits: set[trio.CancelScope] = set()
        self._end_ms: int | None = None

    def limit_ms(self, deadline_ms: int) -> int:
        """Return a deadline, or the end of all calls if that is earlier."""
        if self._end_ms is None:
            return deadline_ms
        return min(deadline_ms, self._end_ms)

    def end_by(self, end_ms: int) -> None:
        """Wait for no call beyond `end_ms`, for calls in progress too."""
        self._end_ms = end_ms
        end_s = self._to_loop_time(end_ms)
        for scope in self._waits:
            scope.deadline = min(scope.deadline, end_s)

    def _to_loop_time(self, at_ms: int) -> float:
        return trio.current_time() + (at_ms - self._clock.now_ms) / 1000

    async def run(self, call: Callable[[], Awaitable[_T]], deadline_ms: int) -> _T:
        """Run a call and return its result.

        Raises
        ------
        CallTimeoutError
            There was no result by the deadline.
        """
        results: list[_T] = []
        errors: list[Exception] = []
        ended = trio.Event()

        async def run_call() -> None:
            try:
                results.append(await call())
            except Exception as error:
                errors.append(error)
            finally:
                ended.set()

        self._nursery.start_soon(run_call)
        scope = trio.CancelScope(
            deadline=self._to_loop_time(self.limit_ms(deadline_ms))
        )
        self._waits.add(scope)
        try:
            with scope:
                await ended.wait()
        finally:
            self._waits.discard(scope)
        if errors:
            raise errors[0]
        if not results:
            raise CallTimeoutError
        return results[0]
