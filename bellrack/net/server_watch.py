"""A look at all servers once a second: whose messages are late, and whose connections have gone silent."""

from __future__ import annotations

from typing import Any

from bellrack import model
from bellrack.model import Server
from bellrack.net import log
from bellrack.net.servers import Endpoint

CHECK_INTERVAL_SECONDS = 1.0  # seconds between notices of late messages, as the decisions expect them
FORGET_AFTER_SECONDS = (
    60.0  # seconds after which a server that is gone and holds nothing of ours is forgotten
)
REPORT_PRECEDENCE_SECONDS = (
    1.5  # seconds for which a server's own word on its messages stands before what we timed
)
LATE_NOTICE_SHARE = 1 / 3  # of the shortest message aim: lines slower than this are told of


class ServerWatch:
    def __init__(self, node: Any):
        self.node = node

    def check(self) -> None:
        node = self.node
        node.after(CHECK_INTERVAL_SECONDS, self.check)
        if judged := node.balancer.overload.verdicts:
            if not node.counters["late_seen"]:
                log.event(
                    "late-seen", notices=node.counters["late_notices"], promised=node.names.reports_delay
                )
            node.counters["late_seen"] = judged
        for server in list(node.servers.values()):
            self.forget_unused(server)
            if server.host_record.connections:
                self.time_messages(server)
                self.end_silent(server.host_record)
            else:
                server.host_record.line_times.clear()

    def forget_unused(self, server: Server) -> None:
        """Guards against records that grow with each machine that is replaced."""
        if server.state != model.GONE or server.local_state.open_legs:
            server.host_record.last_used = self.node.now
        elif self.node.now - server.host_record.last_used > FORGET_AFTER_SECONDS:
            self.node.forget_server(server)
            self.node.invariants.forget(server)
            self.node.server_list.forget_order(server.id_hash)

    def time_messages(self, server: Server) -> None:
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

    def end_silent(self, place: Endpoint) -> None:
        for link in [link for link in place.connections if link.is_silent()]:
            link.client.move("server-silent", model.RESET)
