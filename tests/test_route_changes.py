"""Instance processes whose operator moves routes while their jobs run."""

from functools import partial

import pytest
import trio

from soak.cluster import SERVICE, SIGKILL, SIGTERM, configuration, open_cluster

OTHER = "tally"
JOB_ID = "a" * 16
N_TASKS = 3
LONG_RUNNING = {
    "spec": "x",
    "steps": [{"count": N_TASKS, "cpu": 500, "memMb": 10, "longRunning": True}],
}
# The stand-ins' workers end their tasks when they hear nothing for this long.
LEASE_S = 6


def run(check, tmp_path):
    async def main():
        async with open_cluster(tmp_path, task_ms=10**7) as cluster:
            await check(cluster)

    trio.run(main)


def put_route(cluster, version, service):
    """Send the queue to a service; its name, host and prefix stay."""
    document = configuration(version)
    document["routes"][0]["service"] = service
    document["services"].append(
        {"name": OTHER, "admissionCheck": True, "standby": False}
    )
    cluster.platform.put("op/config", document)


def n_at_work(cluster):
    return sum(not each.end for each in cluster.starts_of(JOB_ID))


async def until(condition, timeout_s):
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.05)


async def submit(cluster):
    instance = cluster.instances[0]
    assert (await cluster.request(instance, "POST", JOB_ID, LONG_RUNNING))[0] == 200
    await until(lambda: n_at_work(cluster) == N_TASKS, 5)


@pytest.mark.parametrize("number", [SIGTERM, SIGKILL])
def test_lasting_job_goes_on_without_its_route_after_its_owner_ends(tmp_path, number):
    """Guards against a long-running job that ends with the route of its service."""

    async def check(cluster):
        await submit(cluster)
        put_route(cluster, 2, OTHER)
        await trio.sleep(1)
        owner = cluster.owner()
        survivor = next(each for each in cluster.instances if each is not owner)
        owner.signal(number)
        await trio.sleep(LEASE_S + 3)
        assert n_at_work(cluster) == N_TASKS
        assert cluster.owner() is survivor
        answer = await cluster.request(survivor, "GET", JOB_ID)
        assert answer == (200, {"state": "running"})
        put_route(cluster, 3, SERVICE)
        await trio.sleep(1)
        assert n_at_work(cluster) == N_TASKS
        assert cluster.owner() is survivor

    run(check, tmp_path)


def test_pending_jobs_count_although_their_queue_moved_to_another_service(tmp_path):
    """Guards against a count of waiting jobs that is too low after a moved route."""

    async def check(cluster):
        step = {"count": 1, "cpu": 9_000, "memMb": 10, "longRunning": True}
        too_large = {"spec": "x", "steps": [step]}
        owner = cluster.owner()
        assert (await cluster.request(owner, "POST", JOB_ID, too_large))[0] == 200
        put_route(cluster, 2, OTHER)
        await trio.sleep(1)
        for instance in cluster.instances:
            answer = await cluster.request(instance, "GET", "")
            assert answer == (200, {"pendingCount": 1})
        # An instance that has not seen the earlier configuration.
        restarted = next(each for each in cluster.instances if each is not owner)
        restarted.stop()
        restarted.start()
        await cluster.until_ready()
        answer = await cluster.request(restarted, "GET", "")
        assert answer == (200, {"pendingCount": 1})

    run(check, tmp_path)


async def restart_with_short_retention(cluster):
    """Let the instances keep the state of ended jobs for one second only."""
    for instance in cluster.instances:
        settings = instance._path.read_text()
        assert "status_s = 120" in settings
        instance.stop()
        instance._path.write_text(settings.replace("status_s = 120", "status_s = 1"))
        instance.start()
    await cluster.until_ready()


def test_service_without_route_is_left_once_its_jobs_have_ended(tmp_path):
    """Guards against an owner and a key that stay for good after the last job.

    The caller cancels by a path that belongs to another service by then.
    """
    keys = {f"sys/owners/{SERVICE}", f"sys/shards/{SERVICE}"}

    async def check(cluster):
        await restart_with_short_retention(cluster)
        await submit(cluster)
        put_route(cluster, 2, OTHER)
        await trio.sleep(1)
        for instance in cluster.instances:
            assert (await cluster.request(instance, "GET", JOB_ID))[0] == 200
        assert keys <= set(cluster.store.items)
        instance = cluster.instances[1]
        assert (await cluster.request(instance, "DELETE", JOB_ID))[0] == 200
        await until(lambda: not n_at_work(cluster), 5)
        await until(lambda: not keys & set(cluster.store.items), 40)
        # No instance claims the service again.
        await trio.sleep(2)
        assert not keys & set(cluster.store.items)
        assert not any(
            each.startswith(("jobs/", "ids/")) for each in cluster.store.items
        )
        put_route(cluster, 3, SERVICE)
        await until(partial(keys.issubset, cluster.store.items), 5)

    run(check, tmp_path)
