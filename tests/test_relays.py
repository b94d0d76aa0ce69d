"""Choice of the instances that relay calls, beside instances of earlier builds."""

from types import SimpleNamespace

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.instance.keys import Member, new_incarnation
from apricotgap.instance.peers import PeerCallError
from apricotgap.instance.relays import Relays


class Peers:
    """Peers that give one answer to each call."""

    def __init__(self, answer):
        self._answer = answer

    async def call(self, address, operation, argument, timeout_ms):
        return self._answer


def relays(incarnations, answer=None):
    members = tuple(
        Member(name, incarnation, f"{name}:1", "a", 1_000)
        for name, incarnation in incarnations.items()
    )
    view = SimpleNamespace(
        owner=lambda service: SimpleNamespace(name="owner"), members=lambda: members
    )
    return Relays("own", view, Peers(answer), FakeClock())


def test_instances_of_an_earlier_build_are_not_asked_to_relay_reads():
    """Guards against a call that an earlier build never answers.

    The caller would close the connection, with the other calls on it.
    """
    now = new_incarnation()
    found = relays(
        {"own": now, "owner": now, "first": "ab12", "second": "2-ab12", "new": now}
    )
    for _ in range(50):
        assert {member.name for member in found.choose("s")} <= {
            "first",
            "second",
            "new",
        }
        assert [member.name for member in found.choose_for_reads("s")] == ["new"]


@pytest.mark.parametrize("answer", [7, None, [], ["ok"], ["not reached", None], "ok"])
def test_answer_without_a_result_counts_as_not_reached(answer):
    """Guards against an odd or negative answer that is taken for a result."""

    async def main():
        found = relays({"new": new_incarnation()}, answer)
        (member,) = found.choose_for_reads("s")
        with pytest.raises(PeerCallError):
            await found.call(member, "phase", ["s", "a"], 1_000, 500)

    trio.run(main)
