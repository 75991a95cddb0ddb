"""Lists from several addresses of discovery, over hot restarts.

What a process has read from discovery stands against the list in the configuration, whatever the numbers of
the two, and against what was read earlier."""

import asyncio
import itertools
import json

import pytest
from helpers import raw_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from test_shared_state import Channel

from bellrack import model
from bellrack.net import lines, server_list, shared_state
from bellrack.net.config import parse_config
from bellrack.net.fact_versions import READ_AT_UNKNOWN, EntryVersion, ListVersions, supersedes
from bellrack.net.node import Node

SERVERS = 3
KNOWN_VERSION = 41
ADDRESSES = {"127.0.0.1:1": KNOWN_VERSION, "127.0.0.1:2": 1}  # each with the first number that it gives
FIRST, SECOND = ADDRESSES
LIFECYCLES = {"in_service": model.READY, "terminating": model.DRAINING}


class Deployment:
    """Processes that follow one another without sockets, and a discovery service with two addresses."""

    def __init__(self, loop):
        self.loop = loop
        self.lifecycles = ["in_service"] * SERVERS  # as discovery has them now
        self.changes = 0
        self.clock = itertools.count(1)  # seconds after the start of the first process
        self.address = FIRST  # in the configuration file
        self.read = list(self.lifecycles)  # as the processes last read them
        self.nodes, self.channels = [], []
        self.start()

    def entry(self, number, lifecycle):
        return {
            "instanceId": f"s-{number}",
            "hostPort": "127.0.0.1:9",
            "zone": "a",
            "lifecycle": lifecycle,
        }

    def start(self):
        """Start a process; the configuration names the servers as they were at the first start."""
        known = [self.entry(number, "in_service") for number in range(SERVERS)]
        raw = {
            "listen": "127.0.0.1:1",
            "discovery": self.address,
            "settings": raw_settings(),
            "known": {"generation": KNOWN_VERSION, "reset": True, "instances": known},
        }
        node = Node(parse_config(raw), self.loop)
        server_list.load_known(node)
        self.nodes.append(node)

    def upgrade(self):
        """Start another process, which takes over; the one before the serving one has ended."""
        serving = self.nodes[-1]
        snapshot = json.loads(json.dumps(serving.hot_restart.snapshot()))
        self.start()
        to_old, to_new = Channel(), Channel()
        serving.hot_restart.sibling, self.nodes[-1].hot_restart.sibling = to_new, to_old
        shared_state.adopt(self.nodes[-1], snapshot)
        for message in shared_state.replies(self.nodes[-1], snapshot):
            self.nodes[-1].hot_restart.publish(**message)
        self.nodes, self.channels = [serving, self.nodes[-1]], [to_old, to_new]
        self.deliver()

    def deliver(self):
        """Deliver all messages in transit."""
        for node, channel in zip(self.nodes, self.channels):
            while channel.messages:
                node.hot_restart.on_message(channel.messages.pop(0))

    def change(self, number, lifecycle):
        """A server's lifecycle changes at discovery."""
        self.lifecycles[number] = lifecycle
        self.changes += 1

    def watch(self, process, whole):
        """A process reads what its watch lacks, or the whole list."""
        node = self.nodes[process % len(self.nodes)]
        address = lines.format_address(node.discovery.address)
        node.now = node.started_at + next(self.clock)
        # After a list of another count discovery has nothing but the whole list.
        whole = whole or node.server_list.versions.watched.address != address
        news = {
            "generation": ADDRESSES[address] + self.changes,
            "reset": whole,
            "instances": [self.entry(*row) for row in enumerate(self.lifecycles)],
        }
        requested_at = node.now if whole else -float("inf")
        node.server_list.on_list(lines.parse_list(news), requested_at=requested_at)
        self.read = list(self.lifecycles)
        self.deliver()

    def move(self, address):
        """SIGHUP: discovery is at this address from now on."""
        self.address = address
        for node in self.nodes:
            if lines.format_address(node.discovery.address) != address:
                node.discovery.address = lines.parse_address(address)
                node.server_list.versions.on_address_changed()

    def states(self):
        """Return the states of the servers at each process."""
        return [
            [node.servers[lines.id_hash(f"s-{number}")].state for number in range(SERVERS)]
            for node in self.nodes
        ]


@pytest.fixture
def deployment():
    loop = asyncio.new_event_loop()
    yield Deployment(loop)
    loop.close()


@pytest.mark.parametrize("upgrades", [1, 2, 3])
@pytest.mark.parametrize("answers", [False, True])
def test_drain_that_was_read_is_not_undone_by_the_known_list_of_a_successor(deployment, answers, upgrades):
    """After discovery moved, the configuration's list won by its number, and a draining server was used."""
    deployment.change(0, "terminating")
    deployment.watch(0, whole=False)
    deployment.move(SECOND)
    if answers:  # its numbers are below that of the configuration's list
        deployment.watch(0, whole=True)
    for _ in range(upgrades):
        deployment.upgrade()
    expected = [model.DRAINING, model.READY, model.READY]
    assert deployment.states() == [expected, expected]


def test_drain_that_the_previous_address_tells_holds_at_the_successor(deployment):
    """News of the previous address were dropped, since the successor had another one."""
    deployment.watch(0, whole=True)
    old = deployment.nodes[0]
    deployment.address = SECOND  # in the file; the serving process has not been told
    deployment.upgrade()
    deployment.change(0, "terminating")
    deployment.watch(0, whole=False)
    assert lines.format_address(old.discovery.address) == FIRST
    assert deployment.states() == [[model.DRAINING, model.READY, model.READY]] * 2


STEPS = st.one_of(
    st.tuples(st.just("change"), st.integers(0, SERVERS - 1), st.sampled_from(list(LIFECYCLES))),
    st.tuples(st.just("watch"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("move"), st.sampled_from(list(ADDRESSES))),
    st.tuples(st.just("upgrade")),
)


@settings(max_examples=400, deadline=None)
@given(st.lists(STEPS, max_size=14))
def test_later_read_of_a_server_holds_at_both_processes(steps):
    """Any order of lists, moves of discovery and upgrades."""
    loop = asyncio.new_event_loop()
    try:
        deployment = Deployment(loop)
        for kind, *values in steps:
            getattr(deployment, kind)(*values)
        expected = [LIFECYCLES[lifecycle] for lifecycle in deployment.read]
        assert all(states == expected for states in deployment.states())
    finally:
        loop.close()


def test_successor_that_read_a_restarted_count_keeps_it(deployment):
    """Discovery restarted its numbers: the predecessor's higher ones are the older ones."""
    deployment.watch(0, whole=True)
    serving = deployment.nodes[0]
    snapshot = json.loads(json.dumps(serving.hot_restart.snapshot()))
    deployment.start()
    successor = deployment.nodes[-1]
    successor.now = serving.now + 5
    drained = {"generation": 2, "reset": True, "instances": [deployment.entry(0, "terminating")]}
    successor.server_list.on_list(lines.parse_list(drained), requested_at=successor.now)
    shared_state.adopt(successor, snapshot)
    assert successor.servers[lines.id_hash("s-0")].state == model.DRAINING
    assert successor.server_list.versions.complete.number == 2
    # What its watch tells after that is of the same count, also once it was opened anew.
    successor.server_list.on_unchanged()
    successor.now += 1
    back = {"generation": 3, "reset": False, "instances": [deployment.entry(0, "in_service")]}
    successor.server_list.on_list(lines.parse_list(back), requested_at=successor.now)
    assert successor.servers[lines.id_hash("s-0")].state == model.READY


def test_versions_compare_by_number_within_an_address_and_by_time_across_addresses():
    known = EntryVersion(number=90)
    first = EntryVersion(FIRST, 43, read_at=5.0)
    older_release = EntryVersion(FIRST, 44, read_at=READ_AT_UNKNOWN)
    second = EntryVersion(SECOND, 3, requested_at=5.5, read_at=6.0)
    restarted = EntryVersion(FIRST, 2, requested_at=7.0, read_at=8.0)
    for earlier, later in itertools.pairwise((known, first, second, restarted)):
        assert supersedes(later, earlier) and not supersedes(earlier, later)
    assert supersedes(older_release, first) and not supersedes(first, older_release)
    assert supersedes(second, older_release) and not supersedes(older_release, second)
    for version in (known, first, older_release, second, restarted):
        assert EntryVersion.from_row(json.loads(json.dumps(version.to_row()))) == version


def test_versions_of_an_older_release_lose_to_a_list_that_was_read_and_win_over_the_known_one():
    state = {"list_versions": {"discovery": SECOND, "complete": 0, "later": {}}}
    theirs = shared_state.Predecessor(state).list_versions()
    read, known = EntryVersion(FIRST, 1, read_at=1.0), EntryVersion(number=KNOWN_VERSION)
    assert ListVersions(known).accepts(7, theirs.complete)
    assert not ListVersions(read).accepts(7, theirs.complete)
