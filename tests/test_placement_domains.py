"""Tests of the placement of jobs in machines, racks and data centres."""

from random import Random

import pytest

from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.overload_options import OverloadOptions
from tests.jobs_harness import Rig, ended, entry, job, running

SIZE = Resources(1000, 100)
N_MACHINES_PER_RACK = 4
N_CORES = 8
PACKS_DOMAINS = OverloadOptions(packs_domains=True)


class RackRig(Rig):
    """A pool of two data centres with three racks of four machines each."""

    def __init__(self, overload=None):
        super().__init__(workers=(), overload=overload)
        self.list_workers(
            *(
                entry(
                    f"w{n}",
                    data_centre="ab"[n // (3 * N_MACHINES_PER_RACK)],
                    labels=("k", f"r{n // N_MACHINES_PER_RACK}"),
                )
                for n in range(6 * N_MACHINES_PER_RACK)
            )
        )
        self.ready()
        self.starts = {}
        self.n_ends = {}

    def begin(self, job_id, steps):
        self.submit(job(job_id, steps))
        self.start_waiting()

    def start_waiting(self):
        for start in self.schedule():
            self.answer(start)
            self.starts[start.name] = start

    def end(self, job_id, step=0):
        """End all runs of a step."""
        for name in [n for n in self.starts if n[0] == job_id and n.step == step]:
            start = self.starts.pop(name)
            worker_id = start.worker_id
            self.n_ends[worker_id] = number = self.n_ends.get(worker_id, 0) + 1
            others = [
                running(other)
                for other in self.starts.values()
                if other.worker_id == worker_id
            ]
            self.poll(worker_id, others, [ended(number, start)])

    def domains(self, job_id, field):
        """Return the domains in which a job has runs."""
        return {
            getattr(self.shard.workers[start.worker_id].entry, field)
            for name, start in self.starts.items()
            if name.job_id == job_id
        }

    def fill(self, n_jobs, rng):
        """Keep this many jobs of 4 to 12 tasks running; returns the last of them."""
        jobs = []
        for number in range(5 * n_jobs):
            if len(jobs) == n_jobs:
                self.end(jobs.pop(rng.randrange(n_jobs)))
            job_id = f"{number:016x}"
            self.begin(job_id, (StepSpec(rng.randint(4, 12), SIZE, 700),))
            self.now += 50
            jobs.append(job_id)
        return jobs


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_a_rack_or_data_centre_hits_few_jobs(seed):
    """Guards against jobs that are spread over the pool, so that the loss of one rack
    or data centre hits most of them. Half of the pool is in use.
    """
    rig = RackRig(PACKS_DOMAINS)
    jobs = rig.fill(12, Random(seed))
    assert all(len(rig.domains(each, "data_centre")) == 1 for each in jobs)
    hit = {}
    for each in jobs:
        for rack in rig.domains(each, "rack"):
            hit[rack] = hit.get(rack, 0) + 1
    # With one rack for each job, a rack is used by a sixth of the jobs on average.
    assert sum(hit.values()) <= 1.5 * len(jobs)
    n_in_a = sum(rig.domains(each, "data_centre") == {"a"} for each in jobs)
    assert len(jobs) / 4 <= n_in_a <= 3 * len(jobs) / 4


def test_later_steps_follow_the_earlier_ones():
    """Guards against a job that the loss of a second rack hits in its second step."""
    rig = RackRig(PACKS_DOMAINS)
    step = StepSpec(8, SIZE, 700)
    rig.begin("a" * 16, (step,))
    rig.begin("b" * 16, (step, StepSpec(8, SIZE, 700, after=(0,))))
    before = rig.domains("b" * 16, "rack")
    rig.end("b" * 16)
    rig.end("a" * 16)
    rig.start_waiting()
    assert rig.domains("b" * 16, "rack") == before


@pytest.mark.usefixtures("overload_state")
def test_job_takes_what_is_free_anywhere():
    """Guards against tasks that wait for a machine of their data centre while others
    have room.
    """
    rig = RackRig()
    n_cores = len(rig.shard.workers) * N_CORES
    rig.begin("a" * 16, (StepSpec(n_cores - 4, SIZE, 700),))
    for _ in range(n_cores):
        rig.start_waiting()
    rig.begin("b" * 16, (StepSpec(4, SIZE, 700),))
    assert len(rig.starts) == n_cores


def test_tasks_are_placed_on_one_machine_that_holds_them():
    """Guards against a job on several machines while one has room for it."""
    rig = RackRig(PACKS_DOMAINS)
    rig.begin("a" * 16, (StepSpec(8, SIZE, 700),))
    assert len(rig.domains("a" * 16, "worker_id")) == 1


@pytest.mark.usefixtures("overload_state")
def test_step_with_a_limit_per_worker_is_spread_over_workers():
    """Guards against a step whose limit per worker the failure domains override."""
    rig = RackRig()
    rig.begin("a" * 16, (StepSpec(6, SIZE, 700, max_per_worker=1),))
    assert len(rig.domains("a" * 16, "worker_id")) == 6


@pytest.mark.usefixtures("overload_state")
def test_step_goes_to_the_rack_of_its_data():
    """Guards against a job that runs far from its data, to stay in one domain."""
    rig = RackRig()
    second = StepSpec(4, SIZE, 700, after=(0,), data_rack="r5")
    rig.begin("a" * 16, (StepSpec(8, SIZE, 700, data_rack="r1"), second))
    assert rig.domains("a" * 16, "rack") == {"r1"}
    rig.end("a" * 16)
    rig.start_waiting()
    assert rig.domains("a" * 16, "rack") == {"r5"}


def test_job_goes_on_in_one_other_data_centre_after_a_loss():
    """Guards against tasks that wait for the data centre of their job."""
    rig = RackRig(PACKS_DOMAINS)
    rig.begin("a" * 16, (StepSpec(8, SIZE, 700), StepSpec(8, SIZE, 700, after=(0,))))
    (lost,) = rig.domains("a" * 16, "data_centre")
    rig.end("a" * 16)
    rig.shard.evacuated = frozenset({lost})
    rig.start_waiting()
    assert len(rig.domains("a" * 16, "rack")) == 1
    assert rig.domains("a" * 16, "data_centre") != {lost}
