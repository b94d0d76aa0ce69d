"""Room on workers that no waiting task has taken."""

from apricotgap.jobs.runs import Run
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["IdleRoom"]


class IdleRoom:
    """Room for second runs, as the last scheduling pass has left it.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    at_ms : int
        Current time.
    """

    def __init__(self, shard: Shard, at_ms: int) -> None:
        self._shard = shard
        self._at_ms = at_ms
        self._free: list[Worker] | None = None
        self._taken: set[str] = set()

    def take(self, run: Run) -> bool:
        """Take room for another run of a task; returns whether there was any.

        At most one run per worker is placed in a check.
        """
        if not self._shard.is_within_team_limit(run.team, run.allocation):
            return False
        for worker in self._workers():
            entry = worker.entry
            if worker.worker_id in self._taken or worker.worker_id == run.worker_id:
                continue
            label = run.step.required_label
            if label and label not in entry.labels:
                continue
            if run.allocation.fits(worker.free):
                self._taken.add(worker.worker_id)
                return True
        return False

    def _workers(self) -> list[Worker]:
        if self._free is None:
            kept = self._shard.kept_workers
            self._free = [
                worker
                for worker in self._shard.accepting_workers(self._at_ms)
                if worker.slow_until_ms <= self._at_ms and worker.worker_id not in kept
            ]
        return self._free
