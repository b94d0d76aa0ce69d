"""Limits, intervals and timeouts, in milliseconds unless named otherwise."""

__all__ = [
    "CAS_TIMEOUT_MS",
    "CHANGE_RETRY_MS",
    "CHANGE_TIMEOUT_MS",
    "CLAIM_ANSWER_TIMEOUT_MS",
    "CLAIM_LEASE_WINDOW_MS",
    "CLAIM_POLL_MS",
    "CLAIM_RETENTION_MS",
    "CLAIM_TIMEOUT_MS",
    "CLAIM_WRITES_PER_S",
    "CLAIM_WRITE_BURST",
    "CONFIRM_INTERVAL_MS",
    "CONFIRM_MAX_AGE_MS",
    "DRIFT_FACTOR",
    "HEARTBEAT_MS",
    "IDLE_UNITS_HOLD_MS",
    "IN_FORCE_BOUND_MS",
    "LEDGER_WRITE_BURST",
    "LEDGER_WRITE_INTERVAL_MS",
    "MAX_CHANGE_ATTEMPTS",
    "MAX_CLAIM_TRIES",
    "MAX_PART_REMOVALS_PER_CHANGE",
    "MAX_PEER_BUFFER_BYTES",
    "MAX_PEER_BUFFER_MESSAGES",
    "MAX_PEER_HOPS",
    "MAX_PEER_MESSAGE_BYTES",
    "MAX_QUARANTINE_DIGESTS",
    "MAX_RETAINED_BODY_BYTES",
    "MAX_RETAINED_OUTCOMES",
    "MAX_ROOT_AUTHORS",
    "MAX_STORED_BODY_BYTES",
    "MAX_STORE_VALUE_BYTES",
    "MAX_TASK_LEASE_MS",
    "MAX_UNUSED_TICKETS",
    "MAX_WAITING_CHANGES",
    "MEMBER_LEASE_MS",
    "N_BUDGET_BUCKETS",
    "N_INSTANCE_BUCKETS_PER_DATA_CENTRE",
    "N_KEY_BUCKETS",
    "N_POOL_BUCKETS",
    "N_QUEUE_BUCKETS",
    "N_STEPS_PER_PART",
    "N_TEAM_BUCKETS",
    "OUTCOME_RETENTION_MS",
    "PART_FETCH_TIMEOUT_MS",
    "PART_RETENTION_MS",
    "PEER_BACKOFF_MAX_MS",
    "PEER_BACKOFF_MIN_MS",
    "PEER_HANDSHAKE_TIMEOUT_MS",
    "PEER_PING_INTERVAL_MS",
    "PEER_PING_TIMEOUT_MS",
    "PEER_SILENCE_MS",
    "PLAN_RETENTION_MS",
    "QUARANTINE_KILLS",
    "READINESS_GRACE_MS",
    "REBOOT_REPEAT_MS",
    "RECLAIM_GRACE_MS",
    "ROOT_RELAY_DELAY_MS",
    "ROOT_RELAY_RETRY_MS",
    "ROW_RELEASE_TIMEOUT_MS",
    "RUNNER_INTERVAL_MS",
    "RUNNER_LEASE_MS",
    "RUNNER_PAUSED_INTERVAL_MS",
    "RUNNER_RETRY_MS",
    "START_WINDOW_MS",
    "STATUS_INTERVAL_MS",
    "STORE_CONTACT_MAX_AGE_MS",
    "TASK_LEASE_MS",
    "TICKET_TTL_MS",
    "TICK_MS",
    "URGENT_START_BOUND_MS",
]

# Promised to users: configuration changes, withdrawals of keys and closed data centres
# take effect within this time.
IN_FORCE_BOUND_MS = 5_000
URGENT_START_BOUND_MS = 1_100

TICK_MS = 100
HEARTBEAT_MS = 1_000
PEER_SILENCE_MS = 3_000
STATUS_INTERVAL_MS = 500

MEMBER_LEASE_MS = 10_000
# A backend server refuses a task that arrives later than this after the decision to
# dispatch it.
START_WINDOW_MS = 2_000
TASK_LEASE_MS = 10_000
MAX_TASK_LEASE_MS = 30_000
# The rates of the monotonic clocks of different machines differ by less than this.
DRIFT_FACTOR = 1.01
RECLAIM_GRACE_MS = int(
    (MEMBER_LEASE_MS + START_WINDOW_MS + MAX_TASK_LEASE_MS) * DRIFT_FACTOR
)

CAS_TIMEOUT_MS = 1_000
# An entry instance writes one document per interval on average. Bursts let the teams
# of several buckets get their first units within URGENT_START_BOUND_MS.
LEDGER_WRITE_INTERVAL_MS = 500
LEDGER_WRITE_BURST = 24
IDLE_UNITS_HOLD_MS = 2_000

TICKET_TTL_MS = 60_000
OUTCOME_RETENTION_MS = 600_000
CLAIM_RETENTION_MS = 86_400_000

# The claims of a window share one lease, so that each claim costs one store call.
CLAIM_LEASE_WINDOW_MS = 3_600_000
CLAIM_TIMEOUT_MS = 5_000
MAX_CLAIM_TRIES = 3
# With 55 entry instances this is 275 writes/s; the store handles several hundred.
CLAIM_WRITES_PER_S = 5
CLAIM_WRITE_BURST = 40
CLAIM_POLL_MS = 500
CLAIM_ANSWER_TIMEOUT_MS = 3_000
# Entry instance, relay of its data centre, relay of the other one, entry instance.
MAX_PEER_HOPS = 3

MAX_UNUSED_TICKETS = 20_000
MAX_RETAINED_OUTCOMES = 10_000
MAX_RETAINED_BODY_BYTES = 16 * 1024 * 1024
# The store accepts values of up to 1 MB and is shared by all entry instances.
MAX_STORED_BODY_BYTES = 64 * 1024

QUARANTINE_KILLS = 2
MAX_QUARANTINE_DIGESTS = 10_000

# Load balancers detect an entry instance that is not ready with a delay.
READINESS_GRACE_MS = 5_000
# Longest time for which a shutdown waits until its allotment rows are released.
ROW_RELEASE_TIMEOUT_MS = 3_000
# Ages of the last confirmation after which an entry instance reads the root. The relay
# of a data centre reads at the lower age and the others mostly rely on its heartbeats;
# the higher age leaves time for two timed-out reads within IN_FORCE_BOUND_MS.
CONFIRM_INTERVAL_MS = 1_000
CONFIRM_MAX_AGE_MS = 2_500
# An entry instance that reaches the store renews its lease or reads the root more
# often than this.
STORE_CONTACT_MAX_AGE_MS = 3_000
PART_FETCH_TIMEOUT_MS = 1_000
# The store's watch usually delivers a new root first; the delay avoids a second copy.
ROOT_RELAY_DELAY_MS = 300
ROOT_RELAY_RETRY_MS = 2_000

# With 2,100 instances in 22 data centres, a part is about as large as the root.
N_INSTANCE_BUCKETS_PER_DATA_CENTRE = 2
N_TEAM_BUCKETS = 8
N_KEY_BUCKETS = 16
N_POOL_BUCKETS = 4
N_QUEUE_BUCKETS = 4
N_BUDGET_BUCKETS = 4
N_STEPS_PER_PART = 64
MAX_ROOT_AUTHORS = 32
MAX_STORE_VALUE_BYTES = 1_000_000

MAX_CHANGE_ATTEMPTS = 8
MAX_WAITING_CHANGES = 64
CHANGE_TIMEOUT_MS = 8_000
CHANGE_RETRY_MS = 250
PART_RETENTION_MS = 60_000
MAX_PART_REMOVALS_PER_CHANGE = 16

MAX_PEER_MESSAGE_BYTES = 4_194_304
MAX_PEER_BUFFER_BYTES = 8_388_608
MAX_PEER_BUFFER_MESSAGES = 1_024
PEER_PING_INTERVAL_MS = 1_000
PEER_PING_TIMEOUT_MS = 2_000
PEER_HANDSHAKE_TIMEOUT_MS = 3_000
PEER_BACKOFF_MIN_MS = 100
PEER_BACKOFF_MAX_MS = 2_000
# Maintenance runner: interval between checks of the plans (longer while all are
# paused), its lease, the interval at which other entry instances try to acquire the
# role, and the interval at which a reboot request is repeated until the instance
# reports a new boot.
RUNNER_INTERVAL_MS = 500
RUNNER_PAUSED_INTERVAL_MS = 2_000
RUNNER_LEASE_MS = 10_000
RUNNER_RETRY_MS = 3_000
REBOOT_REPEAT_MS = 10_000
PLAN_RETENTION_MS = 86_400_000
