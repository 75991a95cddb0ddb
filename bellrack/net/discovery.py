"""The list of servers, over HTTP/1.1.

Owns the questions to the list service: one standing watch and single fetches, each on a connection of its
own, and the change to another address of that service. It never decides when to ask where the decisions do,
never keeps the list, and takes silence for failure.
"""
from __future__ import annotations

from typing import Any

from bellrack.net import lines
from bellrack.net.servers import Outgoing

SILENT = 4.5  # seconds without a whole line: an empty one comes every 2 s
LOOK = 0.25  # seconds between looks for that
AGAIN = 0.25  # of the grace of a drain: where lists are pushed a change counts as told while no watch is open


class Question(Outgoing):
    """One call of the list service."""

    side = "discovery"
    leads = True  # list changes go first in a batch

    def __init__(self, node: Any, address: tuple[str, int], watch: bool):
        super().__init__(node)
        self.address, self.watch = address, watch
        self.reply, self.body, self.asked, self.heard = lines.Answer(), b"", False, node.now
        self.objects, self.begun = lines.Objects(), False
        self.open(address, SILENT)
        if not watch:
            self.lasts(SILENT, self.fail, "fetch-silent")  # a watch is looked after for as long as it lasts

    def ready(self) -> None:
        if not self.asked and not self.ended:
            self.asked = True
            query = f"?watch=1&after={self.node.version}" if self.watch else ""
            self.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {lines.written(self.address)}\r\n"
                       f"Accept: application/json\r\n\r\n".encode())
        begun = self.reply.status
        try:
            while self.ring.held and not self.over:
                self.body += self.reply.feed(self.ring.take(self.ring.held))
                if len(self.body) > lines.MOST:
                    raise lines.LineError("too-long")
            if self.reply.status != begun:
                # Once: guards against a watch taken for silent since its call had to wait for its turn.
                self.heard = self.node.now
            if self.reply.status not in (0, 200):
                self.fail(f"status-{self.reply.status}")
            elif self.watch:
                self.changes()
            elif self.reply.done or self.ended == "fin" and self.reply.left is None and self.reply.status:
                self.finish("fetched")
                if self.address == self.node.discovery.address:
                    self.node.learn(lines.listing(lines.parsed(self.body)), fetched=True)
        except lines.LineError as error:
            self.fail(str(error).partition(":")[0])
        if self.ended or self.reply.done:
            self.fail(f"list-{self.ended or 'done'}")

    def changes(self) -> None:
        while b"\n" in self.body and not self.over:
            line, end, self.body = self.body.partition(b"\n")
            if news := self.objects.feed(line + end):
                news = lines.listing(news)
                self.node.discovery.told(self)
                self.node.learn(news, counts=self is not self.node.discovery.former)
            elif self.objects.whole and not self.begun:
                self.node.confirmed()  # it stands and has nothing new
            self.begun = True
            if self.objects.whole:
                # Guards against a watch kept alive by bytes that never make a line, or lines that never make
                # an object: what it would have to tell counts as told all the same.
                self.heard = self.node.now

    def fail(self, reason: str) -> None:
        if not self.over:
            self.stop(reason)
            self.node.discovery.failed(self)

    def stop(self, reason: str) -> None:
        """No longer wanted."""
        self.drop()
        self.finish(reason, "rst")


class Discovery:
    """The watch, while one stands or is asked for, and fetches."""

    def __init__(self, node: Any, address: tuple[str, int]):
        self.node, self.address = node, address
        self.standing: Question | None = None
        self.former: Question | None = None  # of the address before, until the new one has told its list

    def watch(self, on: bool = True) -> None:
        if on and self.standing:
            return  # guards against a late retry that ends the watch which a change of address has brought
        self.end("watch-ended")
        if on:
            self.standing = Question(self.node, self.address, True)

    def end(self, reason: str) -> None:
        if self.standing:
            self.standing.stop(reason)
            self.standing = None

    def fetch(self) -> None:
        Question(self.node, self.address, False)

    def move(self, address: tuple[str, int]) -> None:
        """Another address from now on. Its versions are its own, so the first list is asked for whole; till
        it has come, the watch at the old address tells what it still has to."""
        self.address, self.node.version = address, 0
        if self.standing and self.standing.reply.status:
            self.former, self.standing = self.standing, self.former
        self.end("watch-replaced")
        self.watch()

    def told(self, question: Question) -> None:
        """A watch brings news. The first of a new address replaces the old one's."""
        if question is self.standing and self.former:
            self.former.stop("watch-replaced")
            self.former = None

    def failed(self, question: Question) -> None:
        if question is self.former:
            self.former = None  # expected, so not a failure of the list
            return
        if question is self.standing:
            self.standing = None
            if not self.node.settings.asks:  # changes come unasked there, so the host holds the watch
                self.node.after(AGAIN * self.node.settings.drain_grace, self.watch)
        self.node.unlisted()

    def look(self) -> None:
        """A watch that is cut off says nothing. One that had been answered is renewed at once: guards against
        a drain that is told meanwhile and counts as heard 6 s later. One that never was has failed."""
        self.node.after(LOOK, self.look)
        if self.former and self.node.now - self.former.heard > SILENT:
            self.former.fail("watch-silent")
        if self.standing and self.node.now - self.standing.heard > SILENT:
            if self.standing.reply.status:
                self.end("watch-silent")
                self.watch()
            else:
                self.standing.fail("watch-silent")
