"""A backend server with slots, start deadlines and faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.events import TaskRefusal, TaskState
from proof.schedule import Schedule

__all__ = ["FakeWorker", "Run"]

Post = Callable[[Callable[[int], ev.Event]], None]


@dataclass(slots=True)
class Run:
    """One start of a task, as the backend server recorded it."""

    task_id: str
    request_id: str
    team: str
    worker: str
    started_ms: int
    ended_ms: int | None = None
    completed: bool = False


@dataclass(slots=True)
class _Running:
    run: Run
    post: Post
    lease_ms: int
    lease_ends_ms: int


class FakeWorker:
    """A backend server in virtual time.

    Parameters
    ----------
    name : str
        Instance name.
    schedule : Schedule
        Virtual time.
    run_ms : callable
        Returns the run time of a request id in milliseconds.
    runs : list of Run
        Shared record of every start.
    n_slots : int
        Slots.
    clock_offset_ms : int
        Difference between its clock and virtual time.

    Notes
    -----
    Set `down`, `silent`, `fail_all`, `draining`, `extra_link_ms` or `cut_answers`
    to make it fail.
    """

    def __init__(
        self,
        name: str,
        schedule: Schedule,
        run_ms: Callable[[str], float],
        runs: list[Run],
        n_slots: int = 8,
        clock_offset_ms: int = 0,
    ) -> None:
        self.name = name
        self.down = False
        self.silent = False
        self.fail_all = False
        self.draining = False
        self.cut_answers = False
        self.extra_link_ms = 0
        self.speed = 1.0
        self.n_boots = 1
        self.checks_deadline = True
        self.on_start: Callable[[Run], None] = lambda run: None
        self._schedule = schedule
        self._run_ms = run_ms
        self._runs = runs
        self._n_slots = n_slots
        self._clock_offset_ms = clock_offset_ms
        self._running: dict[str, _Running] = {}
        self._known: dict[str, TaskState] = {}

    @property
    def now_ms(self) -> int:
        """The server's own clock."""
        return self._schedule.now_ms + self._clock_offset_ms

    @property
    def n_running(self) -> int:
        """Tasks that run now."""
        return len(self._running)

    def start(self, effect: fx.Dispatch, post: Post, link_ms: float) -> None:
        """Handle a task that arrives."""
        if self.down:
            return self._fail(effect, post, sent=True, after_ms=link_ms)
        if self.silent:
            return self._fail(
                effect, post, sent=True, after_ms=effect.timeout_ms, timed_out=True
            )
        refusal = self._refusal(effect)
        if refusal is not None:
            return self._schedule.after(
                link_ms,
                lambda: post(lambda at: ev.TaskRefused(at, effect.task_id, refusal)),
            )
        return self._run(effect, post, link_ms)

    def report(
        self, instance: str, post: Post, link_ms: float, sent_ms: int | None = None
    ) -> None:
        """Answer a status probe."""
        by_team: dict[str, int] = {}
        for item in self._running.values():
            by_team[item.run.team] = by_team.get(item.run.team, 0) + 1
        now_ms, n_running, draining = self.now_ms, self.n_running, self.draining
        boot_id = f"{self.name}-{self.n_boots}"
        self._schedule.after(
            link_ms,
            lambda: post(
                lambda at: ev.WorkerReported(
                    at,
                    instance,
                    now_ms,
                    self._n_slots,
                    n_running,
                    draining,
                    boot_id,
                    by_team,
                    sent_ms,
                )
            ),
        )

    def probe(self, task_id: str, post: Post, link_ms: float) -> None:
        """Answer what is known of a task."""
        state = self._known.get(task_id, TaskState.UNKNOWN)
        now_ms = self.now_ms
        boot_id = f"{self.name}-{self.n_boots}"
        self._schedule.after(
            link_ms,
            lambda: post(lambda at: ev.TaskProbed(at, task_id, state, now_ms, boot_id)),
        )

    def control(self, effect: fx.Effect) -> bool:
        """Handle a control call; False when the task does not run."""
        task_id: str = effect.task_id  # type: ignore[attr-defined]
        item = self._running.get(task_id)
        if item is None:
            return False
        if isinstance(effect, fx.RenewTask):
            item.lease_ends_ms = self._schedule.now_ms + item.lease_ms
        elif isinstance(effect, fx.CheckpointTask):
            self._end(task_id)
            self._answer(item, lambda at: ev.TaskCheckpointed(at, task_id, True))
        elif isinstance(effect, fx.StopTask):
            self._stop(item, "stopped")
        return True

    def _answer(self, item: _Running, build: Callable[[int], ev.Event]) -> None:
        self._schedule.after(1, lambda: item.post(build))

    def _stop(self, item: _Running, message: str) -> None:
        task_id = item.run.task_id
        self._end(task_id)
        self._answer(item, lambda at: ev.TaskFailed(at, task_id, True, False, message))

    def _check_lease(self, task_id: str) -> None:
        """Stop a task whose lease was not renewed."""
        item = self._running.get(task_id)
        if item is None:
            return
        left_ms = item.lease_ends_ms - self._schedule.now_ms
        if left_ms <= 0:
            self._stop(item, "lease lapsed")
        else:
            self._schedule.after(left_ms, lambda: self._check_lease(task_id))

    def kill(self) -> None:
        """Lose every running task and stay down until `reboot`."""
        self.down = True
        for item in list(self._running.values()):
            self._stop(item, "connection lost")

    def reboot(self) -> None:
        """Start again without memory of earlier tasks."""
        self.kill()
        self._known.clear()
        self.n_boots += 1
        self.down = False
        self.draining = False

    def _refusal(self, effect: fx.Dispatch) -> TaskRefusal | None:
        if effect.task_id in self._known:
            return TaskRefusal.DUPLICATE
        if self.draining:
            return TaskRefusal.LEAVING
        if self.checks_deadline and self.now_ms > effect.server_deadline_ms:
            return TaskRefusal.DEADLINE
        if self.n_running >= self._n_slots:
            return TaskRefusal.FULL
        return None

    def _run(self, effect: fx.Dispatch, post: Post, link_ms: float) -> None:
        now_ms = self._schedule.now_ms
        run = Run(effect.task_id, effect.request_id, effect.team, self.name, now_ms)
        self._runs.append(run)
        run_ms = 1.0 if self.fail_all else self._run_ms(effect.request_id) / self.speed
        self._running[effect.task_id] = _Running(
            run, post, effect.lease_ms, now_ms + effect.lease_ms
        )
        self._schedule.after(effect.lease_ms, lambda: self._check_lease(effect.task_id))
        self._known[effect.task_id] = TaskState.RUNNING
        boot = self.n_boots
        self._schedule.after(
            run_ms, lambda: self._finish(effect.task_id, boot, link_ms)
        )
        self.on_start(run)

    def _finish(self, task_id: str, boot: int, link_ms: float) -> None:
        item = self._running.get(task_id)
        if item is None or boot != self.n_boots:
            return
        run_ms = self._schedule.now_ms - item.run.started_ms
        self._end(task_id)
        if self.silent or self.cut_answers:
            self._schedule.after(
                link_ms,
                lambda: item.post(
                    lambda at: ev.TaskFailed(at, task_id, True, False, "cut short")
                ),
            )
            return
        item.run.completed = True
        status = 500 if self.fail_all else 200
        self._schedule.after(
            link_ms,
            lambda: item.post(
                lambda at: ev.TaskCompleted(at, task_id, status, 10, run_ms)
            ),
        )

    def _end(self, task_id: str) -> None:
        item = self._running.pop(task_id)
        item.run.ended_ms = self._schedule.now_ms
        self._known[task_id] = TaskState.DONE

    def _fail(
        self,
        effect: fx.Dispatch,
        post: Post,
        *,
        sent: bool,
        after_ms: float,
        timed_out: bool = False,
    ) -> None:
        self._schedule.after(
            after_ms,
            lambda: post(
                lambda at: ev.TaskFailed(
                    at, effect.task_id, sent, timed_out, "no answer"
                )
            ),
        )
