"""Instance processes: calls, loss of an owner, shutdown and store outages."""

import json

import pytest
import trio

from soak.cluster import (
    SERVICE,
    SIGHUP,
    SIGKILL,
    SIGTERM,
    configuration,
    open_cluster,
)
from tests.loopback import call_raw

JOB = {
    "spec": "x",
    "steps": [{"count": 4, "cpu": 500, "memMb": 10, "estimatedMs": 100}],
}
LONG_JOB = {
    "spec": "x",
    "steps": [
        {"count": 3, "cpu": 500, "memMb": 10, "estimatedMs": 1000},
        {"count": 3, "cpu": 500, "memMb": 10, "estimatedMs": 1000, "after": [0]},
    ],
}


def run(check, tmp_path, **options):
    async def main():
        async with open_cluster(tmp_path, **options) as cluster:
            await check(cluster)

    trio.run(main)


def others(cluster, instance):
    return [other for other in cluster.instances if other is not instance]


def test_job_submitted_to_any_instance_runs_once(tmp_path):
    """Guards against a job that runs twice after a resubmission."""

    async def check(cluster):
        for n, instance in enumerate(cluster.instances):
            job_id = f"{n:016x}"
            assert (await cluster.request(instance, "POST", job_id, JOB))[0] == 200
            # A caller that lost the answer submits the same id again.
            assert (await cluster.request(instance, "POST", job_id, JOB))[0] == 200
            await cluster.until_succeeded(others(cluster, instance)[0], job_id)
        done = cluster.done_runs()
        assert len(done) == len(set(done)) == 8

    run(check, tmp_path)


def test_refused_calls_get_the_status_of_their_reason(tmp_path):
    """Guards against a malformed call that gets a wrong status or is accepted."""

    async def check(cluster):
        instance = cluster.instances[0]
        job_id = "a" * 16
        assert (await cluster.request(instance, "GET", job_id))[0] == 410
        assert (await cluster.request(instance, "POST", job_id, JOB, "no"))[0] == 401
        assert (await cluster.request(instance, "POST", "short", JOB))[0] == 400
        response = await call_raw("GET", instance.address, "/nowhere/x")
        assert response.status == 404
        too_long = {**JOB, "spec": "x" * 4_001}
        assert (await cluster.request(instance, "POST", job_id, too_long))[0] == 400
        for body in ({"steps": []}, {"steps": 3}, {}):
            assert (await cluster.request(instance, "POST", job_id, body))[0] == 400
        assert (await cluster.request(instance, "POST", job_id, JOB))[0] == 200

    run(check, tmp_path)


def test_job_with_overflowing_numbers_does_not_stop_its_service(tmp_path):
    """Guards against one request that stops owner after owner of a service."""

    async def check(cluster):
        step = {"count": 1, "cpu": 500, "longRunning": True, "estimatedMs": 10**400}
        overflowing = {"spec": "x", "steps": [step]}
        for instance in cluster.instances:
            answer = await cluster.request(instance, "POST", "b" * 16, overflowing)
            assert answer[0] == 400
        job_id = "a" * 16
        instance = cluster.instances[0]
        assert (await cluster.request(instance, "POST", job_id, JOB))[0] == 200
        await cluster.until_succeeded(instance, job_id)
        assert not any(each.lines("shard_failed") for each in cluster.instances)

    run(check, tmp_path)


def test_odd_entries_do_not_stop_the_owners_from_following_the_workers(tmp_path):
    """Guards against entries of another writer that end owners or hide a change."""
    entry = {"service": SERVICE, "state": "ready", "freeCapacity": {"cpu": 8000}}
    address = "127.0.0.1:9"
    odd = [
        b'{"notes":' + b"[" * 4_000,
        json.dumps(entry | {"address": address, "born": 10**400}).encode(),
        json.dumps(entry | {"address": address, "clockMs": 1e300}).encode(),
        *(
            json.dumps(entry | {"address": each}).encode()
            for each in ("127.0.0.1:99999", "127.0.0.1:\u00b2", "\u00e9" * 70 + ":80")
        ),
    ]

    async def check(cluster):
        for n, data in enumerate(odd):
            cluster.store.put(f"servers/odd-{n}", data)
        gone = cluster.workers[0]
        cluster.store.put(
            f"servers/{gone.worker_id}",
            json.dumps(gone.entry(SERVICE) | {"state": "draining"}).encode(),
        )
        await trio.sleep(3)
        job_id = "a" * 16
        instance = cluster.instances[0]
        assert (await cluster.request(instance, "POST", job_id, JOB))[0] == 200
        await cluster.until_succeeded(instance, job_id)
        owner = cluster.owner()
        assert len(owner.lines("worker_entry_unusable")) == len(odd)
        assert any(
            line["worker"] == gone.worker_id for line in owner.lines("worker_draining")
        )
        for each in cluster.instances:
            assert each.is_running and not each.lines("shard_failed")

    run(check, tmp_path)


@pytest.mark.parametrize("number", [SIGKILL, SIGTERM])
def test_job_continues_after_its_owner_ends(tmp_path, number):
    """Guards against lost and repeated tasks after the loss of a shard owner."""

    async def check(cluster):
        owner = cluster.owner()
        survivor = others(cluster, owner)[0]
        job_id = "b" * 16
        assert (await cluster.request(survivor, "POST", job_id, LONG_JOB))[0] == 200
        await trio.sleep(0.3)
        owner.signal(number)
        await cluster.until_succeeded(survivor, job_id)
        done = cluster.done_runs()
        assert len(done) == len(set(done)) == 6

    run(check, tmp_path, task_ms=700)


@pytest.mark.parametrize("is_owner_lost", [False, True])
def test_job_that_crashes_workers_is_given_up_beside_others(tmp_path, is_owner_lost):
    """Guards against one task that crashes worker after worker, past a takeover too."""

    async def check(cluster):
        owner = cluster.owner()
        survivor = others(cluster, owner)[0]
        deadly, harmless = "d" * 16, "e" * 16
        for worker in cluster.workers:
            worker.is_deadly = lambda task: task.startswith(deadly)
        one_task = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "memMb": 10}]}
        assert (await cluster.request(survivor, "POST", harmless, LONG_JOB))[0] == 200
        assert (await cluster.request(survivor, "POST", deadly, one_task))[0] == 200
        if is_owner_lost:
            while not cluster.starts_of(deadly):
                await trio.sleep(0.02)
            await trio.sleep(0.8)
            owner.signal(SIGKILL)
        with trio.fail_after(30):
            state = None
            while state != "failed":
                await trio.sleep(0.1)
                status, document = await cluster.request(survivor, "GET", deadly)
                state = document.get("state") if status == 200 else None
        # Two starts more may follow after three workers have crashed.
        assert 2 <= len(cluster.starts_of(deadly)) <= 5
        await cluster.until_succeeded(survivor, harmless)
        done = cluster.done_runs()
        assert len(done) == len(set(done))
        if is_owner_lost:
            # The counters of the owner that was killed are gone.
            return
        metrics = await call_raw("GET", owner.metrics, "/metrics")
        given_up = f'apricotgap_tasks_given_up_total{{shard="{SERVICE}"}} 1'
        assert given_up in metrics.content.decode()

    run(check, tmp_path, task_ms=300, n_workers=4)


def test_successor_loads_a_shard_with_a_stored_cancellation(tmp_path):
    """Guards against a shard that no instance can take over any more.

    A cancellation that reached no owner lies in the store beside its job.
    """

    async def check(cluster):
        owner = cluster.owner()
        survivor = others(cluster, owner)[0]
        job_id = "c" * 16
        assert (await cluster.request(survivor, "POST", job_id, LONG_JOB))[0] == 200
        owner.signal(SIGKILL)
        cluster.store.put(f"jobs/{SERVICE}/{job_id}/cancel", b"1")
        with trio.fail_after(15):
            state = None
            while state != "cancelled":
                await trio.sleep(0.1)
                status, document = await cluster.request(survivor, "GET", job_id)
                state = document.get("state") if status == 200 else None
        next_id = "d" * 16
        assert (await cluster.request(survivor, "POST", next_id, JOB))[0] == 200
        await cluster.until_succeeded(survivor, next_id)
        assert not survivor.lines("shard_failed")

    run(check, tmp_path, task_ms=700)


def test_stopping_instance_serves_calls_until_it_exits_in_time(tmp_path):
    """Guards against failed calls while the load balancer still sends them."""

    async def check(cluster):
        owner = cluster.owner()
        owner.signal(SIGTERM)
        await trio.sleep(0.3)
        assert (await cluster.request(owner, "GET", "c" * 16))[0] == 410
        assert await trio.to_thread.run_sync(owner.wait, 6) == 0

    run(check, tmp_path)


def test_submission_is_refused_while_the_store_is_busy_and_never_runs(tmp_path):
    """Guards against a job that runs although its submission was refused."""

    async def check(cluster):
        instance = cluster.instances[0]
        cluster.store.faults.is_busy = True
        status, _ = await cluster.request(instance, "POST", "d" * 16, JOB)
        assert status == 503
        cluster.store.faults.is_busy = False
        await trio.sleep(1.5)
        assert cluster.done_runs() == []
        assert (await cluster.request(instance, "POST", "e" * 16, JOB))[0] == 200

    run(check, tmp_path)


def test_lost_store_answers_neither_lose_nor_repeat_tasks(tmp_path):
    """Guards against a repeated write after an unknown outcome.

    Every other write takes effect late, after its answer was lost.
    """

    async def check(cluster):
        instance = cluster.instances[0]
        for n in range(6):
            job_id = f"{n:016x}"
            cluster.store.faults.n_lost_answers = 1
            cluster.store.faults.n_late_writes = n % 2
            status, _ = await cluster.request(instance, "POST", job_id, JOB)
            assert status in (200, 504)
            if status == 200:
                await cluster.until_succeeded(instance, job_id)
        done = cluster.done_runs()
        assert len(done) == len(set(done))

    run(check, tmp_path)


def test_withdrawn_key_is_refused_within_seconds(tmp_path):
    """Guards against an instance that still accepts a withdrawn key."""

    async def check(cluster):
        withdrawn = json.dumps(configuration(2, keys=("other",))).encode()
        cluster.store.put("op/config", withdrawn)
        with trio.fail_after(5):
            for instance in cluster.instances:
                while (await cluster.request(instance, "GET", "f" * 16))[0] != 401:
                    await trio.sleep(0.05)

    run(check, tmp_path)


def test_calls_are_refused_once_the_view_of_the_keys_is_too_old(tmp_path):
    """Guards against a withdrawn key that still works during a store outage."""

    async def check(cluster):
        cluster.store.faults.is_silent = True
        await trio.sleep(5)
        for instance in cluster.instances:
            assert (await cluster.request(instance, "GET", "f" * 16))[0] == 503

    run(check, tmp_path)


def test_lost_watch_history_hides_no_change(tmp_path):
    """Guards against a change that is missed with the history of the watch."""

    async def check(cluster):
        cluster.store.put(
            "op/config", json.dumps(configuration(2, keys=("other",))).encode()
        )
        cluster.store.forget_history()
        with trio.fail_after(6):
            for instance in cluster.instances:
                while (await cluster.request(instance, "GET", "f" * 16))[0] != 401:
                    await trio.sleep(0.05)

    run(check, tmp_path)


def test_job_accepted_while_the_ownership_ends_is_stored(tmp_path):
    """Guards against a 200 for a job that is not stored.

    The store rejects the write of the owner because the owner key was deleted.
    """

    async def check(cluster):
        owner = cluster.owner()
        cluster.store.remove("sys/owners/bakery")
        job_id = "a" * 16
        status, _ = await cluster.request(owner, "POST", job_id, JOB)
        assert status == 200
        assert f"ids/{job_id}" in cluster.store.items
        await cluster.until_succeeded(owner, job_id)

    run(check, tmp_path)


def test_metrics_and_logs_report_decisions(tmp_path):
    """Guards against missing metrics and log events of a job."""

    async def check(cluster):
        owner = cluster.owner()
        job_id = "a" * 16
        await cluster.request(owner, "POST", job_id, JOB)
        await cluster.until_succeeded(owner, job_id)
        owner.signal(SIGHUP)
        answer = await call_raw("GET", owner.metrics, "/metrics")
        text = answer.content.decode()
        assert 'apricotgap_run_starts_total{result="ok"} 4' in text
        assert "apricotgap_call_ms_bucket" in text
        await trio.sleep(0.6)
        for event in ("started", "configuration", "claim", "reloaded"):
            assert owner.lines(event), event
        assert [line["job"] for line in owner.lines("job_finished")] == [job_id]
        lines = owner.lines("runs_started")
        assert sorted(n for line in lines for n in line["numbers"]) == [0, 1, 2, 3]
        assert {line["task"] for line in lines} == {f"{job_id}.0.0"}

    run(check, tmp_path)


def test_changed_settings_are_reloaded_without_a_signal(tmp_path):
    """Guards against a process that keeps an outdated bound."""

    async def check(cluster):
        instance = cluster.instances[0]
        path = tmp_path / f"{instance.name}.toml"
        text = path.read_text()
        path.write_text(text.replace("revokeMs = 5000", "revokeMs = 4000"))
        with trio.fail_after(5):
            while not instance.lines("reloaded"):
                await trio.sleep(0.05)
        assert instance.lines("reloaded")[0]["changed"] == ["bounds.revoke_ms"]
        path.write_text("broken = [")
        with trio.fail_after(5):
            while not instance.lines("reload_failed"):
                await trio.sleep(0.05)
        assert (await cluster.request(instance, "POST", "f" * 16, JOB))[0] == 200

    run(check, tmp_path, n_instances=1)
