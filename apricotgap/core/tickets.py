"""Single-use tickets, issued and redeemed by the same entry incarnation."""

from __future__ import annotations

import hmac
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricotgap.core.limits import MAX_UNUSED_TICKETS, TICKET_TTL_MS

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "ParsedTicket",
    "TicketState",
    "UnusedTicket",
    "expire",
    "is_authentic",
    "issue",
    "parse",
]

_N_PARTS = 4
_MAX_TICKET_CHARS = 512


@dataclass(frozen=True, slots=True)
class ParsedTicket:
    """Parts of a ticket; only the issuer can verify `mac`."""

    entry: str
    incarnation: str
    n: int
    mac: str


@dataclass(frozen=True, slots=True)
class UnusedTicket:
    """A ticket that may still be redeemed."""

    team: str
    expires_ms: int


@dataclass(slots=True)
class TicketState:
    """Tickets of this incarnation.

    `used` maps the number of a ticket to a request id. A number up to
    `max_forgotten_n` that is in neither map may have run; a higher one expired
    unused.
    """

    secret: bytes = b""
    last_n: int = 0
    max_forgotten_n: int = 0
    unused: dict[int, UnusedTicket] = field(default_factory=dict)
    used: dict[int, str] = field(default_factory=dict)


def parse(ticket: str) -> ParsedTicket | None:
    """Parse a ticket, or return None if it is malformed."""
    parts = ticket.rsplit(".", _N_PARTS - 1)
    if len(parts) != _N_PARTS or not all(parts) or len(ticket) > _MAX_TICKET_CHARS:
        return None
    entry, incarnation, n, mac = parts
    if not (n.isascii() and n.isdigit()):
        return None
    return ParsedTicket(entry, incarnation, int(n), mac)


def issue(state: EntryState, team: str, at_ms: int) -> str | None:
    """Return a new ticket, or None when too many are unused."""
    tickets = state.claims.tickets
    expire(state, at_ms)
    if len(tickets.unused) >= MAX_UNUSED_TICKETS:
        return None
    if not tickets.secret:
        tickets.secret = state.rng.randbytes(32)
    tickets.last_n += 1
    tickets.unused[tickets.last_n] = UnusedTicket(team, at_ms + TICKET_TTL_MS)
    return f"{_unsigned(state, tickets.last_n)}.{_mac(state, tickets.last_n)}"


def is_authentic(state: EntryState, ticket: ParsedTicket) -> bool:
    """Tell whether this incarnation issued the ticket."""
    tickets = state.claims.tickets
    if not 0 < ticket.n <= tickets.last_n:
        return False
    return hmac.compare_digest(ticket.mac.encode(), _mac(state, ticket.n).encode())


def expire(state: EntryState, at_ms: int) -> None:
    """Remove expired unused tickets; their requests are never dispatched."""
    unused = state.claims.tickets.unused
    while unused:
        n = next(iter(unused))
        if unused[n].expires_ms > at_ms:
            return
        del unused[n]


def _unsigned(state: EntryState, n: int) -> str:
    return f"{state.identity.entry}.{state.identity.incarnation}.{n}"


def _mac(state: EntryState, n: int) -> str:
    secret = state.claims.tickets.secret
    return hmac.digest(secret, _unsigned(state, n).encode(), "sha256").hex()
