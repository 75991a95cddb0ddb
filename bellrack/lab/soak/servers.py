"""A process of stub servers: `python -m bellrack.lab.soak.servers EVENTS NAME...`.

A server answers a request line with `UP`, or with `BUSY` while it drains or is full, and echoes each line
after it. Commands: `drain`, `stop` (resets all connections and refuses new ones) and `start` of a server by
name.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from bellrack.lab.soak.process import EventLog, listen, serve_commands

CAPACITY = 12  # established connections of a server (PROTOCOL.md: "it holds only so many")


class Server:
    """One stub server."""

    def __init__(self, name: str, events: EventLog):
        self.name, self.events = name, events
        self.draining = self.stopped = False
        self.connections: set[asyncio.StreamWriter] = set()
        self.accepted = self.active = 0

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection from the proxy until one side closes it."""
        if self.stopped:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            words = (await reader.readline()).decode().split()
            if words[:1] == ["OPEN"]:
                await self.serve(words[1], reader, writer)
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, request: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Refuse the request, or accept it and echo lines."""
        if self.draining or self.active >= CAPACITY:
            self.events.write("busy", s=self.name, id=request)
            writer.write(b"BUSY\r\n")
            return
        self.accepted += 1
        self.events.write("ran", s=self.name, id=request)
        writer.write(f"UP {self.name}/{request}/{self.accepted}\r\n".encode())
        self.active += 1
        try:
            while line := await reader.readline():
                writer.write(line)
        finally:
            self.active -= 1

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self.connections):
            writer.transport.abort()


async def main(path: str, names: list[str]) -> None:
    """Serve until standard input ends; `path` is the file for events."""
    events = EventLog(path)
    servers = {name: Server(name, events) for name in names}
    addresses = {}
    for name, server in servers.items():
        _, addresses[name] = await listen(server.handle_connection)

    async def command(fields: dict[str, Any]) -> Any:
        server = servers[fields["s"]]
        server.draining = fields["do"] == "drain"
        server.stopped = fields["do"] == "stop"
        if server.stopped:
            server.reset_all()
        return None

    await serve_commands(addresses, command)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2:]))
