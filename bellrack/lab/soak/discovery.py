"""A discovery process: `python -m bellrack.lab.soak.discovery EVENTS ADDRESSES`.

ADDRESSES is a JSON list with an object for each balancer: the address of each server for that balancer. Each
balancer has two discovery addresses, so that a new configuration can switch it to the other. Every list that
is written on a watch is recorded as an event `told` of its balancer. Commands: `change` of a server's entry,
and `mode`: `up`, `down` (resets connections and refuses new ones), `hang` (watches stay silent and requests
wait) and `slow` (requests wait for SLOW_MODE_DELAY_SECONDS).
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from bellrack.lab.soak.process import EventLog, listen, serve_commands

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEP_ALIVE_SECONDS = 2.0  # between empty lines on a watch (PROTOCOL.md, "Discovery")
SLOW_MODE_DELAY_SECONDS = 1.5  # delay of a request in mode `slow`
ADDRESSES_PER_BALANCER = 2


class Discovery:
    """The server list with its generations, and the watches of all balancers."""

    def __init__(self, addresses: list[dict[str, str]], events: EventLog):
        self.addresses, self.events = addresses, events
        self.entries = {
            name: {"state": "in_service", "since": 0.0, "zone": "ab"[index % 2], "generation": 1}
            for index, name in enumerate(addresses[0])
        }
        self.generation, self.mode = 1, "up"
        self.changed = asyncio.Event()
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> list[list[str]]:
        """Listen; return the addresses of each balancer."""
        return [
            [(await listen(self.handler(number)))[1] for _ in range(ADDRESSES_PER_BALANCER)]
            for number in range(len(self.addresses))
        ]

    def handler(self, balancer: int) -> Any:
        """Return the connection handler for a balancer."""

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections.add(writer)
            try:
                if self.mode != "down":
                    await self.serve_watch(balancer, reader, writer)
            except (ConnectionError, ValueError):
                pass
            finally:
                self.connections.discard(writer)
                writer.transport.abort()

        return handle_connection

    async def serve_watch(
        self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request: send the list after the generation that the balancer has, then its changes."""
        words = (await reader.readline()).decode().split()
        if len(words) < 2:
            raise ConnectionResetError  # the balancer closed the connection without a request
        target = words[1]
        while (await reader.readline()).strip():
            pass
        if self.mode == "slow":
            await asyncio.sleep(SLOW_MODE_DELAY_SECONDS)
        await self.wait_while_hanging()
        known_generation = int(target.partition("after=")[2] or 0)
        writer.write(RESPONSE_HEAD)
        names = self.changed_since(known_generation if known_generation <= self.generation else 0)
        if names:
            self.send_instances(
                balancer,
                reader,
                writer,
                names,
                reset=not known_generation or known_generation > self.generation,
            )
        else:
            writer.write(b"1\r\n\n\r\n")
        sent_generation = self.generation
        while True:
            changed = await self.wait_for_change()
            await self.wait_while_hanging()
            if changed and self.generation > sent_generation:
                self.send_instances(
                    balancer, reader, writer, self.changed_since(sent_generation), reset=False
                )
                sent_generation = self.generation
            else:
                writer.write(b"1\r\n\n\r\n")
            await writer.drain()

    async def wait_while_hanging(self) -> None:
        """Wait until the mode is no longer `hang`."""
        while self.mode == "hang":
            await self.wait_for_change()

    async def wait_for_change(self) -> bool:
        """Return True after a command, or False after KEEP_ALIVE_SECONDS."""
        try:
            await asyncio.wait_for(self.changed.wait(), KEEP_ALIVE_SECONDS)
        except TimeoutError:
            return False
        return True

    def changed_since(self, generation: int) -> list[str]:
        """Return the names of the servers that changed after this generation."""
        return [name for name, entry in self.entries.items() if entry["generation"] > generation]

    def send_instances(self, balancer: int, reader: Any, writer: Any, names: list[str], reset: bool) -> None:
        """Write these servers as one line of the watch; `reset` says that they are the whole list."""
        if writer.transport.is_closing() or reader.at_eof():
            raise ConnectionResetError  # one side has closed, so the balancer learns nothing
        instances = [self.instance(balancer, name) for name in names]
        if reset:
            instances = [entry for entry in instances if entry["lifecycle"] != "terminated"]
        text = json.dumps({"generation": self.generation, "reset": reset, "instances": instances}) + "\n"
        writer.write(b"%x\r\n%b\r\n" % (len(text), text.encode()))
        self.events.write("told", b=balancer, generation=self.generation, reset=reset)

    def instance(self, balancer: int, name: str) -> dict[str, Any]:
        """Return a server's entry of the list for this balancer."""
        entry = self.entries[name]
        return {
            "instanceId": name,
            "hostPort": self.addresses[balancer][name],
            "zone": entry["zone"],
            "cell": 0,
            "machineType": "m",
            "lifecycle": entry["state"],
            "weight": 1.0,
            "startedAtMs": entry["since"] * 1000,
        }

    async def command(self, fields: dict[str, Any]) -> Any:
        """Apply a command (see the module); return the current list as balancer 0 has it."""
        if fields["do"] == "mode":
            self.mode = fields["mode"]
            self.events.write("discovery", mode=self.mode)
            if self.mode == "down":
                for writer in list(self.connections):
                    writer.transport.abort()
        else:
            self.generation += 1
            self.entries[fields["s"]] |= {"state": fields["state"], "generation": self.generation}
            if "clock" in fields:  # the server starts now; its clock is off by this many seconds
                self.entries[fields["s"]]["since"] = time.time() + fields["clock"]
            self.events.write(
                "change",
                s=fields["s"],
                state=fields["state"],
                start="clock" in fields,
                generation=self.generation,
            )
        self.changed.set()
        self.changed = asyncio.Event()
        return [self.instance(0, name) for name in self.entries]


async def main(path: str, addresses: list[dict[str, str]]) -> None:
    """Serve until standard input ends; `path` is the file for events."""
    discovery = Discovery(addresses, EventLog(path))
    await serve_commands(await discovery.start(), discovery.command)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], json.loads(sys.argv[2])))
