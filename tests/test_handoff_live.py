"""Connections of real processes that are moved, ended or used while a new version takes them over.

Each test plays a plan of the soak that is written out here; the oracle judges it by the operators' pages.
"""

import asyncio
import math

import pytest

from bellrack.lab.soak import __main__ as command
from bellrack.lab.soak.plan import (
    UNLIMITED_STAY_SECONDS,
    Demand,
    Disturbance,
    Handoff,
    Plan,
    Trouble,
)

SERVERS = [f"s-{number}" for number in range(12)]
CLIENTS = 50
RUN_SECONDS = 5.0
CONNECTED_BY_SECONDS = 0.8
UPGRADE_AT_SECONDS = 1.0
LINE_INTERVAL_SECONDS = 0.4
ATTACH_DELAY_SECONDS = 0.4  # two in a row stay well below the second for which a line may be held back


def standing_client(number):
    """A client that uses its connection until the balancer ends it."""
    at = CONNECTED_BY_SECONDS * number / CLIENTS
    return Demand(at, 0, "chat", number + 1, 2.5, "plain", UNLIMITED_STAY_SECONDS, 0.0, LINE_INTERVAL_SECONDS)


def upgrade_plan(*disturbances):
    """One balancer that is upgraded. Each socket is attached up to ATTACH_DELAY_SECONDS late.

    So what comes once a second finds connections without their sockets."""
    plan = Plan(1, RUN_SECONDS, 1, SERVERS, pushed=True)
    handoff = Handoff(0.2, disturbances)
    plan.troubles = [Trouble(UPGRADE_AT_SECONDS, "disturbed_hot_restart", 0, math.inf, handoff)]
    plan.faults = [
        [
            {
                "kind": "attach_late",
                "at": UPGRADE_AT_SECONDS,
                "until": 60.0,
                "share": 1.0,
                "by": ATTACH_DELAY_SECONDS,
            }
        ]
    ]
    plan.demands = [standing_client(number) for number in range(CLIENTS)]
    return plan


def play(plan, folder):
    """Returns what the oracle found, and how many connections were established."""
    found, counts = asyncio.run(command.soak(plan, folder))
    return found, counts["answer UP"]


@pytest.mark.parametrize(
    "kind, offset", [("late", 0.02), ("detach_at_successor", -0.02), ("hang", -0.2), ("bye", -0.1)]
)
def test_connection_ordered_to_end_while_it_is_handed_over_leaves_no_client_waiting(tmp_path, kind, offset):
    """Guards against a client without MOVE, end or answer (report 8b54a9)."""
    disturbances = [Disturbance(kind, offset, server, 2.0) for server in SERVERS]
    found, established = play(upgrade_plan(*disturbances), tmp_path)
    assert found == [] and established > CLIENTS / 2
