"""Checks the four rules on the event trace of a run.

Inputs are the trace entries in order of time and the settings of the scenario; the bookkeeping of balancers,
the counters of a run and the state of servers are not read. A breach is therefore something that clients,
servers or discovery observed, in a virtual-time run and in a loopback run alike.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from bellrack.lab.scenario import Kind, Scenario, Type, server_names
from bellrack.model import NEVER_RAN, ONCE_ONLY, READY, REFERENCED

# A call without an open leg may wait this long after its setup target, or after its last leg, to be given up.
MAX_HOLD_SECONDS = 0.1
MAX_BREACHES_KEPT = 50  # for each rule; further ones are only counted
# The fall of a cold server breaches rule 4 if more than this share of its requests came from balancers that
# had been told of its start.
INFORMED_SHARE = 2 / 3


@dataclass(eq=False)
class Breach:
    """A breach of a rule; `what` stands in results."""

    rule: int
    at: float  # seconds on the run's clock
    what: str
    call: int | None = None


@dataclass(eq=False)
class Leg:
    """What the trace shows of one leg. Times are seconds on the run's clock."""

    number: int
    server: str
    sent: float
    kind: str | None = None  # its result, as reported to the balancer
    ended: float = 0.0


@dataclass(eq=False)
class Call:
    """What the trace shows of one call. Times are seconds on the run's clock."""

    number: int
    balancer: str
    request: int
    type: Type
    received_at: float
    guard: float
    answer: str | None = None
    client_left_at: float | None = None  # when the balancer learned that the client had left
    balancer_ended: bool = False
    legs: list[Leg] = field(default_factory=list)


class RuleChecker:
    """Checks one trace.

    Two arguments allow for traces of real sockets: `slack` (seconds) is added to each time limit; `unseen` is
    the time (seconds) that a call may spend on connections that never come up, which no trace shows.
    """

    def __init__(self, scenario: Scenario, slack: float = 0.0, unseen: float = 0.0):
        self.scenario, self.slack, self.unseen = scenario, slack, unseen
        names = server_names(scenario)
        kinds: dict[str, Kind] = {kind.name: kind for kind in scenario.kind}
        self.kinds = {name: kinds[row.kind] for name, row in names}
        self.zones = {name: row.zone for name, row in names}
        self.cells = {name: number % scenario.cells for number, (name, _) in enumerate(names)}
        self.calls: dict[int, Call] = {}
        self.effects: dict[int, int] = {}  # number of effects, by request
        # By balancer and server: state, and since when.
        self.told: dict[tuple[str, str], tuple[str, float]] = {}
        # By call: a leg that seemed open when the next one was sent, and when that was.
        self.overlaps: dict[int, tuple[Leg, float]] = {}
        self.cold_since: dict[str, float] = {}  # starts of the servers that were restarted
        # By cold server: time of each request, and whether its balancer had been told of the start.
        self.cold_requests: dict[str, deque[tuple[float, bool]]] = {}
        self.breaches: list[Breach] = []
        self.counts = {1: 0, 2: 0, 3: 0, 4: 0}

    def breach(self, rule: int, at: float, what: str, call: int | None = None) -> None:
        """Records a breach."""
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_BREACHES_KEPT:
            self.breaches.append(Breach(rule, at, what, call))

    def check(self, entries: Iterable[tuple]) -> list[Breach]:
        """Checks a whole trace; returns the breaches in the order in which they were found."""
        last = 0.0
        for last, kind, *fields in entries:
            handler = getattr(self, f"on_{kind}", None)
            if handler:
                handler(last, *fields)
        for number, (_, since) in self.overlaps.items():
            self.breach(2, since, "two legs out", number)
        for call in self.calls.values():
            if self.is_owed(call) and last > call.guard + self.answer_grace:
                self.breach(1, call.guard, "never answered", call.number)
        return self.breaches

    @property
    def answer_grace(self) -> float:
        """Seconds after the guard time in which an answer is still in time."""
        return self.scenario.rules.answer_slack + self.slack

    def is_owed(self, call: Call) -> bool:
        """Whether the call is still owed an answer.

        A client that leaves at its guard time or later has waited in vain: its call counts as unanswered.
        """
        return (
            call.answer is None
            and not call.balancer_ended
            and (call.client_left_at is None or call.client_left_at >= call.guard)
        )

    # Handlers of trace entries, by kind. Rule 1.

    def on_call(self, now: float, number: int, balancer: str, request: int, kind: int, guard: float) -> None:
        self.calls[number] = Call(number, balancer, request, self.scenario.type[kind], now, guard)

    def on_stood(self, now: float, number: int, balancer: str, server: str) -> None:
        self.calls[number] = Call(
            number,
            balancer,
            -number,
            self.scenario.type[0],
            now,
            now,
            "completed",
            legs=[Leg(1, server, now)],
        )

    def on_answer(self, now: float, number: int, how: str, wait: float) -> None:
        call = self.calls[number]
        if call.answer is not None:
            self.breach(1, now, f"a second answer, {how} after {call.answer}", number)
        elif now > call.guard + self.answer_grace:
            self.breach(1, now, f"answered {now - call.guard:.3f} s after the guard time", number)
        call.answer = call.answer or how
        if how == "completed":
            return
        idle_since = max([call.received_at + call.type.setup_target, *(leg.ended for leg in call.legs)])
        if (
            all(leg.kind for leg in call.legs)
            and now > idle_since + MAX_HOLD_SECONDS + self.slack + self.unseen
        ):
            self.breach(1, now, f"{how} held back for {now - idle_since:.3f} s", number)
        if how == "rejected" and (possibly_run := self.possibly_run(call)):
            # A reject tells the client that a retry is harmless.
            all_drop_repeats = call.type.effect == REFERENCED and call.type.group == "all"
            if call.type.effect == ONCE_ONLY or call.type.effect == REFERENCED and not all_drop_repeats:
                self.breach(
                    2, now, f"{call.type.effect} rejected, may have run on {possibly_run[0].server}", number
                )

    def on_gone(self, now: float, number: int) -> None:
        call = self.calls[number]
        call.client_left_at = now if call.client_left_at is None else call.client_left_at

    def on_stop(self, now: float, balancer: str, how: str) -> None:
        for call in self.calls.values():
            if call.balancer == balancer and not call.balancer_ended:
                established = call.answer == "completed" and call.legs and call.legs[-1].kind is None
                if how == "left" and (
                    established or self.is_owed(call) and now < call.guard + self.answer_grace
                ):
                    self.breach(1, now, "cut off by a balancer on its way out", call.number)
                call.balancer_ended = True

    # Rules 2 and 3.

    def possibly_run(self, call: Call) -> list[Leg]:
        """The legs that may have taken effect."""
        return [leg for leg in call.legs if leg.kind not in NEVER_RAN]

    def on_leg(self, now: float, number: int, order: int, balancer: str, server: str) -> None:
        call = self.calls[number]
        if call.answer is not None or call.client_left_at is not None:
            self.breach(1, now, f"a leg after its end ({call.answer or 'client gone'})", number)
        if open_legs := [leg for leg in call.legs if leg.kind is None]:
            if self.slack:
                # On sockets, the leg may have ended before, and its end be observed a moment later.
                self.overlaps[number] = open_legs[0], now
            else:
                self.breach(2, now, "two legs out", number)
        if len(call.legs) >= self.scenario.rules.max_legs:
            self.breach(2, now, f"more than {self.scenario.rules.max_legs} legs", number)
        possibly_run, kind = self.possibly_run(call), call.type
        if possibly_run and kind.effect == ONCE_ONLY:
            self.breach(2, now, f"once-only sent again after {possibly_run[0].kind}", number)
        elif possibly_run and kind.effect == REFERENCED:
            if now > possibly_run[0].sent + kind.remembered + self.slack:
                self.breach(2, now, "referenced sent again when it is forgotten", number)
            elif not self.same_group(kind, possibly_run[0].server, server):
                self.breach(2, now, f"referenced sent again outside its {kind.group}", number)
        call.legs.append(Leg(order, server, now))
        state, since = self.told.get((balancer, server), (READY, now))
        if state != READY and now > since + self.scenario.rules.drain_grace + self.slack:
            self.breach(3, now, f"sent to {server}, told {state} {now - since:.3f} s before", number)

    def same_group(self, kind: Type, one: str, other: str) -> bool:
        """Whether both servers drop each other's repeats of this traffic type."""
        if kind.group == "all":
            return True
        return (self.zones if kind.group == "zone" else self.cells)[one] == (
            self.zones if kind.group == "zone" else self.cells
        )[other]

    def on_back(self, now: float, number: int, order: int, kind: str) -> None:
        for leg in self.calls[number].legs if number in self.calls else ():
            if leg.number == order:
                leg.kind, leg.ended = kind, now
        if number in self.overlaps and self.overlaps[number][0].number == order:
            _, since = self.overlaps.pop(number)
            if now > since + self.slack:
                self.breach(2, since, f"two legs out for {now - since:.3f} s", number)

    def on_ran(self, now: float, number: int, order: int, server: str) -> None:
        call = self.calls[number]
        self.effects[call.request] = self.effects.get(call.request, 0) + 1
        if self.effects[call.request] > 1 and call.type.effect in (ONCE_ONLY, REFERENCED):
            self.breach(2, now, f"{call.type.effect} took effect {self.effects[call.request]} times", number)

    def on_told(self, now: float, balancer: str, server: str, state: str) -> None:
        previous = self.told.get((balancer, server))
        if previous is None or previous[0] != state or state == READY:
            self.told[balancer, server] = state, now

    # Rule 4.

    def on_server(self, now: float, server: str, what: str) -> None:
        self.cold_requests.pop(server, None)
        if what == "cold":
            self.cold_since[server] = now
        elif what in ("down", "fell"):
            self.cold_since.pop(server, None)

    def on_work(
        self, now: float, server: str, number: int, work: float, demand: float, capacity: float
    ) -> None:
        start, rules = self.cold_since.get(server), self.scenario.rules
        if start is None or now >= start + self.kinds[server].warm_up:
            return
        told = self.told.get((self.calls[number].balancer, server)) if number in self.calls else None
        requests = self.cold_requests.setdefault(server, deque())
        requests.append((now, told is not None and told[0] == READY and told[1] >= start))
        while requests[0][0] <= now - rules.push_window:
            requests.popleft()
        if self.scenario.overloads_cold_server(len(requests), self.kinds[server], capacity):
            del self.cold_since[server]  # it has fallen; later requests are no second fall
            if sum(informed for _, informed in requests) > INFORMED_SHARE * len(requests):
                self.breach(
                    4,
                    now,
                    f"{server}, cold, fell under {len(requests)} requests in {rules.push_window:g} s",
                    number,
                )
