"""The admin address: HTTP requests of operators and of health checks, and their responses.

Each connection carries one request. It is answered at once, but for an order to a process that waits for its
turn in a hot restart (`order_relay.py`). The number of these connections is limited, so that they take no
descriptors that clients need. Which server is used is decided elsewhere; operators can only detach a server
and attach it again.
"""

from __future__ import annotations

from bellrack.net import limits, metrics
from bellrack.net.connection import Connection
from bellrack.net.http import CONTINUE, HttpError, Request, response
from bellrack.net.order_relay import OrderOutcome


class AdminConnection(Connection):
    """A connection to the admin address: one request, one response."""

    side = "control"
    has_priority = True  # otherwise responses would be delayed during a rush of clients

    def on_connected(self) -> None:
        self.request, admin_connections = Request(), self.node.admin_connections
        admin_connections[self] = None
        if len(admin_connections) > self.node.limits.max_admin_connections:
            # Connections with incomplete requests must not lock others out: the oldest one is closed.
            incomplete = (one for one in admin_connections if not one.request.done)
            oldest = next(incomplete, next(iter(admin_connections)))
            oldest.reply(503, "too many callers\n", "many-callers")
        self.expire_after(limits.ADMIN_REQUEST_SECONDS, self.on_expired)
        self.wake()

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.node.admin_connections.pop(self, None)

    def on_expired(self) -> None:
        self.reply(408, "no whole call came\n", "no-whole-call")

    def ready(self) -> None:
        """Read what has arrived, and answer the request once it is complete."""
        if self.request.done:
            return  # its outcome is awaited
        try:
            had_head = self.request.method
            self.request.feed(self.received.take(self.received.length) if self.received.length else b"")
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
            ROUTES[path][1](self)

    def respond(self, status: int, text: str) -> None:
        """Answer the request."""
        self.reply(status, text, self.request.path)

    def reply(self, status: int, text: str, reason: str, allow: str = "") -> None:
        """Send the response and close the connection.

        `reason`: of its end, for the log; `allow`: the method that the path allows, if that is the error."""
        self.node.admin_connections.pop(self, None)
        self.write(response(status, text, allow))
        self.finish(reason, status=status)


def ready(connection: AdminConnection) -> None:
    """Answer `/_ready`: whether this process takes requests."""
    if connection.node.can_serve():
        connection.respond(200, "ready\n")
    else:
        connection.respond(503, "not ready\n")


def show_metrics(connection: AdminConnection) -> None:
    """Answer `/_vars` with all metrics."""
    connection.respond(200, metrics.text(metrics.collect(connection.node)))


def detach(connection: AdminConnection) -> None:
    """Detach the server that the body names: it gets no new connections."""
    give_order(connection, cordon=True)


def attach(connection: AdminConnection) -> None:
    """Attach the server that the body names again."""
    give_order(connection, cordon=False)


def give_order(connection: AdminConnection, cordon: bool) -> None:
    """Detach (`cordon`) or attach a server at all processes of the balancer.

    Repeated orders succeed, as the server is in the requested state."""
    name = connection.request.body.decode("utf-8", "replace").strip()
    applied = (200, "out\n" if cordon else "back\n")

    def respond(outcome: OrderOutcome) -> None:
        connection.respond(*FAILED_ORDERS.get(outcome, applied))

    connection.node.hot_restart.give_order(name, cordon, respond)


# Status and text for orders that were not applied.
FAILED_ORDERS = {
    OrderOutcome.UNKNOWN_SERVER: (404, "no such server\n"),
    OrderOutcome.UNCONFIRMED: (503, "the serving process has not confirmed this, call again\n"),
}

ROUTES = {
    "/_ready": ("GET", ready),
    "/_vars": ("GET", show_metrics),
    "/_servers/detach": ("POST", detach),
    "/_servers/attach": ("POST", attach),
}
