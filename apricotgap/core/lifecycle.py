"""Readiness and graceful shutdown of the entry instance."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricotgap.core.effects import Effect, Exit, LogChange, SetReady
from apricotgap.core.events import Event, StopRequested, Tick
from apricotgap.core.limits import READINESS_GRACE_MS, ROW_RELEASE_TIMEOUT_MS
from apricotgap.core.reducer import Handler

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "GracefulShutdown",
    "LifecycleState",
    "ReadinessHandler",
]


@dataclass(slots=True)
class LifecycleState:
    """Readiness and progress of a graceful shutdown.

    Parameters
    ----------
    balancer_lag_ms : int
        How long a load balancer may keep sending requests to an unready entry
        instance, in milliseconds.
    stop_timeout_ms : int
        Longest time that a shutdown waits for requests, in milliseconds.
    ready : bool
        Last reported readiness.
    stop_requested_ms : int or None
        When the shutdown was first requested.
    releasing_since_ms : int or None
        When the requests had ended, or the timeout had passed, and the release of
        the allotment rows began.
    exited : bool
        Whether `Exit` was returned.
    """

    balancer_lag_ms: int = READINESS_GRACE_MS
    stop_timeout_ms: int = 60_000
    ready: bool = False
    stop_requested_ms: int | None = None
    releasing_since_ms: int | None = None
    exited: bool = False


class ReadinessHandler(Handler):
    """Reports ready from the first configuration until a shutdown is requested."""

    handles = (Tick, StopRequested)
    order = 2

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Report the readiness if it changed."""
        lifecycle_state = state.lifecycle
        if (
            isinstance(event, StopRequested)
            and lifecycle_state.stop_requested_ms is None
        ):
            lifecycle_state.stop_requested_ms = event.at_ms
            yield SetReady(False)
        ready = state.config.revision > 0 and lifecycle_state.stop_requested_ms is None
        ready = ready and not state.members.replaced
        if ready != lifecycle_state.ready:
            lifecycle_state.ready = ready
            yield SetReady(ready)
            yield LogChange("ready" if ready else "unready")


class GracefulShutdown(Handler):
    """Waits for all requests, releases rows and leases, then exits."""

    handles = (Tick,)
    order = 95

    def apply(self, state: EntryState, event: Event) -> Iterator[Effect]:
        """Start the next phase of the shutdown when the current one is complete."""
        # Imported here because these modules import the state, which imports this one.
        from apricotgap.core import (  # noqa: PLC0415
            admission,
            allotments,
            registration,
        )

        lifecycle_state = state.lifecycle
        if lifecycle_state.stop_requested_ms is None or lifecycle_state.exited:
            return
        elapsed_ms = event.at_ms - lifecycle_state.stop_requested_ms
        if lifecycle_state.releasing_since_ms is None:
            busy = not admission.may_exit(state)
            if elapsed_ms < lifecycle_state.balancer_lag_ms or (
                busy and elapsed_ms < lifecycle_state.stop_timeout_ms
            ):
                return
            lifecycle_state.releasing_since_ms = event.at_ms
            state.stopping = True
            yield LogChange(
                "handing_back", {"unfinished": len(state.claims.admissions)}
            )
            return
        waited_ms = event.at_ms - lifecycle_state.releasing_since_ms
        if (
            not allotments.has_released_rows(state)
            and waited_ms < ROW_RELEASE_TIMEOUT_MS
        ):
            return
        lifecycle_state.exited = True
        yield from registration.deregister(state)
        yield Exit()
