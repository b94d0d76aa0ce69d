"""Entry instances on the real reducer, with fakes at every interface."""

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.limits import TICK_MS
from apricotgap.core.state import Identity
from apricotgap.model import Request
from proof.fake_entry import FakeEntry
from proof.fake_worker import FakeWorker
from proof.peer_links import PeerLinks
from proof.schedule import Schedule
from proof.worker_links import WorkerLinks

__all__ = ["FakeEntry", "Harness", "Schedule"]

_TICK_PHASE_MS = 37


class Harness(PeerLinks, WorkerLinks):
    """Entry instances, workers, callers and the store in virtual time.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    link_ms : float
        One-way time between any two processes.
    """

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
        fx.ConnectPeers: PeerLinks._connect_peers,
        fx.SendPeer: PeerLinks._send_peer,
        fx.Dispatch: WorkerLinks._dispatch,
        fx.ProbeWorker: WorkerLinks._probe_worker,
        fx.ProbeTask: WorkerLinks._probe_task,
        fx.RenewTask: WorkerLinks._control,
        fx.CheckpointTask: WorkerLinks._control,
        fx.ThrottleTask: WorkerLinks._control,
        fx.StopTask: WorkerLinks._control,
        fx.DropConnections: WorkerLinks._drop_connections,
        fx.ForwardRequest: PeerLinks._forward,
        fx.SendAnswerWithBody: PeerLinks._send_answer,
        fx.StoreBody: PeerLinks._store_body,
        fx.FetchBody: PeerLinks._fetch_body,
        fx.ReleaseBodies: PeerLinks._release,
        fx.ReadInstanceList: WorkerLinks._read_list,
        fx.RebootInstance: WorkerLinks._reboot,
        fx.StoreGet: PeerLinks._store,
        fx.StoreList: PeerLinks._store,
        fx.StoreCas: PeerLinks._store,
        fx.StoreDelete: PeerLinks._store,
        fx.GrantLease: PeerLinks._store,
        fx.RenewLease: PeerLinks._store,
        fx.RevokeLease: PeerLinks._store,
        fx.OpenWatch: PeerLinks._store,
    }
