"""Resumed connections of one process: carries out on sockets what `resumption.py` decides.

Owns those that are not up yet. An attempt is an ordinary server connection; it ends here and not at the
decisions, which hear of a resumed connection only once it is up.
"""

from __future__ import annotations

from typing import Any

from bellrack import model
from bellrack.model import Leg
from bellrack.net import limits, lines
from bellrack.net.resumption import Attempt, Expire, Resumption, StartupWindow, Wait
from bellrack.net.servers import ServerConnection


class ResumedConnections:
    """Those that are not up yet, by the connection of their client."""

    def __init__(self, node: Any, started: float, evidence: float):
        self.node = node
        self.window = StartupWindow(started, evidence)
        self.pending: dict[Any, Resumption] = {}

    def expects_more(self) -> bool:
        return self.window.expects_more(self.node.now, len(self.pending))

    def may_precede_run(self) -> bool:
        return self.window.may_precede_run(self.node.now, len(self.pending))

    def holds_back_move(self, leg: Leg) -> bool:
        """May the run not have begun? It begins when all resumed connections are up at once, and one that is
        moved before would hold it up. What operators ordered by hand is carried out."""
        held_back = self.window.holds_back_moves(self.node.now, len(self.pending))
        return held_back and not leg.server.cordoned

    def admit(self, client: Any, client_waits: float | None) -> None:
        """A first line with `at=` has come. `client_waits`: for how many seconds, as it says."""
        self.window.on_resumed(self.node.now)
        resumption = Resumption(self.node.now, lines.id_hash(client.request_line.id), client_waits)
        self.pending[client] = resumption
        self.node.counters["resumed"] += 1
        self.proceed(client, resumption)

    def proceed(self, client: Any, resumption: Resumption) -> None:
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
                self.node.at(until, self.proceed, client, resumption)
            case Expire():
                self.node.release(client.call)

    def descriptors_free(self) -> bool:
        """Connections that have said nothing make room, as for any request."""
        self.node.limits.make_room(self.node.now)
        return not self.node.limits.lacks(limits.DESCRIPTORS_PER_ATTEMPT)

    def on_attempt_ended(self, link: ServerConnection, kind: str) -> None:
        """An attempt ended before it was up; `kind` is a result of `model`."""
        client = link.client
        resumption = self.pending.get(client)
        if resumption is None:
            return  # its client has left
        if kind == model.COMPLETED:  # its server has served it to its end and said so: that was its answer
            client.call.done = True
            return
        resumption.on_attempt_failed(self.node.now, kind == model.TIMEOUT, kind not in model.NEVER_RAN)
        self.proceed(client, resumption)

    def on_established(self, client: Any) -> None:
        if resumption := self.pending.pop(client, None):
            resumption.on_established()

    def discard(self, client: Any) -> None:
        """Nothing is owed to it any more."""
        if resumption := self.pending.pop(client, None):
            resumption.on_closed()

    def answer_all(self) -> None:
        """The process ends: trying again is harmless where no server can have heard of it."""
        for client, resumption in list(self.pending.items()):
            if resumption.may_have_run or client.server_connection and client.server_connection.request_sent:
                self.node.release(client.call)
            else:
                self.node.reject(client.call)
