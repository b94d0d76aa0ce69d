"""Log lines made of what callers and other writers say."""

import json
import os
import subprocess
import sys

import pytest

from apricotgap.instance.logs import MAX_FIELD_CHARS, encode_line

CYCLIC = []
CYCLIC.append(CYCLIC)


@pytest.mark.parametrize(
    "value", ["\ud800", CYCLIC, {"a": "\udfff"}, object()], ids=ascii
)
def test_line_with_an_odd_value_is_written(value):
    """Guards against a process that ends because it can't write a log line."""
    line = json.loads(encode_line({"event": "odd", "value": value}))
    assert line["event"] == "odd"


@pytest.mark.parametrize("value", ["x" * 10**6, b"x" * 10**6, ["x" * 10**6] * 2])
def test_length_of_a_line_is_limited(value):
    """Guards against a request whose path of 64 KB is repeated in the log."""
    line = encode_line({"event": "call", "path": value, "status": 404})
    assert len(line) < MAX_FIELD_CHARS + 100
    assert json.loads(line)["status"] == 404


def test_usual_line_is_unchanged():
    """Guards against a bound that changes the lines that the diagnosis reads."""
    fields = {"event": "runs_started", "runs": [1, 2], "workers": ["a"], "x": None}
    assert json.loads(encode_line(fields)) == fields


LOG_OF_A_LIBRARY = """
import logging
from apricotgap.instance import logs
buffer = logs.configure("i")
error = ValueError("x" * 10**5)
for _ in range(10_000):
    logging.getLogger("websockets.server").error("odd", exc_info=error)
buffer.flush()
"""


def test_warnings_of_libraries_are_bounded_lines():
    """Guards against odd connections that fill standard error and so block the process.

    The library for connections between instances logs a traceback for each.
    """
    command = [sys.executable, "-c", LOG_OF_A_LIBRARY]
    done = subprocess.run(command, capture_output=True, check=True, timeout=30)
    assert done.stderr == b""
    lines = done.stdout.splitlines()
    assert 0 < len(lines) < 1_000
    line = json.loads(lines[0])
    assert line["library"] == "websockets.server"
    assert len(lines[0]) < 1_000


LOG_WITHOUT_A_READER = """
import sys
import structlog
from apricotgap.instance import logs
buffer = logs.configure("i")
for _ in range(3):
    structlog.get_logger().info("lost")
    buffer.flush()
print("runs", buffer.n_dropped, file=sys.stderr)
"""


def test_process_goes_on_when_nobody_reads_its_log():
    """Guards against a process that ends, with all its requests, because the program
    that reads its log has ended.
    """
    reader, writer = os.pipe()
    os.close(reader)
    command = [sys.executable, "-c", LOG_WITHOUT_A_READER]
    done = subprocess.run(
        command, stdout=writer, stderr=subprocess.PIPE, check=True, timeout=30
    )
    os.close(writer)
    assert done.stderr.decode().split() == ["runs", "3"]
