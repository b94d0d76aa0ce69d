"""Instances as processes against stand-ins of the store and of workers."""

import json
import os
import signal
import socket
import subprocess
import sys
from base64 import b64decode
from contextlib import asynccontextmanager, closing
from pathlib import Path
from random import SystemRandom

import trio

from soak.proxy import FaultyProxy
from standins.advice_service import AdviceService
from standins.machine_service import MachineService, StandinMachine
from standins.task_worker import TaskWorker
from standins.transactional_store import TransactionalStore
from tests.loopback import call

ROOT = Path(__file__).parent.parent
SERVICE = "bakery"
SPARE = "spare"
HOST = "h.example"
KEY = "k-bakers"

_SETTINGS = """
nodeName = "{name}"
ip = "127.0.0.1"
zone = "a"
internalPorts = [{peer}, {metrics}]
heartbeatMs = 500
advice = "{advice}"
[listenAddrs]
frontendAddr = "127.0.0.1:{client}"
readinessAddr = "127.0.0.1:{ready}"
[bounds]
maxHoldMs = 6000
revokeMs = 5000
status_s = 120
[cloudApi]
address = "{machines}"
[platform]
address = "{store}"
minTtlMs = 1000
"""


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
                first.bind(("127.0.0.1", port))
                second.bind(("127.0.0.1", port + 1))
            except OSError:
                continue
        _given.update((port, port + 1))
        ports.append(port)
    return ports


class InstanceProcess:
    """One instance program."""

    def __init__(self, name, store_address, platform, folder):
        self.name = name
        client, ready, peer = free_ports(3)
        self.address = f"127.0.0.1:{client}"
        self.readiness = f"127.0.0.1:{ready}"
        self.metrics = f"127.0.0.1:{peer + 1}"
        self.log = Path(folder) / f"{name}.log"
        self._path = Path(folder) / f"{name}.toml"
        self._path.write_text(
            _SETTINGS.format(
                name=name,
                client=client,
                ready=ready,
                peer=peer,
                metrics=peer + 1,
                store=store_address,
                machines=platform.machines.listener.address,
                advice=platform.advice.listener.address,
            )
        )
        self._process = None

    def start(self):
        """Start the process unless it runs; faults may overlap."""
        if self.is_running:
            return
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "apricotgap", "serve"],
                cwd=ROOT,
                env={**os.environ, "APRICOTGAP_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )

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
        if self.is_running:
            self._process.kill()
            self._process.wait()

    def wait(self, timeout_s):
        """Wait for the end of the process; returns its exit code."""
        return self._process.wait(timeout_s)

    def end(self, grace_s):
        """Ask the process to stop and kill it when it has not after `grace_s`."""
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

    def __init__(self, n_workers, n_spare, task_ms):
        self.store = TransactionalStore()
        self.workers = [
            TaskWorker(f"w{n}", task_ms=task_ms) for n in range(n_workers + n_spare)
        ]
        self.machines = MachineService(self.store, SPARE)
        self.advice = AdviceService(lambda step, worker: True)
        for n, worker in enumerate(self.workers):
            pool = SERVICE if n < n_workers else SPARE
            machine = StandinMachine(f"m{n}", pool, worker)
            self.machines.machines[machine.name] = machine
        self.put("op/config", configuration())

    def put(self, key, document):
        """Write a document as the operator does."""
        self.store.put(key, json.dumps(document).encode())

    def get(self, key):
        """Return a document of the store, None without one."""
        item = self.store.items.get(key)
        return json.loads(b64decode(item.value)) if item else None

    async def start(self, nursery):
        """Serve until the nursery is cancelled."""
        await nursery.start(self.store.listener.run)
        await nursery.start(self.machines.listener.run)
        await nursery.start(self.advice.listener.run)
        nursery.start_soon(self.store.run_leases)
        nursery.start_soon(self.machines.run)
        for worker in self.workers:
            await nursery.start(worker.listener.run)
            nursery.start_soon(worker.run_tasks)
        # The workers' addresses are known only now.
        for machine in self.machines.machines.values():
            self.machines.add(machine)


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
        """Wait until all instances are ready and the service has an owner."""
        with trio.fail_after(15):
            for instance in self.instances:
                while not await _is_ready(instance):
                    await trio.sleep(0.05)
            while self.owner() is None:
                await trio.sleep(0.05)

    def starts_of(self, job_id):
        """Return the runs of a job that workers have begun."""
        return [
            run
            for worker in self.workers
            for run in worker.starts
            if run.task.startswith(f"{job_id}.")
        ]

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
            run.task
            for worker in self.workers
            for run in worker.starts
            if run.end in ("done", "listed")
        }


async def _is_ready(instance):
    try:
        with trio.move_on_after(1):
            host, _, port = instance.readiness.partition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await stream.receive_some(100)
    except OSError:
        return False
    return False


@asynccontextmanager
async def open_cluster(folder, n_instances=2, task_ms=100, n_workers=2, n_spare=0):
    """Run a cluster until the block ends."""
    platform = Platform(n_workers, n_spare, task_ms)
    async with trio.open_nursery() as nursery:
        await platform.start(nursery)
        proxies = [FaultyProxy(platform.store.address) for _ in range(n_instances)]
        for proxy in proxies:
            await nursery.start(proxy.run)
        instances = [
            InstanceProcess(f"i{n}", proxy.address, platform, folder)
            for n, proxy in enumerate(proxies)
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
