"""Checks the decisions against a plain model of the four rules, on generated events."""

import pytest
from helpers import Bench, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from bellrack import choice, model
from bellrack.model import Call, Server, TrafficType

ENDS = [model.COMPLETED, model.ERROR, model.FULL, model.TIMEOUT, model.NO_CONN, model.RESET]
RAN = [model.ERROR, model.TIMEOUT, model.RESET, model.CANCELLED]
KINDS = [
    TrafficType(effect, group, 1.0, 0.3, 0.1)
    for effect, group in [
        (model.REPEATABLE, "all"),
        (model.REFERENCED, "all"),
        (model.REFERENCED, "zone"),
        (model.REFERENCED, "cell"),
        (model.ONCE_ONLY, "all"),
    ]
]
STATES = [model.READY, model.READY, model.DRAINING, model.GONE]
steps = st.lists(
    st.one_of(
        st.tuples(st.just("call"), st.integers(0, 4), st.integers(0, 3)),
        st.tuples(st.just("end"), st.integers(0, 99), st.sampled_from(ENDS)),
        st.tuples(st.just("establish"), st.integers(0, 99), st.none()),
        st.tuples(st.just("list"), st.integers(0, 5), st.sampled_from(STATES)),
        st.tuples(st.just("left"), st.none(), st.none()),
        st.tuples(st.just("restart"), st.integers(0, 5), st.none()),
        st.tuples(st.just("delay"), st.integers(0, 99), st.sampled_from([0.01, 0.06, 0.4])),
        st.tuples(
            st.just("probed"),
            st.integers(0, 99),
            st.sampled_from([model.COMPLETED, model.TIMEOUT, model.NO_CONN, model.FULL]),
        ),
        st.tuples(st.just("weight"), st.integers(0, 5), st.sampled_from([0.1, 1.0, 8.0])),
        st.tuples(st.just("wait"), st.sampled_from([0.0, 0.01, 0.3, 1.1, 4.0]), st.none()),
    ),
    max_size=40,
)


def leg_is_allowed(leg) -> bool:
    """Returns whether rules 1 to 3 allow this leg, from all earlier legs of its call."""
    call, earlier = leg.call, leg.call.legs[: leg.call.legs.index(leg)]
    risky = [old for old in earlier if old.result is None or old.result.kind in RAN]
    if call.done or any(old.result is None for old in earlier) or leg.server.state != model.READY:
        return False
    if call.type.effect == model.ONCE_ONLY:
        return not risky
    if call.type.effect == model.REFERENCED and risky:
        first = risky[0]
        alike = {
            "all": True,
            "zone": first.server.zone == leg.server.zone,
            "cell": first.server.cell == leg.server.cell,
        }
        return leg.sent <= first.sent + call.type.key_ttl and alike[call.type.group]
    return True


def reject_is_allowed(call) -> bool:
    risky = [leg for leg in call.legs if leg.result is None or leg.result.kind in RAN]
    return (
        not risky
        or call.type.effect == model.REPEATABLE
        or (call.type.effect == model.REFERENCED and call.type.group == "all")
    )


class CheckedBench(Bench):
    """Checks each action with the plain model, before the records can change."""

    def send(self, call, server, until):
        leg = super().send(call, server, until)
        assert leg_is_allowed(leg), "the rules forbid this leg"
        assert len(call.legs) <= self.rules.max_legs and until <= call.deadline
        return leg

    def reject(self, call, wait=0.0):
        assert reject_is_allowed(call), "the rules forbid this reject"
        super().reject(call, wait)


@hypothesis_settings(derandomize=True, max_examples=600, deadline=None)
@given(steps, st.booleans())
def test_decisions_keep_the_rules(events, live):
    bench = CheckedBench(settings(types=KINDS, asks=not live, live=live, report=(model.FULLNESS,) * live))
    fleet = [Server(index * 31 + 1, index % 2, index // 2) for index in range(6)]
    bench.balancer.on_servers_listed(fleet)
    calls = []
    for what, which, how in events:
        out = [leg for leg, _ in bench.sent if leg.result is None]
        if what == "call":
            calls.append(bench.call(group=how, kind=which))
        elif what == "wait":
            bench.run(bench.now + which)
        elif what == "list":
            fleet[which].state = how
            bench.balancer.on_servers_listed([fleet[which]])
        elif what == "weight":
            fleet[which].weight = how
            bench.balancer.on_servers_listed([fleet[which]])
        elif what == "probed" and bench.probes:
            bench.answer_probe(
                bench.probes[which % len(bench.probes)], *[which / 50] * (how == model.COMPLETED), kind=how
            )
        elif what == "left":
            for call in [call for call in calls if not call.done][-1:]:
                call.done = True
                bench.balancer.on_client_left(call)
        elif what == "restart":
            fleet[which].started_at = bench.now
            bench.balancer.on_servers_listed([fleet[which]])
        elif out and what == "end":
            bench.end_leg(out[which % len(out)], how)
        elif out and what == "delay" and (up := [leg for leg in out if leg.established]):
            bench.balancer.on_delay_reported(up[which % len(up)], how)
        elif out and what == "establish" and not out[which % len(out)].established:
            bench.establish(out[which % len(out)])
    for leg in [leg for leg, _ in bench.sent if leg.result is None and not leg.established]:
        bench.end_leg(leg, model.TIMEOUT)
    bench.run(bench.now + 60)
    for call in calls:  # rule 1: answered by the deadline, or established
        assert call.done or any(leg.established for leg in call.legs)
    assert all(when <= call.deadline + bench.rules.answer_slack for call, _, when in bench.done)


@pytest.mark.parametrize("live", [False, True])
def test_one_balancer_fills_a_cold_server_evenly(live):
    """Rule 4: one balancer's part stays below an even fill over half the warm-up, however calls arrive.
    `live`: the listed weights of the warm servers fall with the calls that they hold, while that of the cold
    one equals its capacity."""
    bench = Bench(settings(live=live))
    cold, *warm = bench.fleet(0, 0, 0)
    for _ in range(40):
        bench.run(bench.now + 0.13)
        bench.call()
        bench.establish(bench.sent[-1][0])
    for leg in [leg for leg, _ in bench.sent if leg.server is cold]:
        bench.end_leg(leg, model.RESET)
    cold.started_at = start = bench.now
    for server in warm if live else []:
        server.weight /= 1 + server.local_state.open_legs
    bench.balancer.on_servers_listed([cold, *warm])
    for step in range(100):
        bench.run(start + max(0, step - 50) * 0.2)  # half of them at once
        bench.call()
        bench.establish(bench.sent[-1][0])
        baseline = sum(server.local_state.open_legs for server in warm) / 2
        assert (
            cold.local_state.open_legs
            <= 1 + choice.SLOW_START_FACTOR * baseline * (bench.now - start) / bench.rules.ramp_time
        )
    assert cold.local_state.open_legs > 3


@hypothesis_settings(derandomize=True, max_examples=8, deadline=None)
@given(st.integers(1, 280), st.integers(2, 70), st.integers(0, 8), st.integers(1, 2**60))
def test_all_balancers_together_fill_a_cold_server_evenly(peers, servers, held, seed):
    """Rule 4 for many instances, each with its own part: together they keep to an even fill."""
    rules, total, sent = settings(peers=peers, ramp_time=20.0), 0.0, 0
    for number in range(peers):
        bench = Bench(rules, seed + number * 7919)
        cold, *warm = fleet = bench.fleet(*[0] * servers)
        for index in range(held * (number % 3)):  # unevenly: some balancers hold nothing
            leg = bench.send(Call(rules.types[0], 1e9), warm[index % len(warm)], 1e9)
            bench.balancer.on_resumed(leg)
        cold.started_at = start = bench.now
        bench.balancer.on_servers_listed(fleet)
        for step in range(8):  # it gets all that it may, and half of these connections end at once
            bench.run(start + 0.4 * (step + 1))
            while bench.balancer.slow_start.may_admit(cold):
                bench.balancer.selection.send(Call(rules.types[0], 1e9), cold)
                sent += 1
                if step % 2:
                    bench.end_leg(bench.sent[-1][0], model.RESET)
        total += sum(server.local_state.open_legs for server in warm) / len(warm)
    # Of the load that servers carry in all, or of eight legs before any load was seen.
    even = choice.SLOW_START_FACTOR * (total + 8.0) * 3.2 / rules.ramp_time
    assert sent <= 3 * even + 4 * even**0.5 + 1  # ended connections may be replaced at twice the pace


def test_balancers_together_fill_a_cold_server_by_half_its_warm_up():
    """When each got a fortieth of an even fill over the whole stated warm-up, most balancers sent nothing to
    servers that had long been warm, and queued and rejected calls meanwhile."""
    rules, placed, warm_share = settings(peers=40, ramp_time=20.0), 0, 0.25
    for number in range(40):
        bench = Bench(rules, 11 + number)
        cold, *warm = fleet = bench.fleet(0, 0, 0)
        cold.started_at = start = bench.now
        bench.balancer.on_servers_listed(fleet)
        for _ in range(20):
            bench.run(bench.now + warm_share * rules.ramp_time / 20)
            if bench.balancer.slow_start.may_admit(cold):
                bench.balancer.selection.send(Call(rules.types[0], 1e9), cold)
                placed += 1
        assert bench.now <= start + warm_share * rules.ramp_time + 0.01
    even = choice.ASSUMED_CONNECTIONS_PER_CAPACITY * warm_share  # no load of servers was seen yet
    assert 1.5 * even <= placed <= choice.SLOW_START_FACTOR * even + even**0.5
