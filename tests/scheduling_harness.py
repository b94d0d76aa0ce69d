"""Reducer with the scheduling handlers and fakes of the other modules."""

from random import Random

from apricotgap.core import (
    allotments,
    claims,
    fair_queue,
    membership,
    placement,
    quarantine,
)
from apricotgap.core import task_events as tasks
from apricotgap.core import worker_events as workers
from apricotgap.core.effects import Dispatch
from apricotgap.core.events import Tick, WorkerReported
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.model import (
    Configuration,
    DataCentre,
    Instance,
    Pool,
    Priority,
    Queue,
    Request,
    Team,
)

# The own lease does not end unless a test says so.
FAR_MS = 10_000_000
HANDLERS = [getattr(m, n) for m in (tasks, workers) for n in m.__all__ if "Handle" in n]


def configuration(n_workers=1, shares=(("a", 1), ("b", 1)), slots=1, reserve=0):
    """Configure pools p (queue q) and s (spare, queue sq) in data centres d1, d2."""
    instances = [Instance(f"w{i}", f"w{i}:1", "d1", "r", "p") for i in range(n_workers)]
    instances.append(Instance("x0", "x0:1", "d2", "r", "p"))
    instances.append(Instance("s0", "s0:1", "d1", "r", "s"))
    sized = {
        i.name: Instance(i.name, i.address, i.data_centre, i.rack, i.pool, slots)
        for i in instances
    }
    return Configuration(
        data_centres={name: DataCentre(name) for name in ("d1", "d2")},
        instances=sized,
        pools={"p": Pool("p", False, reserve), "s": Pool("s", True, 0)},
        teams={name: Team(name, share, 1_000) for name, share in shares},
        queues={"q": Queue("q", "p", max_length=5_000), "sq": Queue("sq", "s")},
    )


class Fleet:
    """Drives the reducer.

    The fakes read the allotment limits of teams from `limits` and record the outcomes
    of requests in `outcomes`.
    """

    def __init__(self, monkeypatch, config=None):
        self.limits, self.running, self.outcomes, self.crashed_digests = {}, {}, {}, []
        self.at_ms, self.effects = 1_000, []
        self.state = EntryState(Identity("e1", "e1.1", "d1"), Random(1))
        self.state.config = config or configuration()
        self.state.members.lease_until_ms = FAR_MS
        self.reducer = Reducer(self.state, HANDLERS)
        monkeypatch.setattr(
            quarantine,
            "record_worker_crash",
            lambda _, digest: self.crashed_digests.append(digest),
        )
        for module, name, fake in (
            (allotments, "headroom", self._headroom),
            (allotments, "note_started", lambda _, team: self._add_running(team, 1)),
            (allotments, "note_finished", lambda _, team: self._add_running(team, -1)),
            (allotments, "set_waiting", lambda *_: None),
            (claims, "conclude", self._conclude),
            (membership, "live_entries_of", lambda *_: {}),
        ):
            monkeypatch.setattr(module, name, fake, raising=False)

    def _headroom(self, _, team, at_ms, priority=None):
        return self.limits.get(team, 10**6) - self.running.get(team, 0)

    def _add_running(self, team, step):
        self.running[team] = self.running.get(team, 0) + step

    def _conclude(self, _, request_id, outcome, task_id, at_ms):
        assert request_id not in self.outcomes, "a request ended twice"
        self.outcomes[request_id] = outcome
        return ()

    def step(self, event_type, *args, after_ms=0, **kwargs):
        """Apply an event and return its effects."""
        self.at_ms += after_ms
        self.effects = list(self.reducer.step(event_type(self.at_ms, *args, **kwargs)))
        return self.effects

    def tick(self, after_ms=100):
        return self.step(Tick, after_ms=after_ms)

    def report(self, *names, n_running=0, boot_id="b1", server_now_ms=None, **kwargs):
        """Send status reports of workers with the configured number of slots."""
        effects = []
        for name in names:
            slots = self.state.config.instances[name].slots
            now_ms = self.at_ms + 500_000 if server_now_ms is None else server_now_ms
            effects += self.step(
                WorkerReported,
                name,
                now_ms,
                slots,
                n_running,
                boot_id=boot_id,
                **kwargs,
            )
        return effects

    def submit(self, request_id, team="a", priority=Priority.BATCH, **kwargs):
        """Queue a request and dispatch what may start."""
        queue = kwargs.pop("queue", "q")
        request = Request(request_id, queue, priority=priority, **kwargs)
        list(fair_queue.enqueue(self.state, request, team, self.at_ms))
        return list(placement.schedule(self.state, self.at_ms))


def of_type(effects, effect_type):
    return [effect for effect in effects if isinstance(effect, effect_type)]


def dispatched(effects):
    """Return the only dispatch among effects."""
    (found,) = of_type(effects, Dispatch)
    return found
