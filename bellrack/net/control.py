"""The door for operators: who calls at the control address, and what is answered.

Owns the calls and their one answer each. It never decides which server is used, never waits for anything
before it answers, and never takes a descriptor that calls of clients need beyond its few.
"""

from __future__ import annotations

from typing import Any

from bellrack.net import limits, lines, log, metrics
from bellrack.net.http import CONTINUE, HttpError, Request, answer
from bellrack.net.ring import Connection


class AdminConnection(Connection):
    """One call of an operator."""

    side = "control"
    has_priority = True  # guards against answers that wait behind a rush of clients

    def on_connected(self) -> None:
        self.request, admin_connections = Request(), self.node.admin_connections
        admin_connections[self] = None
        if len(admin_connections) > self.node.limits.max_admin_connections:
            # Guards against callers that hold connections with no whole call: the oldest of them goes.
            next(iter(admin_connections)).reply(503, "too many callers\n", "many-callers")
        self.expire_after(limits.ADMIN_REQUEST_SECONDS, self.on_expired)
        self.wake()

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.node.admin_connections.pop(self, None)

    def on_expired(self) -> None:
        self.reply(408, "no whole call came\n", "no-whole-call")

    def ready(self) -> None:
        try:
            waited = self.request.method
            self.request.feed(self.ring.take(self.ring.length) if self.ring.length else b"")
            if self.request.done:
                self.called()
            elif self.request.waits and not waited:
                self.write(CONTINUE)
            elif self.remote_end:
                self.finish(f"caller-{self.remote_end}", self.remote_end)
        except HttpError as error:
            self.reply(error.status, f"{error}\n", f"status-{error.status}")

    def called(self) -> None:
        path, method = self.request.path, self.request.method
        if path not in CALLS:
            self.reply(404, "no such call\n", "unknown-call")
        elif method != CALLS[path][0]:
            self.reply(405, f"this is a {CALLS[path][0]}\n", "other-method", CALLS[path][0])
        else:
            self.reply(*CALLS[path][1](self.node, self.request), path)

    def reply(self, status: int, text: str, reason: str, allow: str = "") -> None:
        self.node.admin_connections.pop(self, None)
        self.write(answer(status, text, allow))
        self.finish(reason, status=status)


def ready(node: Any, request: Request) -> tuple[int, str]:
    return (200, "ready\n") if node.can_serve() else (503, "not ready\n")


def shown(node: Any, request: Request) -> tuple[int, str]:
    return 200, metrics.text(metrics.collect(node))


def detach(node: Any, request: Request) -> tuple[int, str]:
    return withhold(node, request, True)


def attach(node: Any, request: Request) -> tuple[int, str]:
    return withhold(node, request, False)


def withhold(node: Any, request: Request, out: bool) -> tuple[int, str]:
    """Taken out twice, or put back when it was not out, is a yes: it is as was asked for."""
    name = request.body.decode("utf-8", "replace").strip()
    if not node.server_list.cordon(name, out):
        return 404, "no such server\n"
    node.hot_restart.publish_order(node.server_list.orders[lines.id_hash(name)])
    log.event("by_hand", server=name, out=out)
    return 200, "out\n" if out else "back\n"


CALLS = {
    "/_ready": ("GET", ready),
    "/_vars": ("GET", shown),
    "/_servers/detach": ("POST", detach),
    "/_servers/attach": ("POST", attach),
}
