"""What is counted and measured of each balancer and of discovery, and the summary of each role.

Defines the counters and sums them over the balancers of a role. Counts follow from the plan and its seed
alone; processor time and memory are measured, and are kept apart from the counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from bellrack.peers import aggregation

HEADER_BYTES = 28  # of IP and UDP, per datagram
BUDGET_BYTES_PER_SECOND = 3000.0  # in and out together: datagrams with their headers, and lists
BUDGET_CORE_SHARE = 0.037  # of one core
BUDGET_MEMORY_MB = 64.0
# Names of attributes of `Measurements`, and of keys of a result.
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
    """Counts and processor time of one balancer.

    `out_*` is what it passes to the network; `fan_*` is the same, with a broadcast counted once per receiver.
    `list_in` and `list_out` are bytes of its discovery requests with HTTP, `list_lines` messages received,
    `steps` calls that its turns ran.
    """

    __slots__ = (*COUNTS, "cpu_ns", "longest_turn_ns", "broadcasts", "datagram_kinds")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        for name in COUNTS:
            setattr(self, name, 0)
        self.cpu_ns = self.longest_turn_ns = 0  # of processor time
        self.broadcasts = 0
        self.datagram_kinds: Counter = Counter()  # sent datagrams by their first byte

    def count_sent(self, data: bytes, receivers: int, broadcast: bool) -> None:
        """Counts a datagram that was sent to so many receivers."""
        self.out_datagrams += 1
        self.out_bytes += len(data)
        self.fan_datagrams += receivers
        self.fan_bytes += receivers * len(data)
        self.records_out += record_count(data)
        self.broadcasts += broadcast
        self.datagram_kinds[data[0] if data else -1] += 1

    def count_received(self, data: bytes) -> None:
        """Counts a received datagram."""
        self.in_datagrams += 1
        self.in_bytes += len(data)
        self.records_in += record_count(data)

    def count_turn(self, spent_ns: int) -> None:
        """Adds the processor time of a turn."""
        self.cpu_ns += spent_ns
        if spent_ns > self.longest_turn_ns:
            self.longest_turn_ns = spent_ns


def record_count(data: bytes) -> int:
    """Number of records in a datagram; 0 for a kind whose records vary in size."""
    kind = data[0] if data else -1
    if kind in (aggregation.REPORT, aggregation.BROADCAST):
        return (len(data) - 1) // 3
    return (len(data) - 1) // 4 if kind in (aggregation.GROUPS, aggregation.PLACEMENTS) else 0


class DiscoveryMeasurements:
    """Counts and processor time of the discovery stub: watches begun, single lists fetched, messages sent."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        self.watches = self.fetches = self.lines = self.bytes_in = self.bytes_out = 0
        self.cpu_ns = self.longest_turn_ns = 0


def role_counts(members: Iterable[Measurements], seconds: float) -> dict[str, Any]:
    """Counts of one role: the totals, the mean per balancer and second, and the maximum of one balancer."""
    members = list(members)
    result: dict[str, Any] = {"balancers": len(members)}
    if not members:
        return result
    datagram_kinds = sum((measurements.datagram_kinds for measurements in members), Counter())
    totals = {name: sum(getattr(measurements, name) for measurements in members) for name in COUNTS}
    balancer_seconds = len(members) * seconds
    result["total"] = totals
    result["forms"] = {str(kind): count for kind, count in sorted(datagram_kinds.items())}
    result["each_second"] = {name: round(total / balancer_seconds, 3) for name, total in totals.items()}
    result["most"] = {name: max(getattr(measurements, name) for measurements in members) for name in COUNTS}
    result["wire"] = {
        "in": round(
            wire_bytes(totals["in_bytes"], totals["in_datagrams"], totals["list_in"]) / balancer_seconds, 3
        ),
        "out": round(
            wire_bytes(totals["out_bytes"], totals["out_datagrams"], totals["list_out"]) / balancer_seconds, 3
        ),
        "fan": round(
            wire_bytes(totals["fan_bytes"], totals["fan_datagrams"], totals["list_out"]) / balancer_seconds, 3
        ),
        "most": round(max(total_wire_bytes(measurements) for measurements in members) / seconds, 3),
    }
    return result


def wire_bytes(payload_bytes: int, datagrams: int, list_bytes: int) -> int:
    """Bytes of datagrams with their headers, and of discovery requests."""
    return payload_bytes + HEADER_BYTES * datagrams + list_bytes


def total_wire_bytes(measurements: Measurements) -> int:
    """Bytes in and out with headers. A broadcast counts once for each receiver: each copy must be sent."""
    return wire_bytes(measurements.in_bytes, measurements.in_datagrams, measurements.list_in) + wire_bytes(
        measurements.fan_bytes, measurements.fan_datagrams, measurements.list_out
    )


def processor_times(members: Iterable[Measurements], seconds: float) -> dict[str, float | None]:
    """Processor time of one role: the mean share of a core, the maximum of one balancer, and the longest turn
    in seconds, None if turns were not timed."""
    members = list(members)
    if not members:
        return {}
    return {
        "core": sum(measurements.cpu_ns for measurements in members) / len(members) / seconds / 1e9,
        "core_most": max(measurements.cpu_ns for measurements in members) / seconds / 1e9,
        "longest_turn": max(measurements.longest_turn_ns for measurements in members) / 1e9 or None,
    }


def by_role(balancers: list[Measurements]) -> dict[str, list[Measurements]]:
    """Groups balancers by what they did: one that broadcast while counts were taken is an aggregator. The
    busiest is the one with most bytes in and out, whatever the mechanism between balancers."""
    return {
        "plain": [measurements for measurements in balancers if not measurements.broadcasts],
        "aggregator": [measurements for measurements in balancers if measurements.broadcasts],
        "busiest": [max(balancers, key=total_wire_bytes)] if balancers else [],
    }


def budgets(counts: dict[str, Any], times: dict[str, Any], memory_mb: float | None) -> list[dict[str, Any]]:
    """Compares each role with the budget of a balancer for control traffic and its processing."""
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
