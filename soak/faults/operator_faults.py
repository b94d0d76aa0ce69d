"""Configurations that operators write."""

from random import Random

import trio

from soak.faults.base import Fault
from soak.layout import Queue
from soak.state import SoakState
from soak.timeline import Scope, Span

__all__: list[str] = []

_TIMEOUTS_MS = (2_000, 2_500, 3_000, 4_000)


class TimeoutsChanged(Fault):
    """Changes the time-out of a queue."""

    name = "timeouts"
    scope = Scope.CONFIGURATION
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        queue = random.randrange(len(state.layout.queues))
        state.operator.set_timeout(queue, random.choice(_TIMEOUTS_MS))


class RouteRemoved(Fault):
    """Takes a queue away and adds it again."""

    name = "route_removed"
    scope = Scope.CONFIGURATION
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        queue = random.choice(state.layout.queues)
        with state.operator.without_routes({queue.name}):
            await trio.sleep(random.uniform(0.1, 6))


class ServiceUnrouted(Fault):
    """Takes all queues of a service away and adds them again."""

    name = "service_unrouted"
    scope = Scope.CONFIGURATION
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        service = random.choice(state.layout.services)
        names = {each.name for each in state.layout.queues if each.service == service}
        with state.operator.without_routes(names):
            await trio.sleep(random.uniform(0.1, 8))


class RouteAdded(Fault):
    """Adds another queue to a service and takes it away."""

    name = "route_added"
    scope = Scope.CONFIGURATION
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        service = random.choice(state.layout.services)
        queue = Queue(f"{service}-{random.randint(1, 10**6)}", service, False)
        with state.operator.with_route(queue):
            await trio.sleep(random.uniform(0.1, 4))


class KeysChanged(Fault):
    """Takes keys of a team away, adds one, and gives the team its first ones again."""

    name = "keys"
    scope = Scope.CONFIGURATION
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        team = random.randrange(state.layout.n_teams)
        first = state.layout.keys(team)
        state.operator.set_keys(team, first[:1])
        await trio.sleep(random.uniform(0.1, 3))
        state.operator.set_keys(team, [f"{first[0]}-{random.randint(1, 10**6)}"])
        await trio.sleep(random.uniform(0.1, 3))
        state.operator.set_keys(team, first)


class LimitLowered(Fault):
    """Lowers the limit of a team and raises it again."""

    name = "limit"
    scope = Scope.CONFIGURATION
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        team = random.randrange(state.layout.n_teams)
        team_cpu = state.layout.team_cpu
        state.operator.set_limit(team, int(team_cpu * random.uniform(0.02, 0.3)))
        await trio.sleep(random.uniform(0.1, 8))
        state.operator.set_limit(team, team_cpu)


class ConfigurationStorm(Fault):
    """Writes configurations in quick succession."""

    name = "config_storm"
    scope = Scope.CONFIGURATION
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        for _ in range(12):
            queue = random.randrange(len(state.layout.queues))
            state.operator.set_timeout(queue, random.choice(_TIMEOUTS_MS))
            await trio.sleep(0.33)
