"""Stand-ins for the cases 6 to 10: clients, servers, discovery and the platform, on loopback addresses.

They follow ../given/kit/real/PROTOCOL.md and DEPLOY.md. One asyncio process hosts them all; the balancers are
processes of their own, started with `run` of deploy/balancer.toml. All events go to `record.txt` of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
LINE_SECONDS = 2.0  # PROTOCOL.md, "Figures": clients send a line every 2 s
GIVEN_PORTS: set[int] = set()
EMPTY_LINE_SECONDS = 2.0  # PROTOCOL.md, "Discovery": an empty line while nothing changes


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """The log of a case: one line an event, with the seconds since its start."""

    def __init__(self, path: Path):
        self.file, self.start = path.open("w"), time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self.start

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now:8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """A free port of 127.0.0.1, below those that the system gives to connecting sockets.

    Among these a service that is restarted might find its port taken."""
    first = 32768
    with contextlib.suppress(OSError, ValueError):
        first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    for _ in range(1000):
        port = random.randrange(10000, first) if first > 11000 else 0
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            if (port := sock.getsockname()[1]) not in GIVEN_PORTS:
                GIVEN_PORTS.add(port)
                return port
    raise NotRunError("no free port")


def temporary_folder() -> Path:
    """A new folder whose path leaves room for that of a Unix socket."""
    root = tempfile.gettempdir()
    short = "/tmp" if len(root) > 30 and os.access("/tmp", os.W_OK) else root
    return Path(tempfile.mkdtemp(prefix="case-", dir=short))


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form of WIRE-bellrack.md, with other top-level keys."""
    base: dict[str, Any] = {
        "accounts": [{"name": "mittelland", "portion": 1.0, "quotaPerS": 10.0}],
        "areas": ["olten-dc"],
        "az": 0,
        "beyondShareRevenue": 0.1,
        "caps": {
            "connIdleUs": 5000000,
            "connectTimeoutUs": 200000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "maxLegs": 3,
            "maxOpen": 1000000,
            "maxRetryAfterUs": 1500000,
            "mayCancel": True,
            "mayTell": True,
            "parallelTries": False,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1048576,
        },
        "clientHabits": {"marksRetry": True},
        "discovery": "ask",
        "family": "conn",
        "goal": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.1, "worstWindow": 0.15},
        "obligations": {
            "answerSlackUs": 16000,
            "askWithinUs": 10000000,
            "coldShare": 0.12,
            "fallUs": 2000000,
            "overloadFactor": 4.0,
            "rampTimeUs": 23000000,
            "stopSendingWithinUs": 500000,
        },
        "peersTotal": 2,
        "prices": {"crossZone": 0.1, "waste": 0.2, "lateFail": 0.03, "moves": 0.02},
        "report": {"fields": [], "how": "off"},
        "revenueBasis": "request",
        "skus": ["std-node"],
        "slotNo": 0,
        "specifics": {
            "groups": False,
            "messageAimUs": [250000.0],
            "mode": "proxy",
            "parkUs": 0,
            "tellsDelay": False,
            "tellsLoad": False,
        },
        "stages": ["path-servers"],
        "tickUs": 4000,
        "tier": 0,
        "trafficTypes": [traffic_type("path-view")],
        "weights": "nominal",
    }
    base.update(changes)
    base["specifics"]["messageAimUs"] = [250000.0] * len(base["trafficTypes"])
    return base


def traffic_type(name: str, **changes: Any) -> dict[str, Any]:
    """A row of `trafficTypes`: repeatable, given up after 1.8 s."""
    return {
        "effect": "retryable",
        "group": "all",
        "guardTimeUs": 1800000,
        "keyTtlUs": 5000000,
        "name": name,
        "overdueRevenue": 0.0,
        "revenue": 5.0,
        "setupTargetUs": 300000,
        "streamed": True,
    } | changes


class Attempt:
    """What a server has of one connection: the request line, when its first and last byte came, its end."""

    def __init__(self, server: Server, first_byte: float):
        self.server, self.first_byte = server, first_byte
        self.line, self.id, self.key, self.values = "", "", "", {}
        self.last_byte = 0.0


class Server:
    """A server: answers `UP` with a receipt, then echoes lines. A draining one answers `BUSY`.

    `on_attempt(attempt, writer)` may answer in place of that: it returns whether it has done so."""

    def __init__(self, record: Record, name: str):
        self.record, self.name, self.port = record, name, 0
        self.draining = False
        self.attempts: list[Attempt] = []
        self.open: set[asyncio.StreamWriter] = set()  # connections that are up
        self.on_attempt: Callable[[Attempt, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> Server:
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.record(f"server {self.name} listens at 127.0.0.1:{self.port}")
        return self

    def report(self) -> str:
        """The answer to STATS."""
        return "NO"

    def entry(self, lifecycle: str = "in_service", started_ms: int = 0, weight: float = 2.0) -> dict:
        """The server's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "olten-dc",
            "machineType": "std-node",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": weight,
            "startedAtMs": started_ms,
        }

    async def restart(self) -> int:
        """Ends with resets and starts again at the same address; returns how many connections it cut off."""
        cut = len(self.open)
        self.server.close()
        for writer in self.open:
            writer.transport.abort()
        self.open.clear()
        await self.start()
        return cut

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            first = await reader.read(1)
            if first:
                await self.serve_line(first, reader, writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def serve_line(
        self, first: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt = Attempt(self, self.record.now)
        line = (first + await reader.readuntil(b"\n")).decode()
        attempt.last_byte, attempt.line = self.record.now, line.strip()
        if line.strip() in ("PING", "STATS"):
            writer.write(f"{self.report() if line.strip() == 'STATS' else 'PONG'}\r\n".encode())
            return
        words = line.split()
        if len(words) != 4 or words[0] != "OPEN":
            self.record(f"server {self.name} got {line!r}, answers SYNTAX")
            writer.write(b"SYNTAX\r\n")
            return
        attempt.id, attempt.key = words[1], words[2]
        attempt.values = dict(pair.split("=", 1) for pair in words[3].split(","))
        self.attempts.append(attempt)
        self.record(f"server {self.name} got attempt {attempt.line}")
        if self.on_attempt and await self.on_attempt(attempt, writer):
            return
        if self.draining:
            self.record(f"server {self.name} answers {attempt.id} BUSY: draining")
            writer.write(b"BUSY\r\n")
            return
        self.record(f"server {self.name} runs {attempt.id}, answers UP")
        writer.write(f"UP {self.name}-{attempt.id}\r\n".encode())
        self.open.add(writer)
        while line_read := await reader.readline():
            writer.write(line_read)
        self.open.discard(writer)
        self.record(f"server {self.name}: {attempt.id} was ended")


class Discovery:
    """Discovery: one list, watches, single lists. `refuses` may hold a call or turn it away."""

    def __init__(self, record: Record, name: str = "discovery", generation: int = 40):
        self.record, self.name, self.generation = record, name, generation
        self.entries: dict[str, dict] = {}
        self.changed_at: dict[str, int] = {}  # generation of each entry's last change
        self.watches: set[asyncio.StreamWriter] = set()
        # Called with each call; returns whether it has answered in its own way.
        self.on_call: Callable[[str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]] | None
        self.on_call = None
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> Discovery:
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.record(f"{self.name} listens at 127.0.0.1:{self.port}")
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def whole(self) -> dict:
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def put(self, *entries: dict) -> float:
        """Enters changes and writes them to the open watches; returns when they were written."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed_at[entry["instanceId"]] = self.generation
        told = {"generation": self.generation, "reset": False, "instances": list(entries)}
        for writer in self.watches:
            self.write_chunk(writer, json.dumps(told))
        states = {entry["instanceId"]: entry["lifecycle"] for entry in entries}
        self.record(f"{self.name} has {states}, generation {self.generation}, watches {len(self.watches)}")
        return self.record.now

    def reset_watches(self) -> None:
        """Ends all open watches with a reset."""
        self.record(f"{self.name} resets {len(self.watches)} watches")
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    @staticmethod
    def write_chunk(writer: asyncio.StreamWriter, text: str) -> None:
        data = text.encode() + b"\n"
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            await self.answer(head.split(b" ")[1].decode(), reader, writer)
        self.watches.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def refuse(self, writer: asyncio.StreamWriter) -> None:
        """Ends a call with 503."""
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        await writer.drain()

    async def answer(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record(f"{self.name} is called: {path}")
        if self.on_call and await self.on_call(path, reader, writer):
            return
        if "watch=1" not in path:
            body = json.dumps(self.whole()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        after = int(path.partition("after=")[2].split("&")[0] or 0)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if 0 < after <= self.generation:
            changed = [self.entries[name] for name, at in self.changed_at.items() if at > after]
            if changed:
                told = {"generation": self.generation, "reset": False, "instances": changed}
                self.write_chunk(writer, json.dumps(told))
            else:
                self.write_chunk(writer, "")
        else:
            self.write_chunk(writer, json.dumps(self.whole()))
        self.watches.add(writer)
        self.record(f"{self.name} answers the watch after={after}, generation {self.generation}")
        while not writer.is_closing():
            with contextlib.suppress(TimeoutError):
                if not await asyncio.wait_for(reader.read(4096), EMPTY_LINE_SECONDS):
                    return
            if writer in self.watches:
                self.write_chunk(writer, "")


class Wire:
    """The way to a service, which can be cut: open connections fall silent and new ones never come up.

    Of a cut connection nothing is lost that TCP would repeat: it is reset when the way is back."""

    def __init__(self, record: Record, port: int):
        self.record, self.target, self.port = record, port, 0
        self.cut, self.open = False, set[asyncio.StreamWriter]()
        self.server: asyncio.Server | None = None
        self.stoppers: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Wire:
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there, back = await asyncio.open_connection("127.0.0.1", self.target)
        self.open |= {writer, back}
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self.copy(reader, back), self.copy(there, writer))
        self.open -= {writer, back}

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.cut:
                    return
                writer.write(data)
            if not self.cut:
                writer.close()

    async def set_cut(self, on: bool) -> None:
        """Cuts the way, or mends it: then what was open is reset."""
        self.record(f"the way to port {self.target} is {'cut' if on else 'back'}")
        self.cut = on
        if on:
            # A full accept queue that nobody empties: the kernel drops further handshakes.
            self.server.close()
            await asyncio.sleep(0)
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", self.port))
            listener.listen(0)
            self.stoppers = [listener]
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(("127.0.0.1", self.port))
                self.stoppers.append(filler)
        else:
            for sock in self.stoppers:
                sock.close()
            for writer in list(self.open):
                writer.transport.abort()
            await self.start()


class Balancer:
    """One balancer as the platform runs it."""

    def __init__(self, record: Record, folder: Path, name: str, raw: dict[str, Any]):
        self.record, self.folder, self.name = record, folder, name
        self.path = folder / f"{name}.json"
        self.tmpdir = folder / f"tmp-{name}"
        self.raw = {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 1024},
        } | raw
        self.process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        return int(self.raw["listen"].rpartition(":")[2])

    def write(self) -> None:
        self.path.write_text(json.dumps(self.raw))

    async def start(self, **changes: Any) -> asyncio.subprocess.Process:
        """Starts `run` of the deploy file; `changes` go into the configuration first."""
        self.raw.update(changes)
        self.write()
        self.tmpdir.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.raw["listen"],
            "BALANCER_DISCOVERY": self.raw["discovery"],
            "BALANCER_CONFIG": str(self.path),
            "TMPDIR": str(self.tmpdir),
        }
        environment.pop("BALANCER_CONTROL", None)
        if "control" in self.raw:
            environment["BALANCER_CONTROL"] = self.raw["control"]
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record(f"platform starts {self.name}, process {self.process.pid}")
        return self.process

    async def ready(self, seconds: float = 15.0) -> None:
        """Waits until it answers `PING` with `PONG`, as the front does."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"PONG\r\n":
                    self.record(f"platform: {self.name} answers PONG")
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} is not ready after {seconds:g} s")

    def signal(self, number: int, process: asyncio.subprocess.Process | None = None) -> None:
        process = process or self.process
        self.record(f"platform sends {signal.Signals(number).name} to {self.name}, process {process.pid}")
        process.send_signal(number)


class Client:
    """One client's connection: sends `OPEN`, waits for the answer, then sends a line each 2 s."""

    ids = 0

    def __init__(self, record: Record, kind: str, key: str = "", wait_ms: int = 1800, extra: str = ""):
        Client.ids += 1
        self.record = record
        self.id = f"{os.getpid():x}-{Client.ids:05x}"
        self.key = key or f"{Client.ids:x}"
        self.line = f"OPEN {self.id} {self.key} c={kind},t=mittelland,d={wait_ms}{extra}\r\n"
        self.answer = ""  # the first line that came back; "" if the connection ended or time was over
        self.end = ""
        self.connected = False
        self.sent_at = self.answered_at = 0.0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, port: int, patience: float = 10.0) -> str:
        """Sends the request; returns the answer, or what ended the wait."""
        try:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError as error:
            self.end = f"unreachable: {type(error).__name__}"
            self.record(f"client {self.id}: {self.end}")
            return ""
        self.connected = True
        self.writer.write(self.line.encode())
        self.sent_at = self.record.now
        self.record(f"client {self.id} sends {self.line.strip()}")
        try:
            self.answer = (await asyncio.wait_for(self.reader.readline(), patience)).decode().strip()
            self.end = "" if self.answer else "closed without an answer"
        except TimeoutError:
            self.end = f"no answer in {patience:g} s"
        except OSError as error:
            self.end = f"broken: {type(error).__name__}"
        self.answered_at = self.record.now
        self.record(f"client {self.id} gets {self.answer or self.end!r}")
        return self.answer

    async def use(self, seconds: float) -> None:
        """Sends a line each 2 s and reads what comes, until the time is over or the connection ends."""
        end = time.monotonic() + seconds
        with contextlib.suppress(OSError):
            while (left := end - time.monotonic()) > 0 and not self.end:
                self.writer.write(b"line\r\n")
                due = time.monotonic() + min(LINE_SECONDS, left)
                while not self.end and (wait := due - time.monotonic()) > 0:
                    with contextlib.suppress(TimeoutError):
                        line = await asyncio.wait_for(self.reader.readline(), wait)
                        self.end = "" if line and line != b"MOVE\r\n" else line.decode().strip() or "fin"

    def leave(self) -> None:
        """Ends the connection."""
        if self.connected:
            with contextlib.suppress(OSError):
                self.writer.close()


async def operator(address: str, method: str, path: str, body: str = "") -> int:
    """An operator's call; returns the status of the answer, 0 if none came within 1 s."""
    host, port = address.split(":")
    with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return int(line.split()[1])
    return 0


async def upgrade(case: Case, one: Balancer, longest_deadline: float) -> None:
    """A new version under load (DAYS.md): a second process, SIGTERM to the first at its yes, then SIGKILL."""
    old, control = one.process, f"127.0.0.1:{free_port()}"
    await case.start(one, control=control)
    end = case.record.now + 6.0
    while await operator(control, "GET", "/_ready") != 200:
        if case.record.now > end:
            raise NotRunError("the new process does not say yes within 6 s")
        await asyncio.sleep(0.02)
    case.record("platform: the new process says yes")
    one.signal(signal.SIGTERM, old)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(old.wait(), min(3.0, longest_deadline) + 0.7)
    if old.returncode is None:
        one.signal(signal.SIGKILL, old)
    await old.wait()
    case.record(f"the old process has ended with {old.returncode}")


class Traffic:
    """Clients that come at a steady rate, stay for a while and leave."""

    def __init__(self, record: Record, port: int, kind: str, interval: float, stay: float):
        self.record, self.port, self.kind, self.interval, self.stay = record, port, kind, interval, stay
        self.clients: list[Client] = []
        self.tasks: list[asyncio.Task] = []
        self.arrivals = asyncio.create_task(self.arrive())

    async def arrive(self) -> None:
        while True:
            self.tasks.append(asyncio.create_task(self.visit()))
            await asyncio.sleep(self.interval)

    async def visit(self) -> None:
        client = Client(self.record, self.kind)
        self.clients.append(client)
        await client.open(self.port)
        if client.answer.startswith("UP"):
            await client.use(self.stay)
        client.leave()

    async def stop(self) -> None:
        """Lets nobody new come, and waits until all have left."""
        self.arrivals.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        answers = Counter((client.answer.split() or [client.end])[0] for client in self.clients)
        self.record(f"{len(self.clients)} requests: {dict(answers)}")


def late_sends(record: Record, servers: list[Server], limit: float) -> str:
    """Notes the sends to these servers whose first byte came after `limit`; returns what was broken."""
    late = [a for server in servers for a in server.attempts if a.first_byte > limit]
    for attempt in sorted(late, key=lambda a: a.first_byte):
        record(f"late send to {attempt.server.name} at {attempt.first_byte:.3f}: {attempt.id}")
    return f"{len(late)} sends to servers after the limit" if late else ""


class Case:
    """The frame of a case: record, temporary folder, trouble or not, and the end of all processes."""

    def __init__(self, record: Path):
        self.folder = temporary_folder()
        self.record = Record(record)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.balancers: list[Balancer] = []
        self.processes: list[asyncio.subprocess.Process] = []

    def balancer(self, name: str, **raw: Any) -> Balancer:
        one = Balancer(self.record, self.folder, name, raw)
        self.balancers.append(one)
        return one

    async def start(self, one: Balancer, **changes: Any) -> asyncio.subprocess.Process:
        process = await one.start(**changes)
        self.processes.append(process)
        return process

    async def finish(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                shutil.copy(log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(record: str, play: Callable[[Case], Awaitable[str]]) -> None:
    """Plays a case and exits; `record`: the path of its record.txt. `play` returns what was broken, or ""."""

    async def main() -> int:
        case = Case(Path(record))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        case.record(f"trouble: {'yes' if case.trouble else 'no'}")
        try:
            broken = await asyncio.wait_for(play(case), 110.0)
            case.record(f"verdict: {'BROKEN: ' + broken if broken else 'held'}")
            print(f"BROKEN: {broken}" if broken else "held")
            return BROKEN if broken else HELD
        except (NotRunError, TimeoutError) as error:
            case.record(f"verdict: not run: {error!r}")
            print(f"not run: {error!r}")
            return NOT_RUN
        except Exception:
            case.record(f"verdict: not run: {traceback.format_exc()}")
            traceback.print_exc()
            return NOT_RUN
        finally:
            await case.finish()

    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    code = asyncio.run(main())
    sys.exit(code)
