"""Detects overloaded servers by the set-ups and resets of all balancers; estimates the load of each server.

A set-up, the exchange that establishes a connection, queues behind the messages that wait at its server. Its
duration above the baseline therefore shows how late the server's messages are. The baseline is taken over all
recent set-ups and includes the session store's delay: if all servers are equally slow, none counts as
overloaded. The work of set-ups differs widely, so a single one counts half, and the aggregator receives those
of all balancers.

`OverloadDetector` evaluates this evidence and exchanges it with the other balancers (`aggregation`, or
`gossip` in a large tier). It passes lateness to the decisions as a share of the shortest message aim, and
answers where groups are placed and how many connections all balancers hold at each server. It makes no
decision about a call, and has no clock and no socket. Without datagrams from other balancers only resets
count (see `on_reset`).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from bellrack.model import Server, Settings
from bellrack.peers import aggregation, gossip
from bellrack.rng import Rng

# Lateness is measured as a share of the shortest message aim.
RECENT_SETUPS = 24  # number of set-ups from which the baseline is taken
RECENT_SETUP_SECONDS = 4.0  # older set-ups no longer count for the baseline
BASELINE_QUANTILE = 0.4  # of the durations of recent set-ups
MIN_BASELINE_SETUPS = 4  # with fewer, the baseline is half the shortest message aim
SIGN_MEMORY_SECONDS = 4.0  # a sign is averaged with the server's previous one unless that is older
OVERLOAD_LATENESS = 0.5  # a server counts as overloaded from here on
RESET_LATENESS = 0.9  # a reset counts as this lateness
# The delay of a set-up over the baseline at a server whose lateness is 1, as a share of the shortest message
# aim. With 1 in place of 0.65, runs with zone outages failed.
SETUP_WAIT_SHARE = 0.65
OWN_SIGN_LATENESS = 1.5  # as OVERLOAD_LATENESS, for a balancer that sees only its own set-ups
REPUBLISH_SECONDS = 2.0  # until an overload is published again; at once if its lateness has doubled
SERVER_NOTICE_SECONDS = 30.0  # other evidence is not used for so long after a server's own notice
MIN_KNOWN_SHARE = 0.5  # the load is unknown if it is known for less than this share of the servers


class OverloadDetector:
    """One balancer's detector.

    `send(peer, data)` is called with each datagram for a peer, or for all if `peer` is None, and
    `on_overload(server, lateness)` for each server found overloaded. A tier of more than `max_aggregated`
    balancers, by default `gossip.MAX_AGGREGATED_BALANCERS`, uses gossip in place of an aggregator.
    """

    def __init__(
        self,
        settings: Settings,
        send: Callable[[int | None, bytes], None],
        on_overload: Callable[[Server, float], None],
        max_aggregated: int | None = None,
    ):
        self.settings, self.on_overload = settings, on_overload
        own_number, tier_size = settings.number, settings.peers
        self.exchange: aggregation.Aggregation | gossip.Gossip = aggregation.Aggregation(
            own_number, tier_size, send
        )
        if tier_size > (gossip.MAX_AGGREGATED_BALANCERS if max_aggregated is None else max_aggregated):
            self.exchange = gossip.Gossip(
                own_number,
                tier_size,
                send,
                Rng(own_number).uniform,
                SETUP_WAIT_SHARE * settings.shortest_message_aim,
            )
        self.cached_load: tuple[float, dict[Server, float]] = -math.inf, {}  # when computed, and the result
        self.servers: dict[int, Server | None] = {}  # by short id; None if two servers share it
        self.setups: deque[tuple[float, float]] = deque(maxlen=RECENT_SETUPS)  # time and duration
        self.lateness: dict[int, tuple[float, float]] = {}  # by id hash: recent lateness, and when updated
        self.published: dict[int, tuple[float, float]] = {}  # by id hash: lateness last published, and when
        self.last_server_notice = -math.inf  # when a server last reported late messages itself
        self.verdicts = 0  # times that a server was found overloaded without its own report

    def on_servers_listed(self, fleet: Iterable[Server]) -> None:
        """Sets the servers that records may refer to.

        A short id of two servers refers to neither: otherwise one would be judged by the other's evidence.
        """
        self.servers = {}
        for server in fleet:
            short_id = server.id_hash & self.exchange.id_mask
            self.servers[short_id] = None if short_id in self.servers else server
        self.exchange.on_servers_listed(self.servers, self.settings.zone)
        self.cached_load = -math.inf, {}
        known = {server.id_hash for server in self.servers.values() if server}
        self.lateness = {id_hash: sign for id_hash, sign in self.lateness.items() if id_hash in known}
        self.published = {id_hash: sign for id_hash, sign in self.published.items() if id_hash in known}

    def has_broadcasts(self, now: float) -> bool:
        """Whether data of all balancers arrives and is used: not if servers report their load themselves."""
        return (
            self.settings.may_publish
            and self.exchange.has_broadcasts(now)
            and not self.servers_report_load(now)
        )

    def servers_report_load(self, now: float) -> bool:
        """Whether servers report load, or have sent notices of late messages recently.

        Their own reports take precedence over the evidence collected here.
        """
        return bool(self.settings.report) or now - self.last_server_notice <= SERVER_NOTICE_SECONDS

    def load_is_unreported(self, now: float) -> bool:
        """Whether neither servers nor other balancers report late messages.

        A reset is then the first sign of overload.
        """
        return self.settings.peers_unseen and not self.servers_report_load(now)

    def holds_group(self, server: Server, group: int, now: float) -> bool:
        """Whether the group is known to be placed at the server."""
        return self.has_broadcasts(now) and self.exchange.holds_group(server.id_hash, group, now)

    def baseline(self, now: float) -> float:
        """The current duration of a set-up at a server that is not late, in seconds."""
        exchange = self.exchange
        if (
            exchange.published_baseline is not None
            and exchange.aggregator != exchange.own_number
            and exchange.has_broadcasts(now)
        ):
            return exchange.published_baseline
        durations = sorted(duration for when, duration in self.setups if now - when < RECENT_SETUP_SECONDS)
        return (
            durations[int(BASELINE_QUANTILE * len(durations))]
            if len(durations) >= MIN_BASELINE_SETUPS
            else self.settings.shortest_message_aim / 2
        )

    def on_established(self, server: Server, duration: float, now: float) -> None:
        """Takes the duration of an own set-up, in seconds."""
        if self.settings.may_publish:
            self.exchange.report(aggregation.SETUP_TIME, server.id_hash, duration * 1000)
        self.add_setup(server, duration, now)

    def add_setup(self, server: Server, duration: float, now: float) -> None:
        """Takes the duration of a set-up, an own one or one reported to the aggregator, in seconds."""
        lateness = (duration - self.baseline(now)) / (SETUP_WAIT_SHARE * self.settings.shortest_message_aim)
        self.setups.append((now, duration))
        self.on_sign(server, max(0.0, lateness), now)

    def on_reset(self, server: Server, now: float) -> None:
        """Takes the reset of an established connection as a sign of overload.

        The decisions evaluate the balancer's own resets; here the resets that several balancers see are
        combined.
        """
        if self.has_broadcasts(now):
            self.exchange.report(aggregation.LATENESS, server.id_hash, RESET_LATENESS)
            self.on_sign(server, RESET_LATENESS, now)
        elif self.load_is_unreported(now):
            self.verdicts += 1
            self.on_overload(server, RESET_LATENESS)

    def on_sign(self, server: Server, lateness: float, now: float) -> None:
        """Averages the lateness with the server's last sign, and reports the server if it is overloaded.

        The aggregator also publishes the overload.
        """
        previous, when = self.lateness.get(server.id_hash, (0.0, -math.inf))
        lateness = (lateness + (previous if now - when < SIGN_MEMORY_SECONDS else 0.0)) / 2
        self.lateness[server.id_hash] = lateness, now
        aggregator = self.exchange.aggregator == self.exchange.own_number
        if lateness < (OVERLOAD_LATENESS if aggregator else OWN_SIGN_LATENESS):
            return
        previous, when = self.published.get(server.id_hash, (0.0, -math.inf))
        if aggregator and (now - when > REPUBLISH_SECONDS or lateness > 2 * previous):
            self.published[server.id_hash] = lateness, now
            self.exchange.relay_overload(server.id_hash, lateness)
        self.report_overload(server, lateness, now)

    def report_overload(self, server: Server, lateness: float, now: float) -> None:
        """Reports an overloaded server to the decisions, if data of all balancers arrives."""
        # Otherwise a small number of balancers would judge a server by the chance of one or two set-ups.
        if self.has_broadcasts(now):
            self.verdicts += 1
            self.on_overload(server, lateness)

    def on_datagram(self, peer: int, data: bytes, now: float) -> None:
        """Takes a datagram of another balancer; one of another format is ignored."""
        for kind, short_id, value in self.exchange.on_datagram(now, peer, data, self.servers):
            server = self.servers[short_id]
            if kind == aggregation.SETUP_TIME:
                self.add_setup(server, value / 1000, now)
            elif self.exchange.aggregator == self.exchange.own_number:
                self.on_sign(server, value, now)
            else:
                self.report_overload(server, value, now)

    def on_period(self, now: float) -> None:
        """Sends the datagrams that are due. Called a few times a second.

        Nothing is sent while servers report their load themselves.
        """
        if self.servers_report_load(now):
            return
        self.exchange.on_period(now, self.baseline(now))

    def fleet_load(self, servers: list[Server], now: float) -> dict[Server, float]:
        """The connections that all balancers together hold at each server.

        The result is empty if the number is known for too few servers. A server with an unknown number gets
        the others' mean load for its capacity.
        """
        if not self.has_broadcasts(now):
            return {}
        if now < self.cached_load[0] + self.exchange.cache_seconds:
            return self.cached_load[1]
        totals = {
            server: self.exchange.total(server.id_hash, now)
            for server in servers
            if self.exchange.covers(server.id_hash)
        }
        known = {server: total for server, total in totals.items() if total is not None}
        if not known or len(known) < MIN_KNOWN_SHARE * len(totals):
            return {}
        mean = sum(known.values()) / sum(server.capacity for server in known)
        self.cached_load = now, {server: known.get(server, mean * server.capacity) for server in servers}
        return self.cached_load[1]
