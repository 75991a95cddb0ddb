"""A process of stub servers: `python -m bellrack.lab.soak.servers EVENTS NAME...`.

A server answers a request line with `UP`, or with `BUSY` while it drains or is full, and echoes each line
after it. Each line is recorded when it is received and when its echo is written. Commands, each for a server
by name:

- `drain`, `stop` (resets all connections and refuses new ones) and `start`
- `hang`: requests and lines are read and not answered, until `resume`
- `late`: reports a message delay of `ms` milliseconds once a second, until it is 0
- `bye`: announces the end of all connections and leaves them open
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from typing import Any

from bellrack.lab.soak.process import EventLog, listen, serve_commands

CAPACITY = 12  # established connections of a server (PROTOCOL.md: "it holds only so many")
DELAY_REPORT_SECONDS = 1.0  # between two reports of message delay


class Server:
    """One stub server."""

    def __init__(self, name: str, events: EventLog):
        self.name, self.events = name, events
        self.draining = self.stopped = False
        self.connections: set[asyncio.StreamWriter] = set()
        self.established: dict[asyncio.StreamWriter, str] = {}  # with the id of the request
        self.accepted = self.active = 0
        self.running = asyncio.Event()  # cleared while it hangs
        self.running.set()
        self.delay_reports: asyncio.Task | None = None

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
        await self.running.wait()
        if self.draining or self.active >= CAPACITY:
            self.events.write("busy", s=self.name, id=request)
            writer.write(b"BUSY\r\n")
            return
        self.accepted += 1
        self.events.write("ran", s=self.name, id=request)
        writer.write(f"UP {self.name}/{request}/{self.accepted}\r\n".encode())
        self.active += 1
        self.established[writer] = request
        unanswered: asyncio.Queue[bytes] = asyncio.Queue()
        answering = asyncio.create_task(self.echo(request, unanswered, writer))
        try:
            while line := await reader.readline():
                self.events.write("line", s=self.name, id=request, text=line.decode().strip())
                unanswered.put_nowait(line)
        finally:
            answering.cancel()
            del self.established[writer]
            self.active -= 1

    async def echo(
        self, request: str, unanswered: asyncio.Queue[bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Echo the lines of one connection, none while the server hangs."""
        while line := await unanswered.get():
            await self.running.wait()
            self.events.write("echo", s=self.name, id=request, text=line.decode().strip())
            writer.write(line)

    async def report_delay(self, milliseconds: int) -> None:
        """Report a message delay on one connection, again and again."""
        for connection_number in itertools.count():
            if self.established:
                writers = list(self.established)
                writers[connection_number % len(writers)].write(b"LOAD %d\r\n" % milliseconds)
            await asyncio.sleep(DELAY_REPORT_SECONDS)

    def announce_end(self) -> None:
        """Write BYE on all connections, and leave them open."""
        for writer, request in self.established.items():
            self.events.write("bye", s=self.name, id=request)
            writer.write(b"BYE\r\n")

    def set_delay(self, milliseconds: int) -> None:
        """Report this message delay from now on; none if it is 0."""
        if self.delay_reports:
            self.delay_reports.cancel()
        self.delay_reports = asyncio.create_task(self.report_delay(milliseconds)) if milliseconds else None

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
        match fields["do"]:
            case "hang":
                server.running.clear()
            case "resume":
                server.running.set()
            case "late":
                server.set_delay(fields["ms"])
            case "bye":
                server.announce_end()
            case state:
                server.draining = state == "drain"
                server.stopped = state == "stop"
                if server.stopped:
                    server.reset_all()
        return None

    await serve_commands(addresses, command)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2:]))
