"""Reads the jobs of a shard from the store, while its owner does not answer."""

from collections import Counter
from collections.abc import Iterator

import structlog

from apricotgap.clock import Clock
from apricotgap.decoding import DecodeError
from apricotgap.instance.keys import (
    decode_service,
    index_key,
    jobs_prefix,
    progress_key,
    progress_prefix,
)
from apricotgap.instance.shared_reads import SharedReads
from apricotgap.jobs.documents import DocumentError, decode_job, decode_progress
from apricotgap.jobs.model import JobPhase
from apricotgap.platform.store import Snapshot, StoreClient, StoreError

__all__ = ["StoredJobs"]

_STORE_TIMEOUT_MS = 700
# Callers accept a count that is 2 s old. Part of that is left for the way back to the
# caller, through another instance if need be.
MAX_COUNT_AGE_MS = 1_800


class StoredJobs:
    """State of jobs as it is stored; all calls may raise `StoreError`.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, store: StoreClient, clock: Clock) -> None:
        self._store = store
        # All jobs of a service are read for a count. A read for each call would fill
        # the link while the owner of the service is slow.
        self._counts = SharedReads(self._count_pending, clock, MAX_COUNT_AGE_MS)
        self._log = structlog.get_logger()

    async def service_of(self, job_id: str) -> str | None:
        """Read the service that a job was accepted for.

        The configuration may have changed the service of its queue since.
        """
        item = await self._store.read_key(index_key(job_id), _STORE_TIMEOUT_MS)
        if item.value is None:
            return None
        try:
            return decode_service(item.value)
        except DecodeError as error:
            self._log.error("service_unreadable", job=job_id, error=str(error))
            raise StoreError("the stored service of the job is unreadable") from error

    async def phase_of(self, service: str, job_id: str) -> JobPhase | None:
        """Read the phase of a job, None for one without stored progress."""
        key = progress_key(service, job_id)
        item = await self._store.read_key(key, _STORE_TIMEOUT_MS)
        if item.value is None:
            return None
        try:
            return decode_progress(job_id, item.value).phase
        except DocumentError as error:
            self._log.error("progress_unreadable", job=job_id, error=str(error))
            raise StoreError("stored progress is unreadable") from error

    async def n_pending(self, service: str, queue: str) -> int:
        """Count the stored jobs of a queue without a started task.

        The count may be as old as callers accept.
        """
        return (await self._counts.get(service))[queue]

    async def _count_pending(self, service: str) -> Counter[str]:
        """Count the stored jobs without a started task by queue."""
        jobs = await self._store.read_prefix(jobs_prefix(service))
        progress = await self._store.read_prefix(progress_prefix(service))
        begun = {
            job_id for job_id, phase in _decode_phases(progress) if phase.has_begun
        }
        n_pending: Counter[str] = Counter()
        for item in jobs.items:
            if item.key.count("/") != 2 or item.value is None:
                continue
            if item.key.rpartition("/")[2] in begun:
                continue
            try:
                n_pending[decode_job(item.value).queue] += 1
            except DocumentError as error:
                self._log.error("job_unreadable", key=item.key, error=str(error))
        return n_pending


def _decode_phases(progress: Snapshot) -> Iterator[tuple[str, JobPhase]]:
    """Yield the id and phase of each job whose progress is readable."""
    for item in progress.items:
        job_id = item.key.rpartition("/")[2]
        try:
            yield job_id, decode_progress(job_id, item.value or b"").phase
        except DocumentError as error:
            log = structlog.get_logger()
            log.error("progress_unreadable", job=job_id, error=str(error))
