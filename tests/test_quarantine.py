"""Requests that crash the backend servers that run them, and those beside them."""

from hashlib import sha256

import pytest

from apricotgap.core import quarantine
from apricotgap.core.effects import Dispatch
from apricotgap.core.events import (
    TaskCompleted,
    TaskFailed,
    TaskProbed,
    TaskState,
    WorkerUnreachable,
)
from apricotgap.core.health import MIN_FAILED_PROBES_UNREACHABLE
from apricotgap.core.retry import MAX_FAILURES, MAX_WORKER_CRASHES
from tests.scheduling_harness import Fleet, configuration, dispatched, of_type

SERVERS = ("w0", "w1", "w2", "w3", "w4", "w5")
# Three crashes and two more starts.
MOST_STARTS = 5
record_worker_crash = quarantine.record_worker_crash


def fleet_of_servers(monkeypatch, slots=1):
    """Return a fleet of six servers that counts crashes as the product does."""
    fleet = Fleet(monkeypatch, configuration(len(SERVERS), slots=slots))
    monkeypatch.setattr(quarantine, "record_worker_crash", record_worker_crash)
    fleet.report(*SERVERS)
    return fleet


def break_connection(fleet, start):
    """Lose the connection of a task."""
    return fleet.step(TaskFailed, start.task_id, sent=True)


def restart(fleet, start):
    """Report another boot of the server of a task."""
    return fleet.report(start.instance, boot_id=f"after {start.task_id}")


def become_unreachable(fleet, start):
    """Fail the status probes of the server of a task."""
    effects = []
    for _ in range(MIN_FAILED_PROBES_UNREACHABLE):
        effects += fleet.step(WorkerUnreachable, start.instance)
    return effects


def time_out(fleet, start):
    """Get no response to a task in time."""
    return fleet.step(TaskFailed, start.task_id, sent=True, timed_out=True)


@pytest.mark.parametrize(
    ("signs", "most_starts"),
    [
        ((break_connection, restart), MAX_WORKER_CRASHES),
        ((break_connection, become_unreachable, restart), MAX_WORKER_CRASHES),
        ((restart,), MAX_WORKER_CRASHES),
        ((become_unreachable, restart), MAX_WORKER_CRASHES),
        ((time_out, restart), MAX_FAILURES),
    ],
)
def test_request_that_crashes_each_server_is_soon_given_up(
    monkeypatch, signs, most_starts
):
    """Guards against one request that crashes server after server, whichever sign of
    a crash comes first.
    """
    fleet = fleet_of_servers(monkeypatch)
    starts = [dispatched(fleet.submit("a0", body_digest="bad", idempotent=True))]
    for start in starts:
        effects = [effect for sign in signs for effect in sign(fleet, start)]
        effects += fleet.tick(1_000)
        starts += of_type(effects, Dispatch)
    assert len(starts) == most_starts <= MOST_STARTS
    assert "a0" in fleet.outcomes
    assert quarantine.is_quarantined(fleet.state, "bad")


def test_crash_that_the_probe_of_a_task_shows_first_counts(monkeypatch):
    """Guards against a body that crashes servers and is never refused, since the
    restart shows first in the answer to a probe of its task.
    """
    fleet = fleet_of_servers(monkeypatch)
    for server, request in zip(SERVERS[:2], ("a0", "a1"), strict=True):
        start = dispatched(fleet.submit(request, body_digest="bad"))
        break_connection(fleet, start)
        now_ms = start.server_deadline_ms + 1
        fleet.tick(3_000)
        fleet.step(TaskProbed, start.task_id, TaskState.UNKNOWN, now_ms, "b2")
        fleet.report(*SERVERS, boot_id=f"after {server}")
    assert quarantine.is_quarantined(fleet.state, "bad")


def test_body_that_completes_is_not_refused_for_crashes_beside_it(monkeypatch):
    """Guards against sound requests that are refused for good because their tasks ran
    beside another request, which crashed the servers.
    """
    fleet = fleet_of_servers(monkeypatch, slots=2)
    for request in ("a0", "a1", "a2"):
        start = dispatched(fleet.submit(request, body_digest="good", idempotent=True))
        again = dispatched(restart(fleet, start))
        fleet.step(TaskCompleted, again.task_id, 200, 1, 5)
    assert not quarantine.is_quarantined(fleet.state, "good")


def test_requests_without_a_body_are_not_taken_for_one_another(monkeypatch):
    """Guards against two crashes after which no request without a body is accepted."""
    fleet = fleet_of_servers(monkeypatch)
    no_body = sha256(b"").hexdigest()
    for request in ("a0", "a1"):
        restart(fleet, dispatched(fleet.submit(request, body_digest=no_body)))
    assert not quarantine.is_quarantined(fleet.state, no_body)
