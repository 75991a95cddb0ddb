"""What the balancers of a large tier hold of each server, by asking a few: a poll in place of a sum.

A tier of more than LARGE balancers has no aggregator (`sums`), since one node cannot hear thousands. Each
balancer sends twice a second what it holds at some servers of its zone to one peer; who hears it keeps, by
server, the share of the last few that spoke, and the median of these and of its own is its estimate. Nobody
adds up what others added up: nobody can be lost or be there twice, a datagram that comes again is the same
vote again, and one peer that lies is one vote of seven. docs/scale-design.md has what was weighed.

Owns the datagram, whom it goes to, and the votes. It never decides anything, has no clock, no socket and no
randomness of its own, and learns no server from a peer: only hashed identifiers of the own list count. Where
groups stand is not told here: all balancers rank servers alike for a group.

A datagram, big-endian, is at most 256 bytes:
    head:    form u8 (6), version u8, held u32, late u8, polled u8
    record:  hashed identifier u24, value u8 on the scale of `aggregation`     (late + polled times)
`held` is what the sender holds at all servers of its zone; late records say how late a server is, as a share
of the shortest message aim, by what the sender saw itself; polled ones what it holds there. The build before
knows the forms 1 to 5 and ignores this one, as this one ignores those.
"""

from __future__ import annotations

import math
import struct
from bisect import bisect_right
from collections.abc import Callable, Sequence
from statistics import median
from typing import Any

from bellrack.peers import aggregation

LARGE = 256  # balancers; up to so many one of them adds up for all, as the benches have seen it
FORM, VERSION = 6, 1
HEAD, RECORD = struct.Struct(">BBIBB"), struct.Struct(">I")
MOST = (256 - HEAD.size) // RECORD.size  # records of a datagram
MOST_LATE = 8  # of them
ID = (1 << 24) - 1  # of a hashed identifier: of 6,000 servers some two share one and are not known by it
EACH = 0.45  # seconds between datagrams of ours, at least; the turn that calls for them comes each 0.5 s
SAMPLED_PEERS, FEW_SAMPLED_PEERS = 32, 8  # peers of our zone that we know; with few we look for more
FORGET = 120.0  # seconds after which one unheard is no sampled peer
EXPLORE = 0.25  # share of the datagrams that go to any peer of the tier, so that zones find themselves
HEARD = 16  # datagrams taken between two turns: what a flood can make us do
HEARS_FOR = 10.0  # seconds without a sampled peer after which nothing is known
VOTES, LEAST_VOTES = 6, 3  # peers polled of a server; with fewer, our own among them, our own alone counts
VOTE_STANDS = 60.0  # seconds
LEAST_HELD = 16  # connections a server that a voter holds, lest shares be mere chance (12% of seven votes)
REPEATS = 4  # datagrams that tell a lateness
SEEN_FOR, LATE = 4.0, 0.5  # seconds, share of the aim: two peers that say it so soon and so much are believed
WORST = 4.0  # a lateness that is told as more counts as this
GOLDEN = 0.618034  # from one record's chance to the next: even over a datagram
SCALE = [2 ** (step / aggregation.STEPS) - 1 for step in range(257)]

Said = tuple[int, list[tuple[int, float]], list[tuple[int, float]]]  # held, late, polled


def rounded(value: float, chance: float) -> int:
    """A step of the scale, up or down by chance in [0, 1): no bias in the mean."""
    low = bisect_right(SCALE, value, 0, 255) - 1
    return low + (chance * (SCALE[low + 1] - SCALE[low]) < value - SCALE[low])


def pack(
    held: int,
    late: Sequence[tuple[int, float]],
    polled: Sequence[tuple[int, float]],
    draw: Callable[[], float],
) -> bytes:
    late, chance = late[:MOST_LATE], draw()
    records = [*late, *polled[: MOST - len(late)]]
    packed = [
        (one & ID) << 8 | rounded(value, (chance + GOLDEN * at) % 1.0)
        for at, (one, value) in enumerate(records)
    ]
    head = HEAD.pack(FORM, VERSION, min(held, 0xFFFFFFFF), len(late), len(records) - len(late))
    return head + struct.pack(f">{len(packed)}I", *packed)


def unpack(data: bytes) -> Said | None:
    """None for what is of no such form or of another version."""
    if len(data) < HEAD.size or len(data) > 256 or data[0] != FORM or data[1] != VERSION:
        return None
    _, _, held, late, polled = HEAD.unpack_from(data)
    if late > MOST_LATE or len(data) != HEAD.size + RECORD.size * (late + polled):
        return None
    records = [(one >> 8, SCALE[one & 255]) for (one,) in RECORD.iter_unpack(data[HEAD.size :])]
    return held, records[:late], records[late:]


class Gossip:
    """One balancer's part, behind the surface of `Aggregation`. `tell(peer, data)` sends, `draw()` gives
    [0, 1); `wait` is by how many seconds a set-up exceeds the usual at a server that is late by one aim."""

    id_bits, refresh = ID, 1.0
    aggregator = published_baseline = None

    def __init__(
        self,
        own: int,
        peers: int,
        tell: Callable[[int | None, bytes], None],
        draw: Callable[[], float],
        wait: float,
    ):
        self.own, self.peers, self.tell, self.draw, self.wait = own, peers, tell, draw, wait
        self.near: dict[int, float] = {}  # servers of our zone and their last starts
        self.order: list[int] = []
        self.next = int(draw() * ID)  # the poll goes on behind this one
        self.held: dict[int, int] = {}  # own connections
        self.held_near = 0  # and those of our zone
        self.met: int | None = None  # a sampled peer that is new, to be answered: so both know of each other
        self.sampled_peers: dict[
            int, tuple[float, int]
        ] = {}  # when last heard, and what it holds; the latest last
        self.votes: dict[int, dict[int, tuple[float, float]]] = {}  # by server and peer: share, when
        self.news: dict[int, tuple[float, int]] = {}  # lateness that we saw, and how often it is still told
        self.signs: dict[int, tuple[float, float, int]] = {}  # lateness told by others: mean, when, by whom
        self.own_baseline = math.inf
        self.said = self.heard_at = -math.inf
        self.taken = 0
        self.middle: tuple[float, float] = -math.inf, 0.0

    def on_servers_listed(self, servers: dict[int, Any], zone: int) -> None:
        """By hashed identifier; None where two share one. Guards against votes from before a restart."""
        near = {one: server.started_at for one, server in servers.items() if server and server.zone == zone}
        near = near or {one: server.started_at for one, server in servers.items() if server}
        self.votes = {one: votes for one, votes in self.votes.items() if near.get(one) == self.near[one]}
        self.signs = {one: sign for one, sign in self.signs.items() if servers.get(one)}
        self.near, self.order = near, sorted(near)
        self.held_near = sum(count for one, count in self.held.items() if one in near)

    def set_held(self, mark: int, count: int, group: int, of_group: int) -> None:
        """Own connections at a server are so many now."""
        one = mark & ID
        self.held_near += (count - self.held.get(one, 0)) * (one in self.near)
        self.held[one] = count
        if not count:
            del self.held[one]

    def holds_group(self, mark: int, group: int, now: float) -> bool:
        """Not told in a large tier."""
        return False

    def report(self, kind: int, mark: int, value: float) -> None:
        """What we saw ourselves, for others: a set-up (its milliseconds), or how late a server is."""
        late = value if kind == aggregation.LATENESS else (value / 1000 - self.own_baseline) / self.wait
        if late >= LATE and (mark & ID in self.news or len(self.news) < MOST_LATE):
            self.news[mark & ID] = late, REPEATS

    def has_broadcasts(self, now: float) -> bool:
        """Has somebody of our zone spoken lately?"""
        return now - self.heard_at <= HEARS_FOR

    def covers(self, mark: int) -> bool:
        """Is this a server that the poll is about?"""
        return mark & ID in self.near

    def total(self, mark: int, now: float) -> float | None:
        """What all balancers would hold there if each held as the middle one does; None if not known."""
        one, least = mark & ID, LEAST_HELD * len(self.near)
        if one not in self.near:
            return None
        shares = [share for share, when in self.votes.get(one, {}).values() if now - when <= VOTE_STANDS]
        if self.held_near >= least:
            own = self.held.get(one, 0) / self.held_near
            shares = [own] if len(shares) + 1 < LEAST_VOTES else [*shares, own]
        elif len(shares) < LEAST_VOTES:
            return None
        return median(shares) * self.typical(now) * self.peers

    def typical(self, now: float) -> float:
        """What the middle one of the balancers known to us holds in our zone."""
        if now != self.middle[0]:
            held = [held for when, held in self.sampled_peers.values() if now - when <= VOTE_STANDS]
            self.middle = (
                now,
                median([*held, self.held_near]) if len(held) + 1 >= LEAST_VOTES else max(1.0, self.held_near),
            )
        return self.middle[1]

    def on_period(self, now: float, baseline: float) -> None:
        """Say what is due; a few times a second. `baseline` is what a set-up takes as far as we know."""
        self.own_baseline, self.taken = baseline, 0
        if now - self.said < EACH or not self.order:
            return
        self.said = now
        late = [(one, value) for one, (value, _) in self.news.items()]
        self.news = {one: (value, left - 1) for one, (value, left) in self.news.items() if left > 1}
        start = bisect_right(self.order, self.next) % len(self.order)
        polled = (self.order[start:] + self.order[:start])[: MOST - len(late)]
        self.next = polled[-1]
        peer = self.chosen(now)
        if peer is not None:
            self.tell(
                peer, pack(self.held_near, late, [(one, self.held.get(one, 0)) for one in polled], self.draw)
            )

    def chosen(self, now: float) -> int | None:
        """A sampled peer, or now and then anybody."""
        met, self.met = self.met, None
        if met is not None:
            return met
        self.sampled_peers = {
            peer: seen for peer, seen in self.sampled_peers.items() if now - seen[0] <= FORGET
        }
        if self.draw() < max(EXPLORE, 1 - len(self.sampled_peers) / FEW_SAMPLED_PEERS):
            peer = int(self.draw() * (self.peers - 1))
            return peer + (peer >= self.own) if self.peers > 1 else None
        return list(self.sampled_peers)[int(self.draw() * len(self.sampled_peers))]

    def on_datagram(
        self, now: float, peer: int, data: bytes, listed: dict[int, object]
    ) -> list[aggregation.Record]:
        """Takes votes, and returns what two peers say of lateness."""
        said = unpack(data)
        if said is None or peer == self.own or not 0 <= peer < self.peers or self.taken >= HEARD:
            return []
        self.taken += 1
        held, late, polled = said
        known = [(one, count) for one, count in polled if one in self.near]
        if polled and 2 * len(known) >= len(polled):
            self.heard_at = now
            if self.sampled_peers.pop(peer, None) is None:
                self.met = peer
            self.sampled_peers[peer] = now, held
            if len(self.sampled_peers) > SAMPLED_PEERS:
                del self.sampled_peers[next(iter(self.sampled_peers))]
            for one, count in known if held >= LEAST_HELD * len(self.near) else ():
                self.vote(one, peer, min(1.0, count / held), now)
        return [
            (aggregation.LATENESS, one, mean)
            for one, value in late
            if listed.get(one) and (mean := self.sign(one, peer, min(WORST, value), now)) >= LATE
        ]

    def vote(self, one: int, peer: int, share: float, now: float) -> None:
        """The latest of each peer. Guards against one that speaks often, or whose datagrams come twice."""
        votes = self.votes.setdefault(one, {})
        votes.pop(peer, None)
        votes[peer] = share, now
        if len(votes) > VOTES:
            del votes[next(iter(votes))]

    def sign(self, one: int, peer: int, late: float, now: float) -> float:
        """How late by two peers that agree in time; 0 as long as only one says so."""
        before, when, by = self.signs.get(one, (0.0, -math.inf, self.own))
        agree = now - when < SEEN_FOR
        if agree and by == peer:
            return 0.0
        mean = (late + before * agree) / 2
        self.signs[one] = mean, now, peer
        return mean * agree
