"""Crashes of a shard's workers and the tasks that they are charged to."""

from collections.abc import Collection, Iterable

from apricotgap.jobs import limits
from apricotgap.jobs.crashes import LostRuns, LostTask, is_given_up, lost_tasks
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import JobPhase, TaskName
from apricotgap.jobs.runs import Run
from apricotgap.jobs.shard_runs import ShardRuns
from apricotgap.jobs.workers import Worker

__all__ = ["ShardCrashes"]

# Most tasks that a log line names.
_MAX_LOGGED_TASKS = 8


class ShardCrashes(ShardRuns):
    """State of the crashes of one service's workers.

    A worker crashed when another incarnation takes its place that nobody asked for.
    That it is silent until its lease ends proves nothing: it may be out of reach.

    Parameters
    ----------
    service, epoch, stop_ms
        As for `ShardRuns`.
    """

    def __init__(self, service: str, epoch: int, stop_ms: int) -> None:
        super().__init__(service, epoch, stop_ms)
        self._lost_runs: dict[str, LostRuns] = {}

    def _mark_lost(
        self, worker: Worker, at_ms: int, why: str, survivors: Collection[Run] = ()
    ) -> Iterable[Effect]:
        """Drop the runs of a worker; the survivors are only taken off it."""
        yield self._describe_loss(worker, at_ms, why, len(survivors))
        for run in survivors:
            worker.remove(run)
        for run in list(worker.runs.values()):
            self.keep_checkpoint(run)
            self._drop_run(run)
        worker.is_acquired = False
        worker.is_unverified = False

    @staticmethod
    def _describe_loss(
        worker: Worker, at_ms: int, why: str, n_kept: int
    ) -> LogDecision:
        """Return the log line for a lost worker, with its most recent runs."""
        runs = sorted(worker.runs.values(), key=lambda run: -run.sent_ms)
        recent = runs[:_MAX_LOGGED_TASKS]
        return LogDecision(
            "worker_lost",
            {
                "worker": worker.worker_id,
                "why": why,
                "n_runs": len(runs),
                "n_starting": sum(not run.is_started_up for run in runs),
                "n_kept": n_kept,
                "n_unconfirmed": sum(not run.has_begun for run in runs),
                "tasks": [str(run.name) for run in recent],
                "runs": [run.run_id for run in recent],
                "sent_before_ms": [at_ms - run.sent_ms for run in recent],
                "silent_ms": at_ms - worker.answered_ms,
                "may_be_cut_off": worker.may_have_run_on(at_ms),
            },
        )

    def _mark_crashed(
        self, worker: Worker, at_ms: int, why: str, survivors: Collection[Run] = ()
    ) -> Iterable[Effect]:
        """Drop the runs of a worker whose incarnation has ended.

        It crashed, unless it had announced that it leaves. The survivors may be runs of
        the next incarnation and are only taken off this one.
        """
        began_later = {
            run.name for run in worker.runs.values() if run.is_in_next_incarnation
        }
        tasks = tuple(
            lost for lost in lost_tasks(worker, at_ms) if lost.name not in began_later
        )
        silent = self._lost_runs.pop(_key(worker.entry), None)
        if silent is not None and silent.born_ms == worker.entry.born_ms:
            tasks += silent.tasks
        for run in survivors:
            run.is_charged = run.is_charged or not run.has_begun
        yield from self._mark_lost(worker, at_ms, why, survivors)
        if not worker.entry.is_draining:
            yield from self._charge_crash(worker.worker_id, tasks, at_ms)

    def _mark_silent(self, worker: Worker, at_ms: int) -> Iterable[Effect]:
        """Drop the runs of a worker whose lease has ended."""
        tasks = lost_tasks(worker, at_ms)
        if tasks and not worker.entry.is_draining:
            entry = worker.entry
            self._lost_runs[_key(entry)] = LostRuns(
                entry.worker_id, entry.machine, entry.born_ms, at_ms, tasks
            )
        return self._mark_lost(worker, at_ms, "lease ended")

    def _mark_ordered_away(self, worker: Worker, at_ms: int) -> Iterable[Effect]:
        """Drop the runs of a worker whose machine was moved or taken down."""
        self._lost_runs.pop(_key(worker.entry), None)
        return self._mark_lost(worker, at_ms, "machine moved or taken down")

    def _found_alive(self, worker: Worker) -> None:
        """Forget the lost runs of a worker that was only silent."""
        lost = self._lost_runs.get(_key(worker.entry))
        if lost is not None and lost.born_ms == worker.entry.born_ms:
            del self._lost_runs[_key(worker.entry)]

    def _found_successor(self, entry: WorkerEntry, at_ms: int) -> Iterable[Effect]:
        """Charge the crash of a silent worker whose place another one has taken."""
        lost = self._lost_runs.get(_key(entry))
        if lost is not None and lost.born_ms < entry.born_ms:
            del self._lost_runs[_key(entry)]
            yield from self._charge_crash(lost.worker_id, lost.tasks, at_ms)

    def _forget_old_losses(self, at_ms: int) -> None:
        for key, lost in list(self._lost_runs.items()):
            if at_ms - lost.lost_ms > limits.LOST_RUNS_MS:
                del self._lost_runs[key]

    def _charge_crash(
        self, worker_id: str, tasks: tuple[LostTask, ...], at_ms: int
    ) -> Iterable[Effect]:
        """Add the points of a crash to its tasks and give up those with too many."""
        charged = []
        for lost in tasks:
            job = self.jobs.get(lost.name.job_id)
            if job is None or job.is_final:
                continue
            record = job.record(lost.name)
            if record.done:
                continue
            lost.charge(record)
            job.n_crashes += 1
            self._dirty.add(job.spec.job_id)
            charged.append(
                (str(lost.name), record.crash_points, record.n_unconfirmed_crashes)
            )
            if is_given_up(record):
                yield LogDecision(
                    "task_given_up",
                    {
                        "task": str(lost.name),
                        "worker": worker_id,
                        "crash_points": record.crash_points,
                        "n_unconfirmed": record.n_unconfirmed_crashes,
                        "machines": list(record.crashed_machines),
                    },
                )
                yield from self._give_up(job, lost.name, at_ms)
        if charged:
            charged.sort(key=lambda row: -row[1] - row[2])
            logged = charged[:_MAX_LOGGED_TASKS]
            yield LogDecision(
                "crash_charged",
                {
                    "worker": worker_id,
                    "n_tasks": len(charged),
                    "tasks": [name for name, _, _ in logged],
                    "crash_points": [points for _, points, _ in logged],
                    "n_unconfirmed": [n for _, _, n in logged],
                },
            )

    def _clear_unconfirmed(self, name: TaskName) -> None:
        """Forget crashes after unanswered starts of a task that has now started up."""
        job = self.jobs.get(name.job_id)
        record = job.progress.tasks.get(name) if job is not None else None
        if record is not None and record.n_unconfirmed_crashes:
            record.n_unconfirmed_crashes = 0
            self._dirty.add(name.job_id)

    def _give_up(self, job: JobState, name: TaskName, at_ms: int) -> Iterable[Effect]:
        """Fail the job of a task, or leave a long-running job without the task.

        The other tasks of a long-running job serve on: to end them would interrupt more
        of it than its callers allow.
        """
        job.give_up(name)
        step = job.spec.steps[name.step]
        is_service = step.is_long_running and not step.is_gang
        if is_service and not job.has_only_given_up((name.occurrence, name.step)):
            return
        yield from self._finish(job, JobPhase.FAILED, self.unix_of(at_ms), at_ms)


def _key(entry: WorkerEntry) -> str:
    """Return what all incarnations of a worker have in common."""
    return entry.machine or entry.worker_id
