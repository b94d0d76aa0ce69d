"""Simulated workers: runs that progress, stop, save checkpoints and resume."""

from dataclasses import dataclass, field

from apricotgap.jobs.events import EndReport, RunReport
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import RunEnd, TaskName

__all__ = ["RunKey", "SimulatedWorker"]

RunKey = tuple[TaskName, int]

# Time that a run takes to resume from a checkpoint.
RESUME_MS = 350


@dataclass(slots=True)
class _SimulatedRun:
    """A run; `done_ms` of its `duration_ms` were done before it started here."""

    started_ms: int
    duration_ms: int | None
    done_ms: int

    def progress_ms(self, at_ms: int) -> int:
        return self.done_ms + max(0, at_ms - self.started_ms)

    def percent(self, at_ms: int) -> float:
        if not self.duration_ms:
            return 100.0
        return min(100.0, 100 * self.progress_ms(at_ms) / self.duration_ms)


@dataclass(slots=True)
class SimulatedWorker:
    """A worker, the runs that it lists and the ends that are not acknowledged."""

    entry: WorkerEntry
    n_ends: int = 0
    unacknowledged: list[EndReport] = field(default_factory=list)
    runs: dict[RunKey, _SimulatedRun] = field(default_factory=dict)
    stopping: dict[RunKey, _SimulatedRun] = field(default_factory=dict)

    def start(
        self, key: RunKey, duration_ms: int | None, checkpoint: str, at_ms: int
    ) -> int | None:
        """Add a run; returns the time until its end, None for a long-running one."""
        done_ms = int(checkpoint or 0)
        delay_ms = RESUME_MS if done_ms else 0
        self.runs[key] = _SimulatedRun(at_ms + delay_ms, duration_ms, done_ms)
        if duration_ms is None:
            return None
        return delay_ms + max(1, duration_ms - done_ms)

    def begin_stop(self, key: RunKey) -> bool:
        """Take a run off the list until its end; returns whether there was one."""
        run = self.runs.pop(key, None)
        if run is None:
            return False
        self.stopping[key] = run
        return True

    def end(self, key: RunKey, how: RunEnd, saves: bool, at_ms: int) -> bool:
        """List the end of a run; returns whether it was there to end."""
        is_stop = how is RunEnd.STOPPED
        run = (self.stopping if is_stop else self.runs).pop(key, None)
        if run is None:
            return False
        self.n_ends += 1
        saved = str(run.progress_ms(at_ms)) if is_stop and saves else ""
        self.unacknowledged.append(EndReport(self.n_ends, *key, how, saved))
        return True

    def listed(self, at_ms: int) -> tuple[RunReport, ...]:
        """Return the runs as the worker reports them."""
        return tuple(
            RunReport(*key, "", run.percent(at_ms), 0.0)
            for key, run in self.runs.items()
        )
