import json

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.core.effects import AnswerCaller
from apricotgap.core.events import CallerDisconnected, RequestArrived
from apricotgap.drivers.bodies import BackendResponse, BodyBuffer
from apricotgap.drivers.callers import CallerApp
from apricotgap.drivers.spans import RequestSpans
from apricotgap.model import Completed, NotRun, RefusalKind
from apricotgap.settings import Bytes, LimitSettings, TelemetrySettings
from apricotgap.telemetry import Telemetry


class Harness:
    """Calls the ASGI application without a server and records its events."""

    def __init__(self):
        self.events = []
        self.bodies = BodyBuffer(1_000)
        self.app = CallerApp(
            "e1",
            "i1",
            self.events.append,
            TrioClock(),
            self.bodies,
            RequestSpans(Telemetry("e1", TelemetrySettings())),
            LimitSettings(max_body=Bytes(10)),
        )

    async def call(self, body=b"", headers=(), disconnect=False):
        sent = []
        incoming = [{"type": "http.request", "body": body, "more_body": disconnect}]
        if disconnect:
            incoming.append({"type": "http.disconnect"})

        async def receive():
            if incoming:
                return incoming.pop(0)
            return await trio.sleep_forever()

        async def send(message):
            sent.append(message)

        scope = {
            "method": "POST",
            "path": "/v1/queues/q/requests",
            "headers": [(k.encode(), v.encode()) for k, v in headers],
        }
        await self.app(scope, receive, send)
        if not sent:
            return None, b""
        return sent[0]["status"], sent[1]["body"]


def in_trio(function):
    def test():
        trio.run(function)

    test.__name__ = function.__name__
    return test


@in_trio
async def test_responses_in_reverse_order_reach_their_own_callers():
    """Guards against a response that is sent to another caller."""
    harness = Harness()
    results = {}

    async def caller(body):
        results[body] = await harness.call(body)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller, b"a")
        nursery.start_soon(caller, b"b")
        await trio.testing.wait_all_tasks_blocked()
        for event in reversed(harness.events):
            request_id = event.request.request_id
            echo = harness.bodies.request(request_id)
            harness.bodies.put_response(
                f"t-{request_id}", BackendResponse(200, "x/y", echo)
            )
            effect = AnswerCaller(request_id, Completed(200, 1), f"t-{request_id}")
            harness.app.runners[AnswerCaller](effect)
    assert results == {b"a": (200, b"a"), b"b": (200, b"b")}


@in_trio
async def test_oversized_body_is_refused_without_an_event():
    """Guards against large bodies that fill the memory."""
    harness = Harness()
    status, body = await harness.call(b"x" * 11)
    assert (status, json.loads(body)["outcome"], harness.events) == (
        413,
        "not_run",
        [],
    )


@in_trio
async def test_truncated_body_is_not_submitted():
    """Guards against running a request whose body is incomplete."""
    harness = Harness()
    status, _ = await harness.call(b"x", disconnect=True)
    assert (status, harness.events) == (408, [])


@pytest.mark.parametrize(
    "header",
    [
        ("apricotgap-priority", "soon"),
        ("apricotgap-idempotent", "maybe"),
        ("apricotgap-max-wait-ms", "-1"),
        ("idempotency-key", "k" * 300),
    ],
)
def test_error_for_a_malformed_header_names_the_header(header):
    """Guards against a malformed header that is replaced by its default value."""
    harness = Harness()
    status, body = trio.run(harness.call, b"", [header])
    assert (status, harness.events) == (400, [])
    assert header[0] in json.loads(body)["message"]


@in_trio
async def test_refusal_has_kind_and_remedy():
    """Guards against a refusal whose reason a program cannot determine."""
    harness = Harness()
    result = []

    async def caller():
        result.extend(await harness.call(b"a"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller)
        await trio.testing.wait_all_tasks_blocked()
        (event,) = harness.events
        assert isinstance(event, RequestArrived)
        outcome = NotRun(RefusalKind.CUT_OFF, "isolated")
        harness.app.runners[AnswerCaller](
            AnswerCaller(event.request.request_id, outcome)
        )
    data = json.loads(result[1])
    assert (result[0], data["kind"], bool(data["remedy"])) == (503, "cut_off", True)


@in_trio
async def test_disconnect_of_a_caller_is_reported():
    """Guards against continued work for a caller that has disconnected."""
    harness = Harness()
    disconnected = trio.Event()

    async def receive():
        if not harness.events:
            return {"type": "http.request", "body": b"", "more_body": False}
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        raise AssertionError("a response was sent after the disconnect")

    scope = {"method": "POST", "path": "/v1/queues/q/requests", "headers": []}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.app, scope, receive, send)
        await trio.testing.wait_all_tasks_blocked()
        disconnected.set()
    assert isinstance(harness.events[-1], CallerDisconnected)
