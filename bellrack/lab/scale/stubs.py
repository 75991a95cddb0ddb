"""Runs `bellrack serve` as a child process between stub clients, stub servers and a stub discovery service.

`StubEnvironment` starts and ends the child processes and opens connections through them. The functions below
it read processor time and resident memory from /proc. No process and no file is left behind, and wall-clock
time is never a result.
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

WAIT_TIMEOUT_SECONDS = 60.0  # for each condition, after which the measurement fails
SETTLE_SECONDS = 1.5  # without load, in which work that is in progress is finished
MAX_CONCURRENT_SETUPS = 50
MAX_LINES_IN_FLIGHT = 100  # what arrives in 7 ms at 15,000 lines a second
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SERVING_EVENT = re.compile(r"event=serving .*listen=([0-9.:]+)")


class ScaleError(RuntimeError):
    """A measurement could not be taken; the message says why."""


def processor_time_ns(pid: int) -> int:
    """Returns the processor time of all threads of a process in nanoseconds."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks)


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class StubServer(asyncio.Protocol):
    """The server's end of a connection: answers UP to each OPEN and keeps the connection open."""

    def __init__(self, environment: StubEnvironment):
        self.environment = environment

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"OPEN "):
            self.environment.server_transports.append(self.transport)
            self.transport.write(b"UP\r\n")


class StubClient(asyncio.Protocol):
    """A client's connection: sends an OPEN, then counts the lines that it receives."""

    def __init__(self, environment: StubEnvironment, number: int):
        self.environment, self.number = environment, number

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.environment.client_transports.append(transport)
        transport.write(
            b"OPEN c%08d %x c=chat,g=%x,d=20000\r\n" % (self.number, self.number, self.number % 997 + 1)
        )

    def data_received(self, data: bytes) -> None:
        self.environment.lines_received += data.count(b"\n")
        self.environment.any_failed |= data.startswith((b"BUSY", b"ERR", b"MOVE", b"SYNTAX"))

    def connection_lost(self, error: Exception | None) -> None:
        self.environment.clients_lost += 1


class StubDiscovery(asyncio.Protocol):
    """Answers a watch with the full list, and sends no changes."""

    def __init__(self, list_line: bytes):
        self.list_line = list_line

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.transport.write(head + b"%x\r\n" % len(self.list_line) + self.list_line + b"\r\n")


class ChildProcess:
    """A `bellrack serve` process. Its log and its temporary files are in `folder`."""

    def __init__(self, config: str, folder: str, log: str):
        self.log = Path(folder) / log
        with self.log.open("wb") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bellrack", "serve", "--config", config],
                stderr=log_file,
                stdout=subprocess.DEVNULL,
                env=os.environ | {"TMPDIR": folder},
            )
        self.pid = self.process.pid

    def log_text(self) -> str:
        """Returns the log so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    async def wait_until_serving(self) -> tuple[str, int]:
        """Waits until the process serves and returns its address. Raises ScaleError if the process ends."""
        await wait_until(
            lambda: SERVING_EVENT.search(self.log_text()) or self.process.poll() is not None,
            "bellrack serve accepts connections",
        )
        found = SERVING_EVENT.search(self.log_text())
        if not found:
            raise ScaleError(f"bellrack serve ended: {self.log_text()[-300:]}")
        return lines.parse_address(found[1])

    def wait_for_exit(self) -> int:
        """Waits until the process ends, and returns its total processor time in nanoseconds."""
        _, status, usage = os.wait4(self.pid, 0)
        self.process.returncode = os.waitstatus_to_exitcode(status)
        return round((usage.ru_utime + usage.ru_stime) * 1e9)

    def kill(self) -> None:
        """Kills the process if it still runs."""
        if self.process.returncode is None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def wait_until(condition: Callable[[], Any], description: str) -> None:
    """Waits until `condition()` is true. Raises ScaleError after WAIT_TIMEOUT_SECONDS."""
    for _ in range(int(WAIT_TIMEOUT_SECONDS / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise ScaleError(f"timed out waiting until {description}")


class StubEnvironment:
    """The clients, servers and discovery service around the child processes; an asynchronous context manager.

    `settings`: those of the balancer. `list_entries(count, port)` returns the entries of the server list, of
    which there are `servers`; all have the address of the one stub server.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        list_entries: Callable[[int, int], list[dict]],
        servers: int = 2,
    ):
        self.settings, self.list_entries, self.servers = settings, list_entries, servers
        self.server_transports: list[Any] = []  # of established connections
        self.client_transports: list[Any] = []
        self.children: list[ChildProcess] = []
        self.lines_received = self.clients_lost = self.clients_opened = 0
        self.any_failed = False  # a client was refused or asked to connect again

    async def __aenter__(self) -> StubEnvironment:
        loop = asyncio.get_running_loop()
        self.folder = tempfile.TemporaryDirectory(prefix="bellrack-scale-")
        server = await loop.create_server(lambda: StubServer(self), "127.0.0.1", 0, backlog=1024)
        server_list = {
            "generation": 1,
            "reset": True,
            "instances": self.list_entries(self.servers, server.sockets[0].getsockname()[1]),
        }
        list_line = json.dumps(server_list).encode() + b"\n"
        discovery = await loop.create_server(lambda: StubDiscovery(list_line), "127.0.0.1", 0)
        self.listeners = [server, discovery]
        self.config_path = os.path.join(self.folder.name, "config.json")
        discovery_address = lines.format_address(discovery.sockets[0].getsockname())
        Path(self.config_path).write_text(
            json.dumps(
                {
                    "name": "b0",
                    "listen": "127.0.0.1:0",
                    "control": "127.0.0.1:0",
                    "discovery": discovery_address,
                    "seed": "1",
                    "limits": {"sockets": 65536},
                    "settings": self.settings,
                    "known": server_list,
                }
            ),
            encoding="utf-8",
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        for child in self.children:
            child.kill()
        for transport in (*self.client_transports, *self.server_transports):
            transport.abort()
        for listener in self.listeners:
            listener.close()
        await asyncio.sleep(0)
        self.folder.cleanup()

    async def start_child(self) -> ChildProcess:
        """Starts a process and waits until it serves. New connections are opened to the latest process."""
        child = ChildProcess(self.config_path, self.folder.name, f"log{len(self.children)}")
        self.children.append(child)
        self.listen_address = await child.wait_until_serving()
        return child

    async def open_connections(self, count: int) -> None:
        """Opens connections until `count` are established. Raises ScaleError if one is not."""
        loop, before = asyncio.get_running_loop(), self.clients_opened
        self.lines_received = 0
        while self.clients_opened < count:
            for _ in range(min(MAX_CONCURRENT_SETUPS, count - self.clients_opened)):
                self.clients_opened += 1
                await loop.create_connection(
                    lambda number=self.clients_opened: StubClient(self, number), *self.listen_address
                )
            await wait_until(
                lambda: self.lines_received >= self.clients_opened - before,
                f"{self.clients_opened} connections are established",
            )
            if self.any_failed or len(self.server_transports) != self.clients_opened:
                raise ScaleError(
                    f"{self.clients_opened} connections requested, {len(self.server_transports)} stand"
                )
        self.lines_received = 0

    async def relay_lines(self, count: int, size: int) -> None:
        """Sends `count` lines of `size` bytes from servers to clients, over the connections in turn."""
        line = b"D" * (size - 2) + b"\r\n"
        for first in range(0, count, MAX_LINES_IN_FLIGHT):
            batch = min(MAX_LINES_IN_FLIGHT, count - first)
            self.lines_received = 0
            for number in range(first, first + batch):
                self.server_transports[number % len(self.server_transports)].write(line)
            await wait_until(lambda batch=batch: self.lines_received >= batch, f"{batch} lines are received")
        self.lines_received = 0

    def last_counter(self, child: ChildProcess, name: str) -> int:
        """Returns a counter of the latest `counters` event in the child's log; 0 if it is not there."""
        found = re.findall(rf"event=counters.*?\b{name}=(\d+)", child.log_text())
        return int(found[-1]) if found else 0


async def memory_by_connections(environment: StubEnvironment, sizes: list[int]) -> list[int]:
    """Returns the resident bytes of one child process with each of these numbers of idle connections."""
    child = await environment.start_child()
    values = []
    for size in sizes:
        await environment.open_connections(size)
        await asyncio.sleep(SETTLE_SECONDS)
        values.append(resident_bytes(child.pid))
    return values


async def relay_time_ns(
    environment: StubEnvironment, child: ChildProcess, counts: list[int], size: int
) -> list[int]:
    """Returns the child's processor time for relaying each of these numbers of lines of `size` bytes."""
    await environment.relay_lines(MAX_LINES_IN_FLIGHT, size)
    values = []
    for count in counts:
        before_ns = processor_time_ns(child.pid)
        await environment.relay_lines(count, size)
        values.append(processor_time_ns(child.pid) - before_ns)
    return values


async def hand_off_costs(environment: StubEnvironment, count: int) -> tuple[int, int, int]:
    """Hot-restarts a process that has `count` connections.

    Returns the processor time in nanoseconds of the process that ends and of its successor, and how many
    connections the successor took over.
    """
    predecessor = await environment.start_child()
    await environment.open_connections(count)
    await asyncio.sleep(SETTLE_SECONDS)
    successor = await environment.start_child()
    await asyncio.sleep(SETTLE_SECONDS)
    predecessor_ns, successor_ns = processor_time_ns(predecessor.pid), processor_time_ns(successor.pid)
    predecessor.process.send_signal(signal.SIGTERM)
    total_ns = await asyncio.get_running_loop().run_in_executor(None, predecessor.wait_for_exit)
    await asyncio.sleep(SETTLE_SECONDS)
    successor_ns = processor_time_ns(successor.pid) - successor_ns
    successor.process.send_signal(signal.SIGUSR1)
    await wait_until(lambda: "event=counters" in successor.log_text(), "the counters are logged")
    return total_ns - predecessor_ns, successor_ns, environment.last_counter(successor, "taken_over")


async def successor_gets_listening_socket(environment: StubEnvironment) -> bool:
    """Returns whether a process that is started beside a serving one receives its listening socket."""
    await environment.start_child()
    await asyncio.sleep(SETTLE_SECONDS)
    return "after=True" in (await environment.start_child()).log_text()


async def start_costs(environment: StubEnvironment) -> tuple[int, int]:
    """Returns the processor time in nanoseconds and the resident bytes of a process that serves and has no
    connection."""
    child = await environment.start_child()
    await asyncio.sleep(SETTLE_SECONDS)
    return processor_time_ns(child.pid), resident_bytes(child.pid)
