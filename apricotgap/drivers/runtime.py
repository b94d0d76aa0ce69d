"""Event loop of the reducer: applies events and runs the resulting effects."""

from collections import deque
from collections.abc import Callable, Mapping

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.core.effects import Count, Effect
from apricotgap.core.events import Event, Tick
from apricotgap.core.limits import TICK_MS
from apricotgap.core.reducer import Reducer

__all__ = ["Runtime"]

EffectRunner = Callable[..., None]


class Runtime:
    """Applies events to the reducer one at a time and passes effects to drivers.

    Parameters
    ----------
    reducer : Reducer
        The reducer, owned by the runtime.
    clock : Clock
        Source of the event timestamps.
    """

    def __init__(self, reducer: Reducer, clock: Clock) -> None:
        self._reducer = reducer
        self._clock = clock
        self._runners: dict[type[Effect], EffectRunner] = {}
        self._events: deque[Event] = deque()
        self._busy = False
        self._log = structlog.get_logger()

    @property
    def clock(self) -> Clock:
        """Source of the event timestamps."""
        return self._clock

    @property
    def reducer(self) -> Reducer:
        """The reducer."""
        return self._reducer

    def register(self, runners: Mapping[type[Effect], EffectRunner]) -> None:
        """Register the functions that run effects.

        Parameters
        ----------
        runners : mapping of type of Effect to callable
            Function for each effect type, called with the effect. It must not block.

        Raises
        ------
        ValueError
            If a type already has a runner.
        """
        for effect_type, runner in runners.items():
            if effect_type in self._runners:
                raise ValueError(f"{effect_type.__name__} already has a runner")
            self._runners[effect_type] = runner

    def post(self, event: Event) -> None:
        """Apply an event and start its effects; safe to call from a runner."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._apply(self._events.popleft())
        finally:
            self._busy = False

    async def tick(self) -> None:
        """Post a `Tick` every ``TICK_MS`` until cancelled."""
        while True:
            self.post(Tick(self._clock.now_ms))
            await trio.sleep(TICK_MS / 1000)

    def _apply(self, event: Event) -> None:
        try:
            effects = self._reducer.step(event)
        except Exception as error:  # an error in one event must not stop the instance
            self._report_error(type(event).__name__, error)
            return
        for effect in effects:
            runner = self._runners.get(type(effect))
            if runner is None:
                self._report_error(type(effect).__name__, LookupError("no runner"))
                continue
            try:
                runner(effect)
            except Exception as error:
                self._report_error(type(effect).__name__, error)

    def _report_error(self, what: str, error: Exception) -> None:
        traceback = error.__traceback__
        while traceback is not None and traceback.tb_next is not None:
            traceback = traceback.tb_next
        self._log.error(
            "internal_error",
            what=what,
            error=f"{type(error).__name__}: {error}",
            file=traceback.tb_frame.f_code.co_filename if traceback else "",
            line=traceback.tb_lineno if traceback else 0,
        )
        counter = self._runners.get(Count)
        if counter is not None:
            counter(Count("internal_errors"))
