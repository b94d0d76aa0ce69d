"""The end of a run: jobs are given time to end, and instances are asked for all."""

from random import Random

import trio

from soak.clients import note_state
from soak.cluster import InstanceProcess
from soak.connections import CallResult, ClientConnection
from soak.state import JobRecord, SoakState
from soak.timeline import now_ms

__all__ = ["settle"]

# After the last fault everything accepted must be done within this time.
_SETTLE_S = 30
_POLL_S = 0.25
_N_ASKED = 6


async def settle(state: SoakState, random: Random) -> None:
    """Wait for the ends of all jobs, then ask instances for each job."""
    with trio.move_on_after(_SETTLE_S) as scope:
        await state.cluster.until_ready()
    if scope.cancelled_caught:
        state.seen.append("READY: not all instances are ready after the last fault")
    finish_s = state.layout.bound_ms("finish_s") / 1_000
    with trio.move_on_after(_SETTLE_S):
        # Stalled tasks are looked for after `finish_s`, and need some more seconds.
        await trio.sleep(finish_s + 5 if state.owed() else 0)
        while _unfinished(state):
            await trio.sleep(_POLL_S)
    for job in _unfinished(state):
        state.seen.append(
            f"LOST: {job.job_id} of {job.queue.name} was accepted and is not done"
        )
    async with trio.open_nursery() as nursery:
        for instance in state.instances:
            chosen = [job for job in state.owed() if _is_asked(state, random)]
            nursery.start_soon(_ask_all, state, instance, chosen)


def _is_asked(state: SoakState, random: Random) -> bool:
    return random.random() * len(state.instances) < _N_ASKED


def _unfinished(state: SoakState) -> list[JobRecord]:
    finished = state.cluster.finished_tasks()
    given_up = state.cluster.given_up_jobs()
    return [
        job
        for job in state.owed()
        if not job.plan.is_lasting
        and job.job_id not in given_up
        and not finished.issuperset(job.plan.tasks(job.job_id))
    ]


async def _ask_all(
    state: SoakState, instance: InstanceProcess, jobs: list[JobRecord]
) -> None:
    connection = await ClientConnection.open(instance.name, instance.address)
    for job in jobs:
        if connection is None or not connection.is_open:
            connection = await ClientConnection.open(instance.name, instance.address)
        if connection is None:
            state.seen.append(f"LOST 2: {instance.name} takes no calls at the end")
            return
        _judge(state, job, await _ask(state, connection, job))


async def _ask(
    state: SoakState, connection: ClientConnection, job: JobRecord
) -> CallResult:
    path = f"{job.queue.prefix}{job.job_id}"
    return await connection.call("GET", path, state.layout.keys(job.team)[0])


def _judge(state: SoakState, job: JobRecord, result: CallResult) -> None:
    if result.status != 200:
        state.seen.append(
            f"LOST 2: GET of {job.job_id} of {job.queue.service} at {result.instance}"
            f" at the end: {result.status or result.ending.value}, at {now_ms()}"
        )
    elif job.plan.is_lasting or result.document["state"] != "succeeded":
        note_state(state, job, result)
        is_given_up = (
            result.document["state"] == "failed"
            and job.job_id in state.cluster.given_up_jobs()
        )
        if not job.plan.is_lasting and not is_given_up:
            state.seen.append(
                f"LOST 2: {job.job_id} of {job.queue.service} is done and shown as"
                f" {result.document['state']} at {result.instance} at the end"
            )
