"""A simulation run of a scenario on virtual time.

Creates servers and balancers, samples all servers periodically, carries datagrams between balancers and
plays the troubles (faults and load changes) of the scenario. A run with the same scenario, seed and policy
gives the same trace to the last entry. The module holds no decision logic: each balancer is a build of the
decision module that the caller passes in, with the bookkeeping (`Accounting`) that all hosts share.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from bellrack import choice, model
from bellrack.lab import scenario as scenarios
from bellrack.lab.clients import Attempt, Clients
from bellrack.lab.discovery_model import DiscoveryModel, Front
from bellrack.lab.event_queue import RESULT, SAMPLE, START, TROUBLE, EventQueue
from bellrack.lab.legs import ServerLegs, VirtualLegs
from bellrack.lab.machine import Machine, SessionStore
from bellrack.lab.node import LegRecord, VirtualNode
from bellrack.lab.scenario import Scenario
from bellrack.lab.service_record import SAMPLE_SECONDS, ServiceRecord
from bellrack.lab.streams import RandomStreams
from bellrack.lab.trace import Trace
from bellrack.model import Settings, TrafficType
from bellrack.net import lines

# Servers report message delays above this share of the shortest message aim of all traffic types.
LATE_DELAY_SHARE = 1 / 3
LATE_REPORT_SECONDS = 1.0  # interval of these reports
MAX_DATAGRAM_BYTES = 256
REORDER_DELAY_FACTOR = 10  # the delay of a reordered datagram is multiplied by this
# Random orders of the servers of a zone, over which standing connections without a group are distributed.
STANDING_ORDERS = 64
# At the start, connections of a group share a server until its load reaches this multiple of the zone's mean.
MAX_STANDING_RATIO = 1.25


class World:
    """One run: servers, balancers, clients, discovery and the front on one event queue.

    `policy` makes the balancer class from the world; without it the balancers are `choice.Balancer`.
    """

    legs_class: type[ServerLegs] = VirtualLegs

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy: Callable[[World], Callable[..., Any]] | None = None,
        event_queue: EventQueue | None = None,
    ):
        self.scenario, self.seed = scenario, seed
        self.streams, self.event_queue, self.trace = RandomStreams(seed), event_queue or EventQueue(), Trace()
        self.counters: Counter = Counter()
        self.log_lines: list[tuple[float, str, str]] = []
        self.jitter, self.down_since = self.streams["net"], {}
        self.machines = self.make_machines()
        self.id_hashes = {machine: lines.id_hash(machine.name) for machine in self.machines}
        self.machines_by_name = {machine.name: machine for machine in self.machines}
        self.service_record, self.store = ServiceRecord(scenario, self.machines), SessionStore(scenario.store)
        self.discovery, self.front, self.legs = DiscoveryModel(self), Front(self), self.legs_class(self)
        self.balancer_class = policy(self) if policy else choice.Balancer
        self.nodes: list[VirtualNode] = []  # the latest incarnation of each balancer, by number
        self.clients = Clients(self)
        self.partitioned: list[tuple[int, int]] = []  # (sender, receiver) zones whose datagrams are lost
        self.shortest_message_aim = min(kind.message_aim for kind in scenario.type)
        self.reported_late: dict[Machine, bool] = {}  # whether its last sample was over the limit
        self.store_calls: list[int] = []  # cumulative count at the end of each second
        self.answers: list[dict[str, int]] = []  # cumulative counts by answer at the end of each second

    @property
    def now(self) -> float:
        """Seconds on the clock of the run."""
        return self.event_queue.now

    # Creation of servers and balancers.

    def make_machines(self) -> list[Machine]:
        """The servers of the scenario, in the order of the file; speeds are drawn."""
        scenario, stream = self.scenario, self.streams["machines"]
        zones = {zone.name: index for index, zone in enumerate(scenario.zone)}
        kinds = {kind.name: kind for kind in scenario.kind}
        group_cost, machines = scenario.groups.cost * scenario.load.mean, []
        for number, (name, row) in enumerate(scenarios.server_names(scenario)):
            kind = kinds[row.kind]
            speed = kind.speed * (1 + kind.speed_spread * (2 * stream.uniform() - 1))
            machines.append(
                Machine(name, zones[row.zone], number % scenario.cells, kind, speed, scenario, group_cost)
            )
        return machines

    def settings(self, zone: int) -> Settings:
        """The settings of the balancers of a zone."""
        scenario, rules = self.scenario, self.scenario.rules
        types = [
            TrafficType(kind.effect, kind.group, kind.remembered, kind.setup_target, kind.message_aim)
            for kind in scenario.type
        ]
        return Settings(
            types=types,
            zone=zone,
            peers=sum(zone.balancers for zone in scenario.zone),
            asks=scenario.listing.asks,
            live=False,
            report=(),
            max_legs=rules.max_legs,
            max_open_wait=rules.max_open_wait,
            tick=rules.tick,
            answer_slack=rules.answer_slack,
            cold_share=min((kind.cold_share for kind in scenario.kind), default=1.0),
            ramp_time=max((kind.warm_up for kind in scenario.kind), default=0.0),
            overload_factor=rules.push_multiple,
            fall_time=rules.push_window,
        )

    def start_balancer(self, number: int, before: VirtualNode | None = None) -> VirtualNode:
        """Starts a balancer. After a restart it begins with the list that its predecessor `before` had."""
        name, zone = scenarios.balancer_names(self.scenario)[number]
        node = VirtualNode(
            self,
            name,
            number,
            zone,
            before.incarnation + 1 if before else 0,
            self.settings(zone),
            self.streams[f"balancer {name}"].draw_seed(),
            self.balancer_class,
        )
        self.nodes[number : number + 1] = [node]
        self.trace.add(self.now, "start", name, node.incarnation)
        known = before.told if before and before.told else self.discovery.known
        node.apply_list([(machine, state, since) for machine, (state, since) in known.items()], True)
        node.begin_watch()
        return node

    def delay(self, zone: int, other: int) -> float:
        """Draws a one-way network delay between two zones, in seconds."""
        net = self.scenario.net
        return (net.same if zone == other else net.cross) * (1 + net.jitter * self.jitter.uniform())

    def client_delay(self) -> float:
        """Draws a one-way network delay between a client and a balancer of its zone, in seconds."""
        return self.scenario.net.client * (1 + self.scenario.net.jitter * self.jitter.uniform())

    # The run.

    def play(self) -> World:
        """Plays the whole scenario and its tail."""
        length = self.scenario.length
        for number, _ in enumerate(scenarios.balancer_names(self.scenario)):
            self.front.add(self.start_balancer(number))
        self.create_standing_connections()
        self.schedule_start()
        self.event_queue.run(START + length)
        self.event_queue.run(START + length + self.scenario.tail)
        return self

    def schedule_start(self) -> None:
        """Schedules the first events of the run: troubles, arrivals and the periodic samples."""
        for trouble in self.scenario.trouble:
            self.event_queue.schedule_at(START + trouble.at, TROUBLE, self.begin_trouble, trouble)
        self.clients.begin()
        self.event_queue.schedule_at(START + SAMPLE_SECONDS, SAMPLE, self.take_sample)
        self.event_queue.schedule_at(START + LATE_REPORT_SECONDS, SAMPLE, self.report_late_messages)

    def create_standing_connections(self) -> None:
        """Creates the connections that are open when the run begins.

        Each is in the zone of its client. Connections of a group share a server as long as the load of that
        server stays under MAX_STANDING_RATIO times the mean of the zone.
        """
        stream, orders = self.streams["standing"], {}
        servers_by_zone = [
            [m for m in self.machines if m.zone == zone] or self.machines
            for zone in range(len(self.scenario.zone))
        ]
        capacities = {m: m.capacity(self.now) for m in self.machines}
        zone_capacities = [sum(capacities[m] for m in servers) for servers in servers_by_zone]
        zone_loads = [0.0 for _ in servers_by_zone]
        for _ in range(self.scenario.clients.standing if self.machines else 0):
            demand = self.clients.new_demand()
            node, zone = self.front.choose(demand.zone), demand.zone
            order_key = zone, demand.group or -1 - int(stream.uniform() * STANDING_ORDERS)
            if order_key not in orders:
                orders[order_key] = sorted(servers_by_zone[zone], key=lambda _: stream.uniform())
            zone_loads[zone] += demand.load
            limit = MAX_STANDING_RATIO * zone_loads[zone] / zone_capacities[zone]
            machine = next(
                (m for m in orders[order_key] if m.demand <= limit * capacities[m]), orders[order_key][0]
            )
            self.clients.calls += 1
            attempt = demand.attempt = Attempt(
                self.clients.calls, demand, node, self.now, self.now, self.client_delay()
            )
            attempt.outcome = "completed"
            self.legs.add_standing(node.resume_standing(attempt, machine))

    def take_sample(self) -> None:
        """Samples the service of all connections, lets overloaded servers shed connections, and records
        counts once a second."""
        now, kinds = self.now, self.scenario.type
        if now > START + self.scenario.length + SAMPLE_SECONDS / 2:
            return
        messages_in_time = []
        for machine in self.machines:
            if not machine.up or machine.silent or machine.hung_until > now:
                messages_in_time.append([0] * len(kinds))
                continue
            for leg_record in machine.connections_to_shed(now):
                if leg_record.up:
                    self.legs.shed(leg_record)
            delay = machine.message_delay(now)
            messages_in_time.append([int(delay <= kind.message_aim) for kind in kinds])
        self.service_record.take_sample(messages_in_time)
        if len(self.service_record.samples) * SAMPLE_SECONDS % 1 == 0:
            self.store_calls.append(self.store.calls)
            self.answers.append(
                {how: self.counters[how] for how in ("completed", "rejected", "released", "gave_up")}
            )
        self.event_queue.schedule_after(SAMPLE_SECONDS, SAMPLE, self.take_sample)

    def report_late_messages(self) -> None:
        """Makes servers report late messages, on one connection of each balancer.

        A server whose messages are in time again reports this once.
        """
        for machine in self.machines:
            if not machine.up or machine.silent or machine.hung_until > self.now:
                continue
            delay = machine.message_delay(self.now)
            late = delay > LATE_DELAY_SHARE * self.shortest_message_aim
            if late or self.reported_late.get(machine):
                for leg_records in self.legs.standing[machine].values():
                    leg_record = next(
                        (leg_record for leg_record in leg_records if leg_record.established), None
                    )
                    if leg_record:
                        self.event_queue.schedule_after(
                            leg_record.delay, RESULT, self.report_delay, leg_record, delay
                        )
            self.reported_late[machine] = late
        if self.now < START + self.scenario.length + self.scenario.tail:
            self.event_queue.schedule_after(LATE_REPORT_SECONDS, SAMPLE, self.report_late_messages)

    def report_delay(self, leg_record: LegRecord, delay: float) -> None:
        """A server's report of its message delay (seconds) arrives at the balancer of the leg."""
        if not leg_record.over:
            leg_record.node.turn(leg_record.node.balancer.on_delay_reported, leg_record.leg, delay)

    def on_server_fell(self, machine: Machine) -> None:
        """A cold server fell over under too many requests: its process is gone for good."""
        self.trace.add(self.now, "server", machine.name, "fell")
        self.counters["fell"] += 1
        self.stop_machine(machine, False)
        self.discovery.change(machine, model.GONE, machine.started)

    def send_datagram(self, sender: VirtualNode, peer: int | None, data: bytes) -> None:
        """Sends a datagram to one balancer, or to all others if `peer` is None."""
        config, stream = self.scenario.datagrams, self.streams["datagrams"]
        if not config.allowed or len(data) > MAX_DATAGRAM_BYTES:
            self.counters["datagrams_refused"] += 1
            return
        for number in range(len(self.nodes)) if peer is None else (peer,):
            if number == sender.number:
                continue
            self.counters["datagrams"] += 1
            self.counters["datagram_bytes"] += len(data)
            for _ in range(1 + stream.bernoulli(config.twice)):
                wait = stream.uniform_between(config.delay) * (
                    REORDER_DELAY_FACTOR if stream.bernoulli(config.reorder) else 1
                )
                lost = stream.bernoulli(config.loss)
                if not lost and (sender.zone, self.nodes[number].zone) not in self.partitioned:
                    self.event_queue.schedule_after(
                        wait, RESULT, self.deliver_datagram, sender.number, number, data
                    )

    def deliver_datagram(self, sender: int, number: int, data: bytes) -> None:
        node = self.nodes[number]
        node.turn(node.balancer.on_datagram, sender, data)

    # Troubles: `do_KIND` begins one and schedules its end.

    def begin_trouble(self, trouble: scenarios.Trouble) -> None:
        """Begins a trouble: calls the method named after its kind in the scenario file."""
        name = type(trouble).__struct_config__.tag
        self.trace.add(self.now, "trouble", name)
        getattr(self, "do_" + name.replace("-", "_"))(trouble)

    def schedule_trouble_step(self, wait: float, callback: Callable, *values: Any) -> None:
        """Schedules a later step of a trouble, `wait` seconds from now."""
        self.event_queue.schedule_after(wait, TROUBLE, callback, *values)

    def affected_machines(self, trouble: Any) -> list[Machine]:
        """The servers that the trouble names; else as many running ones as it asks for, drawn at random."""
        if trouble.servers:
            return [self.machines_by_name[name] for name in trouble.servers]
        zones = [zone.name for zone in self.scenario.zone]
        candidates = [m for m in self.machines if m.up and trouble.zone in ("", zones[m.zone])]
        return self.streams[f"trouble {trouble.at} {type(trouble).__name__}"].sample(
            candidates, trouble.count or len(candidates)
        )

    def stop_machine(self, machine: Machine, silent: bool) -> None:
        """Ends a server's process; where `silent`, its machine vanishes and sends no resets."""
        self.trace.add(self.now, "server", machine.name, "down")
        self.down_since[machine] = self.now
        self.legs.end_all(machine, silent)
        machine.stop()
        machine.silent = silent

    def restart_machine(self, machine: Machine, told_older: float = 0.0) -> None:
        """Starts a server again, cold. Discovery lists its start `told_older` seconds too early."""
        if machine.up or machine.fallen:
            return  # an overlapping trouble has started it already, or it fell over and stays down
        machine.start(self.now)
        self.trace.add(self.now, "server", machine.name, "cold")
        self.discovery.change(machine, model.READY, self.now - told_older)

    def do_crash(self, trouble: scenarios.Crash) -> None:
        """Stops servers, and restarts them if the trouble has an end."""
        for machine in self.affected_machines(trouble):
            if not machine.up:
                continue
            self.stop_machine(machine, trouble.silent)
            self.discovery.change(machine, model.GONE, machine.started, trouble.silent)
            if trouble.lasts:
                self.schedule_trouble_step(trouble.lasts, self.restart_machine, machine, trouble.told_older)

    def do_drain(self, trouble: scenarios.Drain) -> None:
        """Drains servers, then stops them."""
        for machine in self.affected_machines(trouble):
            if not machine.up:
                continue
            machine.draining = True
            self.trace.add(self.now, "server", machine.name, "drain")
            self.discovery.change(machine, model.DRAINING, machine.started)
            self.schedule_trouble_step(
                trouble.lasts, self.finish_drain, machine, machine.starts, trouble.back
            )

    def finish_drain(self, machine: Machine, starts: int, back: float) -> None:
        """Stops a drained server, unless it was restarted meanwhile (`starts` differs); restarts it after
        `back` seconds unless that is 0."""
        if machine.starts != starts or not machine.up:
            return
        self.stop_machine(machine, False)
        self.discovery.change(machine, model.GONE, machine.started)
        if back:
            self.schedule_trouble_step(back, self.restart_machine, machine)

    def do_slow(self, trouble: scenarios.Slow) -> None:
        """Slows servers down for a while."""
        for machine in self.affected_machines(trouble):
            self.change_speed(machine, trouble.factor)
            self.schedule_trouble_step(trouble.lasts, self.change_speed, machine, 1 / trouble.factor)

    def change_speed(self, machine: Machine, factor: float) -> None:
        """Multiplies a server's slowdown by the factor."""
        machine.advance(self.now)
        machine.slowdown *= factor

    def do_failing(self, trouble: scenarios.Failing) -> None:
        """Makes servers fail a share of their set-ups for a while."""
        for machine in self.affected_machines(trouble):
            machine.failures.append(trouble.share)
            self.schedule_trouble_step(trouble.lasts, machine.failures.remove, trouble.share)

    def do_hang(self, trouble: scenarios.Hang) -> None:
        """Makes servers accept connections and answer nothing for a while."""
        for machine in self.affected_machines(trouble):
            if machine.up:
                machine.hung_until = max(machine.hung_until, self.now + trouble.lasts)
                self.trace.add(self.now, "server", machine.name, "hang")
                self.on_hang(machine)

    def on_hang(self, machine: Machine) -> None:
        """A server began to hang."""
        self.legs.on_hang(machine)

    # Clients that stop reading have no effect on virtual time, where no bytes are sent.
    def do_stall(self, trouble: scenarios.Stall) -> None: ...

    def do_zone_lost(self, trouble: scenarios.ZoneLost) -> None:
        """Takes down the servers of a zone without resets, and its balancers if the trouble says so."""
        zone = [zone.name for zone in self.scenario.zone].index(trouble.zone)
        for machine in self.machines:
            if machine.zone == zone and machine.up:
                self.stop_machine(machine, True)
                self.discovery.change(machine, model.GONE, machine.started, True)
                self.schedule_trouble_step(trouble.lasts, self.restart_machine, machine)
        for node in list(self.nodes) if trouble.balancers else ():
            if node.zone == zone:
                self.kill(node, trouble.lasts)

    def do_list_down(self, trouble: scenarios.ListDown) -> None:
        """Takes discovery down for a while."""
        self.discovery.set_outage(True)
        self.schedule_trouble_step(trouble.lasts, self.discovery.set_outage, False)

    def do_store_slow(self, trouble: scenarios.StoreSlow) -> None:
        """Slows the session store down for a while."""
        self.store.slowdown *= trouble.factor
        self.schedule_trouble_step(trouble.lasts, self.change_store_speed, 1 / trouble.factor)

    def change_store_speed(self, factor: float) -> None:
        """Multiplies the slowdown of the session store by the factor."""
        self.store.slowdown *= factor

    def do_dear(self, trouble: scenarios.Dear) -> None:
        """Makes calls of a tenant or traffic type more expensive for a while."""
        self.clients.dear.append(trouble)
        self.schedule_trouble_step(trouble.lasts, self.clients.dear.remove, trouble)

    def do_burst(self, trouble: scenarios.Burst) -> None:
        """Multiplies the arrival rate for a while."""
        self.clients.burst *= trouble.factor
        self.schedule_trouble_step(trouble.lasts, self.end_burst, trouble.factor)

    def end_burst(self, factor: float) -> None:
        """Takes the factor of a burst back."""
        self.clients.burst /= factor

    def do_drop(self, trouble: scenarios.Drop) -> None:
        """Makes a share of the clients disconnect at once and come again."""
        zones = [zone.name for zone in self.scenario.zone]
        self.clients.drop_clients(trouble.share, zones.index(trouble.zone) if trouble.zone else None)

    def do_killed(self, trouble: scenarios.Killed) -> None:
        """Kills balancers."""
        zones = [zone.name for zone in self.scenario.zone]
        victims = [node for node in self.nodes if node.alive and trouble.zone in ("", zones[node.zone])]
        if trouble.balancers:
            victims = [node for node in victims if node.name in trouble.balancers]
        elif trouble.count:
            victims = self.streams[f"trouble {trouble.at} killed"].sample(victims, trouble.count)
        for node in victims:
            self.kill(node, trouble.lasts)

    def kill(self, node: VirtualNode, lasts: float) -> None:
        """Kills a balancer; it starts again after `lasts` seconds, unless that is 0."""
        if not node.alive:
            return
        node.stop("killed")
        self.schedule_trouble_step(self.scenario.front.notice, self.front.remove, node)
        if lasts:
            self.schedule_trouble_step(lasts, self.restart_balancer, node)

    def restart_balancer(self, node: VirtualNode) -> None:
        """Starts the successor of a balancer that ended."""
        self.front.remove(node)
        successor = self.start_balancer(node.number, node)
        self.schedule_trouble_step(self.scenario.front.ready, self.front.add, successor)

    def do_rolled(self, trouble: scenarios.Rolled) -> None:
        """Restarts balancers one after the other, with notice."""
        zones = [zone.name for zone in self.scenario.zone]
        chosen = [node.number for node in self.nodes if trouble.zone in ("", zones[node.zone])]
        for position, number in enumerate(chosen):
            self.schedule_trouble_step(position * trouble.gap, self.start_roll, number, trouble)

    def start_roll(self, number: int, trouble: scenarios.Rolled) -> None:
        """Begins the planned restart of one balancer."""
        node = self.nodes[number]
        if node.alive and not node.shutting_down:
            node.begin_shutdown(trouble.grace)
            self.front.remove(node)  # the front is told of planned restarts
            self.schedule_trouble_step(trouble.grace, self.finish_roll, node, trouble.down)

    def finish_roll(self, node: VirtualNode, down: float) -> None:
        """Ends a balancer at the end of its grace period; its successor starts `down` seconds later."""
        if node.alive:
            node.stop("left")
            self.schedule_trouble_step(down, self.restart_balancer, node)

    def do_partition(self, trouble: scenarios.Partition) -> None:
        """Loses the datagrams between two zones for a while, in one direction or in both."""
        zones = [zone.name for zone in self.scenario.zone]
        pair = zones.index(trouble.zone), zones.index(trouble.other)
        for direction in (pair,) if trouble.one_way else (pair, pair[::-1]):
            self.partitioned.append(direction)
            self.schedule_trouble_step(trouble.lasts, self.partitioned.remove, direction)
