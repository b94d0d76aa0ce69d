"""Workers in virtual time, and the network between them and their owners."""

import random
from abc import ABC, abstractmethod

from apricotgap.jobs import limits
from apricotgap.jobs.events import RunReport
from apricotgap.jobs.model import RunEnd
from tests.jobs_harness import entry
from tests.sim_worker import SimWorker

STOP_MS = 200
# An entry is written at most this long after the start of a worker.
ENTRY_DELAY_MS = 1_500
# Shares of the calls to workers that arrive late, or whose answer is late or lost.
LATE_SHARE = 0.02
MAX_LATE_MS = 2_500
# Tasks for which a worker has room.
N_PLACES = 8


class WorkerPool(ABC):
    """Workers that keep their contract, and what goes wrong on the way to them.

    A subclass has the time as `now`, and plays the owners. `broken` lists the promises
    that were broken, each with its moment.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    n_workers : int
        Number of workers; each has room for eight tasks.
    """

    # Time between two looks of a worker for an end that a long poll waits for.
    HOLD_STEP_MS = 10

    def __init__(self, seed, n_workers):
        self.rng = random.Random(seed)
        self.workers = {
            f"w{n}": SimWorker(f"w{n}", self.rng.choice((0.0, 0.0, 0.019)))
            for n in range(n_workers)
        }
        self.entries = {worker_id: entry(worker_id) for worker_id in self.workers}
        self.has_late_calls = True
        self.late_share = LATE_SHARE
        self._noted = set()
        self._n_crashes = {}
        # Number of the last end that an owner was told of, by worker and incarnation.
        self._told = {}
        self.broken = []

    @abstractmethod
    def at(self, delay_ms, action, *args):
        """Do something later."""

    @abstractmethod
    def _list_workers(self):
        """Tell owners that `entries` has changed."""

    # Promises

    def _check_runs(self):
        """No task has two runs on workers that are up."""
        seen = {}
        for worker in self.workers.values():
            if not worker.is_up:
                continue
            worker.advance(self.now)
            for name, run in [*worker.running, *worker.stopping]:
                place = (worker.worker_id, run)
                if seen.setdefault(name, place) != place:
                    self.broken.append(f"TWICE {self.now} {name} {seen[name]} {place}")

    # Messages

    def _link_ms(self):
        return self.rng.choice((0, 0, 0, 0, 1, 1, 2, 5))

    def _is_late(self):
        return self.has_late_calls and self.rng.random() < self.late_share

    def _call(self, worker_id, timeout_ms, serve, done):
        """Call a worker; `done` gets its answer, or None after the time-out."""
        is_done = []

        def finish(result):
            if not is_done:
                is_done.append(True)
                done(result)

        def reply(result):
            delay_ms = self._link_ms()
            if self._is_late():
                delay_ms += self.rng.randrange(MAX_LATE_MS)
            self.at(delay_ms, finish, result)

        def arrive():
            worker = self.workers[worker_id]
            # The contract binds no call to an incarnation. A late one that reaches the
            # next one can't be told from a prompt one there, and no owner can bar it.
            is_barred = late_ms and worker.born_ms != born_ms
            if worker.is_up and not is_barred:
                worker.advance(self.now)
                serve(worker, reply)

        born_ms = self.workers[worker_id].born_ms
        late_ms = self.rng.randrange(MAX_LATE_MS) if self._is_late() else 0
        self.at(self._link_ms() + late_ms, arrive)
        self.at(timeout_ms, finish, None)

    # Workers

    def _start_run(self, worker, order):
        """Carry a start out; returns the kind of answer."""
        key = (order.name, order.run_id)
        if order.deadline_ms <= worker.clock(self.now):
            return "late"
        worker.extend(self.now, order.deadline_ms)
        if key in worker.running:
            return "ok"
        if order.run_id <= worker.highest.get(order.name, 0):
            return "old"
        if len(worker.running) + len(worker.stopping) >= self._n_places(worker):
            return "room"
        if order.name in self._noted:
            self.broken.append(f"TWICE {self.now} {key} after its end was noted")
        worker.running[key] = self.now + self._duration_ms(order)
        return "ok"

    def _stop_run(self, worker, key):
        """Begin to stop a run, and bar it if it is not there yet."""
        name, run_id = key
        worker.highest[name] = max(worker.highest.get(name, 0), run_id)
        if worker.running.pop(key, None) is not None:
            worker.stopping[key] = self.now + self.rng.randrange(STOP_MS)

    def _was_sent(self, worker_id):
        """Whether a call without an answer may have reached its worker."""
        return True

    def _n_places(self, worker):
        return N_PLACES

    def _duration_ms(self, order):
        return self.rng.randrange(100, 900)

    def _note(self, worker, last_seen):
        """Drop the ends that the owner says it has seen."""
        for end in worker.ends:
            if end.number <= last_seen and end.end is RunEnd.DONE:
                self._noted.add(end.name)
        worker.ends = [end for end in worker.ends if end.number > last_seen]

    def _answer_hold(self, worker, born_ms, until_ms, reply):
        if not worker.is_up or worker.born_ms != born_ms:
            return
        worker.advance(self.now)
        if not worker.ends and self.now < until_ms:
            self.at(
                min(self.HOLD_STEP_MS, until_ms - self.now),
                self._answer_hold,
                worker,
                born_ms,
                until_ms,
                reply,
            )
            return
        listed = tuple(RunReport(*key, "", 50, 0.0) for key in worker.running)
        clock_ms = worker.clock(self.now)
        ends = tuple(worker.ends[: limits.MAX_LISTED_ENDS])
        reply((born_ms, clock_ms, listed, ends))

    def crash(self, worker_id, down_ms):
        """End a worker; it is back under its id, and listed some time later."""
        worker = self.workers[worker_id]
        if not worker.is_up:
            return
        worker.advance(self.now)
        told = self._told.get((worker_id, worker.born_ms), 0)
        # Nobody can know of a run that ended just before, and not under the crash.
        untold = [end.name for end in worker.ends if end.number > told]
        lost = {name for name, _ in [*worker.running, *worker.stopping]}
        for name in lost.union(untold):
            self._n_crashes[name] = self._n_crashes.get(name, 0) + 1
        worker.is_up = False
        self.at(down_ms, self._come_back, worker)

    def _come_back(self, worker):
        worker.begin_incarnation(self.now, worker.born_ms + 1)
        delay_ms = self.rng.randrange(ENTRY_DELAY_MS)
        self.at(delay_ms, self._register, worker, worker.born_ms)

    def _register(self, worker, born_ms):
        if worker.born_ms == born_ms and worker.is_up:
            self.entries[worker.worker_id] = entry(worker.worker_id, born_ms=born_ms)
            self._list_workers()


__all__ = ["ENTRY_DELAY_MS", "N_PLACES", "STOP_MS", "WorkerPool"]
