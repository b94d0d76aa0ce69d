"""Jobs of a shard: their state, their demand and the saving of their progress."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain

from apricotgap.jobs import limits
from apricotgap.jobs.documents import Progress, encode_progress
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.failed_jobs import FailedJobs, JobGuard
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import JobPhase, JobSpec, Resources
from apricotgap.jobs.workers import Worker

__all__ = ["SaveBatch", "ShardJobs"]


@dataclass(frozen=True, slots=True)
class SaveBatch:
    """Documents to store, as job id, data and revision to write over.

    `last_applied` holds, by worker id and incarnation, the number of the last end that
    the documents include, `n_crashes` by job how many crashes they include.
    """

    documents: tuple[tuple[str, bytes, int], ...]
    phases: dict[str, JobPhase]
    last_applied: dict[tuple[str, int], int]
    n_crashes: dict[str, int]


class ShardJobs:
    """State of the jobs of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, JobState] = {}
        # Jobs that have not ended, a small part: ended ones are kept for much longer.
        self.open_jobs: dict[str, JobState] = {}
        # Those among them that pause after an error, which no loop looks at.
        self._set_aside: dict[str, JobState] = {}
        self._failed = FailedJobs()
        self.team_usage: dict[str, Resources] = {}
        self._dirty: set[str] = set()
        self._pending_first_saves: set[str] = set()
        self._is_saving = False
        self.unix_offset_ms = 0

    def unix_of(self, at_ms: int) -> int:
        """Return the Unix time in ms of a time on the clock of the instance."""
        return at_ms + self.unix_offset_ms

    def load(self, spec: JobSpec, progress: Progress | None, revision: int) -> JobState:
        """Add a job from the store; with stored progress it may have been started."""
        job = JobState(spec, progress, revision, is_inherited=revision > 0)
        self.jobs[spec.job_id] = job
        if not job.is_final:
            self.open_jobs[spec.job_id] = job
        return job

    def submit(self, spec: JobSpec, revision: int = 0) -> JobState:
        """Add a stored job that no owner has started.

        Parameters
        ----------
        spec : JobSpec
            Specification of the job.
        revision : int
            Store revision of its first progress, 0 when none is stored.
        """
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = JobState(spec, None, revision)
            self.jobs[spec.job_id] = self.open_jobs[spec.job_id] = job
        return job

    def describe(self, spec: JobSpec) -> LogDecision:
        """Return the log line for an accepted job."""
        return LogDecision(
            "job_accepted",
            {
                "job": spec.job_id,
                "queue": spec.queue,
                "team": spec.team,
                "priority": spec.priority,
                "n_tasks": [step.n_tasks for step in spec.steps],
                "cpu": [step.resources.cpu for step in spec.steps],
                "estimated_ms": [step.estimated_ms for step in spec.steps],
                "lasts": spec.is_long_running,
            },
        )

    def guard(self, job: JobState) -> JobGuard:
        """Return a context in which an error is that of the job alone."""
        return self._failed.guard(job.spec.job_id)

    def set_failed_aside(self, at_ms: int) -> list[Effect]:
        """Let the jobs with new errors pause, and return their log lines."""
        effects: list[Effect] = []
        for job_id in self._failed.set_aside(at_ms):
            job = self.open_jobs.pop(job_id, None)
            if job is not None:
                self._set_aside[job_id] = job
                effects.append(self._failed.describe(job_id))
        return effects

    def _resume_failed(self, at_ms: int) -> None:
        for job_id in self._failed.take_due(at_ms):
            job = self._set_aside.pop(job_id, None)
            if job is not None and not job.is_final:
                self.open_jobs[job_id] = job

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self._set_aside.pop(job_id, None)
        self._failed.forget(job_id)
        self._pending_first_saves.discard(job_id)
        self._dirty.discard(job_id)

    def n_pending(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has been started."""
        return sum(
            job.spec.queue == queue and not job.has_begun
            for job in chain(self.open_jobs.values(), self._set_aside.values())
        )

    # Progress

    @property
    def has_unsaved(self) -> bool:
        """Whether progress has changed since the last save began."""
        return bool(self._dirty)

    @property
    def is_stored(self) -> bool:
        """Whether all applied ends are stored, so that workers may forget them."""
        return not self._dirty and not self._is_saving

    @property
    def has_urgent_unsaved(self) -> bool:
        """Whether an ended job or a task that is about to start waits for a save."""
        return any(
            job.is_final or not job.may_start or job.has_unsaved_crash
            for job_id in self._dirty
            if (job := self.jobs.get(job_id)) is not None
        )

    @property
    def has_waiting_jobs(self) -> bool:
        """Whether any task waits to start."""
        return any(any(job.waiting.values()) for job in self.open_jobs.values())

    def request_first_save(self, job: JobState) -> None:
        """Include a job that is about to start in the next save.

        Does nothing while MAX_PENDING_FIRST_SAVES others wait for theirs.
        """
        if len(self._pending_first_saves) < limits.MAX_PENDING_FIRST_SAVES:
            self._pending_first_saves.add(job.spec.job_id)
            self._dirty.add(job.spec.job_id)

    def is_first_save_pending(self, job: JobState) -> bool:
        """Whether the first save of a job has been requested and is not complete."""
        return job.spec.job_id in self._pending_first_saves

    @property
    def n_pending_first_saves(self) -> int:
        """Number of jobs whose first progress is being stored."""
        return len(self._pending_first_saves)

    def begin_save(self) -> SaveBatch:
        """Return the documents that changed since the last save."""
        documents = tuple(
            (job_id, encode_progress(job.progress), job.revision)
            for job_id in self._dirty
            if (job := self.jobs.get(job_id)) is not None
        )
        jobs = {job_id: self.jobs[job_id] for job_id, *_ in documents}
        self._dirty.clear()
        self._is_saving = True
        return SaveBatch(
            documents,
            {job_id: job.progress.phase for job_id, job in jobs.items()},
            {
                (worker.worker_id, worker.entry.born_ms): worker.last_applied
                for worker in self.workers.values()
            },
            {job_id: job.n_crashes for job_id, job in jobs.items()},
        )

    def saved(
        self,
        batch: SaveBatch,
        revisions: dict[str, int],
        is_complete: bool | None = None,
    ) -> None:
        """Apply the result of a save; an incomplete one acknowledges no ends.

        Parameters
        ----------
        batch : SaveBatch
            What was to be stored.
        revisions : dict of str to int
            Store revisions of the documents that are stored, by job id.
        is_complete : bool, optional
            Whether no document is left to be stored soon, by default whether all are.
        """
        self._pending_first_saves.difference_update(revisions)
        for job_id, revision in revisions.items():
            job = self.jobs.get(job_id)
            if job is not None:
                job.revision = revision
                job.saved_phase = batch.phases[job_id]
                job.n_stored_crashes = batch.n_crashes[job_id]
        self._is_saving = False
        if is_complete is None:
            is_complete = len(revisions) == len(batch.documents)
        if not is_complete:
            return
        for (worker_id, born_ms), last_applied in batch.last_applied.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.entry.born_ms == born_ms:
                worker.acknowledged = max(worker.acknowledged, last_applied)

    def save_failed(self, job_ids: Iterable[str]) -> None:
        """Include these jobs in the next save."""
        self._dirty.update(job_ids)
