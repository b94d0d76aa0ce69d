"""What the callers' interface needs of the instance behind it."""

from enum import Enum, auto
from typing import Protocol

from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.model import JobPhase, JobSpec

__all__ = [
    "CancelResult",
    "ConfigurationView",
    "JobService",
    "SubmitResult",
    "UnreadableError",
]


class SubmitResult(Enum):
    """What became of a submission; REFUSED means that it never runs."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CancelResult(Enum):
    """What became of a cancellation."""

    DONE = auto()
    NO_SUCH_JOB = auto()
    UNKNOWN = auto()


class UnreadableError(Exception):
    """Neither an owner nor the store answered."""


class ConfigurationView(Protocol):
    """The configuration as far as this instance knows it."""

    @property
    def config(self) -> Configuration | None:
        """The newest version, None before the first one."""

    def config_age_ms(self) -> int | None:
        """Age of the view, None before the first one."""


class JobService(Protocol):
    """Calls on jobs; `deadline_ms` is on the instance's clock."""

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitResult:
        """Accept a job, or say truly that it never runs."""

    async def phase(
        self, service: str, job_id: str, deadline_ms: int
    ) -> JobPhase | None:
        """State of a job, None for an unknown one; may raise `UnreadableError`."""

    async def cancel(self, service: str, job_id: str, deadline_ms: int) -> CancelResult:
        """Cancel a job."""

    async def n_pending(self, service: str, queue: str, deadline_ms: int) -> int:
        """Jobs of a queue without a start; may raise `UnreadableError`."""
