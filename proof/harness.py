"""Entry instances on the real reducer, with fakes at every interface."""

import heapq
import itertools
from collections.abc import Callable
from random import Random

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.limits import TICK_MS
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.model import Outcome, Request
from proof.fake_store import FakeStore
from proof.fake_worker import FakeWorker

__all__ = ["FakeEntry", "Harness", "Schedule"]

EventBuilder = Callable[[int], ev.Event]


class Schedule:
    """Virtual time in milliseconds and what is due."""

    def __init__(self) -> None:
        self._now_ms = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def now_ms(self) -> int:
        """Virtual time."""
        return self._now_ms

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay_ms`; equal times keep their order."""
        due = self._now_ms + max(0, round(delay_ms))
        heapq.heappush(self._due, (due, next(self._order), action))

    def run_until(self, end_ms: int) -> None:
        """Run everything due up to `end_ms`."""
        while self._due and self._due[0][0] <= end_ms:
            self._now_ms, _, action = heapq.heappop(self._due)
            action()
        self._now_ms = max(self._now_ms, end_ms)


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
        self._held: list[EventBuilder] = []

    def post(self, build: EventBuilder) -> None:
        """Deliver an event now, or when the pause ends."""
        if not self.alive:
            return
        if self.paused:
            self._held.append(build)
            return
        event = build(self.harness.now_ms)
        for effect in self.reducer.step(event):
            self.harness.run_effect(self, effect)

    def pause(self) -> None:
        """Stop handling events, as a stopped process does."""
        self.paused = True

    def resume(self) -> None:
        """Handle what arrived during the pause."""
        self.paused = False
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


class Harness:
    """Entry instances, workers, callers and the store in virtual time.

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
        self.bodies: dict[str, bytes] = {}
        self.unhandled: list[fx.Effect] = []
        self.reboots: dict[str, str] = {}
        self._connected: set[frozenset[str]] = set()

    @property
    def now_ms(self) -> int:
        """Virtual time."""
        return self.schedule.now_ms

    def run_for(self, duration_ms: int) -> None:
        """Let virtual time pass."""
        self.schedule.run_until(self.now_ms + duration_ms)

    def add_entry(
        self, name: str, data_centre: str, incarnation: str, seeds: dict[str, str]
    ) -> FakeEntry:
        """Start an entry instance; one of the same name must be gone."""
        address = seeds.get(name, f"{name}:1")
        identity = Identity(name, incarnation, data_centre, address, address)
        entry = FakeEntry(self, identity, seeds)
        self.entries[name] = entry
        entry.post(ev.Started)
        entry.tick()
        return entry

    def kill_entry(self, name: str) -> None:
        """End an entry instance without any notice."""
        self.entries[name].alive = False
        self._close_links_of(name)

    def add_worker(self, name: str, worker: FakeWorker, data_centre: str) -> None:
        """Add a backend server."""
        self.workers[name] = worker
        self.worker_data_centre[name] = data_centre

    def submit(self, entry: str, request: Request, body: bytes = b"") -> None:
        """Send a request to an entry instance."""
        self.bodies[request.request_id] = body
        self.entries[entry].post(lambda at: ev.RequestArrived(at, request))

    def cut(self, side_a: set[str], side_b: set[str]) -> None:
        """Cut the links between two sets of entry, worker or data centre names."""
        for a in side_a:
            for b in side_b:
                self.cut_links.add(frozenset((a, b)))
        for pair in list(self._connected):
            if pair in self.cut_links:
                self._disconnect(pair)

    def heal(self) -> None:
        """Restore every link and the store for every entry instance."""
        self.cut_links.clear()
        self.store_cut.clear()
        for name in self.entries:
            self._connect_wanted(name)

    def run_effect(self, entry: FakeEntry, effect: fx.Effect) -> None:
        """Run one effect of an entry instance."""
        runner = self._RUNNERS.get(type(effect))
        if runner is None:
            self.unhandled.append(effect)
            return
        runner(self, entry, effect)

    def _ignore(self, entry: FakeEntry, effect: fx.Effect) -> None:
        pass

    def _count(self, entry: FakeEntry, effect: fx.Count) -> None:
        entry.counts[effect.name] = entry.counts.get(effect.name, 0) + effect.n

    def _change(self, entry: FakeEntry, effect: fx.LogChange) -> None:
        entry.changes.append((self.now_ms, effect.event, effect.fields))

    def _ready(self, entry: FakeEntry, effect: fx.SetReady) -> None:
        entry.ready = effect.ready

    def _exit(self, entry: FakeEntry, effect: fx.Exit) -> None:
        entry.exited = True
        entry.alive = False
        self._close_links_of(entry.identity.entry)

    def _answer_caller(self, entry: FakeEntry, effect: fx.AnswerCaller) -> None:
        self.outcomes.setdefault(effect.request_id, (self.now_ms, effect.outcome))
        if effect.task_id is not None:
            self.answers_from[effect.request_id] = effect.task_id

    def _answer_query(self, entry: FakeEntry, effect: fx.AnswerQuery) -> None:
        self.queries[effect.call_id] = effect

    def _answer_operator(self, entry: FakeEntry, effect: fx.AnswerOperator) -> None:
        entry.operator_answers[effect.call_id] = effect

    # Store

    def _store(self, entry: FakeEntry, effect: fx.Effect) -> None:
        name = entry.identity.entry
        self.store.call(
            effect,
            client=name,
            reachable=lambda: name not in self.store_cut,
            link_ms=self.link_ms,
            sent_ms=self.now_ms,
            post=entry.post,
        )

    # Peers

    def _connect_peers(self, entry: FakeEntry, effect: fx.ConnectPeers) -> None:
        entry.wanted_peers = dict(effect.addresses)
        self._connect_wanted(entry.identity.entry)

    def _connect_wanted(self, name: str) -> None:
        entry = self.entries[name]
        for peer in entry.wanted_peers:
            self.schedule.after(2 * self.link_ms, lambda p=peer: self._connect(name, p))

    def _connect(self, name: str, peer: str) -> None:
        pair = frozenset((name, peer))
        other = self.entries.get(peer)
        entry = self.entries[name]
        if other is None or len(pair) != 2 or pair in self._connected:
            return
        if not (entry.alive and other.alive) or other.paused:
            self._retry_connect(name, peer)
            return
        if pair in self.cut_links or self._data_centres_cut(entry, other):
            self._retry_connect(name, peer)
            return
        self._connected.add(pair)
        for one, two in ((entry, other), (other, entry)):
            who = two.identity
            one.post(
                lambda at, who=who: ev.PeerConnected(
                    at, who.entry, who.data_centre, who.incarnation
                )
            )

    def _retry_connect(self, name: str, peer: str) -> None:
        entry = self.entries[name]
        if entry.alive and peer in entry.wanted_peers:
            self.schedule.after(500, lambda: self._connect(name, peer))

    def _data_centres_cut(self, entry: FakeEntry, other: FakeEntry) -> bool:
        centres = {entry.identity.data_centre, other.identity.data_centre}
        return len(centres) == 2 and frozenset(centres) in self.cut_links

    def _send_peer(self, entry: FakeEntry, effect: fx.SendPeer) -> None:
        name = entry.identity.entry
        pair = frozenset((name, effect.peer))
        if pair not in self._connected:
            return
        message = effect.message

        def arrive() -> None:
            other = self.entries.get(effect.peer)
            if other is not None and pair in self._connected:
                other.post(lambda at: ev.PeerReceived(at, name, message))

        self.schedule.after(self.link_ms, arrive)

    def cut_data_centres(self, one: str, *others: str) -> None:
        """Cut a data centre's entry instances and workers off from others."""
        for other in others:
            self.cut_links.add(frozenset((one, other)))
        for pair in list(self._connected):
            first, second = (self.entries[name] for name in pair)
            if self._data_centres_cut(first, second):
                self._disconnect(pair)

    def _disconnect(self, pair: frozenset[str]) -> None:
        self._connected.discard(pair)
        for name in pair:
            (peer,) = pair - {name}
            entry = self.entries.get(name)
            if entry is not None:
                entry.post(lambda at, peer=peer: ev.PeerLost(at, peer))
                self._retry_connect(name, peer)

    def _close_links_of(self, name: str) -> None:
        for pair in [p for p in self._connected if name in p]:
            self._disconnect(pair)

    # Workers

    def _worker_reachable(self, entry: FakeEntry, instance: str) -> bool:
        worker = self.workers.get(instance)
        if worker is None or worker.down:
            return False
        centres = frozenset(
            (entry.identity.data_centre, self.worker_data_centre[instance])
        )
        pair = frozenset((entry.identity.entry, instance))
        return centres not in self.cut_links and pair not in self.cut_links

    def _dispatch(self, entry: FakeEntry, effect: fx.Dispatch) -> None:
        if not self._worker_reachable(entry, effect.instance):
            self.schedule.after(
                self.link_ms,
                lambda: entry.post(
                    lambda at: ev.TaskFailed(
                        at, effect.task_id, False, False, "refused"
                    )
                ),
            )
            return
        worker = self.workers[effect.instance]
        self.schedule.after(
            self.link_ms + worker.extra_link_ms,
            lambda: worker.start(effect, entry.post, self.link_ms),
        )

    def _probe_worker(self, entry: FakeEntry, effect: fx.ProbeWorker) -> None:
        if not self._worker_reachable(entry, effect.instance):
            self.schedule.after(
                2 * self.link_ms,
                lambda: entry.post(
                    lambda at: ev.WorkerUnreachable(at, effect.instance)
                ),
            )
            return
        worker = self.workers[effect.instance]
        self.schedule.after(
            self.link_ms,
            lambda: worker.report(effect.instance, entry.post, self.link_ms),
        )

    def _probe_task(self, entry: FakeEntry, effect: fx.ProbeTask) -> None:
        if not self._worker_reachable(entry, effect.instance):
            self.schedule.after(
                2 * self.link_ms,
                lambda: entry.post(lambda at: ev.TaskProbed(at, effect.task_id, None)),
            )
            return
        worker = self.workers[effect.instance]
        self.schedule.after(
            self.link_ms,
            lambda: worker.probe(effect.task_id, entry.post, self.link_ms),
        )

    def _control(self, entry: FakeEntry, effect: fx.Effect) -> None:
        instance = effect.instance  # type: ignore[attr-defined]
        if self._worker_reachable(entry, instance):
            worker = self.workers[instance]
            self.schedule.after(self.link_ms, lambda: worker.control(effect))

    def _read_list(self, entry: FakeEntry, effect: fx.ReadInstanceList) -> None:
        live = frozenset(
            {*self.workers, *(n for n, e in self.entries.items() if e.alive)}
            - self.gone
        )
        leaving = frozenset(self.leaving)
        if entry.identity.entry not in self.store_cut:
            self.schedule.after(
                2 * self.link_ms,
                lambda: entry.post(lambda at: ev.InstanceListRead(at, live, leaving)),
            )

    def _reboot(self, entry: FakeEntry, effect: fx.RebootInstance) -> None:
        if self.reboots.get(effect.instance) != effect.step_id:
            self.reboots[effect.instance] = effect.step_id
            worker = self.workers[effect.instance]
            self.schedule.after(self.link_ms, worker.reboot)

    _RUNNERS = {
        fx.Count: _count,
        fx.Observe: _ignore,
        fx.LogChange: _change,
        fx.SetReady: _ready,
        fx.Exit: _exit,
        fx.AnswerCaller: _answer_caller,
        fx.AnswerQuery: _answer_query,
        fx.AnswerTicket: _answer_query,
        fx.AnswerOperator: _answer_operator,
        fx.ConnectPeers: _connect_peers,
        fx.SendPeer: _send_peer,
        fx.Dispatch: _dispatch,
        fx.ProbeWorker: _probe_worker,
        fx.ProbeTask: _probe_task,
        fx.RenewTask: _control,
        fx.CheckpointTask: _control,
        fx.ThrottleTask: _control,
        fx.StopTask: _control,
        fx.DropConnections: _ignore,
        fx.ReadInstanceList: _read_list,
        fx.RebootInstance: _reboot,
        fx.StoreGet: _store,
        fx.StoreList: _store,
        fx.StoreCas: _store,
        fx.StoreDelete: _store,
        fx.GrantLease: _store,
        fx.KeepLease: _store,
        fx.RevokeLease: _store,
        fx.OpenWatch: _store,
    }
