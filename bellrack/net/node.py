"""One real balancer: the loop of batches, the Door and timers.

Owns the clock, the queue of what has happened and of what is to be done, and the books. Each turn fixes
`now`, hands the module what is queued, list changes first, and then carries out what came back; what does not
fit its time slice waits for the next. It never chooses a server, never lets one faulty connection end the
program, and begins no attempt for a client that the kernel knows to be gone.
"""
from __future__ import annotations

import asyncio
import contextlib
import math
import os
import signal
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from bellrack import model
from bellrack.books import Books
from bellrack.model import Call, Leg, Result, Server
from bellrack.net import figures, handover, limits, lines, log, passing, resumption
from bellrack.net.clients import Client
from bellrack.net.config import Config, reread
from bellrack.net.control import Caller
from bellrack.net.discovery import Discovery
from bellrack.net.doors import Doors
from bellrack.net.leaving import Leaving
from bellrack.net.readiness import Readiness
from bellrack.net.resumed import ResumedConnections
from bellrack.net.servers import Place, Probe, ServerLink
from bellrack.settings import SettingsError

FORGET = 60.0  # seconds after which a server that is gone and holds nothing of ours is forgotten
LOOK = 1.0  # seconds between notices of late messages, as the module expects them
TOLD_FOR = 1.5  # seconds for which a server's own word on its messages stands before what we timed
NOTICE = 1 / 3  # of the shortest message aim: lines slower than this are told of
DATAGRAM = 256  # bytes
LISTED = 2.0  # seconds after the start for which we wait for a word of discovery if we know a list
TIME_SLICE = 0.02  # seconds after which a turn stops: the sockets are polled well within 0.1


class Node(Books):
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop):
        self.config, self.names, self.loop = config, config.names, loop
        # Anchored once: starts of servers are in Unix time, and a step of that clock must not move timers.
        self.anchor = time.time() - time.monotonic()
        self.events: deque[tuple[Callable, tuple]] = deque()
        self.news: deque[tuple[Callable, tuple]] = deque()
        self.acts: deque[tuple[Callable, tuple]] = deque()
        self.turning, self.longest_turn = False, 0.0  # seconds
        self.counters = log.Counters()
        self.clients: dict[Client, None] = {}
        self.callers: dict[Caller, None] = {}  # operators whose call is not whole, oldest first
        self.version = 0
        self.machines: dict[str, int] = {}  # kinds by name, as the list brings them
        self.out: dict[int, str] = {}  # servers taken out by hand: those once listed, by mark
        self.peers: Peers | None = None
        self.limits = limits.Limits(config.sockets)
        self.begun = self.clock()
        self.resumed = ResumedConnections(self, self.begun, limits.FIRST_LINE)
        self.limits.expects_resumed = self.resumed.expects_more
        self.takes_requests = True  # but where it listens before it is ready
        # Where lists are pushed, what the discovery has counts as told from our first moment on.
        self.readiness, self.changed = Readiness(self.begun, LISTED, config.settings.asks), asyncio.Event()
        self.leaving: Leaving | None = None
        self.over = asyncio.Event()
        self.discovery = Discovery(self, config.discovery)
        self.doors = Doors(self)
        self.other: handover.Other | None = None  # our other process, before or after us
        self.giver: passing.Giver | None = None  # the way over to it, once it has our door
        self.taker: passing.Taker | None = None  # and the way over to us
        super().__init__(config.settings, config.seed, self.clock())

    def clock(self) -> float:
        return time.monotonic() + self.anchor

    # The loop of batches.

    def queue(self, what: Callable, *values: Any, first: bool = False) -> None:
        """For the next turn; this is all that callbacks do."""
        (self.news if first else self.events).append((what, values))
        if not self.turning:
            self.turning = True
            self.loop.call_soon(self.turn)

    def turn(self) -> None:
        self.now = self.clock()
        self.work_off(self.news, len(self.news))
        # Left by the turn before: in order, so nothing is decided between what came first and what is done.
        self.work_off(self.acts)
        if not self.acts:
            self.work_off(self.events, len(self.events))  # what comes meanwhile waits for the next
            self.work_off(self.acts)
        self.longest_turn = max(self.longest_turn, self.clock() - self.now)
        self.turning = bool(self.news or self.events or self.acts)
        if self.turning:
            self.loop.call_soon(self.turn)

    def work_off(self, queue: deque[tuple[Callable, tuple]], most: float = math.inf) -> None:
        """One of them at least, and more until the time slice is over."""
        while queue and most > 0:
            self.guarded(*queue.popleft())
            most -= 1
            if self.clock() - self.now >= TIME_SLICE:
                break

    def guarded(self, what: Callable, values: tuple) -> None:
        """Guards against a fault with one connection that would end the program, and all others with it."""
        try:
            what(*values)
        except Exception:
            self.counters["faults"] += 1
            log.fault("fault", doing=getattr(what, "__qualname__", what))

    def at(self, when: float, what: Callable, *values: Any) -> asyncio.TimerHandle:
        return self.loop.call_at(when - self.anchor, self.queue, what, *values)

    def after(self, wait: float, what: Callable, *values: Any) -> asyncio.TimerHandle:
        return self.loop.call_later(wait, self.queue, what, *values)

    def log_end(self, link: Any, reason: str, figures: dict) -> None:
        self.counters[f"ended_{link.side}"] += 1
        log.tell("ended", side=link.side, reason=reason, **figures)

    # What the balancer may do: each is carried out when the module has had the whole batch.

    def send(self, call: Call, server: Server, until: float) -> Leg:
        leg, server.tried, server.unproved = self.begin(call, server), self.now, False
        self.acts.append((self.connect, (leg, until)))
        return leg

    def cancel(self, leg: Leg) -> None:
        self.acts.append((self.cancelled, (leg,)))

    def reject(self, call: Call, wait: float = 0.0) -> None:
        self.answer(call, lines.busy(min(wait, self.settings.max_open_wait)), "rejected")

    def release(self, call: Call) -> None:
        self.answer(call, b"ERR\r\n", "released")

    def move(self, call: Call) -> None:
        if self.resumed.holds_back_move(call.legs[-1]):
            self.acts.append((self.may_move_later, (call.legs[-1],)))
        else:
            self.acts.append((call.host.move, ("moved",)))

    def watch(self, on: bool = True) -> None:
        self.acts.append((self.discovery.watch, (on,)))

    def fetch(self) -> None:
        self.acts.append((self.discovery.fetch, ()))

    def probe(self, server: Server) -> None:
        self.acts.append((self.probing, (server,)))

    def tell(self, peer: int | None, data: bytes) -> None:
        if self.peers and len(data) <= DATAGRAM:
            self.acts.append((self.peers.tell, (peer, data)))

    def wake(self, when: float, what: Any) -> None:
        self.at(when, self.woke, what)

    def log(self, text: str) -> None:
        log.tell("mode", text=text)

    def woke(self, what: Any) -> None:
        self.balancer.woke(what)

    def answer(self, call: Call, line: bytes, how: str) -> None:
        call.done = True
        self.counters[how] += 1
        call.host.counted_as("rejected" if how == "rejected" else "failed")
        self.acts.append((call.host.answer, (line, how)))

    def connect(self, leg: Leg, until: float) -> None:
        client: Client = leg.call.host
        if not leg.call.done and client.remote_closed():
            client.forgotten(model.CANCELLED)  # its end comes with the next poll of the sockets
        if leg.call.done:
            self.ended(leg, Result(model.MOOT), True)
        elif self.limits.full(2):  # never sent: that proves it has not run
            self.ended(leg, Result(model.MOOT), False)
        else:
            self.counters["legs"] += 1
            ServerLink(self, leg, client, until)

    def probing(self, server: Server) -> None:
        if server.host and self.limits.probe():
            self.counters["probes"] += 1
            Probe(self, server)
        else:
            self.counters["probes_held_back"] += 1

    def cancelled(self, leg: Leg) -> None:
        if leg.host and not leg.standing:
            leg.host.end(model.CANCELLED, "cancelled")

    # What happens to it.

    def arrive(self, client: Client) -> None:
        """A first line that is well formed."""
        wish = client.wish
        values, wait = wish.values, wish.number("d")
        kind = self.names.types.get(values.get("c", ""))
        if kind is None:
            raise lines.LineError("unknown-type")
        wait = self.names.guards[kind] if wait is None else wait / 1000
        resumes = "at" in values
        if not resumes and wait > limits.LONGEST_WAIT:  # resumed ones say that they wait for an hour
            raise lines.LineError("bad-d")
        if self.limits.known(wish.id):
            raise lines.LineError("id-known")
        if resumes and not self.resumed.window.admits(self.now):
            raise lines.LineError("late-at")
        tenant = self.names.tenants.get(values.get("t", ""), 0)
        if "t" in values and self.names.tenants and values["t"] not in self.names.tenants:
            raise lines.LineError("unknown-tenant")
        call = self.book(kind, wait, key=wish.key, group=wish.number("g", 16) or 0, tenant=tenant,
                         repeat=values.get("r") == "1", returned=values.get("again") == "1")
        self.counters["calls"] += 1
        call.host, client.call = client, call
        self.limits.ids[wish.id] = client
        self.limits.no_longer(client)
        client.lasts(None)
        if resumes:
            self.resumed.admit(client, wait if "d" in values else None)
            return
        self.resumed.window.on_request()
        if not self.takes_requests or self.leaving and not self.followed:
            # Nothing was sent, so trying again is harmless; the front deals it to another balancer.
            self.reject(call)
        else:
            self.balancer.arrived(call)

    def stands(self, leg: Leg, resumes: bool) -> None:
        self.counters["stood"] += 1
        if resumes:
            self.resumed.on_established(leg.call.host)
            leg.call.legs.append(leg)
            self.resume(leg)
        else:
            leg.call.host.counted_as("completed")
            leg.server.proved = max(leg.server.proved, leg.sent)
            self.stand(leg)
        if self.leaving and not self.giver:
            self.move(leg.call)

    def leg_over(self, link: ServerLink, kind: str) -> None:
        leg = link.leg
        self.counters[f"leg_{kind.replace(' ', '_')}"] += 1
        if link.resumes and not leg.standing:
            self.resumed.on_attempt_ended(link, kind)
            return
        self.ended(leg, Result(kind, self.now - leg.sent), leg.standing or kind == model.COMPLETED)
        if kind == model.COMPLETED:
            link.client.finish("completed")

    def told(self, leg: Leg, figure: str) -> None:
        """A LOAD line: where delays are told and no loads, the milliseconds a message takes; else a load.

        Measured: the latter come once a second on one connection a server while over a third of the shortest
        aim and once when back under, while lines are answered within 3 ms all the time."""
        value = lines.figure(figure)
        if value is None:
            return  # it says nothing of the server
        place: Place = leg.server.host
        if self.names.tells_delay and not self.names.tells_load:
            place.told = self.now
            self.counters["late_notices"] += 1
            self.balancer.delayed(leg, value / 1000)
        else:
            leg.load = value
            self.balancer.loaded(leg, value)

    def learn(self, news: lines.Listing, fetched: bool = False, counts: bool = True) -> None:
        """The list or its changes, as discovery wrote it; `counts` if in the versions of its address now."""
        if fetched and news.version < self.version:
            return  # a watch has told newer since it was asked for
        if counts:
            self.version = news.version
        self.take(news)
        self.readiness.on_list(news.whole or bool(self.servers))
        self.changed.set()

    def recall(self, news: lines.Listing) -> None:
        """A list from before our start. It may be old."""
        self.take(news)
        self.readiness.on_known(any(server.state == model.READY for server in self.servers.values()))

    def take(self, news: lines.Listing) -> None:
        self.counters["list_lines"] += 1
        rows = []
        for entry in news.entries:
            state, cell, weight, since = entry.row
            self.counters["bad_weights"] += weight is None
            mark = lines.mark(entry.name)
            if entry.address is None and mark not in self.servers:
                continue
            server = self.servers.setdefault(mark, Server(mark))
            server.host = server.host or Place(entry.name, entry.address)
            server.host.address = entry.address or server.host.address
            zone = server.zone
            if entry.zone:
                zone = self.names.zones.setdefault(entry.zone, len(self.names.zones))
            kind = self.machines.setdefault(entry.machine, len(self.machines))
            rows.append((mark, state, cell, zone, weight or server.weight, min(since, self.now), kind))
        self.entries(rows, news.whole)
        for server in map(self.servers.get, self.out):
            if server and not server.out:  # forgotten meanwhile, or told by our other process: it stays out
                self.balancer.withheld(server, True)

    def confirmed(self) -> None:
        """A watch stands and brings nothing new: what was listed holds."""
        self.readiness.on_list(bool(self.servers))
        self.changed.set()
        self.balancer.listed([])

    def unlisted(self, reached: bool) -> None:
        self.counters["list_failures"] += 1
        self.readiness.on_list_failure()
        self.changed.set()
        self.balancer.unlisted(reached)

    def doubt(self, window: float) -> None:
        """The list may lack what counts as told: new connections go only to servers that took one within the
        window (seconds). Infinite: the list is good again."""
        changed, since = [], max(self.now - window, self.discovery.age.proofs_from)
        for server in self.servers.values():
            doubtful = server.proved < since
            if server.doubtful != doubtful:
                server.doubtful = doubtful
                changed.append(server)
        if changed:
            self.balancer.refresh()

    def prove(self, since: float) -> None:
        """Servers that took no connection for so long (seconds), nor were tried, get the next call without a
        group: guards against a list that becomes doubtful, and then only servers that took one lately, fewer
        and fewer, may be used. Infinite: the list is young. Groups stay where they are: each server more that
        has one pays its price."""
        for server in self.servers.values():
            server.unproved = self.now - max(server.proved, server.tried) > since

    def look(self) -> None:
        """Once a second: tell of servers whose messages are late, and end what has gone silent."""
        self.after(LOOK, self.look)
        if judged := self.balancer.overload.judged:
            if not self.counters["late_seen"]:
                log.tell("late-seen", notices=self.counters["late_notices"], promised=self.names.tells_delay)
            self.counters["late_seen"] = judged
        for server in list(self.servers.values()):
            place = server.host
            if server.state != model.GONE or server.stand.open:
                place.used = self.now
            elif self.now - place.used > FORGET:
                self.forget(server)  # guards against records that grow with each machine that is replaced
            if not place.legs:
                place.took.clear()
                continue
            delay = place.look(self.now)
            late = delay > NOTICE * self.settings.quickest
            if self.names.tells_delay and (late or place.late) and self.now - place.told > TOLD_FOR:
                self.balancer.delayed(next(iter(place.legs)).leg, delay)
            place.late = late
            for link in [link for link in place.legs if link.silent()]:
                link.client.move("server-silent", model.RESET)

    # Its beginning and its end.

    async def serve(self) -> None:
        if self.config.spoilt:
            log.tell("known", taken="nothing", error=self.config.spoilt)
        if self.config.known:
            self.recall(self.config.known)
            if self.servers:  # guards against a list that was lost and, by its version, is never told again
                self.version = self.config.known.version
        if not self.settings.asks:
            self.watch()
        self.queue(self.look)
        self.queue(self.discovery.look)
        await self.open_peers()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.queue, self.leave)
        self.loop.add_signal_handler(signal.SIGHUP, self.queue, self.reload)
        self.loop.add_signal_handler(signal.SIGUSR1, self.queue, self.show)
        await self.doors.open_desk()
        former = await asyncio.to_thread(handover.meet, self.doors.path) if self.doors.path else None
        if former:
            await self.follow(former)
        await self.hear(alone=former is None)
        if not self.leaving:  # guards against a door that is opened only to be closed on who comes
            if not self.doors.listener:
                await self.doors.open(former.door if former else None)
            self.takes_requests = True
            self.tell_beside(took=True)
            self.address = self.doors.socket.getsockname()
            log.tell("serving", name=self.config.name, listen=lines.written(self.address),
                     servers=len(self.servers), weights="live" if self.settings.live else "nominal",
                     report=",".join(self.settings.report) or "none", after=former is not None)
        await self.over.wait()
        self.doors.close()
        for way in (self.other, self.taker):
            if way:
                way.close()
        self.show()

    async def follow(self, former: handover.Former) -> None:
        """Start beside the process that serves; its door is ours once we know the servers."""
        told = former.told
        try:
            self.out = {lines.mark(name): name for name in told.get("out", ())}
            self.limits.seen = dict.fromkeys(told.get("seen", ()))
            self.recall(lines.listing(told.get("list")))
            self.taught(told.get("learned", {}))
            # A hot restart does not extend the time in which resumed connections are admitted.
            self.resumed.window.started = min(self.begun, float(told.get("started", self.begun)))
        except (ValueError, TypeError, AttributeError) as error:
            # Guards against what another version tells in a form of its own.
            log.tell("handover", taken="in part", error=repr(error))
        self.readiness.at_once = False  # there is no haste: the other serves
        self.join(former.sock, early=former.rest)
        self.taker = former.way and passing.Taker(self, former.way)
        await self.joining

    async def hear(self, alone: bool) -> None:
        """Until there is a list that may be used, however late it comes, or we are asked to end. `alone`: no
        other process listens for us, so we do, for resumed connections, once their clients may come."""
        if not self.readiness.known:
            log.tell("no-list", waits=lines.written(self.discovery.address))
        listen_at = self.begun + resumption.LISTEN_AFTER if alone else math.inf
        while not self.leaving and not self.readiness.may_open(now := self.clock()):
            if now >= listen_at and not self.doors.listener:
                self.takes_requests = False
                await self.doors.open(None)
                log.tell("listening", ready=False)
            self.changed.clear()
            times = [self.readiness.look_again() or math.inf, math.inf if self.doors.listener else listen_at]
            wait = max(0.0, min(times) - now)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait if wait < math.inf else None)

    def withhold(self, name: str, out: bool) -> bool:
        """Take a server out by hand, or put it back; no if none of that name is or was listed."""
        mark = lines.mark(name)
        server = self.servers.get(mark)
        if mark not in self.out and (server is None or server.state == model.GONE or server.host is None):
            return False
        if out:
            self.out[mark] = name
        else:
            self.out.pop(mark, None)
        if server:
            self.balancer.withheld(server, out)
        return True

    def show(self) -> None:
        """What operators are told at their door, as one line."""
        log.tell("counters", **figures.told(self), longest_turn_us=int(1e6 * self.longest_turn))

    # The other process of this balancer, while there is one.

    @property
    def followed(self) -> bool:
        """A process came after us and has our door."""
        return self.giver is not None

    def join(self, sock: socket.socket, giver: passing.Giver | None = None, early: bytes = b"") -> None:
        self.other = handover.Other(self, giver, early)
        self.joining = self.loop.create_task(
            self.loop.create_unix_connection(lambda: self.other, sock=sock))

    def tells(self) -> dict[str, Any]:
        """What the process that comes after us is given with the door."""
        zones = {index: name for name, index in self.names.zones.items()}
        kinds = {index: name for name, index in self.machines.items()}
        listed = lines.told(
            (server.host.name, server.host.address, zones.get(server.zone, ""), server.state, server.cell,
             server.weight, server.since, kinds.get(server.kind, ""))
            for server in self.servers.values() if server.host and server.state != model.GONE)
        return {"version": handover.VERSION, "list": listed, "learned": self.learned(),
                "out": list(self.out.values()), "seen": [*self.limits.seen, *self.limits.ids],
                "started": self.resumed.window.started}

    def tell_beside(self, **words: Any) -> None:
        if self.other:
            self.other.say(**words)

    def told_beside(self, said: dict[str, Any]) -> None:
        if "held" in said:
            # What is on its way counts too: guards against hundreds that neither holds for an instant.
            on_the_way = int(said.get("passed", 0)) - self.taker.passed if self.taker else 0
            self.limits.beside = int(said["held"]) + max(0, on_the_way)
            self.limits.room(self.now)
        if "out" in said or "back" in said:
            self.withhold(said.get("out") or said["back"], "out" in said)
        if "took" in said and self.other and self.other.giver:
            self.giver = self.other.giver
            self.doors.shut()
            log.tell("followed")

    def alone(self, other: handover.Other) -> None:
        """The other process is gone."""
        if other is not self.other:
            return
        other.close()
        followed, self.other, self.giver, self.limits.beside = self.followed, None, None, 0
        if followed and not self.leaving and not self.over.is_set():
            self.reopening = self.loop.create_task(self.doors.reopen())

    def can_serve(self) -> bool:
        """It takes calls and has a list, by discovery or, if that is late, from before."""
        listening = self.takes_requests and self.doors.listener is not None
        return listening and self.readiness.listed(self.clock()) and not self.leaving

    async def open_peers(self) -> None:
        if self.config.peer_listen:
            _, self.peers = await self.loop.create_datagram_endpoint(
                lambda: Peers(self), local_addr=self.config.peer_listen,
                reuse_port=self.doors.shared or None)
            self.limits.counted(1)

    def reload(self) -> None:
        """Asked to read the configuration again: all of it is parsed before anything changes."""
        try:
            config = reread(self.config)
        except SettingsError as error:
            # Guards against a file that is bad or half written: what was told before holds.
            log.tell("reload", taken="nothing", error=error)
            self.counters["config_reload_errors"] += 1
            return
        self.counters["config_reloads"] += 1
        waits = [name for name in ("listen", "control", "peer_listen", "peers", "peers_all")
                 if getattr(config, name) != getattr(self.config, name)]
        log.tell("reload", discovery=lines.written(config.discovery), sockets=config.sockets,
                 types=",".join(config.names.types), attempts=config.settings.max_legs,
                 needs_restart=",".join(waits) or "nothing")
        config.names.keep(config.settings, self.names, self.settings.types, self.now)
        config.names.zones = self.names.zones  # with those that only the list has named
        self.settings.become(config.settings)
        self.names, config.settings, self.config = config.names, self.settings, config
        self.limits.allow(config.sockets)
        if config.discovery != self.discovery.address:
            self.discovery.move(config.discovery)

    def leave(self) -> None:
        """Asked to end: move what stands, spread over the time there is, and go once empty."""
        self.leaving = self.leaving or Leaving(self)
        self.changed.set()


class Peers(asyncio.DatagramProtocol):
    """Datagrams between balancers of the tier."""

    def __init__(self, node: Node):
        self.node, self.transport = node, None
        self.numbers = {address: number for number, address in enumerate(node.config.peers)}

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        number = self.numbers.get(sender[:2])
        if number is not None and len(data) <= DATAGRAM:
            self.node.queue(self.node.balancer.heard, number, data)

    def error_received(self, error: Exception) -> None: ...

    def tell(self, peer: int | None, data: bytes) -> None:
        config = self.node.config
        # Guards against a tier that is larger than the list of its addresses in this file.
        address = config.peers_all if peer is None else (config.peers[peer:peer + 1] or [None])[0]
        if address:
            self.transport.sendto(data, address)


def run(config: Config) -> None:
    log.start()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # till there is a configuration to replace
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # nobody has come in yet: nothing is owed

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, said: log.tell(
            "loop", what=said.get("message", ""), error=repr(said.get("exception", ""))))
        await Node(config, loop).serve()

    asyncio.run(main())
