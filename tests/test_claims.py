from random import Random

import pytest

from apricotgap.core import claims, limits, outcomes
from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.claim_document import ClaimDocument, ClaimStep
from apricotgap.model import Completed, NotRun, OutcomeUnknown, RefusalKind
from apricotgap.model.peers import ClaimAnswer, ClaimQuery, TicketAnswer
from tests.request_double import Entry, FakeCluster, install_fakes

KEY = {"idempotency_key": "order-7"}


@pytest.fixture
def cluster(monkeypatch):
    install_fakes(monkeypatch)
    cluster = FakeCluster()
    Entry(cluster, "e1")
    Entry(cluster, "e2")
    cluster.connect()
    return cluster


@pytest.fixture
def e1(cluster):
    return cluster.entries["e1"]


@pytest.fixture
def e2(cluster):
    return cluster.entries["e2"]


def submit(entry, request_id, **kwargs):
    entry.submit(request_id, **(kwargs or KEY))
    entry.cluster.settle()


def run(entry, request_id, **kwargs):
    submit(entry, request_id, **kwargs)
    entry.dispatch(request_id)
    entry.finish(request_id)
    entry.cluster.settle()


def ticket(entry, key_digest="k1"):
    return entry.step(ev.TicketRequested, "c", key_digest)[0].ticket


def claim(cluster):
    (value,) = [v for k, (v, _) in cluster.store.items() if k.startswith("claims/")]
    return ClaimDocument.decode(value)


def answer(entry, request_id):
    return entry.answers[request_id][0]


@pytest.mark.parametrize("mode", ["ok", "lost", "failed"])
def test_claim_is_stored_once_before_the_request_is_queued(cluster, e1, mode):
    """Guards against a dispatch without a stored claim, even if an answer is lost."""
    e1.submit("r", **KEY)
    assert not e1.state.queues.waiting
    cluster.answer_call(mode=mode)
    cluster.settle()
    assert "r" in e1.state.queues.waiting
    assert claim(cluster).step is ClaimStep.CLAIMED


def test_refused_claim_that_takes_effect_later_is_superseded(cluster, e1, e2):
    """Guards against a delayed write that blocks the key or runs a refused request."""
    e1.submit("r1", **KEY)
    cluster.answer_call(mode="late")
    while cluster.calls:
        cluster.answer_call(mode="failed")
    assert answer(e1, "r1").kind is RefusalKind.STORE_UNAVAILABLE
    cluster.write(cluster.late_writes[0])
    submit(e2, "r2")
    assert "r2" in e2.state.queues.waiting
    assert not e1.state.queues.waiting


def test_store_down_refuses_keys_and_serves_tickets(cluster, e1):
    """Guards against dispatch without a claim and tickets that need the store."""
    e1.state.view.case = "store_down"
    e1.submit("r1", **KEY)
    e1.submit("r2", ticket=ticket(e1))
    assert answer(e1, "r1").kind is RefusalKind.STORE_UNAVAILABLE
    assert list(e1.state.queues.waiting) == ["r2"]
    assert not cluster.calls


def test_late_confirmation_after_a_pause_is_refused(cluster, e1):
    """Guards against a dispatch under a claim that may have expired."""
    e1.submit("r", **KEY)
    cluster.now += limits.CLAIM_TIMEOUT_MS + 1
    cluster.settle()
    assert answer(e1, "r").kind is RefusalKind.STORE_UNAVAILABLE
    assert claim(cluster).step is ClaimStep.ABANDONED


@pytest.mark.parametrize("same_entry", [True, False])
def test_second_submission_waits_for_the_first(cluster, e1, e2, same_entry):
    """Guards against running a request twice when the caller submits it twice."""
    second = e1 if same_entry else e2
    e1.submit("r1", **KEY)
    second.submit("r2", **KEY)
    cluster.settle()
    e1.dispatch("r1")
    e1.finish("r1")
    cluster.tick(limits.CLAIM_POLL_MS)
    cluster.settle()
    assert second.answers["r2"] == e1.answers["r1"]
    assert second.answers["r2"][1] == "answer to order-7"
    assert len(cluster.dispatched) == 1


def test_resubmission_gets_the_retained_response_even_under_load(cluster, e1):
    """Guards against "not run" for a resubmission when the queue is full."""
    run(e1, "r1")
    e1.submit("x1")
    e1.submit("x2")
    e1.step(ev.StopRequested)
    cluster.now += limits.READINESS_GRACE_MS
    submit(e1, "r2")
    assert e1.answers["r2"] == e1.answers["r1"]


def test_stored_answer_outlives_its_claimant(cluster, e1, e2):
    """Guards against losing a stored response when the claimant restarts."""
    run(e1, "r1")
    cluster.restart("e1", "i2")
    submit(e2, "r2")
    assert e2.answers["r2"] == (Completed(200, 17), "answer to order-7")


@pytest.mark.parametrize("by_ticket", [True, False])
@pytest.mark.parametrize("at", ["e1", "e2"])
def test_restarted_entry_means_outcome_unknown(cluster, e1, at, by_ticket):
    """Guards against a second run when the claimant or issuer lost its state."""
    fields = {"ticket": ticket(e1)} if by_ticket else KEY
    submit(e1, "r1", **fields)
    e1.dispatch("r1")
    cluster.restart("e1", "i2")
    submit(cluster.entries[at], "r2", **fields)
    assert isinstance(answer(cluster.entries[at], "r2"), OutcomeUnknown)
    assert len(cluster.dispatched) == 1


@pytest.mark.parametrize("expired", [False, True])
def test_silent_claimant_means_outcome_unknown(cluster, e1, e2, expired):
    """Guards against unbounded waiting for a silent peer and a second run."""
    submit(e1, "r1")
    e2.submit("r2", **KEY)
    while cluster.calls:
        cluster.answer_call()
    cluster.messages.clear()
    if expired:
        cluster.store.clear()
    cluster.tick(limits.CLAIM_ANSWER_TIMEOUT_MS)
    cluster.settle()
    assert isinstance(answer(e2, "r2"), OutcomeUnknown)


def test_unknown_token_is_never_reported_as_abandoned(cluster, e1):
    """Guards against a second run of a claim of which this entry has no record."""
    for token in ("e1.i1.99", "e1.i0.1"):
        e1.step(ev.PeerReceived, "e2", ClaimQuery("q", "claims/x", token, "d"))
        assert cluster.messages.pop()[2] == ClaimAnswer("q", "unknown")


def test_late_answer_about_an_earlier_claim_is_ignored(cluster, e1, e2):
    """Guards against superseding an active claim because an older one was abandoned."""
    e3 = Entry(cluster, "e3")
    cluster.connect()
    submit(e1, "r1")
    e2.submit("r2", **KEY)
    while cluster.calls:
        cluster.answer_call()
    (_, _, query) = cluster.messages.pop()
    e1.step(ev.RequestCancelled, "c", "r1", "k1")
    submit(e3, "r3")
    abandoned = ClaimAnswer(query.call_id, "abandoned")
    e2.step(ev.PeerReceived, "e1", abandoned)
    while cluster.calls:
        cluster.answer_call()
    e2.step(ev.PeerReceived, "e1", abandoned)
    cluster.settle()
    assert "r3" in e3.state.queues.waiting
    assert not e2.state.queues.waiting


@pytest.mark.parametrize("at", ["e1", "e2"])
@pytest.mark.parametrize("when", ["claiming", "waiting"])
def test_caller_disconnect_before_dispatch_abandons_the_claim(
    cluster, e1, e2, when, at
):
    """Guards against a key that stays blocked by a request that never ran."""
    e1.submit("r1", **KEY)
    if when == "waiting":
        cluster.settle()
    e1.step(ev.CallerDisconnected, "r1")
    cluster.settle()
    assert claim(cluster).step is ClaimStep.ABANDONED
    submit(cluster.entries[at], "r2")
    assert [*e1.state.queues.waiting, *e2.state.queues.waiting] == ["r2"]


def test_resubmission_queries_again_after_caller_disconnect(cluster, e1, e2):
    """Guards against retaining an unknown outcome for a claim that still runs."""
    submit(e1, "r1")
    submit(e2, "r2")
    e2.step(ev.CallerDisconnected, "r2")
    e1.dispatch("r1")
    e1.finish("r1")
    submit(e2, "r3")
    assert e2.answers["r3"][1] == "answer to order-7"


def test_caller_disconnect_does_not_cancel_the_resubmission(cluster, e1):
    """Guards against cancelling a request that a resubmission waits for."""
    submit(e1, "r1")
    submit(e1, "r2")
    e1.step(ev.CallerDisconnected, "r1")
    assert "r1" in e1.state.queues.waiting
    e1.step(ev.CallerDisconnected, "r2")
    assert not e1.state.queues.waiting


@pytest.mark.parametrize("at", ["e1", "e2"])
def test_key_with_another_body_is_refused(cluster, e1, at):
    """Guards against answering a request with the response to another."""
    submit(e1, "r1")
    submit(cluster.entries[at], "r2", **KEY, body_digest="other")
    assert answer(cluster.entries[at], "r2").kind is RefusalKind.KEY_REUSED


def test_claim_writes_are_limited(cluster, e1):
    """Guards against a burst of claims that exhausts the write rate of the store."""
    for n in range(limits.CLAIM_WRITE_BURST + 1):
        e1.submit(f"r{n}", idempotency_key=f"k{n}")
    assert answer(e1, f"r{limits.CLAIM_WRITE_BURST}").kind is RefusalKind.CLAIM_RATE
    assert len(cluster.calls) == limits.CLAIM_WRITE_BURST


def test_ticket_is_dispatched_once_wherever_it_is_sent(cluster, e1, e2):
    """Guards against a request with a ticket that runs twice."""
    issued = ticket(e1)
    submit(e2, "r1", ticket=issued)
    (held,) = e1.state.queues.waiting
    submit(e1, "r2", ticket=issued)
    e1.dispatch(held)
    e1.finish(held)
    submit(e2, "r3", ticket=issued)
    bodies = {e2.answers["r1"], e1.answers["r2"], e2.answers["r3"]}
    assert [body for _, body in bodies] == [f"answer to {issued}"]
    assert len(cluster.dispatched) == 1


def test_lost_issuer_ends_a_forwarded_request_as_unknown(cluster, e1, e2):
    """Guards against "not run" for a request that the issuer may have started."""
    e2.submit("r", ticket=ticket(e1))
    e2.step(ev.PeerReceived, "e3", TicketAnswer("r", "not_run"))
    e2.step(ev.PeerDisconnected, "e1")
    assert isinstance(answer(e2, "r"), OutcomeUnknown)


@pytest.mark.parametrize("by_ticket", [True, False])
def test_tickets_and_keys_work_across_data_centres_through_relays(
    cluster, e1, e2, by_ticket
):
    """Guards against tickets and keys that only work in their own data centre."""
    f1, f2 = Entry(cluster, "f1", "i1", "d2"), Entry(cluster, "f2", "i1", "d2")
    for a, b in [(e2, e1), (e1, f1), (f1, f2)]:
        a.step(ev.PeerConnected, b.name, "", "i1")
        b.step(ev.PeerConnected, a.name, "", "i1")
    fields = {"ticket": ticket(f2)} if by_ticket else KEY
    submit(f2, "r1", **fields)
    e2.submit("r2", **fields)
    cluster.settle()
    f2.dispatch("r1")
    f2.finish("r1")
    cluster.tick(limits.CLAIM_POLL_MS)
    cluster.settle()
    assert e2.answers["r2"] == f2.answers["r1"]


def test_expired_and_forged_tickets_are_refused(cluster, e1):
    """Guards against a late dispatch and against guessed tickets."""
    issued = ticket(e1)
    submit(e1, "r1", ticket=issued[:-1] + ("0" if issued[-1] != "0" else "1"))
    submit(e1, "r2", ticket=ticket(e1, "k2"))
    cluster.tick(limits.TICKET_TTL_MS)
    submit(e1, "r3", ticket=issued)
    kinds = [answer(e1, r).kind for r in ("r1", "r2", "r3")]
    invalid = RefusalKind.TICKET_INVALID
    assert kinds == [invalid, invalid, RefusalKind.TICKET_EXPIRED]


def test_refusal_voids_the_ticket(cluster, e1):
    """Guards against running an earlier submission after "not run" was reported."""
    issued = ticket(e1)
    for request_id in ("x1", "x2", "r1"):
        e1.submit(request_id, ticket=issued if request_id == "r1" else None)
    e1.state.queues.waiting.clear()
    submit(e1, "r2", ticket=issued)
    assert answer(e1, "r1") == answer(e1, "r2")
    assert answer(e1, "r1").kind is RefusalKind.QUEUE_FULL


def test_used_ticket_is_never_reported_as_expired(cluster, e1):
    """Guards against "not run" for a ticket whose retained outcome was removed."""
    issued = ticket(e1)
    run(e1, "r1", ticket=issued)
    cluster.tick(limits.OUTCOME_RETENTION_MS)
    submit(e1, "r2", ticket=issued)
    assert isinstance(answer(e1, "r2"), OutcomeUnknown)


def test_retained_outcomes_are_bounded(cluster, e1, monkeypatch):
    """Guards against memory that grows with the number of requests."""
    monkeypatch.setattr(outcomes, "MAX_RETAINED_OUTCOMES", 2)
    for n in range(4):
        run(e1, f"r{n}", idempotency_key=f"k{n}")
    own = e1.state.claims
    assert list(own.keyed.records) == ["r2", "r3"]
    assert len(own.by_key) == len(own.by_token) == len(e1.bodies) == 2


def test_conclude_empties_the_queue_and_answers_once(cluster, e1):
    """Guards against a dispatch after "not run" and against a second answer."""
    submit(e1, "r1")
    expired = NotRun(RefusalKind.WAIT_EXPIRED, "")
    e1.run(claims.conclude(e1.state, "r1", expired, None, 0))
    assert not e1.state.queues.waiting
    assert claims.conclude(e1.state, "r1", Completed(200, 0), None, 0) == []


def test_claims_share_a_lease_and_drop_it_when_writes_fail(cluster, e1):
    """Guards against a lost lease that blocks all claims of its one-hour window."""
    grants = []
    for n, mode in enumerate(["ok", "failed", "ok"]):
        effects = e1.submit(f"r{n}", idempotency_key=f"k{n}")
        grants.append(any(isinstance(effect, fx.GrantLease) for effect in effects))
        while cluster.calls:
            cluster.answer_call(mode=mode)
    assert grants == [True, False, True]


ANSWER_MODES = ["ok", "ok", "ok", "lost", "late", "failed"]


def apply_random_step(cluster, rng, n):
    """Run one random action of a caller, the store, the network or a worker."""
    entry = cluster.entries[rng.choice(sorted(cluster.entries))]
    action = rng.randrange(16)
    if action < 2:
        options = [{"idempotency_key": key} for key in "ab"]
        options += [{"ticket": t} for t in cluster.tickets]
        option = rng.choice(options)
        entry.submit(f"r{n}", **option)
        cluster.submitted[f"r{n}"] = (entry, *option.values())
    elif action < 6 and cluster.calls:
        cluster.answer_call(rng.randrange(len(cluster.calls)), rng.choice(ANSWER_MODES))
    elif action < 10 and cluster.messages:
        cluster.deliver(rng.randrange(len(cluster.messages)))
    elif action == 10 and cluster.late_writes:
        cluster.write(cluster.late_writes.pop(rng.randrange(len(cluster.late_writes))))
    elif action == 11 and entry.state.queues.waiting:
        entry.dispatch(rng.choice(sorted(entry.state.queues.waiting)))
    elif action == 12 and entry.running:
        entry.finish(rng.choice(sorted(entry.running)))
    elif action == 13 and cluster.submitted:
        request_id = rng.choice(sorted(cluster.submitted))
        at, _ = cluster.submitted[request_id]
        cancel = (ev.RequestCancelled, "c", request_id, "k1")
        at.step(*rng.choice([cancel, (ev.CallerDisconnected, request_id)]))
    elif action == 14:
        cluster.tick(rng.choice([100, 500, 3000]))
    elif action == 15 and rng.random() < 0.1:
        calls = [call for owner, call in cluster.calls if owner is entry]
        cluster.late_writes += [c for c in calls if isinstance(c, fx.StoreCas)]
        cluster.restart(entry.name, f"n{n}")


@pytest.mark.parametrize("seed", range(60))
def test_random_interleavings_run_each_submission_at_most_once(cluster, seed):
    """Guards against a second run, a false "not run" and a wrong response."""
    rng = Random(seed)
    Entry(cluster, "e3")
    cluster.connect()
    cluster.submitted = {}
    cluster.tickets = [ticket(entry) for entry in cluster.entries.values()]
    for n in range(600):
        apply_random_step(cluster, rng, n)
    sources = [r.idempotency_key or r.ticket for _, r in cluster.dispatched]
    assert len(sources) == len(set(sources))
    started = {request_id for request_id, _ in cluster.dispatched}
    for request_id, (entry, key) in cluster.submitted.items():
        outcome, body = entry.answers.get(request_id, (None, None))
        if isinstance(outcome, NotRun):
            assert request_id not in started
            assert key in "ab" or key not in sources
        if isinstance(outcome, Completed):
            assert body == f"answer to {key}"
