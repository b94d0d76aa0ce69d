"""Timeline of a request, reconstructed from log lines."""

import json

from click.testing import CliRunner

from apricotgap.cli import main
from apricotgap.explain import explain

JOB = "5c0e7a21d94b36f8"


def line(second, event, **fields):
    timestamp = f"2026-12-04T23:59:{second:09.6f}Z"
    return json.dumps(
        {**fields, "event": event, "instance": "i1", "timestamp": timestamp}
    )


LINES = [
    line(9, "job_finished", job=JOB, shard="s1", phase="succeeded"),
    line(2, "call", method="POST", path=f"/plans/{JOB}", status=200),
    line(2, "job_accepted", job=JOB, shard="s1"),
    line(3, "run_started", task=f"{JOB}.0.0.1", shard="s1", worker="w1"),
    line(4, "worker_lost", shard="s1", worker="w1", why="lease ended"),
    line(4, "worker_lost", shard="s1", worker="w2", why="lease ended"),
    line(5, "shard_lost", shard="s2"),
    line(6, "shard_lost", shard="s1"),
    line(20, "store_lost", reason="timeout"),
    line(3, "run_started", task="0000000000000000.0.0.1", shard="s1", worker="w1"),
    "not a log line",
    "{broken",
    '{"event": "call"}',
    "12.5 i1 " + line(1, "store_lost", reason="timeout"),
]


def test_timeline_is_ordered_with_causes_from_its_own_shard_and_workers():
    """Guards against missing causes and against events of unrelated shards."""
    timeline = [(entry.event, entry.is_possible_cause) for entry in explain(LINES, JOB)]
    assert timeline == [
        ("store_lost", True),
        ("call", False),
        ("job_accepted", False),
        ("run_started", False),
        ("worker_lost", True),
        ("shard_lost", True),
        ("job_finished", False),
    ]


def test_timeline_shows_the_standing_and_both_sides_of_a_preemption():
    """Guards against a late job whose place in the order of service is not shown."""
    lines = [
        line(1, "job_deferred", job=JOB, standing="deferred"),
        line(2, "run_preempted", task="0000000000000000.0.0.1", for_job=JOB),
        line(3, "run_preempted", task=f"{JOB}.0.0.1", for_job="0000000000000000"),
    ]
    events = [entry.event for entry in explain(lines, JOB)]
    assert events == ["job_deferred", "run_preempted", "run_preempted"]


def test_unknown_request_has_an_empty_timeline():
    assert explain(LINES, "f" * 16) == []


def test_command_reads_files_and_reports_an_unknown_request(tmp_path):
    path = tmp_path / "i1.log"
    path.write_text("\n".join(LINES))
    result = CliRunner().invoke(main, ["explain", JOB, str(path)])
    assert result.exit_code == 0
    assert "  | i1 worker_lost" in result.output
    result = CliRunner().invoke(main, ["explain", "f" * 16, str(path)])
    assert result.exit_code == 1
    assert "give the logs of all instances" in result.output


def test_timeline_tells_who_cut_a_request():
    """Guards against a request without an answer whose end is not shown."""
    lines = [
        line(1, "stopping", shutdown_ms=6000),
        line(5, "stop_timeout", n_connections=1),
        line(5, "request_unanswered", path=f"/plans/{JOB}", by="instance"),
        line(5, "request_unanswered", path="/plans/0000000000000000", by="client"),
        line(6, "state_denied", job=JOB, shard="s1"),
    ]
    timeline = [(entry.event, entry.is_possible_cause) for entry in explain(lines, JOB)]
    assert timeline == [
        ("stopping", True),
        ("stop_timeout", True),
        ("request_unanswered", False),
        ("state_denied", False),
    ]


def test_timeline_of_a_refused_submission_tells_whom_it_was_forwarded_to():
    """Guards against a refusal whose shard, owner and relays are not shown."""
    lines = [
        line(1, "claim", shard="s1", outcome="Stored"),
        line(1, "claim", shard="s2", outcome="Stored"),
        line(2, "owner_unreachable", shard="s1", owner="i2", about=JOB),
        line(2, "owner_unreachable", shard="s1", owner="i2", about="plans"),
        line(3, "relay_failed", peer="i3", call="submit", about=JOB),
        line(4, "call", path=f"/plans/{JOB}", shard="s1", status=503),
    ]
    events = [entry.event for entry in explain(lines, JOB)]
    assert events == ["claim", "owner_unreachable", "relay_failed", "call"]
