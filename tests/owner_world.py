"""Instances, workers and a store in virtual time: the product from calls to orders.

Owners are the product's own `Instance` with its lease, election, loader and loops; this
module plays what is around them. All of a day is drawn from its seed.
"""

import heapq
import itertools
import json
import random
from contextlib import ExitStack
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import structlog
import trio
import trio.testing

from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.service import CancelResult, SubmitResult
from apricotgap.platform.keys import CONFIGURATION_KEY, WORKERS_PREFIX
from tests.called_workers import CalledWorkers
from tests.day_observer import Observer
from tests.day_process import InstanceProcess
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, entry, job
from tests.sim_worker import ZERO_MS, SimWorker
from tests.virtual_store import VirtualStore

UNIX_ZERO_MS = 1_700_000_000_000
OTHER_SERVICE = "mill"
TASK_SIZE = Resources(1000, 100)
TASK_MS = 400
SUSTAINED_MS = 10_000_000
CHECK_MS = 100
# A client gives up a call after this time, and makes this many.
CALL_MS = 3_000
N_TRIES = 5
# An entry that expired during an outage is back this long after it at most.
ENTRY_BACK_MS = 2_000


class OwnerWorld(CalledWorkers):
    """A service with its workers, and the instances that may own its shard.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    nursery : trio.Nursery
        Runs all processes.
    n_workers, n_instances : int
        Numbers at the start.
    status_retention_ms : int
        How long a job that has ended stays readable.
    max_lease_ms : int
        Longest lease of a worker.
    """

    def __init__(
        self,
        seed,
        nursery,
        n_workers=6,
        n_instances=3,
        status_retention_ms=120_000,
        max_lease_ms=MAX_LEASE_MS,
    ):
        super().__init__(seed, n_workers)
        self.max_lease_ms = max_lease_ms
        for worker in self.workers.values():
            worker.max_lease_ms = max_lease_ms
        self.status_retention_ms = status_retention_ms
        self.nursery = nursery
        self.store = VirtualStore()
        self.log = []
        self.observer = Observer(self)
        self.instances = [InstanceProcess(self, n) for n in range(n_instances)]
        self.troubled_ms = 0
        # Called with each step of an owner since its claim.
        self.on_step = None
        self._queue = []
        self._order = itertools.count()
        self._earlier = trio.Event()
        self._version = 0
        # Text that the operator adds to each configuration.
        self.configuration_padding = ""
        # Entries of workers that no owner of this world uses, by key.
        self.foreign_entries = {}
        self._specs = {}

    # Time

    @property
    def now(self):
        """Time in milliseconds."""
        return int(trio.current_time() * 1000)

    def at(self, delay_ms, action, *args):
        """Do something later."""
        # What happens in one millisecond happens in any order.
        tie = (self.rng.random(), next(self._order))
        due_s = trio.current_time() + delay_ms / 1000
        heapq.heappush(self._queue, (due_s, tie, action, args))
        if self._queue[0][0] == due_s:
            self._earlier.set()

    async def run(self):
        """Carry out what was planned, until cancelled."""
        while True:
            due_s = self._queue[0][0] if self._queue else float("inf")
            if due_s > trio.current_time():
                self._earlier = trio.Event()
                with trio.move_on_at(due_s):
                    await self._earlier.wait()
                continue
            _, _, action, args = heapq.heappop(self._queue)
            action(*args)
            self._check_runs()

    async def begin(self):
        """Start everything."""
        self.nursery.start_soon(self.run)
        self.nursery.start_soon(self.store.run_leases)
        self.configure({"plans": SERVICE, "flour": OTHER_SERVICE})
        self._list_workers()
        for process in self.instances:
            process.start()
        self.at(0, self._check)
        await trio.sleep(3)

    def _check(self):
        self.observer.check()
        self.at(CHECK_MS, self._check)

    def troubled(self):
        """Note an impairment; what comes back or is added is none."""
        self.troubled_ms = self.now

    def end_late_calls(self):
        """Let all later calls and answers be prompt."""
        self.troubled()
        self.has_late_calls = False

    # The operator

    def configure(self, services):
        """Write a configuration with these services of queues."""
        self._version += 1
        others = set(services.values()) - {SERVICE, OTHER_SERVICE}
        pools = (SERVICE, OTHER_SERVICE, "spare", *sorted(others))
        document = {
            "version": self._version,
            "routes": [
                {
                    "name": queue,
                    "host": "h.example",
                    "prefix": f"/{queue}/",
                    "service": service,
                    "targetLatencyMs": 600,
                    "slackFactor": 1.6,
                }
                for queue, service in services.items()
            ],
            "services": [
                {"name": pool, "admissionCheck": True, "standby": pool == "spare"}
                for pool in pools
            ],
            "tenants": [{"name": "bakers", "apiKeys": ["key"], "weight": 1}],
            "padding": self.configuration_padding,
        }
        self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())

    # Clients

    def submit(self, n_tasks, is_long_running=False):
        """Hand a job in."""
        job_id = f"{len(self._specs):016x}"
        if is_long_running:
            steps = (StepSpec(n_tasks, TASK_SIZE, is_long_running=True),)
        else:
            steps = (
                StepSpec(n_tasks, TASK_SIZE, TASK_MS),
                StepSpec(n_tasks, TASK_SIZE, TASK_MS, (0,)),
            )
        spec = self._specs[job_id] = job(job_id, steps)
        self.nursery.start_soon(self._submit, spec)
        return job_id

    async def _submit(self, spec):
        results = []
        for _ in range(N_TRIES):
            process = self._any_process()
            if process is not None:
                with trio.move_on_after(CALL_MS / 1000):
                    outcome = await process.router.submit(spec, self.now + CALL_MS)
                    results.append(outcome.result)
                    if outcome.result is SubmitResult.ACCEPTED:
                        self.observer.accepted(spec)
                        return
                    await trio.sleep(outcome.retry_after_ms / 1000)
            await trio.sleep(0.2)

    def cancel(self, job_id):
        """Cancel a job that was accepted, once."""
        if job_id in self.observer.jobs and not self.observer.is_cancelled(job_id):
            self.nursery.start_soon(self._cancel, job_id)

    async def _cancel(self, job_id):
        self.observer.cancel_sent(job_id)
        while True:
            process = self._any_process()
            if process is not None:
                with trio.move_on_after(CALL_MS / 1000):
                    result = await process.router.cancel(
                        SERVICE, job_id, self.now + CALL_MS
                    )
                    if result is CancelResult.DONE:
                        self.observer.cancel_acknowledged(job_id)
                        return
                    if result is CancelResult.NO_SUCH_JOB:
                        self.broken.append(f"LOST {self.now} {job_id} is denied")
            await trio.sleep(0.2)

    def _any_process(self):
        ready = [each for each in self.instances if each.is_up and not each.is_stopping]
        return self.rng.choice(ready) if ready else None

    # Instances

    def process_at(self, address):
        """Return the instance with an address for peers."""
        return next(each for each in self.instances if each.address == address)

    def owner(self):
        """Return the instance that runs the shard, None without one."""
        for process in self.instances:
            if process.is_up and process.instance.owns(SERVICE):
                return process
        return None

    def stepped(self, process, n_steps, step):
        """Note a call that an owner is about to make."""
        if self.on_step is not None:
            self.on_step(process, n_steps, step)

    # Store

    def outage(self, span_ms, mode="refuse", pauses_leases=False, drops=False):
        """Let the store be down; with `drops`, entries of workers expire meanwhile."""
        if not self.store.is_up:
            return
        self.troubled()
        self.store.begin_outage(mode, pauses_leases)
        self.at(span_ms, self._end_outage, drops)

    def _end_outage(self, drops):
        self.troubled()
        self.store.end_outage()
        if drops:
            for worker_id in self.entries:
                self.store.remove(WORKERS_PREFIX + worker_id)
        self.at(self.rng.randrange(ENTRY_BACK_MS) if drops else 0, self._list_workers)

    # Workers

    def _list_workers(self):
        if not self.store.is_up:
            return
        listed = {WORKERS_PREFIX + worker_id for worker_id in self.entries}
        listed |= self.foreign_entries.keys()
        for key in list(self.store.items):
            if key.startswith(WORKERS_PREFIX) and key not in listed:
                self.store.remove(key)
        for worker_id, each in self.entries.items():
            data = encode_entry(each)
            if self.store.value(WORKERS_PREFIX + worker_id) != data:
                self.store.put(WORKERS_PREFIX + worker_id, data)

    def add_worker(self, address=None, **fields):
        """Add an empty worker, at an address of its own or that of an earlier one.

        The `fields` are those of its entry.
        """
        worker_id = f"w{len(self.workers)}"
        self.workers[worker_id] = SimWorker(
            worker_id,
            0.0,
            born_ms=self.now,
            began_ms=self.now,
            max_lease_ms=self.max_lease_ms,
        )
        if address is not None:
            fields["address"] = address
        new = entry(worker_id, born_ms=self.now, **fields)
        self.entries[worker_id] = new
        self.listening[new.address] = worker_id
        self._list_workers()
        return worker_id

    def unlist(self, worker_id):
        """Let a worker's entry go; what it runs goes on."""
        self.entries.pop(worker_id, None)
        self._list_workers()

    def end_worker(self, worker_id):
        """End a worker for good."""
        self.troubled()
        self.crash(worker_id, SUSTAINED_MS)

    def take_down(self, worker_id, down_ms=SUSTAINED_MS, max_entry_delay_ms=0):
        """End a worker for a reason that is none of its tasks'.

        It is back under its id, and listed at most `max_entry_delay_ms` later.
        """
        self.troubled()
        worker = self.workers[worker_id]
        worker.advance(self.now)
        worker.is_up = False

        def come_back():
            if worker.is_up:
                return
            worker.begin_incarnation(self.now, worker.born_ms + 1)
            delay_ms = self.rng.randrange(max(1, max_entry_delay_ms))
            self.at(delay_ms, self._register, worker, worker.born_ms)

        if down_ms < SUSTAINED_MS:
            self.at(down_ms, come_back)

    def crash(self, worker_id, down_ms):
        """End a worker; it is back under its id, and listed some time later."""
        self.troubled()
        super().crash(worker_id, down_ms)

    def _register(self, worker, born_ms):
        listed = self.entries.get(worker.worker_id)
        if listed is not None and worker.born_ms == born_ms and worker.is_up:
            self.entries[worker.worker_id] = replace(listed, born_ms=born_ms)
            self._list_workers()

    def _started(self, order, worker, token):
        self.observer.started(order, worker, token)

    def _duration_ms(self, order):
        if self._specs[order.name.job_id].is_long_running:
            return SUSTAINED_MS
        return super()._duration_ms(order)


def encode_entry(listed):
    """Return the entry of a worker as it is stored."""
    return json.dumps(
        {
            "service": listed.service,
            "address": listed.address,
            "zone": listed.data_centre,
            "state": "draining" if listed.is_draining else "ready",
            "machine": listed.machine,
            "freeCapacity": {"cpu": listed.free.cpu, "memMb": listed.free.memory_mb},
            "labels": list(listed.labels),
            "born": listed.born_ms,
            "sequence": 1,
        }
    ).encode()


def play_day(seed, day, **numbers):
    """Play a day in virtual time.

    Parameters
    ----------
    seed : int
        Of all that is drawn, and of the order of steps that are due at one time.
    day : callable
        Awaitable that gets the world, which has begun.
    **numbers : int
        Numbers of an `OwnerWorld`.

    Returns
    -------
    OwnerWorld
        The world at the end of the day.
    """
    worlds = []

    async def main():
        await trio.sleep(ZERO_MS / 1000)
        async with trio.open_nursery() as nursery:
            world = OwnerWorld(seed, nursery, **numbers)
            worlds.append(world)
            await world.begin()
            await day(world)
            nursery.cancel_scope.cancel()

    def record(_logger, _method, event):
        if worlds:
            worlds[0].log.append((worlds[0].now, event))
        raise structlog.DropEvent

    def unix_ns():
        return (UNIX_ZERO_MS + int(trio.current_time() * 1000)) * 1_000_000

    run_module = "trio._core._run"
    unix_clock = SimpleNamespace(time_ns=unix_ns)
    config = structlog.get_config()
    structlog.configure(processors=[record], cache_logger_on_first_use=False)
    try:
        with ExitStack() as patches:
            for target, value in (
                (f"{run_module}._ALLOW_DETERMINISTIC_SCHEDULING", True),
                (f"{run_module}._r", random.Random(seed)),
                ("apricotgap.instance.shard_owner.time", unix_clock),
            ):
                patches.enter_context(mock.patch(target, value))
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(main, clock=clock)
    finally:
        structlog.configure(**config)
    return worlds[0]


__all__ = ["OwnerWorld", "encode_entry", "play_day"]
