"""Jobs whose state or scheduling has raised an error.

A defect that one job brings to light must not end the owner of its shard: each
successor would end by the same job, and none of the shard's jobs would run.
"""

from dataclasses import dataclass
from pathlib import PurePath
from traceback import extract_tb
from types import TracebackType

from apricotgap.jobs.effects import LogDecision

__all__ = ["FIRST_RETRY_MS", "MAX_RETRY_MS", "FailedJobs", "JobGuard"]

# The pause after an error doubles with each further one of the job. The cause may lie
# in something that passes, so that no job is given up.
FIRST_RETRY_MS = 1_000
MAX_RETRY_MS = 60_000
_MAX_ERROR_CHARS = 200


@dataclass(slots=True)
class _Failure:
    n_errors: int = 0
    retry_ms: int | None = None
    error: str = ""
    place: str = ""


class FailedJobs:
    """Counts the errors of jobs and says when each may be tried again."""

    def __init__(self) -> None:
        self._failures: dict[str, _Failure] = {}
        self._new: set[str] = set()

    def guard(self, job_id: str) -> "JobGuard":
        """Return a context manager that records errors in place of raising them."""
        return JobGuard(self, job_id)

    def record(
        self, job_id: str, error: Exception, trace: TracebackType | None
    ) -> None:
        """Record an error that was raised while a job was handled."""
        failure = self._failures.setdefault(job_id, _Failure())
        failure.error = repr(error)[:_MAX_ERROR_CHARS]
        frame = extract_tb(trace)[-1]
        failure.place = f"{PurePath(frame.filename).name}:{frame.lineno}"
        self._new.add(job_id)

    def set_aside(self, at_ms: int) -> list[str]:
        """Let the jobs with new errors pause, and return those that did not yet."""
        job_ids = [
            job_id
            for job_id in sorted(self._new)
            if self._failures[job_id].retry_ms is None
        ]
        self._new.clear()
        for job_id in job_ids:
            failure = self._failures[job_id]
            pause_ms = min(FIRST_RETRY_MS << failure.n_errors, MAX_RETRY_MS)
            failure.n_errors += 1
            failure.retry_ms = at_ms + pause_ms
        return job_ids

    def take_due(self, at_ms: int) -> list[str]:
        """Return the jobs whose pause has ended; they pause no more."""
        due = [
            job_id
            for job_id, failure in self._failures.items()
            if failure.retry_ms is not None and failure.retry_ms <= at_ms
        ]
        for job_id in due:
            self._failures[job_id].retry_ms = None
        return due

    def describe(self, job_id: str) -> LogDecision:
        """Return the log line for a job that is set aside."""
        failure = self._failures[job_id]
        return LogDecision(
            "job_set_aside",
            {
                "job": job_id,
                "error": failure.error,
                "place": failure.place,
                "n_errors": failure.n_errors,
            },
            is_error=True,
        )

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self._failures.pop(job_id, None)
        self._new.discard(job_id)


class JobGuard:
    """Context in which errors are recorded as those of one job.

    Parameters
    ----------
    failed : FailedJobs
        Gets the errors.
    job_id : str
        Job that is handled in this context.
    """

    __slots__ = ("_failed", "_job_id")

    def __init__(self, failed: FailedJobs, job_id: str) -> None:
        self._failed = failed
        self._job_id = job_id

    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        self._failed.record(self._job_id, error, trace)
        return True
