"""What the stand-ins of workers do with the members of a gang."""

import pytest
import trio
import trio.testing

from standins.gangs import GangRuns
from standins.serving import now_ms
from standins.task_worker import StartedRun, TaskWorker

STEP = "a" * 16 + ".0.0"


class Gang:
    """Two workers and the runs of a gang of two."""

    def __init__(self):
        gangs = GangRuns(lambda task: 2, timeout_ms=1_000)
        self.workers = [TaskWorker(f"w{n}", task_ms=300, gangs=gangs) for n in (0, 1)]
        self.runs = []

    def start(self, number, run_id=1):
        worker = self.workers[number]
        run = StartedRun(f"{STEP}.{number}", run_id, now_ms(), at_ms=now_ms())
        worker.gangs.add(run)
        worker.starts.append(run)
        worker._running[run.task] = run
        worker._until_ms = now_ms() + 60_000
        self.runs.append(run)

    @property
    def ends(self):
        return [run.end for run in self.runs]


def play(check):
    async def main():
        gang = Gang()
        async with trio.open_nursery() as nursery:
            for worker in gang.workers:
                nursery.start_soon(worker.run_tasks)
            await check(gang)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_members_work_from_the_moment_when_all_are_present():
    """Guards against a soak that takes half a gang for one at work."""

    async def check(gang):
        gang.start(0)
        await trio.sleep(0.6)
        gang.start(1)
        await trio.sleep(0.25)
        assert gang.ends == ["", ""]
        await trio.sleep(0.1)
        assert gang.ends == ["done", "done"]

    play(check)


def test_member_that_waits_in_vain_ends_alone():
    """Guards against a soak that does not see half a gang."""

    async def check(gang):
        gang.start(0)
        await trio.sleep(0.95)
        assert gang.ends == [""]
        await trio.sleep(0.1)
        assert gang.ends == ["alone"]

    play(check)


def test_member_of_an_earlier_run_is_not_waited_for():
    """Guards against a gang that works with a run that has been given up."""

    async def check(gang):
        gang.start(0, run_id=1)
        gang.start(1, run_id=2)
        await trio.sleep(1.1)
        assert gang.ends == ["alone", "alone"]

    play(check)


@pytest.mark.parametrize(("after_s", "end"), [(0.1, "broken"), (0.35, "done")])
def test_the_end_of_a_member_applies_to_all(after_s, end):
    """Guards against a member that works on without the others."""

    async def check(gang):
        gang.start(0)
        gang.start(1)
        await trio.sleep(after_s)
        gang.workers[0].restart("w2")
        await trio.sleep(0.05)
        assert gang.runs[1].end == end

    play(check)
