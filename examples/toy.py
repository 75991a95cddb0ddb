"""A small environment to try the balancer with: discovery on 127.0.0.1:8500 and two servers, s-1 and s-2.

Commands on standard input: `drain NAME` and `back NAME` change the state of a server in the list, and
`say NAME LINE` sends a line to the clients of a server.
"""

import asyncio
import json
import sys

DISCOVERY_ADDRESS = ("127.0.0.1", 8500)
SERVER_ADDRESSES = {"s-1": ("127.0.0.1", 8601), "s-2": ("127.0.0.1", 8602)}


class ToyPlatform:
    """Discovery and the servers, with the states of the servers and their connections."""

    def __init__(self):
        self.states = dict.fromkeys(SERVER_ADDRESSES, "in_service")
        self.version = 1
        self.clients = {name: set() for name in SERVER_ADDRESSES}
        self.changed = asyncio.Event()

    def entry(self, name):
        """Return the entry of a server in the list."""
        host, port = SERVER_ADDRESSES[name]
        return {
            "instanceId": name,
            "hostPort": f"{host}:{port}",
            "zone": "a",
            "machineType": "toy",
            "cell": 0,
            "lifecycle": self.states[name],
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def listing(self):
        """Return the whole list as a line of JSON."""
        return (
            json.dumps(
                {
                    "generation": self.version,
                    "reset": True,
                    "instances": [self.entry(name) for name in SERVER_ADDRESSES],
                }
            ).encode()
            + b"\n"
        )

    async def discovery(self, reader, writer):
        """Answer a request for the list, once or as a watch, which gets the whole list after each change."""
        target = (await reader.readline()).decode().split(" ")[1]
        while (await reader.readline()).strip():
            pass
        if "watch=1" not in target:
            body = self.listing()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = self.listing()
        while not writer.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            try:
                await asyncio.wait_for(self.changed.wait(), 2)
                line = self.listing()
            except TimeoutError:
                line = b"\n"

    async def serve(self, name, reader, writer):
        """Answer the first line of a connection, and then echo each line."""
        first = await reader.readline()
        print(f"{name}: {first.decode().strip()}")
        answers = {b"OPEN": b"UP toy\r\n", b"PING": b"PONG\r\n", b"STATS": b"PONG 0.5 0.4\r\n"}
        writer.write(answers.get(first.split()[0] if first.strip() else b"", b"NO\r\n"))
        self.clients[name].add(writer)
        try:
            while line := await reader.readline():
                writer.write(line)
        except ConnectionError:
            pass
        self.clients[name].discard(writer)
        writer.close()

    async def command(self, words):
        """Run a command of standard input; print the usage for an unknown one."""
        match words:
            case ["drain" | "back" as verb, name] if name in SERVER_ADDRESSES:
                self.states[name] = "terminating" if verb == "drain" else "in_service"
                self.version += 1
                self.changed.set()
                self.changed.clear()
            case ["say", name, *rest] if name in SERVER_ADDRESSES:
                for writer in self.clients[name]:
                    writer.write(" ".join(rest).encode() + b"\r\n")
            case _:
                print(__doc__)

    async def run(self):
        """Serve until the end of standard input."""
        await asyncio.start_server(self.discovery, *DISCOVERY_ADDRESS)
        for name, address in SERVER_ADDRESSES.items():
            await asyncio.start_server(lambda r, w, name=name: self.serve(name, r, w), *address)
        while line := await asyncio.to_thread(sys.stdin.readline):
            await self.command(line.split())


if __name__ == "__main__":
    asyncio.run(ToyPlatform().run())
