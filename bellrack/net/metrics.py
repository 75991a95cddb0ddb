"""The metrics that operators see: their names, their values and their text form.

Nothing is counted here: values are read from the counters and the balancer when they are asked for.
"""

from __future__ import annotations

from typing import Any

from bellrack import model

BY_TYPE = ("completed", "rejected", "failed")  # outcomes that are counted by traffic type
ALWAYS_SHOWN = ("upstream_requests", "config_reloads", "config_reload_errors")


def collect(node: Any) -> dict[str, int]:
    """Return all metrics by name: the documented ones first, then all other counters.

    A traffic type that is no longer configured keeps its counts."""
    counters = node.counters
    parts = [name.partition(".") for name in counters]
    counted_types = [kind for outcome, dot, kind in parts if dot and outcome in BY_TYPE]
    types = dict.fromkeys([*node.names.types, *counted_types])
    metrics = {f"{outcome}.{name}": counters[f"{outcome}.{name}"] for name in types for outcome in BY_TYPE}
    metrics |= {name: counters[name] for name in ALWAYS_SHOWN}
    listed = [server for server in node.servers.values() if server.state != model.GONE]
    metrics["pending"] = sum(client.call is not None and not client.closed for client in node.clients)
    metrics["members"] = len(listed)
    metrics["members_unavailable"] = sum(map(node.balancer.avoids, listed))
    return metrics | {name: counters[name] for name in sorted(counters) if name not in metrics}


def text(metrics: dict[str, int]) -> str:
    """Return metrics as lines `name=value`."""
    return "".join(f"{name}={value}\n" for name, value in metrics.items())
