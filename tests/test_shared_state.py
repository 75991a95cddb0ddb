"""A process that waits for its turn in a hot restart is told things that the one that serves is not: after
the hand-over both hold the newest of each fact."""

import asyncio
import contextlib
import json

import pytest
from helpers import World, played, raw_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from test_handover import folder, free  # noqa: F401 (a fixture)

from bellrack import model
from bellrack.net import fact_versions, hot_restart, lines, shared_state
from bellrack.net import node as host
from bellrack.net.config import parse_config
from bellrack.net.node import Node

STARTED = 1_760_000_000_000  # milliseconds: a start that no list told before


@contextlib.asynccontextmanager
async def waiting_process(world, monkeypatch):
    """A process that knows its list and waits for its turn, and what lets it take over."""
    turn, honest = asyncio.Event(), hot_restart.HotRestart.await_predecessor

    async def meets(restart, path):
        await turn.wait()
        return await honest(restart, path)

    async def take_over():
        turn.set()
        await world.until(lambda: world.node.hot_restart.has_successor)

    monkeypatch.setattr(hot_restart.HotRestart, "await_predecessor", meets)
    second = Node(parse_config(world.raw), world.node.loop)
    serving = asyncio.create_task(second.serve())
    await world.until(lambda: second.listeners.admin and second.servers)
    try:
        yield second, take_over
    finally:
        turn.set()
        second.finished.set()
        await serving


def tell(node, version, *entries, whole=False):
    """Discovery's watch brings this."""
    node.now = node.clock()
    news = {"generation": version, "reset": whole, "instances": list(entries)}
    node.server_list.on_list(lines.parse_list(news))


def states(node):
    return {server.host_record.name: server.state for server in node.servers.values()}


@pytest.mark.parametrize("whole", [False, True])
@played
async def test_a_drain_told_to_a_process_that_waits_is_kept_at_both(folder, monkeypatch, whole):  # noqa: F811
    async with (
        World(servers=3, control=True, listen=free()) as world,
        waiting_process(world, monkeypatch) as (second, take_over),
    ):
        drained = world.entries[0] | {"lifecycle": "terminating"}
        rest = [world.entries[1]] if whole else [world.entries[2] | {"lifecycle": "terminated"}]
        tell(second, 60, drained, *rest, whole=whole)
        await take_over()
        expected = {"s-0": model.DRAINING, "s-1": model.READY, "s-2": model.GONE}
        assert states(second) == expected and second.server_list.version == 60
        await world.until(lambda: states(world.node) == expected)
        assert world.node.server_list.version == 41  # its own watch still brings all since then


@played
async def test_a_drain_told_only_to_the_one_that_serves_is_kept_at_both(folder, monkeypatch):  # noqa: F811
    async with (
        World(servers=2, control=True, listen=free()) as world,
        waiting_process(world, monkeypatch) as (second, take_over),
    ):
        tell(world.node, 61, world.entries[0] | {"lifecycle": "terminating"})
        tell(second, 60, world.entries[0])
        await take_over()
        assert states(second) == states(world.node) == {"s-0": model.DRAINING, "s-1": model.READY}


@played
async def test_a_server_put_back_at_a_process_that_waits_is_back_at_both(folder, monkeypatch):  # noqa: F811
    async with (
        World(servers=2, control=True, listen=free()) as world,
        waiting_process(world, monkeypatch) as (second, take_over),
    ):
        assert world.node.server_list.cordon("s-0", True)
        assert second.server_list.cordon("s-0", False)
        assert second.server_list.cordon("s-1", True)
        assert world.node.server_list.cordon("s-1", False)
        await take_over()
        for node in (second, world.node):
            await world.until(lambda node=node: not node.server_list.cordoned)
            assert not any(server.cordoned for server in node.servers.values())


@played
async def test_a_start_told_to_a_process_that_waits_makes_it_cold_at_both(folder, monkeypatch):  # noqa: F811
    """What the predecessor has learned is of the start before: it would be taken for warm."""
    async with (
        World(servers=2, control=True, listen=free()) as world,
        waiting_process(world, monkeypatch) as (second, take_over),
    ):
        second.server_list.confirmed = True
        tell(second, 60, world.entries[0] | {"startedAtMs": STARTED})
        mark = lines.id_hash("s-0")
        await take_over()
        assert second.servers[mark].local_state.warm_at > second.clock()
        await world.until(lambda: world.node.servers[mark].local_state.warm_at > world.node.clock())


@pytest.mark.parametrize("whole", [False, True])
@played
async def test_older_news_of_the_own_watch_changes_nothing_newer(folder, whole):  # noqa: F811
    async with World(servers=2, control=True, listen=free()) as world, world.beside():
        drained = world.entries[0] | {"lifecycle": "terminating"}
        message = {"news": {"generation": 60, "reset": False, "instances": [drained]}}
        world.node.hot_restart.on_message(
            message | {"discovery": lines.format_address(world.node.discovery.address)}
        )
        assert states(world.node)["s-0"] == model.DRAINING
        tell(world.node, 50, *world.entries, whole=whole)
        assert states(world.node)["s-0"] == model.DRAINING and world.node.server_list.version == 50
        tell(world.node, 70, world.entries[0])
        assert states(world.node)["s-0"] == model.READY


@played
async def test_one_part_of_another_form_hinders_no_other(folder):  # noqa: F811
    async with World(servers=2, control=True, listen=free()) as world:
        told = json.loads(json.dumps(world.node.hot_restart.snapshot()))
        told |= {"orders": [["s-1", True, 5.0]], "list": {"odd": 1}, "learned": 3, "started": "early"}
        second = Node(parse_config(world.raw), world.node.loop)
        shared_state.adopt(second, told | {"anchor": "none"})
        assert second.server_list.cordoned == {lines.id_hash("s-1"): "s-1"}


@played
async def test_the_list_of_an_older_version_is_taken_where_discovery_has_told_none(folder):  # noqa: F811
    """It tells neither the versions of its list nor when operators ordered what."""
    async with World(servers=2, control=True, listen=free()) as world:
        assert world.node.server_list.cordon("s-1", True)
        told = json.loads(json.dumps(world.node.hot_restart.snapshot()))
        del told["list_versions"], told["orders"]
        told["list"]["instances"][0]["lifecycle"] = "terminating"
        for confirmed, state in ((False, model.DRAINING), (True, model.READY)):
            second = Node(parse_config(world.raw), world.node.loop)
            host.server_list.load_known(second)
            second.server_list.confirmed = confirmed
            shared_state.adopt(second, told)
            assert states(second)["s-0"] == state
            assert second.server_list.cordoned == {lines.id_hash("s-1"): "s-1"}
            assert list(shared_state.replies(second, told)) == []


# Any order of news at both sides.

SERVERS = 3
LIFECYCLES = ("in_service", "terminating", "terminated")
STATE = dict(zip(LIFECYCLES, (model.READY, model.DRAINING, model.GONE)))
FIRST_VERSION = 41
CHANGES = st.lists(
    st.tuples(st.integers(0, SERVERS - 1), st.sampled_from(LIFECYCLES)), min_size=1, max_size=6
)
OWN = st.one_of(
    st.tuples(st.sampled_from(["watch", "whole", "hear"]), st.integers(0, 1)),
    st.tuples(st.just("order"), st.integers(0, 1), st.integers(0, SERVERS - 1), st.booleans()),
)
SIBLING_BEFORE = st.tuples(st.sampled_from(["sibling", "sibling_whole"]), st.integers(0, 1))
BEFORE = st.lists(st.one_of(OWN, SIBLING_BEFORE), max_size=10)
STEPS = st.lists(OWN, max_size=10)


class Channel:
    """One direction between the two processes: messages come in order, some time later."""

    handoff_sender = None

    def __init__(self):
        self.messages = []

    def send(self, **words):
        self.messages.append(json.loads(json.dumps(words)))


class Handover:
    """Two processes without sockets, and discovery that has made some changes."""

    def __init__(self, loop, changes):
        self.changes = changes
        instances = [self.entry(number, "in_service") for number in range(SERVERS)]
        raw = {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:1",
            "settings": raw_settings(),
            "known": {"generation": FIRST_VERSION, "reset": True, "instances": instances},
        }
        self.nodes = [Node(parse_config(raw), loop) for _ in range(2)]
        for node in self.nodes:
            host.server_list.load_known(node)
        self.channels = [Channel(), Channel()]  # to the first, to the second
        self.told_to = [FIRST_VERSION, FIRST_VERSION]  # by its own watch, or by a sibling that it had before
        self.ordered = {}

    def entry(self, number, lifecycle):
        place = "" if lifecycle == "terminated" else "127.0.0.1:9"
        return {"instanceId": f"s-{number}", "hostPort": place, "zone": "a", "lifecycle": lifecycle}

    def truth(self, version):
        """What discovery's list of this version says of each server."""
        said = dict.fromkeys(range(SERVERS), "in_service")
        said |= dict(self.changes[: version - FIRST_VERSION])
        return said

    def step(self, kind, process, *values):
        if kind == "hear":
            if self.channels[process].messages:
                self.nodes[process].hot_restart.on_message(self.channels[process].messages.pop(0))
        elif kind == "order":
            self.order(self.nodes[process], *values)
        else:
            self.news(kind, process)

    def order(self, node, server, out):
        if node.server_list.cordon(f"s-{server}", out):
            self.ordered[f"s-{server}"] = out
            node.hot_restart.publish_order(node.server_list.orders[lines.id_hash(f"s-{server}")])

    def news(self, kind, process):
        """The next version comes to the process, as a change or as a whole list."""
        node, of_sibling = self.nodes[process], kind.startswith("sibling")
        version = (self.told_to[process] if of_sibling else node.server_list.version) + 1
        if version > FIRST_VERSION + len(self.changes):
            return
        self.told_to[process] = max(version, self.told_to[process])
        whole = kind in ("whole", "sibling_whole")
        listed = {n: said for n, said in self.truth(version).items() if said != "terminated"}
        rows = listed.items() if whole else [self.changes[version - FIRST_VERSION - 1]]
        entries = [self.entry(*row) for row in rows]
        if of_sibling:
            news = {"generation": version, "reset": whole, "instances": entries}
            node.hot_restart.on_message({"news": news, "discovery": "127.0.0.1:1"})
        else:
            tell(node, version, *entries, whole=whole)

    def meet(self):
        """The predecessor writes what it gives; from now on it tells the successor its news."""
        self.told = json.loads(json.dumps(self.nodes[0].hot_restart.snapshot()))
        self.nodes[0].hot_restart.sibling = self.channels[1]

    def take_over(self):
        shared_state.adopt(self.nodes[1], self.told)
        self.nodes[1].hot_restart.sibling = self.channels[0]
        for message in shared_state.replies(self.nodes[1], self.told):
            self.nodes[1].hot_restart.publish(**message)

    def deliver(self):
        for process in (0, 1):
            while self.channels[process].messages:
                self.step("hear", process)


@settings(max_examples=400, deadline=None)
@given(CHANGES, BEFORE, STEPS, STEPS)
def test_after_the_hand_over_both_hold_the_newest(changes, before, between, after):
    loop = asyncio.new_event_loop()
    try:
        handover = Handover(loop, changes)
        for steps, then in (
            (before, handover.meet),
            (between, handover.take_over),
            (after, handover.deliver),
        ):
            for step in steps:
                handover.step(*step)
            then()
        newest = handover.truth(max(handover.told_to))
        expected = {f"s-{number}": STATE[said] for number, said in newest.items()}
        for node in handover.nodes:
            assert states(node) == expected
            out = {name: name in node.server_list.cordoned.values() for name in handover.ordered}
            assert out == handover.ordered
            assert {s.host_record.name for s in node.servers.values() if s.cordoned} == set(
                node.server_list.cordoned.values()
            )
    finally:
        loop.close()


VERSIONS = st.integers(0, 5)


@given(VERSIONS, VERSIONS, VERSIONS)
def test_the_later_of_two_versions_holds_in_any_order(one, other, third):
    def held_after(*offered):
        held = -1
        for version in offered:
            held = version if fact_versions.supersedes(version, held) else held
        return held

    assert held_after(one, other, third) == held_after(third, one, other) == max(one, other, third)


def test_after_a_merge_the_later_versions_of_both_are_held():
    ours, theirs = (fact_versions.ListVersions(version) for version in (41, 43))
    ours.on_sibling(60, False, [1])
    theirs.on_sibling(50, False, [1, 2])
    ours.merge(theirs)
    assert [ours.version_of(mark) for mark in (1, 2, 3)] == [60, 50, 43] and ours.watched == 41
    ours.on_watch(55)
    assert [ours.version_of(mark) for mark in (1, 2, 3)] == [60, 55, 55]


def test_of_two_orders_of_one_moment_the_one_that_takes_out_holds():
    out, back = (fact_versions.CordonOrder("s-0", taken, 5.0) for taken in (True, False))
    assert fact_versions.supersedes(out.version, back.version)
    assert not fact_versions.supersedes(back.version, out.version)
