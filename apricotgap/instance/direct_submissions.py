"""Submissions written to the store while no owner of their shard answers."""

import structlog

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import (
    SHARD_OPEN,
    Refusal,
    index_key,
    job_writes,
    shard_key,
)
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.service import SubmitOutcome, SubmitResult
from apricotgap.platform.call_timer import transfer_ms
from apricotgap.platform.store import (
    Conflict,
    StoreClient,
    Stored,
    StoreError,
    Unavailable,
    Unknown,
    Write,
)

__all__ = ["DirectSubmissions"]

_STORE_TIMEOUT_MS = 700


class DirectSubmissions:
    """Accepts jobs without an owner; the next owner loads them.

    Parameters
    ----------
    cluster_view, store, clock
        Dependencies.
    """

    def __init__(
        self, cluster_view: ClusterView, store: StoreClient, clock: Clock
    ) -> None:
        self._cluster_view = cluster_view
        self._store = store
        self._clock = clock
        self._log = structlog.get_logger()

    async def submit(
        self, job: JobSpec, document: bytes, deadline_ms: int
    ) -> SubmitOutcome:
        """Write a job; REFUSED guarantees that no write of it can take effect.

        Nothing is written while the owner is known to refuse jobs.
        """
        refusal = self._cluster_view.refusal(job.service)
        if refusal is not None and _is_refused(job, refusal):
            return await self._refuse(job, refusal.retry_after_ms)
        return SubmitOutcome(await self._write(job, document, deadline_ms))

    async def _refuse(self, job: JobSpec, retry_after_ms: int) -> SubmitOutcome:
        """Refuse a job unless an earlier submission of it has been stored."""
        try:
            item = await self._store.read_key(index_key(job.job_id), _STORE_TIMEOUT_MS)
        except StoreError:
            return SubmitOutcome(SubmitResult.UNKNOWN)
        if item.value is not None:
            return SubmitOutcome(SubmitResult.ACCEPTED)
        self._log.info(
            "job_refused",
            job=job.job_id,
            queue=job.queue,
            retry_after_ms=retry_after_ms,
            limit="owner",
        )
        return SubmitOutcome(
            SubmitResult.REFUSED, retry_after_ms, "the owner refuses jobs"
        )

    async def _write(
        self, job: JobSpec, document: bytes, deadline_ms: int
    ) -> SubmitResult:
        writes = job_writes(job.service, job.job_id, document)
        mark = self._shard_mark(job.service)
        timeout_ms = _STORE_TIMEOUT_MS + transfer_ms(len(document))
        result = SubmitResult.REFUSED
        while not self._store.is_down:
            left_ms = deadline_ms - self._clock.now_ms
            if left_ms <= 0:
                break
            written = await self._store.write((*writes, mark), min(left_ms, timeout_ms))
            if isinstance(written, Stored):
                return SubmitResult.ACCEPTED
            if isinstance(written, Conflict):
                is_known = written.revision_of(index_key(job.job_id)) > 0
                if is_known or not mark.check_only:
                    return SubmitResult.ACCEPTED
                mark = Write(shard_key(job.service), SHARD_OPEN)
            if isinstance(written, Unknown):
                result = SubmitResult.UNKNOWN
            if isinstance(written, Unavailable):
                break
        return result

    def _shard_mark(self, service: str) -> Write:
        """Return the entry that keeps the shard of a service for its job.

        A check is enough while the shard is open: before its owner closes it, it
        changes the key and looks for jobs. Each change is sent to all instances.
        """
        item = self._cluster_view.shard_item(service)
        if item is None or item.value != SHARD_OPEN:
            return Write(shard_key(service), SHARD_OPEN)
        return Write(item.key, expected_revision=item.revision, check_only=True)


def _is_refused(job: JobSpec, refusal: Refusal) -> bool:
    """Whether the owner refuses a job; long-running and scheduled ones may wait."""
    if job.is_long_running or job.n_occurrences:
        return False
    return job.priority >= refusal.from_priority
