"""The scenario file: a deployment, its load and its troubles, as both faces of the lab play them.

Owns the schema, its reading from TOML and every check on it. Times are seconds, rates are a second, shares
lie between 0 and 1, work and load are in cores (a load of 0.1 keeps a tenth of a core of speed 1 busy). It
never draws by chance and never plays anything: the text of a file is a function of nothing else.
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
# Upper bounds are guards against milliseconds that were written where seconds are meant.
Wait = Annotated[float, Meta(gt=0, le=60)]
Delay = Annotated[float, Meta(ge=0, le=5)]
Span = Annotated[list[Seconds], Meta(min_length=2, max_length=2)]  # drawn evenly between the two
Positive = Annotated[float, Meta(gt=0)]
Weight = Annotated[float, Meta(ge=0, le=1e6)]
Count = Annotated[int, Meta(ge=0, le=100_000)]
Word = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,40}$")]
Parsed = TypeVar("Parsed")


class ScenarioError(ValueError):
    """A scenario that cannot be played; the text names file, key and reason."""


def max_cold_requests(allowed: float) -> float:
    """Requests of mean work that a cold server bears in a window in which the settings allow so many."""
    return allowed + 2 * math.sqrt(allowed) + 2


class StrictTable(Struct, forbid_unknown_fields=True):
    """A table of the file: unknown keys are refused."""


class Rules(StrictTable):
    """The figures of the four rules, and what a balancer may do."""

    drain_grace: Delay = 0.5
    answer_slack: Delay = 0.016
    push_multiple: Positive = 4.0  # a cold server sent more than this times what it can do, and chance, ...
    push_window: Wait = 2.0  # ... for so long falls over and stays down
    ask_within: Seconds = 10.0  # a change counts as told then to a balancer that neither watches nor asked
    max_legs: Annotated[int, Meta(ge=1, le=20)] = 3
    max_open_wait: Delay = 1.5  # the longest wait that clients are told; 0: none
    connect_timeout: Wait = 0.2
    tick: Delay = 0.004


class Net(StrictTable):
    """One-way delays; `jitter` is the largest share added to each by chance."""

    same: Delay = 0.0002
    cross: Delay = 0.004
    client: Delay = 0.0007
    jitter: Annotated[float, Meta(ge=0, le=10)] = 0.2


class Zone(StrictTable):
    """A zone, how many balancers stand in it and the weight of its part of the clients."""

    name: Word
    balancers: Annotated[int, Meta(ge=0, le=2000)] = 1
    clients: Weight = 1.0


class Kind(StrictTable):
    """A kind of server."""

    name: Word
    cores: Positive = 2.0
    speed: Positive = 1.0
    speed_spread: Share = 0.0  # each server's own speed lies so far round that at most
    holds: Annotated[int, Meta(ge=1)] = 1000  # connections
    queue: Wait = 2.0  # seconds of work piled up from which it turns new ones away
    buffer: Wait = 2.0  # seconds of work that pile up at most: messages beyond it are dropped
    setup: Delay = 0.008  # core-seconds that a set-up costs
    message: Delay = 0.002  # core-seconds that a message costs
    cold_share: Share = 0.2
    warm_up: Seconds = 20.0
    listed: Positive = 1.0  # its size in the list
    sheds: Literal["none", "heaviest", "newest"] = "none"
    shed_at: Wait = 1.0  # seconds of work piled up from which it sheds
    errors: Share = 0.0  # of set-ups that fail for no other reason


class Servers(StrictTable):
    """So many servers of a kind in a zone; named ZONE-KIND-NUMBER, from 1."""

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
    setup_target: Wait = 0.3
    guard: Wait = 2.0
    message_aim: Wait = 0.1
    revenue: Positive = 1.0  # a second
    load: Positive = 1.0  # times the mean load
    life: Positive = 1.0  # times the mean life


class Tenant(StrictTable):
    """A tenant, its share of the service and how much of that share it asks for."""

    name: Word
    share: Positive = 1.0  # by weight
    usage: Positive = 1.0


class Groups(StrictTable):
    """Groups of connections that share work: a server that holds any of one pays `cost` mean loads once."""

    count: Count = 0  # 0: no groups
    zipf: Annotated[float, Meta(ge=0, le=3)] = 1.0
    cost: Annotated[float, Meta(ge=0, le=1000)] = 0.0


class Load(StrictTable):
    """What a connection costs its server."""

    mean: Positive = 0.08
    spread: Annotated[float, Meta(ge=0, le=3)] = 0.8  # sigma of its logarithm
    swing: Annotated[float, Meta(ge=0, le=3)] = 0.0  # sigma of each change; 0: it never changes
    change: Positive = 10.0  # seconds between changes on the mean
    beyond_share: Share = 1.0  # revenue beyond a tenant's share, as a part of the usual


class Clients(StrictTable):
    """Arrivals come in open loop: nobody waits for another's answer."""

    rate: Annotated[float, Meta(ge=0)] = 6.0  # a second, in all zones
    standing: Annotated[int, Meta(ge=0, le=2_000_000)] = 0  # connections open at the start
    life: Annotated[float, Meta(gt=0, le=86400)] = 40.0  # seconds on the mean, exponential
    retries: Annotated[int, Meta(ge=0, le=20)] = 1
    backoff: Span = field(default_factory=lambda: [0.0, 0.0])  # before a retry, where no wait is honoured
    honours: Share = 0.9  # of clients that wait as long as they are told
    never: Share = 0.0  # of clients that never retry
    again: Span = field(default_factory=lambda: [3.0, 6.0])  # when retries are used up; both 0: never again
    stream: Count = 0  # bytes a second that its server sends to each, on the loopback face
    rejoin: Span = field(default_factory=lambda: [0.1, 0.8])  # after a break or a move


class Store(StrictTable):
    """The session store, which every set-up draws on."""

    rate: Positive = 100.0  # calls a second
    delay: Delay = 0.003
    timeout: Wait = 1.0  # the server gives the call up then, and the set-up fails


class Listing(StrictTable):
    """Discovery."""

    asks: bool = True  # changes come only to those who ask
    notice: Span = field(default_factory=lambda: [0.6, 1.5])  # from a change until the service knows
    silent_notice: Span = field(default_factory=lambda: [3.0, 6.0])  # of a machine that has vanished
    spread: Delay = 0.1  # more for each balancer, at most


class Front(StrictTable):
    notice: Seconds = 2.0  # until it notices that a balancer has died
    ready: Delay = 0.3  # until a balancer that started is up


class Datagrams(StrictTable):
    allowed: bool = False
    delay: Span = field(default_factory=lambda: [0.001, 0.016])
    loss: Share = 0.0
    reorder: Share = 0.0  # take ten times as long
    twice: Share = 0.0  # come a second time


class Limits(StrictTable):
    """What each balancer process may use on the loopback face."""

    sockets: Annotated[int, Meta(ge=32, le=65536)] = 1024
    memory_mb: Annotated[int, Meta(ge=0, le=65536)] = 0  # of data; 0: no limit


class Trouble(StrictTable, tag_field="kind", kw_only=True):
    at: Annotated[float, Meta(ge=0, le=86400)]


class OnServers(Trouble, kw_only=True):
    """One that strikes servers: those named, or so many by chance, of a zone where one is named."""

    servers: list[str] = field(default_factory=list)
    count: Count = 0  # 0 with a zone alone: all of it
    zone: str = ""


class Crash(OnServers, tag="crash"):
    """Servers die and, unless `lasts` is 0, come back cold under their names."""

    lasts: Seconds = 0.0
    silent: bool = False  # the machine vanishes: no reset, no refusal
    told_older: Seconds = 0.0  # the list tells their new start as so much earlier


class Drain(OnServers, tag="drain"):
    """Servers drain, stop, and come back cold `back` seconds later, unless that is 0."""

    lasts: Seconds = 10.0
    back: Seconds = 0.0


class Slow(OnServers, tag="slow"):
    factor: Positive = 3.0
    lasts: Seconds = 10.0


class Failing(OnServers, tag="failing"):
    """Servers fail set-ups at once."""

    share: Share = 1.0
    lasts: Seconds = 10.0


class Hang(OnServers, tag="hang"):
    """Servers accept connections and answer nothing; their processes run, so the list knows nothing of it."""

    lasts: Seconds = 6.0


class Stall(Trouble, tag="stall"):
    """A share of the clients that stand reads nothing. On virtual time, where no bytes pass, it does
    nothing."""

    share: Share = 0.2
    lasts: Seconds = 5.0


class ZoneLost(Trouble, tag="zone-lost"):
    """A zone's servers, and its balancers where said, vanish and come back, the servers cold."""

    zone: str
    lasts: Seconds = 15.0
    balancers: bool = True


class ListDown(Trouble, tag="list-down"):
    lasts: Seconds = 10.0


class StoreSlow(Trouble, tag="store-slow"):
    factor: Positive = 5.0
    lasts: Seconds = 10.0


class Dear(Trouble, tag="dear"):
    """Part of the calls of a tenant, or of a traffic type, cost a multiple of the usual load."""

    tenant: str = ""
    type: str = ""
    share: Share = 1.0
    factor: Positive = 10.0
    lasts: Seconds = 10.0


class Burst(Trouble, tag="burst"):
    factor: Positive = 2.5
    lasts: Seconds = 10.0


class Drop(Trouble, tag="drop"):
    """A share of all clients drops at once and comes again."""

    share: Share = 0.4
    zone: str = ""


class Killed(Trouble, tag="killed"):
    """Balancers are killed and start again after `lasts`; 0: never."""

    balancers: list[str] = field(default_factory=list)
    count: Count = 0
    zone: str = ""
    lasts: Seconds = 3.0


class Rolled(Trouble, tag="rolled"):
    """All balancers, or those of a zone, are restarted in turn with notice."""

    zone: str = ""
    gap: Seconds = 5.0  # from one to the next
    grace: Wait = 3.7  # from the notice to the end
    down: Seconds = 0.5


class Partition(Trouble, tag="partition"):
    """Datagrams from balancers of `zone` to those of `other` are lost, and back unless `one_way`."""

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
    name: Word
    zone: Annotated[list[Zone], Meta(min_length=1, max_length=64)]
    kind: list[Kind] = field(default_factory=list)
    servers: list[Servers] = field(default_factory=list)
    type: Annotated[list[Type], Meta(min_length=1, max_length=64)]
    tenant: Annotated[list[Tenant], Meta(max_length=1024)] = field(default_factory=list)
    about: str = ""
    seed: Annotated[int, Meta(ge=0)] = 1
    length: Annotated[float, Meta(gt=0, le=86400)] = 60.0
    tail: Wait = 5.0  # played on after the last arrival, so that all is answered
    cells: Annotated[int, Meta(ge=1, le=1000)] = 1  # servers are dealt out to so many
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
        """Core-seconds of a request of mean work: its set-up, and a connection of mean load for the warm-up;
        so a cold server can take new connections no faster than fills it over its warm-up."""
        return kind.setup + self.load.mean * kind.warm_up

    def overloads_cold_server(self, requests: float, kind: Kind, capacity: float) -> bool:
        """Does a cold server of so many cores now fall, with so many requests within the window?"""
        able = capacity * self.rules.push_window / self.request_work(kind)
        return requests > max_cold_requests(self.rules.push_multiple * able)


def read_tables(path: str | Path) -> dict[str, Any]:
    """The tables of a TOML file. Raises ScenarioError."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # no TOML, or no UTF-8
        raise ScenarioError(f"{path}: {error}") from error


def parse_tables(
    raw: dict[str, Any],
    form: type[Parsed],
    source: str,
    faults: Callable[[Parsed], Iterable[tuple[str, str]]],
) -> Parsed:
    """What the tables hold, in that form; `faults` names keys and what is wrong with each. Raises
    ScenarioError."""
    try:
        parsed = msgspec.convert(raw, form)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$")
        raise ScenarioError(f"{source}: {place.strip('.`') or 'the file'}: {reason}") from error
    for key, reason in faults(parsed):
        raise ScenarioError(f"{source}: {key}: {reason}")
    return parsed


def read_scenario(path: str | Path) -> Scenario:
    """The scenario of a file. Raises ScenarioError."""
    return parse_scenario(read_tables(path), str(path))


def parse_scenario(raw: dict[str, Any], source: str = "scenario") -> Scenario:
    """A scenario from the tables of its file. Raises ScenarioError."""
    return parse_tables(raw, Scenario, source, _faults)


def server_names(scenario: Scenario) -> list[tuple[str, Servers]]:
    """Each server's name and the row it stands in, in the order of the file."""
    counted: dict[tuple[str, str], int] = {}
    names = []
    for row in scenario.servers:
        for _ in range(row.count):
            number = counted[row.zone, row.kind] = counted.get((row.zone, row.kind), 0) + 1
            names.append((f"{row.zone}-{row.kind}-{number}", row))
    return names


def balancer_names(scenario: Scenario) -> list[tuple[str, int]]:
    """Each balancer's name and the index of its zone."""
    return [
        (f"{zone.name}-b{number + 1}", index)
        for index, zone in enumerate(scenario.zone)
        for number in range(zone.balancers)
    ]


def _faults(scenario: Scenario):
    """What no schema of single values can say: pairs of key and reason."""
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
    spans = [
        ("clients", scenario.clients, ("backoff", "again", "rejoin")),
        ("listing", scenario.listing, ("notice", "silent_notice")),
        ("datagrams", scenario.datagrams, ("delay",)),
    ]
    for table, values, keys in spans:
        for key in keys:
            low, high = getattr(values, key)
            if low > high:
                yield f"{table}.{key}", f"{low:g} to {high:g} runs backwards"
    for key, value in _numbers(msgspec.to_builtins(scenario), ""):
        if not math.isfinite(value):
            yield key, "not a finite number"
    yield from _trouble_faults(scenario, zones, types, tenants)


def _trouble_faults(scenario: Scenario, zones: list[str], types: list[str], tenants: list[str]):
    servers = [name for name, _ in server_names(scenario)]
    balancers = [name for name, _ in balancer_names(scenario)]
    for index, trouble in enumerate(scenario.trouble):
        here = f"trouble[{index}]"
        if trouble.at > scenario.length:
            yield f"{here}.at", f"begins after the end at {scenario.length:g}"
        for key in ("zone", "other"):
            if getattr(trouble, key, "") and getattr(trouble, key) not in zones:
                yield f"{here}.{key}", f"no zone {getattr(trouble, key)}"
        for key, known in (("servers", servers), ("balancers", balancers)):
            named = getattr(trouble, key, None)
            for name in named if isinstance(named, list) else ():
                if name not in known:
                    yield f"{here}.{key}", f"no {key.removesuffix('s')} {name}"
        if hasattr(trouble, "count"):
            of = "balancers" if isinstance(trouble, Killed) else "servers"
            if not (trouble.count or getattr(trouble, of) or trouble.zone):
                yield here, f"names no {of}: give {of}, count or zone"
        if isinstance(trouble, Dear):
            if bool(trouble.tenant) == bool(trouble.type):
                yield here, "give either tenant or type"
            if trouble.tenant and trouble.tenant not in tenants:
                yield f"{here}.tenant", f"no tenant {trouble.tenant}"
            if trouble.type and trouble.type not in types:
                yield f"{here}.type", f"no type {trouble.type}"


def _numbers(value: Any, key: str):
    if isinstance(value, float):
        yield key, value
    elif isinstance(value, dict):
        for name, part in value.items():
            yield from _numbers(part, f"{key}.{name}".strip("."))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            yield from _numbers(part, f"{key}[{index}]")


def with_value(raw: dict[str, Any], key: str, value: Any) -> dict[str, Any]:
    """A copy of a file's tables with one value replaced; `key` as in messages (`clients.rate`,
    `kind[0].cores`).

    Raises ScenarioError for a key that leads nowhere."""
    copy = deepcopy(raw)
    here: Any = copy
    steps: list[str | int] = []
    for part in key.split("."):
        name, *indices = part.replace("]", "").split("[")
        steps += [name, *(int(index) if index.isdigit() else index for index in indices)]
    try:
        for step in steps[:-1]:
            here = here.setdefault(step, {}) if isinstance(here, dict) else here[step]
        if isinstance(here, dict) != isinstance(steps[-1], str):
            raise TypeError
        here[steps[-1]] = value
    except (IndexError, TypeError):
        raise ScenarioError(f"{key}: leads nowhere") from None
    return copy
