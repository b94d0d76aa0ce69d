"""Bounds and intervals of the protocol, in milliseconds unless named otherwise."""

__all__ = [
    "CAS_TIMEOUT_MS",
    "CLAIM_ANSWER_TIMEOUT_MS",
    "CLAIM_LEASE_WINDOW_MS",
    "CLAIM_POLL_MS",
    "CLAIM_RETENTION_MS",
    "CLAIM_TIMEOUT_MS",
    "CLAIM_WRITE_BURST",
    "CLAIM_WRITES_PER_S",
    "DRIFT_FACTOR",
    "HEARTBEAT_MS",
    "IN_FORCE_BOUND_MS",
    "LEDGER_WRITE_INTERVAL_MS",
    "MAX_CLAIM_TRIES",
    "MAX_PEER_HOPS",
    "MAX_QUARANTINE_DIGESTS",
    "MAX_RETAINED_BODY_BYTES",
    "MAX_RETAINED_OUTCOMES",
    "MAX_STORED_BODY_BYTES",
    "MAX_TASK_LEASE_MS",
    "MAX_UNUSED_TICKETS",
    "MEMBER_LEASE_MS",
    "OUTCOME_RETENTION_MS",
    "PEER_SILENCE_MS",
    "QUARANTINE_KILLS",
    "READINESS_GRACE_MS",
    "RECLAIM_GRACE_MS",
    "START_WINDOW_MS",
    "STATUS_INTERVAL_MS",
    "SURPLUS_HOLD_MS",
    "TASK_LEASE_MS",
    "TICKET_TTL_MS",
    "TICK_MS",
    "URGENT_START_BOUND_MS",
]

# Promised to users: changes, withdrawals and take-outs hold within this time.
IN_FORCE_BOUND_MS = 5_000
URGENT_START_BOUND_MS = 1_100

TICK_MS = 100
HEARTBEAT_MS = 1_000
PEER_SILENCE_MS = 3_000
STATUS_INTERVAL_MS = 500

MEMBER_LEASE_MS = 10_000
# A backend server refuses a task that reaches it later than this after the decision.
START_WINDOW_MS = 2_000
TASK_LEASE_MS = 10_000
MAX_TASK_LEASE_MS = 30_000
# Clocks of different machines run at rates that differ by less than this factor.
DRIFT_FACTOR = 1.01
RECLAIM_GRACE_MS = int(
    (MEMBER_LEASE_MS + START_WINDOW_MS + MAX_TASK_LEASE_MS) * DRIFT_FACTOR
)

CAS_TIMEOUT_MS = 1_000
LEDGER_WRITE_INTERVAL_MS = 1_000
SURPLUS_HOLD_MS = 2_000

TICKET_TTL_MS = 60_000
OUTCOME_RETENTION_MS = 600_000
CLAIM_RETENTION_MS = 86_400_000

# One lease serves the claims of a window, so that a claim costs one store call.
CLAIM_LEASE_WINDOW_MS = 3_600_000
CLAIM_TIMEOUT_MS = 5_000
MAX_CLAIM_TRIES = 3
# At the target size 55 entries write 275/s; the store takes several hundred.
CLAIM_WRITES_PER_S = 5
CLAIM_WRITE_BURST = 40
CLAIM_POLL_MS = 500
CLAIM_ANSWER_TIMEOUT_MS = 3_000
# Entry, relay of its data centre, relay of the other data centre, entry.
MAX_PEER_HOPS = 3

MAX_UNUSED_TICKETS = 20_000
MAX_RETAINED_OUTCOMES = 10_000
MAX_RETAINED_BODY_BYTES = 16 * 1024 * 1024
# The store holds values of up to 1 MB and serves all entries.
MAX_STORED_BODY_BYTES = 64 * 1024

QUARANTINE_KILLS = 2
MAX_QUARANTINE_DIGESTS = 10_000

# Load balancers notice an unready entry with a lag.
READINESS_GRACE_MS = 5_000
