"""A task that never began is given up, since workers crashed before its starts."""

import asyncio
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
# One of seven workers is down at a time: a share of 0.14.
N_WORKERS = 7
DOWN_S = 0.8
LABEL = "with-oven"


async def main(deployment):
    """Play the case; return what was broken, empty if the rule held."""
    record = deployment.record
    deployment.put("op/config", configuration(1, [route("plans", SERVICE)], [SERVICE]))
    workers = []
    for n in range(N_WORKERS):
        labels = [LABEL] if n == 0 else []
        workers.append(await deployment.add_worker(f"w{n}", SERVICE, labels=labels))
    worker = workers[0]
    for n in range(3):
        await deployment.add_instance(f"i{n}", "ab"[n % 2])
    await deployment.until_ready([SERVICE])
    await asyncio.sleep(3)

    if has_trouble():
        await _fall_silent(deployment, worker)
    instance = deployment.instances[0]
    path = f"/plans/{deployment.new_id()}"
    job_id = path.rpartition("/")[2]
    status, _ = await deployment.ask(
        instance, "POST", path, job(requirements=LABEL, estimated_ms=500)
    )
    if status != 200:
        raise CannotRunError("the job was not accepted")
    if has_trouble():
        await _crash_twice(deployment, worker)

    state = ""

    async def has_ended():
        nonlocal state
        status, answer = await deployment.ask(instance, "GET", path)
        state = answer["state"] if status == 200 else state
        await asyncio.sleep(0.5)
        return state in ("succeeded", "failed")

    await deployment.until("the job ends", has_ended, 40)
    runs = [
        run for each in workers for run in each.all_runs if run.task.startswith(job_id)
    ]
    n_failed = sum(run.end == "failed" for run in runs)
    record(f"{path} is {state}; {len(runs)} runs began, {n_failed} ended failed")
    if state == "failed" and n_failed < 3:
        return f"LOST: shown as failed; {len(runs)} runs began, {n_failed} ended failed"
    return ""


async def _fall_silent(deployment, worker):
    """Crash the worker, right after it has answered a hold."""
    worker.is_silent_after_hold = True
    if not await deployment.until("silent", lambda: worker.server.is_dark, 10):
        raise CannotRunError("the worker was not polled")


async def _crash_twice(deployment, worker):
    """Let the worker come back, crash once more, and come back for good."""
    await asyncio.sleep(DOWN_S)
    worker.restart()
    await _fall_silent(deployment, worker)
    await asyncio.sleep(DOWN_S)
    worker.restart()


if __name__ == "__main__":
    play(main, HERE)
