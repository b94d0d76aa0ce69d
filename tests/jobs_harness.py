"""Builders and a harness shared by the tests of job scheduling."""

from apricotgap.jobs.configuration import Configuration, QueueSpec, ServiceSpec, Team
from apricotgap.jobs.effects import StartRun, StopRun
from apricotgap.jobs.events import (
    EndReport,
    PollAnswered,
    RunReport,
    StartAnswered,
    StartResult,
    WorkersListed,
)
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import JobSpec, Resources, RunEnd, StepSpec, TaskName
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.shard import Shard
from tests.overload_states import current_overload

SERVICE = "bakery"
FAR_MS = 10_000_000
MAX_LEASE_MS = 6_000
MAX_LIST_AGE_MS = 3_000


def configuration(version=1, guards=True):
    """Return a configuration with one queue, one pool and a spare pool."""
    queue = QueueSpec(
        "plans", "h.example", "/plans/", SERVICE, 3000, 600, 0, 3, 1.6, False, False
    )
    return Configuration(
        version,
        (queue,),
        (ServiceSpec(SERVICE, guards, False), ServiceSpec("spare", guards, True)),
        (Team("bakers", frozenset({"key"}), 1.0, Resources()),),
    )


FREE = Resources(8000, 8000)


def entry(worker_id="w1", born_ms=1, free=FREE, **changes):
    """Return the registration of a worker."""
    fields = {
        "service": SERVICE,
        "address": f"10.0.0.1:{8000 + int(worker_id[1:])}",
        "data_centre": "a",
        "machine": f"m{worker_id}",
        "is_draining": False,
        "labels": ("k", "r1"),
    } | changes
    return WorkerEntry(worker_id, free=free, born_ms=born_ms, **fields)


def job(job_id="j" * 16, steps=None, **changes):
    """Return a job of one step with two tasks."""
    steps = steps or (StepSpec(2, Resources(1000, 100), 800),)
    return JobSpec(job_id, "plans", SERVICE, "bakers", "x", steps, 0, **changes)


class Rig:
    """A shard and its scheduler with a clock that tests advance by hand.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    workers : iterable of str
        Ids of the workers that are listed.
    overload : OverloadOptions, optional
        Decisions under overload that are on, by default those of the running test.
    """

    def __init__(self, epoch=1, workers=("w1",), overload=None):
        self.overload = overload or current_overload.get()
        self.shard = Shard(SERVICE, epoch, MAX_LEASE_MS)
        self.shard.config = configuration()
        self.scheduler = Scheduler(self.shard, overload=self.overload)
        self.now = 10_000
        self.list_workers(*map(entry, workers))

    def list_workers(self, *entries):
        """Apply a list of the platform with exactly these workers."""
        self.shard.list_fresh_ms = self.now
        return self.shard.step(WorkersListed(self.now, entries))

    def record_all(self):
        """Mark all workers as recorded in the stored roster."""
        for worker in self.shard.workers.values():
            worker.is_recorded = True

    def submit(self, spec):
        """Submit a job whose first progress is stored along with it."""
        return self.shard.submit(spec, revision=1)

    def poll(
        self, worker_id="w1", running=(), ends=(), born_ms=1, sent_ms=None, polled=None
    ):
        """Send a poll and apply its response.

        `polled` is the start of the incarnation that the poll was sent to, by default
        the present one.
        """
        worker = self.shard.workers[worker_id]
        self.shard.offer_lease(worker, self.now, FAR_MS)
        return self.shard.step(
            PollAnswered(
                self.now,
                worker_id,
                worker.entry.born_ms if polled is None else polled,
                born_ms,
                self.now if sent_ms is None else sent_ms,
                50_000 + self.now,
                tuple(running),
                tuple(ends),
            )
        )

    def ready(self):
        """Record and acquire all workers."""
        self.record_all()
        for worker_id in list(self.shard.workers):
            self.poll(worker_id)
        return self

    def ready_only(self, worker_id):
        """Record all workers and acquire only one."""
        self.record_all()
        self.poll(worker_id)

    def schedule(self, lease_until_ms=FAR_MS):
        """Run a scheduling pass; returns the starts."""
        effects = self.scheduler.run(self.now, lease_until_ms)
        return [effect for effect in effects if isinstance(effect, StartRun)]

    def answer(self, start, kind="ok"):
        """Apply the response to a start."""
        return self.shard.step(
            StartAnswered(
                self.now,
                start.worker_id,
                start.born_ms,
                start.name,
                start.run_id,
                StartResult(kind),
            )
        )

    def save(self):
        """Complete a save of all changes."""
        batch = self.shard.begin_save()
        self.shard.saved(batch, {job_id: 1 for job_id, *_ in batch.documents})


def running(start, percent=100):
    """Return the listing of a running run."""
    return RunReport(start.name, start.run_id, "", percent, 0.0)


def ended(number, start, end=RunEnd.DONE):
    """Return the listing of an ended run."""
    return EndReport(number, start.name, start.run_id, end, "")


def task(number, job_id="j" * 16):
    """Return the name of a task of the first step."""
    return TaskName(job_id, 0, 0, number)


def stops(effects):
    """Return the orders to stop a run."""
    return [effect for effect in effects if isinstance(effect, StopRun)]
