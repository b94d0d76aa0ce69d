"""Planned work on instances: SIGTERM and SIGHUP, alone and in series."""

import subprocess
from random import Random

import trio

from soak.cluster import SIGHUP, SIGTERM, InstanceProcess
from soak.faults.base import Fault
from soak.state import SoakState
from soak.timeline import Scope, Span, now_ms

__all__: list[str] = []

_RESTART_S = 0.3
_REVOKE_MS = (4_500, 5_000, 5_500)


async def _stop(
    state: SoakState,
    span: Span,
    instance: InstanceProcess,
    later: tuple[tuple[float, int], ...] = (),
) -> None:
    """Stop and restart an instance; `later` are times and numbers of more signals."""
    # A process that starts has no handlers yet and may end by the signal.
    was_ready = await state.cluster.is_ready(instance)
    if not instance.is_wanted or not instance.is_running:
        return
    span.instances.add(instance.name)
    process = instance.process
    # One span for each stop, so that the window of each is known.
    with state.timeline.span("term", Scope.STOP, True, instance.name) as term:
        instance.is_wanted = False
        process.send_signal(SIGTERM)
        waited_s = 0.0
        for at_s, number in later:
            await trio.sleep(at_s - waited_s)
            waited_s = at_s
            process.send_signal(number)
        grace_s = state.layout.bound_ms("graceS") / 1_000 - waited_s
        try:
            code = await trio.to_thread.run_sync(process.wait, grace_s)
            is_clean = code == 0 or not was_ready
            if not is_clean and not _is_impaired(state, instance, term):
                state.seen.append(f"STOP: {instance.name} ended with {code}")
        except subprocess.TimeoutExpired:
            process.kill()
            if not _is_impaired(state, instance, term):
                state.seen.append(f"STOP: {instance.name} did not stop in its time")
    await trio.sleep(_RESTART_S)
    instance.start()


def _is_impaired(state: SoakState, instance: InstanceProcess, term: Span) -> bool:
    """Whether something else kept a process from stopping."""
    return any(
        instance.name in span.instances or span.scope in (Scope.STORE, Scope.SOAK)
        for span in state.timeline.unplanned(term.start_ms, now_ms())
    )


class Stop(Fault):
    """Stops one instance and starts it again."""

    name = "stop"
    scope = Scope.STOP
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        await _stop(state, span, random.choice(state.instances))


class StopInTurn(Fault):
    """Stops several instances in turn; their stops overlap."""

    name = "stop_in_turn"
    scope = Scope.STOP
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        n_stopped = max(2, int(len(state.instances) * random.uniform(0.2, 0.5)))
        gap_s = random.uniform(0.3, 2)
        async with trio.open_nursery() as nursery:
            for instance in random.sample(state.instances, n_stopped):
                nursery.start_soon(_stop, state, span, instance)
                await trio.sleep(gap_s)


class StopHerd(Fault):
    """Stops nearly all instances within a second."""

    name = "stop_herd"
    scope = Scope.STOP
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        n_stopped = len(state.instances) - random.randint(0, 1)
        gap_s = random.uniform(0, 1) / n_stopped
        async with trio.open_nursery() as nursery:
            for instance in random.sample(state.instances, n_stopped):
                nursery.start_soon(_stop, state, span, instance)
                await trio.sleep(gap_s)


class StopWithReload(Fault):
    """Sends SIGHUP to an instance while it stops."""

    name = "stop_with_reload"
    scope = Scope.STOP
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        instance = random.choice(state.instances)
        instance.bounds["revokeMs"] = random.choice(_REVOKE_MS)
        instance.write_settings()
        later = ((random.uniform(0, 4), SIGHUP),)
        await _stop(state, span, instance, later)


class StopTwice(Fault):
    """Sends a second SIGTERM to an instance while it stops."""

    name = "stop_twice"
    scope = Scope.STOP
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        instance = random.choice(state.instances)
        later = ((random.uniform(0, 4), SIGTERM),)
        await _stop(state, span, instance, later)


class Reload(Fault):
    """Changes the settings of some instances and sends them SIGHUP."""

    name = "reload"
    scope = Scope.RELOAD
    is_planned = True

    async def inject(self, state: SoakState, random: Random, span: Span) -> None:
        """Inject the fault once."""
        revoke_ms = random.choice(_REVOKE_MS)
        n_reloaded = random.randint(1, len(state.instances))
        for instance in random.sample(state.instances, n_reloaded):
            if not instance.is_wanted or not instance.is_running:
                continue
            instance.bounds["revokeMs"] = revoke_ms
            instance.write_settings()
            with state.timeline.span("hup", Scope.RELOAD, True, instance.name):
                instance.signal(SIGHUP)
            await trio.sleep(random.uniform(0, 0.2))
