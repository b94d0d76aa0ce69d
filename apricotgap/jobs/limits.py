"""Limits and timeouts of job scheduling."""

# An owner checks its leases and looks at all waiting tasks at least this often.
TICK_INTERVAL_MS = 100

# A worker rejects a start that arrives later than this, so that the state of a start
# without a response is known soon.
START_WINDOW_MS = 1_000
# No start is sent this close to the end of the owner's lease, so that a start window
# never outlasts the lease.
LEASE_MARGIN_MS = 1_200
# Share by which a worker's clock may run slow.
CLOCK_DRIFT = 0.02
# A clock further behind its lower bound is that of another incarnation.
CLOCK_SLACK_MS = 100
# Factor by which a worker's lease may last longer for its owner; covers CLOCK_DRIFT.
WORKER_LEASE_STRETCH = 1.03
# A worker responds to a poll after at most this time when no run ends.
POLL_WAIT_MS = 1_000
# It responds after at most this part of a lease that is shorter, so that the next poll
# can renew the lease in time, but no sooner than the minimum.
POLL_WAIT_LEASE_FRACTION = 0.33
MIN_POLL_WAIT_MS = 200
# A worker that has not responded for this long gets no new work.
SILENT_WORKER_MS = 1_500
# A run on a worker that has not answered for this long, and that has missed an answer,
# gets a copy if its step allows duplicates.
COPY_SILENT_MS = 700
# An answer to a poll is missed this long after the worker had to respond. It covers the
# way there and back, and the pauses of a loaded owner.
MISSED_ANSWER_MS = 250
# Most runs of a task at one time, if its step allows duplicates. The worker of a copy
# may fall silent as well.
MAX_RUNS_PER_TASK = 3
# A worker with runs that may be copied responds to a poll after at most this time, so
# that a missed answer shows within COPY_SILENT_MS.
COPYABLE_POLL_WAIT_MS = COPY_SILENT_MS - MISSED_ANSWER_MS
# A worker with a long-running task that is not at work yet responds after at most this
# time: the migration of the next task of the step waits for it.
STARTING_POLL_WAIT_MS = 300
# Base delay of retries: a worker whose start failed gets no start for a multiple of it.
# It is also added to the times after which a run missing from a list counts as absent.
RETRY_BACKOFF_MS = 200
# A worker that answered within this time is unlikely to have crashed since. The time
# spans two ticks, so that each answer is seen by a scheduling pass.
FRESH_ANSWER_MS = 150
# A worker that gives no answer to a start gets none for this long, after each further
# one in a row for twice as long, up to the maximum. It may answer polls all the while.
UNANSWERED_BLOCK_MS = 600
MAX_UNANSWERED_MS = 4_800
# A worker whose starts have failed for this long does not count as room for tasks.
FAILING_STARTS_MS = 1_000
# Failures of several jobs within this window make a worker suspect.
SUSPECT_WINDOW_MS = 5_000
# A suspect worker gets a single task as a trial after this time, and another one when
# that has ended or run as long.
PROBATION_MS = 3_000
# With more than half of a pool suspect, each worker gets one after this time.
POOL_PROBATION_MS = 500
# A run that a worker still lists this long after its start has started up.
START_UP_MS = 150
# A crash shows by the first poll of the worker that fails. If that is later than this
# after the start of a run, the run had started up. Polls are up to 100 ms apart.
CRASH_SIGN_MS = START_UP_MS + 100
# The runs of a silent worker are remembered for this long, should it turn out to have
# crashed.
LOST_RUNS_MS = 60_000
# A run whose percentage does not change for this long counts as stalled.
STALL_MS = 1_200
# Maximum number of ends that a worker lists in one response.
MAX_LISTED_ENDS = 500
# A worker that could not be told to drop ends for this long, because a start to it was
# under way at each poll, gets no start until it has been told.
MAX_WITHHELD_MS = 1_000
# Maximum number of starts in one scheduling pass; the rest is left to the next pass.
MAX_STARTS_PER_PASS = 64
# Maximum number of jobs whose first progress is being stored, so that jobs waiting for
# capacity under overload remain known as never started. A save takes 0.3 s while the
# store is slow.
MAX_PENDING_FIRST_SAVES = 30
# Run numbers that one owner may assign to a task.
RUNS_PER_EPOCH = 1_000
# A run with a greater number is none of an owner. Numbers count on from those that are
# taken over, and must stay within what answers of workers may hold.
MAX_ADOPTED_RUN_ID = 2**52
# A job that has ended is kept for this long beyond the retention time that the
# platform requires.
RETENTION_MARGIN_MS = 10_000
# Ratio of latency to target of a serving task above which best-effort tasks are
# throttled.
PACE_DOWN_AT = 0.75
# Ratio below which best-effort tasks are sped up.
PACE_UP_AT = 0.5
# Minimum time between two changes of pace on a worker.
PACE_INTERVAL_MS = 400
# A reservation of a worker expires after this time unless it is repeated.
RESERVATION_MS = 2_000
# The leases of workers end at most this long after the owner's lease.
WORKER_LEASE_TAIL_MS = 3_500
# After a takeover no long-running run is migrated for this long: a stop sent by a
# previous owner may still be in flight.
MIGRATION_DELAY_MS = 3_000
# After a takeover long-running tasks start only once the fleet owner has requested a
# report, which names the reserved workers, or this time has passed.
FIRST_REPORT_TIMEOUT_MS = 800
# Maximum number of tasks of a job over all its occurrences. The owner of the shard
# keeps each task in memory.
MAX_JOB_TASKS = 20_000
