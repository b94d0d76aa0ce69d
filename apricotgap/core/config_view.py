"""The configuration in force at this entry instance, and its age."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from apricotgap.core import limits, membership
from apricotgap.core.config_codec import Root, Snapshot
from apricotgap.model import CutOffPolicy

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "Candidate",
    "ViewCase",
    "ViewState",
    "accepts_keyed",
    "age_ms",
    "in_force_report",
    "team_of_key",
    "view_case",
]


class ViewCase(StrEnum):
    """Whether the view is confirmed by the store, and if not, why.

    ``LINKED``: the view was confirmed within the bound. ``STORE_DOWN``: every other
    entry instance is alive and none reaches the store, so no change can have been
    accepted. ``ISOLATED``: others may have accepted changes that are unknown here.
    """

    LINKED = "linked"
    STORE_DOWN = "store_down"
    ISOLATED = "isolated"


@dataclass(slots=True)
class Candidate:
    """A newer root whose parts are still being fetched.

    `store_revision` and `seen_ms` are None for a root received from a peer;
    `seen_ms` is a time at which the store held the root.
    """

    root: Root
    blob: bytes
    store_revision: int | None
    seen_ms: int | None
    peer: str | None
    blobs: dict[str, bytes] = field(default_factory=dict)
    started_ms: int = 0
    requested_ms: int = 0
    from_store: bool = False


@dataclass(slots=True)
class ViewState:
    """Root, parts and freshness of the configuration.

    `store_revision` is the store revision of the root key, None while it is unknown
    for the root in force. `confirmed_ms` and `relayed_ms` are the last times at
    which the store had no newer root, known from an own read or from a peer.
    `rolled_back_to` is the root revision found in a store that was restored from an
    older state; `diverged` is True while the store holds a history without the root
    in force.
    """

    root: Root | None = None
    root_blob: bytes = b""
    snapshot: Snapshot = field(default_factory=Snapshot)
    store_revision: int | None = None
    candidate: Candidate | None = None
    installed_ms: int = 0
    confirmed_ms: int | None = None
    relayed_ms: int | None = None
    rolled_back_to: int | None = None
    diverged: bool = False
    n_reads: int = 0
    read_call: str = ""
    read_sent_ms: int = 0
    next_read_ms: int = 0
    read_due: bool = False
    watch_broken_ms: int | None = None
    n_refused: int = 0
    refused: set[str] = field(default_factory=set)
    superseded_since: dict[str, int] = field(default_factory=dict)
    roots_sent: dict[str, tuple[int, int]] = field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Revision in force, 0 while there is none."""
        return self.root.revision if self.root else 0


def age_ms(state: EntryState, at_ms: int) -> int | None:
    """Return the age of the last direct or relayed confirmation.

    Returns
    -------
    int or None
        Age in milliseconds; None if the view was never confirmed.
    """
    times = [
        t for t in (state.view.confirmed_ms, state.view.relayed_ms) if t is not None
    ]
    return at_ms - max(times) if times else None


def is_fresh(age: int | None) -> bool:
    """Return whether an age in milliseconds is within the bound promised to users."""
    return age is not None and age <= limits.IN_FORCE_BOUND_MS


def view_case(state: EntryState, at_ms: int) -> ViewCase:
    """Return whether the view is confirmed, and if not, why."""
    if is_fresh(age_ms(state, at_ms)):
        return ViewCase.LINKED
    others = membership.expected_entries(state)
    if not all(membership.is_certainly_alive(state, entry, at_ms) for entry in others):
        return ViewCase.ISOLATED
    if any(peer_reaches_store(peer) for peer in state.members.peers.values()):
        return ViewCase.ISOLATED
    return ViewCase.STORE_DOWN


def peer_reaches_store(peer: membership.PeerInfo) -> bool:
    """Return whether a peer's last heartbeat shows recent store contact."""
    ages = (peer.store_age_ms, peer.direct_store_age_ms)
    return any(
        age is not None and age <= limits.STORE_CONTACT_MAX_AGE_MS for age in ages
    )


def team_of_key(state: EntryState, digest: str) -> str | None:
    """Return the team of a key, None if the key or its team is not in force."""
    record = state.config.keys.get(digest)
    if record is None or record.team not in state.config.teams:
        return None
    return record.team


def accepts_keyed(state: EntryState, team: str, at_ms: int) -> bool:
    """Return whether new requests with a key of the team may be accepted."""
    if state.members.replaced or team not in state.config.teams:
        return False
    if view_case(state, at_ms) is not ViewCase.ISOLATED:
        return True
    return state.config.teams[team].when_cut_off is CutOffPolicy.SERVE


def in_force_report(state: EntryState, at_ms: int) -> dict[str, Any]:
    """Report which entry instances lack the configuration in force here.

    Returns
    -------
    dict of str to object
        ``missing`` names known entry instances that have not acknowledged the
        revision, ``isolated_data_centres`` data centres without a live entry
        instance. ``in_force`` is True when both lists are empty and the view is
        confirmed.
    """
    view = state.view
    acks = membership.acknowledged_revisions(state)
    known = membership.other_entries(state)
    missing = sorted(e for e in known if acks.get(e, 0) < view.revision)
    heard = {
        member.data_centre
        for entry, member in known.items()
        if membership.is_certainly_alive(state, entry, at_ms)
    }
    all_centres = {member.data_centre for member in known.values()}
    isolated = sorted(all_centres - heard - {state.identity.data_centre, ""})
    case = view_case(state, at_ms)
    return {
        "revision": view.revision,
        "in_force": case is ViewCase.LINKED and not missing and not isolated,
        "case": case.value,
        "age_ms": age_ms(state, at_ms),
        "missing": missing,
        "isolated_data_centres": isolated,
        "store_rolled_back_to": view.rolled_back_to,
        "store_diverged": view.diverged,
        "n_refused_documents": view.n_refused,
        "fetching_revision": view.candidate.root.revision if view.candidate else None,
    }
