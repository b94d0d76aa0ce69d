"""Workers that are kept free for a gang, which needs room for all members at once."""

from collections.abc import Iterable

from apricotgap.jobs.job_state import JobState, StepKey
from apricotgap.jobs.model import NO_RESOURCES, StepSpec
from apricotgap.jobs.workers import Worker

__all__ = ["GangRoom", "n_places"]

# A gang without room waits this long while single tasks take what becomes free, then as
# long with workers kept for it, and so on: tasks there may be long. All gangs that wait
# share these periods, or together they could keep the workers all the time.
KEEP_MS = 2_000


class GangRoom:
    """Chooses the workers that later jobs leave to a gang that has waited.

    Without them, in a full pool single tasks take each place that becomes free.
    """

    def __init__(self) -> None:
        self._since_ms: dict[tuple[str, StepKey], int] = {}
        self._periods_begin_ms = 0

    def forget_others(self, open_jobs: Iterable[str]) -> None:
        """Forget the gangs of jobs that have ended."""
        known = set(open_jobs)
        self._since_ms = {
            gang: since_ms
            for gang, since_ms in self._since_ms.items()
            if gang[0] in known
        }

    def started(self, job: JobState, key: StepKey) -> None:
        """Forget a gang that has started."""
        self._since_ms.pop((job.spec.job_id, key), None)

    def choose(
        self, job: JobState, key: StepKey, workers: Iterable[Worker], at_ms: int
    ) -> set[str]:
        """Return the workers to keep now for a gang that has no room, if any."""
        step = job.spec.steps[key[1]]
        if not self._since_ms:
            self._periods_begin_ms = at_ms
        since_ms = self._since_ms.setdefault((job.spec.job_id, key), at_ms)
        if at_ms - since_ms < KEEP_MS:
            return set()
        if (at_ms - self._periods_begin_ms) % (2 * KEEP_MS) < KEEP_MS:
            return set()
        kept: set[str] = set()
        n_kept = 0
        suited = [worker for worker in workers if _may_run(worker, step)]
        for worker in sorted(suited, key=_n_ending):
            n_here = n_places(worker, step)
            if n_here:
                kept.add(worker.worker_id)
                n_kept += n_here
            if n_kept >= step.n_tasks:
                return kept
        return set()


def _may_run(worker: Worker, step: StepSpec) -> bool:
    if worker.suspect_since_ms is not None:
        return False
    return not step.required_label or step.required_label in worker.entry.labels


def _n_ending(worker: Worker) -> int:
    return len(worker.runs) - worker.n_long_running


def n_places(worker: Worker, step: StepSpec) -> int:
    """Return how many members fit once the tasks that end have ended."""
    long_running = NO_RESOURCES
    for run in worker.runs.values():
        if run.step.is_long_running:
            long_running = long_running + run.allocation
    most = step.max_per_worker or step.n_tasks
    return step.allocation.n_fitting(worker.total - long_running, most)
