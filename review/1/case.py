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
N_OUTAGES = 4
DOWN_S = 5.7
FIRST_S, SECOND_S = 2.5, 3


async def main(deployment):
    """Play the case; return what was broken, empty if the rule held."""
    record = deployment.record
    deployment.put("op/config", configuration(1, [route("plans", SERVICE)], [SERVICE]))
    workers = []
    for n in range(N_WORKERS):
        worker = await deployment.add_worker(f"w{n}", SERVICE)
        worker.task_s = lambda task: (FIRST_S, SECOND_S)[int(task.split(".")[2])]
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
        document = job(1, estimated_ms=int(1000 * FIRST_S))
        second = {**document["steps"][0], "count": 4, "after": [0]}
        document["steps"].append({**second, "estimatedMs": 1000 * SECOND_S})
        instance = deployment.instances[n % 3]
        status, _ = await deployment.ask(instance, "POST", path, document)
        if status != 200:
            raise CannotRunError("a job was not accepted")
        open_jobs.add(path)
    await asyncio.sleep(0.3)
    if has_trouble():
        # The first steps end meanwhile.
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


if __name__ == "__main__":
    play(main, HERE)
