"""Test doubles: a host that records the actions of the decisions, and a node among peers played by a test."""

import asyncio
import contextlib
import functools
import itertools
import json
import socket
import struct
from unittest import mock

from bellrack import __main__ as program
from bellrack import model
from bellrack.choice import Balancer
from bellrack.model import Call, Leg, Result, Server, Settings, TrafficType
from bellrack.net import node as host
from bellrack.net.config import parse_config
from bellrack.net.connection import Connection
from bellrack.net.node import Node


def settings(**changes) -> Settings:
    """Returns settings of the decisions with these changes."""
    base = {
        "types": [TrafficType(model.REPEATABLE, "all", 0.0, 0.3, 0.1)],
        "zone": 0,
        "peers": 1,
        "asks": True,
        "live": False,
        "report": (),
        "max_legs": 3,
        "max_open_wait": 1.5,
        "tick": 0.004,
        "answer_slack": 0.016,
        "cold_share": 0.2,
        "ramp_time": 20.0,
    }
    return Settings(**(base | changes))


class Bench:
    """A host that records the actions of its balancer. Tests play the clients, the servers and the clock."""

    def __init__(self, rules: Settings, seed: int = 7):
        self.now, self.rules, self.timers, self.done, self.logs = 100.0, rules, [], [], []
        self.sent, self.moved, self.watched, self.probes, self.datagrams = [], [], 0, [], []
        self.balancer = Balancer(rules, seed, self)

    def send(self, call, server, until):
        leg = Leg(call, server, self.now)
        call.legs.append(leg)
        self.sent.append((leg, until))
        return leg

    def reject(self, call, wait=0.0):
        self.end(call, "rejected")

    def release(self, call):
        self.end(call, "released")

    def end(self, call, how):
        """Records the final answer of a call."""
        assert not call.done, "a second final answer"
        call.done = True
        self.done.append((call, how, self.now))

    def move(self, call):
        self.moved.append(call)

    def watch(self, on=True):
        self.watched += 1

    def probe(self, server):
        self.probes.append(server)

    def send_datagram(self, peer, data):
        self.datagrams.append((peer, data))

    def answer_probe(self, server, *report, kind=model.COMPLETED):
        """Answers a probe of the server with this report."""
        self.probes.remove(server)
        self.balancer.on_probe_result(server, Result(kind, 0.001, report))

    def set_timer(self, when, what):
        self.timers.append((when, what))

    def log(self, text):
        self.logs.append(text)

    def fleet(self, *zones, **fields) -> list[Server]:
        """Lists a server in each of these zones."""
        servers = [Server(index * 77 + 5, zone, **fields) for index, zone in enumerate(zones)]
        self.balancer.on_servers_listed(servers)
        return servers

    def call(self, group=0, kind=0, wait=3.0) -> Call:
        """A client makes a call of the traffic type with index `kind`, and waits `wait` seconds."""
        call = Call(self.rules.types[kind], self.now + wait, self.now, group=group)
        self.balancer.on_call(call)
        return call

    def establish(self, leg):
        """The connection of the leg is established."""
        leg.established = True
        self.balancer.on_established(leg)

    def end_leg(self, leg, kind):
        """The leg ends with a result of this kind."""
        leg.result = Result(kind)
        if kind == model.COMPLETED or leg.established:
            leg.call.done = True
        self.balancer.on_leg_ended(leg, leg.result)

    def run(self, until):
        """Lets time pass until `until`; timers expire in order."""
        while due := [timer for timer in self.timers if timer[0] <= until]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.balancer.on_timer(first[1])
        self.now = max(self.now, until)


def raw_settings(effect="retryable", **changes) -> dict:
    """Returns the settings object of an instance on sockets, with one traffic type, and zones a and b."""
    return {
        "trafficTypes": [
            {
                "name": "chat",
                "effect": effect,
                "group": "all",
                "keyTtlUs": 5e6,
                "guardTimeUs": 2e6,
                "setupTargetUs": 3e5,
            }
        ],
        "specifics": {"messageAimUs": [1e5], "tellsDelay": True, "tellsLoad": False},
        "caps": {"maxLegs": 3, "retryAfter": True, "maxRetryAfterUs": 1500000, "connectTimeoutUs": 200000},
        "obligations": {"answerSlackUs": 16000, "coldShare": 0.2, "rampTimeUs": 2e7},
        "accounts": [{"name": "acme"}],
        "areas": ["a", "b"],
        "az": 0,
        "peersTotal": 1,
        "discovery": "ask",
        "tickUs": 4000,
    } | changes


CAPS = {
    "maxLegs": 3,
    "retryAfter": True,
    "maxRetryAfterUs": 1500000,
    "connectTimeoutUs": 200000,
    "probes": True,
}
# The settings in which a deployment of the newer shape differs from raw_settings.
LIVE = {
    "discovery": "push",
    "weights": "live",
    "caps": CAPS,
    "report": {"how": "on_probe", "fields": ["utilization", "x0"]},
}


def configured(**changes) -> str:
    """Returns the text of a configuration file."""
    place = "127.0.0.1:1"
    return json.dumps({"listen": place, "discovery": place, "settings": raw_settings(**changes)})


def refused(tmp_path, capsys, monkeypatch, text) -> str:
    """Returns the error line of `bellrack check` for an unusable file with this text, or for a missing file.
    It has to be one line, with exit code 2."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr("sys.argv", ["bellrack", "check", str(path)])
    assert program.main() == 2
    said = capsys.readouterr()
    assert said.err.count("\n") == 1 and not said.out
    return said.err


class Peer:
    """The remote end of a connection, as a test plays it."""

    opened = []  # all that were not closed by `close_peers_after` yet

    def __init__(self, reader, writer):
        self.reader, self.writer, self.loop = reader, writer, asyncio.get_running_loop()
        self.opened.append(self)

    def say(self, text):
        """Sends a line."""
        self.writer.write(text.encode() + b"\r\n")

    async def line(self):
        """Returns the next line, or how the connection ended: "fin" or "rst"."""
        try:
            got = await asyncio.wait_for(self.reader.readline(), 5)
        except ConnectionResetError:
            return "rst"
        return got.decode().removesuffix("\r\n") if got else "fin"

    def end(self, how):
        """Closes the connection, with a reset if `how` is "rst"."""
        if how == "rst":
            self.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self.writer.transport.abort()
        else:
            self.writer.close()


class World:
    """A node on loopback, with discovery and servers that the test plays."""

    def __init__(
        self,
        servers=1,
        effect="retryable",
        sockets=1024,
        known=True,
        control=False,
        listen="127.0.0.1:0",
        apart=False,
        patience=0.05,
        **changes,
    ):
        self.raw = {
            "name": "n0",
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets},
            "settings": raw_settings(effect, **changes),
        }
        self.count, self.known, self.entries, self.control = servers, known, [], control
        self.apart = apart  # whether each server has its own zone and cell
        self.patience = patience  # seconds that the node waits at its start for discovery to push a list
        self.numbers = itertools.count(1)
        self.arrived, self.discovery_requests = asyncio.Queue(), asyncio.Queue()

    async def __aenter__(self):
        self.listeners = [
            await asyncio.start_server(self.on_server_connection(n), "127.0.0.1") for n in range(self.count)
        ]
        lister = await asyncio.start_server(
            lambda *both: self.discovery_requests.put_nowait(Peer(*both)), "127.0.0.1"
        )
        self.listeners.append(lister)
        places = ["{}:{}".format(*one.sockets[0].getsockname()) for one in self.listeners]
        self.entries = [self.entry(number, places[number]) for number in range(self.count)]
        self.raw |= {"discovery": places[-1]}
        if self.control:
            self.raw["control"] = "127.0.0.1:0"
        if self.known:
            self.raw["known"] = {"generation": 41, "reset": True, "instances": self.entries}
        naming = None if self.count else asyncio.create_task(self.send_empty_list())
        self.node, self.serving = await self.start()
        if naming:
            await naming
        return self

    async def send_empty_list(self):
        """Discovery sends an empty list: without a list the node accepts no clients."""
        self.watch, _ = await self.discovery_request()
        text = '{"generation":42,"reset":true,"instances":[]}\n'
        self.watch.writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(text), text.encode())
        )

    async def start(self, **changes):
        """Starts another node beside those that serve already."""
        with mock.patch.object(host, "KNOWN_LIST_WAIT", self.patience):
            node = Node(parse_config(self.raw | changes), asyncio.get_running_loop())
        serving = asyncio.create_task(node.serve())
        while not hasattr(node, "address"):
            assert not serving.done() or await serving
            await asyncio.sleep(0.001)
        return node, serving

    async def __aexit__(self, *error):
        self.node.finished.set()
        await asyncio.wait_for(self.serving, 5)
        for one in self.listeners:
            one.close()

    @contextlib.asynccontextmanager
    async def beside(self):
        """A second node, for the duration of the block."""
        node, serving = await self.start()
        yield node
        node.finished.set()
        await serving

    async def wait_for_first_node(self, serving):
        """Waits until the first node has ended; `serving`, the task of the second one, takes its place."""
        await asyncio.wait_for(self.serving, 5)
        self.serving = serving

    def on_server_connection(self, number):
        """Returns the callback for connections to the server with this number."""
        return lambda *both: self.arrived.put_nowait((number, Peer(*both)))

    def entry(self, number, place, state="in_service", started=0, zone="a"):
        """Returns the list entry of a server at the address `place`."""
        zone, cell = ("ab"[number], number) if self.apart else (zone, 0)
        return {
            "instanceId": f"s-{number}",
            "hostPort": place,
            "zone": zone,
            "cell": cell,
            "machineType": "m",
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": started,
        }

    async def dial(self):
        """Connects a client to the node."""
        return Peer(*await asyncio.open_connection(*self.node.address))

    async def call(self, values="c=chat,t=acme,d=2000", number=None):
        """Connects a client that sends a request line with these values."""
        client = await self.dial()
        client.say(f"OPEN {number or next(self.numbers):016x} 7f3a9c21e0b4d655 {values}")
        return client

    async def leg(self):
        """Returns the number of a server, the next connection that it accepts, and its first line."""
        number, peer = await asyncio.wait_for(self.arrived.get(), 5)
        return number, peer, await peer.line()

    async def establish(self, values="c=chat,t=acme,d=2000", number=None):
        """Establishes a connection and returns both of its ends, client and server."""
        client = await self.call(values, number)
        _, server, _ = await self.leg()
        server.say("UP 0011")
        assert await client.line() == "UP 0011"
        return client, server

    async def discovery_request(self):
        """Returns the next request to discovery and its target."""
        peer = await asyncio.wait_for(self.discovery_requests.get(), 5)
        target = (await peer.line()).split()[1]
        while await peer.line():
            pass
        return peer, target

    def admin_address(self):
        """Returns the address of the admin listener."""
        return self.node.listeners.admin.sockets[0].getsockname()

    async def dial_admin(self):
        """Connects an operator to the admin listener."""
        return Peer(*await asyncio.open_connection(*self.admin_address()))

    async def ask(self, path, body="", method=None):
        """Returns the status (0 for none) and the text that an operator gets."""
        peer = await self.dial_admin()
        method = method or ("POST" if body else "GET")
        peer.writer.write(f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        return await self.http_response(peer)

    async def http_response(self, peer):
        """Returns the status (0 for none) and the text of an HTTP response."""
        got = await asyncio.wait_for(peer.reader.read(), 5)
        peer.end("fin")
        head, _, text = got.decode().partition("\r\n\r\n")
        return int(head.split()[1]) if head else 0, text

    async def figures(self):
        """Returns the metrics by name."""
        status, text = await self.ask("/_vars")
        assert status == 200
        return {name: int(value) for name, value in (line.split("=") for line in text.splitlines())}

    async def until(self, true, seconds=5.0):
        """Waits until the condition is true, for `seconds` at most."""
        end = self.node.loop.time() + seconds
        while not true():
            assert self.node.loop.time() < end, "the condition did not come true in time"
            await asyncio.sleep(0.005)


class Batch:
    """Puts the events of several connections into one batch, in an order that a test chooses. Each connection
    is held back until all of them have an event, however fast the sockets are."""

    def __init__(self, monkeypatch, node):
        self.node, self.order, self.held, self.wake = node, [], [], Connection.wake
        monkeypatch.setattr(Connection, "wake", lambda link: self.note(link))

    def of(self, *order):
        """Sets the order: sides of connections, with " end" if their remote end closed; tuples are queued
        functions with their arguments."""
        self.order = list(order)

    def note(self, link):
        """Holds back a connection of the order until all of them have an event."""
        part = link.side + " end" * (link.remote_end != "" and f"{link.side} end" in self.order)
        if part not in self.order:
            self.wake(link)
            return
        if (part, link) not in self.held:
            self.held.append((part, link))
        if {part for part, _ in self.held} == {part for part in self.order if isinstance(part, str)}:
            order, self.order = self.order, []
            for what in order:
                if isinstance(what, tuple):
                    self.node.queue(*what)
                for part, held in self.held:
                    if part == what:
                        self.wake(held)


async def serve_calls(world, rejecting, placed_on):
    """Answers calls at the servers until it is cancelled: BUSY at those whose numbers are in `rejecting`, UP
    at the others. Appends the number of each server that is asked to `placed_on`."""
    while True:
        number, peer = await world.arrived.get()
        await peer.line()
        placed_on.append(number)
        peer.say("BUSY" if number in rejecting else "UP 1")


async def is_served(world):
    """Makes a call and returns whether it is established. Limits the rate of the calls that follow."""
    client = await world.call()
    line = await client.line()
    client.end("fin")
    await asyncio.sleep(0.02)
    return line == "UP 1"


async def close_peers_after(test):
    """Runs a coroutine and returns its result; closes what its peers left open.

    A writer that is collected once its loop is closed raises an error in its finalizer. The traceback of that
    is formatted with `ast.parse`, and Python 3.11 cannot run that within another `ast.parse`."""
    try:
        return await test
    finally:
        loop = asyncio.get_running_loop()
        for peer in Peer.opened:
            if peer.loop is loop:
                peer.writer.transport.abort()
        Peer.opened.clear()


def async_test(test):
    """Decorates a test that is a coroutine: runs it, for 20 s at most."""

    @functools.wraps(test)
    def run(*args, **named):
        asyncio.run(asyncio.wait_for(close_peers_after(test(*args, **named)), 20))

    return run
