"""Experiments: many runs of a scenario, two sets of runs compared, a value swept, a failing scenario shrunk.

Owns folders of results and what is concluded from them. A result is one file, written whole or not at all,
so that an interrupted experiment goes on where it stopped. Chance in conclusions (the bootstrap) has a seed
of its own.
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

SCENARIO = "scenario.toml"  # a folder's own copy of what was run
RESAMPLES, LEVEL = 10_000, 0.95  # of the bootstrap
FEWEST = 3  # pairs under which no interval is drawn
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


def write_whole(path: Path, data: bytes) -> None:
    """The file with all of it, or as it was before."""
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        part.write_bytes(data)
        os.replace(part, path)
    finally:
        part.unlink(missing_ok=True)


def encoded(result: Any) -> bytes:
    """The same bytes for the same values, a key a line at the top."""
    return msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1) + b"\n"


def named(policy: str) -> str:
    """A policy's name as part of a file's."""
    return Path(policy).stem if policy.endswith(".py") else policy


def result_path(folder: Path, policy: str, seed: int) -> Path:
    return folder / f"{named(policy)}-{seed}.json"


def run_encoded(raw: dict[str, Any], seed: int, policy: str, constants: dict[str, float]) -> bytes:
    """One run, in a process of its own."""
    return encoded(runs.run(raw, seed, policy, constants) | {"digest": runs.digest(raw)})


def batch(
    raw: dict[str, Any],
    seeds: list[int],
    policies: list[str],
    folder: Path,
    jobs: int,
    constants: dict[str, float] | None = None,
    quiet: bool = False,
) -> list[dict[str, Any]]:
    """All runs, each in its file; those whose file is there are not played again. Results in order of
    policy and seed. Raises ScenarioError for a folder that holds runs of another scenario."""
    scenario = parse_scenario(raw)
    runs.refuse_if_too_large(scenario)
    for policy in policies:
        runs.baselines.policy(policy)  # a wrong name is told before anything runs
    folder.mkdir(parents=True, exist_ok=True)
    mark = runs.digest(raw)
    jobs_left = []
    for policy in policies:
        for seed in seeds:
            path = result_path(folder, policy, seed)
            if not path.exists():
                jobs_left.append((policy, seed))
            elif read_result(path).get("digest") != mark:
                raise ScenarioError(f"{path}: a run of another scenario; take another folder")
    if not (folder / SCENARIO).exists():
        write_whole(folder / SCENARIO, tomli_w.dumps(raw).encode())
    bar = tqdm(
        total=len(seeds) * len(policies),
        initial=len(seeds) * len(policies) - len(jobs_left),
        desc=scenario.name,
        unit="run",
        disable=quiet or None,
    )
    with bar:
        for (policy, seed), data in spread(raw, jobs_left, jobs, constants or {}):
            write_whole(result_path(folder, policy, seed), data)
            bar.update()
    return [read_result(result_path(folder, policy, seed)) for policy in policies for seed in seeds]


def spread(
    raw: dict[str, Any], wanted: list[tuple[str, int]], jobs: int, constants: dict[str, float]
) -> Iterator[tuple[tuple[str, int], bytes]]:
    """Runs as they finish, on so many processes."""
    if jobs <= 1 or len(wanted) <= 1:
        for policy, seed in wanted:
            yield (policy, seed), run_encoded(raw, seed, policy, constants)
        return
    pool = ProcessPoolExecutor(min(jobs, len(wanted)), multiprocessing.get_context("spawn"))
    try:
        futures = {
            pool.submit(run_encoded, raw, seed, policy, constants): (policy, seed) for policy, seed in wanted
        }
        for future in as_completed(futures):
            yield futures[future], future.result()
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


def read_result(path: Path) -> dict[str, Any]:
    try:
        result = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ScenarioError(f"{path}: no result: {error}") from error
    if not isinstance(result, dict) or result.get("version") != runs.VERSION:
        raise ScenarioError(f"{path}: no result of version {runs.VERSION}")
    return result


def read_folder(folder: Path) -> list[dict[str, Any]]:
    """All results of a folder, by policy and seed."""
    results = [read_result(path) for path in sorted(folder.glob("*.json"))]
    if not results:
        raise ScenarioError(f"{folder}: no results")
    return sorted(results, key=lambda result: (result["policy"], result["seed"]))


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def figures(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A row a policy: means over its seeds, and the least service."""
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


# Two sets compared.


def interval(differences: list[float]) -> tuple[float, float]:
    """The mean difference lies in it, by bootstrap over the pairs."""
    values = numpy.array(differences)
    drawn = numpy.random.Generator(numpy.random.PCG64(20)).integers(0, len(values), (RESAMPLES, len(values)))
    means = values[drawn].mean(axis=1)
    low, high = numpy.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def compare(one: list[dict[str, Any]], other: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """What the second has over the first, paired over seeds; a row a figure. Raises ScenarioError without
    pairs."""
    if len({r["policy"] for r in one}) > 1 or len({r["policy"] for r in other}) > 1:
        raise ScenarioError("several policies in one folder: name one with FOLDER:POLICY")
    ours, theirs = {r["seed"]: r for r in one}, {r["seed"]: r for r in other}
    pairs = [(ours[seed], theirs[seed]) for seed in sorted(ours.keys() & theirs.keys())]
    if not pairs:
        raise ScenarioError("no seed is in both")
    rows = []
    for key in COMPARED:
        gaps = [float(b[key] - a[key]) for a, b in pairs]
        row = {
            "figure": key,
            "pairs": len(gaps),
            "first": mean([a[key] for a, _ in pairs]),
            "second": mean([b[key] for _, b in pairs]),
            "difference": mean(gaps),
            "low": None,
            "high": None,
        }
        if len(gaps) < FEWEST:
            row["verdict"] = f"too few pairs (under {FEWEST})"
        else:
            row["low"], row["high"] = interval(gaps)
            if row["low"] <= 0 <= row["high"]:
                row["verdict"] = "no difference shown"
            else:
                row["verdict"] = "better" if (row["low"] > 0) != (key in LOWER_IS_BETTER) else "worse"
        rows.append(row)
    return rows


# A value swept.


def value_of(text: str) -> Any:
    """A value as TOML has it; what is none is a string."""
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
    """A row a value: the figures of its runs. `choice.NAME` is a constant of the decision module."""
    variants = []
    for value in values:
        constants = {key.removeprefix("choice."): value} if key.startswith("choice.") else {}
        variants.append((value, raw if constants else with_value(raw, key, value), constants))
        parse_scenario(variants[-1][1])  # all of them, before any is played
    rows = []
    for value, variant, constants in variants:
        place = folder / f"{key}={value}".replace("/", "_")
        results = batch(variant, seeds, [policy], place, jobs, constants, quiet)
        rows.append({"value": value, **figures(results)[0]})
    return rows


# A failing scenario shrunk.


def fails(raw: dict[str, Any], seed: int, policy: str, under: float | None) -> bool:
    """Does it break a rule or, where a bound is given, serve less than that?"""
    result = runs.run(raw, seed, policy)
    return not result["kept"] or under is not None and result["service"] < under


def smaller(raw: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Scenarios that ask for a little less, the largest cuts first."""
    for table in ("trouble", "tenant", "type", "servers", "zone"):
        rows = raw.get(table, [])
        for index in range(len(rows) - 1, -1, -1) if len(rows) > (table in ("type", "zone")) else ():
            yield raw | {table: rows[:index] + rows[index + 1 :]}
    last = max([row["at"] + row.get("lasts", 0) for row in raw.get("trouble", [])], default=0)
    for length in (raw.get("length", 60.0) / 2, last + 5.0):
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
    tell: Callable[[str], None] = lambda text: None,
) -> dict[str, Any]:
    """The least that still fails in the same way, one cut at a time. Raises ScenarioError if it does not
    fail."""
    if not fails(raw, seed, policy, under):
        raise ScenarioError(
            "it does not fail: no rule is broken"
            + (f", service is {under} or more" if under is not None else "")
        )
    tried: set[str] = set()
    found = True
    while found:
        found = False
        for candidate in smaller(raw):
            mark = runs.digest(candidate)
            if mark in tried:
                continue
            tried.add(mark)
            with contextlib.suppress(ScenarioError):
                if fails(candidate, seed, policy, under):
                    raw, found = candidate, True
                    tell(f"{len(raw.get('trouble', []))} troubles, {len(tried)} tried")
                    break
    return raw
