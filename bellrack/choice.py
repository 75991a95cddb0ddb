"""All decisions of bellrack, and all its settings.

A host makes one Balancer(settings, seed, host) for each instance and tells it what happens through the
methods named in bellrack/model.py, where the interface and the types are; the balancer acts through the Host
it was given.
A call runs down the chain of AnswerStage, ListedStage, EffectStage, ZoneStage and SelectionStage;
what becomes of its leg runs back
up. SlowStart is asked by ZoneStage which servers may take one more.
"""

from __future__ import annotations

import math

from bellrack import model
from bellrack.chain import Stage, link
from bellrack.discovery_retry import RetrySchedule
from bellrack.model import Call, Host, Leg, Result, Server, Settings
from bellrack.peers.overload import OverloadDetector
from bellrack.rng import Rng, lcg_step

SPILLOVER_RATIO = 0.5  # least healthy share of our zone that keeps new connections in it
UNHEALTHY_AFTER_FAILURES, UNHEALTHY_SECONDS = (
    3,
    5.0,
)  # in a row mark a server unhealthy; seconds that the mark holds
MIN_FAILURE_WEIGHT, WEIGHT_REGAIN = (
    0.05,
    0.1,
)  # least weight that failures leave; weight that a connection that stands adds
SETUP_FAILURE_SECONDS = 2.0  # a connection dropped within this many seconds of standing was a failed set-up
OVERLOAD_DELAY_RATIO = (
    0.5  # a message delay of this share of the shortest message aim closes a server to new connections
)
NOTICE_VALID_SECONDS, OBSERVATION_VALID_SECONDS = (
    1.5,
    3.0,
)  # seconds that one notice of delay holds; that other signs of it do
LIMIT_SHARE, RESET_LIMIT_SHARE = (
    0.95,
    0.6,
)  # of what a swamped server held then; where none says so before it resets
LIMIT_GROWTH_PER_SECOND, FLEET_LIMIT_SHARE = (
    0.03,
    0.9,
)  # regrown a second; of all held, each second that zones are not calm
MIN_MEASURABLE_LEGS = 8  # own connections, of which a share measures nothing where that of all is known
LIMIT_CUT_INTERVAL_SECONDS = 0.9  # seconds between cuts of a ceiling
MOVE_SHARE, MAX_MOVE_FACTOR = (
    0.15,
    4.0,
)  # of own connections moved at a late notice; most times that, by delay
REBALANCE_INTERVAL_SECONDS, REBALANCE_SHARE = (
    1.0,
    0.05,
)  # seconds between looks at connections that cross zones; share called home
CALM_AFTER_SECONDS = 5.0  # seconds since the last late message make a server calm
MAX_CANDIDATES_TRIED, MAX_GROUP_CANDIDATES_UNSEEN = (
    3,
    1,
)  # servers, in the order of a call's lots, asked for room; for a group, if blind
GROUP_HOLDERS_TIME_SHARE, GROUP_HOLDER_LEGS = (
    0.5,
    2,
)  # of the setup target only holders of its group are asked; connections make one
MAX_LOAD_OVER_MEAN = 1.25  # a server this far over the mean of open load is passed over
MAX_ANSWER_MARGIN_SHARE = 0.25  # of a call's wait, at most, is kept for the answer's way
PACE_SHARE_PER_SECOND, MIN_PACE_PER_SECOND = (
    0.5,
    8.0,
)  # legs a second to a warm server: share of what it holds; never held back
SLOW_START_FACTOR, RUSH_FACTOR = (
    2.0,
    1.5,
)  # a cold server's fill over an even one, at most; a rush's calls, by what is usual
ASSUMED_CONNECTIONS_PER_CAPACITY = (
    12.0  # open connections by listed size, of all balancers, that a server bears for sure
)
REPORT_VALID_SECONDS, FULL_REPORT_VALID_SECONDS, PROBE_WAIT_SECONDS = (
    1.0,
    2.0,
    0.1,
)  # seconds: a report stands, a full one, a call waits for it
FULL_LOAD, FULL_LOAD_STEP = (
    0.9,
    0.2,
)  # of what a server can do, it takes nothing new; less at each further lot
PUBLISH_INTERVAL_SECONDS, CACHE_SECONDS = (
    0.5,
    0.1,
)  # seconds between words to other balancers; for which sums are used again
CORDON_MOVE_INTERVAL_SECONDS, CORDON_MOVE_SHARE = (
    0.1,
    0.2,
)  # seconds between moves off a server out by hand; share moved
QUEUE_INTERVAL_SECONDS, MAX_QUEUE_TRIES = (
    0.05,
    24,
)  # seconds between looks at kept calls; how many may be tried in vain at one
RETRY_AFTER_SHARE, QUEUE_TIME_SHARE = (
    1 / 3,
    0.8,
)  # of the longest wait that clients honour; of the setup target, kept


class AnswerStage(Stage):
    """Rule 1: each call gets one final answer by its guard time, and nothing after it."""

    def on_call(self, call: Call) -> None:
        self.host.set_timer(self.answer_by(call), call)
        self.handle(call)

    def handle(self, call: Call) -> None:
        if call.done:
            return
        if len(call.legs) >= self.settings.max_legs:
            self.give_up(call, "max-attempts")
        elif self.host.now >= self.answer_by(call):
            self.give_up(call, "deadline")
        else:
            self.next.handle(call)

    def answer_by(self, call: Call) -> float:
        return call.deadline - min(
            self.settings.answer_margin, MAX_ANSWER_MARGIN_SHARE * (call.deadline - call.arrived)
        )

    def due(self, call: Call) -> None:
        """The guard time is near: answer whatever is still owed."""
        if not call.done and not any(leg.established for leg in call.legs):
            self.give_up(call, "deadline")

    def give_up(self, call: Call, why: str) -> None:
        """Its one answer; `why` goes to the log."""
        call.refusal = why
        if self.balancer.effect.retry_is_harmless(call):
            self.host.reject(call, RETRY_AFTER_SHARE * self.settings.max_open_wait)
        else:
            self.host.release(call)

    def on_established(self, leg: Leg) -> None: ...

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        if not leg.call.done:
            self.handle(leg.call)


class EffectStage(Stage):
    """Rule 2: no effect twice."""

    def handle(self, call: Call) -> None:
        if any(leg.result is None for leg in call.legs):
            return
        risky, kind = self.possibly_run_legs(call), call.type
        call.write_by = self.latest_write(call)
        if self.host.now >= call.write_by:
            self.balancer.answer.give_up(call, "may-have-run")
            return
        if risky and kind.effect == model.REFERENCED:
            call.candidates = [s for s in call.candidates if self.same_group(call, s, risky[0].server)]
        self.forward_or_queue(call)

    def latest_write(self, call: Call) -> float:
        """Until when the next attempt's line may be written: never where an earlier one may have run and is
        not dropped; only as long as it surely is, also if we are held up before the write."""
        risky = self.possibly_run_legs(call)
        if not risky or call.type.effect == model.REPEATABLE:
            return math.inf
        if call.type.effect == model.ONCE_ONLY:
            return -math.inf
        return risky[0].sent + call.type.key_ttl - model.MAX_STALL_SECONDS - self.settings.tick

    def possibly_run_legs(self, call: Call) -> list[Leg]:
        """Legs that are not known never to have run."""
        return [leg for leg in call.legs if leg.result is None or leg.result.kind not in model.NEVER_RAN]

    def same_group(self, call: Call, one: Server, other: Server) -> bool:
        return call.type.same_group(one, other)

    def retry_is_harmless(self, call: Call) -> bool:
        """May the client be told that trying again does no harm?"""
        dropped = call.type.effect == model.REFERENCED and call.type.group == "all"
        return call.type.effect == model.REPEATABLE or dropped or not self.possibly_run_legs(call)


class ListedStage(Stage):
    """Rule 3: nothing new to a draining or gone server, from the moment we hear of it."""

    ready: list[Server] = []  # as of the last change of the list

    def handle(self, call: Call) -> None:
        call.candidates = self.ready
        self.next.handle(call)


class SlowStart:
    """Rule 4: this instance's part of what a cold server may bear."""

    proven_load, looked = 0.0, -math.inf
    suspended = False  # another process of this balancer has its part

    def __init__(self, balancer: Balancer):
        self.balancer, self.settings, self.host = balancer, balancer.settings, balancer.host

    def accepts(self, server: Server) -> bool:
        """Is it warm, or may it take one more?"""
        return server.local_state.warm_at <= self.host.now or self.may_admit(server)

    def warm_share(self, server: Server) -> float:
        """The share of its capacity that a server surely has by now."""
        left = (server.local_state.warm_at - self.host.now) / self.settings.ramp_time
        return 1.0 - (1.0 - self.settings.cold_share) * min(1.0, left) if left > 0 else 1.0

    def baseline_load(self) -> float:
        """Own open connections by size on listed warm servers that are not late: what one surely bears."""
        if self.host.now >= self.looked + CACHE_SECONDS:
            self.looked, late = self.host.now, self.balancer.selection.reported_overloaded
            warm = [
                s
                for s in self.balancer.fleet
                if s.ready and s.local_state.warm_at <= self.looked and not late(s)
            ]
            size = sum(s.capacity for s in warm)
            self.proven_load = max(
                self.proven_load, sum(s.local_state.open_legs for s in warm) / size if size else 0.0
            )
        return max(self.proven_load, ASSUMED_CONNECTIONS_PER_CAPACITY / self.settings.peers)

    def may_admit(self, server: Server) -> bool:
        under = (
            server.local_state.open_legs + server.local_state.rounding_offset
            < self.baseline_load() * server.capacity
        )
        calm = (
            self.host.now - server.local_state.delay_reported_at > NOTICE_VALID_SECONDS
            and self.balancer.selection.has_room(server)
        )
        return under and calm and self.available_tokens(server) > 0

    def available_tokens(self, server: Server) -> int:
        """Set-ups that may go there now: of all balancers at most the budget in any window. They come evenly
        from when we were told; those not used in time are lost, lest a rush find all of them kept."""
        if self.suspended:
            return 0
        stand, rules, now, bears = (
            server.local_state,
            self.settings,
            self.host.now,
            self.baseline_load() * server.capacity,
        )
        budget, anew = rules.slow_start_budget(self.proven_load, server.capacity * self.warm_share(server))
        rate = min(SLOW_START_FACTOR * bears / rules.ramp_time, anew / rules.fall_time)
        kept = (budget - rate * rules.fall_time) * max(1.0, 1 / (RUSH_FACTOR * bears))
        stand.tokens_issued, stand.tokens_issued_at = (
            stand.tokens_issued + rate * max(0.0, now - stand.tokens_issued_at),
            now,
        )
        stand.tokens_used = max(stand.tokens_used, math.floor(stand.tokens_issued - kept))
        return math.floor(stand.tokens_issued) - stand.tokens_used

    def fleet_allowance(self, server: Server) -> float:
        """What all balancers may send a cold server in `fall_time`: N of the rule."""
        return self.settings.peers * self.settings.slow_start_allowance(
            self.proven_load, server.capacity * self.warm_share(server)
        )

    def suspend(self, on: bool) -> None:
        """Whether another process of this balancer sends to cold servers in our place. When that ends, what
        was issued meanwhile counts as used: two processes are one balancer."""
        self.suspended = False
        for server in self.balancer.fleet:
            self.use_up_tokens(server)
        self.suspended = on

    def may_write(self, server: Server) -> bool:
        """May a set-up that was sent earlier go out now? Counts it if so. Guards against connections that
        come up late, and then together: what a cold server bears counts when lines come there."""
        now, rules, stand = self.host.now, self.settings, server.local_state
        if stand.warm_at <= now:
            return True
        budget, _ = rules.slow_start_budget(self.proven_load, server.capacity * self.warm_share(server))
        while stand.recent_setups and stand.recent_setups[0] <= now - rules.fall_time:
            stand.recent_setups.popleft()
        if len(stand.recent_setups) >= max(1, math.floor(budget + 1 / rules.peers)):
            return False
        stand.recent_setups.append(now)
        return True

    def use_up_tokens(self, server: Server) -> None:
        """What was issued so far may have been used by a process before us."""
        if server.local_state.warm_at > self.host.now:
            server.local_state.tokens_used += max(0, self.available_tokens(server))

    def record_setup(self, server: Server) -> None:
        """Slower the more servers are late: guards against a fleet that sheds and is filled at once again."""
        sure, calm = self.baseline_load() * server.capacity, self.balancer.selection.calm_share(server.zone)
        gap = (
            1
            / max(
                PACE_SHARE_PER_SECOND * max(server.local_state.open_legs, sure),
                MIN_PACE_PER_SECOND / self.settings.peers,
            )
            / calm
        )
        # Guards against a mass reconnect that is kept and rejected while servers stand empty.
        sure = max(sure, 2) if self.balancer.overload.has_broadcasts(self.host.now) else sure
        gap *= self.warm_share(server) == 1.0 and (
            server.local_state.open_legs >= sure or calm < SPILLOVER_RATIO
        )
        server.local_state.tokens_used, server.local_state.next_leg_at = (
            server.local_state.tokens_used + 1,
            self.host.now + gap,
        )


class ZoneStage(Stage):
    """The spillover ratio: stay among our zone's healthy servers, or spread over those of all zones."""

    last, looked = 0.0, -math.inf
    limit, cut = math.inf, 0.0

    def handle(self, call: Call) -> None:
        now, selection, server = self.host.now, self.balancer.selection, None
        home = [s for s in call.candidates if s.zone == self.settings.zone]
        if self.share() >= SPILLOVER_RATIO:
            server = selection.pick(call, [s for s in home if s.local_state.unhealthy_until <= now])
        most = self.limit * (1 + LIMIT_GROWTH_PER_SECOND * (now - self.cut)) - 0.5
        if (
            not server
            and self.balancer.open_legs < most
            and not any(map(selection.awaits_report, call.awaited_servers))
        ):
            # Guards against a zone whose servers stand but drown: what finds no room in it leaves; and what
            # finds no room anywhere is kept, lest it be shed and come again.
            healthy = [s for s in call.candidates if s.local_state.unhealthy_until <= now]
            server = selection.pick(call, healthy or home or call.candidates)
        call.candidates = [server] if server else []
        self.forward_or_queue(call)

    def limit_fleet_overload(self) -> None:
        """Guards against a jam of the whole fleet, in which what is moved lands on other late servers."""
        zones = [
            self.balancer.selection.calm_share(zone)
            for zone in dict.fromkeys(s.zone for s in self.balancer.fleet)
        ]
        if sum(zones) < SPILLOVER_RATIO * len(zones):
            held = max(
                self.balancer.open_legs,
                MIN_MEASURABLE_LEGS if self.balancer.overload.has_broadcasts(self.host.now) else 1,
            )
            self.limit, self.cut = FLEET_LIMIT_SHARE * min(self.limit, held), self.host.now

    def rebalance(self) -> None:
        """Guards against connections that cross zones for life: a few come again while our zone is calm."""
        home, now, selection = self.matched(), self.host.now, self.balancer.selection
        calm = [
            s
            for s in home
            if selection.healthy(s)
            and s.local_state.warm_at <= now
            and now - s.local_state.delay_reported_at > CALM_AFTER_SECONDS
        ]
        if home and len(calm) == len(home) and all(map(selection.has_room, home)):
            away = [
                leg
                for s in self.balancer.fleet
                if s.zone != self.settings.zone
                for leg in s.local_state.established_legs
            ]
            selection.move(away, REBALANCE_SHARE)

    def matched(self) -> list[Server]:
        return [s for s in self.balancer.listing.ready if s.zone == self.settings.zone]

    def share(self) -> float:
        """Healthy matched over all matched; a cold server counts as far as it is warm."""
        if self.host.now >= self.looked + CACHE_SECONDS:
            self.looked, matched = self.host.now, self.matched()
            fit = [
                s
                for s in matched
                if self.balancer.selection.healthy(s) and not self.balancer.selection.overloaded(s)
            ]
            self.last = (
                sum(self.balancer.slow_start.warm_share(s) for s in fit) / len(matched) if matched else 0.0
            )
        return self.last


class SelectionStage(Stage):
    """The pick within the set, by failure-driven weight, and the sending."""

    def __init__(self, balancer: Balancer):
        super().__init__(balancer)
        report, tell = self.settings.report, (model.FULLNESS, model.BUSY)
        # Where a report tells how full a server is; without it nothing is asked.
        self.load_field = next((report.index(one) for one in tell if one in report), None)

    def healthy(self, server: Server) -> bool:
        return server.local_state.unhealthy_until <= self.host.now

    def has_room(self, server: Server, full: float = 1.0) -> bool:
        """Not swamped, and under the ceiling found when it last was."""
        stand, slow_start = server.local_state, self.balancer.slow_start
        # Grows as what is usual does: guards against a small holder that was cut for what others hold there.
        grown = (
            LIMIT_GROWTH_PER_SECOND
            * (self.host.now - stand.limit_cut_at)
            * max(stand.limit, slow_start.baseline_load() * server.capacity)
        )
        if self.has_report(server) and stand.reported_load >= full:
            return False
        return not self.overloaded(
            server
        ) and stand.open_legs + stand.rounding_offset < slow_start.warm_share(server) * (stand.limit + grown)

    def overloaded(self, server: Server) -> bool:
        """Told of late messages lately; where we hold nothing and so are told nothing, as its zone fares."""
        stand = server.local_state
        if self.reported_overloaded(server) or self.has_report(server):
            return self.reported_overloaded(server) or stand.reported_load >= 1.0
        unseen = (
            not stand.established_legs
            and stand.warm_at <= self.host.now
            and stand.rounding_offset > self.calm_share(server.zone)
        )
        return unseen and not self.balancer.overload.has_broadcasts(self.host.now)

    def reported_overloaded(self, server: Server) -> bool:
        return (
            server.local_state.delay_ratio >= OVERLOAD_DELAY_RATIO
            and self.host.now - server.local_state.delay_reported_at <= server.local_state.delay_valid_for
        )

    def update_overload_counts(self) -> None:
        """Count, by zone, the servers of which we would be told: those with late messages and all."""
        for seen in self.balancer.seen.values():
            seen[0], seen[1] = seen[0] / 2, seen[1] / 2
        hears = self.balancer.overload.has_broadcasts(self.host.now)
        for server in self.balancer.listing.ready:
            if (
                server.local_state.established_legs
                or hears
                or self.host.now - server.local_state.delay_reported_at <= NOTICE_VALID_SECONDS
            ):
                seen = self.balancer.seen.setdefault(server.zone, [0.0, 0.0])
                seen[0] += self.reported_overloaded(server)
                seen[1] += 1

    def calm_share(self, zone: int) -> float:
        """The share of a zone's servers without late messages, as far as we were told these last seconds."""
        late, heard = self.balancer.seen.get(zone, (0.0, 0.0))
        return (heard - late + 1) / (heard + 1)

    def record_delay(self, server: Server, delay: float, holds: float = OBSERVATION_VALID_SECONDS) -> None:
        """Messages at a server take this share of the shortest message aim, it says or others have seen."""
        if delay >= OVERLOAD_DELAY_RATIO:
            self.cut_limit(server)
        if delay >= 1:
            # Guards against connections that stay where their messages are late: the paper's rule is for new
            # ones, so a few are asked to come again, those first whose group's lots belong here least.
            rest = sorted(
                server.local_state.established_legs, key=lambda leg: -self.rendezvous_score(leg.call, server)
            )
            share = MOVE_SHARE * min(delay, MAX_MOVE_FACTOR)
            # What is moved lowers the ceiling with it: guards against many balancers with a connection each,
            # which hear no more of the server once theirs is moved, and together fill it up again.
            held = server.local_state.open_legs / self.balancer.slow_start.warm_share(server)
            self.lower_limit(server, LIMIT_SHARE * (1 - share) * held)
            self.move(rest, share)
        (
            server.local_state.delay_ratio,
            server.local_state.delay_reported_at,
            server.local_state.delay_valid_for,
        ) = (
            delay,
            self.host.now,
            holds,
        )

    def move(self, legs: list[Leg], share: float) -> None:
        """The first of them, rounded by chance: guards against many balancers that each take a whole one."""
        for leg in legs[: int(share * len(legs) + self.balancer.rng.uniform())]:
            self.host.move(leg.call)
            del leg.server.local_state.established_legs[leg]

    def lower_limit(self, server: Server, ceiling: float) -> None:
        """Not where one of many that know of each other holds one: that is no measure of the server."""
        if server.local_state.open_legs > 1 or not self.balancer.overload.has_broadcasts(self.host.now):
            server.local_state.limit = min(server.local_state.limit, ceiling)

    def cut_limit(self, server: Server) -> None:
        """Lower the server's ceiling, at most once in the time that a notice holds."""
        stand, now, balancer = server.local_state, self.host.now, self.balancer
        if now - stand.limit_cut_at > LIMIT_CUT_INTERVAL_SECONDS:
            # As if warm: guards against a ceiling found while cold that would outlast the warm-up.
            held = stand.open_legs / balancer.slow_start.warm_share(server)
            self.lower_limit(
                server,
                (RESET_LIMIT_SHARE if balancer.overload.nobody_reports_load(now) else LIMIT_SHARE)
                * min(stand.limit, held),
            )
            if now - stand.limit_cut_at > CALM_AFTER_SECONDS:
                self.host.log(f"server swamped: held {stand.open_legs}, ceiling {stand.limit:.1f}")
            stand.limit_cut_at = now

    def pick(self, call: Call, places: list[Server]) -> Server | None:
        """The first lot with room, of few: guards against groups that scatter over what each thinks open.
        Lots fall on cold servers that may take none too: each balancer's part of those is another one."""
        tried = [leg.server for leg in call.legs]
        if not (places := [s for s in places if s not in tried] or places):
            return None
        now, warm = self.host.now, self.balancer.slow_start.warm_share
        sizes = [s.capacity if s.local_state.warm_at <= now else s.capacity * warm(s) for s in places]
        held = self.balancer.fleet_load() or {s: s.local_state.open_legs for s in places}
        mean = MAX_LOAD_OVER_MEAN * sum([held[s] for s in places]) / sum(sizes)
        low = [s for s, size in zip(places, sizes) if held[s] < 1 + mean * size] or places
        # Guards against a server put back that waits long for its lot, by the weight of a cold one.
        missed = [s for s in low if s.local_state.unused_since_uncordon or s.needs_attempt and not call.group]
        missed = [
            s
            for s in missed
            if now >= s.local_state.next_leg_at
            and self.balancer.slow_start.accepts(s)
            and self.has_room(s, FULL_LOAD)
        ]
        held = missed or self.group_holders(call, low)
        for server in held or low:  # kept with the call while it is kept: lots are dear
            if server not in call.scores:
                call.scores[server] = self.rendezvous_score(call, server)
        most = (
            MAX_GROUP_CANDIDATES_UNSEEN if call.group and self.settings.peers_unseen else MAX_CANDIDATES_TRIED
        )
        lots = sorted(held or low, key=call.scores.__getitem__)[:most]
        call.awaited_servers += lots
        for number, server in enumerate(lots):
            if not self.balancer.slow_start.accepts(server):
                continue
            self.request_report(server)
            if self.awaits_report(server):
                return None
            if self.has_room(server, FULL_LOAD - number * FULL_LOAD_STEP):
                return server
        return None

    def group_holders(self, call: Call, places: list[Server]) -> list[Server]:
        """Of the request's group, while only such servers are asked for it."""
        if not call.group or self.may_leave_group(call):
            return []
        group, now, holder = call.group, self.host.now, self.balancer.overload.holds_group
        return [
            s
            for s in places
            if s.local_state.legs_by_group.get(group, 0) >= GROUP_HOLDER_LEGS or holder(s, group, now)
        ]

    def may_leave_group(self, call: Call) -> bool:
        """Guards against calls that are rejected for a full holder of their group while others have room."""
        return self.host.now >= call.arrived + GROUP_HOLDERS_TIME_SHARE * call.type.setup_target

    def has_report(self, server: Server) -> bool:
        return self.host.now <= server.local_state.report_valid_until

    def request_report(self, server: Server) -> None:
        """Guards against placing blindly where we hold nothing, and so are told nothing."""
        stand, now = server.local_state, self.host.now
        if (
            self.load_field is not None
            and not self.has_report(server)
            and now - stand.probed_at > REPORT_VALID_SECONDS
        ):
            stand.probed_at = now
            self.host.probe(server)

    def awaits_report(self, server: Server) -> bool:
        """Was it asked, and may the answer still come in time?"""
        return (
            not self.has_report(server) and self.host.now - server.local_state.probed_at < PROBE_WAIT_SECONDS
        )

    def on_probe_result(self, server: Server, result: Result) -> None:
        """What it found. No connection is no failure of the server, but no call is sent there for a while."""
        stand, whole = server.local_state, len(result.report) == len(self.settings.report)
        if result.kind == model.COMPLETED and whole and self.load_field is not None:
            stand.reported_load = result.report[self.load_field]
        elif result.kind == model.NO_CONN:
            stand.reported_load = math.inf
        else:
            return
        # That it is full stands longer: guards against asking in vain at each try of a client in a jam.
        stand.report_valid_until = self.host.now + (
            FULL_REPORT_VALID_SECONDS if stand.reported_load >= FULL_LOAD else REPORT_VALID_SECONDS
        )

    def handle(self, call: Call) -> None:
        server = call.candidates[0]
        if self.host.now >= server.local_state.next_leg_at:
            self.send(call, server)
        else:
            call.awaited_servers = [server]
            self.balancer.enqueue(call)

    def rendezvous_score(self, call: Call, server: Server) -> float:
        """A lot whose least value falls on servers in proportion to their weights. A group's lots are the
        same at every draw and balancer, so its connections gather and share what they cost a server."""
        weight = (
            server.local_state.failure_weight * server.capacity * self.balancer.slow_start.warm_share(server)
        )
        if not call.group:
            return -math.log(self.balancer.rng.uniform() + 1e-12) / weight
        even = lcg_step(lcg_step(call.group ^ server.id_hash * 0x9E3779B97F4A7C15))
        return -math.log((even >> 33) / 2147483648.0 + 1e-12) / weight

    def send(self, call: Call, server: Server) -> None:
        until, call.scores, call.awaited_servers = self.balancer.answer.answer_by(call), {}, []
        self.count_leg(call, server, 1)
        self.balancer.slow_start.record_setup(server)
        server.local_state.unused_since_uncordon = False
        self.host.send(call, server, until)

    def count_leg(self, call: Call, server: Server, by: int) -> None:
        server.local_state.open_legs += by
        self.balancer.open_legs += by
        server.local_state.legs_by_group[call.group] = left = (
            server.local_state.legs_by_group.get(call.group, 0) + by
        )
        if not left:
            del server.local_state.legs_by_group[call.group]
        self.balancer.overload.exchange.set_held(
            server.id_hash, server.local_state.open_legs, call.group, left
        )

    def on_established(self, leg: Leg) -> None:
        self.balancer.overload.on_established(leg.server, self.host.now - leg.sent, self.host.now)
        stand = leg.server.local_state
        stand.consecutive_failures, stand.established_legs[leg], stand.failure_weight = (
            0,
            None,
            min(1.0, stand.failure_weight + WEIGHT_REGAIN),
        )
        self.previous.on_established(leg)

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        if result.kind in (model.RESET, model.NO_CONN):
            leg.server.local_state.report_valid_until = (
                -math.inf
            )  # guards against a report from before it broke
        if leg.established and result.kind == model.RESET:
            self.cut_limit(leg.server)  # guards against a server that sheds what it cannot carry
            self.balancer.overload.on_reset(leg.server, self.host.now)
        self.count_leg(leg.call, leg.server, -1)
        leg.server.local_state.established_legs.pop(leg, None)
        soon = not leg.established or self.host.now - leg.sent < SETUP_FAILURE_SECONDS
        if result.kind not in (model.COMPLETED, model.CANCELLED, model.MOOT) and soon:
            self.record_failure(leg.server)
        self.previous.on_leg_ended(leg, result)

    def record_failure(self, server: Server) -> None:
        stand = server.local_state
        stand.failure_weight, stand.consecutive_failures = (
            max(MIN_FAILURE_WEIGHT, stand.failure_weight / 2),
            stand.consecutive_failures + 1,
        )
        if stand.consecutive_failures >= UNHEALTHY_AFTER_FAILURES and self.healthy(server):
            self.host.log(
                f"server unhealthy for {UNHEALTHY_SECONDS:g} s "
                f"after {stand.consecutive_failures} failures in a row"
            )
        if stand.consecutive_failures >= UNHEALTHY_AFTER_FAILURES:
            stand.unhealthy_until = self.host.now + UNHEALTHY_SECONDS
            self.balancer.zone.looked = -math.inf


class Balancer(model.OptionalEvents):
    """One instance."""

    def __init__(self, settings: Settings, seed: int, host: Host):
        self.settings, self.host = settings, host
        self.rng = Rng(seed)
        self.fleet: list[Server] = []
        self.queued: list[Call] = []
        self.looks = False  # a look at them is due
        self.sizes: dict[int, float] = {}  # by kind of machine, where listed weights are live
        self.open_legs = 0  # own connections and legs out, everywhere
        self.discovery_retry = RetrySchedule(settings, self.rng)
        self.seen: dict[int, list[float]] = {}  # by zone: late servers and all that we hear of
        self.answer, self.listing, self.effect = AnswerStage(self), ListedStage(self), EffectStage(self)
        self.slow_start, self.zone, self.selection = SlowStart(self), ZoneStage(self), SelectionStage(self)
        self.overload, self.filled = (
            OverloadDetector(settings, host.send_datagram, self.selection.record_delay),
            (-math.inf, {}),
        )
        link(self.answer, self.listing, self.effect, self.zone, self.selection)
        host.set_timer(host.now + REBALANCE_INTERVAL_SECONDS * (1 + self.rng.uniform()), "rebalance")
        if settings.may_publish:
            host.set_timer(host.now + PUBLISH_INTERVAL_SECONDS * (1 + self.rng.uniform()), "publish")
        if settings.asks:
            host.set_timer(host.now + self.discovery_retry.first_delay(), "watch")

    def on_call(self, call: Call) -> None:
        self.answer.on_call(call)

    def on_resumed(self, leg: Leg) -> None:
        self.selection.count_leg(leg.call, leg.server, 1)
        leg.server.local_state.established_legs[leg] = None

    def on_established(self, leg: Leg) -> None:
        self.selection.on_established(leg)

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        self.selection.on_leg_ended(leg, result)

    def on_delay_reported(self, leg: Leg, delay: float) -> None:
        self.overload.last_server_notice = self.host.now
        self.selection.record_delay(
            leg.server, delay / self.settings.shortest_message_aim, NOTICE_VALID_SECONDS
        )

    def fleet_load(self) -> dict[Server, float]:
        """What all balancers hold of each ready server; empty where nobody tells."""
        if self.host.now >= self.filled[0] + CACHE_SECONDS:
            self.filled = self.host.now, self.overload.fleet_load(self.listing.ready, self.host.now)
        return self.filled[1]

    def on_datagram(self, peer: int, data: bytes) -> None:
        self.overload.on_datagram(peer, data, self.host.now)

    def on_probe_result(self, server: Server, result: Result) -> None:
        self.selection.on_probe_result(server, result)
        ready = [call for call in self.queued if server in call.awaited_servers]
        self.queued = [call for call in self.queued if server not in call.awaited_servers]
        for call in ready:
            self.again(call)

    def on_timer(self, what: object) -> None:
        if isinstance(what, Call):
            self.answer.due(what)
        elif isinstance(what, Server) and what.cordoned:
            self.selection.move(list(what.local_state.established_legs), CORDON_MOVE_SHARE)
            self.host.set_timer(self.host.now + CORDON_MOVE_INTERVAL_SECONDS, what)
        elif what == "queue":
            waiting, self.queued, self.looks = self.queued, [], False
            for call in waiting:
                # Guards against a long queue, and looking everywhere while none it waits for has room.
                if len(self.queued) < MAX_QUEUE_TRIES and self.may_be_placed(call):
                    self.again(call)
                else:
                    self.enqueue(call)
        elif what == "rebalance":
            self.host.set_timer(
                self.host.now + REBALANCE_INTERVAL_SECONDS, "rebalance"
            )  # first: a fault in one look ends no other
            self.selection.update_overload_counts()
            self.zone.limit_fleet_overload()
            self.zone.rebalance()
        elif what == "publish":
            self.host.set_timer(self.host.now + PUBLISH_INTERVAL_SECONDS, "publish")
            self.overload.on_period(self.host.now)
        elif what == "watch":
            self.host.watch()

    def may_be_placed(self, call: Call) -> bool:
        now, selection, slow_start = self.host.now, self.selection, self.slow_start
        return (
            not call.awaited_servers
            or selection.may_leave_group(call)
            or any(
                now >= s.local_state.next_leg_at and selection.has_room(s) and slow_start.accepts(s)
                for s in call.awaited_servers
            )
        )

    def again(self, call: Call) -> None:
        call.awaited_servers = []
        self.answer.handle(call)

    def enqueue(self, call: Call) -> None:
        """No server may take the call yet: hold it while it is worth something, then answer at once."""
        if call.done:
            return
        if self.host.now >= call.arrived + QUEUE_TIME_SHARE * call.type.setup_target:
            self.answer.give_up(call, "no-room")
            return
        if not self.looks:
            self.looks = True
            self.host.set_timer(self.host.now + QUEUE_INTERVAL_SECONDS, "queue")
        self.queued.append(call)

    def on_servers_listed(self, servers: list[Server]) -> None:
        self.discovery_retry.reset()
        first = not self.fleet
        for server in servers:
            if server.local_state is None:
                server.local_state = model.ServerState(
                    self.rng.stratified(self.settings.number, server.id_hash)
                )
                self.fleet.append(server)
            self.sized(server)
            if server.started_at != server.local_state.started_at:  # restarted under the same id
                # Guards against a restart that takes servers half warm for cold: others knew them before us.
                self.on_server_start(server, server.started_at if first else self.host.now, server.started_at)
                server.local_state.started_at = server.started_at
                if first:
                    self.slow_start.use_up_tokens(server)
        self.refresh_usable()
        self.overload.on_servers_listed(self.fleet)

    def refresh_usable(self) -> None:
        """Other servers may be used, or some no longer."""
        self.listing.ready = [s for s in self.fleet if s.usable]
        self.zone.looked, self.filled = -math.inf, (-math.inf, {})

    def on_server_start(self, server: Server, told: float, since: float) -> None:
        """It is cold since then, and we were told then; what it did before counts no more."""
        stand = server.local_state
        if stand.warm_at <= self.host.now:
            # Not while it is cold already: guards against starts told one after another, each with a budget.
            stand.tokens_issued, stand.tokens_issued_at, stand.tokens_used = (
                1 - stand.rounding_offset,
                told,
                0,
            )
        stand.warm_at = since + self.settings.ramp_time
        stand.consecutive_failures, stand.unhealthy_until, stand.failure_weight = 0, 0.0, 1.0

    def on_cordoned(self, server: Server, out: bool) -> None:
        """Taken out by hand, it gets nothing new and what stands is moved. Put back, it is cold."""
        stand, now, before, server.cordoned = server.local_state, self.host.now, server.cordoned, out
        if out and not before:
            stand.cordoned_at = now
            self.on_timer(server)
        elif before and not out:
            stand.unused_since_uncordon, stand.limit = True, math.inf
            if (
                stand.started_at < stand.cordoned_at
            ):  # guards against a list that does not know of the restart yet
                self.on_server_start(server, now, now)
        self.on_servers_listed([server])

    def sized(self, server: Server) -> None:
        """A live weight falls with what a server holds: its size is the most its kind was ever listed at."""
        known = self.sizes.get(server.machine_type, 0.0) if self.settings.live else 0.0
        server.capacity = max(server.weight, known)
        if server.weight > known and self.settings.live:
            self.sizes[server.machine_type] = server.weight
            for other in self.fleet:
                if other.machine_type == server.machine_type:
                    other.capacity = server.weight

    def avoids(self, server: Server) -> bool:
        """Is this listed server kept from new calls now, by the list, by hand, for failures or lateness?"""
        fit = self.selection.healthy(server) and not self.selection.reported_overloaded(server)
        return server not in self.listing.ready or not fit

    def on_discovery_failed(self, reached: bool = True) -> None:
        """Discovery failed us; `reached` unless it did not even take the call."""
        if self.settings.asks:
            self.host.set_timer(self.host.now + self.discovery_retry.next_delay(reached), "watch")
