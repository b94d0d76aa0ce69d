"""Configuration changes under conflicts, lost responses and a restored store."""

from dataclasses import dataclass, field, replace

import pytest

from apricotgap import model
from apricotgap.core import config_codec, config_writer, limits
from apricotgap.core.config_writer import Change, RepublishView, propose
from apricotgap.core.events import Tick
from apricotgap.errors import (
    ConflictError,
    OutcomeUnknownError,
    UnavailableError,
    ValidationError,
)
from apricotgap.model import Configuration, Intent, Plan, Pool, Step, StepKind, Team
from tests.fleet_harness import Fleet, use_plain_usage


@pytest.fixture(autouse=True)
def _usage(monkeypatch):
    use_plain_usage(monkeypatch)


@dataclass
class PutPool(Change):
    name: str
    ends: list = field(default_factory=list)
    error: Exception | None = None

    def apply(self, config):
        if self.error:
            raise self.error
        if self.name in config.pools:
            raise ConflictError("the pool exists", "choose another name")
        return replace(config, pools={**config.pools, self.name: Pool(self.name)})

    def finished(self, state, error, revision, at_ms):
        self.ends.append((error, revision))
        return ()


class Republish(RepublishView):
    def __init__(self):
        self.ends = []

    def finished(self, state, error, revision, at_ms):
        self.ends.append((error, revision))
        return ()


def put(fleet, entry, *names):
    changes = [PutPool(name) for name in names]
    for change in changes:
        fleet.run(entry, propose(fleet.state(entry), change, fleet.at_ms))
    return changes


def pools(fleet, entry):
    return sorted(fleet.state(entry).config.pools)


def target_size():
    centres = [f"ostalpen-{i:02}" for i in range(22)]
    instances = [
        model.Instance(
            f"{centres[i % 22]}-r{i // 88:02}-w{i:04}",
            f"10.{i % 22}.{i // 250}.{i % 250}:8080",
            centres[i % 22],
            f"{centres[i % 22]}-r{i // 88:02}",
            f"pool-{i % 292:03}",
        )
        for i in range(2_100)
    ]
    teams = [Team(f"team-{i:03}", 1 + i % 7, 40) for i in range(330)]
    keys = [model.KeyRecord(f"{i:064x}", f"team-{i % 330:03}") for i in range(660)]
    return Configuration(
        data_centres={name: model.DataCentre(name, name[:8]) for name in centres},
        instances={item.name: item for item in instances},
        pools={f"pool-{i:03}": Pool(f"pool-{i:03}") for i in range(292)},
        teams={item.name: item for item in teams},
        keys={item.digest: item for item in keys},
        queues={
            f"q-{i:03}": model.Queue(f"q-{i:03}", f"pool-{i:03}") for i in range(292)
        },
    )


@dataclass
class PutAll(PutPool):
    config: Configuration = field(default_factory=Configuration)

    def apply(self, config):
        return replace(self.config, revision=config.revision)


def test_a_change_at_the_target_size_writes_some_10_kb():
    """Guards against a change of one object that rewrites the whole document."""
    fleet = Fleet("a1")
    config = target_size()
    state = fleet.state("a1")
    fleet.run("a1", propose(state, PutAll("", config=config), fleet.at_ms))
    assert state.config == replace(config, revision=1)
    changed = {
        "instances": replace(next(iter(config.instances.values())), pool="pool-009"),
        "teams": Team("team-001", 9, 9),
        "keys": model.KeyRecord(f"{1:064x}", "team-009"),
        "pools": Pool("pool-001", spare=True),
        "queues": model.Queue("q-001", "pool-002"),
    }
    for kind, item in changed.items():
        key = item.digest if kind == "keys" else item.name
        config = replace(config, **{kind: {**getattr(config, kind), key: item}})
        fleet.store.n_written = 0
        fleet.run("a1", propose(state, PutAll("", config=config), fleet.at_ms))
        assert getattr(state.config, kind)[key] == item
        assert 0 < fleet.store.n_written <= 12_000


def test_a_plan_keeps_its_steps_in_order_across_parts():
    """Guards against steps lost or mixed up where a plan is split."""
    steps = tuple(Step(i, StepKind.DRAIN, f"w{i}") for i in range(150))
    plan = Plan("p/1", Intent("roll_pool", "x", {"a.b": "c"}), 3, steps)
    config = Configuration(7, active_plans={"p/1": plan})
    empty = config_codec.Snapshot()
    encoded = config_codec.encode_snapshot(config, empty)
    root = config_codec.Root(7, encoded.hashes)
    assert config_codec.decode_snapshot(root, encoded.blobs, empty).config == config


def test_a_plan_with_a_missing_part_is_refused():
    """Guards against a plan that is silently truncated."""
    steps = tuple(Step(i, StepKind.DRAIN, f"w{i}") for i in range(150))
    plan = Plan("p", Intent("roll_pool", "x", {}), 3, steps)
    empty = config_codec.Snapshot()
    encoded = config_codec.encode_snapshot(
        Configuration(7, active_plans={"p": plan}), empty
    )
    for lost in ("steps/0/p", "steps/1/p"):
        hashes = {name: h for name, h in encoded.hashes.items() if name != lost}
        with pytest.raises(ValidationError):
            config_codec.decode_snapshot(
                config_codec.Root(7, hashes), encoded.blobs, empty
            )


def test_a_conflict_applies_the_change_to_the_newest_configuration():
    """Guards against overwriting another operator's change."""
    fleet = Fleet("a1", "a2")
    fleet.watching = False
    put(fleet, "a1", "one")
    (change,) = put(fleet, "a2", "two")
    assert change.ends == [(None, 2)]
    assert pools(fleet, "a2") == ["one", "two"]


def test_a_change_that_no_longer_fits_ends_in_its_own_error():
    """Guards against storing a change that cannot be applied to the configuration."""
    fleet = Fleet("a1")
    change = PutPool("x", error=ConflictError("moved", "plan again"))
    fleet.run("a1", propose(fleet.state("a1"), change, fleet.at_ms))
    assert change.ends == [(change.error, 0)]


@pytest.mark.parametrize("n_later", [0, 1, 31, 40])
def test_a_lost_answer_is_resolved_or_called_unknown(n_later):
    """Guards against a wrong result for a change followed by several later ones."""
    fleet = Fleet("a1", "a2")
    fleet.watching = False
    later = [f"p{i}" for i in range(n_later)]
    fleet.store.write_faults = [lambda: put(fleet, "a2", *later)]
    (change,) = put(fleet, "a1", "mine")
    fleet.pass_time(1_000)
    ((error, revision),) = change.ends
    assert revision == fleet.state("a1").view.revision == n_later + 1
    if n_later <= limits.MAX_ROOT_AUTHORS:
        assert error is None
    else:
        assert isinstance(error, OutcomeUnknownError)
        assert "outcome unknown, check status" in str(error)


def test_a_write_that_never_landed_is_repeated():
    """Guards against losing a change whose write was dropped in transit."""
    fleet = Fleet("a1")
    fleet.store.write_faults = ["before", "before"]
    (change,) = put(fleet, "a1", "mine")
    fleet.pass_time(2_000)
    assert change.ends == [(None, 1)]


def test_a_store_outage_after_the_root_write_is_called_unknown():
    """Guards against reporting "not accepted" for a possibly stored change."""
    fleet = Fleet("a1")
    fleet.store.write_faults = [lambda: fleet.store.down.add("a1")]
    (change,) = put(fleet, "a1", "mine")
    fleet.pass_time(limits.CHANGE_TIMEOUT_MS + 500)
    assert isinstance(change.ends[0][0], OutcomeUnknownError)


def test_a_store_outage_before_the_root_write_is_unavailable():
    """Guards against a change that hangs while the store is down."""
    fleet = Fleet("a1")
    fleet.store.down.add("a1")
    (early,) = put(fleet, "a1", "early")
    fleet.pass_time(limits.CHANGE_TIMEOUT_MS + 500)
    (late,) = put(fleet, "a1", "late")
    assert [type(c.ends[0][0]) for c in (early, late)] == [UnavailableError] * 2


def test_superseded_parts_are_removed_and_return_under_another_hash():
    """Guards against removing a part that a newer root names again."""
    fleet = Fleet("a1", "a2")
    put(fleet, "a1", "one")
    first = set(fleet.state("a1").view.snapshot.blobs)
    put(fleet, "a1", "two", "three", "four", "five", "six", "seven", "eight")
    back = PutAll("", config=Configuration(pools={"one": Pool("one")}))
    fleet.run("a1", propose(fleet.state("a1"), back, fleet.at_ms))
    assert not first & set(fleet.state("a1").view.snapshot.blobs)
    fleet.pass_time(limits.PART_RETENTION_MS + 1_000)
    put(fleet, "a2", "nine")
    fleet.pass_time(100)
    put(fleet, "a2", "ten")
    stored = {key for key in fleet.store.data if key.startswith("config/part/")}
    view = fleet.state("a1").view
    named = {config_codec.part_key(digest) for digest in view.snapshot.blobs}
    listed = {config_codec.part_key(digest) for digest in view.root.superseded}
    assert named <= stored <= named | listed
    assert not {config_codec.part_key(digest) for digest in first} & stored


def test_a_restored_older_store_takes_changes_only_after_republishing():
    """Guards against silently losing the changes since the restored state."""
    fleet = Fleet("a1", "a2")
    put(fleet, "a1", "one")
    backup = dict(fleet.store.data)
    put(fleet, "a1", "two")
    fleet.store.data = backup
    fleet.pass_time(3_000)
    (refused,) = put(fleet, "a1", "three")
    assert isinstance(refused.ends[0][0], UnavailableError)
    assert pools(fleet, "a2") == ["one", "two"]
    repair = Republish()
    fleet.run("a1", propose(fleet.state("a1"), repair, fleet.at_ms))
    (accepted,) = put(fleet, "a2", "three")
    assert (repair.ends, accepted.ends) == ([(None, 3)], [(None, 4)])
    assert Fleet("b1", store=fleet.store).state("b1").config.pools.keys() == {
        "one",
        "two",
        "three",
    }


def test_a_root_write_without_any_answer_is_tried_again():
    """Guards against a change that waits indefinitely for the driver."""
    fleet = Fleet("a1")
    state = fleet.state("a1")
    change = PutPool("mine")
    answer = fleet.store.answer
    fleet.store.answer = lambda effect, node, at_ms: (
        None
        if getattr(effect, "key", "") == "config/root"
        else answer(effect, node, at_ms)
    )
    fleet.run("a1", propose(state, change, fleet.at_ms))
    fleet.store.answer = answer
    for _ in range(30):
        fleet.at_ms += 100
        fleet.run("a1", config_writer.tick(state, fleet.at_ms))
    fleet.step("a1", Tick(fleet.at_ms))
    assert change.ends == [(None, 1)]
