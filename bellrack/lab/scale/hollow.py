"""A hollow balancer: the product's own node, without listening sockets and without connections to servers.

Provides stubs for what a node has open: connections that exist only as records, and a sender of datagrams
that the run passes in. All else is the product's code: the discovery client with its parser, the accounting,
the decisions, the exchange between balancers, the timers. Nothing here opens a socket; the event loop that a
balancer is given decides whether time and bytes are virtual or real.
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

CALL_TTL_SECONDS = 3600.0  # for which the client of a stub connection would wait: longer than any run


class StubConnection:
    """An established connection, as the decisions know it: the `host_record` of its call, in the place of a
    `ClientConnection`."""

    __slots__ = ("node", "leg")

    def __init__(self, node: HollowBalancer):
        self.node = node

    def move(self, reason: str, kind: str = model.CANCELLED) -> None:
        """Ends the connection, which the decisions move to another server, and reports the move."""
        self.node.end_connection(self, kind)
        self.node.on_connection_moved()


class DatagramSender:
    """Sends a node's datagrams through the run's network, in the place of the node's `PeerSocket`.

    `send_datagram(node, peer, data)` is provided by the run.
    """

    def __init__(
        self, node: HollowBalancer, send_datagram: Callable[[HollowBalancer, int | None, bytes], None]
    ):
        self.node, self.send_datagram = node, send_datagram

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends `data` to one peer, or to all others if `peer` is None."""
        self.send_datagram(self.node, peer, data)


class CountedServerList(ServerList):
    """A list of servers that counts the lines received from discovery."""

    def on_list(self, listing: lines.Listing, *args: Any, **fields: Any) -> None:
        self.node.measurements.list_lines += 1
        super().on_list(listing, *args, **fields)


class HollowBalancer(Node):
    """A balancer that holds stub connections.

    `on_connection_moved()` is called when the decisions have moved a connection; the run then opens another.
    """

    def __init__(
        self,
        config: Config,
        loop: Any,
        measurements: Measurements,
        send_datagram: Callable[[HollowBalancer, int | None, bytes], None],
    ):
        self.alive, self.measurements = True, measurements
        self.stub_connections: list[StubConnection] = []
        self.own_servers: list[int] = []  # id hashes of the servers at which it holds connections
        self.on_connection_moved: Callable[[], None] = lambda: None
        super().__init__(config, loop)
        self.server_list = CountedServerList(self)
        self.peers = DatagramSender(self, send_datagram)

    @property
    def number(self) -> int:
        """Its number in the tier."""
        return self.settings.number

    def start(self) -> None:
        """Does what a node does at its start, except for opening sockets."""
        self.resumed.window.on_request()  # no connection is resumed, so the window for resuming ends at once
        self.queue(self.server_watch.check)
        self.queue(self.discovery.check_watch)

    def stop(self) -> None:
        """Kills the balancer: what timers still call has no effect, and discovery requests are aborted."""
        self.alive = False
        for request in (self.discovery.current, self.discovery.hedged, self.discovery.previous):
            if request and request.transport:
                request.transport.abort()
            elif request:
                request.cancel_connect()

    def queue(self, callback: Callable, *args: Any, first: bool = False) -> None:
        if self.alive:
            super().queue(callback, *args, first=first)

    def turn(self) -> None:
        if self.alive:
            start_ns = process_time_ns()
            super().turn()
            self.measurements.count_turn(process_time_ns() - start_ns)

    def run_guarded(self, callback: Callable, args: tuple) -> None:
        self.measurements.steps += 1
        super().run_guarded(callback, args)

    def receive_datagram(self, peer: int, data: bytes) -> None:
        """Handles a datagram from the balancer `peer`."""
        if self.alive:
            self.measurements.count_received(data)
            self.queue(self.balancer.on_datagram, peer, data)

    # Stub connections. These methods run within a turn of the node.

    def prepare_servers(self, id_hashes: list[int]) -> None:
        """Prepares for connections at these servers; called before the first one opens."""

    def open_connection(self, server: Server, group: int, setup_seconds: float = 0.0) -> None:
        """Adds an established connection of a group; with `setup_seconds`, one whose set-up took so long and
        has just ended."""
        call = self.new_call(0, CALL_TTL_SECONDS, group=group)
        leg = Leg(call, server, self.now - setup_seconds)
        call.legs.append(leg)
        call.host_record = connection = StubConnection(self)
        connection.leg = leg
        self.stub_connections.append(connection)
        self.resume_leg(leg)
        if setup_seconds:
            self.leg_established(leg)

    def end_connection(self, connection: StubConnection, kind: str = model.COMPLETED) -> None:
        """Ends a connection with a result of this kind, unless it has ended already."""
        if not connection.leg.result:
            self.stub_connections.remove(connection)
            self.leg_ended(connection.leg, Result(kind, self.now - connection.leg.sent), True)

    def replace_connection(
        self, end_draw: float, server_draw: float, group: int, setup_seconds: float
    ) -> None:
        """Ends one connection and opens another one.

        `end_draw` and `server_draw`, random numbers from 0 to 1, select the connection and the new server.
        """
        if self.stub_connections:
            self.end_connection(self.stub_connections[int(end_draw * len(self.stub_connections))])
        ready = self.ready_servers(self.own_servers)
        if ready:
            self.open_connection(ready[int(server_draw * len(ready))], group, setup_seconds)

    def ready_servers(self, id_hashes: list[int]) -> list[Server]:
        """Those of these servers that are listed as ready."""
        return [
            server for server in map(self.servers.get, id_hashes) if server and server.state == model.READY
        ]


class LeanBalancer(HollowBalancer):
    """A hollow balancer that shares the records of servers with all others of its kind, except for servers at
    which it holds connections: thousands of balancers, each with records of thousands of servers, do not fit
    into memory. The list is parsed once for all; its bytes are counted for each. The regular check of
    connections that cross zones, which sends nothing, is left out."""

    def __init__(
        self,
        config: Config,
        loop: Any,
        measurements: Measurements,
        send_datagram: Any,
        shared_servers: dict[int, Server],
    ):
        self.shared_servers = shared_servers
        super().__init__(config, loop, measurements, send_datagram)

    def start(self) -> None: ...  # the run delivers the list: no discovery client is started

    def on_timer(self, token: Any) -> None:
        if token != "rebalance":
            super().on_timer(token)

    def receive_list(self, byte_count: int) -> None:
        """Counts `byte_count` received bytes of a list or a change of it, and applies what `shared_servers`
        already holds."""
        self.measurements.list_in += byte_count
        self.measurements.list_lines += 1
        self.heard = True
        for id_hash, server in self.servers.items():
            server.state = self.shared_servers[id_hash].state
        self.update_fleet()

    def update_fleet(self) -> None:
        """Passes all servers to the decisions: own records where there are any, else the shared ones."""
        self.balancer.fleet = [
            self.servers.get(id_hash, server) for id_hash, server in self.shared_servers.items()
        ]
        self.balancer.on_servers_listed([])

    def prepare_servers(self, id_hashes: list[int]) -> None:
        """Creates own records of these servers, in which the decisions keep the state of own connections."""
        own = [
            Server(
                id_hash,
                shared.zone,
                shared.cell,
                shared.state,
                shared.capacity,
                shared.weight,
                shared.machine_type,
                shared.started_at,
            )
            for id_hash in id_hashes
            if (shared := self.shared_servers[id_hash])
        ]
        self.servers.update((server.id_hash, server) for server in own)
        self.balancer.on_servers_listed(own)
        self.update_fleet()


def configuration_factory(
    plan: Plan, discovery_address: str, peers: list[Any] | None = None, peers_all: Any = None
) -> Callable[[int, int, int], Config]:
    """Returns a function that creates a balancer's configuration from its number, zone and seed.

    Configurations are parsed once per zone and then copied: a list of thousands of peers in each of thousands
    of configurations would not fit into memory. `peers` and `peers_all` are the addresses of single balancers
    and the address that reaches all.
    """
    parsed: dict[int, Config] = {}

    def make_configuration(number: int, zone: int, seed: int) -> Config:
        if zone not in parsed:
            parsed[zone] = parse_config(
                {
                    "name": "hollow",
                    "listen": "127.0.0.1:0",
                    "discovery": discovery_address,
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

    return make_configuration


@contextmanager
def use_discovery_request(request_class: type) -> Iterator[None]:
    """Within this context the discovery client creates its requests from a class that counts bytes."""
    original, discovery.DiscoveryRequest = discovery.DiscoveryRequest, request_class
    try:
        yield
    finally:
        discovery.DiscoveryRequest = original


class DiscoveryRequest(discovery.DiscoveryRequest):
    """A discovery request that counts its bytes."""

    def buffer_updated(self, count: int) -> None:
        self.node.measurements.list_in += count
        super().buffer_updated(count)

    def write(self, data: bytes) -> None:
        self.node.measurements.list_out += len(data)
        super().write(data)
