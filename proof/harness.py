"""Entry instances on the real reducer, with fakes at every interface."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable
from random import Random

import apricotgap.core.handlers  # noqa: F401  registers every handler
from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.limits import TICK_MS
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.model import Outcome, Request
from apricotgap.model.peers import (
    ClaimAnswer,
    PeerMessage,
    TicketAnswer,
    TicketForward,
)
from proof.fake_store import FakeStore
from proof.fake_worker import FakeWorker

__all__ = ["FakeEntry", "Harness", "Schedule"]

EventBuilder = Callable[[int], ev.Event]

_CONNECT_TIMEOUT_MS = 1_000
_PROBE_TIMEOUT_MS = 1_500
_BOOT_MS = 1_500
_TICK_PHASE_MS = 37
# How often a cut path is tried again; TCP resends at similar intervals.
_RESEND_MS = 250


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

    def add_entry(
        self, name: str, data_centre: str, incarnation: str, seeds: dict[str, str]
    ) -> FakeEntry:
        """Start an entry instance; one of the same name must be gone."""
        address = seeds.get(name, f"{name}:1")
        identity = Identity(name, incarnation, data_centre, address, address)
        entry = FakeEntry(self, identity, seeds)
        self.entries[name] = entry
        entry.post(ev.Started)
        # Processes do not tick in step; equal phases would make every write of two
        # entries of a data centre a conflict.
        phase_ms = self._n_started * _TICK_PHASE_MS % TICK_MS
        self._n_started += 1
        self.schedule.after(phase_ms, entry.tick)
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
        self.entries[entry].request_bodies[request.request_id] = body
        self.entries[entry].post(lambda at: ev.RequestArrived(at, request))

    def cut(self, side_a: set[str], side_b: set[str]) -> None:
        """Cut the links between two sets of entry, worker or data centre names."""
        for a in side_a:
            for b in side_b:
                self.cut_links.add(frozenset((a, b)))
        for pair in sorted(self._connected, key=sorted):
            if pair in self.cut_links:
                self._disconnect(pair)

    def heal(self) -> None:
        """Restore every link and the store for every entry instance."""
        self.cut_links.clear()
        self.store_cut.clear()
        for name in self.entries:
            self._connect_wanted(name)

    def silence(self, entry: str, instance: str) -> None:
        """Make the present connections from an entry to a server go silent."""
        self._silent.add((entry, instance, self._generation(entry, instance)))

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
        request_id = effect.request_id
        self.outcomes.setdefault(request_id, (self.now_ms, effect.outcome))
        self.n_outcomes[request_id] = self.n_outcomes.get(request_id, 0) + 1
        body = None
        if effect.task_id is not None:
            self.answers_from[request_id] = effect.task_id
            body = entry.task_answers.pop(effect.task_id, None)
        if body is None and effect.source_request_id is not None:
            body = entry.retained.get(effect.source_request_id)
        if body is not None:
            entry.retained[request_id] = body
        self.answer_bodies.setdefault(request_id, body)
        entry.request_bodies.pop(request_id, None)

    def _answer_query(self, entry: FakeEntry, effect: fx.AnswerQuery) -> None:
        self.queries[effect.call_id] = effect

    def _answer_operator(self, entry: FakeEntry, effect: fx.AnswerOperator) -> None:
        entry.operator_answers[effect.call_id] = effect

    # Store

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

    # Peers

    def _connect_peers(self, entry: FakeEntry, effect: fx.ConnectPeers) -> None:
        entry.wanted_peers = dict(effect.addresses)
        self._connect_wanted(entry.identity.entry)

    def _connect_wanted(self, name: str) -> None:
        for peer in sorted(self.entries[name].wanted_peers):
            self._dial(name, peer, 2 * self.link_ms)

    def _dial(self, name: str, peer: str, delay_ms: float) -> None:
        if (name, peer) not in self._dialling:
            self._dialling.add((name, peer))
            self.schedule.after(delay_ms, lambda: self._connect(name, peer))

    def _connect(self, name: str, peer: str) -> None:
        self._dialling.discard((name, peer))
        pair = frozenset((name, peer))
        other = self.entries.get(peer)
        entry = self.entries[name]
        if len(pair) != 2 or pair in self._connected:
            return
        if other is None or not (entry.alive and other.alive) or other.paused:
            self._retry_connect(name, peer)
            return
        if self.is_cut(entry, other):
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
            self._dial(name, peer, 500)

    def is_cut(self, entry: FakeEntry, other: FakeEntry) -> bool:
        """Tell whether the path between two entries is cut."""
        pair = frozenset((entry.identity.entry, other.identity.entry))
        return pair in self.cut_links or self._data_centres_cut(entry, other)

    def _data_centres_cut(self, entry: FakeEntry, other: FakeEntry) -> bool:
        centres = {entry.identity.data_centre, other.identity.data_centre}
        return len(centres) == 2 and frozenset(centres) in self.cut_links

    def _send_peer(self, entry: FakeEntry, effect: fx.SendPeer) -> None:
        self._send(entry, effect.peer, effect.message)

    def _send(self, entry: FakeEntry, peer: str, message: PeerMessage) -> None:
        name = entry.identity.entry
        pair = frozenset((name, peer))
        if pair not in self._connected:
            return

        def arrive() -> None:
            other = self.entries.get(peer)
            if other is not None and pair in self._connected:
                self._receive(other, name, message)

        self.schedule.after(self.link_ms, arrive)

    def _receive(self, entry: FakeEntry, peer: str, message: PeerMessage) -> None:
        if isinstance(message, TicketForward):
            entry.n_forwarded += 1
            me = entry.identity
            request_id = f"{me.entry}.{me.incarnation}.f{entry.n_forwarded}"
            self.bodies[request_id] = message.body
            entry.request_bodies[request_id] = message.body
            n_bytes = len(message.body)
            bare = dataclasses.replace(message, body=b"")
            entry.post(
                lambda at: ev.ForwardedRequestArrived(
                    at, peer, bare, request_id, n_bytes
                )
            )
            return
        if isinstance(message, ClaimAnswer | TicketAnswer):
            if message.n_body_bytes or message.body:
                entry.retained[message.call_id] = message.body
            message = dataclasses.replace(message, body=b"")
        entry.post(lambda at: ev.PeerReceived(at, peer, message))

    def _forward(self, entry: FakeEntry, effect: fx.ForwardRequest) -> None:
        body = entry.request_bodies.get(effect.request_id)
        if body is not None:
            message = dataclasses.replace(effect.message, body=body)
            self._send(entry, effect.peer, message)

    def _send_answer(self, entry: FakeEntry, effect: fx.SendAnswerWithBody) -> None:
        if effect.task_id is not None:
            body = entry.task_answers.pop(effect.task_id, None)
            if body is not None:
                entry.retained[effect.request_id] = body
        message = effect.message
        held = entry.retained.get(effect.request_id)
        if held is not None:
            message = dataclasses.replace(message, body=held)
        self._send(entry, effect.peer, message)

    def _store_body(self, entry: FakeEntry, effect: fx.StoreBody) -> None:
        held = entry.retained.get(effect.request_id)
        if held is None:
            entry.post(
                lambda at: ev.CasFinished(
                    at, effect.call_id, effect.key, ev.CasResult.CONFLICT
                )
            )
            return
        cas = fx.StoreCas(effect.call_id, effect.key, 0, held, effect.lease_id)
        self._store(entry, cas)

    def _fetch_body(self, entry: FakeEntry, effect: fx.FetchBody) -> None:
        def found(build: EventBuilder) -> None:
            read = build(self.now_ms)
            n_bytes: int | None = None
            if isinstance(read, ev.StoreReadFinished) and read.items[0].revision:
                entry.retained[effect.request_id] = read.items[0].value
                n_bytes = len(read.items[0].value)
            entry.post(lambda at: ev.BodyFetched(at, effect.call_id, n_bytes))

        self._store(entry, fx.StoreGet(effect.call_id, effect.key), found)

    def _release(self, entry: FakeEntry, effect: fx.ReleaseBodies) -> None:
        entry.request_bodies.pop(effect.request_id, None)

    def cut_data_centres(self, one: str, *others: str) -> None:
        """Cut a data centre's entry instances and workers off from others."""
        for other in others:
            self.cut_links.add(frozenset((one, other)))
        for pair in sorted(self._connected, key=sorted):
            first, second = (self.entries[name] for name in pair)
            if self._data_centres_cut(first, second):
                self._disconnect(pair)

    def _disconnect(self, pair: frozenset[str]) -> None:
        self._connected.discard(pair)
        for name in sorted(pair):
            (peer,) = pair - {name}
            entry = self.entries.get(name)
            if entry is not None:
                self._post_soon(
                    entry, lambda at, peer=peer: ev.PeerDisconnected(at, peer)
                )
                self._retry_connect(name, peer)

    def _post_soon(self, entry: FakeEntry, build: EventBuilder) -> None:
        self.schedule.after(0, lambda: entry.post(build))

    def _close_links_of(self, name: str) -> None:
        for pair in sorted((p for p in self._connected if name in p), key=sorted):
            self._disconnect(pair)

    # Workers

    def _generation(self, entry: str, instance: str) -> int:
        return self._generations.get((entry, instance), 0)

    def _path_cut(self, entry: FakeEntry, instance: str) -> bool:
        centres = frozenset(
            (entry.identity.data_centre, self.worker_data_centre[instance])
        )
        pair = frozenset((entry.identity.entry, instance))
        return centres in self.cut_links or pair in self.cut_links

    def _over(
        self, entry: FakeEntry, instance: str, connection: tuple[str, str, int]
    ) -> Callable[[EventBuilder], None]:
        """Return a post that a silent connection drops and a cut path delays."""

        def post(build: EventBuilder) -> None:
            if connection in self._silent or not entry.alive:
                return
            if self._path_cut(entry, instance):
                self.schedule.after(_RESEND_MS, lambda: post(build))
                return
            entry.post(build)

        return post

    def _dispatch(self, entry: FakeEntry, effect: fx.Dispatch) -> None:
        name, instance = entry.identity.entry, effect.instance
        connection = (name, instance, self._generation(name, instance))
        worker = self.workers.get(instance)
        if effect.request_id not in entry.request_bodies:
            self._not_sent(entry, effect, 0, "the request body is gone")
        elif worker is None or worker.down:
            self._not_sent(entry, effect, self.link_ms, "refused")
        elif connection in self._silent:
            return
        elif self._path_cut(entry, instance) and connection not in self._opened:
            self._not_sent(entry, effect, _CONNECT_TIMEOUT_MS, "connect timeout")
        else:
            self._opened.add(connection)
            delay_ms = self.link_ms + worker.extra_link_ms
            body = entry.request_bodies[effect.request_id]
            self.schedule.after(
                delay_ms, lambda: self._arrive(entry, effect, connection, body)
            )

    def _not_sent(
        self, entry: FakeEntry, effect: fx.Dispatch, after_ms: float, message: str
    ) -> None:
        self.schedule.after(
            after_ms,
            lambda: entry.post(
                lambda at: ev.TaskFailed(at, effect.task_id, False, False, message)
            ),
        )

    def _arrive(
        self,
        entry: FakeEntry,
        effect: fx.Dispatch,
        connection: tuple[str, str, int],
        body: bytes,
    ) -> None:
        """Deliver a task; over a cut path it arrives when the path heals."""
        if connection in self._silent:
            return
        if self._path_cut(entry, effect.instance):
            if entry.alive:
                self.schedule.after(
                    _RESEND_MS, lambda: self._arrive(entry, effect, connection, body)
                )
            return
        plain = self._over(entry, effect.instance, connection)

        def post(build: EventBuilder) -> None:
            def keep_answer(at: int) -> ev.Event:
                event = build(at)
                if isinstance(event, ev.TaskCompleted):
                    entry.task_answers[event.task_id] = b"answer to " + body
                return event

            plain(keep_answer)

        self.workers[effect.instance].start(effect, post, self.link_ms)

    def _probe_worker(self, entry: FakeEntry, effect: fx.ProbeWorker) -> None:
        name, instance = entry.identity.entry, effect.instance
        connection = (name, instance, self._generation(name, instance))
        silent = connection in self._silent and not effect.fresh
        worker = self.workers.get(instance)
        sent_ms = self.now_ms

        def unreachable(after_ms: float) -> None:
            self.schedule.after(
                after_ms,
                lambda: entry.post(lambda at: ev.WorkerUnreachable(at, instance)),
            )

        def ask() -> None:
            if worker is None or worker.down:
                unreachable(self.link_ms)
            else:
                worker.report(instance, entry.post, self.link_ms, sent_ms)

        if silent or self._path_cut(entry, instance):
            unreachable(_PROBE_TIMEOUT_MS)
        else:
            self.schedule.after(self.link_ms, ask)

    def _probe_task(self, entry: FakeEntry, effect: fx.ProbeTask) -> None:
        def unanswered(after_ms: float) -> None:
            self.schedule.after(
                after_ms,
                lambda: entry.post(lambda at: ev.TaskProbed(at, effect.task_id, None)),
            )

        def ask() -> None:
            worker = self.workers.get(effect.instance)
            if worker is None or worker.down:
                unanswered(self.link_ms)
            else:
                worker.probe(effect.task_id, entry.post, self.link_ms)

        if self._path_cut(entry, effect.instance):
            unanswered(_PROBE_TIMEOUT_MS)
        else:
            self.schedule.after(self.link_ms, ask)

    def _control(self, entry: FakeEntry, effect: fx.Effect) -> None:
        instance: str = effect.instance  # type: ignore[attr-defined]
        name = entry.identity.entry
        connection = (name, instance, self._generation(name, instance))
        worker = self.workers.get(instance)
        down = worker is None or worker.down
        if down or connection in self._silent or self._path_cut(entry, instance):
            self._control_failed(entry, effect, _PROBE_TIMEOUT_MS)
            return

        def arrive() -> None:
            if not self.workers[instance].control(effect):
                self._control_failed(entry, effect, self.link_ms)

        self.schedule.after(self.link_ms, arrive)

    def _control_failed(
        self, entry: FakeEntry, effect: fx.Effect, after_ms: float
    ) -> None:
        if not isinstance(effect, fx.CheckpointTask):
            return
        task_id = effect.task_id
        self.schedule.after(
            after_ms,
            lambda: entry.post(lambda at: ev.TaskCheckpointed(at, task_id, False)),
        )

    def _drop_connections(self, entry: FakeEntry, effect: fx.DropConnections) -> None:
        key = (entry.identity.entry, effect.instance)
        self._generations[key] = self._generations.get(key, 0) + 1

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
        if entry.identity.entry in self.store_cut:
            return
        if self.reboots.get(effect.instance) != effect.step_id:
            self.reboots[effect.instance] = effect.step_id
            worker = self.workers[effect.instance]
            self.schedule.after(self.link_ms, worker.kill)
            self.schedule.after(_BOOT_MS, worker.reboot)

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
        fx.DropConnections: _drop_connections,
        fx.ForwardRequest: _forward,
        fx.SendAnswerWithBody: _send_answer,
        fx.StoreBody: _store_body,
        fx.FetchBody: _fetch_body,
        fx.ReleaseBodies: _release,
        fx.ReadInstanceList: _read_list,
        fx.RebootInstance: _reboot,
        fx.StoreGet: _store,
        fx.StoreList: _store,
        fx.StoreCas: _store,
        fx.StoreDelete: _store,
        fx.GrantLease: _store,
        fx.RenewLease: _store,
        fx.RevokeLease: _store,
        fx.OpenWatch: _store,
    }
