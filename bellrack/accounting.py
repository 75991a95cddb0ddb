"""The books that each host of the decisions keeps: servers as last listed, calls and their legs."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from typing import Any

from bellrack import model
from bellrack.choice import Balancer
from bellrack.model import Call, Leg, Result, Server, Settings

# Of a server, by the names of the decisions; not what is open there: that comes with the connections.
TIMES = ("bad_until", "issued_at", "warm_at", "told", "cut", "out_since")  # of these, seconds of its clock
LEARNED = {
    "weight": "failure_weight",
    "fails": "consecutive_failures",
    "bad_until": "unhealthy_until",
    "issued": "tokens_issued",
    "issued_at": "tokens_issued_at",
    "taken": "tokens_used",
    "warm_at": "warm_at",
    "delay": "delay_ratio",
    "told": "delay_reported_at",
    "holds": "delay_valid_for",
    "ceiling": "limit",
    "cut": "limit_cut_at",
    "out_since": "cordoned_at",
}  # names in JSON -> attributes of ServerState


class Accounting:
    """One balancer with its records. Hosts derive from it and add what the balancer may do, its Host."""

    def __init__(self, settings: Settings, seed: int, now: float, decides: Callable[..., Any] = Balancer):
        self.settings, self.now = settings, now
        self.servers: dict[int, Server] = {}  # by mark
        self.balancer = decides(settings, seed, self)

    def new_call(self, kind: int, wait: float, **fields) -> Call:
        return Call(self.settings.types[kind], self.now + wait, self.now, **fields)

    def begin_leg(self, call: Call, server: Server) -> Leg:
        leg = Leg(call, server, self.now)
        call.legs.append(leg)
        return leg

    def resume_leg(self, leg: Leg) -> None:
        """It stood before this instance started."""
        leg.established = True
        self.balancer.on_resumed(leg)

    def leg_established(self, leg: Leg) -> None:
        leg.established = True
        self.balancer.on_established(leg)

    def leg_ended(self, leg: Leg, result: Result, final: bool) -> None:
        """The first result of a leg; `final` if the call is served or nothing is owed any more."""
        leg.result = result
        leg.call.done = leg.call.done or final
        self.balancer.on_leg_ended(leg, result)

    def apply_entries(
        self,
        rows: Iterable[tuple[int, str, int, int, float, float, int]],
        whole: bool,
        kept: Container[int] = (),
    ) -> None:
        """Entries as mark, state, cell, zone, weight, start, machine; whoever a whole list lacks is gone, but
        for the marks that are kept."""
        changed = []
        for mark, state, cell, zone, weight, since, machine in rows:
            server = self.servers.setdefault(mark, Server(mark))
            server.state, server.cell, server.zone, server.started_at = state, cell, zone, since
            server.weight, server.machine_type = weight, machine
            changed.append(server)
        if whole:
            named = set(changed)
            for server in self.servers.values():
                if server not in named and server.state != model.GONE and server.id_hash not in kept:
                    server.state = model.GONE
                    changed.append(server)
        self.balancer.on_servers_listed(changed)

    def export_learned(self) -> dict[str, Any]:
        """What this instance has learned, in plain values, for one that takes its place."""
        return {
            "bears": self.balancer.slow_start.proven_load,
            "servers": {
                str(mark): {
                    name: getattr(server.local_state, attribute) for name, attribute in LEARNED.items()
                }
                for mark, server in self.servers.items()
                if server.state != model.GONE
            },
        }

    def import_learned(self, learned: dict[str, Any], clock_ahead: float = 0.0) -> None:
        """Begin with what another instance had learned. Values of another form are left. `clock_ahead`:
        seconds by
        which our clock is ahead of the one that it was told by."""
        bears = learned.get("bears")
        if isinstance(bears, float | int):
            self.balancer.slow_start.proven_load = max(self.balancer.slow_start.proven_load, bears)
        for mark, values in learned.get("servers", {}).items():
            server = self.servers.get(int(mark))
            for name, attribute in LEARNED.items() if server else ():
                if type(values.get(name)) in (int, float):
                    shift = clock_ahead if name in TIMES else 0
                    setattr(server.local_state, attribute, values[name] + shift)

    def may_move_later(self, leg: Leg) -> None:
        """The host did not carry out a move: the decisions may choose this connection again."""
        if leg.established and leg.result is None:
            leg.server.local_state.established_legs[leg] = None

    def forget_server(self, server: Server) -> None:
        """One that is gone and holds nothing of ours; listed again, it is a new one."""
        del self.servers[server.id_hash]
        self.balancer.fleet.remove(server)

    def server(self, mark: int) -> Server:
        """A server by its mark; one that no list has named counts as gone."""
        if mark not in self.servers:
            self.servers[mark] = Server(mark, state=model.GONE)
            self.balancer.on_servers_listed([self.servers[mark]])
        return self.servers[mark]
