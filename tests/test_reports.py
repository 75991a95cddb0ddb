"""Live weights and reports that come to probes alone."""

import pytest
from helpers import Bench, settings

from bellrack import model
from bellrack.model import Result, Server

PROBED = {"asks": False, "live": True, "report": (model.BUSY, model.FULLNESS)}


def test_a_live_weight_leaves_sizes_and_the_order_of_lots_as_they_are():
    bench = Bench(settings(asks=False, live=True))
    fleet = [Server(mark * 77 + 5, machine_type=mark % 2, weight=[8.5, 5.0][mark % 2]) for mark in range(6)]
    bench.balancer.on_servers_listed(fleet)
    call = bench.call(group=9)

    def order():
        return sorted(fleet, key=lambda server: bench.balancer.selection.rendezvous_score(call, server))

    before = order()
    for server in fleet:
        server.weight = server.weight / (2 + server.id_hash % 5)
    late = Server(4000, machine_type=0, weight=1.2)  # comes while it is full: its kind tells its size
    bench.balancer.on_servers_listed([*fleet, late])
    assert [server.capacity for server in [*fleet, late]] == [8.5, 5.0, 8.5, 5.0, 8.5, 5.0, 8.5]
    assert order() == before


def test_a_size_known_too_small_grows_with_the_first_empty_server_of_its_kind():
    bench = Bench(settings(asks=False, live=True))
    full, other = Server(1, machine_type=0, weight=0.4), Server(2, machine_type=1, weight=0.5)
    bench.balancer.on_servers_listed([full, other])
    bench.balancer.on_servers_listed([Server(3, machine_type=0, weight=3.5)])
    assert (full.capacity, other.capacity) == (3.5, 0.5)


def asked(bench, *loads) -> list[Server]:
    """A call whose lots are asked one after the other, each with the load that it reports; those asked."""
    bench.call(group=9)
    servers, before = [], len(bench.sent)
    for load in loads:
        (server,) = bench.probes
        assert len(bench.sent) == before  # it waits
        bench.answer_probe(server, 0.5, load)
        servers.append(server)
    return servers


def sent(bench) -> list[Server]:
    return [leg.server for leg, _ in bench.sent]


def test_a_call_waits_for_the_report_of_its_first_lot_and_passes_over_a_full_one():
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0, 0)
    first, second = asked(bench, 0.95, 0.4)
    assert second is not first and sent(bench) == [second]
    asked(bench)  # what was told stands for a while: no second probe
    assert not bench.probes and sent(bench) == [second, second]


def test_a_full_zone_is_left_only_once_its_lots_have_told():
    bench = Bench(settings(**PROBED))
    home, away = bench.fleet(0, 1)
    asked(bench, 1.2)
    assert bench.probes == [away] and not bench.sent
    assert [what for _, what in bench.timers].count(
        "queue"
    ) == 1  # guards against a look more for each answer
    bench.answer_probe(away, 0.1, 0.1)
    assert sent(bench) == [away]


@pytest.mark.parametrize("answer", [{"kind": model.TIMEOUT}, {"kind": model.FULL}, None])
def test_a_probe_that_fails_proves_nothing_and_holds_no_call_for_long(answer):
    bench = Bench(settings(**PROBED))
    (server,) = bench.fleet(0)
    asked(bench)
    if answer:
        bench.answer_probe(server, **answer)
    assert not bench.sent
    bench.run(bench.now + 0.16)
    assert (
        sent(bench) == [server]
        and server.local_state.failure_weight == 1.0
        and not server.local_state.consecutive_failures
    )


def test_a_group_leaves_its_first_server_last():
    # Guards against groups that open ever new servers, each at the group's price.
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0, 0)
    (first,) = asked(bench, 0.85)
    assert sent(bench) == [first]
    bench.run(bench.now + 1.2)
    _, _, third = asked(bench, 0.92, 0.85, 0.3)  # the second is as full as the first was when it took one
    assert sent(bench) == [first, third]


def test_a_probe_that_finds_no_connection_passes_a_server_over_and_marks_nothing():
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0)
    asked(bench)
    (gone,) = bench.probes
    bench.answer_probe(gone, kind=model.NO_CONN)
    (other,) = bench.probes
    bench.answer_probe(other, 0.1, 0.1)
    assert sent(bench) == [other] and gone.local_state.unhealthy_until == 0.0
    bench.run(bench.now + 2.2)
    asked(bench)
    assert gone in bench.probes  # asked again: it may be back


@pytest.mark.parametrize("kind", [model.RESET, model.NO_CONN])
def test_after_a_reset_or_failed_connect_no_earlier_report_stands(kind):
    bench = Bench(settings(**PROBED))
    bench.fleet(0, 0)
    (first,) = asked(bench, 0.1)
    bench.establish(bench.sent[0][0])
    assert bench.balancer.selection.has_report(first)
    bench.end_leg(bench.sent[0][0], kind)
    assert not bench.balancer.selection.has_report(first)
    bench.run(bench.now + 1.1)
    asked(bench, 0.1)
    bench.end_leg(bench.sent[-1][0], kind)  # this one while it is set up
    assert sent(bench) == [first, first] and not bench.balancer.selection.has_report(first)


def test_a_full_report_stands_longer_than_others():
    bench = Bench(settings(**PROBED))
    (server,) = bench.fleet(0)
    asked(bench, 1.5)
    for wait, probes in ((1.5, []), (1.0, [server])):
        bench.run(bench.now + wait)
        asked(bench)
        assert bench.probes == probes


@pytest.mark.parametrize(
    "report, probes", [((model.BACKLOG, model.BUSY), 1), ((model.ERRORS, model.HELD), 0), ((), 0)]
)
def test_fullness_is_read_from_what_a_report_holds_or_nothing_is_asked(report, probes):
    bench = Bench(settings(**PROBED | {"report": report}))
    (server,) = bench.fleet(0)
    bench.call()
    assert len(bench.probes) == probes
    bench.balancer.on_probe_result(server, Result(model.COMPLETED, 0.001, (7.0, 0.95)[: len(report)]))
    assert server.local_state.reported_load == 0.95 * probes and len(bench.sent) == 1 - probes
