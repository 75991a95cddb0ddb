"""The event trace of a run: what clients, servers, the list and the network saw, in order of time.

Owns the kinds of entries and their fields. It is written by the world alone, never by the books of a host,
and holds all that the referee may judge by. An entry is a tuple of its time (seconds), its kind and its
fields.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

FIELDS = {
    # balancers
    "start": "balancer incarnation",
    "stop": "balancer how",
    "fault": "balancer what",
    # what a balancer has been told of a server: state and start, as listed
    "told": "balancer server state",
    # a connection that stood before the run
    "stood": "call balancer server",
    # calls: taken by a balancer; answered; nobody waits any more; ended for the client after it stood
    "call": "call balancer request type guard",
    "answer": "call how wait",
    "gone": "call",
    "over": "call how",
    # legs: sent; reached the server; took effect there; the balancer was told of its end
    "leg": "call number balancer server",
    "work": "server call work demand capacity",
    "ran": "call number server",
    "back": "call number kind",
    # servers: cold, drain, down, fell, hang
    "server": "server what",
    # the script
    "trouble": "what",
}


class Trace:
    def __init__(self) -> None:
        self.entries: list[tuple] = []

    def add(self, now: float, kind: str, *fields: object) -> None:
        self.entries.append((now, kind, *fields))

    def write(self, path: str | Path) -> None:
        """One JSON array a line, headed by the names of the fields."""
        encoder = msgspec.json.Encoder()
        with open(path, "wb") as file:
            file.write(encoder.encode({"trace": 1, "fields": FIELDS}) + b"\n")
            for entry in self.entries:
                file.write(encoder.encode(entry) + b"\n")


def read_trace(path: str | Path) -> list[tuple]:
    """The entries of a written trace. Raises ValueError for what is none."""
    with open(path, "rb") as file:
        head = msgspec.json.decode(file.readline())
        if not isinstance(head, dict) or head.get("trace") != 1:
            raise ValueError(f"{path}: no trace of version 1")
        return [tuple(msgspec.json.decode(line)) for line in file]
