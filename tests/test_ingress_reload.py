"""Calls beside changes of the configuration, and by a view of it that is too old."""

import json
from dataclasses import replace

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.drivers.timed_calls import TimedCalls
from apricotgap.jobs.model import JobPhase
from apricotgap.jobs.service import CancelResult, SubmitOutcome, SubmitResult
from apricotgap.metrics import Metrics
from apricotgap.platform.ingress import IngressApp
from tests.jobs_harness import SERVICE, configuration

PORT = 80
REVOKE_MS = 5_000
PATH = f"/plans/{'a' * 16}"
JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "estimatedMs": 100}]}


def with_queue(version, **changes):
    """Return the configuration with a public queue."""
    (queue,) = configuration().queues
    queue = replace(queue, is_open=True, **changes)
    return replace(configuration(version), queues=(queue,))


class SlowJobs:
    """Answers each call once `has_changed` is set; keeps its service and deadline."""

    def __init__(self):
        self.has_changed = trio.Event()
        self.is_called = trio.Event()
        self.calls = []

    async def _answer(self, service, deadline_ms, result):
        self.calls.append((service, deadline_ms))
        self.is_called.set()
        await self.has_changed.wait()
        return result

    async def submit(self, job, deadline_ms):
        outcome = SubmitOutcome(SubmitResult.ACCEPTED)
        return await self._answer(job.service, deadline_ms, outcome)

    async def phase(self, service, job_id, deadline_ms):
        return await self._answer(service, deadline_ms, JobPhase.RUNNING)

    async def cancel(self, service, job_id, deadline_ms):
        return await self._answer(service, deadline_ms, CancelResult.DONE)

    async def n_pending(self, service, queue, deadline_ms):
        return await self._answer(service, deadline_ms, 1)


class View:
    """The configuration of the moment."""

    def __init__(self):
        self.config = with_queue(1)
        self.age_ms = 0

    def config_age_ms(self):
        return self.age_ms


class Rig:
    """The callers' interface, and a way to call it."""

    def __init__(self):
        self.view = View()
        self.jobs = SlowJobs()
        self.clock = FakeClock(50_000)
        self.metrics = Metrics("i1")

    def app(self, nursery):
        return IngressApp(
            self.view,
            self.jobs,
            TimedCalls(nursery, self.clock),
            self.metrics,
            self.clock,
            REVOKE_MS,
            lambda: False,
            PORT + 1,
            PORT + 2,
        )

    async def call(self, method, path=PATH, key="", on_receive=lambda: None):
        """Return the status and the document of a complete answer.

        `on_receive` is called as the body of the request arrives.
        """
        async with trio.open_nursery() as nursery:
            app = self.app(nursery)
            return await self.call_app(app, method, path, key, on_receive)

    async def call_app(self, app, method, path=PATH, key="", on_receive=lambda: None):
        """Call an application that serves further calls too."""
        body = json.dumps(JOB).encode() if method == "POST" else b""
        headers = [(b"host", b"h.example"), (b"content-length", b"%d" % len(body))]
        headers += [(b"api-key", key.encode())] if key else []
        scope = {
            "type": "http",
            "server": ("127.0.0.1", PORT),
            "method": method,
            "path": path,
            "headers": headers,
        }
        sent = []

        async def receive():
            on_receive()
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            sent.append(message)

        await app(scope, receive, send)
        assert not sent[-1].get("more_body")
        data = b"".join(message.get("body", b"") for message in sent)
        return sent[0]["status"], json.loads(data)

    async def call_during(self, config, method, path=PATH):
        """Call, and change the configuration before the job service has answered."""
        answers = []

        async def call():
            answers.append(await self.call(method, path))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await self.jobs.is_called.wait()
            self.view.config = config
            self.jobs.has_changed.set()
        return answers[0]


WITHOUT_QUEUE = replace(configuration(2), queues=())
MOVED = with_queue(2, service="other")
SHRUNK = with_queue(2, timeout_ms=200)
CALLS = [
    ("POST", PATH, {}),
    ("GET", PATH, {"state": "running"}),
    ("DELETE", PATH, {}),
    ("GET", "/plans/", {"pendingCount": 1}),
]


@pytest.mark.parametrize("config", [WITHOUT_QUEUE, MOVED, SHRUNK])
@pytest.mark.parametrize("method, path, document", CALLS)
def test_call_in_progress_is_answered_by_the_configuration_it_began_with(
    config, method, path, document
):
    """Guards against a call cut or refused because its route changes beneath it."""

    async def main():
        rig = Rig()
        assert await rig.call_during(config, method, path) == (200, document)
        ((service, deadline_ms),) = rig.jobs.calls
        assert service == SERVICE
        assert deadline_ms > rig.clock.now_ms + 2_000

    trio.run(main)


@pytest.mark.parametrize("method, path, document", CALLS)
def test_call_after_the_change_is_handled_by_the_new_configuration(
    method, path, document
):
    """Guards against a dropped or moved route that an instance still serves."""

    async def main():
        rig = Rig()
        rig.jobs.has_changed.set()
        rig.view.config = WITHOUT_QUEUE
        assert (await rig.call(method, path))[0] == 404
        rig.view.config = MOVED
        assert await rig.call(method, path) == (200, document)
        rig.view.config = SHRUNK
        assert await rig.call(method, path) == (200, document)
        (moved, _), (shrunk, deadline_ms) = rig.jobs.calls
        assert (moved, shrunk) == ("other", SERVICE)
        assert rig.clock.now_ms < deadline_ms < rig.clock.now_ms + 200

    trio.run(main)


def test_key_is_checked_by_a_view_that_is_young_as_the_body_has_arrived():
    """Guards against a withdrawn key that still works: the view grew old, or the
    process was paused, while the body of the request was on its way.
    """

    async def main():
        rig = Rig()
        rig.view.config = configuration(1)
        rig.jobs.has_changed.set()

        def grow_old():
            rig.view.age_ms = REVOKE_MS

        status, _ = await rig.call("POST", key="key")
        assert status == 200
        status, _ = await rig.call("POST", key="key", on_receive=grow_old)
        assert status == 503
        status, _ = await rig.call("GET", key="key")
        assert status == 503
        rig.view.age_ms = None
        status, _ = await rig.call("DELETE", key="key")
        assert status == 503
        assert len(rig.jobs.calls) == 1

    trio.run(main)
