"""The figures that operators are shown, and what each counts.

Owns their names and their form. It never counts: it reads the counters, the books and the decisions as they
are when it is asked.
"""

from __future__ import annotations

from typing import Any

from bellrack import model

BY_TYPE = ("completed", "rejected", "failed")
PLAIN = ("upstream_requests", "config_reloads", "config_reload_errors")


def collect(node: Any) -> dict[str, int]:
    """All figures by name, our other counters after them. A type that has vanished keeps its counts."""
    counted = node.counters
    parts = [name.partition(".") for name in counted]
    seen = [kind for what, dot, kind in parts if dot and what in BY_TYPE]
    names = dict.fromkeys([*node.names.types, *seen])
    figures = {f"{what}.{name}": counted[f"{what}.{name}"] for name in names for what in BY_TYPE}
    figures |= {name: counted[name] for name in PLAIN}
    listed = [server for server in node.servers.values() if server.state != model.GONE]
    figures["pending"] = sum(client.call is not None and not client.closed for client in node.clients)
    figures["members"] = len(listed)
    figures["members_unavailable"] = sum(map(node.balancer.avoids, listed))
    return figures | {name: counted[name] for name in sorted(counted) if name not in figures}


def text(figures: dict[str, int]) -> str:
    return "".join(f"{name}={value}\n" for name, value in figures.items())
