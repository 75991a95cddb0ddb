"""Measures what each role of a balancer costs by itself, at several sizes, and fits how the cost grows.

Usage:
  bellrack lab scale roles [--role=NAME]... [--json=FILE] [--quick]
  bellrack lab scale roles (-h | --help)

Options:
  --role=NAME  Measure only this role; may be repeated: data-path, discovery-client, discovery-service,
               decisions, timers, state, aggregator, placements, configuration, shutdown, start.
  --json=FILE  Write sizes, values and fits as JSON; - for standard output, in place of the tables.
  --quick      Use small sizes and few repeats, as a check that the command runs; its results mean nothing.

docs/CAPACITY.md is based on these measurements. Processor time is the minimum of several repeats. Memory is
either allocated bytes (tracemalloc) or resident bytes. Bytes and records are counted and are exactly the same
in each run. This module does not simulate a whole deployment, compare results with a budget, or measure
wall-clock time.
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

# The size of deployment to plan for. The number of servers is an assumption.
TARGET_BALANCERS = 4800
TARGET_SERVERS = 6000
TARGET_CONNECTIONS = 50_000  # of one balancer
TARGET_SHARDS = 1_200_000
# How long a connection stays open in the measurement of decisions. One that ends earlier counts as a failure
# of its server.
CONNECTION_LIFE_SECONDS = 2.5
SETUPS_PER_SECOND = 28.0  # new connections of one balancer: 50,000 connections that last half an hour each
GROUPS_PER_SERVER = 10  # groups of calls, in the measurements of decisions and of the aggregator
# In the measurement of the aggregator:
CONNECTIONS_PER_BALANCER = 30
CHURN_PER_SECOND = 4  # connections of each balancer that end and are replaced
SERVERS_PER_BALANCER = 1.2  # as in the earlier, rougher simulation that this one repeats
START_SECONDS = 1000.0  # the initial time of simulated clocks
REPEATS = 5
RESTART_TRIES = 8
# A power law is preferred to a line if its largest residual is below this share of the line's.
POWER_RESIDUAL_SHARE = 0.7
RESIDUAL_ROUNDING = 1e-9  # residuals up to this count as zero

SERVER_SIZES = (60, 200, 600, 2000, 6000)
QUICK_SERVER_SIZES = (20, 40, 80, 160)


@dataclass(frozen=True)
class Measurement:
    """One cost at several sizes. The field names are keys of the JSON report."""

    role: str
    name: str
    unit: str
    of: str  # what the sizes count
    sizes: list[int]
    values: list[float]
    counted: bool  # bytes or records, which are exactly the same in each run
    fit: PowerFit | LineFit | None = None

    def with_fit(self) -> Measurement:
        """Returns a copy with a linear fit, or with a power law if that has a clearly smaller residual."""
        line = fit_line(self.sizes, self.values)
        power = fit_power(self.sizes, self.values) if min(self.values) > 0 else line
        return replace(
            self,
            fit=(
                power if power.residual < POWER_RESIDUAL_SHARE * line.residual - RESIDUAL_ROUNDING else line
            ),
        )


def measurement(
    role: str, name: str, unit: str, size_unit: str, sizes: Any, values: Any, counted: bool = False
) -> Measurement:
    """Returns a measurement with its fit. `size_unit` says what the sizes count."""
    return Measurement(role, name, unit, size_unit, list(sizes), list(values), counted).with_fit()


def processor_time_us(action: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Returns the processor time of `action()` in microseconds, the minimum of several repeats."""
    best = None
    for _ in range(repeats):
        started_ns = time.process_time_ns()
        action()
        spent_ns = time.process_time_ns() - started_ns
        best = spent_ns if best is None else min(best, spent_ns)
    return (best or 0) / 1000


def allocated_bytes(create: Callable[[], Any]) -> tuple[int, int]:
    """Returns the bytes that the result of `create()` keeps allocated, and the peak while it was created."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        created = create()
        kept, peak = tracemalloc.get_traced_memory()
        del created
        return kept - before, peak - before
    finally:
        tracemalloc.stop()


# Inputs and objects to measure.


def deployment_settings(balancers: int = 1, number: int = 0, **changes: Any) -> dict[str, Any]:
    """Returns the settings of balancer `number` of a tier, with ten zones. `changes` replaces entries."""
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
        "peersTotal": balancers,
        "slotNo": number,
        "discovery": "ask",
        "tickUs": 4000,
    } | changes


def list_entries(
    count: int, port: int = 9000, state: str = model.READY, zones: int = 10
) -> list[dict[str, Any]]:
    """Returns the entries of a list with `count` servers, as `lines.list_message` writes them."""
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


def list_line(count: int, state: str = model.READY, full: bool = True, generation: int = 1) -> bytes:
    """Returns one line of discovery: the full list of `count` servers, or a change of the last of them."""
    entries = list_entries(count, state=state)
    message = {"generation": generation, "reset": full, "instances": entries if full else entries[-1:]}
    return json.dumps(message).encode() + b"\n"


def balancer_config(balancers: int) -> dict[str, Any]:
    """Returns the configuration of one balancer in a tier of so many balancers."""
    return {
        "name": "b0",
        "listen": "10.0.0.1:7000",
        "discovery": "10.0.0.2:7001",
        "seed": "1",
        "limits": {"sockets": 131072},
        "peer_listen": "10.0.0.1:7002",
        "peers": [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7002" for n in range(balancers)],
        "settings": deployment_settings(balancers),
    }


class StubHost:
    """A host without sockets and timers: it sends legs at once, and ignores timers and datagrams."""

    def __init__(self, settings: Settings):
        self.now, self.settings = START_SECONDS, settings
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

    def list_servers(self, count: int, zones: int) -> list[Server]:
        """Lists `count` servers in `zones` zones to the balancer, and returns them."""
        servers = [Server(lines.id_hash(f"server-{n:06d}"), n % zones, weight=1000.0) for n in range(count)]
        self.balancer.on_servers_listed(servers)
        return servers

    def submit_call(self, group: int) -> Call:
        """Passes a new call of this group to the balancer, and returns it."""
        call = Call(self.settings.types[0], self.now + 3.0, self.now, group=group)
        self.balancer.on_call(call)
        return call

    def receive_broadcast(self) -> None:
        """Receives a broadcast of an aggregator, after which the balancer does all that depends on one."""
        for data in aggregation.pack(aggregation.BROADCAST, [(aggregation.SETUP_TIME, 0, 20.0)]):
            self.balancer.on_datagram(0, data)

    def resume_connections(self, servers: list[Server], count: int) -> None:
        """Resumes `count` connections, spread evenly over the servers, each in a group of its own."""
        for n in range(count):
            call = Call(self.settings.types[0], self.now, self.now, group=n + 1)
            leg = Leg(call, servers[n % len(servers)], self.now - 60, established=True)
            call.legs.append(leg)
            self.balancer.on_resumed(leg)


def create_host(balancers: int = 1, number: int = 0, **changes: Any) -> StubHost:
    """Returns a host of balancer `number` of a tier; see `deployment_settings`."""
    return StubHost(parse_settings(deployment_settings(balancers, number, **changes)))


class FedDiscoveryRequest(DiscoveryRequest):
    """A discovery request without a connection: `feed` writes the response into its receive ring."""

    def open(self, address: tuple[str, int], wait: float) -> None: ...

    def feed(self, data: bytes) -> None:
        """Processes `data` as if it had been received."""
        view = memoryview(data)
        while view:
            space = self.ring.writable_space()
            count = min(len(space), len(view))
            space[:count] = view[:count]
            self.ring.commit(count)
            self.ready()
            view = view[count:]


class SocketlessNode:
    """A context manager for a node without sockets, in a tier of `balancers`."""

    def __init__(self, balancers: int = 1):
        self.loop = asyncio.new_event_loop()
        self.node = Node(parse_config(balancer_config(balancers)), self.loop)

    def __enter__(self) -> Node:
        return self.node

    def __exit__(self, *error: object) -> None:
        self.loop.close()


def open_watch(node: Node) -> FedDiscoveryRequest:
    """Opens a watch whose response head has been received."""
    request = FedDiscoveryRequest(node, ("127.0.0.1", 1), True)
    node.discovery.current = request
    request.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return request


def http_chunk(body: bytes) -> bytes:
    """Returns `body` as one chunk of a chunked HTTP response."""
    return b"%x\r\n" % len(body) + body + b"\r\n"


# The roles. Each function yields the measurements of one role; `quick`: small sizes and few repeats.


def data_path(quick: bool) -> Iterator[Measurement]:
    """Measures a process that relays lines: memory by connections, processor time by lines."""
    sizes = [20, 40, 60, 80] if quick else [200, 800, 1400, 2000]
    line_counts = [200, 400, 600, 800] if quick else [4000, 8000, 16000, 32000]

    async def measure() -> tuple[list[int], dict[int, list[int]]]:
        environment = stubs.StubEnvironment(deployment_settings(), list_entries)
        async with environment:
            memory = await stubs.memory_by_connections(environment, sizes)
            child = environment.children[0]
            return memory, {
                size: await stubs.relay_time_ns(environment, child, line_counts, size) for size in (100, 1000)
            }

    memory, relay_ns = asyncio.run(measure())
    yield measurement("data-path", "resident memory", "B", "standing connections", sizes, memory)
    for size, values in relay_ns.items():
        yield measurement(
            "data-path",
            f"processor time, lines of {size} B",
            "us",
            "lines passed on",
            line_counts,
            [value / 1000 for value in values],
        )


def discovery_client(quick: bool) -> Iterator[Measurement]:
    """Measures how a node parses and applies the list of servers and its changes."""
    sizes = QUICK_SERVER_SIZES if quick else SERVER_SIZES
    repeats = 1 if quick else 3
    role, size_unit = "discovery-client", "servers"
    list_bytes, change_bytes, kept_bytes, peak_bytes, list_us, change_us = [], [], [], [], [], []
    for count in sizes:
        full_list, change = (
            list_line(count),
            list_line(count, model.DRAINING, full=False, generation=2),
        )
        list_bytes.append(len(full_list))
        change_bytes.append(len(http_chunk(change)))

        def apply_list(full_list: bytes = full_list) -> Node:
            with SocketlessNode() as node:
                open_watch(node).feed(http_chunk(full_list))
                if not node.servers:
                    raise stubs.ScaleError("the node did not accept a list of servers")
                return node

        with SocketlessNode() as node:  # the cost of creating a node, which is subtracted
            open_watch(node)
            node_us = processor_time_us(lambda: SocketlessNode().__exit__(), repeats)
        list_us.append(max(0.0, processor_time_us(apply_list, repeats) - node_us))
        with SocketlessNode() as node:
            request = open_watch(node)
            request.feed(http_chunk(full_list))
            apply_change = partial(request.feed, http_chunk(change))
            change_us.append(processor_time_us(apply_change, 3 * repeats))
        kept, peak = allocated_bytes(apply_list)
        kept_bytes.append(kept)
        peak_bytes.append(peak)
    yield measurement(role, "bytes of a whole list", "B", size_unit, sizes, list_bytes, True)
    yield measurement(role, "bytes of a change of one server", "B", size_unit, sizes, change_bytes, True)
    yield measurement(role, "processor time, whole list parsed and taken in", "us", size_unit, sizes, list_us)
    yield measurement(role, "processor time, change of one server", "us", size_unit, sizes, change_us)
    yield measurement(role, "memory kept", "B", size_unit, sizes, kept_bytes)
    yield measurement(role, "memory at its most while a list is taken in", "B", size_unit, sizes, peak_bytes)
    seconds = [60, 120, 240, 480]
    yield measurement(
        role,
        "bytes of an idle watch",
        "B",
        "seconds",
        seconds,
        [len(http_chunk(b"\n")) * (second // 2) for second in seconds],
        True,
    )


def discovery_service(quick: bool) -> Iterator[Measurement]:
    """Counts the bytes that a discovery service sends to its watches. No service is run for it."""
    watches = [60, 600, 2400, TARGET_BALANCERS]
    change = len(http_chunk(list_line(TARGET_SERVERS, model.DRAINING, full=False, generation=2)))
    full_list, idle = len(list_line(TARGET_SERVERS)), len(http_chunk(b"\n"))
    role, size_unit = "discovery-service", "watches"
    yield measurement(
        role, "bytes out of a change to all", "B", size_unit, watches, [change * n for n in watches], True
    )
    yield measurement(
        role,
        f"bytes out of a whole list of {TARGET_SERVERS} servers to all",
        "B",
        size_unit,
        watches,
        [full_list * n for n in watches],
        True,
    )
    yield measurement(
        role,
        "bytes out a second while nothing changes",
        "B/s",
        size_unit,
        watches,
        [idle / 2 * n for n in watches],  # discovery sends an empty line every 2 s
        True,
    )


def decision_time_us(servers: int, zones: int, decision_count: int) -> float:
    """Returns the mean processor time of a decision in microseconds.

    A call with a group arrives SETUPS_PER_SECOND times a second, is established at once and ends after
    CONNECTION_LIFE_SECONDS. The first ten decisions are not counted. Raises ScaleError if the balancer finds
    no server for a call.
    """
    host = create_host()
    host.list_servers(servers, zones)
    random_stream, spent_ns, established_legs = random.Random(5), 0, deque()
    for number in range(decision_count + 10):
        group = random_stream.randrange(1, GROUPS_PER_SERVER * servers)
        started_ns = time.process_time_ns()
        call = host.submit_call(group)
        spent_ns += (time.process_time_ns() - started_ns) if number >= 10 else 0
        if not call.legs:
            raise stubs.ScaleError(f"no capacity for a call among {servers} servers")
        leg = call.legs[0]
        leg.established = True
        host.balancer.on_established(leg)
        established_legs.append(leg)
        while established_legs[0].sent < host.now - CONNECTION_LIFE_SECONDS:
            leg = established_legs.popleft()
            leg.call.done, leg.result = True, Result(model.COMPLETED)
            host.balancer.on_leg_ended(leg, leg.result)
        host.now += 1 / SETUPS_PER_SECOND
    return spent_ns / decision_count / 1000


def decisions(quick: bool) -> Iterator[Measurement]:
    """Measures the choice of a server for a call, by the number of servers."""
    sizes = (10, 20, 40, 80) if quick else (10, 60, 200, 600, 1000, 2000, 6000)
    for zones in (1, 10):
        yield measurement(
            "decisions",
            f"processor time a decision, servers in {zones} zone{'s' * (zones > 1)}",
            "us",
            "servers",
            sizes,
            [
                min(decision_time_us(n, zones, 20 if quick else 60) for _ in range(1 if quick else 3))
                for n in sizes
            ],
        )


class StubServerConnection:
    """The attributes of a server connection that the node's periodic check reads."""

    is_silent = ServerConnection.is_silent

    def __init__(self, node: Node):
        self.node, self.client, self.unanswered = node, SimpleNamespace(blocked=False), deque(maxlen=64)


def node_with_connections(servers: int, connections: int) -> SocketlessNode:
    """Returns a node that holds `connections` stub connections, spread evenly over `servers` servers."""
    context = SocketlessNode()
    node = context.node
    node.server_list.on_list(lines.parse_list(json.loads(list_line(servers))))
    listed = list(node.servers.values())
    for n in range(connections):
        listed[n % servers].host_record.connections[StubServerConnection(node)] = None
    return context


def timers(quick: bool) -> Iterator[Measurement]:
    """Measures the periodic work: rebalancing, the report to the aggregator, and the check of the servers."""
    sizes = QUICK_SERVER_SIZES if quick else SERVER_SIZES
    repeats = 1 if quick else REPEATS
    rebalance_us, report_us, check_us = [], [], []

    def publish_action(host: StubHost) -> Callable[[], None]:
        def publish() -> None:
            # The servers whose connection counts change in half a second.
            for server in host.balancer.fleet[: int(SETUPS_PER_SECOND)]:
                host.balancer.overload.exchange.set_held(server.id_hash, 1, 0, 0)
            host.now += overload.REPUBLISH_SECONDS
            host.receive_broadcast()
            host.balancer.on_timer("publish")

        return publish

    for count in sizes:
        host = create_host(TARGET_BALANCERS, 9)
        host.resume_connections(host.list_servers(count, 10), count)
        host.receive_broadcast()
        rebalance_us.append(processor_time_us(lambda host=host: host.balancer.on_timer("rebalance"), repeats))
        report_us.append(processor_time_us(publish_action(host), repeats))
        with node_with_connections(count, count) as node:
            check_us.append(processor_time_us(node.server_watch.check, repeats))
    size_unit = "servers, a connection each"
    yield measurement("timers", "processor time of a second's tidy", "us", size_unit, sizes, rebalance_us)
    yield measurement("timers", "processor time of a half-second's report", "us", size_unit, sizes, report_us)
    yield measurement("timers", "processor time of a second's look", "us", size_unit, sizes, check_us)
    connection_counts = (200, 400, 800, 1600) if quick else (2000, 5000, 10000, 20000, TARGET_CONNECTIONS)
    rebalance_us, report_us, check_us, servers = [], [], [], 60 if quick else 600
    for count in connection_counts:
        host = create_host(TARGET_BALANCERS, 9)
        host.resume_connections(host.list_servers(servers, 10), count)
        host.receive_broadcast()
        rebalance_us.append(processor_time_us(lambda host=host: host.balancer.on_timer("rebalance"), repeats))
        report_us.append(processor_time_us(publish_action(host), repeats))
        with node_with_connections(servers, count) as node:
            check_us.append(processor_time_us(node.server_watch.check, repeats))
    size_unit = f"standing connections, {servers} servers"
    yield measurement(
        "timers", "processor time of a second's tidy", "us", size_unit, connection_counts, rebalance_us
    )
    yield measurement(
        "timers", "processor time of a half-second's report", "us", size_unit, connection_counts, report_us
    )
    yield measurement(
        "timers", "processor time of a second's look", "us", size_unit, connection_counts, check_us
    )


def state(quick: bool) -> Iterator[Measurement]:
    """Measures the memory of listed servers, of queued calls and of known peers."""
    sizes = QUICK_SERVER_SIZES if quick else SERVER_SIZES

    def node_with_list(count: int) -> Any:
        context = SocketlessNode()
        context.node.server_list.on_list(lines.parse_list(json.loads(list_line(count))))
        context.loop.close()
        return context

    def queued_call_bytes(count: int) -> int:
        host = create_host()
        for server in host.list_servers(count, 10):
            server.local_state.limit, server.local_state.limit_cut_at = 0.0, host.now
        host.submit_call(1).host_record = host  # the first call creates what later calls share
        number = 20
        return allocated_bytes(lambda: [host.submit_call(n + 2) for n in range(number)])[0] // number

    yield measurement(
        "state",
        "memory of servers",
        "B",
        "servers",
        sizes,
        [allocated_bytes(lambda n=n: node_with_list(n))[0] for n in sizes],
    )
    yield measurement(
        "state", "memory of one queued request", "B", "servers", sizes, [queued_call_bytes(n) for n in sizes]
    )
    peer_counts = (60, 120, 240, 480) if quick else (60, 600, 1200, 2400, TARGET_BALANCERS)

    def peer_socket(count: int) -> Any:
        config = parse_config(balancer_config(count))
        return config, PeerSocket(SimpleNamespace(config=config))

    yield measurement(
        "state",
        "memory of known peers",
        "B",
        "balancers",
        peer_counts,
        [allocated_bytes(lambda n=n: peer_socket(n))[0] for n in peer_counts],
    )


class AggregationSimulation:
    """Simulates the aggregation in a tier on virtual time.

    Member 0 is the aggregator and member 1 processes all broadcasts. The others only report.
    """

    def __init__(self, balancers: int, seed: int = 3):
        self.random_stream, self.now = random.Random(seed), START_SECONDS
        self.servers = [
            lines.id_hash(f"server-{n:06d}") for n in range(round(SERVERS_PER_BALANCER * balancers))
        ]
        self.listed = dict.fromkeys((id_hash & aggregation.SHORT_ID_MASK for id_hash in self.servers), True)
        # Datagrams on their way: sender, receiver (None: all others), payload.
        self.in_flight: deque[tuple[int, int | None, bytes]] = deque()
        self.members = [
            aggregation.Aggregation(
                n, balancers, lambda peer, data, n=n: self.in_flight.append((n, peer, data))
            )
            for n in range(balancers)
        ]
        # Counts of report datagrams, and of bytes.
        self.reports = self.report_bytes = self.broadcast_bytes = self.reply_bytes = 0
        self.aggregator_ns = self.receiver_ns = 0  # processor time of members 0 and 1
        # The server and group of each connection, by member.
        self.connections: list[list[tuple[int, int]]] = [[] for _ in self.members]
        for number in range(balancers):
            for _ in range(CONNECTIONS_PER_BALANCER):
                self.open_connection(number)

    def open_connection(self, number: int) -> None:
        """Opens a connection of this member, at a random server and in a random group."""
        server = self.random_stream.choice(self.servers)
        group = self.random_stream.randrange(1, GROUPS_PER_SERVER * len(self.servers))
        self.connections[number].append((server, group))
        self.update_held(number, server, group)

    def close_connection(self, number: int) -> None:
        """Closes a random connection of this member."""
        held = self.connections[number]
        self.update_held(number, *held.pop(self.random_stream.randrange(len(held))))

    def update_held(self, number: int, server: int, group: int) -> None:
        """Tells the member's aggregation how many connections it holds at this server, and of the group."""
        held = self.connections[number]
        self.members[number].set_held(
            server, sum(one == server for one, _ in held), group, held.count((server, group))
        )

    def step(self) -> None:
        """Simulates one broadcast interval: connections change, the members report, and the aggregator and
        member 1 process what they receive."""
        self.now += aggregation.BROADCAST_INTERVAL_SECONDS
        empty_broadcast = next(aggregation.pack(aggregation.BROADCAST, []))
        for number, member in enumerate(self.members[1:], 1):
            for _ in range(int(CHURN_PER_SECOND * aggregation.BROADCAST_INTERVAL_SECONDS)):
                self.close_connection(number)
                self.open_connection(number)
                member.report(aggregation.SETUP_TIME, self.connections[number][-1][0], 20.0)
            if number > 1:
                # Shows that there is an aggregator. Only member 1 processes the content of broadcasts.
                member.on_datagram(self.now, 0, empty_broadcast, {})
            member.on_period(self.now, 0.02)
        aggregator, receiver = self.members[0], self.members[1]
        arrived = [(sender, data) for sender, to, data in self.in_flight if to == 0]
        self.in_flight.clear()
        started_ns = time.process_time_ns()
        for sender, data in arrived:
            aggregator.on_datagram(self.now, sender, data, self.listed)
        aggregator.on_period(self.now, 0.02)
        self.aggregator_ns += time.process_time_ns() - started_ns
        self.reports += len(arrived)
        self.report_bytes += sum(len(data) for _, data in arrived)
        broadcasts = [data for _, to, data in self.in_flight if to is None]
        self.reply_bytes += sum(len(data) for _, to, data in self.in_flight if to is not None)
        self.broadcast_bytes += sum(map(len, broadcasts))
        self.in_flight.clear()
        started_ns = time.process_time_ns()
        for data in broadcasts:
            receiver.on_datagram(self.now, 0, data, self.listed)
        self.receiver_ns += time.process_time_ns() - started_ns

    def run(self, seconds: float, warm_up_seconds: float = 10.0) -> dict[str, float]:
        """Runs for `seconds` of virtual time after a warm-up, and returns the costs of one second.

        "spent" and "heard" are processor time in microseconds, of the aggregator and of member 1; "datagrams"
        is a count, and the others are bytes.
        """
        while self.now < START_SECONDS + warm_up_seconds:
            self.step()
        self.reports = self.report_bytes = self.broadcast_bytes = self.reply_bytes = 0
        self.aggregator_ns = self.receiver_ns = 0
        for _ in range(int(seconds / aggregation.BROADCAST_INTERVAL_SECONDS)):
            self.step()
        return {
            "datagrams": self.reports / seconds,
            "in": self.report_bytes / seconds,
            "plain": self.broadcast_bytes / seconds,
            "spent": self.aggregator_ns / seconds / 1000,
            "heard": self.receiver_ns / seconds / 1000,
            "out": (self.broadcast_bytes * (len(self.members) - 1) + self.reply_bytes) / seconds,
        }


def aggregator(quick: bool) -> Iterator[Measurement]:
    """Measures the aggregator of a tier, and a balancer that receives its broadcasts."""
    sizes = (8, 12, 16, 24) if quick else (50, 100, 200, 400, 800)
    results = [
        AggregationSimulation(n).run(2.0, 3.0) if quick else AggregationSimulation(n).run(10.0) for n in sizes
    ]
    for key, name, unit, counted in (
        ("datagrams", "datagrams in", "1/s", True),
        ("in", "bytes in", "B/s", True),
        ("out", "bytes out, to each balancer apart", "B/s", True),
        ("plain", "bytes in at a plain balancer", "B/s", True),
        ("spent", "processor time", "us/s", False),
        ("heard", "processor time of hearing it at a plain balancer", "us/s", False),
    ):
        yield measurement(
            "aggregator", name, unit, "balancers", sizes, [result[key] for result in results], counted
        )

    def record_bytes(count: int) -> int:
        simulation = AggregationSimulation(count)
        for _ in range(12):
            simulation.step()
        member = simulation.members[0]
        return (
            deep_size(member.reports)
            + deep_size(member.totals)
            + deep_size(member.reported_pairs)
            + deep_size(member.placements)
        )

    yield measurement(
        "aggregator", "memory of its records", "B", "balancers", sizes, [record_bytes(n) for n in sizes]
    )


def deep_size(value: Any, seen: set[int] | None = None) -> int:
    """Returns the bytes of a container and of all that it contains, each object counted once.

    `seen`: the ids of objects that are counted already."""
    seen = set() if seen is None else seen
    if id(value) in seen:
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        size += sum(deep_size(key, seen) + deep_size(item, seen) for key, item in value.items())
    elif isinstance(value, list | tuple | set | frozenset | deque):
        size += sum(deep_size(item, seen) for item in value)
    return size


def shared_short_ids(count: int) -> int:
    """Returns how many of `count` servers share their short id with another one. Balancers leave such servers
    out of their records."""
    host = create_host(3)
    host.list_servers(count, 10)
    return count - sum(server is not None for server in host.balancer.overload.servers.values())


def expected_shared_short_ids(count: int) -> float:
    """Returns the expected value of `shared_short_ids` for uniformly distributed ids."""
    return count * (1 - (1 - 1 / (aggregation.SHORT_ID_MASK + 1)) ** (count - 1))


def aggregation_with_placements(count: int, number: int) -> aggregation.Aggregation:
    """Returns the records of member `number` after it has received `count` placements.

    Member 0 is the aggregator, and receives each pair of server and group from as many balancers as make it a
    placement. Any other member receives the placements from the aggregator.
    """
    sent: list[bytes] = []
    member = aggregation.Aggregation(number, TARGET_BALANCERS, lambda peer, data: sent.append(data))
    if number:
        member.on_datagram(START_SECONDS, 0, next(aggregation.pack(aggregation.BROADCAST, [])), {})
    else:
        member.aggregator = 0
    pairs = [(n % 6000, n // 6000 * 6007 + n % 6000 + 1) for n in range(count)]
    for first in range(0, count, aggregation.MAX_PAIRS):
        batch = pairs[first : first + aggregation.MAX_PAIRS]
        for copy in range(aggregation.MIN_HOLDERS if not number else 1):
            for data in aggregation.pack_pairs(
                aggregation.PLACEMENTS if number else aggregation.GROUPS, batch, [1] * len(batch)
            ):
                sender = first // aggregation.MAX_PAIRS * aggregation.MIN_HOLDERS + copy + 1
                member.on_datagram(START_SECONDS, 0 if number else sender, data, {})
    if not number:
        member.on_period(START_SECONDS, 0.02)
    return member


def placements(quick: bool) -> Iterator[Measurement]:
    """Measures the records of where groups are placed, and counts servers that share a short id."""
    sizes = (500, 1000, 1500, 2000) if quick else (2000, 5000, 10000, 20000)

    for number, place in ((0, "at the aggregator"), (5, "at a balancer")):
        yield measurement(
            "placements",
            f"memory of placements {place}",
            "B",
            "placements",
            sizes,
            [
                allocated_bytes(lambda n=n, number=number: aggregation_with_placements(n, number))[0]
                for n in sizes
            ],
        )
    received_counts = (1000, 5000, 10000, 15000, 20000, 20100)
    members = [aggregation_with_placements(n, 5) for n in received_counts]
    yield Measurement(
        "placements",
        "placements known of so many told",
        "1",
        "placements told",
        list(received_counts),
        [len(member.placements) for member in members],
        True,
    )
    broadcast = next(
        aggregation.pack_pairs(
            aggregation.PLACEMENTS,
            [(n, 65000) for n in range(aggregation.MAX_PAIRS)],
            [1] * aggregation.MAX_PAIRS,
        )
    )
    yield Measurement(
        "placements",
        "processor time of one more broadcast of 63 placements",
        "us",
        "placements told before",
        list(received_counts),
        [
            processor_time_us(lambda member=member: member.on_datagram(START_SECONDS, 0, broadcast, {}), 1)
            for member in members
        ],
        False,
    )
    server_counts = (600, 2400, 5000, TARGET_SERVERS)
    yield Measurement(
        "placements",
        "servers that share a short identifier, by count",
        "1",
        "servers",
        list(server_counts),
        [shared_short_ids(n) for n in server_counts],
        True,
    )
    yield Measurement(
        "placements",
        "the same by formula",
        "1",
        "servers",
        list(server_counts),
        [round(expected_shared_short_ids(n), 1) for n in server_counts],
        True,
    )


def configuration(quick: bool) -> Iterator[Measurement]:
    """Measures the configuration file by the number of balancers that it names."""
    sizes = (60, 120, 240, 480) if quick else (60, 600, 1200, 2400, TARGET_BALANCERS)
    file_bytes, reread_us = [], []
    with tempfile.TemporaryDirectory(prefix="bellrack-scale-") as folder:
        path = Path(folder) / "config.json"
        for count in sizes:
            text = json.dumps(balancer_config(count))
            path.write_text(text, encoding="utf-8")
            file_bytes.append(len(text))
            config = read_config(str(path))
            reread_us.append(processor_time_us(lambda config=config: reread(config), 1 if quick else REPEATS))
    size_unit = "balancers named in it"
    yield measurement("configuration", "bytes of the file", "B", size_unit, sizes, file_bytes, True)
    yield measurement("configuration", "processor time to read it again", "us", size_unit, sizes, reread_us)


def shutdown(quick: bool) -> Iterator[Measurement]:
    """Measures a hot restart: the state that a process sends its successor, and the connections that it hands
    over."""
    sizes = QUICK_SERVER_SIZES if quick else SERVER_SIZES
    snapshot_bytes, snapshot_us = [], []
    for count in sizes:
        with SocketlessNode() as node:
            node.server_list.on_list(lines.parse_list(json.loads(list_line(count))))
            snapshot_bytes.append(len(json.dumps(node.hot_restart.snapshot())))
            snapshot_us.append(
                processor_time_us(
                    lambda node=node: json.dumps(node.hot_restart.snapshot()), 1 if quick else 3
                )
            )
    role = "shutdown"
    yield measurement(
        role, "bytes told with the listening socket", "B", "servers", sizes, snapshot_bytes, True
    )
    yield measurement(role, "processor time to tell it", "us", "servers", sizes, snapshot_us)
    id_counts = (200, 400, 800, 1600) if quick else (2000, 5000, 20000, TARGET_CONNECTIONS)
    snapshot_bytes = []
    for count in id_counts:
        with SocketlessNode() as node:
            node.limits.open_ids = {f"c{n:08d}": None for n in range(count)}
            snapshot_bytes.append(len(json.dumps(node.hot_restart.snapshot())))
    yield measurement(
        role,
        "bytes told with the listening socket, ids of 9 letters",
        "B",
        "standing connections",
        id_counts,
        snapshot_bytes,
        True,
    )
    connection_counts = (20, 40, 60, 80) if quick else (200, 800, 1400, 2000)

    async def measure(count: int) -> tuple[int, int, int]:
        async with stubs.StubEnvironment(deployment_settings(), list_entries) as environment:
            return await stubs.hand_off_costs(environment, count)

    hand_offs = [asyncio.run(measure(count)) for count in connection_counts]
    yield measurement(
        role,
        "processor time of the process that goes",
        "us",
        "connections standing",
        connection_counts,
        [hand_off[0] / 1000 for hand_off in hand_offs],
    )
    taken_over = [hand_off[2] for hand_off in hand_offs]
    if len(set(taken_over)) == len(taken_over):
        yield measurement(
            role,
            "processor time of the process that comes",
            "us",
            "connections that came over",
            taken_over,
            [hand_off[1] / 1000 for hand_off in hand_offs],
        )
    yield Measurement(
        role,
        "connections that came over",
        "1",
        "connections standing",
        list(connection_counts),
        taken_over,
        False,
    )
    yield from hot_restarts(quick)


def hot_restarts(quick: bool) -> Iterator[Measurement]:
    """Counts how often a process that is started beside a serving one takes over its listening socket."""
    tries, sizes = (1, (2, 4, 8, 16)) if quick else (RESTART_TRIES, (2, 100, 600, 1000, 3000))

    async def attempt(count: int) -> bool:
        async with stubs.StubEnvironment(deployment_settings(), list_entries, servers=count) as environment:
            return await stubs.successor_gets_listening_socket(environment)

    yield Measurement(
        "shutdown",
        f"hot restarts that came about, of {tries}",
        "1",
        "servers",
        list(sizes),
        [sum(asyncio.run(attempt(count)) for _ in range(tries)) for count in sizes],
        False,
    )


def start(quick: bool) -> Iterator[Measurement]:
    """Measures a process that has started, serves and has its list of servers."""
    sizes = QUICK_SERVER_SIZES if quick else SERVER_SIZES

    async def measure(count: int) -> tuple[int, int]:
        async with stubs.StubEnvironment(deployment_settings(), list_entries, servers=count) as environment:
            return await stubs.start_costs(environment)

    results = [min(asyncio.run(measure(count)) for _ in range(1 if quick else 3)) for count in sizes]
    yield measurement(
        "start",
        "processor time until it serves and has its list",
        "us",
        "servers",
        sizes,
        [result[0] / 1000 for result in results],
    )
    yield measurement("start", "resident memory", "B", "servers", sizes, [result[1] for result in results])


ROLES: dict[str, Callable[[bool], Iterator[Measurement]]] = {
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


def commit_id() -> str:
    """Returns the short id of the commit that is measured; "unknown" outside a repository."""
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


def as_text(result: Measurement) -> str:
    """Formats a measurement as lines of plain text."""
    head = (
        f"{result.role}: {result.name} [{result.unit}] by {result.of}{', counted' if result.counted else ''}"
    )
    text = f"{head}\n  " + "  ".join(
        f"{size}: {value:.6g}" for size, value in zip(result.sizes, result.values)
    )
    if result.fit:
        text += (
            f"\n  fit {result.fit.formula()}, error {result.fit.error:.2g}, "
            f"largest residual {result.fit.residual:.1%}"
        )
    return text


def as_json(result: Measurement) -> dict[str, Any]:
    """Returns a measurement as an object of the JSON report."""
    fields = asdict(result)
    if result.fit:
        fields["fit"] |= {"form": result.fit.form, "formula": result.fit.formula()}
    return fields


def main(argv: list[str]) -> int:
    """Runs the command with the arguments after `roles`.

    Returns the exit code: 0, or 2 if a role is unknown or could not be measured.
    """
    args = docopt(__doc__, argv=["lab", "scale", "roles", *argv])
    names = args["--role"] or list(ROLES)
    if unknown := [name for name in names if name not in ROLES]:
        print(
            f"bellrack lab scale roles: no role {unknown[0]!r}; the roles are {', '.join(ROLES)}",
            file=sys.stderr,
        )
        return 2
    report = {
        "build": commit_id(),
        "date": datetime.now(UTC).strftime("%Y-%m-%d"),
        "quick": bool(args["--quick"]),
        "figures": [],
        "not measured": [],
    }
    for name in names:
        try:
            for result in ROLES[name](bool(args["--quick"])):
                report["figures"].append(as_json(result))
                if args["--json"] != "-":
                    print(as_text(result), flush=True)
        except (stubs.ScaleError, OSError) as error:
            report["not measured"].append({"role": name, "why": str(error)})
            print(f"{name}: not measured: {error}", file=sys.stderr)
    text = json.dumps(report, indent=1)
    if args["--json"] == "-":
        print(text)
    elif args["--json"]:
        Path(args["--json"]).write_text(text + "\n", encoding="utf-8")
    return 2 if report["not measured"] else 0
