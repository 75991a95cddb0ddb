"""Many balancers and their discovery in virtual time, with the real discovery client and decisions."""

import asyncio
import heapq
import itertools
from types import SimpleNamespace

from helpers import settings

from bellrack import discovery_retry, model
from bellrack.accounting import Accounting
from bellrack.model import Call, Result
from bellrack.net import node as host
from bellrack.net.discovery import Discovery
from bellrack.net.log import Counters
from bellrack.net.readiness import Readiness
from bellrack.net.server_list import ServerList
from bellrack.rng import Rng

LISTS_PER_SECOND = 10  # written by the service
QUEUE_TIMEOUT_SECONDS = 2.0  # after which the service answers a queued request with 503
BOUND_SECONDS = discovery_retry.TOLD_AFTER_SECONDS + 1.0  # with the drain grace period
DRAINING_SERVER = 3  # id hash
SERVER_COUNT = 8


class FakeRequest:
    """A request to a simulated discovery, with the part of DiscoveryRequest that Discovery uses."""

    def __init__(self, node, address, watch):
        self.node, self.watch, self.started_at, self.last_received = node, watch, node.now, node.now
        self.reached = self.received_line = self.closed = False
        self.accepted_at = node.now
        self.awaits_response = True
        node.service.on_request(self)

    @property
    def service_up(self):
        return self.reached and (
            self.received_line or self.node.now - self.accepted_at > discovery_retry.PROMPT_FAILURE_SECONDS
        )

    def fail(self, reason):
        if not self.closed:
            self.closed = True
            self.node.discovery.on_request_failed(self)

    def stop(self, reason):
        self.closed = True


class FakeService:
    """Discovery as PROTOCOL.md describes it: requests are answered in turn; one that waits too long gets 503.
    Requests that the balancer has abandoned are processed as well, since the service may not notice."""

    def __init__(self, tier):
        self.tier, self.queue, self.watches, self.request_count, self.working = tier, [], [], 0, False
        # up, refused, lost, 503, busy (503 after a wait), silent, or silent for watches while requests are
        # lost (cut) or get a response head and no line (head)
        self.mode, self.max_open = "", 0
        self.silenced = []  # watches that stay open and get no more data
        self.drained, self.open = False, {}

    def on_request(self, request):
        self.request_count += 1
        still_open = [earlier for earlier in self.open.get(request.node, ()) if not earlier.closed] + [
            request
        ]
        self.open[request.node] = still_open
        self.max_open = max(self.max_open, len(still_open))
        wait = discovery_retry.CONNECT_TIMEOUT_SECONDS if self.mode in ("lost", "cut") else 0.001
        self.tier.after(request.node, wait, self.connected, request, self.mode)

    def connected(self, request, mode):
        if request.closed or not mode:
            return
        if mode in ("refused", "lost", "cut"):
            request.fail(mode)
            return
        request.reached, request.accepted_at = True, request.node.now
        if mode == "503":
            request.fail("status-503")
        elif mode == "head":
            request.awaits_response, request.last_received = False, request.node.now
        elif mode == "busy":
            self.tier.after(request.node, QUEUE_TIMEOUT_SECONDS, request.fail, "status-503")
        elif mode == "up":
            self.queue.append(request)
            self.tier.after(request.node, QUEUE_TIMEOUT_SECONDS, self.time_out, request)
            if not self.working:
                self.process_queue()

    def time_out(self, request):
        if request in self.queue:
            self.queue.remove(request)
            request.fail("status-503")

    def process_queue(self):
        self.working = bool(self.queue)
        if self.working:
            request = self.queue.pop(0)
            if self.mode == "up":
                self.tier.after(request.node, 1 / LISTS_PER_SECOND, self.answer, request)
            self.tier.after(None, 1 / LISTS_PER_SECOND, self.process_queue)

    def answer(self, request):
        if not request.closed and self.mode == "up":
            request.awaits_response, request.received_line, request.last_received = (
                False,
                True,
                request.node.now,
            )
            request.node.discovery.on_line(request, has_listing=True)
            request.node.apply_list(self.drained)
            request.node.discovery.on_confirmed(request.node.now)
            self.watches.append(request)
            self.tier.after(request.node, 2.0, self.send_empty_line, request)

    def send_empty_line(self, request):
        if not request.closed and request in self.watches:
            request.last_received = request.node.now
            request.node.discovery.on_confirmed(request.node.now)
            self.tier.after(request.node, 2.0, self.send_empty_line, request)

    def set_mode(self, mode):
        """Changes the mode. Watches and queued requests are reset, also those that fell silent before. In the
        modes `silent`, `cut` and `head` they stay open and get no more data; in `up` they stay as is."""
        self.mode, self.queue, waiting = mode, [], self.queue
        watches, self.watches, self.silenced = self.silenced + self.watches, [], []
        if mode in ("silent", "cut", "head", "up"):
            self.silenced = watches
            return
        for request in watches + waiting:
            self.tier.after(request.node, 0.0, request.fail, "list-rst")


class FakeNode(Accounting):
    """A node with the real Discovery and decisions, in virtual time."""

    started_at = 100.0

    def __init__(self, tier, number, rules):
        self.tier, self.service, self.counters = tier, tier.service, Counters()
        self.readiness, self.readiness_changed = (
            Readiness(tier.now, host.KNOWN_LIST_WAIT, True),
            asyncio.Event(),
        )
        super().__init__(settings(**rules), 7 + 104729 * number, tier.now)
        self.has_change, self.traffic_rng = False, Rng(number)
        self.sent, self.rejected_at, self.doubtful = [], [], []  # sent: times and id hashes
        self.discovery = Discovery(self, ("", 0), FakeRequest)
        self.server_list = ServerList(self)
        self.hot_restart = SimpleNamespace(sibling=None)
        self.apply_list(False)
        tier.after(self, 0.25 * self.traffic_rng.uniform(), self.discovery.check_watch)

    def apply_list(self, drained):
        self.has_change = drained
        self.apply_entries(
            [
                (
                    id_hash,
                    model.DRAINING if drained and id_hash == DRAINING_SERVER else model.READY,
                    0,
                    0,
                    1.0,
                    0.0,
                    0,
                )
                for id_hash in range(SERVER_COUNT)
            ],
            True,
        )

    def after(self, wait, callback, *values):
        self.tier.after(self, wait, callback, *values)

    def set_timer(self, when, callback):
        self.tier.after(self, when - self.now, self.on_timer, callback)

    def on_timer(self, callback):
        self.balancer.on_timer(callback)

    def watch(self, on=True):
        self.discovery.watch(on)

    def send_call(self):
        """Makes a client's call, and schedules the next one."""
        self.after(self.tier.call_interval * (0.8 + 0.4 * self.traffic_rng.uniform()), self.send_call)
        self.balancer.on_call(Call(self.settings.types[0], self.now + 3.0, self.now))

    def send(self, call, server, until):
        leg, server.last_attempted, server.needs_attempt = self.begin_leg(call, server), self.now, False
        self.sent.append((self.now, server.id_hash))
        self.after(0.005, self.finish_setup, leg)
        return leg

    def finish_setup(self, leg):
        if leg.server.id_hash == DRAINING_SERVER and self.now > self.tier.drained_at:
            # A draining server refuses new connections.
            self.leg_ended(leg, Result(model.FULL), leg.call.done)
        else:
            leg.server.last_accepted = max(leg.server.last_accepted, leg.sent)
            self.leg_established(leg)
            self.after(0.3, self.leg_ended, leg, Result(model.COMPLETED), True)

    def reject(self, call, wait=0.0):
        call.done = True
        self.rejected_at.append(self.now)

    release = reject

    def move(self, call): ...
    def probe(self, server): ...
    def send_datagram(self, peer, data): ...
    def log(self, text): ...


class Tier:
    """Balancers with open watches, and their discovery, which learns of a drain at once. `clients`: how many
    of the balancers get calls, each every `call_interval` seconds on average. `shared`: the balancers know
    of one another, so each uses its part of what the servers bear. `rules`: other settings."""

    def __init__(self, peers, clients=0, call_interval=0.5, shared=True, **rules):
        self.call_interval = call_interval
        rules["peers"] = peers if shared else 1
        self.now, self.order, self.agenda, self.drained_at = 100.0, itertools.count(), [], float("inf")
        self.service = FakeService(self)
        self.nodes = [FakeNode(self, number, rules) for number in range(peers)]
        for node in self.nodes:
            node.discovery.watch()
            request = node.discovery.current
            request.reached = True
            self.service.mode = "up"
            self.service.answer(request)
            self.service.mode = ""
            if node in self.nodes[:clients]:
                self.after(node, node.traffic_rng.uniform(), node.send_call)
        self.service.request_count, self.service.mode = 0, "up"

    def after(self, node, wait, callback, *values):
        heapq.heappush(self.agenda, (self.now + wait, next(self.order), node, callback, values))

    def run(self, seconds, on_event=None):
        end = self.now + seconds
        while self.agenda[0][0] <= end:
            self.now, _, node, callback, values = heapq.heappop(self.agenda)
            if node:
                node.now = self.now
            callback(*values)
            if on_event:
                on_event()
        self.now = end

    def drain(self):
        self.drained_at = self.now
        self.service.drained = True

    @property
    def may_use_draining(self):
        """Balancers that may still send new calls to the draining server."""
        return [node for node in self.nodes if node.servers[DRAINING_SERVER].usable]

    @property
    def without_change(self):
        return [node for node in self.nodes if not node.has_change]

    def sends_after(self, when):
        """Times after `when` at which balancers sent something new to the draining server."""
        return [
            at for node in self.nodes for at, id_hash in node.sent if id_hash == DRAINING_SERVER and at > when
        ]
