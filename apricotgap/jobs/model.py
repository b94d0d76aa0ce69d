"""Jobs, steps, task names and resources."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

__all__ = [
    "NO_RESOURCES",
    "JobPhase",
    "JobSpec",
    "Resources",
    "RunEnd",
    "StepSpec",
    "TaskName",
]

_MAX_INDEX_DIGITS = 9
# Names of other writers are quoted in messages up to this length.
_MAX_QUOTED = 80


@dataclass(frozen=True, slots=True)
class Resources:
    """CPU in thousandths of a core, memory in MB, number of accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def times(self, number: int) -> "Resources":
        """Return the resources of as many equal parts."""
        return Resources(self.cpu * number, self.memory_mb * number, self.gpus * number)

    def n_fitting(self, capacity: "Resources", most: int) -> int:
        """Return how many parts of this size fit into `capacity`, `most` at most."""
        kinds = (
            (capacity.cpu, self.cpu),
            (capacity.memory_mb, self.memory_mb),
            (capacity.gpus, self.gpus),
        )
        return min((most, *(max(0, there) // size for there, size in kinds if size)))

    def fits(self, capacity: "Resources") -> bool:
        """Whether no kind of resource exceeds `capacity`."""
        return (
            self.cpu <= capacity.cpu
            and self.memory_mb <= capacity.memory_mb
            and self.gpus <= capacity.gpus
        )

    def elementwise_max(self, other: "Resources") -> "Resources":
        """Return the larger value for each kind of resource."""
        return Resources(
            max(self.cpu, other.cpu),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def elementwise_min(self, other: "Resources") -> "Resources":
        """Return the smaller value for each kind of resource."""
        return Resources(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.gpus, other.gpus),
        )

    @property
    def core_equivalents(self) -> float:
        """Number of cores, with an accelerator counted as eight."""
        return self.cpu / 1000 + 8 * self.gpus


NO_RESOURCES = Resources()


class TaskName(NamedTuple):
    """Name of a task; `occurrence` is 0 for a job that runs once."""

    job_id: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> "TaskName":
        """Parse the dotted form of a task name.

        Raises
        ------
        ValueError
            The text is not a task name.
        """
        job_id, *numbers = text.split(".")
        if len(numbers) != 3 or not all(map(_is_index, numbers)):
            raise ValueError(f"not a task name: {text[:_MAX_QUOTED]!r}")
        return cls(job_id, *map(int, numbers))


def _is_index(text: str) -> bool:
    # Digits of other scripts are digits too, for str.isdigit.
    return text.isascii() and text.isdigit() and len(text) <= _MAX_INDEX_DIGITS


class JobPhase(Enum):
    """Phase of a job as shown to callers."""

    PENDING = "pending"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def has_begun(self) -> bool:
        """Whether a task of the job has started."""
        return self is not JobPhase.PENDING

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self not in (JobPhase.PENDING, JobPhase.RUNNING)


class RunEnd(Enum):
    """How a run of a task ended.

    LAPSED: the lease of the worker expired. BROKEN: another member of the gang ended.
    ALONE: not all members of the gang started.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job: `n_tasks` identical tasks.

    `after` holds the indices of steps that must be done first, `data_rack` the rack
    where the tasks run fastest. `max_per_worker` is 0 for no limit; `max_unavailable`
    is how many tasks of a long-running step the system may interrupt at the same time.
    The tasks of a best-effort step use only CPU time that other tasks leave idle.
    """

    n_tasks: int
    resources: Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    allows_duplicates: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: int = 0
    is_best_effort: bool = False
    max_unavailable: int = 0

    @property
    def may_be_copied(self) -> bool:
        """Whether a second run may start beside one that is late or out of reach."""
        return self.allows_duplicates and not (self.is_long_running or self.is_gang)

    @property
    def allocation(self) -> Resources:
        """Resources of a worker that a task reserves; no CPU for best-effort tasks."""
        if self.is_best_effort:
            return Resources(0, self.resources.memory_mb, self.resources.gpus)
        return self.resources


@dataclass(frozen=True, slots=True)
class JobSpec:
    """An accepted job; immutable.

    `content` is opaque and passed to the workers unchanged. `submitted_ms` and
    `start_ms` are Unix times in ms. `n_occurrences` is 0 for a job that runs once,
    without a start time.
    """

    job_id: str
    queue: str
    service: str
    team: str
    content: str
    steps: tuple[StepSpec, ...]
    submitted_ms: int
    max_attempts: int = 3
    priority: int = 0
    slack_factor: float = 2.0
    target_latency_ms: int = 1000
    n_occurrences: int = 0
    start_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> range:
        """Numbers of the occurrences."""
        return range(max(1, self.n_occurrences))

    @property
    def is_long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.is_long_running for step in self.steps)

    @property
    def critical_path_ms(self) -> int:
        """Estimated time of the longest chain of steps."""
        longest: list[int] = []
        for step in self.steps:
            before = max((longest[earlier] for earlier in step.after), default=0)
            longest.append(before + step.estimated_ms)
        return max(longest)

    @property
    def objective_span_ms(self) -> int:
        """Time from the submission within which the job should succeed."""
        return int(self.slack_factor * self.critical_path_ms) + self.target_latency_ms

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time in ms before which an occurrence must not start."""
        if not self.n_occurrences:
            return 0
        return self.start_ms + occurrence * self.interval_ms
