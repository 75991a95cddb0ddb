"""The wall clock of a machine (the balancer's, a server's, discovery's) may be stepped by seconds or an hour
in either direction. Durations must not be affected, since they are measured by the monotonic clock."""

import asyncio
import contextlib
import time

import pytest
from helpers import World, async_test, raw_settings
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)

from bellrack.net import lines, node, turns
from bellrack.net.config import parse_config

STEPS_SECONDS = [-3600.0, -5.0, 0.0, 5.0, 3600.0]
RAMP_SECONDS = 20.0  # rampTimeUs of raw_settings


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


def apply_list(host, generation, *entries, reset=False):
    """Gives the node a list from discovery, or changes of one."""
    message = {"generation": generation, "reset": reset, "instances": list(entries)}
    host.server_list.on_list(lines.parse_list(message))
    host.discovery.on_confirmed(host.now)


def node_at(monkeypatch, offset=0.0):
    """A node without sockets that starts while its machine's wall clock is `offset` seconds off."""
    real_time = time.time
    monkeypatch.setattr(turns.time, "time", lambda: real_time() + offset)
    raw = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": raw_settings()}
    new_node = node.Node(parse_config(raw), asyncio.get_running_loop())
    monkeypatch.setattr(turns.time, "time", real_time)
    return new_node


@pytest.mark.parametrize("step", STEPS_SECONDS)
@async_test
async def test_newly_listed_start_is_cold_whatever_clock_stamped_it(monkeypatch, step):
    host, wall_clock = node_at(monkeypatch), time.time()
    apply_list(host, 1, entry("s-0", 0), entry("s-1", 0), reset=True)
    host.now += 5.0
    host.discovery.on_confirmed(host.now)
    host.now += 1.0
    apply_list(host, 2, entry("s-0", wall_clock + 6.0 + step))
    state = host.servers[lines.id_hash("s-0")].local_state
    assert state.warm_at - host.now == pytest.approx(RAMP_SECONDS, abs=1e-6)


@pytest.mark.parametrize("step", STEPS_SECONDS)
@async_test
async def test_start_listed_again_with_the_same_stamp_is_the_same_start(monkeypatch, step):
    host, stamp = node_at(monkeypatch), time.time() + step
    apply_list(host, 1, entry("s-0", 0), entry("s-1", 0), reset=True)
    apply_list(host, 2, entry("s-0", stamp))
    state = host.servers[lines.id_hash("s-0")].local_state
    warm_at, state.tokens_used = state.warm_at, 41
    for generation in (3, 4):
        host.now += 3.0
        apply_list(host, generation, entry("s-0", stamp), entry("s-1", 0), reset=generation == 4)
    assert state.warm_at == warm_at and state.tokens_used == 41


@pytest.mark.parametrize("step", STEPS_SECONDS)
@async_test
async def test_process_started_with_a_wrong_clock_takes_no_cold_server_for_warm(monkeypatch, step):
    host, wall_clock = node_at(monkeypatch, offset=step), time.time()
    apply_list(
        host, 7, entry("s-0", wall_clock - 1.0), entry("s-1", wall_clock - 4.0), entry("s-2", 0), reset=True
    )
    cold = [host.servers[lines.id_hash(name)].local_state.warm_at - host.now for name in ("s-0", "s-1")]
    assert cold[0] >= RAMP_SECONDS - 1.1 and cold[1] >= RAMP_SECONDS - 4.1
    assert max(cold) <= RAMP_SECONDS
    assert host.servers[lines.id_hash("s-2")].local_state.warm_at <= host.now


@pytest.mark.parametrize("step", STEPS_SECONDS)
@async_test
async def test_server_with_another_stamp_than_in_the_known_list_is_cold(monkeypatch, step):
    """The server has started since the known list was written, whatever its stamp says."""
    host, wall_clock = node_at(monkeypatch), time.time()
    known = [entry("s-0", 0), entry("s-1", 0), entry("s-2", wall_clock - 2.0)]
    host.server_list.load_known_list(lines.parse_list({"generation": 5, "reset": True, "instances": known}))
    apply_list(host, 7, entry("s-0", wall_clock - 1.0 + step), *known[1:], reset=True)
    s_0, s_1 = (host.servers[lines.id_hash(name)].local_state.warm_at - host.now for name in ("s-0", "s-1"))
    assert s_0 == pytest.approx(RAMP_SECONDS, abs=1e-6) and s_1 <= 0


@pytest.mark.parametrize("step", [0.0, -5.0, -3600.0])
@async_test
async def test_server_missing_from_the_known_list_is_not_taken_for_warm(monkeypatch, step):
    """The server's clock is behind, and the known list does not name it."""
    host, wall_clock = node_at(monkeypatch), time.time()
    host.server_list.load_known_list(
        lines.parse_list({"generation": 5, "reset": True, "instances": [entry("s-1", wall_clock - 500.0)]})
    )
    apply_list(host, 7, entry("s-0", wall_clock - 1.0 + step), entry("s-1", wall_clock - 500.0), reset=True)
    assert host.servers[lines.id_hash("s-0")].local_state.warm_at >= host.now + RAMP_SECONDS - 1.1


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
@async_test
async def test_times_handed_over_in_a_hot_restart_keep_their_distance(folder, monkeypatch, step):  # noqa: F811
    async with World(servers=2, control=True, listen=reserved_address()) as world:
        old = world.node
        _, server = await world.establish()
        connection = next(
            iter(next(s for s in old.servers.values() if s.host_record.connections).host_record.connections)
        )
        connection.unanswered.append(old.clock())  # a client line that is still unanswered
        first, second = old.servers.values()
        first.local_state.unhealthy_until, second.local_state.warm_at = old.clock() + 60, old.clock() + 8
        old.resumed.window.started = old.started_at - 11.0
        real_time = time.time
        monkeypatch.setattr(turns.time, "time", lambda: real_time() + step)
        async with world.beside() as new:
            states = [new.servers[one.id_hash].local_state for one in (first, second)]
            assert 50 < states[0].unhealthy_until - new.clock() <= 60
            assert 5 < states[1].warm_at - new.clock() <= 8
            assert 10.5 < new.started_at - new.resumed.window.started < 12
            old.begin_shutdown()
            await world.until(lambda: new.counters["taken_over"])
            handed_over = next(
                iter(
                    next(s for s in new.servers.values() if s.host_record.connections).host_record.connections
                )
            )
            assert (
                0 <= new.clock() - handed_over.unanswered[0] < 5
                and 0 <= new.clock() - handed_over.leg.sent < 5
            )
            with contextlib.suppress(ConnectionError):
                server.end("fin")
            await world.wait_for_first_node(world.serving)
            world.serving = asyncio.ensure_future(new.finished.wait())
            world.node = new
