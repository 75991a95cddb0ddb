"""The role of the records of where groups are placed."""

from __future__ import annotations

from collections.abc import Iterator

from bellrack.lab.scale.roles.hosts import create_host
from bellrack.lab.scale.roles.inputs import START_SECONDS, TARGET_BALANCERS, TARGET_SERVERS
from bellrack.lab.scale.roles.measurement import Measurement, allocated_bytes, measurement, processor_time_us
from bellrack.peers import aggregation


def shared_short_ids(count: int) -> int:
    """Returns how many of `count` servers share their short id with another one. Balancers leave such servers
    out of their records."""
    host = create_host(3)
    host.list_servers(count, 10)
    return count - sum(server is not None for server in host.balancer.overload.servers.values())


def expected_shared_short_ids(count: int) -> float:
    """Returns the expected value of `shared_short_ids` for uniformly distributed ids."""
    return count * (1 - (1 - 1 / (aggregation.SHORT_ID_MASK + 1)) ** (count - 1))


def aggregation_with_placements(count: int, number: int) -> aggregation.Aggregation:
    """Returns the records of member `number` after it has received `count` placements.

    Member 0 is the aggregator, and receives each pair of server and group from as many balancers as make it a
    placement. Any other member receives the placements from the aggregator.
    """
    sent: list[bytes] = []
    member = aggregation.Aggregation(number, TARGET_BALANCERS, lambda peer, data: sent.append(data))
    if number:
        member.on_datagram(START_SECONDS, 0, next(aggregation.pack(aggregation.BROADCAST, [])), {})
    else:
        member.aggregator = 0
    pairs = [(n % 6000, n // 6000 * 6007 + n % 6000 + 1) for n in range(count)]
    for first in range(0, count, aggregation.MAX_PAIRS):
        batch = pairs[first : first + aggregation.MAX_PAIRS]
        for copy in range(aggregation.MIN_HOLDERS if not number else 1):
            for data in aggregation.pack_pairs(
                aggregation.PLACEMENTS if number else aggregation.GROUPS, batch, [1] * len(batch)
            ):
                sender = first // aggregation.MAX_PAIRS * aggregation.MIN_HOLDERS + copy + 1
                member.on_datagram(START_SECONDS, 0 if number else sender, data, {})
    if not number:
        member.on_period(START_SECONDS, 0.02)
    return member


def placements(quick: bool) -> Iterator[Measurement]:
    """Measures the records of where groups are placed, and counts servers that share a short id."""
    sizes = (500, 1000, 1500, 2000) if quick else (2000, 5000, 10000, 20000)

    for number, place in ((0, "at the aggregator"), (5, "at a balancer")):
        yield measurement(
            "placements",
            f"memory of placements {place}",
            "B",
            "placements",
            sizes,
            [
                allocated_bytes(lambda n=n, number=number: aggregation_with_placements(n, number))[0]
                for n in sizes
            ],
        )
    received_counts = (1000, 5000, 10000, 15000, 20000, 20100)
    members = [aggregation_with_placements(n, 5) for n in received_counts]
    yield Measurement(
        "placements",
        "placements known of so many told",
        "1",
        "placements told",
        list(received_counts),
        [len(member.placements) for member in members],
        True,
    )
    broadcast = next(
        aggregation.pack_pairs(
            aggregation.PLACEMENTS,
            [(n, 65000) for n in range(aggregation.MAX_PAIRS)],
            [1] * aggregation.MAX_PAIRS,
        )
    )
    yield Measurement(
        "placements",
        "processor time of one more broadcast of 63 placements",
        "us",
        "placements told before",
        list(received_counts),
        [
            processor_time_us(lambda member=member: member.on_datagram(START_SECONDS, 0, broadcast, {}), 1)
            for member in members
        ],
        False,
    )
    server_counts = (600, 2400, 5000, TARGET_SERVERS)
    yield Measurement(
        "placements",
        "servers that share a short identifier, by count",
        "1",
        "servers",
        list(server_counts),
        [shared_short_ids(n) for n in server_counts],
        True,
    )
    yield Measurement(
        "placements",
        "the same by formula",
        "1",
        "servers",
        list(server_counts),
        [round(expected_shared_short_ids(n), 1) for n in server_counts],
        True,
    )
