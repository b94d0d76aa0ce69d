"""Entry instances and stand-ins as processes on loopback, of a given size."""

import json
import os
import signal
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import httpcore
import msgspec
import trio
import yaml

from apricotgap.client import make_key
from apricotgap.model import Configuration
from bench.fleets import Size, configuration
from bench.measuring import memory_mb, process_ms
from demo.processes import Process

__all__ = ["Deployment", "Usage", "call", "free_address"]

_N_WORKERS_IN_PROCESS = 200
_START_TIMEOUT_S = 60.0


# Below the range from which the kernel takes the ports of outgoing connections, which
# could otherwise be in use when a process comes to listen.
_ports = iter(range(10_000 + os.getpid() % 17_000, 32_000))


def free_address() -> str:
    """Return a loopback address that is free and is not returned again."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError("no free port is left")


async def call(
    method: str,
    url: str,
    data: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Make one HTTP call and return the decoded answer."""
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), 30.0)
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            url,
            headers=list((headers or {}).items()),
            content=json.dumps(data).encode() if data is not None else None,
            extensions={"timeout": timeouts},
        )
    if response.status != 200:
        raise RuntimeError(f"{url}: {response.status} {response.content[:300]!r}")
    return json.loads(response.content)


class Usage:
    """What the entry instances have used so far."""

    def __init__(self, deployment: "Deployment", counters: dict[str, Any]) -> None:
        self.at_s = trio.current_time()
        self.counters = counters
        self.cpu_ms = {n: process_ms(pid) for n, pid in deployment.pids.items()}
        self.memory_mb = {n: memory_mb(pid) for n, pid in deployment.pids.items()}
        self.n_bytes = {n: deployment.n_bytes(n) for n in deployment.pids}

    def cpu_share(self, before: "Usage") -> dict[str, float]:
        """Percent of a core of each entry instance since `before`."""
        elapsed_ms = (self.at_s - before.at_s) * 1000
        return {
            name: 100 * (ms - before.cpu_ms[name]) / elapsed_ms
            for name, ms in self.cpu_ms.items()
        }

    def bytes_per_s(self, before: "Usage") -> dict[str, dict[str, float]]:
        """Bytes a second of each entry instance by kind, since `before`."""
        elapsed_s = self.at_s - before.at_s
        rates: dict[str, dict[str, float]] = {}
        for name, counts in self.n_bytes.items():
            rates[name] = {
                kind: (n - before.n_bytes[name][kind]) / elapsed_s
                for kind, n in counts.items()
            }
        return rates


class Deployment:
    """Processes of one size; only the servers of the first data centres run.

    Parameters
    ----------
    folder : Path
        Holds settings, counts and logs.
    size : Size
        Numbers of objects. Entry instances are spread over the data centres.
    n_live_centres : int
        Data centres whose backend servers run.
    """

    def __init__(self, folder: Path, size: Size, n_live_centres: int = 1) -> None:
        self._folder = folder
        self._size = size
        self._n_live_centres = n_live_centres
        self._credential, digest = make_key()
        self._digest = digest
        self._processes: list[Process] = []
        self.platform_url = ""
        self.store_url = ""
        self.http: dict[str, str] = {}
        self.centre_of: dict[str, str] = {}
        self.entries: dict[str, Process] = {}
        self.config = configuration(size)

    @property
    def pids(self) -> dict[str, int]:
        """Process ids of the entry instances."""
        return {
            name: process.process.pid
            for name, process in self.entries.items()
            if process.process is not None
        }

    def n_bytes(self, name: str) -> Counter[str]:
        """Bytes counted by an entry instance, by kind and direction."""
        path = self._folder / f"{name}.json"
        for _ in range(5):
            try:
                return Counter(json.loads(path.read_text()))
            except (OSError, ValueError):
                continue
        return Counter()

    async def start(self) -> None:
        """Start every process and put the configuration in force."""
        platform = await self._start(["-m", "standins.platform"], "platform")
        self.store_url, self.platform_url = platform["store"], platform["platform"]
        addresses = await self._start_backends()
        self.config = configuration(self._size, addresses)
        listed = [{"name": n, "state": "live"} for n in self.config.instances]
        await call(
            "POST",
            f"{self.platform_url}/standin/instances",
            {"instances": listed, "settled": True},
        )
        await self._start_entries()
        await self._apply(self.config)

    async def _start(self, command: list[str], name: str) -> dict[str, Any]:
        process = Process(name, command, self._folder / f"{name}.log")
        self._processes.append(process)
        return await process.start(wait_for_line=True)

    async def _start_backends(self) -> dict[str, str]:
        live = {f"dc{i:02d}" for i in range(self._n_live_centres)}
        names = [
            i.name for i in self.config.instances.values() if i.data_centre in live
        ]
        addresses: dict[str, str] = {}
        for start in range(0, len(names), _N_WORKERS_IN_PROCESS):
            chunk = names[start : start + _N_WORKERS_IN_PROCESS]
            path = self._folder / f"backends-{start}.yaml"
            items = [{"name": n, "run_ms": 1} for n in chunk]
            path.write_text(yaml.safe_dump({"instances": items}))
            ready = await self._start(
                ["-m", "standins.backend_server", "--settings", str(path)],
                f"backends-{start}",
            )
            for name in chunk:
                addresses[name] = ready["instances"][name]["address"]
        return addresses

    async def _start_entries(self) -> None:
        n_centres = self._size.n_data_centres
        for i in range(self._size.n_entries):
            centre = f"dc{i % n_centres:02d}"
            self.centre_of[f"{centre}-e{i // n_centres}"] = centre
        seeds = {name: free_address() for name in self.centre_of}
        for name, centre in self.centre_of.items():
            self.http[name] = free_address()
            settings = {
                "entry": {
                    "name": name,
                    "data_centre": centre,
                    "http_address": self.http[name],
                    "peer_address": seeds[name],
                },
                "store": {"endpoints": [self.store_url]},
                "platform": {"endpoint": self.platform_url},
                "peers": {"secret": "bench-shared-secret-0123", "seeds": seeds},
                "operators": {"credential_digests": [self._digest]},
            }
            path = self._folder / f"{name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            command = ["-m", "bench.counted_entry", str(path)]
            command.append(str(self._folder / f"{name}.json"))
            process = Process(name, command, self._folder / f"{name}.log")
            self.entries[name] = process
            await process.start(wait_for_line=False)
        with trio.fail_after(_START_TIMEOUT_S):
            for name in self.entries:
                await self._until_linked(name)

    async def _until_linked(self, name: str) -> None:
        while True:
            try:
                if (await self.operator("status", {}, name))["view"] == "linked":
                    return
            except (httpcore.NetworkError, httpcore.TimeoutException, RuntimeError):
                pass
            await trio.sleep(0.3)

    async def operator(
        self, action: str, arguments: dict[str, Any], entry: str = ""
    ) -> dict[str, Any]:
        """Call an operator action at an entry instance, the first by default."""
        address = self.http[entry or next(iter(self.http))]
        found: dict[str, Any] = await call(
            "POST",
            f"http://{address}/v1/operator/{action}",
            arguments,
            {"Authorization": f"Bearer {self._credential}"},
        )
        return found

    async def _apply(self, config: Configuration) -> None:
        kinds = ("data_centres", "pools", "instances", "teams", "keys", "queues")
        arguments = {}
        for kind in (*kinds, "budgets"):
            system = {"state", "home_pool", "lent_for"}
            arguments[kind] = [
                {k: v for k, v in msgspec.to_builtins(item).items() if k not in system}
                for item in getattr(config, kind).values()
            ]
        await self.operator("apply", arguments)

    async def fault(self, kind: str, **options: object) -> None:
        """Set a fault of the platform; `for_ms` ends it."""
        await call(
            "POST",
            f"{self.platform_url}/standin/faults",
            {"fault": kind, **options},
        )

    async def usage(self) -> Usage:
        """Read what was used so far."""
        counters = await call("GET", f"{self.platform_url}/standin/counters")
        return Usage(self, counters)

    async def stop(self) -> None:
        """End every process that this deployment started."""
        processes = [*self.entries.values(), *self._processes]
        for process in processes:
            process.send(signal.SIGKILL)
        for process in processes:
            if process.process is not None:
                await process.wait()
