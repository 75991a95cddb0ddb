"""Estimates the load of each server in a large tier by polling a few peers.

A tier of more than MAX_AGGREGATED_BALANCERS balancers has no aggregator (`aggregation`), since one node
cannot receive the reports of thousands. Twice a second each balancer sends to one peer what it holds at some
servers of its zone. The receiver keeps, for each server, the shares that the last few senders held there; its
estimate is the median of these and its own. No estimate is computed from other estimates. There is no role
that can be lost or taken twice, a repeated datagram replaces the vote that it repeats, and a peer that sends
wrong values has one vote of seven. docs/scale-design.md compares the alternatives.

The module packs and unpacks the datagram, selects its receiver and keeps the votes. It makes no decisions and
has no clock, no socket and no random source of its own. Servers are never learned from a peer: only hashed
identifiers of the balancer's own list count. The placements of groups are not exchanged: all balancers rank
the servers for a group in the same order.

A datagram, big-endian, has at most 256 bytes:
    header:  form u8 (6), version u8, held u32, late u8, polled u8
    record:  hashed identifier u24, value u8 on the scale of `aggregation`     (late + polled times)
`held` is the number of connections that the sender holds at all servers of its zone. The value of the first
`late` records is the lateness of a server that the sender has seen itself, as a share of the shortest message
aim; that of the `polled` others is the number of connections that it holds there. The previous release knows
the forms 1 to 5 and ignores this one, as this module ignores those.
"""

from __future__ import annotations

import math
import struct
from bisect import bisect_right
from collections.abc import Callable, Sequence
from statistics import median
from typing import Any

from bellrack.peers import aggregation

MAX_AGGREGATED_BALANCERS = 256  # the largest tier that benchmarks have run with an aggregator
FORM = 6
VERSION = 1
HEADER = struct.Struct(">BBIBB")
RECORD = struct.Struct(">I")
MAX_RECORDS = (256 - HEADER.size) // RECORD.size  # in a datagram
MAX_LATENESS_RECORDS = 8  # lateness records among them
ID_MASK = (1 << 24) - 1  # of hashed identifiers; of 6,000 servers about two share one and are left out
SEND_INTERVAL_SECONDS = 0.45  # minimum between own datagrams; `on_period` is called each 0.5 s
SAMPLED_PEERS = 32  # peers of the zone that are remembered
FEW_SAMPLED_PEERS = 8  # with fewer, more datagrams go to any peer of the tier
PEER_TTL_SECONDS = 120.0  # a peer is forgotten so long after its last datagram
EXPLORE_SHARE = 0.25  # of the datagrams go to any peer of the tier, so that peers of a zone find each other
MAX_DATAGRAMS_PER_PERIOD = 16  # read between two calls of `on_period`; limits the effect of a flood
SILENCE_SECONDS = 10.0  # without a datagram from the zone for so long, the load of the zone is unknown
MAX_VOTES = 6  # votes of peers that are kept for each server
MIN_VOTES = 3  # including the own one; with fewer, only the own one counts
VOTE_TTL_SECONDS = 60.0
# Mean connections per server that a voter must hold. A median of seven votes then has a random error of 12%.
MIN_VOTER_CONNECTIONS = 16
LATENESS_REPEATS = 4  # datagrams in which a lateness is sent
AGREEMENT_SECONDS = 4.0  # within which two peers have to report the same server as late
MIN_LATENESS = 0.5  # share of the shortest message aim that counts as late
MAX_LATENESS = 4.0  # a higher lateness counts as this
GOLDEN_RATIO = 0.618034  # step of the rounding threshold between records: spreads it evenly over a datagram
SCALE = [2 ** (step / aggregation.STEPS_PER_DOUBLING) - 1 for step in range(257)]

Poll = tuple[int, list[tuple[int, float]], list[tuple[int, float]]]  # held, late, polled


def quantize(value: float, threshold: float) -> int:
    """The step of the scale below or above the value.

    It is the step above if `threshold`, in [0, 1), is under the value's position between the two. With random
    thresholds the mean has no bias.
    """
    low = bisect_right(SCALE, value, 0, 255) - 1
    return low + (threshold * (SCALE[low + 1] - SCALE[low]) < value - SCALE[low])


def pack(
    held: int,
    late: Sequence[tuple[int, float]],
    polled: Sequence[tuple[int, float]],
    draw: Callable[[], float],
) -> bytes:
    """Packs a datagram; records that don't fit are left out. `draw()` returns a random number in [0, 1)."""
    late, threshold = late[:MAX_LATENESS_RECORDS], draw()
    records = [*late, *polled[: MAX_RECORDS - len(late)]]
    packed = [
        (short_id & ID_MASK) << 8 | quantize(value, (threshold + GOLDEN_RATIO * at) % 1.0)
        for at, (short_id, value) in enumerate(records)
    ]
    header = HEADER.pack(FORM, VERSION, min(held, 0xFFFFFFFF), len(late), len(records) - len(late))
    return header + struct.pack(f">{len(packed)}I", *packed)


def unpack(data: bytes) -> Poll | None:
    """Unpacks a datagram; None if it has another form or version or is malformed."""
    if len(data) < HEADER.size or len(data) > 256 or data[0] != FORM or data[1] != VERSION:
        return None
    _, _, held, late, polled = HEADER.unpack_from(data)
    if late > MAX_LATENESS_RECORDS or len(data) != HEADER.size + RECORD.size * (late + polled):
        return None
    records = [(record >> 8, SCALE[record & 255]) for (record,) in RECORD.iter_unpack(data[HEADER.size :])]
    return held, records[:late], records[late:]


class Gossip:
    """One balancer's part in the poll, with the methods of `aggregation.Aggregation`.

    `send(peer, data)` is called with each datagram, and `draw()` for random numbers in [0, 1). `setup_wait`
    is the time in seconds by which a set-up exceeds the baseline at a server whose lateness is 1.
    """

    id_mask = ID_MASK  # of the hashed identifiers of servers
    cache_seconds = 1.0  # how long a computed fleet load may be reused
    aggregator = published_baseline = None  # a large tier has none

    def __init__(
        self,
        own_number: int,
        tier_size: int,
        send: Callable[[int | None, bytes], None],
        draw: Callable[[], float],
        setup_wait: float,
    ):
        self.own_number, self.tier_size, self.send, self.draw, self.setup_wait = (
            own_number,
            tier_size,
            send,
            draw,
            setup_wait,
        )
        self.zone_servers: dict[int, float] = {}  # servers of the own zone, and when each last started
        self.poll_order: list[int] = []
        self.poll_position = int(draw() * ID_MASK)  # the next datagram starts with the server after this one
        self.held: dict[int, int] = {}  # own connections by short id
        self.held_in_zone = 0  # own connections at the servers of the zone
        self.new_peer: int | None = None  # gets the next datagram, so that both peers know each other
        # By peer, the latest last: the time of its last datagram, and the connections that it holds.
        self.sampled_peers: dict[int, tuple[float, int]] = {}
        self.votes: dict[int, dict[int, tuple[float, float]]] = {}  # by short id and peer: share, when
        self.own_lateness: dict[int, tuple[float, int]] = {}  # by short id: seen here, sends left
        self.peer_lateness: dict[int, tuple[float, float, int]] = {}  # received: mean, when, last peer
        self.own_baseline = math.inf
        self.last_sent = self.last_received = -math.inf
        self.received_datagrams = 0  # in this period
        self.cached_typical: tuple[float, float] = -math.inf, 0.0  # when computed, and the result

    def on_servers_listed(self, servers: dict[int, Any], zone: int) -> None:
        """Sets the servers that records may refer to, by short id; None for an id that two servers share.

        Votes for a server that has restarted are dropped: they are about its previous run. If no server of
        the zone is listed, those of all zones are polled.
        """
        zone_servers = {
            short_id: server.started_at
            for short_id, server in servers.items()
            if server and server.zone == zone
        }
        zone_servers = zone_servers or {
            short_id: server.started_at for short_id, server in servers.items() if server
        }
        self.votes = {
            short_id: votes
            for short_id, votes in self.votes.items()
            if zone_servers.get(short_id) == self.zone_servers[short_id]
        }
        self.peer_lateness = {
            short_id: sign for short_id, sign in self.peer_lateness.items() if servers.get(short_id)
        }
        self.zone_servers, self.poll_order = zone_servers, sorted(zone_servers)
        self.held_in_zone = sum(count for short_id, count in self.held.items() if short_id in zone_servers)

    def set_held(self, id_hash: int, count: int, group: int, of_group: int) -> None:
        """Sets how many own connections the server has; groups are ignored."""
        short_id = id_hash & ID_MASK
        self.held_in_zone += (count - self.held.get(short_id, 0)) * (short_id in self.zone_servers)
        self.held[short_id] = count
        if not count:
            del self.held[short_id]

    def holds_group(self, id_hash: int, group: int, now: float) -> bool:
        """Always false: placements are not exchanged in a large tier."""
        return False

    def report(self, kind: int, id_hash: int, value: float) -> None:
        """Takes an own sign for the next datagrams: the milliseconds of a set-up, or a lateness."""
        lateness = (
            value if kind == aggregation.LATENESS else (value / 1000 - self.own_baseline) / self.setup_wait
        )
        if lateness >= MIN_LATENESS and (
            id_hash & ID_MASK in self.own_lateness or len(self.own_lateness) < MAX_LATENESS_RECORDS
        ):
            self.own_lateness[id_hash & ID_MASK] = lateness, LATENESS_REPEATS

    def has_broadcasts(self, now: float) -> bool:
        """Whether a peer of the zone has sent a datagram recently."""
        return now - self.last_received <= SILENCE_SECONDS

    def covers(self, id_hash: int) -> bool:
        """Whether the server is polled: true for those of the zone."""
        return id_hash & ID_MASK in self.zone_servers

    def total(self, id_hash: int, now: float) -> float | None:
        """The connections that all balancers would hold at the server if each held as many as the median.

        None if there are too few votes. The own vote counts if the balancer holds enough connections.
        """
        short_id, least = id_hash & ID_MASK, MIN_VOTER_CONNECTIONS * len(self.zone_servers)
        if short_id not in self.zone_servers:
            return None
        shares = [
            share for share, when in self.votes.get(short_id, {}).values() if now - when <= VOTE_TTL_SECONDS
        ]
        if self.held_in_zone >= least:
            own_share = self.held.get(short_id, 0) / self.held_in_zone
            shares = [own_share] if len(shares) + 1 < MIN_VOTES else [*shares, own_share]
        elif len(shares) < MIN_VOTES:
            return None
        return median(shares) * self.typical_held(now) * self.tier_size

    def typical_held(self, now: float) -> float:
        """The median of the connections that this balancer and the sampled peers hold in the zone."""
        if now != self.cached_typical[0]:
            held = [held for when, held in self.sampled_peers.values() if now - when <= VOTE_TTL_SECONDS]
            self.cached_typical = (
                now,
                median([*held, self.held_in_zone])
                if len(held) + 1 >= MIN_VOTES
                else max(1.0, self.held_in_zone),
            )
        return self.cached_typical[1]

    def on_period(self, now: float, baseline: float) -> None:
        """Sends a datagram if one is due. Called a few times a second.

        `baseline` is the duration of a set-up at a server that is not late, in seconds, as far as this
        balancer knows.
        """
        self.own_baseline, self.received_datagrams = baseline, 0
        if now - self.last_sent < SEND_INTERVAL_SECONDS or not self.poll_order:
            return
        self.last_sent = now
        late = [(short_id, lateness) for short_id, (lateness, _) in self.own_lateness.items()]
        self.own_lateness = {
            short_id: (lateness, left - 1)
            for short_id, (lateness, left) in self.own_lateness.items()
            if left > 1
        }
        start = bisect_right(self.poll_order, self.poll_position) % len(self.poll_order)
        polled = (self.poll_order[start:] + self.poll_order[:start])[: MAX_RECORDS - len(late)]
        self.poll_position = polled[-1]
        peer = self.choose_peer(now)
        if peer is not None:
            self.send(
                peer,
                pack(
                    self.held_in_zone,
                    late,
                    [(short_id, self.held.get(short_id, 0)) for short_id in polled],
                    self.draw,
                ),
            )

    def choose_peer(self, now: float) -> int | None:
        """Returns the receiver of the next datagram: a new peer if there is one, else a sampled peer or, with
        a probability of at least EXPLORE_SHARE, any peer of the tier. None if the tier has no other."""
        new_peer, self.new_peer = self.new_peer, None
        if new_peer is not None:
            return new_peer
        self.sampled_peers = {
            peer: seen for peer, seen in self.sampled_peers.items() if now - seen[0] <= PEER_TTL_SECONDS
        }
        if self.draw() < max(EXPLORE_SHARE, 1 - len(self.sampled_peers) / FEW_SAMPLED_PEERS):
            peer = int(self.draw() * (self.tier_size - 1))
            return peer + (peer >= self.own_number) if self.tier_size > 1 else None
        return list(self.sampled_peers)[int(self.draw() * len(self.sampled_peers))]

    def on_datagram(
        self, now: float, peer: int, data: bytes, listed: dict[int, object]
    ) -> list[aggregation.Record]:
        """Takes the votes of a datagram, and returns the lateness of servers on which two peers agree.

        `listed` has the listed servers by short id; the lateness of others is ignored. The sender becomes a
        sampled peer if this balancer knows at least half of the polled servers as servers of its zone.
        """
        poll = unpack(data)
        if (
            poll is None
            or peer == self.own_number
            or not 0 <= peer < self.tier_size
            or self.received_datagrams >= MAX_DATAGRAMS_PER_PERIOD
        ):
            return []
        self.received_datagrams += 1
        held, late, polled = poll
        known = [(short_id, count) for short_id, count in polled if short_id in self.zone_servers]
        if polled and 2 * len(known) >= len(polled):
            self.last_received = now
            if self.sampled_peers.pop(peer, None) is None:
                self.new_peer = peer
            self.sampled_peers[peer] = now, held
            if len(self.sampled_peers) > SAMPLED_PEERS:
                del self.sampled_peers[next(iter(self.sampled_peers))]
            for short_id, count in known if held >= MIN_VOTER_CONNECTIONS * len(self.zone_servers) else ():
                self.add_vote(short_id, peer, min(1.0, count / held), now)
        return [
            (aggregation.LATENESS, short_id, mean)
            for short_id, value in late
            if listed.get(short_id)
            and (mean := self.agreed_lateness(short_id, peer, min(MAX_LATENESS, value), now)) >= MIN_LATENESS
        ]

    def add_vote(self, short_id: int, peer: int, share: float, now: float) -> None:
        """Replaces the peer's vote for the server, and drops the oldest vote if there are too many.

        Otherwise a peer that sends often, or whose datagrams arrive twice, would have more than one vote.
        """
        votes = self.votes.setdefault(short_id, {})
        votes.pop(peer, None)
        votes[peer] = share, now
        if len(votes) > MAX_VOTES:
            del votes[next(iter(votes))]

    def agreed_lateness(self, short_id: int, peer: int, lateness: float, now: float) -> float:
        """The mean lateness of the server if another peer has reported it recently too, else 0."""
        previous, when, reporter = self.peer_lateness.get(short_id, (0.0, -math.inf, self.own_number))
        agree = now - when < AGREEMENT_SECONDS
        if agree and reporter == peer:
            return 0.0
        mean = (lateness + previous * agree) / 2
        self.peer_lateness[short_id] = mean, now, peer
        return mean * agree
