"""What the two ends of a client's way, its own connection and that to a server, may ask of each other."""

from __future__ import annotations

from typing import Protocol

from bellrack.model import Leg
from bellrack.net.lines import RequestLine


class ClientEnd(Protocol):
    """A client's connection, as the connection to its server knows it."""

    request_line: RequestLine  # its first line
    server_connection: ServerEnd | None  # the attempt that is out, or stands
    closed: bool
    remote_end: str  # how the client ended it; empty while it has not
    blocked: bool  # it takes nothing at present
    answered: bool  # its final answer is written

    def process(self) -> None: ...
    def wake(self) -> None: ...
    def write(self, data: bytes) -> None: ...
    def write_final(self, line: bytes) -> None: ...
    def abandon_if_closed(self) -> None: ...
    def count_outcome(self, outcome: str) -> None: ...
    def move(self, reason: str, kind: str = ...) -> None: ...
    def finish(self, reason: str, how: str = ...) -> None: ...


class ServerEnd(Protocol):
    """The connection of one attempt to a server, as its client's connection knows it."""

    leg: Leg
    request_sent: bool  # the first line has gone out

    def end(self, kind: str, reason: str, how: str = ...) -> None: ...
