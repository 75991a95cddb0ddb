"""A scale run on virtual time: hollow balancers and discovery on one heap of events.

Owns the virtual loop, streams and datagrams. The same plan and seed give the same
counts to the digit; it reads no clock but that of the processor, which goes into no count.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Any

from bellrack.lab.event_queue import LIST_UPDATE, RESULT, START, TIMER, EventQueue
from bellrack.lab.scale import figures
from bellrack.lab.scale.discovery_stub import CountedWatch, DiscoveryStub
from bellrack.lab.scale.guard import MemoryGuard
from bellrack.lab.scale.hollow import (
    DiscoveryRequest,
    HollowBalancer,
    LeanBalancer,
    configuration_factory,
    use_discovery_request,
)
from bellrack.lab.scale.plan import Plan
from bellrack.lab.scale.tier import Tier
from bellrack.model import Server
from bellrack.net import lines

PLACE = "127.0.0.1:1"  # of discovery and servers: an address that nobody dials
LOOK = 0.5  # virtual seconds between looks at memory
BUILT = 100  # balancers between them at the start


class Timer:
    """A handle as a loop gives one."""

    __slots__ = ("what", "values")

    def __init__(self, what: Callable, values: tuple):
        self.what, self.values = what, values

    def cancel(self) -> None:
        self.what = None

    def fire(self) -> None:
        if self.what:
            self.what(*self.values)


class VirtualLoop(EventQueue):
    """As much of a loop as a node asks for."""

    def __init__(self, connect: Callable[[Any], None]):
        super().__init__()
        self.connect = connect

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, what: Callable, *values: Any) -> Timer:
        timer = Timer(what, values)
        self.schedule_at(when, TIMER, timer.fire)
        return timer

    def call_later(self, wait: float, what: Callable, *values: Any) -> Timer:
        return self.call_at(self.now + wait, what, *values)

    def call_soon(self, what: Callable, *values: Any) -> None:
        self.schedule_at(self.now, TIMER, what, *values)


class Stream:
    """One end of a virtual connection, as a transport."""

    def __init__(self, world: VirtualTier, protocol: Any, zone: int):
        self.world, self.protocol, self.zone = world, protocol, zone
        self.other: Stream | None = None
        self.closing = self.lost = self.held = False
        self.waiting = b""

    def write(self, data: bytes) -> None:
        if not self.closing:
            self.world.carry(self, self.other.comes, data)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.world.carry(self, self.other.ends)
            self.world.loop.call_soon(self.gone, None)

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.world.carry(self, self.other.gone, ConnectionResetError())
        self.world.loop.call_soon(self.gone, None)

    def gone(self, error: Exception | None) -> None:
        self.closing = True
        if not self.lost:
            self.lost = True
            self.protocol.connection_lost(error)

    def ends(self) -> None:
        if not self.lost and not self.protocol.eof_received():
            self.close()

    def comes(self, data: bytes) -> None:
        if self.lost:
            return
        if hasattr(self.protocol, "data_received"):
            self.protocol.data_received(data)
        else:
            self.waiting += data
            self.fill()

    def fill(self) -> None:
        """As much as the other side has room for."""
        data, self.waiting = memoryview(self.waiting), b""
        while len(data) and not self.held:
            room = self.protocol.get_buffer(-1)
            count = min(len(room), len(data))
            room[:count] = data[:count]
            data = data[count:]
            self.protocol.buffer_updated(count)
        self.waiting = bytes(data)

    def pause_reading(self) -> None:
        self.held = True

    def resume_reading(self) -> None:
        self.held = False
        self.world.loop.call_soon(self.fill)

    def is_closing(self) -> bool:
        return self.closing

    def get_extra_info(self, name: str) -> None:
        return None

    def set_write_buffer_limits(self, high: int) -> None: ...


class VirtualDiscoveryRequest(DiscoveryRequest):
    def open(self, address: tuple[str, int], wait: float) -> None:
        self.node.loop.connect(self)


class OnVirtualTime:
    """A node whose clock is its loop's."""

    anchor = property(lambda self: 0.0, lambda self, value: None)  # its loop's clock is all there is
    loop: VirtualLoop

    def clock(self) -> float:
        return self.loop.now


class VirtualHollowBalancer(OnVirtualTime, HollowBalancer): ...


class VirtualLeanBalancer(OnVirtualTime, LeanBalancer):
    def watch(self, on: bool = True) -> None:
        if on:
            self.loop.connect(self)


class VirtualTier(Tier):
    """The tier, discovery and the network between them."""

    def __init__(self, plan: Plan, seed: int, guard: MemoryGuard, played: int = 0):
        """`played`: so many balancers of the tier alone are there, for a measurement of memory."""
        super().__init__(plan, seed, guard)
        self.event_queue = self.loop = VirtualLoop(self.connect)
        self.played = 0.0
        self.configuration = configuration_factory(plan, PLACE)
        self.discovery_stub = DiscoveryStub(plan, self.loop, lambda number: PLACE)
        self.shared: dict[int, Server] = {}
        self.watching: dict[LeanBalancer, None] = {}
        if plan.lean:
            self.keeper = VirtualHollowBalancer(
                self.configuration(0, 0, 0), self.loop, figures.Measurements(), self.send_datagram
            )
            self.keeper.alive = False  # it keeps the list, and does nothing of its own
            self.keeper.server_list.on_list(lines.parse_list(lines.parse_json(self.discovery_stub.whole())))
            self.shared = self.keeper.servers
        for number in range(played or plan.balancers):
            self.measurements.append(figures.Measurements())
            self.hollow.append(number)
            self.nodes[number] = self.make_balancer(number)
            if number % BUILT == 0:
                guard.check(f"with {number} balancers made")

    def make_balancer(self, number: int) -> HollowBalancer:
        config = self.configuration(number, self.zone(number), self.balancer_seeds.draw_seed())
        form = self.measurements[number]
        if self.plan.lean:
            node = VirtualLeanBalancer(config, self.loop, form, self.send_datagram, self.shared)
        else:
            node = VirtualHollowBalancer(config, self.loop, form, self.send_datagram)
        node.on_connection_moved = lambda: self.loop.call_soon(self.open_elsewhere, node)
        node.start()
        return node

    # The network.

    def delay(self, one: int, other: int, jitter: float = 0.0) -> float:
        latency = self.plan.latency
        way = (
            latency.zone
            if one == other
            else latency.region
            if self.region(one) == self.region(other)
            else latency.far
        )
        return way * (1 + latency.jitter * jitter)

    def send_datagram(self, sender: HollowBalancer, peer: int | None, data: bytes) -> None:
        """A datagram goes out; to all others if there is no peer."""
        if not sender.alive:
            return
        number, count = sender.number, len(self.measurements)
        receivers = (
            [other for other in range(count) if other != number]
            if peer is None
            else [peer]
            if 0 <= peer < count
            else []
        )
        sender.measurements.count_sent(data, len(receivers), peer is None)
        if peer is None:
            self.last_broadcaster = number
        here, draw = self.zone(number), self.network_draws.uniform
        for other in receivers:
            if not self.drops_datagram(number, other):
                wait = self.delay(here, self.zone(other), draw())
                self.loop.schedule_after(wait, RESULT, self.arrive, other, number, data)

    def arrive(self, receiver: int, sender: int, data: bytes) -> None:
        self.nodes[receiver].receive_datagram(sender, data)

    def connect(self, question: Any) -> None:
        """A call of discovery, which stands in zone 0."""
        node = getattr(question, "node", question)
        zone = self.zone(node.number)
        if isinstance(question, LeanBalancer):
            self.loop.schedule_after(2 * self.delay(zone, 0), LIST_UPDATE, self.lean_watch, question)
            return
        ours, theirs = Stream(self, question, zone), Stream(self, CountedWatch(self.discovery_stub), 0)
        ours.other, theirs.other = theirs, ours
        self.carry(theirs, self.comes_up, ours, theirs)

    def comes_up(self, ours: Stream, theirs: Stream) -> None:
        if ours.protocol.closed or not ours.protocol.node.alive:
            return
        theirs.protocol.connection_made(theirs)
        ours.protocol.connection_made(ours)

    def carry(self, stream: Stream, what: Callable, *values: Any) -> None:
        """To a stream's other end, in order; a cut holds it up, as what is sent again comes through then."""
        one, other = stream.zone, stream.other.zone
        when = self.now + self.delay(one, other)
        if self.partitioned(one, other):
            when += max(self.cut_until.get(self.region(zone), 0.0) for zone in (one, other)) - self.now
        self.loop.schedule_at(when, LIST_UPDATE, what, *values)

    def lean_watch(self, node: LeanBalancer) -> None:
        if node.alive and node is self.nodes[node.number]:
            self.watching[node] = None
            self.lean_told(node, self.discovery_stub.whole())
            self.discovery_stub.measurements.watches += 1

    def lean_told(self, node: LeanBalancer, line: bytes) -> None:
        count = len(line) + len(b"%x\r\n\r\n" % len(line))
        self.discovery_stub.measurements.bytes_out += count
        self.discovery_stub.measurements.lines += 1
        self.loop.schedule_after(
            self.delay(0, self.zone(node.number)), LIST_UPDATE, node.queue, node.takes, count
        )

    def tell_change(self, number: int, state: str) -> None:
        line = self.discovery_stub.change(number, state)
        if self.plan.lean:
            self.keeper.server_list.on_list(lines.parse_list(lines.parse_json(line)))
            for node in list(self.watching):
                if not node.alive:
                    del self.watching[node]
                elif not self.partitioned(0, self.zone(node.number)):
                    self.lean_told(node, line)

    # The run.

    def play(self, tell: Callable[[float], None] = lambda at: None) -> VirtualTier:
        """Raises ScenarioError when memory runs out."""
        plan = self.plan
        self.schedule_events()
        gc.disable()  # guards against time of the collector that grows with all balancers of the process
        try:
            with use_discovery_request(VirtualDiscoveryRequest):
                self.run_through(plan, tell)
        finally:
            gc.enable()
        self.faults += sum(node.counters["faults"] for node in self.nodes.values() if node.alive)
        return self

    def run_through(self, plan: Plan, tell: Callable[[float], None]) -> None:
        self.run_to(plan.warm_up, tell)
        self.reset_counts()
        self.run_to(plan.warm_up + plan.duration, tell)

    def run_to(self, end: float, tell: Callable[[float], None]) -> None:
        length = self.plan.warm_up + self.plan.duration
        while self.played < end:
            self.played = min(end, self.played + LOOK)
            self.loop.run(START + self.played)
            gc.collect(1)  # between turns, in no turn's time
            tell(self.played)
            self.guard.check(f"at {self.played:g} s of {length:g}")
