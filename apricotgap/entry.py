"""The daemon of an entry instance: runs the reducer with its drivers."""

import secrets
import signal
import ssl
import time
from collections.abc import Callable
from random import Random
from typing import Any

import structlog
import trio

import apricotgap.core.handlers  # noqa: F401  registers every handler
from apricotgap.clock import TrioClock
from apricotgap.core.effects import (
    AnswerOperator,
    ConnectPeers,
    Count,
    Effect,
    Exit,
    LogChange,
    Observe,
    SendPeer,
)
from apricotgap.core.events import Started, StopRequested
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.drivers.backends import BackendDriver
from apricotgap.drivers.bodies import BodyBuffer
from apricotgap.drivers.callers import CallerApp
from apricotgap.drivers.etcd_store import EtcdStore
from apricotgap.drivers.forwarded_bodies import BodyDriver
from apricotgap.drivers.http import Receive, Scope, Send, send_json
from apricotgap.drivers.http_server import HttpServer
from apricotgap.drivers.instances import InstancesDriver
from apricotgap.drivers.operators import OperatorApp
from apricotgap.drivers.peers import PeerDriver
from apricotgap.drivers.runtime import Runtime
from apricotgap.drivers.spans import RequestSpans
from apricotgap.drivers.store_driver import StoreDriver
from apricotgap.model.peers import PeerMessage
from apricotgap.settings import Settings, TlsSettings
from apricotgap.telemetry import Telemetry, configure_logs

__all__ = ["EntryDaemon", "main"]

# Longer than the idle timeout of usual load balancers.
_KEEP_ALIVE_TIMEOUT_S = 75.0
# For the answers to requests that have been read when the instance has handed back.
_ANSWER_TIMEOUT_S = 5.0


class EntryDaemon:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = TrioClock()
        self._telemetry = Telemetry(settings.entry.name, settings.telemetry)
        self._stopped = trio.Event()
        self._log = structlog.get_logger().bind(entry=settings.entry.name)
        entry = settings.entry
        self._identity = Identity(
            entry.name,
            f"{time.time_ns() // 1_000_000:x}-{secrets.token_hex(8)}",
            entry.data_centre,
            str(entry.peer_address),
            str(entry.http_address),
        )
        state = EntryState(
            self._identity, Random(secrets.randbits(64)), seeds=_peer_seeds(settings)
        )
        state.lifecycle.balancer_lag_ms = int(settings.limits.balancer_lag)
        state.lifecycle.stop_timeout_ms = int(settings.limits.stop_timeout)
        self._runtime = Runtime(Reducer(state), self._clock)
        self._create_drivers(settings)

    @property
    def runtime(self) -> Runtime:
        """Event loop that runs the reducer."""
        return self._runtime

    def _create_drivers(self, settings: Settings) -> None:
        post = self._runtime.post
        bodies = BodyBuffer(settings.limits.max_retained_answers)
        spans = RequestSpans(self._telemetry)
        name = settings.entry.name
        self._callers = CallerApp(
            name,
            self._identity.incarnation,
            post,
            self._clock,
            bodies,
            spans,
            settings.limits,
        )
        self._operators = OperatorApp(
            settings.operators.credential_digests, post, self._clock
        )
        self._backends = BackendDriver(post, self._clock, bodies, spans)
        store = EtcdStore(settings.store.endpoints, name, settings.store.timeout)
        self._store = StoreDriver(store, post, self._clock)
        self._bodies = BodyDriver(
            f"{name}.{self._identity.incarnation}",
            post,
            self._clock,
            bodies,
            store,
            self._send_to_peer,
        )
        self._instances = InstancesDriver(
            settings.platform.endpoint, post, self._clock, name
        )
        self._peers = PeerDriver(
            self._identity,
            settings.peer_secret,
            settings.entry.peer_address,
            self._bodies.post_from_peer,
            self._clock,
            server_tls=_tls_context(settings.peers.tls, server=True),
            client_tls=_tls_context(settings.peers.tls, server=False),
        )
        self._http = HttpServer(
            self._application,
            (settings.entry.http_address,),
            tls=_tls_context(settings.tls, server=True),
            max_head_bytes=settings.limits.max_headers,
            keep_alive_timeout_s=_KEEP_ALIVE_TIMEOUT_S,
        )
        self._register_runners()

    def _send_to_peer(self, peer: str, message: PeerMessage) -> None:
        self._peers.send(peer, message)

    def _register_runners(self) -> None:
        telemetry = self._telemetry
        runners: dict[type[Effect], Callable[..., None]] = {
            Count: telemetry.count,
            Observe: telemetry.observe,
            LogChange: telemetry.log_change,
            Exit: lambda effect: self._stopped.set(),
            AnswerOperator: self._operators.answer,
            SendPeer: lambda effect: self._send_to_peer(effect.peer, effect.message),
            ConnectPeers: lambda effect: self._peers.connect(effect.addresses),
        }
        for driver in (self._store, self._instances):
            runners |= dict.fromkeys(driver.handles, driver.run)
        runners |= self._callers.runners
        runners |= self._backends.runners
        runners |= self._bodies.runners
        self._runtime.register(runners)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until a graceful shutdown has completed."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._store.serve)
            await nursery.start(self._instances.serve)
            await nursery.start(self._backends.run)
            await nursery.start(self._bodies.run)
            await nursery.start(self._peers.run)
            async with trio.open_nursery() as serving:
                await serving.start(self._http.run)
                self._log.info("listening", http=self._settings.entry.http_address)
                nursery.start_soon(self._watch_signals)
                self._runtime.post(Started(self._clock.now_ms))
                nursery.start_soon(self._runtime.tick)
                task_status.started()
                await self._stopped.wait()
                self._http.stop()
                serving.cancel_scope.deadline = trio.current_time() + _ANSWER_TIMEOUT_S
            if serving.cancel_scope.cancelled_caught:
                self._log.warning("stop_timeout", timeout_s=_ANSWER_TIMEOUT_S)
            self._log.info("stopped")
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self._runtime.post(StopRequested(self._clock.now_ms))

    async def _application(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["path"].startswith("/v1/operator/"):
            await self._operators(scope, receive, send)
        elif scope["path"] == "/metrics":
            await send_json(send, 200, self._telemetry.snapshot())
        else:
            await self._callers(scope, receive, send)

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                if self._runtime.reducer.state.stopping:
                    self._log.info("stop_forced", signal=number)
                    self._stopped.set()
                    return
                self._log.info("stopping", signal=number)
                self.stop()


def _peer_seeds(settings: Settings) -> dict[str, str]:
    return {
        name: str(address)
        for name, address in settings.peers.seeds.items()
        if name != settings.entry.name
    }


def _tls_context(tls: TlsSettings | None, *, server: bool) -> Any:
    if tls is None:
        return None
    purpose = ssl.Purpose.CLIENT_AUTH if server else ssl.Purpose.SERVER_AUTH
    context = ssl.create_default_context(purpose, cafile=tls.authority or None)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def main(settings: Settings) -> None:
    """Run an entry instance until it has stopped.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """
    configure_logs(settings.telemetry.log_format)
    trio.run(EntryDaemon(settings).run)
