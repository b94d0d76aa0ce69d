"""Checks of an operators' configuration before it is in force.

Each rule is a class; all of `CHECKS` are applied.
"""

from collections.abc import Iterator

from apricotgap.errors import quoted
from apricotgap.jobs.configuration import QueueSpec
from apricotgap.jobs.configuration_finding import (
    CheckCase,
    ConfigurationCheck,
    Finding,
)
from apricotgap.jobs.key_digest import key_digest

__all__ = ["CHECKS", "check_configuration"]

_HEX_DIGITS = frozenset("0123456789abcdef")
_JOB_ID_DIGITS = 16
# No URL has them there unless they are escaped. Prefixes are compared with unescaped
# paths.
_NOT_IN_HOSTS = frozenset(":/ ")
_NOT_IN_PATHS = frozenset("?#% \t\r\n")


class RisingVersion(ConfigurationCheck):
    """Instances ignore a version that is not greater than the one in force."""

    name = "rising_version"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        if case.in_force is None or case.config.version > case.in_force.version:
            return
        expected = f"a number greater than {case.in_force.version}, which is in force"
        yield self.finding(
            ("version",), str(case.config.version), expected, "raise the version"
        )


class DistinctNames(ConfigurationCheck):
    """Of several entries with one name, only the last is used."""

    name = "distinct_names"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        for kind in ("queues", "services", "teams"):
            seen: dict[str, int] = {}
            for index, entry in enumerate(getattr(case.config, kind)):
                first = seen.setdefault(entry.name, index)
                if first != index or not entry.name:
                    yield self.finding(
                        (kind, index, "name"),
                        quoted(entry.name),
                        f"a name that no other of the {kind} has",
                        "rename or remove one of them"
                        if first != index
                        else "give it a name",
                    )


class RoutedQueue(ConfigurationCheck):
    """The host and the prefix of a queue must occur in requests."""

    name = "routed_queue"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        for index, queue in enumerate(case.config.queues):
            if (
                not queue.host
                or not _is_visible(queue.host)
                or _NOT_IN_HOSTS & set(queue.host)
            ):
                yield self.finding(
                    ("queues", index, "host"),
                    quoted(queue.host),
                    "a host name without a port",
                    "write the host as in the callers' URL, without the port",
                )
            if not queue.prefix.startswith("/") or _NOT_IN_PATHS & set(queue.prefix):
                yield self.finding(
                    ("queues", index, "prefix"),
                    quoted(queue.prefix),
                    "the beginning of a path, from its first '/'",
                    "write the prefix without a query and without escapes",
                )


class HiddenQueue(ConfigurationCheck):
    """The longest prefix that matches gets a request, the first one of equals."""

    name = "hidden_queue"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        by_address: dict[tuple[str, str], QueueSpec] = {}
        for queue in case.config.queues:
            by_address.setdefault((queue.host, queue.prefix), queue)
        for index, queue in enumerate(case.config.queues):
            first = by_address[queue.host, queue.prefix]
            if first is not queue:
                yield self.finding(
                    ("queues", index, "prefix"),
                    quoted(queue.prefix),
                    f"a prefix other than that of queue {quoted(first.name)},"
                    " which gets all requests",
                    "change the host or the prefix, or remove one of the queues",
                )
                continue
            for length in range(1, _JOB_ID_DIGITS + 1):
                start, digits = queue.prefix[:-length], queue.prefix[-length:]
                if len(digits) < length or not _HEX_DIGITS.issuperset(digits):
                    break
                if hidden := by_address.get((queue.host, start)):
                    yield self.finding(
                        ("queues", index, "prefix"),
                        quoted(queue.prefix),
                        f"a prefix that hides no job id of queue {quoted(hidden.name)}",
                        "end both prefixes with '/' or use another word",
                    )


class WorkingService(ConfigurationCheck):
    """The jobs of a queue run in a pool whose machines are on."""

    name = "working_service"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        services = case.config.service_by_name
        for index, queue in enumerate(case.config.queues):
            service = services.get(queue.service)
            if service is not None and not service.is_spare:
                continue
            remedy = (
                "add the service or correct the name"
                if service is None
                else "name a service whose machines are on"
            )
            yield self.finding(
                ("queues", index, "service"),
                quoted(queue.service),
                "a service of this configuration that is no spare pool",
                remedy,
            )


class QueueTimes(ConfigurationCheck):
    """Times and numbers of a queue that no job can meet."""

    name = "queue_times"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        for index, queue in enumerate(case.config.queues):
            # Lowest value, and what follows from a lower one.
            bounds: tuple[tuple[str, float, str], ...] = (
                ("timeout_ms", 1, "no request is answered in time"),
                ("target_latency_ms", 0, "jobs are late before they are submitted"),
                ("priority", 0, "0 is the most urgent"),
                ("max_attempts", 1, "no task may run"),
                ("slack_factor", 1, "jobs may take less time than their steps"),
            )
            for field, lowest, effect in bounds:
                value = getattr(queue, field)
                if value < lowest:
                    yield self.finding(
                        ("queues", index, field),
                        str(value),
                        f"{lowest} or more",
                        f"raise it: {effect}",
                    )
            if 0 < queue.timeout_ms < queue.target_latency_ms:
                yield self.finding(
                    ("queues", index, "timeout_ms"),
                    str(queue.timeout_ms),
                    f"at least the target latency of {queue.target_latency_ms} ms",
                    "raise the timeout or lower the target latency",
                )


class TeamAmounts(ConfigurationCheck):
    """Shares must be positive, and limits must not be negative."""

    name = "team_amounts"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        for index, team in enumerate(case.config.teams):
            if team.share <= 0:
                yield self.finding(
                    ("teams", index, "share"),
                    str(team.share),
                    "a number greater than 0",
                    "raise it, or remove the keys of a team that may not submit",
                )
            for kind in ("cpu", "memory_mb", "gpus"):
                amount = getattr(team.limit, kind)
                if amount < 0:
                    yield self.finding(
                        ("teams", index, "limit", kind),
                        str(amount),
                        "0 (unlimited) or more",
                        "write the limit, or 0 for none",
                    )


class TeamKeys(ConfigurationCheck):
    """A team is recognised by keys that callers can send."""

    name = "team_keys"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        for index, team in enumerate(case.config.teams):
            path = ("teams", index, "keys")
            if not team.keys:
                yield self.finding(
                    path, "no key", "at least one key", "add a key or remove the team"
                )
            for key in sorted(team.keys):
                if not key or not _is_visible(key):
                    yield self.finding(
                        path,
                        f"key with digest {key_digest(key)}" if key else "an empty key",
                        "a key of visible ASCII characters, no space at its ends",
                        "replace the key; callers without a key have the empty one",
                    )


class SharedKey(ConfigurationCheck):
    """A key belongs to the last team that lists it."""

    name = "shared_key"

    def find(self, case: CheckCase) -> Iterator[Finding]:
        owners = case.config.team_of_key
        for index, team in enumerate(case.config.teams):
            for key in sorted(team.keys):
                if owners[key] != team.name:
                    yield self.finding(
                        ("teams", index, "keys"),
                        f"key with digest {key_digest(key)}",
                        f"a key that team {quoted(owners[key])}, which gets its jobs,"
                        " does not list",
                        "remove the key from one of the teams",
                    )


CHECKS: tuple[ConfigurationCheck, ...] = (
    RisingVersion(),
    DistinctNames(),
    RoutedQueue(),
    HiddenQueue(),
    WorkingService(),
    QueueTimes(),
    TeamAmounts(),
    TeamKeys(),
    SharedKey(),
)


def _is_visible(text: str) -> bool:
    """Whether a text can be sent as the value of a header and arrives unchanged."""
    return text.isascii() and text.isprintable() and text == text.strip()


def check_configuration(case: CheckCase) -> tuple[Finding, ...]:
    """Return the findings of all checks."""
    return tuple(finding for check in CHECKS for finding in check.find(case))
