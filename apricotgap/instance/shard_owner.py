"""Owner of a service's shard: loads it, runs its loops and serves calls on it."""

import time
from dataclasses import replace

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.effect_runner import EffectRunner
from apricotgap.instance.job_cleanup import JobCleanup
from apricotgap.instance.keys import jobs_prefix, progress_prefix, roster_key
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.limit_needs import LimitNeeds
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.poll_loops import PollLoops
from apricotgap.instance.prefix_reader import read_prefix
from apricotgap.instance.progress_writer import ProgressWriter
from apricotgap.instance.refusal_mark import RefusalMark
from apricotgap.instance.roster import RosterWriter
from apricotgap.instance.shard_loader import (
    add_found_jobs,
    cancel_found_jobs,
    load_jobs,
)
from apricotgap.instance.shard_retirement import ShardRetirement, ShardUnusedError
from apricotgap.instance.start_permission import StartPermission
from apricotgap.instance.submissions import Submissions
from apricotgap.instance.team_limit_updater import TeamLimitUpdater
from apricotgap.instance.tenure import TenureMark
from apricotgap.instance.ticket_requests import TicketRequests
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.events import WorkersListed
from apricotgap.jobs.fleet_view import PoolReport, ReportRequest
from apricotgap.jobs.limits import LEASE_MARGIN_MS, TICK_INTERVAL_MS
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import JobPhase, JobSpec
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.jobs.pacing import Pacer
from apricotgap.jobs.preemption import Preemptor
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.service import SubmitOutcome
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.share_log import ShareLog
from apricotgap.jobs.start_rate import StartRate
from apricotgap.jobs.start_window import StartWindow
from apricotgap.jobs.stragglers import StragglerDetector
from apricotgap.jobs.team_use import team_use
from apricotgap.jobs.wait_log import WaitLog
from apricotgap.metrics import Metrics
from apricotgap.platform.advice import AdviceClient
from apricotgap.platform.settings import PlatformSettings
from apricotgap.platform.store import Item, Snapshot, StoreClient
from apricotgap.platform.workers import WorkerClient

__all__ = ["ShardOwner"]

# Watch of the jobs and cancellations that other instances write to the store directly:
# longest wait of one watch, and pause after one that returned changes.
JOB_WATCH_WAIT_MS = 4_000
JOB_WATCH_PAUSE_MS = 1_000
# Least time between two scheduling passes.
MIN_PASS_INTERVAL_MS = 3
# Pause after a pass as a multiple of its duration, and the longest pause.
PASS_PAUSE_FACTOR = 3
MAX_PASS_PAUSE_MS = 60


class ShardOwner:
    """Runs a shard for the duration of one ownership.

    Parameters
    ----------
    ownership : Ownership
        Ownership of the shard.
    settings, store, lease, cluster_view, workers, client, clock, metrics
        Dependencies.
    overload : OverloadOptions, optional
        Which decisions under overload are taken.
    """

    def __init__(
        self,
        ownership: Ownership,
        settings: PlatformSettings,
        store: StoreClient,
        lease: InstanceLease,
        cluster_view: ClusterView,
        workers: WorkerList,
        client: WorkerClient,
        clock: Clock,
        metrics: Metrics,
        overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS,
    ) -> None:
        self.ownership = ownership
        self.service = ownership.shard
        self.ready = trio.Event()
        self._store = store
        self._permission = StartPermission(ownership, lease, cluster_view)
        self._cluster_view = cluster_view
        self._workers = workers
        self._clock = clock
        self._shard = Shard(
            ownership.shard,
            ownership.epoch,
            settings.bounds.max_lease_ms,
            settings.bounds.stop_timeout_ms,
            settings.bounds.contact_ms,
            ownership.inherited_lease_ms,
        )
        self._shard.unix_offset_ms = time.time_ns() // 1_000_000 - clock.now_ms
        self._demand = Demand(self._shard)
        self._start_window = StartWindow()
        self._start_rate = StartRate()
        self._scheduler = Scheduler(
            self._shard, self._demand, overload, self._start_window
        )
        self._shares = self._scheduler.shares
        self._pacer = Pacer(self._shard)
        self._stragglers = StragglerDetector(self._shard)
        self._migrator = Migrator(self._shard, overload)
        self._preemptor = Preemptor(self._shard, self._scheduler.service_order)
        self._wait_log = WaitLog(self._shard)
        self._share_log = ShareLog(self._shard, self._shares)
        self._pass_requested = trio.Event()
        self._writer = ProgressWriter(self._shard, ownership, store)
        self._refusal_mark = RefusalMark(ownership, store, clock)
        self._submissions = Submissions(
            self._shard,
            ownership,
            store,
            self._demand,
            self._scheduler.service_order,
            clock,
            metrics,
            self._job_accepted,
            self._start_rate,
            self._refusal_mark.record_refusal,
        )
        self._tickets = (
            TicketRequests(
                self._shard,
                ownership,
                AdviceClient(settings.advice_address),
                clock,
                self._request_pass,
            )
            if settings.advice_address
            else None
        )
        self._cleanup = JobCleanup(
            self._shard,
            ownership,
            store,
            clock,
            settings.bounds.status_retention_ms,
        )
        self._retirement = ShardRetirement(
            self._shard, ownership, store, cluster_view, clock
        )
        self._roster = RosterWriter(self._shard, ownership, store, clock)
        self._tenure_mark = TenureMark(ownership, store, clock)
        self._limits = TeamLimitUpdater(
            self._shard,
            ownership,
            store,
            clock,
            lambda: self._lease_until_ms,
            cluster_view.has_shard,
            self._request_pass,
            LimitNeeds(ownership, store, cluster_view),
        )
        self._effects = EffectRunner(
            self._shard,
            ownership,
            self._pacer,
            client,
            clock,
            metrics,
            self._writer.wake,
            self._request_pass,
            self._start_window,
            self._start_rate,
        )
        self._poll_loops = PollLoops(
            self._shard,
            ownership,
            client,
            workers,
            clock,
            lambda: self._lease_until_ms,
            self._effects.execute,
            self._request_pass,
            lambda: self._scheduler.awaits_fresh_answer,
            settings.speed_milli,
        )
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    def _request_pass(self) -> None:
        self._pass_requested.set()

    async def run(self) -> None:
        """Load the shard and run it until cancelled or replaced by another owner.

        Raises
        ------
        OwnershipLostError
            The store shows another owner, or the shard was given up for good.
        """
        jobs = await self._load()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._effects.open(nursery)
                nursery.start_soon(jobs.run)
                nursery.start_soon(self._schedule_loop)
                nursery.start_soon(self._writer.run)
                if self._tickets is not None:
                    nursery.start_soon(self._tickets.run)
                nursery.start_soon(self._roster.run)
                nursery.start_soon(self._tenure_mark.run)
                nursery.start_soon(self._refusal_mark.run)
                nursery.start_soon(self._tick_loop)
                nursery.start_soon(self._cleanup.run, jobs)
                nursery.start_soon(self._retirement.run, jobs)
                nursery.start_soon(self._limits.run)
                self.ready.set()
        except* ShardUnusedError as group:
            await self._retirement.retire()
            raise OwnershipLostError(
                "the service has neither queue nor jobs"
            ) from group

    @property
    def knows_all_runs(self) -> bool:
        """Whether no worker may have runs that a successor would have to wait for."""
        return self.ready.is_set() and not self._shard.awaits_leases

    # Loading

    async def _load(self) -> PrefixMirror:
        started_ms = self._clock.now_ms
        snapshots: dict[str, Snapshot] = {}

        async def read(prefix: str) -> None:
            snapshots[prefix] = await read_prefix(self._store, prefix, self._log)

        prefixes = (
            jobs_prefix(self.service),
            progress_prefix(self.service),
            roster_key(self.service),
        )
        async with trio.open_nursery() as nursery:
            for prefix in prefixes:
                nursery.start_soon(read, prefix)
            nursery.start_soon(self._workers.loaded.wait)
        jobs, progress, roster = (snapshots[prefix] for prefix in prefixes)
        self._shard.loaded_ms = self._clock.now_ms
        self._roster.load(roster, self._shard.loaded_ms)
        load_jobs(self._shard, jobs, progress)
        self._log.info(
            "shard_loaded",
            n_jobs=len(self._shard.jobs),
            n_workers=len(self._shard.workers),
            took_ms=self._clock.now_ms - started_ms,
        )
        mirror = PrefixMirror(
            self._store,
            jobs_prefix(self.service),
            self._clock,
            self._jobs_changed,
            JOB_WATCH_WAIT_MS,
            JOB_WATCH_PAUSE_MS,
        )
        mirror.replace(jobs)
        return mirror

    def _jobs_changed(self, items: tuple[Item, ...]) -> None:
        known = self._shard.jobs
        new = [item for item in items if item.key.rpartition("/")[2] not in known]
        add_found_jobs(self._shard, new, self._submissions.record_found)
        self._effects.execute(cancel_found_jobs(self._shard, items, self._clock.now_ms))
        self._pass_requested.set()

    @property
    def _lease_until_ms(self) -> int:
        return self._permission.lease_until_ms

    # Calls of the job router

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        """Store a job and add it to the shard, unless it cannot be served in time."""
        return await self._submissions.submit(job, deadline_ms)

    def _job_accepted(self, job: JobSpec) -> None:
        self._effects.execute([self._shard.describe(job)])
        self._pass_requested.set()

    def phase(self, job_id: str) -> JobPhase | None:
        """Return the state of a job as shown to callers, None for an unknown one."""
        job = self._shard.jobs.get(job_id)
        return job.reported_phase if job else None

    async def cancel(self, job_id: str, deadline_ms: int) -> bool | None:
        """Cancel a job.

        Returns None for an unknown job and False if the cancellation is not stored by
        the deadline.

        Raises
        ------
        OwnershipLostError
            The owner has ended before.
        """
        job = self._shard.jobs.get(job_id)
        if job is None:
            return None
        now_ms = self._clock.now_ms
        unix_ms = self._shard.unix_of(now_ms)
        self._effects.execute(self._shard.cancel(job_id, unix_ms, now_ms))
        left_ms = max(0, deadline_ms - now_ms)
        with trio.move_on_after(left_ms / 1000):
            await self._writer.wait_for_phase(job)
            return True
        return False

    def n_pending(self, queue: str) -> int:
        """Return the number of jobs of a queue without a started task."""
        return self._shard.n_pending(queue)

    def report(self, request: ReportRequest) -> PoolReport:
        """Reserve workers, stop runs that are to leave them, and report on the pool.

        Raises
        ------
        OwnershipLostError
            The lease is about to end or has ended. Another owner may then have started
            runs that this one does not know of.
        """
        now_ms = self._clock.now_ms
        if self._lease_until_ms - now_ms < LEASE_MARGIN_MS:
            raise OwnershipLostError("the lease of the instance may have ended")
        self._shard.reported_ms = now_ms
        self._effects.execute(self._shard.end_workers(request.ended, now_ms))
        self._shard.reserve(request.reserved, now_ms)
        self._migrator.record_urgent(request.urgent, now_ms)
        self._stop_displaced_runs(now_ms)
        if request.other_use is not None:
            self._shares.record_totals(request.other_use, now_ms)
        workers = self._shard.report_workers(now_ms, self._migrator.drain_ms)
        report = self._demand.report(workers, request.share, now_ms)
        return replace(report, team_cores=self._shares.uses(now_ms))

    # Loops

    async def _tick_loop(self) -> None:
        while True:
            self._apply_configuration()
            now_ms = self._clock.now_ms
            if self._workers.fresh_as_of_ms is not None:
                self._shard.list_fresh_ms = self._workers.fresh_as_of_ms
            self._effects.execute(
                self._shard.step(WorkersListed(now_ms, self._workers.entries()))
                if self._workers.has_changed_for(self.ownership.shard)
                else []
            )
            self._effects.execute(self._shard.tick(now_ms))
            self._shares.record_running(team_use(self._shard), now_ms)
            self._effects.execute(self._share_log.run(now_ms))
            self._stop_displaced_runs(now_ms)
            self._effects.execute(self._pacer.run(now_ms))
            self._effects.execute(self._stragglers.run(now_ms))
            self._effects.execute(self._wait_log.run(now_ms, self._permission.until_ms))
            self._poll_loops.start(self._nursery)
            self._pass_requested.set()
            await trio.sleep(TICK_INTERVAL_MS / 1000)

    def _stop_displaced_runs(self, now_ms: int) -> None:
        # A migration or a preemption stops a run and starts another one.
        if self._permission.until_ms - now_ms > LEASE_MARGIN_MS:
            self._effects.execute(self._migrator.run(now_ms))
            self._effects.execute(self._preemptor.run(now_ms))

    def _apply_configuration(self) -> None:
        config = self._cluster_view.config
        self._shard.evacuated = self._cluster_view.evacuated
        if config is None or config is self._shard.config:
            return
        self._shard.config = config
        self._shard.team_limits.set_configuration(config)
        # Which entries are those of workers depends on the services.
        self._workers.add_reader(self.ownership.shard)
        self._limits.wake()

    async def _schedule_loop(self) -> None:
        while True:
            await self._pass_requested.wait()
            self._pass_requested = trio.Event()
            started_ms = self._clock.now_ms
            effects = self._scheduler.run(started_ms, self._permission.until_ms)
            self._effects.execute(effects)
            self._start_rate.record_pass(started_ms, self._start_window.is_blocking)
            if self._scheduler.is_team_blocked:
                self._limits.wake()
            if self._scheduler.hit_start_limit and not self._start_window.is_blocking:
                self._pass_requested.set()
            # Groups events that occur close together into one pass. With many waiting
            # jobs a pass takes long, and polls and starts need processor time too.
            took_ms = self._clock.now_ms - started_ms
            pause_ms = max(MIN_PASS_INTERVAL_MS, PASS_PAUSE_FACTOR * took_ms)
            await trio.sleep(min(pause_ms, MAX_PASS_PAUSE_MS) / 1000)
