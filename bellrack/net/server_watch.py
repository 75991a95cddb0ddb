"""Checks all servers once a second: reports late messages, ends silent connections, drops unused records."""

from __future__ import annotations

from typing import Any

from bellrack import model
from bellrack.model import Server
from bellrack.net import log
from bellrack.net.servers import Endpoint

CHECK_INTERVAL_SECONDS = 1.0  # the interval at which the decisions expect reports of late messages
FORGET_AFTER_SECONDS = 60.0  # a server that is gone and has no open legs is dropped after this time
REPORT_PRECEDENCE_SECONDS = 1.5  # how long a delay that the server reports replaces measured ones
LATE_NOTICE_SHARE = 1 / 3  # of the shortest message aim: delays above it are reported


class ServerWatch:
    """The periodic check of a node's servers."""

    def __init__(self, node: Any):
        self.node = node

    def check(self) -> None:
        """Checks every server, and schedules the next check."""
        node = self.node
        node.after(CHECK_INTERVAL_SECONDS, self.check)
        if verdicts := node.balancer.overload.verdicts:
            if not node.counters["late_seen"]:
                log.event(
                    "late-seen", notices=node.counters["late_notices"], promised=node.names.reports_delay
                )
            node.counters["late_seen"] = verdicts
        for server in list(node.servers.values()):
            self.forget_unused(server)
            if server.host_record.connections:
                self.time_messages(server)
                self.end_silent(server.host_record)
            else:
                server.host_record.shortest_line_time = None

    def forget_unused(self, server: Server) -> None:
        """Drops the record of a server that has been gone for long. Otherwise the records would grow with
        each machine that is replaced."""
        if server.state != model.GONE or server.local_state.open_legs:
            server.host_record.last_used = self.node.now
        elif self.node.now - server.host_record.last_used > FORGET_AFTER_SECONDS:
            self.node.forget_server(server)
            self.node.invariants.forget_server(server)
            self.node.server_list.forget_order(server.id_hash)

    def time_messages(self, server: Server) -> None:
        """Reports the measured delay of a server's messages to the decisions while they are late, and once
        afterwards, unless the server itself has reported a delay recently."""
        node, endpoint = self.node, server.host_record
        delay = endpoint.take_line_time(node.now)
        late = delay > LATE_NOTICE_SHARE * node.settings.shortest_message_aim
        if (
            node.names.reports_delay
            and (late or endpoint.was_late)
            and node.now - endpoint.delay_reported_at > REPORT_PRECEDENCE_SECONDS
        ):
            node.balancer.on_delay_reported(next(iter(endpoint.connections)).leg, delay)
        endpoint.was_late = late

    def end_silent(self, endpoint: Endpoint) -> None:
        """Moves the clients whose server connection has gone silent."""
        for connection in [connection for connection in endpoint.connections if connection.is_silent()]:
            connection.client.move("server-silent", model.RESET)
