"""A process of an instance in virtual time: it starts, is killed or gets SIGTERM."""

from dataclasses import replace
from unittest import mock

import trio

from apricotgap.clock import TrioClock
from apricotgap.drivers.timed_calls import TimedCalls
from apricotgap.instance.instance import Instance
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.keys import OWNERS_PREFIX
from apricotgap.platform.settings import Bounds, PlatformSettings
from tests.jobs_harness import MAX_LEASE_MS, SERVICE
from tests.overload_states import current_overload
from tests.virtual_links import PeerLink, Processor, SharedLink, StoreLink, WorkerLink
from tests.worker_pool import STOP_MS

PEER_PORT = 9_000
BOUNDS = Bounds(
    max_lease_ms=MAX_LEASE_MS,
    stop_timeout_ms=STOP_MS,
    revoke_ms=5_000,
    status_retention_ms=120_000,
    upkeep_ms=2_000,
    move_ms=1_500,
    holder_lease_ms=3_000,
    contact_ms=3_000,
    shutdown_ms=6_000,
)


class WorkingInstance(Instance):
    """Instance without callers from outside; the fleet has no owner."""

    async def _run_fleet(self, ownership):
        await trio.sleep_forever()

    def owns(self, shard):
        """Whether this process runs a shard."""
        return shard in self._owners

    @property
    def has_lease(self):
        """Whether a lease was granted and is not known to have ended."""
        return self._lease.lease_id != 0

    def lease_left_ms(self):
        """Return what is left of the lease in the store, as this process knows it."""
        return self._lease.valid_until_ms - self._clock.now_ms

    def make_router(self, peers):
        """Return the router of calls, as `_serve` makes it."""
        self._router = JobRouter(
            self._settings.name,
            self._owners,
            self._cluster_view,
            self._store,
            peers,
            self._clock,
        )
        return self._router

    def loops(self):
        """Return what `_serve` runs beside the servers."""
        return (
            self._cluster_view.operator_mirror.run,
            self._cluster_view.system_mirror.run,
            self._workers.run,
            self._store_monitor.run,
            self._lease.run,
            self._election.run,
        )

    def use_links(self, store, workers):
        """Call the store and workers by these instead of sockets."""
        self._store._http = self._store._lease_http = store
        self._client._poll_http = self._client._order_http = workers

    def serve_calls(self, nursery):
        """Run calls that have a deadline in a nursery."""
        self._calls = TimedCalls(nursery, self._clock)

    def begin_stop(self, server, nursery):
        """Handle SIGTERM as `_handle_signals` does."""
        if not self._is_draining:
            self._is_draining = True
            nursery.start_soon(self._stop, server, nursery)


class IdleServer:
    """A server without requests, which ends its process as soon as it may."""

    n_connections = 0

    def __init__(self, scope):
        self._scope = scope

    def stop(self):
        """End the process."""
        self._scope.cancel()


class InstanceProcess:
    """One instance that can be ended and started again.

    Parameters
    ----------
    world : OwnerWorld
        What it calls.
    number : int
        Number of the instance; its processes have the same name and address.
    """

    def __init__(self, world, number):
        self._world = world
        self._number = number
        self.name = f"i{number}"
        self.address = f"10.0.1.{number}:{PEER_PORT}"
        self.is_up = self.is_killed = self.is_stopping = False
        self.link = SharedLink()
        self.processor = Processor()
        # Steps since this process claimed the shard last, None before.
        self._steps = None

    def _settings(self):
        return PlatformSettings(
            name=self.name,
            ip=f"10.0.1.{self._number}",
            data_centre="a",
            client_address="0.0.0.0:1",
            readiness_address="0.0.0.0:2",
            peer_port=PEER_PORT,
            metrics_port=PEER_PORT + 1,
            store_address="store",
            min_lease_ms=1_000,
            fleet_address="",
            advice_address="",
            speed_milli=1_000,
            bounds=replace(
                BOUNDS,
                status_retention_ms=self._world.status_retention_ms,
                max_lease_ms=self._world.max_lease_ms,
            ),
        )

    def start(self):
        """Start a process, unless one runs."""
        if not self.is_up:
            self.is_up = True
            self._world.troubled()
            self._world.nursery.start_soon(self._run)

    async def _run(self):
        self.is_killed = self.is_stopping = False
        self._steps = None
        with mock.patch("apricotgap.instance.instance.BootClock", TrioClock):
            self.instance = WorkingInstance(
                self._settings(), (0, 0), current_overload.get()
            )
        self.instance.use_links(
            StoreLink(self._world, self), WorkerLink(self._world, self)
        )
        self.router = self.instance.make_router(PeerLink(self._world, self))
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.instance.serve_calls(nursery)
                for loop in self.instance.loops():
                    nursery.start_soon(loop)
        except* Exception as group:
            self._world.broken.append(f"EXIT {self._world.now} {self.name} {group!r}")
        self.is_up = False

    def kill(self):
        """End the process at once."""
        if self.is_up and not self.is_killed:
            self.is_killed = True
            self._world.troubled()
            self.nursery.cancel_scope.cancel()

    def terminate(self):
        """Send SIGTERM."""
        if self.is_up and not self.is_killed and not self.is_stopping:
            self.is_stopping = True
            self._world.troubled()
            server = IdleServer(self.nursery.cancel_scope)
            self.instance.begin_stop(server, self.nursery)

    def note_step(self, target):
        """Count the calls since a claim of the shard; the world may end the process."""
        if target.startswith(f"write {OWNERS_PREFIX}{SERVICE} "):
            self._steps = -1
        if self._steps is None:
            return
        self._steps += 1
        self._world.stepped(self, self._steps, target)


__all__ = ["InstanceProcess"]
