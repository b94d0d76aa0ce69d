"""Loads stored jobs and their progress into a shard.

A job that cannot be loaded is logged and left out. If it ended the owner instead, it
would end each successor too, and none of the shard's jobs would run.
"""

from collections.abc import Callable, Iterable

import structlog

from apricotgap.jobs.documents import (
    DocumentError,
    Progress,
    decode_job,
    decode_progress,
)
from apricotgap.jobs.effects import Effect
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import Item, Snapshot

__all__ = ["add_found_jobs", "cancel_found_jobs", "load_jobs"]

# Slashes in jobs/SERVICE/JOB. A key with more of them, as of a cancellation, is no job.
_N_SLASHES = 2


def load_jobs(shard: Shard, jobs: Snapshot, progress: Snapshot) -> None:
    """Load the jobs that the previous owner left in the store.

    Parameters
    ----------
    shard : Shard
        Shard to load into.
    jobs, progress : Snapshot
        All stored jobs of the service and their progress.
    """
    stored: dict[str, tuple[Progress | None, int]] = {}
    for item in progress.items:
        job_id = item.key.rpartition("/")[2]
        try:
            decoded = decode_progress(job_id, item.value or b"")
        except DocumentError as error:
            log = structlog.get_logger()
            log.error("progress_unreadable", job=job_id, error=str(error))
            decoded = None
        stored[job_id] = (decoded, item.revision)
    for item in jobs.items:
        job = _decode_stored_job(item)
        if job is None:
            continue
        try:
            shard.load(job, *stored.get(job.job_id, (None, 0)))
        except Exception:
            _log_not_loaded(job)


def add_found_jobs(
    shard: Shard,
    items: Iterable[Item],
    on_found: Callable[[JobSpec], None] = lambda job: None,
) -> None:
    """Add the jobs that other instances wrote to the store directly.

    Parameters
    ----------
    shard : Shard
        Shard to add to.
    items : iterable of Item
        New keys below the jobs of its service.
    on_found : callable, optional
        Called with each job before it is added.
    """
    log = structlog.get_logger()
    for item in items:
        job = _decode_stored_job(item)
        if job is None or job.job_id in shard.jobs:
            continue
        _tell(on_found, job)
        try:
            shard.submit(job)
        except Exception:
            _log_not_loaded(job)
            continue
        log.info("job_found", job=job.job_id, shard=job.service)


def _tell(on_found: Callable[[JobSpec], None], job: JobSpec) -> None:
    """Call the listener; the job is added whatever it raises."""
    try:
        on_found(job)
    except Exception:
        log = structlog.get_logger()
        log.exception("found_job_not_judged", job=job.job_id, shard=job.service)


def cancel_found_jobs(shard: Shard, items: Iterable[Item], at_ms: int) -> list[Effect]:
    """Cancel the jobs whose cancellation other instances wrote to the store."""
    effects: list[Effect] = []
    for item in items:
        parts = item.key.split("/")
        if item.value is None or len(parts) != 4 or parts[3] != "cancel":
            continue
        job = shard.jobs.get(parts[2])
        if job is not None:
            with shard.guard(job):
                effects += shard.cancel(parts[2], shard.unix_of(at_ms), at_ms)
    return effects


def _log_not_loaded(job: JobSpec) -> None:
    """Log a job that the running exception keeps out of its shard."""
    log = structlog.get_logger()
    log.exception("job_not_loaded", job=job.job_id, shard=job.service)


def _decode_stored_job(item: Item) -> JobSpec | None:
    """Return the job in an item, None if it holds no job or is unreadable."""
    if item.value is None or item.key.count("/") != _N_SLASHES:
        return None
    try:
        return decode_job(item.value)
    except DocumentError as error:
        log = structlog.get_logger()
        log.error("job_unreadable", key=item.key, error=str(error))
        return None
