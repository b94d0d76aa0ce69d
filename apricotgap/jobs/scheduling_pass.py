"""State of one scheduling pass."""

from collections.abc import Collection
from dataclasses import dataclass, field

from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.job_state import StepKey
from apricotgap.jobs.model import Resources, TaskName
from apricotgap.jobs.workers import Worker

__all__ = ["SchedulingPass"]


@dataclass(slots=True)
class SchedulingPass:
    """State of one scheduling pass: candidate workers and the starts decided."""

    at_ms: int
    unix_ms: int
    workers: list[Worker]
    effects: list[Effect]
    max_starts: int
    n_starts: int = 0
    has_kept_workers: bool = False
    log_lines: dict[tuple[str, StepKey], LogDecision] = field(default_factory=dict)
    too_large: dict[str, list[Resources]] = field(default_factory=dict)

    @property
    def is_full(self) -> bool:
        """Whether the pass may start nothing more."""
        return self.n_starts >= self.max_starts

    def is_too_large(self, label: str, allocation: Resources) -> bool:
        """Whether an allocation of this size or smaller has failed in this pass.

        Free capacity only shrinks during a pass, so another search would fail too.
        """
        return any(other.fits(allocation) for other in self.too_large.get(label, ()))

    def exclude(self, worker_ids: Collection[str]) -> None:
        """Start nothing more on these workers in this pass."""
        self.workers = [
            worker for worker in self.workers if worker.worker_id not in worker_ids
        ]

    def log_start(self, name: TaskName, run_id: int, worker: Worker) -> None:
        """Add a start to the log line of its step: one line for each step and pass."""
        key = (name.job_id, (name.occurrence, name.step))
        line = self.log_lines.get(key)
        if line is None:
            line = self.log_lines[key] = LogDecision(
                "runs_started",
                {
                    "task": f"{name.job_id}.{name.occurrence}.{name.step}",
                    "numbers": [],
                    "runs": [],
                    "workers": [],
                    "free_cpu": [],
                    "answer_age_ms": 0,
                },
            )
        fields = line.fields
        fields["numbers"].append(name.number)
        fields["runs"].append(run_id)
        fields["workers"].append(worker.worker_id)
        fields["free_cpu"].append(worker.free.cpu)
        age_ms = self.at_ms - worker.answered_ms
        fields["answer_age_ms"] = max(fields["answer_age_ms"], age_ms)
