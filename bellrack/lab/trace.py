"""The event trace of a run: what clients, servers, discovery and the network observed, in order of time.

The simulated world writes it, independently of the bookkeeping of balancers; the rule checker uses nothing
else of a run. An entry is a tuple of its time (seconds), its kind and the fields listed in FIELDS.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

FIELDS = {
    # balancers
    "start": "balancer incarnation",
    "stop": "balancer how",
    "fault": "balancer what",
    # discovery told a balancer the state of a server
    "told": "balancer server state",
    # a connection that was established before the run
    "stood": "call balancer server",
    # calls: received by a balancer; answered; the client left before the answer; an established connection
    # ended for the client
    "call": "call balancer request type guard",
    "answer": "call how wait",
    "gone": "call",
    "over": "call how",
    # legs: sent; reached the server; took effect there; the balancer learned of its end
    "leg": "call number balancer server",
    "work": "server call work demand capacity",
    "ran": "call number server",
    "back": "call number kind",
    # servers; `what` is cold, drain, down, fell or hang
    "server": "server what",
    # a trouble of the scenario began; `what` is its kind
    "trouble": "what",
}


class Trace:
    """The entries of a run."""

    def __init__(self) -> None:
        self.entries: list[tuple] = []

    def add(self, now: float, kind: str, *fields: object) -> None:
        """Adds an entry; the fields are those of FIELDS, in their order."""
        self.entries.append((now, kind, *fields))

    def write(self, path: str | Path) -> None:
        """Writes one JSON array a line, after a first line with the version and the names of the fields."""
        encoder = msgspec.json.Encoder()
        with open(path, "wb") as file:
            file.write(encoder.encode({"trace": 1, "fields": FIELDS}) + b"\n")
            for entry in self.entries:
                file.write(encoder.encode(entry) + b"\n")


def read_trace(path: str | Path) -> list[tuple]:
    """Reads the entries of a trace file. Raises ValueError if it is no trace of version 1."""
    with open(path, "rb") as file:
        header = msgspec.json.decode(file.readline())
        if not isinstance(header, dict) or header.get("trace") != 1:
            raise ValueError(f"{path}: no trace of version 1")
        return [tuple(msgspec.json.decode(line)) for line in file]
