"""What is known of servers beyond own connections: how full all balancers together have made each, where
groups stand, and which are late by what set-ups and resets show.

Owns the reading of that evidence and its way to the aggregator and back (`aggregation`). Never decides what
becomes of a call: it tells the decisions how late a server is, as a share of the shortest message aim, and
answers what they ask. No clock, no socket; without messages between balancers it finds nothing late.

A set-up waits at its server behind what is piled up there, so what it takes over the usual is how late
messages are. The usual is taken over all servers just now, the session store's part in it: where all are slow
alike, none is late. The work of set-ups differs widely, so one alone counts half; the aggregator hears of
all.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from bellrack.model import Server, Settings
from bellrack.peers import aggregation, gossip
from bellrack.rng import Rng

RECENT, RECENT_FOR = 24, 4.0  # set-ups, and seconds, from which the usual is taken,
USUAL = 0.4  # as this share of them from below,
FEWEST = 4  # if there are so many; else half the shortest message aim
SEEN_FOR = 4.0  # seconds for which one sign is averaged with the next
LATE = 0.5  # of the shortest message aim: from here on it is told
DROPPED = 0.9  # what a reset counts as
WAITS = 0.65  # of what messages are late by, what a set-up waits over the usual; with 1 zone days fell
ALONE = 1.5  # the same for who is not the aggregator and has seen only own set-ups
REPUBLISH_SECONDS = 2.0  # seconds until it is told again, unless it has doubled
NOTICED_FOR = 30.0  # seconds since a server's own notice for which such are waited for
LEAST_KNOWN = 0.5  # share of the servers asked about of which sums have to be known


class OverloadDetector:
    """One balancer's part. `on_overload(server, delay)` hears what is found."""

    def __init__(
        self,
        settings: Settings,
        tell: Callable[[int | None, bytes], None],
        on_overload: Callable[[Server, float], None],
        large: int | None = None,
    ):
        self.settings, self.on_overload = settings, on_overload
        own, peers = settings.number, settings.peers
        self.exchange: aggregation.Aggregation | gossip.Gossip = aggregation.Aggregation(own, peers, tell)
        if peers > (gossip.LARGE if large is None else large):
            self.exchange = gossip.Gossip(
                own, peers, tell, Rng(own).uniform, WAITS * settings.shortest_message_aim
            )
        self.filled: tuple[float, dict[Server, float]] = -math.inf, {}
        self.servers: dict[int, Server | None] = {}  # by short mark; None where two share it
        self.took: deque[tuple[float, float]] = deque(maxlen=RECENT)  # set-ups: when, how long
        self.lateness: dict[int, tuple[float, float]] = {}  # by mark: how late lately, and when last seen
        self.published: dict[int, tuple[float, float]] = {}  # the same as last told
        self.last_server_notice = -math.inf  # when a server last said itself how late its messages are
        self.verdicts = 0  # times that a server was found late by other signs than its own word

    def on_servers_listed(self, fleet: Iterable[Server]) -> None:
        """The servers that may be spoken of. Guards against evidence taken for another server's."""
        self.servers = {}
        for server in fleet:
            short = server.id_hash & self.exchange.id_bits
            self.servers[short] = None if short in self.servers else server
        self.exchange.on_servers_listed(self.servers, self.settings.zone)
        self.filled = -math.inf, {}
        known = {server.id_hash for server in self.servers.values() if server}
        self.lateness = {mark: seen for mark, seen in self.lateness.items() if mark in known}
        self.published = {mark: seen for mark, seen in self.published.items() if mark in known}

    def has_broadcasts(self, now: float) -> bool:
        """Somebody publishes what all balancers know, and servers do not say themselves how they fare."""
        return (
            self.settings.may_publish
            and self.exchange.has_broadcasts(now)
            and not self.servers_report_load(now)
        )

    def servers_report_load(self, now: float) -> bool:
        """Servers send notices of late messages, or report their load: evidence that goes before this."""
        return bool(self.settings.report) or now - self.last_server_notice <= NOTICED_FOR

    def nobody_reports_load(self, now: float) -> bool:
        """Neither servers nor other balancers say that messages are late: a reset tells first."""
        return self.settings.peers_unseen and not self.servers_report_load(now)

    def holds_group(self, server: Server, group: int, now: float) -> bool:
        """Is this group known to stand there?"""
        return self.has_broadcasts(now) and self.exchange.holds_group(server.id_hash, group, now)

    def baseline(self, now: float) -> float:
        """What a set-up takes just now at a server that is not late, in seconds."""
        told = self.exchange
        if told.published_baseline is not None and told.aggregator != told.own and told.has_broadcasts(now):
            return told.published_baseline
        took = sorted(took for when, took in self.took if now - when < RECENT_FOR)
        return took[int(USUAL * len(took))] if len(took) >= FEWEST else self.settings.shortest_message_aim / 2

    def on_established(self, server: Server, took: float, now: float) -> None:
        """A set-up of ours took so long."""
        if self.settings.may_publish:
            self.exchange.report(aggregation.SETUP_TIME, server.id_hash, took * 1000)
        self.set_up(server, took, now)

    def set_up(self, server: Server, took: float, now: float) -> None:
        late = (took - self.baseline(now)) / (WAITS * self.settings.shortest_message_aim)
        self.took.append((now, took))
        self.on_sign(server, max(0.0, late), now)

    def on_reset(self, server: Server, now: float) -> None:
        """It reset what stood. What one balancer meets is the decisions' own; here, that several do."""
        if self.has_broadcasts(now):
            self.exchange.report(aggregation.LATENESS, server.id_hash, DROPPED)
            self.on_sign(server, DROPPED, now)
        elif self.nobody_reports_load(now):
            self.verdicts += 1
            self.on_overload(server, DROPPED)

    def on_sign(self, server: Server, late: float, now: float) -> None:
        before, when = self.lateness.get(server.id_hash, (0.0, -math.inf))
        late = (late + (before if now - when < SEEN_FOR else 0.0)) / 2
        self.lateness[server.id_hash] = late, now
        aggregator = self.exchange.aggregator == self.exchange.own
        if late < (LATE if aggregator else ALONE):
            return
        before, when = self.published.get(server.id_hash, (0.0, -math.inf))
        if aggregator and (now - when > REPUBLISH_SECONDS or late > 2 * before):
            self.published[server.id_hash] = late, now
            self.exchange.relay_overload(server.id_hash, late)
        self.report_overload(server, late, now)

    def report_overload(self, server: Server, late: float, now: float) -> None:
        # Guards against few balancers that take the chance of a set-up or two for a server's state.
        if self.has_broadcasts(now):
            self.verdicts += 1
            self.on_overload(server, late)

    def on_datagram(self, peer: int, data: bytes, now: float) -> None:
        """A datagram; what is none of ours says nothing."""
        for kind, mark, value in self.exchange.on_datagram(now, peer, data, self.servers):
            server = self.servers[mark]
            if kind == aggregation.SETUP_TIME:
                self.set_up(server, value / 1000, now)
            elif self.exchange.aggregator == self.exchange.own:
                self.on_sign(server, value, now)
            else:
                self.report_overload(server, value, now)

    def on_period(self, now: float) -> None:
        """A few times a second: say what is due; nothing where servers say more themselves."""
        if self.servers_report_load(now):
            return
        self.exchange.on_period(now, self.baseline(now))

    def fleet_load(self, servers: list[Server], now: float) -> dict[Server, float]:
        """What all balancers hold of each; nothing if that is not known of most. Where it is not known of one
        it is taken to be as full as the others."""
        if not self.has_broadcasts(now):
            return {}
        if now < self.filled[0] + self.exchange.refresh:
            return self.filled[1]
        known = {
            server: self.exchange.total(server.id_hash, now)
            for server in servers
            if self.exchange.covers(server.id_hash)
        }
        told = {server: total for server, total in known.items() if total is not None}
        if not told or len(told) < LEAST_KNOWN * len(known):
            return {}
        mean = sum(told.values()) / sum(server.capacity for server in told)
        self.filled = now, {server: told.get(server, mean * server.capacity) for server in servers}
        return self.filled[1]
