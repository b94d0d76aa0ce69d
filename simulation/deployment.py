"""A deployment in virtual time: shards, pools, workers and callers.

The decisions are those of the product (`Shard`, `Scheduler`, `Demand`, `Admission`,
`FleetPlanner`). Workers, machines, callers and the delays between them are simulated.
"""

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import count

from apricotgap.jobs.admission import Admission, Refusal
from apricotgap.jobs.configuration import Configuration, QueueSpec, ServiceSpec, Team
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.effects import Effect, StartRun, StopRun
from apricotgap.jobs.events import (
    PollAnswered,
    StartAnswered,
    StartResult,
    WorkersListed,
)
from apricotgap.jobs.fleet import Machine, WorkerEntry
from apricotgap.jobs.fleet_orders import MachineOrder, OrderResult
from apricotgap.jobs.fleet_plan import FleetPlanner
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import (
    JobPhase,
    JobSpec,
    Resources,
    RunEnd,
    StepSpec,
)
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_totals import TeamTotals
from apricotgap.jobs.team_use import team_use
from simulation.load import SimulatedJob
from simulation.workers import RunKey, SimulatedWorker

__all__ = ["Deployment", "JobRecord", "Sizes"]

SPARE = "spare"
FAR_MS = 100_000_000
# Time from a decision of an owner to its effect at a worker or machine.
CALL_MS = 5
PASS_INTERVAL_MS = 10
TICK_MS = 100
FLEET_CYCLE_MS = 300
DRAIN_CYCLE_MS = 200
# Time that a worker takes to stop a run.
STOP_MS = 550
POLL_INTERVAL_MS = 1_000
# Time from the registration of a worker to its first answered poll.
JOIN_MS = 150
_MAX_LEASE_MS = 6_000
_RACK_SIZE = 4


@dataclass(frozen=True, slots=True)
class Sizes:
    """Machines of each pool, their capacity and how long a move takes."""

    pools: tuple[tuple[str, int], ...]
    n_spare: int
    capacity: Resources = Resources(64_000, 131_072)
    move_ms: int = 1_500


@dataclass(slots=True)
class JobRecord:
    """What the caller of a job has seen."""

    job: SimulatedJob
    n_refusals: int = 0
    is_accepted: bool = False
    finished_ms: int | None = None

    def latency_ms(self) -> int | None:
        """Return the time from the first submission to the end of the job."""
        return None if self.finished_ms is None else self.finished_ms - self.job.at_ms


class _Pool:
    """The owner of one service and the simulated workers of its pool."""

    def __init__(
        self, service: str, configuration: Configuration, overload: OverloadOptions
    ) -> None:
        self.shard = Shard(service, 1, _MAX_LEASE_MS)
        self.shard.config = configuration
        self.demand = Demand(self.shard)
        self.scheduler = Scheduler(self.shard, self.demand, overload)
        self.admission = Admission(
            self.shard, self.demand, self.scheduler.service_order
        )
        self.migrator = Migrator(self.shard, overload)
        self.workers: dict[str, SimulatedWorker] = {}
        self.needs_pass = False


class Deployment:
    """Plays a stream of jobs against the pools of a deployment.

    Parameters
    ----------
    sizes : Sizes
        Machines of the deployment.
    jobs : iterable of SimulatedJob
        Jobs with their times of submission.
    long_running : mapping of str to (int, int)
        Number of tasks and milli-cores of the long-running job of a service.
    max_retries : int
        How often a caller comes back after a refusal.
    shares : mapping of str to float, optional
        Shares of the teams, 1 for those without an entry.
    overload : OverloadOptions, optional
        Which decisions under overload the owners take.
    """

    def __init__(
        self,
        sizes: Sizes,
        jobs: Iterable[SimulatedJob],
        long_running: dict[str, tuple[int, int]] | None = None,
        max_retries: int = 4,
        shares: Mapping[str, float] | None = None,
        overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS,
    ) -> None:
        self._sizes = sizes
        self._max_retries = max_retries
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.now_ms = 0
        self.records: dict[str, JobRecord] = {}
        self.n_moves = 0
        self.n_stops = 0
        self.paid_ms = 0.0
        self.useful_core_ms = 0.0
        services = [name for name, _ in sizes.pools]
        self._configuration = _configuration(services, jobs := list(jobs), shares or {})
        self.pools = {
            name: _Pool(name, self._configuration, overload) for name in services
        }
        self._planner = FleetPlanner(sizes.move_ms, 2_000)
        self._totals = TeamTotals()
        self._machines: dict[str, Machine] = {}
        self._lives = count(1)
        self._add_machines()
        for job in jobs:
            self._at(job.at_ms, self._submission(job))
        for service, (n_tasks, cpu) in (long_running or {}).items():
            self._add_long_running(service, n_tasks, cpu)
        self._at(0, self._fleet_cycle)
        self._at(0, self._tick)

    def run(self, until_ms: int) -> None:
        """Advance the time to `until_ms`."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = until_ms

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._at(self.now_ms + delay_ms, action)

    # Callers

    def _submission(self, job: SimulatedJob) -> Callable[[], None]:
        def submit() -> None:
            record = self.records.setdefault(job.spec.job_id, JobRecord(job))
            pool = self.pools[job.spec.service]
            spec = pool.admission.keep_place(job.spec)
            refusal = pool.admission.decide(spec, self.now_ms)
            if isinstance(refusal, Refusal):
                record.n_refusals += 1
                if record.n_refusals <= self._max_retries:
                    self._after(refusal.retry_after_ms, submit)
                return
            record.is_accepted = True
            pool.admission.record_accepted(spec, self.now_ms)
            pool.shard.submit(spec, revision=1)
            pool.demand.record_job(spec, self.now_ms)
            self._request_pass(pool)

        return submit

    # Owners

    def _request_pass(self, pool: _Pool) -> None:
        if pool.needs_pass:
            return
        pool.needs_pass = True

        def schedule() -> None:
            pool.needs_pass = False
            self._execute(pool, pool.scheduler.run(self.now_ms, FAR_MS))
            if pool.scheduler.hit_start_limit:
                self._request_pass(pool)

        self._after(PASS_INTERVAL_MS, schedule)

    def _execute(self, pool: _Pool, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartRun):
                self._after(CALL_MS, partial(self._start, pool, effect))
            elif isinstance(effect, StopRun):
                self._after(CALL_MS, partial(self._stop, pool, effect))

    def _tick(self) -> None:
        for pool in self.pools.values():
            self._execute(pool, pool.shard.tick(self.now_ms))
            pool.scheduler.shares.record_running(team_use(pool.shard), self.now_ms)
            self._execute(pool, pool.migrator.run(self.now_ms))
            for worker_id, worker in list(pool.workers.items()):
                known = pool.shard.workers.get(worker_id)
                if known and self.now_ms - known.answered_ms >= POLL_INTERVAL_MS:
                    self._poll(pool, worker)
            self._record_finished(pool)
            self._request_pass(pool)
        n_paid = sum(machine.pool != SPARE for machine in self._machines.values())
        self.paid_ms += n_paid * TICK_MS
        self._after(TICK_MS, self._tick)

    def _record_finished(self, pool: _Pool) -> None:
        for job_id, job in list(pool.shard.jobs.items()):
            record = self.records.get(job_id)
            if record and job.is_final and record.finished_ms is None:
                if job.progress.phase is JobPhase.SUCCEEDED:
                    record.finished_ms = job.progress.finished_ms
                pool.shard.forget(job_id)

    def _poll(self, pool: _Pool, worker: SimulatedWorker) -> None:
        known = pool.shard.workers.get(worker.entry.worker_id)
        if known is None:
            return
        known.is_recorded = True
        pool.shard.offer_lease(known, self.now_ms, FAR_MS)
        ends = tuple(worker.unacknowledged)
        worker.unacknowledged.clear()
        effects = pool.shard.step(
            PollAnswered(
                self.now_ms,
                worker.entry.worker_id,
                worker.entry.born_ms,
                worker.entry.born_ms,
                self.now_ms,
                self.now_ms + 1,
                worker.listed(self.now_ms),
                ends,
            )
        )
        batch = pool.shard.begin_save()
        pool.shard.saved(batch, {job_id: 1 for job_id, *_ in batch.documents})
        self._execute(pool, effects)
        self._request_pass(pool)

    # Workers

    def _start(self, pool: _Pool, start: StartRun) -> None:
        worker = pool.workers.get(start.worker_id)
        if worker is None:
            return
        key = (start.name, start.run_id)
        record = self.records.get(start.name.job_id)
        duration_ms = record.job.durations_ms[start.name.step] if record else None
        end_ms = worker.start(key, duration_ms, start.checkpoint, self.now_ms)
        effects = pool.shard.step(
            StartAnswered(
                self.now_ms,
                start.worker_id,
                start.born_ms,
                start.name,
                start.run_id,
                StartResult("ok"),
            )
        )
        self._execute(pool, effects)
        if end_ms is not None:
            self._after(
                end_ms, partial(self._end, pool, start.worker_id, key, RunEnd.DONE)
            )

    def _stop(self, pool: _Pool, stop: StopRun) -> None:
        worker = pool.workers.get(stop.worker_id)
        key = (stop.name, stop.run_id)
        if worker is None or not worker.begin_stop(key):
            return
        self.n_stops += 1
        self._after(
            STOP_MS, partial(self._end, pool, stop.worker_id, key, RunEnd.STOPPED)
        )

    def _end(self, pool: _Pool, worker_id: str, key: RunKey, how: RunEnd) -> None:
        worker = pool.workers.get(worker_id)
        name = key[0]
        record = self.records.get(name.job_id)
        saves = record is not None and record.job.spec.steps[name.step].checkpoints
        if worker is None or not worker.end(key, how, saves, self.now_ms):
            return
        if record is not None and how is RunEnd.DONE:
            step = record.job.spec.steps[name.step]
            duration_ms = record.job.durations_ms[name.step]
            self.useful_core_ms += step.resources.core_equivalents * duration_ms
        self._after(CALL_MS, lambda: self._poll(pool, worker))

    # Machines

    def _add_machines(self) -> None:
        numbers = count()
        for pool, n_machines in (*self._sizes.pools, (SPARE, self._sizes.n_spare)):
            for _ in range(n_machines):
                number = next(numbers)
                name = f"m{number}"
                labels = ("k", f"r{number // _RACK_SIZE}")
                self._machines[name] = Machine(
                    name, pool, "up", "a", labels, self._sizes.capacity, ""
                )
                self._join(name)

    def _join(self, name: str) -> None:
        """Register a new worker for a machine that has come up in its pool."""
        machine = self._machines[name]
        worker_id = f"{name}-{next(self._lives)}"
        self._machines[name] = Machine(
            name,
            machine.pool,
            "up",
            machine.data_centre,
            machine.labels,
            machine.free,
            "" if machine.pool == SPARE else worker_id,
        )
        pool = self.pools.get(machine.pool)
        if pool is None:
            return
        entry = WorkerEntry(
            worker_id,
            machine.pool,
            "10.0.0.1:1",
            machine.data_centre,
            name,
            False,
            machine.free,
            machine.labels,
            1,
        )
        worker = pool.workers[worker_id] = SimulatedWorker(entry)

        def register() -> None:
            entries = tuple(each.entry for each in pool.workers.values())
            self._execute(pool, pool.shard.step(WorkersListed(self.now_ms, entries)))
            self._poll(pool, worker)

        self._after(JOIN_MS, register)

    def _fleet_cycle(self) -> None:
        reserved = self._planner.reserved_workers(self._machines)
        ended = self._planner.ended_workers(self.now_ms)
        urgent = self._planner.urgent_workers(self._machines)
        reports = {}
        for name, pool in self.pools.items():
            self._execute(pool, pool.shard.end_workers(ended, self.now_ms))
            pool.shard.reported_ms = self.now_ms
            pool.shard.reserve(reserved.get(name, ()), self.now_ms)
            self._exchange_use(name, pool)
            pool.migrator.record_urgent(urgent.get(name, {}), self.now_ms)
            self._execute(pool, pool.migrator.run(self.now_ms))
            share = self._planner.shares.get(name, 0)
            workers = pool.shard.report_workers(self.now_ms, pool.migrator.drain_ms)
            reports[name] = pool.demand.report(workers, share, self.now_ms)
        orders, _ = self._planner.plan(
            self.now_ms,
            self.now_ms,
            self._configuration,
            MachineList(self._machines),
            reports,
            frozenset(),
        )
        for order in orders:
            self._after(2 * CALL_MS, partial(self._move, order))
        is_draining = self._planner.is_draining
        cycle_ms = DRAIN_CYCLE_MS if is_draining else FLEET_CYCLE_MS
        self._after(cycle_ms, self._fleet_cycle)

    def _exchange_use(self, name: str, pool: _Pool) -> None:
        """Tell a shard what the teams use in the others, and the others its use."""
        shares = pool.scheduler.shares
        shares.record_totals(self._totals.others(name, self.now_ms), self.now_ms)
        self._totals.record(name, shares.uses(self.now_ms), self.now_ms)

    def _move(self, order: MachineOrder) -> None:
        self.n_moves += 1
        machine = self._machines[order.machine]
        pool = self.pools.get(machine.pool)
        if pool is not None:
            pool.workers.pop(machine.worker_id, None)
        self._machines[machine.name] = Machine(
            machine.name,
            order.pool,
            "moving",
            machine.data_centre,
            machine.labels,
            machine.free,
            "",
        )
        self._planner.handle_response(OrderResult(order, "ok", self.now_ms))
        self._after(self._sizes.move_ms, lambda: self._join(machine.name))

    def _add_long_running(self, service: str, n_tasks: int, cpu: int) -> None:
        step = StepSpec(
            n_tasks, Resources(cpu, 1_000), is_long_running=True, max_unavailable=1
        )
        job_id = f"long-running-{service}"
        spec = JobSpec(job_id, "long-running", service, "team-0", "x", (step,), 0)
        self.pools[service].shard.submit(spec, revision=1)


def _configuration(
    services: list[str], jobs: list[SimulatedJob], shares: Mapping[str, float]
) -> Configuration:
    queues = {job.spec.queue: job.spec for job in jobs}
    return Configuration(
        1,
        tuple(
            QueueSpec(
                spec.queue,
                "h",
                f"/{spec.queue}/",
                spec.service,
                3_000,
                spec.target_latency_ms,
                spec.priority,
                3,
                spec.slack_factor,
                False,
                False,
            )
            for spec in queues.values()
        ),
        (
            *(ServiceSpec(service, True, False) for service in services),
            ServiceSpec(SPARE, True, True),
        ),
        tuple(
            Team(name, frozenset(), shares.get(name, 1.0), Resources())
            for name in sorted({"team-0", *(job.spec.team for job in jobs)})
        ),
    )
