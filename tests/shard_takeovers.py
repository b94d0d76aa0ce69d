"""A shard in virtual time whose owner is lost and replaced."""

from apricotgap.jobs import limits
from apricotgap.jobs.documents import Progress, decode_progress, encode_progress
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.shard import Shard
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, configuration, job
from tests.shard_world import OWNER_LEASE_MS, World
from tests.worker_pool import STOP_MS

# A successor is elected at most this long after the lease of the owner has ended.
MAX_ELECTION_MS = 1_500


class TakeoverWorld(World):
    """A world whose owner can be lost; its calls may still arrive.

    The successor knows what is stored: jobs, their progress and the roster.
    """

    def __init__(self, seed, n_workers=4):
        super().__init__(seed, n_workers)
        self.epoch = 1
        self.is_owned = True
        self.specs = {}
        self.stored = {}
        self.roster = {}
        # Highest fencing token that an incarnation has seen.
        self._tokens = {}
        self._record_saves()

    def _record_saves(self):
        begin_save = self.shard.begin_save

        def begin_and_store():
            batch = begin_save()
            self.stored.update({job_id: data for job_id, data, _ in batch.documents})
            return batch

        self.shard.begin_save = begin_and_store

    def submit(self, n_tasks):
        """Submit a job; without an owner it is written to the store directly."""
        job_id = f"{len(self._submitted):016x}"
        size = Resources(1000, 100)
        steps = (StepSpec(n_tasks, size, 400), StepSpec(n_tasks, size, 400, (0,)))
        self._submitted.append(job_id)
        self.specs[job_id] = job(job_id, steps=steps)
        if not self.is_owned:
            return
        self.stored[job_id] = encode_progress(Progress())
        self.shard.submit(self.specs[job_id], revision=1)

    def lose_owner(self):
        """End the owner; another takes over once its lease has ended."""
        if not self.is_owned:
            return
        self.is_owned = False
        until_ms = max(0, self.owner_until_ms - self.now)
        self.at(until_ms + self.rng.randrange(MAX_ELECTION_MS), self._take_over)

    def _take_over(self):
        if not self.is_store_up:
            self.at(100, self._take_over)
            return
        self.epoch += 1
        self.is_owned = True
        self.shard = Shard(
            SERVICE,
            self.epoch,
            MAX_LEASE_MS,
            STOP_MS,
            inherited_lease_ms=limits.WORKER_LEASE_TAIL_MS,
        )
        self._record_saves()
        self.shard.config = configuration()
        self.shard.reported_ms = self.shard.loaded_ms = self.now
        self.owner_until_ms = self.now + OWNER_LEASE_MS
        for each, is_settled in self.roster.values():
            self.shard.add_inherited_worker(each, self.now, is_settled)
            self.shard.workers[each.worker_id].is_recorded = True
        for job_id, spec in self.specs.items():
            data = self.stored.get(job_id)
            progress = decode_progress(job_id, data) if data is not None else None
            self.shard.load(spec, progress, int(data is not None))
        self.scheduler = Scheduler(self.shard, overload=self.overload)
        self._polled = set()
        self.start()

    def _call(self, worker_id, timeout_ms, serve, done):
        epoch = self.epoch

        def serve_unless_fenced(worker, reply):
            incarnation = (worker_id, worker.born_ms)
            if epoch >= self._tokens.get(incarnation, 0):
                self._tokens[incarnation] = epoch
                serve(worker, reply)

        def finish(answer):
            if self.is_owned and self.epoch == epoch:
                done(answer)

        super()._call(worker_id, timeout_ms, serve_unless_fenced, finish)

    # Each loop of an owner ends with it; its successor begins its own.

    def at(self, delay_ms, action, *args):
        """Do something later, and steps of the owner's loops only for their owner."""
        if action in (self._renew, self._tick, self._poll):
            super().at(delay_ms, self._step, self.epoch, action, *args)
            return
        super().at(delay_ms, action, *args)

    def _step(self, epoch, action, *args):
        if self.is_owned and self.epoch == epoch:
            action(*args)

    def _tick(self):
        super()._tick()
        if self.is_store_up:
            self.roster = {
                worker.worker_id: (worker.entry, worker.is_settled(self.now))
                for worker in self.shard.workers.values()
                if worker.is_recorded
            }

    def _list_workers(self):
        if self.is_owned:
            super()._list_workers()

    def _execute(self, effects):
        if self.is_owned:
            super()._execute(effects)
