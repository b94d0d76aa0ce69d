"""A shard's world with what real days have: take-overs, leaving workers, limits.

It adds to `World` an owner that is replaced and loads what is stored, workers that
leave for good, drain or change their capacity, long-running tasks, gangs, jobs that
cannot be done, and a team limit that is shared with another shard.
"""

from dataclasses import replace

from apricotgap.jobs.configuration import Team
from apricotgap.jobs.documents import decode_progress
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.stragglers import StragglerDetector
from apricotgap.jobs.team_demand import team_demand
from apricotgap.jobs.team_limits import TeamLimits
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, configuration, entry, job
from tests.shard_walker import Walker
from tests.shard_world import World
from tests.sim_worker import SimWorker
from tests.worker_pool import N_PLACES, STOP_MS

TASK_SIZE = Resources(1000, 100)
OTHER_SERVICE = "mill"
TEAM = "bakers"
# A worker that is gone for good leaves the list after this time.
LIST_LEASE_MS = 3_000
LIMIT_CHECK_MS = 250
RESERVE_INTERVAL_MS = 300
SUSTAINED_MS = 10_000_000


class LivingWorld(World):
    """A world whose owner, workers and limits change; a walker checks all through it.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    n_workers : int
        Number of workers at the start.
    """

    def __init__(self, seed, n_workers=5):
        super().__init__(seed, n_workers)
        self.hopeless = set()
        self.specs = {}
        self.stored = {}
        self.roster = {}
        self.places = dict.fromkeys(self.workers, N_PLACES)
        self.leaving = set()
        self.is_owner_up = True
        self.split, self.split_revision = {}, 0
        self.limit_cpu = 0
        self.other_cpu = 0
        self._fences = {}
        self._hung = set()
        self._gang_lengths = {}
        self._n_added = n_workers
        # Last time of anything that may delay work.
        self.troubled_ms = self.now
        self.walker = Walker(self)
        self._configure()
        self.other_limits = TeamLimits(OTHER_SERVICE)
        self.other_limits.set_configuration(self.shard.config)
        self.stragglers = StragglerDetector(self.shard)

    # Jobs

    def submit(self, n_tasks, is_gang=False, is_long_running=False, is_hopeless=False):
        """Submit a job whose first progress is not stored yet."""
        job_id = f"{len(self.specs):016x}"
        if is_long_running:
            steps = (StepSpec(n_tasks, TASK_SIZE, is_long_running=True),)
        else:
            step = StepSpec(n_tasks, TASK_SIZE, 400, is_gang=is_gang)
            steps = (step, replace(step, after=(0,)))
        spec = job(job_id, steps)
        if is_hopeless:
            self.hopeless.add(job_id)
        elif not is_long_running:
            self._submitted.append(job_id)
        for worker in self.workers.values():
            worker.hopeless = self.hopeless
        self._accept(spec)

    def submit_gang(self, n_tasks, priority, max_per_worker=0):
        """Submit a job of two gangs, one after the other."""
        job_id = f"{len(self.specs):016x}"
        step = StepSpec(
            n_tasks, TASK_SIZE, 400, is_gang=True, max_per_worker=max_per_worker
        )
        steps = (step, replace(step, after=(0,)))
        self._submitted.append(job_id)
        self._accept(job(job_id, steps, priority=priority))

    def _accept(self, spec):
        self.specs[spec.job_id] = spec
        if self.is_owner_up:
            self.shard.submit(spec)

    def check_jobs(self):
        """Each job has succeeded, and each long-running task is at work."""
        super().check_jobs()
        running = {
            name
            for worker in self.workers.values()
            if worker.is_up
            for name, _ in worker.running
        }
        for spec in self.specs.values():
            if not spec.is_long_running:
                continue
            state = self.shard.jobs[spec.job_id]
            for name in self.walker.tasks_of(state):
                if name not in running and not state.is_given_up(name):
                    self.broken.append(f"LOST {name} lasts and is not at work")

    def end_lasting(self):
        """End a long-running task, in any way."""
        found = [
            (worker, key)
            for worker in self.workers.values()
            if worker.is_up
            for key in worker.running
            if self.specs[key[0].job_id].is_long_running
        ]
        if found:
            worker, key = self.rng.choice(found)
            ways = (RunEnd.DONE, RunEnd.FAILED, RunEnd.LAPSED, RunEnd.STOPPED)
            worker.end(key, self.rng.choice(ways))

    def _duration_ms(self, order):
        spec = self.specs[order.name.job_id]
        if spec.is_long_running:
            return SUSTAINED_MS
        duration_ms = super()._duration_ms(order)
        if spec.steps[0].is_gang:
            # Its members end together.
            gang = (order.name[:3], order.run_id)
            return self._gang_lengths.setdefault(gang, 900) - min(duration_ms, 100)
        return duration_ms

    def _note(self, worker, last_seen):
        super()._note(worker, last_seen)
        # Long-running tasks start again however they end.
        self._noted = {
            name for name in self._noted if not self.specs[name.job_id].is_long_running
        }

    # The owner

    def take_over(self, gap_ms):
        """Lose the owner; another one loads what is stored `gap_ms` later."""
        if not self.is_owner_up:
            return
        self.is_owner_up = False
        # Calls that arrive from now on get no answer: this shard knows no worker.
        self._replace_shard(self.shard.epoch)
        self.at(gap_ms, self._load)

    def _replace_shard(self, epoch):
        self.shard = Shard(SERVICE, epoch, MAX_LEASE_MS, STOP_MS)
        self.shard.loaded_ms = self.now
        self.scheduler = Scheduler(self.shard, overload=self.overload)
        self.stragglers = StragglerDetector(self.shard)
        self._polled = set()
        self._configure()

    def _load(self):
        self.troubled_ms = self.now
        if not self.is_store_up:
            self.at(200, self._load)
            return
        self._replace_shard(self.shard.epoch + 1)
        self.is_owner_up = True
        for known in self.roster.values():
            self.shard.add_inherited_worker(known, self.now)
            self.shard.workers[known.worker_id].is_recorded = True
        for job_id, spec in self.specs.items():
            data, revision = self.stored.get(job_id, (None, 0))
            progress = decode_progress(job_id, data) if data else None
            self.shard.load(spec, progress, revision)
        self.at(self.rng.randrange(2_000), self._report, self.shard)
        self.start()

    def _report(self, shard):
        shard.reported_ms = self.now

    def _save(self):
        if not self.is_owner_up:
            return
        batch = self.shard.begin_save()
        revisions = {}
        for job_id, data, revision in batch.documents:
            revisions[job_id] = revision + 1
            self.stored[job_id] = (data, revision + 1)
        self.shard.saved(batch, revisions)

    def _tick(self):
        super()._tick()
        if self.is_store_up and self.is_owner_up:
            self.roster = {
                worker_id: worker.entry
                for worker_id, worker in self.shard.workers.items()
            }
            self._move_limits()
        self._execute(self.stragglers.run(self.now))
        self.walker.check()

    def _call(self, worker_id, timeout_ms, serve, done):
        """Call a worker, which rejects the calls of owners that have been replaced."""
        epoch = self.shard.epoch

        def serve_newest(worker, reply):
            if epoch >= self._fences.get(worker_id, 0):
                self._fences[worker_id] = epoch
                serve(worker, reply)

        super()._call(worker_id, timeout_ms, serve_newest, done)

    # The team's limit

    def limit_team(self, cpu):
        """Set the limit of the team, 0 for none."""
        self.limit_cpu = cpu
        self.troubled_ms = self.now
        self._configure()
        self.other_limits.set_configuration(self.shard.config)

    def _configure(self):
        found = configuration()
        team = Team(TEAM, frozenset({"key"}), 1.0, Resources(self.limit_cpu))
        other = replace(found.queues[0], name="other", service=OTHER_SERVICE)
        mill = replace(found.services[0], name=OTHER_SERVICE)
        self.shard.config = replace(
            found,
            queues=(*found.queues, other),
            services=(*found.services, mill),
            teams=(team,),
        )
        self.shard.team_limits.set_configuration(self.shard.config)

    def _move_limits(self):
        demand = team_demand(self.shard, self.now)
        self._move_limit(self.shard.team_limits, demand, self.shard.team_usage)
        wanted = Resources(self.other_cpu)
        used = wanted.elementwise_min(self.other_limits.allowed(TEAM) or wanted)
        self._move_limit(self.other_limits, {TEAM: wanted}, {TEAM: used})

    def _move_limit(self, limits, demand, usage):
        for change in limits.changes(demand, self.now, usage):
            if change.revision != self.split_revision:
                limits.record_split(TEAM, self.split, self.split_revision)
                continue
            self.split, self.split_revision = change.split, self.split_revision + 1
            limits.record_written(change, self.split_revision)
        if limits.unmet(demand) and self.split_revision:
            limits.record_split(TEAM, self.split, self.split_revision)

    # Workers

    def _n_places(self, worker):
        return self.places[worker.worker_id]

    def _was_sent(self, worker_id):
        return worker_id not in self.leaving or worker_id in self._hung

    def hang(self, worker_id):
        """Let a worker hang for good: it takes calls and gives no answer."""
        self._hung.add(worker_id)
        self.lose(worker_id)
        # Its last calls may have renewed its lease.
        self.at(MAX_LEASE_MS, self._list_workers)

    def lose(self, worker_id):
        """Lose a worker for good."""
        worker = self.workers[worker_id]
        self.crash(worker_id, SUSTAINED_MS)
        worker.is_up = False
        self.leaving.add(worker_id)
        self.at(LIST_LEASE_MS, self._unlist, worker_id)

    def _unlist(self, worker_id):
        self.entries.pop(worker_id, None)
        self._list_workers()

    def drain(self, worker_id, span_ms):
        """Let a worker announce that it leaves, and leave after `span_ms`."""
        if worker_id in self.leaving or worker_id not in self.entries:
            return
        self.leaving.add(worker_id)
        self.entries[worker_id] = replace(self.entries[worker_id], is_draining=True)
        self._list_workers()
        self.at(span_ms, self.lose, worker_id)

    def resize(self, worker_id, n_places):
        """Change the capacity of a worker."""
        if worker_id not in self.entries:
            return
        self.places[worker_id] = n_places
        free = Resources(1000 * n_places, 8_000)
        self.entries[worker_id] = replace(self.entries[worker_id], free=free)
        self._list_workers()

    def reserve(self, worker_id, until_ms):
        """Let the owner of the fleet reserve a worker until then."""
        self.troubled_ms = self.now
        self.shard.reserve([worker_id], self.now)
        if self.now < until_ms:
            self.at(RESERVE_INTERVAL_MS, self.reserve, worker_id, until_ms)

    def add_worker(self):
        """Add an empty worker."""
        worker_id = f"w{self._n_added}"
        self._n_added += 1
        self.workers[worker_id] = SimWorker(
            worker_id, 0.0, began_ms=self.now, hopeless=self.hopeless
        )
        self.places[worker_id] = N_PLACES
        self.entries[worker_id] = entry(worker_id)
        self._list_workers()

    def _register(self, worker, born_ms):
        if worker.worker_id not in self.leaving:
            super()._register(worker, born_ms)
            if worker.worker_id in self.entries:
                self.resize(worker.worker_id, self.places[worker.worker_id])

    def _list_workers(self):
        self.troubled_ms = self.now
        if self.is_owner_up:
            super()._list_workers()

    def _come_back(self, worker):
        if worker.worker_id not in self.leaving:
            super()._come_back(worker)

    def _store_is_back(self):
        self.troubled_ms = self.now
        super()._store_is_back()


__all__ = ["LivingWorld"]
