"""Specification of the runs of one task under owners that replace each other."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, NamedTuple, cast

from proof.checker import Specification

__all__ = ["Runs"]

N_WORKERS = 2
N_EPOCHS = 3
N_STARTS = 2
# Distance between the run numbers of two owners.
RUNS_PER_EPOCH = 10


class Worker(NamedTuple):
    """A worker: its highest token, what runs there and the end that it lists."""

    token: int = 0
    run: int = 0
    barred: int = 0
    listed_end: int = 0
    is_cut: bool = False
    has_lapsed: bool = False


class Owner(NamedTuple):
    """What one owner knows; `unverified` are workers that may run earlier orders."""

    epoch: int
    task: str = "waiting"
    worker: int = -1
    run: int = 0
    taken: frozenset[int] = frozenset()
    unverified: frozenset[int] = frozenset()
    recorded: frozenset[int] = frozenset()


class Start(NamedTuple):
    """A start on its way; a late one is beyond its deadline."""

    worker: int
    epoch: int
    run: int
    is_late: bool = False


class World(NamedTuple):
    """The store, owners, workers, the network and what may still go wrong."""

    owners: tuple[Owner, ...]
    workers: tuple[Worker, ...] = (Worker(),) * N_WORKERS
    roster: frozenset[int] = frozenset()
    starts: frozenset[Start] = frozenset()
    epoch: int = 1
    is_done_stored: bool = False
    has_ended_done: bool = False
    has_run_again: bool = False
    n_cuts: int = 1
    n_starts: int = N_STARTS


Step = tuple[str, World]


class Runs(Specification):
    """One task, owners that may outlive their tenure, workers that are cut off."""

    name = "runs"
    bounds = "2 workers, 3 owners, 2 starts, 1 cut"
    invariants = (
        "a task never runs on two workers at once",
        "nothing starts after an end as done that a list showed",
    )
    guards: ClassVar[dict[str, str]] = {
        "fencing token": "a start of an earlier owner that arrives late",
        "start within the own lease": "a late start of an earlier owner after a cut",
        "take every recorded worker first": "a second run beside an inherited one",
        "wait for the lease of a cut-off worker": "a run beside one behind a cut",
        "record a worker before its first start": "a run that the successor never sees",
        "stop before repeating a start": "a start without an answer that still arrives",
        "start deadline": "a start that arrives after its worker's lease has ended",
        "store an end before it is forgotten": "a rerun by the next owner",
        "condition writes on the ownership": "progress undone by an earlier owner",
    }

    def initial(self) -> Iterator[World]:
        """Return the state with the first owner."""
        yield World((Owner(1),))

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        if sum(worker.run > 0 for worker in world.workers) > 1:
            return self.invariants[0]
        return self.invariants[1] if world.has_run_again else None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        if world.epoch < N_EPOCHS:
            yield f"owner {world.epoch + 1} takes over", _take_over(world)
        for k, owner in enumerate(world.owners):
            yield from self._save(world, k, owner)
            for n in range(N_WORKERS):
                yield from self._talk(world, k, owner, n)
        yield from self._deliver(world)
        yield from _faults(world)

    def _save(self, world: World, k: int, owner: Owner) -> Iterator[Step]:
        is_owner = owner.epoch == world.epoch
        if not is_owner and self.guarded("condition writes on the ownership"):
            return
        if owner.task == "done":
            saved = owner._replace(task="saved")
            after = _put(world, k, saved)._replace(is_done_stored=True)
            yield f"owner {owner.epoch} stores the end", after
        elif not is_owner and world.is_done_stored and owner.task == "running":
            after = world._replace(is_done_stored=False)
            yield f"owner {owner.epoch} stores old progress", after

    def _talk(self, world: World, k: int, owner: Owner, n: int) -> Iterator[Step]:
        worker = world.workers[n]
        if n in owner.unverified or owner.worker == n:
            is_over = worker.is_cut and worker.has_lapsed
            if worker.is_cut and not self.guarded(
                "wait for the lease of a cut-off worker"
            ):
                is_over = True
            if is_over:
                yield f"owner {owner.epoch} gives worker {n} up", _give_up(world, k, n)
        may_start = n in owner.taken and self._may_start(world, owner, n)
        if may_start and owner.task == "waiting":
            yield f"owner {owner.epoch} starts on {n}", _send(world, k, n)
        if owner.task == "starting" and owner.worker == n:
            yield from self._repeat(world, k, owner, n)
        if worker.is_cut or self._is_fenced(owner.epoch, worker):
            return
        if owner.epoch == world.epoch:
            # What an earlier owner still learns changes nothing that it may do.
            yield f"owner {owner.epoch} holds {n}", self._hold(world, k, n)
        if n not in owner.recorded and owner.epoch == world.epoch:
            recorder = owner._replace(recorded=owner.recorded | {n})
            recorded = _put(world, k, recorder)._replace(roster=world.roster | {n})
            yield f"owner {owner.epoch} records {n}", recorded
        is_stored = owner.task == "saved"
        if not self.guarded("store an end before it is forgotten"):
            is_stored = is_stored or owner.task == "done"
        if is_stored and worker.listed_end:
            forgotten = _worker(world, n, listed_end=0)
            yield f"owner {owner.epoch} lets {n} forget the end", forgotten

    def _is_fenced(self, epoch: int, worker: Worker) -> bool:
        return epoch < worker.token and self.guarded("fencing token")

    def _may_start(self, world: World, owner: Owner, n: int) -> bool:
        if not world.n_starts or world.workers[n].has_lapsed:
            # A worker that has not answered lately gets nothing.
            return False
        if owner.epoch < world.epoch and self.guarded("start within the own lease"):
            return False
        if owner.unverified and self.guarded("take every recorded worker first"):
            return False
        is_recorded = n in owner.recorded
        return is_recorded or not self.guarded("record a worker before its first start")

    def _repeat(self, world: World, k: int, owner: Owner, n: int) -> Iterator[Step]:
        """Free a task whose start got no answer."""
        waiting = owner._replace(task="waiting", worker=-1)
        if not self.guarded("stop before repeating a start"):
            yield f"owner {owner.epoch} repeats the start", _put(world, k, waiting)
            return
        worker = world.workers[n]
        if worker.is_cut or self._is_fenced(owner.epoch, worker):
            return
        run = 0 if worker.run == owner.run else worker.run
        barred = max(worker.barred, owner.run)
        if worker.listed_end != owner.run:
            stopped = _worker(world, n, run=run, barred=barred, token=owner.epoch)
            yield f"owner {owner.epoch} stops its start", _put(stopped, k, waiting)

    def _hold(self, world: World, k: int, n: int) -> World:
        owner, worker = world.owners[k], world.workers[n]
        owner = owner._replace(
            taken=owner.taken | {n}, unverified=owner.unverified - {n}
        )
        if worker.listed_end and owner.task != "saved":
            owner = owner._replace(task="done")
        elif worker.run and owner.task in ("waiting", "starting"):
            owner = owner._replace(task="running", worker=n, run=worker.run)
        token = max(worker.token, owner.epoch)
        return _put(_worker(world, n, token=token), k, owner)

    def _deliver(self, world: World) -> Iterator[Step]:
        for start in world.starts:
            worker = world.workers[start.worker]
            after = world._replace(starts=world.starts - {start})
            is_refused = (
                (start.is_late and self.guarded("start deadline"))
                or self._is_fenced(start.epoch, worker)
                or start.run <= worker.barred
                or worker.run > 0
            )
            if is_refused:
                yield f"worker {start.worker} refuses run {start.run}", after
                continue
            token = max(worker.token, start.epoch)
            after = _worker(after, start.worker, run=start.run, token=token)
            again = world.has_run_again or world.has_ended_done
            after = after._replace(has_run_again=again)
            yield f"worker {start.worker} starts run {start.run}", after


def _faults(world: World) -> Iterator[Step]:
    for n, worker in enumerate(world.workers):
        if worker.run:
            ended = _worker(
                world, n, run=0, barred=worker.run, listed_end=worker.run
            )._replace(has_ended_done=True)
            yield f"run {worker.run} ends on {n}", ended
        # The workers are alike, so that cutting off the first one is enough.
        if world.n_cuts and n == 0:
            after = _worker(world, n, is_cut=True)
            yield f"worker {n} is cut off", after._replace(n_cuts=world.n_cuts - 1)
        if worker.is_cut and not worker.has_lapsed:
            yield f"the lease of {n} ends", _lapse(world, n)
        if worker.is_cut and worker.has_lapsed:
            back = _worker(world, n, is_cut=False, has_lapsed=False)
            yield f"worker {n} is back", back


def _take_over(world: World) -> World:
    epoch = world.epoch + 1
    task = "saved" if world.is_done_stored else "waiting"
    owner = Owner(epoch, task, unverified=world.roster, recorded=world.roster)
    return world._replace(epoch=epoch, owners=(*world.owners, owner))


def _send(world: World, k: int, n: int) -> World:
    owner = world.owners[k]
    run = owner.epoch * RUNS_PER_EPOCH + N_STARTS - world.n_starts
    owner = owner._replace(task="starting", worker=n, run=run)
    starts = world.starts | {Start(n, owner.epoch, run)}
    after = _put(world, k, owner)
    return after._replace(starts=starts, n_starts=world.n_starts - 1)


def _give_up(world: World, k: int, n: int) -> World:
    owner = world.owners[k]
    owner = owner._replace(unverified=owner.unverified - {n}, taken=owner.taken - {n})
    if owner.worker == n and owner.task in ("starting", "running"):
        owner = owner._replace(task="waiting", worker=-1)
    return _put(world, k, owner)


def _lapse(world: World, n: int) -> World:
    """End the lease: runs are killed, and starts on their way are overdue."""
    worker = world.workers[n]
    starts = frozenset(
        start._replace(is_late=True) if start.worker == n else start
        for start in world.starts
    )
    after = _worker(world, n, run=0, listed_end=0, has_lapsed=True)
    is_lost = worker.listed_end > 0 and not world.is_done_stored
    has_ended = world.has_ended_done and not is_lost
    return after._replace(starts=starts, has_ended_done=has_ended)


def _put(world: World, k: int, owner: Owner) -> World:
    owners = (*world.owners[:k], owner, *world.owners[k + 1 :])
    return world._replace(owners=owners)


def _worker(world: World, n: int, **changes: object) -> World:
    worker = world.workers[n]._replace(**changes)  # type: ignore[arg-type]
    workers = (*world.workers[:n], worker, *world.workers[n + 1 :])
    return world._replace(workers=workers)
