"""Exchange between balancers through an aggregator: records, totals, placements, and overload detection."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bellrack import model
from bellrack.accounting import Accounting
from bellrack.peers import aggregation
from bellrack.peers.overload import OverloadDetector
from tests.helpers import Bench, settings

AIM = 0.1  # seconds, the shortest message aim of the settings


class Tier:
    """The detectors of some balancers with one fleet; each datagram is lost with probability `loss`.

    `reported` lists each report of an overloaded server: balancer, server, lateness. Balancers in `isolated`
    exchange no datagrams.
    """

    def __init__(self, count=6, servers=8, loss=0.0, **rules):
        self.now, self.reported, self.random, self.loss = 100.0, [], random.Random(5), loss
        self.fleet = [model.Server(number * 77 + 5) for number in range(servers)]
        self.isolated: set[int] = set()
        self.detectors = []
        for number in range(count):
            detector = OverloadDetector(
                settings(peers=count, number=number, may_publish=True, **rules),
                self.sender(number),
                lambda server, lateness, by=number: self.reported.append((by, server, lateness)),
            )
            detector.on_servers_listed(self.fleet)
            self.detectors.append(detector)

    def sender(self, own):
        def send(peer, data):
            assert len(data) <= 256
            for other in range(len(self.detectors)) if peer is None else [peer]:
                if other != own and not {own, other} & self.isolated and self.random.random() >= self.loss:
                    self.detectors[other].on_datagram(own, data, self.now)

        return send

    def run(self, seconds):
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            for number, detector in enumerate(self.detectors):
                if number not in self.isolated:
                    detector.on_period(self.now)

    def set_up(self, duration, rounds=12):
        """Lets the balancers in turn set up connections at each server, in `duration(server)` seconds."""
        for round_number in range(rounds):
            for index, server in enumerate(self.fleet):
                self.detectors[(round_number + index) % len(self.detectors)].on_established(
                    server, duration(server), self.now
                )
            self.run(0.25)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, aggregation.SHORT_ID_MASK), st.floats(0, 1e4)),
        max_size=200,
    )
)
def test_packed_records_are_within_a_step_and_datagrams_within_256_bytes(records):
    datagrams = list(aggregation.pack(aggregation.BROADCAST, records))
    unpacked = [record for data in datagrams for record in aggregation.unpack(data)[1]]
    assert all(len(data) <= 256 for data in datagrams) and [r[:2] for r in unpacked] == [
        r[:2] for r in records
    ]
    assert all(abs(got[2] - sent[2]) <= 0.05 * (1 + sent[2]) for got, sent in zip(unpacked, records))


@given(st.binary(max_size=300))
def test_arbitrary_bytes_from_a_peer_raise_nothing(data):
    tier = Tier(2)
    tier.detectors[0].on_datagram(1, data, tier.now)
    tier.run(3)


def test_all_learn_totals_and_placements_despite_datagram_loss():
    tier = Tier(count=12, loss=0.1)
    for number, detector in enumerate(tier.detectors):
        detector.exchange.set_held(tier.fleet[number % 2].id_hash, 2, 9, 2)
    correct = {detector: [0, 0] for detector in tier.detectors}
    # Several broadcasts in a row may be lost and reports may expire, but no balancer may stay without totals.
    for check in range(30):
        tier.run(2)
        for detector in tier.detectors:
            load = detector.fleet_load(tier.fleet, tier.now)
            totals_correct = load and all(9 <= load[server] <= 12.5 for server in tier.fleet[:2])
            correct[detector][check // 15] += bool(
                totals_correct
                and not load[tier.fleet[2]]
                and detector.holds_group(tier.fleet[0], 9, tier.now)
                and not detector.holds_group(tier.fleet[3], 9, tier.now)
            )
    assert all(min(halves) for halves in correct.values())


def test_another_candidate_replaces_a_lost_aggregator_and_drops_its_connections():
    tier = Tier()
    for detector in tier.detectors:
        detector.exchange.set_held(tier.fleet[0].id_hash, 2, 0, 0)
    tier.run(6)
    first = tier.detectors[5].exchange.aggregator
    tier.isolated.add(first)
    tier.run(25)
    assert tier.detectors[5].exchange.aggregator not in (None, first)
    assert round(tier.detectors[5].fleet_load(tier.fleet, tier.now)[tier.fleet[0]]) == 10
    assert not tier.detectors[first].fleet_load(tier.fleet, tier.now + 60)  # isolated, it receives nothing


def test_of_two_aggregators_the_one_with_the_higher_number_stops():
    tier = Tier()
    tier.run(3)
    tier.detectors[3].exchange.aggregator = 3
    tier.run(6)
    assert {detector.exchange.aggregator for detector in tier.detectors} == {0}


def test_servers_that_share_a_short_id_are_left_out():
    tier = Tier()
    twin = model.Server(tier.fleet[0].id_hash + aggregation.SHORT_ID_MASK + 1)
    for detector in tier.detectors:
        detector.on_servers_listed([*tier.fleet, twin])
        detector.exchange.set_held(tier.fleet[0].id_hash, 9, 0, 0)
        detector.exchange.set_held(tier.fleet[1].id_hash, 1, 0, 0)
    tier.run(10)
    totals = tier.detectors[4].exchange.totals
    assert (
        tier.fleet[1].id_hash & aggregation.SHORT_ID_MASK in totals
        and tier.fleet[0].id_hash & aggregation.SHORT_ID_MASK not in totals
    )


def test_slow_setups_at_a_silent_server_are_reported_to_all_balancers():
    tier = Tier(count=12)
    tier.run(3)
    overloaded = tier.fleet[2]
    tier.set_up(lambda server: 0.02 + 0.15 * (server is overloaded))
    assert {server for _, server, _ in tier.reported} == {overloaded}
    assert {by for by, _, _ in tier.reported} == set(range(12))  # also those that set up nothing there


def test_a_slow_session_store_makes_no_server_overloaded():
    tier = Tier(count=12)
    tier.run(3)
    tier.set_up(lambda server: 0.02)
    tier.set_up(lambda server: 0.2, rounds=8)
    tier.reported.clear()  # some may be reported before the baseline has risen
    tier.set_up(lambda server: 0.2)
    assert not tier.reported


def test_resets_show_that_all_servers_are_overloaded():
    tier = Tier(count=12)
    tier.run(3)
    for round_number in range(6):
        for index, server in enumerate(tier.fleet):
            tier.detectors[(round_number + index) % 12].on_reset(server, tier.now)
        tier.run(0.5)
    assert {server for _, server, _ in tier.reported} == set(tier.fleet)


def test_one_reset_or_one_long_setup_reports_no_server():
    tier = Tier(count=12)
    tier.run(3)
    tier.set_up(lambda server: 0.02, rounds=4)
    tier.detectors[4].on_reset(tier.fleet[1], tier.now)
    tier.detectors[5].on_established(tier.fleet[2], 0.07, tier.now)
    tier.run(2)
    assert not tier.reported


def test_server_notices_take_precedence_over_setups_until_they_stop():
    tier = Tier(count=4)
    tier.run(3)
    for detector in tier.detectors[:2]:  # half of the balancers receive notices
        detector.last_server_notice = tier.now
    duration = lambda server: 0.02 + 0.2 * (server is tier.fleet[0])  # noqa: E731
    tier.set_up(duration)
    assert {by for by, _, _ in tier.reported} == {2, 3}
    tier.run(30)
    tier.set_up(duration)
    assert {by for by, _, _ in tier.reported} == {0, 1, 2, 3}


def balancer(number=3, peers=200):
    """A balancer with ten servers that has received one broadcast."""
    bench = Bench(settings(peers=peers, number=number, may_publish=True))
    fleet = bench.fleet(*[0] * 10)
    bench.balancer.on_datagram(0, next(aggregation.pack(aggregation.BROADCAST, [])))
    return bench, fleet


def broadcast_totals(fleet, counts):
    """A broadcast of the connections that all balancers hold at each server."""
    return next(
        aggregation.pack(
            aggregation.BROADCAST,
            [(aggregation.TOTAL, server.id_hash, n) for server, n in zip(fleet, counts)],
        )
    )


def test_a_balancer_without_connections_avoids_a_server_with_a_far_higher_total():
    bench, fleet = balancer()
    bench.balancer.on_datagram(0, broadcast_totals(fleet, [60] + [10] * 9))
    for _ in range(100):
        bench.call()
        bench.now += 0.5
        bench.balancer.on_datagram(0, broadcast_totals(fleet, [60] + [10] * 9))
    assert len(bench.sent) >= 90 and fleet[0] not in [leg.server for leg, _ in bench.sent]


def test_a_group_goes_to_the_server_where_others_have_placed_it():
    bench, fleet = balancer()
    bench.balancer.on_datagram(0, broadcast_totals(fleet, [10] * 10))
    home = fleet[7]
    bench.balancer.on_datagram(
        0,
        next(
            aggregation.pack_pairs(
                aggregation.PLACEMENTS, [(home.id_hash & aggregation.SHORT_ID_MASK, 41)], [1]
            )
        ),
    )
    for _ in range(20):
        bench.call(group=41)
        bench.now += 3
        bench.balancer.on_datagram(0, broadcast_totals(fleet, [10] * 10))
    assert {leg.server for leg, _ in bench.sent} == {home}


def test_a_broadcast_of_lateness_excludes_the_server_at_a_balancer_that_rarely_uses_it():
    bench, fleet = balancer()
    late = next(aggregation.pack(aggregation.BROADCAST, [(aggregation.LATENESS, fleet[4].id_hash, 0.8)]))
    for _ in range(20):
        bench.balancer.on_datagram(0, late)
        bench.call()
        bench.now += 0.5
    assert bench.sent and fleet[4] not in [leg.server for leg, _ in bench.sent]


def test_fleet_overload_still_lets_a_balancer_with_one_connection_use_other_zones():
    bench, fleet = balancer()
    leg = bench.call().legs[0]
    bench.establish(leg)
    for server in fleet:
        (
            server.local_state.delay_ratio,
            server.local_state.delay_reported_at,
            server.local_state.delay_valid_for,
        ) = 0.7, bench.now, 1.5
    bench.balancer.selection.update_overload_counts()
    bench.balancer.zone.limit_fleet_overload()
    assert bench.balancer.zone.limit > 2


def test_broadcasts_about_unlisted_servers_are_ignored():
    bench, fleet = balancer()
    bench.balancer.on_datagram(
        0,
        next(
            aggregation.pack(
                aggregation.BROADCAST, [(aggregation.TOTAL, 12345, 9), (aggregation.LATENESS, 12345, 3)]
            )
        ),
    )
    assert not bench.balancer.overload.exchange.totals and len(bench.balancer.fleet) == 10


def test_a_server_reported_late_stays_excluded_after_a_hot_restart():
    previous, successor = (
        Accounting(settings(), 7, 100.0, lambda *_: Bench(settings()).balancer) for _ in range(2)
    )
    for accounting in previous, successor:
        accounting.apply_entries([(5, model.READY, 0, 0, 1.0, 0.0, 0)], True)
    previous.balancer.selection.record_delay(previous.servers[5], 0.8)
    successor.import_learned(previous.export_learned())
    successor.balancer.host.now += 1
    assert successor.balancer.avoids(successor.servers[5])
