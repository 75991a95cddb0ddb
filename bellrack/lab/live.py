"""A scenario on real sockets: bellrack serve processes before stand-in servers, all on loopback.

Owns the processes and their end, and the world in real time: the same model of servers, store, list, front,
clients and troubles as on virtual time, behind sockets. It leaves no process and no file behind, however it
ends: what balancers are told lies in memory, and they die with the process that started them.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tqdm import tqdm

from bellrack import model
from bellrack.lab import run as runs
from bellrack.lab import scenario as forms
from bellrack.lab.clients import Attempt
from bellrack.lab.event_queue import ARRIVAL, RESULT, SAMPLE, START, EventQueue
from bellrack.lab.legs import ServerLegs
from bellrack.lab.machine import Machine
from bellrack.lab.node import BalancerRecord, LegRecord
from bellrack.lab.rule_checker import RuleChecker
from bellrack.lab.scenario import Scenario, ScenarioError
from bellrack.lab.sockets import (
    HOST,
    ClientConnection,
    DiscoveryConnection,
    Port,
    Relay,
    ServerConnection,
    free_ports,
)
from bellrack.lab.world import MAX_DATAGRAM_BYTES, REORDER_DELAY_FACTOR, World

A_PAIR = 2  # descriptors of ours for a standing connection: its client's and its server's
SPARE = 256  # descriptors kept for all else
A_CORE = 250  # connections that come up a second, at most, on a core
BALANCERS_A_CORE = 4
READY_WITHIN = 20.0  # seconds until all balancers are up, else the run is given up
UP_WITHIN = 40.0  # seconds until all that stood before the run stands
PING_EACH = 0.02  # seconds between looks whether a balancer is ready
LIMIT = 0.05  # seconds added to each time limit on real sockets
LAG_EACH = 0.05  # seconds between looks how late our own loop is
MAX_LOOP_LAG_SECONDS = 0.2  # seconds: a loop as late as that makes the run's figures doubtful
LAST_WORD = 5.0  # seconds that balancers get to end when a run is over
EFFECTS = {model.REPEATABLE: "retryable", model.REFERENCED: "dedup", model.ONCE_ONLY: "fragile"}
LIFECYCLES = {model.READY: "in_service", model.DRAINING: "terminating", model.GONE: "terminated"}
NEGATIVE = {model.FULL: "BUSY", model.ERROR: "ERR"}
DIE_WITH_PARENT = 1  # PR_SET_PDEATHSIG


class LiveEventQueue(EventQueue):
    """Real time, counted from when the run is set off. What is put down before waits for that."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_error: Callable[[Exception], None]):
        super().__init__()
        self.loop, self.on_error = loop, on_error
        self.begun: float | None = None
        self.before: list[tuple] = []

    @property
    def now(self) -> float:
        return START if self.begun is None else START + self.loop.time() - self.begun

    @now.setter
    def now(self, value: float) -> None: ...

    def begin(self) -> None:
        self.begun = self.loop.time()
        before, self.before = self.before, []
        for when, rank, what, values in before:
            self.schedule_at(when, rank, what, *values)

    def schedule_at(self, when: float, rank: int, what: Callable, *values: object) -> None:
        if self.begun is None:
            self.before.append((when, rank, what, values))
        else:
            self.loop.call_at(self.begun + when - START, self.guarded, what, values)

    def guarded(self, what: Callable, values: tuple) -> None:
        try:
            what(*values)
        except Exception as error:
            self.on_error(error)


class LiveNode(BalancerRecord):
    """A balancer's process, and the world's side of its connections."""

    world: LiveWorld

    def __init__(self, world: LiveWorld, name: str, number: int, zone: int, incarnation: int, seed: int):
        super().__init__(world, name, number, zone, incarnation)
        self.seed, self.process, self.config = seed, None, -1
        self.discovery_conns: dict[DiscoveryConnection, None] = {}
        self.watcher: DiscoveryConnection | None = None
        self.version = 0
        self.lines: dict[Attempt, ClientConnection] = {}
        self.memory_kb = 0

    def turn(self, what: Callable, *values: Any) -> None:
        if self.alive:
            what(*values)

    # Its process.

    async def start(self) -> None:
        world = self.world
        self.config = os.memfd_create(f"bellrack-{self.name}")
        os.write(self.config, json.dumps(world.configuration(self)).encode())
        path = f"/dev/fd/{self.config}"
        errors = asyncio.subprocess.DEVNULL
        if world.logs:
            errors = open(world.logs / f"{self.name}-{self.incarnation}.log", "wb")  # noqa: SIM115 - the child's
        try:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bellrack",
                "serve",
                f"--config={path}",
                pass_fds=[self.config],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=errors,
                preexec_fn=self.limited,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
        finally:
            if world.logs:
                errors.close()
        world.processes.add(self.process)

    def limited(self) -> None:
        """In the child, before it becomes a balancer."""
        limits = self.world.scenario.limits
        ctypes.CDLL(None).prctl(DIE_WITH_PARENT, signal.SIGKILL)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limits.sockets, limits.sockets))
        if limits.memory_mb:
            resource.setrlimit(resource.RLIMIT_DATA, (limits.memory_mb << 20, limits.memory_mb << 20))
        os.setsid()  # an interrupt at the terminal is ours to pass on

    async def ready(self) -> bool:
        """Has it answered a PING, as a front asks?"""
        while self.alive and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.world.listens[self.number])
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer.strip() == b"PONG":
                    return True
            await asyncio.sleep(PING_EACH)
        return False

    def signal(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            self.note_memory()
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def note_memory(self) -> None:
        """Its peak so far."""
        with contextlib.suppress(OSError, AttributeError, IndexError):  # it may be gone, or never was
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            peak = status.partition("VmHWM:")[2].split()[0]
            self.memory_kb = max(self.memory_kb, int(peak))

    def stop(self, how: str) -> None:
        self.signal(signal.SIGKILL)
        self.record_stop(how)
        self.let_go()

    def let_go(self) -> None:
        """Of what lies in memory for it."""
        self.note_memory()
        if self.config >= 0:
            os.close(self.config)
            self.config = -1

    def begin_shutdown(self, grace: float) -> None:
        if self.alive and not self.shutting_down:
            self.shutting_down = True
            self.signal(signal.SIGTERM)

    # Discovery.

    def watch_opened(self, line: DiscoveryConnection) -> None:
        self.watcher = line
        self.world.discovery.watching.pop(self, None)
        self.world.discovery.watch(self, True)

    def watch_closed(self, line: DiscoveryConnection) -> None:
        if self.watcher is line:
            self.watcher = None
            self.world.discovery.watching.pop(self, None)

    def request_refused(self) -> None:
        self.discovery_failed = True

    def apply_list(self, rows: list[tuple[Machine, str, float]], whole: bool) -> None:
        if self.watcher and self.alive:
            self.watcher.send_chunk(json.dumps(self.list_message(rows, whole)).encode() + b"\n")
            for machine, state, since in rows:
                self.record_told(machine, state, since)

    def list_message(self, rows: list[tuple[Machine, str, float]], whole: bool) -> dict[str, Any]:
        self.version += 1
        world = self.world
        return {
            "generation": self.version,
            "reset": whole,
            "instances": [
                {
                    "instanceId": machine.name,
                    "hostPort": f"{HOST}:{world.ports[machine].number}",
                    "zone": world.scenario.zone[machine.zone].name,
                    "machineType": machine.kind.name,
                    "cell": machine.cell,
                    "lifecycle": LIFECYCLES[state],
                    "weight": machine.kind.listed,
                    "startedAtMs": round((since + world.unix) * 1000) if since else 0,
                }
                for machine, state, since in rows
            ],
        }

    def on_discovery_failure(self) -> None:
        """Discovery is down: its watch ends."""
        self.discovery_failed = True
        if self.watcher:
            self.watcher.reset()
            self.watch_closed(self.watcher)

    # Its clients.

    def start_call(self, attempt: Attempt, at: str = "") -> None:
        """Connect, and say the first line."""
        world, demand = self.world, attempt.demand
        kind = world.scenario.type[demand.type]
        wait = max(1, round((attempt.guard - world.now) * 1000)) if not at else 3_600_000
        pairs = [f"c={kind.name}", f"d={wait}"]
        if world.scenario.tenant:
            pairs.append(f"t={world.scenario.tenant[demand.tenant].name}")
        if demand.group:
            pairs.append(f"g={demand.group:x}")
        pairs += ["r=1"] * attempt.repeat + ["again=1"] * demand.returned + [f"at={at}"] * bool(at)
        line = ClientConnection(
            self, attempt, f"OPEN {world.mark_of(attempt)} {demand.key:x} {','.join(pairs)}"
        )
        self.lines[attempt] = line
        world.by_mark[world.mark_of(attempt)] = attempt
        world.start_task(self.dial(attempt, line))

    async def dial(self, attempt: Attempt, line: ClientConnection) -> None:
        try:
            await self.world.loop.create_connection(lambda: line, *self.world.listens[self.number])
        except OSError:
            if not line.closed:
                line.closed = True
                self.done_with(attempt)
                attempt.on_answer("unreached", 0.0)

    def wrote(self, attempt: Attempt) -> None:
        attempt.call = attempt.call or attempt  # its balancer has it
        if attempt.outcome != "completed":  # else it stood before the run
            self.record_call(attempt)

    def answered(self, line: ClientConnection, word: str, rest: str) -> None:
        attempt = line.attempt
        if attempt.outcome == "completed":
            self.world.came_back(word)
            return
        how = {"UP": "completed", "BUSY": "rejected"}.get(word, "released")
        wait = int(rest) / 1000 if how == "rejected" and rest.isdigit() else 0.0
        self.record_answer(attempt, how, wait)
        if attempt.leg_record and how == "completed":
            attempt.leg_record.established = True
        self.world.event_queue.schedule_after(attempt.delay, ARRIVAL, attempt.on_answer, how, wait)
        if how != "completed":
            line.close()
            self.done_with(attempt)

    def ended(self, line: ClientConnection) -> None:
        """The balancer has ended the connection, or died."""
        attempt = line.attempt
        self.done_with(attempt)
        if line.moved:
            self.world.counters["moves"] += 1
        self.world.event_queue.schedule_after(
            attempt.delay,
            ARRIVAL,
            attempt.on_connection_end,
            "moved" if line.moved else "reset" if line.answer else "balancer killed",
        )

    def on_client_closed(self, attempt: Attempt, kind: str) -> None:
        """The client ends it."""
        line = self.lines.get(attempt)
        if line and not line.closed:
            if not line.answer:
                self.world.trace.add(self.world.now, "gone", attempt.id)
            line.close()
            self.done_with(attempt)

    def done_with(self, attempt: Attempt) -> None:
        self.lines.pop(attempt, None)
        self.world.by_mark.pop(self.world.mark_of(attempt), None)

    def resume_standing(self, attempt: Attempt, machine: Machine) -> LegRecord:
        """A connection that stands before the run: its client comes with `at=`, its server knows it."""
        leg_record = attempt.leg_record = LegRecord(
            attempt, None, machine, 1, self.world.now, self.world.delay(self.zone, machine.zone)
        )
        leg_record.established = True
        self.record_stood(attempt, machine)
        self.world.standing_wanted += 1
        self.start_call(attempt, machine.name)
        return leg_record


class LiveLegs(ServerLegs):
    """Set-ups at servers behind sockets."""

    world: LiveWorld

    def line_came(self, link: ServerConnection, line: str) -> None:
        """A leg's first line; what is no OPEN of ours is a probe, or void."""
        words = line.split(" ")
        if words[0] == "PING":
            link.send_line("PONG")
            return
        attempt = self.world.by_mark.get(words[1]) if words[0] == "OPEN" and len(words) == 4 else None
        if attempt is None:
            link.send_line("SYNTAX")  # also of a client that has gone meanwhile: nobody waits for it
            link.close()
            return
        if ",at=" in words[3]:
            attempt.leg_record.link, link.leg_record = link, attempt.leg_record
            link.send_line("UP 0")
            return
        attempt.call = attempt.call or attempt
        self.world.order[attempt] = number = self.world.order.get(attempt, 0) + 1
        leg_record = link.leg_record = LegRecord(
            attempt,
            None,
            link.machine,
            number,
            self.world.now,
            self.world.delay(attempt.node.zone, link.machine.zone),
        )
        leg_record.link = link
        self.record_sent(leg_record)
        # The way that the network of the scenario is longer than loopback.
        self.world.event_queue.schedule_after(3 * leg_record.delay, RESULT, self.on_first_line, leg_record)

    def on_first_line(self, leg_record: LegRecord) -> None:
        if leg_record.machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(
                leg_record.machine.hung_until, RESULT, self.on_first_line, leg_record
            )
        elif leg_record.machine.up and not leg_record.machine.silent and not leg_record.over:
            self.accept_setup(leg_record)

    def report_result(self, leg_record: LegRecord, kind: str, wait: float) -> None:
        self.world.event_queue.schedule_after(wait, RESULT, self.tell_result, leg_record, kind)

    def tell_result(self, leg_record: LegRecord, kind: str) -> None:
        if leg_record.over:
            return
        self.is_over(leg_record, kind)
        if kind in NEGATIVE:
            leg_record.link.send_line(NEGATIVE[kind])
            leg_record.link.close()
        else:
            leg_record.link.reset()

    def is_over(self, leg_record: LegRecord, kind: str) -> None:
        leg_record.over = True
        leg_record.node.record_back(leg_record, kind)

    def report_up(self, leg_record: LegRecord) -> None:
        self.world.event_queue.schedule_after(leg_record.delay, RESULT, self.tell_up, leg_record)

    def tell_up(self, leg_record: LegRecord) -> None:
        if not leg_record.over and leg_record.up:
            leg_record.link.send_line(f"UP {leg_record.attempt.id:x}")
            leg_record.link.stream(self.world.scenario.clients.stream)

    def report_end(self, leg_record: LegRecord, silent: bool) -> None:
        if not silent:
            self.is_over(leg_record, model.RESET)
            leg_record.link.reset()

    def link_lost(self, link: ServerConnection) -> None:
        """The balancer's side has ended."""
        leg_record = link.leg_record
        if leg_record is None or leg_record.over:
            return
        self.is_over(
            leg_record, model.COMPLETED if leg_record.established and leg_record.up else model.CANCELLED
        )
        if not link.transport.is_closing():
            link.transport.close()
        if leg_record.up:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.remove_from_machine(leg_record)


class BackgroundTasks:
    """What runs beside a run on sockets. Whoever derives from it makes the three."""

    loop: asyncio.AbstractEventLoop
    failure: asyncio.Future
    tasks: set[asyncio.Task]

    def fail(self, error: BaseException) -> None:
        """A fault of the lab's own ends the run."""
        if not self.failure.done():
            self.failure.set_exception(error)

    def start_task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)

    def task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.fail(task.exception())


class LiveWorld(BackgroundTasks, World):
    legs_class = LiveLegs
    nodes: list[LiveNode]

    def __init__(self, scenario: Scenario, seed: int, loop: asyncio.AbstractEventLoop, logs: Path | None):
        self.loop, self.logs = loop, logs
        self.processes: set[asyncio.subprocess.Process] = set()
        self.tasks: set[asyncio.Task] = set()
        self.failure: asyncio.Future = loop.create_future()
        self.by_mark: dict[str, Attempt] = {}
        self.order: dict[Attempt, int] = {}
        self.standing_wanted = self.standing_up = 0
        self.lag = self.memory_kb = 0.0
        self.unix = 0.0  # Unix time less the run's clock
        names = forms.balancer_names(scenario)
        # Held, not listened on: a number that is merely free may be another run's before its balancer is up.
        self.doors = [Port() for _ in names]
        for door in self.doors:
            door.refuse()
        self.listens = [(HOST, door.number) for door in self.doors]
        self.lists: list[Port] = [Port() for _ in names]
        self.relays: dict[tuple[int, int], Relay] = {}
        self.peer_ports = free_ports(len(names)) if scenario.datagrams.allowed else []
        super().__init__(scenario, seed, None, LiveEventQueue(loop, self.fail))
        self.ports = {machine: Port() for machine in self.machines}
        self.server_lines: dict[Machine, dict[ServerConnection, None]] = {m: {} for m in self.machines}

    @staticmethod
    def mark_of(attempt: Attempt) -> str:
        return f"{attempt.id:016x}"

    def came_back(self, word: str) -> None:
        """One that stood before the run is taken up, or is not."""
        if word != "UP":
            self.fail(ScenarioError(f"a connection that stood before the run was answered {word}"))
        self.standing_up += 1

    # What processes are told.

    def configuration(self, node: LiveNode) -> dict[str, Any]:
        scenario, number = self.scenario, node.number
        told = node.told or self.discovery.known
        config = {
            "name": node.name,
            "listen": f"{HOST}:{self.listens[number][1]}",
            "discovery": f"{HOST}:{self.lists[number].number}",
            "seed": f"{node.seed:x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": scenario.limits.memory_mb or 192,
                "sockets": scenario.limits.sockets,
            },
            "known": node.list_message([(m, *known) for m, known in told.items()], True),
            "settings": platform_settings(scenario, self.settings(node.zone), number),
        }
        if self.peer_ports:
            config["peer_listen"] = f"{HOST}:{self.peer_ports[number]}"
            config["peers"] = [
                config["peer_listen"]
                if other == number
                else f"{HOST}:{self.relays[number, other].transport.get_extra_info('sockname')[1]}"
                for other in range(len(self.peer_ports))
            ]
        return config

    def relayed(self, relay: Relay, data: bytes) -> None:
        """A datagram came to where its sender knows another balancer; that one gets it from where it knows
        the sender."""
        form, stream = self.scenario.datagrams, self.streams["datagrams"]
        self.counters["datagrams"] += 1
        self.counters["datagram_bytes"] += len(data)
        way = self.nodes[relay.sender].zone, self.nodes[relay.receiver].zone
        if len(data) > MAX_DATAGRAM_BYTES or stream.bernoulli(form.loss) or way in self.partitioned:
            return
        wait = stream.uniform_between(form.delay) * (
            REORDER_DELAY_FACTOR if stream.bernoulli(form.reorder) else 1
        )
        back = self.relays[relay.receiver, relay.sender].transport
        for _ in range(1 + stream.bernoulli(form.twice)):
            self.event_queue.schedule_after(
                wait, RESULT, back.sendto, data, (HOST, self.peer_ports[relay.receiver])
            )

    # Servers and balancers.

    def stop_machine(self, machine: Machine, silent: bool) -> None:
        super().stop_machine(machine, silent)
        if silent:
            self.ports[machine].clog()
        else:
            for line in list(self.server_lines[machine]):
                line.reset()
            self.ports[machine].refuse()

    def restart_machine(self, machine: Machine, told_older: float = 0.0) -> None:
        if machine.up or machine.fallen:
            return
        for line in list(self.server_lines[machine]):
            line.reset()  # what was open to a machine that vanished
        super().restart_machine(machine, told_older)
        self.start_task(self.ports[machine].open(self.loop, lambda: ServerConnection(self, machine)))

    def start_balancer(self, number: int, before: LiveNode | None = None) -> LiveNode:
        name, zone = forms.balancer_names(self.scenario)[number]
        node = LiveNode(
            self,
            name,
            number,
            zone,
            before.incarnation + 1 if before else 0,
            self.streams[f"balancer {name}"].draw_seed(),
        )
        if before:
            self.memory_kb = max(self.memory_kb, before.memory_kb)
            node.told = before.told
        self.nodes[number : number + 1] = [node]
        self.trace.add(self.now, "start", name, node.incarnation)
        for machine, (state, since) in self.discovery.known.items() if not before else ():
            node.record_told(machine, state, since)
        return node

    def restart_balancer(self, node: LiveNode) -> None:
        self.front.remove(node)
        self.start_task(self.comes_up(self.start_balancer(node.number, node)))

    async def comes_up(self, node: LiveNode) -> None:
        await self.lists[node.number].open(self.loop, lambda: DiscoveryConnection(node))
        await node.start()
        if await node.ready():
            self.front.add(node)

    def do_stall(self, trouble: forms.Stall) -> None:
        stream = self.streams["stalls"]
        lines = [line for node in self.nodes for line in node.lines.values() if line.answer == "UP"]
        stalled = [line for line in lines if not line.closed and stream.bernoulli(trouble.share)]
        for line in stalled:
            line.transport.pause_reading()
        self.schedule_trouble_step(trouble.lasts, self.stall_over, stalled)

    def stall_over(self, stalled: list[ClientConnection]) -> None:
        for line in stalled:
            if not line.closed:
                line.transport.resume_reading()

    def on_hang(self, machine: Machine) -> None:
        super().on_hang(machine)
        self.event_queue.schedule_at(machine.hung_until, SAMPLE, self.speaks_again, machine)

    def speaks_again(self, machine: Machine) -> None:
        for line in list(self.server_lines[machine]):
            line.say_owed()

    def report_delay(self, leg_record: LegRecord, delay: float) -> None:
        if not leg_record.over and leg_record.up:
            leg_record.link.send_line(f"LOAD {delay * 1000:.3f}")

    # The run.

    async def play(self, tell: Callable[[float], None]) -> None:  # type: ignore[override]
        for machine, port in self.ports.items():
            await port.open(self.loop, lambda machine=machine: ServerConnection(self, machine))
        for sender in range(len(self.peer_ports)):
            for receiver in range(len(self.peer_ports)):
                if sender != receiver:
                    _, relay = await self.loop.create_datagram_endpoint(
                        lambda sender=sender, receiver=receiver: Relay(self, sender, receiver),
                        local_addr=(HOST, 0),
                    )
                    self.relays[sender, receiver] = relay
        self.unix = time.time() - START
        fresh = [self.start_balancer(number) for number, _ in enumerate(forms.balancer_names(self.scenario))]
        try:
            async with asyncio.timeout(READY_WITHIN):
                await asyncio.gather(*(self.comes_up(node) for node in fresh))
        except TimeoutError:
            raise ScenarioError(f"the balancers were not ready within {READY_WITHIN:g} s") from None
        if any(node.process.returncode is not None for node in fresh):
            raise ScenarioError("a balancer ended at its start; --logs=DIR keeps what it said")
        self.create_standing_connections()
        deadline = self.loop.time() + UP_WITHIN
        while self.standing_up < self.standing_wanted and not self.failure.done():
            if self.loop.time() > deadline:
                raise ScenarioError(
                    f"{self.standing_wanted - self.standing_up} connections that stood "
                    f"before the run were not up within {UP_WITHIN:g} s"
                )
            await asyncio.sleep(PING_EACH)
        self.unix = time.time() - START
        self.event_queue.begin()
        self.schedule_start()
        self.event_queue.schedule_at(START, SAMPLE, self.look_at_self, self.loop.time())
        end = self.event_queue.begun + self.scenario.length + self.scenario.tail
        while self.loop.time() < end and not self.failure.done():
            await asyncio.wait([self.failure], timeout=min(0.5, max(0.0, end - self.loop.time())))
            tell(min(self.scenario.length + self.scenario.tail, self.now - START))
            crashed = [
                node.name
                for node in self.nodes
                if node.alive
                and node.process
                and node.process.returncode is not None
                and not node.shutting_down
            ]
            if crashed:
                raise ScenarioError(f"{crashed[0]} ended by itself; --logs=DIR keeps what it said")
        if self.failure.done():
            self.failure.result()

    def look_at_self(self, due: float) -> None:
        """How late is our own loop?"""
        self.lag = max(self.lag, self.loop.time() - due)
        self.event_queue.schedule_after(LAG_EACH, SAMPLE, self.look_at_self, self.loop.time() + LAG_EACH)

    async def finish(self) -> None:
        """End all that was started, whatever has happened."""
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            node.let_go()
            self.memory_kb = max(self.memory_kb, node.memory_kb)
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), LAST_WORD)
        for port in [*getattr(self, "ports", {}).values(), *self.lists, *self.doors]:
            port.shut()
        for relay in self.relays.values():
            relay.transport.close()


def platform_settings(scenario: Scenario, settings: model.Settings, number: int) -> dict[str, Any]:
    """The settings object in the platform's form."""

    def micros(seconds: float) -> int:
        return round(seconds * 1e6)

    rules = scenario.rules
    return {
        "areas": [zone.name for zone in scenario.zone],
        "az": settings.zone,
        "slotNo": number,
        "peersTotal": settings.peers,
        "discovery": "ask" if settings.asks else "push",
        "tickUs": micros(rules.tick),
        "accounts": [{"name": tenant.name} for tenant in scenario.tenant],
        "trafficTypes": [
            {
                "name": kind.name,
                "effect": EFFECTS[kind.effect],
                "group": kind.group,
                "keyTtlUs": micros(kind.remembered),
                "guardTimeUs": micros(kind.guard),
                "setupTargetUs": micros(kind.setup_target),
            }
            for kind in scenario.type
        ],
        "caps": {
            "maxLegs": rules.max_legs,
            "retryAfter": rules.max_open_wait > 0,
            "maxRetryAfterUs": micros(rules.max_open_wait),
            "connectTimeoutUs": micros(rules.connect_timeout),
            "mayTell": scenario.datagrams.allowed,
        },
        "specifics": {
            "messageAimUs": [micros(kind.message_aim) for kind in scenario.type],
            "tellsDelay": True,
            "tellsLoad": False,
        },
        "obligations": {
            "answerSlackUs": micros(rules.answer_slack),
            "coldShare": settings.cold_share,
            "rampTimeUs": micros(settings.ramp_time),
            "overloadFactor": settings.overload_factor,
            "fallUs": micros(settings.fall_time),
        },
    }


def refuse_if_too_large(scenario: Scenario) -> None:
    """Raises ScenarioError before anything starts that this machine or the daemon could not play."""
    if not scenario.listing.asks:  # the daemon takes a pushed list for the shape with live weights
        raise ScenarioError(f"{scenario.name}: listing.asks is false: on loopback the list must be asked for")
    cores, clients = len(os.sched_getaffinity(0)), scenario.clients
    balancers = len(forms.balancer_names(scenario))
    if balancers > BALANCERS_A_CORE * cores:
        raise ScenarioError(
            f"{scenario.name}: {balancers} balancers, more than {BALANCERS_A_CORE} a core on {cores} cores"
        )
    rate = clients.rate * max(
        [getattr(t, "factor", 1.0) for t in scenario.trouble if isinstance(t, forms.Burst)], default=1.0
    )
    if rate > A_CORE * min(cores, balancers):
        raise ScenarioError(f"{scenario.name}: {rate:g} new connections a second, more than {A_CORE} a core")
    standing = max(clients.standing, clients.rate * clients.life)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = round(A_PAIR * standing) + SPARE
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise ScenarioError(f"{scenario.name}: about {wanted} descriptors, more than the {hard} allowed")
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    each = 2 * standing / balancers + 64
    if each > scenario.limits.sockets:
        raise ScenarioError(
            f"{scenario.name}: about {each:.0f} descriptors a balancer, more than "
            f"limits.sockets = {scenario.limits.sockets}"
        )


def run(
    scenario: Scenario, seed: int, trace: str | None = None, logs: str | None = None, quiet: bool = False
) -> dict[str, Any]:
    """Play a scenario on sockets; its result has the form of one on virtual time, and what the machine did.

    Raises ScenarioError for what cannot be played, KeyboardInterrupt on Ctrl-C; nothing is left behind."""
    refuse_if_too_large(scenario)
    if logs:
        Path(logs).mkdir(parents=True, exist_ok=True)
    with tqdm(
        total=scenario.length + scenario.tail,
        desc=scenario.name,
        unit="s",
        disable=quiet or None,
        bar_format="{l_bar}{bar}| {n:.0f}/{total:.0f} s",
    ) as bar:
        world = asyncio.run(_played(scenario, seed, Path(logs) if logs else None, bar))
    if trace:
        world.trace.write(trace)
    return result_of(world)


async def _played(scenario: Scenario, seed: int, logs: Path | None, bar: Any) -> LiveWorld:
    loop = asyncio.get_running_loop()
    world = LiveWorld(scenario, seed, loop, logs)
    loop.set_exception_handler(
        lambda _, said: world.fail(said.get("exception") or RuntimeError(said.get("message", "")))
    )
    before = children_cpu()
    try:
        await world.play(lambda at: bar.update(at - bar.n))
    finally:
        await world.finish()
        world.cpu = children_cpu() - before
    return world


def children_cpu() -> float:
    """Core-seconds of all ended balancers."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def result_of(world: LiveWorld) -> dict[str, Any]:
    rules = world.scenario.rules
    rule_checker = RuleChecker(world.scenario, LIMIT + world.lag, rules.max_legs * rules.connect_timeout)
    breaches = rule_checker.check(sorted(world.trace.entries, key=lambda entry: entry[0]))
    result = runs.result_of(world, "bellrack")
    return result | {
        "kept": not breaches,
        "rules": runs.verdicts(rule_checker, breaches),
        "live": {
            "lag": round(world.lag, 4),
            "doubtful": world.lag > MAX_LOOP_LAG_SECONDS,
            "balancer_cpu": round(world.cpu, 3),
            "balancer_memory_mb": round(world.memory_kb / 1024, 1),
        },
    }
