"""The role of a process that hands over to its successor in a hot restart."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from dataclasses import dataclass

from bellrack.lab.scale import stubs
from bellrack.lab.scale.roles.hosts import SocketlessNode
from bellrack.lab.scale.roles.inputs import (
    QUICK_SERVER_SIZES,
    SERVER_SIZES,
    TARGET_CONNECTIONS,
    deployment_settings,
    list_entries,
    list_line,
)
from bellrack.lab.scale.roles.measurement import Measurement, measurement, processor_time_us
from bellrack.net import lines

RESTART_TRIES = 8


@dataclass(frozen=True)
class OpenRequest:
    """A client whose request is open, as far as the state for a successor goes."""

    request_id: str


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
            names = (f"c{n:08d}" for n in range(count))
            node.limits.open_ids = {lines.id_hash(name): OpenRequest(name) for name in names}
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
