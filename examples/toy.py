"""A toy to try the balancer with: a discovery on 127.0.0.1:8500 and two servers, s-1 and s-2.

Commands on standard input: `drain NAME`, `back NAME` (changes of the list), `say NAME LINE` (to its clients).
"""

import asyncio
import json
import sys

LIST = ("127.0.0.1", 8500)
SERVERS = {"s-1": ("127.0.0.1", 8601), "s-2": ("127.0.0.1", 8602)}


class Toy:
    def __init__(self):
        self.states = dict.fromkeys(SERVERS, "in_service")
        self.version = 1
        self.clients = {name: set() for name in SERVERS}
        self.changed = asyncio.Event()

    def entry(self, name):
        host, port = SERVERS[name]
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
        return (
            json.dumps(
                {
                    "generation": self.version,
                    "reset": True,
                    "instances": [self.entry(name) for name in SERVERS],
                }
            ).encode()
            + b"\n"
        )

    async def discovery(self, reader, writer):
        """The whole list, once or as a watch; each change sends it whole again."""
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
        """UP for a first line, then each line said back."""
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
        match words:
            case ["drain" | "back" as what, name] if name in SERVERS:
                self.states[name] = "terminating" if what == "drain" else "in_service"
                self.version += 1
                self.changed.set()
                self.changed.clear()
            case ["say", name, *rest] if name in SERVERS:
                for writer in self.clients[name]:
                    writer.write(" ".join(rest).encode() + b"\r\n")
            case _:
                print(__doc__)

    async def run(self):
        await asyncio.start_server(self.discovery, *LIST)
        for name, place in SERVERS.items():
            await asyncio.start_server(lambda r, w, name=name: self.serve(name, r, w), *place)
        while line := await asyncio.to_thread(sys.stdin.readline):
            await self.command(line.split())


if __name__ == "__main__":
    asyncio.run(Toy().run())
