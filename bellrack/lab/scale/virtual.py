"""A scale run on virtual time: hollow balancers and the discovery stub on one event queue.

Provides the virtual event loop, the virtual streams and the virtual datagrams. The same plan and seed give
exactly the same counts. The only clock read here is processor time, which enters no count.
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

UNUSED_ADDRESS = "127.0.0.1:1"  # of discovery and of servers: no socket is ever connected to it
CHECK_INTERVAL_SECONDS = 0.5  # virtual time between two checks of memory
BALANCERS_PER_CHECK = 100  # balancers created between two checks of memory at the start


class Timer:
    """The handle of a scheduled call, as `asyncio.TimerHandle`."""

    __slots__ = ("callback", "args")

    def __init__(self, callback: Callable, args: tuple):
        self.callback, self.args = callback, args

    def cancel(self) -> None:
        self.callback = None

    def fire(self) -> None:
        if self.callback:
            self.callback(*self.args)


class VirtualLoop(EventQueue):
    """The part of an asyncio event loop that a node uses, on virtual time.

    `connect(requester)` opens a discovery request, or registers a lean balancer that watches the list.
    """

    def __init__(self, connect: Callable[[Any], None]):
        super().__init__()
        self.connect = connect

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable, *args: Any) -> Timer:
        timer = Timer(callback, args)
        self.schedule_at(when, TIMER, timer.fire)
        return timer

    def call_later(self, delay: float, callback: Callable, *args: Any) -> Timer:
        return self.call_at(self.now + delay, callback, *args)

    def call_soon(self, callback: Callable, *args: Any) -> None:
        self.schedule_at(self.now, TIMER, callback, *args)


class Stream:
    """One end of a virtual connection in `zone`, with the interface of an asyncio transport."""

    def __init__(self, tier: VirtualTier, protocol: Any, zone: int):
        self.tier, self.protocol, self.zone = tier, protocol, zone
        self.other_end: Stream | None = None
        self.closing = self.lost = self.paused = False
        self.unread = b""  # received, but not yet passed to the protocol

    def write(self, data: bytes) -> None:
        if not self.closing:
            self.tier.transmit(self, self.other_end.on_data, data)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.tier.transmit(self, self.other_end.on_eof)
            self.tier.loop.call_soon(self.on_lost, None)

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.tier.transmit(self, self.other_end.on_lost, ConnectionResetError())
        self.tier.loop.call_soon(self.on_lost, None)

    def on_lost(self, error: Exception | None) -> None:
        self.closing = True
        if not self.lost:
            self.lost = True
            self.protocol.connection_lost(error)

    def on_eof(self) -> None:
        if not self.lost and not self.protocol.eof_received():
            self.close()

    def on_data(self, data: bytes) -> None:
        if self.lost:
            return
        if hasattr(self.protocol, "data_received"):
            self.protocol.data_received(data)
        else:
            self.unread += data
            self.fill_buffers()

    def fill_buffers(self) -> None:
        """Copies unread data into the protocol's buffers until it pauses reading."""
        data, self.unread = memoryview(self.unread), b""
        while len(data) and not self.paused:
            buffer = self.protocol.get_buffer(-1)
            count = min(len(buffer), len(data))
            buffer[:count] = data[:count]
            data = data[count:]
            self.protocol.buffer_updated(count)
        self.unread = bytes(data)

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        self.tier.loop.call_soon(self.fill_buffers)

    def is_closing(self) -> bool:
        return self.closing

    def get_extra_info(self, name: str) -> None:
        return None

    def set_write_buffer_limits(self, high: int) -> None: ...


class VirtualDiscoveryRequest(DiscoveryRequest):
    """A discovery request over a virtual connection."""

    def open(self, address: tuple[str, int], wait: float) -> None:
        self.node.loop.connect(self)


class VirtualClock:
    """Mixin for a node: reads the time from its loop."""

    # Node sets this to the difference of wall clock and loop clock; here the loop's clock serves as both.
    anchor = property(lambda self: 0.0, lambda self, value: None)
    loop: VirtualLoop

    def clock(self) -> float:
        return self.loop.now


class VirtualHollowBalancer(VirtualClock, HollowBalancer): ...


class VirtualLeanBalancer(VirtualClock, LeanBalancer):
    """A lean balancer on virtual time."""

    def watch(self, on: bool = True) -> None:
        if on:
            self.loop.connect(self)


class VirtualTier(Tier):
    """The balancers of a plan, the discovery stub and the network between them, on virtual time."""

    def __init__(self, plan: Plan, seed: int, guard: MemoryGuard, balancer_count: int = 0):
        """Creates `balancer_count` of the plan's balancers, to measure their memory; 0: all of them.

        Raises ScenarioError when memory runs out.
        """
        super().__init__(plan, seed, guard)
        self.event_queue = self.loop = VirtualLoop(self.connect)
        self.elapsed = 0.0  # virtual seconds since the start of the run
        self.configuration = configuration_factory(plan, UNUSED_ADDRESS)
        self.discovery_stub = DiscoveryStub(plan, self.loop, lambda number: UNUSED_ADDRESS)
        self.shared_servers: dict[int, Server] = {}
        self.lean_watchers: dict[LeanBalancer, None] = {}
        if plan.lean:
            self.list_holder = VirtualHollowBalancer(
                self.configuration(0, 0, 0), self.loop, figures.Measurements(), self.send_datagram
            )
            self.list_holder.alive = False  # it parses the list for all lean balancers and does nothing else
            self.list_holder.server_list.on_list(
                lines.parse_list(lines.parse_json(self.discovery_stub.full_list()))
            )
            self.shared_servers = self.list_holder.servers
        for number in range(balancer_count or plan.balancers):
            self.measurements.append(figures.Measurements())
            self.hollow.append(number)
            self.nodes[number] = self.make_balancer(number)
            if number % BALANCERS_PER_CHECK == 0:
                guard.check(f"with {number} balancers created")

    def make_balancer(self, number: int) -> HollowBalancer:
        config = self.configuration(number, self.zone(number), self.balancer_seeds.draw_seed())
        measurements = self.measurements[number]
        if self.plan.lean:
            node = VirtualLeanBalancer(
                config, self.loop, measurements, self.send_datagram, self.shared_servers
            )
        else:
            node = VirtualHollowBalancer(config, self.loop, measurements, self.send_datagram)
        node.on_connection_moved = lambda: self.loop.call_soon(self.open_elsewhere, node)
        node.start()
        return node

    # The network.

    def delay(self, from_zone: int, to_zone: int, jitter: float = 0.0) -> float:
        """One-way delay in seconds; `jitter` from 0 to 1 is the part of the plan's jitter that is added."""
        latency = self.plan.latency
        base = (
            latency.zone
            if from_zone == to_zone
            else latency.region
            if self.region(from_zone) == self.region(to_zone)
            else latency.far
        )
        return base * (1 + latency.jitter * jitter)

    def send_datagram(self, sender: HollowBalancer, peer: int | None, data: bytes) -> None:
        """Sends a datagram to the balancer `peer`, or to all others if it is None."""
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
        zone, draw = self.zone(number), self.network_draws.uniform
        for receiver in receivers:
            if not self.drops_datagram(number, receiver):
                delay = self.delay(zone, self.zone(receiver), draw())
                self.loop.schedule_after(delay, RESULT, self.deliver_datagram, receiver, number, data)

    def deliver_datagram(self, receiver: int, sender: int, data: bytes) -> None:
        """Passes a datagram to its receiver, both given by number."""
        self.nodes[receiver].receive_datagram(sender, data)

    def connect(self, requester: Any) -> None:
        """Connects a discovery request, or a lean balancer's watch, to the discovery stub in zone 0."""
        node = getattr(requester, "node", requester)
        zone = self.zone(node.number)
        if isinstance(requester, LeanBalancer):
            self.loop.schedule_after(2 * self.delay(zone, 0), LIST_UPDATE, self.start_lean_watch, requester)
            return
        client, server = (
            Stream(self, requester, zone),
            Stream(self, CountedWatch(self.discovery_stub), 0),
        )
        client.other_end, server.other_end = server, client
        self.transmit(server, self.establish, client, server)

    def establish(self, client: Stream, server: Stream) -> None:
        """Completes the set-up of a connection, unless its request or its balancer has ended."""
        if client.protocol.closed or not client.protocol.node.alive:
            return
        server.protocol.connection_made(server)
        client.protocol.connection_made(client)

    def transmit(self, stream: Stream, callback: Callable, *args: Any) -> None:
        """Calls `callback` once data sent on the stream has reached its other end, in the order of sending.

        Between partitioned zones this waits for the end of the partition: TCP retransmits what was lost.
        """
        from_zone, to_zone = stream.zone, stream.other_end.zone
        when = self.now + self.delay(from_zone, to_zone)
        if self.partitioned(from_zone, to_zone):
            when += (
                max(self.cut_until.get(self.region(zone), 0.0) for zone in (from_zone, to_zone)) - self.now
            )
        self.loop.schedule_at(when, LIST_UPDATE, callback, *args)

    def start_lean_watch(self, node: LeanBalancer) -> None:
        """Begins a lean balancer's watch with the whole list, unless the balancer has ended."""
        if node.alive and node is self.nodes[node.number]:
            self.lean_watchers[node] = None
            self.send_lean_update(node, self.discovery_stub.full_list())
            self.discovery_stub.measurements.watches += 1

    def send_lean_update(self, node: LeanBalancer, line: bytes) -> None:
        """Counts the bytes of a line with its HTTP chunk framing; the balancer gets only that number."""
        byte_count = len(line) + len(b"%x\r\n\r\n" % len(line))
        self.discovery_stub.measurements.bytes_out += byte_count
        self.discovery_stub.measurements.lines += 1
        self.loop.schedule_after(
            self.delay(0, self.zone(node.number)), LIST_UPDATE, node.queue, node.receive_list, byte_count
        )

    def change_server(self, number: int, state: str) -> None:
        line = self.discovery_stub.change_server(number, state)
        if self.plan.lean:
            self.list_holder.server_list.on_list(lines.parse_list(lines.parse_json(line)))
            for node in list(self.lean_watchers):
                if not node.alive:
                    del self.lean_watchers[node]
                elif not self.partitioned(0, self.zone(node.number)):
                    self.send_lean_update(node, line)

    # The run.

    def play(self, on_progress: Callable[[float], None] = lambda elapsed: None) -> VirtualTier:
        """Runs the whole plan. `on_progress` gets the elapsed virtual seconds after each step.

        Raises ScenarioError when memory runs out.
        """
        plan = self.plan
        self.schedule_events()
        # The time of a collection grows with the number of balancers, but would count in the turn of one.
        gc.disable()
        try:
            with use_discovery_request(VirtualDiscoveryRequest):
                self.run_phases(plan, on_progress)
        finally:
            gc.enable()
        self.faults += sum(node.counters["faults"] for node in self.nodes.values() if node.alive)
        return self

    def run_phases(self, plan: Plan, on_progress: Callable[[float], None]) -> None:
        """The warm-up, then the period in which counts are taken."""
        self.run_to(plan.warm_up, on_progress)
        self.reset_counts()
        self.run_to(plan.warm_up + plan.duration, on_progress)

    def run_to(self, end: float, on_progress: Callable[[float], None]) -> None:
        """Runs until `end` virtual seconds have elapsed."""
        length = self.plan.warm_up + self.plan.duration
        while self.elapsed < end:
            self.elapsed = min(end, self.elapsed + CHECK_INTERVAL_SECONDS)
            self.loop.run(START + self.elapsed)
            gc.collect(1)  # between turns, so that it counts in no turn's time
            on_progress(self.elapsed)
            self.guard.check(f"at {self.elapsed:g} s of {length:g}")
