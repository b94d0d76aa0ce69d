"""Faults of instance processes and of their way to the store."""

import signal
from random import Random

import trio

from apricotgap.instance.keys import decode_owner, owner_key
from soak.cluster import InstanceProcess
from soak.faults.base import Fault
from soak.state import SoakState
from soak.timeline import Scope, Span

__all__: list[str] = []


async def _restart(instances: list[InstanceProcess], span: Span, down_s: float) -> None:
    span.instances.update(instance.name for instance in instances)
    for instance in instances:
        instance.stop()
    await trio.sleep(down_s)
    for instance in instances:
        instance.start()


class Kill(Fault):
    """Kills one instance."""

    name = "kill"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        instance = random.choice(state.instances)
        await _restart([instance], span, random.uniform(0.1, 2))


class KillOwner(Fault):
    """Kills the owner of a service, at times again just after it is back."""

    name = "kill_owner"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        service = random.choice(state.layout.services)
        for _ in range(random.randint(1, 2)):
            data = state.cluster.platform.read(owner_key(service))
            if data is None:
                return
            owner = decode_owner(data).name
            killed = [each for each in state.instances if each.name == owner]
            await _restart(killed, span, random.uniform(0.1, 1))
            await trio.sleep(random.uniform(0.5, 3))


class KillAll(Fault):
    """Kills all instances."""

    name = "kill_all"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        await _restart(state.instances, span, random.uniform(0.1, 1))


class KillDataCentre(Fault):
    """Kills all instances of a data centre."""

    name = "kill_data_centre"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        place = random.choice(state.layout.data_centres)
        killed = [each for each in state.instances if each.data_centre == place]
        await _restart(killed, span, random.uniform(0.5, 5))


class Pause(Fault):
    """Suspends an instance."""

    name = "pause"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        instance = random.choice(state.instances)
        if not instance.is_running:
            return
        span.instances.add(instance.name)
        instance.signal(signal.SIGSTOP)
        await trio.sleep(random.uniform(0.5, 5))
        instance.signal(signal.SIGCONT)


class Cut(Fault):
    """Holds back what one instance and the store send each other, or one way of it."""

    name = "cut"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        number = random.randrange(len(state.instances))
        span.instances.add(state.instances[number].name)
        proxy = state.cluster.proxies[number]
        ways = random.choice([(True, True), (True, False), (False, True)])
        proxy.silent_up, proxy.silent_down = ways
        await trio.sleep(random.uniform(0.5, 6))
        proxy.heal()


class Reset(Fault):
    """Resets the connections of one instance to the store."""

    name = "reset"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        number = random.randrange(len(state.instances))
        span.instances.add(state.instances[number].name)
        state.cluster.proxies[number].reset_all()


class Delay(Fault):
    """Slows what one instance and the store send each other."""

    name = "delay"
    scope = Scope.INSTANCE

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        number = random.randrange(len(state.instances))
        span.instances.add(state.instances[number].name)
        proxy = state.cluster.proxies[number]
        proxy.delay_ms = random.randint(20, 300)
        await trio.sleep(random.uniform(0.5, 4))
        proxy.heal()
