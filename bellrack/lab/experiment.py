"""Experiments: batches of runs, comparisons, parameter sweeps, and the reduction of failing scenarios.

This module manages folders of results and evaluates them. Each result is a file that is written atomically,
so that an interrupted experiment continues where it stopped. The random numbers of the evaluation (the
bootstrap) have a fixed seed of their own.
"""

from __future__ import annotations

import contextlib
import multiprocessing
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import msgspec
import numpy
import tomli_w
from tqdm import tqdm

from bellrack.lab import run as runs
from bellrack.lab.scenario import ScenarioError, parse_scenario, with_value

SCENARIO = "scenario.toml"  # copy of the scenario, in the folder of its results
RESAMPLES = 10_000  # of the bootstrap
CONFIDENCE_LEVEL = 0.95
MIN_PAIRS = 3  # with fewer pairs no confidence interval is calculated
COMPARED = (
    "service",
    "worst_window",
    "set_up_in_time",
    "crossings",
    "wasted",
    "moves",
    "store_calls",
    "rejected",
    "released",
    "gave_up",
)
LOWER_IS_BETTER = {"crossings", "wasted", "moves", "store_calls", "rejected", "released", "gave_up"}


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file atomically: after a failure it is as it was before."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(data)
        os.replace(temporary, path)
    finally:
        temporary.unlink(missing_ok=True)


def encode_result(result: Any) -> bytes:
    """Encode as indented JSON. Equal values give equal bytes."""
    return msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1) + b"\n"


def policy_label(policy: str) -> str:
    """Return the name of a policy as it appears in file names."""
    return Path(policy).stem if policy.endswith(".py") else policy


def result_path(folder: Path, policy: str, seed: int) -> Path:
    """Return the path of the result of one run."""
    return folder / f"{policy_label(policy)}-{seed}.json"


def run_encoded(raw: dict[str, Any], seed: int, policy: str, constants: dict[str, float]) -> bytes:
    """Run a scenario and return its encoded result. Called in worker processes."""
    return encode_result(runs.run(raw, seed, policy, constants) | {"digest": runs.digest(raw)})


def batch(
    raw: dict[str, Any],
    seeds: list[int],
    policies: list[str],
    folder: Path,
    jobs: int,
    constants: dict[str, float] | None = None,
    quiet: bool = False,
) -> list[dict[str, Any]]:
    """Run the scenario with each policy and seed, `jobs` processes at a time, with a file for each result.

    Runs whose file exists are not repeated. Returns the results in the order of policies and seeds. Raises
    ScenarioError if the folder contains results of another scenario.
    """
    scenario = parse_scenario(raw)
    runs.refuse_if_too_large(scenario)
    for policy in policies:
        runs.baselines.policy(policy)  # raises an error for an unknown name before any run starts
    folder.mkdir(parents=True, exist_ok=True)
    digest = runs.digest(raw)
    pending = []
    for policy in policies:
        for seed in seeds:
            path = result_path(folder, policy, seed)
            if not path.exists():
                pending.append((policy, seed))
            elif read_result(path).get("digest") != digest:
                raise ScenarioError(f"{path}: a run of another scenario; take another folder")
    if not (folder / SCENARIO).exists():
        write_atomically(folder / SCENARIO, tomli_w.dumps(raw).encode())
    bar = tqdm(
        total=len(seeds) * len(policies),
        initial=len(seeds) * len(policies) - len(pending),
        desc=scenario.name,
        unit="run",
        disable=quiet or None,
    )
    with bar:
        for (policy, seed), data in run_all(raw, pending, jobs, constants or {}):
            write_atomically(result_path(folder, policy, seed), data)
            bar.update()
    return [read_result(result_path(folder, policy, seed)) for policy in policies for seed in seeds]


def run_all(
    raw: dict[str, Any], pending: list[tuple[str, int]], jobs: int, constants: dict[str, float]
) -> Iterator[tuple[tuple[str, int], bytes]]:
    """Run each pair of a policy and a seed on `jobs` processes, and yield encoded results as they finish."""
    if jobs <= 1 or len(pending) <= 1:
        for policy, seed in pending:
            yield (policy, seed), run_encoded(raw, seed, policy, constants)
        return
    pool = ProcessPoolExecutor(min(jobs, len(pending)), multiprocessing.get_context("spawn"))
    try:
        futures = {
            pool.submit(run_encoded, raw, seed, policy, constants): (policy, seed) for policy, seed in pending
        }
        for future in as_completed(futures):
            yield futures[future], future.result()
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


def read_result(path: Path) -> dict[str, Any]:
    """Return the result in a file. Raises ScenarioError if it is unreadable or of another version."""
    try:
        result = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ScenarioError(f"{path}: not a readable result: {error}") from error
    if not isinstance(result, dict) or result.get("version") != runs.VERSION:
        raise ScenarioError(f"{path}: not a result of version {runs.VERSION}")
    return result


def read_folder(folder: Path) -> list[dict[str, Any]]:
    """Return all results of a folder, sorted by policy and seed. Raises ScenarioError if there are none."""
    results = [read_result(path) for path in sorted(folder.glob("*.json"))]
    if not results:
        raise ScenarioError(f"{folder}: no results")
    return sorted(results, key=lambda result: (result["policy"], result["seed"]))


def mean(values: list[float]) -> float:
    """Return the arithmetic mean of a list that is not empty."""
    return sum(values) / len(values)


def summarize(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return a row for each policy: means over its seeds, and the lowest service."""
    rows = []
    for policy in dict.fromkeys(result["policy"] for result in results):
        own = [result for result in results if result["policy"] == policy]
        rows.append(
            {
                "policy": policy,
                "seeds": len(own),
                "broken": [rule for rule in "1234" if any(not r["rules"][rule]["kept"] for r in own)],
                "service": mean([r["service"] for r in own]),
                "least": min(r["service"] for r in own),
                "worst_window": mean([r["worst_window"] for r in own]),
                "worst_type": mean([min(r["by_type"].values()) for r in own]),
                "worst_tenant": mean([min(r["by_tenant"].values(), default=r["service"]) for r in own]),
                "p50": mean([r["set_up"]["p50"] or 0 for r in own]),
                "p99": mean([r["set_up"]["p99"] or 0 for r in own]),
                "crossings": mean([r["crossings"] for r in own]),
                **{
                    key: mean([r[key] for r in own])
                    for key in ("moves", "store_calls", "wasted", "rejected", "released", "gave_up", "fell")
                },
            }
        )
    return rows


# Comparison of two sets of results.


def confidence_interval(differences: list[float]) -> tuple[float, float]:
    """Return the confidence interval of the mean difference, by bootstrap over the pairs."""
    values = numpy.array(differences)
    indices = numpy.random.Generator(numpy.random.PCG64(20)).integers(
        0, len(values), (RESAMPLES, len(values))
    )
    means = values[indices].mean(axis=1)
    low, high = numpy.quantile(means, [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return float(low), float(high)


def compare(one: list[dict[str, Any]], other: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Compare results of `other` with those of `one` that have the same seed; return a row for each metric.

    Raises ScenarioError if a set has several policies or no seed is in both.
    """
    if len({r["policy"] for r in one}) > 1 or len({r["policy"] for r in other}) > 1:
        raise ScenarioError("several policies in one folder: name one with FOLDER:POLICY")
    firsts, seconds = {r["seed"]: r for r in one}, {r["seed"]: r for r in other}
    pairs = [(firsts[seed], seconds[seed]) for seed in sorted(firsts.keys() & seconds.keys())]
    if not pairs:
        raise ScenarioError("no seed is in both")
    rows = []
    for key in COMPARED:
        differences = [float(b[key] - a[key]) for a, b in pairs]
        row = {
            "figure": key,
            "pairs": len(differences),
            "first": mean([a[key] for a, _ in pairs]),
            "second": mean([b[key] for _, b in pairs]),
            "difference": mean(differences),
            "low": None,
            "high": None,
        }
        if len(differences) < MIN_PAIRS:
            row["verdict"] = f"too few pairs (under {MIN_PAIRS})"
        else:
            row["low"], row["high"] = confidence_interval(differences)
            if row["low"] <= 0 <= row["high"]:
                row["verdict"] = "no difference shown"
            else:
                row["verdict"] = "better" if (row["low"] > 0) != (key in LOWER_IS_BETTER) else "worse"
        rows.append(row)
    return rows


# Parameter sweeps.


def value_of(text: str) -> Any:
    """Parse a TOML value. Text that is not a TOML value is returned as a string."""
    import tomllib

    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def sweep(
    raw: dict[str, Any],
    key: str,
    values: list[Any],
    seeds: list[int],
    policy: str,
    folder: Path,
    jobs: int,
    quiet: bool = False,
) -> list[dict[str, Any]]:
    """Run the scenario with each value of `key`; return a row of metrics for each.

    `key` is a key of the file, or `choice.NAME` for a constant of the decision module. Raises ScenarioError
    if the scenario is invalid with one of the values.
    """
    variants = []
    for value in values:
        constants = {key.removeprefix("choice."): value} if key.startswith("choice.") else {}
        variants.append((value, raw if constants else with_value(raw, key, value), constants))
        parse_scenario(variants[-1][1])  # validates all variants before any is run
    rows = []
    for value, variant, constants in variants:
        variant_folder = folder / f"{key}={value}".replace("/", "_")
        results = batch(variant, seeds, [policy], variant_folder, jobs, constants, quiet)
        rows.append({"value": value, **summarize(results)[0]})
    return rows


# Reduction of failing scenarios.


def fails(raw: dict[str, Any], seed: int, policy: str, under: float | None) -> bool:
    """Return whether a run breaks a rule or, if `under` is given, has a lower service than that."""
    result = runs.run(raw, seed, policy)
    return not result["kept"] or under is not None and result["service"] < under


def reductions(raw: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield variants of a scenario with one reduction each, the largest reductions first."""
    for table in ("trouble", "tenant", "type", "servers", "zone"):
        rows = raw.get(table, [])
        for index in range(len(rows) - 1, -1, -1) if len(rows) > (table in ("type", "zone")) else ():
            yield raw | {table: rows[:index] + rows[index + 1 :]}
    troubles_end = max([row["at"] + row.get("lasts", 0) for row in raw.get("trouble", [])], default=0)
    for length in (raw.get("length", 60.0) / 2, troubles_end + 5.0):
        if 1 <= length < raw.get("length", 60.0):
            yield raw | {"length": length}
    for table, key in (("servers", "count"), ("zone", "balancers"), ("trouble", "count")):
        for index, row in enumerate(raw.get(table, [])):
            if row.get(key, 0) > 1:
                rows = list(raw[table])
                rows[index] = row | {key: row[key] // 2}
                yield raw | {table: rows}
    for index, row in enumerate(raw.get("trouble", [])):
        if len(row.get("servers", [])) > 1:
            for dropped in row["servers"]:
                rows = list(raw["trouble"])
                rows[index] = row | {"servers": [name for name in row["servers"] if name != dropped]}
                yield raw | {"trouble": rows}
    for table, key in (("clients", "standing"), ("clients", "rate"), ("groups", "count")):
        value = raw.get(table, {}).get(key, 0)
        if value > (1 if isinstance(value, int) else 0.2):
            half = value // 2 if isinstance(value, int) else round(value / 2, 3)
            yield raw | {table: raw[table] | {key: half}}
    for table in ("groups", "load", "net", "datagrams", "front", "store"):
        if table in raw:
            yield {key: value for key, value in raw.items() if key != table}


def shrink(
    raw: dict[str, Any],
    seed: int,
    policy: str = "bellrack",
    under: float | None = None,
    report_progress: Callable[[str], None] = lambda text: None,
) -> dict[str, Any]:
    """Return a scenario, reduced step by step, that still fails.

    `under` is the service below which a run also counts as failed; without it, only a broken rule does.
    `report_progress` receives a line for each step. Raises ScenarioError if the scenario does not fail.
    """
    if not fails(raw, seed, policy, under):
        raise ScenarioError(
            "it does not fail: no rule is broken"
            + (f", service is {under} or more" if under is not None else "")
        )
    tried: set[str] = set()
    found = True
    while found:
        found = False
        for candidate in reductions(raw):
            digest = runs.digest(candidate)
            if digest in tried:
                continue
            tried.add(digest)
            with contextlib.suppress(ScenarioError):
                if fails(candidate, seed, policy, under):
                    raw, found = candidate, True
                    report_progress(f"{len(raw.get('trouble', []))} troubles, {len(tried)} tried")
                    break
    return raw
