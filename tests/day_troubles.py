"""Kinds of trouble of a day with owners, found by their names."""

from abc import ABC, abstractmethod

from tests.jobs_harness import SERVICE
from tests.owner_world import OTHER_SERVICE
from tests.power_losses import (
    MAX_SPAN_MS,
    MIN_SPAN_MS,
    busiest,
    lose_power,
    move_machine,
)
from tests.virtual_store import OUTAGE_MODES

DAY_MS = 16_000
# Outages last from 0.5 to 12 s; a lease is renewed every 0.8 s.
OUTAGE_SPANS_MS = range(500, 12_001, 250)
LEASE_PHASES_MS = range(0, 800, 50)
# Calls of an owner from its claim on: loading, first polls, first orders, the roster,
# the mark of its tenure.
N_TAKEOVER_STEPS = 120


class Trouble(ABC):
    """A kind of trouble, registered under its `name`.

    `plan` plans what happens from now until DAY_MS later, with the draws of the world's
    `rng` only, and leaves a world behind that can do all accepted work: enough workers
    and instances, a route to the service, and a store that is up.
    """

    name = ""
    registry = {}

    def __init_subclass__(cls):
        Trouble.registry[cls.name] = cls()

    @abstractmethod
    def plan(self, world):
        """Plan the trouble of a day."""


def _moment(world):
    return world.rng.randrange(DAY_MS)


def _any_worker(world):
    return world.rng.choice(list(world.entries))


class StoreOutages(Trouble):
    """The store is down for each length, at each phase of the owner's lease."""

    name = "outages"
    N_OUTAGES = 2

    def plan(self, world):
        at_ms = 0
        for _ in range(self.N_OUTAGES):
            at_ms += world.rng.randrange(500, DAY_MS // self.N_OUTAGES)
            span_ms = world.rng.choice(OUTAGE_SPANS_MS)
            phase_ms = world.rng.choice(LEASE_PHASES_MS)
            world.at(at_ms, outage_at_phase, world, span_ms, phase_ms)


def outage_at_phase(world, span_ms, phase_ms):
    """Begin an outage a time after the next renewal of the owner's lease."""
    process = world.owner()
    left_ms = 0 if process is None else process.instance.lease_left_ms()

    def begin():
        rng = world.rng
        is_long_enough = span_ms > 1_500
        world.outage(
            span_ms,
            rng.choice(OUTAGE_MODES),
            pauses_leases=rng.random() < 0.5,
            drops=is_long_enough and rng.random() < 0.3,
        )

    def wait(known_ms):
        now_ms = 0 if process is None else process.instance.lease_left_ms()
        if process is None or not process.is_up or now_ms > known_ms:
            world.at(phase_ms, begin)
            return
        world.at(10, wait, now_ms)

    wait(left_ms)


class StoreLosses(Trouble):
    """Answers of the store are lost, and writes take effect late."""

    name = "lost_answers"

    def plan(self, world):
        at_ms = _moment(world)
        world.at(at_ms, setattr, world.store, "lost_share", 0.3)
        world.at(at_ms + 3_000, _end_losses, world)


def _end_losses(world):
    world.troubled()
    world.store.lost_share = 0.0


class LateAnswers(Trouble):
    """Answers of workers are late or lost while workers restart."""

    name = "late_answers"
    N_RESTARTS = 4

    def plan(self, world):
        world.late_share = 0.15
        for _ in range(self.N_RESTARTS):
            down_ms = world.rng.choice((0, 1, 20, 300, 1_500))
            world.at(_moment(world), _restart_worker, world, down_ms)


def _restart_worker(world, down_ms):
    worker_id = _any_worker(world)
    if world.rng.random() < 0.5:
        world.refusing.add(worker_id)
    world.crash(worker_id, down_ms)


class RouteChanges(Trouble):
    """The route to the service goes and comes back, its jobs last or are cancelled."""

    name = "routes"
    N_CHANGES = 2
    ROUTES = {"plans": SERVICE, "flour": OTHER_SERVICE}

    def plan(self, world):
        at_ms = 0
        for _ in range(self.N_CHANGES):
            at_ms += world.rng.randrange(500, 4_000)
            world.at(at_ms, world.configure, {"flour": OTHER_SERVICE})
            if world.rng.random() < 0.5:
                world.at(at_ms, self.cancel_lasting, world)
            at_ms += world.rng.choice((300, 2_000, 10_500, 12_000, 14_000))
            world.at(at_ms, world.configure, self.ROUTES)
            world.at(at_ms + 300, world.submit, 2, True)
            world.at(at_ms + world.rng.randrange(300, 3_000), world.submit, 2)

    @staticmethod
    def cancel_lasting(world):
        """Cancel all jobs that last."""
        for spec in list(world.observer.jobs.values()):
            if spec.is_long_running:
                world.cancel(spec.job_id)


class Replacements(Trouble):
    """Instances get SIGTERM or are killed, and start again; shards are handed over."""

    name = "replacements"
    N_REPLACEMENTS = 3

    def plan(self, world):
        for _ in range(self.N_REPLACEMENTS):
            world.at(_moment(world), replace_owner, world)


def replace_owner(world):
    """Kill the owner or send it SIGTERM, and start its instance again."""
    process = world.owner()
    if process is not None:
        _replace(world, process, world.rng.random() < 0.5)


def _replace(world, process, is_kill):
    (process.kill if is_kill else process.terminate)()
    _start_again(world, process, world.rng.choice((0, 300, 1_000, 3_000)))


def _start_again(world, process, delay_ms):
    """Start a process as soon as its predecessor is gone."""

    def start():
        if process.is_up:
            world.at(100, start)
            return
        process.start()

    world.at(delay_ms + 100, start)


class Handovers(Trouble):
    """All instances but one are replaced; that one hands shards over for balance."""

    name = "handovers"
    N_ROUNDS = 2

    def plan(self, world):
        for _ in range(self.N_ROUNDS):
            world.at(_moment(world), self._leave_one, world)

    @staticmethod
    def _leave_one(world):
        processes = [each for each in world.instances if each.is_up]
        for process in world.rng.sample(processes, max(0, len(processes) - 1)):
            process.terminate()
            _start_again(world, process, 3_000)


class TakeoverStops(Trouble):
    """A new owner gets SIGTERM, or is killed, at a step of its takeover."""

    name = "takeover_stops"
    N_STOPS = 2

    def plan(self, world):
        stop_owner_at_step(world, world.rng.randrange(N_TAKEOVER_STEPS), self.N_STOPS)
        world.at(world.rng.randrange(2_000), replace_owner, world)


def stop_owner_at_step(world, step, n_stops, is_kill=None):
    """Stop the next owners as they are about to make a call.

    Parameters
    ----------
    world : OwnerWorld
        World.
    step : int
        Number of the call since the claim.
    n_stops : int
        Number of owners to stop.
    is_kill : bool, optional
        Whether they are killed, drawn for each by default.
    """
    stopped = []

    def check(process, n_steps, _target):
        if n_steps != step or len(stopped) >= n_stops:
            return
        stopped.append(process)
        kills = world.rng.random() < 0.5 if is_kill is None else is_kill
        _replace(world, process, kills)

    world.on_step = check


class OwnerAfterWorker(Trouble):
    """The owner is killed within 3 s of the crash or the loss of a worker."""

    name = "owner_after_worker"
    MAX_GAP_MS = 3_000

    def plan(self, world):
        gap_ms = world.rng.randrange(0, self.MAX_GAP_MS, 50)
        self.plan_at(world, _moment(world), gap_ms)

    def plan_at(self, world, at_ms, gap_ms):
        """Lose a worker at a time, and the owner `gap_ms` later."""
        world.at(at_ms, self._lose_worker, world)
        world.at(at_ms + gap_ms, self._kill_owner, world)

    @staticmethod
    def _lose_worker(world):
        worker_id = _any_worker(world)
        if world.rng.random() < 0.5:
            _restart_worker(world, world.rng.choice((0, 300, 1_500)))
            return
        if world.rng.random() < 0.5:
            world.refusing.add(worker_id)
        world.end_worker(worker_id)
        world.at(3_000, world.unlist, worker_id)
        world.at(1_500, world.add_worker)

    @staticmethod
    def _kill_owner(world):
        process = world.owner()
        if process is not None:
            _replace(world, process, True)


class PowerLosses(Trouble):
    """All instances and workers lose power, at times just after a machine was moved."""

    name = "power_losses"
    MAX_GAP_MS = 1_500
    REPLACED_MS = 1_500

    def plan(self, world):
        at_ms = _moment(world)
        if world.rng.random() < 0.5:
            world.at(at_ms, self._move, world)
        gap_ms = world.rng.randrange(self.MAX_GAP_MS)
        world.at(at_ms + gap_ms, self._lose, world, world.rng.randint(0, 1))

    def _move(self, world):
        for worker_id in busiest(world, 1):
            move_machine(world, worker_id, world.rng.choice((OTHER_SERVICE, "spare")))
            world.at(self.REPLACED_MS, world.add_worker)

    def _lose(self, world, n_lost):
        lose_power(world, world.rng.randrange(MIN_SPAN_MS, MAX_SPAN_MS), n_lost)
        for _ in range(n_lost):
            world.at(MAX_SPAN_MS + self.REPLACED_MS, world.add_worker)


class MovedMachines(Trouble):
    """A worker's entry goes while its runs go on; another id is at its address then."""

    name = "moves"
    N_MOVES = 2
    # An address is used again no sooner than this.
    ADDRESS_REUSE_MS = 2_000

    def plan(self, world):
        for _ in range(self.N_MOVES):
            world.at(_moment(world), self._move, world)

    def _move(self, world):
        worker_id = _any_worker(world)
        address = world.entries[worker_id].address
        world.troubled()
        world.unlist(worker_id)
        if world.rng.random() < 0.5:
            # It is cut off, and its runs go on until its lease ends.
            world.unreachable.add(worker_id)
            world.at(1_500, world.add_worker)
            return
        left_ms = world.rng.choice((0, 300, 1_000))
        world.at(left_ms, world.end_worker, worker_id)
        world.at(left_ms + self.ADDRESS_REUSE_MS, world.add_worker, address)


class Cancellations(Trouble):
    """Jobs are cancelled, long-running ones too."""

    name = "cancellations"
    N_CANCELLATIONS = 8

    def plan(self, world):
        for _ in range(self.N_CANCELLATIONS):
            world.at(_moment(world), self._cancel, world)

    @staticmethod
    def _cancel(world):
        jobs = list(world.observer.jobs)
        if jobs:
            world.cancel(world.rng.choice(jobs[-6:]))


__all__ = [
    "DAY_MS",
    "LEASE_PHASES_MS",
    "N_TAKEOVER_STEPS",
    "OUTAGE_SPANS_MS",
    "OwnerAfterWorker",
    "Trouble",
    "outage_at_phase",
    "replace_owner",
    "stop_owner_at_step",
]
