"""How long tasks take, compared with their estimates."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from apricotgap.jobs.job_state import JobState, StepKey
from apricotgap.jobs.model import StepSpec

__all__ = ["RunTimes"]

# Latest durations that are kept for each kind of step, and most kinds. With all of them
# in use they take about 2 MB.
MAX_DURATIONS = 64
MAX_KINDS = 512
# Fewer durations say less than the estimate.
MIN_DURATIONS = 8
# A heavy tail of rare long tasks must not raise what counts as usual.
HIGH_QUANTILE = 0.95
# Least duration that is expected by the estimate alone.
MIN_ESTIMATE_MS = 500
# A run is late at this multiple of what the others of its step, or of its kind, took.
LATE_FACTOR = 2.0
# The same multiple of what few of its kind exceed.
LATE_FACTOR_HIGH = 1.5
# Without finished tasks there is only the estimate, which is rough: allow more time.
LATE_FACTOR_ESTIMATED = 3.0

Kind = tuple[str, str, int]


@dataclass(slots=True)
class _Ratios:
    """Latest ratios of duration to estimate of one kind of step."""

    latest: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_DURATIONS))
    ordered: list[float] | None = None

    def add(self, ratio: float) -> None:
        self.latest.append(ratio)
        self.ordered = None

    def quantile(self, share: float) -> float:
        if self.ordered is None:
            self.ordered = sorted(self.latest)
        return self.ordered[min(len(self.ordered) - 1, int(share * len(self.ordered)))]


class RunTimes:
    """Durations of finished tasks by queue, image and size of the step.

    It is soft state: after a change of owner it starts empty, and estimates count until
    enough tasks have ended.
    """

    def __init__(self) -> None:
        self._ratios: OrderedDict[Kind, _Ratios] = OrderedDict()

    def record(self, queue: str, step: StepSpec, duration_ms: int) -> None:
        """Record the duration of a task that is done."""
        kind = _kind(queue, step)
        ratios = self._ratios.setdefault(kind, _Ratios())
        self._ratios.move_to_end(kind)
        ratios.add(duration_ms / _base_ms(step))
        if len(self._ratios) > MAX_KINDS:
            self._ratios.popitem(last=False)

    def typical_ms(self, queue: str, step: StepSpec) -> int:
        """Return the median duration of tasks of this kind, else the estimate."""
        ratios = self._known(queue, step)
        if ratios is None:
            return _expected_ms(step)
        return int(ratios.quantile(0.5) * _base_ms(step))

    def high_ms(self, queue: str, step: StepSpec) -> int:
        """Return the duration that few tasks of this kind exceed."""
        ratios = self._known(queue, step)
        if ratios is None:
            return int(LATE_FACTOR_ESTIMATED * _expected_ms(step))
        return int(ratios.quantile(HIGH_QUANTILE) * _base_ms(step))

    def typical_in_job_ms(self, job: JobState, key: StepKey) -> int:
        """Return the typical duration in a job, by its own finished tasks if any."""
        own = job.durations_ms.get(key)
        if own:
            return sorted(own)[len(own) // 2]
        return self.typical_ms(job.spec.queue, job.spec.steps[key[1]])

    def late_in_job_ms(self, job: JobState, key: StepKey) -> int:
        """Return the duration from which on a run of a step is unusually long."""
        typical_ms = self.typical_in_job_ms(job, key)
        if job.durations_ms.get(key):
            return int(LATE_FACTOR * typical_ms)
        step = job.spec.steps[key[1]]
        ratios = self._known(job.spec.queue, step)
        if ratios is None:
            return int(LATE_FACTOR_ESTIMATED * typical_ms)
        high_ms = self.high_ms(job.spec.queue, step)
        return int(max(LATE_FACTOR * typical_ms, LATE_FACTOR_HIGH * high_ms))

    def is_calibrated(self, job: JobState, key: StepKey) -> bool:
        """Whether more than the estimate is known of a step."""
        if job.durations_ms.get(key):
            return True
        return self._known(job.spec.queue, job.spec.steps[key[1]]) is not None

    def _known(self, queue: str, step: StepSpec) -> _Ratios | None:
        ratios = self._ratios.get(_kind(queue, step))
        if ratios is None or len(ratios.latest) < MIN_DURATIONS:
            return None
        return ratios


def _kind(queue: str, step: StepSpec) -> Kind:
    # Steps of up to twice as many tasks are of one kind.
    return queue, step.image, step.n_tasks.bit_length()


def _base_ms(step: StepSpec) -> int:
    """Return what durations are compared with, also if there is no estimate."""
    return step.estimated_ms or MIN_ESTIMATE_MS


def _expected_ms(step: StepSpec) -> int:
    return max(step.estimated_ms, MIN_ESTIMATE_MS)
