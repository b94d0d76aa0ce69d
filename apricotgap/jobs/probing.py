"""Jobs that may never succeed: one task is tried, before the others cost more."""

from collections.abc import Mapping, Sequence

from apricotgap.jobs.documents import Progress
from apricotgap.jobs.model import TaskName

__all__ = ["PROBE_FAILURES", "choose_probe"]

# A task that has failed on as many workers would fail on most others too. A single
# failure may be that of the worker.
PROBE_FAILURES = 2


def choose_probe(
    progress: Progress, failed_on: Mapping[TaskName, Sequence[str]]
) -> TaskName | None:
    """Return the only task of a job that may start now, None if all may.

    It is the one with the most failures. Its job ends early if it fails again and
    again, and goes on with its other tasks once it is done.

    Parameters
    ----------
    progress : Progress
        Progress of the job.
    failed_on : mapping of TaskName to sequence of str
        Workers on which runs have failed under this owner, one for each failure.
    """
    found = [
        (-len(record.failed_runs), name)
        for name, record in progress.tasks.items()
        if not record.done
        and len(record.failed_runs) >= PROBE_FAILURES
        and _may_be_of_several(len(record.failed_runs), failed_on.get(name, ()))
    ]
    return min(found)[1] if found else None


def _may_be_of_several(n_failures: int, workers: Sequence[str]) -> bool:
    """Whether failures were on several workers; those before a takeover may have been.

    A task avoids the workers on which it has failed, if others have room.
    """
    return len(set(workers)) >= PROBE_FAILURES or len(workers) < n_failures
