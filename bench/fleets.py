"""Configurations of any size, in the proportions of the target size."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from apricotgap.model import (
    Budget,
    Configuration,
    DataCentre,
    Instance,
    KeyRecord,
    Pool,
    Queue,
    Resources,
    Team,
)

__all__ = ["TARGET", "Size", "configuration", "key_of"]

_WORKERS_IN_RACK = 4


@dataclass(frozen=True, slots=True)
class Size:
    """Numbers of objects; `n_entries` is that of each data centre in turn."""

    n_workers: int
    n_teams: int
    n_pools: int
    n_data_centres: int
    n_entries: int = 1

    @property
    def label(self) -> str:
        """Short name for tables."""
        return (
            f"{self.n_workers}w/{self.n_teams}t/{self.n_pools}p/"
            f"{self.n_data_centres}dc/{self.n_entries}e"
        )


TARGET = Size(2_100, 330, 292, 22, 55)


def key_of(team: str) -> str:
    """Return the secret key of a team."""
    return f"secret-of-{team}"


def configuration(
    size: Size, addresses: Mapping[str, str] | None = None
) -> Configuration:
    """Return a configuration.

    Parameters
    ----------
    size : Size
        Numbers of objects.
    addresses : mapping of str to str or None
        Addresses of instances; others get one that nothing listens on.
    """
    known = addresses or {}
    centres = [f"dc{i:02d}" for i in range(size.n_data_centres)]
    pools = [f"pool-{i:03d}" for i in range(size.n_pools)]
    instances = {}
    for i in range(size.n_workers):
        name = f"worker-{i:04d}"
        centre = centres[i % len(centres)]
        rack = f"{centre}-r{i // len(centres) // _WORKERS_IN_RACK:02d}"
        instances[name] = Instance(
            name,
            known.get(name, f"127.0.0.1:{20_000 + i}"),
            centre,
            rack,
            pools[i % len(pools)],
            capacity=Resources(64_000, 128_000, 1),
        )
    teams = [f"team-{i:03d}" for i in range(size.n_teams)]
    digests = {t: hashlib.sha256(key_of(t).encode()).hexdigest() for t in teams}
    return Configuration(
        1,
        {c: DataCentre(c, f"region-{i % 6}") for i, c in enumerate(centres)},
        instances,
        {p: Pool(p, spare=i == 0) for i, p in enumerate(pools)},
        {t: Team(t, 1 + i % 5, 1_000) for i, t in enumerate(teams)},
        {digests[t]: KeyRecord(digests[t], t) for t in teams},
        {f"queue-{p}": Queue(f"queue-{p}", p) for p in pools},
        {p: Budget(p, "pool", p, max_unavailable=4) for p in pools}
        | {"racks": Budget("racks", "rack", max_unavailable=_WORKERS_IN_RACK)},
    )
