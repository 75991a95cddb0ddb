"""A scale run, or one for each of several sizes: runs it, measures it and returns plain values.

Defines the format of a result: `counts` follow from plan and seed, `measured` depends on the machine. Each
size of a sweep, and each size at which memory is measured, runs in a child process; the children end with
this process, however it ends.
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
MIN_SIZES = 3  # of a fit
# A fit names no size at which it reaches its budget if its slope is at most this, or the size is over so many
# times the target.
MIN_BUDGET_SLOPE = 0.05
MAX_EXTRAPOLATION_FACTOR = 10
PR_SET_PDEATHSIG = 1  # option of prctl
KILL_WAIT_SECONDS = 5.0  # for a killed child to end
# Virtual time before memory is measured: by then balancers have told one another each lasting state once.
MEMORY_WARM_UP_SECONDS = 20.0


def result_of(
    plan: Plan, seed: int, tier: Any, guard: MemoryGuard, memory_mb: float | None
) -> dict[str, Any]:
    """The result of a finished run; of the same format on virtual and on real time."""
    roles = figures.by_role(tier.measurements)
    counts = {name: figures.role_counts(members, plan.duration) for name, members in roles.items()}
    discovery = tier.discovery_stub.measurements
    counts["discovery"] = {
        name: getattr(discovery, name) for name in ("watches", "fetches", "lines", "bytes_in", "bytes_out")
    }
    counts["tier"] = {
        "faults": tier.faults,
        "restarts": tier.restarts,
        "lost_datagrams": tier.lost_datagrams,
    }
    times = {name: figures.processor_times(members, plan.duration) for name, members in roles.items()}
    times["discovery"] = {
        "core": discovery.cpu_ns / plan.duration / 1e9,
        "longest_turn": discovery.longest_turn_ns / 1e9,
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
    """Runs a plan in this process; only memory is measured in child processes. Returns the result.

    Raises ScenarioError for a plan that cannot run, or when memory runs out.
    """
    guard = MemoryGuard(plan.limits.memory_mb)
    memory_mb = memory_per_balancer(plan, seed) if plan.memory_sizes else None
    length = plan.warm_up + plan.duration
    with tqdm(
        total=length,
        desc=f"{plan.name} {plan.total_balancers}x{plan.servers}",
        unit="s",
        disable=quiet or None,
        bar_format="{l_bar}{bar}| {n:.1f}/{total:.0f} s [{elapsed}]",
    ) as progress:

        def on_progress(elapsed: float) -> None:
            progress.update(elapsed - progress.n)

        if plan.time == "real":
            from bellrack.lab.scale import real

            tier = real.play(plan, seed, guard, on_progress)
        else:
            from bellrack.lab.scale.virtual import VirtualTier

            tier = VirtualTier(plan, seed, guard).play(on_progress)
    result = result_of(plan, seed, tier, guard, memory_mb)
    if plan.time == "real":
        result["measured"]["real"] = tier.real_measurements()
    return result


def memory_per_balancer(plan: Plan, seed: int) -> float:
    """Memory of one balancer in MB: the difference in memory between two numbers of balancers with the same
    servers, divided by the difference of the numbers."""
    small, large = plan.memory_sizes
    memory_plan = msgspec.structs.replace(
        plan,
        lean=False,
        time="virtual",
        real=0,
        warm_up=MEMORY_WARM_UP_SECONDS,
        duration=1.0,
        trouble=[],
        memory_sizes=[],
    )
    small_run, large_run = (run_child("weigh", memory_plan, seed, True, size) for size in (small, large))
    return (large_run["rss_mb"] - small_run["rss_mb"]) / (large - small)


def measure_memory(plan: Plan, seed: int, size: int) -> dict[str, Any]:
    """Resident memory of this process, a child, with `size` of the plan's balancers."""
    import gc

    from bellrack.lab.scale.guard import resident_mb
    from bellrack.lab.scale.virtual import VirtualTier

    tier = VirtualTier(plan, seed, MemoryGuard(plan.limits.memory_mb), balancer_count=size).play()
    gc.collect()
    return {"rss_mb": resident_mb(), "balancers": len(tier.nodes)}


def sweep(plan: Plan, sizes: Iterable[int], seed: int, quiet: bool = False) -> Iterator[dict[str, Any]]:
    """Runs the plan at each size, with servers in proportion; yields the results, the smallest size first.

    Raises ScenarioError; for a size that is invalid, before the first run.
    """
    plans = [resize_plan(plan, size) for size in sorted(set(sizes))]
    for resized in plans:
        yield run_child("run", resized, seed, quiet)


# What is printed.

# Key of a row, heading, format.
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
# What is fitted over sizes for each role: description, key of a row, budget.
FITTED = (
    ("payload bytes in a second", "in", None),
    ("payload bytes out a second, once for each receiver", "fan", None),
    ("bytes a second, both ways, with heads, the most of one", "wire", figures.BUDGET_BYTES_PER_SECOND),
    ("share of a core, the most of one", "core", figures.BUDGET_CORE_SHARE),
    ("memory of one balancer, MB", "memory", figures.BUDGET_MEMORY_MB),
)


def table_rows(result: dict[str, Any]) -> list[dict[str, Any]]:
    """One row for each role. Bytes are payload, except for `wire`, which includes headers; `fan` counts a
    broadcast once for each receiver."""
    rows = []
    for role in ("plain", "aggregator", "busiest"):
        counts, times = result["counts"][role], result["measured"][role]
        if not counts["balancers"]:
            continue
        per_second = counts["each_second"]
        rows.append(
            {
                "balancers": result["balancers"],
                "servers": result["servers"],
                "role": role,
                "in": per_second["in_bytes"],
                "out": per_second["out_bytes"],
                "fan": per_second["fan_bytes"],
                "datagrams_in": per_second["in_datagrams"],
                "list_in": per_second["list_in"],
                "steps": per_second["steps"],
                "wire": counts["wire"]["most"],
                "core": times["core_most"],
                "longest": times["longest_turn"],
                "memory": result["measured"]["memory_mb"] if role == "plain" else None,
                "over": [
                    row["what"].split()[0] for row in result["budgets"] if row["role"] == role and row["over"]
                ],
            }
        )
    discovery = result["counts"]["discovery"]
    rows.append(
        {key: None for key, _, _ in TABLE}
        | {
            "balancers": result["balancers"],
            "servers": result["servers"],
            "role": "discovery",
            "in": discovery["bytes_in"] / result["seconds"],
            "out": discovery["bytes_out"] / result["seconds"],
            "core": result["measured"]["discovery"]["core"],
            "longest": result["measured"]["discovery"]["longest_turn"],
            "over": [],
        }
    )
    return rows


def fits(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Fits a power law to each value that is positive at three sizes or more: with two, the error of the
    slope says nothing."""
    if len({result["balancers"] for result in results}) < MIN_SIZES:
        return []
    from bellrack.lab.scale.fit import fit_power

    fitted = []
    for role in ("plain", "aggregator", "busiest"):
        role_rows = [row for result in results for row in table_rows(result) if row["role"] == role]
        for description, key, budget in FITTED:
            points = [(row["balancers"], row[key]) for row in role_rows if row[key]]
            if len(points) < MIN_SIZES:
                continue
            fit = fit_power(*zip(*points))
            breaks_at = (
                (budget / fit.factor) ** (1 / fit.slope) if budget and fit.slope > MIN_BUDGET_SLOPE else None
            )
            breaks_at = (
                breaks_at if breaks_at and breaks_at <= MAX_EXTRAPOLATION_FACTOR * TARGET_BALANCERS else None
            )
            fitted.append(
                {
                    "role": role,
                    "what": description,
                    "key": key,
                    "points": points,
                    "budget": budget,
                    "slope": fit.slope,
                    "factor": fit.factor,
                    "residual": fit.residual,
                    "error": fit.error,
                    "at_target": fit.at(TARGET_BALANCERS),
                    "breaks_at": breaks_at,
                }
            )
    return fitted


def fit_lines(fitted: list[dict[str, Any]]) -> list[str]:
    """The fits as lines of text."""
    lines = []
    for row in fitted:
        line = (
            f"{row['role']}: {row['what']} = {row['factor']:.4g} * balancers ** {row['slope']:.3f}"
            f" +- {row['error']:.3f}, residual at most {row['residual']:.1%}; "
            f"at {TARGET_BALANCERS} extrapolated {row['at_target']:.4g}"
        )
        line += f", budget {row['budget']:g}" if row["budget"] else ""
        lines.append(line + (f", reached at {row['breaks_at']:.0f}" if row["breaks_at"] else ""))
    return lines


# Child processes.


def die_with_parent() -> None:
    """Runs in a child before `exec`: the kernel kills the child when this process ends, and an interrupt at
    the terminal goes to this process alone."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setsid()


def run_child(kind: str, plan: Plan, seed: int, quiet: bool, size: int = 0) -> dict[str, Any]:
    """Runs a task in a child process and returns its result: the task "run", or "weigh" with a `size`.

    Raises ScenarioError with the child's last line of errors if it fails.
    """
    task = json.dumps(
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
        output, errors = process.communicate(task)
    finally:
        end_process(process)
    if process.returncode:
        last_line = (errors or b"").decode(errors="replace").strip().splitlines()[-1:] or ["see above"]
        raise ScenarioError(last_line[0].removeprefix("bellrack lab: "))
    return json.loads(output)


def end_process(process: subprocess.Popen) -> None:
    """Kills a child that still runs, by its id."""
    if process.poll() is None:
        process.kill()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(KILL_WAIT_SECONDS)


def run_child_task() -> int:
    """In a child: reads the task from standard input, writes the result to standard output, returns the exit
    code."""
    task = json.loads(sys.stdin.buffer.read())
    plan = parse_plan(task["plan"], task["plan"]["name"])
    try:
        if task["kind"] == "weigh":
            result = measure_memory(plan, task["seed"], task["size"])
        else:
            result = play(plan, task["seed"], task["quiet"])
    except ScenarioError as error:
        print(f"bellrack lab: {error}", file=sys.stderr)
        return 2
    sys.stdout.write(json.dumps(result))
    return 0
