from fractions import Fraction

import cbor2
import pytest

from apricotgap.core import ledger, ledger_codec
from apricotgap.errors import ValidationError
from apricotgap.model import DataCentreLedger, FleetLedger, Row, TeamRows


def test_take_stays_within_the_cap_of_mixed_bases():
    """Guards against rows that exceed the cap after the limit changed."""
    team = TeamRows(Row(1, 2), {"a": Row(3, 10)})
    taken = ledger.acquire_units(team, "b", 9, 7, wanted=9, n_running=0)
    assert taken.rows["b"] == Row(1, 7, wanted=9)
    assert ledger.rows_within_caps(DataCentreLedger("w", {"t": taken}))


def test_return_never_goes_below_running_tasks():
    """Guards against releasing units that running tasks still use."""
    team = TeamRows(Row(10, 10), {"a": Row(6, 10)})
    assert (
        ledger.release_units(team, "a", 1, 10, wanted=1, n_running=4).rows["a"].n == 4
    )
    assert ledger.release_units(team, "a", 1, 4, wanted=1, n_running=5).rows["a"].n == 6
    assert ledger.acquire_units(team, "a", 9, 4, wanted=9, n_running=5) == team


def test_old_share_cannot_raise_a_lowered_cap():
    """Guards against a late cap raise after the share went to another data centre."""
    share = Row(4, 4, generation=5)
    team = ledger.raise_cap(TeamRows(Row(0, 1)), share, 0)
    lowered = ledger.lower_cap(team, 2, 4, 5)
    assert ledger.raise_cap(lowered, share, 0) == lowered
    assert ledger.portion(lowered.cap) == Fraction(1, 2)


def test_share_falls_only_after_the_cap_used_its_last_raise():
    """Guards against lowering a share while an unused raise may still be applied."""
    fleet = ledger.raise_share(FleetLedger("w"), "t", "d", 4, 4, wanted=4)
    unused = Row(1, 4)
    assert ledger.lower_share(fleet, "t", "d", unused, wanted=1).teams["t"]["d"].n == 4
    used = Row(1, 4, generation=fleet.generation)
    assert ledger.lower_share(fleet, "t", "d", used, wanted=1).teams["t"]["d"].n == 1


def test_removed_team_leaves_a_fence():
    """Guards against an old share that revives a team's cap after its removal."""
    doc = DataCentreLedger("w", {"t": TeamRows(Row(0, 1, generation=5))})
    gone = ledger.remove_team(doc, "t")
    assert gone.teams == {} and gone.fence == 5
    assert not ledger.can_raise_cap(
        TeamRows(ledger.EMPTY_ROW), Row(4, 4, generation=5), gone.fence
    )


@pytest.mark.parametrize(
    ("n_units", "wanted", "parts"),
    [
        (10, {"a": 20, "b": 20}, {"a": 5, "b": 5}),
        (10, {"a": 2, "b": 20, "c": 20}, {"a": 2, "b": 4, "c": 4}),
        (10, {"a": 1, "b": 3}, {"a": 1, "b": 3}),
        (1, {"a": 5, "b": 5}, {"a": 1, "b": 0}),
    ],
)
def test_max_min_allocation_follows_demand(n_units, wanted, parts):
    """Guards against a holder that keeps more than its fair share."""
    assert ledger.max_min_allocation(n_units, wanted) == parts


def test_codec_is_deterministic_and_ignores_unknown_fields():
    """Guards against versions in a rolling upgrade that can't read each other."""
    doc = DataCentreLedger("w", {"t": TeamRows(Row(1, 2), {"b": Row(1, 2)}, 3)}, 7)
    value = ledger_codec.encode(doc)
    assert ledger_codec.decode_ledger(value) == doc
    newer = cbor2.dumps({**cbor2.loads(value), "later": 1})
    assert ledger_codec.decode_ledger(newer) == doc
    assert ledger_codec.decode_fleet(b"") == FleetLedger("")


@pytest.mark.parametrize(
    "value", [b"\xff", cbor2.dumps({"writer": 1}), cbor2.dumps([1])]
)
def test_malformed_document_is_a_typed_error(value):
    """Guards against a crash, or rows decoded from malformed data."""
    with pytest.raises(ValidationError):
        ledger_codec.decode_fleet(value)
