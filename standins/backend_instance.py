"""One stand-in backend server instance."""

import hashlib
import json
import os
import secrets
from dataclasses import dataclass
from typing import Any

import trio

from standins.faults import Faults
from standins.serving import Exchange, Lagged, Listener, now_ms
from standins.tasks import THROTTLED_SPEED, Task, TaskTable

__all__ = ["FAULT_KINDS", "BackendInstance", "InstanceSettings"]

FAULT_KINDS = frozenset(
    {
        "down",
        "slow_start",
        "fail_fast",
        "silent",
        "late_answer",
        "wrong_task_id",
        "cut_short",
        "kill",
    }
)
KILLED_EXIT_CODE = 137

_REFUSAL_STATUS = {"duplicate": 409, "infeasible": 422}


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of one instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    address : str
        ``host:port``; port 0 lets the kernel choose.
    slots : int
        Most tasks at once.
    connections : int
        Most task calls open at once.
    run_ms : int
        Run time of tasks that state none.
    clock_offset_ms : int
        What its clock shows above the process time.
    usage_lag_ms : int
        Lag of the usage by team in the status.
    cpu_milli, memory_mb, accelerators : int
        Capacity; a task that declares more is infeasible. 0 for no check.
    """

    name: str
    address: str = "127.0.0.1:0"
    slots: int = 8
    connections: int = 64
    run_ms: int = 50
    clock_offset_ms: int = 0
    usage_lag_ms: int = 0
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class BackendInstance:
    """Runs tasks under leases, with switchable faults.

    Parameters
    ----------
    settings : InstanceSettings
        Settings.
    nursery : trio.Nursery
        Runs the tasks, which go on when their caller's connection breaks.
    """

    def __init__(self, settings: InstanceSettings, nursery: trio.Nursery) -> None:
        self.settings = settings
        self._nursery = nursery
        self._tasks = TaskTable()
        self._boot_id = secrets.token_hex(8)
        self._reboot_steps: set[str] = set()
        self._draining = False
        self._n_calls = 0
        self._clients: set[tuple[str, int]] = set()
        self._silent_clients: frozenset[tuple[str, int]] = frozenset()
        self._usage: Lagged[dict[str, int]] = Lagged({}, settings.usage_lag_ms)
        self._faults = Faults(FAULT_KINDS, self.switch_listener)
        self.listener = Listener(self.handle, settings.address)

    def switch_listener(self) -> None:
        """Close or open the listener as the ``down`` fault demands."""
        if self._faults.active("down") is not None:
            self.listener.close()
        else:
            self.listener.reopen()

    def reboot(self, step_id: str = "") -> None:
        """Kill all tasks and change the boot id; the records stay.

        Parameters
        ----------
        step_id : str
            A step that already rebooted the instance has no effect; empty always
            reboots.
        """
        if step_id in self._reboot_steps:
            return
        if step_id:
            self._reboot_steps.add(step_id)
        self._tasks.forget_all()
        self._note_usage()
        self._boot_id = secrets.token_hex(8)
        self._draining = False

    async def handle(self, exchange: Exchange) -> None:
        """Answer a call at the instance's own address."""
        parts = exchange.path.strip("/").split("/")
        if parts[0] == "standin":
            await self.control(exchange, parts[1:])
            return
        self._clients.add(exchange.client)
        if self._is_silent(exchange):
            await exchange.until_disconnected()
            return
        match exchange.method, parts:
            case "POST", ["v1", "tasks", task_id]:
                await self._submit(exchange, task_id)
            case "GET", ["v1", "tasks", task_id]:
                await exchange.answer_json(200, self._describe(task_id))
            case "POST", ["v1", "tasks", task_id, action]:
                await self._control_task(exchange, task_id, action)
            case "GET", ["v1", "status"]:
                await exchange.answer_json(200, self._status())
            case _:
                await exchange.answer_json(404, {"message": "unknown path"})

    async def control(self, exchange: Exchange, parts: list[str]) -> None:
        """Answer a call to the switches and records."""
        match exchange.method, parts:
            case "POST", ["faults"]:
                await self._set_fault(exchange)
            case "GET", ["faults"]:
                await exchange.answer_json(200, self._faults.describe())
            case "GET", ["records"]:
                records = {"instance": self.settings.name}
                await exchange.answer_json(
                    200, {**records, "records": self._tasks.records()}
                )
            case "POST", ["reboot"]:
                self.reboot(str(exchange.json().get("step_id", "")))
                await exchange.answer_json(200, {"boot_id": self._boot_id})
            case "POST", ["drain"]:
                self._draining = bool(exchange.json().get("draining", True))
                await exchange.answer_json(200, {"draining": self._draining})
            case _:
                await exchange.answer_json(404, {"message": "unknown path"})

    async def _set_fault(self, exchange: Exchange) -> None:
        request = exchange.json()
        if request.get("fault") == "silent" and request.get("connections") == "open":
            self._silent_clients = frozenset(self._clients)
        described = self._faults.apply(request)
        await exchange.answer_json(200, described)
        if self._faults.active("kill") is not None:
            os._exit(KILLED_EXIT_CODE)

    def _is_silent(self, exchange: Exchange) -> bool:
        silent = self._faults.active("silent")
        if silent is None:
            return False
        if silent.options.get("connections", "all") == "open":
            return exchange.client in self._silent_clients
        return self._faults.hit("silent") is not None

    def _server_now_ms(self) -> int:
        return now_ms() + self.settings.clock_offset_ms

    def _status(self) -> dict[str, Any]:
        return {
            "now_ms": self._server_now_ms(),
            "n_slots": self.settings.slots,
            "n_running": self._tasks.n_running,
            "draining": self._draining,
            "boot_id": self._boot_id,
            "n_running_by_team": self._usage.get(),
        }

    def _describe(self, task_id: str) -> dict[str, Any]:
        task = self._tasks.get(task_id)
        state = "unknown" if task is None else "running" if task.running else "done"
        described = {
            "task_id": task_id,
            "state": state,
            "now_ms": self._server_now_ms(),
            "boot_id": self._boot_id,
        }
        return described | ({"outcome": task.outcome} if task else {})

    async def _submit(self, exchange: Exchange, task_id: str) -> None:
        self._n_calls += 1
        try:
            slow = self._faults.hit("slow_start")
            if slow is not None:
                await trio.sleep(slow.delay_ms / 1000)
            reason = self._refusal(exchange, task_id)
            if reason is not None:
                await self._refuse(exchange, task_id, reason)
                return
            task = self._start(exchange, task_id)
            if self._faults.hit("fail_fast") is not None:
                self._tasks.end(task, "failed")
                self._note_usage()
            else:
                self._nursery.start_soon(self._run, task)
                while task.running:
                    await task.changed.wait()
            await self._answer(exchange, task)
        finally:
            self._n_calls -= 1

    def _refusal(self, exchange: Exchange, task_id: str) -> str | None:
        settings = self.settings
        if self._tasks.get(task_id) is not None:
            return "duplicate"
        if self._draining:
            return "leaving"
        deadline = exchange.header("apricotgap-start-deadline-ms")
        if deadline and self._server_now_ms() > int(deadline):
            return "deadline"
        for name in ("cpu_milli", "memory_mb", "accelerators"):
            header = exchange.header(f"apricotgap-{name.replace('_', '-')}", "0")
            capacity = getattr(settings, name)
            if capacity and int(header) > capacity:
                return "infeasible"
        too_many = self._n_calls > settings.connections
        if too_many or self._tasks.n_running >= settings.slots:
            return "full"
        return None

    async def _refuse(self, exchange: Exchange, task_id: str, reason: str) -> None:
        headers = [("Apricotgap-Task-Id", task_id), ("Apricotgap-Not-Run", reason)]
        await exchange.answer_json(
            _REFUSAL_STATUS.get(reason, 503), {"not_run": reason}, headers
        )

    def _start(self, exchange: Exchange, task_id: str) -> Task:
        task = self._tasks.start(
            task_id,
            hashlib.sha256(exchange.body).hexdigest(),
            _run_ms(exchange, self.settings.run_ms),
            int(exchange.header("apricotgap-task-lease-ms", "0")),
            self._boot_id,
            team=exchange.header("apricotgap-team"),
            priority=exchange.header("apricotgap-priority"),
        )
        self._note_usage()
        return task

    async def _run(self, task: Task) -> None:
        await self._tasks.run(task)
        self._note_usage()

    async def _answer(self, exchange: Exchange, task: Task) -> None:
        late = self._faults.hit("late_answer")
        if late is not None:
            await trio.sleep(late.delay_ms / 1000)
        body = f"{task.digest}\n".encode() + exchange.body
        task_id = task.task_id
        if self._faults.hit("wrong_task_id") is not None:
            task_id, body = f"{task_id}-other", b"answer of another task"
        headers = [("Apricotgap-Task-Id", task_id)]
        if task.outcome != "completed":
            headers.append(("Apricotgap-Task-Ended", task.outcome))
            status, body = 500, f"task ended: {task.outcome}".encode()
        else:
            status = 200
        cut = self._faults.hit("cut_short")
        n_cut = max(1, len(body) // 2) if cut is not None else 0
        await exchange.answer(status, body, headers, n_cut)

    async def _control_task(
        self, exchange: Exchange, task_id: str, action: str
    ) -> None:
        task = self._tasks.get(task_id)
        if task is None or not task.running:
            await exchange.answer_json(404, self._describe(task_id))
            return
        body = exchange.json()
        match action:
            case "renew":
                header = exchange.header("apricotgap-task-lease-ms")
                task.renew(int(header or body.get("lease_ms", task.lease_ms)))
            case "throttle":
                task.throttle(float(body.get("speed", THROTTLED_SPEED)))
            case "checkpoint":
                self._tasks.end(task, "checkpointed")
            case "stop":
                self._tasks.end(task, "stopped")
            case _:
                await exchange.answer_json(404, {"message": f"unknown action {action}"})
                return
        self._note_usage()
        await exchange.answer_json(200, self._describe(task_id))

    def _note_usage(self) -> None:
        self._usage.put(self._tasks.n_running_by_team())


def _run_ms(exchange: Exchange, default_ms: int) -> float:
    header = exchange.header("standin-run-ms")
    if header:
        return float(header)
    try:
        document = json.loads(exchange.body)
    except ValueError:
        return default_ms
    if isinstance(document, dict):
        return float(document.get("standin_run_ms", default_ms))
    return default_ms
