"""One seeded run: faults, clients and the promises that are checked."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import httpcore
import trio

from soak.cluster import Cluster, open_cluster
from standins.machine_service import OrderRecord

__all__ = ["FAULTS", "Report", "play"]

N_INSTANCES = 4
N_WORKERS = 3
N_SPARE = 2
TASK_MS = 300
STOP_GRACE_S = 6
# Orders of two holders for one machine are this far apart.
HOLDER_LEASE_MS = 3_000
# After the last fault everything accepted must be done within this time.
SETTLE_S = 30
_CALL_ERRORS = (OSError, httpcore.NetworkError, httpcore.ProtocolError)


@dataclass
class Report:
    """What callers and workers saw."""

    seed: int
    accepted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


Fault = Callable[[Cluster, Random], Awaitable[None]]


async def _kill(cluster: Cluster, random: Random) -> None:
    instance = random.choice(cluster.instances)
    instance.stop()
    await trio.sleep(random.uniform(0.1, 2))
    instance.start()


async def _kill_all(cluster: Cluster, random: Random) -> None:
    for instance in cluster.instances:
        instance.stop()
    await trio.sleep(random.uniform(0.1, 1))
    for instance in cluster.instances:
        instance.start()


async def _stop(cluster: Cluster, random: Random) -> None:
    instance = random.choice(cluster.instances)
    await trio.to_thread.run_sync(instance.end, STOP_GRACE_S)
    instance.start()


async def _pause(cluster: Cluster, random: Random) -> None:
    instance = random.choice(cluster.instances)
    instance.signal(signal.SIGSTOP)
    await trio.sleep(random.uniform(0.5, 5))
    instance.signal(signal.SIGCONT)


async def _store_busy(cluster: Cluster, random: Random) -> None:
    cluster.store.faults.is_busy = True
    await trio.sleep(random.uniform(0.5, 4))
    cluster.store.faults.is_busy = False


async def _lost_answers(cluster: Cluster, random: Random) -> None:
    cluster.store.faults.n_lost_answers = random.randint(1, 10)
    cluster.store.faults.n_late_writes = random.randint(0, 3)
    await trio.sleep(1)
    cluster.store.faults.n_lost_answers = cluster.store.faults.n_late_writes = 0


async def _history_lost(cluster: Cluster, random: Random) -> None:
    cluster.store.forget_history()


async def _cut(cluster: Cluster, random: Random) -> None:
    proxy = random.choice(cluster.proxies)
    ways = random.choice([(True, True), (True, False), (False, True)])
    proxy.silent_up, proxy.silent_down = ways
    await trio.sleep(random.uniform(0.5, 6))
    proxy.heal()


async def _reset(cluster: Cluster, random: Random) -> None:
    random.choice(cluster.proxies).reset_all()


async def _delay(cluster: Cluster, random: Random) -> None:
    proxy = random.choice(cluster.proxies)
    proxy.delay_ms = random.randint(20, 300)
    await trio.sleep(random.uniform(0.5, 4))
    proxy.heal()


async def _mute_worker(cluster: Cluster, random: Random) -> None:
    worker = random.choice(cluster.workers)
    worker.is_unanswering = True
    await trio.sleep(random.uniform(0.3, 3))
    worker.is_unanswering = False


async def _machines_busy(cluster: Cluster, random: Random) -> None:
    cluster.platform.machines.is_busy = True
    await trio.sleep(random.uniform(0.5, 4))
    cluster.platform.machines.is_busy = False


async def _orders_lost(cluster: Cluster, random: Random) -> None:
    cluster.platform.machines.n_lost_answers = random.randint(1, 4)


async def _crash_worker(cluster: Cluster, random: Random) -> None:
    """Let a worker die; its machine comes back with another life."""
    machines = list(cluster.platform.machines.machines.values())
    machine = random.choice(machines)
    if machine.state == "up":
        cluster.platform.machines.crash(machine.name)


async def _evacuate(cluster: Cluster, random: Random) -> None:
    cluster.platform.put("op/evacuate/a", {})
    await trio.sleep(random.uniform(0.5, 3))
    cluster.store.remove("op/evacuate/a")


async def _wave(cluster: Cluster, random: Random) -> None:
    names = sorted(cluster.platform.machines.machines)
    number = random.randint(1, 10**6)
    wave = {"wave": number, "machines": names, "durationS": 20, "maxCount": 1}
    cluster.platform.put(f"op/wave/{number}", wave)


FAULTS: dict[str, Fault] = {
    "kill": _kill,
    "kill_all": _kill_all,
    "stop": _stop,
    "pause": _pause,
    "store_busy": _store_busy,
    "lost_answers": _lost_answers,
    "history_lost": _history_lost,
    "cut": _cut,
    "reset": _reset,
    "delay": _delay,
    "mute_worker": _mute_worker,
    "machines_busy": _machines_busy,
    "orders_lost": _orders_lost,
    "crash_worker": _crash_worker,
    "evacuate": _evacuate,
    "wave": _wave,
}


def _job(random: Random) -> dict[str, object]:
    step = {"cpu": 500, "memMb": 10, "estimatedMs": TASK_MS}
    steps = [{**step, "count": random.randint(1, 4)}]
    if random.random() < 0.4:
        steps.append({**step, "count": random.randint(1, 3), "after": [0]})
    return {"spec": "x", "steps": steps}


async def _clients(
    cluster: Cluster, random: Random, report: Report, until: float
) -> None:
    number = 0
    while trio.current_time() < until:
        await trio.sleep(random.uniform(0.05, 0.3))
        number += 1
        job_id = f"{report.seed % 2**32:08x}{number:08x}"
        instance = random.choice(cluster.instances)
        status = 0
        try:
            with trio.move_on_after(3):
                status, _ = await cluster.request(
                    instance, "POST", job_id, _job(random)
                )
        except _CALL_ERRORS:
            continue
        if status == 200:
            report.accepted.add(job_id)
        elif status in (429, 503):
            report.refused.add(job_id)


async def _inject(
    cluster: Cluster, random: Random, report: Report, until: float
) -> None:
    while trio.current_time() < until:
        await trio.sleep(random.uniform(0.2, 1.5))
        name = random.choice(sorted(FAULTS))
        report.faults.append(name)
        await FAULTS[name](cluster, random)


async def _check(cluster: Cluster, report: Report) -> None:
    for job_id in sorted(report.accepted):
        try:
            await cluster.until_succeeded(cluster.instances[0], job_id, SETTLE_S)
        except trio.TooSlowError:
            report.problems.append(f"job {job_id} was accepted and is not done")
            return
    done = cluster.done_runs()
    for task in sorted({task for task in done if done.count(task) > 1}):
        report.problems.append(f"task {task} ended as done {done.count(task)} times")
    ran = {
        run.task.split(".")[0] for worker in cluster.workers for run in worker.starts
    }
    for job_id in sorted(ran & report.refused - report.accepted):
        report.problems.append(f"job {job_id} was refused and ran")


def _check_orders(cluster: Cluster, report: Report) -> None:
    """Check the turns of holders at a machine and the bound of a wave."""
    service = cluster.platform.machines
    last: dict[str, OrderRecord] = {}
    for order in service.orders:
        before = last.get(order.machine)
        last[order.machine] = order
        if before is None or before.holder == order.holder:
            continue
        gap_ms = order.at_ms - before.at_ms
        if order.token <= before.token or gap_ms < HOLDER_LEASE_MS:
            report.problems.append(
                f"{order.machine}: {before.holder} and {order.holder} take turns"
                f" after {gap_ms} ms"
            )
    upkeep = [order for order in service.orders if order.wave]
    for first, second in pairwise(upkeep):
        is_same = first.wave == second.wave
        if is_same and second.at_ms - first.at_ms < service.upkeep_ms:
            report.problems.append(f"wave {first.wave} has two machines down")


async def play(seed: int, folder: str, length_s: float) -> Report:
    """Play one seed.

    Parameters
    ----------
    seed : int
        Chooses faults and requests.
    folder : str
        Where settings and logs go.
    length_s : float
        How long faults are injected.
    """
    random = Random(seed)
    report = Report(seed)
    async with open_cluster(
        folder,
        n_instances=N_INSTANCES,
        n_workers=N_WORKERS,
        n_spare=N_SPARE,
        task_ms=TASK_MS,
    ) as cluster:
        until = trio.current_time() + length_s
        async with trio.open_nursery() as nursery:
            # Two series of faults overlap.
            for _ in range(2):
                series = Random(random.random())
                nursery.start_soon(_inject, cluster, series, report, until)
            nursery.start_soon(_clients, cluster, random, report, until)
        with trio.move_on_after(SETTLE_S):
            await cluster.until_ready()
        await _check(cluster, report)
        _check_orders(cluster, report)
    return report
