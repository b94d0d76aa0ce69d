"""Calls that another instance makes on behalf of this one."""

from random import Random
from typing import Any

import structlog

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import Member
from apricotgap.instance.peers import PeerCallError, PeerClient

__all__ = ["RELAY_MARGIN_MS", "Relays"]

# Largest number of other instances that are asked to relay a call.
MAX_RELAYS = 2
# Part of the time of a relayed call that is left for the way back.
RELAY_MARGIN_MS = 50


class Relays:
    """Other instances that may reach an owner or the store when this one does not.

    Parameters
    ----------
    name : str
        Name of this instance.
    cluster_view, peers, clock
        Dependencies.
    """

    def __init__(
        self, name: str, cluster_view: ClusterView, peers: PeerClient, clock: Clock
    ) -> None:
        self._name = name
        self._cluster_view = cluster_view
        self._peers = peers
        self._clock = clock
        self._random = Random()
        self._log = structlog.get_logger()

    def choose(self, service: str) -> list[Member]:
        """Choose random instances besides this one and the owner of a service."""
        return self._sample(self._candidates(service))

    def choose_for_reads(self, service: str) -> list[Member]:
        """Choose among the instances that relay reads and cancellations too."""
        return self._sample(
            [member for member in self._candidates(service) if member.relays_reads]
        )

    def _candidates(self, service: str) -> list[Member]:
        owner = self._cluster_view.owner(service)
        avoided = {self._name, owner.name if owner else ""}
        return [
            member
            for member in self._cluster_view.members()
            if member.name not in avoided
        ]

    def _sample(self, members: list[Member]) -> list[Member]:
        return self._random.sample(members, min(MAX_RELAYS, len(members)))

    async def call(
        self,
        member: Member,
        operation: str,
        argument: Any,
        deadline_ms: int,
        timeout_ms: int,
        about: str = "",
    ) -> Any:
        """Have an instance make a call and return its result.

        The log names the job or queue that the call is `about`.

        Raises
        ------
        PeerCallError
            It did not answer in time, or it reached neither the owner nor the store.
        """
        left_ms = max(1, min(timeout_ms, deadline_ms - self._clock.now_ms))
        try:
            answer = await self._peers.call(
                member.address, f"relay-{operation}", [argument, left_ms], left_ms
            )
            if not isinstance(answer, list) or len(answer) != 2 or answer[0] != "ok":
                raise PeerCallError(f"answered {answer!r}"[:100], sent=True)
        except PeerCallError as error:
            self._log.info(
                "relay_failed",
                peer=member.name,
                call=operation,
                about=about,
                reason=str(error),
            )
            raise
        return answer[1]
