"""Specification of the ends that a worker may drop, and of its restarts."""

from collections.abc import Hashable, Iterator
from enum import Enum, auto
from typing import ClassVar, NamedTuple, cast

from proof.checker import Specification

__all__ = ["Acknowledgements"]

N_STARTS = 2
N_RESTARTS = 2


class RunView(Enum):
    """What the owner knows of its run."""

    NONE = auto()
    UNCONFIRMED = auto()
    CONFIRMED = auto()
    IN_NEXT_INCARNATION = auto()


class RunState(Enum):
    """State of the run at the worker; an ended one is listed until it is dropped."""

    NONE = auto()
    RUNNING = auto()
    ENDED = auto()


class Confirmation(NamedTuple):
    """The answer to a start that was sent to one incarnation, perhaps by another."""

    sent_to: int
    incarnation: int


class Poll(NamedTuple):
    """A poll or its answer on the way; incarnation 0 stands for no answer yet.

    `number_of` is the incarnation whose end it acknowledges, 0 for none. `n_starts` is
    how many starts were left as it was sent, and `is_provable` tells whether a list has
    to show the run if there is one.
    """

    polled: int
    number_of: int
    n_starts: int
    is_provable: bool
    incarnation: int = 0
    run: int = 0
    state: RunState = RunState.NONE


class World(NamedTuple):
    """The worker, the owner's view of it, and the messages between them.

    `number_of` is the incarnation whose last end the owner has to acknowledge, 0 for
    none; at first it is the end of an earlier run. `is_lost` tells whether an end was
    dropped that no list had shown.
    """

    incarnation: int = 1
    run: int = 0
    state: RunState = RunState.NONE
    believed: int = 1
    view: RunView = RunView.NONE
    number_of: int = 1
    is_silent: bool = False
    is_start_open: bool = False
    confirmation: Confirmation | None = None
    poll: Poll | None = None
    n_starts: int = N_STARTS
    n_restarts: int = N_RESTARTS
    is_lost: bool = False


Step = tuple[str, World]


class Acknowledgements(Specification):
    """One worker that restarts under its id; the numbers of its ends begin anew.

    A run takes longer than a poll that was sent before its start is on the way.
    """

    name = "acknowledgements"
    bounds = f"1 worker, {N_STARTS} starts, {N_RESTARTS} restarts, one poll at a time"
    invariants = ("a worker never drops an end that no list has shown",)
    guards: ClassVar[dict[str, str]] = {
        "withhold while a start has no answer": "a start that reached the next one",
        "withhold while the next one has the run": "a late answer that ends silence",
        "judge a confirmation by its incarnation": "a run taken for one of this one",
        "a number counts for one incarnation": "the number of the incarnation before",
    }

    def initial(self) -> Iterator[World]:
        """Return the state before the first start."""
        yield World()

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        return self.invariants[0] if cast(World, state).is_lost else None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        if world.view is RunView.NONE and world.n_starts:
            yield (
                "a start is sent",
                world._replace(
                    view=RunView.UNCONFIRMED,
                    is_start_open=True,
                    confirmation=None,
                    n_starts=world.n_starts - 1,
                ),
            )
        yield from self._carry_out(world)
        yield from self._poll(world)
        if world.n_restarts:
            yield (
                "the worker restarts",
                world._replace(
                    incarnation=world.incarnation + 1,
                    state=RunState.NONE,
                    n_restarts=world.n_restarts - 1,
                ),
            )
        if world.incarnation > world.believed:
            yield (
                "the next incarnation is listed",
                self._begin_incarnation(world, world.incarnation),
            )

    def _carry_out(self, world: World) -> Iterator[Step]:
        if world.is_start_open:
            after = world._replace(is_start_open=False)
            yield "the start is lost", after
            if world.state is not RunState.RUNNING:
                run = N_STARTS - world.n_starts
                answer = Confirmation(world.believed, world.incarnation)
                started = after._replace(run=run, state=RunState.RUNNING)
                yield "the start is carried out", started._replace(confirmation=answer)
        if world.confirmation is not None:
            yield "the start is confirmed", self._confirmed(world)
        if world.state is RunState.RUNNING:
            poll = world.poll
            if poll and not poll.incarnation and poll.n_starts > world.n_starts:
                poll = None
            yield "the run ends", world._replace(state=RunState.ENDED, poll=poll)

    def _confirmed(self, world: World) -> World:
        answer = cast(Confirmation, world.confirmation)
        after = world._replace(confirmation=None)
        if world.view is not RunView.UNCONFIRMED or answer.sent_to != world.believed:
            return after
        is_next = answer.incarnation > answer.sent_to
        if is_next and self.guarded("judge a confirmation by its incarnation"):
            return after._replace(view=RunView.IN_NEXT_INCARNATION, is_silent=True)
        return after._replace(view=RunView.CONFIRMED)

    def _poll(self, world: World) -> Iterator[Step]:
        poll = world.poll
        if poll is None:
            is_provable = world.view is not RunView.NONE and not world.is_start_open
            sent = Poll(
                world.believed, self._acknowledged(world), world.n_starts, is_provable
            )
            yield "the worker is polled", world._replace(poll=sent)
            return
        yield "the poll fails", world._replace(poll=None, is_silent=True)
        if poll.incarnation:
            yield "the lists arrive", self._listed(world._replace(poll=None), poll)
            return
        state, is_lost = world.state, world.is_lost
        # Ends have higher numbers than those acknowledged in their own incarnation.
        is_other = poll.number_of not in (0, world.incarnation)
        if is_other and state is RunState.ENDED:
            state, is_lost = RunState.NONE, True
        answered = poll._replace(
            incarnation=world.incarnation, run=world.run, state=state
        )
        yield (
            "the worker lists its runs",
            world._replace(poll=answered, state=state, is_lost=is_lost),
        )

    def _acknowledged(self, world: World) -> int:
        is_withheld = world.is_silent
        if world.view is RunView.UNCONFIRMED:
            is_withheld |= self.guarded("withhold while a start has no answer")
        if world.view is RunView.IN_NEXT_INCARNATION:
            is_withheld |= self.guarded("withhold while the next one has the run")
        return 0 if is_withheld else world.number_of

    def _listed(self, world: World, poll: Poll) -> World:
        if poll.polled != world.believed:
            return world
        if poll.incarnation > world.believed:
            world = self._begin_incarnation(world, poll.incarnation)
        after = world._replace(is_silent=False)
        if world.view is RunView.NONE:
            return after
        is_listed = poll.run == N_STARTS - world.n_starts
        if is_listed and poll.state is RunState.RUNNING:
            return after._replace(view=RunView.CONFIRMED)
        if is_listed and poll.state is RunState.ENDED:
            return after._replace(view=RunView.NONE, number_of=poll.incarnation)
        is_proof = poll.is_provable and poll.n_starts == world.n_starts
        is_proof &= world.view is not RunView.IN_NEXT_INCARNATION
        return after._replace(view=RunView.NONE) if is_proof else after

    def _begin_incarnation(self, world: World, incarnation: int) -> World:
        """Learn of the next incarnation; runs that began before have ended."""
        after = world._replace(believed=incarnation, is_silent=False)
        if self.guarded("a number counts for one incarnation"):
            after = after._replace(number_of=0)
        if world.view is RunView.CONFIRMED:
            return after._replace(view=RunView.NONE)
        return after
