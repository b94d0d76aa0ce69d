"""A late answer of a worker's last life makes the present life count as crashed."""

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
# One of seven workers crashes: a share of 0.14.
N_WORKERS = 7
DOWN_S = 0.3
# How long the last answer before the crash is on its way.
LATE_S = 1.3
TASK_S = 4
ONLY, BOTH = "label-1", "label-2"


async def main(deployment):
    """Play the case; return what was broken, empty if the rule held."""
    record = deployment.record
    deployment.put("op/config", configuration(1, [route("plans", SERVICE)], [SERVICE]))
    workers = []
    for n in range(N_WORKERS):
        labels = ([ONLY, BOTH], [BOTH])[n] if n < 2 else []
        worker = await deployment.add_worker(f"w{n}", SERVICE, labels=labels)
        workers.append(worker)
    worker = workers[0]
    for n in range(3):
        await deployment.add_instance(f"i{n}", "ab"[n % 2])
    await deployment.until_ready([SERVICE])
    await asyncio.sleep(3)

    # Tasks of a first job end one after the other on the worker.
    worker.task_s = lambda task: 1 + 0.15 * int(task.rpartition(".")[2])
    document = job(10, cpu=500, requirements=ONLY, estimated_ms=1500)
    first = await _submit(deployment, document)
    if has_trouble():
        await deployment.until("three ends", lambda: worker.n_ends >= 3, 10)
        worker.late_end_s = LATE_S
        if not await deployment.until("crashed", lambda: not worker.is_up, 10):
            raise CannotRunError("the worker did not list an end")
        await asyncio.sleep(DOWN_S)
        await worker.listen_again()
        worker.restart()
        if not await deployment.until("polled", lambda: worker.n_holds, 1):
            raise CannotRunError("the new life was not polled in time")
        await asyncio.sleep(0.1)
    for each in workers:
        each.task_s = lambda task: TASK_S
    document = job(4, requirements=BOTH, estimated_ms=TASK_S * 1000)
    second = await _submit(deployment, document)

    open_jobs = {first, second}

    async def all_done():
        for path in list(open_jobs):
            status, answer = await deployment.ask(deployment.instances[0], "GET", path)
            if status == 200 and answer["state"] in ("succeeded", "failed"):
                open_jobs.discard(path)
        await asyncio.sleep(0.5)
        return not open_jobs

    await deployment.until("the jobs end", all_done, 30)
    for path in open_jobs:
        record(f"{path} has not ended, although all workers are sound")
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


async def _submit(deployment, document):
    path = f"/plans/{deployment.new_id()}"
    status, _ = await deployment.ask(deployment.instances[0], "POST", path, document)
    if status != 200:
        raise CannotRunError("a job was not accepted")
    return path


if __name__ == "__main__":
    play(main, HERE)
