"""Several real processes for tests: balancers, stand-in servers, and clients that come back with `at=`.

Nothing here sleeps: whoever waits, waits for a line of a log, an answer, or the bound that the pages give.
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
HANG_TIMEOUT_SECONDS = 60.0  # seconds until a process that a test waits for counts as hung
ENDS_WITHIN = (
    1.0  # seconds from a final answer to the end of its connection, which is a system call of its own
)
UP_WITHIN = 40.0  # seconds: PROTOCOL.md, "one that is not [up] after 40 s is lost"


def bound_socket() -> socket.socket:
    """A socket that holds a port of its own; nobody listens there by that."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def format_address(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


class LineReader(threading.Thread):
    """Reads a process's lines as they come, and lets a test wait for one."""

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
        """The first line with this text, once so many have it."""

        def found() -> list[str]:
            return [line for line in self.lines if text in line]

        with self.changed:
            self.changed.wait_for(lambda: len(found()) >= count or self.ended, HANG_TIMEOUT_SECONDS)
            assert len(found()) >= count, f"no {text!r} among {self.lines[-5:]}"
            return found()[0]


class BalancerProcess:
    """`bellrack serve` with a configuration of its own."""

    def __init__(self, folder: Path, name: str, raw: dict[str, Any]):
        self.path, self.process, self.log = folder / f"{name}.json", None, None
        self.folder = folder
        self.raw = {"name": name, "seed": "8c1f30d27a5be964"} | raw
        self.write()

    def write(self) -> None:
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
        """Where it listens, once it does."""
        line = self.log.wait_for("event=serving")
        host, port = line.partition(" listen=")[2].split()[0].split(":")
        return host, int(port)

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL) -> int:
        if self.process.poll() is None:
            self.send_signal(number)
        return self.process.wait(HANG_TIMEOUT_SECONDS)

    def counters(self) -> dict[str, int]:
        """As it prints them at SIGUSR1."""
        before = len([line for line in self.log.lines if "event=counters" in line])
        self.send_signal(signal.SIGUSR1)
        self.log.wait_for("event=counters", before + 1)
        line = [line for line in self.log.lines if "event=counters" in line][-1]
        pairs = [pair.partition("=") for pair in line.partition("event=counters ")[2].split()]
        return {name: int(value) for name, _, value in pairs}


@contextlib.contextmanager
def running(processes: list[BalancerProcess]) -> Iterator[list[BalancerProcess]]:
    """All of them, started at once and ended with the context."""
    try:
        yield [process.start() for process in processes]
    finally:
        for process in processes:
            if process.process:
                process.end()


class StandInProcess:
    """Discovery and servers in a process of their own (`stand_ins.py`)."""

    def __init__(self, count: int, number: int = 0):
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "tests" / "stand_ins.py"), str(count), str(number)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        told = json.loads(self.process.stdout.readline())
        self.discovery, self.entries = told["discovery"], told["entries"]

    @property
    def names(self) -> list[str]:
        return [entry["instanceId"] for entry in self.entries]

    def command(self, do: str, **words: Any) -> Any:
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
    """A process for each core that takes all it can get of it."""
    running = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]
    try:
        yield
    finally:
        for process in running:
            process.kill()
            process.wait(HANG_TIMEOUT_SECONDS)


@dataclass
class Client:
    """A client whose connection stood at `server` before the run; of any server where none is named."""

    id: str
    server: str | None
    address: tuple[str, int]
    parts: list[tuple[float, bytes]]  # seconds after connecting, and what is written then
    answers: list[str] = field(default_factory=list)  # all lines that came back
    sock: socket.socket | None = None
    received: bytes = b""

    @property
    def awaits_end(self) -> bool:
        """It has an answer that is not UP, and its connection has not ended."""
        return bool(self.answers) and not self.answers[0].startswith("UP ") and self.answers[-1] != "end"

    @property
    def up(self) -> bool:
        """Exactly one answer, of its own server, and nothing after it."""
        if self.server is None:
            return len(self.answers) == 1 and self.answers[0].endswith(f"/{self.id}")
        return self.answers == [f"UP {self.server}/{self.id}"]


def resumed_line(number: int, server: str) -> bytes:
    return f"OPEN {number:016x} {number:016x} c=chat,t=acme,d=4294967,at={server}\r\n".encode()


def ordinary_line(number: int, wait: int = 20000) -> bytes:
    """`wait`: milliseconds that the client says it waits."""
    return f"OPEN {number:016x} {number:016x} c=chat,t=acme,d={wait}\r\n".encode()


class Clients(threading.Thread):
    """Clients in a thread: each writes its parts when they are due and takes all that comes back."""

    def __init__(self, clients: list[Client], within: float = UP_WITHIN):
        super().__init__(daemon=True)
        self.clients, self.within = clients, within
        self.selector = selectors.DefaultSelector()
        self.begun = 0.0
        self.start()

    def run(self) -> None:
        self.begun = time.monotonic()
        due = []
        for client in self.clients:
            client.sock = socket.create_connection(client.address, HANG_TIMEOUT_SECONDS)
            now = time.monotonic()
            due += [(now + after, client, data) for after, data in client.parts]
            self.selector.register(client.sock, selectors.EVENT_READ, client)
        due.sort(key=lambda part: part[0], reverse=True)
        while not all(client.answers for client in self.clients):
            now = time.monotonic()
            if now > self.begun + self.within:
                return
            while due and due[-1][0] <= now:
                _, client, data = due.pop()
                with contextlib.suppress(OSError):  # its end is read
                    client.sock.sendall(data)
            wait = due[-1][0] if due else self.begun + self.within
            self.read(max(0.0, min(wait, self.begun + self.within) - now))

    def read(self, seconds: float) -> None:
        for key, _ in self.selector.select(seconds):
            client = key.data
            try:
                data = client.sock.recv(65536)
            except ConnectionResetError:
                data = b""
            client.received += data
            *whole, client.received = client.received.split(b"\r\n")
            client.answers += [line.decode() for line in whole if line != b"PONG"]
            if not data:
                client.answers.append("end")
                self.selector.unregister(client.sock)

    def settle(self) -> None:
        """Wait until all have an answer or the bound is over, then take what comes after it: who is not up
        is owed the end of its connection."""
        self.join(self.within + HANG_TIMEOUT_SECONDS)
        assert not self.is_alive()
        end = time.monotonic() + ENDS_WITHIN
        while any(client.awaits_end for client in self.clients) and time.monotonic() < end:
            self.read(max(0.0, end - time.monotonic()))
        while self.selector.get_map() and self.selector.select(0):
            self.read(0)

    def close(self) -> None:
        for client in self.clients:
            if client.sock:
                client.sock.close()


def balancer_settings(stand_ins: StandInProcess, standing: int, **changes: Any) -> dict[str, Any]:
    """A configuration with the descriptors that the pages give beside those of standing connections."""
    return {
        "listen": "127.0.0.1:0",
        "discovery": stand_ins.discovery,
        "limits": {"sockets": 1024 + 2 * standing},
        "settings": raw_settings(),
        "known": {"generation": 0, "reset": True, "instances": stand_ins.entries},
    } | changes
