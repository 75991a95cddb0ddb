"""Tracks which balancers of the tier are alive, with a protocol like SWIM.

After Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002), sections 3 and 4: in each period one member is pinged; if it does not answer, others are
asked to ping it; a member is suspected before it is declared dead, and refutes the suspicion with a higher
incarnation; updates travel on pings and answers. Differences: the members are known beforehand; a process
draws a start id when it starts; and a dead member is still pinged at times, so that a tier that was
partitioned joins again.

The module keeps the state of each member and determines when which member is pinged. It reads no clock and no
socket, and never compares the clocks of two machines. No decision about a call depends on it, as a test
verifies.
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

PERIOD_SECONDS = 0.5  # from one probe to the next
ACK_TIMEOUT_SECONDS = 0.15  # for the answer to a ping; then others are asked to ping the member
INDIRECT_PROBES = 2  # members that are asked
SUSPICION_PERIODS = 3.0  # from suspicion to death, times the logarithm of the tier's size
RETRANSMITS = 3.0  # of an update, times the same logarithm
UPDATES_PER_DATAGRAM = 8
DEAD_PROBE_PERIODS = 6  # in one period of so many a member that is dead or unknown is pinged
MAX_ANSWERS = 12  # in a period, with pings to unknown members; limits what a flood of pings can cause
UNKNOWN_PINGS = 4  # extra pings a period to unknown members: after a start, updates bring only what is new
MAX_UNKNOWN_PINGS = 3  # such pings to each member
TIMER_TOLERANCE_SECONDS = 0.001
MAX_RELAYED_PROBES = 16  # pings on behalf of others that wait for an answer
MAX_RIVAL_CLAIMS = 3  # updates with another start id for the own number, until a change is recorded
RIVAL_REFUTE_SECONDS = 10.0  # between refutations from then on
UNKNOWN = -1  # status of a member that has never sent a datagram
STATUS_NAMES = {UNKNOWN: "unknown", ALIVE: "alive", SUSPECT: "suspect", DEAD: "dead", LEFT: "left"}


@dataclass(eq=False)
class Member:
    """What this balancer knows of one balancer of the tier."""

    number: int
    status: int = UNKNOWN
    start_id: int = 0
    incarnation: int = 0
    since: float = 0.0  # when the status last changed, by the own clock
    last_heard: float = -math.inf  # when the last datagram came from the member itself
    last_start_id: int = 0  # in that datagram
    pings: int = 0  # extra pings while it was unknown
    transmissions_left: int = 0  # datagrams that are still to carry its update

    def update(self) -> MemberUpdate:
        """The update that reports this member's status."""
        return MemberUpdate(self.number, max(ALIVE, self.status), self.start_id, self.incarnation)


@dataclass(frozen=True)
class Change:
    """A change of a member's status, for the log and for other consumers."""

    member: int
    status: int
    why: str


@dataclass(eq=False)
class PendingProbe:
    """The probe of this period, as long as it has no answer."""

    member: Member
    sequence: int
    sent_at: float
    indirect: bool = False  # others have been asked to ping the member


class Membership:
    """One balancer's view of the tier.

    `own_number` is its number, `tier_size` the number of members and `start_id` a random number of this
    process. Times are in seconds. `send_datagram(member, datagram)` is called with each datagram, `draw()`
    for random numbers in [0, 1).
    """

    def __init__(
        self,
        own_number: int,
        tier_size: int,
        start_id: int,
        now: float,
        send_datagram: Callable[[int, Datagram], None],
        draw: Callable[[], float],
    ):
        self.own_number, self.start_id, self.incarnation = own_number, start_id, 1
        self.members = [Member(number, since=now) for number in range(tier_size)]
        (
            self.members[own_number].status,
            self.members[own_number].start_id,
            self.members[own_number].incarnation,
        ) = (
            ALIVE,
            start_id,
            1,
        )
        self.send_datagram, self.draw = send_datagram, draw
        self.log_size = max(1.0, math.log2(tier_size + 1))
        self.changes: list[Change] = []
        self.sequence = 0
        self.pending_probe: PendingProbe | None = None
        self.probe_order: list[Member] = []  # members left to ping in this round, the next one last
        self.periods = 0
        # By sequence of the own ping: the requester, its sequence, and when the entry expires.
        self.relayed_probes: dict[int, tuple[int, int, float]] = {}
        self.answers = 0  # sent in this period
        self.rival_claims, self.last_refutation = 0, -math.inf
        self.left = False
        self.next_period = now + PERIOD_SECONDS * draw()
        self.enqueue_broadcast(self.members[own_number])

    # Timers.

    def due(self) -> float:
        """The time at which `tick` has to be called next."""
        times = [self.next_period]
        if self.pending_probe and not self.pending_probe.indirect:
            times.append(self.pending_probe.sent_at + ACK_TIMEOUT_SECONDS)
        return min(times)

    def tick(self, now: float) -> None:
        """Does what is due: asks others to ping a member that has not answered, or starts the next period."""
        if self.left:
            return
        # Otherwise a timer that fires slightly early would do nothing and be set again without end.
        now += TIMER_TOLERANCE_SECONDS
        probe = self.pending_probe
        if probe and not probe.indirect and now >= probe.sent_at + ACK_TIMEOUT_SECONDS:
            probe.indirect = True
            helpers = [
                member
                for member in self.members
                if member.status == ALIVE and member.number not in (self.own_number, probe.member.number)
            ]
            for _ in range(min(INDIRECT_PROBES, len(helpers))):
                helper = helpers.pop(int(self.draw() * len(helpers)))
                self.send(helper.number, INDIRECT_PROBE, probe.sequence, probe.member.number)
        if now >= self.next_period:
            self.on_period(now)

    def on_period(self, now: float) -> None:
        """Ends a period, with a suspicion if the probe has no answer, and begins the next one."""
        self.next_period = max(self.next_period + PERIOD_SECONDS, now + PERIOD_SECONDS / 2)
        self.answers = 0
        self.relayed_probes = {
            sequence: probe for sequence, probe in self.relayed_probes.items() if probe[2] > now
        }
        if self.pending_probe and self.pending_probe.member.status == ALIVE:
            self.merge(now, self.pending_probe.member.update(), SUSPECT, "no answer")
        self.pending_probe = None
        for member in self.members:
            if (
                member.status == SUSPECT
                and now >= member.since + SUSPICION_PERIODS * self.log_size * PERIOD_SECONDS
            ):
                self.merge(now, member.update(), DEAD, "suspicion timed out")
        unknown = [
            member for member in self.members if member.status == UNKNOWN and member.pings < MAX_UNKNOWN_PINGS
        ]
        for _ in range(min(UNKNOWN_PINGS, len(unknown))):
            receiver = unknown.pop(int(self.draw() * len(unknown)))
            receiver.pings += 1
            self.answer(receiver.number, PING, 0)
        member = self.next_member()
        if member:
            self.sequence += 1
            self.pending_probe = PendingProbe(member, self.sequence, now)
            self.send(member.number, PING, self.sequence)

    def next_member(self) -> Member | None:
        """The member to ping: each of those alive once a round, in random order.

        One period in DEAD_PROBE_PERIODS goes to a member that is not alive, as all do if no member is.
        """
        self.periods += 1
        alive = self.alive()
        others = [
            member for member in self.members if member not in alive and member.number != self.own_number
        ]
        if others and (not alive or self.periods % DEAD_PROBE_PERIODS == 0):
            return others[int(self.draw() * len(others))]
        while self.probe_order and self.probe_order[-1] not in alive:
            self.probe_order.pop()
        if not self.probe_order and alive:
            self.probe_order = sorted(alive, key=lambda _: self.draw())
        return self.probe_order.pop() if self.probe_order else None

    # Receiving.

    def on_datagram(self, now: float, peer: int, message: Datagram) -> None:
        """Takes a datagram from the known address of member `peer`.

        A datagram with another sender's number is ignored.
        """
        if self.left or message.sender != peer or peer == self.own_number or peer >= len(self.members):
            return
        member = self.members[peer]
        member.last_heard, member.last_start_id = now, message.start_id
        status = LEFT if message.kind == LEAVE else ALIVE
        self.merge(now, MemberUpdate(peer, status, message.start_id, message.incarnation), status, "spoke")
        for update in message.updates:
            if update.member < len(self.members):
                self.merge(now, update, update.status, f"reported by {peer}")
        if message.kind == PING:
            self.answer(peer, ACK, message.sequence)
        elif (
            message.kind == INDIRECT_PROBE
            and message.target < len(self.members)
            and message.target != self.own_number
        ):
            if len(self.relayed_probes) < MAX_RELAYED_PROBES:
                self.sequence += 1
                self.relayed_probes[self.sequence] = peer, message.sequence, now + 2 * PERIOD_SECONDS
                self.answer(message.target, PING, self.sequence)
        elif message.kind == ACK:
            self.on_ack(peer, message)

    def on_ack(self, peer: int, message: Datagram) -> None:
        """Takes an answer to an own probe, or passes it to the member on whose behalf the ping was sent."""
        if message.sequence in self.relayed_probes and message.target == NOBODY:
            requester, their_sequence, _ = self.relayed_probes.pop(message.sequence)
            self.answer(requester, ACK, their_sequence, peer)
        probe = self.pending_probe
        answering = peer if message.target == NOBODY else message.target
        if probe and probe.sequence == message.sequence and probe.member.number == answering:
            self.pending_probe = None

    def merge(self, now: float, update: MemberUpdate, status: int, why: str) -> None:
        """Takes an update if it is newer: of a higher incarnation, or of the same one with a worse status."""
        if update.member == self.own_number:
            self.refute(now, update)
            return
        member = self.members[update.member]
        if (update.incarnation, status) <= (member.incarnation, member.status):
            # Applies to the member's own datagrams too: it is sent its status and refutes it with a higher
            # incarnation. Otherwise an old datagram that arrives late would mark a dead member as alive.
            return
        restarted = member.start_id not in (0, update.start_id)
        if status != member.status or restarted:
            member.since = now
            returned = restarted and status == ALIVE
            self.changes.append(Change(member.number, status, "restarted" if returned else why))
        member.status, member.start_id, member.incarnation = status, update.start_id, update.incarnation
        self.enqueue_broadcast(member)

    def refute(self, now: float, update: MemberUpdate) -> None:
        """Answers an update about this balancer with a higher incarnation, unless it is true or old."""
        ours = update.start_id == self.start_id
        if update.incarnation < self.incarnation or ours and update.status == ALIVE:
            return
        if not ours and update.status == ALIVE and update.incarnation >= self.incarnation:
            # An earlier process had this number; if such updates go on, another process uses it now.
            self.rival_claims += 1
            if self.rival_claims == MAX_RIVAL_CLAIMS:
                self.changes.append(Change(self.own_number, ALIVE, "our number is in use twice"))
            if self.rival_claims >= MAX_RIVAL_CLAIMS and now < self.last_refutation + RIVAL_REFUTE_SECONDS:
                return
        self.last_refutation = now
        self.incarnation = update.incarnation + 1
        own_member = self.members[self.own_number]
        own_member.incarnation, own_member.since = self.incarnation, now
        self.enqueue_broadcast(own_member)

    # Sending.

    def enqueue_broadcast(self, member: Member) -> None:
        """Adds the member's update to the next datagrams."""
        member.transmissions_left = math.ceil(RETRANSMITS * self.log_size)

    def send(self, peer: int, kind: int, sequence: int, target: int = NOBODY) -> None:
        """Sends a datagram with the updates that have the most transmissions left.

        If the receiver is not alive here, or its last datagram came from another process than the one known
        here, the update about itself comes first, so that it can refute it.
        """
        receiver = self.members[peer]
        first = (
            [receiver]
            if receiver.status in (SUSPECT, DEAD, LEFT)
            or receiver.last_start_id not in (0, receiver.start_id)
            else []
        )
        rest = sorted(
            (
                member
                for member in self.members
                if member.transmissions_left and member not in first and member.status != UNKNOWN
            ),
            key=lambda member: -member.transmissions_left,
        )
        sent = (first + rest)[:UPDATES_PER_DATAGRAM]
        for member in sent:
            member.transmissions_left = max(0, member.transmissions_left - 1)
        self.send_datagram(
            peer,
            Datagram(
                kind,
                self.own_number,
                self.start_id,
                self.incarnation,
                sequence,
                target,
                tuple(member.update() for member in sent),
            ),
        )

    def answer(self, peer: int, kind: int, sequence: int, target: int = NOBODY) -> None:
        """Sends a datagram unless MAX_ANSWERS have been sent in this period.

        Otherwise a flood of pings would cause as many datagrams.
        """
        if self.answers < MAX_ANSWERS:
            self.answers += 1
            self.send(peer, kind, sequence, target)

    def leave(self) -> None:
        """Tells some members that this balancer shuts down, so that none suspects it; they pass it on."""
        own_member = self.members[self.own_number]
        own_member.status = LEFT
        others = [
            member
            for member in self.members
            if member.status in (ALIVE, SUSPECT) and member.number != self.own_number
        ]
        for _ in range(min(len(others), math.ceil(RETRANSMITS * self.log_size))):
            self.send(others.pop(int(self.draw() * len(others))).number, LEAVE, 0)
        self.left = True

    def alive(self) -> list[Member]:
        """The other members that are alive or suspected."""
        return [
            member
            for member in self.members
            if member.status in (ALIVE, SUSPECT) and member.number != self.own_number
        ]
