"""Tickets of the advice service: how long and for which incarnation they hold."""

import pytest

from apricotgap.jobs.tickets import VALIDITY_MARGIN_MS, StepName, Tickets
from tests.jobs_harness import Rig, entry, task

pytestmark = pytest.mark.usefixtures("overload_state")

STEP = StepName.of(task(0))
VALIDITY_MS = 3_000


def approved(rig):
    """Return tickets that hold one for the worker."""
    tickets = Tickets()
    worker = rig.shard.workers["w1"]
    tickets.handle_response(STEP, [worker], {"w1": "t-1"}, rig.now + VALIDITY_MS)
    return tickets


def test_ticket_is_not_used_close_to_its_expiry():
    """Guards against a start that the worker rejects, as the ticket ends on its way."""
    rig = Rig()
    tickets, worker = approved(rig), rig.shard.workers["w1"]
    last_ms = rig.now + VALIDITY_MS - VALIDITY_MARGIN_MS
    assert tickets.find(STEP, worker, last_ms - 1) == "t-1"
    assert tickets.find(STEP, worker, last_ms) is None
    assert tickets.next_request() == (STEP, [worker])


def test_ticket_of_the_last_incarnation_is_not_used_for_the_next():
    """Guards against starts that the next incarnation of a worker rejects, and against
    a denial that outlives the incarnation that it was about.
    """
    rig = Rig()
    tickets, worker = approved(rig), rig.shard.workers["w1"]
    other = StepName.of(task(0, "k" * 16))
    tickets.handle_response(other, [worker], {}, rig.now + VALIDITY_MS)
    assert tickets.is_denied(other, worker)
    rig.list_workers(entry("w1", born_ms=2))
    successor = rig.shard.workers["w1"]
    assert tickets.find(STEP, successor, rig.now) is None
    assert not tickets.is_denied(other, successor)
