"""Specification of a team's limit that the owners of two shards share."""

from collections.abc import Hashable, Iterator
from functools import cache
from typing import ClassVar, NamedTuple, cast

from apricotgap.jobs.blocked_demand import BLOCKED_AFTER_MS
from apricotgap.jobs.configuration import Configuration, ServiceSpec, Team
from apricotgap.jobs.model import Resources
from apricotgap.jobs.team_limits import LOWER_AFTER_MS, LimitChange, TeamLimits
from proof.checker import Specification

__all__ = ["TeamLimitRows"]

FAULT = "fault: "
TEAM = "t"
SERVICES = ("one", "two")
TASK_CPU = 2
# After this time either shard gives up a part of the limit that it cannot use.
BLOCKED_MS = BLOCKED_AFTER_MS * len(SERVICES)
Rows = tuple[int, int]
_SERVICE_SPECS = tuple(ServiceSpec(name, True, False) for name in SERVICES)


class Write(NamedTuple):
    """A split that one shard writes over a revision."""

    writer: int
    rows: Rows
    revision: int


class Owner(NamedTuple):
    """What the owner of a shard knows of the limit and of its tasks.

    `n_unknown` are runs of an earlier owner on workers that have not answered yet, and
    `is_unread` tells that the limit was lowered since the split was read.
    """

    limit: int
    rows: Rows
    revision: int = 0
    allowance: int | None = None
    n_waiting: int = 0
    n_running: int = 0
    n_unknown: int = 0
    is_unread: bool = False
    write: Write | None = None


class World(NamedTuple):
    """The stored split, owners, late writes, and what may still happen.

    `older_limit` is the one before, 0 once it is no longer in force.
    """

    owners: tuple[Owner, Owner]
    limits: tuple[int, ...]
    older_limit: int = 0
    rows: Rows = (0, 0)
    revision: int = 0
    late: frozenset[Write] = frozenset()
    n_tasks: int = 3
    n_lost: int = 0
    n_takeovers: int = 0
    is_exceeded: bool = False


Step = tuple[str, World]


class TeamLimitRows(Specification):
    """One team with tasks in two shards; an owner may be replaced."""

    name = "team limits"
    bounds = (
        "2 shards; limit 4, 3 tasks and 1 lost answer or 1 takeover, or 4 tasks; or "
        "limit 2, 2 tasks; or limits 6-4, 3 tasks, at most 1 takeover"
    )
    invariants = ("no start brings a team above its limit",)
    goal = "a waiting task within the limit starts"
    guards: ClassVar[dict[str, str]] = {
        "take only what the others leave": "rows above the limit",
        "write by compare-and-swap": "a row that was taken at the same time",
        "write under the ownership": "a row of an earlier owner",
        "use a raise once stored": "starts under a row that was never stored",
        "a lower allowance counts at once": "starts under a row that is given away",
        "a read raises no allowance": "starts under a row that is about to be lowered",
        "raise again by a write": "a lower row that arrives late",
        "write a raise to the stored row": "a task that waits on a limit with room",
        "keep a row above what is used": "units given away while they are used",
        "give up a part that is too small": "shards that block each other",
        "use a lowered limit once the split is read": "starts by an old split",
        "read on after a limit was lowered": "a row raised by the limit before",
        "count unknown runs": "starts beside runs of an earlier owner",
    }

    def initial(self) -> Iterator[World]:
        """Return the states in which the first shard has the limit to itself."""
        first = Owner(4, (4, 0), 1, 4)
        second = Owner(4, (4, 0), 1, 0)
        world = World((first, second), (4,), rows=(4, 0), revision=1)
        busy = first._replace(n_running=1), second
        yield world._replace(owners=busy, n_tasks=2, n_lost=1)
        yield world._replace(owners=busy, n_tasks=2, n_takeovers=1)
        busy = first._replace(n_running=2), second
        yield world._replace(owners=busy, n_tasks=2)
        owner = Owner(2, (1, 1), 1, 1)
        yield World((owner, owner), (2,), rows=(1, 1), revision=1, n_tasks=2)
        first = Owner(6, (6, 0), 1, 6)
        second = Owner(6, (6, 0), 1, 0)
        world = World((first, second), (6, 4), rows=(6, 0), revision=1)
        busy = first._replace(n_running=1), second._replace(n_waiting=1)
        yield world._replace(owners=busy, n_tasks=1)
        busy = first._replace(n_running=2), second
        yield world._replace(owners=busy, n_tasks=1, n_takeovers=1)

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        return self.invariants[0] if cast(World, state).is_exceeded else None

    def reached(self, state: Hashable) -> bool:
        """Return whether no task waits."""
        return not any(owner.n_waiting for owner in cast(World, state).owners)

    def is_fault(self, label: str) -> bool:
        """Return whether a step is a fault, or new work."""
        return label.startswith(FAULT)

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        for label, after in self._steps(cast(World, state)):
            yield label, _renumbered(after)

    def _steps(self, world: World) -> Iterator[Step]:
        for write in world.late:
            after = world._replace(late=world.late - {write})
            yield "a late write lands or fails", self._land(after, write)[0]
        if len(world.limits) > 1:
            changed = world._replace(older_limit=world.limits[0])
            yield "the limit changes", changed._replace(limits=world.limits[1:])
        if world.older_limit and self._is_over(world):
            yield "the older limit is over", world._replace(older_limit=0)
        for i, owner in enumerate(world.owners):
            who = SERVICES[i]
            if owner.limit != world.limits[0]:
                seen = _sees_limit(i, owner, world.limits[0])
                yield f"{who} sees the limit", _put(world, i, seen)
            yield from self._work(world, i, owner)
            is_current = owner.rows == world.rows and owner.revision == world.revision
            if owner.is_unread or not is_current:
                yield f"{who} reads the split", _put(world, i, self._read(world, i))
            if owner.write is None:
                yield f"{who} updates its row", self._update(world, i, owner)
                if self.guarded("give up a part that is too small"):
                    after = self._update(world, i, owner, BLOCKED_MS)
                    yield f"{who} has waited for more", after
            else:
                yield from self._send(world, i, owner.write)
        if world.n_takeovers:
            yield f"{FAULT}another instance owns {SERVICES[0]}", self._replace(world)

    def _is_over(self, world: World) -> bool:
        """Return whether the older limit need not be in force any more.

        All owners know of the next one, and whoever has read the split goes on reading
        it for longer than that takes.
        """
        if world.late:
            return False
        for owner in world.owners:
            if owner.limit != world.limits[0] or owner.write is not None:
                return False
            is_current = owner.rows == world.rows or owner.is_unread
            if not is_current and self.guarded("read on after a limit was lowered"):
                return False
        return True

    # Tasks

    def _work(self, world: World, i: int, owner: Owner) -> Iterator[Step]:
        who = SERVICES[i]
        if world.n_tasks:
            more = owner._replace(n_waiting=owner.n_waiting + 1)
            after = _put(world, i, more)._replace(n_tasks=world.n_tasks - 1)
            yield f"{FAULT}{who} accepts a task", after
        used = self._usage(owner) + TASK_CPU
        known = self._known(i, owner)
        if not self.guarded("use a lowered limit once the split is read"):
            known = known._replace(is_unread=False)
        if owner.n_waiting and used <= _allowed(i, known):
            started = owner._replace(
                n_waiting=owner.n_waiting - 1, n_running=owner.n_running + 1
            )
            yield f"{who} starts a task", self._started(_put(world, i, started))
        if owner.n_running:
            ended = owner._replace(n_running=owner.n_running - 1)
            yield f"a task of {who} ends", _put(world, i, ended)
        if owner.n_unknown:
            found = owner._replace(
                n_running=owner.n_running + owner.n_unknown, n_unknown=0
            )
            yield f"{who} learns of earlier runs", _put(world, i, found)

    def _started(self, world: World) -> World:
        n_runs = sum(owner.n_running + owner.n_unknown for owner in world.owners)
        highest = max(world.limits[0], world.older_limit)
        return world._replace(is_exceeded=n_runs * TASK_CPU > highest)

    def _usage(self, owner: Owner) -> int:
        n_runs = owner.n_running
        if self.guarded("count unknown runs"):
            n_runs += owner.n_unknown
        return n_runs * TASK_CPU

    # Rows

    def _known(self, i: int, owner: Owner) -> Owner:
        """Return an owner as it sees the rows of the others."""
        if self.guarded("take only what the others leave"):
            return owner
        return owner._replace(rows=_with_row((0, 0), i, owner.rows[i]))

    def _read(self, world: World, i: int) -> Owner:
        owner = world.owners[i]
        if not self.guarded("a read raises no allowance"):
            owner = owner._replace(allowance=None)
        return _reads(i, owner, world.rows, world.revision)

    def _update(
        self, world: World, i: int, owner: Owner, after_ms: int = LOWER_AFTER_MS
    ) -> World:
        usage = self._usage(owner)
        demand = usage + owner.n_waiting * TASK_CPU
        known = self._known(i, owner)
        kept = usage if self.guarded("keep a row above what is used") else 0
        may_lower = not owner.n_unknown
        allowance, row = _changes(i, known, demand, kept, may_lower, after_ms)
        if not self.guarded("a lower allowance counts at once"):
            allowance = owner.allowance
        if row is None:
            return _put(world, i, owner._replace(allowance=allowance))
        if row == owner.rows[i] and not self.guarded("raise again by a write"):
            return _put(world, i, owner._replace(allowance=row))
        if row == owner.rows[i] and not self.guarded("write a raise to the stored row"):
            return _put(world, i, owner._replace(allowance=allowance))
        if not self.guarded("use a raise once stored"):
            allowance = max(row, allowance or 0)
        write = Write(i, _with_row(owner.rows, i, row), owner.revision)
        return _put(world, i, owner._replace(allowance=allowance, write=write))

    def _send(self, world: World, i: int, write: Write) -> Iterator[Step]:
        who, owner = SERVICES[i], world.owners[i]._replace(write=None)
        sent = _put(world, i, owner)
        landed, is_stored = self._land(sent, write)
        if is_stored:
            known = _wrote(i, owner, write.rows, landed.revision)
        else:
            known = self._read(sent, i)
        yield f"{who} writes its row", _put(landed, i, known)
        if world.n_lost:
            lost = sent._replace(n_lost=world.n_lost - 1)
            late = lost._replace(late=world.late | {write})
            yield f"{FAULT}the write of {who} is late", late
            yield f"{FAULT}the write of {who} is refused", lost
            answerless = landed._replace(n_lost=world.n_lost - 1)
            yield f"{FAULT}the answer to {who} is lost", answerless

    def _land(self, world: World, write: Write) -> tuple[World, bool]:
        is_valid = write.revision == world.revision
        if not is_valid and self.guarded("write by compare-and-swap"):
            return world, False
        return world._replace(rows=write.rows, revision=world.revision + 1), True

    def _replace(self, world: World) -> World:
        """Let another owner follow that knows of no run yet."""
        owner = world.owners[0]
        late = world.late
        if owner.write is not None and not self.guarded("write under the ownership"):
            late = late | {owner.write}
        if self.guarded("write under the ownership"):
            # The condition on the owner key fails from now on.
            late = frozenset(write for write in late if write.writer > 0)
        fresh = Owner(owner.limit, (0, 0), -1, n_waiting=owner.n_waiting)
        fresh = fresh._replace(n_unknown=owner.n_running + owner.n_unknown)
        return _put(world, 0, fresh)._replace(
            late=late, n_takeovers=world.n_takeovers - 1
        )


def _put(world: World, i: int, owner: Owner) -> World:
    owners = (owner, world.owners[1]) if i == 0 else (world.owners[0], owner)
    return world._replace(owners=owners)


def _with_row(rows: Rows, i: int, row: int) -> Rows:
    return (row, rows[1]) if i == 0 else (rows[0], row)


def _renumbered(world: World) -> World:
    """Return the world with its revisions numbered anew in their order."""
    writes = [owner.write for owner in world.owners if owner.write is not None]
    found = {world.revision, *(owner.revision for owner in world.owners)}
    found.update(write.revision for write in (*writes, *world.late))
    order = {revision: k for k, revision in enumerate(sorted(found))}

    def number(write: Write) -> Write:
        return write._replace(revision=order[write.revision])

    one, two = (
        owner._replace(
            revision=order[owner.revision],
            write=number(owner.write) if owner.write else None,
        )
        for owner in world.owners
    )
    return world._replace(
        owners=(one, two),
        revision=order[world.revision],
        late=frozenset(map(number, world.late)),
    )


# Steps of the product


def _product(i: int, owner: Owner) -> TeamLimits:
    """Return the product's state of the limits in one shard."""
    limits = TeamLimits(SERVICES[i])
    limits._limits = {TEAM: Resources(owner.limit)}
    limits._n_services = len(SERVICES)
    limits._splits[TEAM] = (_split(owner.rows), owner.revision)
    if owner.is_unread:
        limits._unread.add(TEAM)
    if owner.allowance is not None:
        limits._allowances[TEAM] = Resources(owner.allowance)
    return limits


def _owner(i: int, owner: Owner, limits: TeamLimits) -> Owner:
    """Return an owner after a step of the product."""
    split, revision = limits._splits[TEAM]
    one, two = (split[name].cpu for name in SERVICES)
    allowance = limits._allowances.get(TEAM)
    return owner._replace(
        rows=(one, two),
        revision=revision,
        is_unread=TEAM in limits._unread,
        allowance=None if allowance is None else allowance.cpu,
    )


def _split(rows: Rows) -> dict[str, Resources]:
    return {name: Resources(row) for name, row in zip(SERVICES, rows, strict=True)}


@cache
def _allowed(i: int, owner: Owner) -> int:
    return cast(Resources, _product(i, owner).allowed(TEAM)).cpu


@cache
def _sees_limit(i: int, owner: Owner, limit: int) -> Owner:
    limits = _product(i, owner)
    team = Team(TEAM, frozenset(), 1.0, Resources(limit))
    limits.set_configuration(Configuration(1, (), _SERVICE_SPECS, (team,)))
    return _owner(i, owner._replace(limit=limit), limits)


@cache
def _reads(i: int, owner: Owner, rows: Rows, revision: int) -> Owner:
    limits = _product(i, owner)
    limits.record_split(TEAM, _split(rows), revision)
    return _owner(i, owner, limits)


@cache
def _wrote(i: int, owner: Owner, rows: Rows, revision: int) -> Owner:
    limits = _product(i, owner)
    limits.record_written(LimitChange(TEAM, _split(rows), revision), revision)
    return _owner(i, owner, limits)


@cache
def _changes(
    i: int, owner: Owner, demand: int, usage: int, may_lower: bool, after_ms: int
) -> tuple[int | None, int | None]:
    """Return the allowance from now on and the row to write, None for none."""
    limits = _product(i, owner)
    found: list[LimitChange] = []
    # A surplus, or a demand that cannot be met, counts once it has lasted.
    for at_ms in (0, after_ms):
        found = limits.changes(
            {TEAM: Resources(demand)}, at_ms, {TEAM: Resources(usage)}, may_lower
        )
    allowance = _owner(i, owner, limits).allowance
    return allowance, found[0].split[SERVICES[i]].cpu if found else None
