"""A short seeded run of the soak; `python -m soak` plays more."""

import pytest
import trio

from soak.scenario import FAULTS, play

LENGTH_S = 6.0


@pytest.mark.timeout(120)
def test_seeded_run_keeps_the_promises(tmp_path):
    report = trio.run(play, 1, str(tmp_path), LENGTH_S)
    assert report.problems == []
    assert report.accepted
    assert set(report.faults) <= set(FAULTS)
    assert report.faults
