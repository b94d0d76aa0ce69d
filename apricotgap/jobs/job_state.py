"""In-memory state of a job at the owner of its shard."""

from apricotgap.jobs import crashes
from apricotgap.jobs.documents import Progress, TaskRecord
from apricotgap.jobs.model import JobPhase, JobSpec, StepSpec, TaskName
from apricotgap.jobs.probing import choose_probe
from apricotgap.jobs.runs import Run

__all__ = ["JobState", "StepKey"]

StepKey = tuple[int, int]


class JobState:
    """A job, its progress and its runs.

    Parameters
    ----------
    spec : JobSpec
        Specification of the job.
    progress : Progress
        Stored progress, None when there is none.
    revision : int
        Store revision of the progress, 0 when none is stored.
    is_inherited : bool
        Whether a previous owner may have started its tasks.

    Notes
    -----
    No task of a job starts before its progress is stored for the first time. A job
    without stored progress has therefore not been started by any owner.
    """

    def __init__(
        self,
        spec: JobSpec,
        progress: Progress | None = None,
        revision: int = 0,
        is_inherited: bool = False,
    ) -> None:
        self.spec = spec
        self.progress = progress or Progress()
        # A record of a task that the job does not have would count as one that is done.
        for name in [each for each in self.progress.tasks if not self.step_of(each)]:
            del self.progress.tasks[name]
        self.revision = revision
        self.is_inherited = is_inherited
        self.saved_phase = self.progress.phase
        self._has_begun = self.progress.phase.has_begun
        self.runs: dict[TaskName, list[Run]] = {}
        self.last_run: dict[TaskName, int] = {}
        self.durations_ms: dict[StepKey, list[int]] = {}
        # Greatest age at which a run of a task was stopped as too slow.
        self.restarted_at_age_ms: dict[TaskName, int] = {}
        self.avoided_workers: dict[TaskName, set[str]] = {}
        # Workers on which runs of a task have failed, one for each failure.
        self.failed_on: dict[TaskName, list[str]] = {}
        # The only task that may start, None if all may.
        self.probe = choose_probe(self.progress, self.failed_on)
        # Data centre, rack and worker with which the last step began.
        self.home: tuple[str, str, str] | None = None
        # Numbers of the crashes that were charged to tasks, in all and as stored.
        self.n_crashes = self.n_stored_crashes = 0
        self.waiting: dict[StepKey, set[int]] = {}
        self._n_remaining: dict[StepKey, int] = {}
        self._critical_path_ms: int | None = None
        self.objective_ms = spec.submitted_ms + spec.objective_span_ms
        for occurrence in spec.occurrences:
            for index, step in enumerate(spec.steps):
                key = (occurrence, index)
                done = self._done_indices(key)
                self._n_remaining[key] = step.n_tasks - len(done)
                self.waiting[key] = set(range(step.n_tasks)) - done
        for name, record in self.progress.tasks.items():
            if crashes.is_given_up(record):
                self.give_up(name)

    def _done_indices(self, key: StepKey) -> set[int]:
        return {
            name.number
            for name, record in self.progress.tasks.items()
            if record.done and (name.occurrence, name.step) == key
        }

    @property
    def may_start(self) -> bool:
        """Whether progress is stored, so that the next owner expects running tasks."""
        return self.revision > 0

    @property
    def has_begun(self) -> bool:
        """Whether a worker has started a task; a rejected start does not count."""
        return self._has_begun or any(
            run.has_begun for runs in self.runs.values() for run in runs
        )

    def record_begun(self) -> None:
        """Record that a worker has started a task."""
        self._has_begun = True

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that no more tasks start."""
        return self.progress.phase.is_final

    @property
    def reported_phase(self) -> JobPhase:
        """Phase shown to callers.

        A final phase that is not stored yet is shown as running, since the next owner
        would not know of it.
        """
        if self.is_final and self.saved_phase is not self.progress.phase:
            return JobPhase.RUNNING
        return self.progress.phase

    @property
    def has_unsaved_crash(self) -> bool:
        """Whether crash points are not stored yet."""
        return self.n_crashes > self.n_stored_crashes

    def is_suspect(self, name: TaskName) -> bool:
        """Whether a task may crash the worker that starts it."""
        record = self.progress.tasks.get(name)
        return record is not None and crashes.is_suspect(record)

    def needs_fresh_answer(self, name: TaskName) -> bool:
        """Whether a task may start only on a worker that has answered just now.

        Its earlier starts got no answer before their workers crashed. On a worker that
        is already down the next one would count against the task as well. Members of a
        gang start together, on workers that do not all answer at one time.
        """
        if self.spec.steps[name.step].is_gang:
            return False
        record = self.progress.tasks.get(name)
        return record is not None and record.n_unconfirmed_crashes > 0

    def machines_to_avoid(self, name: TaskName) -> frozenset[str]:
        """Return the digests of the machines that may have crashed under a task."""
        record = self.progress.tasks.get(name)
        return record.machines_to_avoid if record else frozenset()

    def awaits_other_machine(self, name: TaskName) -> bool:
        """Whether a task waits for the trials of machines that it need not avoid.

        Several crashes have come under it. The many that were lost with one machine do
        not wait: their trials would take too long on the others alone.
        """
        if self.spec.steps[name.step].is_gang:
            return False
        record = self.progress.tasks.get(name)
        return record is not None and len(record.crashed_machines) > 1

    def is_given_up(self, name: TaskName) -> bool:
        """Whether a task must not start again since workers crashed under it."""
        record = self.progress.tasks.get(name)
        return record is not None and crashes.is_given_up(record)

    def give_up(self, name: TaskName) -> None:
        """Start a task no more, although it is not done."""
        self.waiting[name.occurrence, name.step].discard(name.number)

    def has_only_given_up(self, key: StepKey) -> bool:
        """Whether all tasks of a step are given up."""
        n_tasks = self.spec.steps[key[1]].n_tasks
        return all(
            self.is_given_up(TaskName(self.spec.job_id, *key, index))
            for index in range(n_tasks)
        )

    def record(self, name: TaskName) -> TaskRecord:
        """Return the record of a task, creating it on first use."""
        return self.progress.tasks.setdefault(name, TaskRecord())

    def step_of(self, name: TaskName) -> StepSpec | None:
        """Return the step of a task, None when the job has no such task."""
        if not 0 <= name.step < len(self.spec.steps):
            return None
        step = self.spec.steps[name.step]
        if name.occurrence not in self.spec.occurrences:
            return None
        return step if 0 <= name.number < step.n_tasks else None

    def n_open_tasks(self, key: StepKey) -> int:
        """Return the number of tasks of a step that are not done."""
        return self._n_remaining[key]

    def is_open(self, key: StepKey, unix_ms: int) -> bool:
        """Whether tasks of a step may start now."""
        occurrence, index = key
        if unix_ms < self.spec.due_ms(occurrence):
            return False
        return all(
            self._n_remaining[occurrence, earlier] == 0
            for earlier in self.spec.steps[index].after
        )

    def open_steps(self, unix_ms: int) -> list[StepKey]:
        """Return the steps with waiting tasks that may start now."""
        return [
            key
            for key, indices in self.waiting.items()
            if indices and self.is_open(key, unix_ms)
        ]

    def add_run(self, run: Run) -> None:
        """Add a run of a task; the task no longer waits."""
        self.runs.setdefault(run.name, []).append(run)
        self.last_run[run.name] = max(self.last_run.get(run.name, 0), run.run_id)
        self.waiting[run.name.occurrence, run.name.step].discard(run.name.number)
        if self.progress.phase is JobPhase.PENDING:
            self.progress.phase = JobPhase.RUNNING

    def remove_run(self, run: Run) -> None:
        """Remove a run; its task waits again if it is to be started once more."""
        self._has_begun = self._has_begun or run.has_begun
        left = [other for other in self.runs.get(run.name, ()) if other is not run]
        if left:
            self.runs[run.name] = left
            return
        self.runs.pop(run.name, None)
        record = self.progress.tasks.get(run.name)
        is_done = record is not None and record.done
        if not is_done and not self.is_given_up(run.name):
            self.waiting[run.name.occurrence, run.name.step].add(run.name.number)

    def record_failure(self, name: TaskName, run_id: int, worker_id: str) -> None:
        """Record that a run of a task has failed."""
        self.record(name).failed_runs.append(run_id)
        self.failed_on.setdefault(name, []).append(worker_id)
        self.probe = choose_probe(self.progress, self.failed_on)

    def startable(self, key: StepKey) -> list[int]:
        """Return the waiting tasks of a step that may start beside the probe.

        The members of a gang start together.
        """
        waiting = sorted(self.waiting[key])
        probe = self.probe
        if probe is None:
            return waiting
        if (probe.occurrence, probe.step) != key:
            return []
        if self.spec.steps[key[1]].is_gang:
            return waiting
        return [number for number in waiting if number == probe.number]

    def mark_done(self, name: TaskName) -> bool:
        """Mark a task as done; returns False when it was done before."""
        record = self.record(name)
        if record.done:
            return False
        record.done = True
        record.checkpoint = ""
        if name == self.probe:
            self.probe = choose_probe(self.progress, self.failed_on)
        key = (name.occurrence, name.step)
        self._n_remaining[key] -= 1
        self._critical_path_ms = None
        self.waiting[key].discard(name.number)
        return True

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done."""
        return not any(self._n_remaining.values())

    def finish(self, phase: JobPhase, unix_ms: int) -> None:
        """Set the final phase of the job."""
        self.progress.phase = phase
        self.progress.finished_ms = unix_ms
        if phase is not JobPhase.SUCCEEDED:
            return
        # Task records are not needed after success.
        self.progress.tasks.clear()

    def is_late(self, unix_ms: int) -> bool:
        """Whether the job can no longer end by its objective."""
        return unix_ms + self.critical_path_ms() > self.objective_ms

    @property
    def first_unfinished_occurrence(self) -> int:
        """Number of the first occurrence with unfinished tasks, 0 if all are done."""
        return min(
            (occurrence for (occurrence, _), n in self._n_remaining.items() if n),
            default=0,
        )

    def remaining_core_ms(self, occurrence: int | None = None) -> float:
        """Return the estimated work left; runs in progress count as half done.

        Parameters
        ----------
        occurrence : int, optional
            Number of the only occurrence to count, by default all count.
        """
        work = 0.0
        for key, n_left in self._n_remaining.items():
            if not n_left or occurrence not in (None, key[0]):
                continue
            step = self.spec.steps[key[1]]
            n_waiting = len(self.waiting[key])
            n_tasks = n_waiting + (n_left - n_waiting) / 2
            work += n_tasks * step.estimated_ms * step.allocation.core_equivalents
        return work

    def critical_path_ms(self) -> int:
        """Return the estimated time of the longest chain of unfinished steps."""
        if self._critical_path_ms is None:
            self._critical_path_ms = self._longest_path_ms()
        return self._critical_path_ms

    def _longest_path_ms(self) -> int:
        longest: list[int] = []
        for index, step in enumerate(self.spec.steps):
            own = 0 if self._n_remaining[0, index] == 0 else step.estimated_ms
            longest.append(
                own + max((longest[earlier] for earlier in step.after), default=0)
            )
        return max(longest)
