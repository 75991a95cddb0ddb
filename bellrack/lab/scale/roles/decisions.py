"""The role of the decisions: the choice of a server for a call."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Iterator

from bellrack import model
from bellrack.lab.scale import stubs
from bellrack.lab.scale.roles.hosts import create_host
from bellrack.lab.scale.roles.inputs import GROUPS_PER_SERVER, SETUPS_PER_SECOND
from bellrack.lab.scale.roles.measurement import Measurement, measurement
from bellrack.model import Result

# How long a connection stays open in the measurement of decisions. One that ends earlier counts as a failure
# of its server.
CONNECTION_LIFE_SECONDS = 2.5


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
