"""Reads and cancellations at an instance that reaches neither owner nor store."""

import signal

import pytest
import trio

from soak.cluster import open_cluster

JOB_ID = "a" * 16
UNKNOWN_ID = "b" * 16
JOB = {
    "spec": "x",
    "steps": [{"count": 2, "cpu": 500, "memMb": 10, "estimatedMs": 9_000}],
}
CALLS = [("GET", JOB_ID), ("GET", ""), ("DELETE", JOB_ID), ("GET", UNKNOWN_ID)]
# Callers wait for 3 s.
DEADLINE_S = 3.0


def run(check, tmp_path, n_instances):
    """Run a check with an instance, its proxy and its frozen owner of the service."""

    async def main():
        async with open_cluster(tmp_path, n_instances, task_ms=9_000) as cluster:
            owner = cluster.owner()
            instance = next(each for each in cluster.instances if each is not owner)
            proxy = cluster.proxies[cluster.instances.index(instance)]
            assert (await cluster.request(instance, "POST", JOB_ID, JOB))[0] == 200
            # The watches have seen the instances by then.
            await trio.sleep(1.5)
            owner.signal(signal.SIGSTOP)
            await check(cluster, instance, proxy)

    trio.run(main)


async def timed_request(cluster, instance, method, job_id):
    """Return the status and the document of an answer that comes in time."""
    with trio.fail_after(DEADLINE_S):
        return await cluster.request(instance, method, job_id)


def assert_known(method, job_id, answer):
    """Check the answer of a call whose job can be read."""
    status, document = answer
    assert status == (410 if job_id == UNKNOWN_ID else 200)
    if job_id == JOB_ID and method == "GET":
        assert document["state"] in ("pending", "running")
    if not job_id:
        assert document["pendingCount"] in (0, 1)


@pytest.mark.parametrize(("method", "job_id"), CALLS)
def test_call_is_tried_again_until_the_callers_deadline(tmp_path, method, job_id):
    """Guards against a read that gives up although its caller waits on.

    The store answers again 1.6 s after the call.
    """

    async def check(cluster, instance, proxy):
        proxy.silent_up = True

        async def heal():
            await trio.sleep(1.6)
            proxy.heal()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(heal)
            answer = await timed_request(cluster, instance, method, job_id)
        assert_known(method, job_id, answer)

    run(check, tmp_path, n_instances=2)


@pytest.mark.parametrize(("method", "job_id"), CALLS)
def test_call_goes_through_another_instance(tmp_path, method, job_id):
    """Guards against a read that fails although another instance reaches the store."""

    async def check(cluster, instance, proxy):
        proxy.silent_up = True
        answer = await timed_request(cluster, instance, method, job_id)
        assert_known(method, job_id, answer)

    run(check, tmp_path, n_instances=3)


@pytest.mark.parametrize(("method", "job_id"), CALLS)
def test_unreadable_job_is_not_unknown(tmp_path, method, job_id):
    """Guards against a 410 for a job that could not be looked for."""

    async def check(cluster, instance, proxy):
        for each in cluster.proxies:
            each.silent_up = True
        answer = await timed_request(cluster, instance, method, job_id)
        assert answer[0] == (504 if method == "DELETE" else 503)

    run(check, tmp_path, n_instances=3)
