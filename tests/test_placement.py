from dataclasses import replace

import pytest

from apricotgap.core import fair_queue, health, membership, placement
from apricotgap.core.claim_state import Admission, Phase
from apricotgap.core.effects import (
    CheckpointTask,
    Dispatch,
    ProbeTask,
    RenewTask,
    StopTask,
)
from apricotgap.core.events import (
    TaskCheckpointed,
    TaskCompleted,
    TaskFailed,
    TaskProbed,
    TaskRefusal,
    TaskRefused,
    TaskState,
    WorkerUnreachable,
)
from apricotgap.core.limits import START_WINDOW_MS
from apricotgap.model import (
    Completed,
    DataCentre,
    DataCentreState,
    Instance,
    NotRun,
    OutcomeUnknown,
    Priority,
    Request,
    Resources,
)
from apricotgap.model.peers import Usage
from tests.scheduling_harness import FAR_MS, Fleet, configuration, dispatched, of_type


def lost_task(fleet, boot_id="b1"):
    """Dispatch a request, break its connection and wait for the task probe."""
    fleet.report("w0", boot_id=boot_id)
    sent = dispatched(fleet.submit("a0"))
    fleet.step(TaskFailed, sent.task_id, sent=True)
    assert "a0" not in fleet.outcomes
    early = fleet.tick(START_WINDOW_MS)
    assert not of_type(early, ProbeTask)
    assert of_type(fleet.tick(200), ProbeTask)
    return sent


def test_start_deadline_uses_the_server_clock_and_is_never_late(monkeypatch):
    """Guards against a task that starts after the start window."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0", server_now_ms=70_000)
    fleet.at_ms += 1_010
    sent = dispatched(fleet.submit("a0"))
    assert sent.server_deadline_ms == 70_000 + 1_000 + START_WINDOW_MS


def test_own_data_centre_comes_before_others_and_the_spare_pool(monkeypatch):
    """Guards against needless traffic between data centres and premature spill."""
    fleet = Fleet(monkeypatch)
    fleet.report("s0", "x0", "w0")
    order = [dispatched(fleet.submit(f"a{i}")).instance for i in range(3)]
    assert order == ["w0", "x0", "s0"]


def test_spill_leaves_the_spare_pool_to_its_own_work(monkeypatch):
    """Guards against spilled work that makes the spare pool's own queue wait."""
    fleet = Fleet(monkeypatch, configuration(slots=2))
    fleet.report("s0", n_running=1)
    assert not fleet.submit("a0", max_wait_ms=100)
    fleet.tick()
    fleet.state.queues.ready.clear()
    for request_id, queue in (("a1", "q"), ("own", "sq")):
        request = Request(request_id, queue)
        list(fair_queue.enqueue(fleet.state, request, "a", fleet.at_ms))
    assert dispatched(fleet.report("s0")).request_id == "own"


def test_spilled_work_is_preempted_by_the_spare_pools_own_work(monkeypatch):
    """Guards against requests of the spare pool that wait behind spilled tasks."""
    fleet = Fleet(monkeypatch)
    fleet.report("s0")
    spilled = dispatched(fleet.submit("a0", idempotent=True, priority=Priority.URGENT))
    assert spilled.priority is Priority.BATCH
    fleet.submit("s-own", queue="sq")
    (effect,) = of_type(fleet.tick(500), CheckpointTask)
    assert effect.task_id == spilled.task_id


def test_batch_leaves_the_urgent_reserve(monkeypatch):
    """Guards against urgent requests that wait because batch tasks use every slot."""
    fleet = Fleet(monkeypatch, configuration(slots=2, reserve=1))
    fleet.report("w0")
    assert dispatched(fleet.submit("a0"))
    assert not fleet.submit("a1")
    assert dispatched(fleet.submit("a2", priority=Priority.URGENT))


def test_large_batch_leaves_the_urgent_reserve(monkeypatch):
    """Guards against a batch request of several slots that uses up the reserve."""
    fleet = Fleet(monkeypatch, configuration(slots=8, reserve=3))
    config = fleet.state.config
    sized = replace(config.instances["w0"], capacity=Resources(8_000))
    fleet.state.config = replace(config, instances={"w0": sized})
    fleet.report("w0", n_running=2)
    assert not fleet.submit("a0", declared=Resources(4_000))
    assert dispatched(fleet.report("w0", n_running=1))


def test_server_that_refuses_as_leaving_gets_no_further_task(monkeypatch):
    """Guards against further tasks to a server that refused one as leaving."""
    fleet = Fleet(monkeypatch, configuration(slots=4))
    fleet.report("w0", "x0")
    sent = dispatched(fleet.submit("a0"))
    again = fleet.step(TaskRefused, sent.task_id, TaskRefusal.LEAVING)
    assert dispatched(again).instance == "x0"
    assert dispatched(fleet.submit("a1")).instance == "x0"


def test_batch_that_blocks_urgent_work_is_checkpointed_and_requeued(monkeypatch):
    """Guards against urgent requests blocked by batch and a lost batch request."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    batch = dispatched(fleet.submit("a0", idempotent=True))
    fleet.submit("u0", priority=Priority.URGENT)
    assert not of_type(fleet.tick(400), CheckpointTask)
    (effect,) = of_type(fleet.tick(100), CheckpointTask)
    assert not of_type(fleet.tick(100), CheckpointTask)
    fleet.report("w0", n_running=1)
    urgent = dispatched(fleet.step(TaskCheckpointed, effect.task_id, True))
    assert (effect.task_id, urgent.request_id) == (batch.task_id, "u0")
    fleet.report("w0", n_running=1)
    done = fleet.step(TaskCompleted, urgent.task_id, 200, 1, 5)
    assert dispatched(done).request_id == "a0"


def test_full_refusals_are_retried_elsewhere_a_limited_number_of_times(monkeypatch):
    """Guards against unlimited attempts and "not run" after the first refusal."""
    fleet = Fleet(monkeypatch, configuration(n_workers=2))
    fleet.report("w0", "w1")
    effects = fleet.submit("a0")
    instances = []
    while "a0" not in fleet.outcomes:
        sent = of_type(effects, Dispatch)
        if not sent:
            effects = fleet.report("w0", "w1")
            continue
        instances.append(sent[0].instance)
        effects = fleet.step(TaskRefused, sent[0].task_id, TaskRefusal.FULL)
    assert instances[0] != instances[1]
    assert len(instances) == 8
    assert isinstance(fleet.outcomes["a0"], NotRun)


def test_unknown_after_the_deadline_proves_not_run(monkeypatch):
    """Guards against an unknown outcome for a request that may safely run."""
    fleet = Fleet(monkeypatch)
    sent = lost_task(fleet)
    fleet.report("w0")
    effects = fleet.step(
        TaskProbed,
        sent.task_id,
        TaskState.UNKNOWN,
        server_now_ms=sent.server_deadline_ms + 1,
        boot_id="b1",
    )
    assert dispatched(effects).request_id == "a0"


@pytest.mark.parametrize(
    ("state", "boot_ids"),
    [
        (TaskState.UNKNOWN, ("b1", "b2")),
        (TaskState.UNKNOWN, ("b1", "")),
        (TaskState.UNKNOWN, ("", "")),
        (TaskState.DONE, ("b1", "b1")),
        (None, ("b1", "")),
    ],
)
def test_without_proof_a_lost_task_is_never_rerun(monkeypatch, state, boot_ids):
    """Guards against a second run of a request that is not idempotent."""
    fleet = Fleet(monkeypatch)
    sent_boot_id, boot_id = boot_ids
    sent = lost_task(fleet, sent_boot_id)
    fleet.report("x0")
    now_ms = sent.server_deadline_ms + 1
    effects = fleet.step(TaskProbed, sent.task_id, state, now_ms, boot_id)
    assert not of_type(effects, Dispatch)
    assert isinstance(fleet.outcomes["a0"], OutcomeUnknown)


@pytest.mark.parametrize(
    ("state", "late_ms"), [(TaskState.RUNNING, 5), (TaskState.UNKNOWN, 0)]
)
def test_a_task_that_may_still_run_is_probed_again(monkeypatch, state, late_ms):
    """Guards against ending a lost task while it may still start or run."""
    fleet = Fleet(monkeypatch)
    sent = lost_task(fleet)
    now_ms = sent.server_deadline_ms + late_ms
    fleet.step(TaskProbed, sent.task_id, state, now_ms, "b1")
    assert "a0" not in fleet.outcomes
    assert of_type(fleet.tick(1_000), ProbeTask)


def test_restart_ends_non_idempotent_requests_as_unknown(monkeypatch):
    """Guards against a second run because a restarted server lost its tasks."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    fleet.submit("a0", expected_run_ms=100_000)
    fleet.report("w0", boot_id="b2")
    assert isinstance(fleet.outcomes["a0"], OutcomeUnknown)
    (probe,) = of_type(fleet.tick(3_000), ProbeTask)
    fleet.step(TaskProbed, probe.task_id, None)
    fleet.tick(15_000)
    assert fleet.running["a"] == 0


def test_lost_idempotent_task_is_retried_and_holds_its_allotment(monkeypatch):
    """Guards against a team above its limit while a lost task still runs."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0", "x0")
    first = dispatched(fleet.submit("a0", idempotent=True))
    effects = fleet.step(TaskFailed, first.task_id, sent=True)
    second = dispatched(effects)
    assert second.instance != first.instance
    assert of_type(effects, StopTask)
    assert fleet.running["a"] == 2
    fleet.step(TaskCompleted, second.task_id, 200, 1, 5)
    fleet.tick(3_000)
    fleet.step(TaskProbed, first.task_id, None)
    assert fleet.running["a"] == 1
    fleet.tick(15_000)
    assert fleet.running["a"] == 0


def test_retries_after_failures_are_bounded_by_the_budget(monkeypatch):
    """Guards against retries that multiply the load during an outage."""
    fleet = Fleet(monkeypatch, configuration(n_workers=20, slots=100))
    fleet.report(*[f"w{i}" for i in range(20)])
    n_dispatched = 0
    effects = [e for i in range(50) for e in fleet.submit(f"a{i}", idempotent=True)]
    while sent := of_type(effects, Dispatch):
        n_dispatched += len(sent)
        effects = [
            e for task in sent for e in fleet.step(TaskFailed, task.task_id, sent=True)
        ]
    assert 50 < n_dispatched <= 50 + 10 + 3
    assert len(fleet.outcomes) == 50


def test_silent_connection_is_detected_before_the_timeout(monkeypatch):
    """Guards against a request that hangs on a silent connection."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    sent = dispatched(fleet.submit("a0"))
    assert of_type(fleet.tick(2_100), ProbeTask)
    now_ms = sent.server_deadline_ms + 1
    fleet.report("w0")
    again = fleet.step(TaskProbed, sent.task_id, TaskState.UNKNOWN, now_ms, "b1")
    assert dispatched(again).request_id == "a0"


def test_task_that_ended_while_a_report_was_in_transit_leaves_no_slot_idle(monkeypatch):
    """Guards against counting an ended task as work of other entry instances."""
    fleet = Fleet(monkeypatch, configuration(slots=2))
    fleet.report("w0")
    ended = dispatched(fleet.submit("a0"))
    fleet.submit("a1")
    fleet.tick()
    fleet.step(TaskCompleted, ended.task_id, 200, 1, 5)
    fleet.report("w0", n_running=2)
    assert dispatched(fleet.submit("a2"))
    assert not fleet.submit("a3")


def test_task_of_a_dead_server_ends_in_bounded_time(monkeypatch):
    """Guards against a caller that waits forever for a server that lost power."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    sent = dispatched(fleet.submit("a0", expected_run_ms=3_600_000))
    for _ in range(3):
        fleet.step(WorkerUnreachable, "w0")
    for _ in range(150):
        for _ in of_type(fleet.tick(), ProbeTask):
            fleet.step(TaskProbed, sent.task_id, None)
    assert isinstance(fleet.outcomes["a0"], OutcomeUnknown)


def test_late_answers_of_ended_tasks_are_ignored(monkeypatch):
    """Guards against a second outcome of a request due to late events."""
    fleet = Fleet(monkeypatch)
    sent = lost_task(fleet)
    fleet.step(TaskProbed, sent.task_id, TaskState.DONE, 0, "b1")
    for late in (
        (TaskCompleted, sent.task_id, 200, 1, 5),
        (TaskRefused, sent.task_id, TaskRefusal.FULL),
        (TaskFailed, sent.task_id, True),
        (TaskProbed, sent.task_id, None),
    ):
        fleet.step(*late)
    assert isinstance(fleet.outcomes["a0"], OutcomeUnknown)
    assert fleet.running["a"] == 0


def cancelled(fleet, request_id):
    """Cancel a request that has been dispatched."""
    request = Request(request_id, "q", idempotent=True)
    found = Admission(request, "a", "digest", fleet.at_ms, cancel_requested=True)
    fleet.state.claims.admissions[request_id] = found


@pytest.mark.parametrize(
    ("event", "args", "outcome"),
    [
        (TaskFailed, {"sent": True}, OutcomeUnknown),
        (TaskFailed, {"sent": False}, NotRun),
        (TaskRefused, {"reason": TaskRefusal.FULL}, NotRun),
        (TaskCheckpointed, {"stopped": True}, OutcomeUnknown),
    ],
)
def test_cancelled_request_is_not_tried_again(monkeypatch, event, args, outcome):
    """Guards against a task that starts after its caller has cancelled the request: the
    caller did so while an earlier attempt was running.
    """
    fleet = Fleet(monkeypatch, configuration(n_workers=2))
    fleet.report("w0", "w1")
    sent = dispatched(fleet.submit("r1", idempotent=True))
    cancelled(fleet, "r1")
    fleet.step(event, sent.task_id, **args)
    fleet.tick()
    assert not of_type(fleet.effects, Dispatch)
    assert not fleet.state.queues.by_request
    assert isinstance(fleet.outcomes["r1"], outcome)


def test_request_counts_as_running_once_it_is_dispatched(monkeypatch):
    """Guards against a caller who is told that a running request waits."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    request = Request("r1", "q")
    fleet.state.claims.admissions["r1"] = Admission(request, "a", "digest", 0)
    fleet.submit("r1")
    assert fleet.state.claims.admissions["r1"].phase is Phase.RUNNING


def test_no_task_lease_is_renewed_after_the_own_lease(monkeypatch):
    """Guards against a team above its upper limit: an entry instance whose lease has
    ended keeps its tasks running, while others reclaim its rows and start more.
    """
    fleet = Fleet(monkeypatch, configuration(n_workers=1, slots=2))
    fleet.report("w0")
    limited = dispatched(fleet.submit("r1", team="a"))
    unlimited = dispatched(fleet.submit("r2", team=""))
    fleet.state.members.lease_until_ms = fleet.at_ms + 100

    def renewed(n_ticks):
        effects = [r for _ in range(n_ticks) for r in of_type(fleet.tick(), RenewTask)]
        return {effect.task_id for effect in effects}

    ends_by_ms = fleet.state.placement.tasks[limited.task_id].ends_by_ms
    assert renewed(60) == {unlimited.task_id}
    assert fleet.state.placement.tasks[limited.task_id].ends_by_ms == ends_by_ms
    fleet.state.members.lease_until_ms = FAR_MS
    assert renewed(40) == {limited.task_id, unlimited.task_id}


def test_running_tasks_keep_their_lease(monkeypatch):
    """Guards against a long task that its server stops when its lease expires."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0")
    sent = dispatched(fleet.submit("a0"))
    renewals = [r for _ in range(100) for r in of_type(fleet.tick(), RenewTask)]
    assert {r.task_id for r in renewals} == {sent.task_id}
    assert len(renewals) >= 2
    fleet.step(TaskCompleted, sent.task_id, 200, 1, 10_000)
    assert fleet.outcomes["a0"] == Completed(200, 1)


def test_request_larger_than_every_instance_is_infeasible(monkeypatch):
    """Guards against a request that waits for an instance that does not exist."""
    fleet = Fleet(monkeypatch)
    size = Resources(cpu_milli=8_000)
    instances = {
        "w0": Instance("w0", "w0:1", "d1", "r", "p", 8, 64, size),
        "s0": Instance("s0", "s0:1", "d1", "r", "s", 8, 64, Resources(16_000)),
    }
    config = configuration()
    config.instances.clear()
    config.instances.update(instances)
    fleet.state.config = config
    for cpu_milli, feasible in ((16_000, True), (16_001, False)):
        request = Request("r", "q", declared=Resources(cpu_milli))
        assert placement.is_feasible(fleet.state, request, "q") is feasible
    fleet.report("w0")
    fleet.submit("a0", declared=Resources(cpu_milli=6_001))
    assert fleet.state.placement.n_slots_in_flight("w0") == 7
    assert health.can_take_work(fleet.state, "w0", fleet.at_ms)


def test_closed_data_centre_gets_no_task(monkeypatch):
    """Guards against a dispatch to a data centre that operators have closed."""
    fleet = Fleet(monkeypatch)
    fleet.report("w0", "x0")
    config = fleet.state.config
    closed = DataCentre("d1", state=DataCentreState.CLOSED)
    fleet.state.config = replace(
        config, data_centres={**config.data_centres, "d1": closed}
    )
    assert dispatched(fleet.submit("a0")).instance == "x0"
    assert not fleet.submit("a1")


def test_entries_of_a_data_centre_prefer_different_workers(monkeypatch):
    """Guards against entry instances that all prefer the same workers."""
    firsts = []
    for entry in ("e1", "e2"):
        fleet = Fleet(monkeypatch, configuration(n_workers=12))
        fleet.state.identity = replace(fleet.state.identity, entry=entry)
        monkeypatch.setattr(
            membership, "live_entries_of", lambda *_: dict.fromkeys(("e1", "e2"))
        )
        fleet.report(*[f"w{i}" for i in range(12)])
        fleet.tick()
        firsts.append({dispatched(fleet.submit(f"a{i}")).instance for i in range(4)})
    assert not firsts[0] & firsts[1]


def test_entry_leaves_slots_to_a_waiting_peer(monkeypatch):
    """Guards against an entry instance that refills all slots and starves its peers."""
    fleet = Fleet(monkeypatch, configuration(slots=8))
    fleet.report("w0")
    placement.apply_usage(fleet.state, "e2", Usage({}, {}, {}, {"q": 5}))
    assert sum(len(of_type(fleet.submit(f"a{i}"), Dispatch)) for i in range(8)) == 4
    assert placement.usage_report(fleet.state).queued == {"q": 4}
    placement.apply_usage(fleet.state, "e2", Usage({}, {}, {}, {}))
    assert len(of_type(fleet.report("w0"), Dispatch)) == 4


def test_remote_entry_leaves_a_slot_to_the_entries_there(monkeypatch):
    """Guards against starving the entry instances of another data centre."""
    fleet = Fleet(monkeypatch, configuration(n_workers=0, slots=2))
    fleet.report("x0")
    assert dispatched(fleet.submit("a0")).instance == "x0"
    assert not fleet.submit("a1")


def test_unsent_task_is_retried_elsewhere_and_worker_needs_a_new_report(monkeypatch):
    """Guards against further tasks to a server that refuses connections."""
    fleet = Fleet(monkeypatch, configuration(slots=4))
    fleet.report("w0", "x0")
    sent = dispatched(fleet.submit("a0"))
    assert sent.instance == "w0"
    again = fleet.step(TaskFailed, sent.task_id, sent=False)
    assert dispatched(again).instance == "x0"
    assert dispatched(fleet.submit("a1")).instance == "x0"
