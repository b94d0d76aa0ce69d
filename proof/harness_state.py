"""State that the fakes of entry instances share, and their calls of the store."""

from collections.abc import Callable
from random import Random

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.model import Outcome
from proof.fake_entry import EventBuilder, FakeEntry
from proof.fake_store import FakeStore
from proof.fake_worker import FakeWorker
from proof.schedule import Schedule

__all__ = ["HarnessState"]


class HarnessState:
    """Entry instances, workers, the store and what is cut.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    link_ms : float
        One-way time between any two processes.
    """

    def __init__(self, seed: int = 0, link_ms: float = 1.0) -> None:
        self.schedule = Schedule()
        self.rng = Random(seed)
        self.link_ms = link_ms
        self.store = FakeStore(self.schedule)
        self.entries: dict[str, FakeEntry] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.worker_data_centre: dict[str, str] = {}
        self.leaving: set[str] = set()
        self.gone: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.store_cut: set[str] = set()
        self.outcomes: dict[str, tuple[int, Outcome]] = {}
        self.answers_from: dict[str, str] = {}
        self.queries: dict[str, fx.Effect] = {}
        self.n_outcomes: dict[str, int] = {}
        self.bodies: dict[str, bytes] = {}
        self.answer_bodies: dict[str, bytes | None] = {}
        self.event_watchers: list[Callable[[FakeEntry, ev.Event], None]] = []
        self.step_watchers: list[Callable[[FakeEntry, ev.Event], None]] = []
        self.effect_watchers: list[Callable[[FakeEntry, fx.Effect], None]] = []
        self.unhandled: list[fx.Effect] = []
        self.reboots: dict[str, str] = {}
        self._connected: set[frozenset[str]] = set()
        self._n_started = 0
        self._dialling: set[tuple[str, str]] = set()
        self._generations: dict[tuple[str, str], int] = {}
        self._opened: set[tuple[str, str, int]] = set()
        self._silent: set[tuple[str, str, int]] = set()

    @property
    def now_ms(self) -> int:
        """Virtual time."""
        return self.schedule.now_ms

    def run_for(self, duration_ms: int) -> None:
        """Let virtual time pass."""
        self.schedule.run_until(self.now_ms + duration_ms)

    def _store(
        self,
        entry: FakeEntry,
        effect: fx.Effect,
        post: Callable[[EventBuilder], None] | None = None,
    ) -> None:
        name = entry.identity.entry
        self.store.call(
            effect,
            client=name,
            reachable=lambda: name not in self.store_cut,
            link_ms=self.link_ms,
            sent_ms=self.now_ms,
            post=post or entry.post,
        )
