"""Scenario files: a deployment, its load and its troubles, for runs on virtual time and on loopback sockets.

This module defines the schema, reads it from TOML and validates it. Times are in seconds, rates per second,
shares between 0 and 1, and work and load in cores (a load of 0.1 keeps a tenth of a core of speed 1 busy).
Parsing uses no random numbers: the same text always gives the same scenario.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Callable, Iterable
from copy import deepcopy
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, field

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
# The upper bounds of the types below reject values in milliseconds where seconds are expected.
PositiveSeconds = Annotated[float, Meta(gt=0, le=60)]
Delay = Annotated[float, Meta(ge=0, le=5)]
SecondsRange = Annotated[list[Seconds], Meta(min_length=2, max_length=2)]  # of a uniform distribution
Positive = Annotated[float, Meta(gt=0)]
Weight = Annotated[float, Meta(ge=0, le=1e6)]
Count = Annotated[int, Meta(ge=0, le=100_000)]
Word = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,40}$")]
Parsed = TypeVar("Parsed")


class ScenarioError(ValueError):
    """A scenario or another input of the lab is invalid, or a run is impossible.

    For a file, the message names the file, the key and the reason.
    """


def max_cold_requests(allowed: float) -> float:
    """Return how many requests of mean work a cold server withstands in one window.

    `allowed` is the number that the settings allow in that window. Two of its standard deviations are added,
    because arrivals are random, and 2 requests.
    """
    return allowed + 2 * math.sqrt(allowed) + 2


class StrictTable(Struct, forbid_unknown_fields=True):
    """Base of the tables of a file. Unknown keys are rejected."""


class Rules(StrictTable):
    """Parameters of the four rules, and the limits on what a balancer may do."""

    drain_grace: Delay = 0.5
    answer_slack: Delay = 0.016
    # A cold server fails for the rest of the run if, within push_window, it receives more than push_multiple
    # times the work that it can do, plus a margin for random arrivals (max_cold_requests).
    push_multiple: Positive = 4.0
    push_window: PositiveSeconds = 2.0
    # After this time a change counts as known to a balancer that neither watches nor has asked for the list.
    ask_within: Seconds = 10.0
    max_legs: Annotated[int, Meta(ge=1, le=20)] = 3
    max_open_wait: Delay = 1.5  # the longest Retry-After given to clients; 0: none
    connect_timeout: PositiveSeconds = 0.2
    tick: Delay = 0.004


class Net(StrictTable):
    """One-way network delays. A random share, `jitter` at most, is added to each."""

    same: Delay = 0.0002
    cross: Delay = 0.004
    client: Delay = 0.0007
    jitter: Annotated[float, Meta(ge=0, le=10)] = 0.2


class Zone(StrictTable):
    """A zone: its number of balancers and its weight in the distribution of clients."""

    name: Word
    balancers: Annotated[int, Meta(ge=0, le=2000)] = 1
    clients: Weight = 1.0


class Kind(StrictTable):
    """A kind of server."""

    name: Word
    cores: Positive = 2.0
    speed: Positive = 1.0
    speed_spread: Share = 0.0  # a server's speed differs from `speed` by this share at most
    holds: Annotated[int, Meta(ge=1)] = 1000  # connections
    queue: PositiveSeconds = 2.0  # seconds of queued work from which new connections are rejected
    buffer: PositiveSeconds = 2.0  # maximum seconds of queued work; messages beyond it are dropped
    setup: Delay = 0.008  # core-seconds that a set-up costs
    message: Delay = 0.002  # core-seconds that a message costs
    cold_share: Share = 0.2
    warm_up: Seconds = 20.0
    listed: Positive = 1.0  # its weight in the server list
    sheds: Literal["none", "heaviest", "newest"] = "none"
    shed_at: PositiveSeconds = 1.0  # seconds of queued work from which connections are shed
    errors: Share = 0.0  # share of set-ups that fail at random


class Servers(StrictTable):
    """`count` servers of one kind in one zone, named ZONE-KIND-NUMBER with numbers from 1."""

    zone: Word
    kind: Word
    count: Annotated[int, Meta(ge=0, le=20_000)]


class Type(StrictTable):
    """A traffic type."""

    name: Word
    share: Weight = 1.0
    effect: Literal["repeatable", "referenced", "once-only"] = "repeatable"
    group: Literal["all", "zone", "cell"] = "all"
    remembered: Seconds = 5.0
    setup_target: PositiveSeconds = 0.3
    guard: PositiveSeconds = 2.0
    message_aim: PositiveSeconds = 0.1
    revenue: Positive = 1.0  # per second of an open connection
    load: Positive = 1.0  # multiple of the mean load
    life: Positive = 1.0  # multiple of the mean connection lifetime


class Tenant(StrictTable):
    """A tenant, its share of the service, and how much of that share it requests."""

    name: Word
    share: Positive = 1.0  # weight relative to the other tenants
    usage: Positive = 1.0


class Groups(StrictTable):
    """Groups of connections that share work.

    A server with at least one connection of a group carries `cost` mean loads for that group, once.
    """

    count: Count = 0  # 0: no groups
    zipf: Annotated[float, Meta(ge=0, le=3)] = 1.0
    cost: Annotated[float, Meta(ge=0, le=1000)] = 0.0


class Load(StrictTable):
    """The load of a connection on its server."""

    mean: Positive = 0.08
    spread: Annotated[float, Meta(ge=0, le=3)] = 0.8  # standard deviation of the load's logarithm
    swing: Annotated[float, Meta(ge=0, le=3)] = 0.0  # the same for each change; 0: no changes
    change: Positive = 10.0  # mean seconds between changes
    beyond_share: Share = 1.0  # factor on the revenue of connections beyond a tenant's share


class Clients(StrictTable):
    """Clients. Arrivals are open-loop: they do not depend on the answers to earlier requests."""

    rate: Annotated[float, Meta(ge=0)] = 6.0  # new connections per second, over all zones
    standing: Annotated[int, Meta(ge=0, le=2_000_000)] = 0  # connections open at the start
    life: Annotated[float, Meta(gt=0, le=86400)] = 40.0  # mean lifetime in seconds; exponentially distributed
    retries: Annotated[int, Meta(ge=0, le=20)] = 1
    backoff: SecondsRange = field(default_factory=lambda: [0.0, 0.0])  # before a retry, after any Retry-After
    honours: Share = 0.9  # share of clients that respect the Retry-After they are given
    never: Share = 0.0  # share of clients that never retry
    again: SecondsRange = field(default_factory=lambda: [3.0, 6.0])  # after the last retry; both 0: never
    stream: Count = 0  # bytes per second from the server to each client, on loopback runs only
    rejoin: SecondsRange = field(default_factory=lambda: [0.1, 0.8])  # after a broken connection or a move


class Store(StrictTable):
    """The session store, which is called by every set-up."""

    rate: Positive = 100.0  # capacity in calls per second
    delay: Delay = 0.003
    timeout: PositiveSeconds = 1.0  # then the server abandons the call, and the set-up fails


class Listing(StrictTable):
    """The discovery service."""

    asks: bool = True  # changes are sent only to balancers that ask; false: to all
    notice: SecondsRange = field(default_factory=lambda: [0.6, 1.5])  # until discovery knows of a change
    silent_notice: SecondsRange = field(default_factory=lambda: [3.0, 6.0])  # ... of a vanished machine
    spread: Delay = 0.1  # maximum additional delay, drawn for each balancer


class Front(StrictTable):
    """The front, which distributes clients over the balancers."""

    notice: Seconds = 2.0  # until it notices that a balancer has died
    ready: Delay = 0.3  # until a balancer that was started is ready


class Datagrams(StrictTable):
    """Datagrams between balancers."""

    allowed: bool = False
    delay: SecondsRange = field(default_factory=lambda: [0.001, 0.016])
    loss: Share = 0.0
    reorder: Share = 0.0  # share that takes ten times as long
    twice: Share = 0.0  # share that is duplicated


class Limits(StrictTable):
    """Resource limits of each balancer process on loopback runs."""

    sockets: Annotated[int, Meta(ge=32, le=65536)] = 1024  # descriptors
    memory_mb: Annotated[int, Meta(ge=0, le=65536)] = 0  # data segment (RLIMIT_DATA); 0: no limit


class Trouble(StrictTable, tag_field="kind", kw_only=True):
    """Base of the troubles: something that goes wrong `at` seconds after the start of the run."""

    at: Annotated[float, Meta(ge=0, le=86400)]


class OnServers(Trouble, kw_only=True):
    """Base of the troubles of servers: those named, or `count` chosen at random, in `zone` if it is given."""

    servers: list[str] = field(default_factory=list)
    count: Count = 0  # 0 with a zone and no names: all servers of the zone
    zone: str = ""


class Crash(OnServers, tag="crash"):
    """Servers crash and, unless `lasts` is 0, restart cold under the same names after `lasts`."""

    lasts: Seconds = 0.0
    silent: bool = False  # the machine vanishes: connections are neither reset nor refused
    told_older: Seconds = 0.0  # the list reports the new start time as this much earlier than it is


class Drain(OnServers, tag="drain"):
    """Servers drain for `lasts`, stop, and restart cold `back` seconds later, unless that is 0."""

    lasts: Seconds = 10.0
    back: Seconds = 0.0


class Slow(OnServers, tag="slow"):
    """Servers are slower by `factor`."""

    factor: Positive = 3.0
    lasts: Seconds = 10.0


class Failing(OnServers, tag="failing"):
    """Servers fail a share of their set-ups immediately."""

    share: Share = 1.0
    lasts: Seconds = 10.0


class Hang(OnServers, tag="hang"):
    """Servers accept connections and answer nothing. Their processes run, so discovery does not notice."""

    lasts: Seconds = 6.0


class Stall(Trouble, tag="stall"):
    """A share of the connected clients stops reading.

    This has no effect on virtual time, where no bytes are transferred.
    """

    share: Share = 0.2
    lasts: Seconds = 5.0


class ZoneLost(Trouble, tag="zone-lost"):
    """The servers of a zone, and its balancers if `balancers` is set, vanish and return after `lasts`.

    The servers return cold.
    """

    zone: str
    lasts: Seconds = 15.0
    balancers: bool = True


class ListDown(Trouble, tag="list-down"):
    """Discovery is unavailable."""

    lasts: Seconds = 10.0


class StoreSlow(Trouble, tag="store-slow"):
    """The session store is slower by `factor`."""

    factor: Positive = 5.0
    lasts: Seconds = 10.0


class Dear(Trouble, tag="dear"):
    """A share of the calls of a tenant or of a traffic type has `factor` times the usual load."""

    tenant: str = ""
    type: str = ""
    share: Share = 1.0
    factor: Positive = 10.0
    lasts: Seconds = 10.0


class Burst(Trouble, tag="burst"):
    """Clients arrive at `factor` times the usual rate."""

    factor: Positive = 2.5
    lasts: Seconds = 10.0


class Drop(Trouble, tag="drop"):
    """A share of all clients, or of those of `zone`, disconnects at the same moment and reconnects."""

    share: Share = 0.4
    zone: str = ""


class Killed(Trouble, tag="killed"):
    """Balancers are killed, and restarted after `lasts` unless that is 0.

    They are those named, or `count` chosen at random, or else all; in each case those of `zone`, if given.
    """

    balancers: list[str] = field(default_factory=list)
    count: Count = 0
    zone: str = ""
    lasts: Seconds = 3.0


class Rolled(Trouble, tag="rolled"):
    """All balancers, or those of a zone, are restarted one after the other, each after a notice."""

    zone: str = ""
    gap: Seconds = 5.0  # from one balancer's notice to the next one's
    grace: PositiveSeconds = 3.7  # from the notice to the end of the process
    down: Seconds = 0.5  # from the end of the process to its restart


class Partition(Trouble, tag="partition"):
    """Datagrams from balancers of `zone` to those of `other` are lost.

    Unless `one_way` is set, those in the opposite direction are lost too.
    """

    zone: str
    other: str
    one_way: bool = False
    lasts: Seconds = 10.0


Troubles = (
    Crash
    | Drain
    | Slow
    | Failing
    | Hang
    | Stall
    | ZoneLost
    | ListDown
    | StoreSlow
    | Dear
    | Burst
    | Drop
    | Killed
    | Rolled
    | Partition
)


class Scenario(StrictTable, kw_only=True):
    """The whole of a scenario file."""

    name: Word
    zone: Annotated[list[Zone], Meta(min_length=1, max_length=64)]
    kind: list[Kind] = field(default_factory=list)
    servers: list[Servers] = field(default_factory=list)
    type: Annotated[list[Type], Meta(min_length=1, max_length=64)]
    tenant: Annotated[list[Tenant], Meta(max_length=1024)] = field(default_factory=list)
    about: str = ""
    seed: Annotated[int, Meta(ge=0)] = 1
    length: Annotated[float, Meta(gt=0, le=86400)] = 60.0
    tail: PositiveSeconds = 5.0  # the run continues after the last arrival, so that all requests are answered
    cells: Annotated[int, Meta(ge=1, le=1000)] = 1  # number of cells, to which servers are assigned in turn
    rules: Rules = field(default_factory=Rules)
    net: Net = field(default_factory=Net)
    groups: Groups = field(default_factory=Groups)
    load: Load = field(default_factory=Load)
    clients: Clients = field(default_factory=Clients)
    store: Store = field(default_factory=Store)
    listing: Listing = field(default_factory=Listing)
    front: Front = field(default_factory=Front)
    datagrams: Datagrams = field(default_factory=Datagrams)
    limits: Limits = field(default_factory=Limits)
    trouble: Annotated[list[Troubles], Meta(max_length=1000)] = field(default_factory=list)

    def request_work(self, kind: Kind) -> float:
        """Return the core-seconds of a request of mean work to a server of this kind.

        These are the set-up and the load of a mean connection during the warm-up. So a cold server that takes
        connections at its full rate is just filled at the end of its warm-up.
        """
        return kind.setup + self.load.mean * kind.warm_up

    def overloads_cold_server(self, requests: float, kind: Kind, capacity: float) -> bool:
        """Return whether a cold server fails after `requests` in the current window.

        `capacity` is what the server can do now, in cores.
        """
        affordable = capacity * self.rules.push_window / self.request_work(kind)
        return requests > max_cold_requests(self.rules.push_multiple * affordable)


def read_tables(path: str | Path) -> dict[str, Any]:
    """Return the tables of a TOML file. Raises ScenarioError if it is unreadable or invalid."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # invalid TOML or UTF-8
        raise ScenarioError(f"{path}: {error}") from error


def parse_tables(
    raw: dict[str, Any],
    schema: type[Parsed],
    source: str,
    errors: Callable[[Parsed], Iterable[tuple[str, str]]],
) -> Parsed:
    """Convert tables to the struct `schema` and validate them.

    `source` names the file in messages. `errors` yields pairs of a key and what is wrong with it. Raises
    ScenarioError for the first error.
    """
    try:
        parsed = msgspec.convert(raw, schema)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$")
        raise ScenarioError(f"{source}: {place.strip('.`') or 'the file'}: {reason}") from error
    for key, reason in errors(parsed):
        raise ScenarioError(f"{source}: {key}: {reason}")
    return parsed


def read_scenario(path: str | Path) -> Scenario:
    """Read and validate a scenario file. Raises ScenarioError."""
    return parse_scenario(read_tables(path), str(path))


def parse_scenario(raw: dict[str, Any], source: str = "scenario") -> Scenario:
    """Validate the tables of a scenario; `source` names their file in messages. Raises ScenarioError."""
    return parse_tables(raw, Scenario, source, _errors)


def server_names(scenario: Scenario) -> list[tuple[str, Servers]]:
    """Return each server's name and its row in `servers`, in the order of the file."""
    last_numbers: dict[tuple[str, str], int] = {}
    names = []
    for row in scenario.servers:
        for _ in range(row.count):
            number = last_numbers[row.zone, row.kind] = last_numbers.get((row.zone, row.kind), 0) + 1
            names.append((f"{row.zone}-{row.kind}-{number}", row))
    return names


def balancer_names(scenario: Scenario) -> list[tuple[str, int]]:
    """Return each balancer's name and the index of its zone."""
    return [
        (f"{zone.name}-b{number + 1}", index)
        for index, zone in enumerate(scenario.zone)
        for number in range(zone.balancers)
    ]


def _errors(scenario: Scenario):
    """Yield the key and the reason of each error that the schema of single values does not cover."""
    zones = [zone.name for zone in scenario.zone]
    kinds = [kind.name for kind in scenario.kind]
    types = [kind.name for kind in scenario.type]
    tenants = [tenant.name for tenant in scenario.tenant]
    for key, names in (("zone", zones), ("kind", kinds), ("type", types), ("tenant", tenants)):
        for index, name in enumerate(names):
            if name in names[:index]:
                yield f"{key}[{index}].name", f"{name} is named twice"
    if not any(zone.balancers for zone in scenario.zone):
        yield "zone", "no zone has a balancer"
    for key, weights in (
        ("zone", [zone.clients for zone in scenario.zone]),
        ("type", [kind.share for kind in scenario.type]),
    ):
        if not sum(weights):
            yield key, "all shares are 0"
    for index, zone in enumerate(scenario.zone):
        if zone.clients and not zone.balancers:
            yield f"zone[{index}].clients", "clients in a zone without a balancer"
    for index, row in enumerate(scenario.servers):
        if row.zone not in zones:
            yield f"servers[{index}].zone", f"no zone {row.zone}"
        if row.kind not in kinds:
            yield f"servers[{index}].kind", f"no kind {row.kind}"
    for index, kind in enumerate(scenario.type):
        if kind.setup_target > kind.guard:
            yield f"type[{index}].setup_target", "beyond the guard time"
    ranges = [
        ("clients", scenario.clients, ("backoff", "again", "rejoin")),
        ("listing", scenario.listing, ("notice", "silent_notice")),
        ("datagrams", scenario.datagrams, ("delay",)),
    ]
    for table, values, keys in ranges:
        for key in keys:
            low, high = getattr(values, key)
            if low > high:
                yield f"{table}.{key}", f"{low:g} to {high:g} runs backwards"
    for key, value in _numbers(msgspec.to_builtins(scenario), ""):
        if not math.isfinite(value):
            yield key, "not a finite number"
    yield from _trouble_errors(scenario, zones, types, tenants)


def _trouble_errors(scenario: Scenario, zones: list[str], types: list[str], tenants: list[str]):
    """Yield the errors of troubles, such as names that the scenario does not define."""
    servers = [name for name, _ in server_names(scenario)]
    balancers = [name for name, _ in balancer_names(scenario)]
    for index, trouble in enumerate(scenario.trouble):
        place = f"trouble[{index}]"
        if trouble.at > scenario.length:
            yield f"{place}.at", f"begins after the end at {scenario.length:g}"
        for key in ("zone", "other"):
            if getattr(trouble, key, "") and getattr(trouble, key) not in zones:
                yield f"{place}.{key}", f"no zone {getattr(trouble, key)}"
        for key, known in (("servers", servers), ("balancers", balancers)):
            named = getattr(trouble, key, None)
            for name in named if isinstance(named, list) else ():
                if name not in known:
                    yield f"{place}.{key}", f"no {key.removesuffix('s')} {name}"
        if hasattr(trouble, "count"):
            targets = "balancers" if isinstance(trouble, Killed) else "servers"
            if not (trouble.count or getattr(trouble, targets) or trouble.zone):
                yield place, f"names no {targets}: give {targets}, count or zone"
        if isinstance(trouble, Dear):
            if bool(trouble.tenant) == bool(trouble.type):
                yield place, "give either tenant or type"
            if trouble.tenant and trouble.tenant not in tenants:
                yield f"{place}.tenant", f"no tenant {trouble.tenant}"
            if trouble.type and trouble.type not in types:
                yield f"{place}.type", f"no type {trouble.type}"


def _numbers(value: Any, key: str):
    """Yield the key and the value of each float in nested dicts and lists."""
    if isinstance(value, float):
        yield key, value
    elif isinstance(value, dict):
        for name, part in value.items():
            yield from _numbers(part, f"{key}.{name}".strip("."))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            yield from _numbers(part, f"{key}[{index}]")


def with_value(raw: dict[str, Any], key: str, value: Any) -> dict[str, Any]:
    """Return a copy of a file's tables with one value replaced.

    `key` has the form of keys in messages: `clients.rate` or `kind[0].cores`. Tables on the way that are
    missing are added. Raises ScenarioError if an index does not exist or a part of `key` has the wrong type.
    """
    copy = deepcopy(raw)
    table: Any = copy
    steps: list[str | int] = []
    for part in key.split("."):
        name, *indices = part.replace("]", "").split("[")
        steps += [name, *(int(index) if index.isdigit() else index for index in indices)]
    try:
        for step in steps[:-1]:
            table = table.setdefault(step, {}) if isinstance(table, dict) else table[step]
        if isinstance(table, dict) != isinstance(steps[-1], str):
            raise TypeError
        table[steps[-1]] = value
    except (IndexError, TypeError):
        raise ScenarioError(f"{key}: leads nowhere") from None
    return copy
