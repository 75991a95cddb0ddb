"""Shared by the soak's helper processes: commands on standard input, events in a file, listeners.

A command is a JSON object on one line; the answer is one JSON line. An event is a JSON object on one line
with `ev`, its name, and `t`, the time in seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any


class EventLog:
    """Appends events to a file. Each line is flushed, so that no event is lost when the process is killed."""

    def __init__(self, path: str):
        self.file = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115 (open until the process ends)

    def write(self, name: str, **values: Any) -> None:
        """Write an event with these values and the present time."""
        self.file.write(json.dumps({"ev": name, "t": time.monotonic()} | values) + "\n")


async def serve_commands(addresses: Any, command: Callable[[dict[str, Any]], Awaitable[Any]]) -> None:
    """Print the addresses at which the process listens, then answer commands until standard input ends.

    `command` is called with each command's object and returns the answer.
    """
    print(json.dumps(addresses), flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        print(json.dumps(await command(json.loads(line))), flush=True)


async def listen(handle_connection: Callable[..., Awaitable[None]]) -> tuple[asyncio.Server, str]:
    """Return a listener on a free port of the loopback interface, and its address."""
    server = await asyncio.start_server(handle_connection, "127.0.0.1", 0, backlog=1024)
    return server, "{}:{}".format(*server.sockets[0].getsockname())
