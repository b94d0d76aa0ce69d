"""State of a run that clients, faults and checks share."""

from dataclasses import dataclass, field

from soak.cluster import Cluster, InstanceProcess
from soak.connections import CallResult
from soak.layout import Layout, Queue
from soak.operator import Operator
from soak.timeline import Timeline
from soak.work import JobPlan, WorkCatalogue

__all__ = ["JobRecord", "JobState", "SoakState"]


@dataclass(frozen=True)
class JobState:
    """An answer to a question for the state of a job; the state is empty for 410."""

    job_id: str
    state: str
    result: CallResult


@dataclass
class JobRecord:
    """A job as its client knows it."""

    job_id: str
    team: int
    queue: Queue
    plan: JobPlan
    accepted_ms: int | None = None
    cancel_sent_ms: int | None = None
    # Submissions without an answer that settles whether the job was accepted.
    n_unknown: int = 0
    n_refused: int = 0
    is_finished: bool = False

    @property
    def is_owed(self) -> bool:
        """Whether the job was accepted and nobody has cancelled it."""
        return self.accepted_ms is not None and self.cancel_sent_ms is None

    @property
    def is_refused(self) -> bool:
        """Whether all submissions were refused."""
        is_open = self.accepted_ms is not None or self.n_unknown > 0
        return self.n_refused > 0 and not is_open


@dataclass
class SoakState:
    """The deployment and what was seen of it so far."""

    layout: Layout
    cluster: Cluster
    operator: Operator
    work: WorkCatalogue
    timeline: Timeline = field(default_factory=Timeline)
    jobs: dict[str, JobRecord] = field(default_factory=dict)
    # Requests that ended without an answer.
    unanswered: list[CallResult] = field(default_factory=list)
    # Answers that an accepted job should not get, judged when the run is over.
    denials: list[JobState] = field(default_factory=list)
    # What a check has seen while the run went on.
    seen: list[str] = field(default_factory=list)
    n_calls: int = 0
    # End of traffic and faults, None before it.
    end_ms: int | None = None

    def must_be_finished(self, at_ms: int) -> bool:
        """Whether jobs that end should have been done by a time."""
        if self.end_ms is None:
            return False
        return at_ms >= self.end_ms + self.layout.bound_ms("finish_s")

    @property
    def instances(self) -> list[InstanceProcess]:
        """Instance processes."""
        instances: list[InstanceProcess] = self.cluster.instances
        return instances

    def owed(self) -> list[JobRecord]:
        """Return the accepted jobs that nobody has cancelled."""
        return [job for job in self.jobs.values() if job.is_owed]
