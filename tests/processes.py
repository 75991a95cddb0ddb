"""Real processes for tests: balancers, stand-in servers, and clients of resumed connections (`at=`).

Nothing here sleeps for a fixed time: tests wait for a log line, an answer, or a limit of the specification.
"""

from __future__ import annotations

import contextlib
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from helpers import raw_settings

ROOT = Path(__file__).parent.parent
HANG_TIMEOUT_SECONDS = 60.0  # after which a process that a test waits for counts as hung
# From a final answer to the end of its connection, which is a system call of its own.
END_TIMEOUT_SECONDS = 1.0
UP_TIMEOUT_SECONDS = 40.0  # PROTOCOL.md: "one that is not [up] after 40 s is lost"


def bound_socket() -> socket.socket:
    """Return a socket that reserves a port without listening on it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def format_address(sock: socket.socket) -> str:
    """Return the address of a socket as host:port."""
    return "{}:{}".format(*sock.getsockname())


class LineReader(threading.Thread):
    """Reads the output lines of a process in a thread, and lets a test wait for a line."""

    def __init__(self, pipe: Any):
        super().__init__(daemon=True)
        self.pipe, self.lines, self.ended = pipe, [], False
        self.changed = threading.Condition()
        self.start()

    def run(self) -> None:
        for line in self.pipe:
            with self.changed:
                self.lines.append(line.decode(errors="replace").rstrip("\n"))
                self.changed.notify_all()
        with self.changed:
            self.ended = True
            self.changed.notify_all()

    def wait_for(self, text: str, count: int = 1) -> str:
        """Wait until `count` lines contain this text; return the first of them."""

        def matching() -> list[str]:
            return [line for line in self.lines if text in line]

        with self.changed:
            self.changed.wait_for(lambda: len(matching()) >= count or self.ended, HANG_TIMEOUT_SECONDS)
            assert len(matching()) >= count, f"no {text!r} in the last lines: {self.lines[-5:]}"
            return matching()[0]


class BalancerProcess:
    """A process `bellrack serve` with its own configuration file."""

    def __init__(self, folder: Path, name: str, raw: dict[str, Any]):
        self.path, self.process, self.log = folder / f"{name}.json", None, None
        self.folder = folder
        self.raw = {"name": name, "seed": "8c1f30d27a5be964"} | raw
        self.write()

    def write(self) -> None:
        """Write the configuration file from `raw`."""
        self.path.write_text(json.dumps(self.raw))

    def start(self) -> BalancerProcess:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bellrack", "serve", f"--config={self.path}"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env=os.environ | {"TMPDIR": str(self.folder)},
        )
        self.log = LineReader(self.process.stderr)
        return self

    def address(self) -> tuple[str, int]:
        """Return the address on which it listens; wait until it does."""
        line = self.log.wait_for("event=serving")
        host, port = line.partition(" listen=")[2].split()[0].split(":")
        return host, int(port)

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL) -> int:
        """Send a signal if the process still runs; return its exit status."""
        if self.process.poll() is None:
            self.send_signal(number)
        return self.process.wait(HANG_TIMEOUT_SECONDS)

    def counters(self) -> dict[str, int]:
        """Return the counters that it logs at SIGUSR1."""
        before = len([line for line in self.log.lines if "event=counters" in line])
        self.send_signal(signal.SIGUSR1)
        self.log.wait_for("event=counters", before + 1)
        line = [line for line in self.log.lines if "event=counters" in line][-1]
        pairs = [pair.partition("=") for pair in line.partition("event=counters ")[2].split()]
        return {name: int(value) for name, _, value in pairs}


@contextlib.contextmanager
def running(processes: list[BalancerProcess]) -> Iterator[list[BalancerProcess]]:
    """Start all processes at once; end them with the context."""
    try:
        yield [process.start() for process in processes]
    finally:
        for process in processes:
            if process.process:
                process.end()


class StubProcess:
    """A process with discovery and `count` servers (`stub_services.py`); `number` tells several apart."""

    def __init__(self, count: int, number: int = 0):
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "tests" / "stub_services.py"), str(count), str(number)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        started = json.loads(self.process.stdout.readline())
        self.discovery, self.entries = started["discovery"], started["entries"]

    @property
    def names(self) -> list[str]:
        return [entry["instanceId"] for entry in self.entries]

    def command(self, do: str, **words: Any) -> Any:
        """Send a command with these arguments; return the answer."""
        self.process.stdin.write(json.dumps({"do": do} | words).encode() + b"\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    def pause(self) -> None:
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def end(self) -> None:
        self.process.kill()
        self.process.wait(HANG_TIMEOUT_SECONDS)


@contextlib.contextmanager
def burners(count: int) -> Iterator[None]:
    """Run `count` processes that each use a whole core."""
    running = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]
    try:
        yield
    finally:
        for process in running:
            process.kill()
            process.wait(HANG_TIMEOUT_SECONDS)


@dataclass
class Client:
    """A client of one connection.

    `server`: where its connection was established before the restart; None for an ordinary connection."""

    id: str
    server: str | None
    address: tuple[str, int]
    parts: list[tuple[float, bytes]]  # seconds after connecting, and the bytes written then
    answers: list[str] = field(default_factory=list)  # all lines received, then "end" for the end
    sock: socket.socket | None = None
    received: bytes = b""

    @property
    def awaits_end(self) -> bool:
        """Whether it has an answer other than UP and its connection has not ended yet."""
        return bool(self.answers) and not self.answers[0].startswith("UP ") and self.answers[-1] != "end"

    @property
    def up(self) -> bool:
        """Whether it has exactly one answer, UP of the right server, and nothing after it."""
        if self.server is None:
            return len(self.answers) == 1 and self.answers[0].endswith(f"/{self.id}")
        return self.answers == [f"UP {self.server}/{self.id}"]


def resumed_line(number: int, server: str) -> bytes:
    """Return the first line of a resumed connection."""
    return f"OPEN {number:016x} {number:016x} c=chat,t=acme,d=4294967,at={server}\r\n".encode()


def ordinary_line(number: int, wait: int = 20000) -> bytes:
    """Return the first line of an ordinary connection; `wait`: milliseconds for which the client waits."""
    return f"OPEN {number:016x} {number:016x} c=chat,t=acme,d={wait}\r\n".encode()


class Clients(threading.Thread):
    """Runs clients in a thread: each writes its parts when they are due and records all answers.

    Ends when each client has an answer, or after `within` seconds."""

    def __init__(self, clients: list[Client], within: float = UP_TIMEOUT_SECONDS):
        super().__init__(daemon=True)
        self.clients, self.within = clients, within
        self.selector = selectors.DefaultSelector()
        self.started_at = 0.0
        self.start()

    def run(self) -> None:
        self.started_at = time.monotonic()
        due = []
        for client in self.clients:
            client.sock = socket.create_connection(client.address, HANG_TIMEOUT_SECONDS)
            now = time.monotonic()
            due += [(now + after, client, data) for after, data in client.parts]
            self.selector.register(client.sock, selectors.EVENT_READ, client)
        due.sort(key=lambda part: part[0], reverse=True)
        while not all(client.answers for client in self.clients):
            now = time.monotonic()
            if now > self.started_at + self.within:
                return
            while due and due[-1][0] <= now:
                _, client, data = due.pop()
                with contextlib.suppress(OSError):  # the end of the connection is seen by `read`
                    client.sock.sendall(data)
            wait = due[-1][0] if due else self.started_at + self.within
            self.read(max(0.0, min(wait, self.started_at + self.within) - now))

    def read(self, seconds: float) -> None:
        for key, _ in self.selector.select(seconds):
            client = key.data
            try:
                data = client.sock.recv(65536)
            except ConnectionResetError:
                data = b""
            client.received += data
            *complete_lines, client.received = client.received.split(b"\r\n")
            client.answers += [line.decode() for line in complete_lines if line != b"PONG"]
            if not data:
                client.answers.append("end")
                self.selector.unregister(client.sock)

    def settle(self) -> None:
        """Wait until the thread has ended, then read what follows the answers.

        A connection whose answer was not UP must end after it."""
        self.join(self.within + HANG_TIMEOUT_SECONDS)
        assert not self.is_alive()
        end = time.monotonic() + END_TIMEOUT_SECONDS
        while any(client.awaits_end for client in self.clients) and time.monotonic() < end:
            self.read(max(0.0, end - time.monotonic()))
        while self.selector.get_map() and self.selector.select(0):
            self.read(0)

    def close(self) -> None:
        for client in self.clients:
            if client.sock:
                client.sock.close()


def balancer_settings(stub_services: StubProcess, established: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with the specified descriptors, and two more per established connection."""
    return {
        "listen": "127.0.0.1:0",
        "discovery": stub_services.discovery,
        "limits": {"sockets": 1024 + 2 * established},
        "settings": raw_settings(),
        "known": {"generation": 0, "reset": True, "instances": stub_services.entries},
    } | changes
