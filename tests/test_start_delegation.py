"""Starts that the owner of a shard sends through other instances."""

from types import SimpleNamespace

import pytest
import trio

from apricotgap.instance.keys import Member, new_incarnation
from apricotgap.instance.peers import PeerCallError
from apricotgap.instance.start_delegation import (
    AVOID_MS,
    MAX_DIRECT_STARTS,
    StartDelegate,
    StartSender,
    decode_starts,
    encode_starts,
)
from apricotgap.jobs.effects import StartRun
from apricotgap.jobs.events import StartResult
from apricotgap.jobs.model import TaskName

EPOCH = 7


def start(n, worker="w1"):
    name = TaskName("a" * 16, 0, 0, n)
    return StartRun(worker, "10.0.0.1:1", 1, name, 1, "content", 50_000, "c", "t")


def member(name, data_centre="a", incarnation=None):
    incarnation = incarnation or new_incarnation()
    return Member(name, incarnation, f"{name}:1", data_centre, 1_000)


class Clock:
    now_ms = 1_000


class Client:
    """Records the starts that are sent directly."""

    def __init__(self):
        self.sent = []

    async def start(self, order, token):
        self.sent.append((order, token))
        return StartResult("ok", 5)


class Peers:
    """Answers calls as a delegate does, or not at all."""

    def __init__(self, delegate=None):
        self.delegate = delegate
        self.calls = []

    async def call(self, address, operation, argument, timeout_ms):
        self.calls.append((address, operation))
        if self.delegate is None:
            raise PeerCallError("timed out")
        return await self.delegate.send(argument)


class Rig:
    """A sender with the instances that it may use."""

    def __init__(self, *members, owners=(), delegate=None):
        self.clock, self.client = Clock(), Client()
        self.peers = Peers(delegate)
        self.results = []
        view = SimpleNamespace(
            members=lambda: members, n_owned_by=lambda name: int(name in owners)
        )
        self.sender = StartSender(
            "me", EPOCH, self.client, self.peers, view, self.clock, self._report
        )

    def _report(self, each, result):
        self.results.append((each, result.kind))

    def send(self, starts, data_centre="a"):
        async def main():
            async with trio.open_nursery() as nursery:
                self.sender.send([(each, data_centre) for each in starts], nursery)

        trio.run(main)


MANY = [start(n) for n in range(MAX_DIRECT_STARTS + 3)]


def test_starts_survive_encoding():
    """Guards against a start that a delegate changes."""
    assert decode_starts(encode_starts(MANY, EPOCH)) == (MANY, EPOCH)


@pytest.mark.parametrize(
    "argument", [None, {}, {"contents": [], "starts": [[1]], "epoch": 1}, [1]]
)
def test_malformed_starts_are_rejected(argument):
    """Guards against a malformed call that ends the process."""
    with pytest.raises((ValueError, TypeError, KeyError)):
        decode_starts(argument)


def test_few_starts_are_sent_directly():
    """Guards against the delay of another hop for a shard without load."""
    rig = Rig(member("b"))
    rig.send(MANY[:MAX_DIRECT_STARTS])
    assert len(rig.client.sent) == MAX_DIRECT_STARTS
    assert not rig.peers.calls


def test_many_starts_go_through_an_instance_near_the_worker():
    """Guards against an owner that spends its processor time on sending starts."""
    other = Client()
    rig = Rig(
        member("near"), member("far", "b"), delegate=StartDelegate(other, Clock())
    )
    rig.send(MANY)
    assert [each for each, _ in other.sent] == MANY
    assert {token for _, token in other.sent} == {EPOCH}
    assert rig.peers.calls == [("near:1", "start-runs")]
    assert [kind for _, kind in rig.results] == ["ok"] * len(MANY)
    assert not rig.client.sent


def test_owners_and_instances_of_the_first_protocol_get_no_starts():
    """Guards against a call that an instance of the earlier build cannot answer."""
    rig = Rig(member("owner"), member("old", incarnation="1a2b"), owners=("owner",))
    rig.send(MANY)
    assert len(rig.client.sent) == len(MANY)


def test_starts_without_an_answer_are_unknown_and_the_instance_is_avoided():
    """Guards against a start that counts as failed although it may have run.

    The instance may have sent it before it was lost.
    """
    rig = Rig(member("near"))
    rig.send(MANY)
    assert [kind for _, kind in rig.results] == ["unknown"] * len(MANY)
    rig.send(MANY)
    assert len(rig.client.sent) == len(MANY)
    rig.clock.now_ms += AVOID_MS + 1
    rig.send(MANY)
    assert len(rig.peers.calls) == 2


class SuspendedClock:
    """Five seconds pass after the first reading."""

    def __init__(self):
        self._readings = iter([1_000])

    @property
    def now_ms(self):
        return next(self._readings, 6_000)


def test_delegate_that_was_suspended_sends_nothing():
    """Guards against a start sent on a permission that has run out meanwhile."""
    client = Client()
    delegate = StartDelegate(client, SuspendedClock())
    results = trio.run(delegate.send, encode_starts(MANY, EPOCH))
    assert [kind for kind, _ in results] == ["unknown"] * len(MANY)
    assert not client.sent
