"""Event handlers of claims and tickets: store, peers and timers."""

from collections.abc import Iterable

from apricotgap.core import claim_store, outcomes, peer_requests, tickets
from apricotgap.core.claim_state import Phase
from apricotgap.core.effects import Effect
from apricotgap.core.events import (
    BodyFetched,
    CasFinished,
    CasResult,
    Event,
    LeaseGranted,
    LeaseLost,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    StoreCallFailed,
    StoreReadFinished,
    Tick,
)
from apricotgap.core.reducer import Handler
from apricotgap.core.state import EntryState
from apricotgap.model.peers import ClaimAnswer, ClaimQuery, TicketAnswer

__all__ = [
    "ClaimLease",
    "ClaimMessages",
    "ClaimPeers",
    "ClaimStoreAnswers",
    "ClaimTimers",
]


class ClaimStoreAnswers(Handler):
    """Processes the results of store calls made for claims."""

    handles = (CasFinished, StoreReadFinished, StoreCallFailed, BodyFetched)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Route the result by its call id; ignore calls of other modules."""
        assert isinstance(
            event, CasFinished | StoreReadFinished | StoreCallFailed | BodyFetched
        )
        if event.call_id in state.claims.writes:
            stored = isinstance(event, CasFinished) and event.result is CasResult.STORED
            return claim_store.finish_write(state, event.call_id, stored)
        admission = state.claims.calls.pop(event.call_id, None)
        if admission is None:
            return ()
        match event:
            case CasFinished():
                return claim_store.finish_cas(state, admission, event)
            case StoreReadFinished(at_ms=at_ms, items=(item, *_)):
                return claim_store.finish_read(state, admission, item, at_ms)
            case BodyFetched(at_ms=at_ms, n_body_bytes=n_body_bytes):
                return claim_store.finish_fetch(state, admission, n_body_bytes, at_ms)
        return claim_store.read_failed(state, admission, event.at_ms)


class ClaimLease(Handler):
    """Tracks the retention lease of claims."""

    handles = (LeaseGranted, LeaseLost, StoreCallFailed)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Use a new lease, or drop a lost one."""
        if isinstance(event, LeaseLost):
            if event.lease_id == state.claims.lease_id:
                state.claims.lease_id = 0
            return ()
        assert isinstance(event, LeaseGranted | StoreCallFailed)
        if not event.call_id or event.call_id != state.claims.lease_call_id:
            return ()
        if isinstance(event, StoreCallFailed):
            return claim_store.lease_failed(state, event.at_ms)
        return claim_store.lease_granted(
            state, event.lease_id, event.sent_ms, event.at_ms
        )


class ClaimPeers(Handler):
    """Tracks which peers are connected."""

    handles = (PeerConnected, PeerDisconnected)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """End requests that were forwarded over an earlier connection."""
        assert isinstance(event, PeerConnected | PeerDisconnected)
        effects = peer_requests.end_forwarded_requests(state, event.peer, event.at_ms)
        if isinstance(event, PeerConnected):
            state.claims.connected.add(event.peer)
        else:
            state.claims.connected.discard(event.peer)
        return effects


class ClaimMessages(Handler):
    """Answers claim queries of peers and processes their answers."""

    handles = (PeerReceived,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Handle the message types of claims and tickets."""
        assert isinstance(event, PeerReceived)
        match event.message:
            case ClaimQuery() as query:
                return peer_requests.answer_query(state, event.peer, query, event.at_ms)
            case ClaimAnswer() as answer:
                return peer_requests.finish_query(state, answer, event.at_ms)
            case TicketAnswer() as answer:
                return peer_requests.finish_forward(
                    state, event.peer, answer, event.at_ms
                )
        return ()


class ClaimTimers(Handler):
    """Expires tickets, retained outcomes and unconfirmed claims."""

    handles = (Tick,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Poll claimants and expire what is past its deadline."""
        at_ms = event.at_ms
        tickets.expire(state, at_ms)
        peer_requests.expire_relays(state, at_ms)
        effects = outcomes.expire(state, at_ms)
        for request_id in tuple(state.claims.resolving):
            admission = state.claims.admissions.get(request_id)
            if admission is None:
                continue
            if admission.phase is Phase.ASKING:
                effects += peer_requests.poll(state, admission, at_ms)
            elif admission.phase is Phase.CLAIMING and at_ms > admission.deadline_ms:
                effects += claim_store.time_out(state, admission, at_ms)
        return effects
