"""Tests of an entry instance that runs as a process, with stand-ins on loopback."""

import hashlib
import json
import signal

import pytest
import trio
import yaml

from demo.__main__ import httpcore_request
from demo.operator import Operator
from demo.processes import Fleet

CREDENTIAL = "an-operator-credential"
FLEET = {
    "data_centres": [{"name": "a"}],
    "pools": [{"name": "p"}],
    "instances": [
        {
            "name": "a-p-1",
            "address": "127.0.0.1:1",
            "data_centre": "a",
            "rack": "a-r1",
            "pool": "p",
            "slots": 2,
            "connections": 8,
        }
    ],
    "teams": [{"name": "t", "share": 1, "upper_limit": 4}],
    "queues": [{"name": "q", "pool": "p"}],
}


class Deployment:
    """A running entry instance with one backend server."""

    def __init__(self, fleet, key, folder):
        self.fleet, self.key, self.folder = fleet, key, folder
        ((self.name, self.address),) = fleet.http.items()

    async def send(self, raw):
        """Send raw bytes and return the bytes received."""
        host, port = self.address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(raw)
            received = b""
            with trio.move_on_after(3):
                while b"\r\n\r\n" not in received or not received.endswith(b"}"):
                    chunk = await stream.receive_some(65_536)
                    if not chunk:
                        break
                    received += chunk
            return received

    async def post(self, body, key=None, queue="q", **headers):
        """Send a request as a caller and return status and body."""
        fields = {"Authorization": f"Bearer {key or self.key}", **headers}
        head = f"POST /v1/queues/{queue}/requests HTTP/1.1\r\nHost: x\r\n"
        head += "".join(f"{n.replace('_', '-')}: {v}\r\n" for n, v in fields.items())
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        response = await self.send(head.encode() + body)
        status_line, _, rest = response.partition(b"\r\n")
        return int(status_line.split()[1]), rest.partition(b"\r\n\r\n")[2]


def run_check(tmp_path, check):
    """Run `check(deployment)` and assert that the log has no traceback."""

    async def main():
        example = tmp_path / "example.yaml"
        example.write_text(yaml.safe_dump(FLEET))
        fleet = Fleet(tmp_path, example, ["a"], 1, "")
        try:
            digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
            with trio.fail_after(45):
                await fleet.start(digest)
                await check(await configure(fleet, tmp_path))
        finally:
            fleet.kill_all()

    trio.run(main)
    log = (tmp_path / "entry-a-1.log").read_text()
    assert "Traceback" not in log and "internal_error" not in log


async def configure(fleet, tmp_path):
    (address,) = fleet.http.values()
    operator = Operator([address], CREDENTIAL)
    for _ in range(100):
        code, _ = await operator.run("apply", str(fleet.fleet_file))
        if code == 0:
            break
        await trio.sleep(0.2)
    key = (await operator.must("key", "grant", "t"))["key"]
    instances = [
        {"name": n, "control": c, "state": "live"} for n, c in fleet.controls.items()
    ]
    await httpcore_request(
        "POST",
        f"{fleet.platform_url}/standin/instances",
        {"instances": instances, "settled": True},
    )
    deployment = Deployment(fleet, key, tmp_path)
    for _ in range(50):
        status, _ = await deployment.post(b'{"standin_run_ms": 1}')
        if status == 200:
            return deployment
    raise AssertionError("no request succeeded")


@pytest.mark.timeout(90)
def test_invalid_input_gets_an_error_and_does_not_stop_the_process(tmp_path):
    """Guards against input of a caller or peer that crashes the entry instance."""

    async def check(deployment):
        assert b"400" in (await deployment.send(b"GARBAGE\r\n\r\n")).split(b"\r\n")[0]
        large = b"Content-Length: 9999999\r\n\r\n"
        head = b"POST /v1/queues/q/requests HTTP/1.1\r\nHost: x\r\n"
        assert b" 413" in (await deployment.send(head + large)).split(b"\r\n")[0]
        for kwargs, expected in (
            ({"key": "wrong"}, (401, "key_unknown")),
            ({"queue": "none"}, (404, "unknown_queue")),
            ({"Apricotgap_Priority": "soon"}, (400, "invalid")),
        ):
            status, body = await deployment.post(b"x", **kwargs)
            data = json.loads(body)
            assert (status, data["kind"]) == expected
            assert data["remedy"] and data["outcome"] == "not_run"
        settings = yaml.safe_load((deployment.folder / "entry-a-1.yaml").read_text())
        host, port = settings["entry"]["peer_address"].split(":")
        peer = await trio.open_tcp_stream(host, int(port))
        await peer.send_all(b"\xff\xfe not a websocket\r\n\r\n")
        await peer.aclose()
        assert (await deployment.post(b'{"standin_run_ms": 1}'))[0] == 200
        assert deployment.fleet.entries["a-1"].running

    run_check(tmp_path, check)


@pytest.mark.timeout(90)
def test_graceful_shutdown_finishes_running_requests(tmp_path):
    """Guards against a shutdown that closes the connection of a running request."""

    async def check(deployment):
        body = b'{"standin_run_ms": 1500}'
        results = []

        async def call():
            results.append(await deployment.post(body))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.5)
            deployment.fleet.entries["a-1"].send(signal.SIGTERM)
        expected_body = hashlib.sha256(body).hexdigest().encode() + b"\n" + body
        assert results == [(200, expected_body)]
        assert await deployment.fleet.entries["a-1"].wait() == 0

    run_check(tmp_path, check)


async def is_listening(address):
    host, port = address.split(":")
    try:
        await (await trio.open_tcp_stream(host, int(port))).aclose()
    except OSError:
        return False
    return True


@pytest.mark.timeout(90)
def test_request_that_arrives_while_the_process_exits_is_answered(tmp_path):
    """Guards against a stop that cuts a request of which a part has been read."""

    async def check(deployment):
        host, port = deployment.address.split(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            head = f"POST /v1/queues/q/requests HTTP/1.1\r\nHost: {host}\r\n"
            head += (
                f"Authorization: Bearer {deployment.key}\r\nContent-Length: 2\r\n\r\n"
            )
            await stream.send_all(head.encode() + b"{")
            await trio.sleep(0.2)
            deployment.fleet.entries["a-1"].send(signal.SIGTERM)
            while await is_listening(deployment.address):
                await trio.sleep(0.05)
            await stream.send_all(b"}")
            with trio.move_on_after(3):
                received = await stream.receive_some(65_536)
        assert received.split()[1:2] == [b"503"]
        assert b'"kind": "stopping"' in received
        assert await deployment.fleet.entries["a-1"].wait() == 0

    run_check(tmp_path, check)


@pytest.mark.timeout(90)
def test_entry_paused_beyond_its_lease_recovers(tmp_path):
    """Guards against an entry instance that stays unready after a long pause.

    The process is stopped until its lease in the store has expired.
    """

    async def check(deployment):
        entry = deployment.fleet.entries["a-1"]
        entry.send(signal.SIGSTOP)
        await trio.sleep(11)
        entry.send(signal.SIGCONT)
        for _ in range(20):
            status, _ = await deployment.post(
                b'{"standin_run_ms": 1}', Apricotgap_Max_Wait_Ms="2000"
            )
            if status == 200:
                return
            await trio.sleep(0.3)
        raise AssertionError(f"the last response had status {status}")

    run_check(tmp_path, check)
