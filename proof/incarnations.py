"""Specification of one owner's view of a worker that restarts under its id."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, NamedTuple, cast

from proof.checker import Specification

__all__ = ["Incarnations"]

N_WORKERS = 2
N_STARTS = 3
N_RESTARTS = 2


class Start(NamedTuple):
    """A start on its way; it names the worker, not its incarnation."""

    worker: int
    run: int


class Confirmation(NamedTuple):
    """The answer of an incarnation to a start, on its way to the owner."""

    worker: int
    incarnation: int
    run: int


class Poll(NamedTuple):
    """A poll or its answer on the way.

    `polled` is the incarnation that the owner believed in as it sent the poll, `known`
    the run of which it then knew that a list had to show it. `incarnation` and `run`
    are what the worker answered; incarnation 0 stands for no answer yet.
    """

    worker: int
    polled: int
    known: int
    incarnation: int = 0
    run: int = 0


class World(NamedTuple):
    """The owner's belief, the workers, and the messages between them.

    `incarnations` and `runs` are those of the workers. `believed` are the incarnations
    that the owner knows of, `run` is the run that it waits for at `worker`, 0 for none.
    """

    incarnations: tuple[int, ...] = (1,) * N_WORKERS
    runs: tuple[int, ...] = (0,) * N_WORKERS
    believed: tuple[int, ...] = (1,) * N_WORKERS
    worker: int = -1
    run: int = 0
    is_confirmed: bool = False
    is_in_next_incarnation: bool = False
    starts: frozenset[Start] = frozenset()
    confirmations: frozenset[Confirmation] = frozenset()
    polls: frozenset[Poll] = frozenset()
    n_starts: int = N_STARTS
    n_restarts: int = N_RESTARTS


Step = tuple[str, World]


class Incarnations(Specification):
    """One task and one owner; the first worker restarts under its id."""

    name = "incarnations"
    bounds = f"{N_WORKERS} workers, {N_STARTS} starts, {N_RESTARTS} restarts"
    invariants = ("a task never runs on two workers at once",)
    guards: ClassVar[dict[str, str]] = {
        "an older incarnation changes nothing": "a late answer that ends this one",
        "keep starts that may reach the next one": "a second run beside a late start",
        "judge a confirmation by its incarnation": "a run of the next one that is lost",
        "a list is asked for after the confirmation": "a list made before the start",
        "wait for the end of the start window": "a start that arrives after a list",
    }

    def initial(self) -> Iterator[World]:
        """Return the state before the first start."""
        yield World()

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        return self.invariants[0] if sum(run > 0 for run in world.runs) > 1 else None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        if not world.run and world.n_starts:
            for n in range(N_WORKERS):
                yield f"start on {n}", _send(world, n)
        yield from _deliver(world)
        yield from self._confirm(world)
        yield from self._poll(world)
        if world.n_restarts:
            yield "worker 0 restarts", _restart(world)
        if world.incarnations[0] > world.believed[0]:
            yield (
                "the next incarnation is listed",
                self._begin_incarnation(world, 0, world.incarnations[0]),
            )

    def _confirm(self, world: World) -> Iterator[Step]:
        for answer in world.confirmations:
            after = world._replace(confirmations=world.confirmations - {answer})
            if answer.run == world.run:
                is_next = answer.incarnation > world.believed[answer.worker]
                is_next &= self.guarded("judge a confirmation by its incarnation")
                after = after._replace(
                    is_confirmed=True, is_in_next_incarnation=is_next
                )
            yield f"run {answer.run} is confirmed", after

    def _poll(self, world: World) -> Iterator[Step]:
        busy = {poll.worker for poll in world.polls if not poll.incarnation}
        for n in set(range(N_WORKERS)) - busy:
            if len(world.polls) < N_WORKERS:
                poll = Poll(n, world.believed[n], self._provable(world))
                yield f"poll {n}", world._replace(polls=world.polls | {poll})
        for poll in world.polls:
            others = world.polls - {poll}
            if not poll.incarnation:
                n = poll.worker
                answered = poll._replace(
                    incarnation=world.incarnations[n], run=world.runs[n]
                )
                yield f"{n} lists its runs", world._replace(polls=others | {answered})
                yield f"the poll of {n} is lost", world._replace(polls=others)
                continue
            after = self._listed(world._replace(polls=others), poll)
            yield f"the list of {poll.worker} arrives", after

    def _provable(self, world: World) -> int:
        """Return the run that a list asked for now has to show if it exists."""
        if world.is_confirmed:
            return world.run
        is_open = any(start.run == world.run for start in world.starts)
        if is_open and self.guarded("wait for the end of the start window"):
            return 0
        return world.run

    def _listed(self, world: World, poll: Poll) -> World:
        n, believed = poll.worker, world.believed[poll.worker]
        if poll.incarnation < believed:
            if (
                self.guarded("an older incarnation changes nothing")
                or world.worker != n
            ):
                return world
            return _free(world)
        if poll.polled != believed:
            return world
        if poll.incarnation > believed:
            return self._begin_incarnation(world, n, poll.incarnation, poll.run)
        if world.worker != n:
            return world
        if poll.run == world.run:
            return world._replace(is_confirmed=True, is_in_next_incarnation=False)
        is_proof = poll.known == world.run
        if not self.guarded("a list is asked for after the confirmation"):
            is_proof = is_proof or world.is_confirmed
        return _free(world) if is_proof else world

    def _begin_incarnation(
        self, world: World, n: int, incarnation: int, listed: int = 0
    ) -> World:
        """Learn of the next incarnation and of the run that it lists, if any."""
        believed = tuple(
            incarnation if k == n else other for k, other in enumerate(world.believed)
        )
        after = world._replace(believed=believed)
        if world.worker != n:
            return after
        if listed == world.run:
            return after._replace(is_confirmed=True, is_in_next_incarnation=False)
        may_arrive = not world.is_confirmed or world.is_in_next_incarnation
        if may_arrive and self.guarded("keep starts that may reach the next one"):
            return after
        return _free(after)


def _send(world: World, n: int) -> World:
    run = N_STARTS - world.n_starts + 1
    return world._replace(
        worker=n,
        run=run,
        is_confirmed=False,
        is_in_next_incarnation=False,
        starts=world.starts | {Start(n, run)},
        n_starts=world.n_starts - 1,
    )


def _deliver(world: World) -> Iterator[Step]:
    for start in world.starts:
        after = world._replace(starts=world.starts - {start})
        yield f"run {start.run} comes too late", after
        n = start.worker
        if world.runs[n]:
            continue
        runs = tuple(start.run if k == n else run for k, run in enumerate(world.runs))
        answer = Confirmation(n, world.incarnations[n], start.run)
        yield (
            f"{n} starts run {start.run}",
            after._replace(runs=runs, confirmations=world.confirmations | {answer}),
        )


def _restart(world: World) -> World:
    incarnations = (world.incarnations[0] + 1, *world.incarnations[1:])
    return world._replace(
        incarnations=incarnations,
        runs=(0, *world.runs[1:]),
        n_restarts=world.n_restarts - 1,
    )


def _free(world: World) -> World:
    """Let the task wait again."""
    return world._replace(
        worker=-1, run=0, is_confirmed=False, is_in_next_incarnation=False
    )
