"""Machines that the platform's list no longer has."""

from bisect import bisect_right

from apricotgap.jobs.machine_list import MachineList

__all__ = ["ABSENCE_MS", "AbsenceTracker"]

# A machine is missing only when all lists that were requested over this time lack it.
# A single list may lack a machine that joins, or that changes its pool between two
# pages.
ABSENCE_MS = 3_000


class AbsenceTracker:
    """Tells for how long the lists of machines have lacked a machine.

    What is absent proves nothing by itself. Callers name the time of their question,
    and only lists that were requested later count. A list with a row that shows no name
    says of no machine that it is absent.
    """

    def __init__(self) -> None:
        self._list = MachineList({}, n_unnamed=1)
        self._listed_ms = -1
        # When the unbroken series of lists without unnamed rows was requested. The
        # first one is at least ABSENCE_MS older than the last, if the series is as long
        # as that.
        self._series_ms: list[int] = []
        # When the last list that had a machine was requested, for machines that the
        # series has lost.
        self._last_shown_ms: dict[str, int] = {}

    def record(self, machines: MachineList, listed_ms: int) -> None:
        """Record the list of machines that was requested at `listed_ms`.

        One that is not younger than the last changes nothing.
        """
        if listed_ms <= self._listed_ms:
            return
        for name in (*self._list.machines, *self._list.unreadable):
            if not machines.shows(name):
                self._last_shown_ms[name] = self._listed_ms
        self._list, self._listed_ms = machines, listed_ms
        if machines.n_unnamed:
            self._series_ms.clear()
            return
        self._series_ms.append(listed_ms)
        while len(self._series_ms) > 1 and (
            self._series_ms[1] <= listed_ms - ABSENCE_MS
        ):
            del self._series_ms[0]
        self._last_shown_ms = {
            name: shown_ms
            for name, shown_ms in self._last_shown_ms.items()
            if shown_ms >= self._series_ms[0] and not machines.shows(name)
        }

    def is_shown(self, name: str, since_ms: int) -> bool:
        """Whether the last list was requested after `since_ms` and has a machine."""
        return self._listed_ms > since_ms and self._list.shows(name)

    def is_absent(self, name: str, since_ms: int) -> bool:
        """Whether the last list was requested after `since_ms` and lacks a machine."""
        return self._listed_ms > since_ms and self._list.lacks(name)

    def is_missing(self, name: str, since_ms: int) -> bool:
        """Whether the lists requested after `since_ms` have lacked a machine long.

        They span at least `ABSENCE_MS`, and no list between them has the machine.
        """
        if not self.is_absent(name, since_ms):
            return False
        after_ms = max(since_ms, self._last_shown_ms.get(name, since_ms))
        index = bisect_right(self._series_ms, after_ms)
        return self._series_ms[index] <= self._listed_ms - ABSENCE_MS
