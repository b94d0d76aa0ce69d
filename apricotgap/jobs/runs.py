"""Active runs of tasks."""

from dataclasses import dataclass, field
from enum import Enum, auto

from apricotgap.jobs.model import Resources, StepSpec, TaskName
from apricotgap.jobs.run_progress import RunProgress

__all__ = ["FULL_PACE", "Run", "RunPhase"]

# Pace of a run as it starts, in percent.
FULL_PACE = 100


class RunPhase(Enum):
    """Phase of a run as far as the owner knows.

    UNCONFIRMED: the start got no response, so the run may exist.
    """

    STARTING = auto()
    UNCONFIRMED = auto()
    RUNNING = auto()
    STOPPING = auto()


@dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    A list of the worker requested after `visible_from_ms` that lacks the run proves
    that the run does not exist. `is_stopped` is set once the worker has accepted a stop
    or no longer lists a run that is to stop, `has_begun` once it has confirmed the
    start or listed the run, and `is_started_up` once a list shows that the run got over
    its start. A run on trial is one of a task that may have crashed a worker. Times are
    on the clock of the instance.

    `clock_ms` is a lower bound of the worker's clock at the time of the start. A start
    that is confirmed at an earlier time of that clock reached the next incarnation of
    the worker: then `is_in_next_incarnation` is set until a list shows the run.
    `is_unlisted` is set once a list that would show the run lacks it, but lacks ends
    too: the run has ended or never began, and does not begin any more.
    `is_charged` is set once a crash was charged to an unconfirmed start that is kept
    for the next incarnation: one start causes one crash at most.

    `measured_from` is a time and the percentage that the run had then, from which its
    speed is derived; a run that resumes from a checkpoint does not begin at 0.
    `is_partial` means that the time since its start is not that of a whole run: it
    resumed from a checkpoint, or an earlier owner started it.

    `pace` is the share of its work that the run was ordered to do, in percent, None if
    an earlier owner may have changed it.
    """

    name: TaskName
    run_id: int
    worker_id: str
    step: StepSpec
    team: str
    phase: RunPhase
    sent_ms: int
    visible_from_ms: int
    percent: float = 0.0
    last_progress_ms: int = 0
    usage: float = 0.0
    checkpoint: str = ""
    pace: int | None = FULL_PACE
    started_ms: int = 0
    stop_sent_ms: int = -1_000_000
    is_stopped: bool = False
    has_begun: bool = False
    is_started_up: bool = False
    is_on_trial: bool = False
    clock_ms: int = 0
    is_in_next_incarnation: bool = False
    is_unlisted: bool = False
    is_charged: bool = False
    measured_from: tuple[int, float] | None = None
    is_partial: bool = field(init=False)
    progress: RunProgress = field(default_factory=RunProgress)

    def __post_init__(self) -> None:
        self.is_partial = bool(self.checkpoint)

    @property
    def allocation(self) -> Resources:
        """Resources of the worker that the run reserves."""
        return self.step.allocation

    @property
    def may_be_in_next_incarnation(self) -> bool:
        """Whether the start may have reached the next incarnation of its worker."""
        return self.is_in_next_incarnation or not (self.has_begun or self.is_unlisted)
