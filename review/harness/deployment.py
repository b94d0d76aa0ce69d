"""A small deployment: stand-ins, and the project's own programs as processes."""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .http import Server, call, errors
from .store import Door, Store
from .worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"

SETTINGS = """
nodeName = "{name}"
role = "instance"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
internalPorts = [{peer}, {last}]
seedNodes = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","recover","sched","tenants","places","platform"]
commands = "call"
[zones]
a = "r"
b = "r"
[listenAddrs]
frontendAddr = "127.0.0.1:{client}"
readinessAddr = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
evacuateMs = 5000
maxHoldMs = 6000
stopTimeoutMs = 900
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
migrateS = 1.5
maintenanceS = 2
requireFencing = false
leaseMs = 3000
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
dutyPerS = 64.0
"""

_given = set()


def _free_ports(n):
    """Return the first of `n` ports in a row that are free."""
    while True:
        first = random.randrange(20_000, 31_000)
        ports = range(first, first + n)
        if _given.intersection(ports):
            continue
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    sock = stack.enter_context(socket.socket())
                    sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.update(ports)
        return first


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._zero_s = time.monotonic()

    def __call__(self, text):
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._zero_s:8.3f} {text}\n")
        self._file.flush()


class Instance:
    """One process of the deploy file."""

    def __init__(self, name, zone, door, cloud, folder, record):
        first = _free_ports(6)
        self.name = name
        self.door = door
        self.address = f"127.0.0.1:{first}"
        self.readiness = f"127.0.0.1:{first + 1}"
        self.log = folder / f"{name}.log"
        self._record = record
        self._path = folder / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                client=first,
                ready=first + 1,
                peer=first + 2,
                last=first + 5,
                store=door.address,
                cloud=cloud,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (self._role,) = deploy["roles"].values()
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(self._role["run"]),
                cwd=ROOT,
                env={
                    **keep,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "APRICOTGAP_NODE_FILE": str(self._path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record(f"instance {self.name}: starts")

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal."""
        self._record(f"instance {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it runs, and wait for its end."""
        if self.is_running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Whether the platform would send it new connections."""
        status, _ = await call(
            self.readiness, "GET", "/v1/ready", headers=[("Host", HOST)], timeout_s=1
        )
        return status == 200


class Cloud:
    """Stand-in of the platform's machines; each has its worker for good."""

    def __init__(self, workers):
        self._workers = workers
        self.server = Server(self._serve)

    async def _serve(self, request):
        if request.path != "/v1/machines":
            return 409, {"reason": "busy"}
        return 200, {
            "machines": [
                {
                    "machine": worker.machine,
                    "pool": worker.service,
                    "state": "up",
                    "zone": worker.zone,
                    "labels": worker.report()["labels"],
                    "freeCapacity": worker.report()["freeCapacity"],
                    "id": worker.worker_id,
                }
                for worker in self._workers
            ]
        }


class CannotRunError(Exception):
    """The case could not be played."""


class Deployment:
    """Store, workers, machines and instances.

    Parameters
    ----------
    case : Path
        Folder of the case, for `record.txt`.
    """

    def __init__(self, case):
        self.record = Record(Path(case) / "record.txt")
        self.store = Store(self.record)
        self.workers = []
        self.instances = []
        self._cloud = Cloud(self.workers)
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        # With REVIEW_LOGS, the logs of the instances are kept in that folder.
        self.folder = Path(os.environ.get("REVIEW_LOGS") or self._folder.name)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._tasks = []
        self._numbers = random.Random()

    async def __aenter__(self):
        await self._cloud.server.start()
        self._tasks.append(asyncio.create_task(self.store.run_leases()))
        return self

    async def __aexit__(self, *_):
        for instance in self.instances:
            instance.end()
        for task in self._tasks:
            task.cancel()
        self._folder.cleanup()

    def put(self, key, document):
        """Write a document as the operator does."""
        self.record(f"operator: writes {key}")
        self.store.put(key, json.dumps(document).encode())

    async def add_worker(self, worker_id, service, **options):
        """Add a worker."""
        worker = Worker(self.store, self.record, worker_id, service, **options)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def add_instance(self, name, zone="a"):
        """Start an instance."""
        door = Door(self.store)
        await door.server.start()
        instance = Instance(
            name, zone, door, self._cloud.server.address, self.folder, self.record
        )
        self.instances.append(instance)
        instance.start()
        return instance

    async def until(self, what, condition, timeout_s):
        """Wait for a condition; return whether it came about."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return True
            await asyncio.sleep(0.02)
        self.record(f"not within {timeout_s} s: {what}")
        return False

    async def until_ready(self, services):
        """Wait until all instances are ready and each service has an owner."""

        async def is_ready():
            if any(f"sys/owners/{each}" not in self.store.items for each in services):
                return False
            return all([await each.is_ready() for each in self.instances])

        if not await self.until("all ready", is_ready, 30):
            raise CannotRunError("the deployment did not become ready")

    def owner(self, service):
        """Return the instance whose name the owner key of a service holds."""
        value = self.store.value(f"sys/owners/{service}") or b""
        for instance in self.instances:
            if instance.name.encode() in value:
                return instance
        return None

    def new_id(self):
        """Return a job id."""
        return f"{self._numbers.getrandbits(64):016x}"

    async def ask(self, instance, method, path, document=None, timeout_s=3.0):
        """Call an instance as a client does."""
        headers = [
            ("Host", HOST),
            ("X-Apricotgap-Request-Deadline", "3000"),
        ]
        status, answer = await call(
            instance.address, method, path, document, headers, timeout_s
        )
        shown = json.dumps(document)[:80] if document else ""
        self.record(
            f"client: {method} {path} {shown} at {instance.name}: {status} {answer}"
        )
        return status, answer


def route(name, service):
    """Return a public route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "maxAttempts": 3,
        "slackFactor": 1.6,
        "public": True,
    }


def configuration(version, routes, services):
    """Return a configuration of public routes."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "admissionCheck": True} for name in services],
        "limits": {},
        "tenants": [],
    }


def job(n_tasks=1, cpu=1000, estimated_ms=300, **step):
    """Return a job of one step."""
    return {
        "spec": json.dumps({"cpu": cpu}),
        "steps": [
            {
                "count": n_tasks,
                "cpu": cpu,
                "memMb": 100,
                "estimatedMs": estimated_ms,
                **step,
            }
        ],
    }


def has_trouble():
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


# Exit codes of a case. `run.sh` turns the first into 1, and each other but 0 into 2: an
# exception that nobody caught must not look like a broken rule.
_BROKEN = 10
_CANNOT_RUN = 2


def play(main, folder):
    """Play a case and exit with its verdict."""

    async def run():
        async with asyncio.timeout(110):
            async with Deployment(folder) as deployment:
                broken = await main(deployment)
                if errors:
                    raise CannotRunError(f"fault of a stand-in: {errors[0]!r}")
                verdict = f"the rule is broken: {broken}" if broken else "the rule held"
                deployment.record(verdict)
                return verdict, broken

    try:
        verdict, broken = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}")
        raise SystemExit(_CANNOT_RUN) from error
    print(verdict)
    raise SystemExit(_BROKEN if broken else 0)
