"""Rule 4 for all balancers together, on generated starts of servers."""

import asyncio
import contextlib
import time
from dataclasses import replace

import pytest
from helpers import World, async_test, raw_settings

from bellrack import choice
from bellrack.lab import cold
from bellrack.lab.scenario import max_cold_requests
from bellrack.model import Settings
from bellrack.net import servers
from bellrack.rng import Rng

STARTS = cold.draw_starts(40, 7, (3, 20, 30))


def fallen_servers(starts) -> int:
    """Returns how many servers fail from overload in these starts."""
    return sum(cold.play_start(start)["fell"] for start in starts)


def test_all_balancers_together_overload_no_cold_server():
    assert not fallen_servers(STARTS)


def twice_the_budget(monkeypatch):
    honest = Settings.slow_start_budget
    monkeypatch.setattr(Settings, "slow_start_budget", lambda *values: [2 * part for part in honest(*values)])


def ended_set_ups_not_counted(monkeypatch):
    def uncounted(stage, server):
        honest(stage, server)
        server.local_state.tokens_used -= 1

    honest = choice.SlowStart.record_setup
    monkeypatch.setattr(choice.SlowStart, "record_setup", uncounted)


def all_offsets_are_equal(monkeypatch):
    monkeypatch.setattr(Rng, "stratified", lambda *values: 0.0)


def tokens_never_expire(monkeypatch):
    monkeypatch.setattr(choice, "RUSH_FACTOR", 1e-9)


# Two hundred balancers whose clients retry while the first tokens of a warm-up are used.
CROWD = replace(
    cold.draw_start(7),
    balancers=200,
    idle=0.0,
    fresh=0.0,
    spread=0.0,
    bears=20.0,
    size=1.0,
    used=0.8,
    warm=3,
    cold=2,
    zone=False,
    overload_factor=2.0,
    fall_time=1.5,
    ramp_time=15.0,
    demand=4.0,
    rush=0.6,
    rush_at=0.2,
    drowning=True,
    retries=3,
    short=0.3,
    tells=False,
    cold_share=0.12,
)


@pytest.mark.parametrize(
    "mutant", [None, twice_the_budget, ended_set_ups_not_counted, all_offsets_are_equal, tokens_never_expire]
)
def test_each_broken_slow_start_rule_overloads_a_server(mutant, monkeypatch):
    if mutant:
        mutant(monkeypatch)
    assert bool(fallen_servers([CROWD, STARTS[18], STARTS[6]])) == (mutant is not None)


MOVED = [replace(cold.draw_start(seed, (3, 8, 20, 30)), moves=3) for seed in (7000102, 7000141, 8000145)]


@pytest.mark.parametrize("start", MOVED, ids=lambda start: str(start.seed))
def test_traffic_that_has_moved_between_balancers_overfills_no_cold_server(start):
    """Each balancer's part of the budget follows from the most legs that it ever held. These maxima are of
    different times, and their sum may be more than the servers ever carried."""
    assert not fallen_servers([start])


NODES = 20
AGE = 30.0  # seconds since the start of the server
RAMP = 60.0  # seconds of its warm-up
WINDOW = 30.0  # seconds of overload after which it fails
FACTOR = 0.8  # overload factor


class ColdWorld(World):
    """A world whose servers have just started."""

    def entry(self, number, place, **fields):
        return super().entry(number, place, started=time.time() * 1000, **fields)


@async_test
async def test_set_ups_that_connect_late_and_together_keep_to_the_budget(monkeypatch):
    """One balancer, whose connections to the cold server are all established at once, long after each was
    decided. A cold server is loaded when the request lines reach it."""
    rules = raw_settings()["obligations"] | {
        "rampTimeUs": RAMP * 1e6,
        "overloadFactor": 4.0,
        "fallUs": 2e6,
    }
    caps = raw_settings()["caps"] | {"connectTimeoutUs": 3e7}
    kinds = [raw_settings()["trafficTypes"][0] | {"guardTimeUs": 5e7}]
    connect, waiting = asyncio.Event(), []
    honest = servers.OutgoingConnection._open

    async def late(link, address, wait):
        if link.side == "server":
            waiting.append(link)
            await connect.wait()
        await honest(link, address, wait)

    monkeypatch.setattr(servers.OutgoingConnection, "_open", late)
    async with ColdWorld(obligations=rules, caps=caps, trafficTypes=kinds) as world:
        clients = []
        for number in range(1, 13):
            world.node.anchor += 2.0  # a window later new tokens are issued
            world.node.discovery.on_confirmed(world.node.clock())  # and discovery has sent the list meanwhile
            for _ in range(4):
                clients.append(await world.call("c=chat,t=acme,d=50000"))
            await world.until(lambda calls=4 * number: world.node.counters["calls"] == calls)
        allowed = 4.0 * choice.ASSUMED_CONNECTIONS_PER_CAPACITY * (0.2 + 0.8 * 26 / RAMP) * 2.0 / RAMP
        assert len(waiting) > max_cold_requests(allowed)
        connect.set()
        sent = 0
        with contextlib.suppress(TimeoutError):
            while True:
                await asyncio.wait_for(world.arrived.get(), 0.3)
                sent += 1
        assert 0 < world.node.counters["upstream_requests"] <= max_cold_requests(allowed)


@async_test
async def test_twenty_nodes_on_sockets_keep_to_the_budget_of_one_cold_server():
    """It is the only server of all nodes, and each node gets three calls. Connections there end at once. The
    window is longer than the test, so all requests lie in one window."""
    rules = raw_settings()["obligations"] | {
        "rampTimeUs": RAMP * 1e6,
        "overloadFactor": FACTOR,
        "fallUs": WINDOW * 1e6,
    }
    async with ColdWorld(peersTotal=NODES, slotNo=0, obligations=rules) as world:
        first, others = world.node, []
        for number in range(1, NODES):
            world.raw["settings"] = world.raw["settings"] | {"slotNo": number}
            others.append(await world.start(name=f"n{number}", seed=f"{number * 7919:016x}"))
        lines, said = [], []

        async def end_at_once():
            while True:
                _, server, line = await world.leg()
                lines.append(line)
                server.end("fin")

        ending = asyncio.create_task(end_at_once())
        for node in [first, *(node for node, _ in others)]:
            node.anchor += AGE  # since the start was reported, the server has become half warm
        for node in [first, *(node for node, _ in others)]:
            world.node = node
            said += [await world.call() for _ in range(3)]
        for client in said:
            await client.line()
        ending.cancel()
        world.node = first
        for node, serving in others:
            node.finished.set()
            await serving
    warm = 0.2 + 0.8 * (AGE / RAMP)
    allowed = FACTOR * choice.ASSUMED_CONNECTIONS_PER_CAPACITY * warm * WINDOW / RAMP
    assert 0 < len(lines) <= max_cold_requests(allowed), lines
