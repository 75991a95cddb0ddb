"""The list of servers, over HTTP/1.1.

Owns the questions to the list service: one standing watch and single fetches, each on a connection of its
own. It never decides when to ask where the decisions do, never keeps the list, and takes silence for failure.
"""
from __future__ import annotations

from typing import Any

from bellrack.net import lines
from bellrack.net.servers import Outgoing

SILENT = 4.5  # seconds without a byte: an empty line comes every 2 s
LOOK = 0.5  # seconds between looks for that
AGAIN = 1.0  # seconds to a new watch where the decisions do not ask for one


class Question(Outgoing):
    """One call of the list service."""

    side = "discovery"
    leads = True  # list changes go first in a batch

    def __init__(self, node: Any, address: tuple[str, int], watch: bool):
        super().__init__(node)
        self.host, self.watch = lines.written(address), watch
        self.reply, self.body, self.asked, self.heard = lines.Answer(), b"", False, node.now
        self.open(address, SILENT)

    def ready(self) -> None:
        self.heard = self.node.now
        if not self.asked and not self.ended:
            self.asked = True
            query = f"?watch=1&after={self.node.version}" if self.watch else ""
            self.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {self.host}\r\n"
                       f"Accept: application/json\r\n\r\n".encode())
        try:
            while self.ring.held and not self.over:
                self.body += self.reply.feed(self.ring.take(self.ring.held))
                if len(self.body) > lines.MOST:
                    raise lines.LineError("too-long")
            if self.reply.status not in (0, 200):
                self.fail(f"status-{self.reply.status}")
            elif self.watch:
                self.changes()
            elif self.reply.done or self.ended == "fin" and self.reply.left is None and self.reply.status:
                self.finish("fetched")
                self.node.learn(lines.listing(lines.parsed(self.body)), fetched=True)
        except lines.LineError as error:
            self.fail(str(error).partition(":")[0])
        if self.ended or self.reply.done:
            self.fail(f"list-{self.ended or 'done'}")

    def changes(self) -> None:
        while b"\n" in self.body and not self.over:
            line, _, self.body = self.body.partition(b"\n")
            if line.strip():
                self.node.learn(lines.listing(lines.parsed(line)))

    def fail(self, reason: str) -> None:
        if not self.over:
            self.drop()
            self.finish(reason, "rst")
            self.node.unlisted(self)


class Discovery:
    """The watch, while one stands or is asked for, and fetches."""

    def __init__(self, node: Any, address: tuple[str, int]):
        self.node, self.address = node, address
        self.standing: Question | None = None

    def watch(self, on: bool = True) -> None:
        if self.standing:
            self.standing.finish("watch-renewed" if on else "watch-ended", "rst")
        self.standing = Question(self.node, self.address, True) if on else None

    def fetch(self) -> None:
        Question(self.node, self.address, False)

    def failed(self, question: Question) -> None:
        if question is self.standing:
            self.standing = None
            if not self.node.settings.asks:  # changes come unasked there, so the host holds the watch
                self.node.after(AGAIN, self.watch)

    def look(self) -> None:
        """A watch that is cut off says nothing. One that had been answered is renewed at once: guards against
        a drain that is told meanwhile and counts as heard 6 s later. One that never was has failed."""
        self.node.after(LOOK, self.look)
        if self.standing and self.node.now - self.standing.heard > SILENT:
            if self.standing.reply.status:
                self.watch()
            else:
                self.standing.fail("watch-silent")
