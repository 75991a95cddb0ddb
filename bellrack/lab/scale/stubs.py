"""A `bellrack serve` process alone, between stand-in clients, stand-in servers and a stand-in discovery.

Owns the child process, what stands through it, and the reading of its processor time and memory from /proc.
It decides nothing, leaves no process and no file behind, and measures nothing by the clock of a wall.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bellrack.net import lines

PATIENCE = 60.0  # seconds for whatever is waited for, before a measurement is given up
SETTLE = 1.5  # seconds without work, in which what was set off comes to rest
OPENING = 50  # connections that come up at once
WAVE = 100  # lines on their way at once: what comes in 7 ms at 15,000 a second
PAGE = os.sysconf("SC_PAGE_SIZE")
SERVING = re.compile(r"event=serving .*listen=([0-9.:]+)")


class ScaleError(RuntimeError):
    """What was to be measured did not come about; the text says what."""


def processor_ns(pid: int) -> int:
    """Nanoseconds on a core of all of a process's threads."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks)


def memory_bytes(pid: int) -> int:
    """Resident bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


class Server(asyncio.Protocol):
    """Says UP to each OPEN and keeps the connection."""

    def __init__(self, stand: StandIns):
        self.stand = stand

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"OPEN "):
            self.stand.upstream.append(self.transport)
            self.transport.write(b"UP\r\n")


class Client(asyncio.Protocol):
    """Asks for a connection, then counts lines."""

    def __init__(self, stand: StandIns, number: int):
        self.stand, self.number = stand, number

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.stand.clients.append(transport)
        transport.write(
            b"OPEN c%08d %x c=chat,g=%x,d=20000\r\n" % (self.number, self.number, self.number % 997 + 1)
        )

    def data_received(self, data: bytes) -> None:
        self.stand.received += data.count(b"\n")
        self.stand.moved |= data.startswith((b"BUSY", b"ERR", b"MOVE", b"SYNTAX"))

    def connection_lost(self, error: Exception | None) -> None:
        self.stand.lost += 1


class Discovery(asyncio.Protocol):
    """Answers a watch with the whole list, and says nothing more."""

    def __init__(self, text: bytes):
        self.text = text

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.transport.write(head + b"%x\r\n" % len(self.text) + self.text + b"\r\n")


class Child:
    """One `bellrack serve`."""

    def __init__(self, config: str, folder: str, log: str):
        self.log = Path(folder) / log
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bellrack", "serve", "--config", config],
                stderr=out,
                stdout=subprocess.DEVNULL,
                env=os.environ | {"TMPDIR": folder},
            )
        self.pid = self.process.pid

    def text(self) -> str:
        return self.log.read_text(encoding="utf-8", errors="replace")

    async def serving(self) -> tuple[str, int]:
        await until(lambda: SERVING.search(self.text()) or self.process.poll() is not None, "serve begins")
        found = SERVING.search(self.text())
        if not found:
            raise ScaleError(f"bellrack serve ended: {self.text()[-300:]}")
        return lines.parse_address(found[1])

    def ended(self) -> int:
        """Nanoseconds of processor time that it took in all, once it has ended."""
        _, status, used = os.wait4(self.pid, 0)
        self.process.returncode = os.waitstatus_to_exitcode(status)
        return round((used.ru_utime + used.ru_stime) * 1e9)

    def kill(self) -> None:
        if self.process.returncode is None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def until(what: Callable[[], Any], name: str) -> None:
    """Waits for it. Raises ScaleError after PATIENCE."""
    for _ in range(int(PATIENCE / 0.01)):
        if what():
            return
        await asyncio.sleep(0.01)
    raise ScaleError(f"waited in vain until {name}")


class StandIns:
    """What is around the child; an asynchronous context."""

    def __init__(self, settings: dict[str, Any], rows: Callable[[int, int], list[dict]], servers: int = 2):
        self.settings, self.rows, self.servers = settings, rows, servers
        self.upstream: list[Any] = []
        self.clients: list[Any] = []
        self.children: list[Child] = []
        self.received = self.lost = self.opened = 0
        self.moved = False

    async def __aenter__(self) -> StandIns:
        loop = asyncio.get_running_loop()
        self.folder = tempfile.TemporaryDirectory(prefix="bellrack-scale-")
        server = await loop.create_server(lambda: Server(self), "127.0.0.1", 0, backlog=1024)
        listed = {
            "generation": 1,
            "reset": True,
            "instances": self.rows(self.servers, server.sockets[0].getsockname()[1]),
        }
        text = json.dumps(listed).encode() + b"\n"
        discovery = await loop.create_server(lambda: Discovery(text), "127.0.0.1", 0)
        self.listeners = [server, discovery]
        self.config = os.path.join(self.folder.name, "config.json")
        place = lines.format_address(discovery.sockets[0].getsockname())
        Path(self.config).write_text(
            json.dumps(
                {
                    "name": "b0",
                    "listen": "127.0.0.1:0",
                    "control": "127.0.0.1:0",
                    "discovery": place,
                    "seed": "1",
                    "limits": {"sockets": 65536},
                    "settings": self.settings,
                    "known": listed,
                }
            ),
            encoding="utf-8",
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        for child in self.children:
            child.kill()
        for transport in (*self.clients, *self.upstream):
            transport.abort()
        for listener in self.listeners:
            listener.close()
        await asyncio.sleep(0)
        self.folder.cleanup()

    async def start(self) -> Child:
        child = Child(self.config, self.folder.name, f"log{len(self.children)}")
        self.children.append(child)
        self.place = await child.serving()
        return child

    async def stand(self, count: int) -> None:
        """Until so many connections stand."""
        loop, before = asyncio.get_running_loop(), self.opened
        self.received = 0
        while self.opened < count:
            for _ in range(min(OPENING, count - self.opened)):
                self.opened += 1
                await loop.create_connection(lambda n=self.opened: Client(self, n), *self.place)
            await until(lambda: self.received >= self.opened - before, f"{self.opened} connections stand")
            if self.moved or len(self.upstream) != self.opened:
                raise ScaleError(f"{self.opened} asked for, {len(self.upstream)} stand")
        self.received = 0

    async def relay(self, count: int, size: int) -> None:
        """So many lines of so many bytes from servers to clients, each on the next connection."""
        line = b"D" * (size - 2) + b"\r\n"
        for begun in range(0, count, WAVE):
            wave = min(WAVE, count - begun)
            self.received = 0
            for number in range(begun, begun + wave):
                self.upstream[number % len(self.upstream)].write(line)
            await until(lambda wave=wave: self.received >= wave, f"{wave} lines come")
        self.received = 0

    def counted(self, child: Child, name: str) -> int:
        """A counter of its last line of counters; 0 if it has none such."""
        found = re.findall(rf"event=counters.*?\b{name}=(\d+)", child.text())
        return int(found[-1]) if found else 0


async def idle_pairs(around: StandIns, sizes: list[int]) -> list[int]:
    """Resident bytes with so many standing connections, all through one child."""
    child = await around.start()
    found = []
    for size in sizes:
        await around.stand(size)
        await asyncio.sleep(SETTLE)
        found.append(memory_bytes(child.pid))
    return found


async def relayed(around: StandIns, child: Child, counts: list[int], size: int) -> list[int]:
    """Nanoseconds that the child takes for so many lines."""
    await around.relay(WAVE, size)
    found = []
    for count in counts:
        begun = processor_ns(child.pid)
        await around.relay(count, size)
        found.append(processor_ns(child.pid) - begun)
    return found


async def handed_over(around: StandIns, count: int) -> tuple[int, int, int]:
    """Processor nanoseconds of the process that goes and of the one that comes, and how many came over."""
    former = await around.start()
    await around.stand(count)
    await asyncio.sleep(SETTLE)
    comes = await around.start()
    await asyncio.sleep(SETTLE)
    gave, took = processor_ns(former.pid), processor_ns(comes.pid)
    former.process.send_signal(signal.SIGTERM)
    spent = await asyncio.get_running_loop().run_in_executor(None, former.ended)
    await asyncio.sleep(SETTLE)
    took = processor_ns(comes.pid) - took
    comes.process.send_signal(signal.SIGUSR1)
    await until(lambda: "event=counters" in comes.text(), "counters are shown")
    return spent - gave, took, around.counted(comes, "taken_over")


async def met(around: StandIns) -> bool:
    """Does a process that is started beside another one get its listening socket?"""
    await around.start()
    await asyncio.sleep(SETTLE)
    return "after=True" in (await around.start()).text()


async def started(around: StandIns) -> tuple[int, int]:
    """Processor nanoseconds and resident bytes of a child that serves and has no connection."""
    child = await around.start()
    await asyncio.sleep(SETTLE)
    return processor_ns(child.pid), memory_bytes(child.pid)
