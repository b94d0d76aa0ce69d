"""Bounds and intervals of the protocol, in milliseconds unless named otherwise."""

__all__ = [
    "CAS_TIMEOUT_MS",
    "CLAIM_RETENTION_MS",
    "DRIFT_FACTOR",
    "HEARTBEAT_MS",
    "IN_FORCE_BOUND_MS",
    "LEDGER_WRITE_INTERVAL_MS",
    "MAX_TASK_LEASE_MS",
    "MEMBER_LEASE_MS",
    "OUTCOME_RETENTION_MS",
    "PEER_SILENCE_MS",
    "PLAN_RETENTION_MS",
    "REBOOT_REPEAT_MS",
    "RECLAIM_GRACE_MS",
    "RUNNER_INTERVAL_MS",
    "RUNNER_LEASE_MS",
    "RUNNER_PAUSED_INTERVAL_MS",
    "RUNNER_RETRY_MS",
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

# Of the maintenance runner: how often it looks at the plans (less often while all
# are paused), its lease, how often others look for a free role, and how often a
# reboot request is repeated until the instance reports a new boot.
RUNNER_INTERVAL_MS = 500
RUNNER_PAUSED_INTERVAL_MS = 2_000
RUNNER_LEASE_MS = 10_000
RUNNER_RETRY_MS = 3_000
REBOOT_REPEAT_MS = 10_000
PLAN_RETENTION_MS = 86_400_000
