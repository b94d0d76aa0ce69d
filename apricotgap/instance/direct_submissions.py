"""Submissions written to the store while no owner of their shard answers."""

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import SHARD_OPEN, index_key, job_writes, shard_key
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.service import SubmitResult
from apricotgap.platform.call_timer import transfer_ms
from apricotgap.platform.store import (
    Conflict,
    StoreClient,
    Stored,
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

    async def submit(
        self, job: JobSpec, document: bytes, deadline_ms: int
    ) -> SubmitResult:
        """Write a job; REFUSED guarantees that no write of it can take effect."""
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
