"""Log lines and counters of requests that got no complete response."""

import socket
import struct
from types import SimpleNamespace

import pytest
import structlog
import trio

from apricotgap.drivers.http import headers_of, read_body, send_response
from apricotgap.drivers.http_server import HttpServer
from tests.jobs_harness import SERVICE
from tests.loopback import free_port
from tests.test_http_server import GET, connect, read_all
from tests.test_ingress_reload import PATH, Rig


async def wait(scope, receive, send):
    """Read the body, and answer once the test has ended."""
    await read_body(headers_of(scope), receive, 1_000, 3_000)
    await trio.sleep_forever()


async def begin_only(scope, receive, send):
    """Send a part of the response and fail."""
    headers = [(b"content-length", b"4")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok", "more_body": True})
    raise RuntimeError("unexpected")


async def answer_nothing(scope, receive, send):
    await read_body(headers_of(scope), receive, 1_000, 3_000)


async def answer_late(scope, receive, send):
    await read_body(headers_of(scope), receive, 1_000, 3_000)
    await trio.sleep(0.2)
    await send_response(send, 200, b"ok", "text/plain")


def lines_of(application, check):
    """Return the lines on requests without a response, and what was counted."""
    counted = []

    async def main():
        address = f"127.0.0.1:{free_port()}"
        server = HttpServer(
            application,
            [address],
            count_unanswered=lambda by, stage: counted.append((by, stage)),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            with trio.fail_after(20):
                await check(server, address)
            nursery.cancel_scope.cancel()

    with structlog.testing.capture_logs() as lines:
        trio.run(main)
    return [line for line in lines if line["event"] == "request_unanswered"], counted


POST_WITHOUT_BODY = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nok"


@pytest.mark.parametrize(
    ("application", "data", "stage"),
    [(wait, GET, "work"), (wait, POST_WITHOUT_BODY, "body")],
)
def test_request_that_the_end_of_the_server_cuts_is_recorded(application, data, stage):
    """Guards against a request that an instance reads and drops without a line."""

    async def check(server, address):
        stream = await connect(address)
        await stream.send_all(data)
        await trio.sleep(0.1)

    ((line,), counted) = lines_of(application, check)
    assert (line["by"], line["stage"]) == ("instance", stage)
    assert (line["method"], line["path"]) == (data.split()[0].decode(), "/")
    assert 50 < line["age_ms"] < 5_000
    assert counted == [("instance", stage)]


@pytest.mark.parametrize(
    ("application", "stage"), [(begin_only, "response"), (answer_nothing, "work")]
)
def test_request_that_an_error_ends_is_recorded(application, stage):
    """Guards against half a response that is taken for a complete one."""

    async def check(server, address):
        stream = await connect(address)
        await stream.send_all(GET)
        await read_all(stream)

    ((line,), counted) = lines_of(application, check)
    assert (line["by"], line["stage"]) == ("error", stage)
    assert counted == [("error", stage)]


def test_request_whose_client_has_left_is_recorded():
    """Guards against a client's own end that is taken for a cut by the instance."""

    async def check(server, address):
        stream = await connect(address)
        await stream.send_all(GET)
        await trio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await stream.aclose()
        await trio.sleep(0.4)

    ((line,), _) = lines_of(answer_late, check)
    assert (line["by"], line["stage"]) == ("client", "response")


def test_answered_requests_and_idle_connections_leave_no_line():
    """Guards against lines that name requests which have their answers."""

    async def check(server, address):
        async with await connect(address) as stream, await connect(address):
            for _ in range(2):
                await stream.send_all(GET)
                assert await stream.receive_some(65_536)
        await trio.sleep(0.05)

    assert lines_of(answer_late, check) == ([], [])


def test_denied_state_is_recorded_once_while_it_is_polled():
    """Guards against an accepted job that is denied without a trace, and against a
    client that fills the log as it polls.
    """

    async def phase(service, job_id, deadline_ms):
        return None

    async def main():
        rig = Rig()
        rig.jobs = SimpleNamespace(phase=phase)
        async with trio.open_nursery() as nursery:
            app = rig.app(nursery)
            for _ in range(3):
                status, _ = await rig.call_app(app, "GET")
                assert status == 410
        return rig.metrics.render()

    with structlog.testing.capture_logs() as lines:
        text = trio.run(main)
    (line,) = [each for each in lines if each["event"] == "state_denied"]
    assert line["job"] == PATH.rpartition("/")[2]
    assert line["shard"]
    assert 'apricotgap_states_denied_total{queue="plans"} 3' in text


def test_line_of_a_call_names_the_shard_that_it_is_forwarded_to():
    """Guards against a refused call whose owner cannot be told from the log."""

    async def main():
        rig = Rig()
        rig.jobs.has_changed.set()
        await rig.call("POST")
        await rig.call("POST", "/none/")

    with structlog.testing.capture_logs() as lines:
        trio.run(main)
    calls = [line for line in lines if line["event"] == "call"]
    assert [line["shard"] for line in calls] == [SERVICE, ""]
