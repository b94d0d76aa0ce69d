"""Limits and time-outs of job scheduling."""

# A start that reaches a worker later than this is rejected there, so that a start
# without an answer is settled soon.
START_WINDOW_MS = 1_000
# Time in which no start is sent before the end of the owner's own lease, so that
# a start window never outlasts the lease.
LEASE_MARGIN_MS = 1_200
# Worker clocks may be this much slow.
CLOCK_DRIFT = 0.02
# A worker answers a hold at the latest after this time without an end.
HOLD_WAIT_MS = 1_000
# A worker that has not answered for this long gets no new work.
SILENT_WORKER_MS = 1_500
# An end with the step's first failures delays the next attempt by this much.
RETRY_BACKOFF_MS = 200
# Failures of several jobs within this span make a worker suspect.
SUSPECT_WINDOW_MS = 5_000
# A suspect worker is tried again with a single task after this time.
PROBATION_MS = 3_000
# A run whose percentage stands still for this long counts as stalled.
STALL_MS = 1_200
# Ends that a worker lists at most in one answer.
MAX_LISTED_ENDS = 500
# Starts decided in one pass; the rest waits for the next event.
MAX_STARTS_PER_PASS = 64
# Jobs whose first progress is being stored at most, so that under overload those that
# wait for room stay known as never started. A save takes 0.3 s while the store is slow.
MAX_PENDING_FIRST_SAVES = 30
# Run numbers that one owner may give to a task.
RUNS_PER_EPOCH = 1_000
# A final job is kept for this long beyond the retention that the platform asks.
RETENTION_MARGIN_MS = 10_000
# Share of a serving target above which filling tasks are slowed down.
PACE_DOWN_AT = 0.75
# Share of a serving target below which filling tasks are sped up.
PACE_UP_AT = 0.5
# Least time between two changes of pace on a worker.
PACE_INTERVAL_MS = 400
# A reservation of a worker lapses after this time unless it is repeated.
RESERVATION_MS = 2_000
# Workers' leases end at most this long after the owner's own lease.
WORKER_LEASE_TAIL_MS = 3_500
# After a takeover no lasting run is moved for this long: a stop that an earlier
# owner sent may still be under way.
MIGRATION_DELAY_MS = 3_000
# After a takeover lasting tasks start only once the fleet's owner has asked, or this
# time has passed.
FIRST_REPORT_TIMEOUT_MS = 800
