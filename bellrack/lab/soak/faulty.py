"""Runs the balancer with faults of its clock, its sockets and its files, by a schedule.

`SOAK_FAULTS` names a JSON file: a list of objects with `kind`, `at` and `until` (seconds of the monotonic
clock, which all processes of the machine share), and what the kind needs. The balancer's own code is not
changed: `time.time`, `socket.socket`, `os.rename`, `open` and the loop's `sock_connect` are replaced before
it is imported.
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

REAL_TIME, REAL_OPEN, REAL_RENAME, REAL_SOCKET = time.time, open, os.rename, socket.socket
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)  # of accept
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


class FaultSchedule:
    """Which faults are in force now."""

    def __init__(self, faults: list[dict[str, Any]], rng: random.Random):
        self.faults, self.rng = faults, rng

    def active_fault(self, kind: str) -> dict[str, Any] | None:
        now = time.monotonic()
        return next((f for f in self.faults if f["kind"] == kind and f["at"] <= now < f["until"]), None)

    def maybe_raise(self, kind: str, numbers: tuple[int, ...]) -> None:
        """Raise one of these errors, as often as the fault's `share` says."""
        fault = self.active_fault(kind)
        if fault and self.rng.random() < fault["share"]:
            number = self.rng.choice(numbers)
            raise OSError(number, os.strerror(number))

    def clock_offset(self) -> float:
        now = time.monotonic()
        return sum(f["by"] for f in self.faults if f["kind"] == "clock" and f["at"] <= now)


def install(schedule: FaultSchedule) -> None:
    """Replace the functions through which the balancer meets its machine."""

    class FaultySocket(REAL_SOCKET):
        outgoing = False  # a client's own connection is not broken: it would have to be told

        def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None):
            if fileno is None:
                schedule.maybe_raise("socket", SOCKET_ERRORS)
            super().__init__(family, type, proto, fileno)

        def accept(self) -> Any:
            # accept(2): an error of the new connection takes that connection from the queue.
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
                whole = b"".join(buffers)
                buffers = [whole[: max(1, len(whole) // 2)]]
            return super().sendmsg(buffers, *rest)

    def faulty_open(path: Any, *args: Any, **named: Any) -> Any:
        if str(path).endswith(".json"):
            schedule.maybe_raise("disk", DISK_ERRORS)
        return REAL_OPEN(path, *args, **named)

    def faulty_rename(*args: Any, **named: Any) -> None:
        schedule.maybe_raise("disk", DISK_ERRORS)
        REAL_RENAME(*args, **named)

    event_loop_class = asyncio.selector_events.BaseSelectorEventLoop
    real_connect = event_loop_class.sock_connect

    async def sock_connect(loop: Any, sock: Any, address: Any) -> None:
        if (fault := schedule.active_fault("connect_late")) and schedule.rng.random() < fault["share"]:
            await asyncio.sleep(fault["by"] * schedule.rng.random())
        await real_connect(loop, sock, address)

    socket.socket = FaultySocket
    builtins.open, os.rename = faulty_open, faulty_rename
    event_loop_class.sock_connect = sock_connect
    time.time = lambda: REAL_TIME() + schedule.clock_offset()


def main() -> int:
    with REAL_OPEN(os.environ["SOAK_FAULTS"], encoding="utf-8") as file:
        faults = json.load(file)
    install(FaultSchedule(faults, random.Random(os.getpid())))
    from bellrack.__main__ import main as balancer_main

    return balancer_main()


if __name__ == "__main__":
    sys.exit(main())
