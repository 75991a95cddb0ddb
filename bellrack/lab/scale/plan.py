"""The plan file of a scale run: sizes, rates and troubles of one tier.

Defines the schema, reads it from TOML and validates it. Times are in seconds, shares lie between 0 and 1. An
invalid file is reported as the lab's other files are: file, key, reason.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from bellrack.lab.scenario import (
    Count,
    Delay,
    Seconds,
    Share,
    StrictTable,
    Trouble,
    Word,
    parse_tables,
    read_tables,
)

TARGET_BALANCERS = 4800  # the largest tier; `restarts` of a plan refers to this size
RESTARTS_PER_HOUR = 54.0  # in a tier of TARGET_BALANCERS: 1,300 a day
MAX_REAL_BALANCERS = 20  # each is a process
SERVERS_PER_BALANCER = 1.25  # 6,000 servers to 4,800 balancers


class Latency(StrictTable):
    """One-way delays within a zone, within a region and between regions. A random share of up to `jitter` is
    added to the delay of each datagram."""

    zone: Delay = 0.0003
    region: Delay = 0.0015
    far: Delay = 0.04
    jitter: Share = 0.2


class Connections(StrictTable):
    """The connections of hollow balancers, about which they have to inform one another."""

    servers: Count = 60  # of its zone, at which a balancer holds connections; all if it has fewer
    each: Annotated[float, Meta(ge=1, le=1000)] = 2.0  # mean number of connections at each such server
    changes: Annotated[float, Meta(ge=0, le=1000)] = 8.0  # per second and balancer: one ends, another begins
    groups: Annotated[int, Meta(ge=0, le=65_000)] = 0  # to which connections belong; 0: no groups
    setup: Delay = 0.02  # duration of a set-up


class Clients(StrictTable):
    """Stub clients of each real balancer."""

    standing: Annotated[int, Meta(ge=0, le=500)] = 10  # number of them
    life: Annotated[float, Meta(ge=0.5, le=3600)] = 10.0  # mean seconds that a connection lasts


class Limits(StrictTable):
    """Limits on what the run itself uses."""

    memory_mb: Count = 0  # of the run and its children; 0: half of the machine, the maximum


class RackLost(Trouble, tag="rack-lost"):
    """A share of the balancers, with successive numbers, is killed at once and restarts after `lasts`;
    0: never."""

    share: Share = 0.1
    lasts: Seconds = 0.0


class RegionCut(Trouble, tag="region-cut"):
    """A network partition between a region and all others: datagrams are lost, streams stall."""

    region: Count = 0
    lasts: Seconds = 10.0


class AggregatorLost(Trouble, tag="aggregator-lost"):
    """The balancer that broadcast last is killed and restarts after `lasts`; 0: never."""

    lasts: Seconds = 0.0


class Plan(StrictTable, kw_only=True):
    """The whole plan of a run."""

    name: Word
    about: str = ""
    time: Literal["virtual", "real"] = "virtual"
    seed: Annotated[int, Meta(ge=0)] = 1
    balancers: Annotated[int, Meta(ge=3, le=TARGET_BALANCERS)] = 50  # hollow balancers
    real: Annotated[int, Meta(ge=0, le=MAX_REAL_BALANCERS)] = 0  # others, each a process
    real_first: bool = True  # real balancers get the lowest numbers, so that one may become aggregator
    servers: Annotated[int, Meta(ge=1, le=6000)] = 60
    regions: Annotated[int, Meta(ge=1, le=16)] = 3
    zones: Annotated[int, Meta(ge=1, le=64)] = 10  # in all regions together
    warm_up: Annotated[float, Meta(ge=0, le=3600)] = 12.0  # run before counts are taken
    duration: Annotated[float, Meta(ge=1, le=3600)] = 30.0  # of the period in which counts are taken
    list_changes: Annotated[float, Meta(ge=0, le=600)] = 6.0  # per minute
    restarts: Annotated[float, Meta(ge=0, le=1e7)] = RESTARTS_PER_HOUR  # at 4,800; in proportion to size
    down: Seconds = 2.0  # of a restarted balancer
    loss: Share = 0.0  # of datagrams
    lean: bool = False  # all hollow balancers share one list, which is parsed once
    # Two numbers of balancers, the difference of which gives the memory of one; []: not measured.
    memory_sizes: Annotated[list[int], Meta(max_length=2)] = field(default_factory=lambda: [8, 40])
    latency: Latency = field(default_factory=Latency)
    connections: Connections = field(default_factory=Connections)
    clients: Clients = field(default_factory=Clients)
    limits: Limits = field(default_factory=Limits)
    trouble: Annotated[list[RackLost | RegionCut | AggregatorLost], Meta(max_length=100)] = field(
        default_factory=list
    )

    @property
    def total_balancers(self) -> int:
        """Hollow and real balancers together."""
        return self.balancers + self.real


def read_plan(path: str | Path) -> Plan:
    """Reads a plan file. Raises ScenarioError for one that is invalid."""
    return parse_plan(read_tables(path), str(path))


def parse_plan(raw: dict[str, Any], source: str = "plan") -> Plan:
    """Builds a plan from the tables of its file; `source` names it in errors. Raises ScenarioError."""
    return parse_tables(raw, Plan, source, _violations)


def _violations(plan: Plan):
    """Yields key and reason of each violation that the schema of single values cannot express."""
    if plan.regions > plan.zones:
        yield "regions", f"{plan.regions}, more than the {plan.zones} zones"
    if plan.real and plan.time == "virtual":
        yield "real", 'real balancers need time = "real"'
    if plan.real and plan.real < 3:
        yield "real", "3 or more, or none"
    if plan.lean and plan.time == "real":
        yield "lean", 'needs time = "virtual"'
    if plan.total_balancers > TARGET_BALANCERS + MAX_REAL_BALANCERS:
        yield "balancers", "too many"
    if (
        len(plan.memory_sizes) == 1
        or any(size < 1 or size > 500 for size in plan.memory_sizes)
        or (len(plan.memory_sizes) == 2 and plan.memory_sizes[0] >= plan.memory_sizes[1])
    ):
        yield "memory_sizes", "not two sizes of 1 to 500, the smaller first, nor []"
    for index, trouble in enumerate(plan.trouble):
        if trouble.at >= plan.warm_up + plan.duration:
            yield f"trouble[{index}].at", f"after the end at {plan.warm_up + plan.duration:g}"
        if isinstance(trouble, RegionCut) and trouble.region >= plan.regions:
            yield f"trouble[{index}].region", f"no region {trouble.region}: they count from 0"
    for key, value in (("warm_up", plan.warm_up), ("duration", plan.duration), ("loss", plan.loss)):
        if not math.isfinite(value):
            yield key, "not a finite number"


def resize_plan(plan: Plan, balancers: int) -> Plan:
    """The same plan for another number of balancers, with servers in proportion. Raises ScenarioError."""
    servers = max(1, round(plan.servers * balancers / plan.balancers))
    resized = msgspec.structs.replace(plan, balancers=balancers, servers=servers)
    return parse_plan(msgspec.to_builtins(resized), plan.name)


def balancer_settings(plan: Plan, zone: int, number: int) -> dict[str, Any]:
    """The `settings` object of the configuration of balancer `number` in a zone."""
    return {
        "areas": [zone_name(plan, index) for index in range(plan.zones)],
        "az": zone,
        "slotNo": number,
        "peersTotal": plan.total_balancers,
        "discovery": "ask",
        "tickUs": 4000,
        "trafficTypes": [
            {
                "name": "view",
                "effect": "retryable",
                "group": "all",
                "keyTtlUs": 5_000_000,
                "guardTimeUs": 2_000_000,
                "setupTargetUs": 500_000,
            }
        ],
        "caps": {
            "maxLegs": 3,
            "retryAfter": True,
            "maxRetryAfterUs": 1_500_000,
            "connectTimeoutUs": 200_000,
            "mayTell": True,
        },
        "specifics": {"messageAimUs": [100_000], "tellsDelay": True, "tellsLoad": False},
        "obligations": {"answerSlackUs": 16_000, "coldShare": 0.2, "rampTimeUs": 20_000_000},
    }


def region_of(plan: Plan, zone: int) -> int:
    """The region that a zone belongs to."""
    return zone % plan.regions


def zone_name(plan: Plan, zone: int) -> str:
    """The name of a zone, which includes its region."""
    return f"r{region_of(plan, zone)}z{zone}"
