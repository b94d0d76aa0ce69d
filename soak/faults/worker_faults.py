"""Faults of workers, and workers that join, leave and are replaced as planned."""

from random import Random

import trio

from soak.faults.base import Fault
from soak.fleet import new_machine
from soak.state import SoakState
from soak.timeline import Scope, Span, now_ms
from standins.machine_service import StandinMachine

__all__ = ["choose_machines", "join_machine"]

# No fault takes a pool below this number of machines.
_MIN_WORKERS = 4
_SHARE_FLAPPING = 1 / 3
_SHARE_SILENT = 0.5
_LINGER_MS = 2_000


def _up(state: SoakState, service: str) -> list[StandinMachine]:
    """Return the machines of a pool that are up and stay."""
    return [
        machine
        for machine in state.cluster.platform.machines.machines.values()
        if machine.pool == service
        and machine.state == "up"
        and machine.worker.state == "ready"
    ]


def choose_machines(
    state: SoakState, random: Random, share: float
) -> list[StandinMachine]:
    """Choose up to a share of a pool drawn at random, so that enough of it stay."""
    up = _up(state, random.choice(state.layout.services))
    n_chosen = min(max(1, int(share * len(up))), len(up) - _MIN_WORKERS)
    return random.sample(up, max(0, n_chosen))


def _flap(
    state: SoakState, machine: StandinMachine, down_ms: int, is_silent: bool = False
) -> None:
    """Let a worker go down and up unless its machine is down or gone."""
    if machine in _up(state, machine.pool):
        state.cluster.platform.machines.flap(machine.name, down_ms, is_silent)


async def join_machine(state: SoakState, service: str, random: Random) -> None:
    """Add an empty machine to a pool."""
    place = random.choice(state.layout.data_centres)
    machine = new_machine(state.layout, state.work, service, place)
    await state.cluster.platform.join(machine)


class MuteWorker(Fault):
    """Lets a worker answer nothing."""

    name = "mute_worker"
    scope = Scope.WORKER

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        for machine in choose_machines(state, random, 0):
            machine.worker.is_unanswering = True
            await trio.sleep(random.uniform(0.3, 3))
            machine.worker.is_unanswering = False


class CrashWorkers(Fault):
    """Lets workers die; their machines come back with another life."""

    name = "crash_workers"
    scope = Scope.WORKER

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        down_ms = random.randint(500, 4_000)
        for machine in choose_machines(state, random, random.uniform(0, 0.3)):
            state.cluster.platform.machines.crash(machine.name, down_ms)
        await trio.sleep(down_ms / 1_000)


class FlapWorkers(Fault):
    """Lets workers go down and up by turns under their ids."""

    name = "flap_workers"
    scope = Scope.WORKER

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        chosen = choose_machines(state, random, 0.15)
        for _ in range(random.randint(1, 3)):
            down_ms = random.randint(300, 1_500)
            for machine in chosen:
                _flap(state, machine, down_ms)
            await trio.sleep(down_ms / 1_000 + random.uniform(0.5, 1.5))


class FlapApart(Fault):
    """Lets a third of a pool go down and up for seconds, each worker by itself.

    Starts meet workers that are down already, again and again for some tasks, and get
    no answer from those that are silent.
    """

    name = "flap_apart"
    scope = Scope.WORKER
    is_by_name_only = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        until_ms = now_ms() + random.randint(4_000, 10_000)
        async with trio.open_nursery() as nursery:
            for machine in choose_machines(state, random, _SHARE_FLAPPING):
                own = Random(random.random())
                nursery.start_soon(self._flap_until, state, machine, own, until_ms)

    async def _flap_until(
        self, state: SoakState, machine: StandinMachine, random: Random, until_ms: int
    ) -> None:
        while now_ms() < until_ms:
            down_ms = random.randint(100, 1_500)
            _flap(state, machine, down_ms, random.random() < _SHARE_SILENT)
            await trio.sleep((down_ms + random.randint(300, 1_500)) / 1_000)


class LoseWorkers(Fault):
    """Takes a part of a pool away for good; others replace it after a while."""

    name = "lose_workers"
    scope = Scope.WORKER

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        chosen = choose_machines(state, random, random.uniform(0.1, 0.5))
        for machine in chosen:
            state.cluster.platform.machines.lose(machine.name)
        await trio.sleep(random.uniform(0, 3))
        for machine in chosen:
            await join_machine(state, machine.pool, random)


class FailingWorkers(Fault):
    """Lets workers fail what they start."""

    name = "failing_workers"
    scope = Scope.WORKER

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        chosen = choose_machines(state, random, 0.1)
        for machine in chosen:
            machine.worker.is_failing = True
        await trio.sleep(random.uniform(0.5, 3))
        for machine in chosen:
            machine.worker.is_failing = False


class JoinWorkers(Fault):
    """Adds empty workers to a pool."""

    name = "join_workers"
    scope = Scope.WORKER
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        service = random.choice(state.layout.services)
        for _ in range(random.randint(1, 3)):
            await join_machine(state, service, random)


class DrainWorkers(Fault):
    """Lets workers announce their end and leave; others replace them, mostly."""

    name = "drain_workers"
    scope = Scope.WORKER
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        chosen = choose_machines(state, random, random.uniform(0, 0.2))
        drain_ms = state.layout.bound_ms("drainMs") + _LINGER_MS
        for machine in chosen:
            state.cluster.platform.machines.drain(machine.name, drain_ms)
        await trio.sleep(random.uniform(0, drain_ms / 1_000))
        for machine in chosen:
            await join_machine(state, machine.pool, random)


class Wave(Fault):
    """Orders upkeep of some machines, one at a time."""

    name = "wave"
    scope = Scope.WORKER
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        names = sorted(state.cluster.platform.machines.machines)
        names = random.sample(names, min(6, len(names)))
        number = random.randint(1, 10**6)
        wave = {"wave": number, "machines": names, "durationS": 30, "maxCount": 1}
        state.cluster.platform.put(f"op/wave/{number}", wave)


class Evacuate(Fault):
    """Evacuates a data centre for a while."""

    name = "evacuate"
    scope = Scope.WORKER
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        place = random.choice(state.layout.data_centres)
        state.cluster.platform.put(f"op/evacuate/{place}", {})
        await trio.sleep(random.uniform(0.5, 8))
        state.cluster.store.remove(f"op/evacuate/{place}")
