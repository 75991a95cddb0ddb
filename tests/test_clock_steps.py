"""A machine's wall clock may be stepped by seconds or an hour, either way: ours, a server's, discovery's.
What is measured in time stays measured by the monotonic clock."""

import asyncio
import contextlib
import time

import pytest
from helpers import World, played, raw_settings
from test_handover import folder, free  # noqa: F401 (a fixture)

from bellrack.net import lines, node, turns
from bellrack.net.config import parse_config

STEPS = [-3600.0, -5.0, 0.0, 5.0, 3600.0]
RAMP = 20.0  # seconds, as raw_settings has it


def entry(name, started, state="in_service"):
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:1",
        "zone": "a",
        "cell": 0,
        "machineType": "m",
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started * 1000,
    }


def tell(host, generation, *entries, reset=False):
    news = {"generation": generation, "reset": reset, "instances": list(entries)}
    host.server_list.on_list(lines.parse_list(news))
    host.discovery.confirmed(host.now)


def host_at(monkeypatch, offset=0.0):
    """A node that plays no sockets, on a machine whose wall clock is so many seconds off at its start."""
    real = time.time
    monkeypatch.setattr(turns.time, "time", lambda: real() + offset)
    raw = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": raw_settings()}
    made = node.Node(parse_config(raw), asyncio.get_running_loop())
    monkeypatch.setattr(turns.time, "time", real)
    return made


@pytest.mark.parametrize("step", STEPS)
@played
async def test_a_start_that_is_told_is_cold_whatever_clock_stamped_it(monkeypatch, step):
    host, true = host_at(monkeypatch), time.time()
    tell(host, 1, entry("s-0", 0), entry("s-1", 0), reset=True)
    host.now += 5.0
    host.discovery.confirmed(host.now)
    host.now += 1.0
    tell(host, 2, entry("s-0", true + 6.0 + step))
    stand = host.servers[lines.id_hash("s-0")].local_state
    assert stand.warm_at - host.now == pytest.approx(RAMP, abs=1e-6)


@pytest.mark.parametrize("step", STEPS)
@played
async def test_a_start_that_is_told_again_is_the_same_start(monkeypatch, step):
    host, stamp = host_at(monkeypatch), time.time() + step
    tell(host, 1, entry("s-0", 0), entry("s-1", 0), reset=True)
    tell(host, 2, entry("s-0", stamp))
    stand = host.servers[lines.id_hash("s-0")].local_state
    warm_at, stand.tokens_used = stand.warm_at, 41
    for generation in (3, 4):
        host.now += 3.0
        tell(host, generation, entry("s-0", stamp), entry("s-1", 0), reset=generation == 4)
    assert stand.warm_at == warm_at and stand.tokens_used == 41


@pytest.mark.parametrize("step", STEPS)
@played
async def test_who_starts_with_a_clock_that_is_off_takes_no_cold_server_for_warm(monkeypatch, step):
    host, true = host_at(monkeypatch, offset=step), time.time()
    tell(host, 7, entry("s-0", true - 1.0), entry("s-1", true - 4.0), entry("s-2", 0), reset=True)
    cold = [host.servers[lines.id_hash(name)].local_state.warm_at - host.now for name in ("s-0", "s-1")]
    assert cold[0] >= RAMP - 1.1 and cold[1] >= RAMP - 4.1
    assert max(cold) <= RAMP
    assert host.servers[lines.id_hash("s-2")].local_state.warm_at <= host.now


@pytest.mark.parametrize("step", STEPS)
@played
async def test_who_starts_knows_a_server_with_another_stamp_for_cold(monkeypatch, step):
    """It has started since the list that the process was given, whatever its own clock says."""
    host, true = host_at(monkeypatch), time.time()
    known = [entry("s-0", 0), entry("s-1", 0), entry("s-2", true - 2.0)]
    host.server_list.load_known_list(lines.parse_list({"generation": 5, "reset": True, "instances": known}))
    tell(host, 7, entry("s-0", true - 1.0 + step), *known[1:], reset=True)
    s_0, s_1 = (host.servers[lines.id_hash(name)].local_state.warm_at - host.now for name in ("s-0", "s-1"))
    assert s_0 == pytest.approx(RAMP, abs=1e-6) and s_1 <= 0


@pytest.mark.parametrize("step", [0.0, -5.0, -3600.0])
@played
async def test_who_starts_takes_no_server_that_is_new_to_it_for_warm(monkeypatch, step):
    """Its clock is behind, and no list that the process was given names it."""
    host, true = host_at(monkeypatch), time.time()
    host.server_list.load_known_list(
        lines.parse_list({"generation": 5, "reset": True, "instances": [entry("s-1", true - 500.0)]})
    )
    tell(host, 7, entry("s-0", true - 1.0 + step), entry("s-1", true - 500.0), reset=True)
    assert host.servers[lines.id_hash("s-0")].local_state.warm_at >= host.now + RAMP - 1.1


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
@played
async def test_times_that_go_over_in_a_hot_restart_keep_their_distance(folder, monkeypatch, step):  # noqa: F811
    async with World(servers=2, control=True, listen=free()) as world:
        old = world.node
        _, server = await world.standing()
        link = next(
            iter(next(s for s in old.servers.values() if s.host_record.connections).host_record.connections)
        )
        link.unanswered.append(old.clock())  # a line of the client that is still unanswered
        first, second = old.servers.values()
        first.local_state.unhealthy_until, second.local_state.warm_at = old.clock() + 60, old.clock() + 8
        old.resumed.window.started = old.started_at - 11.0
        real = time.time
        monkeypatch.setattr(turns.time, "time", lambda: real() + step)
        async with world.beside() as new:
            known = [new.servers[one.id_hash].local_state for one in (first, second)]
            assert 50 < known[0].unhealthy_until - new.clock() <= 60
            assert 5 < known[1].warm_at - new.clock() <= 8
            assert 10.5 < new.started_at - new.resumed.window.started < 12
            old.begin_shutdown()
            await world.until(lambda: new.counters["taken_over"])
            taken = next(
                iter(
                    next(s for s in new.servers.values() if s.host_record.connections).host_record.connections
                )
            )
            assert 0 <= new.clock() - taken.unanswered[0] < 5 and 0 <= new.clock() - taken.leg.sent < 5
            with contextlib.suppress(ConnectionError):
                server.end("fin")
            await world.first_ends(world.serving)
            world.serving = asyncio.ensure_future(new.finished.wait())
            world.node = new
