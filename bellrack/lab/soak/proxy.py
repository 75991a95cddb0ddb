"""The fault proxy between balancers and servers: `python -m bellrack.lab.soak.proxy EVENTS NUMBER SERVERS`.

NUMBER is the number of balancers, SERVERS a JSON object with the address of each server. There is a listener
for each pair of balancer and server, so both are known of every attempt. An attempt is recorded when its
first line is complete, with the time of its first byte. The end of an established connection is recorded as
`balancer_end` or `server_end`. The command `idle_reset` resets the open connections to a server; `mode` sets
how attempts at it are treated:

- `pass`: forwarded unchanged
- `hang`: the server's answer is not forwarded
- `reset`: the connection is reset after the server's answer
- `late`: the request is delayed by up to MAX_DELAY_SECONDS
- `half`: half of the answer is forwarded, then the connection is reset
- `spoilt`: an invalid line is sent before the answer
- `pieces`: the answer and all lines after it are forwarded in parts of 3 bytes
- `error`: `ERR` is sent instead of the answer
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
MAX_DELAY_SECONDS = 1.0  # longest delay in mode `late`
INVALID_LINE_GAP_SECONDS = 0.01  # after an invalid line or half an answer
READ_BYTES = 65536  # most bytes of one read


class Proxy:
    """Listeners for all pairs of balancer and server, and the mode of each server."""

    def __init__(self, balancers: int, servers: dict[str, str], events: EventLog):
        self.balancers, self.servers, self.events = balancers, servers, events
        self.modes = dict.fromkeys(servers, "pass")
        # By server: established connections with their request ids.
        self.open_requests: dict[str, dict[asyncio.StreamWriter, str]] = defaultdict(dict)
        self.rng = random.Random(len(servers))

    async def start(self) -> list[dict[str, str]]:
        """Listen; return for each balancer the address at which it reaches each server."""
        addresses = []
        for balancer in range(self.balancers):
            row = {}
            for name in self.servers:
                _, row[name] = await listen(self.handler(balancer, name))
            addresses.append(row)
        return addresses

    def handler(self, balancer: int, name: str) -> Any:
        """Return the connection handler for a balancer and a server."""

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self.attempt(balancer, name, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        return handle_connection

    async def attempt(self, balancer: int, name: str, reader: Any, writer: Any) -> None:
        """Record an attempt and forward it in the mode of its server."""
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
        """Forward the request line to the server, then data in both directions until one side ends."""
        host, port = self.servers[name].split(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except ConnectionError:
            self.reset_connection(name, request, writer)
            return
        server_writer.write(line)
        try:
            if mode in ("hang", "reset", "half", "error"):
                await self.inject_failure(name, mode, request, server_reader, writer, reader)
                return
            if mode == "spoilt":
                writer.write(b"XY 1\r\n")
                await asyncio.sleep(INVALID_LINE_GAP_SECONDS)
            self.open_requests[name][writer] = request
            to_server = asyncio.create_task(self.copy_to_server(name, request, reader, server_writer))
            await self.copy(server_reader, writer, mode == "pieces")
            self.events.write("server_end", s=name, id=request)
            to_server.cancel()
        except ConnectionResetError:
            self.reset_connection(name, request, writer)
        finally:
            self.open_requests[name].pop(writer, None)
            server_writer.transport.abort()

    async def inject_failure(
        self, name: str, mode: str, request: str, server_reader: Any, writer: Any, reader: Any
    ) -> None:
        """Withhold, cut or replace the answer of a request that the server may have executed."""
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
        self.reset_connection(name, request, writer)

    async def copy(self, reader: Any, writer: Any, pieces: bool) -> None:
        """Copy data until the reader's end, then close the sending side of the writer.

        With `pieces`, the data is written in parts of 3 bytes. Raises ConnectionResetError if the reading
        side is reset.
        """
        while data := await reader.read(READ_BYTES):
            for part in (
                [data[offset : offset + 3] for offset in range(0, len(data), 3)] if pieces else [data]
            ):
                writer.write(part)
                await asyncio.sleep(0)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def copy_to_server(self, name: str, request: str, reader: Any, writer: Any) -> None:
        """Copy data until the balancer ends its side, and record that."""
        with contextlib.suppress(ConnectionError):
            await self.copy(reader, writer, False)
        self.events.write("balancer_end", s=name, id=request)

    def reset_connection(self, name: str, request: str, writer: Any) -> None:
        """Reset the balancer's connection and record the end by the server's side."""
        self.events.write("server_end", s=name, id=request)
        writer.transport.abort()

    async def command(self, fields: dict[str, Any]) -> Any:
        """Apply a command (see the module)."""
        if fields["do"] == "mode":
            self.modes[fields["s"]] = fields["mode"]
        elif fields["do"] == "idle_reset":
            for writer, request in list(self.open_requests[fields["s"]].items()):
                self.reset_connection(fields["s"], request, writer)
        return None


async def main(path: str, balancers: int, servers: dict[str, str]) -> None:
    """Serve until standard input ends; `path` is the file for events."""
    proxy = Proxy(balancers, servers, EventLog(path))
    await serve_commands(await proxy.start(), proxy.command)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), json.loads(sys.argv[3])))
