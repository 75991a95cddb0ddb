"""What balancers tell one another of servers: records, aggregator, and what set-ups and resets show."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bellrack import model
from bellrack.accounting import Accounting
from bellrack.peers import aggregation
from bellrack.peers.overload import OverloadDetector
from tests.helpers import Bench, settings

AIM = 0.1  # of the settings


class Tier:
    """Some balancers' detectors before one fleet, with datagrams that may be lost."""

    def __init__(self, count=6, servers=8, loss=0.0, **rules):
        self.now, self.late, self.chance, self.loss = 100.0, [], random.Random(5), loss
        self.fleet = [model.Server(mark * 77 + 5) for mark in range(servers)]
        self.cut: set[int] = set()
        self.detectors = []
        for number in range(count):
            detector = OverloadDetector(
                settings(peers=count, number=number, may_publish=True, **rules),
                self.tell(number),
                lambda server, delay, by=number: self.late.append((by, server, delay)),
            )
            detector.on_servers_listed(self.fleet)
            self.detectors.append(detector)

    def tell(self, own):
        def told(peer, data):
            assert len(data) <= 256
            for other in range(len(self.detectors)) if peer is None else [peer]:
                if other != own and not {own, other} & self.cut and self.chance.random() >= self.loss:
                    self.detectors[other].on_datagram(own, data, self.now)

        return told

    def run(self, seconds):
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            for number, detector in enumerate(self.detectors):
                if number not in self.cut:
                    detector.on_period(self.now)

    def set_ups(self, took, times=12):
        """Each balancer in turn sets up at each server, by what it takes there."""
        for turn in range(times):
            for place, server in enumerate(self.fleet):
                self.detectors[(turn + place) % len(self.detectors)].on_established(
                    server, took(server), self.now
                )
            self.run(0.25)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, aggregation.SHORT_ID_MASK), st.floats(0, 1e4)),
        max_size=200,
    )
)
def test_records_come_back_within_a_step_and_in_datagrams_of_the_platforms_size(records):
    told = list(aggregation.pack(aggregation.BROADCAST, records))
    back = [record for data in told for record in aggregation.unpack(data)[1]]
    assert all(len(data) <= 256 for data in told) and [r[:2] for r in back] == [r[:2] for r in records]
    assert all(abs(got[2] - sent[2]) <= 0.05 * (1 + sent[2]) for got, sent in zip(back, records))


@given(st.binary(max_size=300))
def test_any_bytes_of_a_peer_are_taken_or_left(data):
    tier = Tier(2)
    tier.detectors[0].on_datagram(1, data, tier.now)
    tier.run(3)


def test_all_learn_what_all_hold_also_when_datagrams_get_lost():
    tier = Tier(count=12, loss=0.1)
    for number, detector in enumerate(tier.detectors):
        detector.exchange.set_held(tier.fleet[number % 2].id_hash, 2, 9, 2)
    right = {detector: [0, 0] for detector in tier.detectors}
    for look in range(30):  # broadcasts may be lost in a row, and parts run out; none may stay without them
        tier.run(2)
        for detector in tier.detectors:
            fill = detector.fleet_load(tier.fleet, tier.now)
            sums_right = fill and all(9 <= fill[server] <= 12.5 for server in tier.fleet[:2])
            right[detector][look // 15] += bool(
                sums_right
                and not fill[tier.fleet[2]]
                and detector.holds_group(tier.fleet[0], 9, tier.now)
                and not detector.holds_group(tier.fleet[3], 9, tier.now)
            )
    assert all(min(halves) for halves in right.values())


def test_another_adds_up_when_the_aggregator_is_gone_and_what_that_one_held_is_forgotten():
    tier = Tier()
    for detector in tier.detectors:
        detector.exchange.set_held(tier.fleet[0].id_hash, 2, 0, 0)
    tier.run(6)
    first = tier.detectors[5].exchange.aggregator
    tier.cut.add(first)
    tier.run(25)
    assert tier.detectors[5].exchange.aggregator not in (None, first)
    assert round(tier.detectors[5].fleet_load(tier.fleet, tier.now)[tier.fleet[0]]) == 10
    assert not tier.detectors[first].fleet_load(tier.fleet, tier.now + 60)  # it hears nobody


def test_of_two_aggregators_one_falls_silent():
    tier = Tier()
    tier.run(3)
    tier.detectors[3].exchange.aggregator = 3
    tier.run(6)
    assert {detector.exchange.aggregator for detector in tier.detectors} == {0}


def test_two_servers_of_one_short_mark_are_known_by_nothing():
    tier = Tier()
    twin = model.Server(tier.fleet[0].id_hash + aggregation.SHORT_ID_MASK + 1)
    for detector in tier.detectors:
        detector.on_servers_listed([*tier.fleet, twin])
        detector.exchange.set_held(tier.fleet[0].id_hash, 9, 0, 0)
        detector.exchange.set_held(tier.fleet[1].id_hash, 1, 0, 0)
    tier.run(10)
    told = tier.detectors[4].exchange.totals
    assert (
        tier.fleet[1].id_hash & aggregation.SHORT_ID_MASK in told
        and tier.fleet[0].id_hash & aggregation.SHORT_ID_MASK not in told
    )


def test_a_server_that_never_says_it_is_late_is_found_out_by_who_saw_nothing_of_it():
    tier = Tier(count=12)
    tier.run(3)
    drowned = tier.fleet[2]
    tier.set_ups(lambda server: 0.02 + 0.15 * (server is drowned))
    assert {server for _, server, _ in tier.late} == {drowned}
    assert {by for by, _, _ in tier.late} == set(range(12))  # also those that set up nothing there


def test_a_slow_session_store_shuts_no_server():
    tier = Tier(count=12)
    tier.run(3)
    tier.set_ups(lambda server: 0.02)
    tier.set_ups(lambda server: 0.2, times=8)
    tier.late.clear()  # the first second may be taken for single servers
    tier.set_ups(lambda server: 0.2)
    assert not tier.late


def test_a_fleet_of_which_all_is_overloaded_is_known_by_resets():
    tier = Tier(count=12)
    tier.run(3)
    for turn in range(6):
        for place, server in enumerate(tier.fleet):
            tier.detectors[(turn + place) % 12].on_reset(server, tier.now)
        tier.run(0.5)
    assert {server for _, server, _ in tier.late} == set(tier.fleet)


def test_one_reset_or_one_long_set_up_shuts_nothing():
    tier = Tier(count=12)
    tier.run(3)
    tier.set_ups(lambda server: 0.02, times=4)
    tier.detectors[4].on_reset(tier.fleet[1], tier.now)
    tier.detectors[5].on_established(tier.fleet[2], 0.07, tier.now)
    tier.run(2)
    assert not tier.late


def test_notices_go_before_what_set_ups_show_and_it_counts_again_when_they_stop():
    tier = Tier(count=4)
    tier.run(3)
    for detector in tier.detectors[:2]:  # they come to half of the balancers
        detector.last_server_notice = tier.now
    took = lambda server: 0.02 + 0.2 * (server is tier.fleet[0])  # noqa: E731
    tier.set_ups(took)
    assert {by for by, _, _ in tier.late} == {2, 3}
    tier.run(30)
    tier.set_ups(took)
    assert {by for by, _, _ in tier.late} == {0, 1, 2, 3}


def balancer(number=3, peers=200):
    """One that has heard the aggregator once, before ten servers."""
    bench = Bench(settings(peers=peers, number=number, may_publish=True))
    fleet = bench.fleet(*[0] * 10)
    bench.balancer.on_datagram(0, next(aggregation.pack(aggregation.BROADCAST, [])))
    return bench, fleet


def held(fleet, counts):
    return next(
        aggregation.pack(
            aggregation.BROADCAST,
            [(aggregation.TOTAL, server.id_hash, n) for server, n in zip(fleet, counts)],
        )
    )


def test_a_server_far_over_what_others_hold_is_passed_over_by_one_that_holds_nothing():
    bench, fleet = balancer()
    bench.balancer.on_datagram(0, held(fleet, [60] + [10] * 9))
    for _ in range(100):
        bench.call()
        bench.now += 0.5
        bench.balancer.on_datagram(0, held(fleet, [60] + [10] * 9))
    assert len(bench.sent) >= 90 and fleet[0] not in [leg.server for leg, _ in bench.sent]


def test_a_group_goes_where_others_have_it():
    bench, fleet = balancer()
    bench.balancer.on_datagram(0, held(fleet, [10] * 10))
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
        bench.balancer.on_datagram(0, held(fleet, [10] * 10))
    assert {leg.server for leg, _ in bench.sent} == {home}


def test_a_broadcast_of_lateness_shuts_the_server_for_one_that_sees_it_once_in_ten_seconds():
    bench, fleet = balancer()
    late = next(aggregation.pack(aggregation.BROADCAST, [(aggregation.LATENESS, fleet[4].id_hash, 0.8)]))
    for _ in range(20):
        bench.balancer.on_datagram(0, late)
        bench.call()
        bench.now += 0.5
    assert bench.sent and fleet[4] not in [leg.server for leg, _ in bench.sent]


def test_a_jam_does_not_shut_out_all_spills_of_one_that_holds_a_connection():
    bench, fleet = balancer()
    leg = bench.call().legs[0]
    bench.establish(leg)
    for server in fleet:
        (
            server.local_state.delay_ratio,
            server.local_state.delay_reported_at,
            server.local_state.delay_valid_for,
        ) = 0.7, bench.now, 1.5
    bench.balancer.selection.update_overload_shares()
    bench.balancer.zone.limit_fleet_overload()
    assert bench.balancer.zone.limit > 2


def test_broadcasts_of_servers_that_no_list_names_count_for_nothing():
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


def test_a_server_told_late_stays_shut_for_the_process_that_takes_over():
    first, after = (Accounting(settings(), 7, 100.0, lambda *_: Bench(settings()).balancer) for _ in range(2))
    for books in first, after:
        books.apply_entries([(5, model.READY, 0, 0, 1.0, 0.0, 0)], True)
    first.balancer.selection.record_delay(first.servers[5], 0.8)
    after.import_learned(first.export_learned())
    after.balancer.host.now += 1
    assert after.balancer.avoids(after.servers[5])
