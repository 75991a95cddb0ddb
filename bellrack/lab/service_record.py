"""What a run earned: demands and service by traffic type, tenant and time, and the figures made of them.

Owns the counts and the summary with its field names (docs/lab.md). It judges no rule, and all that it sums is
whole numbers until the last step, so that no machine's order of adding shows in a result.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import numpy
from hdrh.histogram import HdrHistogram

from bellrack.lab.event_queue import START

if TYPE_CHECKING:
    from bellrack.lab.clients import Demand
    from bellrack.lab.node import LegRecord
    from bellrack.lab.scenario import Scenario

SAMPLE_SECONDS = 0.25  # seconds between looks at who is served
WORST_WINDOW_SECONDS = 10.0  # seconds of the worst window
MAX_SETUP_MICROSECONDS = 600_000_000  # microseconds: the longest set-up that the histogram tells apart


def setup_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_SETUP_MICROSECONDS, 3)


def percentiles(times: HdrHistogram) -> dict[str, float | None]:
    """Seconds; None for each where nothing was recorded."""

    def at(share: float) -> float | None:
        return round(times.get_value_at_percentile(share) / 1e6, 6) if times.get_total_count() else None

    return {"p50": at(50), "p90": at(90), "p99": at(99), "max": at(100)}


class ServiceRecord:
    def __init__(self, scenario: Scenario, machines: list):
        self.scenario = scenario
        self.machine_index = {machine: number for number, machine in enumerate(machines)}
        shape = len(scenario.type), max(1, len(scenario.tenant))
        self.demanded = numpy.zeros(shape, numpy.int64)
        self.held = numpy.zeros((len(machines), *shape), numpy.int64)
        self.samples: list[tuple[numpy.ndarray, numpy.ndarray]] = []  # a look: wanted and served
        self.open_connections: list[list[int]] = []  # each second: connections, by server
        self.set_up = setup_histogram()
        self.in_time = self.set_ups = 0  # set-ups within their target, of those wanted

    def add_demand(self, demand: Demand, by: int) -> None:
        self.demanded[demand.type, demand.tenant] += by

    def connection_up(self, leg_record: LegRecord) -> None:
        demand = leg_record.attempt.demand
        self.held[self.machine_index[leg_record.machine], demand.type, demand.tenant] += 1

    def connection_down(self, leg_record: LegRecord) -> None:
        demand = leg_record.attempt.demand
        self.held[self.machine_index[leg_record.machine], demand.type, demand.tenant] -= 1

    def record_setup_time(self, demand: Demand, took: float) -> None:
        """Seconds from when the connection was wanted, or had broken, to its UP."""
        self.set_up.record_value(min(MAX_SETUP_MICROSECONDS, max(1, round(took * 1e6))))
        self.in_time += took <= self.scenario.type[demand.type].setup_target

    def take_sample(self, in_time: list[list[int]]) -> None:
        """`in_time`: for each server a 1 for each traffic type whose messages come in time there now."""
        if self.held.size:
            flags = numpy.array(in_time, numpy.int64).reshape(self.held.shape[:2])
            served = (self.held * flags[:, :, None]).sum(axis=0)
        else:
            served = numpy.zeros_like(self.demanded)
        self.samples.append((self.demanded.copy(), served))
        if len(self.samples) * SAMPLE_SECONDS % 1 == 0:
            self.open_connections.append(self.held.sum(axis=(1, 2)).tolist())

    def revenue_by_sample(self, share_of: list[float]) -> list[tuple[list[list[float]], list[list[float]]]]:
        """By look, traffic type and tenant: revenue a second wanted and earned, less what is beyond a
        share."""
        kinds, beyond = self.scenario.type, self.scenario.load.beyond_share
        rows = []
        for wanted, served in self.samples:
            wanted, served = wanted.tolist(), served.tolist()
            totals = [sum(row[tenant] for row in wanted) for tenant in range(len(wanted[0]))]
            part = [
                1.0 if total <= most else (most + beyond * (total - most)) / total
                for total, most in zip(totals, share_of)
            ]
            rows.append(
                tuple(
                    [
                        [count * kind.revenue * part[tenant] for tenant, count in enumerate(row)]
                        for row, kind in zip(table, kinds)
                    ]
                    for table in (wanted, served)
                )
            )
        return rows

    def summary(self, share_of: list[float]) -> dict[str, Any]:
        """Service as a whole and where it was worst; each a share of the revenue wanted, 1 where none was."""
        rows = self.revenue_by_sample(share_of)
        wanted, earned = [sum(map(sum, row[0])) for row in rows], [sum(map(sum, row[1])) for row in rows]

        def share(part: float, whole: float) -> float:
            return round(min(1.0, part / whole), 6) if whole > 0 else 1.0

        def by(names: list[str], pick) -> dict[str, float]:
            return {
                name: share(sum(pick(row[1], n) for row in rows), sum(pick(row[0], n) for row in rows))
                for n, name in enumerate(names)
            }

        each = round(1 / SAMPLE_SECONDS)
        seconds = [
            share(sum(earned[at : at + each]), sum(wanted[at : at + each]))
            for at in range(0, len(rows), each)
        ]
        width = min(len(rows), round(WORST_WINDOW_SECONDS / SAMPLE_SECONDS))
        windows = [
            (share(sum(earned[at : at + width]), sum(wanted[at : at + width])), at * SAMPLE_SECONDS)
            for at in range(0, len(rows) - width + 1, each)
        ]
        kinds = by([kind.name for kind in self.scenario.type], lambda table, n: sum(table[n]))
        tenants = by(
            [one.name for one in self.scenario.tenant], lambda table, n: sum(row[n] for row in table)
        )
        worst, at = min(windows, default=(1.0, 0.0))
        return {
            "service": share(sum(earned), sum(wanted)),
            "worst_window": worst,
            "worst_window_at": at,
            "by_type": kinds,
            "worst_type": min(kinds, key=kinds.__getitem__),
            "by_tenant": tenants,
            "worst_tenant": min(tenants, key=tenants.__getitem__) if tenants else None,
            "set_up": percentiles(self.set_up),
            "set_up_in_time": share(self.in_time, self.set_up.get_total_count()),
            "service_by_second": seconds,
            "open_by_second": self.open_connections,
        }


def seconds_since_start(now: float) -> float:
    """Seconds since the run began, for people."""
    return round(now - START, 6)
