"""In-memory entry instances, store and network for tests of requests and claims."""

from dataclasses import replace
from itertools import count
from random import Random
from types import SimpleNamespace

from apricotgap.core import (
    admission,
    claim_handlers,
    claims,
    config_view,
    fair_queue,
    lifecycle,
    membership,
    placement,
)
from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.reducer import Reducer, registered_handlers
from apricotgap.core.state import EntryState, Identity
from apricotgap.model import (
    Completed,
    Configuration,
    Instance,
    KeyRecord,
    Pool,
    Queue,
    Request,
    Resources,
    Team,
)
from apricotgap.model.peers import ClaimAnswer, TicketAnswer, TicketForward

SMALL, LARGE = Resources(4000, 100, 0), Resources(8000, 50, 1)
CONFIG = Configuration(
    revision=1,
    pools={"ovens": Pool("ovens"), "backoffice": Pool("backoffice", spare=True)},
    instances={
        "a": Instance("a", "h:1", "d1", "r", "ovens", capacity=SMALL),
        "b": Instance("b", "h:2", "d1", "r", "backoffice", capacity=LARGE),
    },
    teams={"orders": Team("orders"), "tally": Team("tally")},
    keys={"k1": KeyRecord("k1", "orders"), "k2": KeyRecord("k2", "tally")},
    queues={
        "plans": Queue("plans", "ovens", teams=("orders",), max_length=2),
        "open": Queue("open", "ovens", open_to_all=True),
    },
)
MODULES = (admission.__name__, claim_handlers.__name__, lifecycle.__name__)
HANDLERS = [cls for cls in registered_handlers() if cls.__module__ in MODULES]


class Entry:
    """Entry instance: a reducer with fake queue, placement, view and membership."""

    def __init__(self, cluster, name="e1", incarnation="i1", data_centre="d1"):
        state = EntryState(Identity(name, incarnation, data_centre), Random(7), CONFIG)
        state.queues = SimpleNamespace(waiting={})
        state.view = SimpleNamespace(case="linked", accepts=True)
        state.members = SimpleNamespace(
            live=cluster.live, replaced=False, deregistered=False
        )
        self.reducer = Reducer(state, HANDLERS)
        self.state, self.cluster, self.name = state, cluster, name
        self.bodies, self.running, self.answers = {}, {}, {}
        cluster.entries[name] = self
        cluster.live[name] = SimpleNamespace(
            incarnation=incarnation, data_centre=data_centre
        )

    def step(self, event_type, *args, **kwargs):
        return self.run(
            self.reducer.step(event_type(self.cluster.now, *args, **kwargs))
        )

    def submit(self, request_id, queue="plans", key_digest="k1", **kwargs):
        request = Request(request_id, queue, key_digest, body_digest="b1")
        return self.step(ev.RequestArrived, replace(request, **kwargs))

    def dispatch(self, request_id):
        request = self.state.queues.waiting.pop(request_id)
        self.running[request_id] = request
        self.cluster.dispatched.append((request_id, request))
        claims.record_dispatched(self.state, request_id)

    def finish(self, request_id):
        request = self.running.pop(request_id)
        body = f"answer to {request.idempotency_key or request.ticket}"
        task_id, outcome = f"task-{request_id}", Completed(200, len(body))
        self.bodies[task_id] = body
        now = self.cluster.now
        self.run(claims.conclude(self.state, request_id, outcome, task_id, now))

    def run(self, effects):
        for effect in (effects := tuple(effects)):
            self._run(effect)
        return effects

    def _run(self, effect):
        match effect:
            case fx.AnswerCaller(request_id, outcome, task_id, source):
                self._move_body(request_id, task_id)
                body = self.bodies.get(source or request_id)
                assert request_id not in self.answers
                self.answers[request_id] = (outcome, body)
            case fx.SendAnswerWithBody(peer, message, request_id, task_id):
                self._move_body(request_id, task_id)
                body = self.bodies[request_id]
                self.send(peer, replace(message, body=body))
            case fx.SendPeer(peer, message) | fx.ForwardRequest(peer, message):
                self.send(peer, message)
            case fx.ReleaseBodies(request_id):
                self.bodies.pop(request_id, None)
            case fx.StoreBody(call_id, key, request_id):
                body = self.bodies[request_id]
                self.cluster.calls.append((self, fx.StoreCas(call_id, key, 0, body)))
            case fx.GrantLease(call_id, ttl_ms):
                self.step(ev.LeaseGranted, call_id, 9, ttl_ms, self.cluster.now)
            case fx.StoreCas() | fx.StoreGet() | fx.FetchBody():
                self.cluster.calls.append((self, effect))

    def send(self, peer, message):
        self.cluster.messages.append((self.name, peer, message))

    def _move_body(self, request_id, task_id):
        if task_id in self.bodies:
            self.bodies[request_id] = self.bodies.pop(task_id)

    def receive(self, peer, message):
        if isinstance(message, TicketForward):
            request_id = f"f{next(self.cluster.ids)}"
            return self.step(ev.ForwardedRequestArrived, peer, message, request_id)
        if isinstance(message, ClaimAnswer | TicketAnswer):
            if message.body:
                self.bodies[message.call_id] = message.body
            message = replace(message, body=b"")
        return self.step(ev.PeerReceived, peer, message)


class FakeCluster:
    """Entry instances with a shared store, network and clock."""

    def __init__(self):
        self.now, self.ids = 0, count(1)
        self.store, self.revision = {}, 0
        self.entries, self.live = {}, {}
        self.calls, self.late_writes, self.messages = [], [], []
        self.dispatched = []

    def connect(self):
        for entry in self.entries.values():
            for name in self.live:
                if name != entry.name:
                    entry.step(ev.PeerConnected, name, "", "")

    def restart(self, name, incarnation):
        self.messages = [m for m in self.messages if name not in m[:2]]
        self.calls = [call for call in self.calls if call[0].name != name]
        for entry in self.entries.values():
            if entry.name != name:
                entry.step(ev.PeerDisconnected, name)
        Entry(self, name, incarnation, self.live[name].data_centre)
        self.connect()

    def write(self, cas):
        _, revision = self.store.get(cas.key, (b"", 0))
        if revision != cas.expected_revision:
            return ev.CasResult.CONFLICT, 0
        self.revision += 1
        self.store[cas.key] = (cas.value, self.revision)
        return ev.CasResult.STORED, self.revision

    def answer_call(self, index=0, mode="ok"):
        """Answer a store call.

        `mode` is ok, failed, lost (the write takes effect, its answer is lost) or
        late (the answer is lost, the write takes effect later).
        """
        entry, call = self.calls.pop(index)
        match call:
            case fx.StoreCas(call_id, key) if mode != "ok":
                if mode == "lost":
                    self.write(call)
                self.late_writes += [call] if mode == "late" else []
                return entry.step(ev.CasFinished, call_id, key, ev.CasResult.UNKNOWN)
            case fx.StoreCas(call_id, key):
                return entry.step(ev.CasFinished, call_id, key, *self.write(call))
            case fx.FetchBody(call_id, key, request_id):
                body, _ = self.store.get(key, (None, 0))
                if mode != "ok" or body is None:
                    return entry.step(ev.BodyFetched, call_id, None)
                entry.bodies[request_id] = body
                return entry.step(ev.BodyFetched, call_id, len(body))
            case fx.StoreGet(call_id, key) if mode == "ok":
                item = ev.KeyValue(key, *self.store.get(key, (b"", 0)))
                return entry.step(ev.StoreReadFinished, call_id, (item,), self.now)
        return entry.step(ev.StoreCallFailed, call.call_id)

    def deliver(self, index=0):
        sender, receiver, message = self.messages.pop(index)
        return self.entries[receiver].receive(sender, message)

    def settle(self):
        """Answer all calls and deliver all messages."""
        while self.calls or self.messages:
            self.answer_call() if self.calls else self.deliver()

    def tick(self, step_ms):
        self.now += step_ms
        for entry in tuple(self.entries.values()):
            entry.step(ev.Tick)


def live_of(state, data_centre, at_ms):
    live = state.members.live
    return {n: m for n, m in live.items() if m.data_centre == data_centre}


def is_relay(state, at_ms):
    own = state.identity
    return min(live_of(state, own.data_centre, at_ms)) == own.entry


def team_of_key(state, digest):
    return state.config.keys[digest].team if digest in state.config.keys else None


def n_waiting(state, queue):
    return sum(r.queue == queue for r in state.queues.waiting.values())


def install_fakes(monkeypatch):
    def patch(module, **functions):
        for name, function in functions.items():
            monkeypatch.setattr(module, name, function, raising=False)

    patch(
        fair_queue,
        enqueue=lambda s, r, team, at_ms: s.queues.waiting.update({r.request_id: r}),
        cancel=lambda s, r_id: s.queues.waiting.pop(r_id, None) is not None,
        n_waiting=n_waiting,
    )
    patch(placement, schedule=lambda state, at_ms: ())
    patch(
        config_view,
        team_of_key=team_of_key,
        view_case=lambda state, at_ms: state.view.case,
        accepts_keyed=lambda state, team, at_ms: state.view.accepts,
    )
    patch(membership, live_entries_of=live_of, is_relay=is_relay)
    patch(membership, live_entries=lambda state, at_ms: state.members.live)
