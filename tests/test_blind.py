"""Many balancers whom nobody tells what the others hold, on servers that pay for each group once."""

import random

import pytest
from helpers import Bench, settings

from bellrack import model

BALANCERS, GROUPS, CLIENTS = 30, 12, 300
PRICE = 3.0  # of a group at a server, in connections
BEARS = 96.0  # connections and prices; four servers bear all clients and 28 prices, so 2.3 servers a group
STEP, AGAIN = 0.1, 0.5  # seconds
PILED = 2.0  # seconds over what it bears until a server resets its newest


class World:
    """Balancers that share four servers, and clients that come again until they stand."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.benches = [Bench(settings(peers=BALANCERS), seed * BALANCERS + i) for i in range(BALANCERS)]
        self.fleets = [bench.fleet(0, 0, 0, 0) for bench in self.benches]
        self.legs = {}  # by client: its standing leg, its bench and the server's number
        self.over = [0.0] * 4
        self.resets, self.now, self.served = 0, 0.0, 0
        self.due = [(self.chance.uniform(0, 2), group) for group in self.groups()]

    def groups(self):
        return [1 + min(self.chance.randrange(GROUPS), self.chance.randrange(GROUPS)) for _ in range(CLIENTS)]

    def held(self, number):
        return [leg for leg, (_, at) in self.legs.items() if at == number]

    def cost(self, number):
        held = self.held(number)
        return len(held) + PRICE * len({leg.call.group for leg in held})

    def pairs(self):
        return len({(leg.call.group, at) for leg, (_, at) in self.legs.items()})

    def again(self, group):
        self.due.append((self.now + AGAIN * self.chance.uniform(0.5, 1.5), group))

    def step(self):
        self.now += STEP
        coming = [group for when, group in self.due if when <= self.now]
        self.due = [(when, group) for when, group in self.due if when > self.now]
        for group in coming:
            self.chance.choice(self.benches).call(group=group)
        for bench, fleet in zip(self.benches, self.fleets):
            bench.run(100.0 + self.now)
            for leg, _ in bench.sent:
                bench.establish(leg)
                self.legs[leg] = bench, fleet.index(leg.server)
            for call, _, _ in bench.done:
                self.again(call.group)
            for call in bench.moved:
                self.again(call.group)
                self.end(call.legs[-1], model.CANCELLED)
            bench.sent, bench.done, bench.moved = [], [], []
        for number in range(4):
            self.look(number)

    def end(self, leg, kind):
        bench, _ = self.legs.pop(leg)
        bench.end_leg(leg, kind)

    def look(self, number):
        """Serves while it bears what it holds; resets half, the newest, when too much has piled up."""
        excess = self.cost(number) - BEARS
        self.over[number] = max(0.0, self.over[number] + STEP * (1 if excess > 0 else -1))
        if not self.over[number]:
            self.served += len(self.held(number))
        if self.over[number] > PILED:
            held = self.held(number)
            for leg in held[len(held) // 2 :]:
                self.resets += 1
                self.again(leg.call.group)
                self.end(leg, model.RESET)

    def play(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.step()
        return self.served * STEP / seconds / CLIENTS


def test_groups_stay_together_where_no_balancer_knows_what_the_others_hold():
    """Each balancer's overflow at a group's second and third server is small; all of them pay for it."""
    worlds = [World(seed) for seed in range(3)]
    served = sum(world.play(20) for world in worlds) / len(worlds)
    pairs = sum(world.pairs() for world in worlds) / len(worlds)
    assert pairs < 26  # of 48; with three lots each 29
    assert served > 0.38  # with three lots each 0.32


@pytest.mark.parametrize(
    "told",
    [{"may_publish": True}, {"report": (model.FULLNESS,)}, {"peers": model.MAX_PEERS_WITHOUT_EXCHANGE}],
)
def test_who_is_told_what_others_hold_or_sees_most_itself_asks_a_groups_further_servers(told):
    assert settings(peers=BALANCERS).peers_unseen
    assert not settings(**{"peers": BALANCERS} | told).peers_unseen


def shed(**changes):
    """A balancer whose server, one of two, resets what stands on it: the two, and what that one held."""
    bench = Bench(settings(**{"peers": BALANCERS} | changes))
    one, other = bench.fleet(0, 0)
    for _ in range(60):
        bench.run(bench.now + 1)
        bench.call()
        bench.establish(bench.sent[-1][0])
    bench.run(bench.now + 10)
    held = one.local_state.open_legs
    for leg in list(one.local_state.established_legs):
        bench.end_leg(leg, model.RESET)
    return bench, one, other, held


def test_a_reset_closes_its_server_where_nothing_else_tells_that_it_is_late():
    bench, one, _, held = shed()
    room = bench.balancer.selection.has_room
    assert held > 2 and one.local_state.limit == pytest.approx(0.6 * held)
    assert not one.local_state.open_legs and not room(one)
    bench.run(bench.now + 2.9)
    assert not room(one)
    bench.run(bench.now + 0.2)
    assert not bench.balancer.selection.reported_overloaded(one)
    bench.run(bench.now + 10)
    assert room(one)


@pytest.mark.parametrize("told", [{"peers": model.MAX_PEERS_WITHOUT_EXCHANGE}, {"peers": 1}])
def test_who_hears_of_lateness_before_a_reset_cuts_little_and_closes_nothing(told):
    _, one, _, held = shed(**told)
    assert one.local_state.limit == pytest.approx(0.95 * held)
    assert one.local_state.delay_ratio == 0


def test_a_notice_goes_before_what_a_reset_tells():
    bench, one, other, _ = shed()
    ceiling = one.local_state.limit
    bench.run(bench.now + 5)
    bench.balancer.on_delay_reported(next(iter(other.local_state.established_legs)), 0.01)
    one.local_state.limit_cut_at, one.local_state.delay_reported_at, one.local_state.delay_ratio = (
        0.0,
        0.0,
        0.0,
    )
    bench.balancer.overload.on_reset(one, bench.now)
    assert one.local_state.delay_ratio == 0 and one.local_state.limit == ceiling
