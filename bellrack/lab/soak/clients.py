"""Clients of a soak: each sends one request (`plan.Demand`) and records what it sent and received.

The record is an `Outcome`; times are seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from bellrack.lab.soak.plan import Demand

# `late_line` writes this long after connecting: just before the balancer closes an idle connection.
LATE_LINE_DELAY_SECONDS = 2.73
LISTEN_AFTER_ANSWER_SECONDS = 0.5  # for lines after the final answer
ANSWER_MARGIN_SECONDS = 1.2  # for this long after its deadline, a client still waits for its answer
PARTIAL_REQUEST_WAIT_SECONDS = 4.5  # the balancer has to end the connection of a partial request earlier
REQUEST_PIECES = 4  # parts in which the behaviour "pieces" sends its request


@dataclass
class LineTimes:
    """When a line was sent, and when its echo came; None if it did not."""

    sent: float
    echoed: float | None = None


@dataclass
class Outcome:
    """What happened to one request. A time is None if the event did not happen."""

    demand: Demand
    id: str
    address: tuple[str, int]
    port: int = 0  # of the client; the balancer's log has it where a connection brought no request
    connected_at: float | None = None
    sent_at: float | None = None  # time of the last byte
    answers: list[tuple[float, str]] = field(default_factory=list)  # lines up to the final answer
    later_lines: list[tuple[float, str]] = field(default_factory=list)  # lines after the final answer
    ended_at: float | None = None  # when the balancer ended the connection
    reset: bool = False
    closed_at: float | None = None  # when the client closed the connection
    longest_missing_echo: float = 0.0  # longest wait for the echo of a line, in seconds
    lines: dict[str, LineTimes] = field(default_factory=dict)  # on the established connection, by their text

    @property
    def answer(self) -> str:
        """The final answer, or an empty string."""
        return self.answers[0][1] if self.answers else ""

    @property
    def up(self) -> bool:
        """Whether the request was accepted, so that the connection is established."""
        return self.answer.startswith("UP ")


class Client:
    """Sends one request and uses the connection. The behaviours of `plan.BEHAVIOUR_WEIGHTS`:

    - `plain`: sends its request line at once, reads the answer and uses the connection
    - `pieces`: sends the line in REQUEST_PIECES parts
    - `leaves`: closes its sending side soon after the request
    - `half`: sends half of the line and waits until the balancer ends the connection
    - `late_line`: sends the line just before the balancer would close the idle connection
    - `pinged`: sends PING first, and the line nearly two seconds later or more
    - `pipelines`: sends the line twice at once
    - `floods`: sends the line 200 times at once
    """

    def __init__(self, demand: Demand, number: int, address: tuple[str, int]):
        self.demand, self.outcome = demand, Outcome(demand, f"{number:016x}", address)
        self.unechoed_lines: dict[str, float] = {}  # sent lines without an echo, with the time of each

    def request_line(self) -> bytes:
        """Return the OPEN line of the request."""
        demand = self.demand
        values = f"c={demand.kind},t=acme,d={int(demand.wait_seconds * 1000)},g={demand.group:x}"
        return f"OPEN {self.outcome.id} {demand.group:016x} {values}\r\n".encode()

    async def run(self) -> Outcome:
        """Connect, send the request and use the connection to its end."""
        outcome = self.outcome
        try:
            self.reader, self.writer = await asyncio.open_connection(*outcome.address)
        except OSError:
            return outcome  # the connection was refused, so no balancer has the request
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
        """Send the request line as the behaviour says."""
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
            for offset in range(0, size * REQUEST_PIECES, size):
                self.writer.write(line[offset : offset + size])
                await asyncio.sleep(0.05)
            line = line[size * REQUEST_PIECES :] or b""
        if behaviour == "pipelines":
            line += line
        elif behaviour == "floods":
            line += line * 200
        self.writer.write(line)
        self.outcome.sent_at = time.monotonic()

    async def leave(self) -> None:
        """Close the sending side after an answer or after `leaves_after_seconds`."""
        if not await self.read_line(self.demand.leaves_after_seconds):
            self.outcome.closed_at = time.monotonic()
        else:
            self.outcome.closed_at = time.monotonic()
        self.writer.write_eof()

    async def read_line(self, seconds: float) -> str:
        """Return the next line, or an empty string after this time; record it as an answer.

        Also records the end of the connection.
        """
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
        """Wait for the final answer; then use the connection, or record the lines after a refusal."""
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
        """Send lines and read their echoes for `stay_seconds` or until the balancer ends the connection."""
        outcome, number = self.outcome, 0
        end = time.monotonic() + self.demand.stay_seconds
        next_line = time.monotonic()
        pending = asyncio.ensure_future(self.reader.readline())
        while (now := time.monotonic()) < end:
            if now >= next_line:
                number, next_line = number + 1, now + self.demand.line_interval
                text = f"M {number}"
                self.unechoed_lines[text] = now
                outcome.lines[text] = LineTimes(now)
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
            if self.unechoed_lines.pop(text, None):
                outcome.lines[text].echoed = time.monotonic()
            outcome.later_lines.append((time.monotonic(), text))
            pending = asyncio.ensure_future(self.reader.readline())
        self.update_longest_missing_echo()
        pending.cancel()
        outcome.closed_at = time.monotonic()

    def update_longest_missing_echo(self) -> None:
        """Update the longest wait with the lines that have no echo yet."""
        now = time.monotonic()
        longest = max((now - sent for sent in self.unechoed_lines.values()), default=0.0)
        self.outcome.longest_missing_echo = max(self.outcome.longest_missing_echo, longest)
