"""Losses of power that take instances and workers at the same moment."""

from abc import ABC, abstractmethod
from random import Random
from typing import ClassVar

import trio

from soak.faults.base import Fault
from soak.faults.worker_faults import choose_machines, join_machine
from soak.fleet import next_worker
from soak.state import SoakState
from soak.timeline import Scope, Span
from standins.machine_service import StandinMachine

__all__: list[str] = []

_MIN_DOWN_S = 0.5
_MAX_DOWN_S = 1.6
# Machines are moved at most this long before the loss.
_MAX_GAP_S = 1.5
# Workers that come back late do so within this time after the instances.
_MAX_LATE_S = 2.0
# Share of a pool that is moved or lost, so that work finds room in the rest.
_MAX_SHARE = 0.2
# Share of the workers that come back under another id.
_SHARE_RENEWED = 0.5


class _Variant(ABC):
    """What is special about one loss, registered under its class.

    A subclass overrides what differs.
    """

    variants: ClassVar[list["_Variant"]] = []

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        _Variant.variants.append(cls())

    @abstractmethod
    def __str__(self) -> str:
        """Return the name that the timeline shows."""

    async def prepare(self, state: SoakState, random: Random) -> None:
        """Do what happens shortly before the loss, by default nothing."""
        await trio.lowlevel.checkpoint()

    def lost(self, state: SoakState, random: Random) -> list[StandinMachine]:
        """Return the machines that never come back."""
        return []

    def late_s(self, service: str, random: Random) -> float:
        """Return how long after the instances the workers of a service come back."""
        return 0.0


class _AllComeBack(_Variant):
    """All workers come back with the instances."""

    def __str__(self) -> str:
        return "all come back"


class _SomeLost(_Variant):
    """Some workers of one service never come back; others replace them."""

    def __str__(self) -> str:
        return "some lost"

    def lost(self, state: SoakState, random: Random) -> list[StandinMachine]:
        return choose_machines(state, random, _MAX_SHARE)


class _OneServiceFirst(_Variant):
    """Workers of one service come back with the instances, those of others later."""

    def __str__(self) -> str:
        return "one service first"

    def late_s(self, service: str, random: Random) -> float:
        return random.uniform(0, _MAX_LATE_S)


class _AfterMoves(_Variant):
    """Machines of one service were moved to another pool, or to one that is off."""

    def __str__(self) -> str:
        return "after moves"

    async def prepare(self, state: SoakState, random: Random) -> None:
        for machine in choose_machines(state, random, _MAX_SHARE):
            pools = [pool.service for pool in state.layout.pools]
            pools.remove(machine.pool)
            state.cluster.platform.machines.move(machine.name, random.choice(pools))
        await trio.sleep(random.uniform(0, _MAX_GAP_S))


class PowerLoss(Fault):
    """Takes the power from all instances and all workers at once."""

    name = "power_loss"
    scope = Scope.MACHINES
    is_by_name_only = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        variant = random.choice(_Variant.variants)
        span.detail = str(variant)
        await variant.prepare(state, random)
        span.instances.update(instance.name for instance in state.instances)
        down_s = random.uniform(_MIN_DOWN_S, _MAX_DOWN_S)
        late_s = _draw_late_s(state, variant, random)
        lost = variant.lost(state, random)
        async with trio.open_nursery() as nursery:
            for machine in lost:
                state.cluster.platform.machines.lose(machine.name)
            for machine in list(state.cluster.platform.machines.machines.values()):
                if machine.pool in late_s:
                    worker_s = down_s + late_s[machine.pool]
                    is_renewed = (
                        machine.state != "up" or random.random() < _SHARE_RENEWED
                    )
                    cut = _renew if is_renewed else _restart
                    nursery.start_soon(cut, state, machine, worker_s)
            for instance in state.instances:
                instance.stop()
            await trio.sleep(down_s)
            for instance in state.instances:
                instance.start()
            for machine in lost:
                await join_machine(state, machine.pool, random)


def _draw_late_s(
    state: SoakState, variant: _Variant, random: Random
) -> dict[str, float]:
    """Return how long after the instances the workers of each service come back."""
    first, *others = random.sample(state.layout.services, len(state.layout.services))
    return {first: 0.0} | {each: variant.late_s(each, random) for each in others}


async def _renew(state: SoakState, machine: StandinMachine, down_s: float) -> None:
    """End a worker; the next one of its machine has another id and address."""
    state.cluster.platform.machines.go_dark(machine.name)
    await trio.sleep(down_s)
    worker = next_worker(machine.worker)
    await state.cluster.platform.return_with(machine, worker)


async def _restart(state: SoakState, machine: StandinMachine, down_s: float) -> None:
    """End a worker; it starts again under its id."""
    down_ms = int(1_000 * down_s)
    state.cluster.platform.machines.flap(machine.name, down_ms)
    await trio.sleep(down_s)
