"""A short seeded run of the soak, and its checks on runs that broke a promise."""

from random import Random

import pytest
import trio
import trio.testing

from soak.checks import CHECKS
from soak.clients import Client
from soak.cluster import Cluster, Platform
from soak.connections import CallResult, Ending
from soak.faults import FAULTS, choose_faults
from soak.fleet import new_machine
from soak.layout import LAYOUTS
from soak.scenario import Plan, play
from soak.state import JobRecord, JobState, SoakState
from soak.timeline import Scope, Span, Timeline, now_ms
from soak.work import JobPlan, StepPlan, WorkCatalogue
from standins.task_worker import StartedRun, TaskWorker

LENGTH_S = 8.0
JOB_ID = "a" * 16


@pytest.mark.timeout(120)
def test_seeded_run_keeps_the_promises(tmp_path):
    """Guards against a promise to callers that real processes break under faults."""
    faults = tuple(choose_faults("all"))
    plan = Plan(LAYOUTS["small"], faults, LENGTH_S, burst_s=LENGTH_S)
    report = trio.run(play, 1, str(tmp_path), plan)
    assert report.problems == []
    assert report.n_accepted
    assert report.faults


def cut(sent_ms, ended_ms, ending=Ending.CUT):
    path = f"/shop-finite/{JOB_ID}"
    return CallResult("i1", "GET", path, ending, sent_ms, ended_ms)


def state_of(spans=(), unanswered=(), denials=()):
    layout = LAYOUTS["small"]
    state = SoakState(layout, None, None, WorkCatalogue(), Timeline(list(spans)))
    plan = JobPlan((StepPlan(1, 500, 100.0),))
    job = JobRecord(JOB_ID, 0, layout.queues[0], plan, accepted_ms=1_000)
    state.jobs[JOB_ID] = job
    state.unanswered.extend(unanswered)
    state.denials.extend(denials)
    return state


def problems(name, state):
    return list(CHECKS[name].problems(state))


TERM = Span("term", Scope.STOP, True, 10_000, 13_000, {"i1"})
LAG = Span("lag", Scope.SOAK, False, 10_600, 11_100)
KILL = Span("kill", Scope.INSTANCE, False, 9_000, 9_500, {"i2"})


@pytest.mark.parametrize(
    ("call", "spans", "n_problems"),
    [
        (cut(10_500, 10_800), [TERM], 1),
        # Closed before the request was read, as far as a caller can tell.
        (cut(10_500, 10_600), [TERM], 0),
        (cut(10_500, 10_800, Ending.UNREAD), [TERM], 0),
        (cut(10_500, 10_800), [TERM, KILL], 0),
        (cut(14_000, 14_300), [TERM, KILL], 1),
        (cut(10_500, 11_400), [TERM, LAG], 1),
        (cut(10_500, 11_100), [TERM, LAG], 0),
    ],
)
def test_request_that_was_read_and_cut_is_a_problem(call, spans, n_problems):
    """Guards against a stop that ends requests unseen by the soak."""
    state = state_of(spans, unanswered=[call])
    assert len(problems("answered", state)) == n_problems


def test_lasting_job_is_submitted_until_it_is_accepted(monkeypatch):
    """Guards against a run that watches no long-running task, since the store was busy
    as the long-running jobs were submitted.
    """
    state = SoakState(LAYOUTS["small"], None, None, WorkCatalogue())
    client = Client(state, None, 0, Random(1))
    statuses = [None] * 7 + [503] * 7 + [200]

    async def answer(method, job, body=None):
        status = statuses.pop(0)
        if status is None:
            return None
        times = (now_ms(), now_ms())
        return CallResult("i1", method, "/x", Ending.ANSWERED, *times, status)

    async def main():
        monkeypatch.setattr(client, "_call", answer)
        await client.submit_lasting(state.layout.queues[1], now_ms() + 60_000)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    (job,) = state.jobs.values()
    assert job.accepted_ms is not None
    assert not statuses


def denial(state, at_ms):
    result = CallResult("i1", "GET", "/x", Ending.ANSWERED, at_ms - 5, at_ms)
    return JobState(JOB_ID, state, result)


@pytest.mark.parametrize(
    ("spans", "answer", "n_problems"),
    [
        ([], denial("", 4_500), 1),
        # The caller's first seconds, in which another instance may not know the job.
        ([], denial("", 3_500), 0),
        (
            [Span("cut", Scope.INSTANCE, False, 900, 1_000, {"i1"})],
            denial("", 4_500),
            0,
        ),
        (
            [Span("cut", Scope.INSTANCE, False, 900, 1_000, {"i2"})],
            denial("", 4_500),
            1,
        ),
        ([], denial("cancelled", 1_500), 1),
    ],
)
def test_accepted_job_that_is_denied_is_a_problem(spans, answer, n_problems):
    """Guards against an accepted job that is denied or ended unseen by the soak."""
    state = state_of(spans, denials=[answer])
    assert len(problems("known", state)) == n_problems


@pytest.mark.parametrize(
    ("ends", "n_problems"),
    [
        ({"m1": ["crashed"], "m2": ["crashed"]}, 0),
        ({"m1": ["crashed", "crashed"]}, 1),
        ({"m1": ["crashed"], "m2": ["killed"]}, 1),
        ({"m1": ["crashed"], "m2": ["lost"]}, 1),
        ({"m1": ["crashed"], "m2": ["lapsed"]}, 1),
    ],
)
def test_job_may_fail_once_two_machines_have_crashed_under_a_task(ends, n_problems):
    """Guards against a failed job that is excused by crashes of one machine, orders
    or runs that had ended; and against one that the rules allow and is reported.
    """
    state = state_of(denials=[denial("failed", 4_500)])
    state.cluster = Cluster(Platform({}, []), [], [])
    state.cluster.workers = [
        TaskWorker(
            f"w-{machine}",
            machine=machine,
            starts=[
                StartedRun(f"{JOB_ID}.0.0.0", number, 0, end)
                for number, end in enumerate(found, start=1)
            ],
        )
        for machine, found in ends.items()
    ]
    assert len(problems("known", state)) == n_problems


@pytest.mark.parametrize(
    ("spans", "cancel_sent_ms", "n_problems"),
    [
        ([], None, 1),
        ([Span("limit", Scope.CONFIGURATION, True, 10_000, 11_000)], None, 1),
        ([KILL], None, 0),
        ([TERM], None, 0),
        ([], 9_000, 0),
    ],
)
def test_half_a_gang_in_calm_times_is_a_problem(spans, cancel_sent_ms, n_problems):
    """Guards against gangs that never get together unseen by the soak."""
    state = state_of(spans)
    state.jobs[JOB_ID].cancel_sent_ms = cancel_sent_ms
    worker = TaskWorker("w1")
    run = StartedRun(f"{JOB_ID}.0.0.0", 1, 10_000, "alone", at_ms=14_000, n_members=2)
    worker.starts.append(run)
    state.cluster = Cluster(Platform({}, []), [], [])
    state.cluster.workers = [worker]
    assert len(problems("gangs", state)) == n_problems


def test_one_member_of_a_gang_stands_for_all():
    """Guards against a finished job that is taken for lost, with its worker."""
    worker = TaskWorker("w1")
    for number, end in enumerate(("done", "killed")):
        run = StartedRun(f"{JOB_ID}.0.0.{number}", 1, 0, end, n_members=2)
        worker.starts.append(run)
    cluster = Cluster(Platform({}, []), [], [])
    cluster.workers = [worker]
    assert cluster.finished_tasks() == {f"{JOB_ID}.0.0.0", f"{JOB_ID}.0.0.1"}


def test_faults_are_chosen_by_name_scope_and_plan():
    """Guards against a command line that plays other faults than it names."""
    assert [fault.name for fault in choose_faults("kill,wave")] == ["kill", "wave"]
    assert all(fault.is_planned for fault in choose_faults("planned"))
    assert {fault.scope for fault in choose_faults("store")} == {Scope.STORE}
    known_red = [name for name, fault in FAULTS.items() if fault.is_by_name_only]
    assert sorted(known_red) == ["flap_apart", "power_loss"]
    for words in ("all", "worker", "machines", "unplanned"):
        assert not set(known_red) & {fault.name for fault in choose_faults(words)}
    for name in known_red:
        assert [fault.name for fault in choose_faults(name)] == [name]
    with pytest.raises(ValueError, match="unknown fault"):
        choose_faults("no-such-fault")


@pytest.mark.parametrize("name", ["flap_workers", "flap_apart"])
def test_worker_that_flaps_may_be_lost_meanwhile(name):
    """Guards against faults that overlap and end the soak itself."""
    layout = LAYOUTS["small"]
    work = WorkCatalogue()

    async def main():
        machines = [new_machine(layout, work, "shop", "a") for _ in range(6)]
        platform = Platform(layout.configuration(), machines, layout.spare_pool)
        for machine in machines:
            platform.machines.add(machine)
        state = SoakState(layout, Cluster(platform, [], []), None, work)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(platform.machines.run)
            async with trio.open_nursery() as faults:
                span = Span(name, Scope.WORKER, False, 0)
                faults.start_soon(FAULTS[name].inject, state, Random(3), span)
                await trio.sleep(0.05)
                for machine in machines:
                    while machine.state != "up":
                        await trio.sleep(0.05)
                    platform.machines.lose(machine.name)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


class RecordedInstance:
    """Instance that notes when it was stopped and started."""

    def __init__(self, name):
        self.name = name
        self.calls = []

    def stop(self):
        self.calls.append(("stop", now_ms()))

    def start(self):
        self.calls.append(("start", now_ms()))


@pytest.mark.parametrize("seed", range(3))
def test_power_loss_ends_all_workers_and_instances_at_once(seed):
    """Guards against runs in which a loss of power spares a worker or an instance."""
    layout = LAYOUTS["small"]
    work = WorkCatalogue()
    span = Span("power_loss", Scope.MACHINES, False, 0)
    instances = [RecordedInstance(f"i{number}") for number in range(2)]

    async def main():
        machines = [
            new_machine(layout, work, service, "a")
            for service in layout.services
            for _ in range(6)
        ]
        platform = Platform(layout.configuration(), machines, layout.spare_pool)
        lives = {each.name: each.worker.born_ms for each in machines}
        state = SoakState(layout, Cluster(platform, instances, []), None, work)
        async with trio.open_nursery() as nursery:
            await platform.start(nursery)
            await FAULTS["power_loss"].inject(state, Random(seed), span)
            await trio.sleep(3)
            kept = [
                each for each in machines if each.name in platform.machines.machines
            ]
            assert len(kept) >= len(machines) - 1
            for machine in kept:
                assert machine.state == "up"
                assert machine.worker.born_ms > lives[machine.name]
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert span.instances == {"i0", "i1"}
    for instance in instances:
        (stop, stopped_ms), (start, started_ms) = instance.calls
        assert (stop, start) == ("stop", "start")
        assert started_ms - stopped_ms >= 500
