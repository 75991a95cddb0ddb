"""What is counted of each balancer and of discovery, and how it is told a role at a time.

Owns the counters and the sums over roles. Counts follow from the plan and its seed alone; processor time and
memory are measurements, and are kept apart from counts. It never plays anything.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from bellrack.peers import aggregation

HEADER_BYTES = 28  # bytes of IP and UDP before a datagram's payload
BUDGET_BYTES_PER_SECOND = 3000.0  # a second: 3 KB, in and out together, datagrams with their heads, and lists
BUDGET_CORE_SHARE = 0.037
BUDGET_MEMORY_MB = 64.0  # MB
COUNTS = (
    "in_datagrams",
    "in_bytes",
    "out_datagrams",
    "out_bytes",
    "fan_datagrams",
    "fan_bytes",
    "records_in",
    "records_out",
    "list_in",
    "list_out",
    "list_lines",
    "steps",
)


class Measurements:
    """Of one balancer. `out` is what it hands to the network; `fan` the same once for each receiver, as a
    broadcast has many; `list` are bytes of its calls of discovery, HTTP included."""

    __slots__ = (*COUNTS, "cpu_ns", "longest_turn_ns", "broadcasts", "forms")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        for name in COUNTS:
            setattr(self, name, 0)
        self.cpu_ns = self.longest_turn_ns = 0  # nanoseconds of processor time
        self.broadcasts = 0
        self.forms: Counter = Counter()  # datagrams handed over, by first byte

    def count_sent(self, data: bytes, receivers: int, broadcast: bool) -> None:
        self.out_datagrams += 1
        self.out_bytes += len(data)
        self.fan_datagrams += receivers
        self.fan_bytes += receivers * len(data)
        self.records_out += records(data)
        self.broadcasts += broadcast
        self.forms[data[0] if data else -1] += 1

    def count_received(self, data: bytes) -> None:
        self.in_datagrams += 1
        self.in_bytes += len(data)
        self.records_in += records(data)

    def count_turn(self, spent: int) -> None:
        """A turn took so many nanoseconds of processor time."""
        self.cpu_ns += spent
        if spent > self.longest_turn_ns:
            self.longest_turn_ns = spent


def records(data: bytes) -> int:
    """Of a datagram in a form whose records are of one size; of another, none."""
    form = data[0] if data else -1
    if form in (aggregation.REPORT, aggregation.BROADCAST):
        return (len(data) - 1) // 3
    return (len(data) - 1) // 4 if form in (aggregation.GROUPS, aggregation.PLACEMENTS) else 0


class DiscoveryMeasurements:
    """Figures of the stand-in for discovery."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        self.watches = self.fetches = self.lines = self.bytes_in = self.bytes_out = 0
        self.cpu_ns = self.longest_turn_ns = 0


def role_counts(members: Iterable[Measurements], seconds: float) -> dict[str, Any]:
    """Counts of one role: in all, by balancer and second on the mean, and the most of one balancer."""
    members = list(members)
    told: dict[str, Any] = {"balancers": len(members)}
    if not members:
        return told
    forms = sum((figures.forms for figures in members), Counter())
    totals = {name: sum(getattr(figures, name) for figures in members) for name in COUNTS}
    share = len(members) * seconds
    told["total"] = totals
    told["forms"] = {str(form): count for form, count in sorted(forms.items())}
    told["each_second"] = {name: round(total / share, 3) for name, total in totals.items()}
    told["most"] = {name: max(getattr(figures, name) for figures in members) for name in COUNTS}
    told["wire"] = {
        "in": round(wire(totals["in_bytes"], totals["in_datagrams"], totals["list_in"]) / share, 3),
        "out": round(wire(totals["out_bytes"], totals["out_datagrams"], totals["list_out"]) / share, 3),
        "fan": round(wire(totals["fan_bytes"], totals["fan_datagrams"], totals["list_out"]) / share, 3),
        "most": round(max(both_ways(figures) for figures in members) / seconds, 3),
    }
    return told


def wire(payload: int, datagrams: int, lists: int) -> int:
    return payload + HEADER_BYTES * datagrams + lists


def both_ways(figures: Measurements) -> int:
    """Bytes in and out with heads; a broadcast counts once for each receiver, as somebody sends them all."""
    return wire(figures.in_bytes, figures.in_datagrams, figures.list_in) + wire(
        figures.fan_bytes, figures.fan_datagrams, figures.list_out
    )


def processor_times(members: Iterable[Measurements], seconds: float) -> dict[str, float | None]:
    """Processor time of one role: the share of a core by balancer, the most of one, the longest turn; none
    where nobody timed turns."""
    members = list(members)
    if not members:
        return {}
    return {
        "core": sum(figures.cpu_ns for figures in members) / len(members) / seconds / 1e9,
        "core_most": max(figures.cpu_ns for figures in members) / seconds / 1e9,
        "longest_turn": max(figures.longest_turn_ns for figures in members) / 1e9 or None,
    }


def by_role(every: list[Measurements]) -> dict[str, list[Measurements]]:
    """By what they did: who broadcast while it was counted speaks for others; the busiest is whoever had most
    bytes in and out, whatever the mechanism."""
    return {
        "plain": [figures for figures in every if not figures.broadcasts],
        "aggregator": [figures for figures in every if figures.broadcasts],
        "busiest": [max(every, key=both_ways)] if every else [],
    }


def budgets(counts: dict[str, Any], times: dict[str, Any], memory_mb: float | None) -> list[dict[str, Any]]:
    """Each role against what a balancer may spend on control."""
    rows = []
    for name in ("plain", "aggregator", "busiest"):
        if counts[name].get("total"):
            rows.append(
                {
                    "role": name,
                    "what": "bytes a second",
                    "value": counts[name]["wire"]["most"],
                    "budget": BUDGET_BYTES_PER_SECOND,
                }
            )
            rows.append(
                {"role": name, "what": "core", "value": times[name]["core_most"], "budget": BUDGET_CORE_SHARE}
            )
    if memory_mb is not None:
        rows.append({"role": "plain", "what": "memory MB", "value": memory_mb, "budget": BUDGET_MEMORY_MB})
    for row in rows:
        row["ratio"] = row["value"] / row["budget"]
        row["over"] = row["value"] > row["budget"]
    return rows
