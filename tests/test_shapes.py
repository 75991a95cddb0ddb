"""The two shapes of a deployment, nominal weights or live weights with load reports: which configurations are
accepted, and what the program does in each."""

import json

import pytest
from helpers import CAPS, LIVE, Peer, World, async_test, configured, refused

from bellrack import model
from bellrack.net import limits
from bellrack.net.config import parse_config, read_config
from bellrack.settings import SettingsError


def test_both_shapes_are_usable_and_the_older_one_is_the_default():
    def parsed(**changes):
        return parse_config(json.loads(configured(**changes))).settings

    old, new = parsed(), parsed(**LIVE)
    assert (old.asks, old.live, old.report) == (True, False, ())
    assert (new.asks, new.live, new.report) == (False, True, (model.BUSY, model.FULLNESS))
    said = {"weights": "nominal", "report": {"how": "off", "fields": []}}
    assert vars(parsed(**said)) | {"types": 0} == vars(old) | {"types": 0}


def fields(*names):
    return LIVE | {"report": {"how": "on_probe", "fields": list(names)}}


@pytest.mark.parametrize(
    "changes, key",
    [
        ({"discovery": "often"}, "discovery"),
        ({"discovery": None}, "discovery"),
        ({"weights": "heavy"}, "weights"),
        ({"weights": 3}, "weights"),
        ({"report": {"how": "never"}}, "report.how"),
        ({"report": []}, "report is not an object"),
        ({"caps": CAPS | {"probes": "yes"}}, "caps.probes"),
        (fields("x0", "x0"), "report.fields"),
        (fields("x0", 7), "report.fields"),
        (fields("x0", "x1", "utilization", "outstanding", "backlog"), "report.fields"),
        (LIVE | {"report": {"how": "on_probe", "fields": "x0"}}, "report.fields"),
        (LIVE | {"report": {"how": ["on_probe"], "fields": ["x0"]}}, "report.how"),
    ],
)
def test_an_unknown_value_is_one_line_that_names_the_key(tmp_path, capsys, monkeypatch, changes, key):
    assert key in refused(tmp_path, capsys, monkeypatch, configured(**changes))
    with pytest.raises(SettingsError):
        parse_config(json.loads(configured(**changes)))


MIXES = [
    LIVE | {"discovery": "ask"},
    {"discovery": "push"},
    LIVE | {"weights": "nominal"},
    LIVE | {"report": {"how": "off", "fields": []}},
    {"report": {"how": "on_probe", "fields": ["x0"]}},
    LIVE | {"caps": CAPS | {"probes": False}},
    LIVE | {"report": {"how": "on_probe"}},
    fields(),
    fields("x0", "mood"),
    fields("outstanding", "backlog"),
    {"report": {"how": "inline", "fields": ["utilization", "recent_ms"]}},
    LIVE | {"caps": {key: value for key, value in CAPS.items() if key != "probes"}},
    {"discovery": "push", "weights": "off", "accounts": [], "areas": ["rada 2"]},
]


@pytest.mark.parametrize("changes", MIXES)
@async_test
async def test_any_documented_mix_is_served(changes):
    """Pushed lists with nominal weights were once refused at the start."""
    async with World(**changes) as world:
        client = await world.call("c=chat,d=2000")
        _, server, line = await world.leg()
        while not line.startswith("OPEN"):
            assert line in ("PING", "STATS") and world.raw["settings"]["caps"].get("probes")
            server.say("PONG" + " 0.1" * len(world.node.settings.report))
            _, server, line = await world.leg()
        server.say("UP 1")
        assert await client.line() == "UP 1"


NAMES = ["kurs.1", "3", "a_b+c:d/e", "łącze-2", "信号", "x" * 200, "d=1"]


@pytest.mark.parametrize("name", NAMES)
@async_test
async def test_any_name_in_the_settings_is_served(name):
    """A traffic type with a letter beyond ASCII was once answered SYNTAX."""
    kinds = [{"name": name, "effect": "retryable", "guardTimeUs": 2e6, "setupTargetUs": 3e5}]
    async with World(trafficTypes=kinds, accounts=[{"name": name}], control=True) as world:
        client = await world.call(f"c={name},t={name},d=2000")
        _, server, line = await world.leg()
        assert line.split(" ", 3)[3].startswith(f"c={name},t={name},d=19")
        server.say("UP 1")
        assert await client.line() == "UP 1"
        _, text = await world.ask("/_vars")
        assert f"completed.{name}=1\n" in text


@pytest.mark.parametrize("name", [b"\xff", b"\xc5", b"caf\xe9"])
@async_test
async def test_name_that_is_not_utf_8_is_malformed(name):
    async with World() as world:
        client = await world.dial()
        client.writer.write(b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=" + name + b",d=2000\r\n")
        assert [await client.line(), await client.line()] == ["SYNTAX", "fin"]
        assert world.arrived.empty() and not world.node.counters["faults"]


@pytest.mark.parametrize("name, live", [("config", False), ("live", True)])
def test_the_examples_are_usable(name, live):
    assert read_config(f"examples/{name}.json").settings.live == live


@async_test
async def test_live_weights_are_followed_and_an_unusable_one_is_ignored():
    async with World(**LIVE) as world:
        (server,) = world.node.servers.values()
        listing, _ = await world.discovery_request()
        listing.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")
        for number, (weight, expected) in enumerate([(0.4, 0.4), (None, 0.4), (2.5, 2.5)]):
            entry = world.entries[0] | {"weight": weight}
            text = json.dumps({"generation": 50 + number, "reset": False, "instances": [entry]}) + "\n"
            listing.say(f"{len(text):x}\r\n{text}")
            await world.until(lambda number=number: world.node.server_list.version == 50 + number)
            assert server.weight == expected
        assert server.capacity == 2.5 and world.node.counters["bad_weights"] == 1


async def next_probe(world) -> Peer:
    _, server, line = await world.leg()
    assert line == "STATS"
    return server


@async_test
async def test_call_waits_for_the_report_and_passes_over_a_full_server():
    async with World(servers=2, **LIVE) as world:
        client = await world.call("c=chat,t=acme,d=2000,g=9")
        (await next_probe(world)).say("PONG 1.0 1.4")
        (await next_probe(world)).say("PONG 0.2 0.1")
        number, server, line = await world.leg()
        assert line.startswith("OPEN")
        server.say("UP 0011")
        assert await client.line() == "UP 0011"
        full = [one for one in world.node.servers.values() if one.local_state.reported_load == 1.4]
        assert len(full) == 1 and full[0].host_record.name != f"s-{number}"
        assert world.node.counters["probes"] == world.node.counters["probe_completed"] == 2


@pytest.mark.parametrize(
    "answer",
    [
        "PONG",
        "PONG 0.5",
        "PONG 0.5 nan",
        "PONG 0.5 inf",
        "PONG -1 0.5",
        "PONG a b",
        "ERR",
        "NO",
        "PONG 1 2 3",
    ],
)
@async_test
async def test_malformed_report_changes_nothing_and_the_call_goes_on(answer):
    async with World(**LIVE) as world:
        client = await world.call()  # the reference keeps the client connected
        asked = await next_probe(world)
        asked.say(answer)
        if answer != "PONG":  # a report may end on a second line
            assert await asked.line() == "fin"
            assert world.node.counters["bad_reports"] == 1
        assert (await world.leg())[2].startswith("OPEN") and client
        (server,) = world.node.servers.values()
        assert (
            server.local_state.reported_load == 0.0
            and server.local_state.failure_weight == 1.0
            and not server.local_state.consecutive_failures
        )


@async_test
async def test_open_probes_are_bounded_and_calls_go_on_without_a_report(monkeypatch):
    monkeypatch.setattr(limits, "MAX_PROBES", 0)
    async with World(**LIVE) as world:
        client = await world.call()  # the reference keeps the client connected
        assert (await world.leg())[2].startswith("OPEN") and client
        assert world.node.counters["probes_held_back"] == 1 and not world.node.counters["probes"]


@async_test
async def test_unanswered_probe_is_counted_and_released():
    async with World(**LIVE) as world:
        client = await world.call()  # the reference keeps the client connected
        silent = await next_probe(world)
        assert (await world.leg())[2].startswith("OPEN") and client
        assert await silent.line() == "fin"
        await world.until(lambda: world.node.counters["probe_timeout"] == 1)
        assert world.node.limits.probes_in_flight == 0


@pytest.mark.parametrize("shape, first", [({}, "OPEN"), (LIVE, "STATS"), ({}, "OPEN")])
@async_test
async def test_shape_can_change_and_change_back_on_one_build(shape, first):
    async with World(**shape) as world:
        assert (await world.discovery_request())[1].startswith("/v1/endpoints?watch=1")
        client = await world.call()  # the reference keeps the client connected
        assert (await world.leg())[2].startswith(first) and client
        assert bool(world.node.counters["probes"]) == bool(shape)


@pytest.mark.parametrize(
    "peers, may, may_publish", [(1, True, False), (2, True, False), (3, True, True), (3, False, False)]
)
def test_two_balancers_exchange_no_messages(peers, may, may_publish):
    raw = json.loads(configured(peersTotal=peers, slotNo=0, caps=CAPS | {"mayTell": may}))
    assert parse_config(raw).settings.may_publish == may_publish
