"""What the client connection and the server connection of one call use of each other."""

from __future__ import annotations

from typing import Protocol

from bellrack.model import Leg
from bellrack.net.lines import RequestLine


class ClientEnd(Protocol):
    """The client's connection, as seen by the connection to its server."""

    request_line: RequestLine
    server_connection: ServerEnd | None  # of the current attempt, or established
    closed: bool  # closed by this process
    remote_end: str  # how the client closed it, "fin" or "rst"; empty while the client has not
    blocked: bool  # the write buffer is full
    answered: bool  # the final answer has been written

    def process(self) -> None: ...
    def wake(self) -> None: ...
    def write(self, data: bytes) -> None: ...
    def write_final(self, line: bytes) -> None: ...
    def abandon_if_closed(self) -> None: ...
    def count_outcome(self, outcome: str) -> None: ...
    def move(self, reason: str, kind: str = ...) -> None: ...
    def finish(self, reason: str, how: str = ...) -> None: ...


class ServerEnd(Protocol):
    """The connection of one attempt to a server, as seen by its client's connection."""

    leg: Leg
    request_sent: bool
    announced_end: str  # result announced by the server's last line; empty before

    def on_connection_ended(self) -> None: ...
    def on_lines_sent(self, count: int) -> None: ...

    def end(self, kind: str, reason: str, how: str = ...) -> None: ...
