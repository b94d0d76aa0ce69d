"""What entries do with their units of an upper limit, and what may go wrong."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, cast

from proof import allotment_documents as documents
from proof.allotment_documents import Cell, Fleet, Rows
from proof.allotment_world import (
    FLEET,
    Entry,
    Step,
    World,
    Write,
    land,
    late_writes,
    put,
)
from proof.checker import Specification

__all__ = ["AllotmentSpecification"]


class AllotmentSpecification(Specification):
    """Entries that take, use and return units under an upper limit.

    A subclass declares which faults and which documents it has.
    """

    invariants = (
        "I5: no team runs more than its upper limit",
        "the shares, caps and rows of a team fit into each other",
    )

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        yield from late_writes(world)
        yield from self._configuration(world)
        for i, entry in enumerate(world.entries):
            if entry.write is not None:
                yield from self._settle(world, i, entry, entry.write)
            if not self.moves_caps:
                yield from self._tasks(world, i, entry)
            yield from self._lease(world, i, entry)
            if entry.lease == "valid":
                yield from self._views(world, i, entry)
                if entry.write is None:
                    yield from self._writes(world, i, entry)

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        if sum(entry.load for entry in world.entries) > world.bound:
            return self.invariants[0]
        for data_centre, rows in world.rows:
            if not documents.sound(world.fleet, data_centre, rows):
                return self.invariants[1]
        return None

    def _configuration(self, world: World) -> Iterator[Step]:
        limits = world.limits
        if len(limits) > 1:
            bound = max(world.bound, limits[1])
            entries = tuple(e._replace(view=e.view + 1) for e in world.entries)
            changed = world._replace(limits=limits[1:], bound=bound, entries=entries)
            yield f"limit becomes {limits[1]}", changed
        if world.bound > limits[0] and self._in_force(world):
            yield "limit in force", world._replace(bound=limits[0])

    def _in_force(self, world: World) -> bool:
        load = sum(entry.load for entry in world.entries)
        return load <= world.limits[0] and all(
            (entry.view == 0 or entry.lease != "valid")
            and (entry.load <= self._usable(entry, world.limits[0]) or not entry.load)
            for entry in world.entries
        )

    def _limit(self, world: World, entry: Entry) -> int:
        if entry.view == 0:
            return world.limits[0]
        return self.history[len(self.history) - len(world.limits) - entry.view]

    history: ClassVar[tuple[int, ...]] = (2,)
    moves_caps: ClassVar[bool] = False
    delays_starts: ClassVar[bool] = False

    def _usable(self, entry: Entry, limit: int) -> int:
        rows = [entry.row, *entry.lost]
        write = entry.write
        if write is not None and write.row is not None:
            rows.append(write.row)
        if not self.guarded("scale with the limit"):
            return min(row.n for row in rows)
        if not self.guarded("use a raise once stored"):
            return max(row.usable(limit) for row in rows)
        return min(row.usable(limit) for row in rows)

    def _tasks(self, world: World, i: int, entry: Entry) -> Iterator[Step]:
        who = entry.holder
        checks = entry.lease == "valid" or (
            entry.lease == "lapsed" and not self.guarded("check the own lease")
        )
        usable = self._usable(entry, self._limit(world, entry))
        if checks and entry.confirmed and entry.load < usable:
            if self.delays_starts:
                started = entry._replace(n_dispatched=entry.n_dispatched + 1)
            else:
                started = entry._replace(n_running=entry.n_running + 1)
            yield f"{who} dispatches", put(world, i, started)
        if entry.n_dispatched:
            started = entry._replace(
                n_dispatched=entry.n_dispatched - 1, n_running=entry.n_running + 1
            )
            yield f"a task of {who} starts", put(world, i, started)
        if entry.n_running:
            ended = entry._replace(n_running=entry.n_running - 1)
            yield f"a task of {who} ends", put(world, i, ended)

    def _lease(self, world: World, i: int, entry: Entry) -> Iterator[Step]:
        who = entry.holder
        if entry.lease == "valid" and world.n_lapses:
            lapsed = entry._replace(lease="lapsed")
            yield (
                f"{who} pauses past its lease",
                put(world, i, lapsed)._replace(n_lapses=world.n_lapses - 1),
            )
        if entry.lease == "valid" and world.n_restarts:
            yield f"{who} restarts", self._restart(world, i, entry)
        if entry.lease in ("lapsed", "dead") and who not in world.proven:
            yield f"{who} is proven gone", self._prove(world, i, entry)
        if entry.lease == "lapsed":
            confirmed = not self.guarded("read after a lapse")
            newest = self.guarded("newest configuration after a lapse")
            view = 0 if newest else entry.view
            back = entry._replace(lease="valid", confirmed=confirmed, view=view)
            yield f"{who} resumes", put(world, i, back)

    def _prove(self, world: World, i: int, entry: Entry) -> World:
        """Pass the grace time, after which deadlines and task leases are over."""
        if self.guarded("start deadline"):
            entry = entry._replace(n_dispatched=0)
        if self.guarded("renew tasks only under a lease"):
            entry = entry._replace(n_running=0)
        proven = tuple(sorted({*world.proven, entry.holder}))
        return put(world, i, entry)._replace(proven=proven)

    def _restart(self, world: World, i: int, entry: Entry) -> World:
        fresh = Entry(entry.holder + "'", entry.data_centre)
        if not self.guarded("new incarnation starts empty"):
            fresh = fresh._replace(row=entry.row)
        world = put(world, i, entry._replace(lease="dead", view=0))
        return world._replace(
            entries=(*world.entries, fresh), n_restarts=world.n_restarts - 1
        )

    def _views(self, world: World, i: int, entry: Entry) -> Iterator[Step]:
        who = entry.holder
        if entry.view:
            seen = entry._replace(view=entry.view - 1)
            yield f"{who} sees the configuration", put(world, i, seen)
        share = documents.share_of(world.fleet, entry.data_centre)
        if share != entry.share:
            yield f"{who} reads the shares", put(world, i, entry._replace(share=share))
        if entry.write is None:
            yield f"{who} reads its rows", put(world, i, self._read(world, entry))

    def _read(self, world: World, entry: Entry) -> Entry:
        rows = dict(world.rows)[entry.data_centre]
        pending = tuple(
            write.row
            for holder, write in world.late
            if holder == entry.holder and write.row is not None
        )
        lost = pending if self.guarded("count a lost write until it is over") else ()
        row = documents.row_of(rows, entry.holder)
        gone = entry.holder in world.proven and row.n
        confirmed = (
            entry.confirmed or not gone or not self.guarded("renew after a lapse")
        )
        return entry._replace(row=row, cap=rows.cap, lost=lost, confirmed=confirmed)

    def _settle(
        self, world: World, i: int, entry: Entry, write: Write
    ) -> Iterator[Step]:
        who = entry.holder
        if write.landed is None:
            yield f"the write of {who} lands", land(world, i, write)
        elif entry.lease == "valid":
            answered = entry._replace(write=None)
            if write.landed and write.key != FLEET and write.row is not None:
                rows = cast(Rows, write.document)
                answered = answered._replace(row=write.row, cap=rows.cap)
                if write.renews:
                    answered = answered._replace(confirmed=True)
            elif write.landed:
                share = documents.share_of(
                    cast(Fleet, write.document), entry.data_centre
                )
                answered = answered._replace(share=share)
            else:
                answered = self._read(world, answered)
            yield f"{who} hears of its write", put(world, i, answered)
        if world.n_lost:
            row = (write.row,) if write.row is not None else ()
            unsure = entry._replace(write=None, lost=(*entry.lost, *row))
            late = world.late
            if write.landed is None:
                late = tuple(sorted((*late, (who, write)), key=repr))
            yield (
                f"the answer to {who} is lost",
                put(world, i, unsure)._replace(late=late, n_lost=world.n_lost - 1),
            )

    def _writes(self, world: World, i: int, entry: Entry) -> Iterator[Step]:
        rows = dict(world.rows)[entry.data_centre]
        limit = self._limit(world, entry)
        for label, key, after in (
            *self._row_writes(world, entry, rows, limit),
            *(self._cap_writes(entry, rows, limit) if self.moves_caps else ()),
            *(self._share_writes(world, entry, rows, limit) if self.moves_caps else ()),
        ):
            before = world.fleet if key == FLEET else rows
            if after == before:
                continue
            renews = label == "renews its row"
            row = None
            if key != FLEET:
                row = documents.row_of(cast(Rows, after), entry.holder)
            write = Write(key, after, row, renews=renews)
            sent = put(world, i, entry._replace(write=write))
            if label == "raises the share":
                sent = sent._replace(n_raises=world.n_raises - 1)
            yield f"{entry.holder} {label}", sent

    def _row_writes(
        self, world: World, entry: Entry, rows: Rows, limit: int
    ) -> Iterator[tuple[str, str, Rows]]:
        key, who = entry.data_centre, entry.holder
        if not entry.confirmed:
            if dict(rows.rows).get(who) is not None:
                yield "renews its row", key, documents.renew(rows, who)
            return
        counted = self.guarded("keep a row above the running tasks")
        n_kept = entry.load if counted else 0
        if self.guarded("take only what is free"):
            yield "takes", key, documents.take_unit(rows, who, limit, n_kept)
        else:
            grown = documents.row_of(rows, who)._replace(
                n=documents.row_of(rows, who).usable(limit) + 1,
                basis=limit,
            )
            if grown.n <= limit:
                after = {**dict(rows.rows), who: grown}
                yield "takes", key, Rows(rows.cap, tuple(sorted(after.items())))
        if documents.row_of(rows, who).n:
            yield "returns", key, documents.return_unit(rows, who, limit, n_kept)
        for holder, _ in rows.rows:
            other = next(e for e in world.entries if e.holder == holder)
            proven = holder in world.proven
            if not self.guarded("reclaim on proof"):
                proven = other.lease in ("lapsed", "dead")
            if proven and holder != who:
                yield f"reclaims {holder}", key, documents.reclaim(rows, holder)

    def _cap_writes(
        self, entry: Entry, rows: Rows, limit: int
    ) -> Iterator[tuple[str, str, Rows]]:
        if not entry.confirmed:
            return
        key, share = entry.data_centre, entry.share
        if not self.guarded("use a raise once"):
            share = share._replace(generation=max(99, rows.cap.generation + 1))
            after = documents.raise_cap(rows, share)
            cap = after.cap._replace(generation=entry.share.generation)
            yield "raises the cap", key, after._replace(cap=cap)
        else:
            yield "raises the cap", key, documents.raise_cap(rows, share)
        if not self.guarded("raise the share before the cap"):
            higher = Cell(min(limit, rows.cap.usable(limit) + 1), limit, generation=9)
            if rows.cap.generation < 9:
                yield "raises the cap early", key, documents.raise_cap(rows, higher)
        generation = entry.share.generation
        yield "lowers the cap", key, documents.lower_cap(rows, limit, generation)

    def _share_writes(
        self, world: World, entry: Entry, rows: Rows, limit: int
    ) -> Iterator[tuple[str, str, Fleet]]:
        if not entry.confirmed:
            return
        if world.n_raises:
            raised = documents.raise_share(world.fleet, entry.data_centre, limit)
            yield "raises the share", FLEET, raised
        cap = entry.cap
        if not self.guarded("lower the cap before the share"):
            generation = max(cap.generation, entry.share.generation)
            cap = Cell(max(0, cap.n - 1), cap.basis, generation=generation)
        lowered = documents.lower_share(world.fleet, entry.data_centre, cap)
        yield "lowers the share", FLEET, lowered
