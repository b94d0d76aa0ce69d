"""An instance that is stopped while it claims shards leaves owner keys for good."""

import asyncio
import signal
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

SERVICES = ["bakery", "tally", "trays", "clouds"]
# The store takes 60 times its usual 4 ms.
SLOW_S = 0.24
SLOW_FOR_S = 4.5
# From the last disruption: leases of 3 s, finish_s of 14 s, and as much again.
SETTLE_S = 30


async def main(deployment):
    """Play the case; return what was broken, empty if the rule held."""
    record = deployment.record
    routes = [route(f"q-{service}", service) for service in SERVICES]
    deployment.put("op/config", configuration(1, routes, SERVICES))
    for service in SERVICES:
        for n in range(2):
            await deployment.add_worker(f"w-{service}-{n}", service)
    for n in range(3):
        await deployment.add_instance(f"i{n}", "ab"[n % 2])
    await deployment.until_ready(SERVICES)
    # Services may still be handed over.
    await asyncio.sleep(4)

    leaving = []
    if has_trouble():
        leaving = await _stop_two(deployment)
    staying = [each for each in deployment.instances if each not in leaving]
    await asyncio.sleep(5)
    jobs = []
    for service in SERVICES:
        path = f"/q-{service}/{deployment.new_id()}"
        status = 0
        while status != 200:
            status, _ = await deployment.ask(staying[0], "POST", path, job())
            await asyncio.sleep(0.3)
        jobs.append(path)

    open_jobs = set(jobs)

    async def all_done():
        for path in list(open_jobs):
            status, answer = await deployment.ask(staying[0], "GET", path)
            if status == 200 and answer["state"] == "succeeded":
                open_jobs.discard(path)
        await asyncio.sleep(0.5)
        return not open_jobs

    await deployment.until("all accepted jobs succeed", all_done, SETTLE_S)
    for path in sorted(open_jobs):
        job_id = path.rpartition("/")[2]
        n_runs = sum(
            run.task.startswith(job_id)
            for w in deployment.workers
            for run in w.all_runs
        )
        record(
            f"{path} was accepted and has not succeeded; workers began {n_runs} runs"
        )
    for service in SERVICES:
        item = deployment.store.items.get(f"sys/owners/{service}")
        owner = deployment.owner(service)
        if item and owner and not owner.is_running:
            record(f"{service}: owner key of {owner.name}, which has left; {item}")
    return f"LOST: {len(open_jobs)} accepted jobs never ran" if open_jobs else ""


async def _stop_two(deployment):
    """Take two instances away for good, while the store is slow."""
    loop = asyncio.get_running_loop()
    slow_until_s = loop.time() + SLOW_FOR_S
    for instance in deployment.instances:
        instance.door.delay_s = SLOW_S
    await asyncio.sleep(0.3)
    owners = [deployment.owner(service) for service in SERVICES]
    first = max(deployment.instances, key=owners.count)
    claiming = loop.create_future()

    def watch(instance):
        def on_call(request):
            if request.path == "/v1/kv-key" and "epochs" in request.query["key"]:
                deployment.record(
                    f"store: {instance.name} reads {request.query['key']}"
                )
                if not claiming.done() and instance is not first:
                    claiming.set_result(instance)

        return on_call

    for instance in deployment.instances:
        instance.door.on_call = watch(instance)
    first.signal(signal.SIGTERM)
    try:
        second = await asyncio.wait_for(claiming, SLOW_FOR_S)
    except TimeoutError as error:
        raise CannotRunError("nobody claimed the shards") from error
    # It claims its shards, each with two calls to the store.
    await asyncio.sleep(0.1)
    second.signal(signal.SIGTERM)
    await asyncio.sleep(slow_until_s - loop.time())
    for instance in deployment.instances:
        instance.door.delay_s = 0.004
    for instance in (first, second):
        await deployment.until(
            f"{instance.name} has left", lambda each=instance: not each.is_running, 8
        )
    return [first, second]


if __name__ == "__main__":
    play(main, HERE)
