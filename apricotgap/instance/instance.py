"""Assembles and runs an instance on the platform."""

import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict
from functools import partial

import structlog
import trio

from apricotgap.clock import BootClock, BootTrioClock
from apricotgap.drivers.http_server import HttpServer
from apricotgap.drivers.timed_calls import TimedCalls
from apricotgap.errors import SettingsError
from apricotgap.instance import logs
from apricotgap.instance.cluster_view import FLEET_SHARD, ClusterView
from apricotgap.instance.election import Election
from apricotgap.instance.fleet_owner import FleetOwner
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.keys import Member, new_incarnation
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.loop_monitor import LoopMonitor
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.peers import PeerClient, serve_peers
from apricotgap.instance.settings import load_instance_settings
from apricotgap.instance.shard_owner import ShardOwner
from apricotgap.instance.store_monitor import StoreMonitor
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.metrics import Metrics
from apricotgap.platform.ingress import IngressApp
from apricotgap.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)
from apricotgap.platform.store import StoreClient
from apricotgap.platform.workers import WorkerClient
from apricotgap.process_start import PROCESS_STARTED_MS

__all__ = ["Instance", "main"]

# The load balancer sends no new connections after two failed readiness checks.
BALANCER_LAG_S = 2.2
# The settings file is polled too, since it may change without a SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 1.0
# A settings file that is just being written is complete after this time.
_SETTINGS_WRITE_S = 1.0
_SETTINGS_RETRY_S = 0.05
# Settings that a running process reloads; the others need a restart.
_RELOADABLE = frozenset({"bounds.revoke_ms", "bounds.shutdown_ms"})
# Part of the time between SIGTERM and SIGKILL in which all requests are answered, and
# the part of it after which the process is gone.
_ANSWER_FRACTION = 5 / 6
_EXIT_FRACTION = 11 / 12
# Within the wait for the load balancer.
_LEAVE_TIMEOUT_S = 2.0


def _first_cause(group: BaseExceptionGroup) -> BaseException:
    """Return the first leaf exception of a possibly nested group."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _file_version(path: str) -> tuple[int, int]:
    """Return the modification time and size of a file, zeros if it is missing."""
    try:
        found = os.stat(path)
    except OSError:
        # The file may be missing while it is replaced; the next poll sees the new one.
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)


class Instance:
    """An instance on the platform.

    Parameters
    ----------
    settings : PlatformSettings
        Validated settings.
    file_version : tuple of int
        Version of the settings file, taken before it was read.
    overload : OverloadOptions, optional
        Which decisions under overload the owners of its shards take.
    started_ms : int or None
        Time on the boot clock at which this process started, by default that of `run`.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        file_version: tuple[int, int],
        overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS,
        started_ms: int | None = None,
    ) -> None:
        self._settings = settings
        self._overload = overload
        self._file_version = file_version
        self._clock = BootClock()
        self._store = StoreClient(settings.store_address)
        self._metrics = Metrics(settings.name)
        self._lease = InstanceLease(
            self._store,
            self._clock,
            settings.min_lease_ms,
            partial(self._metrics.observe_ms, "lease_left"),
        )
        self._cluster_view = ClusterView(self._store, self._clock)
        self._workers = WorkerList(self._store, self._clock)
        self._client = WorkerClient()
        self._store_monitor = StoreMonitor(self._store, self._clock, self._metrics)
        self._loop_monitor = LoopMonitor(self._clock, self._metrics)
        self._owners: dict[str, ShardOwner] = {}
        self._is_draining = False
        self._identity = Member(
            settings.name,
            new_incarnation(),
            f"{settings.ip}:{settings.peer_port}",
            settings.data_centre,
            settings.speed_milli,
        )
        self._election = Election(
            self._identity,
            self._store,
            self._lease,
            self._cluster_view,
            self._clock,
            self._run_shard,
            self._may_hand_over,
            settings.bounds.max_lease_ms,
            started_ms,
        )
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        settings = self._settings
        self._log.info(
            "started",
            incarnation=self._identity.incarnation,
            data_centre=settings.data_centre,
            speed_milli=settings.speed_milli,
            overload=asdict(self._overload),
        )
        signal.signal(signal.SIGTERM, self._exit_unless_stopping)
        # The receiver stays open until the last request has been answered.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await self._serve(nursery, signals)
                nursery.cancel_scope.cancel()
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        self._log.info("stopped")

    async def _serve(self, nursery: trio.Nursery, signals: AsyncIterator[int]) -> None:
        """Run the tasks of the instance and serve calls until it has stopped."""
        settings = self._settings
        self._calls = TimedCalls(nursery, self._clock)
        router = self._router = JobRouter(
            settings.name,
            self._owners,
            self._cluster_view,
            self._store,
            PeerClient(nursery),
            self._clock,
        )
        app = self._app = IngressApp(
            self._cluster_view,
            router,
            self._calls,
            self._metrics,
            self._clock,
            settings.bounds.revoke_ms,
            lambda: self._is_draining,
            int(settings.readiness_address.rpartition(":")[2]),
            settings.metrics_port,
        )
        nursery.start_soon(self._cluster_view.operator_mirror.run)
        nursery.start_soon(self._cluster_view.system_mirror.run)
        nursery.start_soon(self._workers.run)
        nursery.start_soon(self._store_monitor.run)
        nursery.start_soon(self._loop_monitor.run)
        nursery.start_soon(self._lease.run)
        nursery.start_soon(self._election.run)
        nursery.start_soon(
            serve_peers,
            settings.ip,
            settings.peer_port,
            router.handle_peer_call,
        )
        nursery.start_soon(self._watch_settings)
        server = HttpServer(
            app,
            (
                settings.client_address,
                settings.readiness_address,
                f"{settings.ip}:{settings.metrics_port}",
            ),
            count_unanswered=lambda by, stage: self._metrics.count(
                "requests_unanswered", by=by.value, stage=stage.value
            ),
        )
        nursery.start_soon(self._handle_signals, signals, server, nursery)
        await server.run()

    def _may_hand_over(self, shard: str) -> bool:
        """Whether a successor would not begin anew to wait for earlier workers."""
        owner = self._owners.get(shard)
        return owner is None or owner.knows_all_runs

    async def _run_shard(self, ownership: Ownership) -> None:
        if ownership.shard == FLEET_SHARD:
            await self._run_fleet(ownership)
            return
        self._workers.add_reader(ownership.shard)
        owner = ShardOwner(
            ownership,
            self._settings,
            self._store,
            self._lease,
            self._cluster_view,
            self._workers,
            self._client,
            self._clock,
            self._metrics,
            self._overload,
        )
        self._owners[ownership.shard] = owner
        try:
            await self._run_isolated(ownership, owner.run)
        finally:
            if self._owners.get(ownership.shard) is owner:
                del self._owners[ownership.shard]

    async def _run_fleet(self, ownership: Ownership) -> None:
        fleet = FleetOwner(
            ownership,
            self._settings,
            self._store,
            self._lease,
            self._cluster_view,
            self._workers,
            self._clock,
            self._metrics,
            self._router.pool_report,
        )
        await self._run_isolated(ownership, fleet.run)

    async def _run_isolated(
        self, ownership: Ownership, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a shard; an error in one shard must not stop the whole instance."""
        try:
            await run()
        except* OwnershipLostError as group:
            self._election.step_down(ownership, str(_first_cause(group)))
        except* Exception as group:
            self._log.exception("shard_failed", shard=ownership.shard)
            self._metrics.count("shard_failures")
            await self._election.resign(ownership, repr(_first_cause(group)))

    def _exit_unless_stopping(self, _number: int, _frame: object) -> None:
        """Handle a SIGTERM before the receiver opens or that it returns on closing."""
        if not self._is_draining:
            sys.exit(0)

    async def _handle_signals(
        self, signals: AsyncIterator[int], server: HttpServer, nursery: trio.Nursery
    ) -> None:
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                self._reload()
            elif not self._is_draining:
                self._is_draining = True
                nursery.start_soon(self._stop, server, nursery)

    def _reload(self) -> None:
        try:
            settings = load_platform_settings(settings_path())
        except SettingsError as error:
            self._log.error("reload_failed", error=str(error))
            return
        changed = self._settings.changed_fields(settings)
        self._settings = settings
        self._app.set_revoke_ms(settings.bounds.revoke_ms)
        self._log.info(
            "reloaded",
            changed=changed,
            after_restart=[name for name in changed if name not in _RELOADABLE],
        )

    async def _watch_settings(self) -> None:
        """Reload the settings when the file changes without a signal."""
        path = settings_path()
        while True:
            await trio.sleep(SETTINGS_CHECK_INTERVAL_S)
            current = _file_version(path)
            if current != self._file_version:
                self._file_version = current
                self._reload()

    async def _stop(self, server: HttpServer, nursery: trio.Nursery) -> None:
        """Give up the shards, answer the requests that arrive and end the server."""
        shutdown_ms = self._settings.bounds.shutdown_ms
        self._log.info(
            "stopping", n_shards=self._election.n_owned, shutdown_ms=shutdown_ms
        )
        started_s = trio.current_time()
        self._election.is_draining = True
        answer_ms = int(_ANSWER_FRACTION * shutdown_ms)
        self._calls.end_by(self._clock.now_ms + answer_ms)
        nursery.start_soon(self._leave)
        # The last request that the balancer sends needs time for its answer too.
        await trio.sleep(min(BALANCER_LAG_S, answer_ms / 2000))
        server.stop()
        await trio.sleep_until(started_s + _EXIT_FRACTION * shutdown_ms / 1000)
        self._log.warning("stop_timeout", n_connections=server.n_connections)
        nursery.cancel_scope.cancel()

    async def _leave(self) -> None:
        with trio.move_on_after(_LEAVE_TIMEOUT_S) as scope:
            await self._election.leave()
        if scope.cancelled_caught:
            self._lease.abandon()


def _load_first_settings(path: str) -> PlatformSettings:
    """Load the settings of a process that starts; the file may just be written."""
    until_s = time.monotonic() + _SETTINGS_WRITE_S
    while time.monotonic() < until_s:
        try:
            return load_platform_settings(path)
        except SettingsError:
            time.sleep(_SETTINGS_RETRY_S)
    return load_platform_settings(path)


def main(instance_settings_path: str | None = None) -> None:
    """Run an instance with the platform's settings file that the environment names.

    Parameters
    ----------
    instance_settings_path : str, optional
        Path of the operators' settings; without it they have their defaults.

    Raises
    ------
    SettingsError
        The settings are invalid.
    """
    path = settings_path()
    file_version = _file_version(path)
    settings = _load_first_settings(path)
    overload = load_instance_settings(instance_settings_path).overload
    buffer = logs.configure(settings.name)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(buffer.run)
            await Instance(settings, file_version, overload, PROCESS_STARTED_MS).run()
            nursery.cancel_scope.cancel()

    try:
        trio.run(run, clock=BootTrioClock())
    finally:
        buffer.flush()
