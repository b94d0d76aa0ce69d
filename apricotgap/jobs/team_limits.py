"""Team limits, split among the shards and moved to the shards with work.

The split of a team's limit is one document that maps each shard to its allowance. All
owners change it by compare-and-swap: an owner raises only its own allowance, to no more
than the other allowances leave of the limit.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from apricotgap.jobs.blocked_demand import BlockedDemand
from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.idle_shares import IdleShares, Shortage
from apricotgap.jobs.model import NO_RESOURCES, Resources

__all__ = ["LimitChange", "Split", "TeamLimits"]

UNLIMITED = 1 << 60
# A raise requests this multiple of the demand, to avoid a raise for each task.
RAISE_FACTOR = 1.3
# An allowance is lowered after it has exceeded the raised demand by this factor for a
# while. With RAISE_FACTOR and IDLE_SHARE, a team that runs less than half of its limit
# can start tasks in every shard: 0.5 * 1.3 * 1.2 + 0.2 < 1.
LOWER_FACTOR = 1.2
LOWER_AFTER_MS = 1_000
# Share of the limit that all shards together keep without demand, so that a first task
# does not wait for a raise, until another shard lacks it.
IDLE_SHARE = 0.2
# After a limit was lowered the split is read for this long, since other owners may not
# know of it yet and still raise their rows by the one before.
LOWERED_READ_MS = 10_000

Split = dict[str, Resources]
NO_USAGE: Mapping[str, Resources] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A new split of a team's limit, to be written over `revision`."""

    team: str
    split: Split
    revision: int


def _scaled(amount: Resources, factor: float) -> Resources:
    return Resources(
        int(amount.cpu * factor),
        int(amount.memory_mb * factor),
        int(amount.gpus * factor),
    )


def _with_unlimited(limit: Resources) -> Resources:
    return Resources(
        limit.cpu or UNLIMITED, limit.memory_mb or UNLIMITED, limit.gpus or UNLIMITED
    )


def _in_proportion(amount: int, limit: int, stored: int) -> int:
    return amount * limit // stored if stored > limit else amount


def _has_surplus(allowance: Resources, used: Resources, limit: Resources) -> bool:
    """Return whether an allowance exceeds what is used of a limited resource."""
    return (
        (limit.cpu < UNLIMITED and allowance.cpu > used.cpu)
        or (limit.memory_mb < UNLIMITED and allowance.memory_mb > used.memory_mb)
        or (limit.gpus < UNLIMITED and allowance.gpus > used.gpus)
    )


class TeamLimits:
    """Allowances of one shard, by team.

    Parameters
    ----------
    service : str
        Service of the shard.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._limits: dict[str, Resources] = {}
        self._n_services = 1
        self._splits: dict[str, tuple[Split, int]] = {}
        self._allowances: dict[str, Resources] = {}
        self._surplus_since_ms: dict[str, int] = {}
        self._blocked = BlockedDemand()
        self._shortage = Shortage()
        self._idle = IdleShares()
        # Teams whose limits were lowered: those whose splits are older than that, and
        # the times at which this was noticed.
        self._unread: set[str] = set()
        self._lowered_ms: dict[str, int | None] = {}
        # Services with a row and without a shard, and those whose rows are void.
        self._absent_since_ms: dict[str, int] = {}
        self._void: frozenset[str] = frozenset()

    def set_configuration(self, config: Configuration) -> None:
        """Set the limits; a lowered limit lowers the allowance at once."""
        self._n_services = max(1, len(config.working_services))
        limits = {team.name: _with_unlimited(team.limit) for team in config.teams}
        for team, limit in self._limits.items():
            if team in limits and not limit.fits(limits[team]):
                self._unread.add(team)
                self._lowered_ms[team] = None
        self._limits = limits
        for team, allowance in self._allowances.items():
            self._allowances[team] = allowance.elementwise_min(self._fair_row(team))

    def allowed(self, team: str) -> Resources | None:
        """Return the allowance of a team in this shard, None without a limit."""
        left = self.attainable(team)
        if left is None:
            return None
        if team in self._unread:
            # The others may use more than the lowered limit leaves.
            return NO_RESOURCES
        # Another shard may not have stored yet that its allowance is lower, or may use
        # more than a lowered limit leaves it.
        return self._allowances.get(team, NO_RESOURCES).elementwise_min(left)

    def may_allow(self, team: str, amount: Resources) -> bool:
        """Whether the allowance of a team may ever be as high as an amount."""
        limit = self._limits.get(team)
        return limit is None or amount.fits(limit)

    def attainable(self, team: str) -> Resources | None:
        """Return what the other shards leave of a team's limit, None without a limit.

        The allowance is raised up to this amount once tasks have room.
        """
        limit = self._limits.get(team)
        if limit is None or limit.cpu == limit.memory_mb == limit.gpus == UNLIMITED:
            return None
        return (limit - self._others(team)).elementwise_max(NO_RESOURCES)

    def limit(self, team: str) -> Resources:
        """Return the limit of a team over all shards."""
        return self._limits.get(team, NO_RESOURCES)

    def short_teams(self, at_ms: int) -> frozenset[str]:
        """Return the teams that have lacked a part of their limit here for a while.

        Parameters
        ----------
        at_ms : int
            Current time.
        """
        return self._shortage.teams(at_ms) & self._limits.keys()

    def set_lacking(self, teams: frozenset[str]) -> None:
        """Set the teams that lack a part of their limit in another shard."""
        self._idle.set_lacking(teams)

    def stored_cpu(self, team: str) -> dict[str, int]:
        """Return the CPU of the allowances of all shards, as last read or written."""
        split, _ = self._splits.get(team, ({}, 0))
        return {service: amount.cpu for service, amount in split.items()}

    def record_shards(
        self, has_shard: Callable[[str], bool], at_ms: int, retention_ms: int
    ) -> None:
        """Void the rows of services that have had no shard for a while.

        Parameters
        ----------
        has_shard : callable
            Returns whether a service has a shard, with or without an owner.
        at_ms : int
            Current time.
        retention_ms : int
            Time after which no task of a service without a shard can run.
        """
        services = {service for split, _ in self._splits.values() for service in split}
        self._absent_since_ms = {
            service: self._absent_since_ms.get(service, at_ms)
            for service in services
            if service != self._service and not has_shard(service)
        }
        self._void = frozenset(
            service
            for service, since_ms in self._absent_since_ms.items()
            if at_ms - since_ms > retention_ms
        )

    def record_split(self, team: str, split: Split, revision: int) -> None:
        """Apply a split that was read from the store."""
        self._splits[team] = (split, revision)
        self._unread.discard(team)
        self._idle.record_read(team, self._is_used_up(team))
        row = self._fair_row(team)
        # Never above the stored value, nor above what is left after a reduction.
        allowance = self._allowances.get(team, row)
        self._allowances[team] = allowance.elementwise_min(row)

    def record_written(self, change: LimitChange, revision: int) -> None:
        """Apply a split that this shard has written to the store."""
        self._splits[change.team] = (change.split, revision)
        self._unread.discard(change.team)
        self._allowances[change.team] = self._fair_row(change.team)

    def _others(self, team: str) -> Resources:
        """Return the sum of the stored allowances of the other shards."""
        split, _ = self._splits.get(team, ({}, 0))
        others = NO_RESOURCES
        for service, amount in split.items():
            if service != self._service and service not in self._void:
                others = others + amount
        return others

    def _is_used_up(self, team: str) -> bool:
        """Return whether the rows leave nothing of a resource that is limited."""
        limit = self._limits.get(team)
        if limit is None:
            return False
        split, _ = self._splits.get(team, ({}, 0))
        left = limit - self._others(team) - split.get(self._service, NO_RESOURCES)
        return (
            (limit.cpu < UNLIMITED and left.cpu <= 0)
            or (limit.memory_mb < UNLIMITED and left.memory_mb <= 0)
            or (limit.gpus < UNLIMITED and left.gpus <= 0)
        )

    def _rank(self, team: str) -> int:
        """Return how many shards with a row come before this one."""
        split, _ = self._splits.get(team, ({}, 0))
        return sum(service < self._service for service in split)

    def _fair_row(self, team: str) -> Resources:
        """Return the stored row, in proportion if all rows exceed a lowered limit."""
        split, _ = self._splits.get(team, ({}, 0))
        row = split.get(self._service, NO_RESOURCES)
        limit = self._limits.get(team)
        if limit is None:
            return row
        stored = self._others(team) + row
        return Resources(
            _in_proportion(row.cpu, limit.cpu, stored.cpu),
            _in_proportion(row.memory_mb, limit.memory_mb, stored.memory_mb),
            _in_proportion(row.gpus, limit.gpus, stored.gpus),
        )

    def changes(
        self,
        demand: Mapping[str, Resources],
        at_ms: int,
        usage: Mapping[str, Resources] = NO_USAGE,
        may_lower: bool = True,
    ) -> list[LimitChange]:
        """Return the splits to write now; reductions take effect at once.

        Parameters
        ----------
        demand : mapping of str to Resources
            Resources that each team uses or could use now in this shard.
        at_ms : int
            Current time.
        usage : mapping of str to Resources, optional
            Resources that each team uses in this shard.
        may_lower : bool, optional
            Whether the shard knows all that the teams use. If not, it lowers none.
        """
        found = []
        for team in self._limits:
            if self.allowed(team) is None:
                continue
            used = usage.get(team, NO_RESOURCES)
            wanted = demand.get(team, NO_RESOURCES)
            allowance = self._next_allowance(team, wanted, used, at_ms, may_lower)
            # After a limit was lowered a shard may use more than its allowance. Its row
            # says so, or the others would start tasks for what it still uses.
            row = allowance.elementwise_max(used)
            split, revision = self._splits.get(team, ({}, 0))
            is_stored = row == split.get(self._service, NO_RESOURCES)
            # A lower allowance counts before it is stored. To raise it again takes a
            # write even to the stored value, or that lower one could still arrive.
            is_raised = not allowance.fits(self._allowances.get(team, NO_RESOURCES))
            if not is_stored or is_raised:
                new_split = {
                    service: amount
                    for service, amount in split.items()
                    if service not in self._void
                }
                new_split[self._service] = row
                found.append(LimitChange(team, new_split, revision))
        return found

    def unmet(self, demand: Mapping[str, Resources]) -> list[str]:
        """Return the teams whose splits should be read again.

        Their allowance is below their demand, and other shards may have lowered theirs;
        or they have an idle part here that another shard may lack.
        """
        found = list(self._idle.due)
        for team, amount in demand.items():
            allowance = self.allowed(team)
            is_unmet = allowance is not None and not amount.fits(allowance)
            if is_unmet and team not in self._idle.due:
                found.append(team)
        return found

    def outdated(self, at_ms: int) -> list[str]:
        """Return the teams whose splits are to be read since a limit was lowered.

        Parameters
        ----------
        at_ms : int
            Current time.
        """
        self._lowered_ms = {
            team: at_ms if since_ms is None else since_ms
            for team, since_ms in self._lowered_ms.items()
            if since_ms is None or at_ms - since_ms < LOWERED_READ_MS
        }
        return list(self._lowered_ms)

    def _next_allowance(
        self,
        team: str,
        demand: Resources,
        used: Resources,
        at_ms: int,
        may_lower: bool,
    ) -> Resources:
        """Return the allowance to have next; a lower one takes effect at once."""
        limit = self._limits[team]
        allowance = self._allowances.get(team, NO_RESOURCES)
        wanted = self._wanted(team, demand)
        if not demand.elementwise_max(self._idle_part(team)).fits(allowance):
            self._surplus_since_ms.pop(team, None)
            if self._blocked.is_released(team, at_ms):
                return allowance
            remaining = limit - self._others(team)
            raised = wanted.elementwise_min(remaining).elementwise_max(allowance)
            if demand.fits(raised):
                self._record_met(team)
                return raised
            self._shortage.record(team, used, at_ms)
            if not may_lower or not _has_surplus(allowance, used, limit):
                return raised
            rank = self._rank(team)
            if not self._blocked.should_release(team, used, raised, rank, at_ms):
                return raised
            self._allowances[team] = used.elementwise_min(allowance)
            return self._allowances[team]
        self._record_met(team)
        enough = _scaled(demand, RAISE_FACTOR * LOWER_FACTOR)
        if _has_surplus(allowance, enough, limit):
            self._idle.record_held(team, at_ms)
        if not may_lower or allowance.fits(_scaled(wanted, LOWER_FACTOR)):
            self._surplus_since_ms.pop(team, None)
            return allowance
        since_ms = self._surplus_since_ms.setdefault(team, at_ms)
        if at_ms - since_ms < LOWER_AFTER_MS:
            return allowance
        self._allowances[team] = wanted.elementwise_min(allowance)
        return self._allowances[team]

    def _record_met(self, team: str) -> None:
        self._blocked.clear(team)
        self._shortage.clear(team)

    def _idle_part(self, team: str) -> Resources:
        """Return what the shard keeps of a limit without demand."""
        if self._idle.is_given_up(team):
            return NO_RESOURCES
        return _scaled(self._limits[team], IDLE_SHARE / self._n_services)

    def _wanted(self, team: str, demand: Resources) -> Resources:
        """Return the allowance for a demand, by which an idle part is taken again."""
        raised = _scaled(demand, RAISE_FACTOR)
        if not self._idle.is_given_up(team):
            return raised.elementwise_max(self._idle_part(team))
        allowance = self._allowances.get(team, NO_RESOURCES)
        if not demand.fits(allowance) and not self._is_used_up(team):
            self._idle.take(team)
            return raised.elementwise_max(self._idle_part(team))
        return raised
