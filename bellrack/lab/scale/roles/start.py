"""The role of a process that starts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from bellrack.lab.scale import stubs
from bellrack.lab.scale.roles.inputs import (
    QUICK_SERVER_SIZES,
    SERVER_SIZES,
    deployment_settings,
    list_entries,
)
from bellrack.lab.scale.roles.measurement import Measurement, measurement


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
