"""Membership among balancers on a played network: who is taken for alive, through loss, cuts and restarts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from bellrack.lab.agenda import RESULT, START, TIMER, Agenda
from bellrack.lab.chance import Chance
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
    """Balancers that speak of each other over a network with loss, delay and cuts."""

    def __init__(self, count, seed=1, loss=0.0, delay=(0.001, 0.016)):
        self.agenda, self.chance = Agenda(), Chance(seed)
        self.loss, self.delay = loss, list(delay)
        self.cut = lambda sender, receiver: False
        self.sent = [0] * count
        self.bytes = [0] * count
        self.largest = 0
        self.nodes = [None] * count
        for number in range(count):
            self.start(number)

    def start(self, number):
        stream = self.chance[f"life {number}"]
        node = self.nodes[number] = Membership(
            number,
            len(self.nodes),
            1 + int(stream.even() * 0xFFFFFFF0),
            self.agenda.now,
            lambda peer, message: self.post(number, node, peer, message),
            stream.even,
        )
        self.tick(number, node)

    def tick(self, number, node):
        if self.nodes[number] is node and not node.left:
            node.tick(self.agenda.now)
            self.agenda.at(node.due(), TIMER, self.tick, number, node)

    def post(self, sender, node, receiver, message):
        if self.nodes[sender] is not node:
            return
        data = pack(message)
        self.sent[sender] += 1
        self.bytes[sender] += len(data)
        self.largest = max(self.largest, len(data))
        net = self.chance["net"]
        wait, lost = net.between(self.delay), net.hit(self.loss)
        if not lost and not self.cut(sender, receiver):
            self.agenda.after(wait, RESULT, self.arrives, sender, receiver, data)

    def arrives(self, sender, receiver, data):
        if self.nodes[receiver]:
            self.nodes[receiver].on_datagram(self.agenda.now, sender, unpack(data))

    def kill(self, number):
        self.nodes[number] = None

    def run(self, seconds):
        self.agenda.run(self.agenda.now + seconds)
        return self

    def views(self, of):
        """What those who are there believe of one member."""
        there = [node for node in self.nodes if node and not node.left and node.own != of]
        return [node.members[of].status for node in there]

    def agree(self):
        """Everyone takes those for alive that are, and no one else."""
        up = [number for number, node in enumerate(self.nodes) if node and not node.left]
        taken = [
            {member.number for member in self.nodes[one].members if member.status == ALIVE} for one in up
        ]
        return all(one == set(up) for one in taken)

    def deaths(self):
        return [change for node in self.nodes if node for change in node.changes if change.status == DEAD]


@pytest.mark.parametrize("count", [2, 3, 20, 90])
def test_all_know_of_all_and_nobody_dies_without_loss(count):
    tier = Tier(count).run(60)
    assert tier.agree() and not tier.deaths()


@pytest.mark.parametrize("count", [2, 90])
def test_what_a_balancer_sends_is_bounded_whatever_the_tier(count):
    tier = Tier(count).run(30)
    before = list(tier.sent)
    tier.run(60)
    assert max(now - then for now, then in zip(tier.sent, before)) <= 60 * 6
    assert tier.largest <= MAX_BYTES


def test_a_dead_balancer_is_found_by_all_and_one_that_leaves_is_suspected_by_none():
    tier = Tier(20).run(20)
    tier.kill(7)
    tier.nodes[3].leave()
    tier.run(30)
    assert set(tier.views(7)) == {DEAD} and set(tier.views(3)) == {LEFT}
    assert not any(
        change.member == 3 and change.status not in (ALIVE, LEFT)
        for node in tier.nodes
        if node
        for change in node.changes
    )


def test_kill_and_start_under_the_same_name_within_200_ms():
    tier = Tier(20).run(20)
    tier.kill(7)
    tier.run(0.2)
    tier.start(7)
    tier.run(10)
    assert tier.agree() and not tier.deaths()
    lives = {node.members[7].start_id for node in tier.nodes}
    assert lives == {tier.nodes[7].start_id}
    others = [node for node in tier.nodes if node.own != 7]
    assert all(any(change.why == "restarted" for change in node.changes) for node in others)


def test_a_tier_cut_in_two_finds_itself_again():
    tier = Tier(12).run(20)
    tier.cut = lambda sender, receiver: (sender < 6) != (receiver < 6)
    tier.run(40)
    assert not tier.agree() and set(tier.views(0)) == {ALIVE, DEAD}
    tier.cut = lambda sender, receiver: False
    assert tier.run(30).agree()


def test_a_cut_in_one_direction_and_its_healing():
    tier = Tier(12).run(20)
    tier.cut = lambda sender, receiver: sender < 3 and receiver >= 3
    tier.run(40)
    tier.cut = lambda sender, receiver: False
    assert tier.run(40).agree()


def test_one_that_cannot_reach_one_other_is_helped_by_the_rest():
    tier = Tier(8).run(20)
    tier.cut = lambda sender, receiver: {sender, receiver} == {1, 2}
    tier.run(60)
    assert tier.agree() and not tier.deaths()


def test_an_old_datagram_that_comes_late_raises_nobody():
    tier = Tier(4).run(10)
    old = Datagram(PING, 2, tier.nodes[2].start_id, tier.nodes[2].incarnation)
    tier.kill(2)
    tier.run(40)
    assert tier.views(2) == [DEAD] * 3
    tier.nodes[0].on_datagram(tier.agenda.now, 2, old)
    assert tier.nodes[0].members[2].status == DEAD


def test_all_restarted_in_turn_and_all_at_once():
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


def test_loss_of_30_percent_with_100_ms_of_jitter_leaves_agreement():
    tier = Tier(20, loss=0.3, delay=(0.001, 0.101)).run(120)
    tier.loss = 0.0
    assert tier.run(30).agree()


def test_two_processes_with_one_name_are_told_and_do_not_outshout_each_other_for_ever():
    tier = Tier(4).run(10)
    node = tier.nodes[1]
    for _ in range(50):
        claim = MemberUpdate(1, ALIVE, 99, node.incarnation + 1)
        node.on_datagram(
            tier.agenda.now, 0, Datagram(PING, 0, tier.nodes[0].start_id, 1, 5, updates=(claim,))
        )
        tier.run(0.1)
    assert sum("twice" in change.why for change in node.changes) == 1
    assert node.incarnation < 20


def test_a_flood_of_questions_is_answered_within_its_bound():
    tier = Tier(3).run(10)
    tier.sent[0] = 0
    for sequence in range(1000):
        tier.nodes[0].on_datagram(tier.agenda.now, 1, Datagram(PING, 1, tier.nodes[1].start_id, 1, sequence))
    assert tier.sent[0] <= membership.MAX_ANSWERS


def test_who_speaks_for_another_is_not_heard():
    tier = Tier(3).run(10)
    tier.nodes[0].on_datagram(tier.agenda.now, 1, Datagram(PING, 2, 77, 99))
    tier.nodes[0].on_datagram(tier.agenda.now, 9, Datagram(PING, 9, 77, 99))
    tier.nodes[0].on_datagram(
        tier.agenda.now,
        1,
        Datagram(ACK, 1, tier.nodes[1].start_id, 1, 0, 60_000, (MemberUpdate(60_000, DEAD, 1, 1),)),
    )
    assert tier.nodes[0].members[2].incarnation < 99 and tier.run(5).agree() and tier.agenda.now > START


short, long = some.integers(0, 0xFFFF), some.integers(0, 0xFFFFFFFF)
updates = some.builds(MemberUpdate, short, some.integers(0, 3), long, long)
messages = some.builds(
    Datagram, some.integers(1, 4), short, long, long, long, short, some.lists(updates, max_size=20).map(tuple)
)


@given(messages)
def test_what_is_packed_is_what_is_unpacked(message):
    assert unpack(pack(message)) == message and len(pack(message)) <= MAX_BYTES


@settings(max_examples=300)
@given(
    some.binary(max_size=300)
    | some.tuples(messages, some.integers(0, 255), some.binary(min_size=1, max_size=3)).map(
        lambda parts: pack(parts[0])[: parts[1]] + parts[2]
    )
)
def test_bytes_from_anywhere_are_a_datagram_or_an_error_with_a_reason(data):
    try:
        assert pack(unpack(data)) == data
    except DatagramError as error:
        assert str(error).replace("-", "").isalpha()
