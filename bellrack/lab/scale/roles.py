"""What one role of a balancer costs, measured alone at several sizes, with its slope.

Usage:
  bellrack lab scale roles [--role=NAME]... [--json=FILE] [--quick]
  bellrack lab scale roles (-h | --help)

Options:
  --role=NAME  Only this role; may be given several times: data-path, discovery-client, discovery-service,
               decisions, timers, state, aggregator, placements, configuration, shutdown, start.
  --json=FILE  Write sizes, values and fits as JSON; - for standard output, in place of the tables.
  --quick      Small sizes and few repeats, to see that it runs; its figures are good for nothing else.

Owns the measurements that docs/CAPACITY.md rests on. Processor time is the least of several repeats, memory
is allocated (tracemalloc) or resident bytes, bytes and records are counted and repeat to the digit. It plays
no deployment, judges nothing against a budget, and reads the clock of no wall.
"""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from docopt import docopt

from bellrack import model
from bellrack.choice import Balancer
from bellrack.lab.scale import stubs
from bellrack.lab.scale.fit import LineFit, PowerFit, fit_line, fit_power
from bellrack.model import Call, Leg, Result, Server, Settings
from bellrack.net import lines
from bellrack.net.config import parse_config, read_config, reread
from bellrack.net.discovery import DiscoveryRequest
from bellrack.net.node import Node
from bellrack.net.peer_socket import PeerSocket
from bellrack.net.servers import ServerConnection
from bellrack.peers import aggregation, overload
from bellrack.settings import parse_settings

BALANCERS, SERVERS, CONNECTIONS, SHARDS = 4800, 6000, 50_000, 1_200_000  # the target; servers are assumed
LIFE = 2.5  # seconds that a connection stands in plays of decisions: a sooner end counts as a failure
SET_UPS = 28.0  # new connections a second and balancer: 50,000 that last half an hour
GROUPS = 10  # of topics a server, in plays of the aggregator
STANDING, CHURN = 30, 4  # connections that a balancer has there, and that come and go a second
PER_BALANCER = 1.2  # servers a balancer, as in the rough play that this one repeats
BEGUN = 1000.0  # on the clock of plays
REPEATS, TRIES = 5, 8
CLEARLY, EXACT = 0.7, 1e-9  # of the line's largest residual; both are nought up to this

SERVER_SIZES, QUICK_SERVERS = (60, 200, 600, 2000, 6000), (20, 40, 80, 160)


@dataclass(frozen=True)
class Figure:
    """One cost at several sizes."""

    role: str
    name: str
    unit: str
    of: str  # what the sizes count
    sizes: list[int]
    values: list[float]
    counted: bool  # bytes and records: the same to the digit at each run
    fit: PowerFit | LineFit | None = None

    def fitted(self) -> Figure:
        """With a line, unless a power's largest residual is clearly less."""
        line = fit_line(self.sizes, self.values)
        power = fit_power(self.sizes, self.values) if min(self.values) > 0 else line
        return replace(self, fit=power if power.residual < CLEARLY * line.residual - EXACT else line)


def figure(
    role: str, name: str, unit: str, of: str, sizes: Any, values: Any, counted: bool = False
) -> Figure:
    return Figure(role, name, unit, of, list(sizes), list(values), counted).fitted()


def processor_time(what: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Microseconds of processor time, the least of several repeats."""
    best = None
    for _ in range(repeats):
        begun = time.process_time_ns()
        what()
        spent = time.process_time_ns() - begun
        best = spent if best is None else min(best, spent)
    return (best or 0) / 1000


def allocated(make: Callable[[], Any]) -> tuple[int, int]:
    """Bytes that what it makes keeps, and the most that stood on the way."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        kept, peak = tracemalloc.get_traced_memory()
        del made
        return kept - before, peak - before
    finally:
        tracemalloc.stop()


# What is measured.


def deployment(peers: int = 1, number: int = 0, **changes: Any) -> dict[str, Any]:
    """Settings as a balancer is told them, with ten zones."""
    return {
        "trafficTypes": [
            {
                "name": "chat",
                "effect": "retryable",
                "group": "all",
                "keyTtlUs": 5e6,
                "guardTimeUs": 3e6,
                "setupTargetUs": 3e5,
            }
        ],
        "specifics": {"messageAimUs": [1e5], "tellsDelay": False, "tellsLoad": False},
        "caps": {
            "maxLegs": 3,
            "retryAfter": True,
            "maxRetryAfterUs": 1500000,
            "connectTimeoutUs": 200000,
            "mayTell": True,
        },
        "obligations": {"answerSlackUs": 16000, "coldShare": 0.2, "rampTimeUs": 2e7},
        "accounts": [{"name": "acme"}],
        "areas": [f"zone-{n}" for n in range(10)],
        "az": 0,
        "peersTotal": peers,
        "slotNo": number,
        "discovery": "ask",
        "tickUs": 4000,
    } | changes


def rows(count: int, port: int = 9000, state: str = model.READY, zones: int = 10) -> list[dict[str, Any]]:
    """Entries of a list, as `lines.list_message` writes them."""
    return lines.list_message(
        (
            f"server-{n:06d}",
            ("127.0.0.1", port),
            f"zone-{n % zones}",
            state,
            n % 3,
            1000.0,
            1_700_000_000.0,
            "std",
        )
        for n in range(count)
    )["instances"]


def listing(count: int, state: str = model.READY, whole: bool = True, generation: int = 1) -> bytes:
    """A list, or a change of the last of so many servers, as one line."""
    listed = rows(count, state=state)
    told = {"generation": generation, "reset": whole, "instances": listed if whole else listed[-1:]}
    return json.dumps(told).encode() + b"\n"


def config_of(peers: int) -> dict[str, Any]:
    """The object of a configuration file in a tier of so many."""
    return {
        "name": "b0",
        "listen": "10.0.0.1:7000",
        "discovery": "10.0.0.2:7001",
        "seed": "1",
        "limits": {"sockets": 131072},
        "peer_listen": "10.0.0.1:7002",
        "peers": [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7002" for n in range(peers)],
        "settings": deployment(peers),
    }


class Host:
    """The host of decisions alone: does what it is told at once, and keeps what it was told of time."""

    def __init__(self, settings: Settings):
        self.now, self.settings = BEGUN, settings
        self.sent: list[Leg] = []
        self.balancer = Balancer(settings, 7, self)

    def send(self, call: Call, server: Server, until: float) -> Leg:
        leg = Leg(call, server, self.now)
        call.legs.append(leg)
        self.sent.append(leg)
        return leg

    def reject(self, call: Call, wait: float = 0.0) -> None:
        call.done = True

    def release(self, call: Call) -> None:
        call.done = True

    def move(self, call: Call) -> None: ...
    def watch(self, on: bool = True) -> None: ...
    def probe(self, server: Server) -> None: ...
    def send_datagram(self, peer: int | None, data: bytes) -> None: ...
    def set_timer(self, when: float, what: Any) -> None: ...
    def log(self, text: str) -> None: ...

    def fleet(self, count: int, zones: int) -> list[Server]:
        servers = [Server(lines.id_hash(f"server-{n:06d}"), n % zones, weight=1000.0) for n in range(count)]
        self.balancer.on_servers_listed(servers)
        return servers

    def ask(self, group: int) -> Call:
        call = Call(self.settings.types[0], self.now + 3.0, self.now, group=group)
        self.balancer.on_call(call)
        return call

    def hears(self) -> None:
        """An aggregator speaks: what is done once balancers tell one another is done."""
        for data in aggregation.pack(aggregation.BROADCAST, [(aggregation.SETUP_TIME, 0, 20.0)]):
            self.balancer.on_datagram(0, data)

    def holds(self, servers: list[Server], count: int) -> None:
        """So many connections stand, evenly, each of a group of its own."""
        for n in range(count):
            call = Call(self.settings.types[0], self.now, self.now, group=n + 1)
            leg = Leg(call, servers[n % len(servers)], self.now - 60, standing=True)
            call.legs.append(leg)
            self.balancer.on_resumed(leg)


def host_of(peers: int = 1, number: int = 0, **changes: Any) -> Host:
    return Host(parse_settings(deployment(peers, number, **changes)))


class Fed(DiscoveryRequest):
    """A question whose answer is put into its ring, in place of a connection."""

    def open(self, address: tuple[str, int], wait: float) -> None: ...

    def feed(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            space = self.ring.writable_space()
            count = min(len(space), len(view))
            space[:count] = view[:count]
            self.ring.commit(count)
            self.ready()
            view = view[count:]


class Alone:
    """A node without sockets; a context."""

    def __init__(self, peers: int = 1):
        self.loop = asyncio.new_event_loop()
        self.node = Node(parse_config(config_of(peers)), self.loop)

    def __enter__(self) -> Node:
        return self.node

    def __exit__(self, *error: object) -> None:
        self.loop.close()


def watching(node: Node) -> Fed:
    """A watch whose head has come."""
    question = Fed(node, ("127.0.0.1", 1), True)
    node.discovery.current = question
    question.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return question


def chunk(line: bytes) -> bytes:
    return b"%x\r\n" % len(line) + line + b"\r\n"


# Roles.


def data_path(quick: bool) -> Iterator[Figure]:
    sizes = [20, 40, 60, 80] if quick else [200, 800, 1400, 2000]
    counts = [200, 400, 600, 800] if quick else [4000, 8000, 16000, 32000]

    async def play() -> tuple[list[int], dict[int, list[int]]]:
        around = stubs.StandIns(deployment(), rows)
        async with around:
            memory = await stubs.idle_pairs(around, sizes)
            child = around.children[0]
            return memory, {size: await stubs.relayed(around, child, counts, size) for size in (100, 1000)}

    memory, spent = asyncio.run(play())
    yield figure("data-path", "resident memory", "B", "standing connections", sizes, memory)
    for size, values in spent.items():
        yield figure(
            "data-path",
            f"processor time, lines of {size} B",
            "us",
            "lines passed on",
            counts,
            [value / 1000 for value in values],
        )


def discovery_client(quick: bool) -> Iterator[Figure]:
    sizes = QUICK_SERVERS if quick else SERVER_SIZES
    repeats = 1 if quick else 3
    role, of = "discovery-client", "servers"
    whole, change, kept, peak, first, later = [], [], [], [], [], []
    for count in sizes:
        text, news = listing(count), listing(count, model.DRAINING, whole=False, generation=2)
        whole.append(len(text))
        change.append(len(chunk(news)))

        def take(text: bytes = text) -> Node:
            with Alone() as node:
                watching(node).feed(chunk(text))
                if not node.servers:
                    raise stubs.ScaleError("a list was not taken in")
                return node

        with Alone() as node:  # what it costs to be there at all
            watching(node)
            bare = processor_time(lambda: Alone().__exit__(), repeats)
        first.append(max(0.0, processor_time(take, repeats) - bare))
        with Alone() as node:
            question = watching(node)
            question.feed(chunk(text))
            again = partial(question.feed, chunk(news))
            later.append(processor_time(again, 3 * repeats))
        stays, most = allocated(take)
        kept.append(stays)
        peak.append(most)
    yield figure(role, "bytes of a whole list", "B", of, sizes, whole, True)
    yield figure(role, "bytes of a change of one server", "B", of, sizes, change, True)
    yield figure(role, "processor time, whole list parsed and taken in", "us", of, sizes, first)
    yield figure(role, "processor time, change of one server", "us", of, sizes, later)
    yield figure(role, "memory kept", "B", of, sizes, kept)
    yield figure(role, "memory at its most while a list is taken in", "B", of, sizes, peak)
    seconds = [60, 120, 240, 480]
    yield figure(
        role,
        "bytes of an idle watch",
        "B",
        "seconds",
        seconds,
        [len(chunk(b"\n")) * (second // 2) for second in seconds],
        True,
    )


def discovery_service(quick: bool) -> Iterator[Figure]:
    """No service of ours: what its watches must be sent, by count."""
    watches = [60, 600, 2400, BALANCERS]
    change = len(chunk(listing(SERVERS, model.DRAINING, whole=False, generation=2)))
    whole, idle = len(listing(SERVERS)), len(chunk(b"\n"))
    role, of = "discovery-service", "watches"
    yield figure(role, "bytes out of a change to all", "B", of, watches, [change * n for n in watches], True)
    yield figure(
        role,
        f"bytes out of a whole list of {SERVERS} servers to all",
        "B",
        of,
        watches,
        [whole * n for n in watches],
        True,
    )
    yield figure(
        role,
        "bytes out a second while nothing changes",
        "B/s",
        of,
        watches,
        [idle / 2 * n for n in watches],
        True,
    )


def decision_time(count: int, zones: int, decided: int) -> float:
    """Microseconds a decision: a call with a group arrives each 1/SET_UPS s, stands and ends after LIFE s."""
    host = host_of()
    host.fleet(count, zones)
    chance, spent, standing = random.Random(5), 0, deque()
    for number in range(decided + 10):
        group = chance.randrange(1, GROUPS * count)
        begun = time.process_time_ns()
        call = host.ask(group)
        spent += (time.process_time_ns() - begun) if number >= 10 else 0
        if not call.legs:
            raise stubs.ScaleError(f"a call found no room among {count} servers")
        leg = call.legs[0]
        leg.established = True
        host.balancer.on_established(leg)
        standing.append(leg)
        while standing[0].sent < host.now - LIFE:
            leg = standing.popleft()
            leg.call.done, leg.result = True, Result(model.COMPLETED)
            host.balancer.on_leg_ended(leg, leg.result)
        host.now += 1 / SET_UPS
    return spent / decided / 1000


def decisions(quick: bool) -> Iterator[Figure]:
    sizes = (10, 20, 40, 80) if quick else (10, 60, 200, 600, 1000, 2000, 6000)
    for zones in (1, 10):
        yield figure(
            "decisions",
            f"processor time a decision, servers in {zones} zone{'s' * (zones > 1)}",
            "us",
            "servers",
            sizes,
            [
                min(decision_time(n, zones, 20 if quick else 60) for _ in range(1 if quick else 3))
                for n in sizes
            ],
        )


class StandingLink:
    """What looks see of a connection to a server."""

    is_silent = ServerConnection.is_silent

    def __init__(self, node: Node):
        self.node, self.client, self.unanswered = node, SimpleNamespace(blocked=False), deque(maxlen=64)


def looked_after(servers: int, connections: int) -> Alone:
    """A node that holds connections, as its looks see them."""
    alone = Alone()
    node = alone.node
    node.server_list.on_list(lines.parse_list(json.loads(listing(servers))))
    legs = list(node.servers.values())
    for n in range(connections):
        legs[n % servers].host_record.connections[StandingLink(node)] = None
    return alone


def timers(quick: bool) -> Iterator[Figure]:
    sizes = QUICK_SERVERS if quick else SERVER_SIZES
    repeats = 1 if quick else REPEATS
    tidy, tell, look = [], [], []

    def told(host: Host) -> Callable[[], None]:
        def turn() -> None:
            for server in host.balancer.fleet[: int(SET_UPS)]:  # whose counts change in half a second
                host.balancer.overload.exchange.set_held(server.id_hash, 1, 0, 0)
            host.now += overload.REPUBLISH_SECONDS
            host.hears()
            host.balancer.on_timer("publish")

        return turn

    for count in sizes:
        host = host_of(BALANCERS, 9)
        host.holds(host.fleet(count, 10), count)
        host.hears()
        tidy.append(processor_time(lambda host=host: host.balancer.on_timer("rebalance"), repeats))
        tell.append(processor_time(told(host), repeats))
        with looked_after(count, count) as node:
            look.append(processor_time(node.server_watch.check, repeats))
    of = "servers, a connection each"
    yield figure("timers", "processor time of a second's tidy", "us", of, sizes, tidy)
    yield figure("timers", "processor time of a half-second's report", "us", of, sizes, tell)
    yield figure("timers", "processor time of a second's look", "us", of, sizes, look)
    held = (200, 400, 800, 1600) if quick else (2000, 5000, 10000, 20000, CONNECTIONS)
    tidy, tell, look, servers = [], [], [], 60 if quick else 600
    for count in held:
        host = host_of(BALANCERS, 9)
        host.holds(host.fleet(servers, 10), count)
        host.hears()
        tidy.append(processor_time(lambda host=host: host.balancer.on_timer("rebalance"), repeats))
        tell.append(processor_time(told(host), repeats))
        with looked_after(servers, count) as node:
            look.append(processor_time(node.server_watch.check, repeats))
    of = f"standing connections, {servers} servers"
    yield figure("timers", "processor time of a second's tidy", "us", of, held, tidy)
    yield figure("timers", "processor time of a half-second's report", "us", of, held, tell)
    yield figure("timers", "processor time of a second's look", "us", of, held, look)


def state(quick: bool) -> Iterator[Figure]:
    sizes = QUICK_SERVERS if quick else SERVER_SIZES

    def taken_in(count: int) -> Any:
        alone = Alone()
        alone.node.server_list.on_list(lines.parse_list(json.loads(listing(count))))
        alone.loop.close()
        return alone

    def queued(count: int) -> int:
        host = host_of()
        for server in host.fleet(count, 10):
            server.local_state.limit, server.local_state.limit_cut_at = 0.0, host.now
        host.ask(1).host_record = host  # all that is made once
        number = 20
        return allocated(lambda: [host.ask(n + 2) for n in range(number)])[0] // number

    yield figure(
        "state",
        "memory of servers",
        "B",
        "servers",
        sizes,
        [allocated(lambda n=n: taken_in(n))[0] for n in sizes],
    )
    yield figure("state", "memory of one queued request", "B", "servers", sizes, [queued(n) for n in sizes])
    peers = (60, 120, 240, 480) if quick else (60, 600, 1200, 2400, BALANCERS)

    def known(count: int) -> Any:
        config = parse_config(config_of(count))
        return config, PeerSocket(SimpleNamespace(config=config))

    yield figure(
        "state",
        "memory of known peers",
        "B",
        "balancers",
        peers,
        [allocated(lambda n=n: known(n))[0] for n in peers],
    )


class Tier:
    """The sums of a tier on virtual time: one aggregator, one that hears it, and all that report."""

    def __init__(self, balancers: int, seed: int = 3):
        self.chance, self.now = random.Random(seed), BEGUN
        self.servers = [lines.id_hash(f"server-{n:06d}") for n in range(round(PER_BALANCER * balancers))]
        self.listed = dict.fromkeys((mark & aggregation.SHORT_ID_MASK for mark in self.servers), True)
        self.out: deque[tuple[int, int | None, bytes]] = deque()
        self.all = [
            aggregation.Aggregation(n, balancers, lambda peer, data, n=n: self.out.append((n, peer, data)))
            for n in range(balancers)
        ]
        self.reports = self.report_bytes = self.broadcast_bytes = self.replies = 0
        self.spent = self.heard = 0  # nanoseconds of the aggregator, and of who hears it
        self.standing: list[list[tuple[int, int]]] = [[] for _ in self.all]
        for own in range(balancers):
            for _ in range(STANDING):
                self.set_up(own)

    def set_up(self, own: int) -> None:
        server = self.chance.choice(self.servers)
        group = self.chance.randrange(1, GROUPS * len(self.servers))
        self.standing[own].append((server, group))
        self.counted(own, server, group)

    def end(self, own: int) -> None:
        held = self.standing[own]
        self.counted(own, *held.pop(self.chance.randrange(len(held))))

    def counted(self, own: int, server: int, group: int) -> None:
        held = self.standing[own]
        self.all[own].set_held(
            server, sum(one == server for one, _ in held), group, held.count((server, group))
        )

    def turn(self) -> None:
        """Half a second: what changes, what is said, what the aggregator and one other make of it."""
        self.now += aggregation.BROADCAST_INTERVAL_SECONDS
        quiet = next(aggregation.pack(aggregation.BROADCAST, []))
        for own, one in enumerate(self.all[1:], 1):
            for _ in range(int(CHURN * aggregation.BROADCAST_INTERVAL_SECONDS)):
                self.end(own)
                self.set_up(own)
                one.report(aggregation.SETUP_TIME, self.standing[own][-1][0], 20.0)
            if own > 1:
                one.on_datagram(
                    self.now, 0, quiet, {}
                )  # that somebody speaks; what is said one hears for all
            one.on_period(self.now, 0.02)
        aggregator, hears = self.all[0], self.all[1]
        arrived = [(peer, data) for peer, to, data in self.out if to == 0]
        self.out.clear()
        begun = time.process_time_ns()
        for peer, data in arrived:
            aggregator.on_datagram(self.now, peer, data, self.listed)
        aggregator.on_period(self.now, 0.02)
        self.spent += time.process_time_ns() - begun
        self.reports += len(arrived)
        self.report_bytes += sum(len(data) for _, data in arrived)
        said = [data for _, to, data in self.out if to is None]
        self.replies += sum(len(data) for _, to, data in self.out if to is not None)
        self.broadcast_bytes += sum(map(len, said))
        self.out.clear()
        begun = time.process_time_ns()
        for data in said:
            hears.on_datagram(self.now, 0, data, self.listed)
        self.heard += time.process_time_ns() - begun

    def play(self, seconds: float, warm: float = 10.0) -> dict[str, float]:
        """A second's costs, once it has run warm."""
        while self.now < BEGUN + warm:
            self.turn()
        self.reports = self.report_bytes = self.broadcast_bytes = self.replies = 0
        self.spent = self.heard = 0  # nanoseconds of the aggregator, and of who hears it
        for _ in range(int(seconds / aggregation.BROADCAST_INTERVAL_SECONDS)):
            self.turn()
        return {
            "datagrams": self.reports / seconds,
            "in": self.report_bytes / seconds,
            "plain": self.broadcast_bytes / seconds,
            "spent": self.spent / seconds / 1000,
            "heard": self.heard / seconds / 1000,
            "out": (self.broadcast_bytes * (len(self.all) - 1) + self.replies) / seconds,
        }


def aggregator(quick: bool) -> Iterator[Figure]:
    sizes = (8, 12, 16, 24) if quick else (50, 100, 200, 400, 800)
    played = [Tier(n).play(2.0, 3.0) if quick else Tier(n).play(10.0) for n in sizes]
    for key, name, unit, counted in (
        ("datagrams", "datagrams in", "1/s", True),
        ("in", "bytes in", "B/s", True),
        ("out", "bytes out, to each balancer apart", "B/s", True),
        ("plain", "bytes in at a plain balancer", "B/s", True),
        ("spent", "processor time", "us/s", False),
        ("heard", "processor time of hearing it at a plain balancer", "us/s", False),
    ):
        yield figure("aggregator", name, unit, "balancers", sizes, [one[key] for one in played], counted)

    def kept(count: int) -> int:
        tier = Tier(count)
        for _ in range(12):
            tier.turn()
        one = tier.all[0]
        return deep(one.reports) + deep(one.totals) + deep(one.reported_pairs) + deep(one.placements)

    yield figure("aggregator", "memory of its records", "B", "balancers", sizes, [kept(n) for n in sizes])


def deep(value: Any, seen: set[int] | None = None) -> int:
    """Bytes of a container and of all it holds, each object once."""
    seen = set() if seen is None else seen
    if id(value) in seen:
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        size += sum(deep(key, seen) + deep(one, seen) for key, one in value.items())
    elif isinstance(value, list | tuple | set | frozenset | deque):
        size += sum(deep(one, seen) for one in value)
    return size


def unspoken(count: int) -> int:
    """Servers of so many of which balancers cannot speak, as another one has the same short identifier."""
    host = host_of(3)
    host.fleet(count, 10)
    return count - sum(server is not None for server in host.balancer.overload.servers.values())


def unspoken_by_formula(count: int) -> float:
    return count * (1 - (1 - 1 / (aggregation.SHORT_ID_MASK + 1)) ** (count - 1))


def placed(count: int, own: int) -> aggregation.Aggregation:
    """The records of the aggregator (0), or of who hears it: so many pairs, each at two balancers."""
    out: list[bytes] = []
    one = aggregation.Aggregation(own, BALANCERS, lambda peer, data: out.append(data))
    if own:
        one.on_datagram(BEGUN, 0, next(aggregation.pack(aggregation.BROADCAST, [])), {})
    else:
        one.aggregator = 0
    pairs = [(n % 6000, n // 6000 * 6007 + n % 6000 + 1) for n in range(count)]
    for first in range(0, count, aggregation.MAX_PAIRS):
        some = pairs[first : first + aggregation.MAX_PAIRS]
        for copy in range(aggregation.MIN_HOLDERS if not own else 1):
            for data in aggregation.pack_pairs(
                aggregation.PLACEMENTS if own else aggregation.GROUPS, some, [1] * len(some)
            ):
                peer = first // aggregation.MAX_PAIRS * aggregation.MIN_HOLDERS + copy + 1
                one.on_datagram(BEGUN, 0 if own else peer, data, {})
    if not own:
        one.on_period(BEGUN, 0.02)
    return one


def placements(quick: bool) -> Iterator[Figure]:
    sizes = (500, 1000, 1500, 2000) if quick else (2000, 5000, 10000, 20000)

    for own, whose in ((0, "at the aggregator"), (5, "at a balancer")):
        yield figure(
            "placements",
            f"memory of placements {whose}",
            "B",
            "placements",
            sizes,
            [allocated(lambda n=n, own=own: placed(n, own))[0] for n in sizes],
        )
    asked = (1000, 5000, 10000, 15000, 20000, 20100)
    known = [placed(n, 5) for n in asked]
    yield Figure(
        "placements",
        "placements known of so many told",
        "1",
        "placements told",
        list(asked),
        [len(one.placements) for one in known],
        True,
    )
    news = next(
        aggregation.pack_pairs(
            aggregation.PLACEMENTS,
            [(n, 65000) for n in range(aggregation.MAX_PAIRS)],
            [1] * aggregation.MAX_PAIRS,
        )
    )
    yield Figure(
        "placements",
        "processor time of one more broadcast of 63 placements",
        "us",
        "placements told before",
        list(asked),
        [processor_time(lambda one=one: one.on_datagram(BEGUN, 0, news, {}), 1) for one in known],
        False,
    )
    servers = (600, 2400, 5000, SERVERS)
    yield Figure(
        "placements",
        "servers that share a short identifier, by count",
        "1",
        "servers",
        list(servers),
        [unspoken(n) for n in servers],
        True,
    )
    yield Figure(
        "placements",
        "the same by formula",
        "1",
        "servers",
        list(servers),
        [round(unspoken_by_formula(n), 1) for n in servers],
        True,
    )


def configuration(quick: bool) -> Iterator[Figure]:
    sizes = (60, 120, 240, 480) if quick else (60, 600, 1200, 2400, BALANCERS)
    size, spent = [], []
    with tempfile.TemporaryDirectory(prefix="bellrack-scale-") as folder:
        path = Path(folder) / "config.json"
        for count in sizes:
            text = json.dumps(config_of(count))
            path.write_text(text, encoding="utf-8")
            size.append(len(text))
            config = read_config(str(path))
            spent.append(processor_time(lambda config=config: reread(config), 1 if quick else REPEATS))
    of = "balancers named in it"
    yield figure("configuration", "bytes of the file", "B", of, sizes, size, True)
    yield figure("configuration", "processor time to read it again", "us", of, sizes, spent)


def shutdown(quick: bool) -> Iterator[Figure]:
    """What a process tells the one that comes after it, and hands over."""
    servers = QUICK_SERVERS if quick else SERVER_SIZES
    told, spent = [], []
    for count in servers:
        with Alone() as node:
            node.server_list.on_list(lines.parse_list(json.loads(listing(count))))
            told.append(len(json.dumps(node.hot_restart.snapshot())))
            spent.append(
                processor_time(lambda node=node: json.dumps(node.hot_restart.snapshot()), 1 if quick else 3)
            )
    role = "shutdown"
    yield figure(role, "bytes told with the listening socket", "B", "servers", servers, told, True)
    yield figure(role, "processor time to tell it", "us", "servers", servers, spent)
    ids = (200, 400, 800, 1600) if quick else (2000, 5000, 20000, CONNECTIONS)
    told = []
    for count in ids:
        with Alone() as node:
            node.limits.open_ids = {f"c{n:08d}": None for n in range(count)}
            told.append(len(json.dumps(node.hot_restart.snapshot())))
    yield figure(
        role,
        "bytes told with the listening socket, ids of 9 letters",
        "B",
        "standing connections",
        ids,
        told,
        True,
    )
    pairs = (20, 40, 60, 80) if quick else (200, 800, 1400, 2000)

    async def play(count: int) -> tuple[int, int, int]:
        async with stubs.StandIns(deployment(), rows) as around:
            return await stubs.handed_over(around, count)

    over = [asyncio.run(play(count)) for count in pairs]
    yield figure(
        role,
        "processor time of the process that goes",
        "us",
        "connections standing",
        pairs,
        [one[0] / 1000 for one in over],
    )
    came = [one[2] for one in over]
    if len(set(came)) == len(came):
        yield figure(
            role,
            "processor time of the process that comes",
            "us",
            "connections that came over",
            came,
            [one[1] / 1000 for one in over],
        )
    yield Figure(role, "connections that came over", "1", "connections standing", list(pairs), came, False)
    yield from restarts(quick)


def restarts(quick: bool) -> Iterator[Figure]:
    """How often a process that is started beside one that serves takes over from it."""
    tries, sizes = (1, (2, 4, 8, 16)) if quick else (TRIES, (2, 100, 600, 1000, 3000))

    async def play(count: int) -> bool:
        async with stubs.StandIns(deployment(), rows, servers=count) as around:
            return await stubs.met(around)

    yield Figure(
        "shutdown",
        f"hot restarts that came about, of {tries}",
        "1",
        "servers",
        list(sizes),
        [sum(asyncio.run(play(count)) for _ in range(tries)) for count in sizes],
        False,
    )


def start(quick: bool) -> Iterator[Figure]:
    sizes = QUICK_SERVERS if quick else SERVER_SIZES

    async def play(count: int) -> tuple[int, int]:
        async with stubs.StandIns(deployment(), rows, servers=count) as around:
            return await stubs.started(around)

    found = [min(asyncio.run(play(count)) for _ in range(1 if quick else 3)) for count in sizes]
    yield figure(
        "start",
        "processor time until it serves and has its list",
        "us",
        "servers",
        sizes,
        [one[0] / 1000 for one in found],
    )
    yield figure("start", "resident memory", "B", "servers", sizes, [one[1] for one in found])


ROLES: dict[str, Callable[[bool], Iterator[Figure]]] = {
    "data-path": data_path,
    "discovery-client": discovery_client,
    "discovery-service": discovery_service,
    "decisions": decisions,
    "timers": timers,
    "state": state,
    "aggregator": aggregator,
    "placements": placements,
    "configuration": configuration,
    "shutdown": shutdown,
    "start": start,
}


# The command.


def build() -> str:
    """The commit that is measured; "unknown" outside a repository."""
    try:
        return subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            cwd=Path(__file__).parent,
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def shown(one: Figure) -> str:
    """A figure as lines of plain text."""
    head = f"{one.role}: {one.name} [{one.unit}] by {one.of}{', counted' if one.counted else ''}"
    text = f"{head}\n  " + "  ".join(f"{size}: {value:.6g}" for size, value in zip(one.sizes, one.values))
    if one.fit:
        text += (
            f"\n  fit {one.fit.formula()}, error {one.fit.error:.2g}, largest residual {one.fit.residual:.1%}"
        )
    return text


def plain(one: Figure) -> dict[str, Any]:
    told = asdict(one)
    if one.fit:
        told["fit"] |= {"form": one.fit.form, "formula": one.fit.formula()}
    return told


def main(argv: list[str]) -> int:
    """Run the command; the exit code: 0, 2 for what cannot be done. `argv` is what follows `roles`."""
    args = docopt(__doc__, argv=["lab", "scale", "roles", *argv])
    names = args["--role"] or list(ROLES)
    if unknown := [name for name in names if name not in ROLES]:
        print(
            f"bellrack lab scale roles: no role {unknown[0]!r}; there are {', '.join(ROLES)}", file=sys.stderr
        )
        return 2
    report = {
        "build": build(),
        "date": datetime.now(UTC).strftime("%Y-%m-%d"),
        "quick": bool(args["--quick"]),
        "figures": [],
        "not measured": [],
    }
    for name in names:
        try:
            for one in ROLES[name](bool(args["--quick"])):
                report["figures"].append(plain(one))
                if args["--json"] != "-":
                    print(shown(one), flush=True)
        except (stubs.ScaleError, OSError) as error:
            report["not measured"].append({"role": name, "why": str(error)})
            print(f"{name}: not measured: {error}", file=sys.stderr)
    text = json.dumps(report, indent=1)
    if args["--json"] == "-":
        print(text)
    elif args["--json"]:
        Path(args["--json"]).write_text(text + "\n", encoding="utf-8")
    return 2 if report["not measured"] else 0
