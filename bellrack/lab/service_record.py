"""Demand and service of a run by traffic type, tenant and time, and their summary.

The names of the summary's fields are documented in docs/lab.md. The rules are checked elsewhere. Counts are
summed as integers up to the last step, so that results don't depend on the order of floating-point additions.
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

SAMPLE_SECONDS = 0.25  # between samples of which connections are served
WORST_WINDOW_SECONDS = 10.0  # length of the windows among which the summary finds the worst
MAX_SETUP_MICROSECONDS = 600_000_000  # longer set-ups count as this long


def setup_histogram() -> HdrHistogram:
    """An empty histogram of set-up times in microseconds, to three digits."""
    return HdrHistogram(1, MAX_SETUP_MICROSECONDS, 3)


def percentiles(times: HdrHistogram) -> dict[str, float | None]:
    """Percentiles of the recorded times, in seconds; None if nothing was recorded."""

    def at(percent: float) -> float | None:
        return round(times.get_value_at_percentile(percent) / 1e6, 6) if times.get_total_count() else None

    return {"p50": at(50), "p90": at(90), "p99": at(99), "max": at(100)}


class ServiceRecord:
    """Counts the demand and the service of a run.

    Demands are counted by traffic type and tenant, connections also by server (`held`).
    """

    def __init__(self, scenario: Scenario, machines: list):
        self.scenario = scenario
        self.machine_index = {machine: number for number, machine in enumerate(machines)}
        shape = len(scenario.type), max(1, len(scenario.tenant))
        self.demanded = numpy.zeros(shape, numpy.int64)
        self.held = numpy.zeros((len(machines), *shape), numpy.int64)
        self.samples: list[tuple[numpy.ndarray, numpy.ndarray]] = []  # demanded and served
        self.open_connections: list[list[int]] = []  # connections by server, at the end of each second
        self.set_up = setup_histogram()
        self.in_time = self.set_ups = 0  # set-ups within their target time

    def add_demand(self, demand: Demand, change: int) -> None:
        """A demand began (`change` 1) or ended (-1)."""
        self.demanded[demand.type, demand.tenant] += change

    def connection_up(self, leg_record: LegRecord) -> None:
        """A connection is up at its server."""
        demand = leg_record.attempt.demand
        self.held[self.machine_index[leg_record.machine], demand.type, demand.tenant] += 1

    def connection_down(self, leg_record: LegRecord) -> None:
        """A connection ended at its server."""
        demand = leg_record.attempt.demand
        self.held[self.machine_index[leg_record.machine], demand.type, demand.tenant] -= 1

    def record_setup_time(self, demand: Demand, seconds: float) -> None:
        """Records the time from when a connection was demanded, or was lost, until it was established."""
        self.set_up.record_value(min(MAX_SETUP_MICROSECONDS, max(1, round(seconds * 1e6))))
        self.in_time += seconds <= self.scenario.type[demand.type].setup_target

    def take_sample(self, in_time: list[list[int]]) -> None:
        """Samples demanded and served connections.

        `in_time` has a row for each server, with a 1 for each traffic type whose messages are in time there.
        """
        if self.held.size:
            flags = numpy.array(in_time, numpy.int64).reshape(self.held.shape[:2])
            served = (self.held * flags[:, :, None]).sum(axis=0)
        else:
            served = numpy.zeros_like(self.demanded)
        self.samples.append((self.demanded.copy(), served))
        if len(self.samples) * SAMPLE_SECONDS % 1 == 0:
            self.open_connections.append(self.held.sum(axis=(1, 2)).tolist())

    def revenue_by_sample(self, share_of: list[float]) -> list[tuple[list[list[float]], list[list[float]]]]:
        """Demanded and earned revenue a second, by sample, traffic type and tenant.

        `share_of` is the share of each tenant in connections; what is beyond it counts for a part only.
        """
        kinds, beyond = self.scenario.type, self.scenario.load.beyond_share
        rows = []
        for demanded, served in self.samples:
            demanded, served = demanded.tolist(), served.tolist()
            totals = [sum(row[tenant] for row in demanded) for tenant in range(len(demanded[0]))]
            weights = [
                1.0 if total <= share else (share + beyond * (total - share)) / total
                for total, share in zip(totals, share_of)
            ]
            rows.append(
                tuple(
                    [
                        [count * kind.revenue * weights[tenant] for tenant, count in enumerate(row)]
                        for row, kind in zip(table, kinds)
                    ]
                    for table in (demanded, served)
                )
            )
        return rows

    def summary(self, share_of: list[float]) -> dict[str, Any]:
        """The service as a whole, and where it was worst.

        Service is earned revenue as a share of demanded revenue, 1 where nothing was demanded. `share_of` as
        for `revenue_by_sample`.
        """
        rows = self.revenue_by_sample(share_of)
        demanded, earned = [sum(map(sum, row[0])) for row in rows], [sum(map(sum, row[1])) for row in rows]

        def share(part: float, whole: float) -> float:
            return round(min(1.0, part / whole), 6) if whole > 0 else 1.0

        def service_by(names: list[str], select) -> dict[str, float]:
            return {
                name: share(sum(select(row[1], n) for row in rows), sum(select(row[0], n) for row in rows))
                for n, name in enumerate(names)
            }

        samples_per_second = round(1 / SAMPLE_SECONDS)
        seconds = [
            share(sum(earned[at : at + samples_per_second]), sum(demanded[at : at + samples_per_second]))
            for at in range(0, len(rows), samples_per_second)
        ]
        width = min(len(rows), round(WORST_WINDOW_SECONDS / SAMPLE_SECONDS))
        windows = [
            (share(sum(earned[at : at + width]), sum(demanded[at : at + width])), at * SAMPLE_SECONDS)
            for at in range(0, len(rows) - width + 1, samples_per_second)
        ]
        types = service_by([kind.name for kind in self.scenario.type], lambda table, n: sum(table[n]))
        tenants = service_by(
            [tenant.name for tenant in self.scenario.tenant], lambda table, n: sum(row[n] for row in table)
        )
        worst, at = min(windows, default=(1.0, 0.0))
        return {
            "service": share(sum(earned), sum(demanded)),
            "worst_window": worst,
            "worst_window_at": at,
            "by_type": types,
            "worst_type": min(types, key=types.__getitem__),
            "by_tenant": tenants,
            "worst_tenant": min(tenants, key=tenants.__getitem__) if tenants else None,
            "set_up": percentiles(self.set_up),
            "set_up_in_time": share(self.in_time, self.set_up.get_total_count()),
            "service_by_second": seconds,
            "open_by_second": self.open_connections,
        }


def seconds_since_start(now: float) -> float:
    """Seconds since the start of the run, for results."""
    return round(now - START, 6)
