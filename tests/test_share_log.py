"""Log line with the use of the teams beside their shares."""

import pytest

from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.share_log import INTERVAL_MS, MAX_TEAMS, ShareLog
from apricotgap.jobs.team_shares import TeamShares, TeamUse
from tests.jobs_harness import Rig, job

pytestmark = pytest.mark.usefixtures("overload_state")


def waiting_rig():
    """Return a rig with a task that waits."""
    rig = Rig().ready()
    rig.submit(job("a" * 16, (StepSpec(1, Resources(1_000, 100), 800),)))
    return rig


def test_use_is_shown_beside_what_is_due():
    """Guards against an operator who cannot tell which team has more than its share."""
    rig = waiting_rig()
    shares = TeamShares()
    uses = {"bakers": TeamUse(long_running=10), "others": TeamUse(long_running=50)}
    shares.record_running(uses, rig.now)
    shares.record_total("bakers", 20, rig.now)
    (line,) = ShareLog(rig.shard, shares).run(rig.now)
    assert line.event == "team_use"
    assert line.fields["n_teams"] == 2
    first, second = line.fields["teams"]
    assert (first["team"], first["cores"], first["due_cores"]) == ("others", 50, 40)
    assert (second["cores"], second["here"], second["waits"]) == (30, 10, True)


def test_lines_are_bounded():
    """Guards against a log that fills with the use of hundreds of teams."""
    rig = waiting_rig()
    shares = TeamShares()
    uses = {f"team-{n}": TeamUse(long_running=n) for n in range(330)}
    shares.record_running(uses, rig.now)
    log = ShareLog(rig.shard, shares)
    (line,) = log.run(rig.now)
    assert len(line.fields["teams"]) == MAX_TEAMS
    assert line.fields["teams"][0]["team"] == "team-329"
    assert log.run(rig.now + INTERVAL_MS - 1) == []
    assert len(log.run(rig.now + INTERVAL_MS)) == 1


def test_nothing_is_logged_while_nothing_waits():
    """Guards against lines that tell nothing, each second of each shard."""
    rig = Rig().ready()
    assert ShareLog(rig.shard, TeamShares()).run(rig.now) == []
