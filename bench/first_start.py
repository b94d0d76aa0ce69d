"""Virtual time until urgent requests of teams without a row start."""

from apricotgap.core.limits import URGENT_START_BOUND_MS
from apricotgap.model import Priority, Request
from bench.fleets import Size, configuration
from bench.measuring import Check, table
from bench.reducer_cost import store_configuration
from proof.fake_worker import FakeWorker, Run
from proof.harness import Harness

__all__ = ["run", "start_waits_ms"]

N_TEAMS = (1, 3, 10)
ARRIVAL_INTERVAL_MS = 50
RUN_MS = 500
ARRIVALS_MS = 30_000


def start_waits_ms(n_teams: int, arrivals_ms: int = ARRIVALS_MS) -> list[int]:
    """Return the sorted times from arrival to start at one entry.

    Parameters
    ----------
    n_teams : int
        Teams whose requests take turns; none has a row at first.
    arrivals_ms : int
        How long requests arrive.

    Returns
    -------
    list of int
        Milliseconds of virtual time; requests that never start are left out.
    """
    harness = Harness(0)
    config = configuration(Size(40, n_teams, 5, 4))
    store_configuration(harness, config)
    runs: list[Run] = []
    for instance in config.instances.values():
        worker = FakeWorker(
            instance.name, harness.schedule, lambda _: RUN_MS, runs, instance.slots
        )
        harness.add_worker(instance.name, worker, instance.data_centre)
    harness.add_entry("e0", "dc00", "1-a", {})
    harness.run_for(8_000)
    digests, arrived_ms = sorted(config.keys), {}
    for i in range(arrivals_ms // ARRIVAL_INTERVAL_MS):
        request = Request(
            f"r{i}", f"queue-pool-{i % 5:03d}", digests[i % n_teams], Priority.URGENT
        )
        delay_ms = i * ARRIVAL_INTERVAL_MS
        arrived_ms[request.request_id] = harness.now_ms + delay_ms
        harness.schedule.after(delay_ms, lambda r=request: harness.submit("e0", r))
    harness.run_for(2 * arrivals_ms)
    return sorted(r.started_ms - arrived_ms[r.request_id] for r in runs)


def run() -> list[Check]:
    """Print the waits and check the bound for one team."""
    rows = []
    for n_teams in N_TEAMS:
        waits = start_waits_ms(n_teams)
        n_sent = ARRIVALS_MS // ARRIVAL_INTERVAL_MS
        middle, late = waits[len(waits) // 2], waits[int(len(waits) * 0.999)]
        rows.append((n_teams, n_sent, len(waits), middle, late, waits[-1]))
    header = ("teams", "sent", "started", "p50_ms", "p99.9_ms", "slowest_ms")
    title = "urgent requests from the first one of a team, one entry, virtual time"
    print(table(title, header, rows))
    name = "first start: p99.9 of one team without a row, ms"
    return [Check(name, rows[0][4], URGENT_START_BOUND_MS)]
