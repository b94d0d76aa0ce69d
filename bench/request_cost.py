"""Processor time of a request through an entry and through a plain forwarder."""

import signal
import tempfile
from pathlib import Path

import httpcore
import trio

from bench.deployment import Deployment, free_address
from bench.fleets import Size, key_of
from bench.measuring import Check, Sample, process_ms, table
from demo.processes import Process

__all__ = ["run"]

SIZE = Size(40, 10, 5, 1, 1)
N_ROUNDS = 5
N_REQUESTS = 300
N_CALLERS = 8
BODY = b"x" * 1_000
# The entry also checks a key, queues, places, bounds and answers by task id.
MAX_RATIO = 3.0


async def _load(url: str, headers: list[tuple[str, str]]) -> None:
    left = N_REQUESTS

    async def one_caller(pool: httpcore.AsyncConnectionPool) -> None:
        nonlocal left
        while left > 0:
            left -= 1
            response = await pool.request("POST", url, headers=headers, content=BODY)
            if response.status != 200:
                raise RuntimeError(f"{url}: {response.status} {response.content!r}")

    async with httpcore.AsyncConnectionPool() as pool:
        async with trio.open_nursery() as nursery:
            for _ in range(N_CALLERS):
                nursery.start_soon(one_caller, pool)


async def _cpu_ms(pid: int, url: str, headers: list[tuple[str, str]]) -> float:
    before = process_ms(pid)
    await _load(url, headers)
    return (process_ms(pid) - before) / N_REQUESTS


async def _measure(folder: Path) -> dict[str, list[float]]:
    deployment = Deployment(folder, SIZE)
    forwarder = Process("forwarder", [], folder / "forwarder.log")
    try:
        await deployment.start()
        servers = [i.address for i in deployment.config.instances.values()]
        address = free_address()
        command = ["-m", "bench.forwarder", address, *servers]
        forwarder = Process("forwarder", command, folder / "forwarder.log")
        await forwarder.start(wait_for_line=True)
        assert forwarder.process is not None
        (entry,) = deployment.pids
        entry_url = f"http://{deployment.http[entry]}/v1/queues/queue-pool-001/requests"
        targets = {
            "forwarder": (forwarder.process.pid, f"http://{address}/", []),
            "entry": (
                deployment.pids[entry],
                entry_url,
                [("Authorization", f"Bearer {key_of('team-001')}")],
            ),
        }
        # The entry polls every server and gets its row before the first round.
        await trio.sleep(4)
        for pid, url, headers in targets.values():
            await _cpu_ms(pid, url, headers)
        found: dict[str, list[float]] = {name: [] for name in targets}
        for _ in range(N_ROUNDS):
            for name, (pid, url, headers) in targets.items():
                found[name].append(await _cpu_ms(pid, url, headers))
        return found
    finally:
        with trio.CancelScope(shield=True):
            forwarder.send(signal.SIGKILL)
            await deployment.stop()


def run() -> list[Check]:
    """Print the cost of a request and check the ratio."""
    with tempfile.TemporaryDirectory() as folder:
        found = trio.run(_measure, Path(folder))
    samples = {name: Sample(tuple(values)) for name, values in found.items()}
    rows = [(name, s.median, s.spread) for name, s in samples.items()]
    title = f"request of {len(BODY)} bytes, processor time of the process"
    print(table(title, ("process", "ms", "spread"), rows))
    ratio = samples["entry"].median / samples["forwarder"].median
    print(f"ratio of entry to forwarder: {ratio:.2f}")
    return [Check("request: entry to plain forwarder", ratio, MAX_RATIO)]
