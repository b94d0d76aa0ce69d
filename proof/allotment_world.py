"""State of the specifications of upper limits: the store, entries and writes."""

from collections.abc import Iterator
from typing import NamedTuple, cast

from proof import allotment_documents as documents
from proof.allotment_documents import NO_ROW, Cell, Fleet, Rows

__all__ = [
    "FLEET",
    "Entry",
    "Step",
    "World",
    "Write",
    "land",
    "late_writes",
    "put",
    "store",
]

FLEET = "fleet"


class Write(NamedTuple):
    """A compare-and-swap under way; `landed` is None while it may still land."""

    key: str
    document: Rows | Fleet
    row: Cell | None
    landed: bool | None = None
    renews: bool = False


class Entry(NamedTuple):
    """What one incarnation knows and runs."""

    holder: str
    data_centre: str
    view: int = 0
    lease: str = "valid"
    confirmed: bool = True
    row: Cell = NO_ROW
    lost: tuple[Cell, ...] = ()
    cap: Cell = NO_ROW
    share: Cell = NO_ROW
    write: Write | None = None
    n_dispatched: int = 0
    n_running: int = 0

    @property
    def load(self) -> int:
        """Tasks that run or may still start."""
        return self.n_dispatched + self.n_running


class World(NamedTuple):
    """Store, entries and what may still go wrong."""

    fleet: Fleet
    rows: tuple[tuple[str, Rows], ...]
    entries: tuple[Entry, ...]
    limits: tuple[int, ...]
    bound: int
    proven: tuple[str, ...] = ()
    late: tuple[tuple[str, Write], ...] = ()
    n_lost: int = 0
    n_lapses: int = 0
    n_restarts: int = 0
    n_raises: int = 0


Step = tuple[str, World]


def put(world: World, i: int, entry: Entry) -> World:
    """Return the world after a change of one entry."""
    entries = world.entries
    return world._replace(entries=(*entries[:i], entry, *entries[i + 1 :]))


def land(world: World, i: int, write: Write) -> World:
    """Let the write of one entry take effect."""
    entry = world.entries[i]
    world = put(world, i, entry._replace(write=write._replace(landed=True)))
    return store(world, write, entry.holder)


def store(world: World, write: Write, holder: str) -> World:
    """Store a document; every other write that expected the old one fails.

    A change of its row starts the proof that a holder is gone again.
    """
    if write.key != FLEET and write.row != documents.row_of(
        dict(world.rows)[write.key], holder
    ):
        proven = tuple(name for name in world.proven if name != holder)
        world = world._replace(proven=proven)
    if write.key == FLEET:
        world = world._replace(fleet=cast(Fleet, write.document))
    else:
        rows = {**dict(world.rows), write.key: cast(Rows, write.document)}
        world = world._replace(rows=tuple(sorted(rows.items())))
    entries = tuple(
        entry._replace(write=entry.write._replace(landed=False))
        if entry.write is not None
        and entry.write.key == write.key
        and entry.write.landed is None
        else entry
        for entry in world.entries
    )
    late = tuple(item for item in world.late if item[1].key != write.key)
    return world._replace(entries=entries, late=late)


def late_writes(world: World) -> Iterator[Step]:
    """Return the lost writes that may still take effect."""
    for holder, write in world.late:
        yield f"the lost write of {holder} lands", store(world, write, holder)
