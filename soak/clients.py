"""Clients: they submit, ask for and cancel jobs on connections that they keep open."""

import time
from random import Random
from typing import Any

import trio

from soak.connections import CallResult, ClientConnection, Ending
from soak.layout import Queue
from soak.state import JobRecord, JobState, SoakState
from soak.timeline import now_ms
from soak.work import JobPlan, finite_job, lasting_job

__all__ = ["Balancer", "Client"]

_CHECK_INTERVAL_S = 1.0
_MAX_MISSES = 2
_MAX_SUBMISSIONS = 5
_RETRY_S = 0.3
_SHARE_SUBMIT = 0.25
_SHARE_CANCEL = 0.03
# A client keeps its connection this many calls at least, on average.
_SHARE_RECONNECT = 0.02
_SHARE_OTHER_KEY = 0.5
# One team calls at six times its usual rate for a part of each period.
_BURST_TEAM = 0
_BURST_FACTOR = 6
_BURST_MS = 4_000
_BURST_PERIOD_MS = 12_000


class Balancer:
    """Forwards new connections to instances that are ready, as the platform does."""

    def __init__(self, state: SoakState) -> None:
        self._state = state
        self._misses = {instance.name: 0 for instance in state.instances}

    async def run(self) -> None:
        """Check the instances until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for instance in self._state.instances:
                    nursery.start_soon(self._check, instance)
                await trio.sleep(_CHECK_INTERVAL_S)

    async def _check(self, instance: Any) -> None:
        is_ready = await self._state.cluster.is_ready(instance)
        self._misses[instance.name] = 0 if is_ready else self._misses[instance.name] + 1

    def choose(self, data_centre: str, random: Random) -> Any:
        """Return the instance that a new connection goes to."""
        instances = self._state.instances
        near = [each for each in instances if each.data_centre == data_centre]
        for group in (near, instances):
            rotating = [each for each in group if self._misses[each.name] < _MAX_MISSES]
            if 2 * len(rotating) >= len(group):
                return random.choice(rotating)
            if rotating:
                return random.choice(group)
        return random.choice(instances)


class Client:
    """A client of one account, which follows from its `number`."""

    def __init__(
        self, state: SoakState, balancer: Balancer, number: int, random: Random
    ) -> None:
        self._state = state
        self._balancer = balancer
        self._team = number % state.layout.n_teams
        self._random = random
        self._data_centre = state.layout.data_centre(number)
        self._connection: ClientConnection | None = None
        self._jobs: list[JobRecord] = []

    async def run(self, until_ms: int) -> None:
        """Call until a time."""
        while now_ms() < until_ms:
            await trio.sleep(self._random.uniform(0.3, 1.7) * self._think_s())
            choice = self._random.random()
            if choice < _SHARE_CANCEL and self._jobs:
                await self.cancel(self._random.choice(self._jobs))
            elif choice < _SHARE_SUBMIT or not self._jobs:
                await self.submit(self._finite_queue(), finite_job(self._random))
            else:
                await self.ask(self._random.choice(self._jobs))

    def _think_s(self) -> float:
        """Return the mean time between two calls now."""
        think_s = self._state.layout.think_s
        is_burst = now_ms() % _BURST_PERIOD_MS < _BURST_MS
        if self._team == _BURST_TEAM and is_burst:
            return think_s / _BURST_FACTOR
        return think_s

    async def submit_lasting(self, queue: Queue, until_ms: int) -> None:
        """Submit a job whose tasks last until it is accepted; nobody cancels it."""
        plan = lasting_job(self._state.layout.n_lasting_tasks)
        job = self._new_job(queue, plan)
        while job.accepted_ms is None and now_ms() < until_ms:
            await self._submit(job)

    def _finite_queue(self) -> Queue:
        queues = [each for each in self._state.layout.queues if not each.is_lasting]
        return self._random.choice(queues)

    async def submit(self, queue: Queue, plan: JobPlan) -> None:
        """Submit a job, again after an unknown outcome."""
        await self._submit(self._new_job(queue, plan))

    def _new_job(self, queue: Queue, plan: JobPlan) -> JobRecord:
        job_id = f"{self._random.getrandbits(64):016x}"
        job = JobRecord(job_id, self._team, queue, plan)
        self._state.jobs[job_id] = job
        self._state.work.plans[job_id] = plan
        return job

    async def _submit(self, job: JobRecord) -> None:
        body = job.plan.document(time.time_ns() // 1_000_000)
        for _ in range(_MAX_SUBMISSIONS):
            result = await self._call("POST", job, body)
            if result is not None and result.status == 200:
                job.accepted_ms = result.ended_ms
                self._jobs.append(job)
                return
            if result is not None and result.status in (429, 503):
                job.n_refused += 1
            elif result is None or result.status in (401, 404):
                pass
            else:
                job.n_unknown += 1
            await trio.sleep(_RETRY_S)

    async def ask(self, job: JobRecord) -> None:
        """Ask for the state of a job."""
        is_cancelled = job.cancel_sent_ms is not None
        result = await self._call("GET", job)
        if result is None or is_cancelled or job.cancel_sent_ms is not None:
            return
        note_state(self._state, job, result)

    async def cancel(self, job: JobRecord) -> None:
        """Cancel a job that does not last."""
        if job.plan.is_lasting:
            return
        job.cancel_sent_ms = now_ms()
        await self._call("DELETE", job)

    def _key(self) -> str:
        keys = self._state.operator.team(self._team)["apiKeys"]
        if len(keys) > 1 and self._random.random() < _SHARE_OTHER_KEY:
            return str(keys[1])
        return str(keys[0]) if keys else "none"

    async def _call(
        self, method: str, job: JobRecord, body: Any = None
    ) -> CallResult | None:
        connection = await self._connected()
        if connection is None:
            return None
        path = f"{job.queue.prefix}{job.job_id}"
        result = await connection.call(method, path, self._key(), body)
        self._state.n_calls += 1
        if result.ending is Ending.UNSENT:
            return None
        if not result.is_answered:
            self._state.unanswered.append(result)
        return result

    async def _connected(self) -> ClientConnection | None:
        if self._random.random() < _SHARE_RECONNECT and self._connection:
            await self._connection.close()
        if self._connection is None or not self._connection.is_open:
            instance = self._balancer.choose(self._data_centre, self._random)
            self._connection = await ClientConnection.open(
                instance.name, instance.address
            )
        return self._connection


def note_state(state: SoakState, job: JobRecord, result: CallResult) -> None:
    """Keep an answer for the checks if an accepted job should not get it."""
    if result.status == 410:
        state.denials.append(JobState(job.job_id, "", result))
    elif result.status == 200 and result.document:
        shown = result.document["state"]
        if shown in ("failed", "cancelled"):
            state.denials.append(JobState(job.job_id, shown, result))
        if shown == "succeeded" and not job.is_finished:
            job.is_finished = True
            unfinished = set(job.plan.tasks(job.job_id))
            unfinished -= state.cluster.finished_tasks()
            if unfinished:
                state.seen.append(
                    f"MIXED: {job.job_id} is shown as succeeded at {result.instance}"
                    f" without {sorted(unfinished)[:3]}"
                )
