"""How long processes that start together take until they are ready, and what that costs: measured.

Usage:
  starts [--processes=N] [--discovery=WAY] [--known=WHAT] [--lists=WAY] [--rate=R] [--seconds=S]

Called as python -m bellrack.lab.starts.

Options:
  --processes=N    How many at once, 200 at most [default: 20].
  --discovery=WAY  What discovery does: answers, refuses, says-nothing or slow [default: slow].
  --known=WHAT     The list known before: given or none [default: given].
  --lists=WAY      How lists come: ask or push [default: push].
  --rate=R         Lists a second of a slow discovery, calls in turn [default: 10].
  --seconds=S      The measurement ends after so many [default: 60].

Owns the processes that it starts, each of which listens at a port of its own, and a discovery for all. It
touches no other process, and whatever it prints is of this machine and of how busy it was.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from typing import Any

from docopt import docopt

MOST = 200  # processes
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WAYS = ("answers", "refuses", "says-nothing", "slow")
LIST = {
    "generation": 41,
    "reset": True,
    "instances": [{"instanceId": "s-0", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": "in_service"}],
}
SETTINGS = {
    "trafficTypes": [{"name": "chat", "effect": "retryable", "guardTimeUs": 2e6, "setupTargetUs": 3e5}],
    "specifics": {"messageAimUs": [1e5], "tellsDelay": True},
    "accounts": [],
    "areas": ["a"],
    "az": 0,
    "caps": {"maxLegs": 3, "connectTimeoutUs": 200000},
    "peersTotal": 1,
    "obligations": {"answerSlackUs": 16000, "coldShare": 0.2, "rampTimeUs": 2e7},
}


class Lists:
    """Discovery for all that start."""

    def __init__(self, way: str, rate: float):
        self.way, self.pause, self.turn, self.told = way, 1 / rate, asyncio.Lock(), 0
        self.held: list[asyncio.StreamWriter] = []

    async def called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.held.append(writer)
        # Cancelled at the end of the measurement: guards against a trace for each that still waits its turn.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            if self.way == "slow":
                async with self.turn:
                    if writer.is_closing() or reader.at_eof():
                        return  # given up: it costs nothing
                    await asyncio.sleep(self.pause)
            if self.way != "says-nothing":
                text = json.dumps(LIST).encode() + b"\n"
                writer.write(HEAD + b"%x\r\n%b\r\n" % (len(text), text))
                await writer.drain()
                self.told += 1


@dataclass
class Start:
    """One process: seconds from its exec, of the clock and of the processor, to its first PONG."""

    ready: float | None = None
    processor: float | None = None


def processor_seconds(pid: int) -> float:
    """User and system, of the process and its threads."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def pong(text: str) -> None:
    host, _, port = text.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"PING\r\n")
    if await reader.readline() != b"PONG\r\n":
        raise ConnectionError("no PONG")
    writer.close()


async def start(path: str, processes: list[Any]) -> Start:
    """Runs one until it is ready; it goes on serving."""
    begun = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bellrack",
        "serve",
        f"--config={path}",
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    processes.append(process)
    async for line in process.stderr:
        if b"event=serving" in line:
            await pong(line.split(b"listen=")[1].split()[0].decode())
            return Start(time.monotonic() - begun, processor_seconds(process.pid))
    return Start()


async def measure(
    count: int, way: str, known: bool, lists: str, rate: float, seconds: float
) -> tuple[list[Start], int]:
    """What became of each that was started, and how many lists were told."""
    service, processes, tasks = Lists(way, rate), [], []
    listener = await asyncio.start_server(
        service.called, "127.0.0.1", backlog=4 * MOST, start_serving=way != "refuses"
    )
    place = "{}:{}".format(*listener.sockets[0].getsockname())
    with tempfile.TemporaryDirectory() as folder:
        raw: dict[str, Any] = {
            "listen": "127.0.0.1:0",
            "discovery": place,
            "settings": SETTINGS | {"discovery": lists},
        }
        if known:
            raw["known"] = LIST
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(raw, file)
        try:
            for _ in range(count):
                tasks.append(asyncio.create_task(start(path, processes)))
                await asyncio.sleep(0)  # guards against a discovery that stands while all are started
            await asyncio.wait(tasks, timeout=seconds)
        finally:
            for task in tasks:
                task.cancel()
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
            listener.close()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    return [one if isinstance(one, Start) else Start() for one in ended], service.told


def cores() -> int:
    """How many this process may use now: others may change that while it runs."""
    return len(os.sched_getaffinity(0))


def report_text(starts: list[Start], lists: int, cores: str) -> str:
    """The figures, a line each."""

    def spread(values: list[float]) -> str:
        values = sorted(values)
        return " ".join(
            f"{name} {values[round(part * (len(values) - 1))]:.2f}"
            for name, part in (("least", 0), ("median", 0.5), ("p90", 0.9), ("most", 1))
        )

    ready = [one for one in starts if one.ready is not None]
    text = f"started {len(starts)}, ready {len(ready)}, lists told {lists}, cores {cores}\n"
    for bound in (6, 10):
        text += f"ready within {bound} s: {sum(one.ready <= bound for one in ready)}\n"
    if ready:
        text += f"seconds from exec to PONG: {spread([one.ready for one in ready])}\n"
        text += f"processor seconds to PONG: {spread([one.processor for one in ready])}\n"
    return text


def main() -> int:
    asked = docopt(__doc__)
    count, way = int(asked["--processes"]), asked["--discovery"]
    if not 1 <= count <= MOST or way not in WAYS or asked["--lists"] not in ("ask", "push"):
        print(
            f"bellrack: 1 to {MOST} processes; --discovery {', '.join(WAYS)}; --lists ask, push",
            file=sys.stderr,
        )
        return 2
    before = cores()
    starts, lists = asyncio.run(
        measure(
            count,
            way,
            asked["--known"] == "given",
            asked["--lists"],
            float(asked["--rate"]),
            float(asked["--seconds"]),
        )
    )
    print(report_text(starts, lists, f"{before} at first, {cores()} at last"), end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
