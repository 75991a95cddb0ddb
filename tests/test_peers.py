"""The membership protocol on a simulated network with loss, partitions and restarts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bellrack.lab.event_queue import RESULT, START, TIMER, EventQueue
from bellrack.lab.streams import RandomStreams
from bellrack.peers import membership
from bellrack.peers.membership import Membership
from bellrack.peers.wire import (
    ACK,
    ALIVE,
    DEAD,
    LEFT,
    MAX_BYTES,
    PING,
    Datagram,
    DatagramError,
    MemberUpdate,
    pack,
    unpack,
)


class Tier:
    """Members that exchange datagrams over a network with loss, delay and partitions."""

    def __init__(self, count, seed=1, loss=0.0, delay=(0.001, 0.016)):
        self.event_queue, self.streams = EventQueue(), RandomStreams(seed)
        self.loss, self.delay = loss, list(delay)
        self.is_cut = lambda sender, receiver: False
        self.sent = [0] * count
        self.bytes = [0] * count
        self.largest = 0
        self.nodes = [None] * count
        for number in range(count):
            self.start(number)

    def start(self, number):
        stream = self.streams[f"life {number}"]
        node = self.nodes[number] = Membership(
            number,
            len(self.nodes),
            1 + int(stream.uniform() * 0xFFFFFFF0),
            self.event_queue.now,
            lambda peer, message: self.post(number, node, peer, message),
            stream.uniform,
        )
        self.tick(number, node)

    def tick(self, number, node):
        if self.nodes[number] is node and not node.left:
            node.tick(self.event_queue.now)
            self.event_queue.schedule_at(node.due(), TIMER, self.tick, number, node)

    def post(self, sender, node, receiver, message):
        if self.nodes[sender] is not node:
            return
        data = pack(message)
        self.sent[sender] += 1
        self.bytes[sender] += len(data)
        self.largest = max(self.largest, len(data))
        stream = self.streams["net"]
        delay, lost = stream.uniform_between(self.delay), stream.bernoulli(self.loss)
        if not lost and not self.is_cut(sender, receiver):
            self.event_queue.schedule_after(delay, RESULT, self.deliver, sender, receiver, data)

    def deliver(self, sender, receiver, data):
        if self.nodes[receiver]:
            self.nodes[receiver].on_datagram(self.event_queue.now, sender, unpack(data))

    def kill(self, number):
        self.nodes[number] = None

    def run(self, seconds):
        self.event_queue.run(self.event_queue.now + seconds)
        return self

    def statuses(self, number):
        """The status of one member in the view of each other running one."""
        others = [node for node in self.nodes if node and not node.left and node.own_number != number]
        return [node.members[number].status for node in others]

    def agree(self):
        """Whether all running members know exactly the running ones as alive."""
        running = [number for number, node in enumerate(self.nodes) if node and not node.left]
        views = [
            {member.number for member in self.nodes[number].members if member.status == ALIVE}
            for number in running
        ]
        return all(view == set(running) for view in views)

    def deaths(self):
        return [change for node in self.nodes if node for change in node.changes if change.status == DEAD]


@pytest.mark.parametrize("count", [2, 3, 20, 90])
def test_without_loss_all_members_are_alive_and_none_is_declared_dead(count):
    tier = Tier(count).run(60)
    assert tier.agree() and not tier.deaths()


@pytest.mark.parametrize("count", [2, 90])
def test_datagrams_sent_are_bounded_at_any_tier_size(count):
    tier = Tier(count).run(30)
    before = list(tier.sent)
    tier.run(60)
    assert max(now - then for now, then in zip(tier.sent, before)) <= 60 * 6
    assert tier.largest <= MAX_BYTES


def test_a_killed_balancer_is_dead_for_all_and_a_leaving_one_is_never_suspected():
    tier = Tier(20).run(20)
    tier.kill(7)
    tier.nodes[3].leave()
    tier.run(30)
    assert set(tier.statuses(7)) == {DEAD} and set(tier.statuses(3)) == {LEFT}
    assert not any(
        change.member == 3 and change.status not in (ALIVE, LEFT)
        for node in tier.nodes
        if node
        for change in node.changes
    )


def test_a_restart_within_200_ms_is_recorded_without_a_death():
    tier = Tier(20).run(20)
    tier.kill(7)
    tier.run(0.2)
    tier.start(7)
    tier.run(10)
    assert tier.agree() and not tier.deaths()
    start_ids = {node.members[7].start_id for node in tier.nodes}
    assert start_ids == {tier.nodes[7].start_id}
    others = [node for node in tier.nodes if node.own_number != 7]
    assert all(any(change.why == "restarted" for change in node.changes) for node in others)


def test_a_partitioned_tier_joins_again():
    tier = Tier(12).run(20)
    tier.is_cut = lambda sender, receiver: (sender < 6) != (receiver < 6)
    tier.run(40)
    assert not tier.agree() and set(tier.statuses(0)) == {ALIVE, DEAD}
    tier.is_cut = lambda sender, receiver: False
    assert tier.run(30).agree()


def test_a_tier_recovers_from_a_partition_in_one_direction():
    tier = Tier(12).run(20)
    tier.is_cut = lambda sender, receiver: sender < 3 and receiver >= 3
    tier.run(40)
    tier.is_cut = lambda sender, receiver: False
    assert tier.run(40).agree()


def test_indirect_probes_replace_one_broken_path():
    tier = Tier(8).run(20)
    tier.is_cut = lambda sender, receiver: {sender, receiver} == {1, 2}
    tier.run(60)
    assert tier.agree() and not tier.deaths()


def test_a_late_old_datagram_leaves_a_dead_member_dead():
    tier = Tier(4).run(10)
    old = Datagram(PING, 2, tier.nodes[2].start_id, tier.nodes[2].incarnation)
    tier.kill(2)
    tier.run(40)
    assert tier.statuses(2) == [DEAD] * 3
    tier.nodes[0].on_datagram(tier.event_queue.now, 2, old)
    assert tier.nodes[0].members[2].status == DEAD


def test_members_agree_after_rolling_and_simultaneous_restarts():
    tier = Tier(10).run(10)
    for number in range(10):
        tier.kill(number)
        tier.run(0.5)
        tier.start(number)
        tier.run(0.5)
    assert tier.run(30).agree()
    for number in range(10):
        tier.kill(number)
    for number in range(10):
        tier.start(number)
    assert tier.run(30).agree()


def test_members_agree_after_30_percent_loss_with_100_ms_of_jitter():
    tier = Tier(20, loss=0.3, delay=(0.001, 0.101)).run(120)
    tier.loss = 0.0
    assert tier.run(30).agree()


def test_two_processes_with_one_number_are_recorded_and_refute_at_a_bounded_rate():
    tier = Tier(4).run(10)
    node = tier.nodes[1]
    for _ in range(50):
        claim = MemberUpdate(1, ALIVE, 99, node.incarnation + 1)
        node.on_datagram(
            tier.event_queue.now, 0, Datagram(PING, 0, tier.nodes[0].start_id, 1, 5, updates=(claim,))
        )
        tier.run(0.1)
    assert sum("twice" in change.why for change in node.changes) == 1
    assert node.incarnation < 20


def test_a_flood_of_pings_is_answered_up_to_the_limit():
    tier = Tier(3).run(10)
    tier.sent[0] = 0
    for sequence in range(1000):
        tier.nodes[0].on_datagram(
            tier.event_queue.now, 1, Datagram(PING, 1, tier.nodes[1].start_id, 1, sequence)
        )
    assert tier.sent[0] <= membership.MAX_ANSWERS


def test_datagrams_in_the_name_of_another_member_are_ignored():
    tier = Tier(3).run(10)
    tier.nodes[0].on_datagram(tier.event_queue.now, 1, Datagram(PING, 2, 77, 99))
    tier.nodes[0].on_datagram(tier.event_queue.now, 9, Datagram(PING, 9, 77, 99))
    tier.nodes[0].on_datagram(
        tier.event_queue.now,
        1,
        Datagram(ACK, 1, tier.nodes[1].start_id, 1, 0, 60_000, (MemberUpdate(60_000, DEAD, 1, 1),)),
    )
    assert tier.nodes[0].members[2].incarnation < 99 and tier.run(5).agree() and tier.event_queue.now > START


u16, u32 = st.integers(0, 0xFFFF), st.integers(0, 0xFFFFFFFF)
updates = st.builds(MemberUpdate, u16, st.integers(0, 3), u32, u32)
messages = st.builds(
    Datagram, st.integers(1, 4), u16, u32, u32, u32, u16, st.lists(updates, max_size=20).map(tuple)
)


@given(messages)
def test_unpacking_returns_what_was_packed(message):
    assert unpack(pack(message)) == message and len(pack(message)) <= MAX_BYTES


@settings(max_examples=300)
@given(
    st.binary(max_size=300)
    | st.tuples(messages, st.integers(0, 255), st.binary(min_size=1, max_size=3)).map(
        lambda parts: pack(parts[0])[: parts[1]] + parts[2]
    )
)
def test_arbitrary_bytes_are_a_datagram_or_an_error_with_a_reason(data):
    try:
        assert pack(unpack(data)) == data
    except DatagramError as error:
        assert str(error).replace("-", "").isalpha()
