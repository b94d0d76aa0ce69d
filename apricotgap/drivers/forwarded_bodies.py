"""Transfer of bodies between entry instances, directly or through the store."""

import dataclasses
import itertools
from collections.abc import Callable

from apricotgap.clock import Clock
from apricotgap.core.effects import (
    Effect,
    FetchBody,
    ForwardRequest,
    ReleaseBodies,
    SendAnswerWithBody,
    StoreBody,
)
from apricotgap.core.events import (
    BodyFetched,
    CasFinished,
    CasResult,
    Event,
    ForwardedRequestArrived,
    PeerReceived,
)
from apricotgap.drivers.background import BackgroundDriver
from apricotgap.drivers.bodies import BackendResponse, BodyBuffer
from apricotgap.drivers.store_api import Store, StoreCallError
from apricotgap.model.peers import (
    ClaimAnswer,
    PeerMessage,
    TicketAnswer,
    TicketForward,
)

__all__ = ["BodyDriver"]

_CONTENT_TYPE = "application/octet-stream"


class BodyDriver(BackgroundDriver):
    """Adds buffered bodies to peer messages and extracts them from received ones.

    Parameters
    ----------
    id_prefix : str
        Prefix of the ids of forwarded requests, unique to this incarnation.
    post : callable
        Called with each event.
    clock : Clock
        Source of the event timestamps.
    bodies : BodyBuffer
        Buffered bodies of requests and responses.
    store : Store
        Store of the platform.
    send : callable
        Sends a message to a peer.
    """

    def __init__(
        self,
        id_prefix: str,
        post: Callable[[Event], None],
        clock: Clock,
        bodies: BodyBuffer,
        store: Store,
        send: Callable[[str, PeerMessage], None],
    ) -> None:
        super().__init__()
        self._id_prefix = id_prefix
        self._post = post
        self._clock = clock
        self._bodies = bodies
        self._store = store
        self._send = send
        self._numbers = itertools.count(1)

    @property
    def runners(self) -> dict[type[Effect], Callable[..., None]]:
        """Functions that run the effects, by effect type."""
        return {
            ForwardRequest: self._forward,
            SendAnswerWithBody: self._send_answer,
            StoreBody: self._background_runner(self._store_body),
            FetchBody: self._background_runner(self._fetch_body),
            ReleaseBodies: self._release,
        }

    def post_from_peer(self, event: Event) -> None:
        """Post an event of the peer driver; a body in it is buffered and removed."""
        if not isinstance(event, PeerReceived):
            self._post(event)
            return
        message = event.message
        if isinstance(message, TicketForward):
            request_id = f"{self._id_prefix}.f{next(self._numbers)}"
            self._bodies.put_request(request_id, message.body)
            message_without_body = dataclasses.replace(message, body=b"")
            self._post(
                ForwardedRequestArrived(
                    event.at_ms,
                    event.peer,
                    message_without_body,
                    request_id,
                    len(message.body),
                )
            )
            return
        if isinstance(message, ClaimAnswer | TicketAnswer):
            if message.n_body_bytes or message.body:
                self._bodies.retain_response(
                    message.call_id,
                    BackendResponse(message.status or 200, _CONTENT_TYPE, message.body),
                )
            message = dataclasses.replace(message, body=b"")
        self._post(PeerReceived(event.at_ms, event.peer, message))

    def _forward(self, effect: ForwardRequest) -> None:
        body = self._bodies.request(effect.request_id)
        if body is None:
            return
        self._send(effect.peer, dataclasses.replace(effect.message, body=body))

    def _send_answer(self, effect: SendAnswerWithBody) -> None:
        if effect.task_id is not None:
            response = self._bodies.pop_response(effect.task_id)
            if response is not None:
                self._bodies.retain_response(effect.request_id, response)
        retained = self._bodies.retained_response(effect.request_id)
        message = effect.message
        if retained is not None:
            message = dataclasses.replace(message, body=retained.body)
        self._send(effect.peer, message)

    async def _store_body(self, effect: StoreBody) -> None:
        retained = self._bodies.retained_response(effect.request_id)
        result, revision = CasResult.CONFLICT, 0
        if retained is not None:
            try:
                response = await self._store.cas(
                    effect.key, 0, retained.body, effect.lease_id
                )
                result, revision = response.result, response.revision
            except StoreCallError:
                result = CasResult.UNKNOWN
        self._post(
            CasFinished(
                self._clock.now_ms, effect.call_id, effect.key, result, revision
            )
        )

    async def _fetch_body(self, effect: FetchBody) -> None:
        n_bytes: int | None = None
        try:
            stored = await self._store.get(effect.key)
        except StoreCallError:
            stored = None
        if stored is not None and stored.revision:
            self._bodies.retain_response(
                effect.request_id, BackendResponse(200, _CONTENT_TYPE, stored.value)
            )
            n_bytes = len(stored.value)
        self._post(BodyFetched(self._clock.now_ms, effect.call_id, n_bytes))

    def _release(self, effect: ReleaseBodies) -> None:
        self._bodies.drop_request(effect.request_id)
