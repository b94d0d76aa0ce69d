"""Tasks that start as the store is back start once more while they are at work."""

import asyncio
import itertools
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness.deployment import (  # noqa: E402
    CannotRunError,
    configuration,
    has_trouble,
    job,
    play,
    route,
)

SERVICE = "bakery"
N_WORKERS = 7
N_JOBS = 6
N_OUTAGES = 6
# From a renewal of the owner's lease on.
DOWN_S = 6.3
FIRST_S, SECOND_S = 3, 3


def _task_s(task):
    """Return how long a task works; tasks end apart from each other."""
    job_id, _, step, _ = task.split(".")
    return (FIRST_S, SECOND_S)[int(step)] + int(job_id[:2], 16) / 256


async def main(deployment):
    """Play the case; return what was broken, empty if the rule held."""
    record = deployment.record
    deployment.put("op/config", configuration(1, [route("plans", SERVICE)], [SERVICE]))
    workers = []
    for n in range(N_WORKERS):
        worker = await deployment.add_worker(f"w{n}", SERVICE)
        worker.task_s = _task_s
        workers.append(worker)
    for n in range(3):
        await deployment.add_instance(f"i{n}", "ab"[n % 2])
    await deployment.until_ready([SERVICE])
    await asyncio.sleep(2)

    for _ in range(N_OUTAGES):
        await _play_outage(deployment)
    runs = [run for each in workers for run in each.all_runs]
    twice = set()
    for one, other in itertools.combinations(runs, 2):
        if one.task == other.task and one.overlaps(other):
            twice.add(one.task)
            together_s = min(one.ended_s, other.ended_s) - max(
                one.begun_s, other.begun_s
            )
            record(
                f"{one.task}: runs {one.run_id} and {other.run_id} were there together"
                f" for {together_s:.3f} s"
            )
    return f"TWICE: {len(twice)} tasks ran twice at the same time" if twice else ""


async def _play_outage(deployment):
    """Submit jobs, let the store be down, and wait for the end of the jobs."""
    open_jobs = set()
    for n in range(N_JOBS):
        path = f"/plans/{deployment.new_id()}"
        document = job(1, cpu=4000, estimated_ms=int(1000 * FIRST_S))
        second = {**document["steps"][0], "count": 2, "after": [0]}
        document["steps"].append({**second, "estimatedMs": 1000 * SECOND_S})
        instance = deployment.instances[n % 3]
        status, _ = await deployment.ask(instance, "POST", path, document)
        if status != 200:
            raise CannotRunError("a job was not accepted")
        open_jobs.add(path)
    await asyncio.sleep(0.3)
    if has_trouble():
        # The first steps end meanwhile.
        await _until_renewed(deployment)
        deployment.store.go_down()
        await asyncio.sleep(DOWN_S)
        deployment.store.come_back()

    async def all_done():
        for path in list(open_jobs):
            status, answer = await deployment.ask(deployment.instances[0], "GET", path)
            if status == 200 and answer["state"] in ("succeeded", "failed"):
                open_jobs.discard(path)
        await asyncio.sleep(0.5)
        return not open_jobs

    if not await deployment.until("the jobs end", all_done, 25):
        raise CannotRunError("the jobs did not end")


async def _until_renewed(deployment):
    """Wait until the owner of the service has renewed its lease."""
    owner = deployment.owner(SERVICE)
    if owner is None:
        raise CannotRunError("the service has no owner")
    renewed = asyncio.Event()

    def on_call(request):
        if request.path.startswith("/v1/kv-keep/"):
            renewed.set()

    owner.door.on_call = on_call
    await asyncio.wait_for(renewed.wait(), 3)
    owner.door.on_call = None
    await asyncio.sleep(0.05)


if __name__ == "__main__":
    play(main, HERE)
