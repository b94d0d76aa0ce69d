"""An entry under servers/ that cannot be read ends each process that owns a shard."""

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

SERVICES = ["bakery", "tally", "trays", "clouds"]
# Bytes that another writer left: an object that is not closed, 4 KB of brackets.
UNREADABLE = b'{"notes":' + b"[" * 4_000
# The platform starts a process that ended again after a short delay.
RESTART_S = 1
WATCHED_S = 40


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

    def owners():
        return {deployment.owner(service) for service in SERVICES} - {None}

    if not await deployment.until("two owners", lambda: len(owners()) >= 2, 20):
        raise CannotRunError("one instance owns all services")

    if has_trouble():
        record("other writer: servers/stray is written")
        deployment.store.put("servers/stray", UNREADABLE)
    exits = dict.fromkeys(deployment.instances, 0)
    async with asyncio.TaskGroup() as group:
        group.create_task(_keep_running(deployment, exits))
        group.create_task(_submit(deployment))
    for instance, n_exits in exits.items():
        record(f"instance {instance.name}: ended by itself {n_exits} times")
    often = [instance for instance, n_exits in exits.items() if n_exits >= 3]
    if len(often) >= 2:
        return f"Fault: processes of {len(often)} machines ended by themselves 3 times"
    return ""


async def _keep_running(deployment, exits):
    """Start processes again that have ended, as the platform does."""
    until_s = asyncio.get_running_loop().time() + WATCHED_S
    while asyncio.get_running_loop().time() < until_s:
        await asyncio.sleep(RESTART_S)
        for instance in deployment.instances:
            if not instance.is_running:
                code = instance.process.returncode
                deployment.record(f"instance {instance.name}: ended by itself, {code}")
                exits[instance] += 1
                instance.start()


async def _submit(deployment):
    """Submit jobs and look at them, for the record."""
    for n in range(WATCHED_S // 4):
        instance = deployment.instances[n % len(deployment.instances)]
        path = f"/q-{SERVICES[n % 4]}/{deployment.new_id()}"
        await deployment.ask(instance, "POST", path, job())
        await asyncio.sleep(2)
        await deployment.ask(instance, "GET", path)
        await asyncio.sleep(1)


if __name__ == "__main__":
    play(main, HERE)
