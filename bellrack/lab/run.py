"""One run of a scenario on virtual time, from its file's tables to its result.

Owns the shape of a result: plain values with stable names, a function of scenario, seed and policy alone. No
clock of this machine, no path and no count of processes goes into it.
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

VERSION = 1  # of the result's form
SHOWN = 5  # breaches of a rule that a result tells
TOO_MANY = 40_000_000  # events: more than a run may ask for on one machine
RARELY = 50_000, 20, 100  # collections of a run: calls and legs point to each other, and most soon go
A_CALL, A_BALANCER = 14, 3  # events that a call costs, and a balancer a second


def digest(raw: dict[str, Any]) -> str:
    """Of a scenario's tables: results that differ in it are not comparable."""
    text = msgspec.json.encode(raw, order="deterministic")
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def events_of(scenario: Scenario) -> float:
    """About how many events a run takes, for its refusal before it starts."""
    clients, rules = scenario.clients, scenario.rules
    burst = math.prod(getattr(t, "factor", 1) for t in scenario.trouble if type(t).__name__ == "Burst")
    calls = clients.rate * burst * scenario.length + clients.standing
    if scenario.load.swing:
        calls += (clients.standing + clients.rate * clients.life) * scenario.length / scenario.load.change
    looks = 4 * len(server_names(scenario)) + A_BALANCER * len(balancer_names(scenario))
    return A_CALL * calls * rules.max_legs + looks * scenario.length


def refuse_if_too_large(scenario: Scenario) -> None:
    """Raises ScenarioError before a run that would not end."""
    events = events_of(scenario)
    if events > TOO_MANY:
        raise ScenarioError(
            f"{scenario.name}: about {events:.2g} events, more than the {TOO_MANY:.0g} "
            "that a run may take: lower clients.rate, clients.standing or length"
        )


def shares(scenario: Scenario, world: World) -> list[float]:
    """By tenant: connections within its share of what the fleet bears when all is well."""
    bears = sum(m.kind.cores * m.speed for m in world.machines) / scenario.load.mean
    whole = sum(tenant.share for tenant in scenario.tenant)
    return [bears * tenant.share / whole for tenant in scenario.tenant] or [math.inf]


def verdicts(rule_checker: RuleChecker, breaches: list[Breach]) -> dict[str, Any]:
    return {
        str(rule): {
            "kept": not count,
            "breaches": count,
            "first": [
                {"at": seconds_since_start(b.at), "what": b.what, "call": b.call}
                for b in breaches
                if b.rule == rule
            ][:SHOWN],
        }
        for rule, count in rule_checker.counts.items()
    }


def play(scenario: Scenario, seed: int, policy: str = "bellrack") -> World:
    """A world that has been played to its end. Raises ScenarioError if it would not end."""
    refuse_if_too_large(scenario)
    usual = gc.get_threshold()
    gc.set_threshold(*RARELY)
    try:
        return World(scenario, seed, baselines.policy(policy)).play()
    finally:
        gc.set_threshold(*usual)


def result_of(world: World, policy: str) -> dict[str, Any]:
    scenario = world.scenario
    rule_checker = RuleChecker(scenario)
    breaches = rule_checker.check(world.trace.entries)
    count = world.counters
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
        "calls": count["calls"],
        "completed": count["completed"],
        "rejected": count["rejected"],
        "released": count["released"],
        "gave_up": count["gave_up"],
        "legs": count["legs"],
        "results": {key.removeprefix("leg_"): count[key] for key in sorted(count) if key.startswith("leg_")},
        "crossings": round(count["crossings"] / max(1, count["legs"]), 6),
        "moves": count["moves"],
        "shed": count["shed"],
        "fell": count["fell"],
        "faults": count["faults"],
        "store_calls": world.store.calls,
        "store_failed": world.store.failed,
        "wasted": round(sum(machine.wasted for machine in world.machines) / offered, 6) if offered else 0.0,
        "list_lines": world.discovery.lines,
        "datagrams": count["datagrams"],
        "datagram_bytes": count["datagram_bytes"],
        "probes": count["probes"],
        "store_by_second": steps(world.store_calls),
        "answers_by_second": [
            steps([row[how] for row in world.answers])
            for how in ("completed", "rejected", "released", "gave_up")
        ],
        "troubles": [
            [trouble.at, type(trouble).__struct_config__.tag, getattr(trouble, "lasts", 0.0)]
            for trouble in scenario.trouble
        ],
        "servers": [machine.name for machine in world.machines],
        "log": [[seconds_since_start(at), name, text] for at, name, text in world.log_lines],
    }


def steps(sums: list[int]) -> list[int]:
    """Each second's own from running sums."""
    return [now - before for before, now in zip([0, *sums], sums)]


def run(
    raw: dict[str, Any], seed: int, policy: str = "bellrack", constants: dict[str, float] | None = None
) -> dict[str, Any]:
    """Play the tables of a scenario; `constants` of the decision module hold for this run alone."""
    scenario = parse_scenario(raw)
    before = {name: getattr(choice, name) for name in constants or {} if hasattr(choice, name)}
    for name in constants or {}:
        if name not in before or not name.isupper():
            raise ScenarioError(f"choice.{name}: the decision module has no such constant")
    try:
        for name, value in (constants or {}).items():
            setattr(choice, name, value)
        return result_of(play(scenario, seed, policy), policy)
    finally:
        for name, value in before.items():
            setattr(choice, name, value)
