"""How fast the virtual face is, and where its time goes, from small deployments to large ones.

Owns the sizes and the measurement. Each size is played in a process of its own, so that its peak of memory
is its own. Seconds here are this machine's: they go into no result of a run, and into no test.
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
SECONDS = 20.0
A_SERVER = 5.0  # new connections a second
LIFE = 33.0
TOP = 12  # functions that a profile shows


def scenario_of(balancers: int, servers: int, seconds: float) -> dict[str, Any]:
    """A deployment of this size under its usual load, half of it in each zone."""
    rate = A_SERVER * servers
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
        "clients": {"rate": rate, "life": LIFE, "standing": round(rate * LIFE)},
        "store": {"rate": 100 * rate},
        "trouble": [
            {"kind": "crash", "at": seconds / 4, "lasts": seconds / 4, "count": max(1, servers // 20)},
            {"kind": "drop", "at": 0.6 * seconds, "share": 0.1},
        ],
    }


def measure(size: tuple[int, int], seconds: float = SECONDS, profile: bool = False) -> dict[str, Any]:
    """One size: calls decided a second of this machine's, and its peak of memory."""
    scenario = parse_scenario(scenario_of(*size, seconds))
    profiler = cProfile.Profile() if profile else None
    begun = time.perf_counter()
    if profiler:
        profiler.enable()
    world = runs.play(scenario, 1)
    if profiler:
        profiler.disable()
    played = time.perf_counter() - begun
    result = runs.result_of(world, "bellrack")
    judged = time.perf_counter() - begun - played
    row = {
        "balancers": size[0],
        "servers": size[1],
        "standing": scenario.clients.standing,
        "calls": result["calls"],
        "legs": result["legs"],
        "events": world.event_queue.count,
        "seconds": played,
        "judging": judged,
        "of_virtual": seconds,
        "calls_a_second": result["calls"] / played,
        "us_a_call": 1e6 * played / result["calls"],
        "us_an_event": 1e6 * played / world.event_queue.count,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "kept": result["kept"],
    }
    if profiler:
        row["profile"] = top(profiler)
    return row


def top(profiler: cProfile.Profile) -> list[dict[str, Any]]:
    """Where the time went: each function's own share of it, and each package's."""
    stats = pstats.Stats(profiler).stats
    whole = sum(own for _, _, own, _, _ in stats.values())
    rows = [
        {"function": f"{file.rpartition('/bellrack/')[2] or file}:{name}", "share": own / whole, "calls": n}
        for (file, _, name), (_, n, own, _, _) in stats.items()
    ]
    rows.sort(key=lambda row: -row["share"])
    parts: dict[str, float] = {}
    for (file, _, _), (_, _, own, _, _) in stats.items():
        part = (
            "decisions"
            if file.endswith(("/choice.py", "/accounting.py", "/model.py"))
            else "the lab"
            if "/bellrack/lab/" in file
            else "interpreter and libraries"
        )
        parts[part] = parts.get(part, 0.0) + own / whole
    return rows[:TOP] + [
        {"function": f"all of: {part}", "share": share, "calls": 0} for part, share in parts.items()
    ]


def measure_sizes(
    sizes: tuple[tuple[int, int], ...] = SIZES, seconds: float = SECONDS, profile: bool = False
) -> list[dict[str, Any]]:
    """A row a size, one after the other."""
    rows = []
    for size in sizes:
        with multiprocessing.get_context("spawn").Pool(1) as pool:
            rows.append(pool.apply(measure, (size, seconds, profile)))
    return rows
