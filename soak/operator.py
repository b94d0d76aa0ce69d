"""The operator: configurations in quick succession, and what each of them allowed."""

import copy
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from soak.cluster import Platform
from soak.layout import Layout, Queue, route
from soak.timeline import now_ms

__all__ = ["Operator"]

Document = dict[str, Any]


@dataclass
class Operator:
    """Writes configurations; a change is made to the newest one and can be undone."""

    platform: Platform
    layout: Layout
    written: list[tuple[int, Document]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._document = self.layout.configuration()
        self._write()

    def _write(self) -> None:
        self._document["version"] += 3
        self.platform.put("op/config", self._document)
        self.written.append((now_ms(), copy.deepcopy(self._document)))

    @property
    def document(self) -> Document:
        """The newest configuration."""
        return self._document

    def team(self, number: int) -> Document:
        """Return a team of the newest configuration."""
        team: Document = self._document["tenants"][number]
        return team

    def set_timeout(self, queue: int, timeout_ms: int) -> None:
        """Change the time-out of a queue."""
        routes = self._document["routes"]
        routes[queue % len(routes)]["timeoutMs"] = timeout_ms
        self._write()

    @contextmanager
    def without_routes(self, names: set[str]) -> Iterator[None]:
        """Take queues away for the time of a block."""
        routes = self._document["routes"]
        taken = [each for each in routes if each["name"] in names]
        self._document["routes"] = [each for each in routes if each not in taken]
        self._write()
        try:
            yield
        finally:
            self._document["routes"] += taken
            self._write()

    @contextmanager
    def with_route(self, queue: Queue) -> Iterator[None]:
        """Add a queue for the time of a block."""
        self._document["routes"].append(route(queue))
        self._write()
        try:
            yield
        finally:
            self._document["routes"] = [
                each for each in self._document["routes"] if each["name"] != queue.name
            ]
            self._write()

    def set_keys(self, team: int, keys: list[str]) -> None:
        """Replace the keys of a team."""
        self.team(team)["apiKeys"] = keys
        self._write()

    def set_limit(self, team: int, cpu: int) -> None:
        """Change the limit of a team in thousandths of a core."""
        self.team(team)["maxCount"]["cpu"] = cpu
        self._write()

    def in_force(self, start_ms: float, end_ms: float) -> list[Document]:
        """Return the configurations that may be in force at some time of a span."""
        documents = []
        apply_ms = self.layout.bound_ms("configApplyMs")
        for number, (at_ms, document) in enumerate(self.written):
            later = self.written[number + 1 :]
            replaced_ms = later[0][0] + apply_ms if later else end_ms
            if at_ms <= end_ms and replaced_ms >= start_ms:
                documents.append(document)
        return documents
