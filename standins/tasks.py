"""Tasks of a stand-in backend server: leases, progress and records."""

import math
from collections import Counter
from dataclasses import dataclass
from typing import Any

import trio

from standins.serving import now_ms

__all__ = ["THROTTLED_SPEED", "Task", "TaskTable"]

THROTTLED_SPEED = 0.5


@dataclass(slots=True)
class Task:
    """A task that started.

    Parameters
    ----------
    task_id : str
        Unique for each attempt.
    team : str
        Team of the request.
    priority : str
        Priority class.
    digest : str
        Hex SHA-256 of the request body.
    run_ms : float
        Remaining run time at full speed.
    lease_ms : int
        Task lease; 0 for none.
    started_ms : int
        Process time of the start.
    lease_until_ms : float
        End of the lease in process time.
    speed : float
        Share of full speed.
    outcome : str
        ``running``, ``completed``, ``failed``, ``lease_lapsed``, ``stopped``,
        ``checkpointed`` or ``killed``.
    ended_ms : int or None
        Process time of the end.
    """

    task_id: str
    team: str
    priority: str
    digest: str
    run_ms: float
    lease_ms: int
    started_ms: int
    lease_until_ms: float
    changed: trio.Event
    boot_id: str
    speed: float = 1.0
    outcome: str = "running"
    ended_ms: int | None = None

    @property
    def running(self) -> bool:
        """Whether the task holds a slot."""
        return self.outcome == "running"

    def record(self) -> dict[str, Any]:
        """Return the record of start and end as JSON."""
        return {
            "task_id": self.task_id,
            "request_digest": self.digest,
            "team": self.team,
            "priority": self.priority,
            "boot_id": self.boot_id,
            "started_ms": self.started_ms,
            "ended_ms": self.ended_ms,
            "outcome": self.outcome,
        }

    def end(self, outcome: str) -> None:
        """End the task once; later calls have no effect."""
        if not self.running:
            return
        self.outcome = outcome
        self.ended_ms = now_ms()
        self._wake()

    def renew(self, lease_ms: int) -> None:
        """Extend the lease from now."""
        self.lease_until_ms = now_ms() + lease_ms
        self._wake()

    def throttle(self, speed: float) -> None:
        """Set the speed as a share of full speed."""
        if not 0 < speed <= 1:
            raise ValueError("speed must lie above 0 and not above 1")
        self.speed = speed
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def run(self) -> None:
        """Let the run time pass; ends the task when its lease lapses."""
        last_ms = trio.current_time() * 1000
        while self.running:
            wait_ms = min(self.run_ms / self.speed, self.lease_until_ms - last_ms)
            speed = self.speed
            with trio.move_on_after(max(0.0, wait_ms) / 1000):
                await self.changed.wait()
            now = trio.current_time() * 1000
            self.run_ms -= (now - last_ms) * speed
            last_ms = now
            if self.run_ms <= 0.01:
                self.end("completed")
            elif now >= self.lease_until_ms:
                self.end("lease_lapsed")


class TaskTable:
    """All tasks of one instance; records survive its reboots."""

    def __init__(self) -> None:
        self._known: dict[str, Task] = {}
        self._running: dict[str, Task] = {}
        self._records: list[Task] = []

    @property
    def n_running(self) -> int:
        """Tasks that hold a slot."""
        return len(self._running)

    def n_running_by_team(self) -> dict[str, int]:
        """Count running tasks by team."""
        return dict(Counter(task.team for task in self._running.values()))

    def end(self, task: Task, outcome: str) -> None:
        """End a task and free its slot."""
        task.end(outcome)
        self._running.pop(task.task_id, None)

    async def run(self, task: Task) -> None:
        """Run a task to its end and free its slot."""
        await task.run()
        if self._running.get(task.task_id) is task:
            del self._running[task.task_id]

    def get(self, task_id: str) -> Task | None:
        """Task known since the last boot."""
        return self._known.get(task_id)

    def start(
        self,
        task_id: str,
        digest: str,
        run_ms: float,
        lease_ms: int,
        boot_id: str,
        *,
        team: str = "",
        priority: str = "",
    ) -> Task:
        """Start a task."""
        now = now_ms()
        task = Task(
            task_id,
            team,
            priority,
            digest,
            run_ms,
            lease_ms,
            now,
            now + lease_ms if lease_ms else math.inf,
            trio.Event(),
            boot_id,
        )
        self._known[task_id] = self._running[task_id] = task
        self._records.append(task)
        return task

    def records(self) -> list[dict[str, Any]]:
        """Return records of all tasks since the process started."""
        return [task.record() for task in self._records]

    def forget_all(self) -> None:
        """End all tasks and forget them, as a reboot does."""
        for task in list(self._running.values()):
            self.end(task, "killed")
        self._known.clear()
