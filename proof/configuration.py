"""Specification of the configuration view."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, NamedTuple, cast

from proof.checker import Specification

__all__ = ["ConfigurationView"]


class Root(NamedTuple):
    """The configuration root: revision, author token and the changes it holds."""

    revision: int = 0
    author: str = ""
    changes: tuple[str, ...] = ()


class Operator(NamedTuple):
    """A change on its way: `root` is the write that was sent."""

    name: str
    stage: str = "new"
    root: Root = Root()
    told: str = ""


class World(NamedTuple):
    """Store, views, relayed roots under way and operators."""

    stored: Root
    views: tuple[Root, ...]
    highest: tuple[int, ...]
    relayed: tuple[Root, ...]
    operators: tuple[Operator, ...]
    history: tuple[Root, ...]
    in_force: bool = False
    n_lost: int = 1
    n_restarts: int = 1


Step = tuple[str, World]
N_ENTRIES = 2


class ConfigurationView(Specification):
    """Two operators race while two entries follow the root."""

    name = "configuration view"
    bounds = "2 entries, 2 operators, 2 revisions, 1 lost write, 1 restart"
    invariants = (
        "I12: an accepted configuration never reverts",
        "I12: what was reported in force is in force everywhere",
        "a change is reported accepted only when it is stored, and once",
    )
    guards: ClassVar[dict[str, str]] = {
        "ignore an older root": "a stale relay that reverts the view",
        "write by compare-and-swap": "an operator that overwrites the other",
        "re-read a lost write": "a change that is applied twice or denied",
        "apply the change again to the new root": "a retry that drops the other change",
        "in force after every acknowledgement": "a report before all entries follow",
        "a restarted entry takes the newest root": "a start from a stale peer",
    }

    def initial(self) -> Iterator[World]:
        """Return the state in which both operators know the stored root."""
        root = Root()
        operators = (Operator("p"), Operator("q"))
        yield World(
            root, (root,) * N_ENTRIES, (0,) * N_ENTRIES, (root,), operators, (root,)
        )

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        revisions = [view.revision for view in world.views]
        if any(r < h for r, h in zip(revisions, world.highest, strict=True)):
            return self.invariants[0]
        for before, after in zip(world.history, world.history[1:], strict=False):
            if not set(before.changes) <= set(after.changes):
                return self.invariants[0]
        if world.in_force and world.views != (world.stored,) * N_ENTRIES:
            return self.invariants[1]
        for operator in world.operators:
            n = world.stored.changes.count(operator.name)
            accepted = operator.told == "accepted"
            denied = operator.told == "conflict"
            if n > 1 or (accepted and n == 0) or (denied and n > 0):
                return self.invariants[2]
        return None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        for i, operator in enumerate(world.operators):
            yield from self._operate(world, i, operator)
        for i in range(N_ENTRIES):
            if world.views[i] != world.stored:
                yield f"entry {i} reads the root", self._see(world, i, world.stored)
            for root in world.relayed:
                if root != world.views[i]:
                    yield f"entry {i} hears of {root}", self._see(world, i, root)
            yield from self._restarts(world, i)
        acknowledged = world.views == (world.stored,) * N_ENTRIES
        if not self.guarded("in force after every acknowledgement"):
            acknowledged = world.stored in world.views
        if acknowledged and not world.in_force and world.stored.revision:
            yield "reported in force", world._replace(in_force=True)

    def _see(self, world: World, i: int, root: Root) -> World:
        newer = root.revision > world.views[i].revision
        if not newer and self.guarded("ignore an older root"):
            return world
        views = (*world.views[:i], root, *world.views[i + 1 :])
        top = max(world.highest[i], root.revision)
        highest = (*world.highest[:i], top, *world.highest[i + 1 :])
        relayed = tuple(sorted({*world.relayed, root}))
        return world._replace(views=views, highest=highest, relayed=relayed)

    def _restarts(self, world: World, i: int) -> Iterator[Step]:
        if not world.n_restarts:
            return
        if self.guarded("a restarted entry takes the newest root"):
            others = [view for j, view in enumerate(world.views) if j != i]
            sources: tuple[Root, ...] = (world.stored, max(others))
        else:
            sources = world.relayed
        for root in sources:
            views = (*world.views[:i], root, *world.views[i + 1 :])
            highest = (*world.highest[:i], root.revision, *world.highest[i + 1 :])
            after = world._replace(
                views=views, highest=highest, n_restarts=world.n_restarts - 1
            )
            yield f"entry {i} restarts with {root}", after

    def _operate(self, world: World, i: int, operator: Operator) -> Iterator[Step]:
        who = operator.name
        if operator.stage == "new":
            base = world.stored
            root = Root(base.revision + 1, who, (*base.changes, who))
            sent = operator._replace(stage="sent", root=root)
            yield f"{who} sends its change", _put(world, i, sent)
        elif operator.stage in ("sent", "unsure"):
            yield f"the write of {who} lands", self._land(world, i, operator)
            if operator.stage == "sent" and world.n_lost:
                lost = _put(world, i, operator._replace(stage="unsure"))
                yield f"{who} hears nothing", lost._replace(n_lost=world.n_lost - 1)
        elif operator.stage in ("stored", "refused"):
            yield f"{who} is told", _put(world, i, self._tell(world, operator))
            if world.n_lost:
                lost = _put(world, i, operator._replace(stage="landed"))
                yield f"{who} hears nothing", lost._replace(n_lost=world.n_lost - 1)
        if operator.stage in ("unsure", "landed"):
            yield from self._resolve(world, i, operator)

    def _tell(self, world: World, operator: Operator) -> Operator:
        if operator.stage == "stored":
            return operator._replace(stage="done", told="accepted")
        if self.guarded("apply the change again to the new root"):
            return operator._replace(stage="new")
        root = operator.root._replace(revision=world.stored.revision + 1)
        return operator._replace(stage="sent", root=root)

    def _resolve(self, world: World, i: int, operator: Operator) -> Iterator[Step]:
        """Decide by the author tokens of the stored root and its predecessors."""
        moved = world.stored.revision >= operator.root.revision
        if not self.guarded("re-read a lost write"):
            again = operator._replace(stage="new")
            yield f"{operator.name} tries again", _put(world, i, again)
        elif operator.name in world.stored.changes:
            done = operator._replace(stage="done", told="accepted")
            yield f"{operator.name} finds its token", _put(world, i, done)
        elif moved:
            again = operator._replace(stage="new")
            yield f"{operator.name} finds another root", _put(world, i, again)

    def _land(self, world: World, i: int, operator: Operator) -> World:
        free = world.stored.revision == operator.root.revision - 1
        stored = free or not self.guarded("write by compare-and-swap")
        stage = "landed" if operator.stage == "unsure" else "refused"
        if stored:
            history = (*world.history, operator.root)
            relayed = tuple(sorted({*world.relayed, operator.root}))
            world = world._replace(
                stored=operator.root, history=history, relayed=relayed, in_force=False
            )
            stage = "landed" if operator.stage == "unsure" else "stored"
        return _put(world, i, operator._replace(stage=stage))


def _put(world: World, i: int, operator: Operator) -> World:
    before = world.operators
    return world._replace(operators=(*before[:i], operator, *before[i + 1 :]))
