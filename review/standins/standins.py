"""Stand-ins for the cases under `review/`: clients, servers, discovery, and the platform.

They follow PROTOCOL.md and DEPLOY.md, use loopback addresses and the real clock, and need only the standard
library. A balancer is started with `run` of `deploy/balancer.toml`, as the platform does. Every event is
written to the record of the case, with the seconds since its start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
EMPTY_LINE_SECONDS = 2.0  # PROTOCOL.md: "While nothing changes, an empty line comes every 2 s"
LINE_SECONDS = 2.0  # PROTOCOL.md: "Clients send a line every 2 s"
YES_WITHIN_SECONDS = 6.0  # DAYS.md, of an upgrade: "when the new process says yes, within 6 s"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The record of a case: one line an event, with the seconds since the start of the case."""

    def __init__(self, path: Path):
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, event: str, **values: Any) -> None:
        pairs = " ".join(f"{name}={value}" for name, value in values.items())
        print(f"{time.monotonic() - self.began:8.3f} {event} {pairs}".rstrip(), file=self.file, flush=True)


def traffic_type(
    name: str, effect: str = "retryable", guard_ms: int = 2000, **changes: Any
) -> dict[str, Any]:
    """One row of `trafficTypes`."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "guardTimeUs": guard_ms * 1000,
        "keyTtlUs": 5000000,
        "setupTargetUs": 500000,
        "overdueRevenue": 0.0,
        "revenue": 1.0,
        "streamed": True,
    } | changes


def settings(types: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form of WIRE-bellrack.md."""
    return {
        "accounts": [{"name": "acme", "portion": 1.0, "quotaPerS": 50.0}],
        "areas": ["olten-dc", "bern-dc"],
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
            "mayTell": False,
            "parallelTries": False,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1048576,
        },
        "clientHabits": {"marksRetry": True},
        "discovery": "ask",
        "family": "conn",
        "obligations": {
            "answerSlackUs": 16000,
            "askWithinUs": 10000000,
            "coldShare": 0.12,
            "fallUs": 2000000,
            "overloadFactor": 4.0,
            "rampTimeUs": 23000000,
            "stopSendingWithinUs": 500000,
        },
        "peersTotal": 1,
        "report": {"fields": [], "how": "off"},
        "slotNo": 0,
        "specifics": {
            "groups": True,
            "messageAimUs": [250000.0] * len(types),
            "mode": "proxy",
            "tellsDelay": True,
            "tellsLoad": False,
        },
        "tickUs": 4000,
        "trafficTypes": types,
        "weights": "nominal",
    } | changes


async def listen(handle: Callable[..., Awaitable[None]], address: tuple[str, int] = ("127.0.0.1", 0)) -> Any:
    """Listen on a loopback address, a free port by default."""
    return await asyncio.start_server(handle, *address, backlog=1024)


def address_of(listener: Any) -> str:
    return "{}:{}".format(*listener.sockets[0].getsockname())


def free_address() -> str:
    """A loopback address with a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


class Server:
    """A server: answers a first line with `UP` and echoes each line after it.

    While it drains it keeps its connections and answers `BUSY` to new ones."""

    def __init__(self, record: Record, name: str, zone: str = "olten-dc", cell: int = 0):
        self.record, self.name, self.zone, self.cell = record, name, zone, cell
        self.draining = False
        self.lifecycle = "in_service"
        self.started_at_ms = 0  # 0 for long ago
        self.writers: set[asyncio.StreamWriter] = set()
        self.opens: list[tuple[float, str]] = []  # when each first line came, and its id
        self.before_answer: Callable[[str], Awaitable[None]] | None = (
            None  # runs before a request is answered
        )

    async def start(self) -> None:
        self.listener = await listen(self.serve)
        self.address = address_of(self.listener)

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "m1",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 2.0,
            "startedAtMs": self.started_at_ms,
        }

    def restart(self) -> None:
        """Be a new process: all connections are reset."""
        self.record.write("server-restarts", server=self.name)
        self.started_at_ms = int(time.time() * 1000)
        for writer in list(self.writers):  # PROTOCOL.md: "A process that dies resets its connections"
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            words = (await reader.readline()).decode().split()
            if words[:1] != ["OPEN"]:
                writer.write(b"NO\r\n" if words[:1] in (["PING"], ["STATS"]) else b"")
                return
            id = words[1]
            self.opens.append((time.monotonic(), id))
            self.record.write("server-gets", server=self.name, id=id, draining=self.draining, line=words[3])
            if self.draining:
                self.record.write("server-turns-away", server=self.name, id=id)
                writer.write(b"BUSY\r\n")
                return
            self.record.write("server-runs", server=self.name, id=id)
            writer.write(f"UP {self.name}-{id}\r\n".encode())
            while line := await reader.readline():
                writer.write(line)
        except (ConnectionError, asyncio.CancelledError):  # cancelled at the end of a case
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Discovery:
    """Discovery: the whole list, and watches."""

    def __init__(self, record: Record, servers: list[Server]):
        self.record, self.servers = record, servers
        self.generation = 41
        self.changes: list[tuple[int, Server]] = []
        self.changed = asyncio.Event()
        self.told_at: dict[int, float] = {}  # when each generation was first written to a watch
        self.down = False
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.listener = await listen(self.serve, address)
        self.address = address_of(self.listener)

    async def listen_also(self) -> str:
        """Serve at another address too, and return it."""
        self.second_listener = await listen(self.serve)
        return address_of(self.second_listener)

    def go_down(self, seconds: float) -> None:
        """Be down for some seconds: watches end, and calls are answered with 503."""
        self.down = True
        self.record.write("discovery-goes-down", seconds=seconds)
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(seconds, self.come_back)

    def come_back(self) -> None:
        self.down = False
        self.record.write("discovery-comes-back")

    def whole(self) -> dict[str, Any]:
        entries = [server.entry() for server in self.servers if server.lifecycle != "terminated"]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def change(self, server: Server, lifecycle: str) -> None:
        """The list has another state of a server from now on."""
        server.lifecycle = lifecycle
        self.generation += 1
        self.changes.append((self.generation, server))
        self.record.write(
            "discovery-has", server=server.name, lifecycle=lifecycle, generation=self.generation
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            words = (await reader.readline()).decode().split()
            while (await reader.readline()).strip():
                pass
            if len(words) < 2:
                return
            self.record.write("discovery-gets", call=words[1])
            if self.down:
                self.record.write("discovery-answers", status=503)
                writer.write(REFUSAL)
                return
            if "watch=1" in words[1]:
                await self.watch(int(words[1].partition("after=")[2] or 0), writer)
            else:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (ConnectionError, asyncio.CancelledError):  # cancelled at the end of a case
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def watch(self, after: int, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)
        told, news = self.generation, self.since(after)
        while not writer.is_closing():
            line = json.dumps(news).encode() + b"\n" if news else b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            if news:
                self.told_at.setdefault(news["generation"], time.monotonic())
                self.record.write("discovery-tells", generation=news["generation"])
            await writer.drain()
            changed = self.changed
            if self.generation == told:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), EMPTY_LINE_SECONDS)
            news = self.since(told) if self.generation > told else None
            told = self.generation

    def since(self, generation: int) -> dict[str, Any]:
        """What has changed after a generation, or the whole list for one that is unknown."""
        if not 41 <= generation <= self.generation:
            return self.whole()
        changed = dict.fromkeys(server for version, server in self.changes if version > generation)
        entries = [server.entry() for server in changed]
        return {"generation": self.generation, "reset": False, "instances": entries}


class Balancer:
    """A balancer process, started, signalled and ended as the platform does."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict[str, Any]):
        self.record, self.name = record, name
        self.folder = folder / name
        self.folder.mkdir()
        self.config = {
            "name": name,
            "listen": free_address(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        } | config
        self.path = self.folder / "config.json"
        self.log = self.folder / "log.txt"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    def write_config(self) -> None:
        self.path.write_text(json.dumps(self.config), encoding="utf-8")

    async def start(self, temporary: Path | None = None) -> None:
        """Start `run` of the deploy file with a private, empty $TMPDIR (or the one given)."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        self.write_config()
        self.temporary = temporary or Path(tempfile.mkdtemp(dir=self.folder))
        variables = {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(self.path),
            "TMPDIR": str(self.temporary),
        }
        ours = ("PYTHONPATH", "PYTHONDONTWRITEBYTECODE")  # set by run.sh for the case alone
        inherited = {name: value for name, value in os.environ.items() if name not in ours}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, stdout=log, stderr=log, env=inherited | variables
            )
        self.started_at = time.monotonic()
        self.record.write("balancer-starts", name=self.name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        self.record.write("signal", name=self.name, signal=number.name)
        self.kill(number)

    def kill(self, number: signal.Signals) -> None:
        # Not `send_signal` of the process: it may reap the process before asyncio does.
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def wait_for_pong(self, seconds: float = 30.0) -> None:
        """Wait as the front does: it takes in a balancer that has answered `PING` with `PONG`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line.strip() == b"PONG":
                    self.record.write("front-takes-in", name=self.name)
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.name} answered no PING")

    async def wait_for_log(self, text: str, count: int = 1, seconds: float = 10.0) -> None:
        """Wait for `count` log lines with this text: only to order the steps of a case, never to judge."""
        end = time.monotonic() + seconds
        while self.log.read_text(errors="replace").count(text) < count:
            if time.monotonic() > end:
                raise CannotRunError(f"no {text!r} in the log of {self.name}")
            await asyncio.sleep(0.02)

    async def end(self) -> None:
        """End the process if it runs."""
        if self.process and self.process.returncode is None:
            self.kill(signal.SIGKILL)
            await self.process.wait()


class Client:
    """A client: opens one connection, and once it is up sends a line every 2 s and reads what comes back."""

    number = 0

    def __init__(self, record: Record, kind: str = "path-view", wait_ms: int = 2000, group: int = 0):
        Client.number += 1
        self.record, self.id = record, f"{os.getpid():08x}{Client.number:08x}"
        values = f"c={kind},t=acme,d={wait_ms}{f',g={group:016x}' if group else ''}"
        self.line = f"OPEN {self.id} {Client.number:016x} {values}\r\n".encode()
        self.wait = wait_ms / 1000
        self.answer = ""  # the final answer
        self.answered = asyncio.Event()
        self.sent_at = self.answered_at = self.ended_at = 0.0
        self.lines: list[str] = []  # what came after UP
        self.end = ""  # how the balancer ended the connection: "fin" or "reset"; "refused" if never connected
        self.said = 0

    @property
    def up(self) -> bool:
        return self.answer.startswith("UP ")

    @property
    def stands(self) -> bool:
        return self.up and not self.end

    async def run(self, address: tuple[str, int], line_seconds: float = LINE_SECONDS) -> Client:
        try:
            self.reader, self.writer = await asyncio.open_connection(*address)
        except OSError:
            self.end = "refused"
            self.answered.set()
            return self
        self.writer.write(self.line)
        self.sent_at = time.monotonic()
        self.record.write("client-sends", id=self.id, line=self.line.decode().split()[3])
        speaking = None
        try:
            while line := await self.reader.readline():
                text = line.decode().strip()
                if not self.answer:
                    self.answer, self.answered_at = text, time.monotonic()
                    self.record.write("client-gets", id=self.id, answer=text.replace(" ", "_"))
                    self.answered.set()
                    if self.up:
                        speaking = asyncio.create_task(self.speak(line_seconds))
                else:
                    self.lines.append(text)
                    self.record.write("client-gets", id=self.id, line=text.replace(" ", "_"))
            self.end = "fin"
        except ConnectionError:
            self.end = "reset"
        self.ended_at = time.monotonic()
        self.record.write("client-ended", id=self.id, how=self.end, answered=bool(self.answer))
        self.answered.set()
        if speaking:
            speaking.cancel()
        self.writer.close()
        return self

    async def speak(self, line_seconds: float) -> None:
        while True:
            await asyncio.sleep(line_seconds)
            self.said += 1
            self.writer.write(f"SAY {self.said}\r\n".encode())
            self.record.write("client-sends", id=self.id, line=f"SAY_{self.said}")

    def leave(self) -> None:
        if self.end == "" and hasattr(self, "writer"):
            self.writer.close()


def call_control(address: str, path: str, body: str | None = None) -> int:
    """Call the operators' door; returns the status. Blocks: run it in a thread."""
    data = None if body is None else body.encode()
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(urllib.request.Request(f"http://{address}{path}", data), timeout=5) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


async def send_clients(
    record: Record,
    address: tuple[str, int],
    per_second: float,
    wait_ms: int,
    clients: list[Client] | None = None,
) -> None:
    """New connections at an even rate, until cancelled. Each stays for a second, as a very short session.

    `clients`: where they are kept."""

    async def one(client: Client) -> None:
        running = asyncio.create_task(client.run(address))
        await client.answered.wait()
        await asyncio.sleep(1.0)
        client.leave()
        await running

    tasks = set()
    try:
        while True:
            client = Client(record, wait_ms=wait_ms)
            tasks.add(asyncio.create_task(one(client)))
            if clients is not None:
                clients.append(client)
            await asyncio.sleep(1 / per_second)
    finally:
        for task in tasks:
            task.cancel()


async def wait_for_yes(record: Record, balancer: Balancer) -> float:
    """Ask at the operators' door as the platform does in an upgrade; returns when the process said yes."""
    end = time.monotonic() + YES_WITHIN_SECONDS
    while time.monotonic() < end:
        if await asyncio.to_thread(call_control, balancer.config["control"], "/_ready") == 200:
            record.write("new-process-says-yes", pid=balancer.process.pid)
            return time.monotonic()
        await asyncio.sleep(0.02)
    raise CannotRunError("the new process said no for 6 s")


def play(case: Callable[[Record, Path, bool], Awaitable[int]], path: Path, seconds: float = 110.0) -> None:
    """Play a case in a temporary folder, with the disruption unless TROUBLE=0; exit with what it returns.

    A case returns HELD or BROKEN, and has ended all processes that it started by then. Whatever else happens
    says nothing of the rule. `path`: where the record is written."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    record.write("case", trouble=trouble)
    signal.signal(
        signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN)
    )  # ends the processes on the way out
    code = NOT_RUN
    try:
        code = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), seconds))
    except Exception as error:
        record.write("cannot-run", error=repr(error))
    finally:
        for log in sorted(temporary.glob("*/log.txt")):
            for line in log.read_text(errors="replace").splitlines():
                if "event=ended" not in line:
                    print(f"         log-of-{log.parent.name} {line}", file=record.file)
        record.write("exit", code=code)
        shutil.rmtree(temporary, ignore_errors=True)
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code])
    sys.exit(code)
