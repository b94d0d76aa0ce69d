"""Reasons with which workers and the machine service refuse an order."""

import json

import pytest
import trio

from apricotgap.jobs.effects import StartRun
from apricotgap.jobs.fleet_orders import MachineOrder
from apricotgap.jobs.model import TaskName
from apricotgap.platform.http import HttpResponse
from apricotgap.platform.machines import MachineClient
from apricotgap.platform.workers import WorkerClient

START = StartRun("w1", "10.0.0.1:1", 1, TaskName("a", 0, 0, 0), 1, "x", 5, "")
ORDER = MachineOrder("m1", "s")
# The words of the client for what is no refusal.
OWN_WORDS = ["ok", "unknown", "unavailable", "gone", "other life", "status 200"]
ODD_WORDS = ["", "x" * 10**5, '"\n', "new reason"]


class RefusingHttp:
    """Answers each call by 409 with a reason."""

    def __init__(self, reason):
        self.body = json.dumps({"reason": reason, "clockMs": 1}).encode()

    async def call(self, *_args):
        return HttpResponse(409, self.body)


def start_result(reason):
    client = WorkerClient()
    client._order_http = RefusingHttp(reason)
    return trio.run(client.start, START, 1).kind


def order_result(reason):
    client = MachineClient("10.0.0.1:1", "me")
    client._http = RefusingHttp(reason)
    return trio.run(client.send_order, ORDER, 1)


@pytest.mark.parametrize("reason", [*OWN_WORDS, *ODD_WORDS, "busy"])
def test_refused_start_is_no_start(reason):
    """Guards against a refusal by 409 that counts as a start, or as one in doubt.

    The kind is a label of metrics as well, and must not be free text.
    """
    assert start_result(reason) == "conflict"


@pytest.mark.parametrize("reason", ["fence", "old", "late", "room", "ticket"])
def test_reason_of_a_refused_start_is_kept(reason):
    """Guards against a worker that is asked again for what it can't do."""
    assert start_result(reason) == reason


@pytest.mark.parametrize("reason", [*OWN_WORDS, *ODD_WORDS])
def test_refused_order_is_not_executed(reason):
    """Guards against a machine that counts as moved, or as taken down, by a 409."""
    assert order_result(reason) == "conflict"


@pytest.mark.parametrize("reason", ["fence", "busy", "wave"])
def test_reason_of_a_refused_order_is_kept(reason):
    """Guards against a wave that waits for a machine that is none of it."""
    assert order_result(reason) == reason
