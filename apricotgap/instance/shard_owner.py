"""The owner of a shard: loads it, runs its loops and stores its progress."""

import time
from collections.abc import Iterable

import cbor2
import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.directory import Directory
from apricotgap.instance.election import Tenure
from apricotgap.instance.keys import (
    cancel_key,
    index_key,
    job_key,
    job_writes,
    jobs_prefix,
    limit_key,
    progress_key,
    progress_prefix,
    roster_key,
)
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.metrics import Metrics
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.documents import (
    DocumentError,
    Progress,
    decode_job,
    decode_progress,
    decode_split,
    encode_job,
    encode_split,
)
from apricotgap.jobs.effects import Effect, LogDecision, PaceRun, StartRun, StopRun
from apricotgap.jobs.events import (
    HoldAnswered,
    HoldFailed,
    StartAnswered,
    StopAnswered,
    WorkersListed,
)
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.fleet_plan import PoolReport, WorkerReport
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.limits import (
    HOLD_WAIT_MS,
    LEASE_MARGIN_MS,
    RETENTION_MARGIN_MS,
    SILENT_WORKER_MS,
)
from apricotgap.jobs.model import NO_RESOURCES, JobPhase, JobSpec, Resources
from apricotgap.jobs.pacing import Pacer
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.shard import SaveBatch, Shard
from apricotgap.jobs.stragglers import StragglerWatch
from apricotgap.jobs.team_limits import LimitChange
from apricotgap.jobs.workers import Worker
from apricotgap.platform.settings import PlatformSettings
from apricotgap.platform.store import (
    MAX_TXN_ENTRIES,
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
    FencedError,
    OtherLifeError,
    WorkerClient,
    WorkerError,
)

__all__ = ["OwnershipLostError", "ShardOwner", "SubmitOutcome"]

SubmitOutcome = str

_TICK_S = 0.1
_RETRY_S = 0.15
# A worker that has been silent for a while is asked less often.
_SILENT_RETRY_S = 0.4
# Ends are stored, and with that acknowledged, at the latest after this time.
SAVE_INTERVAL_S = 0.15
# A job that became final is stored after this time, to group what ends together.
FINAL_SAVE_DELAY_S = 0.02
# Changes that another instance wrote directly are read this often.
JOB_WATCH_WAIT_MS = 4_000
JOB_WATCH_PAUSE_MS = 1_000
HOUSEKEEPING_S = 5.0
# Splits of teams' limits are looked at this often, at once when a task is blocked.
_LIMITS_S = 0.5
_LIMITS_GAP_S = 0.05
_LIMIT_ATTEMPTS = 4
# Between two looks at a worker whose ends are not stored yet.
HOLD_GAP_S = 0.1


class OwnershipLostError(Exception):
    """Another instance owns the shard."""


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
        self._retention_ms = settings.bounds.status_retention_ms
        self._wake = trio.Event()
        self._dirty = trio.Event()
        self._saved = trio.Event()
        self._blocked = trio.Event()
        self._holding: set[tuple[str, int, str]] = set()
        self._recorded: set[str] = set()
        self._log = structlog.get_logger().bind(shard=tenure.shard, epoch=tenure.epoch)

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
            nursery.start_soon(self._save_loop)
            nursery.start_soon(self._tick_loop)
            nursery.start_soon(self._housekeeping_loop)
            nursery.start_soon(self._limits_loop)
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
        self._load_roster(roster)
        self._load_jobs(jobs, progress)
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

    def _load_roster(self, roster: Snapshot) -> None:
        now_ms = self._clock.now_ms
        for item in roster.items:
            if item.key != roster_key(self.service) or item.value is None:
                continue
            try:
                rows = cbor2.loads(item.value)
            except ValueError as error:
                self._log.error("roster_unreadable", error=str(error))
                continue
            for worker_id, address, machine, labels, born_ms, total in rows:
                entry = WorkerEntry(
                    worker_id,
                    self.service,
                    address,
                    "",
                    machine,
                    False,
                    Resources(*total),
                    tuple(labels),
                    born_ms,
                )
                self.core.expect(entry, now_ms)
                self.core.workers[worker_id].is_recorded = True
                self._recorded.add(worker_id)

    def _load_jobs(self, jobs: Snapshot, progress: Snapshot) -> None:
        stored: dict[str, tuple[Progress, int]] = {}
        for item in progress.items:
            job_id = item.key.rpartition("/")[2]
            try:
                found = decode_progress(job_id, item.value or b"")
            except DocumentError as error:
                self._log.error("progress_unreadable", job=job_id, error=str(error))
                continue
            stored[job_id] = (found, item.revision)
        for item in jobs.items:
            job = self._decode(item)
            if job is not None:
                known = stored.get(job.job_id, (None, 0))
                self.core.load(job, *known)

    def _decode(self, item: Item) -> JobSpec | None:
        if item.value is None or item.key.count("/") != 2:
            return None
        try:
            return decode_job(item.value)
        except DocumentError as error:
            self._log.error("job_unreadable", key=item.key, error=str(error))
            return None

    def _jobs_changed(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.value is None:
                continue
            parts = item.key.split("/")
            if len(parts) == 4 and parts[3] == "cancel":
                self._cancel(parts[2])
            elif len(parts) == 3 and parts[2] not in self.core.jobs:
                job = self._decode(item)
                if job is not None:
                    self._log.info("job_found", job=job.job_id)
                    self.core.submit(job)
        self._wake.set()

    @property
    def _lease_until_ms(self) -> int:
        return self._lease.until_ms_of(self.tenure.lease_id)

    # Calls of the gateway

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        """Store a job and take it.

        Parameters
        ----------
        job : JobSpec
            The job.
        deadline_ms : int
            When to give up, on the instance's clock.

        Returns
        -------
        str
            ``accepted``, ``refused`` (it is not stored) or ``unknown``.
        """
        if job.job_id in self.core.jobs:
            return "accepted"
        if self._store.is_down:
            return "refused"
        writes = job_writes(self.service, job.job_id, encode_job(job))
        may_be_stored = False
        while True:
            outcome = await self._store.write((self.tenure.condition, *writes))
            if isinstance(outcome, Stored):
                break
            if isinstance(outcome, Conflict):
                self._check_ownership(outcome)
                if any(item.value == self.service.encode() for item in outcome.items):
                    break
                # The id belongs to a job of a service that the queue used before.
                return "accepted"
            if isinstance(outcome, Unknown):
                may_be_stored = True
            if self._clock.now_ms > deadline_ms:
                return "unknown" if may_be_stored else "refused"
            if isinstance(outcome, Unavailable) and not may_be_stored:
                return "refused"
            await trio.sleep(_RETRY_S)
        self.core.submit(job)
        self._run([self.core.describe(job)])
        self._demand.note_job(job, self._clock.now_ms)
        self._wake.set()
        return "accepted"

    def _check_ownership(self, conflict: Conflict) -> None:
        owner = self.tenure.condition
        revision = conflict.revision_of(owner.key)
        if revision != owner.expected_revision:
            raise OwnershipLostError(f"owner revision {revision}")

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
                await self._saved.wait()
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
            for job in self.core.jobs.values()
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
                    len(worker.runs),
                    sum(run.step.lasts for run in worker.runs.values()),
                    worker.is_usable(now_ms, self.core.evacuated),
                    worker.is_reserved(now_ms),
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
                self._run(self.core.migrate(now_ms))
            self._run(self._pacer.run(now_ms))
            self._run(self._stragglers.run(now_ms))
            self._start_holds()
            await self._record_workers()
            self._wake.set()
            await trio.sleep(_TICK_S)

    def _take_configuration(self) -> None:
        config = self._directory.config
        self.core.evacuated = self._directory.evacuated
        if config is None or config is self.core.config:
            return
        self.core.config = config
        self.core.team_limits.set_configuration(config)
        self._blocked.set()

    async def _limits_loop(self) -> None:
        """Move teams' limits to where their work is."""
        while True:
            with trio.move_on_after(_LIMITS_S):
                await self._blocked.wait()
            self._blocked = trio.Event()
            now_ms = self._clock.now_ms
            if self._lease_until_ms < now_ms or self._store.is_down:
                await trio.sleep(_RETRY_S)
                continue
            demand = self.core.team_demand(now_ms)
            for change in self.core.team_limits.changes(demand, now_ms):
                await self._write_limit(change)
            self._wake.set()
            # Owners that compete for the same limit must not do so in a busy loop.
            await trio.sleep(_LIMITS_GAP_S)

    async def _write_limit(self, change: LimitChange) -> None:
        limits = self.core.team_limits
        for _ in range(_LIMIT_ATTEMPTS):
            key = limit_key(change.team)
            outcome = await self._store.write(
                (
                    self.tenure.condition,
                    Write(
                        key,
                        encode_split(change.split),
                        expected_revision=change.revision,
                    ),
                )
            )
            if isinstance(outcome, Stored):
                limits.note_written(change, outcome.revision)
                return
            if not isinstance(outcome, Conflict):
                self._log.warning(
                    "limit_not_stored", team=change.team, outcome=repr(outcome)
                )
                return
            self._check_ownership(outcome)
            self._note_split(change.team, outcome)
            now_ms = self._clock.now_ms
            demand = self.core.team_demand(now_ms)
            again = limits.changes(
                {change.team: demand.get(change.team, NO_RESOURCES)}, now_ms
            )
            found = [other for other in again if other.team == change.team]
            if not found:
                return
            change = found[0]

    def _note_split(self, team: str, conflict: Conflict) -> None:
        key = limit_key(team)
        for item in conflict.items:
            if item.key != key or item.value is None:
                continue
            try:
                split = decode_split(item.value)
            except DocumentError as error:
                self._log.error("limit_unreadable", team=team, error=str(error))
                split = {}
            self.core.team_limits.note_split(team, split, item.revision)

    async def _record_workers(self) -> None:
        """Write down new workers before anything starts on them."""
        present = {worker.worker_id: worker for worker in self.core.workers.values()}
        if present.keys() == self._recorded and all(
            worker.is_recorded for worker in present.values()
        ):
            return
        rows = [
            [
                worker.worker_id,
                worker.entry.address,
                worker.entry.machine,
                list(worker.entry.labels),
                worker.entry.born_ms,
                [worker.total.cpu, worker.total.memory_mb, worker.total.gpus],
            ]
            for worker in present.values()
        ]
        outcome = await self._store.write(
            (
                self.tenure.condition,
                Write(roster_key(self.service), cbor2.dumps(rows)),
            )
        )
        if isinstance(outcome, Conflict):
            self._check_ownership(outcome)
        if not isinstance(outcome, Stored):
            self._log.warning("roster_not_stored", outcome=repr(outcome))
            return
        self._recorded = set(present)
        for worker in present.values():
            worker.is_recorded = True

    def _start_holds(self) -> None:
        for worker in self.core.workers.values():
            entry = worker.entry
            key = (entry.worker_id, entry.born_ms, entry.address)
            if key not in self._holding:
                self._holding.add(key)
                self._nursery.start_soon(self._hold_loop, key)

    async def _hold_loop(self, key: tuple[str, int, str]) -> None:
        worker_id, born_ms, address = key
        try:
            while True:
                worker = self.core.workers.get(worker_id)
                if worker is None or worker.entry.born_ms != born_ms:
                    return
                if worker.entry.address != address:
                    return
                await self._hold(worker)
        finally:
            self._holding.discard(key)

    async def _hold(self, worker: Worker) -> None:
        entry = worker.entry
        sent_ms = self._clock.now_ms
        deadline_ms = self.core.hold_sent(worker, sent_ms, self._lease_until_ms)
        wait_ms = HOLD_WAIT_MS if worker.is_taken and worker.clock_at_ms else 0
        try:
            answer = await self._client.hold(
                entry.address,
                entry.worker_id,
                self.tenure.epoch,
                worker.acknowledged,
                deadline_ms,
                wait_ms,
            )
        except FencedError as error:
            self._log.warning("fenced", worker=entry.worker_id, reason=str(error))
            raise OwnershipLostError("a worker has a newer owner") from error
        except WorkerError as error:
            self._hold_failed(worker, error)
            silent_ms = self._clock.now_ms - worker.answered_ms
            is_gone = worker.is_taken and silent_ms > SILENT_WORKER_MS
            await trio.sleep(_SILENT_RETRY_S if is_gone else _RETRY_S)
            return
        had_ends = worker.seen
        self._run(
            self.core.step(
                HoldAnswered(
                    self._clock.now_ms,
                    entry.worker_id,
                    answer.born_ms,
                    sent_ms,
                    answer.clock_ms,
                    answer.running,
                    answer.ends,
                )
            )
        )
        if worker.seen != had_ends:
            self._wake.set()
        if worker.seen > worker.acknowledged:
            if self.core.is_stored:
                worker.acknowledged = worker.seen
            await trio.sleep(HOLD_GAP_S)

    def _hold_failed(self, worker: Worker, error: WorkerError) -> None:
        entry = worker.entry
        silent_ms = self._clock.now_ms - worker.answered_ms
        if worker.is_taken and silent_ms < 2 * HOLD_WAIT_MS:
            self._log.warning(
                "hold_failed",
                worker=entry.worker_id,
                reason=str(error),
                silent_ms=silent_ms,
                lease_left_ms=worker.lease_until_ms - self._clock.now_ms,
            )
        self._run(
            self.core.step(
                HoldFailed(
                    self._clock.now_ms,
                    entry.worker_id,
                    entry.born_ms,
                    str(error),
                    is_other_life=isinstance(error, OtherLifeError),
                    was_sent=error.sent,
                )
            )
        )
        self._wake.set()

    async def _schedule_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            self._run(self._scheduler.run(self._clock.now_ms, self._lease_until_ms))
            if self._scheduler.is_team_blocked:
                self._blocked.set()

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
            self._dirty.set()

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

    async def _save_loop(self) -> None:
        while True:
            await self._dirty.wait()
            self._dirty = trio.Event()
            if not self.core.has_unsaved:
                continue
            if self.core.has_unsaved_final:
                await trio.sleep(FINAL_SAVE_DELAY_S)
            else:
                with trio.move_on_after(SAVE_INTERVAL_S):
                    while not self.core.has_unsaved_final:
                        await self._dirty.wait()
                        self._dirty = trio.Event()
            batch = self.core.begin_save()
            if not await self._save(batch):
                self._dirty.set()
                await trio.sleep(_RETRY_S)

    async def _save(self, batch: SaveBatch) -> bool:
        revisions: dict[str, int] = {}
        # A document takes two entries, the condition on the owner one.
        step = (MAX_TXN_ENTRIES - 1) // 2
        for start in range(0, len(batch.documents), step):
            part = batch.documents[start : start + step]
            outcome = await self._store.write(
                (
                    self.tenure.condition,
                    *(
                        Write(
                            progress_key(self.service, job_id),
                            data,
                            expected_revision=revision,
                        )
                        for job_id, data, revision in part
                    ),
                )
            )
            if isinstance(outcome, Stored):
                revisions.update((job_id, outcome.revision) for job_id, *_ in part)
                continue
            self._log.warning("progress_not_stored", outcome=repr(outcome)[:200])
            if isinstance(outcome, Conflict):
                self._check_ownership(outcome)
                self._adopt_revisions(outcome.items)
            elif isinstance(outcome, Unknown):
                await self._reread(job_id for job_id, *_ in part)
        missing = [job for job, *_ in batch.documents if job not in revisions]
        self.core.save_failed(missing)
        self.core.saved(batch, revisions)
        self._saved.set()
        self._saved = trio.Event()
        return not missing

    async def _reread(self, job_ids: Iterable[str]) -> None:
        """Learn the revisions of documents whose write has an unknown outcome."""
        for job_id in job_ids:
            key = progress_key(self.service, job_id)
            try:
                item = await self._store.read_key(key)
            except StoreError as error:
                self._log.warning("reread_failed", job=job_id, reason=str(error))
                return
            self._adopt_revisions((item,))

    def _adopt_revisions(self, items: Iterable[Item]) -> None:
        for item in items:
            job: JobState | None = self.core.jobs.get(item.key.rpartition("/")[2])
            if job is not None and item.key.startswith("progress/"):
                job.revision = item.revision

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
