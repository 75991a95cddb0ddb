"""Resumed connections of one process: carries out on sockets what `resumption.py` decides.

See there for what a resumed connection is, and when the run (the ordinary traffic) begins. This module keeps
the connections that are not established yet. An attempt is an ordinary server connection, but its end is
handled here: a resumed connection is reported to the decisions only once it is established.
"""

from __future__ import annotations

from typing import Any

from bellrack import model
from bellrack.model import Leg
from bellrack.net import limits, lines
from bellrack.net.handoff_message import ResumptionPart
from bellrack.net.resumption import Attempt, Expire, Resumption, StartupWindow, Wait
from bellrack.net.servers import ServerConnection


class ResumedConnections:
    """The resumed connections that are not established yet, by their client's connection."""

    def __init__(self, node: Any, started: float, evidence: float):
        """`started`: when the process started; `evidence`: see StartupWindow. Both in seconds."""
        self.node = node
        self.window = StartupWindow(started, evidence)
        self.pending: dict[Any, Resumption] = {}
        self.inherited: dict[Any, ResumptionPart] = {}  # handed over, until the request line is read

    def expects_more(self) -> bool:
        """Whether further resumed connections are to be expected."""
        return self.window.expects_more(self.node.now, len(self.pending))

    def may_precede_run(self) -> bool:
        """Whether the run may not have begun yet, so that silent connections may be resumed ones."""
        return self.window.may_precede_run(self.node.now, len(self.pending))

    def holds_back_move(self, leg: Leg) -> bool:
        """Whether the leg must not be moved yet. The run begins when all resumed connections are established
        at once, and moving one before would delay it. Legs at cordoned servers are moved all the same."""
        held_back = self.window.holds_back_moves(self.node.now, len(self.pending))
        return held_back and not leg.server.cordoned

    def admit(self, client: Any, client_waits: float | None) -> None:
        """A first line with `at=` has come. `client_waits`: for how many seconds the client says it waits."""
        self.window.on_resumed(self.node.now)
        resumption = Resumption(self.node.now, lines.id_hash(client.request_line.id), client_waits)
        if part := self.inherited.pop(client, None):
            resumption.continue_from(part.answer_by, part.may_have_run)
        self.pending[client] = resumption
        self.node.counters["resumed"] += 1
        self.proceed(client, resumption)

    def describe(self, client: Any) -> ResumptionPart:
        """What another process has to know to go on with the client's resumption."""
        return ResumptionPart(self.pending[client].answer_by, self.may_have_run(client))

    def inherit(self, client: Any, part: ResumptionPart) -> None:
        """The client was handed over; its request line, which is unread, goes on from there."""
        self.inherited[client] = part

    def may_have_run(self, client: Any) -> bool:
        """Whether a server may have received the client's request."""
        connection = client.server_connection
        return self.pending[client].may_have_run or bool(connection and connection.request_sent)

    def proceed(self, client: Any, resumption: Resumption) -> None:
        """Carries out the next action of a resumption, unless it is over."""
        if not resumption.pending:
            return
        client.abandon_if_closed()
        if client.call.done:
            return
        server = self.node.servers.get(lines.id_hash(client.request_line.values["at"]))
        known = server is not None and server.host_record is not None
        match resumption.next_action(self.node.now, known, self.descriptors_free()):
            case Attempt(give_up_at):
                leg = Leg(client.call, server, self.node.now)
                ServerConnection(self.node, leg, client, give_up_at, resumed=True)
            case Wait(until):
                client.expire_after(until - self.node.clock(), self.proceed, client, resumption)
            case Expire():
                self.node.release(client.call)

    def descriptors_free(self) -> bool:
        """Whether there are descriptors for an attempt. Silent connections are ended for it if necessary, as
        for any request."""
        self.node.limits.make_room(self.node.now)
        return not self.node.limits.lacks(limits.DESCRIPTORS_PER_ATTEMPT)

    def on_attempt_ended(self, connection: ServerConnection, kind: str) -> None:
        """An attempt ended before it was established. `kind`: a result of `model`."""
        client = connection.client
        resumption = self.pending.get(client)
        if resumption is None:
            return  # the client has left
        if kind == model.COMPLETED:  # the server has served it to the end, and has answered it by saying so
            client.call.done = True
            return
        resumption.on_attempt_failed(self.node.now, kind == model.TIMEOUT, kind not in model.NEVER_RAN)
        self.proceed(client, resumption)

    def on_established(self, client: Any) -> None:
        """The client's resumed connection is established, if it was one."""
        if resumption := self.pending.pop(client, None):
            resumption.on_established()

    def discard(self, client: Any) -> None:
        """The client has its answer, has left, or was handed to another process."""
        self.inherited.pop(client, None)
        if resumption := self.pending.pop(client, None):
            resumption.on_closed()

    def answer_all(self) -> None:
        """Answers all clients at shutdown. A call is rejected, which invites a retry, only if no server can
        have received it; others are released."""
        for client in list(self.pending):
            if self.may_have_run(client):
                self.node.release(client.call)
            else:
                self.node.reject(client.call)
