"""Specification of grants under availability budgets."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, NamedTuple, cast

from proof.checker import Specification

__all__ = ["WaveGrants"]

INSTANCES = ("i", "j")


class Grants(NamedTuple):
    """The grants document: fencing epoch of its writer and instances taken out."""

    epoch: int
    granted: tuple[str, ...] = ()


class Runner(NamedTuple):
    """A wave runner; `sent` is its write under way."""

    epoch: int
    sent: Grants | None = None
    expected: Grants | None = None
    unsure: bool = False
    failed: tuple[str, ...] = ()
    acts_on: str = ""


class World(NamedTuple):
    """Grants, runners and instances that do not serve."""

    grants: Grants
    runners: tuple[Runner, ...]
    out: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()
    n_failures: int = 1
    n_lost: int = 1
    done: tuple[str, ...] = ()
    overspent: bool = False
    top_epoch: int = 1


Step = tuple[str, World]


class WaveGrants(Specification):
    """Two runners of different epochs roll two instances, a budget of one out."""

    name = "wave grants"
    bounds = "2 runners, 2 instances, budget 1, 1 unplanned failure, 1 lost write"
    invariants = (
        "I1: every availability budget holds for planned disruptions",
        "an instance goes out only under a stored grant",
        "a runner that was replaced changes no grant",
    )
    guards: ClassVar[dict[str, str]] = {
        "count grants in the document": "two grants under a budget of one",
        "count unplanned failures first": "a grant while a failure uses the budget",
        "write by compare-and-swap": "grants of two runners that overwrite each other",
        "fencing epoch": "a grant by a runner that was replaced",
        "act only on a stored grant": "an instance taken out under a lost grant",
        "return a grant only when it serves": "a grant returned while still out",
        "steps are idempotent": "a late step that repeats one that is done",
    }

    def initial(self) -> Iterator[World]:
        """Return the state in which the newer runner has not written yet."""
        yield World(Grants(1), (Runner(1), Runner(2)))

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        if len(world.out) > 1 or world.overspent:
            return self.invariants[0]
        if not set(world.out) <= set(world.grants.granted):
            return self.invariants[1]
        if world.grants.epoch < world.top_epoch:
            return self.invariants[2]
        return None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        for i, runner in enumerate(world.runners):
            yield from self._run(world, i, runner)
        if world.n_failures:
            for name in INSTANCES:
                if name not in world.out:
                    failed = world._replace(
                        failed=(name,), n_failures=world.n_failures - 1
                    )
                    yield f"{name} fails", failed
        for name in world.failed:
            yield f"{name} recovers", world._replace(failed=())
        for name in world.out:
            out = tuple(other for other in world.out if other != name)
            done = tuple(sorted({*world.done, name}))
            yield f"{name} serves again", world._replace(out=out, done=done)

    def _run(self, world: World, i: int, runner: Runner) -> Iterator[Step]:
        who = f"runner {runner.epoch}"
        if runner.failed != world.failed:
            seen = runner._replace(failed=world.failed)
            yield f"{who} sees failures", _put(world, i, seen)
        if runner.acts_on:
            yield f"the step of {who} arrives", self._arrive(world, i, runner)
        if runner.sent is not None:
            yield f"the write of {who} lands", self._land(world, i, runner)
            if world.n_lost and not runner.unsure:
                lost = _put(world, i, runner._replace(unsure=True))
                yield f"{who} hears nothing", lost._replace(n_lost=world.n_lost - 1)
            if runner.unsure and not self.guarded("act only on a stored grant"):
                yield from self._decide(world, i, runner.sent)
            return
        if world.grants.epoch > runner.epoch and self.guarded("fencing epoch"):
            return
        yield from self._write(world, i, runner)
        yield from self._decide(world, i, world.grants)

    def _write(self, world: World, i: int, runner: Runner) -> Iterator[Step]:
        grants = world.grants
        who = f"runner {runner.epoch}"
        epoch = runner.epoch
        if grants.epoch < epoch:
            yield (
                f"{who} takes over",
                self._send(world, i, grants._replace(epoch=epoch)),
            )
        spent = (
            len(grants.granted) if self.guarded("count grants in the document") else 0
        )
        if self.guarded("count unplanned failures first"):
            spent += len(set(runner.failed) - set(grants.granted))
        for name in INSTANCES:
            if spent < 1 and name not in (*grants.granted, *runner.failed):
                granted = tuple(sorted((*grants.granted, name)))
                after = self._send(world, i, Grants(epoch, granted))
                if len(runner.failed) and runner.failed == world.failed:
                    after = after._replace(overspent=True)
                yield f"{who} grants {name}", after
        for name in grants.granted:
            serves = name in world.done and name not in world.out
            if serves or not self.guarded("return a grant only when it serves"):
                granted = tuple(other for other in grants.granted if other != name)
                yield (
                    f"{who} returns {name}",
                    self._send(world, i, Grants(epoch, granted)),
                )

    def _decide(self, world: World, i: int, grants: Grants) -> Iterator[Step]:
        """Send the step of a granted instance; it may arrive late."""
        runner = world.runners[i]
        for name in grants.granted:
            if not runner.acts_on and name not in (*world.out, *world.done):
                decided = _put(world, i, runner._replace(acts_on=name))
                yield f"runner {runner.epoch} sends the step of {name}", decided

    def _arrive(self, world: World, i: int, runner: Runner) -> World:
        name = runner.acts_on
        world = _put(world, i, runner._replace(acts_on=""))
        done = name in world.done and self.guarded("steps are idempotent")
        if name in world.out or done:
            return world
        return world._replace(out=tuple(sorted((*world.out, name))))

    def _send(self, world: World, i: int, grants: Grants) -> World:
        sent = world.runners[i]._replace(sent=grants, expected=world.grants)
        return _put(world, i, sent)

    def _land(self, world: World, i: int, runner: Runner) -> World:
        matches = world.grants == runner.expected
        if matches or not self.guarded("write by compare-and-swap"):
            grants = cast(Grants, runner.sent)
            top_epoch = max(world.top_epoch, grants.epoch)
            world = world._replace(grants=grants, top_epoch=top_epoch)
        cleared = runner._replace(sent=None, expected=None, unsure=False)
        return _put(world, i, cleared)


def _put(world: World, i: int, runner: Runner) -> World:
    before = world.runners
    return world._replace(runners=(*before[:i], runner, *before[i + 1 :]))
