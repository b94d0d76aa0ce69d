"""Local view of the configuration, the other instances and the shard owners."""

import structlog

from apricotgap.clock import Clock
from apricotgap.decoding import DecodeError
from apricotgap.instance.keys import (
    LIMIT_NEEDS_PREFIX,
    MEMBERS_PREFIX,
    OWNERS_PREFIX,
    SHARD_CLOSING,
    SHARDS_PREFIX,
    SYSTEM_PREFIX,
    Member,
    Owner,
    Refusal,
    decode_member,
    decode_owner,
    decode_refusal,
    decode_teams,
    refusal_key,
)
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.jobs.configuration import Configuration, Wave
from apricotgap.platform.keys import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    OPERATOR_PREFIX,
    WAVES_PREFIX,
)
from apricotgap.platform.store import Item, StoreClient
from apricotgap.platform.wire import WireError, decode_configuration, decode_wave

__all__ = ["FLEET_SHARD", "ClusterView"]

# The shard whose owner moves machines between pools and runs maintenance waves.
FLEET_SHARD = "~fleet"

# Longest wait of one watch. A watch without changes proves freshness only when it
# returns, so the age of the view is known to within about this time.
OPERATOR_WATCH_WAIT_MS = 1_500
SYSTEM_WATCH_WAIT_MS = 4_000


class ClusterView:
    """Decoded copy of the store keys that operators and instances write.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    clock : Clock
        Measures the age of the view.
    """

    def __init__(self, store: StoreClient, clock: Clock) -> None:
        self.operator_mirror = PrefixMirror(
            store,
            OPERATOR_PREFIX,
            clock,
            self._operator_changed,
            OPERATOR_WATCH_WAIT_MS,
        )
        self.system_mirror = PrefixMirror(
            store, SYSTEM_PREFIX, clock, self._system_changed, SYSTEM_WATCH_WAIT_MS
        )
        self.config: Configuration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.waves: dict[int, Wave] = {}
        # When this instance saw the order of each wave. It may become the owner of the
        # fleet halfway through a wave.
        self.waves_begun_ms: dict[int, int] = {}
        # Store revision of the order of each wave.
        self.wave_revisions: dict[int, int] = {}
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._owners: dict[str, tuple[Item, Owner | None]] = {}
        self._stored_shards: dict[str, Item] = {}
        self._limit_needs: dict[str, frozenset[str]] = {}
        # Services that the configurations seen so far have given to a queue.
        self._services_of: dict[str, set[str]] = {}
        self._log = structlog.get_logger()

    def config_age_ms(self) -> int | None:
        """Return the age of the configuration, None before the first one."""
        return self.operator_mirror.age_ms() if self.config else None

    @property
    def config_confirmed_ms(self) -> int | None:
        """Time as of which the configuration was in force, None before the first."""
        return self.operator_mirror.fresh_as_of_ms if self.config else None

    def _operator_changed(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key == CONFIGURATION_KEY and item.value is not None:
                self._apply_config(item.value)
            elif item.key.startswith(WAVES_PREFIX):
                self._apply_wave(item)
        n_prefix = len(EVACUATIONS_PREFIX)
        evacuated = frozenset(
            key[n_prefix:]
            for key in self.operator_mirror.items
            if key.startswith(EVACUATIONS_PREFIX)
        )
        if evacuated != self.evacuated:
            self._log.info("evacuations", data_centres=sorted(evacuated))
            self.evacuated = evacuated

    def _apply_config(self, value: bytes) -> None:
        try:
            config = decode_configuration(value)
        except WireError as error:
            self._log.error("configuration_unreadable", error=str(error))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self._log.info(
            "configuration", version=config.version, n_queues=len(config.queues)
        )
        self.config = config
        for queue in config.queues:
            self._services_of.setdefault(queue.name, set()).add(queue.service)

    def _apply_wave(self, item: Item) -> None:
        try:
            number = int(item.key[len(WAVES_PREFIX) :])
            if item.value is None:
                self.waves.pop(number, None)
                self.waves_begun_ms.pop(number, None)
                self.wave_revisions.pop(number, None)
                return
            wave = decode_wave(item.value)
        except (WireError, ValueError) as error:
            self._log.error("wave_unreadable", key=item.key, error=str(error))
            return
        if wave != self.waves.get(number):
            self._log.info("wave", number=number, n_machines=len(wave.machines))
            self.waves_begun_ms[number] = self._clock.now_ms
        self.waves[number] = wave
        self.wave_revisions[number] = item.revision

    def apply(self, item: Item) -> None:
        """Apply a change of a key that instances write, before a watch delivers it."""
        if item.key.startswith(SYSTEM_PREFIX):
            self.system_mirror.adopt(item)

    def _system_changed(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key.startswith(OWNERS_PREFIX):
                self._apply_owner(item)
            elif item.key.startswith(MEMBERS_PREFIX):
                self._apply_member(item)
            elif item.key.startswith(SHARDS_PREFIX):
                self._apply_shard(item)
            elif item.key.startswith(LIMIT_NEEDS_PREFIX):
                self._apply_limit_needs(item)

    def _apply_limit_needs(self, item: Item) -> None:
        shard = item.key[len(LIMIT_NEEDS_PREFIX) :]
        self._limit_needs.pop(shard, None)
        if item.value is None:
            return
        try:
            self._limit_needs[shard] = decode_teams(item.value)
        except ValueError as error:
            self._log.error("limit_needs_unreadable", shard=shard, error=str(error))

    def _apply_shard(self, item: Item) -> None:
        service = item.key[len(SHARDS_PREFIX) :]
        if item.value is None:
            self._stored_shards.pop(service, None)
            return
        self._stored_shards[service] = item

    def _apply_owner(self, item: Item) -> None:
        shard = item.key[len(OWNERS_PREFIX) :]
        if item.value is None:
            self._owners.pop(shard, None)
            return
        owner = None
        try:
            owner = decode_owner(item.value)
        except ValueError as error:
            self._log.error("owner_unreadable", shard=shard, error=str(error))
        self._owners[shard] = (item, owner)

    def _apply_member(self, item: Item) -> None:
        name = item.key[len(MEMBERS_PREFIX) :]
        if item.value is None:
            self._members.pop(name, None)
            return
        try:
            self._members[name] = decode_member(item.value)
        except ValueError as error:
            self._log.error("member_unreadable", member=name, error=str(error))

    def shards(self) -> tuple[str, ...]:
        """Return the names of all shards, none before the first configuration."""
        if self.config is None or not self.system_mirror.loaded.is_set():
            return ()
        return (*self.services(), FLEET_SHARD)

    def services(self) -> tuple[str, ...]:
        """Return the services that have a shard, none before the first configuration.

        A service whose last queue has left keeps its shard until its jobs have ended.
        """
        if self.config is None:
            return ()
        return tuple(sorted({*self.config.working_services, *self._stored_shards}))

    def former_services(self, queue: str, service: str) -> tuple[str, ...]:
        """Return other services that may have jobs of a queue.

        Parameters
        ----------
        queue : str
            Name of the queue.
        service : str
            Service of the queue by the configuration.

        Returns
        -------
        tuple of str
            Services that a configuration has given to the queue, as far as this
            process has seen it, and those that no queue uses any more.
        """
        if self.config is None:
            return ()
        seen = self._services_of.get(queue, set())
        return tuple(
            sorted(
                name
                for name in self._stored_shards
                if name != service
                and (name in seen or name not in self.config.used_services)
            )
        )

    def shard_item(self, service: str) -> Item | None:
        """Return the key that says that a service may have unfinished jobs."""
        return self._stored_shards.get(service)

    def is_closing(self, service: str) -> bool:
        """Return whether an owner is about to give up the shard for good."""
        item = self._stored_shards.get(service)
        return item is not None and item.value == SHARD_CLOSING

    def unmarked_shards(self) -> tuple[str, ...]:
        """Return the services with an owner but without a shard key.

        Owners of an earlier build write no such key.
        """
        return tuple(
            shard
            for shard in self._owners
            if shard != FLEET_SHARD and shard not in self._stored_shards
        )

    def has_shard(self, service: str) -> bool:
        """Whether a service has a shard or an owner, as far as this is known."""
        shards = self.shards()
        return not shards or service in shards or service in self._owners

    def refusal(self, service: str) -> Refusal | None:
        """Return what the present owner of a service refuses, None for nothing."""
        item = self.system_mirror.items.get(refusal_key(service))
        owner = self.owner(service)
        if item is None or item.value is None or owner is None:
            return None
        try:
            refusal = decode_refusal(item.value)
        except DecodeError as error:
            self._log.error("refusal_unreadable", shard=service, error=str(error))
            return None
        return refusal if refusal.epoch == owner.epoch else None

    def limit_needs_of(self, shard: str) -> frozenset[str]:
        """Return the teams that lack a part of their limit in a shard."""
        return self._limit_needs.get(shard, frozenset())

    def limit_needs_beside(self, shard: str) -> frozenset[str]:
        """Return the teams that lack a part of their limit in any other shard."""
        others = (teams for name, teams in self._limit_needs.items() if name != shard)
        return frozenset().union(*others)

    def owner_item(self, shard: str) -> Item | None:
        """Return the owner key of a shard, None if the shard has no owner."""
        known = self._owners.get(shard)
        return known[0] if known else None

    def owner(self, shard: str) -> Owner | None:
        """Return the owner of a shard, None without one or if it is unreadable."""
        known = self._owners.get(shard)
        return known[1] if known else None

    def members(self) -> tuple[Member, ...]:
        """Return the registered instances."""
        return tuple(self._members.values())

    def shards_of(self, name: str) -> frozenset[str]:
        """Return the shards whose owner keys name an instance."""
        return frozenset(
            shard
            for shard, (_, owner) in self._owners.items()
            if owner is not None and owner.name == name
        )

    def n_owned_by(self, name: str) -> int:
        """Return the number of shards that an instance owns."""
        return len(self.shards_of(name))
