"""Interface between the callers' HTTP gateway and the instance behind it."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.model import JobPhase, JobSpec

__all__ = [
    "DEFAULT_RETRY_AFTER_MS",
    "CancelResult",
    "ConfigurationView",
    "JobService",
    "SubmitOutcome",
    "SubmitResult",
    "UnreadableError",
]


DEFAULT_RETRY_AFTER_MS = 1_000


class SubmitResult(Enum):
    """Result of a submission; a REFUSED job never runs."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SubmitOutcome:
    """Result of a submission, with when to come back and why for a refused one."""

    result: SubmitResult
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS
    reason: str = ""


class CancelResult(Enum):
    """Result of a cancellation."""

    DONE = auto()
    NO_SUCH_JOB = auto()
    UNKNOWN = auto()


class UnreadableError(Exception):
    """Neither an owner nor the store responded."""


class ConfigurationView(Protocol):
    """The configuration known to this instance."""

    @property
    def config(self) -> Configuration | None:
        """The newest version, None before the first has been read."""

    def config_age_ms(self) -> int | None:
        """Age of the view, None before the first version has been read."""


class JobService(Protocol):
    """Operations on jobs; `deadline_ms` is on the clock of the instance."""

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        """Submit a job; it is REFUSED only if it will never run."""

    async def phase(
        self, service: str, job_id: str, deadline_ms: int
    ) -> JobPhase | None:
        """Phase of a job, None for an unknown one; may raise `UnreadableError`."""

    async def cancel(self, service: str, job_id: str, deadline_ms: int) -> CancelResult:
        """Cancel a job."""

    async def n_pending(self, service: str, queue: str, deadline_ms: int) -> int:
        """Count the jobs of a queue without a start; may raise `UnreadableError`."""
