"""Owner of a service's shard: loads it, runs its loops and serves calls on it."""

import time
from collections.abc import Iterable
from dataclasses import asdict

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
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
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.peers import PeerClient
from apricotgap.instance.poll_loops import PollLoops
from apricotgap.instance.progress_writer import ProgressWriter
from apricotgap.instance.roster import RosterWriter
from apricotgap.instance.shard_loader import decode_stored_job, load_jobs
from apricotgap.instance.start_delegation import StartSender
from apricotgap.instance.team_limit_updater import TeamLimitUpdater
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.admission import Admission, Refusal
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.documents import Progress, encode_job, encode_progress
from apricotgap.jobs.effects import Effect, LogDecision, PaceRun, StartRun, StopRun
from apricotgap.jobs.events import (
    StartAnswered,
    StartResult,
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
from apricotgap.jobs.service import SubmitOutcome, SubmitResult
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.stragglers import StragglerDetector
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

_ACCEPTED = SubmitOutcome(SubmitResult.ACCEPTED)
_TICK_INTERVAL_S = 0.1
_RETRY_S = 0.15
_ADVICE_IDLE_DELAY_S = 0.05
# Watch of the jobs and cancellations that other instances write to the store directly:
# longest wait of one watch, and pause after one that returned changes.
JOB_WATCH_WAIT_MS = 4_000
JOB_WATCH_PAUSE_MS = 1_000
HOUSEKEEPING_INTERVAL_S = 5.0
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
    settings, store, lease, cluster_view, workers, client, peers, clock, metrics
        Dependencies.
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
        peers: PeerClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.ownership = ownership
        self.service = ownership.shard
        self.ready = trio.Event()
        self._store = store
        self._lease = lease
        self._cluster_view = cluster_view
        self._workers = workers
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._shard = Shard(
            ownership.shard,
            ownership.epoch,
            settings.bounds.max_lease_ms,
            settings.bounds.stop_timeout_ms,
        )
        self._shard.unix_offset_ms = time.time_ns() // 1_000_000 - clock.now_ms
        self._scheduler = Scheduler(self._shard)
        self._pacer = Pacer(self._shard)
        self._demand = Demand(self._shard)
        self._admission = Admission(self._shard, self._demand)
        self._stragglers = StragglerDetector(self._shard)
        self._migrator = Migrator(self._shard)
        self._advice = (
            AdviceClient(settings.advice_address) if settings.advice_address else None
        )
        self._retention_ms = settings.bounds.status_retention_ms
        self._pass_requested = trio.Event()
        self._writer = ProgressWriter(self._shard, ownership, store)
        self._roster = RosterWriter(self._shard, ownership, store)
        self._limits = TeamLimitUpdater(
            self._shard,
            ownership,
            store,
            clock,
            lambda: self._lease_until_ms,
            self._request_pass,
        )
        self._start_sender = StartSender(
            settings.name,
            ownership.epoch,
            client,
            peers,
            cluster_view,
            clock,
            self._start_answered,
        )
        self._poll_loops = PollLoops(
            self._shard,
            ownership,
            client,
            workers,
            clock,
            lambda: self._lease_until_ms,
            self._execute,
            self._request_pass,
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
        snapshots: dict[str, Snapshot] = {}

        async def read(prefix: str) -> None:
            snapshots[prefix] = await self._read(prefix)

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
            elif len(parts) == 3 and parts[2] not in self._shard.jobs:
                job = decode_stored_job(item)
                if job is not None:
                    self._log.info("job_found", job=job.job_id)
                    self._shard.submit(job)
        self._pass_requested.set()

    @property
    def _lease_until_ms(self) -> int:
        return self._lease.valid_until_ms_of(self.ownership.lease_id)

    # Calls of the job router

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        """Store a job and add it to the shard, unless it cannot be served in time.

        Parameters
        ----------
        job : JobSpec
            The job.
        deadline_ms : int
            When to give up, on the clock of the instance.

        Returns
        -------
        SubmitOutcome
            REFUSED only if no write of the job can still take effect.
        """
        if job.job_id in self._shard.jobs:
            return _ACCEPTED
        if self._store.is_down:
            return SubmitOutcome(SubmitResult.REFUSED)
        job = self._admission.keep_place(job)
        refusal = self._admission.decide(job, self._clock.now_ms)
        if refusal is not None:
            return await self._refuse(job, refusal)
        return await self._store_job(job, deadline_ms)

    async def _refuse(self, job: JobSpec, refusal: Refusal) -> SubmitOutcome:
        """Refuse a job unless an earlier submission of it has been stored."""
        try:
            item = await self._store.read_key(index_key(job.job_id))
        except StoreError as error:
            self._log.warning("refusal_unconfirmed", job=job.job_id, reason=str(error))
            return SubmitOutcome(SubmitResult.UNKNOWN)
        if item.value is not None:
            return _ACCEPTED
        self._log.info("job_refused", job=job.job_id, **asdict(refusal))
        self._metrics.count("jobs_refused", queue=job.queue)
        return SubmitOutcome(
            SubmitResult.REFUSED, refusal.retry_after_ms, "cannot be served in time"
        )

    async def _store_job(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        writes = [
            self.ownership.condition,
            *job_writes(self.service, job.job_id, encode_job(job)),
        ]
        may_start_at_once = not self._shard.has_waiting_jobs
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
                self.ownership.check(outcome)
                if any(item.value == self.service.encode() for item in outcome.items):
                    break
                # The id belongs to a job that was accepted for another service, which
                # the queue used before.
                return _ACCEPTED
            if isinstance(outcome, Unknown):
                may_be_stored = True
            if self._clock.now_ms > deadline_ms:
                return SubmitOutcome(
                    SubmitResult.UNKNOWN if may_be_stored else SubmitResult.REFUSED
                )
            if isinstance(outcome, Unavailable) and not may_be_stored:
                return SubmitOutcome(SubmitResult.REFUSED)
            await trio.sleep(_RETRY_S)
        self._shard.submit(job, revision)
        self._execute([self._shard.describe(job)])
        self._demand.record_job(job, self._clock.now_ms)
        self._admission.record_accepted(job)
        self._pass_requested.set()
        return _ACCEPTED

    def phase(self, job_id: str) -> JobPhase | None:
        """Return the state of a job as shown to callers, None for an unknown one."""
        job = self._shard.jobs.get(job_id)
        return job.reported_phase if job else None

    async def cancel(self, job_id: str, deadline_ms: int) -> bool | None:
        """Cancel a job.

        Returns None for an unknown job and False if the cancellation is not stored by
        the deadline.
        """
        if job_id not in self._shard.jobs:
            return None
        self._cancel(job_id)
        job = self._shard.jobs[job_id]
        while job.saved_phase is not job.progress.phase:
            if self._clock.now_ms > deadline_ms:
                return False
            with trio.move_on_after(0.2):
                await self._writer.saved.wait()
        return True

    def _cancel(self, job_id: str) -> None:
        if job_id not in self._shard.jobs:
            return
        now_ms = self._clock.now_ms
        self._execute(self._shard.cancel(job_id, self._shard.unix_of(now_ms), now_ms))

    def n_pending(self, queue: str) -> int:
        """Return the number of jobs of a queue without a started task."""
        return sum(
            job.spec.queue == queue and job.progress.phase is JobPhase.PENDING
            for job in self._shard.open_jobs.values()
        )

    def report(
        self, reserved: Iterable[str], ended: Iterable[str], share: int = 0
    ) -> PoolReport:
        """Reserve workers and report the demand and the workers of the pool.

        Parameters
        ----------
        reserved : iterable of str
            Workers to drain: they get no new work.
        ended : iterable of str
            Workers whose machines have been moved or taken down.
        share : int
            Number of machines planned for the pool, 0 if it is unknown.

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
        self._execute(self._shard.end_workers(ended, now_ms))
        self._shard.reserve(reserved, now_ms)
        self._demand.record_share(share)
        return PoolReport(
            self._demand.wanted(now_ms),
            tuple(
                WorkerReport(
                    worker.worker_id,
                    worker.n_possible_runs,
                    worker.n_long_running,
                    worker.is_usable(now_ms, self._shard.evacuated),
                    worker.is_reserved(now_ms),
                    worker.suspect_since_ms is not None,
                )
                for worker in self._shard.workers.values()
            ),
            self._demand.wanted_for_late_jobs(now_ms),
        )

    # Loops

    async def _tick_loop(self) -> None:
        while True:
            self._apply_configuration()
            now_ms = self._clock.now_ms
            self._execute(
                self._shard.step(WorkersListed(now_ms, self._workers.entries()))
                if self._workers.has_changed_for(self.ownership.shard)
                else []
            )
            self._execute(self._shard.tick(now_ms))
            # A migration stops a run and starts it elsewhere, so the lease must last.
            if self._lease_until_ms - now_ms > LEASE_MARGIN_MS:
                self._execute(self._migrator.run(now_ms))
            self._execute(self._pacer.run(now_ms))
            self._execute(self._stragglers.run(now_ms))
            self._poll_loops.start(self._nursery)
            self._pass_requested.set()
            await trio.sleep(_TICK_INTERVAL_S)

    def _apply_configuration(self) -> None:
        config = self._cluster_view.config
        self._shard.evacuated = self._cluster_view.evacuated
        if config is None or config is self._shard.config:
            return
        self._shard.config = config
        self._shard.team_limits.set_configuration(config)
        self._limits.wake()

    async def _schedule_loop(self) -> None:
        while True:
            await self._pass_requested.wait()
            self._pass_requested = trio.Event()
            started_ms = self._clock.now_ms
            effects = self._scheduler.run(started_ms, self._lease_until_ms)
            self._execute(effects)
            if self._scheduler.is_team_blocked:
                self._limits.wake()
            if self._scheduler.hit_start_limit:
                self._pass_requested.set()
            # Groups events that occur close together into one pass. With many waiting
            # jobs a pass takes long, and polls and starts need processor time too.
            took_ms = self._clock.now_ms - started_ms
            pause_ms = max(MIN_PASS_INTERVAL_MS, PASS_PAUSE_FACTOR * took_ms)
            await trio.sleep(min(pause_ms, MAX_PASS_PAUSE_MS) / 1000)

    def _execute(self, effects: Iterable[Effect]) -> None:
        starts: list[tuple[StartRun, str]] = []
        for effect in effects:
            if isinstance(effect, LogDecision):
                self._log.info(effect.event, **effect.fields)
            elif isinstance(effect, StartRun):
                worker = self._shard.workers.get(effect.worker_id)
                data_centre = worker.entry.data_centre if worker else ""
                starts.append((effect, data_centre))
            elif isinstance(effect, StopRun):
                self._nursery.start_soon(self._send_stop, effect)
            elif isinstance(effect, PaceRun):
                self._nursery.start_soon(self._send_pace, effect)
        if starts:
            self._start_sender.send(starts, self._nursery)
        if self._shard.has_unsaved:
            self._writer.wake()

    def _start_answered(self, effect: StartRun, result: StartResult) -> None:
        self._metrics.count("run_starts", result=result.kind)
        self._execute(
            self._shard.step(
                StartAnswered(
                    self._clock.now_ms,
                    effect.worker_id,
                    effect.born_ms,
                    effect.name,
                    effect.run_id,
                    result,
                )
            )
        )
        if result.kind != "ok":
            self._pass_requested.set()

    async def _send_stop(self, effect: StopRun) -> None:
        ok = await self._client.stop(effect, self.ownership.epoch)
        self._execute(
            self._shard.step(
                StopAnswered(
                    self._clock.now_ms,
                    effect.worker_id,
                    effect.born_ms,
                    effect.name,
                    effect.run_id,
                    ok,
                )
            )
        )

    async def _send_pace(self, effect: PaceRun) -> None:
        ok = await self._client.pace(effect, self.ownership.epoch)
        self._pacer.handle_response(effect, ok)

    # Admission tickets and removal of old jobs

    async def _advice_loop(self) -> None:
        """Request tickets, one call at a time as the service allows per instance."""
        if self._advice is None:
            return
        tickets = self._shard.tickets
        while True:
            question = tickets.next_request()
            if question is None:
                await trio.sleep(_ADVICE_IDLE_DELAY_S)
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
            tickets.handle_response(step, workers, approved, sent_ms + validity_ms)
            self._pass_requested.set()

    async def _housekeeping_loop(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            unix_ms = self._shard.unix_of(self._clock.now_ms)
            keep_ms = self._retention_ms + RETENTION_MARGIN_MS
            expired = [
                job_id
                for job_id, job in self._shard.jobs.items()
                if job.is_final
                and job.saved_phase is job.progress.phase
                and not job.runs
                and unix_ms - job.progress.finished_ms > keep_ms
            ]
            for job_id in expired:
                await self._remove(job_id)

    async def _remove(self, job_id: str) -> None:
        keys = (
            job_key(self.service, job_id),
            progress_key(self.service, job_id),
            cancel_key(self.service, job_id),
            index_key(job_id),
        )
        outcome = await self._store.write((self.ownership.condition, *map(Write, keys)))
        if isinstance(outcome, Stored):
            self._shard.forget(job_id)
            self._log.info("job_removed", job=job_id)
            return
        self._log.warning("job_not_removed", job=job_id, outcome=repr(outcome))
