"""Acquisition of the role of the runner when answers of the store are lost."""

from random import Random

from apricotgap.core import runner_role
from apricotgap.core.effects import GrantLease, StoreCas, StoreGet
from apricotgap.core.events import CasResult, KeyValue, LeaseGranted
from apricotgap.core.runner_role import ROLE_KEY
from apricotgap.core.state import EntryState, Identity

FIRST_LEASE, SECOND_LEASE = 7, 8


class Rig:
    """A candidate for the role; each step returns the call that follows."""

    def __init__(self):
        self.state = EntryState(Identity("e1", "e1.1", "d1"), Random(1))
        self.now = 1_000

    def start(self):
        (call,) = runner_role.maintain(self.state, True, self.now)
        return call

    def read(self, call):
        """Answer a read with an absent key."""
        items = (KeyValue(call.key, b"", 0),)
        (following,) = runner_role.read_finished(
            self.state, call.call_id, items, self.now
        )
        return following

    def grant(self, call, lease_id):
        event = LeaseGranted(self.now, call.call_id, lease_id, call.ttl_ms, self.now)
        (following,) = runner_role.lease_granted(self.state, event)
        return following

    def lose_answer(self, call):
        (following,) = runner_role.cas_finished(
            self.state, call.call_id, CasResult.UNKNOWN, 0, self.now
        )
        return following


def test_role_with_a_lost_answer_is_taken_again_under_the_same_lease():
    """Guards against a runner that believes in a lease other than that of its key: the
    first write takes effect late, and its key goes with a lease that nobody renews,
    while the runner acts on.
    """
    rig = Rig()
    take = rig.grant(rig.read(rig.start()), FIRST_LEASE)
    take = rig.read(take)
    assert isinstance(take, StoreCas)
    assert (take.key, take.lease_id) == (ROLE_KEY, FIRST_LEASE)
    following = rig.read(rig.lose_answer(take))
    if isinstance(following, GrantLease):
        following = rig.grant(following, SECOND_LEASE)
    assert isinstance(following, StoreGet)
    again = rig.read(following)
    assert (again.key, again.lease_id) == (ROLE_KEY, FIRST_LEASE)
    assert rig.state.waves.role.lease_id == FIRST_LEASE
