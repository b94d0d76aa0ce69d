"""An entry instance on the real reducer."""

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import apricotgap.core.handlers  # noqa: F401  registers every handler
from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.limits import TICK_MS
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity

if TYPE_CHECKING:
    from proof.harness import Harness

__all__ = ["EventBuilder", "FakeEntry"]

EventBuilder = Callable[[int], ev.Event]


class FakeEntry:
    """One entry instance: the reducer and the delivery of its events.

    Parameters
    ----------
    harness : Harness
        Owner.
    identity : Identity
        Who it is.
    seeds : dict of str to str
        Peer addresses by entry name.
    """

    def __init__(
        self, harness: "Harness", identity: Identity, seeds: dict[str, str]
    ) -> None:
        self.harness = harness
        self.identity = identity
        self.state = EntryState(identity, Random(identity.incarnation), seeds=seeds)
        self.reducer = Reducer(self.state)
        self.alive = True
        self.paused = False
        self.exited = False
        self.ready = False
        self.wanted_peers: dict[str, str] = {}
        self.counts: dict[str, int] = {}
        self.changes: list[tuple[int, str, dict[str, object]]] = []
        self.operator_answers: dict[str, fx.AnswerOperator] = {}
        self.request_bodies: dict[str, bytes] = {}
        self.task_answers: dict[str, bytes] = {}
        self.retained: dict[str, bytes] = {}
        self.n_forwarded = 0
        self._held: list[EventBuilder] = []
        self._held_effects: list[fx.Effect] = []

    def post(self, build: EventBuilder) -> None:
        """Deliver an event now, or when the pause ends."""
        if not self.alive:
            return
        if self.paused:
            self._held.append(build)
            return
        event = build(self.harness.now_ms)
        for watcher in self.harness.event_watchers:
            watcher(self, event)
        if not self.alive:
            return
        if self.paused:
            self._held.append(build)
            return
        for effect in self.reducer.step(event):
            self._run(effect)
        for watcher in self.harness.step_watchers:
            watcher(self, event)

    def _run(self, effect: fx.Effect) -> None:
        for watcher in self.harness.effect_watchers:
            watcher(self, effect)
        if not self.alive:
            return
        if self.paused:
            self._held_effects.append(effect)
            return
        self.harness.run_effect(self, effect)

    def pause(self) -> None:
        """Stop handling events, as a stopped process does."""
        self.paused = True

    def resume(self) -> None:
        """Handle what arrived during the pause."""
        self.paused = False
        effects, self._held_effects = self._held_effects, []
        for effect in effects:
            if self.alive:
                self.harness.run_effect(self, effect)
        held, self._held = self._held, []
        for build in held:
            self.post(build)

    def tick(self) -> None:
        """Post the periodic tick."""
        if not self.alive or self.exited:
            return
        if not self.paused:
            self.post(ev.Tick)
        self.harness.schedule.after(TICK_MS, self.tick)
