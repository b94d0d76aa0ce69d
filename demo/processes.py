"""Starts stand-ins and entry instances as separate processes."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import trio
import yaml

__all__ = ["Fleet", "Process", "free_port"]

_START_TIMEOUT_S = 20.0
_ROOT = Path(__file__).resolve().parent.parent


# Below the usual range of ephemeral ports, so that no outgoing connection takes the
# port of a listener while it restarts.
_PORTS = iter(random.Random(os.getpid()).sample(range(20_000, 30_000), 5_000))


def free_port() -> int:
    """Return a loopback port that was free a moment ago."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


class Process:
    """A child process whose first line on standard output tells that it listens.

    Parameters
    ----------
    name : str
        For messages.
    command : list of str
        Arguments after the Python interpreter.
    log : Path
        File that takes standard error.
    """

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self._command = [sys.executable, *command]
        self._log = log
        self.process: trio.Process | None = None

    async def start(self, *, wait_for_line: bool) -> dict[str, Any]:
        """Start the process and return the JSON object of its first line."""
        with self._log.open("ab") as log:
            self.process = await trio.lowlevel.open_process(
                self._command,
                stdout=subprocess.PIPE if wait_for_line else subprocess.DEVNULL,
                stderr=log,
                cwd=_ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        if not wait_for_line:
            return {}
        line = b""
        stdout = self.process.stdout
        assert stdout is not None
        with trio.fail_after(_START_TIMEOUT_S):
            while not line.endswith(b"\n"):
                chunk = await stdout.receive_some(65_536)
                if not chunk:
                    raise RuntimeError(f"{self.name} ended before it listened")
                line += chunk
        found: dict[str, Any] = json.loads(line)
        return found

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end and return the exit code."""
        assert self.process is not None
        return await self.process.wait()


class Fleet:
    """The platform, backend servers and entry instances of one deployment.

    Parameters
    ----------
    folder : Path
        Holds settings and logs.
    example : Path
        Fleet file, as for ``apricotgap apply``.
    data_centres : list of str
        Data centres of the fleet file to run.
    n_entries : int
        Entry instances in each data centre.
    apart : str
        Instance that gets a backend server process of its own.
    """

    def __init__(
        self,
        folder: Path,
        example: Path,
        data_centres: list[str],
        n_entries: int,
        apart: str,
    ) -> None:
        self._folder = folder
        self._spec = yaml.safe_load(example.read_text())
        self._data_centres = data_centres
        self._n_entries = n_entries
        self._apart = apart
        self.platform: Process | None = None
        self.store_url = ""
        self.platform_url = ""
        self.backends: dict[str, Process] = {}
        self.controls: dict[str, str] = {}
        self.entries: dict[str, Process] = {}
        self.http: dict[str, str] = {}
        self.data_centre_of: dict[str, str] = {}
        self.fleet_file = folder / "fleet.yaml"

    @property
    def spec(self) -> dict[str, Any]:
        """The fleet as applied, with loopback addresses."""
        found: dict[str, Any] = self._spec
        return found

    async def start(self, credential_digest: str) -> None:
        """Start every process."""
        await self._start_platform()
        await self._start_backends()
        self.fleet_file.write_text(yaml.safe_dump(self._spec, sort_keys=False))
        await self._start_entries(credential_digest)

    async def _start_platform(self) -> None:
        self.platform = Process(
            "platform", ["-m", "standins.platform"], self._folder / "platform.log"
        )
        ready = await self.platform.start(wait_for_line=True)
        self.store_url, self.platform_url = ready["store"], ready["platform"]

    async def _start_backends(self) -> None:
        self._spec["data_centres"] = [
            d for d in self._spec["data_centres"] if d["name"] in self._data_centres
        ]
        instances = [
            i for i in self._spec["instances"] if i["data_centre"] in self._data_centres
        ]
        self._spec["instances"] = instances
        groups: dict[str, list[dict[str, Any]]] = {}
        for instance in instances:
            group = instance["data_centre"]
            if instance["name"] == self._apart:
                group = self._apart
            groups.setdefault(group, []).append(instance)
        async with trio.open_nursery() as nursery:
            for group, members in groups.items():
                nursery.start_soon(self._start_backend, group, members)

    async def restart_apart(self) -> None:
        """Start the killed backend server again at its address."""
        members = [i for i in self._spec["instances"] if i["name"] == self._apart]
        await self._start_backend(self._apart, members, same_address=True)

    async def _start_backend(
        self, group: str, members: list[dict[str, Any]], same_address: bool = False
    ) -> None:
        path = self._folder / f"backend-{group}.yaml"
        items = [
            {
                "name": m["name"],
                "address": m["address"] if same_address else f"127.0.0.1:{free_port()}",
                "slots": m["slots"],
                "connections": m["connections"],
                "clock_offset_ms": 1_000 * index,
            }
            for index, m in enumerate(members)
        ]
        path.write_text(yaml.safe_dump({"instances": items}))
        process = Process(
            f"backend {group}",
            ["-m", "standins.backend_server", "--settings", str(path)],
            self._folder / f"backend-{group}.log",
        )
        self.backends[group] = process
        ready = await process.start(wait_for_line=True)
        for member in members:
            found = ready["instances"][member["name"]]
            member["address"] = found["address"]
            self.controls[member["name"]] = found["control"]

    async def _start_entries(self, credential_digest: str) -> None:
        names = [
            (f"{dc}-{n}", dc)
            for dc in self._data_centres
            for n in range(1, self._n_entries + 1)
        ]
        seeds = {name: f"127.0.0.1:{free_port()}" for name, _ in names}
        for name, data_centre in names:
            self.data_centre_of[name] = data_centre
            self.http[name] = f"127.0.0.1:{free_port()}"
            settings = {
                "entry": {
                    "name": name,
                    "data_centre": data_centre,
                    "http_address": self.http[name],
                    "peer_address": seeds[name],
                },
                "store": {"endpoints": [self.store_url]},
                "platform": {"endpoint": self.platform_url},
                "peers": {"secret": "demo-shared-secret-0123", "seeds": seeds},
                "operators": {"credential_digests": [credential_digest]},
                "limits": {"balancer_lag": "500 ms", "stop_timeout": "20 s"},
            }
            path = self._folder / f"entry-{name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            await self.start_entry(name)

    async def start_entry(self, name: str) -> None:
        """Start, or start again, one entry instance."""
        process = Process(
            f"entry {name}",
            [
                "-m",
                "apricotgap",
                "entry",
                "--settings",
                str(self._folder / f"entry-{name}.yaml"),
            ],
            self._folder / f"entry-{name}.log",
        )
        self.entries[name] = process
        await process.start(wait_for_line=False)

    async def stop_entries(self) -> dict[str, int]:
        """Stop every running entry instance gracefully and return exit codes."""
        codes: dict[str, int] = {}

        async def stop(name: str, process: Process) -> None:
            process.send(signal.SIGTERM)
            codes[name] = await process.wait()

        async with trio.open_nursery() as nursery:
            for name, process in self.entries.items():
                if process.running:
                    nursery.start_soon(stop, name, process)
        return codes

    async def stop_rest(self) -> None:
        """Stop the stand-ins."""
        rest = [*self.backends.values(), *([self.platform] if self.platform else [])]
        for process in rest:
            process.send(signal.SIGTERM)
        for process in rest:
            if process.process is not None:
                with trio.move_on_after(5):
                    await process.wait()

    def kill_all(self) -> None:
        """End whatever still runs, after a failure."""
        everything = [*self.entries.values(), *self.backends.values()]
        if self.platform is not None:
            everything.append(self.platform)
        for process in everything:
            process.send(signal.SIGKILL)
