"""Measures the speed of virtual-time runs and profiles them, from small deployments to large ones.

Each size runs in a process of its own, so that its peak memory is not affected by other sizes. The times
depend on this machine: they are not part of any result of a run, and no test checks them.
"""

from __future__ import annotations

import cProfile
import multiprocessing
import pstats
import resource
import time
from typing import Any

from bellrack.lab import run as runs
from bellrack.lab.scenario import parse_scenario

SIZES = ((4, 8), (50, 20), (200, 60), (500, 1000))  # balancers and servers, in two zones
RUN_SECONDS = 20.0  # of virtual time
CONNECTIONS_PER_SERVER_SECOND = 5.0
LIFE_SECONDS = 33.0  # mean lifetime of a connection
FUNCTIONS_SHOWN = 12  # in a profile


def scenario_tables(balancers: int, servers: int, seconds: float) -> dict[str, Any]:
    """Return the tables of a deployment of this size under a usual load, half of it in each of two zones."""
    rate = CONNECTIONS_PER_SERVER_SECOND * servers
    return {
        "name": f"speed-{balancers}x{servers}",
        "length": seconds,
        "tail": 1.0,
        "zone": [{"name": name, "balancers": balancers // 2} for name in ("north", "south")],
        "kind": [{"name": "std", "sheds": "heaviest"}],
        "servers": [{"zone": name, "kind": "std", "count": servers // 2} for name in ("north", "south")],
        "type": [
            {"name": "view"},
            {"name": "edit", "effect": "referenced"},
            {"name": "order", "effect": "once-only"},
        ],
        "groups": {"count": 10 * servers, "cost": 0.5},
        "load": {"mean": 0.005},
        "clients": {"rate": rate, "life": LIFE_SECONDS, "standing": round(rate * LIFE_SECONDS)},
        "store": {"rate": 100 * rate},
        "trouble": [
            {"kind": "crash", "at": seconds / 4, "lasts": seconds / 4, "count": max(1, servers // 20)},
            {"kind": "drop", "at": 0.6 * seconds, "share": 0.1},
        ],
    }


def measure(size: tuple[int, int], seconds: float = RUN_SECONDS, profile: bool = False) -> dict[str, Any]:
    """Run one size, and return its speed in wall-clock time and its peak memory, with a profile if asked."""
    scenario = parse_scenario(scenario_tables(*size, seconds))
    profiler = cProfile.Profile() if profile else None
    started = time.perf_counter()
    if profiler:
        profiler.enable()
    world = runs.play(scenario, 1)
    if profiler:
        profiler.disable()
    run_seconds = time.perf_counter() - started
    result = runs.result_of(world, "bellrack")
    check_seconds = time.perf_counter() - started - run_seconds
    row = {
        "balancers": size[0],
        "servers": size[1],
        "standing": scenario.clients.standing,
        "calls": result["calls"],
        "legs": result["legs"],
        "events": world.event_queue.count,
        "seconds": run_seconds,
        "judging": check_seconds,
        "of_virtual": seconds,
        "calls_a_second": result["calls"] / run_seconds,
        "us_a_call": 1e6 * run_seconds / result["calls"],
        "us_an_event": 1e6 * run_seconds / world.event_queue.count,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "kept": result["kept"],
    }
    if profiler:
        row["profile"] = profile_rows(profiler)
    return row


def profile_rows(profiler: cProfile.Profile) -> list[dict[str, Any]]:
    """Return the shares of the time spent in the costliest functions themselves, and in groups of files."""
    stats = pstats.Stats(profiler).stats
    total = sum(own for _, _, own, _, _ in stats.values())
    rows = [
        {"function": f"{file.rpartition('/bellrack/')[2] or file}:{name}", "share": own / total, "calls": n}
        for (file, _, name), (_, n, own, _, _) in stats.items()
    ]
    rows.sort(key=lambda row: -row["share"])
    groups: dict[str, float] = {}
    for (file, _, _), (_, _, own, _, _) in stats.items():
        group = (
            "decisions"
            if file.endswith(("/choice.py", "/accounting.py", "/model.py"))
            else "the lab"
            if "/bellrack/lab/" in file
            else "interpreter and libraries"
        )
        groups[group] = groups.get(group, 0.0) + own / total
    return rows[:FUNCTIONS_SHOWN] + [
        {"function": f"all of: {group}", "share": share, "calls": 0} for group, share in groups.items()
    ]


def measure_sizes(
    sizes: tuple[tuple[int, int], ...] = SIZES, seconds: float = RUN_SECONDS, profile: bool = False
) -> list[dict[str, Any]]:
    """Measure the sizes one after the other, and return a row for each."""
    rows = []
    for size in sizes:
        with multiprocessing.get_context("spawn").Pool(1) as pool:
            rows.append(pool.apply(measure, (size, seconds, profile)))
    return rows
