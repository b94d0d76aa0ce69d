"""Losses of power that take all instances and all workers of a world at once.

No worker that loses power so counts as crashed under a task: nothing that a task does
has caused it, so that its job must not be given up for it.
"""

from tests.jobs_harness import SERVICE
from tests.owner_world import OTHER_SERVICE

# Range of the time without power, in milliseconds.
MIN_SPAN_MS = 500
MAX_SPAN_MS = 1_600
# An instance listens this long after its machine has power again at most.
MAX_START_MS = 400
# Time from the order to move a machine to the worker in its next pool.
MOVE_MS = 1_500
# The entry of a worker that says nothing goes after three check-in intervals.
SILENCE_MS = 1_500
# A worker that comes back is listed within this time.
MAX_ENTRY_DELAY_MS = 500


def lose_power(world, span_ms, n_lost=0, lost=None):
    """Take the power from all instances and workers.

    Workers come back as new incarnations, under the id that they had or another one on
    the same machine.

    Parameters
    ----------
    world : OwnerWorld
        World.
    span_ms : int
        Time without power, in milliseconds.
    n_lost : int
        Number of workers of the service that never come back.
    lost : list of str, optional
        These never come back, instead of some that are drawn.
    """
    for process in world.instances:
        process.kill()
        start_ms = span_ms + world.rng.randrange(MAX_START_MS)
        world.at(start_ms, _start, world, process)
    if lost is None:
        pool = working(world)
        lost = world.rng.sample(pool, min(n_lost, len(pool)))
    for worker_id in list(world.entries):
        if worker_id in lost:
            _lose(world, worker_id)
        elif world.workers[worker_id].is_up:
            _interrupt(world, worker_id, span_ms)


def move_machine(world, worker_id, service=OTHER_SERVICE):
    """Move the machine of a worker to another pool, and lose the answer to the order.

    Its next worker is listed there, unless the pool is off (``spare``).
    """
    machine = world.entries[worker_id].machine
    world.take_down(worker_id)
    world.unlist(worker_id)
    if service == "spare":
        return
    world.at(MOVE_MS, _add_worker, world, machine, service)


def working(world):
    """Return the listed workers of the service that are up."""
    return [
        worker_id
        for worker_id, entry in world.entries.items()
        if entry.service == SERVICE and world.workers[worker_id].is_up
    ]


def busiest(world, n_workers):
    """Return the workers of the service with most runs, the ones with most first."""
    return sorted(working(world), key=lambda each: -len(world.workers[each].running))[
        :n_workers
    ]


def _start(world, process):
    """Start a process as soon as its predecessor is gone."""
    if process.is_up:
        world.at(10, _start, world, process)
        return
    process.start()


def _lose(world, worker_id):
    """End a worker for good; no call reaches its machine."""
    world.take_down(worker_id)
    world.unreachable.add(worker_id)
    world.at(SILENCE_MS, world.unlist, worker_id)


def _interrupt(world, worker_id, span_ms):
    """End a worker; the next one of its machine has the same id or another one."""
    entry = world.entries[worker_id]
    delay_ms = span_ms + world.rng.randrange(MAX_ENTRY_DELAY_MS)
    if world.rng.random() < 0.5:
        world.take_down(worker_id, span_ms, MAX_ENTRY_DELAY_MS)
        return
    world.take_down(worker_id)
    world.refusing.add(worker_id)
    world.at(delay_ms, world.unlist, worker_id)
    world.at(delay_ms, _add_worker, world, entry.machine, entry.service)


def _add_worker(world, machine, service):
    world.add_worker(machine=machine, service=service)


__all__ = [
    "MAX_SPAN_MS",
    "MIN_SPAN_MS",
    "busiest",
    "lose_power",
    "move_machine",
    "working",
]
