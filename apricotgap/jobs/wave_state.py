"""Progress of one maintenance wave, and what has been heard of its machines."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from apricotgap.jobs.configuration import Wave
from apricotgap.jobs.fleet_orders import OrderResult
from apricotgap.jobs.machine_absence import AbsenceTracker

__all__ = ["WaveState"]

# A wave is planned to be complete this long before its end: a takeover of the fleet
# takes about 4 s, and the store may be unavailable for a few seconds.
END_RESERVE_MS = 7_000
# Estimated time from reserving a worker to the end of its maintenance; sets the rate of
# a wave.
MAINTENANCE_CYCLE_MS = 4_500
# A refusal that may be about a passing state counts when it is repeated after this
# time: the platform may learn of a wave later than the owner of the fleet, and a
# machine may be down for a while.
REFUSAL_MS = 3_000


@dataclass(slots=True)
class WaveState:
    """Progress of a wave.

    `begun_ms` is when the wave was ordered, as far as this instance knows.

    A machine needs no maintenance once it is `done`, `foreign` or has `left`. Nothing
    of this rests on absence alone, nor on one refusal:

    - A machine has left when the platform has said so, and a list that was requested
      later lacks it. It is back once a list has it. The platform says so by "no such
      machine", and by "not up, or leaving" over `REFUSAL_MS` while all lists lack it.
    - It is foreign when the platform has answered twice, over `REFUSAL_MS`, that it is
      none of the wave.
    """

    wave: Wave
    begun_ms: int
    done: set[str] = field(default_factory=set)
    left: set[str] = field(default_factory=set)
    foreign: set[str] = field(default_factory=set)
    # When the platform said that a machine is gone.
    _gone_ms: dict[str, int] = field(default_factory=dict)
    # When it first said that a machine is none of the wave, or that one that is missing
    # is not up.
    _refused_ms: dict[str, int] = field(default_factory=dict)
    _unavailable_ms: dict[str, int] = field(default_factory=dict)

    @property
    def open_machines(self) -> list[str]:
        """Names of the machines that still need maintenance, in order of the wave."""
        ended = self.done | self.left | self.foreign
        return [name for name in self.wave.machines if name not in ended]

    @property
    def is_finished(self) -> bool:
        """Whether no machine needs maintenance; not for good, as machines come back."""
        return not self.open_machines

    def n_cycles_left(self, at_ms: int) -> int:
        """Return how often machines can be emptied and maintained in time.

        This is 0 near the end. A short wave keeps a third of its duration in reserve.
        """
        duration_ms = self.wave.duration_ms
        reserve_ms = min(END_RESERVE_MS, duration_ms // 3)
        left_ms = self.begun_ms + duration_ms - reserve_ms - at_ms
        return max(0, left_ms // MAINTENANCE_CYCLE_MS)

    def update(self, absences: AbsenceTracker) -> list[tuple[str, bool]]:
        """Compare what the platform has answered with the last list of machines.

        Returns
        -------
        list of tuple of str and bool
            Machines that have left since the last call (True) or are back (False).
        """
        changes = []
        for name, first_ms in list(self._unavailable_ms.items()):
            if absences.is_shown(name, first_ms):
                del self._unavailable_ms[name]
        for name in sorted(self.left | self._gone_ms.keys()):
            said_ms = self._gone_ms.get(name, self.begun_ms)
            if absences.is_shown(name, said_ms):
                self._gone_ms.pop(name, None)
                if name in self.left:
                    self.left.remove(name)
                    changes.append((name, False))
            elif name not in self.left and absences.is_absent(name, said_ms):
                self.left.add(name)
                changes.append((name, True))
        return changes

    def is_questionable(self, name: str, absences: AbsenceTracker) -> bool:
        """Whether lists have lacked an open machine long, and no answer confirms it."""
        return name not in self._gone_ms and absences.is_missing(name, self.begun_ms)

    def record_result(self, result: OrderResult, absences: AbsenceTracker) -> None:
        """Apply the result of a maintenance order."""
        name, at_ms = result.order.machine, result.at_ms
        if result.kind == "ok":
            self.done.add(name)
        elif result.kind == "gone":
            self._gone_ms[name] = at_ms
        elif result.kind == "busy" and absences.is_missing(name, self.begun_ms):
            first_ms = self._unavailable_ms.setdefault(name, at_ms)
            if at_ms - first_ms >= REFUSAL_MS:
                self._gone_ms[name] = at_ms
        elif result.kind == "wave":
            first_ms = self._refused_ms.setdefault(name, at_ms)
            if at_ms - first_ms >= REFUSAL_MS:
                self.foreign.add(name)

    def add_done(self, names: Iterable[str]) -> None:
        """Add machines whose maintenance is stored."""
        self.done.update(names)
