"""Stand-in of a worker that runs tasks under a lease."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from standins.gangs import GangRuns
from standins.serving import Exchange, Listener, now_ms

__all__ = ["StartedRun", "TaskWorker", "Work"]


class Work(Protocol):
    """What the tasks of each job need, as workers know it without being told."""

    def duration_ms(self, task: str) -> float:
        """Return how long a task works, infinity for a long-running one."""

    def cpu(self, task: str) -> int:
        """Return what a task takes in thousandths of a core."""


@dataclass
class StartedRun:
    """A run that the worker has begun; `done_ms` is its work up to `at_ms`.

    `n_members` is the number of tasks of its gang, 0 for a single task.
    """

    task: str
    run_id: int
    started_ms: int
    end: str = ""
    checkpoint: str = ""
    percent: int = 100
    done_ms: float = 0.0
    at_ms: int = 0
    n_members: int = 0

    @property
    def represented(self) -> list[str]:
        """Tasks that are done when this run is."""
        step = self.task.rpartition(".")[0]
        members = [f"{step}.{number}" for number in range(self.n_members)]
        return members or [self.task]


@dataclass
class TaskWorker:
    """A worker whose tasks all take `task_ms`, or as long as `work` says.

    With `work` a start that does not fit is refused. The tasks of a worker that
    `is_failing` fail at once. `checkpoint_ms` is the work between two checkpoints, 0
    for none. With `accepts_ticket` a start needs a ticket for which that says yes. The
    start of a task for which `is_deadly` says yes crashes the worker by `crash`.
    Workers that share `gangs` run the members of a gang together.
    """

    worker_id: str
    cpu: int = 8_000
    task_ms: int = 100
    born_ms: int = 1
    starts: list[StartedRun] = field(default_factory=list)
    is_unanswering: bool = False
    checkpoint_ms: int = 0
    accepts_ticket: Callable[[str, str, str], bool] | None = None
    is_deadly: Callable[[str], bool] | None = None
    crash: Callable[[], None] | None = None
    work: Work | None = None
    zone: str = "a"
    rack: str = ""
    machine: str = ""
    state: str = "ready"
    is_failing: bool = False
    gangs: GangRuns = field(default_factory=lambda: GangRuns(lambda task: 0))

    def __post_init__(self) -> None:
        self._running: dict[str, StartedRun] = {}
        self._ends: list[list[Any]] = []
        self._highest: dict[str, int] = {}
        self._token = 0
        self._until_ms = 0
        self._n_ends = 0
        # Number of the last end that was sent to an instance.
        self._n_listed = 0
        self._ended = trio.Event()
        self.listener = Listener(self._serve)

    @property
    def running(self) -> tuple[StartedRun, ...]:
        """Runs that are at work."""
        return tuple(self._running.values())

    @property
    def free_cpu(self) -> int:
        """What is left of `cpu`; without `work` nothing is taken from it."""
        if self.work is None:
            return self.cpu
        return self.cpu - sum(self.work.cpu(task) for task in self._running)

    def entry(self, service: str) -> dict[str, Any]:
        """Return what the worker says of itself in the store."""
        return {
            "service": service,
            "address": self.listener.address,
            "zone": self.zone,
            "state": self.state,
            "machine": self.machine or f"m-{self.worker_id}",
            "freeCapacity": {"cpu": self.cpu, "memMb": 32_000, "gpus": 0},
            "labels": ["k", self.rack or f"r-{self.worker_id}"],
            "born": self.born_ms,
            "sequence": 1,
        }

    def encoded(self, service: str) -> bytes:
        """Return the entry as it is stored."""
        return json.dumps(self.entry(service)).encode()

    def restart(self, worker_id: str, is_crash: bool = False) -> None:
        """Begin a new life that runs and knows nothing.

        The old one was ended by an order or left, unless it `is_crash`.

        Ends that nobody has acknowledged are gone with the old one. An instance may
        have stored those that were sent to it, so they still count.
        """
        for run in self._running.values():
            run.end = "crashed" if is_crash else "killed"
        unacknowledged = {
            (task, run_id): number for number, task, run_id, *_ in self._ends
        }
        for run in self.starts:
            number = unacknowledged.get((run.task, run.run_id))
            if number is not None and run.end == "done":
                run.end = "listed" if number <= self._n_listed else "lost"
        self.worker_id = worker_id
        self.state = "ready"
        self.born_ms += 1
        self._running.clear()
        self._ends.clear()
        self._highest.clear()
        self._token = self._until_ms = self._n_ends = self._n_listed = 0
        self._ended.set()
        self._ended = trio.Event()

    async def run_tasks(self) -> None:
        """End tasks as their time comes, and all when the lease ends."""
        while True:
            await trio.sleep(0.01)
            for run in list(self._running.values()):
                self._work(run)
                if now_ms() > self._until_ms:
                    self._end(run, "lapsed")
                elif how := self.gangs.end_of(run, now_ms()):
                    self._end(run, how)
                elif self.is_failing:
                    self._end(run, "failed")
                elif run.done_ms >= self._duration_ms(run.task):
                    self._end(run, "done")

    def _duration_ms(self, task: str) -> float:
        return self.work.duration_ms(task) if self.work else self.task_ms

    def _work(self, run: StartedRun) -> None:
        if self.gangs.is_complete(run):
            run.done_ms += (now_ms() - run.at_ms) * run.percent / 100
        run.at_ms = now_ms()
        if self.checkpoint_ms:
            n_saved = int(run.done_ms // self.checkpoint_ms)
            run.checkpoint = str(n_saved * self.checkpoint_ms) if n_saved else ""

    def _end(self, run: StartedRun, how: str) -> None:
        del self._running[run.task]
        run.end = how
        self._n_ends += 1
        saved = run.checkpoint if how != "done" else ""
        self._ends.append([self._n_ends, run.task, run.run_id, how, saved])
        self._ended.set()
        self._ended = trio.Event()

    async def _serve(self, exchange: Exchange) -> None:
        if self.is_unanswering:
            await exchange.until_disconnected()
            return
        if exchange.header("X-Apricotgap-Target-Instance") != self.worker_id:
            await exchange.answer_json(421, {})
            return
        body = exchange.json()
        token = body.get("fencingToken", 0)
        if token < self._token:
            await self._refuse(exchange, "fence")
            return
        self._token = token
        if exchange.path == "/v1/run-start":
            await self._start(exchange, body)
        elif exchange.path == "/v1/run-stop":
            await self._stop(exchange, body)
        elif exchange.path == "/v1/pace":
            await self._pace(exchange, body)
        else:
            await self._hold(exchange, body)

    async def _refuse(self, exchange: Exchange, reason: str) -> None:
        await exchange.answer_json(409, {"clockMs": now_ms(), "reason": reason})

    async def _start(self, exchange: Exchange, body: dict[str, Any]) -> None:
        task, run_id = body["task"], body["runId"]
        if body["deadlineMs"] <= now_ms():
            await self._refuse(exchange, "late")
            return
        self._until_ms = max(self._until_ms, body["deadlineMs"])
        if run_id <= self._highest.get(task, 0):
            await self._refuse(exchange, "old")
            return
        if self.work and self.work.cpu(task) > self.free_cpu:
            await self._refuse(exchange, "room")
            return
        step, ticket = task.rpartition(".")[0], body.get("ticket", "")
        if self.accepts_ticket and not self.accepts_ticket(
            step, self.worker_id, ticket
        ):
            await self._refuse(exchange, "ticket")
            return
        self._highest[task] = run_id
        saved = body.get("checkpoint", "")
        done_ms = float(saved or 0)
        run = StartedRun(task, run_id, now_ms(), "", saved, 100, done_ms, now_ms())
        run.n_members = self.gangs.n_members(task)
        self.gangs.add(run)
        self.starts.append(run)
        self._running[task] = run
        await exchange.answer_json(200, {"clockMs": now_ms()})
        if self.is_deadly and self.crash and self.is_deadly(task):
            self.crash()

    async def _pace(self, exchange: Exchange, body: dict[str, Any]) -> None:
        run = self._running.get(body["task"])
        if run is not None and run.run_id == body["runId"]:
            self._work(run)
            run.percent = body["percent"]
        await exchange.answer_json(200, {"clockMs": now_ms()})

    async def _stop(self, exchange: Exchange, body: dict[str, Any]) -> None:
        run = self._running.get(body["task"])
        self._highest[body["task"]] = max(
            self._highest.get(body["task"], 0), body["runId"]
        )
        if run is not None and run.run_id == body["runId"]:
            self._end(run, "stopped")
        await exchange.answer_json(200, {"clockMs": now_ms()})

    async def _hold(self, exchange: Exchange, body: dict[str, Any]) -> None:
        self._until_ms = max(self._until_ms, body.get("deadlineMs", 0))
        self._ends = [row for row in self._ends if row[0] > body["lastSeen"]]
        if not self._ends:
            with trio.move_on_after(body.get("waitMs", 0) / 1000):
                await self._ended.wait()
        if self.is_unanswering:
            await exchange.until_disconnected()
            return
        running = [
            [run.task, run.run_id, run.checkpoint, run.percent, 0.5]
            for run in self._running.values()
        ]
        self._n_listed = self._n_ends
        await exchange.answer_json(
            200,
            {
                "clockMs": now_ms(),
                "born": self.born_ms,
                "running": running,
                "finished": self._ends,
            },
        )
