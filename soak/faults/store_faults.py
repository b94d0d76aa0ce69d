"""Faults of the platform's store and of its interface to machines."""

from random import Random

import trio

from soak.faults.base import Fault
from soak.state import SoakState
from soak.timeline import Scope, Span

__all__: list[str] = []


class StoreBusy(Fault):
    """Lets the store refuse all calls."""

    name = "store_busy"
    scope = Scope.STORE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        state.cluster.store.faults.is_busy = True
        await trio.sleep(random.uniform(0.5, 4))
        state.cluster.store.faults.is_busy = False


class LostAnswers(Fault):
    """Lets the store lose answers and carry out writes late."""

    name = "lost_answers"
    scope = Scope.STORE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        faults = state.cluster.store.faults
        faults.n_lost_answers = random.randint(1, 10)
        faults.n_late_writes = random.randint(0, 3)
        await trio.sleep(1)
        faults.n_lost_answers = faults.n_late_writes = 0


class HistoryLost(Fault):
    """Lets the store forget its history."""

    name = "history_lost"
    scope = Scope.STORE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        state.cluster.store.forget_history()


class MachinesBusy(Fault):
    """Lets the interface to machines refuse all calls."""

    name = "machines_busy"
    scope = Scope.MACHINES

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        state.cluster.platform.machines.is_busy = True
        await trio.sleep(random.uniform(0.5, 4))
        state.cluster.platform.machines.is_busy = False


class OrdersLost(Fault):
    """Lets the answers of some orders for machines get lost."""

    name = "orders_lost"
    scope = Scope.MACHINES

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        state.cluster.platform.machines.n_lost_answers = random.randint(1, 4)
