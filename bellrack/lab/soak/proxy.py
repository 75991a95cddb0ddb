"""The fault proxy between balancers and servers: `python -m bellrack.lab.soak.proxy EVENTS NUMBER SERVERS`.

Each balancer has a listener of its own for each server, so every attempt is known by both. SERVERS is a JSON
object of their addresses. An attempt is recorded when its first line is whole, with the time of its first
byte. The command `mode` sets how attempts at a server are treated, `idle_reset` resets its open connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
from collections import defaultdict
from typing import Any

from bellrack.lab.soak.process import EventLog, listen, serve_commands

MODES = ("pass", "hang", "reset", "late", "half", "spoilt", "pieces", "error")
MAX_DELAY_SECONDS = 1.0  # seconds for which `late` delays the first line, at most
INVALID_LINE_GAP_SECONDS = 0.01  # seconds between a spoilt answer and the one after it
READ_BYTES = 65536


class Proxy:
    def __init__(self, balancers: int, servers: dict[str, str], events: EventLog):
        self.balancers, self.servers, self.events = balancers, servers, events
        self.modes = dict.fromkeys(servers, "pass")
        self.open_requests: dict[str, dict[asyncio.StreamWriter, str]] = defaultdict(dict)  # ids, by server
        self.rng = random.Random(len(servers))

    async def start(self) -> list[dict[str, str]]:
        """The address of each server as each balancer has it."""
        addresses = []
        for balancer in range(self.balancers):
            row = {}
            for name in self.servers:
                _, row[name] = await listen(self.handler(balancer, name))
            addresses.append(row)
        return addresses

    def handler(self, balancer: int, name: str) -> Any:
        async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self.attempt(balancer, name, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        return connected

    async def attempt(self, balancer: int, name: str, reader: Any, writer: Any) -> None:
        first = await reader.readexactly(1)
        first_byte_at = time.monotonic()
        line = first + await reader.readline()
        words = line.decode().split()
        if words[:1] != ["OPEN"] or not line.endswith(b"\r\n"):
            return
        mode, request = self.modes[name], words[1]
        self.events.write("attempt", b=balancer, s=name, id=request, first=first_byte_at, mode=mode)
        if mode == "late":
            await asyncio.sleep(MAX_DELAY_SECONDS * self.rng.random())
        await self.forward(name, mode, request, line, reader, writer)

    async def forward(
        self, name: str, mode: str, request: str, line: bytes, reader: Any, writer: Any
    ) -> None:
        host, port = self.servers[name].split(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except ConnectionError:
            self.reset_connection(request, writer)
            return
        server_writer.write(line)
        try:
            if mode in ("hang", "reset", "half", "error"):
                await self.inject_failure(mode, request, server_reader, writer, reader)
                return
            if mode == "spoilt":
                writer.write(b"XY 1\r\n")
                await asyncio.sleep(INVALID_LINE_GAP_SECONDS)
            self.open_requests[name][writer] = request
            to_server = asyncio.create_task(self.copy(reader, server_writer, False))
            await self.copy(server_reader, writer, mode == "pieces")
            self.events.write("server_end", id=request)
            to_server.cancel()
        except ConnectionResetError:
            self.reset_connection(request, writer)
        finally:
            self.open_requests[name].pop(writer, None)
            server_writer.transport.abort()

    async def inject_failure(
        self, mode: str, request: str, server_reader: Any, writer: Any, reader: Any
    ) -> None:
        """The request has run, or may have; its answer does not come whole."""
        if mode == "hang":
            await reader.read()
            return
        answer = await server_reader.readline()
        if mode == "error":
            writer.write(b"ERR\r\n")
            return
        if mode == "half":
            writer.write(answer[: len(answer) // 2])
            await asyncio.sleep(INVALID_LINE_GAP_SECONDS)
        self.reset_connection(request, writer)

    async def copy(self, reader: Any, writer: Any, pieces: bool) -> None:
        """Raises ConnectionResetError if the reading side is reset."""
        while data := await reader.read(READ_BYTES):
            for part in [data[at : at + 3] for at in range(0, len(data), 3)] if pieces else [data]:
                writer.write(part)
                await asyncio.sleep(0)
        with contextlib.suppress(OSError):
            writer.write_eof()

    def reset_connection(self, request: str, writer: Any) -> None:
        self.events.write("server_end", id=request)
        writer.transport.abort()

    async def command(self, words: dict[str, Any]) -> Any:
        if words["do"] == "mode":
            self.modes[words["s"]] = words["mode"]
        elif words["do"] == "idle_reset":
            for writer, request in list(self.open_requests[words["s"]].items()):
                self.reset_connection(request, writer)
        return None


async def main(path: str, balancers: int, servers: dict[str, str]) -> None:
    proxy = Proxy(balancers, servers, EventLog(path))
    await serve_commands(await proxy.start(), proxy.command)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), json.loads(sys.argv[3])))
