"""The roles of discovery: the client in each balancer, and the service."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from bellrack import model
from bellrack.lab.scale import stubs
from bellrack.lab.scale.roles.hosts import SocketlessNode, open_watch
from bellrack.lab.scale.roles.inputs import (
    QUICK_SERVER_SIZES,
    SERVER_SIZES,
    TARGET_BALANCERS,
    TARGET_SERVERS,
    http_chunk,
    list_line,
)
from bellrack.lab.scale.roles.measurement import Measurement, allocated_bytes, measurement, processor_time_us
from bellrack.net.node import Node


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
