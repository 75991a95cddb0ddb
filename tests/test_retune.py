"""Reload of the configuration at SIGHUP.

A file is applied as a whole or not at all, and calls in progress keep the settings that they started with."""

import copy
import json
import os
import signal

import pytest
from helpers import World, async_test, raw_settings

from bellrack import model, settings
from bellrack.settings import SettingsError, first_missing_key


class ConfigFile:
    """The configuration file of a world's node, and the counts of its reloads."""

    def __init__(self, world, tmp_path):
        self.world, self.path = world, tmp_path / "config.json"
        self.write(world.raw)
        world.node.config.path = str(self.path)

    def write(self, raw):
        self.path.write_text(raw if isinstance(raw, str) else json.dumps(raw))

    async def reload(self, raw):
        """Reload this configuration; return how many files were applied and rejected meanwhile."""
        before = self.counts()
        self.write(raw)
        os.kill(os.getpid(), signal.SIGHUP)
        await self.world.until(lambda: self.counts() != before)
        applied, rejected = self.counts()
        return applied - before[0], rejected - before[1]

    def counts(self):
        counters = self.world.node.counters
        return counters["config_reloads"], counters["config_reload_errors"]


def changed(raw, **rows):
    """Return the configuration with these traffic types; each row has what differs from the first."""
    new = copy.deepcopy(raw)
    first = new["settings"]["trafficTypes"][0]
    new["settings"]["trafficTypes"] = [first | {"name": name} | other for name, other in rows.items()]
    new["settings"]["specifics"]["messageAimUs"] = [1e5] * len(rows)
    return new


@async_test
async def test_reload_adds_a_type_and_changes_the_effect_for_new_calls_only(tmp_path):
    async with World(servers=2, control=True) as world:
        file = ConfigFile(world, tmp_path)
        before = await world.call()
        _, server, _ = await world.leg()
        assert (await file.reload(changed(world.raw, chat={"effect": "fragile"}, more={}))) == (1, 0)
        server.say("ERR")  # this call started as repeatable
        assert (await world.leg())[1] and world.arrived.empty()
        after = await world.call()
        (await world.leg())[1].say("ERR")  # this call started as once-only
        assert await after.line() == "ERR" and before
        await world.establish("c=more,t=acme,d=2000")
        assert (await world.figures())["completed.more"] == 1


@async_test
async def test_removed_type_is_served_for_a_while(tmp_path, monkeypatch):
    async with World(control=True) as world:
        file, (client, server) = ConfigFile(world, tmp_path), await world.establish()
        assert (await file.reload(changed(world.raw, more={}))) == (1, 0)
        server.say("line")
        assert await client.line() == "line"
        await world.establish("c=chat,t=acme,d=2000,again=1")
        assert (await file.reload(changed(world.raw, more={}, third={}))) == (1, 0)
        await world.establish("c=third,t=acme,d=2000")
        await world.establish("c=chat,t=acme,d=2000,again=1")
        monkeypatch.setattr(settings, "RETAIN_SECONDS", -1.0)
        assert (await file.reload(changed(world.raw, more={}))) == (1, 0)
        gone = await world.call()
        assert await gone.line() == "SYNTAX"


@async_test
async def test_removed_tenant_is_served_for_a_while(tmp_path, monkeypatch):
    async with World() as world:
        file, new = ConfigFile(world, tmp_path), copy.deepcopy(world.raw)
        new["settings"]["accounts"] = [{"name": "other"}]
        assert (await file.reload(new)) == (1, 0)
        await world.establish("c=chat,t=acme,d=2000,again=1")
        assert (await file.reload(new)) == (1, 0)
        await world.establish("c=chat,t=other,d=2000")
        await world.establish("c=chat,t=acme,d=2000,again=1")
        monkeypatch.setattr(settings, "RETAIN_SECONDS", -1.0)
        assert (await file.reload(new)) == (1, 0)
        assert await (await world.call()).line() == "SYNTAX"


@async_test
async def test_renamed_and_reordered_types_do_not_affect_calls_in_progress(tmp_path):
    kinds = [
        {
            "name": name,
            "effect": effect,
            "group": "all",
            "keyTtlUs": 5e6,
            "guardTimeUs": 2e6,
            "setupTargetUs": 1.5e6,
        }
        for name, effect in (("one", "fragile"), ("two", "retryable"))
    ]
    special = {"messageAimUs": [1e5, 1e5], "tellsDelay": False}
    async with World(servers=2, trafficTypes=kinds, specifics=special) as world:
        client, server = await world.establish("c=one,t=acme,d=2000")
        out = await world.call("c=one,t=acme,d=2000")
        _, asked, _ = await world.leg()
        for server_record in world.node.servers.values():
            (
                server_record.local_state.delay_reported_at,
                server_record.local_state.delay_ratio,
                server_record.local_state.delay_valid_for,
            ) = (
                world.node.clock(),
                1.0,
                1e9,
            )
        kept = await world.call("c=two,t=acme,d=2000")
        await world.until(lambda: world.node.balancer.queued)
        new = copy.deepcopy(world.raw)
        new["settings"]["trafficTypes"] = [kinds[1] | {"name": "one"}, kinds[0] | {"name": "third"}]
        assert (await ConfigFile(world, tmp_path).reload(new)) == (1, 0)
        asked.say("ERR")
        assert await out.line() == "ERR"  # once-only when it started
        for server_record in world.node.servers.values():
            server_record.local_state.delay_valid_for = 0.0
        (await world.leg())[1].say("ERR")
        (await world.leg())[1].say("UP 2")  # repeatable when it started
        assert await kept.line() == "UP 2"
        client.say("M 1")
        assert await server.line() == "M 1" and not world.node.counters["faults"]
        again = await world.call("c=one,t=acme,d=2000")
        (await world.leg())[1].say("ERR")
        assert (await world.leg())[2].startswith("OPEN") and again  # calls of this type are repeatable now


@async_test
async def test_lower_attempt_limit_holds_after_a_reload(tmp_path):
    async with World(servers=3) as world:
        file, new = ConfigFile(world, tmp_path), copy.deepcopy(world.raw)
        new["settings"]["caps"]["maxLegs"] = 1
        assert await file.reload(new) == (1, 0)
        client = await world.call()
        (await world.leg())[1].say("BUSY")
        assert (await client.line()).startswith("BUSY") and world.arrived.empty()


def invalid_files(raw):
    """Yield pairs of a description and a file that must be rejected."""
    new = changed(raw, other={}, more={})
    text = json.dumps(new)
    yield "empty", ""
    yield "cut off", text[: len(text) // 2]
    yield "no object", "[]"
    for key in ("settings", "listen", "discovery"):
        yield f"no {key}", {name: value for name, value in new.items() if name != key}
    for key in raw["settings"]:
        yield (
            f"settings lack {key}",
            new | {"settings": {name: value for name, value in new["settings"].items() if name != key}},
        )
    for key in raw["settings"]["trafficTypes"][0]:
        bad = copy.deepcopy(new)
        del bad["settings"]["trafficTypes"][1][key]
        yield f"a row lacks {key}", bad
    for section, key in (
        ("caps", "maxLegs"),
        ("caps", "connectTimeoutUs"),
        (None, "guardTimeUs"),
        (None, "setupTargetUs"),
    ):
        for value in (0, -5, "x", None, float("nan")):
            bad = copy.deepcopy(new)
            (bad["settings"][section] if section else bad["settings"]["trafficTypes"][1])[key] = value
            yield f"{key} is {value}", bad
    for key, value in (("az", 1), ("areas", ["b", "a"]), ("discovery", "push")):
        yield f"another {key}", new | {"settings": new["settings"] | {key: value}}


@async_test
async def test_invalid_file_changes_nothing(tmp_path, caplog):
    caplog.set_level("INFO", logger="bellrack")
    async with World() as world:
        file, node = ConfigFile(world, tmp_path), world.node
        before = (dict(vars(node.settings)), node.names, node.config, node.limits.limit)
        for description, raw in invalid_files(world.raw | {"limits": {"sockets": 90}}):
            assert await file.reload(raw) == (0, 1), description
            assert (vars(node.settings), node.names, node.config, node.limits.limit) == before, description
        errors = [record.fields["error"] for record in caplog.records if record.msg == "reload"]
        assert len(errors) > 30 and not node.counters["faults"]
        assert await file.reload(changed(world.raw, other={})) == (1, 0)


def test_missing_key_is_reported_with_its_path():
    former = raw_settings()
    assert (
        first_missing_key(former, former) == first_missing_key({"a": [], "b": {}}, {"a": [], "b": {}}) == ""
    )
    assert first_missing_key(former | {"caps": {}}, former) == "caps.maxLegs"
    assert first_missing_key(former | {"areas": 3}, former) == "areas.its own form"
    assert first_missing_key({"rows": [{"a": 1}, 5]}, {"rows": [{"a": 1}, {"a": 2, "b": 3}]}) == "rows.a row"
    assert first_missing_key({"rows": []}, {"rows": [{"a": 1}]}) == ""  # a list may be shorter


@pytest.mark.parametrize("value", [0, -1, float("inf"), float("nan")])
def test_settings_reject_values_that_are_not_positive(value):
    raw = raw_settings()
    raw["trafficTypes"][0]["setupTargetUs"] = value
    with pytest.raises(SettingsError, match="setupTargetUs"):
        settings.parse_settings(raw)


def test_settings_object_is_updated_in_place():
    old, new = settings.parse_settings(raw_settings()), settings.parse_settings(raw_settings("fragile"))
    kept = old.types[0]
    old.update_from(new)
    assert old.types[0].effect == model.ONCE_ONLY and kept.effect == model.REPEATABLE
