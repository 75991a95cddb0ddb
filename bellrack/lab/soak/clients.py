"""Clients of a soak: each plays one `Demand` and records what it sent and what came back.

A record is an `Outcome`; times are seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from bellrack.lab.soak.plan import Demand

LATE_LINE_DELAY_SECONDS = (
    2.73  # seconds after connecting at which `late_line` writes: just before the idle close
)
LISTEN_AFTER_ANSWER_SECONDS = 0.5  # seconds that a client listens on after its answer
ANSWER_MARGIN_SECONDS = 1.2  # seconds beyond its deadline for which a client waits for its answer
PARTIAL_REQUEST_WAIT_SECONDS = 4.5  # seconds that a half request waits for its end
REQUEST_PIECES = 4


@dataclass
class Outcome:
    demand: Demand
    id: str
    address: tuple[str, int]
    port: int = 0  # of the client: the balancer's log names it where there is no request
    connected_at: float | None = None
    sent_at: float | None = None  # its last byte
    answers: list[tuple[float, str]] = field(default_factory=list)  # whole lines up to the final answer
    later_lines: list[tuple[float, str]] = field(
        default_factory=list
    )  # lines after it, of one that is up too
    ended_at: float | None = None  # the balancer ended the connection
    reset: bool = False
    closed_at: float | None = None  # the client closed it
    longest_missing_echo: float = 0.0  # longest time that a line of its own has been unanswered, in seconds

    @property
    def answer(self) -> str:
        return self.answers[0][1] if self.answers else ""

    @property
    def up(self) -> bool:
        return self.answer.startswith("UP ")


class Client:
    def __init__(self, demand: Demand, number: int, address: tuple[str, int]):
        self.demand, self.outcome = demand, Outcome(demand, f"{number:016x}", address)
        self.unechoed_lines: dict[str, float] = {}  # own lines without an echo

    def request_line(self) -> bytes:
        demand = self.demand
        values = f"c={demand.kind},t=acme,d={int(demand.wait_seconds * 1000)},g={demand.group:x}"
        return f"OPEN {self.outcome.id} {demand.group:016x} {values}\r\n".encode()

    async def run(self) -> Outcome:
        outcome = self.outcome
        try:
            self.reader, self.writer = await asyncio.open_connection(*outcome.address)
        except OSError:
            return outcome  # refused: nobody has taken it
        outcome.connected_at = time.monotonic()
        outcome.port = self.writer.get_extra_info("sockname")[1]
        try:
            await self.write_request()
            if self.demand.behaviour == "leaves":
                await self.leave()
            elif outcome.sent_at is not None:
                await self.read_answer()
        except OSError:
            outcome.reset = True
            outcome.ended_at = outcome.ended_at or time.monotonic()
        finally:
            self.writer.transport.abort()
        return outcome

    async def write_request(self) -> None:
        line, behaviour = self.request_line(), self.demand.behaviour
        if behaviour == "half":
            self.writer.write(line[: len(line) // 2])
            await self.read_line(PARTIAL_REQUEST_WAIT_SECONDS)
            await self.read_line(PARTIAL_REQUEST_WAIT_SECONDS)
            return
        if behaviour == "pinged":
            self.writer.write(b"PING\r\n")
            await self.read_line(1.0)
            await asyncio.sleep(LATE_LINE_DELAY_SECONDS - 1.0)
        elif behaviour == "late_line":
            await asyncio.sleep(LATE_LINE_DELAY_SECONDS)
        elif behaviour == "pieces":
            size = len(line) // REQUEST_PIECES
            for at in range(0, size * REQUEST_PIECES, size):
                self.writer.write(line[at : at + size])
                await asyncio.sleep(0.05)
            line = line[size * REQUEST_PIECES :] or b""
        if behaviour == "pipelines":
            line += line
        elif behaviour == "floods":
            line += line * 200
        self.writer.write(line)
        self.outcome.sent_at = time.monotonic()

    async def leave(self) -> None:
        if not await self.read_line(self.demand.leaves_after_seconds):
            self.outcome.closed_at = time.monotonic()
        else:
            self.outcome.closed_at = time.monotonic()
        self.writer.write_eof()

    async def read_line(self, seconds: float) -> str:
        """The next line, '' for none in this time; records the end of the connection."""
        try:
            line = await asyncio.wait_for(self.reader.readline(), max(0.001, seconds))
        except TimeoutError:
            return ""
        if not line:
            self.outcome.ended_at = self.outcome.ended_at or time.monotonic()
        text = line.decode().strip()
        if text and text != "PONG":
            self.outcome.answers.append((time.monotonic(), text))
        return text

    async def read_answer(self) -> None:
        outcome = self.outcome
        if not outcome.answers and not outcome.ended_at:
            await self.read_line(
                outcome.sent_at + self.demand.wait_seconds + ANSWER_MARGIN_SECONDS - time.monotonic()
            )
        del outcome.answers[1:]
        if outcome.up:
            await self.use_connection()
        elif outcome.answers:
            with contextlib.suppress(TimeoutError):
                while line := await asyncio.wait_for(self.reader.readline(), LISTEN_AFTER_ANSWER_SECONDS):
                    outcome.later_lines.append((time.monotonic(), line.decode().strip()))
                outcome.ended_at = time.monotonic()

    async def use_connection(self) -> None:
        """Send lines and take their echoes until it is time to go, or the balancer ends it."""
        outcome, number = self.outcome, 0
        end = time.monotonic() + self.demand.stay_seconds
        next_line = time.monotonic()
        pending = asyncio.ensure_future(self.reader.readline())
        while (now := time.monotonic()) < end:
            if now >= next_line:
                number, next_line = number + 1, now + self.demand.line_interval
                text = f"M {number}"
                self.unechoed_lines[text] = now
                self.writer.write(text.encode() + b"\r\n")
            await asyncio.wait([pending], timeout=max(0.001, min(end, next_line) - now))
            if not pending.done():
                self.update_longest_missing_echo()
                continue
            line = pending.result()
            if not line:
                outcome.ended_at = time.monotonic()
                self.update_longest_missing_echo()
                return
            text = line.decode().strip()
            self.unechoed_lines.pop(text, None)
            outcome.later_lines.append((time.monotonic(), text))
            pending = asyncio.ensure_future(self.reader.readline())
        self.update_longest_missing_echo()
        pending.cancel()
        outcome.closed_at = time.monotonic()

    def update_longest_missing_echo(self) -> None:
        now = time.monotonic()
        longest = max((now - when for when in self.unechoed_lines.values()), default=0.0)
        self.outcome.longest_missing_echo = max(self.outcome.longest_missing_echo, longest)
