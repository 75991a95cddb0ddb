"""Hosts the instances of a simulated run: translates between records of the wire and the decisions."""

from __future__ import annotations

import json
import traceback
from collections.abc import Callable
from typing import Any

from bellrack import model
from bellrack.accounting import Accounting
from bellrack.choice import Balancer
from bellrack.model import Call, Leg, Result, Server, Settings
from bellrack.settings import parse_settings
from bellrack.simulator import wire
from bellrack.simulator.wire import WireError

# Codes on the wire -> states of a server and results of a leg.
STATES = {0: model.GONE, 1: model.READY, 2: model.DRAINING}
RESULTS = {
    10: model.COMPLETED,
    20: model.ERROR,
    30: model.FULL,
    40: model.TIMEOUT,
    50: model.NO_CONN,
    60: model.RESET,
    70: model.CANCELLED,
    80: model.MOOT,
}
DELTA, FULL_LIST, CACHED, FAILED = 0, 1, 2, 3  # kinds of the event Members


class Instance(Accounting):
    """One balancer of the simulated tier, and its host.

    `who` is its number on the wire, `clock` the time in microseconds, `reply` the reply being written.
    """

    def __init__(
        self,
        who: int,
        seed: int,
        settings: Settings,
        clock: int,
        reply: wire.Reply,
        decides: Callable[..., Any] = Balancer,
    ):
        self.who, self.reply = who, reply
        self._calls: dict[int, Call] = {}  # by xid, while they are open
        self._xids: dict[Call, int] = {}  # the reverse
        self._timers: dict[int, Any] = {}  # what `on_timer` gets, by nonce
        self._nonce = 0
        super().__init__(settings, seed, clock / 1e6, decides)

    # The methods of `model.Host`.

    def send(self, call: Call, server: Server, until: float) -> Leg:
        leg = self.begin_leg(call, server)
        self.reply.add(self.who, "Forward", self._xids[call], server.id_hash, _micros(until))
        return leg

    def cancel(self, leg: Leg) -> None:
        self.reply.add(self.who, "Cancel", self._xids[leg.call], leg.call.legs.index(leg))

    def reject(self, call: Call, wait: float = 0.0) -> None:
        self._end(call, "Deny", _micros(wait))

    def release(self, call: Call) -> None:
        self._end(call, "ReportFailure")

    def move(self, call: Call) -> None:
        self.reply.add(self.who, "Shift", self._xids[call])

    def watch(self, on: bool = True) -> None:
        self.reply.add(self.who, "KeepInformed", int(on))

    def fetch_list(self) -> None:
        self.reply.add(self.who, "Fetch")

    def probe(self, server: Server) -> None:
        self.reply.add(self.who, "HealthCheck", server.id_hash)

    def send_datagram(self, peer: int | None, data: bytes) -> None:
        self.reply.add_data(self.who, "Notify", data, wire.EVERY_PEER if peer is None else peer)

    def set_timer(self, when: float, what: Any) -> None:
        self._nonce += 1
        self._timers[self._nonce] = what
        self.reply.add(self.who, "SetAlarm", _micros(when), self._nonce)

    def log(self, text: str) -> None:
        self.reply.add_data(self.who, "JournalLine", text.encode())

    def _end(self, call: Call, action: str, *values: int) -> None:
        call.done = True
        self.reply.add(self.who, action, self._xids[call], *values)
        self._forget(call)

    def _forget(self, call: Call) -> None:
        """Drops a call that is done and has no open leg."""
        if call.done and call in self._xids and all(leg.result for leg in call.legs):
            del self._calls[self._xids.pop(call)]

    # Events, by their names on the wire.

    def dispatch(self, name: str, values: tuple, pools: dict[int, list[tuple]]) -> None:
        """Handles an event. `pools`: the lists of servers by number. Raises WireError."""
        if name == "Members":
            self._members(*values, pools)
        else:
            getattr(self, "_on_" + name.lower())(*values)

    def _on_inbound(self, xid, affinity, remaining, group, cost, customer, bits, priority):
        call = self._open_call(xid, affinity, remaining, group, customer, bits, priority)
        self.balancer.on_call(call)

    def _on_preexisting(self, xid, affinity, customer, server, group, remaining, cost, priority, bits):
        call = self._open_call(xid, affinity, remaining, group, customer, bits, priority)
        self.resume_leg(self.begin_leg(call, self.server(server)))

    def _on_flowing(self, xid, server, took, number):
        self.leg_established(self._leg("Flowing", xid, number))

    def _on_notice(self, xid, server, x, number, sort):
        leg = self._leg("Notice", xid, number)
        if sort == 1:
            leg.load = x
        elif sort == 2:
            self.balancer.on_delay_reported(leg, x / 1e3)

    def _on_returned(self, xid, number, server, result, took, complete, *report):
        leg = self._leg("Returned", xid, number)
        if leg.result:
            raise WireError(f"Returned.sendNo: leg {number} of call {xid} has ended already")
        self.leg_ended(leg, self._result("Returned", result, took, report), bool(complete))
        self._forget(leg.call)

    def _on_dropped(self, xid):
        if call := self._calls.get(xid):  # the call may have been ended a moment ago
            call.done = True
            self.balancer.on_client_left(call)
            self._forget(call)

    def _on_tickdue(self, nonce):
        if nonce not in self._timers:
            raise WireError(f"TickDue.nonce: no timer {nonce} is set")
        self.balancer.on_timer(self._timers.pop(nonce))

    def _on_pong(self, server, result, took, *report):
        self.balancer.on_probe_result(self.server(server), self._result("Pong", result, took, report))

    def _on_heard(self, by, data):
        self.balancer.on_datagram(by, data)

    def _members(self, kind, roster, revision, pools):
        if kind == FAILED:
            self.balancer.on_discovery_failed()
            return
        if kind not in (DELTA, FULL_LIST, CACHED):
            raise WireError(f"Members.kind: unknown kind {kind}")
        if roster not in pools:
            raise WireError(f"Members.rosterId: no list {roster}")
        rows = []
        for status, pack, area, hint, since, machine, number in pools[roster]:
            if status not in STATES:
                raise WireError(f"Pool.membersList: unknown status {status}")
            rows.append((number, STATES[status], pack, area, hint or 1.0, since / 1e6, machine))
        self.apply_entries(rows, kind != DELTA)

    def _open_call(self, xid, affinity, remaining, group, customer, bits, priority) -> Call:
        if xid in self._calls:
            raise WireError(f"Inbound.xid: call {xid} is open already")
        if priority >= len(self.settings.types):
            raise WireError(f"Inbound.priority: no traffic type {priority}")
        call = self.new_call(
            priority,
            remaining / 1e6,
            key=affinity,
            group=group,
            tenant=customer,
            repeat=bool(bits & 2),
            midflow=bool(bits & 8),
            returned=bool(bits & 16),
        )
        self._calls[xid] = call
        self._xids[call] = xid
        return call

    def _leg(self, event: str, xid: int, number: int) -> Leg:
        call = self._calls.get(xid)
        if call is None:
            raise WireError(f"{event}.xid: call {xid} is not open")
        if number >= len(call.legs):
            raise WireError(f"{event}.sendNo: call {xid} has no leg {number}")
        return call.legs[number]

    def _result(self, event: str, code: int, took: int, report: tuple) -> Result:
        if code not in RESULTS:
            raise WireError(f"{event}.result: unknown outcome {code}")
        return Result(RESULTS[code], took / 1e6, tuple(report[1 : 1 + report[0]]))


class Adapter:
    """All instances of this process. `decides`: the class of the balancers."""

    def __init__(self, decides: Callable[..., Any] = Balancer) -> None:
        self.instances: dict[int, Instance] = {}
        self._decides = decides
        self._pools: dict[int, list[tuple]] = {}  # lists of servers by number
        self._last: tuple[int, int] | None = None  # number and clock of the last batch

    def answer(self, batch: wire.Batch) -> wire.Reply:
        """Passes each event to its instance, and returns the reply with their actions. Raises WireError."""
        if self._last and (batch.number <= self._last[0] or batch.clock < self._last[1]):
            raise WireError(f"batch {batch.number}: out of order, after batch {self._last[0]}")
        self._last = batch.number, batch.clock
        reply, who = wire.Reply(batch.number), None
        for index, (name, values) in enumerate(batch):
            if name == "On":
                who = values[0]
            elif name == "Pool":
                self._pools[values[0]] = wire.entries(values[1])
            elif who is None:
                raise WireError(f"batch {batch.number}, record {index}: {name} before any On")
            elif name == "Exit":
                self.instances.pop(who, None)
            else:
                try:
                    self._event(who, name, values, batch.clock, reply)
                except WireError as error:
                    raise WireError(f"batch {batch.number}, record {index}: {error}") from error
                except Exception:  # an error in a decision ends the run, with its traceback
                    reply.add_data(who, "Bug", traceback.format_exc(limit=-4).encode())
                    return reply
        return reply

    def _event(self, who: int, name: str, values: tuple, clock: int, reply: wire.Reply) -> None:
        if name == "Launch":
            try:
                settings = parse_settings(json.loads(values[1]))
            except ValueError as error:
                raise WireError(f"Launch.setup: {error}") from error
            self.instances[who] = Instance(who, values[0], settings, clock, reply, self._decides)
            return
        instance = self.instances.get(who)
        if instance is None:
            raise WireError(f"{name} for instance {who}, which has not been launched")
        instance.now, instance.reply = clock / 1e6, reply
        instance.dispatch(name, values, self._pools)


def _micros(seconds: float) -> int:
    return max(0, round(seconds * 1e6))
