"""The role of the state that a balancer holds in memory."""

from __future__ import annotations

import json
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

from bellrack.lab.scale.roles.hosts import SocketlessNode, create_host
from bellrack.lab.scale.roles.inputs import (
    QUICK_SERVER_SIZES,
    SERVER_SIZES,
    TARGET_BALANCERS,
    balancer_config,
    list_line,
)
from bellrack.lab.scale.roles.measurement import Measurement, allocated_bytes, measurement
from bellrack.net import lines
from bellrack.net.config import parse_config
from bellrack.net.peer_socket import PeerSocket


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
