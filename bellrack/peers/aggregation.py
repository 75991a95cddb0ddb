"""Adds up what the balancers of a tier hold at each server, and spreads which servers are overloaded.

One balancer, the aggregator, receives the reports of all others and broadcasts the totals. Any of the first
AGGREGATOR_CANDIDATES balancers can take the role: a candidate that receives no broadcast for a time that
grows with its number starts to publish, and of two that publish, the one with the higher number stops. A
broadcast goes to hundreds of balancers, so it contains only what has changed, and records that are due
together share datagrams.

The module packs and unpacks the records, computes the totals and selects the aggregator. It makes no
decisions and has no clock and no socket. Servers are never learned from a peer: a record counts only if its
short id belongs to a server of the balancer's own list.

A record is three bytes, big-endian: kind (2 bits), short id (14 bits, the low ones of the server's hashed
identifier) and value (8 bits, logarithmic, one step is about 4%). A datagram is one byte, its form (REPORT,
BROADCAST, ...), and up to MAX_RECORDS records or MAX_PAIRS pairs. Two listed servers with the same short id
are left out. Datagrams of `membership` begin with another byte.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

# The first byte of a datagram:
REPORT = 2  # records, to the aggregator
BROADCAST = 3  # records, from the aggregator to all
GROUPS = 4  # the sender's pairs of server and group, to the aggregator
PLACEMENTS = 5  # pairs of server and group, from the aggregator to all
MAX_PAIRS = 63  # of server and group, in a datagram
MAX_PLACEMENTS = 20000  # pairs of server and group that are kept
PLACEMENT_TTL_SECONDS = 60.0
PLACEMENT_REPEAT_BROADCASTS = 50  # each placement is published once in so many broadcasts, changed or not
# A pair of server and group is a placement if so many balancers have a connection of the group there.
MIN_HOLDERS = 2
# The kind of a record. Its value is, in this order: the milliseconds of a set-up; the connections that the
# sender holds at the server; those that all balancers hold there; the lateness, a share of the shortest
# message aim.
SETUP_TIME, HELD, TOTAL, LATENESS = range(4)
SHORT_ID_MASK = (1 << 14) - 1
MAX_RECORDS = 85  # in a datagram, which then has 256 bytes
STEPS_PER_DOUBLING = 16  # steps of a record's value, which is logarithmic, from n to 2n
REPORT_INTERVAL_SECONDS = 4.0  # interval at which an unchanged report is repeated
REPORT_TTL_SECONDS = 9.0
BROADCAST_INTERVAL_SECONDS = 0.5
BROADCAST_TTL_SECONDS = 5.0  # without a broadcast for so long, totals are unknown
TOTAL_REPEAT_SECONDS = 8.0  # interval at which an unchanged total is repeated
TOTAL_TTL_SECONDS = 20.0
TOTAL_CHANGE_SHARE = 0.25  # a total is published at once if it has changed by more than this share
TOTAL_CHANGE_CONNECTIONS = 3.0  # and by more than so many connections
AGGREGATOR_CANDIDATES = 8  # the balancers with the lowest numbers
TAKEOVER_SECONDS = 1.0  # without a broadcast for so long, the first candidate starts to publish
TAKEOVER_STEP_SECONDS = 0.5  # added for each further candidate

Record = tuple[int, int, float]  # kind, short id, value


def quantize(value: float) -> int:
    """The value on a logarithmic scale of 0 to 255."""
    return min(255, round(STEPS_PER_DOUBLING * math.log2(1 + max(0.0, value))))


def pack(form: int, records: Iterable[Record]) -> Iterator[bytes]:
    """Yields datagrams with the records: at least one, and as many as needed."""
    packed = [
        (kind << 22 | (short_id & SHORT_ID_MASK) << 8 | quantize(value)).to_bytes(3, "big")
        for kind, short_id, value in records
    ]
    for start in range(0, max(1, len(packed)), MAX_RECORDS):
        yield bytes([form]) + b"".join(packed[start : start + MAX_RECORDS])


def unpack(data: bytes) -> tuple[int, list[Record]]:
    """Returns the form and the records of a datagram; form 0 if it is neither a report nor a broadcast."""
    known = data[:1] in (bytes([REPORT]), bytes([BROADCAST]))
    if not known or len(data) % 3 != 1 or len(data) > 1 + 3 * MAX_RECORDS:
        return 0, []
    packed = [int.from_bytes(data[at : at + 3], "big") for at in range(1, len(data), 3)]
    return data[0], [
        (record >> 22, record >> 8 & SHORT_ID_MASK, 2 ** ((record & 255) / STEPS_PER_DOUBLING) - 1)
        for record in packed
    ]


def pack_pairs(form: int, pairs: Iterable[tuple[int, int]], flags: Iterable[int]) -> Iterator[bytes]:
    """Yields datagrams with pairs of short id and group, each with a flag: 1 if the pair exists, 0 if not."""
    packed = [
        (flag << 30 | (short_id & SHORT_ID_MASK) << 16 | group & 0xFFFF).to_bytes(4, "big")
        for (short_id, group), flag in zip(pairs, flags)
    ]
    for start in range(0, len(packed), MAX_PAIRS):
        yield bytes([form]) + b"".join(packed[start : start + MAX_PAIRS])


def unpack_pairs(data: bytes) -> list[tuple[int, tuple[int, int]]]:
    """Returns the flags and pairs of a datagram; none if its length is wrong."""
    if len(data) % 4 != 1 or len(data) > 1 + 4 * MAX_PAIRS:
        return []
    packed = [int.from_bytes(data[at : at + 4], "big") for at in range(1, len(data), 4)]
    return [(record >> 30, (record >> 16 & SHORT_ID_MASK, record & 0xFFFF)) for record in packed]


class Aggregation:
    """One balancer's part in the aggregation, and the aggregator's state if it has the role.

    `send(peer, data)` is called with each datagram for a peer, or for all if `peer` is None.
    """

    id_mask = SHORT_ID_MASK  # of the hashed identifiers of servers
    cache_seconds = 0.0  # how long a computed fleet load may be reused

    def __init__(self, own_number: int, tier_size: int, send: Callable[[int | None, bytes], None]):
        self.own_number, self.tier_size, self.send = own_number, tier_size, send
        self.held: dict[int, int] = {}  # own connections by short id; a 0 is kept until it is reported
        self.pending_records: list[Record] = []  # lateness and durations of set-ups for the next report
        self.changed, self.last_report = False, -math.inf
        self.aggregator: int | None = None  # the balancer that published last
        self.last_broadcast = -math.inf
        self.published_baseline: float | None = None  # seconds of a set-up at a server that is not late
        self.totals: dict[int, tuple[float, float]] = {}  # as published, by short id: connections, when
        # At the aggregator, by short id and balancer: connections, and when reported.
        self.reports: dict[int, dict[int, tuple[float, float]]] = {}
        self.pending_lateness: dict[int, float] = {}  # at the aggregator: by short id, for the next broadcast
        self.last_published = -math.inf  # by this balancer as the aggregator
        self.own_pairs: dict[tuple[int, int], int] = {}  # own connections by short id and group
        self.placements: dict[tuple[int, int], float] = {}  # by short id and group: when published
        self.repeat_queue: list[tuple[int, int]] = []  # at the aggregator: placements to publish again
        # At the aggregator, by balancer: when reported, and the pairs of short id and group.
        self.reported_pairs: dict[int, tuple[float, set[tuple[int, int]]]] = {}

    def on_servers_listed(self, servers: dict[int, object], zone: int) -> None:
        """Does nothing: the servers of all zones are added up."""

    def covers(self, id_hash: int) -> bool:
        """Whether totals are exchanged for the server: true for each."""
        return True

    def set_held(self, id_hash: int, count: int, group: int, of_group: int) -> None:
        """Sets how many own connections the server has, in all and of the group; group 0 is none."""
        self.held[id_hash & SHORT_ID_MASK], self.changed = count, True
        if group and of_group:
            self.own_pairs[id_hash & SHORT_ID_MASK, group & 0xFFFF] = of_group
        elif group:
            self.own_pairs.pop((id_hash & SHORT_ID_MASK, group & 0xFFFF), None)

    def holds_group(self, id_hash: int, group: int, now: float) -> bool:
        """Whether the group is placed at the server by at least MIN_HOLDERS balancers."""
        return (
            now - self.placements.get((id_hash & SHORT_ID_MASK, group & 0xFFFF), -math.inf)
            < PLACEMENT_TTL_SECONDS
        )

    def report(self, kind: int, id_hash: int, value: float) -> None:
        """Adds a record to the next report; records that no longer fit are dropped."""
        if len(self.pending_records) < MAX_RECORDS and self.aggregator != self.own_number:
            self.pending_records.append((kind, id_hash & SHORT_ID_MASK, value))

    def relay_overload(self, id_hash: int, lateness: float) -> None:
        """As the aggregator: adds the lateness of a server to the next broadcast."""
        self.pending_lateness[id_hash & SHORT_ID_MASK] = lateness

    def has_broadcasts(self, now: float) -> bool:
        """Whether an aggregator, possibly this balancer, has published recently."""
        return self.aggregator is not None and now - self.last_broadcast <= BROADCAST_TTL_SECONDS

    def total(self, id_hash: int, now: float) -> float | None:
        """The connections that all balancers hold at the server; None if no aggregator publishes."""
        if not self.has_broadcasts(now) or not self.totals:
            return None
        total, when = self.totals.get(id_hash & SHORT_ID_MASK, (0.0, now))
        return total if now - when <= TOTAL_TTL_SECONDS else 0.0

    def on_period(self, now: float, baseline: float) -> None:
        """Sends the report or broadcast that is due, and takes the aggregator's role if nobody publishes.

        Called a few times a second. `baseline` is the duration of a set-up at a server that is not late, in
        seconds, as far as this balancer knows.
        """
        if self.last_broadcast == -math.inf:
            self.last_broadcast = now  # the time without a broadcast starts now
        if (
            self.own_number < AGGREGATOR_CANDIDATES
            and self.aggregator != self.own_number
            and (now - self.last_broadcast > TAKEOVER_SECONDS + TAKEOVER_STEP_SECONDS * self.own_number)
        ):
            self.aggregator, self.last_published = self.own_number, -math.inf
            self.reports, self.pending_lateness, self.totals, self.reported_pairs, self.placements = (
                {},
                {},
                {},
                {},
                {},
            )
        if self.aggregator == self.own_number:
            self.publish(now, baseline)
        elif self.aggregator is not None and (
            self.changed or self.pending_records or now - self.last_report > REPORT_INTERVAL_SECONDS
        ):
            records = self.pending_records + [
                (HELD, short_id, count) for short_id, count in self.held.items()
            ]
            self.pending_records, self.changed, self.last_report = [], False, now
            self.held = {short_id: count for short_id, count in self.held.items() if count}
            for data in pack(REPORT, records):
                self.send(self.aggregator, data)
            pairs = sorted(self.own_pairs, key=lambda pair: -self.own_pairs[pair])[:MAX_PAIRS]
            for data in pack_pairs(GROUPS, pairs, [1] * len(pairs)):
                self.send(self.aggregator, data)

    def publish(self, now: float, baseline: float) -> None:
        """As the aggregator: computes the totals and placements and broadcasts the changes, if that is due.

        The first broadcast has no totals: it makes the others send their reports.
        """
        if now - self.last_published < BROADCAST_INTERVAL_SECONDS:
            return
        first, self.published_baseline = self.last_published == -math.inf, baseline
        self.last_published = self.last_broadcast = now
        records: list[Record] = []
        for short_id, count in self.held.items():
            self.reports.setdefault(short_id, {})[self.own_number] = count, now
        self.held = {short_id: count for short_id, count in self.held.items() if count}
        for short_id, reports in list(self.reports.items()):
            fresh = {peer: report for peer, report in reports.items() if now - report[1] < REPORT_TTL_SECONDS}
            self.reports[short_id] = fresh
            total = sum(count for count, _ in fresh.values())
            last, when = self.totals.get(short_id, (0.0, -math.inf))
            changed = abs(total - last) > max(TOTAL_CHANGE_CONNECTIONS, TOTAL_CHANGE_SHARE * last)
            if not first and (changed or now - when > TOTAL_REPEAT_SECONDS):
                self.totals[short_id] = total, now
                records.append((TOTAL, short_id, total))
            if not fresh:
                del self.reports[short_id]
        late = [(LATENESS, short_id, lateness) for short_id, lateness in self.pending_lateness.items()]
        self.pending_records, self.pending_lateness = [], {}
        self.reported_pairs[self.own_number] = now, set(self.own_pairs)
        fresh = [pairs for when, pairs in self.reported_pairs.values() if now - when < REPORT_TTL_SECONDS]
        counts = Counter(pair for pairs in fresh for pair in pairs)
        placed = {pair for pair, count in counts.items() if count >= MIN_HOLDERS}
        changed = list(placed ^ self.placements.keys())
        self.placements = dict.fromkeys(placed, now)
        # Placements are repeated: otherwise a balancer that missed a broadcast would never learn of them.
        self.repeat_queue = self.repeat_queue or list(placed)
        for _ in range(min(len(self.repeat_queue), 1 + len(placed) // PLACEMENT_REPEAT_BROADCASTS)):
            changed.append(self.repeat_queue.pop())
        for data in pack_pairs(PLACEMENTS, changed, [pair in placed for pair in changed]):
            self.send(None, data)
        for data in pack(BROADCAST, [(SETUP_TIME, 0, baseline * 1000), *late, *records]):
            self.send(None, data)

    def on_datagram(self, now: float, peer: int, data: bytes, listed: dict[int, object]) -> list[Record]:
        """Takes a datagram and returns the records that the caller has to evaluate.

        These are lateness and, for the aggregator, durations of set-ups. `listed` has the listed servers by
        short id; records of other servers are ignored.
        """
        if peer != self.own_number and data[:1] in (bytes([GROUPS]), bytes([PLACEMENTS])):
            self.on_pairs(now, peer, data)
            return []
        form, records = unpack(data)
        if peer == self.own_number or not form or form == REPORT and self.aggregator != self.own_number:
            return []
        if form == BROADCAST:
            fresh = self.aggregator is not None and now - self.last_broadcast < TAKEOVER_SECONDS
            if peer >= AGGREGATOR_CANDIDATES or fresh and peer > self.aggregator:
                return []
            if peer != self.aggregator:
                self.changed, self.placements = True, {}
            self.aggregator, self.last_broadcast = peer, now
        to_evaluate = []
        for kind, short_id, value in records:
            if kind == SETUP_TIME and form == BROADCAST:
                self.published_baseline = value / 1000
            elif not listed.get(short_id):
                continue
            elif kind == SETUP_TIME:
                to_evaluate.append((kind, short_id, value))
            elif kind == HELD and form == REPORT:
                self.reports.setdefault(short_id, {})[peer] = value, now
            elif kind == TOTAL and form == BROADCAST:
                self.totals[short_id] = value, now
            elif kind == LATENESS:
                to_evaluate.append((kind, short_id, value))
        return to_evaluate

    def on_pairs(self, now: float, peer: int, data: bytes) -> None:
        """Takes a datagram with pairs: reported ones as the aggregator, else the aggregator's placements."""
        pairs = unpack_pairs(data)
        if data[0] == GROUPS and self.aggregator == self.own_number:
            if peer not in self.reported_pairs and self.placements:  # the peer has started or returned
                for reply in pack_pairs(PLACEMENTS, self.placements, [1] * len(self.placements)):
                    self.send(peer, reply)
            self.reported_pairs[peer] = now, {pair for _, pair in pairs}
        elif data[0] == PLACEMENTS and peer == self.aggregator != self.own_number:
            for flag, pair in pairs:
                if len(self.placements) >= MAX_PLACEMENTS:
                    fresh = {
                        placed: when
                        for placed, when in self.placements.items()
                        if now - when < PLACEMENT_TTL_SECONDS
                    }
                    self.placements = fresh
                if flag and len(self.placements) < MAX_PLACEMENTS:
                    self.placements[pair] = now
                elif not flag:
                    self.placements.pop(pair, None)
