"""Submissions of jobs at the owner of their shard."""

from collections.abc import Callable
from dataclasses import asdict
from functools import partial

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.keys import index_key, job_writes, progress_key
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.unresolved_submissions import UnresolvedSubmissions
from apricotgap.jobs.admission import STARTS, Admission, Refusal
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.documents import Progress, encode_job, encode_progress
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.service import SubmitOutcome, SubmitResult
from apricotgap.jobs.service_order import ServiceOrder
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.start_rate import StartRate
from apricotgap.metrics import Metrics
from apricotgap.platform.store import (
    Conflict,
    StoreClient,
    Stored,
    StoreError,
    Unavailable,
    Unknown,
    Write,
)

__all__ = ["Submissions"]

_ACCEPTED = SubmitOutcome(SubmitResult.ACCEPTED)
_RETRY_S = 0.15


class Submissions:
    """Accepts jobs into a shard, or refuses them.

    Parameters
    ----------
    shard, ownership, store, demand, order, clock, metrics
        Dependencies.
    on_accepted : callable
        Called with each job that has been stored and added to the shard.
    start_rate : StartRate, optional
        Rate at which the owner starts tasks while it is short of starts.
    on_refused : callable, optional
        Called with the priority of a job that the owner cannot start in time, and the
        milliseconds after which its caller should come back.
    """

    def __init__(
        self,
        shard: Shard,
        ownership: Ownership,
        store: StoreClient,
        demand: Demand,
        order: ServiceOrder,
        clock: Clock,
        metrics: Metrics,
        on_accepted: Callable[[JobSpec], None],
        start_rate: StartRate | None = None,
        on_refused: Callable[[int, int], None] = lambda priority, retry_after_ms: None,
    ) -> None:
        self._on_refused = on_refused
        self._shard = shard
        self._ownership = ownership
        self._store = store
        self._demand = demand
        self._admission = Admission(shard, demand, order, start_rate)
        self._clock = clock
        self._metrics = metrics
        self._on_accepted = on_accepted
        self._unresolved = UnresolvedSubmissions(clock)
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

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
        return await self._unresolved.run(
            job.job_id, partial(self._submit, job, deadline_ms)
        )

    def record_found(self, job: JobSpec) -> None:
        """Count a job that another instance has stored without the owner.

        It stays accepted. If the owner would have refused it, others are to come back.
        """
        now_ms = self._clock.now_ms
        refusal = self._admission.decide(job, now_ms)
        if refusal is not None:
            self._note_refusal(refusal)
        self._admission.record_accepted(job, now_ms)

    def _note_refusal(self, refusal: Refusal) -> None:
        if refusal.limit == STARTS:
            self._on_refused(refusal.priority, refusal.retry_after_ms)

    async def _submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        if job.job_id in self._shard.jobs:
            return _ACCEPTED
        if self._store.is_down:
            return SubmitOutcome(SubmitResult.REFUSED)
        job = self._admission.keep_place(job)
        refusal = self._admission.decide(job, self._clock.now_ms)
        if refusal is not None:
            return await self._refuse(job, refusal)
        self._admission.record_accepted(job, self._clock.now_ms)
        outcome = await self._store_job(job, deadline_ms)
        if outcome.result is SubmitResult.REFUSED:
            self._admission.record_not_stored(job.job_id)
        return outcome

    async def _refuse(self, job: JobSpec, refusal: Refusal) -> SubmitOutcome:
        """Refuse a job unless an earlier submission of it has been stored."""
        self._note_refusal(refusal)
        try:
            item = await self._store.read_key(index_key(job.job_id))
        except StoreError as error:
            self._log.warning("refusal_unconfirmed", job=job.job_id, reason=str(error))
            return SubmitOutcome(SubmitResult.UNKNOWN)
        if item.value is not None:
            return _ACCEPTED
        self._log.info(
            "job_refused", job=job.job_id, queue=job.queue, **asdict(refusal)
        )
        self._metrics.count(
            "jobs_refused", queue=job.queue, team=job.team, limit=refusal.limit
        )
        return SubmitOutcome(
            SubmitResult.REFUSED, refusal.retry_after_ms, "cannot be served in time"
        )

    async def _store_job(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        writes = [
            self._ownership.condition,
            *job_writes(self._shard.service, job.job_id, encode_job(job)),
        ]
        may_start_at_once = not self._shard.has_waiting_jobs
        if may_start_at_once:
            key = progress_key(self._shard.service, job.job_id)
            writes.append(Write(key, encode_progress(Progress()), expected_revision=0))
        may_be_stored = False
        revision = 0
        while True:
            outcome = await self._store.write(tuple(writes))
            if isinstance(outcome, Stored):
                revision = outcome.revision if may_start_at_once else 0
                break
            if isinstance(outcome, Conflict):
                self._ownership.check(outcome)
                if any(
                    item.value == self._shard.service.encode() for item in outcome.items
                ):
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
        self._demand.record_job(job, self._clock.now_ms)
        self._on_accepted(job)
        return _ACCEPTED
