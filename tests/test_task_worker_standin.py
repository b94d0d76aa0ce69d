"""What the stand-in of a worker tells of the ends of its runs after a restart."""

from contextlib import asynccontextmanager

import trio

from soak.cluster import Cluster
from standins.machine_service import MachineService, StandinMachine
from standins.task_worker import TaskWorker
from standins.transactional_store import TransactionalStore
from tests.loopback import call

START = {"task": "a" * 16 + ".0.0.0", "runId": 1, "spec": "x", "fencingToken": 1}


@asynccontextmanager
async def open_worker():
    worker = TaskWorker("w-1", task_ms=20)
    async with trio.open_nursery() as nursery:
        await nursery.start(worker.listener.run)
        nursery.start_soon(worker.run_tasks)
        yield worker
        nursery.cancel_scope.cancel()


async def post(worker, path, body):
    headers = [("X-Apricotgap-Target-Instance", worker.worker_id)]
    return await call("POST", worker.listener.address, path, body, headers)


async def start(worker):
    _, lists = await hold(worker, 0)
    body = {**START, "deadlineMs": lists["clockMs"] + 5_000}
    assert (await post(worker, "/v1/run-start", body))[0] == 200


async def hold(worker, last_seen, wait_ms=0):
    body = {"fencingToken": 1, "lastSeen": last_seen, "waitMs": wait_ms}
    return await post(worker, "/v1/hold", body)


def cluster_of(worker):
    cluster = Cluster.__new__(Cluster)
    cluster.workers = [worker]
    return cluster


def test_an_end_that_was_listed_before_a_restart_is_not_lost():
    """Guards against a finished task counted as lost when its machine is moved.

    An owner stores the end and orders the machine away before the next poll
    acknowledges it.
    """

    async def main():
        async with open_worker() as worker:
            await start(worker)
            _, lists = await hold(worker, 0, wait_ms=1_000)
            assert [row[3] for row in lists["finished"]] == ["done"]
            worker.restart("w-2")
            assert cluster_of(worker).finished_tasks() == {START["task"]}
            assert cluster_of(worker).done_runs() == []

    trio.run(main)


def test_an_end_that_was_never_listed_is_lost_with_a_restart():
    """Guards against a task counted as finished whose end no owner can know."""

    async def main():
        async with open_worker() as worker:
            await start(worker)
            with trio.fail_after(2):
                while worker.starts[0].end != "done":
                    await trio.sleep(0.01)
            worker.restart("w-2")
            assert cluster_of(worker).finished_tasks() == set()

    trio.run(main)


def test_a_run_killed_by_a_restart_has_not_finished():
    """Guards against a task counted as finished that never ended."""

    async def main():
        async with open_worker() as worker:
            worker.task_ms = 5_000
            await start(worker)
            worker.restart("w-2")
            assert cluster_of(worker).finished_tasks() == set()

    trio.run(main)


def test_an_acknowledged_end_is_done_after_a_restart():
    """Guards against a repeated task that is not counted as one."""

    async def main():
        async with open_worker() as worker:
            await start(worker)
            await hold(worker, 0, wait_ms=1_000)
            await hold(worker, 1)
            worker.restart("w-2")
            assert cluster_of(worker).done_runs() == [START["task"]]

    trio.run(main)


def test_a_worker_that_flaps_in_silence_answers_no_call():
    """Guards against a soak whose starts are all answered, or refused unsent, so that
    no task is ever charged with a worker that went down.
    """

    async def main():
        async with open_worker() as worker:
            service = MachineService(TransactionalStore(), "spare")
            service.add(StandinMachine("m", "pool", worker))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(service.run)
                with trio.move_on_after(0.2) as waiting:
                    async with trio.open_nursery() as calls:
                        calls.start_soon(hold, worker, 0, 2_000)
                        await trio.sleep(0.05)
                        service.flap("m", 400, is_silent=True)
                assert waiting.cancelled_caught
                with trio.move_on_after(0.1) as starting:
                    await start(worker)
                assert starting.cancelled_caught
                await trio.sleep(0.3)
                assert (await hold(worker, 0))[1]["born"] == 2
                assert worker.starts == []
                nursery.cancel_scope.cancel()

    trio.run(main)
