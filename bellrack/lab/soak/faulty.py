"""Runs the balancer and injects faults of its clock, its sockets and its files by a schedule.

The environment variable `SOAK_FAULTS` names a JSON file: a list of objects with `kind`, `at` and `until`
(seconds of the monotonic clock, which all processes of the machine share), `share` (of the calls that are
affected) and `by` (seconds). The balancer's code is not changed: `time.time`, `socket.socket`, `os.rename`,
`open` and two methods of the event loop are replaced before it is imported. Kinds:

- `accept`, `socket`, `connect`: errors of these calls
- `attach_late`: sockets that were accepted or handed over are attached to the loop up to `by` seconds late
- `connect_late`: connections to servers are established up to `by` seconds late
- `short`: reads and writes of a socket transfer only part of the data
- `broken`: reads from servers and discovery fail as if the connection had broken
- `disk`: errors when a JSON file is opened or a file is renamed
- `clock`: the wall clock is off by `by` seconds from `at` on
"""

from __future__ import annotations

import asyncio
import builtins
import errno
import json
import os
import random
import socket
import sys
import time
from typing import Any

REAL_TIME = time.time
REAL_OPEN = open
REAL_RENAME = os.rename
REAL_SOCKET = socket.socket
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


class FaultSchedule:
    """The faults of one process and the times at which they are active."""

    def __init__(self, faults: list[dict[str, Any]], rng: random.Random):
        self.faults, self.rng = faults, rng

    def active_fault(self, kind: str) -> dict[str, Any] | None:
        """Return the fault of this kind that is active now, or None."""
        now = time.monotonic()
        return next(
            (fault for fault in self.faults if fault["kind"] == kind and fault["at"] <= now < fault["until"]),
            None,
        )

    def maybe_raise(self, kind: str, error_numbers: tuple[int, ...]) -> None:
        """If a fault of this kind is active, raise one of these errors with the probability `share`."""
        fault = self.active_fault(kind)
        if fault and self.rng.random() < fault["share"]:
            error_number = self.rng.choice(error_numbers)
            raise OSError(error_number, os.strerror(error_number))

    def clock_offset(self) -> float:
        """Return the sum of the clock steps so far, in seconds."""
        now = time.monotonic()
        return sum(fault["by"] for fault in self.faults if fault["kind"] == "clock" and fault["at"] <= now)


def install(schedule: FaultSchedule) -> None:
    """Replace the functions through which the balancer uses the operating system."""

    class FaultySocket(REAL_SOCKET):
        outgoing = False  # client connections are not broken: the client would have to learn of it

        def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None):
            if fileno is None:
                schedule.maybe_raise("socket", SOCKET_ERRORS)
            super().__init__(family, type, proto, fileno)

        def accept(self) -> Any:
            # accept(2): an error of a new connection removes that connection from the queue.
            schedule.maybe_raise("accept", ACCEPT_ERRORS)
            return super().accept()

        def connect(self, address: Any) -> None:
            if self.family == socket.AF_INET:
                schedule.maybe_raise("connect", CONNECT_ERRORS)
                self.outgoing = True
            super().connect(address)

        def send(self, data: Any, *flags: int) -> int:
            fault = schedule.active_fault("short")
            return super().send(data[: max(1, len(data) // 2)] if fault else data, *flags)

        def recv_into(self, buffer: Any, *rest: int) -> int:
            if self.outgoing:
                schedule.maybe_raise("broken", BROKEN_ERRORS)
            if schedule.active_fault("short") and not rest:
                buffer = memoryview(buffer)[: max(1, len(buffer) // 512)]
            return super().recv_into(buffer, *rest)

        def sendmsg(self, buffers: Any, *rest: Any) -> int:
            if schedule.active_fault("short") and self.type == socket.SOCK_STREAM:
                data = b"".join(buffers)
                buffers = [data[: max(1, len(data) // 2)]]
            return super().sendmsg(buffers, *rest)

    def faulty_open(path: Any, *args: Any, **keywords: Any) -> Any:
        if str(path).endswith(".json"):
            schedule.maybe_raise("disk", DISK_ERRORS)
        return REAL_OPEN(path, *args, **keywords)

    def faulty_rename(*args: Any, **keywords: Any) -> None:
        schedule.maybe_raise("disk", DISK_ERRORS)
        REAL_RENAME(*args, **keywords)

    event_loop_class = asyncio.selector_events.BaseSelectorEventLoop
    real_connect = event_loop_class.sock_connect

    async def sock_connect(loop: Any, sock: Any, address: Any) -> None:
        if (fault := schedule.active_fault("connect_late")) and schedule.rng.random() < fault["share"]:
            await asyncio.sleep(fault["by"] * schedule.rng.random())
        await real_connect(loop, sock, address)

    real_attach = event_loop_class.connect_accepted_socket

    async def connect_accepted_socket(loop: Any, *args: Any, **keywords: Any) -> Any:
        if (fault := schedule.active_fault("attach_late")) and schedule.rng.random() < fault["share"]:
            await asyncio.sleep(fault["by"] * schedule.rng.random())
        return await real_attach(loop, *args, **keywords)

    socket.socket = FaultySocket
    builtins.open, os.rename = faulty_open, faulty_rename
    event_loop_class.sock_connect = sock_connect
    event_loop_class.connect_accepted_socket = connect_accepted_socket
    time.time = lambda: REAL_TIME() + schedule.clock_offset()


def main() -> int:
    """Install the faults, then run the balancer's command with this process's arguments."""
    with REAL_OPEN(os.environ["SOAK_FAULTS"], encoding="utf-8") as file:
        faults = json.load(file)
    install(FaultSchedule(faults, random.Random(os.getpid())))
    from bellrack.__main__ import main as balancer_main

    return balancer_main()


if __name__ == "__main__":
    sys.exit(main())
