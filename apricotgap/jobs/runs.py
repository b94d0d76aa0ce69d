"""Runs of tasks under way."""

from dataclasses import dataclass
from enum import Enum, auto

from apricotgap.jobs.model import Resources, StepSpec, TaskName

__all__ = ["Run", "RunPhase"]


class RunPhase(Enum):
    """What is known of a run.

    UNCONFIRMED: the start got no answer, so the run may exist.
    """

    STARTING = auto()
    UNCONFIRMED = auto()
    RUNNING = auto()
    STOPPING = auto()


@dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    `visible_from_ms` is the moment from which on a worker's list that lacks the run
    proves that it does not exist, `is_stopped` tells that the worker took a stop.
    Times are milliseconds of the instance's clock.
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
    pace: int = 100
    started_ms: int = 0
    stop_sent_ms: int = -1_000_000
    is_stopped: bool = False

    @property
    def allocation(self) -> Resources:
        """What the run takes of the worker's capacity."""
        return self.step.allocation
