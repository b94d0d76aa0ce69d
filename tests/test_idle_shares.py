"""Parts of a team's limit that shards without work keep."""

from tests.test_team_limits import Store, request_allowance, team_limits


def test_shards_without_work_give_up_their_idle_parts():
    """Guards against a gang, or one task, that needs most of its team's limit and never
    starts, although the team runs nothing at all.
    """
    store = Store()
    one, *others = (team_limits(name) for name in ("one", "two", "three", "four"))
    for at_ms in range(0, 10_000, 500):
        for idle in others:
            request_allowance(idle, store, 0, at_ms)
        request_allowance(one, store, 950, at_ms)
    assert one.allowed("bakers").cpu >= 950
