"""Hosts without sockets on which roles are measured: of the decisions, a node, a discovery request."""

from __future__ import annotations

import asyncio
from typing import Any

from bellrack.choice import Balancer
from bellrack.lab.scale.roles.inputs import START_SECONDS, balancer_config, deployment_settings
from bellrack.model import Call, Leg, Server, Settings
from bellrack.net import lines
from bellrack.net.config import parse_config
from bellrack.net.discovery_request import DiscoveryRequest
from bellrack.net.node import Node
from bellrack.peers import aggregation
from bellrack.settings import parse_settings


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
    """A discovery request without a connection: `feed` writes the response into its receive buffer."""

    def open(self, address: tuple[str, int], wait: float) -> None: ...

    def feed(self, data: bytes) -> None:
        """Processes `data` as if it had been received."""
        view = memoryview(data)
        while view:
            space = self.received.writable_space()
            count = min(len(space), len(view))
            space[:count] = view[:count]
            self.received.commit(count)
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
