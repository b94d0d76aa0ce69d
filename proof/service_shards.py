"""Specification of the shards of services whose queues come and go."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, NamedTuple, cast

from proof.checker import Specification

__all__ = ["ServiceShards"]


class Key(NamedTuple):
    """The key of the shard: its revision and value, empty for no key."""

    revision: int = 0
    value: str = ""


class Closer(NamedTuple):
    """An owner that gives up; `closing` is the key that it wrote before its look."""

    stage: str
    closing: Key


class Writer(NamedTuple):
    """An instance that writes a job itself; `seen` is the key in its view."""

    stage: str = "new"
    seen: Key = Key()


class World(NamedTuple):
    """Store, instances and what may still happen."""

    key: Key = Key()
    n_jobs: int = 0
    is_used: bool = True
    has_owner: bool = False
    closer: Closer | None = None
    writer: Writer = Writer()
    revision: int = 0
    n_submissions: int = 1
    n_route_changes: int = 2
    n_ends: int = 2
    n_closings: int = 2


Step = tuple[str, World]


class ServiceShards(Specification):
    """One service whose queue leaves, its owners, and a writer beside them."""

    name = "service shards"
    bounds = "2 route changes, 2 ends of an owner, 2 removals, 2 jobs, 1 direct write"
    invariants = ("I: a service with an unfinished job is offered for election",)
    guards: ClassVar[dict[str, str]] = {
        "write the key with a claim": "an owner that ends after its route has left",
        "resign before the look": "a job that the owner accepts after its look",
        "check the key with a job": "a job written after the look for jobs",
        "set a key that has changed": "a job written after the key was removed",
        "set the key of a closing shard": "a job written after the look for jobs",
        "change the key before the look": "a check that passes after the look",
        "remove only an unchanged key": "a key set by a job that is removed",
        "look for jobs": "a job that was written before the key was changed",
    }

    def initial(self) -> Iterator[World]:
        """Return the state in which a queue uses a service without an owner."""
        yield World()

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        is_offered = world.is_used or world.has_owner or world.key.value
        return self.invariants[0] if world.n_jobs and not is_offered else None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        if world.n_route_changes:
            label = "the queue leaves" if world.is_used else "the queue returns"
            yield (
                label,
                world._replace(
                    is_used=not world.is_used,
                    n_route_changes=world.n_route_changes - 1,
                ),
            )
        if world.has_owner:
            yield from self._own(world)
        elif world.is_used or world.key.value:
            yield "an instance claims the shard", self._claim(world)
        if world.closer is not None:
            yield from self._close(world, world.closer)
        yield from self._write(world, world.writer)

    def _claim(self, world: World) -> World:
        world = world._replace(has_owner=True)
        if self.guarded("write the key with a claim"):
            return _set_key(world, "open")
        return world

    def _own(self, world: World) -> Iterator[Step]:
        if world.n_ends:
            ended = world._replace(has_owner=False, n_ends=world.n_ends - 1)
            yield "the owner ends", ended
        if world.n_submissions:
            yield (
                "the owner accepts a job",
                world._replace(
                    n_jobs=world.n_jobs + 1, n_submissions=world.n_submissions - 1
                ),
            )
        if world.n_jobs:
            yield "a job ends", world._replace(n_jobs=world.n_jobs - 1)
        if world.n_closings and not world.is_used and world.closer is None:
            # The owner may not have seen a job that the writer has just stored.
            yield "the owner resigns and closes the shard", self._resign(world)

    def _resign(self, world: World) -> World:
        world = world._replace(n_closings=world.n_closings - 1)
        if self.guarded("change the key before the look"):
            world = _set_key(world, "closing")
        return world._replace(
            has_owner=not self.guarded("resign before the look"),
            closer=Closer("closing", world.key),
        )

    def _close(self, world: World, closer: Closer) -> Iterator[Step]:
        yield "the one that closes the shard ends", world._replace(closer=None)
        if closer.stage == "closing":
            is_empty = not world.n_jobs or not self.guarded("look for jobs")
            after = closer._replace(stage="empty") if is_empty else None
            yield "it looks for jobs", world._replace(closer=after)
            return
        after = world._replace(closer=None)
        is_unchanged = world.key == closer.closing
        if is_unchanged or not self.guarded("remove only an unchanged key"):
            after = _set_key(after, "")
            if not self.guarded("resign before the look"):
                after = after._replace(has_owner=False)
        yield "it removes the key", after

    def _write(self, world: World, writer: Writer) -> Iterator[Step]:
        if writer.stage == "new":
            seen = Writer("sent", world.key)
            yield "a writer reads its view", world._replace(writer=seen)
        if writer.stage != "sent":
            return
        must_set = not writer.seen.value or (
            writer.seen.value == "closing"
            and self.guarded("set the key of a closing shard")
        )
        if must_set:
            yield "the writer sets the key with its job", _store(world, sets=True)
        elif not self.guarded("check the key with a job"):
            yield "the writer stores its job", _store(world, sets=False)
        elif world.key == writer.seen:
            yield "the writer checks the key with its job", _store(world, sets=False)
        else:
            sets = self.guarded("set a key that has changed")
            yield "the writer stores its job after a conflict", _store(world, sets)


def _set_key(world: World, value: str) -> World:
    revision = world.revision + 1
    return world._replace(revision=revision, key=Key(revision, value))


def _store(world: World, sets: bool) -> World:
    stored = world._replace(n_jobs=world.n_jobs + 1, writer=Writer("done"))
    return _set_key(stored, "open") if sets else stored
