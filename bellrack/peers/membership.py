"""Which balancers of the tier are alive, since when and in which incarnation: a SWIM-like protocol.

After Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002), sections 3 and 4: one member is pinged a period, others are asked to ping one that does not
answer, suspicion precedes death and can be refuted by a higher incarnation, and updates travel on pings and
answers. Ours: the members are known beforehand, a process draws a start id, and the dead are asked
again now and then, so that a tier cut in two finds itself again.

Owns the state of each member and when who is asked. It never reads a clock or a socket, compares no clocks of
two machines, and decides nothing about calls: a test holds that decisions are the same without it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from bellrack.peers.wire import (
    ACK,
    ALIVE,
    DEAD,
    INDIRECT_PROBE,
    LEAVE,
    LEFT,
    NOBODY,
    PING,
    SUSPECT,
    Datagram,
    MemberUpdate,
)

PERIOD = 0.5  # seconds from one question to the next
ANSWER = 0.15  # seconds in which an answer is due, before others are asked to try
HELPERS = 2  # that are asked
DOUBT = 3.0  # periods, times the logarithm of the tier's size, from suspicion to death
TELLING = 3.0  # times that logarithm a update is passed on
CARRIED = 8  # updates on one datagram
DEAD_EACH = 6  # one question in so many goes to a member that counts as dead or never spoke
ANSWERS = 12  # datagrams in answer within a period, at most: what a flood of questions can make us send
STRANGERS, STRANGERS_ASKED = 4, 3  # asked a period after a start, and how often each: updates tell only news
EARLY = 0.001  # seconds
MAX_RELAYED_PROBES = 16  # questions of others that are under way through us, at most
RIVALS = 3  # times that another start id claims our member, until it is told
RIVAL_EACH = 10.0  # seconds between claims of ours from then on
UNKNOWN = -1  # a member that never spoke
NAMES = {UNKNOWN: "unknown", ALIVE: "alive", SUSPECT: "suspect", DEAD: "dead", LEFT: "left"}


@dataclass(eq=False)
class Member:
    """What is believed of one balancer of the tier."""

    number: int
    status: int = UNKNOWN
    start_id: int = 0
    incarnation: int = 0
    since: float = 0.0  # when it came to this status, by our clock
    heard: float = -math.inf  # when it last spoke to us itself
    spoken: int = 0  # the start id in which it last spoke to us itself
    asked: int = 0  # times that we asked it before it ever spoke
    left_to_tell: int = 0  # times that its update is still to be passed on

    def update(self) -> MemberUpdate:
        return MemberUpdate(self.number, max(ALIVE, self.status), self.start_id, self.incarnation)


@dataclass(frozen=True)
class Change:
    """For the log and for whoever builds on it."""

    member: int
    status: int
    why: str


@dataclass(eq=False)
class PendingProbe:
    member: Member
    sequence: int
    asked: float
    helped: bool = False


class Membership:
    """One balancer's view. `send(member, datagram)` is called for what goes out; `draw()` gives [0, 1)."""

    def __init__(
        self,
        own: int,
        members: int,
        start_id: int,
        now: float,
        send: Callable[[int, Datagram], None],
        draw: Callable[[], float],
    ):
        self.own, self.start_id, self.incarnation = own, start_id, 1
        self.members = [Member(number, since=now) for number in range(members)]
        self.members[own].status, self.members[own].start_id, self.members[own].incarnation = (
            ALIVE,
            start_id,
            1,
        )
        self.send_out, self.draw = send, draw
        self.spread = max(1.0, math.log2(members + 1))
        self.changes: list[Change] = []
        self.sequence = 0
        self.pending_probe: PendingProbe | None = None
        self.order: list[Member] = []
        self.turns = 0
        self.relayed_probes: dict[
            int, tuple[int, int, float]
        ] = {}  # our sequence: who asked, theirs, until when
        self.answers = 0  # in this period
        self.rivals, self.claimed = 0, -math.inf
        self.left = False
        self.next_turn = now + PERIOD * draw()
        self.enqueue_broadcast(self.members[own])

    # Time.

    def due(self) -> float:
        """When `tick` is to be called next."""
        times = [self.next_turn]
        if self.pending_probe and not self.pending_probe.helped:
            times.append(self.pending_probe.asked + ANSWER)
        return min(times)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.left:
            return
        now += EARLY  # guards against a timer that goes off a moment early, and would do so for ever
        question = self.pending_probe
        if question and not question.helped and now >= question.asked + ANSWER:
            question.helped = True
            helpers = [
                member
                for member in self.members
                if member.status == ALIVE and member.number not in (self.own, question.member.number)
            ]
            for _ in range(min(HELPERS, len(helpers))):
                helper = helpers.pop(int(self.draw() * len(helpers)))
                self.send(helper.number, INDIRECT_PROBE, question.sequence, question.member.number)
        if now >= self.next_turn:
            self.on_period(now)

    def on_period(self, now: float) -> None:
        """The end of a period and the beginning of the next."""
        self.next_turn = max(self.next_turn + PERIOD, now + PERIOD / 2)
        self.answers = 0
        self.relayed_probes = {mine: asked for mine, asked in self.relayed_probes.items() if asked[2] > now}
        if self.pending_probe and self.pending_probe.member.status == ALIVE:
            self.merge(now, self.pending_probe.member.update(), SUSPECT, "no answer")
        self.pending_probe = None
        for member in self.members:
            if member.status == SUSPECT and now >= member.since + DOUBT * self.spread * PERIOD:
                self.merge(now, member.update(), DEAD, "suspected for long")
        strangers = [
            member for member in self.members if member.status == UNKNOWN and member.asked < STRANGERS_ASKED
        ]
        for _ in range(min(STRANGERS, len(strangers))):
            stranger = strangers.pop(int(self.draw() * len(strangers)))
            stranger.asked += 1
            self.answer(stranger.number, PING, 0)
        member = self.next_member()
        if member:
            self.sequence += 1
            self.pending_probe = PendingProbe(member, self.sequence, now)
            self.send(member.number, PING, self.sequence)

    def next_member(self) -> Member | None:
        """Each in turn, in an order drawn anew each round; the dead and unknown only now and then."""
        self.turns += 1
        here = self.alive()
        away = [member for member in self.members if member not in here and member.number != self.own]
        if away and (not here or self.turns % DEAD_EACH == 0):
            return away[int(self.draw() * len(away))]
        while self.order and self.order[-1] not in here:
            self.order.pop()
        if not self.order and here:
            self.order = sorted(here, key=lambda _: self.draw())
        return self.order.pop() if self.order else None

    # What is heard.

    def on_datagram(self, now: float, peer: int, message: Datagram) -> None:
        """A datagram from the known address of a peer."""
        if self.left or message.sender != peer or peer == self.own or peer >= len(self.members):
            return
        member = self.members[peer]
        member.heard, member.spoken = now, message.start_id
        status = LEFT if message.kind == LEAVE else ALIVE
        self.merge(now, MemberUpdate(peer, status, message.start_id, message.incarnation), status, "spoke")
        for update in message.updates:
            if update.member < len(self.members):
                self.merge(now, update, update.status, f"told by {peer}")
        if message.kind == PING:
            self.answer(peer, ACK, message.sequence)
        elif (
            message.kind == INDIRECT_PROBE
            and message.target < len(self.members)
            and message.target != self.own
        ):
            if len(self.relayed_probes) < MAX_RELAYED_PROBES:
                self.sequence += 1
                self.relayed_probes[self.sequence] = peer, message.sequence, now + 2 * PERIOD
                self.answer(message.target, PING, self.sequence)
        elif message.kind == ACK:
            self.acknowledged(peer, message)

    def acknowledged(self, peer: int, message: Datagram) -> None:
        if message.sequence in self.relayed_probes and message.target == NOBODY:
            asker, theirs, _ = self.relayed_probes.pop(message.sequence)
            self.answer(asker, ACK, theirs, peer)
        question = self.pending_probe
        about = peer if message.target == NOBODY else message.target
        if question and question.sequence == message.sequence and question.member.number == about:
            self.pending_probe = None

    def merge(self, now: float, update: MemberUpdate, status: int, why: str) -> None:
        """Take what is newer: a higher incarnation, or of the same one the worse."""
        if update.member == self.own:
            self.refute(now, update)
            return
        member = self.members[update.member]
        if (update.incarnation, status) <= (member.incarnation, member.status):
            # Also where it speaks itself: it hears from us what is said of it, and says so with a higher one.
            # Guards against old datagrams that come late and raise the dead.
            return
        restarted = member.start_id not in (0, update.start_id)
        if status != member.status or restarted:
            member.since = now
            again = restarted and status == ALIVE
            self.changes.append(Change(member.number, status, "restarted" if again else why))
        member.status, member.start_id, member.incarnation = status, update.start_id, update.incarnation
        self.enqueue_broadcast(member)

    def refute(self, now: float, update: MemberUpdate) -> None:
        """Something is said of ourselves: if it is not so, say more loudly that we are here."""
        ours = update.start_id == self.start_id
        if update.incarnation < self.incarnation or ours and update.status == ALIVE:
            return
        if not ours and update.status == ALIVE and update.incarnation >= self.incarnation:
            # A process before us under our name; if it goes on, another one beside us.
            self.rivals += 1
            if self.rivals == RIVALS:
                self.changes.append(Change(self.own, ALIVE, "our name is in use twice"))
            if self.rivals >= RIVALS and now < self.claimed + RIVAL_EACH:
                return
        self.claimed = now
        self.incarnation = update.incarnation + 1
        own = self.members[self.own]
        own.incarnation, own.since = self.incarnation, now
        self.enqueue_broadcast(own)

    # What is said.

    def enqueue_broadcast(self, member: Member) -> None:
        member.left_to_tell = math.ceil(TELLING * self.spread)

    def send(self, peer: int, kind: int, sequence: int, target: int = NOBODY) -> None:
        """With what is most to be told; always with what is said of the receiver, that it may refute it."""
        to = self.members[peer]
        first = [to] if to.status in (SUSPECT, DEAD, LEFT) or to.spoken not in (0, to.start_id) else []
        rest = sorted(
            (s for s in self.members if s.left_to_tell and s not in first and s.status != UNKNOWN),
            key=lambda member: -member.left_to_tell,
        )
        told = (first + rest)[:CARRIED]
        for member in told:
            member.left_to_tell = max(0, member.left_to_tell - 1)
        self.send_out(
            peer,
            Datagram(
                kind,
                self.own,
                self.start_id,
                self.incarnation,
                sequence,
                target,
                tuple(member.update() for member in told),
            ),
        )

    def answer(self, peer: int, kind: int, sequence: int, target: int = NOBODY) -> None:
        """Guards against a flood of questions that makes us send without bound."""
        if self.answers < ANSWERS:
            self.answers += 1
            self.send(peer, kind, sequence, target)

    def leave(self) -> None:
        """Tell some that we go, so that nobody suspects us; they pass it on."""
        own = self.members[self.own]
        own.status = LEFT
        others = [
            member
            for member in self.members
            if member.status in (ALIVE, SUSPECT) and member.number != self.own
        ]
        for _ in range(min(len(others), math.ceil(TELLING * self.spread))):
            self.send(others.pop(int(self.draw() * len(others))).number, LEAVE, 0)
        self.left = True

    def alive(self) -> list[Member]:
        """The others that are taken for alive, suspects among them."""
        return [
            member
            for member in self.members
            if member.status in (ALIVE, SUSPECT) and member.number != self.own
        ]
