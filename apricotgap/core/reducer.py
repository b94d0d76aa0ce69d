"""The reducer, which applies events to the state and returns effects."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, ClassVar

from apricotgap.core.effects import Effect
from apricotgap.core.events import Event

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["Handler", "Reducer", "registered_handlers"]

_HANDLERS: list[type["Handler"]] = []


class Handler(ABC):
    """Base class of event handlers.

    A subclass declares `handles` and `order` and is registered when it is defined.
    Handlers of the same event run in ascending `order`. `apply` must be
    deterministic: it may depend only on the state and the event, and it changes the
    state only through the given object.
    """

    handles: ClassVar[tuple[type[Event], ...]] = ()
    order: ClassVar[int] = 50

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        if cls.handles:
            _HANDLERS.append(cls)

    @abstractmethod
    def apply(self, state: "EntryState", event: Event) -> Iterable[Effect]:
        """Change the state and return effects.

        Parameters
        ----------
        state : EntryState
            State of the entry instance.
        event : Event
            One of the types in `handles`.

        Returns
        -------
        iterable of Effect
            Effects in the order in which drivers must start them.
        """


def registered_handlers() -> tuple[type[Handler], ...]:
    """Return the registered handler classes."""
    return tuple(_HANDLERS)


class Reducer:
    """Applies events to the state.

    Parameters
    ----------
    state : EntryState
        Initial state, owned by the reducer from now on.
    handlers : iterable of type of Handler or None
        Handler classes; None selects all registered ones.
    """

    def __init__(
        self,
        state: "EntryState",
        handlers: Iterable[type[Handler]] | None = None,
    ) -> None:
        self._state = state
        self._by_type: dict[type[Event], tuple[Handler, ...]] = {}
        classes = registered_handlers() if handlers is None else tuple(handlers)
        for handler in sorted((cls() for cls in classes), key=lambda h: h.order):
            for event_type in handler.handles:
                registered = self._by_type.get(event_type, ())
                self._by_type[event_type] = (*registered, handler)

    @property
    def state(self) -> "EntryState":
        """The state, which callers must not change."""
        return self._state

    def step(self, event: Event) -> tuple[Effect, ...]:
        """Apply one event.

        Parameters
        ----------
        event : Event
            The event.

        Returns
        -------
        tuple of Effect
            Effects in the order in which drivers must start them.
        """
        return tuple(self._effects(event))

    def _effects(self, event: Event) -> Iterator[Effect]:
        for handler in self._by_type.get(type(event), ()):
            yield from handler.apply(self._state, event)
