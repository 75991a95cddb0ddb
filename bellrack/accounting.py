"""Records that every host of the decisions keeps: the servers as last listed, the calls and their legs."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from typing import Any

from bellrack import model
from bellrack.choice import Balancer
from bellrack.model import Call, Leg, Result, Server, Settings

# What an instance hands to its successor about each server: names in JSON -> attributes of ServerState. An
# older build reads the same names. Open legs are left out: they follow with the connections themselves.
# TIMES: those of the names whose values are instants on the clock of the instance, in seconds.
TIMES = ("bad_until", "issued_at", "warm_at", "told", "cut", "out_since")
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
}


class Accounting:
    """One balancer with its records. Hosts derive from it and implement `model.Host` beside it."""

    def __init__(self, settings: Settings, seed: int, now: float, decides: Callable[..., Any] = Balancer):
        self.settings, self.now = settings, now
        self.servers: dict[int, Server] = {}  # by id_hash
        self.balancer = decides(settings, seed, self)

    def new_call(self, kind: int, wait: float, **fields) -> Call:
        """Returns a call of the traffic type with index `kind`, whose client waits `wait` seconds."""
        return Call(self.settings.types[kind], self.now + wait, self.now, **fields)

    def begin_leg(self, call: Call, server: Server) -> Leg:
        """Records that the call is sent to the server now."""
        leg = Leg(call, server, self.now)
        call.legs.append(leg)
        return leg

    def resume_leg(self, leg: Leg) -> None:
        """Records a connection that was established before this instance started."""
        leg.established = True
        self.balancer.on_resumed(leg)

    def leg_established(self, leg: Leg) -> None:
        """Records that the leg's connection is established."""
        leg.established = True
        self.balancer.on_established(leg)

    def leg_ended(self, leg: Leg, result: Result, final: bool) -> None:
        """Records the result of a leg, which is its only one. `final`: the call is served, or its client is
        owed nothing any more."""
        leg.result = result
        leg.call.done = leg.call.done or final
        self.balancer.on_leg_ended(leg, result)

    def apply_entries(
        self,
        rows: Iterable[tuple[int, str, int, int, float, float, int]],
        whole: bool,
        kept: Container[int] = (),
    ) -> None:
        """Applies entries of a list: id_hash, state, cell, zone, weight, start, machine type.

        If the list is `whole`, every server that it lacks counts as gone, except those whose id_hash is in
        `kept`."""
        changed = []
        for id_hash, state, cell, zone, weight, started_at, machine_type in rows:
            server = self.servers.setdefault(id_hash, Server(id_hash))
            server.state, server.cell, server.zone, server.started_at = state, cell, zone, started_at
            server.weight, server.machine_type = weight, machine_type
            changed.append(server)
        if whole:
            named = set(changed)
            for server in self.servers.values():
                if server not in named and server.state != model.GONE and server.id_hash not in kept:
                    server.state = model.GONE
                    changed.append(server)
        self.balancer.on_servers_listed(changed)

    def export_learned(self) -> dict[str, Any]:
        """Returns what this instance has learned about servers, as plain values for its successor."""
        return {
            "bears": self.balancer.slow_start.proven_load,
            "servers": {
                str(id_hash): {
                    name: getattr(server.local_state, attribute) for name, attribute in LEARNED.items()
                }
                for id_hash, server in self.servers.items()
                if server.state != model.GONE
            },
        }

    def import_learned(self, learned: dict[str, Any], clock_ahead: float = 0.0) -> None:
        """Takes over what another instance exported. Values of a wrong type are skipped.

        `clock_ahead`: seconds by which this instance's clock is ahead of the other's."""
        proven_load = learned.get("bears")
        if isinstance(proven_load, float | int):
            self.balancer.slow_start.proven_load = max(self.balancer.slow_start.proven_load, proven_load)
        for id_hash, values in learned.get("servers", {}).items():
            server = self.servers.get(int(id_hash))
            for name, attribute in LEARNED.items() if server else ():
                if type(values.get(name)) in (int, float):
                    shift = clock_ahead if name in TIMES else 0
                    setattr(server.local_state, attribute, values[name] + shift)

    def may_move_later(self, leg: Leg) -> None:
        """Records that the host did not carry out a move: the decisions may choose this connection again."""
        if leg.established and leg.result is None:
            leg.server.local_state.established_legs[leg] = None

    def forget_server(self, server: Server) -> None:
        """Drops a server that is gone and holds no leg of this balancer. Listed again, it is a new server."""
        del self.servers[server.id_hash]
        self.balancer.fleet.remove(server)

    def server(self, id_hash: int) -> Server:
        """Returns the server with this id_hash. One that no list has named is added as gone."""
        if id_hash not in self.servers:
            self.servers[id_hash] = Server(id_hash, state=model.GONE)
            self.balancer.on_servers_listed([self.servers[id_hash]])
        return self.servers[id_hash]
