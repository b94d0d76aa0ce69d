"""Team limits, split among the shards and moved to the shards with work.

The split of a team's limit is one document that maps each shard to its allowance. All
owners change it by compare-and-swap: an owner raises only its own allowance, to no more
than the other allowances leave of the limit.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from apricotgap.jobs.configuration import Configuration
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
# does not wait for a raise.
IDLE_SHARE = 0.2

Split = dict[str, Resources]


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

    def set_configuration(self, config: Configuration) -> None:
        """Set the limits; a lowered limit lowers the allowance at once."""
        self._n_services = max(1, len(config.working_services))
        limits = {team.name: _with_unlimited(team.limit) for team in config.teams}
        for team, limit in limits.items():
            before = self._limits.get(team)
            if (
                before is not None
                and team in self._allowances
                and not before.fits(limit)
            ):
                factor = min(
                    limit.cpu / before.cpu,
                    limit.memory_mb / before.memory_mb,
                    limit.gpus / before.gpus,
                    1.0,
                )
                self._allowances[team] = _scaled(self._allowances[team], factor)
        self._limits = limits

    def allowed(self, team: str) -> Resources | None:
        """Return the allowance of a team in this shard, None without a limit."""
        limit = self._limits.get(team)
        if limit is None or limit.cpu == limit.memory_mb == limit.gpus == UNLIMITED:
            return None
        return self._allowances.get(team, NO_RESOURCES)

    def limit(self, team: str) -> Resources:
        """Return the limit of a team over all shards."""
        return self._limits.get(team, NO_RESOURCES)

    def stored_cpu(self, team: str) -> dict[str, int]:
        """Return the CPU of the allowances of all shards, as last read or written."""
        split, _ = self._splits.get(team, ({}, 0))
        return {service: amount.cpu for service, amount in split.items()}

    def record_split(self, team: str, split: Split, revision: int) -> None:
        """Apply a split that was read from the store."""
        self._splits[team] = (split, revision)
        allowance = split.get(self._service, NO_RESOURCES)
        if team in self._allowances:
            # Never above the stored value, nor above what is left after a reduction.
            allowance = allowance.elementwise_min(self._allowances[team])
        self._allowances[team] = allowance

    def record_written(self, change: LimitChange, revision: int) -> None:
        """Apply a split that this shard has written to the store."""
        self._splits[change.team] = (change.split, revision)
        self._allowances[change.team] = change.split[self._service]

    def changes(self, demand: Mapping[str, Resources], at_ms: int) -> list[LimitChange]:
        """Return the splits to write now; reductions take effect at once.

        Parameters
        ----------
        demand : mapping of str to Resources
            Resources that each team uses or could use now in this shard.
        at_ms : int
            Current time.
        """
        found = []
        for team, limit in self._limits.items():
            if self.allowed(team) is None:
                continue
            change = self._change(team, limit, demand.get(team, NO_RESOURCES), at_ms)
            if change is not None:
                found.append(change)
        return found

    def unmet(self, demand: Mapping[str, Resources]) -> list[str]:
        """Return the teams whose allowance is below their demand.

        Their splits should be read again, since other shards may have lowered their
        allowances.
        """
        found = []
        for team, amount in demand.items():
            allowance = self.allowed(team)
            if allowance is not None and not amount.fits(allowance):
                found.append(team)
        return found

    def _change(
        self, team: str, limit: Resources, demand: Resources, at_ms: int
    ) -> LimitChange | None:
        split, revision = self._splits.get(team, ({}, 0))
        allowance = self._allowances.get(team, NO_RESOURCES)
        idle_allowance = _scaled(limit, IDLE_SHARE / self._n_services)
        if not demand.elementwise_max(idle_allowance).fits(allowance):
            self._surplus_since_ms.pop(team, None)
            others = NO_RESOURCES
            for service, amount in split.items():
                if service != self._service:
                    others = others + amount
            remaining = (limit - others).elementwise_max(NO_RESOURCES)
            wanted = (
                _scaled(demand, RAISE_FACTOR)
                .elementwise_max(idle_allowance)
                .elementwise_max(allowance)
            )
            new = wanted.elementwise_min(remaining)
            if new.fits(allowance):
                return None
            return self._changed(team, split, new, revision)
        wanted = _scaled(demand, RAISE_FACTOR).elementwise_max(idle_allowance)
        if not split.get(self._service, NO_RESOURCES).fits(allowance):
            # The allowance was lowered, but the reduction is not stored yet.
            return self._changed(team, split, allowance, revision)
        if allowance.fits(_scaled(wanted, LOWER_FACTOR)):
            self._surplus_since_ms.pop(team, None)
            return None
        since_ms = self._surplus_since_ms.setdefault(team, at_ms)
        if at_ms - since_ms < LOWER_AFTER_MS:
            return None
        new = wanted.elementwise_min(allowance)
        self._allowances[team] = new
        return self._changed(team, split, new, revision)

    def _changed(
        self, team: str, split: Split, allowance: Resources, revision: int
    ) -> LimitChange:
        return LimitChange(team, {**split, self._service: allowance}, revision)
