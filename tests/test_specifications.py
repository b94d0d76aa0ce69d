"""The model checker, and that faults in the product show in the specifications."""

import logging
from collections.abc import Hashable
from typing import ClassVar

import pytest
import structlog

from apricotgap.instance import election, tenure
from apricotgap.instance.election import Election
from apricotgap.instance.keys import decode_owner
from apricotgap.instance.lease import InstanceLease
from apricotgap.jobs import limits
from apricotgap.jobs.shard_leases import ShardLeases
from apricotgap.jobs.team_limits import TeamLimits
from apricotgap.jobs.workers import Worker
from proof import claim_replay, lease_bounds, team_limits, tenures
from proof.checker import Specification, explore
from proof.elections import Elections
from proof.team_limits import TeamLimitRows
from proof.tenures import Tenures


class Walk(Specification):
    """A walk from 0 to 3; at 2 it may turn to a place that only a fault leaves."""

    name = "walk"
    bounds = "4 places"
    invariants = ("no place above 9",)
    guards: ClassVar[dict[str, str]] = {"no turn": "a place without a way on"}
    goal = "the walk comes to place 3"

    def initial(self):
        return (0,)

    def violated(self, state):
        return None

    def reached(self, state):
        return state == 3

    def is_fault(self, label):
        return label == "fault"

    def steps(self, state):
        ways: dict[Hashable, tuple[tuple[str, int], ...]] = {
            0: (("step", 1),),
            1: (("step", 0), ("step", 2)),
            2: (("step", 3),),
            3: (("step", 3),),
            9: (("fault", 3), ("step", 9)),
        }
        turn = () if state != 2 or self.guarded("no turn") else (("step", 9),)
        return (*ways[state], *turn)


def test_goal_that_every_state_leads_to_is_no_violation():
    """Guards against a check that takes each detour for a dead end."""
    assert explore(Walk()).violation is None


def test_state_that_only_a_fault_leads_out_of_is_found():
    """Guards against a check that lets a fault bring the goal about."""
    result = explore(Walk(without="no turn"))
    assert result.violation == Walk.goal
    assert result.trace == ("step", "step", "step")


@pytest.fixture(autouse=True)
def fresh_caches():
    """Play the product anew: a test changes it."""
    caches = [
        each
        for module in (claim_replay, lease_bounds, team_limits)
        for each in vars(module).values()
        if hasattr(each, "cache_clear")
    ]
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for cached in caches:
        cached.cache_clear()
    yield
    for cached in caches:
        cached.cache_clear()
    structlog.reset_defaults()


def _offer_to_silent(self, worker, at_ms, until_ms):
    before, worker.silent_since_ms = worker.silent_since_ms, None
    until_ms = OFFER_LEASE(self, worker, at_ms, until_ms)
    worker.silent_since_ms = before
    return until_ms


def _forget_offer(worker, was_sent):
    worker.offered_until_ms = 0


def _inherit_as_settled(self, entry, at_ms, is_settled=False):
    ADD_INHERITED(self, entry, at_ms, True)


def _ignore_key(last_epoch, mark, predecessor_gone_ms, ttl_ms):
    return INHERITED_LEASE_MS(last_epoch, mark, None, ttl_ms)


def _ignore_mark_epoch(last_epoch, mark, predecessor_gone_ms, ttl_ms):
    epoch = int(mark.value.split()[0]) if mark.value else last_epoch
    return INHERITED_LEASE_MS(epoch, mark, predecessor_gone_ms, ttl_ms)


def _forget_earlier_leases(epoch, inherited_ms, lease_left_ms):
    return NEW_MARK(epoch, 0, lease_left_ms)


def _count_from_claim(epoch, inherited_ms, lease_left_ms):
    return NEW_MARK(epoch, inherited_ms, lease_bounds.OWNER_TTL_MS)


OFFER_LEASE = ShardLeases.offer_lease
ADD_INHERITED = ShardLeases.add_inherited_worker
INHERITED_LEASE_MS = tenure.inherited_lease_ms
NEW_MARK = tenure.new_mark
LEASE_FAULTS = {
    "slow clocks": (limits, "WORKER_LEASE_STRETCH", 1.0),
    "clocks of store and owner": (tenure, "CLOCK_SLACK_MS", 0),
    "longer tail": (
        limits,
        "WORKER_LEASE_TAIL_MS",
        limits.WORKER_LEASE_TAIL_MS + 1_000,
    ),
    "leases for silent workers": (ShardLeases, "offer_lease", _offer_to_silent),
    "unanswered polls": (
        ShardLeases,
        "_resolve_lease_offer",
        staticmethod(_forget_offer),
    ),
    "restarted workers": (ShardLeases, "add_inherited_worker", _inherit_as_settled),
    "starts": (Worker, "record_start", lambda self, at_ms: None),
    "key beside the mark": (lease_bounds, "inherited_lease_ms", _ignore_key),
    "mark of another": (lease_bounds, "inherited_lease_ms", _ignore_mark_epoch),
    "earlier leases": (tenures, "new_mark", _forget_earlier_leases),
    "lease at the claim": (tenures, "new_mark", _count_from_claim),
    "next lease": (
        InstanceLease,
        "valid_until_ms_of",
        lambda self, lease_id: self.valid_until_ms,
    ),
}


@pytest.mark.parametrize("fault", LEASE_FAULTS)
def test_fault_in_the_leases_of_workers_shows_in_their_specification(
    fault, monkeypatch
):
    """Guards against a specification that no longer plays the product's own code."""
    monkeypatch.setattr(*LEASE_FAULTS[fault])
    assert explore(Tenures()).violation is not None


async def _count_from_answer(self, renewal):
    if await self._store.renew_lease(renewal.lease_id, 600):
        self.valid_until_ms = self._clock.now_ms + self.ttl_ms
        return
    self._set(0, 0)


async def _ignore_end(self, renewal):
    sent_ms = self._clock.now_ms
    await self._store.renew_lease(renewal.lease_id, 600)
    self.valid_until_ms = sent_ms + self.ttl_ms


ELECTION_FAULTS = {
    "draining": (
        Election,
        "_usable_lease",
        property(lambda self: self._lease.current),
    ),
    "next lease": LEASE_FAULTS["next lease"],
    "earlier process": (
        election,
        "names_owner",
        lambda value, owner: bool(value) and decode_owner(value).name == owner.name,
    ),
    "late renewal": (InstanceLease, "_renew", _count_from_answer),
    "ended lease": (InstanceLease, "_renew", _ignore_end),
}


@pytest.mark.parametrize("fault", ELECTION_FAULTS)
def test_fault_in_the_election_shows_in_its_specification(fault, monkeypatch):
    """Guards against a specification that no longer plays the product's own code."""
    monkeypatch.setattr(*ELECTION_FAULTS[fault])
    assert explore(Elections()).violation is not None


def _raise_by_read(self, team, split, revision):
    self._allowances.pop(team, None)
    RECORD_SPLIT(self, team, split, revision)


def _allow_unread(self, team):
    unread, self._unread = self._unread, set()
    amount = ALLOWED(self, team)
    self._unread = unread
    return amount


def _write_changed_rows(self, *args):
    found = CHANGES(self, *args)
    service = self._service
    rows = {team: split.get(service) for team, (split, _) in self._splits.items()}
    return [each for each in found if each.split[service] != rows[each.team]]


RECORD_SPLIT = TeamLimits.record_split
ALLOWED = TeamLimits.allowed
CHANGES = TeamLimits.changes
LIMIT_FAULTS = {
    "read raises": ("record_split", _raise_by_read),
    "unread split": ("allowed", _allow_unread),
    "raise to the stored row": ("changes", _write_changed_rows),
}


@pytest.mark.parametrize("fault", LIMIT_FAULTS)
def test_fault_in_the_limits_of_teams_shows_in_their_specification(fault, monkeypatch):
    """Guards against a specification that no longer plays the product's own code."""
    monkeypatch.setattr(TeamLimits, *LIMIT_FAULTS[fault])
    assert explore(TeamLimitRows()).violation is not None
