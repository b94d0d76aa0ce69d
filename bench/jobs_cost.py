"""Processor time of a shard's decisions: a submission, a start, an end, a full pass."""

from random import Random
from time import thread_time_ns

from apricotgap.jobs.configuration import Configuration, QueueSpec, ServiceSpec, Team
from apricotgap.jobs.events import EndReport, PollAnswered, StartAnswered, StartResult
from apricotgap.jobs.events import WorkersListed as Listed
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import JobSpec, Resources, RunEnd, StepSpec
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.shard import Shard
from bench.measuring import MAX_GROWTH, Check, Sample, table

__all__ = ["run"]

# Workers of the fleet and services among which they are split.
SIZES = ((50, 5), (2_100, 292), (600, 5))
N_REPEATS = 3
JOBS_PER_WORKER = 3
N_TASKS = 6
NOW_MS = 100_000
FAR_MS = 10_000_000
_SEED = 1
_SERVICE, _QUEUE = "s", "q"
_PARTS = ("submission", "start", "end", "full pass")


def _shard(n_workers: int) -> Shard:
    shard = Shard(_SERVICE, 1, 6_000)
    queue = QueueSpec(_QUEUE, "h", "/", _SERVICE, 3_000, 600, 0, 3, 1.6, True, False)
    shard.config = Configuration(
        1,
        (queue,),
        (ServiceSpec(_SERVICE, True, False),),
        (Team("t", frozenset(), 1.0, Resources()),),
    )
    entries = tuple(
        WorkerEntry(
            f"w{n}",
            _SERVICE,
            f"10.0.0.1:{n}",
            "a",
            f"m{n}",
            False,
            Resources(16_000, 65_536),
            ("k", f"r{n // 8}"),
            1,
        )
        for n in range(n_workers)
    )
    shard.step(Listed(NOW_MS, entries))
    for worker in shard.workers.values():
        worker.is_recorded = True
        shard.offer_lease(worker, NOW_MS, FAR_MS)
        shard.step(PollAnswered(NOW_MS, worker.worker_id, 1, 1, NOW_MS, NOW_MS, (), ()))
    return shard


def _job(n: int, random: Random) -> JobSpec:
    step = StepSpec(
        N_TASKS,
        Resources(random.randint(1_000, 3_000), 1_000),
        random.randint(300, 1_500),
    )
    return JobSpec(f"{n:016x}", _QUEUE, _SERVICE, "t", "x", (step,), 0)


def _measure(n_workers: int) -> dict[str, float]:
    """Return microseconds for each part; a full pass is given for each waiting job."""
    random = Random(_SEED)
    shard = _shard(n_workers)
    jobs = [_job(n, random) for n in range(JOBS_PER_WORKER * n_workers)]
    started_ns = thread_time_ns()
    for job in jobs:
        shard.submit(job, revision=1)
    found = {"submission": (thread_time_ns() - started_ns) / len(jobs)}
    scheduler = Scheduler(shard)
    runs = []
    started_ns = thread_time_ns()
    while effects := scheduler.run(NOW_MS, FAR_MS):
        runs += [effect for effect in effects if hasattr(effect, "run_id")]
    found["start"] = (thread_time_ns() - started_ns) / len(runs)
    n_waiting = sum(any(job.waiting.values()) for job in shard.open_jobs.values())
    started_ns = thread_time_ns()
    scheduler.run(NOW_MS, FAR_MS)
    found["full pass"] = (thread_time_ns() - started_ns) / max(1, n_waiting)
    started_ns = thread_time_ns()
    for n, start in enumerate(runs, start=1):
        shard.step(
            StartAnswered(
                NOW_MS,
                start.worker_id,
                1,
                start.name,
                start.run_id,
                StartResult("ok"),
            )
        )
        end = EndReport(n, start.name, start.run_id, RunEnd.DONE, "")
        shard.step(
            PollAnswered(NOW_MS, start.worker_id, 1, 1, NOW_MS - 1, NOW_MS, (), (end,))
        )
    found["end"] = (thread_time_ns() - started_ns) / len(runs)
    return {name: nanoseconds / 1_000 for name, nanoseconds in found.items()}


def run() -> list[Check]:
    """Print the table; check that cost does not grow with the fleet."""
    rows = []
    medians: dict[tuple[int, int], dict[str, float]] = {}
    for n_workers, n_services in SIZES:
        each = [_measure(n_workers // n_services) for _ in range(N_REPEATS)]
        samples = {
            name: Sample(tuple(values[name] for values in each)) for name in _PARTS
        }
        medians[n_workers, n_services] = {
            name: sample.median for name, sample in samples.items()
        }
        rows.append(
            [
                n_workers,
                n_services,
                *(f"{samples[name].median:.1f}" for name in _PARTS),
            ]
        )
    print(
        table(
            "us of a shard's owner; a full pass for each job that waits",
            ["workers", "services", *_PARTS],
            rows,
        )
    )
    small, large = medians[SIZES[0]], medians[SIZES[1]]
    return [
        Check(f"jobs: growth of a {name}", large[name] / small[name], MAX_GROWTH)
        for name in ("submission", "start")
    ]
