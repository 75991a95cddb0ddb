"""Live weights, and reports that servers send in answer to probes only."""

import pytest
from helpers import Bench, settings

from bellrack import model
from bellrack.model import Result, Server

PROBED = {"asks": False, "live": True, "report": (model.BUSY, model.FULLNESS)}


def test_live_weights_change_neither_capacities_nor_the_order_of_scores():
    bench = Bench(settings(asks=False, live=True))
    fleet = [
        Server(index * 77 + 5, machine_type=index % 2, weight=[8.5, 5.0][index % 2]) for index in range(6)
    ]
    bench.balancer.on_servers_listed(fleet)
    call = bench.call(group=9)

    def order():
        return sorted(fleet, key=lambda server: bench.balancer.selection.rendezvous_score(call, server))

    before = order()
    for server in fleet:
        server.weight = server.weight / (2 + server.id_hash % 5)
    later = Server(4000, machine_type=0, weight=1.2)  # listed while full: its machine type gives its capacity
    bench.balancer.on_servers_listed([*fleet, later])
    assert [server.capacity for server in [*fleet, later]] == [8.5, 5.0, 8.5, 5.0, 8.5, 5.0, 8.5]
    assert order() == before


def test_capacity_grows_with_the_first_empty_server_of_the_machine_type():
    bench = Bench(settings(asks=False, live=True))
    full, other = Server(1, machine_type=0, weight=0.4), Server(2, machine_type=1, weight=0.5)
    bench.balancer.on_servers_listed([full, other])
    bench.balancer.on_servers_listed([Server(3, machine_type=0, weight=3.5)])
    assert (full.capacity, other.capacity) == (3.5, 0.5)


def call_with_reports(bench, *loads) -> list[Server]:
    """Places a call whose candidates are probed in turn and report these loads; returns these servers."""
    bench.call(group=9)
    servers, before = [], len(bench.sent)
    for load in loads:
        (server,) = bench.probes
        assert len(bench.sent) == before  # the call waits for the report
        bench.answer_probe(server, 0.5, load)
        servers.append(server)
    return servers


def servers_sent_to(bench) -> list[Server]:
    return [leg.server for leg, _ in bench.sent]


def test_call_waits_for_the_report_of_its_first_candidate_and_passes_over_a_full_one():
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0, 0)
    first, second = call_with_reports(bench, 0.95, 0.4)
    assert second is not first and servers_sent_to(bench) == [second]
    call_with_reports(bench)  # the reports are still valid: no second probe
    assert not bench.probes and servers_sent_to(bench) == [second, second]


def test_full_zone_is_left_only_after_its_candidates_reported():
    bench = Bench(settings(**PROBED))
    home, away = bench.fleet(0, 1)
    call_with_reports(bench, 1.2)
    assert bench.probes == [away] and not bench.sent
    # One timer, not one more for each report.
    assert [what for _, what in bench.timers].count("queue") == 1
    bench.answer_probe(away, 0.1, 0.1)
    assert servers_sent_to(bench) == [away]


@pytest.mark.parametrize("answer", [{"kind": model.TIMEOUT}, {"kind": model.FULL}, None])
def test_failed_probe_proves_nothing_and_delays_no_call_for_long(answer):
    bench = Bench(settings(**PROBED))
    (server,) = bench.fleet(0)
    call_with_reports(bench)
    if answer:
        bench.answer_probe(server, **answer)
    assert not bench.sent
    bench.run(bench.now + 0.16)
    assert (
        servers_sent_to(bench) == [server]
        and server.local_state.failure_weight == 1.0
        and not server.local_state.consecutive_failures
    )


def test_group_tries_its_further_servers_only_when_they_are_less_loaded():
    # Otherwise groups spread to ever more servers, and each of them pays the cost of the group.
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0, 0)
    (first,) = call_with_reports(bench, 0.85)
    assert servers_sent_to(bench) == [first]
    bench.run(bench.now + 1.2)
    _, _, third = call_with_reports(bench, 0.92, 0.85, 0.3)  # the second: as loaded as the first was
    assert servers_sent_to(bench) == [first, third]


def test_server_that_refuses_a_probe_is_passed_over_but_not_unhealthy():
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0)
    call_with_reports(bench)
    (gone,) = bench.probes
    bench.answer_probe(gone, kind=model.NO_CONN)
    (other,) = bench.probes
    bench.answer_probe(other, 0.1, 0.1)
    assert servers_sent_to(bench) == [other] and gone.local_state.unhealthy_until == 0.0
    bench.run(bench.now + 2.2)
    call_with_reports(bench)
    assert gone in bench.probes  # probed again: it may be up by now


@pytest.mark.parametrize("kind", [model.RESET, model.NO_CONN])
def test_reset_or_failed_connect_invalidates_the_last_report(kind):
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0)
    (first,) = call_with_reports(bench, 0.1)
    bench.establish(bench.sent[0][0])
    assert bench.balancer.selection.has_report(first)
    bench.end_leg(bench.sent[0][0], kind)
    assert not bench.balancer.selection.has_report(first)
    bench.run(bench.now + 1.1)
    call_with_reports(bench, 0.1)
    bench.end_leg(bench.sent[-1][0], kind)  # during its set-up
    assert servers_sent_to(bench) == [first, first] and not bench.balancer.selection.has_report(first)


def test_report_of_full_load_is_valid_longer():
    bench = Bench(settings(**PROBED))
    (server,) = bench.fleet(0)
    call_with_reports(bench, 1.5)
    for wait, probes in ((1.5, []), (1.0, [server])):
        bench.run(bench.now + wait)
        call_with_reports(bench)
        assert bench.probes == probes


@pytest.mark.parametrize(
    "report, probes", [((model.BACKLOG, model.BUSY), 1), ((model.ERRORS, model.HELD), 0), ((), 0)]
)
def test_load_is_read_from_the_report_or_no_server_is_probed(report, probes):
    bench = Bench(settings(**PROBED | {"report": report}))
    (server,) = bench.fleet(0)
    bench.call()
    assert len(bench.probes) == probes
    bench.balancer.on_probe_result(server, Result(model.COMPLETED, 0.001, (7.0, 0.95)[: len(report)]))
    assert server.local_state.reported_load == 0.95 * probes and len(bench.sent) == 1 - probes
