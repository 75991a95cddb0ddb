"""What is ordered of a handed-over connection, or happens to it, until its sockets are attached."""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
from unittest import mock

import pytest
from helpers import Peer, World, async_test
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)

from bellrack import model
from bellrack.net import handoff, lines, servers
from bellrack.net.connection_state import TRANSITIONS, Event, State, TransitionError, next_state
from bellrack.net.handoff_message import (
    MAX_MESSAGE_BYTES,
    AnnouncedEnd,
    EstablishedPart,
    HandoffMessage,
    MessageError,
    ResumptionPart,
)
from bellrack.net.handoff_receiver import HandoffReceiver

REQUEST = b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def message(unread=b"", server_unread=b"", **changes):
    """An established connection of the server s-0."""
    fields = {
        "request_line": lines.parse_request_line(REQUEST),
        "server": "s-0",
        "address": ("127.0.0.1", 1),
        "sent": 1.0,
        "unanswered": (),
        "announced_end": None,
        "unread": server_unread,
    }
    return HandoffMessage(unread, 1.0, EstablishedPart(**(fields | changes)))


def tcp_pair():
    """Return the near and the far end of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
    return near, far


class Received:
    """A connection that a node has received. `attach` attaches its sockets, the client's first."""

    def __init__(self, world, monkeypatch):
        self.world, self.node, self.loop = world, world.node, world.node.loop
        self.sender, receiving = handoff.socket_pair()
        self.receiver = HandoffReceiver(self.node, receiving)
        self.node.hot_restart.handoff_receiver = self.receiver
        self.turns = asyncio.Semaphore(0)
        self.attach_socket, self.failing = self.loop.connect_accepted_socket, set()
        self.attached = 0
        monkeypatch.setattr(self.loop, "connect_accepted_socket", self.attach_in_turn)

    async def attach_in_turn(self, factory, sock):
        await self.turns.acquire()
        try:
            if factory().side in self.failing:
                raise OSError("cannot be attached")
            return await self.attach_socket(factory, sock)
        finally:
            self.attached += 1

    async def send(self, data, descriptors=2):
        """Send a message with the near ends of this many connections."""
        pairs = [tcp_pair() for _ in range(2)]
        near_ends = [near for near, _ in pairs]
        socket.send_fds(self.sender, [data], [near.fileno() for near in near_ends[:descriptors]])
        for near in near_ends:
            near.close()
        self.client_end, self.server_end = [
            Peer(*await asyncio.open_connection(sock=far)) for _, far in pairs
        ]

    async def receive(self, data):
        """Send a message and wait until the node knows of the connection."""
        await self.send(data)
        await self.world.until(lambda: self.node.counters["handoffs_received"])
        (self.client,) = self.node.clients
        self.server = self.client.server_connection

    async def attach(self, count=1):
        attached = self.attached
        for _ in range(count):
            self.turns.release()
        await self.world.until(lambda: self.attached == attached + count)
        await asyncio.sleep(0)

    async def attach_rest(self):
        self.turns.release()
        self.turns.release()
        await self.world.until(lambda: not self.receiver.unfinished)

    async def both_ended(self):
        """Return what the client and the server get until their connections end."""
        got = []
        for peer in (self.client_end, self.server_end):
            got.append([line := await peer.line()])
            while line not in ("fin", "rst"):
                got[-1].append(line := await peer.line())
            peer.end("fin")
        await self.world.until(lambda: not self.node.clients)
        assert not self.node.balancer.open_legs and not self.node.counters["faults"]
        assert not self.node.limits.open_ids
        assert not any(name.startswith("violation") for name in self.node.counters)
        return got


@contextlib.asynccontextmanager
async def received_connection(monkeypatch, data=None):
    async with World(control=True) as world:
        await world.discovery_request()
        held = world.node.limits.descriptors
        received = Received(world, monkeypatch)
        try:
            if data is not None:
                await received.receive(data)
            yield received
        finally:
            received.sender.close()
        await world.until(lambda: world.node.limits.descriptors == held)


def order_all_to_leave(received):
    for client in list(received.node.clients):
        client.move("leaving")


def reset_the_server(received):
    sock = received.server_end.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    received.server_end.writer.transport.abort()


def move_after_the_last_line(received):
    received.server.announce_end(model.COMPLETED, received.node.now + 60.0)
    received.client.move("moved")


MOVED = [["MOVE", "fin"], ["fin"]]
# What is ordered, or happens, and what the client and the server get, at whatever moment.
ORDERS = {
    "moved": (lambda received: received.client.move("moved"), MOVED),
    "moved twice": (lambda received: [received.client.move("moved") for _ in range(2)], MOVED),
    "its server is silent": (lambda received: received.client.move("server-silent", model.RESET), MOVED),
    "all are moved at the shutdown": (order_all_to_leave, MOVED),
    "its line is malformed": (
        lambda received: received.client.reject_malformed("line-too-long"),
        [["SYNTAX", "fin"], ["fin"]],
    ),
    "its server has announced its end": (
        lambda received: received.server.announce_end(model.COMPLETED, received.node.now),
        [["fin"], ["fin"]],
    ),
    "moved after its server has announced its end": (move_after_the_last_line, [["fin"], ["fin"]]),
    "the server announces its end": (
        lambda received: received.server_end.say("BYE"),
        [["BYE", "fin"], ["fin"]],
    ),
    "the server closes": (lambda received: received.server_end.writer.write_eof(), [["fin"], ["fin"]]),
    "the server resets": (reset_the_server, [["rst"], None]),
    "the client closes": (lambda received: received.client_end.writer.write_eof(), [["fin"], ["fin"]]),
    "the client writes and closes": (
        lambda received: [received.client_end.say("last"), received.client_end.writer.write_eof()],
        [["fin"], ["last", "fin"]],
    ),
}


@pytest.mark.parametrize("attached_before", [0, 1, 2])
@pytest.mark.parametrize("order", list(ORDERS))
@async_test
async def test_order_at_each_moment_of_a_hand_over_ends_both_sides(monkeypatch, order, attached_before):
    """Guards against an order that is dropped as the connection has no sockets yet (report 8b54a9)."""
    act, expected = ORDERS[order]
    async with received_connection(monkeypatch, message().encode()) as received:
        await received.attach(attached_before)
        act(received)
        await asyncio.sleep(0.01)
        await received.attach_rest()
        got = await received.both_ended()
        for side, lines_expected in zip(got, expected):
            assert lines_expected is None or side == lines_expected


@pytest.mark.parametrize("ends_in", [None, 0.2, 60.0])
@async_test
async def test_announced_end_goes_over_with_the_time_by_which_it_is_due(monkeypatch, ends_in):
    """Guards against a client that waits on after BYE, as the successor set no timer (issue 74, point 4)."""
    async with received_connection(monkeypatch) as received:
        due = None if ends_in is None else received.node.clock() + ends_in
        await received.send(message(announced_end=AnnouncedEnd(model.COMPLETED, due)).encode())
        await received.attach_rest()
        (client,) = received.node.clients
        in_full = received.node.clock() + servers.ANNOUNCED_END_SECONDS
        assert client.server_connection.ends_by <= min(in_full, due or in_full)
        assert await received.both_ended() == [["fin"], ["fin"]]


@pytest.mark.parametrize("failing", ["client", "server"])
@async_test
async def test_connection_whose_sockets_cannot_all_be_attached_is_ended(monkeypatch, failing):
    async with received_connection(monkeypatch, message().encode()) as received:
        received.failing.add(failing)
        await received.attach_rest()
        got = await received.both_ended()
        assert got[0][-1] in ("fin", "rst") and got[1][-1] in ("fin", "rst")
        assert got[0] == ["MOVE", "fin"] or failing == "client"


@pytest.mark.parametrize(
    "change, descriptors, expected",
    [
        ({}, 1, ["MOVE", "fin"]),  # the server's descriptor did not come
        ({"back": "%%"}, 2, ["MOVE", "fin"]),
        ({"sent": "soon"}, 2, ["MOVE", "fin"]),
        ({"line": "OPEN"}, 2, ["MOVE", "fin"]),
        ({"in": "A" * 4 * MAX_MESSAGE_BYTES}, 2, ["MOVE", "fin"]),
        (None, 1, ["BUSY 1500", "fin"]),
        (None, 2, ["MOVE", "fin"]),
    ],
)
@async_test
async def test_client_whose_message_cannot_be_read_is_told_to_come_again(
    monkeypatch, change, descriptors, expected
):
    """Guards against a client that is cut off without a line."""
    data = b"no json" if change is None else json.dumps(json.loads(message().encode()) | change).encode()
    async with received_connection(monkeypatch) as received:
        received.sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        await received.send(data[:MAX_MESSAGE_BYTES], descriptors)
        await received.attach_rest()
        assert [await received.client_end.line(), await received.client_end.line()] == expected
        assert await received.server_end.line() in ("fin", "rst")
        received.client_end.end("fin")
        await received.world.until(lambda: not received.node.clients)
        assert not received.node.balancer.open_legs and not received.node.counters["faults"]


@async_test
async def test_lines_that_filled_a_ring_are_forwarded_by_the_receiver(monkeypatch):
    """Guards against a reader that is started on a full buffer: asyncio resets such a connection."""
    line = b"x" * (lines.MAX_LINE_BYTES - 2) + b"\r\n"
    async with received_connection(monkeypatch, message(2 * line, 2 * line).encode()) as received:
        for peer in (received.client_end, received.server_end):
            peer.say("more")
        await received.attach_rest()
        for peer in (received.client_end, received.server_end):
            assert [len(await peer.line()) for _ in range(3)] == [4094, 4094, 4]
        received.client_end.end("fin")
        assert await received.server_end.line() == "fin"


@async_test
async def test_connections_on_their_way_are_moved_by_a_receiver_that_ends(monkeypatch):
    """Guards against connections that are cut off with the end of the process that was to receive them."""
    async with received_connection(monkeypatch) as received:
        received.loop.remove_reader(received.receiver.sock.fileno())  # it is held up
        await received.send(message().encode())
        received.turns.release()
        received.turns.release()
        received.node.begin_shutdown()
        assert await received.both_ended() == MOVED
        await received.world.until(received.node.finished.is_set)
        with pytest.raises(OSError):
            received.sender.send(b"one more")


@async_test
async def test_a_full_socket_to_the_successor_ends_the_batch_and_not_the_service():
    """Guards against a process that tries each of its connections in vain, and holds their lines back."""
    async with World(control=True) as world:
        pairs = [await world.establish() for _ in range(3)]
        ours, theirs = handoff.socket_pair()
        sender = handoff.HandoffSender(world.node, ours)
        with contextlib.suppress(BlockingIOError):
            while True:
                ours.send(b"x")
        with mock.patch.object(sender, "send_connection", wraps=sender.send_connection) as sending:
            assert sender.send_batch() is handoff.BatchResult.SOCKET_FULL
            assert sending.call_count == 1
        for client, server in pairs:
            client.say("line")
            assert await server.line() == "line"
        theirs.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while theirs.recv(1):
                pass
        assert sender.send_batch() is handoff.BatchResult.ALL_TRIED
        assert world.node.counters["handed_over"] == 3
        sender.close()
        theirs.close()


@async_test
async def test_a_successor_that_takes_no_more_ends_the_batch_and_not_the_service():
    async with World(control=True) as world:
        pairs = [await world.establish() for _ in range(3)]
        ours, theirs = handoff.socket_pair()
        sender = handoff.HandoffSender(world.node, ours)
        theirs.shutdown(socket.SHUT_RD)
        with mock.patch.object(sender, "send_connection", wraps=sender.send_connection) as sending:
            assert sender.send_batch() is handoff.BatchResult.REFUSED
            assert sending.call_count == 1
        for client, server in pairs:
            client.say("line")
            assert await server.line() == "line"
        sender.close()
        theirs.close()


RESUMED = b"OPEN 00000000000000a2 7f3a9c21e0b4d655 c=chat,t=acme,at=s-9\r\n"


async def send_resumed(received, answer_by, may_have_run):
    """Hand over a resumed connection whose server is not listed."""
    part = ResumptionPart(answer_by, may_have_run)
    await received.send(HandoffMessage(RESUMED, 1.0, resumption=part).encode(), 1)
    await received.attach()
    await received.world.until(lambda: received.node.resumed.pending)


@async_test
async def test_resumed_connection_keeps_its_deadline_over_a_hand_over(monkeypatch):
    """Guards against a client that waits for 40 s anew at each new version."""
    async with received_connection(monkeypatch) as received:
        answer_by = received.node.clock() + 0.3
        await send_resumed(received, answer_by, False)
        assert await received.client_end.line() == "ERR"
        assert answer_by <= received.node.clock() < answer_by + 5


@pytest.mark.parametrize("may_have_run, answer", [(False, "BUSY"), (True, "ERR")])
@async_test
async def test_resumed_connection_that_may_have_run_elsewhere_is_not_rejected(
    monkeypatch, may_have_run, answer
):
    """Guards against BUSY, which invites a repeat, for a request that the predecessor has sent."""
    async with received_connection(monkeypatch) as received:
        await send_resumed(received, received.node.clock() + 30.0, may_have_run)
        received.node.resumed.answer_all()
        assert await received.client_end.line() == answer
        received.node.begin_shutdown()


@async_test
async def test_sent_resumed_connection_goes_over_with_its_deadline(folder):  # noqa: F811
    async with World(control=True, listen=reserved_address()) as world:
        first = world.node
        client = await world.call("c=chat,t=acme,at=s-0")
        await world.leg()  # the server has the request and does not answer
        (resumption,) = first.resumed.pending.values()
        second, serving = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        first.begin_shutdown()
        await world.until(lambda: second.resumed.pending)
        (continued,) = second.resumed.pending.values()
        assert continued.may_have_run and continued.answer_by == pytest.approx(resumption.answer_by)
        client.end("fin")
        await world.wait_for_first_node(serving)
        world.node = second


def test_each_event_of_each_state_is_in_the_table_or_an_error():
    states = {State.PENDING}
    for _ in TRANSITIONS:
        states |= {TRANSITIONS[state, event] for state, event in TRANSITIONS if state in states}
    assert states == set(State)
    for state, event in itertools.product(State, Event):
        if (state, event) in TRANSITIONS:
            # What this process has closed or handed over stays so.
            assert next_state(state, event).closed or not state.closed
        else:
            with pytest.raises(TransitionError):
                next_state(state, event)


def test_message_reads_back_as_written():
    established = message(b"half a", b"\x00", unanswered=(1.5, 2.5))
    resumed = HandoffMessage(RESUMED, 2.0, resumption=ResumptionPart(3.0, True))
    for written in (established, resumed, HandoffMessage(b"OPEN", None)):
        assert HandoffMessage.decode(written.encode()) == written
    with pytest.raises(MessageError):
        HandoffMessage.decode(b"[]")
