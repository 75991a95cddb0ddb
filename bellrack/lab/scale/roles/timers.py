"""The role of the periodic work of a balancer."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Iterator
from types import SimpleNamespace

from bellrack.lab.scale.roles.hosts import SocketlessNode, StubHost, create_host
from bellrack.lab.scale.roles.inputs import (
    QUICK_SERVER_SIZES,
    SERVER_SIZES,
    SETUPS_PER_SECOND,
    TARGET_BALANCERS,
    TARGET_CONNECTIONS,
    list_line,
)
from bellrack.lab.scale.roles.measurement import REPEATS, Measurement, measurement, processor_time_us
from bellrack.net import lines
from bellrack.net.node import Node
from bellrack.net.servers import ServerConnection
from bellrack.peers import overload


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
