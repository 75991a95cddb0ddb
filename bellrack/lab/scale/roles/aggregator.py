"""The role of the aggregator of a tier, and of a balancer that receives its broadcasts."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Iterator

from bellrack.lab.scale.roles.inputs import GROUPS_PER_SERVER, START_SECONDS
from bellrack.lab.scale.roles.measurement import Measurement, deep_size, measurement
from bellrack.net import lines
from bellrack.peers import aggregation

# In the measurement of the aggregator:
CONNECTIONS_PER_BALANCER = 30
CHURN_PER_SECOND = 4  # connections of each balancer that end and are replaced
SERVERS_PER_BALANCER = 1.2  # as in the earlier, rougher simulation that this one repeats


class AggregationSimulation:
    """Simulates the aggregation in a tier on virtual time.

    Member 0 is the aggregator and member 1 processes all broadcasts. The others only report.
    """

    def __init__(self, balancers: int, seed: int = 3):
        self.random_stream, self.now = random.Random(seed), START_SECONDS
        self.servers = [
            lines.id_hash(f"server-{n:06d}") for n in range(round(SERVERS_PER_BALANCER * balancers))
        ]
        self.listed = dict.fromkeys((id_hash & aggregation.SHORT_ID_MASK for id_hash in self.servers), True)
        # Datagrams on their way: sender, receiver (None: all others), payload.
        self.in_flight: deque[tuple[int, int | None, bytes]] = deque()
        self.members = [
            aggregation.Aggregation(
                n, balancers, lambda peer, data, n=n: self.in_flight.append((n, peer, data))
            )
            for n in range(balancers)
        ]
        # Counts of report datagrams, and of bytes.
        self.reports = self.report_bytes = self.broadcast_bytes = self.reply_bytes = 0
        self.aggregator_ns = self.receiver_ns = 0  # processor time of members 0 and 1
        # The server and group of each connection, by member.
        self.connections: list[list[tuple[int, int]]] = [[] for _ in self.members]
        for number in range(balancers):
            for _ in range(CONNECTIONS_PER_BALANCER):
                self.open_connection(number)

    def open_connection(self, number: int) -> None:
        """Opens a connection of this member, at a random server and in a random group."""
        server = self.random_stream.choice(self.servers)
        group = self.random_stream.randrange(1, GROUPS_PER_SERVER * len(self.servers))
        self.connections[number].append((server, group))
        self.update_held(number, server, group)

    def close_connection(self, number: int) -> None:
        """Closes a random connection of this member."""
        held = self.connections[number]
        self.update_held(number, *held.pop(self.random_stream.randrange(len(held))))

    def update_held(self, number: int, server: int, group: int) -> None:
        """Tells the member's aggregation how many connections it holds at this server, and of the group."""
        held = self.connections[number]
        self.members[number].set_held(
            server, sum(one == server for one, _ in held), group, held.count((server, group))
        )

    def step(self) -> None:
        """Simulates one broadcast interval: connections change, the members report, and the aggregator and
        member 1 process what they receive."""
        self.now += aggregation.BROADCAST_INTERVAL_SECONDS
        empty_broadcast = next(aggregation.pack(aggregation.BROADCAST, []))
        for number, member in enumerate(self.members[1:], 1):
            for _ in range(int(CHURN_PER_SECOND * aggregation.BROADCAST_INTERVAL_SECONDS)):
                self.close_connection(number)
                self.open_connection(number)
                member.report(aggregation.SETUP_TIME, self.connections[number][-1][0], 20.0)
            if number > 1:
                # Shows that there is an aggregator. Only member 1 processes the content of broadcasts.
                member.on_datagram(self.now, 0, empty_broadcast, {})
            member.on_period(self.now, 0.02)
        aggregator, receiver = self.members[0], self.members[1]
        arrived = [(sender, data) for sender, to, data in self.in_flight if to == 0]
        self.in_flight.clear()
        started_ns = time.process_time_ns()
        for sender, data in arrived:
            aggregator.on_datagram(self.now, sender, data, self.listed)
        aggregator.on_period(self.now, 0.02)
        self.aggregator_ns += time.process_time_ns() - started_ns
        self.reports += len(arrived)
        self.report_bytes += sum(len(data) for _, data in arrived)
        broadcasts = [data for _, to, data in self.in_flight if to is None]
        self.reply_bytes += sum(len(data) for _, to, data in self.in_flight if to is not None)
        self.broadcast_bytes += sum(map(len, broadcasts))
        self.in_flight.clear()
        started_ns = time.process_time_ns()
        for data in broadcasts:
            receiver.on_datagram(self.now, 0, data, self.listed)
        self.receiver_ns += time.process_time_ns() - started_ns

    def run(self, seconds: float, warm_up_seconds: float = 10.0) -> dict[str, float]:
        """Runs for `seconds` of virtual time after a warm-up, and returns the costs of one second.

        "spent" and "heard" are processor time in microseconds, of the aggregator and of member 1; "datagrams"
        is a count, and the others are bytes.
        """
        while self.now < START_SECONDS + warm_up_seconds:
            self.step()
        self.reports = self.report_bytes = self.broadcast_bytes = self.reply_bytes = 0
        self.aggregator_ns = self.receiver_ns = 0
        for _ in range(int(seconds / aggregation.BROADCAST_INTERVAL_SECONDS)):
            self.step()
        return {
            "datagrams": self.reports / seconds,
            "in": self.report_bytes / seconds,
            "plain": self.broadcast_bytes / seconds,
            "spent": self.aggregator_ns / seconds / 1000,
            "heard": self.receiver_ns / seconds / 1000,
            "out": (self.broadcast_bytes * (len(self.members) - 1) + self.reply_bytes) / seconds,
        }


def aggregator(quick: bool) -> Iterator[Measurement]:
    """Measures the aggregator of a tier, and a balancer that receives its broadcasts."""
    sizes = (8, 12, 16, 24) if quick else (50, 100, 200, 400, 800)
    results = [
        AggregationSimulation(n).run(2.0, 3.0) if quick else AggregationSimulation(n).run(10.0) for n in sizes
    ]
    for key, name, unit, counted in (
        ("datagrams", "datagrams in", "1/s", True),
        ("in", "bytes in", "B/s", True),
        ("out", "bytes out, to each balancer apart", "B/s", True),
        ("plain", "bytes in at a plain balancer", "B/s", True),
        ("spent", "processor time", "us/s", False),
        ("heard", "processor time of hearing it at a plain balancer", "us/s", False),
    ):
        yield measurement(
            "aggregator", name, unit, "balancers", sizes, [result[key] for result in results], counted
        )

    def record_bytes(count: int) -> int:
        simulation = AggregationSimulation(count)
        for _ in range(12):
            simulation.step()
        member = simulation.members[0]
        return (
            deep_size(member.reports)
            + deep_size(member.totals)
            + deep_size(member.reported_pairs)
            + deep_size(member.placements)
        )

    yield measurement(
        "aggregator", "memory of its records", "B", "balancers", sizes, [record_bytes(n) for n in sizes]
    )
