"""The role of a process that relays lines."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from bellrack.lab.scale import stubs
from bellrack.lab.scale.roles.inputs import deployment_settings, list_entries
from bellrack.lab.scale.roles.measurement import Measurement, measurement


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
