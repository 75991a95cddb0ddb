"""What the roles are measured on: the sizes, and the settings and lists of a deployment."""

from __future__ import annotations

import json
from typing import Any

from bellrack import model
from bellrack.net import lines

# The size of deployment to plan for. The number of servers is an assumption.
TARGET_BALANCERS = 4800
TARGET_SERVERS = 6000
TARGET_CONNECTIONS = 50_000  # of one balancer
TARGET_SHARDS = 1_200_000
SETUPS_PER_SECOND = 28.0  # new connections of one balancer: 50,000 connections that last half an hour each
GROUPS_PER_SERVER = 10  # groups of calls, in the measurements of decisions and of the aggregator
START_SECONDS = 1000.0  # the initial time of simulated clocks
SERVER_SIZES = (60, 200, 600, 2000, 6000)
QUICK_SERVER_SIZES = (20, 40, 80, 160)


def deployment_settings(balancers: int = 1, number: int = 0, **changes: Any) -> dict[str, Any]:
    """Returns the settings of balancer `number` of a tier, with ten zones. `changes` replaces entries."""
    return {
        "trafficTypes": [
            {
                "name": "chat",
                "effect": "retryable",
                "group": "all",
                "keyTtlUs": 5e6,
                "guardTimeUs": 3e6,
                "setupTargetUs": 3e5,
            }
        ],
        "specifics": {"messageAimUs": [1e5], "tellsDelay": False, "tellsLoad": False},
        "caps": {
            "maxLegs": 3,
            "retryAfter": True,
            "maxRetryAfterUs": 1500000,
            "connectTimeoutUs": 200000,
            "mayTell": True,
        },
        "obligations": {"answerSlackUs": 16000, "coldShare": 0.2, "rampTimeUs": 2e7},
        "accounts": [{"name": "acme"}],
        "areas": [f"zone-{n}" for n in range(10)],
        "az": 0,
        "peersTotal": balancers,
        "slotNo": number,
        "discovery": "ask",
        "tickUs": 4000,
    } | changes


def list_entries(
    count: int, port: int = 9000, state: str = model.READY, zones: int = 10
) -> list[dict[str, Any]]:
    """Returns the entries of a list with `count` servers, as `lines.list_message` writes them."""
    return lines.list_message(
        (
            f"server-{n:06d}",
            ("127.0.0.1", port),
            f"zone-{n % zones}",
            state,
            n % 3,
            1000.0,
            1_700_000_000.0,
            "std",
        )
        for n in range(count)
    )["instances"]


def list_line(count: int, state: str = model.READY, full: bool = True, generation: int = 1) -> bytes:
    """Returns one line of discovery: the full list of `count` servers, or a change of the last of them."""
    entries = list_entries(count, state=state)
    message = {"generation": generation, "reset": full, "instances": entries if full else entries[-1:]}
    return json.dumps(message).encode() + b"\n"


def http_chunk(body: bytes) -> bytes:
    """Returns `body` as one chunk of a chunked HTTP response."""
    return b"%x\r\n" % len(body) + body + b"\r\n"


def balancer_config(balancers: int) -> dict[str, Any]:
    """Returns the configuration of one balancer in a tier of so many balancers."""
    return {
        "name": "b0",
        "listen": "10.0.0.1:7000",
        "discovery": "10.0.0.2:7001",
        "seed": "1",
        "limits": {"sockets": 131072},
        "peer_listen": "10.0.0.1:7002",
        "peers": [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7002" for n in range(balancers)],
        "settings": deployment_settings(balancers),
    }
