"""Instances as processes against stand-ins of the store and of workers."""

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from base64 import b64decode
from collections import defaultdict
from contextlib import asynccontextmanager, closing
from pathlib import Path
from random import SystemRandom

import trio

from soak.layout import HOST, settings_text
from soak.proxy import FaultyProxy
from standins.advice_service import AdviceService
from standins.machine_service import MachineService, StandinMachine
from standins.task_worker import TaskWorker
from standins.transactional_store import TransactionalStore
from tests.loopback import call

ROOT = Path(__file__).parent.parent


def _deployed_command():
    """Return the command of the deploy file, run by this interpreter."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    (role,) = deploy["roles"].values()
    return [sys.executable, *shlex.split(role["run"])[1:]]


COMMAND = _deployed_command()
SERVICE = "bakery"
SPARE = "spare"
KEY = "k-bakers"

_READY_TIMEOUT_S = 30
_START_TIMEOUT_S = 2  # more for each instance: they share the cores of a machine

_BOUNDS = {"maxHoldMs": 6_000, "revokeMs": 5_000, "status_s": 120}


def configuration(version=1, keys=(KEY,), advice=None):
    """Return the operators' configuration in the platform's form."""
    queue = {
        "name": "plans",
        "host": HOST,
        "prefix": "/plans/",
        "service": SERVICE,
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "maxAttempts": 3,
        "slackFactor": 1.6,
        "public": False,
    }
    if advice:
        queue["advice"] = advice
    return {
        "version": version,
        "routes": [queue],
        "services": [
            {"name": SERVICE, "admissionCheck": True, "standby": False},
            {"name": SPARE, "admissionCheck": True, "standby": True},
        ],
        "tenants": [{"name": "bakers", "apiKeys": list(keys), "weight": 1}],
    }


# Below the range from which the kernel takes ports of outgoing connections. Chosen at
# random, so that runs side by side do not count up through the same ports.
_PORTS = range(12_000, 32_000)
_RANDOM = SystemRandom()
# A loopback address of its own, so that no other program takes the ports of an
# instance while it is down.
_IP = (
    f"127.{_RANDOM.randint(1, 254)}.{_RANDOM.randint(0, 255)}.{_RANDOM.randint(1, 254)}"
)
_given: set[int] = set()


def free_ports(n):
    """Return free ports that are given out once; the one after each is free too."""
    ports = []
    while len(ports) < n:
        port = _RANDOM.choice(_PORTS)
        if {port, port + 1} & _given:
            continue
        with closing(socket.socket()) as first, closing(socket.socket()) as second:
            try:
                first.bind((_IP, port))
                second.bind((_IP, port + 1))
            except OSError:
                continue
        _given.update((port, port + 1))
        ports.append(port)
    return ports


class InstanceProcess:
    """One instance program."""

    def __init__(
        self, name, store_address, platform, folder, data_centre="a", bounds=_BOUNDS
    ):
        self.name = name
        self.data_centre = data_centre
        self.bounds = dict(bounds)
        self._client, self._ready, self._peer = free_ports(3)
        self.address = f"{_IP}:{self._client}"
        self.readiness = f"{_IP}:{self._ready}"
        self.metrics = f"{_IP}:{self._peer + 1}"
        self.log = Path(folder) / f"{name}.log"
        self._path = Path(folder) / f"{name}.toml"
        self._platform = platform
        self._store_address = store_address
        self._process = None
        self._started_s = 0.0
        # Whether the process may end because it was told to.
        self.is_wanted = False
        self.write_settings()

    def write_settings(self):
        """Write the settings file, as the platform does when settings change."""
        listen = {"frontendAddr": self.address, "readinessAddr": self.readiness}
        text = settings_text(
            self.bounds,
            {
                "listenAddrs": listen,
                "cloudApi": {"address": self._platform.machines.listener.address},
                "platform": {"address": self._store_address, "minTtlMs": 1_000},
            },
            nodeName=self.name,
            ip=_IP,
            zone=self.data_centre,
            internalPorts=[self._peer, self._peer + 1],
            heartbeatMs=500,
            advice=self._platform.advice.listener.address,
        )
        self._path.write_text(text)

    def start(self):
        """Start the process unless it runs; faults may overlap."""
        if self.is_running:
            return
        self.is_wanted = True
        self._started_s = time.monotonic()
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env={**os.environ, "APRICOTGAP_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )

    @property
    def process(self):
        """The process that was started last."""
        return self._process

    @property
    def age_s(self):
        """Time since the last start in seconds."""
        return time.monotonic() - self._started_s

    @property
    def pid(self):
        """Process id."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def stop(self):
        """Kill the process and wait for its end."""
        self.is_wanted = False
        if self.is_running:
            self._process.kill()
            self._process.wait()

    def wait(self, timeout_s):
        """Wait for the end of the process; returns its exit code."""
        return self._process.wait(timeout_s)

    def end(self, grace_s):
        """Ask the process to stop and kill it when it has not after `grace_s`."""
        self.is_wanted = False
        self.signal(SIGTERM)
        try:
            self.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.stop()

    def lines(self, event):
        """Return the log lines of an event."""
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{") and (row := json.loads(line))["event"] == event:
                found.append(row)
        return found


class Platform:
    """Stand-ins of the store, the machines with their workers, and the advice."""

    def __init__(self, configuration, machines, spare_pool=SPARE):
        self.store = TransactionalStore()
        self.machines = MachineService(self.store, spare_pool)
        self.advice = AdviceService(lambda step, worker: True)
        self.machines.machines.update({machine.name: machine for machine in machines})
        self.workers = [machine.worker for machine in machines]
        self._nursery = None
        self.put("op/config", configuration)

    @property
    def services(self):
        """Services that run tasks."""
        document = self.get("op/config")
        return [
            each["name"] for each in document["services"] if not each.get("standby")
        ]

    def put(self, key, document):
        """Write a document as the operator does."""
        self.store.put(key, json.dumps(document).encode())

    def read(self, key):
        """Return the bytes of a key of the store, None without one."""
        item = self.store.items.get(key)
        return b64decode(item.value) if item else None

    def get(self, key):
        """Return a document of the store, None without one."""
        data = self.read(key)
        return None if data is None else json.loads(data)

    async def start(self, nursery):
        """Serve until the nursery is cancelled."""
        await nursery.start(self.store.listener.run)
        await nursery.start(self.machines.listener.run)
        await nursery.start(self.advice.listener.run)
        nursery.start_soon(self.store.run_leases)
        nursery.start_soon(self.machines.run)
        self._nursery = nursery
        for worker in self.workers:
            await self._serve(worker)
        # The workers' addresses are known only now.
        for machine in list(self.machines.machines.values()):
            self.machines.add(machine)

    async def _serve(self, worker):
        await self._nursery.start(worker.listener.run)
        self._nursery.start_soon(worker.run_tasks)

    async def join(self, machine):
        """Add a machine while others run."""
        await self._serve(machine.worker)
        self.workers.append(machine.worker)
        self.machines.add(machine)

    async def return_with(self, machine, worker):
        """Let a machine that is dark come back with a worker at its own address."""
        await self._serve(worker)
        self.workers.append(worker)
        self.machines.return_with(machine, worker)


class Cluster:
    """The platform and instances."""

    def __init__(self, platform, instances, proxies):
        self.platform = platform
        self.store = platform.store
        self.workers = platform.workers
        self.instances = instances
        self.proxies = proxies

    def owner(self):
        """Return the instance that claimed the service last."""
        claims = [
            (line["epoch"], instance)
            for instance in self.instances
            for line in instance.lines("claim")
            if line["shard"] == SERVICE and line["outcome"] == "Stored"
        ]
        return max(claims, key=lambda claim: claim[0])[1] if claims else None

    async def request(self, instance, method, job_id, body=None, key=KEY):
        """Call an instance as a caller does; returns the status and the document."""
        headers = [
            ("Host", HOST),
            ("Api-Key", key),
            ("Content-Type", "application/json"),
        ]
        return await call(method, instance.address, f"/plans/{job_id}", body, headers)

    async def until_succeeded(self, instance, job_id, timeout_s=15):
        """Wait until a job is shown as succeeded."""
        with trio.fail_after(timeout_s):
            while True:
                status, document = await self.request(instance, "GET", job_id)
                if status == 200 and document["state"] == "succeeded":
                    return
                await trio.sleep(0.05)

    async def until_ready(self):
        """Wait until all instances are ready and the services have owners."""
        start_s = _START_TIMEOUT_S * len(self.instances)
        with trio.fail_after(_READY_TIMEOUT_S + start_s):
            for instance in self.instances:
                while not await self.is_ready(instance):
                    await trio.sleep(0.05)
            while not all(
                f"sys/owners/{service}" in self.store.items
                for service in self.platform.services
            ):
                await trio.sleep(0.05)

    async def is_ready(self, instance):
        """Whether an instance says that it takes new connections."""
        try:
            with trio.move_on_after(1):
                host, _, port = instance.readiness.partition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                async with stream:
                    await stream.send_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    return b" 200 " in await stream.receive_some(100)
        except (OSError, trio.BrokenResourceError):
            return False
        return False

    def starts_of(self, job_id):
        """Return the runs of a job that workers have begun."""
        return [
            run
            for worker in self.workers
            for run in worker.starts
            if run.task.startswith(f"{job_id}.")
        ]

    def given_up_jobs(self):
        """Return the jobs that may fail: two machines crashed under one of their tasks.

        Only machines count whose worker had begun a run of the task that had not ended.
        """
        crashed = defaultdict(set)
        for worker in self.workers:
            for run in worker.starts:
                if run.end == "crashed":
                    crashed[run.task].add(worker.machine or worker.worker_id)
        return {task[:16] for task, machines in crashed.items() if len(machines) > 1}

    def done_runs(self):
        """Return the tasks that ended as done, with repetitions."""
        return [
            run.task
            for worker in self.workers
            for run in worker.starts
            if run.end == "done"
        ]

    def finished_tasks(self):
        """Return the tasks of which an instance may know that they ended as done."""
        return {
            task
            for worker in self.workers
            for run in worker.starts
            if run.end in ("done", "listed")
            for task in run.represented
        }


@asynccontextmanager
async def open_cluster(folder, n_instances=2, task_ms=100, n_workers=2, n_spare=0):
    """Run a cluster with one service until the block ends."""
    machines = [
        StandinMachine(
            f"m{n}",
            SERVICE if n < n_workers else SPARE,
            TaskWorker(f"w{n}", task_ms=task_ms, machine=f"m{n}"),
        )
        for n in range(n_workers + n_spare)
    ]
    platform = Platform(configuration(), machines)
    places = [("a", _BOUNDS)] * n_instances
    async with run_cluster(folder, platform, places) as cluster:
        with trio.fail_after(15):
            while cluster.owner() is None:
                await trio.sleep(0.05)
        yield cluster


@asynccontextmanager
async def run_cluster(folder, platform, places):
    """Run instances with a data centre and time limits each until the block ends."""
    async with trio.open_nursery() as nursery:
        await platform.start(nursery)
        proxies = [FaultyProxy(platform.store.address) for _ in places]
        for proxy in proxies:
            await nursery.start(proxy.run)
        instances = [
            InstanceProcess(f"i{n}", proxies[n].address, platform, folder, *place)
            for n, place in enumerate(places)
        ]
        try:
            for instance in instances:
                instance.start()
            cluster = Cluster(platform, instances, proxies)
            await cluster.until_ready()
            yield cluster
        finally:
            for instance in instances:
                instance.stop()
            nursery.cancel_scope.cancel()


SIGTERM, SIGKILL, SIGHUP = signal.SIGTERM, signal.SIGKILL, signal.SIGHUP
