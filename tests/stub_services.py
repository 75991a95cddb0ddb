"""A discovery service and servers for tests with real balancer processes.

`stub_services.py COUNT [PROCESS]` prints one JSON line with the addresses, then reads JSON commands from
standard input, one per line, and answers each with one JSON line. It exits at the end of its standard input.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEP_ALIVE_SECONDS = 2.0  # between empty lines on a watch


class Server:
    """A server that answers `UP NAME/ID` to a first line, and echoes all lines after it.

    `mode` selects other behaviours."""

    def __init__(self, name: str):
        self.name, self.mode = name, "answers"
        self.open: dict[str, int] = {}  # number of connections that are up now, by id
        self.ups: dict[str, int] = {}  # number of UP answers so far, by id
        self.attempts: dict[str, int] = {}  # number of first lines so far, by id
        self.misplaced: list[str] = []  # ids of first lines that named another server
        self.answer_held = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            words = (await reader.readline()).decode().split()
            if words[:1] == ["OPEN"]:
                await self.on_open(words[1], words[3], reader, writer)
            elif words:
                writer.write(b"PONG\r\n")
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def on_open(self, id: str, values: str, reader: Any, writer: Any) -> None:
        """Handle a first line with this id and values."""
        wanted = dict(pair.split("=", 1) for pair in values.split(",")).get("at")
        if wanted not in (None, self.name):
            self.misplaced.append(id)
        first = id not in self.attempts
        self.attempts[id] = self.attempts.get(id, 0) + 1
        if self.open.get(id):
            writer.write(b"ERR\r\n")  # real servers answer an id that is already open in this way
            return
        if self.mode == "resets-first" and first:
            writer.transport.abort()
            return
        if self.mode == "silent" or self.mode == "silent-first" and first:
            await reader.read()
            return
        if self.mode == "late":
            await self.answer_held.wait()
        if self.mode == "drains" and wanted is None:
            writer.write(b"BUSY\r\n")
            return
        self.ups[id] = self.ups.get(id, 0) + 1
        self.open[id] = self.open.get(id, 0) + 1
        try:
            writer.write(f"UP {self.name}/{id}\r\n".encode())
            while line := await reader.readline():
                writer.write(line)
        finally:
            self.open[id] -= 1


class StubServices:
    """The servers, the discovery service that lists them, and the commands of a test."""

    def __init__(self, count: int, process: int):
        self.servers = [Server(f"s-{process}-{number}") for number in range(count)]
        self.listeners: dict[str, asyncio.Server] = {}
        self.states: dict[str, str] = {}
        self.zones = {server.name: "ab"[index % 2] for index, server in enumerate(self.servers)}
        self.others: list[dict[str, Any]] = []  # list entries of servers in other processes
        self.addresses: dict[str, str] = {}
        self.version = 1
        self.answering = True  # whether discovery answers requests
        self.changed = asyncio.Event()

    async def start(self) -> dict[str, Any]:
        """Start all servers and discovery; return discovery's address and the list entries."""
        for server in self.servers:
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0, backlog=1024)
            self.listeners[server.name] = listener
            self.addresses[server.name] = "{}:{}".format(*listener.sockets[0].getsockname())
            self.states[server.name] = "in_service"
        discovery = await asyncio.start_server(self.discover, "127.0.0.1", 0, backlog=1024)
        return {"discovery": "{}:{}".format(*discovery.sockets[0].getsockname()), "entries": self.entries()}

    def entries(self) -> list[dict[str, Any]]:
        """Return the entries of the server list."""
        return [
            {
                "instanceId": name,
                "hostPort": self.addresses[name],
                "zone": self.zones[name],
                "cell": 0,
                "machineType": "m",
                "lifecycle": state,
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for name, state in self.states.items()
            if state != "unlisted"
        ] + self.others

    async def discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a watch: send the whole list at each change, and empty lines in between."""
        try:
            while (await reader.readline()).strip():
                pass
            while not self.answering:
                await self.wait_for_change(None)
            writer.write(HEAD)
            while True:
                news = {"generation": self.version, "reset": True, "instances": self.entries()}
                line = json.dumps(news).encode() + b"\n"
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                while not await self.wait_for_change(KEEP_ALIVE_SECONDS):
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def wait_for_change(self, seconds: float | None) -> bool:
        """Wait so long for a change of the list; return whether there was one."""
        try:
            await asyncio.wait_for(self.changed.wait(), seconds)
        except TimeoutError:
            return False
        return True

    def announce(self) -> None:
        """Make a new version of the list and wake all watches."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def command(self, words: dict[str, Any]) -> Any:
        """Carry out a command; return its answer."""
        match words["do"]:
            case "mode":
                for server in self.named(words):
                    server.mode = words["mode"]
            case "release":  # servers in the mode "late" answer now
                for server in self.named(words):
                    server.answer_held.set()
            case "list":
                self.states |= {server.name: words["state"] for server in self.named(words)}
                self.announce()
            case "others":
                self.others = words["entries"]
                self.announce()
            case "discovery":
                self.answering = words["answering"]
                self.announce()
            case "report":
                return {
                    server.name: {
                        "open": {name: count for name, count in server.open.items() if count},
                        "attempts": sum(server.attempts.values()),
                        "ups": server.ups,
                        "misplaced": server.misplaced,
                    }
                    for server in self.servers
                }
        return None

    def named(self, words: dict[str, Any]) -> list[Server]:
        """Return the servers that a command names, all if it names none."""
        names = words.get("servers")
        return [server for server in self.servers if names is None or server.name in names]


async def main(count: int, process: int) -> None:
    stub_services = StubServices(count, process)
    print(json.dumps(await stub_services.start()), flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        print(json.dumps(await stub_services.command(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0))
