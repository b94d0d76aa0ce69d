"""Copies of tasks whose workers have fallen silent."""

from collections.abc import Iterable

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import TaskName
from apricotgap.jobs.runs import Run
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["SilentCopies"]


class SilentCopies:
    """Lets tasks of silent workers start elsewhere before the leases there end.

    Only tasks whose steps allow duplicates. The others may still run, and wait for the
    leases of their workers.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._missing: set[tuple[str, int]] = set()
        # Copies that have not started when last looked at.
        self._requested: set[TaskName] = set()

    def run(self, at_ms: int) -> list[Effect]:
        """Let tasks of silent workers wait for a second start; returns log lines.

        A worker counts as silent when two checks in a row find that it has missed an
        answer: after a pause of the owner, answers that have arrived are not applied.
        """
        before = self._missing
        missing = [
            worker
            for worker in self._shard.workers.values()
            if worker.has_missed_answer(at_ms)
        ]
        self._missing = {(each.worker_id, each.entry.born_ms) for each in missing}
        self._withdraw()
        effects: list[Effect] = []
        for worker in missing:
            if (worker.worker_id, worker.entry.born_ms) in before:
                effects.extend(self._copy_runs(worker, at_ms))
        return effects

    def _copy_runs(self, worker: Worker, at_ms: int) -> Iterable[Effect]:
        if not worker.n_copyable:
            return
        for run in worker.runs.values():
            job = self._shard.open_jobs.get(run.name.job_id)
            if job is None or not run.step.may_be_copied:
                continue
            with self._shard.guard(job):
                if not self._needs_copy(job, run):
                    continue
                self._shard.keep_checkpoint(run)
                job.waiting[run.name.occurrence, run.name.step].add(run.name.number)
                self._requested.add(run.name)
                yield LogDecision(
                    "run_copied",
                    {
                        "task": str(run.name),
                        "worker": worker.worker_id,
                        "reason": "silent_worker",
                        "age_ms": at_ms - run.sent_ms,
                        "percent": run.percent,
                        "silent_ms": at_ms - worker.answered_ms,
                    },
                )

    def _needs_copy(self, job: JobState, run: Run) -> bool:
        name = run.name
        record = job.progress.tasks.get(name)
        if record is not None and record.done:
            return False
        if name.number in job.waiting[name.occurrence, name.step]:
            return False
        # A task that may have crashed its worker must not crash one after the other.
        if job.is_suspect(name) or job.is_given_up(name):
            return False
        runs = job.runs.get(name, ())
        if len(runs) > 1 and not all(each.is_started_up for each in runs):
            return False
        return len(runs) < limits.MAX_RUNS_PER_TASK and self._is_out_of_reach(job, name)

    def _is_out_of_reach(self, job: JobState, name: TaskName) -> bool:
        """Whether all workers with a run of a task have missed an answer."""
        workers = self._shard.workers
        return all(
            (worker.worker_id, worker.entry.born_ms) in self._missing
            for run in job.runs.get(name, ())
            if (worker := workers.get(run.worker_id)) is not None
        )

    def _withdraw(self) -> None:
        """Withdraw copies that have not started when a worker answers again."""
        for name in list(self._requested):
            job = self._shard.open_jobs.get(name.job_id)
            waiting = job.waiting[name.occurrence, name.step] if job else set()
            if job is None or name.number not in waiting or name not in job.runs:
                self._requested.discard(name)
            elif not self._is_out_of_reach(job, name):
                waiting.discard(name.number)
                self._requested.discard(name)
