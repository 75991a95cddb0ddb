"""All decisions of bellrack, and their constants.

A host makes one `Balancer(settings, seed, host)` per instance and reports events to it through the methods
that bellrack/model.py lists, with the interface and the types. The balancer acts through its `Host`. A call
passes down the chain of AnswerStage, ListedStage, EffectStage, ZoneStage and SelectionStage; the results of
its legs pass back up. SlowStart decides which cold servers accept one more set-up.
"""

from __future__ import annotations

import math

from bellrack import model
from bellrack.chain import Stage, link
from bellrack.discovery_retry import RetrySchedule
from bellrack.model import Call, Host, Leg, Result, Server, Settings
from bellrack.peers.overload import OverloadDetector
from bellrack.rng import Rng, lcg_step

SPILLOVER_RATIO = 0.5  # least share of healthy servers in our zone that keeps new connections in the zone
UNHEALTHY_AFTER_FAILURES = 3  # in a row
UNHEALTHY_SECONDS = 5.0  # how long a server then counts as unhealthy
MIN_FAILURE_WEIGHT = 0.05  # failures lower a server's weight to no less
WEIGHT_REGAIN = 0.1  # weight that each established connection restores
SETUP_FAILURE_SECONDS = 2.0  # a connection that breaks sooner counts as a failed set-up
# Message delay, over the shortest message aim, from which on a server gets no new connections.
OVERLOAD_DELAY_RATIO = 0.5
NOTICE_VALID_SECONDS = 1.5  # validity of a server's own notice of message delay
OBSERVATION_VALID_SECONDS = 3.0  # validity of other signs of message delay
LIMIT_SHARE = 0.95  # of the legs that an overloaded server held: its new limit
RESET_LIMIT_SHARE = 0.6  # the same if no load is reported, so that a reset is the first sign of overload
LIMIT_GROWTH_PER_SECOND = 0.03  # a limit grows back by this share of its value
FLEET_LIMIT_SHARE = 0.9  # of all own legs: their new limit, cut each second while the zones are overloaded
# Where the load of all balancers is known, fewer own legs than this are no measure of the fleet's load.
MIN_MEASURABLE_LEGS = 8
LIMIT_CUT_INTERVAL_SECONDS = 0.9  # between cuts of a server's limit
MOVE_SHARE = 0.15  # of own connections at a server, moved each time its messages are late
MAX_MOVE_FACTOR = 4.0  # MOVE_SHARE grows with the delay, up to this many times
REBALANCE_INTERVAL_SECONDS = 1.0  # between checks for connections that cross zones
REBALANCE_SHARE = 0.05  # of these connections, moved back at each check
CALM_AFTER_SECONDS = 5.0  # without late messages, until a server counts as calm
MAX_CANDIDATES_TRIED = 3  # servers that are checked for room for a call, in the order of their scores
MAX_GROUP_CANDIDATES_UNSEEN = 1  # the same for a call with a group, if the load of other balancers is unseen
GROUP_HOLDERS_TIME_SHARE = 0.5  # of the setup target: until then only holders of the call's group are tried
GROUP_HOLDER_LEGS = 2  # legs of a group that make a server a holder of it
MAX_LOAD_OVER_MEAN = 1.25  # servers above this multiple of the mean load are passed over
MAX_ANSWER_MARGIN_SHARE = 0.25  # of a call's wait, kept at most for sending its answer
PACE_SHARE_PER_SECOND = 0.5  # of the legs that a warm server holds: the new legs that it may get
MIN_PACE_PER_SECOND = 8.0  # new legs of a warm server, over all balancers, that are never delayed
SLOW_START_FACTOR = 2.0  # pace of set-ups at a cold server over that of an even fill, at most
RUSH_FACTOR = 1.5  # calls of a rush over the baseline load of a server
# Open connections per unit of listed capacity, over all balancers, that any server can carry.
ASSUMED_CONNECTIONS_PER_CAPACITY = 12.0
REPORT_VALID_SECONDS = 1.0
FULL_REPORT_VALID_SECONDS = 2.0  # the same for a report of at least FULL_LOAD
PROBE_WAIT_SECONDS = 0.1  # how long a call waits for a report
FULL_LOAD = 0.9  # reported load from which on a server gets nothing new
FULL_LOAD_STEP = 0.2  # FULL_LOAD is lower by this for each further candidate
PUBLISH_INTERVAL_SECONDS = 0.5  # between messages to other balancers
CACHE_SECONDS = 0.1  # how long computed sums are reused
CORDON_MOVE_INTERVAL_SECONDS = 0.1  # between moves of connections off a cordoned server
CORDON_MOVE_SHARE = 0.2  # of its connections, moved each time
QUEUE_INTERVAL_SECONDS = 0.05  # between checks of queued calls
MAX_QUEUE_TRIES = 24  # queued calls that one check may try in vain
RETRY_AFTER_SHARE = 1 / 3  # share of the longest retry delay that clients honour; sent in rejects
QUEUE_TIME_SHARE = 0.8  # share of the setup target for which a call may be queued


class AnswerStage(Stage):
    """Rule 1: each call gets one final answer by its deadline, and nothing after it."""

    def on_call(self, call: Call) -> None:
        """Places a new call, and sets the timer for its last possible answer."""
        self.host.set_timer(self.answer_by(call), call)
        self.handle(call)

    def handle(self, call: Call) -> None:
        """Passes the call on unless its attempts or its time are used up."""
        if call.done:
            return
        if len(call.legs) >= self.settings.max_legs:
            self.give_up(call, "max-attempts")
        elif self.host.now >= self.answer_by(call):
            self.give_up(call, "deadline")
        else:
            self.next.handle(call)

    def answer_by(self, call: Call) -> float:
        """Returns when the answer has to be sent to reach the client by the deadline."""
        return call.deadline - min(
            self.settings.answer_margin, MAX_ANSWER_MARGIN_SHARE * (call.deadline - call.arrived)
        )

    def on_deadline(self, call: Call) -> None:
        """Gives up the call if it is neither answered nor established."""
        if not call.done and not any(leg.established for leg in call.legs):
            self.give_up(call, "deadline")

    def give_up(self, call: Call, why: str) -> None:
        """Gives the call its final answer; `why` is for the log."""
        call.refusal = why
        if self.balancer.effect.retry_is_harmless(call):
            self.host.reject(call, RETRY_AFTER_SHARE * self.settings.max_open_wait)
        else:
            self.host.release(call)

    def on_established(self, leg: Leg) -> None:
        """Nothing to decide: the host answers the client."""
        ...

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        """Tries the call again if it is still unanswered."""
        if not leg.call.done:
            self.handle(leg.call)


class EffectStage(Stage):
    """Rule 2: no call has its effect twice."""

    def handle(self, call: Call) -> None:
        """Passes the call on if another attempt is safe, to servers that drop a repeat if it may have run."""
        if any(leg.result is None for leg in call.legs):
            return
        risky_legs, kind = self.possibly_run_legs(call), call.type
        call.write_by = self.latest_write(call)
        if self.host.now >= call.write_by:
            self.balancer.answer.give_up(call, "may-have-run")
            return
        if risky_legs and kind.effect == model.REFERENCED:
            call.candidates = [s for s in call.candidates if self.same_group(call, s, risky_legs[0].server)]
        self.forward_or_queue(call)

    def latest_write(self, call: Call) -> float:
        """Returns until when the next attempt may be written.

        Never, if an earlier attempt may have run and a repeat is not dropped. If it is dropped for a limited
        time: within that time, even if the host stalls before the write."""
        risky_legs = self.possibly_run_legs(call)
        if not risky_legs or call.type.effect == model.REPEATABLE:
            return math.inf
        if call.type.effect == model.ONCE_ONLY:
            return -math.inf
        return risky_legs[0].sent + call.type.key_ttl - model.MAX_STALL_SECONDS - self.settings.tick

    def possibly_run_legs(self, call: Call) -> list[Leg]:
        """Returns the legs that are not known never to have run."""
        return [leg for leg in call.legs if leg.result is None or leg.result.kind not in model.NEVER_RAN]

    def same_group(self, call: Call, one: Server, other: Server) -> bool:
        """Returns whether `other` drops repeats of this call if it was sent to `one`."""
        return call.type.same_group(one, other)

    def retry_is_harmless(self, call: Call) -> bool:
        """Returns whether the client may be told that it can try again without harm."""
        dropped = call.type.effect == model.REFERENCED and call.type.group == "all"
        return call.type.effect == model.REPEATABLE or dropped or not self.possibly_run_legs(call)


class ListedStage(Stage):
    """Rule 3: nothing new is sent to a draining or removed server, from when its change is known."""

    ready: list[Server] = []  # the usable servers, as of the last change of the list

    def handle(self, call: Call) -> None:
        """Makes the usable servers the candidates of the call."""
        call.candidates = self.ready
        self.next.handle(call)


class SlowStart:
    """Rule 4: this instance's part of the set-ups that a cold server may get."""

    proven_load, checked_at = 0.0, -math.inf
    suspended = False  # another process of this balancer uses its part

    def __init__(self, balancer: Balancer):
        self.balancer, self.settings, self.host = balancer, balancer.settings, balancer.host

    def accepts(self, server: Server) -> bool:
        """Returns whether the server is warm or may get one more set-up."""
        return server.local_state.warm_at <= self.host.now or self.may_admit(server)

    def warm_share(self, server: Server) -> float:
        """Returns the share of its capacity that the server has by now at least."""
        left = (server.local_state.warm_at - self.host.now) / self.settings.ramp_time
        return 1.0 - (1.0 - self.settings.cold_share) * min(1.0, left) if left > 0 else 1.0

    def baseline_load(self) -> float:
        """Returns the own open legs per unit of capacity that a warm server is known to carry: the most seen
        on the listed warm servers without late messages, or what any server can carry."""
        if self.host.now >= self.checked_at + CACHE_SECONDS:
            self.checked_at, late = self.host.now, self.balancer.selection.reported_overloaded
            warm = [
                s
                for s in self.balancer.fleet
                if s.ready and s.local_state.warm_at <= self.checked_at and not late(s)
            ]
            capacity = sum(s.capacity for s in warm)
            self.proven_load = max(
                self.proven_load, sum(s.local_state.open_legs for s in warm) / capacity if capacity else 0.0
            )
        return max(self.proven_load, ASSUMED_CONNECTIONS_PER_CAPACITY / self.settings.peers)

    def may_admit(self, server: Server) -> bool:
        """Returns whether the cold server may get one more set-up: it is below the baseline load, has room
        and no late messages, and a token is left."""
        below_baseline = (
            server.local_state.open_legs + server.local_state.rounding_offset
            < self.baseline_load() * server.capacity
        )
        calm = (
            self.host.now - server.local_state.delay_reported_at > NOTICE_VALID_SECONDS
            and self.balancer.selection.has_room(server)
        )
        return below_baseline and calm and self.available_tokens(server) > 0

    def available_tokens(self, server: Server) -> int:
        """Returns how many set-ups may be sent to the cold server now.

        Over all balancers they stay within the budget in any window. Tokens are issued evenly from when the
        server's start was reported. Tokens that are not used in time expire, as otherwise a rush would find
        all of them saved up."""
        if self.suspended:
            return 0
        state, settings, now, load = (
            server.local_state,
            self.settings,
            self.host.now,
            self.baseline_load() * server.capacity,
        )
        budget, renewed = settings.slow_start_budget(
            self.proven_load, server.capacity * self.warm_share(server)
        )
        rate = min(SLOW_START_FACTOR * load / settings.ramp_time, renewed / settings.fall_time)
        saved = (budget - rate * settings.fall_time) * max(1.0, 1 / (RUSH_FACTOR * load))
        state.tokens_issued, state.tokens_issued_at = (
            state.tokens_issued + rate * max(0.0, now - state.tokens_issued_at),
            now,
        )
        state.tokens_used = max(state.tokens_used, math.floor(state.tokens_issued - saved))
        return math.floor(state.tokens_issued) - state.tokens_used

    def fleet_allowance(self, server: Server) -> float:
        """Returns N of rule 4: the requests that all balancers may send the cold server in `fall_time`."""
        return self.settings.peers * self.settings.slow_start_allowance(
            self.proven_load, server.capacity * self.warm_share(server)
        )

    def suspend(self, on: bool) -> None:
        """Sets whether another process of this balancer sends to cold servers instead. Tokens that were
        issued meanwhile count as used, since both processes are one balancer."""
        self.suspended = False
        for server in self.balancer.fleet:
            self.use_up_tokens(server)
        self.suspended = on

    def may_write(self, server: Server) -> bool:
        """Returns whether a set-up that was sent earlier may be written now, and counts it if so.

        A cold server is loaded when the request lines reach it. Without this check the lines of connections
        that are established late would all be written together."""
        now, settings, state = self.host.now, self.settings, server.local_state
        if state.warm_at <= now:
            return True
        budget, _ = settings.slow_start_budget(self.proven_load, server.capacity * self.warm_share(server))
        while state.recent_setups and state.recent_setups[0] <= now - settings.fall_time:
            state.recent_setups.popleft()
        if len(state.recent_setups) >= max(1, math.floor(budget + 1 / settings.peers)):
            return False
        state.recent_setups.append(now)
        return True

    def use_up_tokens(self, server: Server) -> None:
        """Counts all tokens issued so far as used: an earlier process may have used them."""
        if server.local_state.warm_at > self.host.now:
            server.local_state.tokens_used += max(0, self.available_tokens(server))

    def record_setup(self, server: Server) -> None:
        """Counts a set-up that is sent now, and sets the time of the next.

        The more servers have late messages the longer the gap, as otherwise a fleet that sheds its load would
        be filled again at once."""
        baseline, calm = (
            self.baseline_load() * server.capacity,
            self.balancer.selection.calm_share(server.zone),
        )
        gap = (
            1
            / max(
                PACE_SHARE_PER_SECOND * max(server.local_state.open_legs, baseline),
                MIN_PACE_PER_SECOND / self.settings.peers,
            )
            / calm
        )
        # There is no gap below the baseline. Otherwise the calls of a mass reconnect would be queued and
        # rejected while servers are empty.
        baseline = max(baseline, 2) if self.balancer.overload.has_broadcasts(self.host.now) else baseline
        gap *= self.warm_share(server) == 1.0 and (
            server.local_state.open_legs >= baseline or calm < SPILLOVER_RATIO
        )
        server.local_state.tokens_used, server.local_state.next_leg_at = (
            server.local_state.tokens_used + 1,
            self.host.now + gap,
        )


class ZoneStage(Stage):
    """The spillover ratio: calls stay with the healthy servers of our zone, or spread over all zones."""

    cached_share, checked_at = 0.0, -math.inf
    limit, limit_cut_at = math.inf, 0.0  # of all own open legs

    def handle(self, call: Call) -> None:
        """Chooses a server in our zone, or else in any zone, and passes the call on."""
        now, selection, server = self.host.now, self.balancer.selection, None
        home = [s for s in call.candidates if s.zone == self.settings.zone]
        if self.healthy_share() >= SPILLOVER_RATIO:
            server = selection.pick(call, [s for s in home if s.local_state.unhealthy_until <= now])
        limit = self.limit * (1 + LIMIT_GROWTH_PER_SECOND * (now - self.limit_cut_at)) - 0.5
        if (
            not server
            and self.balancer.open_legs < limit
            and not any(map(selection.awaits_report, call.awaited_servers))
        ):
            # The servers of a zone may be up but overloaded, so a call that finds no room there leaves the
            # zone. One that finds no room anywhere is queued; if it were sent, it would be shed and come
            # again.
            healthy = [s for s in call.candidates if s.local_state.unhealthy_until <= now]
            server = selection.pick(call, healthy or home or call.candidates)
        call.candidates = [server] if server else []
        self.forward_or_queue(call)

    def limit_fleet_overload(self) -> None:
        """Cuts the limit of all own legs while the zones are overloaded on average. Otherwise, with the whole
        fleet overloaded, moved connections would only land on other overloaded servers."""
        zones = [
            self.balancer.selection.calm_share(zone)
            for zone in dict.fromkeys(s.zone for s in self.balancer.fleet)
        ]
        if sum(zones) < SPILLOVER_RATIO * len(zones):
            held = max(
                self.balancer.open_legs,
                MIN_MEASURABLE_LEGS if self.balancer.overload.has_broadcasts(self.host.now) else 1,
            )
            self.limit, self.limit_cut_at = FLEET_LIMIT_SHARE * min(self.limit, held), self.host.now

    def rebalance(self) -> None:
        """Moves a few connections back from other zones while all servers of our zone are calm and have room.
        Otherwise connections that once left the zone would stay in another one for life."""
        home, now, selection = self.home_servers(), self.host.now, self.balancer.selection
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
            selection.move(away, REBALANCE_SHARE, model.REBALANCED)

    def home_servers(self) -> list[Server]:
        """Returns the usable servers of our zone."""
        return [s for s in self.balancer.listing.ready if s.zone == self.settings.zone]

    def healthy_share(self) -> float:
        """Returns the healthy share of our zone's usable servers; a cold one counts as far as it is warm."""
        if self.host.now >= self.checked_at + CACHE_SECONDS:
            self.checked_at, home = self.host.now, self.home_servers()
            fit = [
                s
                for s in home
                if self.balancer.selection.healthy(s) and not self.balancer.selection.overloaded(s)
            ]
            self.cached_share = (
                sum(self.balancer.slow_start.warm_share(s) for s in fit) / len(home) if home else 0.0
            )
        return self.cached_share


class SelectionStage(Stage):
    """Selects one of the candidate servers, by load, group and failures, and sends the call there."""

    def __init__(self, balancer: Balancer):
        super().__init__(balancer)
        report, load_fields = self.settings.report, (model.FULLNESS, model.BUSY)
        # The field of a report that gives a server's load. Without one no server is probed.
        self.load_field = next((report.index(one) for one in load_fields if one in report), None)

    def healthy(self, server: Server) -> bool:
        """Returns whether the server is not marked unhealthy after failures."""
        return server.local_state.unhealthy_until <= self.host.now

    def has_room(self, server: Server, max_load: float = 1.0) -> bool:
        """Returns whether the server is not overloaded, holds fewer of our legs than its limit, and reports a
        load below `max_load` if it reports one."""
        state, slow_start = server.local_state, self.balancer.slow_start
        # The limit grows back with the baseline load, if that is more. Otherwise a balancer with few legs
        # would be shut out for long by a limit that was cut for the load of others.
        regrown = (
            LIMIT_GROWTH_PER_SECOND
            * (self.host.now - state.limit_cut_at)
            * max(state.limit, slow_start.baseline_load() * server.capacity)
        )
        if self.has_report(server) and state.reported_load >= max_load:
            return False
        return not self.overloaded(server) and (
            state.open_legs + state.rounding_offset < slow_start.warm_share(server) * (state.limit + regrown)
        )

    def overloaded(self, server: Server) -> bool:
        """Returns whether the server lately reported late messages or full load.

        A server where we hold no connection sends us no reports. It counts as overloaded as often as the
        servers of its zone are."""
        state = server.local_state
        if self.reported_overloaded(server) or self.has_report(server):
            return self.reported_overloaded(server) or state.reported_load >= 1.0
        unseen = (
            not state.established_legs
            and state.warm_at <= self.host.now
            and state.rounding_offset > self.calm_share(server.zone)
        )
        return unseen and not self.balancer.overload.has_broadcasts(self.host.now)

    def reported_overloaded(self, server: Server) -> bool:
        """Returns whether late messages at the server were reported and the report is still valid."""
        return (
            server.local_state.delay_ratio >= OVERLOAD_DELAY_RATIO
            and self.host.now - server.local_state.delay_reported_at <= server.local_state.delay_valid_for
        )

    def update_overload_counts(self) -> None:
        """Counts, by zone, the servers that would report late messages to us, and those of them that did.
        Older counts fade by half each time."""
        for counts in self.balancer.overload_counts.values():
            counts[0], counts[1] = counts[0] / 2, counts[1] / 2
        has_broadcasts = self.balancer.overload.has_broadcasts(self.host.now)
        for server in self.balancer.listing.ready:
            if (
                server.local_state.established_legs
                or has_broadcasts
                or self.host.now - server.local_state.delay_reported_at <= NOTICE_VALID_SECONDS
            ):
                counts = self.balancer.overload_counts.setdefault(server.zone, [0.0, 0.0])
                counts[0] += self.reported_overloaded(server)
                counts[1] += 1

    def calm_share(self, zone: int) -> float:
        """Returns the share of a zone's servers without late messages, by the reports of the last seconds."""
        overloaded, known = self.balancer.overload_counts.get(zone, (0.0, 0.0))
        return (known - overloaded + 1) / (known + 1)

    def record_delay(
        self, server: Server, delay_ratio: float, valid_for: float = OBSERVATION_VALID_SECONDS
    ) -> None:
        """Records the message delay at a server, over the shortest message aim, as the server reports it or
        other signs show it. It is valid for `valid_for` seconds."""
        if delay_ratio >= OVERLOAD_DELAY_RATIO:
            self.cut_limit(server)
        if delay_ratio >= 1:
            # The published rule covers new connections only. Connections would stay where their messages are
            # late, so a few are moved, first those whose groups have the worst score at this server.
            worst_first = sorted(
                server.local_state.established_legs, key=lambda leg: -self.rendezvous_score(leg.call, server)
            )
            share = MOVE_SHARE * min(delay_ratio, MAX_MOVE_FACTOR)
            # The limit falls with the moved connections. Otherwise many balancers with a connection each,
            # which get no more reports of the server once theirs is moved, would fill it up again together.
            held = server.local_state.open_legs / self.balancer.slow_start.warm_share(server)
            self.lower_limit(server, LIMIT_SHARE * (1 - share) * held)
            self.move(worst_first, share, model.LATE_MESSAGES)
        (
            server.local_state.delay_ratio,
            server.local_state.delay_reported_at,
            server.local_state.delay_valid_for,
        ) = (delay_ratio, self.host.now, valid_for)

    def move(self, legs: list[Leg], share: float, cause: str) -> None:
        """Moves the first `share` of the legs. Their number is rounded at random, as otherwise many balancers
        with few legs would each move a whole one. `cause`: why, for the log."""
        for leg in legs[: int(share * len(legs) + self.balancer.rng.uniform())]:
            leg.call.move_cause = cause
            self.host.move(leg.call)
            del leg.server.local_state.established_legs[leg]

    def lower_limit(self, server: Server, limit: float) -> None:
        """Lowers the server's limit to `limit` at most. Where the balancers know of each other's load, a
        single leg of ours is no measure of the server, and the limit stays."""
        if server.local_state.open_legs > 1 or not self.balancer.overload.has_broadcasts(self.host.now):
            server.local_state.limit = min(server.local_state.limit, limit)

    def cut_limit(self, server: Server) -> None:
        """Cuts the server's limit to a share of what it holds, at most once per
        LIMIT_CUT_INTERVAL_SECONDS."""
        state, now, balancer = server.local_state, self.host.now, self.balancer
        if now - state.limit_cut_at > LIMIT_CUT_INTERVAL_SECONDS:
            # As if it were warm: a limit found while the server is cold would outlast its warm-up.
            held = state.open_legs / balancer.slow_start.warm_share(server)
            self.lower_limit(
                server,
                (RESET_LIMIT_SHARE if balancer.overload.load_is_unreported(now) else LIMIT_SHARE)
                * min(state.limit, held),
            )
            if now - state.limit_cut_at > CALM_AFTER_SECONDS:
                self.host.log(f"server swamped: held {state.open_legs}, ceiling {state.limit:.1f}")
            state.limit_cut_at = now

    def pick(self, call: Call, servers: list[Server]) -> Server | None:
        """Returns the first server with room among the few with the best scores, or None.

        Only a few are tried, as otherwise groups would scatter over all servers that a balancer thinks have
        room. Cold servers that accept nothing now are ranked too: each balancer has its own part of their
        budget, so leaving them out would make the balancers rank servers differently."""
        tried = [leg.server for leg in call.legs]
        if not (servers := [s for s in servers if s not in tried] or servers):
            return None
        now, warm_share = self.host.now, self.balancer.slow_start.warm_share
        capacities = [
            s.capacity if s.local_state.warm_at <= now else s.capacity * warm_share(s) for s in servers
        ]
        held = self.balancer.fleet_load() or {s: s.local_state.open_legs for s in servers}
        bound = MAX_LOAD_OVER_MEAN * sum([held[s] for s in servers]) / sum(capacities)
        below = [s for s, capacity in zip(servers, capacities) if held[s] < 1 + bound * capacity] or servers
        # Otherwise an uncordoned server would wait long for a call, since its weight is that of a cold one.
        unused = [
            s for s in below if s.local_state.unused_since_uncordon or s.needs_attempt and not call.group
        ]
        unused = [
            s
            for s in unused
            if now >= s.local_state.next_leg_at
            and self.balancer.slow_start.accepts(s)
            and self.has_room(s, FULL_LOAD)
        ]
        preferred = unused or self.group_holders(call, below)
        for server in preferred or below:  # kept with the call while it is queued: scores are costly
            if server not in call.scores:
                call.scores[server] = self.rendezvous_score(call, server)
        most = (
            MAX_GROUP_CANDIDATES_UNSEEN if call.group and self.settings.peers_unseen else MAX_CANDIDATES_TRIED
        )
        ranked = sorted(preferred or below, key=call.scores.__getitem__)[:most]
        call.awaited_servers += ranked
        for number, server in enumerate(ranked):
            if not self.balancer.slow_start.accepts(server):
                continue
            self.request_report(server)
            if self.awaits_report(server):
                return None
            if self.has_room(server, FULL_LOAD - number * FULL_LOAD_STEP):
                return server
        return None

    def group_holders(self, call: Call, servers: list[Server]) -> list[Server]:
        """Returns the servers that hold the call's group, while only these are tried for it."""
        if not call.group or self.may_leave_group(call):
            return []
        group, now, holds_group = call.group, self.host.now, self.balancer.overload.holds_group
        return [
            s
            for s in servers
            if s.local_state.legs_by_group.get(group, 0) >= GROUP_HOLDER_LEGS or holds_group(s, group, now)
        ]

    def may_leave_group(self, call: Call) -> bool:
        """Returns whether the call may go to servers that do not hold its group. Without this limit in time
        calls would be rejected because the holder of their group is full, while others have room."""
        return self.host.now >= call.arrived + GROUP_HOLDERS_TIME_SHARE * call.type.setup_target

    def has_report(self, server: Server) -> bool:
        """Returns whether the last report of the server is still valid."""
        return self.host.now <= server.local_state.report_valid_until

    def request_report(self, server: Server) -> None:
        """Probes the server unless its report is valid or it was probed lately. Otherwise calls would be
        placed blindly on servers where we hold no connection and so get no notices."""
        state, now = server.local_state, self.host.now
        if (
            self.load_field is not None
            and not self.has_report(server)
            and now - state.probed_at > REPORT_VALID_SECONDS
        ):
            state.probed_at = now
            self.host.probe(server)

    def awaits_report(self, server: Server) -> bool:
        """Returns whether the server was probed and its report may still come in time."""
        return (
            not self.has_report(server) and self.host.now - server.local_state.probed_at < PROBE_WAIT_SECONDS
        )

    def on_probe_result(self, server: Server, result: Result) -> None:
        """Records the load that a probe found. A failed connection is no failure of the server, but no call
        is sent there for a while."""
        state, complete = server.local_state, len(result.report) == len(self.settings.report)
        if result.kind == model.COMPLETED and complete and self.load_field is not None:
            state.reported_load = result.report[self.load_field]
        elif result.kind == model.NO_CONN:
            state.reported_load = math.inf
        else:
            return
        # A report of full load is valid longer. Otherwise each retry of a client during an overload would
        # probe again in vain.
        state.report_valid_until = self.host.now + (
            FULL_REPORT_VALID_SECONDS if state.reported_load >= FULL_LOAD else REPORT_VALID_SECONDS
        )

    def handle(self, call: Call) -> None:
        """Sends the call to its one candidate, or queues it until the server may get the next leg."""
        server = call.candidates[0]
        if self.host.now >= server.local_state.next_leg_at:
            self.send(call, server)
        else:
            call.awaited_servers = [server]
            self.balancer.enqueue(call)

    def rendezvous_score(self, call: Call, server: Server) -> float:
        """Returns the call's score at the server; the server with the least score is chosen first.

        Over all calls each server comes first in proportion to its weight. A group's scores are the same at
        every draw and at every balancer, so its connections gather at few servers and share their cost."""
        weight = (
            server.local_state.failure_weight * server.capacity * self.balancer.slow_start.warm_share(server)
        )
        if not call.group:
            return -math.log(self.balancer.rng.uniform() + 1e-12) / weight
        even = lcg_step(lcg_step(call.group ^ server.id_hash * 0x9E3779B97F4A7C15))
        return -math.log((even >> 33) / 2147483648.0 + 1e-12) / weight

    def send(self, call: Call, server: Server) -> None:
        """Sends the call to the server."""
        until, call.scores, call.awaited_servers = self.balancer.answer.answer_by(call), {}, []
        self.count_leg(call, server, 1)
        self.balancer.slow_start.record_setup(server)
        server.local_state.unused_since_uncordon = False
        self.host.send(call, server, until)

    def count_leg(self, call: Call, server: Server, by: int) -> None:
        """Adds `by` to the open legs of the server, of the call's group there, and of this balancer."""
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
        """Restores weight to the server, and reports how long the set-up took."""
        self.balancer.overload.on_established(leg.server, self.host.now - leg.sent, self.host.now)
        state = leg.server.local_state
        state.consecutive_failures, state.established_legs[leg], state.failure_weight = (
            0,
            None,
            min(1.0, state.failure_weight + WEIGHT_REGAIN),
        )
        self.previous.on_established(leg)

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        """Takes the leg off the counts, and records a failure of the server if it was one."""
        if result.kind in (model.RESET, model.NO_CONN):
            leg.server.local_state.report_valid_until = -math.inf  # the report is from before it broke
        if leg.established and result.kind == model.RESET:
            self.cut_limit(leg.server)  # the server may be shedding load that it cannot carry
            self.balancer.overload.on_reset(leg.server, self.host.now)
        self.count_leg(leg.call, leg.server, -1)
        leg.server.local_state.established_legs.pop(leg, None)
        soon = not leg.established or self.host.now - leg.sent < SETUP_FAILURE_SECONDS
        if result.kind not in (model.COMPLETED, model.CANCELLED, model.MOOT) and soon:
            self.record_failure(leg.server)
        self.previous.on_leg_ended(leg, result)

    def record_failure(self, server: Server) -> None:
        """Halves the server's weight, and marks it unhealthy after several failures in a row."""
        state = server.local_state
        state.failure_weight, state.consecutive_failures = (
            max(MIN_FAILURE_WEIGHT, state.failure_weight / 2),
            state.consecutive_failures + 1,
        )
        if state.consecutive_failures >= UNHEALTHY_AFTER_FAILURES and self.healthy(server):
            self.host.log(
                f"server unhealthy for {UNHEALTHY_SECONDS:g} s "
                f"after {state.consecutive_failures} failures in a row"
            )
        if state.consecutive_failures >= UNHEALTHY_AFTER_FAILURES:
            state.unhealthy_until = self.host.now + UNHEALTHY_SECONDS
            self.balancer.zone.checked_at = -math.inf


class Balancer(model.OptionalEvents):
    """The decisions of one instance. Its host calls the methods that bellrack/model.py lists for events."""

    def __init__(self, settings: Settings, seed: int, host: Host):
        self.settings, self.host = settings, host
        self.rng = Rng(seed)
        self.fleet: list[Server] = []
        self.queued: list[Call] = []
        self.queue_timer_set = False
        self.max_weights: dict[int, float] = {}  # ever listed, by machine type, where weights are live
        self.open_legs = 0  # own legs at all servers, those being set up included
        self.discovery_retry = RetrySchedule(settings, self.rng)
        self.overload_counts: dict[int, list[float]] = {}  # by zone: overloaded servers, servers known of
        self.answer, self.listing, self.effect = AnswerStage(self), ListedStage(self), EffectStage(self)
        self.slow_start, self.zone, self.selection = SlowStart(self), ZoneStage(self), SelectionStage(self)
        self.overload, self.cached_fleet_load = (
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
        """Places a new call."""
        self.answer.on_call(call)

    def on_resumed(self, leg: Leg) -> None:
        """Counts a connection that was established before the instance started."""
        self.selection.count_leg(leg.call, leg.server, 1)
        leg.server.local_state.established_legs[leg] = None

    def on_established(self, leg: Leg) -> None:
        """The leg's connection is established."""
        self.selection.on_established(leg)

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        """The leg ended with this result."""
        self.selection.on_leg_ended(leg, result)

    def on_delay_reported(self, leg: Leg, delay: float) -> None:
        """The leg's server reported that a message takes `delay` seconds."""
        self.overload.last_server_notice = self.host.now
        self.selection.record_delay(
            leg.server, delay / self.settings.shortest_message_aim, NOTICE_VALID_SECONDS
        )

    def fleet_load(self) -> dict[Server, float]:
        """Returns the legs of all balancers at each usable server; empty if no balancer reports them."""
        if self.host.now >= self.cached_fleet_load[0] + CACHE_SECONDS:
            self.cached_fleet_load = (
                self.host.now,
                self.overload.fleet_load(self.listing.ready, self.host.now),
            )
        return self.cached_fleet_load[1]

    def on_datagram(self, peer: int, data: bytes) -> None:
        """A datagram of another balancer arrived."""
        self.overload.on_datagram(peer, data, self.host.now)

    def on_probe_result(self, server: Server, result: Result) -> None:
        """A probe ended: records the load, and tries the queued calls that wait for this server."""
        self.selection.on_probe_result(server, result)
        waiting = [call for call in self.queued if server in call.awaited_servers]
        self.queued = [call for call in self.queued if server not in call.awaited_servers]
        for call in waiting:
            self.retry_queued(call)

    def on_timer(self, what: object) -> None:
        """A timer expired. `what`: a call whose answer is due, a cordoned server, or the name of a timer."""
        if isinstance(what, Call):
            self.answer.on_deadline(what)
        elif isinstance(what, Server) and what.cordoned:
            legs = list(what.local_state.established_legs)
            self.selection.move(legs, CORDON_MOVE_SHARE, model.CORDONED)
            self.host.set_timer(self.host.now + CORDON_MOVE_INTERVAL_SECONDS, what)
        elif what == "queue":
            waiting, self.queued, self.queue_timer_set = self.queued, [], False
            for call in waiting:
                # Bounds the work for a long queue, and skips calls while no awaited server has room.
                if len(self.queued) < MAX_QUEUE_TRIES and self.may_be_placed(call):
                    self.retry_queued(call)
                else:
                    self.enqueue(call)
        elif what == "rebalance":
            # The timer is set first, so that an error in one check does not end the others.
            self.host.set_timer(self.host.now + REBALANCE_INTERVAL_SECONDS, "rebalance")
            self.selection.update_overload_counts()
            self.zone.limit_fleet_overload()
            self.zone.rebalance()
        elif what == "publish":
            self.host.set_timer(self.host.now + PUBLISH_INTERVAL_SECONDS, "publish")
            self.overload.on_period(self.host.now)
        elif what == "watch":
            self.host.watch()

    def may_be_placed(self, call: Call) -> bool:
        """Returns whether it is worth trying a queued call again."""
        now, selection, slow_start = self.host.now, self.selection, self.slow_start
        return (
            not call.awaited_servers
            or selection.may_leave_group(call)
            or any(
                now >= s.local_state.next_leg_at and selection.has_room(s) and slow_start.accepts(s)
                for s in call.awaited_servers
            )
        )

    def retry_queued(self, call: Call) -> None:
        """Passes a call that was queued down the chain again."""
        call.awaited_servers = []
        self.answer.handle(call)

    def enqueue(self, call: Call) -> None:
        """Queues a call that no server may take yet, and gives it up once QUEUE_TIME_SHARE of its setup
        target is over."""
        if call.done:
            return
        if self.host.now >= call.arrived + QUEUE_TIME_SHARE * call.type.setup_target:
            self.answer.give_up(call, "no-room")
            return
        if not self.queue_timer_set:
            self.queue_timer_set = True
            self.host.set_timer(self.host.now + QUEUE_INTERVAL_SECONDS, "queue")
        self.queued.append(call)

    def on_servers_listed(self, servers: list[Server]) -> None:
        """These servers are new to the list, or their entries changed."""
        self.discovery_retry.reset()
        first = not self.fleet
        for server in servers:
            if server.local_state is None:
                server.local_state = model.ServerState(
                    self.rng.stratified(self.settings.number, server.id_hash)
                )
                self.fleet.append(server)
            self.update_capacity(server)
            if server.started_at != server.local_state.started_at:  # restarted under the same id
                # In the first list a start counts as reported when it happened. Otherwise, after a restart of
                # this balancer, half-warm servers would count as just started, though other balancers have
                # known them for long.
                self.on_server_start(server, server.started_at if first else self.host.now, server.started_at)
                server.local_state.started_at = server.started_at
                if first:
                    self.slow_start.use_up_tokens(server)
        self.refresh_usable()
        self.overload.on_servers_listed(self.fleet)

    def refresh_usable(self) -> None:
        """Rebuilds the list of usable servers."""
        self.listing.ready = [s for s in self.fleet if s.usable]
        self.zone.checked_at, self.cached_fleet_load = -math.inf, (-math.inf, {})

    def on_server_start(self, server: Server, reported_at: float, started_at: float) -> None:
        """Treats the server as cold since `started_at`. The start was reported at `reported_at` (both in
        seconds). Earlier failures of the server no longer count."""
        state = server.local_state
        if state.warm_at <= self.host.now:
            # A server that is cold already keeps its budget: otherwise each of several starts reported in a
            # row would grant a full budget.
            state.tokens_issued, state.tokens_issued_at, state.tokens_used = (
                1 - state.rounding_offset,
                reported_at,
                0,
            )
        state.warm_at = started_at + self.settings.ramp_time
        state.consecutive_failures, state.unhealthy_until, state.failure_weight = 0, 0.0, 1.0

    def on_cordoned(self, server: Server, cordoned: bool) -> None:
        """Operators cordoned the server (`cordoned`) or uncordoned it. A cordoned one gets nothing new, and
        its connections are moved. An uncordoned one is cold."""
        state, now, before, server.cordoned = server.local_state, self.host.now, server.cordoned, cordoned
        if cordoned and not before:
            state.cordoned_at = now
            self.on_timer(server)
        elif before and not cordoned:
            state.unused_since_uncordon, state.limit = True, math.inf
            if state.started_at < state.cordoned_at:  # it may have restarted without the list knowing yet
                self.on_server_start(server, now, now)
        self.on_servers_listed([server])

    def update_capacity(self, server: Server) -> None:
        """Sets the server's capacity from its weight. A live weight falls with the calls that the server
        holds, so the capacity is the most that its machine type was ever listed with."""
        known = self.max_weights.get(server.machine_type, 0.0) if self.settings.live else 0.0
        server.capacity = max(server.weight, known)
        if server.weight > known and self.settings.live:
            self.max_weights[server.machine_type] = server.weight
            for other in self.fleet:
                if other.machine_type == server.machine_type:
                    other.capacity = server.weight

    def avoids(self, server: Server) -> bool:
        """Returns whether this listed server is kept from new calls now: by the list, by operators, for
        failures or for late messages."""
        fit = self.selection.healthy(server) and not self.selection.reported_overloaded(server)
        return server not in self.listing.ready or not fit

    def on_discovery_failed(self, reached: bool = True) -> None:
        """A call to discovery failed; `reached` unless it could not even connect."""
        if self.settings.asks:
            self.host.set_timer(self.host.now + self.discovery_retry.next_delay(reached), "watch")
