"""Clients in virtual time: demands for a connection that come in open loop, and the tries at each.

Owns when a client comes, tries again, gives up and leaves for good. It sees what a client sees: answers and
ends. A demand lasts from when it was due, whether anybody serves it or not.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bellrack.lab.event_queue import ARRIVAL, GUARD, START
from bellrack.lab.streams import running

if TYPE_CHECKING:
    from bellrack.lab.node import LegRecord, VirtualNode
    from bellrack.lab.world import World
    from bellrack.model import Call

UNREACHED = 0.05  # seconds until a client knows that no balancer takes its connection
LATEST = 1e9  # an end that never comes


class Want:
    """A client's demand for a connection."""

    __slots__ = (
        "request",
        "type",
        "tenant",
        "group",
        "key",
        "zone",
        "load",
        "due",
        "ends",
        "never",
        "honours",
        "tries",
        "attempt",
        "returned",
        "over",
        "heavy",
        "failed_since",
    )

    def __init__(self, request: int, due: float):
        self.request, self.due = request, due
        self.tries = 0  # failed in a row
        self.attempt: Attempt | None = None
        self.returned = self.over = False


class Attempt:
    """One try at a demand: one call at one balancer."""

    __slots__ = (
        "id",
        "want",
        "node",
        "sent",
        "guard",
        "delay",
        "repeat",
        "call",
        "leg_record",
        "said",
        "due",
    )

    def __init__(self, number: int, want: Want, node: VirtualNode, sent: float, guard: float, delay: float):
        self.id, self.want, self.node = number, want, node
        self.sent, self.guard, self.delay = sent, guard, delay
        self.repeat = want.tries > 0
        self.call: Call | None = None
        self.leg_record: LegRecord | None = None  # of the last leg, under way or standing
        self.said = ""  # the answer it heard, or how it ended

    def answered(self, how: str, wait: float) -> None:
        self.node.world.clients.answered(self, how, wait)

    def broken(self, how: str) -> None:
        self.node.world.clients.broken(self, how)


class Clients:
    def __init__(self, world: World):
        self.world, self.form = world, world.scenario.clients
        scenario = world.scenario
        self.arrivals, self.kinds, self.loads = (world.streams[c] for c in ("arrivals", "kinds", "loads"))
        self.habits, self.waits = world.streams["habits"], world.streams["waits"]
        self.zones = running([zone.clients for zone in scenario.zone])
        self.types = running([kind.share for kind in scenario.type])
        self.tenants = running([one.share * one.usage for one in scenario.tenant] or [1.0])
        self.groups = running([1 / (n + 1) ** scenario.groups.zipf for n in range(scenario.groups.count)])
        self.requests = self.calls = 0
        self.wants: dict[Want, None] = {}  # those that last
        self.dear: list = []  # troubles in force
        self.burst = 1.0

    # Coming.

    def begin(self) -> None:
        if self.form.rate:
            self.next_arrival()

    def next_arrival(self) -> None:
        wait = self.arrivals.wait(1 / (self.form.rate * self.burst))
        if self.world.now + wait < START + self.world.scenario.length:
            self.world.event_queue.schedule_after(wait, ARRIVAL, self.comes)

    def comes(self) -> None:
        self.next_arrival()
        self.tries(self.want())

    def want(self) -> Want:
        """A new demand, due now."""
        world, scenario = self.world, self.world.scenario
        self.requests += 1
        want = Want(self.requests, world.now)
        want.type, want.tenant = self.kinds.index(self.types), self.kinds.index(self.tenants)
        want.zone = self.kinds.index(self.zones)
        want.group = self.kinds.index(self.groups) + 1 if self.groups else 0
        want.key = self.kinds.seed()
        kind = scenario.type[want.type]
        want.ends = world.now + self.kinds.wait(self.form.life * kind.life)
        want.load = scenario.load.mean * kind.load * self.loads.skewed(scenario.load.spread)
        want.heavy = self.loads.even()  # which of dear calls it is among, whatever the troubles
        want.load *= math.prod(trouble.factor for trouble in self.dear if self.is_dear(want, trouble))
        want.never, want.honours = self.habits.hit(self.form.never), self.habits.hit(self.form.honours)
        want.failed_since = world.now
        self.wants[want] = None
        world.service_record.wants(want, 1)
        world.event_queue.schedule_at(min(want.ends, LATEST), GUARD, self.leaves, want)
        return want

    def is_dear(self, want: Want, trouble) -> bool:
        tenants, kinds = self.world.scenario.tenant, self.world.scenario.type
        named = (
            tenants[want.tenant].name == trouble.tenant
            if trouble.tenant and tenants
            else kinds[want.type].name == trouble.type
        )
        return named and want.heavy < trouble.share

    def tries(self, want: Want) -> None:
        """Connect to the balancer that the front deals out."""
        if want.over or want.attempt:
            return
        world, kind = self.world, self.world.scenario.type[want.type]
        node = world.front.deal(want.zone)
        if node is None:
            self.failed(want, None, 0.0)
            return
        self.calls += 1
        delay = world.client_delay() + (0 if node.zone == want.zone else world.delay(want.zone, node.zone))
        attempt = want.attempt = Attempt(self.calls, want, node, world.now, world.now + kind.guard, delay)
        world.event_queue.schedule_after(delay, ARRIVAL, self.reaches, attempt)
        world.event_queue.schedule_at(attempt.guard, GUARD, self.gives_up, attempt)

    def reaches(self, attempt: Attempt) -> None:
        if not attempt.node.alive:
            attempt.answered("unreached", 0.0)
        else:
            attempt.node.turn(attempt.node.arrive, attempt)

    # What it hears.

    def answered(self, attempt: Attempt, how: str, wait: float) -> None:
        want = attempt.want
        if attempt.said:
            return
        attempt.said = how
        if want.over or want.attempt is not attempt:
            return
        if how == "completed":
            self.world.service_record.came_up(want, self.world.now - want.failed_since)
            want.tries = 0
            return
        self.failed(want, attempt, wait)

    def gives_up(self, attempt: Attempt) -> None:
        """Its guard time is up and it has heard nothing."""
        if attempt.said or attempt.want.attempt is not attempt:
            return
        attempt.said = "gave up"
        self.world.counters["gave_up"] += 1
        self.hangs_up(attempt)
        self.failed(attempt.want, attempt, 0.0)

    def failed(self, want: Want, attempt: Attempt | None, wait: float) -> None:
        want.attempt = None
        if want.over:
            return
        world, kind = self.world, self.world.scenario.type[want.type]
        how = attempt.said if attempt else "none"
        # What may have run and must not run twice is a new request when the client comes again.
        harmless = (
            how in ("rejected", "unreached", "none")
            or kind.effect == "repeatable"
            or kind.effect == "referenced"
            and kind.group == "all"
            and world.now < want.due + kind.remembered
        )
        want.tries += 1
        if not want.never and harmless and want.tries <= self.form.retries:
            back = self.waits.between(self.form.backoff)
            if how == "rejected" and wait and want.honours:
                back = wait + back
            if how in ("none", "unreached"):
                back = max(back, UNREACHED)
            world.event_queue.schedule_after(back, ARRIVAL, self.tries, want)
        elif self.form.again[1] and not want.never:
            want.tries = 0
            world.event_queue.schedule_after(
                max(wait, self.waits.between(self.form.again)), ARRIVAL, self.anew, want
            )

    def anew(self, want: Want) -> None:
        """A new request for the same demand."""
        if not want.over and not want.attempt:
            self.requests += 1
            want.request, want.due = self.requests, self.world.now
            self.tries(want)

    def broken(self, attempt: Attempt, how: str) -> None:
        """The connection ended, with MOVE or without."""
        want = attempt.want
        if want.attempt is not attempt or how == attempt.said:
            return
        standing = attempt.said == "completed"
        if standing:
            self.world.trace.add(self.world.now, "over", attempt.id, how)
        attempt.said = attempt.said or how  # killed: what it held is the client's to retry
        want.attempt = None
        if want.over:
            return
        if not standing:
            self.failed(want, attempt, 0.0)
            return
        want.returned, want.tries, want.failed_since = True, 0, self.world.now
        self.requests += 1
        want.request, want.due = self.requests, self.world.now
        self.world.event_queue.schedule_after(self.waits.between(self.form.rejoin), ARRIVAL, self.tries, want)

    def hangs_up(self, attempt: Attempt, kind: str = "cancelled") -> None:
        node = attempt.node
        self.world.event_queue.schedule_after(attempt.delay, ARRIVAL, node.turn, node.hung_up, attempt, kind)

    def leaves(self, want: Want) -> None:
        """The demand is over, served to its end or not."""
        want.over = True
        del self.wants[want]
        self.world.service_record.wants(want, -1)
        if want.attempt:
            attempt, want.attempt = want.attempt, None
            if attempt.said == "completed":
                self.world.trace.add(self.world.now, "over", attempt.id, "left")
            attempt.said = attempt.said or "left"
            self.hangs_up(attempt, "completed")

    def drops(self, share: float, zone: int | None) -> None:
        """So many clients drop at once and come again."""
        stream = self.world.streams["drops"]
        for want in list(self.wants):
            attempt = want.attempt
            if stream.hit(share) and attempt and attempt.said == "completed" and zone in (None, want.zone):
                self.hangs_up(attempt, "completed")
                self.broken(attempt, "dropped")
