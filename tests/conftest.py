"""Passes over the tests that KNOWN-RED.txt lists; states that tests run in."""

from pathlib import Path

import pytest

from tests.overload_states import STATES, current_overload

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
_PREFIX = "pytest: "


def known_red(path=KNOWN_RED):
    """Return the listed tests and what was seen.

    A line is ``pytest: NODE ID | seed N or - | what was seen | issue``.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    rows = [line.removeprefix(_PREFIX) for line in lines if line.startswith(_PREFIX)]
    return dict(row.split(" | ", 1) for row in rows)


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; a listed test that passes is an error."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests that failed as expected."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")


@pytest.fixture(params=STATES.values(), ids=STATES)
def overload_state(request):
    """Run a test in each state of the decisions under overload."""
    token = current_overload.set(request.param)
    yield request.param
    current_overload.reset(token)
