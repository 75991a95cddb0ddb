"""The file of a scale run: sizes, rates and troubles of one tier.

Owns the schema, its reading from TOML and every check on it. Times are seconds, shares lie between 0 and 1.
It never draws by chance and never plays anything. How a file is refused is the lab's: file, key, reason.
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

TARGET_BALANCERS = 4800  # balancers, for which restarts are stated
RESTARTS_PER_HOUR = 54.0  # an hour there: 1,300 of a day
MAX_REAL_BALANCERS = 20
SERVERS_PER_BALANCER = 1.25  # servers, in a sweep: 6,000 to 4,800


class Latency(StrictTable):
    """One-way delays; `jitter` is the largest share added to each datagram's by chance."""

    zone: Delay = 0.0003
    region: Delay = 0.0015
    far: Delay = 0.04
    jitter: Share = 0.2


class Connections(StrictTable):
    """What hollow balancers hold, so that they have something to tell."""

    servers: Count = 60  # of its zone, at which a balancer holds any; or all of it if there are fewer
    each: Annotated[float, Meta(ge=1, le=1000)] = 2.0  # connections at such a server, on the mean
    changes: Annotated[float, Meta(ge=0, le=1000)] = 8.0  # a second and balancer: one ends, another begins
    groups: Annotated[int, Meta(ge=0, le=65_000)] = 0  # to which connections belong; 0: none
    setup: Delay = 0.02  # what a set-up takes


class Clients(StrictTable):
    """Stand-in clients of each real balancer."""

    standing: Annotated[int, Meta(ge=0, le=500)] = 10
    life: Annotated[float, Meta(ge=0.5, le=3600)] = 10.0  # seconds on the mean


class Limits(StrictTable):
    memory_mb: Count = 0  # of this run, its children included; 0, or more than that: half of the machine


class RackLost(Trouble, tag="rack-lost"):
    """A share of the balancers, neighbours in number, dies at once and comes back after `lasts`; 0: never."""

    share: Share = 0.1
    lasts: Seconds = 0.0


class RegionCut(Trouble, tag="region-cut"):
    """A region and the others hear nothing of one another: datagrams are lost, streams stand still."""

    region: Count = 0
    lasts: Seconds = 10.0


class AggregatorLost(Trouble, tag="aggregator-lost"):
    """Whoever broadcast last dies and comes back after `lasts`; 0: never."""

    lasts: Seconds = 0.0


class Plan(StrictTable, kw_only=True):
    name: Word
    about: str = ""
    time: Literal["virtual", "real"] = "virtual"
    seed: Annotated[int, Meta(ge=0)] = 1
    balancers: Annotated[int, Meta(ge=3, le=TARGET_BALANCERS)] = 50  # hollow ones
    real: Annotated[int, Meta(ge=0, le=MAX_REAL_BALANCERS)] = 0  # beside them, each a process
    real_first: bool = True  # they have the lowest numbers, so that one of them may speak for others
    servers: Annotated[int, Meta(ge=1, le=6000)] = 60
    regions: Annotated[int, Meta(ge=1, le=16)] = 3
    zones: Annotated[int, Meta(ge=1, le=64)] = 10  # in all regions together
    warm_up: Annotated[float, Meta(ge=0, le=3600)] = 12.0  # played before anything is counted
    duration: Annotated[float, Meta(ge=1, le=3600)] = 30.0  # counted
    list_changes: Annotated[float, Meta(ge=0, le=600)] = 6.0  # a minute
    restarts: Annotated[float, Meta(ge=0, le=1e7)] = (
        RESTARTS_PER_HOUR  # an hour in a tier of 4,800; less by size
    )
    down: Seconds = 2.0  # a restarted one is gone for
    loss: Share = 0.0  # of datagrams
    lean: bool = False  # one list, parsed once, is shared by all hollow balancers
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
        return self.balancers + self.real


def read_plan(path: str | Path) -> Plan:
    """The plan of a file. Raises ScenarioError."""
    return parse_plan(read_tables(path), str(path))


def parse_plan(raw: dict[str, Any], source: str = "plan") -> Plan:
    """A plan from the tables of its file. Raises ScenarioError."""
    return parse_tables(raw, Plan, source, _faults)


def _faults(plan: Plan):
    """What no schema of single values can say: pairs of key and reason."""
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
    """The same at another size, servers in proportion. Raises ScenarioError."""
    servers = max(1, round(plan.servers * balancers / plan.balancers))
    changed = msgspec.structs.replace(plan, balancers=balancers, servers=servers)
    return parse_plan(msgspec.to_builtins(changed), plan.name)


def balancer_settings(plan: Plan, zone: int, number: int) -> dict[str, Any]:
    """The settings object of a balancer's configuration."""
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
    return zone % plan.regions


def zone_name(plan: Plan, zone: int) -> str:
    return f"r{region_of(plan, zone)}z{zone}"
