"""A hollow balancer: the program's own node, without a door for clients and without servers' connections.

Owns the stand-ins for what a node has open: connections that are records alone, and a way for its datagrams
that the run gives. All else is the program's: the client of discovery with its parser, the books, the
decisions on what is listed, what balancers tell one another, timers. It never opens a socket itself; the loop
it is given decides whether time and bytes are virtual or real.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import process_time_ns
from typing import Any

from bellrack import model
from bellrack.lab.scale.figures import Measurements
from bellrack.lab.scale.plan import Plan, balancer_settings, zone_name
from bellrack.model import Leg, Result, Server
from bellrack.net import discovery, lines
from bellrack.net.config import Config, parse_config
from bellrack.net.node import Node
from bellrack.net.server_list import ServerList

HELD = 3600.0  # seconds for which a stand-in connection's client would wait: longer than any run


class Held:
    """A connection that stands, as the decisions know it. `host` of its call, as a client's connection is."""

    __slots__ = ("node", "leg")

    def __init__(self, node: HollowBalancer):
        self.node = node

    def move(self, reason: str, kind: str = model.CANCELLED) -> None:
        """The decisions want it elsewhere."""
        self.node.end_connection(self, kind)
        self.node.on_connection_moved()


class DatagramSender:
    """Where a node's datagrams go: the run's network. `post(node, peer, data)` carries them."""

    def __init__(
        self, node: HollowBalancer, send_datagram: Callable[[HollowBalancer, int | None, bytes], None]
    ):
        self.node, self.send_datagram = node, send_datagram

    def send(self, peer: int | None, data: bytes) -> None:
        self.send_datagram(self.node, peer, data)


class CountedList(ServerList):
    """Counts the lines of discovery that came."""

    def on_list(self, news: lines.Listing, fetched: bool = False, at_current_address: bool = True) -> None:
        self.node.measurements.list_lines += 1
        super().on_list(news, fetched, at_current_address)


class HollowBalancer(Node):
    """One of them. `on_connection_moved()` is called when the decisions move a connection, to open another."""

    def __init__(
        self,
        config: Config,
        loop: Any,
        measurements: Measurements,
        send_datagram: Callable[[HollowBalancer, int | None, bytes], None],
    ):
        self.alive, self.measurements = True, measurements
        self.held: list[Held] = []
        self.own_servers: list[int] = []  # servers, by mark, at which it holds connections
        self.on_connection_moved: Callable[[], None] = lambda: None
        super().__init__(config, loop)
        self.server_list = CountedList(self)
        self.peers = DatagramSender(self, send_datagram)

    @property
    def number(self) -> int:
        return self.settings.number

    def start(self) -> None:
        """What a node does at its start, but for doors and sockets."""
        self.resumed.window.on_request()  # nothing is resumed here: the run has begun
        self.queue(self.server_watch.check)
        self.queue(self.discovery.check_watch)

    def stop(self) -> None:
        """It is killed: whatever timers still bring, nothing is done any more."""
        self.alive = False
        for question in (self.discovery.current, self.discovery.hedged, self.discovery.previous):
            if question and question.transport:
                question.transport.abort()
            elif question:
                question.cancel_connect()

    def queue(self, what: Callable, *values: Any, first: bool = False) -> None:
        if self.alive:
            super().queue(what, *values, first=first)

    def turn(self) -> None:
        if self.alive:
            begun = process_time_ns()
            super().turn()
            self.measurements.count_turn(process_time_ns() - begun)

    def run_guarded(self, what: Callable, values: tuple) -> None:
        self.measurements.steps += 1
        super().run_guarded(what, values)

    def receive_datagram(self, peer: int, data: bytes) -> None:
        """A datagram has come in."""
        if self.alive:
            self.measurements.count_received(data)
            self.queue(self.balancer.on_datagram, peer, data)

    # Connections, each change within a turn of the node.

    def prepare_servers(self, marks: list[int]) -> None:
        """At these servers, before any stands."""

    def open_connection(self, server: Server, group: int, took: float = 0.0) -> None:
        """One stands now; with `took` it was set up just now and took so many seconds."""
        call = self.new_call(0, HELD, group=group)
        leg = Leg(call, server, self.now - took)
        call.legs.append(leg)
        call.host_record = held = Held(self)
        held.leg = leg
        self.held.append(held)
        self.resume_leg(leg)
        if took:
            self.leg_established(leg)

    def end_connection(self, held: Held, kind: str = model.COMPLETED) -> None:
        if not held.leg.result:
            self.held.remove(held)
            self.leg_ended(held.leg, Result(kind, self.now - held.leg.sent), True)

    def replace_connection(self, which: float, where: float, group: int, took: float) -> None:
        """One ends and another is set up; which, and where, by lots of 0 to 1."""
        if self.held:
            self.end_connection(self.held[int(which * len(self.held))])
        ready = self.ready_of(self.own_servers)
        if ready:
            self.open_connection(ready[int(where * len(ready))], group, took)

    def ready_of(self, marks: list[int]) -> list[Server]:
        """Those of these that are listed as ready."""
        return [server for server in map(self.servers.get, marks) if server and server.state == model.READY]


class LeanBalancer(HollowBalancer):
    """One that shares the records of servers with all others of its kind, but for those where it holds
    connections: thousands of balancers by thousands of servers find no room in memory otherwise. The list is
    parsed once for all; its bytes are counted for each. The look at connections that cross zones, which sends
    nothing, is left out."""

    def __init__(
        self,
        config: Config,
        loop: Any,
        measurements: Measurements,
        send_datagram: Any,
        shared: dict[int, Server],
    ):
        self.shared = shared
        super().__init__(config, loop, measurements, send_datagram)

    def start(self) -> None: ...

    def on_timer(self, what: Any) -> None:
        if what != "rebalance":
            super().on_timer(what)

    def takes(self, count: int) -> None:
        """The list or its change has come, `count` bytes of it, and `shared` holds it already."""
        self.measurements.list_in += count
        self.measurements.list_lines += 1
        self.heard = True
        for mark, server in self.servers.items():
            server.state = self.shared[mark].state
        self.know()

    def know(self) -> None:
        """Own records in the place of the shared ones."""
        self.balancer.fleet = [self.servers.get(mark, server) for mark, server in self.shared.items()]
        self.balancer.on_servers_listed([])

    def prepare_servers(self, marks: list[int]) -> None:
        """Own records of these servers, for what the decisions keep of own connections."""
        own = [
            Server(
                mark,
                one.zone,
                one.cell,
                one.state,
                one.capacity,
                one.weight,
                one.machine_type,
                one.started_at,
            )
            for mark in marks
            if (one := self.shared[mark])
        ]
        self.servers.update((server.id_hash, server) for server in own)
        self.balancer.on_servers_listed(own)
        self.know()


def configuration_factory(
    plan: Plan, place: str, peers: list[Any] | None = None, peers_all: Any = None
) -> Callable[[int, int, int], Config]:
    """Makes the configuration of a balancer from its number, zone and seed. Parsed once a zone, then copied:
    a list of thousands of peers in each of thousands of configurations would not fit."""
    parsed: dict[int, Config] = {}

    def made(number: int, zone: int, seed: int) -> Config:
        if zone not in parsed:
            parsed[zone] = parse_config(
                {
                    "name": "hollow",
                    "listen": "127.0.0.1:0",
                    "discovery": place,
                    "limits": {"sockets": 1 << 20},
                    "settings": balancer_settings(plan, zone, 0),
                }
            )
            parsed[zone].peers, parsed[zone].peers_all = peers or [], peers_all
        config = copy.copy(parsed[zone])
        config.settings = copy.copy(config.settings)
        config.settings.number = number
        config.seed, config.names = seed, copy.copy(config.names)
        config.names.zones = {zone_name(plan, index): index for index in range(plan.zones)}
        return config

    return made


@contextmanager
def use_discovery_request(form: type) -> Iterator[None]:
    """While this lasts the client of discovery makes its calls by that form of them, which counts bytes."""
    before, discovery.DiscoveryRequest = discovery.DiscoveryRequest, form
    try:
        yield
    finally:
        discovery.DiscoveryRequest = before


class DiscoveryRequest(discovery.DiscoveryRequest):
    """A call of discovery whose bytes are counted."""

    def buffer_updated(self, count: int) -> None:
        self.node.measurements.list_in += count
        super().buffer_updated(count)

    def write(self, data: bytes) -> None:
        self.node.measurements.list_out += len(data)
        super().write(data)
