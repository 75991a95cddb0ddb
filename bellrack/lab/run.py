"""One run of a scenario on virtual time, from the tables of its file to its result.

A result consists of plain values with stable names and depends only on the scenario, the seed and the policy.
It contains no wall-clock time, path or number of processes.
"""

from __future__ import annotations

import gc
import hashlib
import math
from typing import Any

import msgspec

from bellrack import choice
from bellrack.lab import baselines
from bellrack.lab.rule_checker import Breach, RuleChecker
from bellrack.lab.scenario import Scenario, ScenarioError, balancer_names, parse_scenario, server_names
from bellrack.lab.service_record import seconds_since_start
from bellrack.lab.world import World

VERSION = 1  # of the result's format
MAX_BREACHES_SHOWN = 5  # per rule, in a result
MAX_EVENTS = 40_000_000  # a longer run is refused: it would not end in reasonable time on one machine
# Garbage collection is rarer during a run: calls and legs refer to each other, and most are soon freed.
GC_THRESHOLDS = 50_000, 20, 100
EVENTS_PER_CALL = 14
EVENTS_PER_BALANCER_SECOND = 3


def digest(raw: dict[str, Any]) -> str:
    """Return the digest of a scenario's tables. Results with different digests are not comparable."""
    text = msgspec.json.encode(raw, order="deterministic")
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def events_of(scenario: Scenario) -> float:
    """Estimate the number of events of a run, so that one that is too large is refused before it starts."""
    clients, rules = scenario.clients, scenario.rules
    burst = math.prod(getattr(t, "factor", 1) for t in scenario.trouble if type(t).__name__ == "Burst")
    calls = clients.rate * burst * scenario.length + clients.standing
    if scenario.load.swing:
        calls += (clients.standing + clients.rate * clients.life) * scenario.length / scenario.load.change
    periodic = 4 * len(server_names(scenario)) + EVENTS_PER_BALANCER_SECOND * len(balancer_names(scenario))
    return EVENTS_PER_CALL * calls * rules.max_legs + periodic * scenario.length


def refuse_if_too_large(scenario: Scenario) -> None:
    """Raise ScenarioError if a run of this scenario would take too many events."""
    events = events_of(scenario)
    if events > MAX_EVENTS:
        raise ScenarioError(
            f"{scenario.name}: about {events:.2g} events, more than the {MAX_EVENTS:.0g} "
            "that a run may take: lower clients.rate, clients.standing or length"
        )


def shares(scenario: Scenario, world: World) -> list[float]:
    """Return, by tenant, how many connections its share of the fleet's capacity without failures allows."""
    capacity = sum(m.kind.cores * m.speed for m in world.machines) / scenario.load.mean
    total_share = sum(tenant.share for tenant in scenario.tenant)
    return [capacity * tenant.share / total_share for tenant in scenario.tenant] or [math.inf]


def verdicts(rule_checker: RuleChecker, breaches: list[Breach]) -> dict[str, Any]:
    """Return, by rule, whether it was kept, the number of breaches, and the first of them."""
    return {
        str(rule): {
            "kept": not count,
            "breaches": count,
            "first": [
                {"at": seconds_since_start(b.at), "what": b.what, "call": b.call}
                for b in breaches
                if b.rule == rule
            ][:MAX_BREACHES_SHOWN],
        }
        for rule, count in rule_checker.counts.items()
    }


def play(scenario: Scenario, seed: int, policy: str = "bellrack") -> World:
    """Run the scenario to its end and return its world. Raises ScenarioError if the run is too large."""
    refuse_if_too_large(scenario)
    usual_thresholds = gc.get_threshold()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        return World(scenario, seed, baselines.policy(policy)).play()
    finally:
        gc.set_threshold(*usual_thresholds)


def result_of(world: World, policy: str) -> dict[str, Any]:
    """Check the rules on the trace of a finished run and return its result."""
    scenario = world.scenario
    rule_checker = RuleChecker(scenario)
    breaches = rule_checker.check(world.trace.entries)
    counters = world.counters
    offered = sum(machine.offered for machine in world.machines)
    figures = world.service_record.summary(shares(scenario, world))
    return {
        "version": VERSION,
        "scenario": scenario.name,
        "seed": world.seed,
        "policy": policy,
        "length": scenario.length,
        "kept": not breaches,
        "rules": verdicts(rule_checker, breaches),
        **figures,
        "calls": counters["calls"],
        "completed": counters["completed"],
        "rejected": counters["rejected"],
        "released": counters["released"],
        "gave_up": counters["gave_up"],
        "legs": counters["legs"],
        "results": {
            key.removeprefix("leg_"): counters[key] for key in sorted(counters) if key.startswith("leg_")
        },
        "crossings": round(counters["crossings"] / max(1, counters["legs"]), 6),
        "moves": counters["moves"],
        "shed": counters["shed"],
        "fell": counters["fell"],
        "faults": counters["faults"],
        "store_calls": world.store.calls,
        "store_failed": world.store.failed,
        "wasted": round(sum(machine.wasted for machine in world.machines) / offered, 6) if offered else 0.0,
        "list_lines": world.discovery.lines,
        "datagrams": counters["datagrams"],
        "datagram_bytes": counters["datagram_bytes"],
        "probes": counters["probes"],
        "store_by_second": per_second(world.store_calls),
        "answers_by_second": [
            per_second([row[how] for row in world.answers])
            for how in ("completed", "rejected", "released", "gave_up")
        ],
        "troubles": [
            [trouble.at, type(trouble).__struct_config__.tag, getattr(trouble, "lasts", 0.0)]
            for trouble in scenario.trouble
        ],
        "servers": [machine.name for machine in world.machines],
        "log": [[seconds_since_start(at), name, text] for at, name, text in world.log_lines],
    }


def per_second(totals: list[int]) -> list[int]:
    """Return the value of each second, given the running totals."""
    return [total - previous for previous, total in zip([0, *totals], totals)]


def run(
    raw: dict[str, Any], seed: int, policy: str = "bellrack", constants: dict[str, float] | None = None
) -> dict[str, Any]:
    """Run a scenario, given as the tables of its file, and return its result.

    `constants` replaces constants of the decision module (bellrack.choice) during this run. Raises
    ScenarioError for an invalid scenario, a run that is too large, or an unknown policy or constant.
    """
    scenario = parse_scenario(raw)
    previous = {name: getattr(choice, name) for name in constants or {} if hasattr(choice, name)}
    for name in constants or {}:
        if name not in previous or not name.isupper():
            raise ScenarioError(f"choice.{name}: the decision module has no such constant")
    try:
        for name, value in (constants or {}).items():
            setattr(choice, name, value)
        return result_of(play(scenario, seed, policy), policy)
    finally:
        for name, value in previous.items():
            setattr(choice, name, value)
