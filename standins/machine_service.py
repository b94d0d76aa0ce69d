"""Stand-in of the platform's machines: lists, moves and upkeep."""

from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any
from urllib.parse import parse_qs

import trio

from standins.serving import Exchange, Listener, now_ms
from standins.task_worker import TaskWorker
from standins.transactional_store import TransactionalStore

__all__ = ["MachineService", "OrderRecord", "StandinMachine"]


@dataclass
class StandinMachine:
    """A machine, the pool that it is in and the worker that is its present life."""

    name: str
    pool: str
    worker: TaskWorker
    state: str = "up"


@dataclass(frozen=True)
class OrderRecord:
    """An order that was carried out."""

    machine: str
    pool: str
    wave: int
    holder: str
    token: int
    at_ms: int


def _take_due(times_ms: dict[str, int]) -> list[str]:
    """Remove and return the keys whose time has come."""
    due = [key for key, at_ms in times_ms.items() if now_ms() >= at_ms]
    for key in due:
        del times_ms[key]
    return due


@dataclass
class MachineService:
    """Moves machines between pools and takes them down for upkeep.

    Machines of the pool `spare_pool` are off and show no worker. The entry of a worker
    that crashed stays in the store for `silence_ms`. The list lacks `unlisted`
    machines, and the rows of `garbled` ones cannot be decoded. Orders for a machine
    that does not exist are refused by 400, or by 409 with `departed_reason`.
    """

    store: TransactionalStore
    spare_pool: str
    move_ms: int = 300
    upkeep_ms: int = 400
    silence_ms: int = 0
    page_size: int = 3
    is_busy: bool = False
    n_lost_answers: int = 0
    machines: dict[str, StandinMachine] = field(default_factory=dict)
    orders: list[OrderRecord] = field(default_factory=list)
    unlisted: set[str] = field(default_factory=set)
    garbled: set[str] = field(default_factory=set)
    departed_reason: str = ""
    # Orders for machines that do not exist.
    unknown: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.listener = Listener(self._serve)
        self._lives = count(1)
        self._returning: dict[str, int] = {}
        self._leaving: dict[str, int] = {}
        # Workers that send nothing any more, and when their entries end.
        self._silent: dict[str, int] = {}

    def add(self, machine: StandinMachine) -> None:
        """Add a machine; its worker is listed unless the pool is off."""
        self.machines[machine.name] = machine
        machine.worker.crash = partial(self.crash, machine.name)
        self._list_worker(machine)

    def crash(self, name: str, down_ms: int | None = None) -> None:
        """End the worker of a machine without a word; another life follows."""
        machine = self.machines[name]
        self._fall_silent(machine)
        machine.worker.restart(f"{name}-{next(self._lives)}", is_crash=True)
        machine.state = "down"
        away_ms = self.upkeep_ms if down_ms is None else down_ms
        self._returning[name] = now_ms() + away_ms

    def go_dark(self, name: str) -> None:
        """End the worker of a machine without a word until `return_with` is called."""
        machine = self.machines[name]
        self._returning.pop(name, None)
        self._fall_silent(machine)
        machine.worker.restart(f"{name}-{next(self._lives)}")
        machine.worker.listener.close()
        machine.state = "down"

    def return_with(self, machine: StandinMachine, worker: TaskWorker) -> None:
        """Let a machine that is dark come back with a worker at an address of its own.

        One that was taken away meanwhile stays away.
        """
        if self.machines.get(machine.name) is machine:
            machine.worker, machine.state = worker, "up"
            self.add(machine)

    def flap(self, name: str, down_ms: int, is_silent: bool = False) -> None:
        """End the worker of a machine; it starts again under its id.

        Meanwhile it refuses connections, or takes them and says nothing if it
        `is_silent`.
        """
        machine = self.machines[name]
        if is_silent:
            machine.worker.is_unanswering = True
        else:
            machine.worker.listener.close()
        machine.worker.restart(machine.worker.worker_id, is_crash=True)
        machine.state = "down"
        self._returning[name] = now_ms() + down_ms

    def lose(self, name: str) -> None:
        """Take a machine away for good, without a word."""
        machine = self.machines.pop(name)
        self._returning.pop(name, None)
        self._leaving.pop(name, None)
        self._fall_silent(machine)
        machine.worker.restart(f"{name}-{next(self._lives)}", is_crash=True)
        machine.worker.listener.close()

    def drain(self, name: str, drain_ms: int) -> None:
        """Announce that a worker leaves; it does so for good after `drain_ms`."""
        machine = self.machines[name]
        machine.worker.state = "draining"
        self._list_worker(machine)
        self._leaving[name] = now_ms() + drain_ms

    def _fall_silent(self, machine: StandinMachine) -> None:
        worker_id = machine.worker.worker_id
        if not self.silence_ms:
            self.store.remove(f"servers/{worker_id}")
            return
        machine.worker.listener.close()
        self._silent[worker_id] = now_ms() + self.silence_ms

    def _list_worker(self, machine: StandinMachine) -> None:
        worker = machine.worker
        if machine.pool != self.spare_pool:
            self.store.put(f"servers/{worker.worker_id}", worker.encoded(machine.pool))

    async def run(self) -> None:
        """Bring back or take away what is due, until cancelled."""
        while True:
            await trio.sleep(0.02)
            for worker_id in _take_due(self._silent):
                self.store.remove(f"servers/{worker_id}")
            for name in _take_due(self._leaving):
                self._leave(name)
            for name in _take_due(self._returning):
                machine = self.machines[name]
                machine.state = "up"
                machine.worker.is_unanswering = False
                machine.worker.listener.reopen()
                self._list_worker(machine)

    def _leave(self, name: str) -> None:
        machine = self.machines.pop(name)
        self._returning.pop(name, None)
        worker = machine.worker
        self.store.remove(f"servers/{worker.worker_id}")
        worker.restart(f"{name}-{next(self._lives)}")
        worker.listener.close()

    async def _serve(self, exchange: Exchange) -> None:
        if self.is_busy:
            await exchange.answer_json(429, {})
            return
        if exchange.path == "/v1/machines":
            await self._page(exchange)
        elif exchange.path in ("/v1/machine-move", "/v1/machine-upkeep"):
            await self._order(exchange, exchange.json())
        else:
            await exchange.answer_json(404, {})

    async def _page(self, exchange: Exchange) -> None:
        start = int(parse_qs(exchange.query).get("pageToken", ["0"])[0])
        names = sorted(set(self.machines) - self.unlisted)
        rows = [
            self._row(self.machines[name])
            for name in names[start : start + self.page_size]
        ]
        answer: dict[str, Any] = {"machines": rows}
        if start + self.page_size < len(names):
            answer["nextPageToken"] = str(start + self.page_size)
        await exchange.answer_json(200, answer)

    def _row(self, machine: StandinMachine) -> dict[str, Any]:
        entry = machine.worker.entry(machine.pool)
        if machine.name in self.garbled:
            return {"machine": machine.name, "pool": 7}
        is_on = machine.state == "up" and machine.pool != self.spare_pool
        return {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": entry["zone"],
            "labels": entry["labels"],
            "freeCapacity": entry["freeCapacity"],
            "id": machine.worker.worker_id if is_on else "",
        }

    async def _order(self, exchange: Exchange, body: dict[str, Any]) -> None:
        machine = self.machines.get(body["machine"])
        if machine is None:
            self.unknown.append(body["machine"])
            if self.departed_reason:
                await exchange.answer_json(409, {"reason": self.departed_reason})
            else:
                await exchange.answer_json(400, {})
            return
        pool, wave = body.get("pool", machine.pool), body.get("wave", 0)
        if self._is_done(machine, pool, wave):
            await exchange.answer_json(200, {})
            return
        if machine.state != "up" or machine.worker.state != "ready":
            await exchange.answer_json(409, {"reason": "busy"})
            return
        self._carry_out(machine, pool, wave, exchange)
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            await exchange.until_disconnected()
            return
        await exchange.answer_json(200, {})

    def _is_done(self, machine: StandinMachine, pool: str, wave: int) -> bool:
        if wave:
            return any(
                order.machine == machine.name and order.wave == wave
                for order in self.orders
            )
        return machine.pool == pool

    def _carry_out(
        self, machine: StandinMachine, pool: str, wave: int, exchange: Exchange
    ) -> None:
        self.orders.append(
            OrderRecord(
                machine.name,
                pool,
                wave,
                exchange.header("X-Apricotgap-Duty-Holder"),
                int(exchange.header("X-Apricotgap-Fencing-Token", "0")),
                now_ms(),
            )
        )
        self._take_away(machine, pool, "upkeep" if wave else "moving")

    def move(self, name: str, pool: str) -> None:
        """Move a machine as an order does whose holder is gone."""
        self._take_away(self.machines[name], pool, "moving")

    def _take_away(self, machine: StandinMachine, pool: str, state: str) -> None:
        self.store.remove(f"servers/{machine.worker.worker_id}")
        machine.worker.restart(f"{machine.name}-{next(self._lives)}")
        machine.pool, machine.state = pool, state
        away_ms = self.upkeep_ms if state == "upkeep" else self.move_ms
        self._returning[machine.name] = now_ms() + away_ms
