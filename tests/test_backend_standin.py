import hashlib
import json
import os
import signal
import subprocess
import sys

import httpcore
import pytest
import trio

from standins.backend_instance import InstanceSettings
from standins.backend_server import BackendServers
from standins.platform import Platform
from tests.loopback import call, call_raw


def run_with_instance(check, **settings):
    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                servers = BackendServers([InstanceSettings("b1", **settings)], nursery)
                for listener in servers.listeners:
                    await nursery.start(listener.run)
                nursery.start_soon(servers.watch_faults)
                await check(Backend(servers), nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


class Backend:
    def __init__(self, servers):
        self.servers = servers
        self.address = servers.instances["b1"].listener.address

    async def submit(self, task_id, body=b"x", **headers):
        headers = [(k.replace("_", "-").encode(), str(v)) for k, v in headers.items()]
        path = f"/v1/tasks/{task_id}"
        return await call_raw("POST", self.address, path, body, headers)

    async def fault(self, kind, **options):
        await self.control("POST", "faults", {"fault": kind, **options})

    async def control(self, method, what, body=None):
        address = self.servers.control.address
        return (await call(method, address, f"/standin/b1/{what}", body))[1]

    async def outcomes(self):
        records = (await self.control("GET", "records"))["records"]
        return [record["outcome"] for record in records]

    async def act(self, task_id, action, body=None):
        path = f"/v1/tasks/{task_id}/{action}"
        return await call("POST", self.address, path, body)

    async def status(self):
        return (await call("GET", self.address, "/v1/status"))[1]


def header(response, name):
    return dict(response.headers).get(name.encode(), b"").decode()


def test_answer_shows_the_task_and_the_request_body():
    """Guards against crossed answers that a demo cannot see."""

    async def check(backend, nursery):
        response = await backend.submit("t1", b"flour")
        digest = hashlib.sha256(b"flour").hexdigest().encode()
        assert response.content == digest + b"\nflour"
        assert header(response, "apricotgap-task-id") == "t1"
        assert await backend.outcomes() == ["completed"]

    run_with_instance(check)


@pytest.mark.parametrize(
    ("reason", "headers"),
    [
        ("full", {}),
        ("duplicate", {}),
        ("leaving", {}),
        ("deadline", {"Apricotgap_Start_Deadline_Ms": 1}),
        ("infeasible", {"Apricotgap_Memory_Mb": 500}),
    ],
)
def test_refused_task_leaves_no_record(reason, headers):
    """Guards against a refusal of a task that ran all the same."""

    async def check(backend, nursery):
        n_before = 0
        if reason in ("full", "duplicate"):
            nursery.start_soon(lambda: backend.submit("t1", standin_run_ms=300))
            await trio.sleep(0.1)
            n_before = 1
        if reason == "leaving":
            await backend.control("POST", "drain", {"draining": True})
        task_id = "t1" if reason == "duplicate" else "t2"
        response = await backend.submit(task_id, **headers)
        assert header(response, "apricotgap-not-run") == reason
        assert len(await backend.outcomes()) == n_before

    run_with_instance(check, slots=1, memory_mb=100)


def test_start_deadline_is_read_on_the_servers_own_clock():
    """Guards against stand-ins whose clocks agree and hide a unit error."""

    async def check(backend, nursery):
        now_ms = (await backend.status())["now_ms"]
        assert now_ms >= 5_000_000
        late = await backend.submit("t1", Apricotgap_Start_Deadline_Ms=now_ms - 1)
        assert header(late, "apricotgap-not-run") == "deadline"
        deadline = now_ms + 2_000
        good = await backend.submit("t2", Apricotgap_Start_Deadline_Ms=deadline)
        assert good.status == 200

    run_with_instance(check, clock_offset_ms=5_000_000)


def test_task_stops_when_its_lease_lapses_unless_renewed():
    """Guards against a task that outlives the lease of its owner."""

    async def check(backend, nursery):
        async def submit(task_id):
            await backend.submit(
                task_id, standin_run_ms=600, Apricotgap_Task_Lease_Ms=300
            )

        nursery.start_soon(submit, "lapses")
        nursery.start_soon(submit, "renewed")
        await trio.sleep(0.15)
        await backend.act("renewed", "renew", {"lease_ms": 5_000})
        await trio.sleep(0.7)
        assert sorted(await backend.outcomes()) == ["completed", "lease_lapsed"]

    run_with_instance(check)


def test_checkpoint_stop_and_throttle_act_on_a_running_task():
    """Guards against control calls that only answer."""

    async def check(backend, nursery):
        for task_id in ("checkpoint", "stop", "throttle"):
            nursery.start_soon(lambda t=task_id: backend.submit(t, standin_run_ms=300))
        await trio.sleep(0.1)
        for action in ("checkpoint", "stop", "throttle"):
            assert (await backend.act(action, action))[0] == 200
        assert (await backend.status())["n_running"] == 1
        await trio.sleep(0.3)
        assert (await backend.status())["n_running"] == 1
        await trio.sleep(0.3)
        ended = ["checkpointed", "completed", "stopped"]
        assert sorted(await backend.outcomes()) == ended

    run_with_instance(check)


def test_usage_by_team_lags():
    """Guards against a demo whose usage reports are never stale."""

    async def check(backend, nursery):
        nursery.start_soon(
            lambda: backend.submit("t1", standin_run_ms=900, Apricotgap_Team="mill")
        )
        await trio.sleep(0.1)
        status = await backend.status()
        assert (status["n_running"], status["n_running_by_team"]) == (1, {})
        await trio.sleep(0.4)
        assert (await backend.status())["n_running_by_team"] == {"mill": 1}

    run_with_instance(check, usage_lag_ms=300)


def test_platform_reboot_changes_the_boot_id_once_per_step():
    """Guards against a repeated step that reboots twice."""

    async def check(backend, nursery):
        platform = Platform()
        await nursery.start(platform.platform.run)
        address = platform.platform.address
        control = backend.servers.control_url("b1")
        instance = {"name": "b1", "control": control}
        await call("POST", address, "/standin/instances", {"instances": [instance]})
        boots = [(await backend.status())["boot_id"]]
        for _ in range(2):
            body = {"step_id": "s1"}
            await call("POST", address, "/v1/instances/b1/reboot", body)
            boots.append((await backend.status())["boot_id"])
        assert boots[0] != boots[1] == boots[2]

    run_with_instance(check)


def test_down_instance_refuses_connections_until_the_fault_ends():
    """Guards against a stopped stand-in that never comes back."""

    async def check(backend, nursery):
        await backend.fault("down", for_ms=300)
        await trio.sleep(0.1)
        with pytest.raises(httpcore.ConnectError):
            await backend.status()
        await trio.sleep(0.5)
        assert (await backend.status())["n_running"] == 0

    run_with_instance(check)


def test_silence_can_be_limited_to_open_connections():
    """Guards against judging a server by one silent connection."""

    async def check(backend, nursery):
        url = f"http://{backend.address}/v1/status"
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request("GET", url)
            await backend.fault("silent", connections="open")
            with trio.move_on_after(0.3) as scope:
                await pool.request("GET", url)
            assert scope.cancelled_caught
        assert (await backend.status())["n_running"] == 0

    run_with_instance(check)


def test_answer_faults_hit_the_next_calls():
    """Guards against answer faults that leave answers intact."""

    async def check(backend, nursery):
        async def soon():
            return (await backend.status())["now_ms"] + 50

        await backend.fault("wrong_task_id", n=1)
        wrong = await backend.submit("t1")
        assert header(wrong, "apricotgap-task-id") != "t1"
        await backend.fault("cut_short", n=1)
        with pytest.raises(httpcore.RemoteProtocolError):
            await backend.submit("t2")
        await backend.fault("fail_fast", n=1)
        assert (await backend.submit("t3")).status == 500
        await backend.fault("late_answer", n=1, delay_ms=300)
        with trio.move_on_after(0.2) as scope:
            await backend.submit("t4")
        assert scope.cancelled_caught
        await backend.fault("slow_start", n=1, delay_ms=100)
        late = await backend.submit("t6", Apricotgap_Start_Deadline_Ms=await soon())
        assert header(late, "apricotgap-not-run") == "deadline"
        assert (await backend.submit("t5")).status == 200
        outcomes = ["completed", "completed", "failed", "completed", "completed"]
        assert await backend.outcomes() == outcomes

    run_with_instance(check)


def test_unknown_fault_is_refused():
    """Guards against a misspelt fault that lets a test pass without it."""

    async def check(backend, nursery):
        path = "/standin/faults"
        status, _ = await call("POST", backend.address, path, {"fault": "slwo"})
        assert status == 400

    run_with_instance(check)


@pytest.mark.parametrize(
    ("module", "options"),
    [
        ("standins.platform", []),
        ("standins.backend_server", ["--instance", "name=b1,slots=2"]),
    ],
)
def test_process_prints_its_addresses_and_stops_on_sigterm(module, options):
    """Guards against stand-ins that a demo cannot await or end."""
    command = [sys.executable, "-m", module, *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert json.loads(process.stdout.readline())["ready"]
        os.kill(process.pid, signal.SIGTERM)
        assert process.wait(timeout=10) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_kill_ends_a_process_started_from_a_settings_file(tmp_path):
    """Guards against a kill that is a graceful stop."""
    path = tmp_path / "backends.yaml"
    path.write_text("instances:\n  - {name: b1, slots: 2}\n  - {name: b2}\n")
    command = [sys.executable, "-m", "standins.backend_server", "--settings", path]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        instances = json.loads(process.stdout.readline())["instances"]

        async def kill():
            address, body = instances["b2"]["address"], {"fault": "kill"}
            await call("POST", address, "/standin/faults", body)

        trio.run(kill)
        assert process.wait(timeout=10) == 137
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
