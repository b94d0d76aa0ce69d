"""Runs a deployment with failures and checks the records at the end."""

import argparse
import hashlib
import json
import secrets
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import httpcore
import trio

from demo.callers import Callers, Source
from demo.operator import Operator
from demo.processes import Fleet

__all__: list[str] = []

_EXAMPLE = Path(__file__).resolve().parent.parent / "examples/bogenwerk/fleet.yaml"
_DATA_CENTRES = ["graz", "leoben", "villach"]
_APART = "graz-stock-1"
_BOUND_S = 5.0
_SOURCES = [
    Source("quotes", "halls", "urgent", "", 12.0, 40),
    Source("stock", "weddings", "batch", "", 10.0, 80),
    Source("stock", "fairs", "batch", "", 6.0, 80),
    Source("orders", "halls", "urgent", "key", 3.0, 60),
    Source("orders", "shops", "batch", "ticket", 3.0, 60),
    Source("price-list", "", "batch", "", 5.0, 20),
    Source("backoffice", "office", "batch", "", 2.0, 500),
]


def say(text: str) -> None:
    """Show progress with the time since the start."""
    print(f"{trio.current_time() - _START[0]:5.1f} s  {text}", flush=True)


_START = [0.0]


class Demo:
    """The steps of the demonstration."""

    def __init__(self, folder: Path, store_outage_s: float) -> None:
        self.folder = folder
        self.store_outage_s = store_outage_s
        self.credential = secrets.token_urlsafe(24)
        self.fleet = Fleet(folder, _EXAMPLE, _DATA_CENTRES, 2, _APART)
        self.failures: list[str] = []
        self.keys: dict[str, str] = {}
        self.records_before_kill: list[dict[str, Any]] = []

    def check(self, holds: bool, what: str) -> None:
        """Record a failed expectation."""
        say(f"{'ok  ' if holds else 'FAIL'} {what}")
        if not holds:
            self.failures.append(what)

    async def run(self) -> int:
        """Run every step and return the exit code."""
        digest = hashlib.sha256(self.credential.encode()).hexdigest()
        await self.fleet.start(digest)
        self.operator = Operator(list(self.fleet.http.values()), self.credential)
        say(f"{len(self.fleet.entries)} entry instances and the stand-ins run")
        await self._configure()
        self.callers = Callers(self.fleet, self.keys, Random(7))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.callers.watch_readiness)
            async with trio.open_nursery() as load:
                for source in _SOURCES:
                    load.start_soon(self.callers.run, source)
                try:
                    await self._disturb()
                finally:
                    self.callers.stopping = True
            say("all callers have their outcomes")
            nursery.cancel_scope.cancel()
        return await self._finish()

    async def _configure(self) -> None:
        await self._wait_ready()
        await self.operator.must("apply", str(self.fleet.fleet_file))
        async with trio.open_nursery() as nursery:
            for team in self.fleet.spec["teams"]:
                nursery.start_soon(self._grant, team["name"])
        control = [
            {"name": name, "control": url, "state": "live"}
            for name, url in self.fleet.controls.items()
        ]
        await _post(
            f"{self.fleet.platform_url}/standin/instances",
            {"instances": control, "settled": True},
        )
        say("configuration applied, keys granted")
        await trio.sleep(2)

    async def _grant(self, team: str) -> None:
        granted = await self.operator.must("key", "grant", team)
        self.keys[team] = granted["key"]

    async def _wait_ready(self) -> None:
        for address in self.fleet.http.values():
            with trio.fail_after(20):
                while not await _is_alive(address):
                    await trio.sleep(0.1)

    async def _disturb(self) -> None:
        await trio.sleep(2)
        if self.store_outage_s:
            await self._store_outage()
        await self._kill_entry()
        await self._kill_backend()
        await self._drain_rack()
        await self._restart_backend()
        await self._race()
        await self._withdraw_key()
        await self._data_centre_out_and_back()

    async def _store_outage(self) -> None:
        for_ms = int(self.store_outage_s * 1000)
        before = (await self.operator.must("status"))["revision"]
        n_before = len(self.callers.records)
        await _post(
            f"{self.fleet.platform_url}/standin/faults",
            {"fault": "store_down", "for_ms": for_ms},
        )
        say(f"store stopped for {self.store_outage_s:.0f} s")
        await trio.sleep(2)
        code, _ = await self.operator.run("pool", "put", "extra")
        self.check(code == 6, f"a change is refused as unavailable (exit {code})")
        await trio.sleep(max(0.0, self.store_outage_s - 4))
        records = self.callers.records[n_before:]
        settled = [r for r in records if r.outcome != "open"]
        answered = [r for r in settled if r.outcome == "answered"]
        self.check(
            len(answered) > len(settled) * 0.7,
            f"during the outage {len(answered)} of {len(settled)} were answered",
        )
        await trio.sleep(8)
        after = (await self.operator.must("status"))["revision"]
        self.check(after >= before, f"revision {before} became {after}, none lost")

    async def _kill_entry(self) -> None:
        victim = "graz-1"
        self.fleet.entries[victim].send(signal.SIGKILL)
        say(f"killed entry instance {victim}")
        await trio.sleep(1)
        await self.fleet.start_entry(victim)

    async def _kill_backend(self) -> None:
        # Its records end with it; the few runs after this read go unrecorded.
        self.records_before_kill = await self._records(_APART)
        self.fleet.backends[_APART].send(signal.SIGKILL)
        say(f"killed backend server {_APART}")
        await _post(
            f"{self.fleet.platform_url}/standin/instances",
            {"instances": [{"name": _APART, "control": "", "state": "gone"}]},
        )
        await trio.sleep(2)

    async def _restart_backend(self) -> None:
        await self.fleet.restart_apart()
        control = self.fleet.controls[_APART]
        await _post(
            f"{self.fleet.platform_url}/standin/instances",
            {"instances": [{"name": _APART, "control": control, "state": "live"}]},
        )
        say(f"started backend server {_APART} again")

    async def _drain_rack(self) -> None:
        plan = await self.operator.must("intent", "plan", "drain-rack", "leoben-r2")
        say(f"plan {plan['plan_id']}: {len(plan['steps'])} steps")
        await self.operator.must("intent", "confirm", plan["plan_id"])
        done = await self._wait_plan(plan["plan_id"], 15)
        self.check(done, "the rack is drained")
        back = await self.operator.must("intent", "plan", "restore-rack", "leoben-r2")
        await self.operator.must("intent", "confirm", back["plan_id"])
        self.check(await self._wait_plan(back["plan_id"], 15), "the rack serves again")

    async def _race(self) -> None:
        kind = ("intent", "plan", "drain-instance")
        first = await self.operator.must(*kind, "villach-slots-1")
        second = await self.operator.must(*kind, "villach-slots-2")
        results: dict[str, int] = {}

        async def confirm(plan_id: str) -> None:
            code, _ = await self.operator.run("intent", "confirm", plan_id)
            results[plan_id] = code

        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirm, first["plan_id"])
            nursery.start_soon(confirm, second["plan_id"])
        codes = sorted(results.values())
        self.check(codes == [0, 3], f"one of two plans wins: {codes}")
        # Each step of an active plan raises the revision, so a plan made meanwhile
        # could not be confirmed.
        for plan_id in (id_ for id_, code in results.items() if code == 0):
            self.check(await self._wait_plan(plan_id, 15), "the instance is drained")

    async def _withdraw_key(self) -> None:
        key = hashlib.sha256(self.keys["fairs"].encode()).hexdigest()
        await self.operator.must("key", "withdraw", key)
        await trio.sleep(_BOUND_S)
        record = await self.callers.send(Source("stock", "fairs", "batch", "", 1, 10))
        self.check(
            record.kind == "key_unknown",
            f"the withdrawn key is refused: {record.outcome} {record.kind}",
        )

    async def _data_centre_out_and_back(self) -> None:
        plan = await self.operator.must(
            "intent", "plan", "take-out-data-centre", "villach"
        )
        await self.operator.must("intent", "confirm", plan["plan_id"])
        out_s = trio.current_time()
        await trio.sleep(_BOUND_S)
        before = await self._starts_in("villach")
        await trio.sleep(2)
        after = await self._starts_in("villach")
        self.check(after == before, f"no task starts in villach: {before} then {after}")
        done = await self._wait_plan(plan["plan_id"], 15)
        self.check(done, f"villach is out after {trio.current_time() - out_s:.1f} s")
        back = await self.operator.must(
            "intent", "plan", "bring-back-data-centre", "villach"
        )
        await self.operator.must("intent", "confirm", back["plan_id"])
        done = await self._wait_plan(back["plan_id"], 15)
        self.check(done, "villach is back")
        await trio.sleep(1)
        self.check(
            await self._starts_in("villach") > after, "tasks start in villach again"
        )

    async def _wait_plan(self, plan_id: str, timeout_s: float) -> bool:
        with trio.move_on_after(timeout_s):
            while True:
                plan = await self.operator.must("intent", "show", plan_id)
                if plan["state"] == "done":
                    return True
                await trio.sleep(0.3)
        say(f"plan {plan_id} is not done: {json.dumps(plan)[:600]}")
        return False

    async def _starts_in(self, data_centre: str) -> int:
        n_starts = 0
        for name in self.fleet.controls:
            if name.startswith(f"{data_centre}-"):
                n_starts += len(await self._records(name))
        return n_starts

    async def _records(self, instance: str) -> list[dict[str, Any]]:
        data = await _get(f"{self.fleet.controls[instance]}/records")
        records: list[dict[str, Any]] = data["records"]
        return records

    async def _finish(self) -> int:
        runs: Counter[str] = Counter()
        for name in self.fleet.controls:
            runs.update(r["request_digest"] for r in await self._records(name))
        runs.update(r["request_digest"] for r in self.records_before_kill)
        codes = await self.fleet.stop_entries()
        self.check(set(codes.values()) == {0}, f"every entry instance stopped: {codes}")
        await self.fleet.stop_rest()
        for name in self.fleet.http:
            log = self.folder / f"entry-{name}.log"
            text = log.read_text()
            for sign in ("Traceback", "internal_error"):
                if sign in text:
                    lines = [x for x in text.splitlines() if sign in x]
                    self.check(False, f"{log.name}: {lines[0][:300]}")
        return self._report(runs)

    def _report(self, runs: Counter[str]) -> int:
        records = self.callers.records
        by_outcome = Counter(r.outcome for r in records)
        # The killed backend server took its records along, so answers from it have
        # no run on record; only its pool is exempt.
        lost = sum(
            1
            for r in records
            if r.outcome == "open"
            or r.wrong_answer
            or (r.outcome == "answered" and not runs[r.digest] and r.queue != "stock")
        )
        duplicated = sum(1 for r in records if r.once and runs[r.digest] > 1)
        untrue = sum(1 for r in records if r.outcome == "refused" and runs[r.digest])
        self.check(untrue == 0, f"{untrue} refused requests ran")
        for kind, n in sorted(self.callers.kinds().items()):
            say(f"     {n} {kind}")
        times = sorted(
            r.ended_s - r.started_s for r in records if r.outcome == "answered"
        )
        if times:
            p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
            say(f"     answer time p50 {p50 * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms")
        print(
            f"demo: requests={len(records)} answered={by_outcome['answered']}"
            f" refused={by_outcome['refused']} unknown={by_outcome['unknown']}"
            f" lost={lost} duplicated={duplicated}",
            flush=True,
        )
        return 1 if lost or duplicated or self.failures else 0


async def _is_alive(address: str) -> bool:
    try:
        response = await httpcore_request("GET", f"http://{address}/healthz", None)
    except (httpcore.NetworkError, httpcore.TimeoutException):
        return False
    return response.status == 200


async def httpcore_request(
    method: str, url: str, data: dict[str, Any] | None
) -> httpcore.Response:
    """Make one HTTP call."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            url,
            headers=[("Content-Type", "application/json")],
            content=json.dumps(data).encode() if data is not None else None,
            extensions={"timeout": dict.fromkeys(("connect", "read", "write"), 5.0)},
        )


async def _post(url: str, data: dict[str, Any]) -> Any:
    response = await httpcore_request("POST", url, data)
    if response.status >= 300:
        raise RuntimeError(f"{url}: {response.status} {response.content!r}")
    return json.loads(response.content or b"null")


async def _get(url: str) -> Any:
    return json.loads((await httpcore_request("GET", url, None)).content)


async def _main(folder: Path, store_outage_s: float) -> int:
    _START[0] = trio.current_time()
    demo = Demo(folder, store_outage_s)
    try:
        return await demo.run()
    finally:
        demo.fleet.kill_all()


def main() -> int:
    """Parse the arguments and run the demonstration."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--store-outage-s", type=float, default=0.0)
    parser.add_argument("--keep", type=Path, help="keep settings and logs here")
    options = parser.parse_args()
    if options.keep is not None:
        options.keep.mkdir(parents=True, exist_ok=True)
        return trio.run(_main, options.keep, options.store_outage_s)
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(_main, Path(folder), options.store_outage_s)


if __name__ == "__main__":
    sys.exit(main())
