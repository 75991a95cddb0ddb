"""The admin address: HTTP requests of operators and of health checks, and their responses.

Each connection carries one request, which is answered at once, without waiting for anything. The number of
these connections is limited, so that they take no descriptors that clients need. Which server is used is
decided elsewhere; operators can only detach a server and attach it again.
"""

from __future__ import annotations

from typing import Any

from bellrack.net import limits, lines, metrics
from bellrack.net.http import CONTINUE, HttpError, Request, response
from bellrack.net.ring import Connection


class AdminConnection(Connection):
    """A connection to the admin address: one request, one response."""

    side = "control"
    has_priority = True  # otherwise responses would be delayed during a rush of clients

    def on_connected(self) -> None:
        self.request, admin_connections = Request(), self.node.admin_connections
        admin_connections[self] = None
        if len(admin_connections) > self.node.limits.max_admin_connections:
            # Connections with incomplete requests must not lock others out: the oldest one is closed.
            next(iter(admin_connections)).reply(503, "too many callers\n", "many-callers")
        self.expire_after(limits.ADMIN_REQUEST_SECONDS, self.on_expired)
        self.wake()

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.node.admin_connections.pop(self, None)

    def on_expired(self) -> None:
        self.reply(408, "no whole call came\n", "no-whole-call")

    def ready(self) -> None:
        """Read what has arrived, and answer the request once it is complete."""
        try:
            had_head = self.request.method
            self.request.feed(self.ring.take(self.ring.length) if self.ring.length else b"")
            if self.request.done:
                self.handle_request()
            elif self.request.awaits_continue and not had_head:
                self.write(CONTINUE)
            elif self.remote_end:
                self.finish(f"caller-{self.remote_end}", self.remote_end)
        except HttpError as error:
            self.reply(error.status, f"{error}\n", f"status-{error.status}")

    def handle_request(self) -> None:
        """Answer a complete request."""
        path, method = self.request.path, self.request.method
        if path not in ROUTES:
            self.reply(404, "no such call\n", "unknown-call")
        elif method != ROUTES[path][0]:
            self.reply(405, f"this is a {ROUTES[path][0]}\n", "other-method", ROUTES[path][0])
        else:
            self.reply(*ROUTES[path][1](self.node, self.request), path)

    def reply(self, status: int, text: str, reason: str, allow: str = "") -> None:
        """Send the response and close the connection.

        `reason`: of its end, for the log; `allow`: the method that the path allows, if that is the error."""
        self.node.admin_connections.pop(self, None)
        self.write(response(status, text, allow))
        self.finish(reason, status=status)


def ready(node: Any, request: Request) -> tuple[int, str]:
    """Return status and text of `/_ready`: whether this process takes requests."""
    return (200, "ready\n") if node.can_serve() else (503, "not ready\n")


def show_metrics(node: Any, request: Request) -> tuple[int, str]:
    """Return status and text of `/_vars`: all metrics."""
    return 200, metrics.text(metrics.collect(node))


def detach(node: Any, request: Request) -> tuple[int, str]:
    """Detach the server that the body names: it gets no new connections."""
    return cordon(node, request, True)


def attach(node: Any, request: Request) -> tuple[int, str]:
    """Attach the server that the body names again."""
    return cordon(node, request, False)


def cordon(node: Any, request: Request, out: bool) -> tuple[int, str]:
    """Detach (`out`) or attach a server, and send the order to the sibling process.

    Repeated orders succeed, as the server is in the requested state."""
    name = request.body.decode("utf-8", "replace").strip()
    if not node.server_list.cordon(name, out):
        return 404, "no such server\n"
    node.hot_restart.publish_order(node.server_list.orders[lines.id_hash(name)])
    return 200, "out\n" if out else "back\n"


ROUTES = {
    "/_ready": ("GET", ready),
    "/_vars": ("GET", show_metrics),
    "/_servers/detach": ("POST", detach),
    "/_servers/attach": ("POST", attach),
}
