"""Simulated entry instances that share one fake store, for the allotment tests."""

from dataclasses import dataclass, field, replace
from random import Random

from apricotgap.core import allotment_handlers as handlers
from apricotgap.core import (
    allotments,
    config_view,
    ledger,
    ledger_codec,
    membership,
)
from apricotgap.core.effects import OpenWatch, StoreCas, StoreGet, StoreList
from apricotgap.core.events import (
    CasFinished,
    CasResult,
    InstanceListRead,
    KeyValue,
    PeerConnected,
    PeerReceived,
    Started,
    StoreCallFailed,
    StoreChanged,
    StoreReadFinished,
    Tick,
    WatchBroken,
    WatchOpened,
)
from apricotgap.core.limits import MAX_TASK_LEASE_MS, START_WINDOW_MS
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.model import Configuration, Team
from apricotgap.model.peers import Usage

HANDLERS = (
    handlers.AllotmentTick,
    handlers.AllotmentWatch,
    handlers.AllotmentReads,
    handlers.AllotmentWrites,
    handlers.AllotmentPeers,
)
TEAM = "t"


@dataclass
class Member:
    incarnation: str


@dataclass
class Entry:
    reducer: Reducer
    lease_until_ms: int = 10_000
    alive: bool = True
    paused_until_ms: int = 0
    reachable: bool = True
    renewed_ms: int = 0
    paused: bool = False

    @property
    def state(self) -> EntryState:
        return self.reducer.state


@dataclass
class Cluster:
    """Simulated store, entry instances and clock.

    `faults` is the probability that a response of the store is lost; without faults
    each response takes `delay` ticks. `n_members` overrides the number of live entry
    instances, which sets the units that each acquires with its first request.
    `bound` is the number of running tasks that `check` permits: the limit, or the
    highest earlier limit until no entry instance may run more than the present one.
    """

    monkeypatch: object
    limit: int = 10
    seed: int = 0
    faults: float = 0.0
    delay: int = 0
    now_ms: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)
    store: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    late: list = field(default_factory=list)
    events: list = field(default_factory=list)
    revision: int = 0
    bound: int = 0
    n_writes: int = 0
    n_members: int = 0
    view_age_ms: int | None = 0
    n_started: int = 0

    def __post_init__(self):
        self.rng = Random(self.seed)
        self.bound = self.limit
        patch = self.monkeypatch.setattr
        patch(membership, "lease_valid", self._lease_valid, raising=False)
        patch(membership, "live_entries_of", self._live, raising=False)
        patch(membership, "live_entries", self._all_live)
        patch(config_view, "age_ms", lambda *_: self.view_age_ms)

    def _all_live(self, state, at_ms):
        return range(self.n_members or len(self.newest()))

    def _lease_valid(self, state, at_ms):
        return at_ms < self.entries[_name(state)].lease_until_ms

    def _live(self, state, data_centre, at_ms):
        return {
            entry.state.identity.entry: Member(entry.state.identity.incarnation)
            for entry in self.entries.values()
            if at_ms < entry.lease_until_ms
            and entry.state.identity.data_centre == data_centre
        }

    def add(self, name, data_centre, incarnation="1"):
        identity = Identity(name, incarnation, data_centre)
        state = EntryState(identity, Random(0), config=self._config())
        entry = Entry(Reducer(state, HANDLERS), self.now_ms + 10_000)
        entry.renewed_ms = self.now_ms
        self.entries[_name(state)] = entry
        self.step(entry, Started(self.now_ms))
        return entry

    def _config(self):
        teams = {TEAM: Team(TEAM, upper_limit=self.limit)} if self.limit else {}
        return Configuration(teams=teams)

    def set_limit(self, limit):
        self.bound = max(self.bound, limit)
        self.limit = limit

    def step(self, entry, event):
        for effect in entry.reducer.step(event):
            self._run(entry, effect)

    def _run(self, entry, effect):
        lost = not entry.reachable or self.rng.random() < self.faults
        delay = self.rng.choice((0, 1, 1, 3)) if self.faults else self.delay
        if isinstance(effect, OpenWatch):
            kind = WatchBroken if lost else WatchOpened
            self._later(entry, delay, kind, prefix=effect.prefix)
        elif isinstance(effect, StoreGet | StoreList):
            self._read(entry, effect, lost, delay)
        elif isinstance(effect, StoreCas):
            self.n_writes += 1
            self._cas(entry, effect, lost, delay)

    def _read(self, entry, effect, lost, delay):
        if lost:
            self._later(entry, delay, StoreCallFailed, call_id=effect.call_id)
            return
        if isinstance(effect, StoreGet):
            items = (self._item(effect.key),)
        else:
            names = [key for key in self.store if key.startswith(effect.prefix)]
            items = tuple(self._item(key) for key in sorted(names))
        self._later(
            entry,
            delay,
            StoreReadFinished,
            call_id=effect.call_id,
            items=items,
            sent_ms=self.now_ms,
        )

    def _item(self, key):
        value, revision = self.store.get(key, (b"", 0))
        return KeyValue(key, value, revision)

    def _cas(self, entry, effect, lost, delay):
        answer = {"call_id": effect.call_id, "key": effect.key}
        if lost:
            if self.rng.random() < 0.7:
                self.late.append(
                    (self.now_ms + self.rng.choice((0, 500, 4000)), effect)
                )
            self._later(entry, delay, CasFinished, result=CasResult.UNKNOWN, **answer)
            return
        done = self.apply(effect)
        result = CasResult.STORED if done else CasResult.CONFLICT
        self._later(
            entry, delay, CasFinished, result=result, revision=self.revision, **answer
        )

    def apply(self, effect):
        if self._item(effect.key).revision != effect.expected_revision:
            return False
        self.revision += 1
        self.store[effect.key] = (effect.value, self.revision)
        for entry in self.entries.values():
            own = entry.state.allotments
            prefix = ledger_codec.data_centre_prefix(entry.state.identity.data_centre)
            if effect.key.startswith(prefix) and own.watch_open and entry.reachable:
                delay = self.rng.choice((0, 2, 10)) if self.faults else 1
                items = (self._item(effect.key),)
                self._later(entry, delay, StoreChanged, prefix=prefix, items=items)
        self.check()
        return True

    def _later(self, entry, delay, kind, **fields):
        self.events.append([self.now_ms + 100 * delay, entry, kind, fields])

    def tick(self, n=1):
        """Advance by `n` steps of 100 ms."""
        for _ in range(n):
            self.now_ms += 100
            due = [late for late in self.late if late[0] <= self.now_ms]
            self.late = [late for late in self.late if late[0] > self.now_ms]
            for _, effect in due:
                self.apply(effect)
            self._end_tasks()
            self._deliver()
            for entry in self._running():
                if entry.reachable:
                    entry.lease_until_ms = self.now_ms + 10_000
                self.step(entry, Tick(self.now_ms))
            self._deliver()
            self.check()

    def _end_tasks(self):
        """Resume paused entry instances, and end tasks whose leases have expired."""
        for entry in self.entries.values():
            entry.paused = self.now_ms < entry.paused_until_ms
            if (
                entry.alive
                and not entry.paused
                and allotments.may_renew(entry.state, self.now_ms)
            ):
                entry.renewed_ms = self.now_ms
            if self.now_ms - entry.renewed_ms > START_WINDOW_MS + MAX_TASK_LEASE_MS:
                entry.state.allotments.running.clear()

    def replace_entry(self, entry):
        """Start a new incarnation of an entry instance that is paused or has ended."""
        identity = entry.state.identity
        incarnation = str(int(identity.incarnation) + 1)
        return self.add(identity.entry, identity.data_centre, incarnation)

    def _deliver(self):
        for item in list(self.events):
            due_ms, entry, kind, fields = item
            if due_ms <= self.now_ms and not entry.paused:
                self.events.remove(item)
                if entry.alive:
                    self.step(entry, kind(at_ms=self.now_ms, **fields))

    def newest(self):
        """Return the newest incarnation of each entry instance."""
        found = {e.state.identity.entry: e for e in self.entries.values()}
        return list(found.values())

    def _running(self):
        return [e for e in self.entries.values() if e.alive and not e.paused]

    def work(self, entry, n_waiting, n_running=None):
        """End tasks above `n_running`, start what may start, and set what waits."""
        state = entry.state
        while n_running is not None and running(entry) > n_running:
            allotments.note_finished(state, TEAM)
        room = allotments.headroom(state, TEAM, self.now_ms)
        for _ in range(min(room, n_waiting)):
            allotments.note_started(state, TEAM)
            self.n_started += 1
        left = n_waiting - min(room, n_waiting)
        allotments.set_waiting(state, TEAM, left)
        return left

    def spread_usage(self):
        for entry in self._running():
            waiting = dict(entry.state.allotments.waiting)
            for other in self._running():
                if other is not entry:
                    name = entry.state.identity.entry
                    self.step(
                        other,
                        PeerConnected(
                            self.now_ms,
                            name,
                            entry.state.identity.data_centre,
                            entry.state.identity.incarnation,
                        ),
                    )
                    usage = Usage({}, waiting, {})
                    self.step(other, PeerReceived(self.now_ms, name, usage))

    def list_instances(self, live):
        for entry in self._running():
            self.step(
                entry, InstanceListRead(self.now_ms, frozenset(live), frozenset())
            )

    def put_config(self, entry):
        entry.state.config = replace(self._config())

    def settle_bound(self):
        """Lower the bound once no entry instance can exceed the current limit."""
        if sum(running(entry) for entry in self.entries.values()) <= self.limit and all(
            entry.state.config == self._config() for entry in self.entries.values()
        ):
            over = [allotments.surplus(entry.state) for entry in self.entries.values()]
            self.bound = self.limit if not any(over) else self.bound

    def check(self):
        """Assert that all documents are consistent and the limit is kept."""
        shares = {}
        for key, (value, _) in self.store.items():
            if key.startswith("allot/fleet/"):
                document = ledger_codec.decode_fleet(value)
                assert ledger.shares_within_limits(document)
                shares |= document.teams.get(TEAM, {})
        for key, (value, _) in self.store.items():
            if key.startswith("allot/dc/"):
                document = ledger_codec.decode_ledger(value)
                assert ledger.rows_within_caps(document)
                cap = document.teams.get(TEAM)
                share = shares.get(key.split("/")[2], ledger.EMPTY_ROW)
                assert cap is None or ledger.portion(cap.cap) <= ledger.portion(share)
        assert sum(running(entry) for entry in self.entries.values()) <= self.bound


def running(entry):
    return entry.state.allotments.running.get(TEAM, 0)


def _name(state):
    return allotments.holder_of(state)
