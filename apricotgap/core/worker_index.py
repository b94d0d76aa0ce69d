"""Index of free backend servers by pool and data centre."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heapify, heappop, heappush
from itertools import count, islice
from typing import TYPE_CHECKING

from apricotgap.core import health, membership
from apricotgap.model import (
    Configuration,
    DataCentreState,
    Instance,
    Pool,
    Resources,
)

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "Group",
    "RoutingIndex",
    "Worker",
    "expire_reports",
    "index_of",
    "refresh",
    "refresh_preference",
]

MAX_STARVED_WOKEN = 4
_COMPACT_SLACK = 32


@dataclass(slots=True, eq=False)
class Worker:
    """Routing data of a backend server, without its health."""

    instance: Instance
    groups: tuple["Group", ...]
    rank: int = 0
    tie_break: int = 0
    n_free: int = 0
    serial: int = 0


@dataclass(slots=True, eq=False)
class Group:
    """Workers of a pool in a data centre that have a free slot, best first.

    Items of `heap` whose serial number is not that of their worker are stale.
    """

    n_workers: int = 0
    n_slots: int = 0
    n_free: int = 0
    heap: list[tuple[int, float, int, int, Worker]] = field(default_factory=list)

    def push(self, worker: Worker, load: int, failures: float) -> None:
        """Add a worker that has a free slot.

        Recent failures weigh more than the rank of the worker for this entry
        instance, so that a worker that fails fast does not attract work.
        """
        rank = worker.rank + int(failures)
        item = (rank, load + failures, worker.tie_break, worker.serial, worker)
        heappush(self.heap, item)
        if len(self.heap) > 4 * self.n_workers + _COMPACT_SLACK:
            self.heap = [item for item in self.heap if item[3] == item[4].serial]
            heapify(self.heap)

    def pop(self) -> tuple[int, float, int, int, Worker] | None:
        """Remove and return the best valid item."""
        while self.heap:
            item = heappop(self.heap)
            if item[3] == item[4].serial:
                return item
        return None


@dataclass(slots=True, eq=False)
class RoutingIndex:
    """Workers by pool and data centre for one configuration object.

    `groups` holds the groups of each pool in its open data centres, the local one
    first. `spare_groups` holds those of all spare pools and contains only workers
    that run no tasks of their own pool.
    """

    config: Configuration
    workers: dict[str, Worker] = field(default_factory=dict)
    groups: dict[str, list[tuple[str, Group]]] = field(default_factory=dict)
    spare_groups: list[tuple[str, Group]] = field(default_factory=list)
    queues_of_pool: dict[str, list[str]] = field(default_factory=dict)
    members: dict[str, list[str]] = field(default_factory=dict)
    sizes: dict[str, list[Resources]] = field(default_factory=dict)
    spare_sizes: list[Resources] = field(default_factory=list)
    fresh: OrderedDict[str, None] = field(default_factory=OrderedDict)
    entries: tuple[str, ...] = ()
    serials: Iterator[int] = field(default_factory=lambda: count(1))


def index_of(state: "EntryState") -> RoutingIndex:
    """Return the index, rebuilt if the configuration was replaced."""
    index = state.placement.index
    if index is None or index.config is not state.config:
        index = state.placement.index = _build(state)
        for name in index.workers:
            refresh(state, name, state.placement.now_ms)
        for queue in state.queues.n_by_queue:
            state.queues.ready[queue] = None
    return index


def refresh_preference(state: "EntryState", at_ms: int) -> None:
    """Rank the workers of the local data centre again if its entries changed."""
    own_data_centre = state.identity.data_centre
    live = membership.live_entries_of(state, own_data_centre, at_ms)
    entries = tuple(sorted({*live, state.identity.entry}))
    index = index_of(state)
    if index.entries == entries:
        return
    index.entries = entries
    for worker in index.workers.values():
        if worker.instance.data_centre == own_data_centre:
            worker.rank = _rank(state.identity.entry, entries, worker.instance.name)
            refresh(state, worker.instance.name, at_ms)


def refresh(state: "EntryState", name: str, at_ms: int) -> None:
    """Update the index after a change of the load or health of a worker."""
    index = index_of(state)
    worker = index.workers.get(name)
    if worker is None:
        return
    n_free = 0
    if health.can_take_work(state, name, at_ms):
        n_free = _n_free(state, worker.instance)
        index.fresh[name] = None
        index.fresh.move_to_end(name)
    worker.groups[0].n_free += n_free - worker.n_free
    worker.n_free = n_free
    worker.serial = next(index.serials)
    if n_free <= 0:
        return
    load = state.placement.n_slots_in_flight(name)
    failures = health.recent_failures(state, name, at_ms)
    worker.groups[0].push(worker, load, failures)
    for queue in index.queues_of_pool.get(worker.instance.pool, ()):
        state.queues.ready[queue] = None
    if len(worker.groups) > 1 and _is_idle(state, worker.instance):
        worker.groups[1].push(worker, load, failures)
        _wake_starved(state)


def expire_reports(state: "EntryState", at_ms: int) -> None:
    """Remove workers whose last status report is too old."""
    fresh = index_of(state).fresh
    while fresh:
        name = next(iter(fresh))
        if health.has_recent_report(state, name, at_ms):
            return
        del fresh[name]
        refresh(state, name, at_ms)


def _n_free(state: "EntryState", instance: Instance) -> int:
    worker_health = health.get_or_create(state, instance.name)
    n_own = state.placement.n_slots_in_flight(instance.name)
    if worker_health.probation:
        return 0 if n_own else 1
    n_slots = min(worker_health.n_slots, instance.slots)
    return max(0, n_slots - worker_health.n_others - n_own)


def _is_idle(state: "EntryState", instance: Instance) -> bool:
    in_flight = state.placement.by_instance.get(instance.name, {})
    if any(not task.spilled for task in in_flight.values()):
        return False
    return not health.get_or_create(state, instance.name).n_others


def _wake_starved(state: "EntryState") -> None:
    starved = state.placement.starved
    for queue in list(islice(starved, MAX_STARVED_WOKEN)):
        starved[queue] = starved.pop(queue)
        state.queues.ready[queue] = None


def _build(state: "EntryState") -> RoutingIndex:
    config = state.config
    index = RoutingIndex(config)
    own_data_centre = state.identity.data_centre
    index.entries = (
        state.placement.index.entries
        if state.placement.index
        else (state.identity.entry,)
    )
    groups: dict[tuple[str, str], Group] = {}
    idle: dict[tuple[str, str], Group] = {}
    for queue in config.queues.values():
        index.queues_of_pool.setdefault(queue.pool, []).append(queue.name)
    for instance in config.instances.values():
        pool = config.pools.get(instance.pool)
        if pool is None:
            continue
        _add_sizes(index, instance, pool)
        index.members.setdefault(pool.name, []).append(instance.name)
        data_centre = config.data_centres.get(instance.data_centre)
        if data_centre is None or data_centre.state is not DataCentreState.OPEN:
            continue
        key = (pool.name, instance.data_centre)
        own_groups = [groups.setdefault(key, Group())]
        if pool.spare:
            own_groups.append(idle.setdefault(key, Group()))
        for group in own_groups:
            group.n_workers += 1
            group.n_slots += instance.slots
        is_own = instance.data_centre == own_data_centre
        index.workers[instance.name] = Worker(
            instance,
            tuple(own_groups),
            rank=_rank(state.identity.entry, index.entries, instance.name)
            if is_own
            else 0,
            tie_break=_hash(state.identity.entry, instance.name),
        )
    for pool_name, data_centre_name in sorted(groups, key=_own_first(state)):
        group = groups[pool_name, data_centre_name]
        index.groups.setdefault(pool_name, []).append((data_centre_name, group))
    for key in sorted(idle, key=_own_first(state)):
        index.spare_groups.append((key[0], idle[key]))
    return index


def _add_sizes(index: RoutingIndex, instance: Instance, pool: Pool) -> None:
    sizes = index.sizes.setdefault(pool.name, [])
    for known_sizes in (sizes, index.spare_sizes) if pool.spare else (sizes,):
        if instance.capacity not in known_sizes:
            known_sizes.append(instance.capacity)


def _own_first(
    state: "EntryState",
) -> Callable[[tuple[str, str]], tuple[bool, bool, str, str]]:
    config, own_data_centre = state.config, state.identity.data_centre
    configured = config.data_centres.get(own_data_centre)
    region = configured.region if configured else ""

    def order(key: tuple[str, str]) -> tuple[bool, bool, str, str]:
        pool, data_centre = key
        other_region = config.data_centres[data_centre].region != region
        return data_centre != own_data_centre, other_region, data_centre, pool

    return order


def _hash(entry: str, worker: str) -> int:
    digest = blake2b(f"{entry}/{worker}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _rank(entry: str, entries: tuple[str, ...], worker: str) -> int:
    own_hash = _hash(entry, worker)
    return sum(_hash(other, worker) > own_hash for other in entries if other != entry)
