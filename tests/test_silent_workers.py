"""Workers that take calls and give no answers, as a stopped process does."""

import trio

from apricotgap.jobs import limits
from apricotgap.jobs.events import PollFailed
from apricotgap.jobs.model import Resources, StepSpec
from soak.cluster import open_cluster
from tests.jobs_harness import MAX_LEASE_MS, Rig, job, running

LONG_RUNNING = (StepSpec(1, Resources(1000, 100), 3_000, is_long_running=True),)
OWNER_LEASE_MS = 3_000
POLL_TIMEOUT_MS = limits.POLL_WAIT_MS + 700
POLL_PAUSE_MS = 400
JOB_ID = "a" * 16
LASTING_JOB = {
    "spec": "x",
    "steps": [
        {
            "count": 1,
            "cpu": 500,
            "memMb": 10,
            "estimatedMs": 1000,
            "longRunning": True,
            "mayMiss": 1,
        }
    ],
}
COPYABLE_JOB = {
    "spec": "x",
    "steps": [
        {
            "count": 1,
            "cpu": 500,
            "memMb": 10,
            "estimatedMs": 100_000,
            "allowDuplicates": True,
        }
    ],
}
# Silence shows after 700 ms at two ticks, and by the failure of the poll after 1.2 s. A
# lease lasts for much longer.
COPY_LIMIT_S = 2
# A long-running task may be away for 6 s after its last run, and 3 s more.
AWAY_LIMIT_S = 9


class SilentRig(Rig):
    """A shard of two workers, one of which falls silent with a task at work."""

    def __init__(self):
        super().__init__(workers=("w1", "w2"))
        self.ready()
        self.submit(job(steps=LONG_RUNNING))
        self.shard.loaded_ms = self.shard.reported_ms = self.now
        (self.start,) = self.schedule()
        self.answer(self.start)
        self.now += 300
        for worker_id in ("w1", "w2"):
            runs = [running(self.start)] if worker_id == self.start.worker_id else []
            self.poll(worker_id, running=runs)
        self.silent = self.shard.workers[self.start.worker_id]

    def poll_in_vain(self):
        """Poll the silent worker, which takes the call, until the call times out."""
        offer = self.shard.offer_lease(self.silent, self.now, self.now + OWNER_LEASE_MS)
        self.now += POLL_TIMEOUT_MS
        self.shard.step(
            PollFailed(self.now, self.silent.worker_id, 1, "timeout", was_sent=True)
        )
        self.shard.tick(self.now)
        self.now += POLL_PAUSE_MS
        return offer

    def restart_elsewhere(self, until_ms):
        """Return when the task starts on the other worker, None if it does not."""
        other = "w2" if self.start.worker_id == "w1" else "w1"
        while self.now < until_ms:
            self.poll_in_vain()
            self.poll(other)
            if self.schedule():
                return self.now
        return None


def test_task_of_a_worker_that_takes_calls_and_answers_none_starts_elsewhere():
    """Guards against a task that is away for good because each poll that its worker
    takes and never answers counts as a renewal of its lease.
    """
    rig = SilentRig()
    began_ms = rig.now
    restarted_ms = rig.restart_elsewhere(began_ms + 60_000)
    assert restarted_ms is not None
    assert restarted_ms - began_ms < limits.SILENT_WORKER_MS + 2 * MAX_LEASE_MS


def test_silent_worker_is_polled_without_a_lease():
    """Guards against leases that a worker may go on by although none of its answers
    arrives.
    """
    rig = SilentRig()
    offers = [rig.poll_in_vain() for _ in range(4)]
    assert offers[0] > 0
    assert offers[-1] == 0


def test_lasting_task_is_back_at_work_while_its_worker_answers_no_call(tmp_path):
    """Guards against a long-running task that is away as long as its worker is silent.

    The worker takes each connection, as a stopped process or a proxy does.
    """

    async def check(cluster):
        instance = cluster.instances[0]
        assert (await cluster.request(instance, "POST", JOB_ID, LASTING_JOB))[0] == 200
        await _until(lambda: len(cluster.starts_of(JOB_ID)) == 1, 5)
        silent = next(worker for worker in cluster.workers if worker.starts)
        other = next(worker for worker in cluster.workers if worker is not silent)
        silent.is_unanswering = True
        await _until(lambda: other.starts, AWAY_LIMIT_S)

    async def main():
        async with open_cluster(tmp_path, n_workers=2, task_ms=1_000_000) as cluster:
            await check(cluster)

    trio.run(main)


def test_task_that_allows_duplicates_is_copied_soon(tmp_path):
    """Guards against a task that waits for the lease of a silent worker although a
    second run is allowed.
    """

    async def check(cluster):
        instance = cluster.instances[0]
        assert (await cluster.request(instance, "POST", JOB_ID, COPYABLE_JOB))[0] == 200
        await _until(lambda: len(cluster.starts_of(JOB_ID)) == 1, 5)
        silent = next(worker for worker in cluster.workers if worker.starts)
        other = next(worker for worker in cluster.workers if worker is not silent)
        # The poll that is pending may have begun before the task, and waits for 1 s.
        await trio.sleep(limits.POLL_WAIT_MS / 1000)
        silent.is_unanswering = True
        await _until(lambda: other.starts, COPY_LIMIT_S)

    async def main():
        async with open_cluster(tmp_path, n_workers=2, task_ms=1_000_000) as cluster:
            await check(cluster)

    trio.run(main)


async def _until(condition, timeout_s):
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.05)


def test_runs_of_a_silent_worker_are_not_left_to_a_successor():
    """Guards against a shard that is handed over for balance just after a worker was
    lost: its successor begins anew to wait for the end of the worker's lease.
    """
    rig = Rig().ready()
    rig.submit(job())
    for start in rig.schedule():
        rig.answer(start)
    assert not rig.shard.awaits_leases
    rig.shard.step(PollFailed(rig.now, "w1", 1, "timeout"))
    assert rig.shard.awaits_leases
    rig.now += MAX_LEASE_MS * 2
    rig.shard.tick(rig.now)
    assert not rig.shard.awaits_leases
