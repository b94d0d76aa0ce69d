"""Specification of claims on idempotency keys."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, NamedTuple, cast

from proof.checker import Specification

__all__ = ["Claims"]


class Claim(NamedTuple):
    """The claim document: its claimant, and whether it was abandoned."""

    claimant: str
    abandoned: bool = False


class Submission(NamedTuple):
    """A submission of the key at one entry instance."""

    entry: str
    stage: str = "new"
    expected: Claim | None = None
    landed: bool | None = None
    answer: str = ""


class Task(NamedTuple):
    """A dispatched task: in the network, started, or refused at its deadline."""

    by: int
    place: str = "network"
    late: bool = False


class World(NamedTuple):
    """Claim, submissions, tasks and what may still go wrong."""

    claim: Claim | None
    submissions: tuple[Submission, ...]
    tasks: tuple[Task, ...] = ()
    alive: tuple[str, ...] = ("a", "b")
    n_started: int = 0
    n_lost: int = 1
    n_restarts: int = 1


Step = tuple[str, World]


class Claims(Specification):
    """Two submissions of one idempotency key at two entry instances."""

    name = "claims"
    bounds = "2 entries, 2 submissions, 1 restart, 1 lost write, 2 tries each"
    invariants = (
        "I9: a non-idempotent request runs at most once",
        "I8: a refusal that says not run is true",
        "I7: an answer is that of a task of this key",
    )
    guards: ClassVar[dict[str, str]] = {
        "claim before dispatch": "two entries that dispatch one key",
        "replace only an abandoned claim": "a rerun of a request that may have run",
        "abandon only before dispatch": "an abandoned claim whose task runs",
        "re-read a lost claim": "not run, said of a claim that took effect",
        "retry only on proof": "a second task while the first may run",
        "only the claimant tells the outcome": "an answer before there is one",
        "start deadline": "a task that starts after a probe did not find it",
        "a new incarnation does not own old claims": "a rerun after a restart",
    }

    def initial(self) -> Iterator[World]:
        """Return the state in which both submissions arrive."""
        yield World(None, (Submission("a"), Submission("b")))

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        if world.n_started > 1:
            return self.invariants[0]
        answers = [submission.answer for submission in world.submissions]
        if "completed" in answers and not world.n_started:
            return self.invariants[2]
        for i, submission in enumerate(world.submissions):
            started = any(t.by == i and t.place == "started" for t in world.tasks)
            if submission.answer == "not run" and started:
                return self.invariants[1]
        return None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        for i, submission in enumerate(world.submissions):
            if submission.landed is None and submission.stage in ("writing", "lost"):
                yield f"write {i} lands", _land(world, i)
            if submission.entry in world.alive:
                yield from self._decide(world, i, submission)
        yield from self._network(world)
        if world.n_restarts:
            for entry in world.alive:
                yield f"{entry} restarts", self._restart(world, entry)

    def _decide(self, world: World, i: int, submission: Submission) -> Iterator[Step]:
        stage = submission.stage
        if stage == "new":
            yield f"{i} reads the claim", self._read(world, i, submission)
            if not self.guarded("claim before dispatch"):
                yield f"{i} dispatches", _dispatch(world, i)
        elif stage == "writing":
            if submission.landed is not None:
                stage = "claimed" if submission.landed else "new"
                after = submission._replace(stage=stage, landed=None)
                yield f"{i} hears of its write", _put(world, i, after)
            if world.n_lost:
                after = submission._replace(stage="lost")
                if submission.landed is not None:
                    after = after._replace(landed=submission.landed)
                lost = _put(world, i, after)._replace(n_lost=world.n_lost - 1)
                yield f"the answer to {i} is lost", lost
        elif stage == "lost":
            yield from self._resolve(world, i, submission)
        elif stage == "asking":
            yield from self._ask(world, i, submission)
        elif stage == "claimed":
            yield f"{i} dispatches", _dispatch(world, i)
            yield f"{i} is refused", self._abandon(world, i)
        elif stage == "dispatched":
            yield from self._follow(world, i, submission)

    def _read(self, world: World, i: int, submission: Submission) -> World:
        """Claim a free or abandoned key; leave a held one to its claimant."""
        claim = world.claim
        free = claim is None or claim.abandoned
        if not self.guarded("replace only an abandoned claim"):
            free = free or (claim is not None and not self._is_live(world, claim))
        if free:
            after = submission._replace(stage="writing", expected=claim)
            return _put(world, i, after)
        if not self.guarded("a new incarnation does not own old claims"):
            claimant = cast(Claim, claim).claimant
            if claimant.rstrip("'0123456789") == submission.entry.rstrip("'"):
                return _put(world, i, submission._replace(stage="claimed"))
        return _put(world, i, submission._replace(stage="asking"))

    def _ask(self, world: World, i: int, submission: Submission) -> Iterator[Step]:
        """Ask the claimant; nobody else knows what became of the request."""
        claim = cast(Claim, world.claim)
        unknown = submission._replace(stage="done", answer="unknown")
        yield f"{i} gets no answer of the claimant", _put(world, i, unknown)
        if claim.abandoned:
            again = submission._replace(stage="new")
            yield f"{i} hears that the claim is abandoned", _put(world, i, again)
        holder = world.submissions[int(claim.claimant.lstrip("ab'"))]
        completed = holder.answer == "completed" and self._is_live(world, claim)
        if completed or not self.guarded("only the claimant tells the outcome"):
            done = submission._replace(stage="done", answer="completed")
            yield f"{i} hears of the answer from the claimant", _put(world, i, done)

    def _is_live(self, world: World, claim: Claim) -> bool:
        return claim.claimant.rstrip("0123456789") in world.alive

    def _resolve(self, world: World, i: int, submission: Submission) -> Iterator[Step]:
        if not self.guarded("re-read a lost claim"):
            yield f"{i} takes its claim as not stored", _dispatch(world, i)
        elif world.claim == Claim(_token(submission, i)):
            after = submission._replace(stage="claimed", landed=None)
            yield f"{i} finds its token", _put(world, i, after)
        elif submission.expected != world.claim or submission.landed is not None:
            after = submission._replace(stage="new", landed=None)
            yield f"{i} finds another claim", _put(world, i, after)

    def _abandon(self, world: World, i: int) -> World:
        submission = world.submissions[i]
        if world.claim == Claim(_token(submission, i)):
            world = world._replace(claim=world.claim._replace(abandoned=True))
        done = submission._replace(stage="done", answer="not run")
        return _put(world, i, done)

    def _follow(self, world: World, i: int, submission: Submission) -> Iterator[Step]:
        tasks = [task for task in world.tasks if task.by == i]
        last = tasks[-1]
        if last.place == "started":
            done = submission._replace(stage="done", answer="completed")
            yield f"{i} hears of the answer", _put(world, i, done)
        over = last.late if self.guarded("retry only on proof") else True
        over = over or last.place == "refused"
        if over and last.place != "started" and len(tasks) < 2:
            yield f"{i} dispatches again", _dispatch(world, i)
        if over and last.place != "started":
            yield f"{i} is not run", self._abandon(world, i)
        if not self.guarded("abandon only before dispatch"):
            yield f"{i} gives up", self._abandon(world, i)

    def _network(self, world: World) -> Iterator[Step]:
        for k, task in enumerate(world.tasks):
            if task.place != "network":
                continue
            if not task.late:
                yield f"the deadline of task {k} passes", _task(world, k, late=True)
            if task.late and self.guarded("start deadline"):
                yield f"task {k} is refused", _task(world, k, place="refused")
            else:
                started = _task(world, k, place="started")
                yield (
                    f"task {k} starts",
                    started._replace(n_started=world.n_started + 1),
                )

    def _restart(self, world: World, entry: str) -> World:
        alive = tuple(name for name in world.alive if name != entry)
        world = world._replace(
            alive=(*alive, entry + "'"), n_restarts=world.n_restarts - 1
        )
        for i, submission in enumerate(world.submissions):
            if submission.entry == entry and submission.stage != "done":
                if submission.stage == "new" or submission.answer:
                    moved = submission._replace(entry=entry + "'")
                    world = _put(world, i, moved)
                    continue
                again = Submission(entry + "'")
                world = world._replace(submissions=(*world.submissions, again))
        return world


def _token(submission: Submission, i: int) -> str:
    return f"{submission.entry}{i}"


def _put(world: World, i: int, submission: Submission) -> World:
    before = world.submissions
    return world._replace(submissions=(*before[:i], submission, *before[i + 1 :]))


def _dispatch(world: World, i: int) -> World:
    after = world.submissions[i]._replace(stage="dispatched", landed=None)
    return _put(world, i, after)._replace(tasks=(*world.tasks, Task(i)))


def _task(world: World, k: int, **changes: object) -> World:
    task = world.tasks[k]._replace(**changes)
    return world._replace(tasks=(*world.tasks[:k], task, *world.tasks[k + 1 :]))


def _land(world: World, i: int) -> World:
    """Apply a write if the claim is still what it expects."""
    submission = world.submissions[i]
    stored = submission.expected == world.claim
    if stored:
        world = world._replace(claim=Claim(_token(submission, i)))
    return _put(world, i, submission._replace(landed=stored))
