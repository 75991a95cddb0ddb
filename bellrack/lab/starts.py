"""Measures how long balancer processes that start together take to become ready, and their processor time.

Usage:
  starts [--processes=N] [--discovery=WAY] [--known=WHAT] [--lists=WAY] [--rate=R] [--seconds=S]

Called as python -m bellrack.lab.starts.

Options:
  --processes=N    Number of processes, 200 at most [default: 20].
  --discovery=WAY  Behaviour of discovery: answers, refuses, says-nothing or slow [default: slow].
  --known=WHAT     Server list in the configuration: given or none [default: given].
  --lists=WAY      Discovery mode of the settings: ask or push [default: push].
  --rate=R         Lists per second of a slow discovery, one request at a time [default: 10].
  --seconds=S      Maximum duration of the measurement [default: 60].

Each process listens on a port of its own, and one discovery stub serves all of them. No other process is
signalled. The figures depend on this machine and its load.
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

MAX_COUNT = 200  # processes
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BEHAVIOURS = ("answers", "refuses", "says-nothing", "slow")
SERVER_LIST = {
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


class DiscoveryStub:
    """The discovery of all processes. `rate` is the lists per second if `behaviour` is slow."""

    def __init__(self, behaviour: str, rate: float):
        self.behaviour, self.interval, self.lock, self.lists_sent = behaviour, 1 / rate, asyncio.Lock(), 0
        self.writers: list[asyncio.StreamWriter] = []  # keeps the connections open

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request and leave the connection open."""
        self.writers.append(writer)
        # The task is cancelled at the end of the measurement. Otherwise a traceback would be printed for each
        # request that still waits for the lock.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            if self.behaviour == "slow":
                async with self.lock:
                    if writer.is_closing() or reader.at_eof():
                        return  # the client has disconnected, so its request takes no time
                    await asyncio.sleep(self.interval)
            if self.behaviour != "says-nothing":
                text = json.dumps(SERVER_LIST).encode() + b"\n"
                writer.write(RESPONSE_HEAD + b"%x\r\n%b\r\n" % (len(text), text))
                await writer.drain()
                self.lists_sent += 1


@dataclass
class Start:
    """One process: wall-clock and processor seconds from its exec to its first PONG, None without a PONG."""

    ready: float | None = None
    processor: float | None = None


def processor_seconds(pid: int) -> float:
    """Return the user and system time of a process with all its threads."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def ping(address: str) -> None:
    """Send PING to HOST:PORT. Raises ConnectionError unless the answer is PONG."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"PING\r\n")
    if await reader.readline() != b"PONG\r\n":
        raise ConnectionError("no PONG")
    writer.close()


async def start(path: str, processes: list[Any]) -> Start:
    """Start a process, add it to `processes` and return its times when it is ready. It continues to run."""
    started = time.monotonic()
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
            await ping(line.split(b"listen=")[1].split()[0].decode())
            return Start(time.monotonic() - started, processor_seconds(process.pid))
    return Start()


async def measure(
    count: int, behaviour: str, known: bool, lists: str, rate: float, seconds: float
) -> tuple[list[Start], int]:
    """Start `count` processes and wait until all are ready, `seconds` at most.

    `known` is whether the configuration contains a server list, `lists` the discovery mode (ask or push), and
    `rate` the lists per second of a slow discovery. Returns the times of each process and the number of lists
    that were sent.
    """
    discovery, processes, tasks = DiscoveryStub(behaviour, rate), [], []
    listener = await asyncio.start_server(
        discovery.handle, "127.0.0.1", backlog=4 * MAX_COUNT, start_serving=behaviour != "refuses"
    )
    address = "{}:{}".format(*listener.sockets[0].getsockname())
    with tempfile.TemporaryDirectory() as folder:
        raw: dict[str, Any] = {
            "listen": "127.0.0.1:0",
            "discovery": address,
            "settings": SETTINGS | {"discovery": lists},
        }
        if known:
            raw["known"] = SERVER_LIST
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(raw, file)
        try:
            for _ in range(count):
                tasks.append(asyncio.create_task(start(path, processes)))
                await asyncio.sleep(0)  # otherwise discovery would not run until all processes are started
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
    return [outcome if isinstance(outcome, Start) else Start() for outcome in ended], discovery.lists_sent


def cores() -> int:
    """Return the number of cores that this process may use. It can change while the process runs."""
    return len(os.sched_getaffinity(0))


def report_text(starts: list[Start], lists: int, cores: str) -> str:
    """Return the report, a line for each figure."""

    def quantiles(values: list[float]) -> str:
        values = sorted(values)
        return " ".join(
            f"{name} {values[round(share * (len(values) - 1))]:.2f}"
            for name, share in (("least", 0), ("median", 0.5), ("p90", 0.9), ("most", 1))
        )

    ready = [start for start in starts if start.ready is not None]
    text = f"started {len(starts)}, ready {len(ready)}, lists told {lists}, cores {cores}\n"
    for bound in (6, 10):
        text += f"ready within {bound} s: {sum(start.ready <= bound for start in ready)}\n"
    if ready:
        text += f"seconds from exec to PONG: {quantiles([start.ready for start in ready])}\n"
        text += f"processor seconds to PONG: {quantiles([start.processor for start in ready])}\n"
    return text


def main() -> int:
    """Run the measurement with the options of the command line; return the exit code."""
    args = docopt(__doc__)
    count, behaviour = int(args["--processes"]), args["--discovery"]
    if not 1 <= count <= MAX_COUNT or behaviour not in BEHAVIOURS or args["--lists"] not in ("ask", "push"):
        print(
            f"bellrack: 1 to {MAX_COUNT} processes; --discovery {', '.join(BEHAVIOURS)}; --lists ask, push",
            file=sys.stderr,
        )
        return 2
    cores_before = cores()
    starts, lists = asyncio.run(
        measure(
            count,
            behaviour,
            args["--known"] == "given",
            args["--lists"],
            float(args["--rate"]),
            float(args["--seconds"]),
        )
    )
    print(report_text(starts, lists, f"{cores_before} at first, {cores()} at last"), end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
