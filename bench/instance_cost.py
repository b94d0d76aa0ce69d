"""Store calls for a job, time to its first start and memory of an instance.

Two instances as processes, four workers and the store as stand-ins on loopback.
"""

import json
import tempfile
from collections import Counter
from datetime import datetime
from pathlib import Path
from statistics import median

import trio

from bench.measuring import Check, table
from soak.cluster import Cluster, open_cluster

__all__ = ["run"]

IDLE_S = 6
N_JOBS = 60
JOB_GAP_S = 0.1
N_TASKS = 10
MAX_FIRST_START_MS = 60
MAX_RESIDENT_MB = 110
_JOB = {
    "spec": "x",
    "steps": [{"count": N_TASKS, "cpu": 500, "memMb": 10, "estimatedMs": 200}],
}


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no resident memory")


def _first_starts_ms(cluster: Cluster) -> list[float]:
    """Return the time from each job's acceptance to its first start."""
    accepted: dict[str, datetime] = {}
    started: dict[str, datetime] = {}
    for instance in cluster.instances:
        for line in instance.log.read_text().splitlines():
            row = json.loads(line)
            at = datetime.fromisoformat(row["timestamp"])
            if row["event"] == "job_accepted":
                accepted[row["job"]] = at
            elif row["event"] == "runs_started":
                started.setdefault(row["task"].partition(".")[0], at)
    return [
        (started[job_id] - at).total_seconds() * 1_000
        for job_id, at in accepted.items()
        if job_id in started
    ]


async def _measure(folder: str) -> tuple[Counter[str], float, list[float], float]:
    async with open_cluster(folder, task_ms=200, n_workers=4) as cluster:
        await trio.sleep(2)
        before = Counter(cluster.store.n_calls)
        await trio.sleep(IDLE_S)
        idle = Counter(cluster.store.n_calls)
        idle.subtract(before)
        before = Counter(cluster.store.n_calls)
        started_s = trio.current_time()
        for n in range(N_JOBS):
            instance = cluster.instances[n % 2]
            await cluster.request(instance, "POST", f"{n:016x}", _JOB)
            await trio.sleep(JOB_GAP_S)
        for n in range(N_JOBS):
            await cluster.until_succeeded(cluster.instances[0], f"{n:016x}")
        span_s = trio.current_time() - started_s
        busy = Counter(cluster.store.n_calls)
        busy.subtract(before)
        await trio.sleep(0.5)
        calls = Counter(
            {
                kind: busy[kind] - idle[kind] * span_s / IDLE_S
                for kind in sorted(busy | idle)
            }
        )
        memory = max(_resident_mb(each.pid) for each in cluster.instances)
        return calls, span_s, _first_starts_ms(cluster), memory


def run() -> list[Check]:
    """Print the figures and check those that have a goal."""
    with tempfile.TemporaryDirectory() as folder:
        calls, span_s, starts_ms, memory = trio.run(_measure, folder)
    rows = [[kind, f"{count / N_JOBS:.2f}"] for kind, count in calls.items()]
    print(table(f"store calls for a job of {N_TASKS} tasks", ["call", "n"], rows))
    first_ms = median(starts_ms)
    print(
        f"{N_JOBS} jobs in {span_s:.1f} s; first start after {first_ms:.1f} ms at the "
        f"median, {max(starts_ms):.1f} ms at most; {memory:.1f} MB resident"
    )
    return [
        Check("first start, ms at the median", first_ms, MAX_FIRST_START_MS),
        Check("resident memory, MB", memory, MAX_RESIDENT_MB),
    ]
