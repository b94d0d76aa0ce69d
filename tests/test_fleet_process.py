"""Machine moves, maintenance waves and tickets with instance processes."""

import pytest
import trio

from apricotgap.jobs.demand import MIN_WORKERS
from soak.cluster import SERVICE, SIGKILL, SPARE, configuration, open_cluster

JOB = {
    "spec": "x",
    "steps": [{"count": 24, "cpu": 1000, "memMb": 10, "estimatedMs": 400}],
}


def run(check, tmp_path, **options):
    async def main():
        async with open_cluster(tmp_path, **options) as cluster:
            with trio.fail_after(40):
                await check(cluster)

    trio.run(main)


async def until(condition):
    while not condition():
        await trio.sleep(0.05)


def pools(cluster):
    machines = cluster.platform.machines.machines.values()
    return [machine.pool for machine in machines if machine.state == "up"]


def test_machines_move_to_a_loaded_pool_and_back_to_the_spares(tmp_path):
    """Guards against a pool that is not resized, and tasks lost by its moves."""

    async def check(cluster):
        await until(lambda: pools(cluster).count(SERVICE) == MIN_WORKERS)
        for n in range(6):
            status, _ = await cluster.request(
                cluster.instances[0], "POST", f"{n:016x}", JOB
            )
            assert status == 200
        await until(lambda: pools(cluster).count(SERVICE) > 4)
        for n in range(6):
            await cluster.until_succeeded(cluster.instances[1], f"{n:016x}", 30)
        done = cluster.done_runs()
        assert len(done) == len(set(done))
        assert len(cluster.finished_tasks()) == 6 * 24
        await until(lambda: pools(cluster).count(SPARE) == 8 - MIN_WORKERS)

    run(check, tmp_path, n_workers=1, n_spare=7, task_ms=400)


def test_wave_finishes_within_its_bound_although_the_fleet_owner_dies(tmp_path):
    """Guards against machines skipped, or too many taken down, after a takeover."""

    async def check(cluster):
        service = cluster.platform.machines
        names = sorted(service.machines)
        wave = {"wave": 3, "machines": names, "durationS": 20, "maxCount": 2}
        cluster.platform.put("op/wave/3", wave)
        await until(lambda: any(order.wave for order in service.orders))
        # Instances write their log lines with a delay.
        await until(lambda: _fleet_claims(cluster))
        max(_fleet_claims(cluster), key=lambda claim: claim[0])[1].signal(SIGKILL)
        await until(
            lambda: (
                (cluster.platform.get("status/wave/3") or {}).get("state")
                == "succeeded"
            )
        )
        serviced = {order.machine for order in service.orders if order.wave == 3}
        assert serviced == set(names)
        _check_holders(service.orders)

    run(check, tmp_path, n_instances=3, n_workers=2, n_spare=4)


def _fleet_claims(cluster):
    """Return the epochs and instances of the fleet's owners so far."""
    return [
        (line["epoch"], instance)
        for instance in cluster.instances
        for line in instance.lines("claim")
        if line["shard"] != SERVICE and line["outcome"] == "Stored"
    ]


def _check_holders(orders):
    """Check that no machine gets orders of two owners within one holder lease."""
    by_machine = {}
    for order in orders:
        last = by_machine.get(order.machine)
        if last is not None and last.holder != order.holder:
            assert order.token > last.token
            assert order.at_ms - last.at_ms >= 3_000
        by_machine[order.machine] = order


def _order_wave(cluster, names):
    wave = {"wave": 3, "machines": names, "durationS": 20, "maxCount": 2}
    cluster.platform.put("op/wave/3", wave)


def _is_succeeded(cluster):
    return (cluster.platform.get("status/wave/3") or {}).get("state") == "succeeded"


async def _check_wave_waits(cluster, name):
    """Check that a wave does not end before a machine has had its maintenance."""
    service = cluster.platform.machines
    while not _is_succeeded(cluster):
        await trio.sleep(0.02)
    assert name in {order.machine for order in service.orders if order.wave == 3}


def test_machine_that_joins_while_the_list_is_away_is_in_its_wave(tmp_path):
    """Guards against a wave that is said to have succeeded without a machine.

    It joins, and the wave is ordered, while the list of machines cannot be read.
    """

    async def check(cluster):
        service = cluster.platform.machines
        name = sorted(service.machines)[-1]
        service.unlisted = {name}
        await until(lambda: _fleet_claims(cluster))
        await trio.sleep(2)
        service.is_busy = True
        service.unlisted = set()
        _order_wave(cluster, sorted(service.machines))
        await trio.sleep(5)
        service.is_busy = False
        await _check_wave_waits(cluster, name)

    run(check, tmp_path, n_workers=2, n_spare=2)


@pytest.mark.parametrize("doubt", ["unlisted", "garbled"])
def test_machine_that_the_list_lacks_for_long_is_in_its_wave(doubt, tmp_path):
    """Guards against a wave that takes a short list for the whole fleet.

    The worker of the machine is registered, or the machine is off. The one with a
    worker is not asked for, so that none of its tasks ends.
    """

    async def check(cluster):
        service = cluster.platform.machines
        spare = [m.name for m in service.machines.values() if m.pool == SPARE]
        other = [m.name for m in service.machines.values() if m.pool == SERVICE]
        setattr(service, doubt, {spare[0], other[0]})
        _order_wave(cluster, sorted(service.machines))
        await trio.sleep(8)
        assert not _is_succeeded(cluster)
        assert other[0] not in {order.machine for order in service.orders}
        setattr(service, doubt, set())
        await _check_wave_waits(cluster, other[0])
        await _check_wave_waits(cluster, spare[0])

    run(check, tmp_path, n_workers=2, n_spare=2)


@pytest.mark.parametrize("reason", ["", "busy"])
def test_wave_ends_without_a_machine_that_is_lost(reason, tmp_path):
    """Guards against a wave that never ends: a machine of it is gone for good.

    The platform does not know it any more, or says only that it is not up.
    """

    async def check(cluster):
        service = cluster.platform.machines
        names = sorted(service.machines)
        service.departed_reason = reason
        service.lose(names[-1])
        _order_wave(cluster, names)
        await until(lambda: _is_succeeded(cluster))
        assert set(service.unknown) == {names[-1]}
        assert len(service.unknown) == 1 or reason
        serviced = {order.machine for order in service.orders if order.wave == 3}
        assert serviced == set(names[:-1])

    run(check, tmp_path, n_workers=2, n_spare=2)


def test_order_with_a_lost_answer_is_repeated(tmp_path):
    """Guards against a machine move that is forgotten with its answer."""

    async def check(cluster):
        cluster.platform.machines.n_lost_answers = 2
        await until(lambda: pools(cluster).count(SERVICE) == MIN_WORKERS)

    run(check, tmp_path, n_workers=1, n_spare=4)


def test_tasks_of_a_queue_with_a_policy_run_only_on_approved_workers(tmp_path):
    """Guards against a task on a worker for which the advice service gave no ticket."""

    async def check(cluster):
        advice = cluster.platform.advice
        advice.approves = lambda step, worker: worker == "w1"
        for worker in cluster.workers:
            worker.accepts_ticket = lambda step, worker_id, ticket: (
                ticket == advice.ticket(step, worker_id) and worker_id == "w1"
            )
        policy = {"decisionMs": 5, "perItemMs": 1, "validityMs": 2_000}
        cluster.platform.put("op/config", configuration(2, advice=policy))
        await trio.sleep(0.5)
        job_id = "a" * 16
        status, _ = await cluster.request(cluster.instances[0], "POST", job_id, JOB)
        assert status == 200
        await cluster.until_succeeded(cluster.instances[0], job_id)
        assert not cluster.workers[0].starts
        assert len(cluster.workers[1].starts) == 24

    run(check, tmp_path)
