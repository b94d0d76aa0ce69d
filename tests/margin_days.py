"""Days that are worse than planned in one way, and how near they come to each bound.

All is as planned but for one burden, which a factor multiplies. Long-running tasks are
at work and jobs are accepted as all power is lost, and with its return the burden is
there; then nothing else goes wrong.
"""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

import trio

from apricotgap.instance.keys import job_key, progress_key
from apricotgap.jobs.documents import Progress, encode_job, encode_progress
from apricotgap.platform.keys import WORKERS_PREFIX
from tests.day_observer import MAX_AWAY_MS
from tests.jobs_harness import SERVICE, entry, job
from tests.owner_world import OTHER_SERVICE, UNIX_ZERO_MS, encode_entry, play_day
from tests.power_losses import lose_power

# A pool of the target has 2,100 / 292 = 7 workers; some of these are between two ids.
N_WORKERS = 10
N_LASTING = 4
N_JOBS = 10
SPAN_MS = 1_000
CALM_S = 20
SAMPLE_MS = 50
A_DAY_MS = 86_400_000


@dataclass(frozen=True)
class Conditions:
    """What the machines and the store bear; the defaults are the target size.

    Parameters
    ----------
    n_instances : int
        Instances that start at the same moment.
    n_services : int
        Services beside the one of the day, each with a queue and a shard.
    n_workers : int
        Listed workers of pools that are not played.
    configuration_bytes : int
        Size of the configuration: that of one document in docs/CAPACITY.md.
    n_stored_jobs : int
        Accepted jobs of the shard that are not due yet: the open jobs of the table of
        decisions under overload in docs/CAPACITY.md.
    calls_per_s : float or None
        Limit of the store on reads, and on writes, of all instances together: the
        writes that docs/CAPACITY.md takes as the end.
    call_ms : float
        Processor time of a call: the upper end of that for a call to a worker in
        docs/CAPACITY.md.
    link_bytes_per_s : float
        Rate of an instance's link towards the store; assumed, no target states it.
    answer_ms : float
        Time of each answer of the store; assumed, no target states it.
    """

    n_instances: int = 55
    n_services: int = 0
    n_workers: int = 2_100
    configuration_bytes: int = 585_660
    n_stored_jobs: int = 300
    calls_per_s: float | None = 500
    call_ms: float = 0.32
    link_bytes_per_s: float = 1_000_000
    answer_ms: float = 20


PLANNED = Conditions()


class Burden(ABC):
    """One way in which a day is worse than planned, registered under its `name`."""

    name = ""
    # Instances play no part in a burden on each of their own: three take its time.
    planned = replace(PLANNED, n_instances=3, calls_per_s=None)
    registry = {}

    def __init_subclass__(cls):
        Burden.registry[cls.name] = cls()

    @abstractmethod
    def worsen(self, planned, factor):
        """Return the conditions with this burden multiplied."""


class SlowLinks(Burden):
    """Links towards the store carry less."""

    name = "link"

    def worsen(self, planned, factor):
        return replace(planned, link_bytes_per_s=planned.link_bytes_per_s / factor)


class SlowStore(Burden):
    """Each answer of the store takes longer."""

    name = "store_answer"

    def worsen(self, planned, factor):
        return replace(planned, answer_ms=planned.answer_ms * factor)


class StrictStore(Burden):
    """The store admits fewer calls."""

    name = "store_limit"
    planned = PLANNED

    def worsen(self, planned, factor):
        return replace(planned, calls_per_s=planned.calls_per_s / factor)


class LargeConfiguration(Burden):
    """The operator stores more."""

    name = "configuration"

    def worsen(self, planned, factor):
        n_bytes = planned.configuration_bytes * factor
        return replace(planned, configuration_bytes=n_bytes)


class ManyJobs(Burden):
    """The shard has more jobs in the store."""

    name = "stored_jobs"

    def worsen(self, planned, factor):
        return replace(planned, n_stored_jobs=planned.n_stored_jobs * factor)


class ManyWorkers(Burden):
    """More workers are listed."""

    name = "workers"

    def worsen(self, planned, factor):
        return replace(planned, n_workers=planned.n_workers * factor)


class ManyInstances(Burden):
    """More instances start at the same moment."""

    name = "instances"
    planned = PLANNED

    def worsen(self, planned, factor):
        return replace(planned, n_instances=planned.n_instances * factor)


class ManyShards(Burden):
    """More shards are claimed and loaded by each instance at the same moment."""

    name = "shards"
    # 292 pools on 55 instances are 16 on three; two are there on all days.
    planned = replace(Burden.planned, n_services=14)

    def worsen(self, planned, factor):
        return replace(planned, n_services=planned.n_services * factor)


class SlowProcessors(Burden):
    """Processes get a smaller share of a processor."""

    name = "processor"

    def worsen(self, planned, factor):
        return replace(planned, call_ms=planned.call_ms * factor)


@dataclass(frozen=True)
class Measured:
    """What a day has shown; times in milliseconds, infinite for what did not come.

    Those from `configured_ms` to `at_work_ms` are counted from the return of power, and
    the first and the last of them are those of the slowest instance and task.
    """

    configured_ms: float
    claimed_ms: float
    loaded_ms: float
    started_ms: float
    at_work_ms: float
    longest_absence_ms: int
    longest_prefix_ms: float
    longest_load_ms: float
    least_lease_left_ms: int
    n_losses: int
    n_refused_calls: int
    broken: tuple[str, ...]


class Promise(ABC):
    """What must hold on each of the days, registered under its `name`."""

    name = ""
    bound = ""
    registry = {}

    def __init_subclass__(cls):
        Promise.registry[cls.name] = cls()

    @abstractmethod
    def value(self, measured):
        """Return the figure that has a bound."""

    @abstractmethod
    def margin(self, measured):
        """Return how many times the figure fits into its bound; broken below 1."""

    def describe(self, measured):
        """Return what broke."""
        return f"{self.value(measured)} (bound: {self.bound})"


class AtWork(Promise):
    """LOST: a long-running task is away for 6 s and then 3 s of calm at most."""

    name = "at_work"
    bound = f"{MAX_AWAY_MS} ms away"

    def value(self, measured):
        return measured.longest_absence_ms

    def margin(self, measured):
        if any(line.startswith("AWAY") for line in measured.broken):
            return 0
        return max(1, MAX_AWAY_MS / max(1, measured.longest_absence_ms))


class Kept(Promise):
    """Every other rule that the observer checks holds, LOST and TWICE among them."""

    name = "kept"
    bound = "0 broken"

    def value(self, measured):
        return len(self._broken(measured))

    def describe(self, measured):
        broken = self._broken(measured)
        return f"{len(broken)}, the first: {broken[0]}"

    @staticmethod
    def _broken(measured):
        return [line for line in measured.broken if not line.startswith("AWAY")]

    def margin(self, measured):
        return 0 if self.value(measured) else math.inf


class LeaseHeld(Promise):
    """No instance loses its lease, or a shard, while the store is up."""

    name = "lease"
    bound = "0 lost, over 0 ms left"

    def value(self, measured):
        return measured.least_lease_left_ms

    def describe(self, measured):
        return f"{measured.n_losses} lost, least left {self.value(measured)} ms"

    def margin(self, measured):
        if measured.n_losses or measured.least_lease_left_ms <= 0:
            return 0
        return math.inf


class Sampler:
    """Looks at a world at short intervals from the return of power on.

    Parameters
    ----------
    world : OwnerWorld
        World.
    """

    def __init__(self, world):
        self._world = world
        self.returned_ms = world.now
        self.at_work_ms = math.inf
        self.least_lease_left_ms = math.inf

    async def run(self):
        """Sample until cancelled."""
        while True:
            self._look_at_leases()
            self._look_at_runs()
            await trio.sleep(SAMPLE_MS / 1000)

    def _look_at_leases(self):
        for process in self._world.instances:
            if process.is_up and process.instance.has_lease:
                left_ms = process.instance.lease_left_ms()
                self.least_lease_left_ms = min(self.least_lease_left_ms, left_ms)

    def _look_at_runs(self):
        world = self._world
        lasting = {each for each, spec in world.observer.jobs.items() if _lasts(spec)}
        n_running = sum(
            name.job_id in lasting
            for worker in world.workers.values()
            if worker.is_up
            for name, _ in worker.running
        )
        if n_running < N_LASTING * len(lasting):
            self.at_work_ms = math.inf
        elif self.at_work_ms == math.inf:
            self.at_work_ms = world.now - self.returned_ms


def _lasts(spec):
    return spec.is_long_running


def _apply(conditions, world):
    for process in world.instances:
        process.link.bytes_per_s = conditions.link_bytes_per_s
        process.processor.call_ms = conditions.call_ms
    world.store.answer_ms = conditions.answer_ms
    world.store.reads.per_s = world.store.writes.per_s = conditions.calls_per_s
    for number in range(conditions.n_workers):
        listed = entry(f"w{number + 10_000}", service="elsewhere")
        key = WORKERS_PREFIX + f"other{number}"
        world.foreign_entries[key] = listed
        world.store.put(key, encode_entry(listed))
    world.configuration_padding = "x" * conditions.configuration_bytes
    others = {f"q{n}": f"s{n}" for n in range(conditions.n_services)}
    world.configure({"plans": SERVICE, "flour": OTHER_SERVICE, **others})
    _store_jobs(world, conditions.n_stored_jobs)


def _store_jobs(world, n_jobs):
    """Store accepted jobs that are due after the day."""
    due_ms = UNIX_ZERO_MS + A_DAY_MS
    progress = encode_progress(Progress())
    for number in range(n_jobs):
        spec = job(f"{number + 2**32:016x}", n_occurrences=1, start_ms=due_ms)
        world.store.put(job_key(SERVICE, spec.job_id), encode_job(spec))
        world.store.put(progress_key(SERVICE, spec.job_id), progress)


def measure(conditions, seed=1):
    """Play a day; return what it has shown."""
    samplers = []

    async def day(world):
        world.has_late_calls = False
        for _ in range(2):
            world.submit(N_LASTING, is_long_running=True)
        await trio.sleep(10)
        for _ in range(N_JOBS):
            world.submit(2)
        await trio.sleep(0.5)
        lose_power(world, SPAN_MS)
        # From here on, so that each day has the same work to lose.
        _apply(conditions, world)
        await trio.sleep(SPAN_MS / 1000)
        samplers.append(Sampler(world))
        with trio.move_on_after(CALM_S):
            await samplers[0].run()
        world.observer.check_end()

    world = play_day(seed, day, n_workers=N_WORKERS, n_instances=conditions.n_instances)
    return _measured(world, samplers[0], conditions.n_instances)


def _measured(world, sampler, n_instances):
    since_ms = sampler.returned_ms
    lines = [(at - since_ms, line) for at, line in world.log if at >= since_ms]

    def times_ms(event, **fields):
        return [
            at
            for at, line in lines
            if line["event"] == event and fields.items() <= line.items()
        ]

    def longest_ms(event):
        took = [line["took_ms"] for _, line in lines if line["event"] == event]
        return max(took, default=math.inf)

    configured = times_ms("configuration")
    n_losses = len(times_ms("lease_ended")) + len(times_ms("shard_lost"))
    return Measured(
        configured[-1] if len(configured) >= n_instances else math.inf,
        min(times_ms("claim", shard=SERVICE, outcome="Stored"), default=math.inf),
        min(times_ms("shard_loaded", shard=SERVICE), default=math.inf),
        min(times_ms("runs_started"), default=math.inf),
        sampler.at_work_ms,
        world.observer.longest_absence_ms,
        longest_ms("prefix_loaded"),
        longest_ms("shard_loaded"),
        sampler.least_lease_left_ms,
        # An owner that gives a shard to an instance with less work loses nothing.
        n_losses - len(times_ms("resigned")),
        world.store.reads.n_refused + world.store.writes.n_refused,
        tuple(world.broken),
    )


__all__ = ["PLANNED", "Burden", "Conditions", "Measured", "Promise", "measure"]
