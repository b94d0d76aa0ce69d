"""Bytes of a configuration change in both forms, and time until it is in force."""

import tempfile
from dataclasses import replace
from pathlib import Path
from time import thread_time_ns

import cbor2
import msgspec
import trio

from apricotgap.core import config_codec
from apricotgap.core.config_codec import Root, Snapshot
from apricotgap.core.limits import MAX_ROOT_AUTHORS
from apricotgap.model import Configuration
from bench.deployment import Deployment
from bench.fleets import TARGET, Size, configuration
from bench.measuring import Check, Sample, table

__all__ = ["change_bytes", "one_document", "run"]

SIZES = (Size(40, 10, 5, 4), Size(400, 100, 50, 8), TARGET)
N_REPEATS = 5
# Superseded parts that the root still lists between removals.
N_SUPERSEDED = 16
PROCESSES = Size(44, 40, 22, 11, 22)
N_CHANGES = 4
SLOW_MS = 700
# Design, section 1.4: bound at the target size.
MAX_IN_FORCE_MS = 13_000.0


def one_document(config: Configuration) -> bytes:
    """Return the configuration as a single document, the form not chosen."""
    return cbor2.dumps(msgspec.to_builtins(config), canonical=True)


def _root(snapshot: Snapshot, revision: int) -> bytes:
    authors = tuple(f"{i:016x}" for i in range(MAX_ROOT_AUTHORS))
    superseded = tuple(f"{i:064x}" for i in range(N_SUPERSEDED))
    root = Root(revision, snapshot.hashes, authors[0], authors, superseded)
    return config_codec.encode_root(root)


def _changed(config: Configuration, seed: int) -> Configuration:
    names = sorted(config.teams)
    name = names[seed % len(names)]
    team = replace(config.teams[name], upper_limit=500 + seed)
    return replace(config, revision=2, teams={**config.teams, name: team})


def change_bytes(config: Configuration, seed: int) -> tuple[int, int, float]:
    """Return what an entry reads for a change of one team.

    Parameters
    ----------
    config : Configuration
        Configuration before the change.
    seed : int
        Chooses the team.

    Returns
    -------
    n_one : int
        Bytes of the single document.
    n_parts : int
        Bytes of the root and of the parts that are new.
    decode_ms : float
        Processor time of an entry to take the root and the parts.
    """
    old = config_codec.encode_snapshot(config, Snapshot())
    new = config_codec.encode_snapshot(_changed(config, seed), old)
    root = _root(new, 2)
    fresh = {h: new.blobs[h] for h in new.blobs.keys() - old.blobs.keys()}
    started = thread_time_ns()
    config_codec.decode_snapshot(config_codec.decode_root(root), fresh, old)
    decode_ms = (thread_time_ns() - started) / 1e6
    n_parts = len(root) + sum(map(len, fresh.values()))
    return len(one_document(new.config)), n_parts, decode_ms


def _print_bytes() -> float:
    rows, ratio = [], 0.0
    for size in SIZES:
        config = configuration(size)
        found = [change_bytes(config, seed) for seed in range(N_REPEATS)]
        n_one, n_parts, ms = (Sample(tuple(v)) for v in zip(*found, strict=True))
        ratio = n_parts.median / n_one.median
        rows.append([size.n_workers, size.n_teams, size.n_pools, n_one.median])
        rows[-1] += [n_parts.median, ratio, ms.median, ms.spread]
    header = ("workers", "teams", "pools", "one_document_B", "root_and_parts_B")
    header += ("ratio", "decode_ms", "spread")
    print(table("change of one team, read by each entry", header, rows))
    return ratio


async def _in_force_ms(deployment: Deployment, limit: int) -> tuple[float, float]:
    started_s = trio.current_time()
    change = {"name": "team-001", "upper_limit": limit}
    accepted = await deployment.operator("team.put", change)
    accepted_s = trio.current_time()
    with trio.fail_after(60):
        while True:
            report = (await deployment.operator("status", {}))["in_force"]
            if report["in_force"] and report["revision"] >= accepted["revision"]:
                break
            await trio.sleep(0.02)
    in_force_s = trio.current_time()
    return 1000 * (accepted_s - started_s), 1000 * (in_force_s - accepted_s)


async def _measure(folder: Path) -> dict[str, list[tuple[float, float]]]:
    deployment = Deployment(folder, PROCESSES)
    try:
        await deployment.start()
        await trio.sleep(6)
        found: dict[str, list[tuple[float, float]]] = {}
        for label, slow_ms in (("up", 0), (f"{SLOW_MS} ms slower", SLOW_MS)):
            if slow_ms:
                await deployment.fault("store_slow", delay_ms=slow_ms)
                await trio.sleep(3)
            found[label] = []
            for i in range(N_CHANGES):
                limit = 500 + 10 * len(found) + i
                found[label].append(await _in_force_ms(deployment, limit))
                await trio.sleep(0.37)
        return found
    finally:
        with trio.CancelScope(shield=True):
            await deployment.stop()


def run() -> list[Check]:
    """Print bytes and times, and check the bound."""
    ratio = _print_bytes()
    with tempfile.TemporaryDirectory() as folder:
        found = trio.run(_measure, Path(folder))
    rows, slowest = [], 0.0
    for label, times in found.items():
        accepted, in_force = (Sample(tuple(v)) for v in zip(*times, strict=True))
        rows.append((label, accepted.median, max(accepted.values), in_force.median))
        rows[-1] += (max(in_force.values),)
        slowest = max(slowest, *in_force.values)
    header = ("store", "accepted_ms", "slowest", "in_force_ms", "slowest")
    title = f"one change, {PROCESSES.n_entries} entry processes, "
    title += f"{PROCESSES.n_data_centres} data centres"
    print(table(title, header, rows))
    return [
        Check("change: root and parts to one document at the target size", ratio, 1.0),
        Check("change: acceptance to in force, ms", slowest, MAX_IN_FORCE_MS),
    ]
