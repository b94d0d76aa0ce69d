"""Reads and cancellations that are tried until their callers stop waiting."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio

from apricotgap.clock import Clock
from apricotgap.instance.peers import PeerCallError
from apricotgap.instance.relays import Relays
from apricotgap.jobs.service import UnreadableError
from apricotgap.platform.store import StoreError

__all__ = ["RepeatedCalls"]

_T = TypeVar("_T")

_RETRY_MS = 100
# The other instance may have to wait for the owner before it asks the store.
_RELAY_TIMEOUT_MS = 1_400


class RepeatedCalls:
    """Repeats calls that may be executed more than once.

    Parameters
    ----------
    relays, clock
        Dependencies.
    """

    def __init__(self, relays: Relays, clock: Clock) -> None:
        self._relays = relays
        self._clock = clock

    async def run(
        self,
        operation: str,
        argument: list[Any],
        attempt: Callable[[], Awaitable[_T]],
        decode: Callable[[Any], _T],
        deadline_ms: int,
    ) -> _T:
        """Try a call from here, then through others, until its deadline.

        Parameters
        ----------
        operation, argument : str, list
            The call as other instances relay it; the argument has the service and
            the job or queue.
        attempt : callable
            Makes the call from here; raises `StoreError` if nothing was reached.
        decode : callable
            Decodes the result of a relayed call; raises `ValueError` for an odd one.
        deadline_ms : int
            When the caller stops waiting.

        Raises
        ------
        UnreadableError
            Neither the owner nor the store was reached.
        """
        relays = iter(self._relays.choose_for_reads(argument[0]))
        while True:
            try:
                return await attempt()
            except StoreError as error:
                reason = str(error)
            for member in relays:
                try:
                    return decode(
                        await self._relays.call(
                            member,
                            operation,
                            argument,
                            deadline_ms,
                            _RELAY_TIMEOUT_MS,
                            about=str(argument[1]),
                        )
                    )
                except (PeerCallError, ValueError):
                    # An attempt from here comes before the next one through another.
                    break
            if deadline_ms - self._clock.now_ms <= _RETRY_MS:
                raise UnreadableError(reason)
            await trio.sleep(_RETRY_MS / 1000)
