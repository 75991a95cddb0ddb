"""One scale run, or one a size: played, measured, and told as plain values.

Owns the form of a result: `counts` follow from plan and seed, `measured` are this machine's. Each size of a
sweep, and each size of which memory is taken, is a process of its own; they end with this one, however that
ends.
"""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
from tqdm import tqdm

from bellrack.lab.scale import figures
from bellrack.lab.scale.guard import MemoryGuard
from bellrack.lab.scale.plan import TARGET_BALANCERS, Plan, parse_plan, resize_plan
from bellrack.lab.scenario import ScenarioError

VERSION = 1
LEAST = 3  # sizes of a fit
GROWS, FAR = 0.05, 10  # slope, and times the target, from which on no size is named that reaches a budget
DIE_WITH_PARENT = 1  # PR_SET_PDEATHSIG
LAST_WORD = 5.0  # seconds that a child gets to end
MEMORY_WARM_UP_SECONDS = (
    20.0  # virtual seconds after which memory is taken: all that stands a while has been said once
)


def result_of(
    plan: Plan, seed: int, world: Any, guard: MemoryGuard, memory_mb: float | None
) -> dict[str, Any]:
    """Of a world that was played; the two faces have the same form."""
    members = figures.by_role(world.measurements)
    counts = {name: figures.role_counts(some, plan.duration) for name, some in members.items()}
    discovery_stub = world.discovery_stub.measurements
    counts["discovery"] = {
        name: getattr(discovery_stub, name)
        for name in ("watches", "fetches", "lines", "bytes_in", "bytes_out")
    }
    counts["tier"] = {
        "faults": world.faults,
        "restarts": world.restarts,
        "lost_datagrams": world.lost_datagrams,
    }
    times = {name: figures.processor_times(some, plan.duration) for name, some in members.items()}
    times["discovery"] = {
        "core": discovery_stub.cpu_ns / plan.duration / 1e9,
        "longest_turn": discovery_stub.longest_turn_ns / 1e9,
    }
    return {
        "version": VERSION,
        "name": plan.name,
        "time": plan.time,
        "seed": seed,
        "lean": plan.lean,
        "balancers": plan.balancers,
        "real": plan.real,
        "servers": plan.servers,
        "seconds": plan.duration,
        "plan": msgspec.to_builtins(plan),
        "counts": counts,
        "measured": times | {"memory_mb": memory_mb, "run_memory_mb": round(guard.peak_mb, 1)},
        "budgets": figures.budgets(counts, times, memory_mb),
    }


def play(plan: Plan, seed: int, quiet: bool = False) -> dict[str, Any]:
    """In this process, but for the weighing. Raises ScenarioError for what cannot be played or must stop."""
    guard = MemoryGuard(plan.limits.memory_mb)
    memory = memory_per_balancer(plan, seed) if plan.memory_sizes else None
    length = plan.warm_up + plan.duration
    with tqdm(
        total=length,
        desc=f"{plan.name} {plan.total_balancers}x{plan.servers}",
        unit="s",
        disable=quiet or None,
        bar_format="{l_bar}{bar}| {n:.1f}/{total:.0f} s [{elapsed}]",
    ) as bar:

        def tell(at: float) -> None:
            bar.update(at - bar.n)

        if plan.time == "real":
            from bellrack.lab.scale import real

            world = real.play(plan, seed, guard, tell)
        else:
            from bellrack.lab.scale.virtual import VirtualTier

            world = VirtualTier(plan, seed, guard).play(tell)
    result = result_of(plan, seed, world, guard, memory)
    if plan.time == "real":
        result["measured"]["real"] = world.real_measurements()
    return result


def memory_per_balancer(plan: Plan, seed: int) -> float:
    """Memory of one balancer in MB: two sizes before the same servers, the difference over that of sizes."""
    small, large = plan.memory_sizes
    bare = msgspec.structs.replace(
        plan,
        lean=False,
        time="virtual",
        real=0,
        warm_up=MEMORY_WARM_UP_SECONDS,
        duration=1.0,
        trouble=[],
        memory_sizes=[],
    )
    least, most = (run_child("weigh", bare, seed, True, size) for size in (small, large))
    return (most["rss_mb"] - least["rss_mb"]) / (large - small)


def measure_memory(plan: Plan, seed: int, size: int) -> dict[str, Any]:
    """In a child: resident memory with so many balancers of the tier."""
    import gc

    from bellrack.lab.scale.guard import resident_mb
    from bellrack.lab.scale.virtual import VirtualTier

    world = VirtualTier(plan, seed, MemoryGuard(plan.limits.memory_mb), played=size).play()
    gc.collect()
    return {"rss_mb": resident_mb(), "balancers": len(world.nodes)}


def sweep(plan: Plan, sizes: Iterable[int], seed: int, quiet: bool = False) -> Iterator[dict[str, Any]]:
    """A result a size, smallest first; servers in proportion. Raises ScenarioError, for a size that cannot be
    played before anything is."""
    plans = [resize_plan(plan, size) for size in sorted(set(sizes))]
    for one in plans:
        yield run_child("run", one, seed, quiet)


# What is printed.

TABLE = (
    ("balancers", "balancers", "{}"),
    ("servers", "servers", "{}"),
    ("role", "role", "{}"),
    ("in", "in B/s", "{:.0f}"),
    ("out", "out B/s", "{:.0f}"),
    ("fan", "to all B/s", "{:.0f}"),
    ("datagrams_in", "datagrams in/s", "{:.1f}"),
    ("list_in", "list B/s", "{:.0f}"),
    ("wire", "with heads, most", "{:.0f}"),
    ("steps", "steps/s", "{:.0f}"),
    ("core", "core", "{:.4f}"),
    ("longest", "longest turn, s", "{:.4f}"),
    ("memory", "MB", "{:.2f}"),
    ("over", "over budget", "{}"),
)
# Of a role: what is fitted over sizes, and its budget.
FITTED = (
    ("payload bytes in a second", "in", None),
    ("payload bytes out a second, once for each receiver", "fan", None),
    ("bytes a second, both ways, with heads, the most of one", "wire", figures.BUDGET_BYTES_PER_SECOND),
    ("share of a core, the most of one", "core", figures.BUDGET_CORE_SHARE),
    ("memory of one balancer, MB", "memory", figures.BUDGET_MEMORY_MB),
)


def table_rows(result: dict[str, Any]) -> list[dict[str, Any]]:
    """A row a role. Bytes are payload but for `wire`; `fan` counts a broadcast once for each receiver."""
    told = []
    for role in ("plain", "aggregator", "busiest"):
        counts, times = result["counts"][role], result["measured"][role]
        if not counts["balancers"]:
            continue
        each = counts["each_second"]
        told.append(
            {
                "balancers": result["balancers"],
                "servers": result["servers"],
                "role": role,
                "in": each["in_bytes"],
                "out": each["out_bytes"],
                "fan": each["fan_bytes"],
                "datagrams_in": each["in_datagrams"],
                "list_in": each["list_in"],
                "steps": each["steps"],
                "wire": counts["wire"]["most"],
                "core": times["core_most"],
                "longest": times["longest_turn"],
                "memory": result["measured"]["memory_mb"] if role == "plain" else None,
                "over": [
                    row["what"].split()[0] for row in result["budgets"] if row["role"] == role and row["over"]
                ],
            }
        )
    discovery_stub = result["counts"]["discovery"]
    told.append(
        {key: None for key, _, _ in TABLE}
        | {
            "balancers": result["balancers"],
            "servers": result["servers"],
            "role": "discovery",
            "in": discovery_stub["bytes_in"] / result["seconds"],
            "out": discovery_stub["bytes_out"] / result["seconds"],
            "core": result["measured"]["discovery"]["core"],
            "longest": result["measured"]["discovery"]["longest_turn"],
            "over": [],
        }
    )
    return told


def fits(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A power law through each figure that has a value over 0 at three sizes or more: of two, the error of a
    slope says nothing."""
    if len({result["balancers"] for result in results}) < LEAST:
        return []
    from bellrack.lab.scale.fit import fit_power

    told = []
    for role in ("plain", "aggregator", "busiest"):
        of_role = [row for result in results for row in table_rows(result) if row["role"] == role]
        for what, key, budget in FITTED:
            points = [(row["balancers"], row[key]) for row in of_role if row[key]]
            if len(points) < LEAST:
                continue
            fit = fit_power(*zip(*points))
            breaks = (budget / fit.factor) ** (1 / fit.slope) if budget and fit.slope > GROWS else None
            breaks = breaks if breaks and breaks <= FAR * TARGET_BALANCERS else None
            told.append(
                {
                    "role": role,
                    "what": what,
                    "key": key,
                    "points": points,
                    "budget": budget,
                    "slope": fit.slope,
                    "factor": fit.factor,
                    "residual": fit.residual,
                    "error": fit.error,
                    "at_target": fit.at(TARGET_BALANCERS),
                    "breaks_at": breaks,
                }
            )
    return told


def fit_lines(fitted: list[dict[str, Any]]) -> list[str]:
    """Plain text of them."""
    told = []
    for row in fitted:
        line = (
            f"{row['role']}: {row['what']} = {row['factor']:.4g} * balancers ** {row['slope']:.3f}"
            f" +- {row['error']:.3f}, residual at most {row['residual']:.1%}; "
            f"at {TARGET_BALANCERS} extrapolated {row['at_target']:.4g}"
        )
        line += f", budget {row['budget']:g}" if row["budget"] else ""
        told.append(line + (f", reached at {row['breaks_at']:.0f}" if row["breaks_at"] else ""))
    return told


# Processes of our own.


def die_with_parent() -> None:
    """In the child, before it is anything else: it dies with us, and an interrupt at the terminal is ours."""
    ctypes.CDLL(None).prctl(DIE_WITH_PARENT, signal.SIGKILL)
    os.setsid()


def run_child(kind: str, plan: Plan, seed: int, quiet: bool, size: int = 0) -> dict[str, Any]:
    """What a process of its own found. Raises ScenarioError with its last line if it could not."""
    asked = json.dumps(
        {"kind": kind, "plan": msgspec.to_builtins(plan), "seed": seed, "quiet": quiet, "size": size}
    ).encode()
    process = subprocess.Popen(
        [sys.executable, "-m", "bellrack.lab.scale"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE if quiet else None,
        preexec_fn=die_with_parent,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
    )
    try:
        told, said = process.communicate(asked)
    finally:
        end_process(process)
    if process.returncode:
        last = (said or b"").decode(errors="replace").strip().splitlines()[-1:] or ["see above"]
        raise ScenarioError(last[0].removeprefix("bellrack lab: "))
    return json.loads(told)


def end_process(process: subprocess.Popen) -> None:
    """By its id, if it still runs."""
    if process.poll() is None:
        process.kill()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(LAST_WORD)


def run_child_task() -> int:
    """In the child: what is asked comes on standard input, the answer goes to standard output."""
    asked = json.loads(sys.stdin.buffer.read())
    plan = parse_plan(asked["plan"], asked["plan"]["name"])
    try:
        if asked["kind"] == "weigh":
            told = measure_memory(plan, asked["seed"], asked["size"])
        else:
            told = play(plan, asked["seed"], asked["quiet"])
    except ScenarioError as error:
        print(f"bellrack lab: {error}", file=sys.stderr)
        return 2
    sys.stdout.write(json.dumps(told))
    return 0
