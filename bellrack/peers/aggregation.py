"""What the balancers of a tier hold together of each server, and which servers are late, by datagrams.

One of them, the aggregator, adds up what each reports to it and broadcasts the sums to all. Any of the first
few may be it: whoever hears no broadcast for a time that grows with its number begins, and of two that
publish the one of the higher number falls silent. A broadcast goes to hundreds, so it holds only what has
changed, and what is due together goes out as one.

Owns the records, their packing, the sums and who is the aggregator. It never decides anything, has no clock
and no socket, and learns no server from a peer: only marks of servers that the own list names count.

A record is three bytes, big-endian: kind (2 bits), the low 14 bits of the mark, a value (8 bits, one step is
some four per cent); a datagram is one byte FORM and up to MOST records. Two listed servers that share a short
mark are known by none of this. Membership's datagrams begin with another byte.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

REPORT, BROADCAST = 2, 3  # first bytes: to the aggregator; from it to all
GROUPS, PLACEMENTS = 4, 5  # the same for where groups are
MAX_PAIRS = 63  # of a group and a server, in a datagram
MAX_PLACEMENTS = 20000  # pairs known
PLACEMENT_STANDS = 60.0  # seconds for which a pair stands without being said again
ROUND = 50  # broadcasts in which all pairs that stand are said once more
MIN_HOLDERS = 2  # balancers with a connection of a group at a server that make it the group's
SETUP_TIME, HELD, TOTAL, LATENESS = range(
    4
)  # what a set-up took; what the sender holds; what all hold; how late one is
SHORT_ID_MASK = (1 << 14) - 1
MOST = 85  # records of a datagram: 256 bytes
STEPS = 16  # of a value, a doubling
AGAIN = 4.0  # seconds until a balancer says again what it holds, changed or not
STANDS = 9.0  # seconds for which that stands
BROADCAST_INTERVAL_SECONDS = 0.5  # seconds between the aggregator's broadcasts
BROADCAST_STANDS = 5.0  # seconds without a broadcast after which no sum counts
SUM_AGAIN = 8.0  # seconds until an unchanged sum is said again
SUM_STANDS = 20.0  # seconds for which a sum stands
SUM_STEP, SUM_LEAST = 0.25, 3.0  # share, and connections, by which a sum has changed that is said at once
AGGREGATORS = 8  # balancers that may be the aggregator
SILENT, SILENT_MORE = 1.0, 0.5  # seconds without a broadcast until the first begins, and more for each next

Record = tuple[int, int, float]  # kind, short mark, value


def rounded(value: float) -> int:
    """0 to 255 on a scale of logarithms."""
    return min(255, round(STEPS * math.log2(1 + max(0.0, value))))


def pack(form: int, records: Iterable[Record]) -> Iterator[bytes]:
    """One datagram, or as many as it takes."""
    packed = [
        (kind << 22 | (mark & SHORT_ID_MASK) << 8 | rounded(v)).to_bytes(3, "big")
        for kind, mark, v in records
    ]
    for start in range(0, max(1, len(packed)), MOST):
        yield bytes([form]) + b"".join(packed[start : start + MOST])


def unpack(data: bytes) -> tuple[int, list[Record]]:
    """Its first byte and records; 0 if it is of no such form."""
    known = data[:1] in (bytes([REPORT]), bytes([BROADCAST]))
    if not known or len(data) % 3 != 1 or len(data) > 1 + 3 * MOST:
        return 0, []
    packed = [int.from_bytes(data[at : at + 3], "big") for at in range(1, len(data), 3)]
    return data[0], [(one >> 22, one >> 8 & SHORT_ID_MASK, 2 ** ((one & 255) / STEPS) - 1) for one in packed]


def pack_pairs(form: int, pairs: Iterable[tuple[int, int]], flags: Iterable[int]) -> Iterator[bytes]:
    """Datagrams of (mark, group), each with a flag: 1 if it is so, 0 if no longer."""
    packed = [
        (flag << 30 | (mark & SHORT_ID_MASK) << 16 | group & 0xFFFF).to_bytes(4, "big")
        for (mark, group), flag in zip(pairs, flags)
    ]
    for start in range(0, len(packed), MAX_PAIRS):
        yield bytes([form]) + b"".join(packed[start : start + MAX_PAIRS])


def unpack_pairs(data: bytes) -> list[tuple[int, tuple[int, int]]]:
    """Flags and pairs."""
    if len(data) % 4 != 1 or len(data) > 1 + 4 * MAX_PAIRS:
        return []
    packed = [int.from_bytes(data[at : at + 4], "big") for at in range(1, len(data), 4)]
    return [(one >> 30, (one >> 16 & SHORT_ID_MASK, one & 0xFFFF)) for one in packed]


class Aggregation:
    """One balancer's part. `tell(peer, data)` sends; None is everybody."""

    id_bits, refresh = SHORT_ID_MASK, 0.0  # of a hashed identifier; seconds for which sums may be used again

    def __init__(self, own: int, peers: int, tell: Callable[[int | None, bytes], None]):
        self.own, self.peers, self.tell = own, peers, tell
        self.held: dict[int, int] = {}  # by short mark: own connections; nought until that is told
        self.news: list[Record] = []  # lateness and set-up times that are to be told
        self.changed, self.told = False, -math.inf
        self.aggregator: int | None = None  # who published last,
        self.broadcast_at = -math.inf  # when,
        self.published_baseline: float | None = None  # what it said that a set-up takes,
        self.totals: dict[int, tuple[float, float]] = {}  # and the sums it said, by short mark, with when
        self.reports: dict[
            int, dict[int, tuple[float, float]]
        ] = {}  # as the aggregator: by mark and balancer
        self.gathered: dict[int, float] = {}  # as the aggregator: lateness to pass on, by mark
        self.published_at = -math.inf
        self.pairs: dict[tuple[int, int], int] = {}  # own connections by short mark and group
        self.placements: dict[tuple[int, int], float] = {}  # where groups stand, and when that was said
        self.round: list[tuple[int, int]] = []  # as the aggregator: pairs still to be said again
        self.reported_pairs: dict[
            int, tuple[float, set[tuple[int, int]]]
        ] = {}  # as the aggregator: by balancer

    def on_servers_listed(self, servers: dict[int, object], zone: int) -> None:
        """All are summed, wherever they are."""

    def covers(self, mark: int) -> bool:
        """Is this a server that sums are about?"""
        return True

    def set_held(self, mark: int, count: int, group: int, of_group: int) -> None:
        """Own connections at a server are so many now, and so many of this group."""
        self.held[mark & SHORT_ID_MASK], self.changed = count, True
        if group and of_group:
            self.pairs[mark & SHORT_ID_MASK, group & 0xFFFF] = of_group
        elif group:
            self.pairs.pop((mark & SHORT_ID_MASK, group & 0xFFFF), None)

    def holds_group(self, mark: int, group: int, now: float) -> bool:
        """Is the group known to stand there, by several balancers?"""
        return now - self.placements.get((mark & SHORT_ID_MASK, group & 0xFFFF), -math.inf) < PLACEMENT_STANDS

    def report(self, kind: int, mark: int, value: float) -> None:
        """News, for all."""
        if len(self.news) < MOST and self.aggregator != self.own:
            self.news.append((kind, mark & SHORT_ID_MASK, value))

    def relay_overload(self, mark: int, late: float) -> None:
        """As the aggregator: that a server is late goes out with the next broadcast."""
        self.gathered[mark & SHORT_ID_MASK] = late

    def has_broadcasts(self, now: float) -> bool:
        """Somebody tells, and has lately; it may be ourselves."""
        return self.aggregator is not None and now - self.broadcast_at <= BROADCAST_STANDS

    def total(self, mark: int, now: float) -> float | None:
        """What all hold there; None if nobody tells."""
        if not self.has_broadcasts(now) or not self.totals:
            return None
        total, when = self.totals.get(mark & SHORT_ID_MASK, (0.0, now))
        return total if now - when <= SUM_STANDS else 0.0

    def on_period(self, now: float, baseline: float) -> None:
        """Say what is due; a few times a second. `baseline` is what a set-up takes as far as we know."""
        if self.broadcast_at == -math.inf:
            self.broadcast_at = now  # nobody has published yet; as if one had just now
        if (
            self.own < AGGREGATORS
            and self.aggregator != self.own
            and (now - self.broadcast_at > SILENT + SILENT_MORE * self.own)
        ):
            self.aggregator, self.published_at = self.own, -math.inf
            self.reports, self.gathered, self.totals, self.reported_pairs, self.placements = (
                {},
                {},
                {},
                {},
                {},
            )
        if self.aggregator == self.own:
            self.publish(now, baseline)
        elif self.aggregator is not None and (self.changed or self.news or now - self.told > AGAIN):
            records = self.news + [(HELD, mark, count) for mark, count in self.held.items()]
            self.news, self.changed, self.told = [], False, now
            self.held = {mark: count for mark, count in self.held.items() if count}
            for data in pack(REPORT, records):
                self.tell(self.aggregator, data)
            pairs = sorted(self.pairs, key=lambda pair: -self.pairs[pair])[:MAX_PAIRS]
            for data in pack_pairs(GROUPS, pairs, [1] * len(pairs)):
                self.tell(self.aggregator, data)

    def publish(self, now: float, baseline: float) -> None:
        """The first broadcast only asks for reports."""
        if now - self.published_at < BROADCAST_INTERVAL_SECONDS:
            return
        first, self.published_baseline = self.published_at == -math.inf, baseline
        self.published_at = self.broadcast_at = now
        records: list[Record] = []
        for mark, count in self.held.items():
            self.reports.setdefault(mark, {})[self.own] = count, now
        self.held = {mark: count for mark, count in self.held.items() if count}
        for mark, parts in list(self.reports.items()):
            fresh = {peer: part for peer, part in parts.items() if now - part[1] < STANDS}
            self.reports[mark] = fresh
            total = sum(count for count, _ in fresh.values())
            last, when = self.totals.get(mark, (0.0, -math.inf))
            changed = abs(total - last) > max(SUM_LEAST, SUM_STEP * last)
            if not first and (changed or now - when > SUM_AGAIN):
                self.totals[mark] = total, now
                records.append((TOTAL, mark, total))
            if not fresh:
                del self.reports[mark]
        late = [(LATENESS, mark, told) for mark, told in self.gathered.items()]
        self.news, self.gathered = [], {}
        self.reported_pairs[self.own] = now, set(self.pairs)
        fresh = [pairs for when, pairs in self.reported_pairs.values() if now - when < STANDS]
        counts = Counter(pair for pairs in fresh for pair in pairs)
        stand = {pair for pair, count in counts.items() if count >= MIN_HOLDERS}
        changed = list(stand ^ self.placements.keys())
        self.placements = dict.fromkeys(stand, now)
        # Guards against broadcasts that get lost: who missed one would never hear of that placement again.
        self.round = self.round or list(stand)
        for _ in range(min(len(self.round), 1 + len(stand) // ROUND)):
            changed.append(self.round.pop())
        for data in pack_pairs(PLACEMENTS, changed, [pair in stand for pair in changed]):
            self.tell(None, data)
        for data in pack(BROADCAST, [(SETUP_TIME, 0, baseline * 1000), *late, *records]):
            self.tell(None, data)

    def on_datagram(self, now: float, peer: int, data: bytes, listed: dict[int, object]) -> list[Record]:
        """Those of its records that are for us to judge: lateness; as the aggregator, set-up times too."""
        if peer != self.own and data[:1] in (bytes([GROUPS]), bytes([PLACEMENTS])):
            self.heard_pairs(now, peer, data)
            return []
        form, records = unpack(data)
        if peer == self.own or not form or form == REPORT and self.aggregator != self.own:
            return []
        if form == BROADCAST:
            fresh = self.aggregator is not None and now - self.broadcast_at < SILENT
            if peer >= AGGREGATORS or fresh and peer > self.aggregator:
                return []
            if peer != self.aggregator:
                self.changed, self.placements = True, {}
            self.aggregator, self.broadcast_at = peer, now
        news = []
        for kind, mark, told in records:
            if kind == SETUP_TIME and form == BROADCAST:
                self.published_baseline = told / 1000
            elif not listed.get(mark):
                continue
            elif kind == SETUP_TIME:
                news.append((kind, mark, told))
            elif kind == HELD and form == REPORT:
                self.reports.setdefault(mark, {})[peer] = told, now
            elif kind == TOTAL and form == BROADCAST:
                self.totals[mark] = told, now
            elif kind == LATENESS:
                news.append((kind, mark, told))
        return news

    def heard_pairs(self, now: float, peer: int, data: bytes) -> None:
        pairs = unpack_pairs(data)
        if data[0] == GROUPS and self.aggregator == self.own:
            if peer not in self.reported_pairs and self.placements:  # it has just started, or come back
                for again in pack_pairs(PLACEMENTS, self.placements, [1] * len(self.placements)):
                    self.tell(peer, again)
            self.reported_pairs[peer] = now, {pair for _, pair in pairs}
        elif data[0] == PLACEMENTS and peer == self.aggregator != self.own:
            for flag, pair in pairs:
                if len(self.placements) >= MAX_PLACEMENTS:
                    fresh = {p: at for p, at in self.placements.items() if now - at < PLACEMENT_STANDS}
                    self.placements = fresh
                if flag and len(self.placements) < MAX_PLACEMENTS:
                    self.placements[pair] = now
                elif not flag:
                    self.placements.pop(pair, None)
