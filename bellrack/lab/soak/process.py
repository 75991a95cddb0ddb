"""What the soak's helper processes share: commands on standard input, events in a file.

A command is a JSON object on one line and is answered by one JSON line. An event is a JSON object on one line
with `ev`, its name, and `t`, seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any


class EventLog:
    """Appends events to a file, flushed line by line: a process that is killed has written what it saw."""

    def __init__(self, path: str):
        self.file = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115 (open as long as the process)

    def write(self, name: str, **values: Any) -> None:
        self.file.write(json.dumps({"ev": name, "t": time.monotonic()} | values) + "\n")


async def serve_commands(addresses: Any, command: Callable[[dict[str, Any]], Awaitable[Any]]) -> None:
    """Print `addresses`, then answer commands until standard input ends."""
    print(json.dumps(addresses), flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        print(json.dumps(await command(json.loads(line))), flush=True)


async def listen(connected: Callable[..., Awaitable[None]]) -> tuple[asyncio.Server, str]:
    """A listener on a free port of the loopback interface, and its address."""
    server = await asyncio.start_server(connected, "127.0.0.1", 0, backlog=1024)
    return server, "{}:{}".format(*server.sockets[0].getsockname())
