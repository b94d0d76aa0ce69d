"""The owner of a shard: loads it, runs its loops and stores its progress."""

import time
from collections.abc import Iterable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.directory import Directory
from apricotgap.instance.hold_loops import HoldLoops
from apricotgap.instance.keys import (
    cancel_key,
    index_key,
    job_key,
    job_writes,
    jobs_prefix,
    progress_key,
    progress_prefix,
    roster_key,
)
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.limit_keeper import LimitKeeper
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.instance.progress_writer import ProgressWriter
from apricotgap.instance.roster import RosterKeeper
from apricotgap.instance.shard_loader import decode_stored_job, load_jobs
from apricotgap.instance.tenure import OwnershipLostError, Tenure
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.documents import Progress, encode_job, encode_progress
from apricotgap.jobs.effects import Effect, LogDecision, PaceRun, StartRun, StopRun
from apricotgap.jobs.events import (
    StartAnswered,
    StopAnswered,
    WorkersListed,
)
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport
from apricotgap.jobs.limits import (
    LEASE_MARGIN_MS,
    RETENTION_MARGIN_MS,
)
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import JobPhase, JobSpec
from apricotgap.jobs.pacing import Pacer
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.service import SubmitResult
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.stragglers import StragglerWatch
from apricotgap.metrics import Metrics
from apricotgap.platform.advice import AdviceClient, AdviceError
from apricotgap.platform.settings import PlatformSettings
from apricotgap.platform.store import (
    Conflict,
    Item,
    Snapshot,
    StoreClient,
    Stored,
    StoreError,
    Unavailable,
    Unknown,
    Write,
)
from apricotgap.platform.workers import (
    WorkerClient,
)

__all__ = ["ShardOwner"]

_TICK_S = 0.1
_RETRY_S = 0.15
_ADVICE_IDLE_S = 0.05
# Changes that another instance wrote directly are read this often.
JOB_WATCH_WAIT_MS = 4_000
JOB_WATCH_PAUSE_MS = 1_000
HOUSEKEEPING_S = 5.0
# Least time between two scheduling passes.
PASS_GAP_MS = 3


class ShardOwner:
    """One tenure of a shard.

    Parameters
    ----------
    tenure : Tenure
        The ownership.
    settings, store, lease, directory, workers, client, clock, metrics
        What it works with.
    """

    def __init__(
        self,
        tenure: Tenure,
        settings: PlatformSettings,
        store: StoreClient,
        lease: InstanceLease,
        directory: Directory,
        workers: WorkerList,
        client: WorkerClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.tenure = tenure
        self.service = tenure.shard
        self.ready = trio.Event()
        self._store = store
        self._lease = lease
        self._directory = directory
        self._workers = workers
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self.core = Shard(
            tenure.shard,
            tenure.epoch,
            settings.bounds.max_lease_ms,
            settings.bounds.stop_timeout_ms,
        )
        self.core.unix_offset_ms = time.time_ns() // 1_000_000 - clock.now_ms
        self._scheduler = Scheduler(self.core)
        self._pacer = Pacer(self.core)
        self._demand = Demand(self.core)
        self._stragglers = StragglerWatch(self.core)
        self._migrator = Migrator(self.core)
        self._advice = (
            AdviceClient(settings.advice_address) if settings.advice_address else None
        )
        self._retention_ms = settings.bounds.status_retention_ms
        self._wake = trio.Event()
        self._writer = ProgressWriter(self.core, tenure, store)
        self._roster = RosterKeeper(self.core, tenure, store)
        self._limits = LimitKeeper(
            self.core, tenure, store, clock, lambda: self._lease_until_ms, self._wake_up
        )
        self._holds = HoldLoops(
            self.core,
            tenure,
            client,
            workers,
            clock,
            lambda: self._lease_until_ms,
            self._run,
            self._wake_up,
        )
        self._log = structlog.get_logger().bind(shard=tenure.shard, epoch=tenure.epoch)

    def _wake_up(self) -> None:
        self._wake.set()

    async def run(self) -> None:
        """Load the shard and run it until cancelled or replaced.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        jobs = await self._load()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(jobs.run)
            nursery.start_soon(self._schedule_loop)
            nursery.start_soon(self._writer.run)
            nursery.start_soon(self._advice_loop)
            nursery.start_soon(self._roster.run)
            nursery.start_soon(self._tick_loop)
            nursery.start_soon(self._housekeeping_loop)
            nursery.start_soon(self._limits.run)
            self.ready.set()

    # Loading

    async def _load(self) -> PrefixMirror:
        started_ms = self._clock.now_ms
        found: dict[str, Snapshot] = {}

        async def read(prefix: str) -> None:
            found[prefix] = await self._read(prefix)

        prefixes = (
            jobs_prefix(self.service),
            progress_prefix(self.service),
            roster_key(self.service),
        )
        async with trio.open_nursery() as nursery:
            for prefix in prefixes:
                nursery.start_soon(read, prefix)
            nursery.start_soon(self._workers.loaded.wait)
        jobs, progress, roster = (found[prefix] for prefix in prefixes)
        self.core.loaded_ms = self._clock.now_ms
        self._roster.load(roster, self.core.loaded_ms)
        load_jobs(self.core, jobs, progress)
        self._log.info(
            "shard_loaded",
            n_jobs=len(self.core.jobs),
            n_workers=len(self.core.workers),
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

    async def _read(self, prefix: str) -> Snapshot:
        while True:
            try:
                return await self._store.read_prefix(prefix)
            except StoreError as error:
                self._log.warning("load_failed", prefix=prefix, reason=str(error))
                await trio.sleep(_RETRY_S)

    def _jobs_changed(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.value is None:
                continue
            parts = item.key.split("/")
            if len(parts) == 4 and parts[3] == "cancel":
                self._cancel(parts[2])
            elif len(parts) == 3 and parts[2] not in self.core.jobs:
                job = decode_stored_job(item)
                if job is not None:
                    self._log.info("job_found", job=job.job_id)
                    self.core.submit(job)
        self._wake.set()

    @property
    def _lease_until_ms(self) -> int:
        return self._lease.until_ms_of(self.tenure.lease_id)

    # Calls of the gateway

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitResult:
        """Store a job and take it.

        Parameters
        ----------
        job : JobSpec
            The job.
        deadline_ms : int
            When to give up, on the instance's clock.

        Returns
        -------
        SubmitResult
            REFUSED only when it cannot be stored, also later.
        """
        if job.job_id in self.core.jobs:
            return SubmitResult.ACCEPTED
        if self._store.is_down:
            return SubmitResult.REFUSED
        writes = [
            self.tenure.condition,
            *job_writes(self.service, job.job_id, encode_job(job)),
        ]
        may_start_at_once = not self.core.has_waiting_jobs
        if may_start_at_once:
            key = progress_key(self.service, job.job_id)
            writes.append(Write(key, encode_progress(Progress()), expected_revision=0))
        may_be_stored = False
        revision = 0
        while True:
            outcome = await self._store.write(tuple(writes))
            if isinstance(outcome, Stored):
                revision = outcome.revision if may_start_at_once else 0
                break
            if isinstance(outcome, Conflict):
                self.tenure.check(outcome)
                if any(item.value == self.service.encode() for item in outcome.items):
                    break
                # The id belongs to a job of a service that the queue used before.
                return SubmitResult.ACCEPTED
            if isinstance(outcome, Unknown):
                may_be_stored = True
            if self._clock.now_ms > deadline_ms:
                return SubmitResult.UNKNOWN if may_be_stored else SubmitResult.REFUSED
            if isinstance(outcome, Unavailable) and not may_be_stored:
                return SubmitResult.REFUSED
            await trio.sleep(_RETRY_S)
        self.core.submit(job, revision)
        self._run([self.core.describe(job)])
        self._demand.note_job(job, self._clock.now_ms)
        self._wake.set()
        return SubmitResult.ACCEPTED

    def phase(self, job_id: str) -> JobPhase | None:
        """State of a job as callers see it, None for an unknown one."""
        job = self.core.jobs.get(job_id)
        return job.shown_phase if job else None

    async def cancel(self, job_id: str, deadline_ms: int) -> bool | None:
        """Cancel a job; None for an unknown one, False when it is not stored yet."""
        if job_id not in self.core.jobs:
            return None
        self._cancel(job_id)
        job = self.core.jobs[job_id]
        while job.saved_phase is not job.progress.phase:
            if self._clock.now_ms > deadline_ms:
                return False
            with trio.move_on_after(0.2):
                await self._writer.saved.wait()
        return True

    def _cancel(self, job_id: str) -> None:
        if job_id not in self.core.jobs:
            return
        now_ms = self._clock.now_ms
        self._run(self.core.cancel(job_id, self.core.unix_of(now_ms), now_ms))

    def n_pending(self, queue: str) -> int:
        """Jobs of a queue of which no task has started."""
        return sum(
            job.spec.queue == queue and job.progress.phase is JobPhase.PENDING
            for job in self.core.open_jobs.values()
        )

    def report(self, reserved: Iterable[str], ended: Iterable[str]) -> PoolReport:
        """Reserve workers and tell what the pool wants and has.

        Parameters
        ----------
        reserved : iterable of str
            Workers that are to be emptied.
        ended : iterable of str
            Workers whose machines have been moved or taken down.

        Raises
        ------
        OwnershipLostError
            Another owner may have started runs that this one does not know.
        """
        now_ms = self._clock.now_ms
        if self._lease_until_ms - now_ms < LEASE_MARGIN_MS:
            raise OwnershipLostError("the lease may have ended")
        self.core.reported_ms = now_ms
        self._run(self.core.end_workers(ended, now_ms))
        self.core.reserve(reserved, now_ms)
        return PoolReport(
            self._demand.wanted(now_ms),
            tuple(
                WorkerReport(
                    worker.worker_id,
                    worker.n_possible_runs,
                    worker.n_lasting,
                    worker.is_usable(now_ms, self.core.evacuated),
                    worker.is_reserved(now_ms),
                    worker.suspect_since_ms is not None,
                )
                for worker in self.core.workers.values()
            ),
        )

    # Loops

    async def _tick_loop(self) -> None:
        while True:
            self._take_configuration()
            now_ms = self._clock.now_ms
            self._run(
                self.core.step(WorkersListed(now_ms, self._workers.entries()))
                if self._workers.changed_since(self.tenure.shard)
                else []
            )
            self._run(self.core.tick(now_ms))
            # Without a lease a stopped run could not be started elsewhere.
            if self._lease_until_ms - now_ms > LEASE_MARGIN_MS:
                self._run(self._migrator.run(now_ms))
            self._run(self._pacer.run(now_ms))
            self._run(self._stragglers.run(now_ms))
            self._holds.start(self._nursery)
            self._wake.set()
            await trio.sleep(_TICK_S)

    def _take_configuration(self) -> None:
        config = self._directory.config
        self.core.evacuated = self._directory.evacuated
        if config is None or config is self.core.config:
            return
        self.core.config = config
        self.core.team_limits.set_configuration(config)
        self._limits.wake()

    async def _schedule_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            started_ms = self._clock.now_ms
            effects = self._scheduler.run(started_ms, self._lease_until_ms)
            self._run(effects)
            if self._scheduler.is_team_blocked:
                self._limits.wake()
            if self._scheduler.is_cut_short:
                self._wake.set()
            # Events that come close together are served by one pass.
            took_ms = self._clock.now_ms - started_ms
            await trio.sleep(max(PASS_GAP_MS, took_ms) / 1000)

    def _run(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, LogDecision):
                self._log.info(effect.event, **effect.fields)
            elif isinstance(effect, StartRun):
                self._nursery.start_soon(self._start, effect)
            elif isinstance(effect, StopRun):
                self._nursery.start_soon(self._stop, effect)
            elif isinstance(effect, PaceRun):
                self._nursery.start_soon(self._pace, effect)
        if self.core.has_unsaved:
            self._writer.wake()

    async def _start(self, order: StartRun) -> None:
        result = await self._client.start(order, self.tenure.epoch)
        self._metrics.count("run_starts", result=result.kind)
        self._run(
            self.core.step(
                StartAnswered(
                    self._clock.now_ms,
                    order.worker_id,
                    order.born_ms,
                    order.name,
                    order.run_id,
                    result,
                )
            )
        )
        if result.kind != "ok":
            self._wake.set()

    async def _stop(self, order: StopRun) -> None:
        ok = await self._client.stop(order, self.tenure.epoch)
        self._run(
            self.core.step(
                StopAnswered(
                    self._clock.now_ms,
                    order.worker_id,
                    order.born_ms,
                    order.name,
                    order.run_id,
                    ok,
                )
            )
        )

    async def _pace(self, order: PaceRun) -> None:
        ok = await self._client.pace(order, self.tenure.epoch)
        self._pacer.answered(order, ok)

    # Storing

    async def _advice_loop(self) -> None:
        """Ask for tickets; the service serves one call of an instance at a time."""
        if self._advice is None:
            return
        tickets = self.core.tickets
        while True:
            question = tickets.next_question()
            if question is None:
                await trio.sleep(_ADVICE_IDLE_S)
                continue
            step, workers = question
            sent_ms = self._clock.now_ms
            try:
                approved, validity_ms = await self._advice.fetch_approvals(
                    str(step), [worker.worker_id for worker in workers]
                )
            except AdviceError as error:
                self._log.warning("advice_failed", step=str(step), reason=str(error))
                await trio.sleep(_RETRY_S)
                continue
            self._log.info(
                "advice", step=str(step), n_asked=len(workers), n_approved=len(approved)
            )
            tickets.answered(step, workers, approved, sent_ms + validity_ms)
            self._wake.set()

    async def _housekeeping_loop(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            unix_ms = self.core.unix_of(self._clock.now_ms)
            keep_ms = self._retention_ms + RETENTION_MARGIN_MS
            old = [
                job_id
                for job_id, job in self.core.jobs.items()
                if job.is_final
                and job.saved_phase is job.progress.phase
                and not job.runs
                and unix_ms - job.progress.finished_ms > keep_ms
            ]
            for job_id in old:
                await self._remove(job_id)

    async def _remove(self, job_id: str) -> None:
        keys = (
            job_key(self.service, job_id),
            progress_key(self.service, job_id),
            cancel_key(self.service, job_id),
            index_key(job_id),
        )
        outcome = await self._store.write((self.tenure.condition, *map(Write, keys)))
        if isinstance(outcome, Stored):
            self.core.forget(job_id)
            self._log.info("job_removed", job=job_id)
            return
        self._log.warning("job_not_removed", job=job_id, outcome=repr(outcome))
