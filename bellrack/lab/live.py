"""Runs of a scenario on real sockets: bellrack serve processes with stub servers, all on loopback.

This module starts and ends the processes, and runs in real time the model that is used on virtual time
(servers, session store, discovery, front, clients and troubles), connected by sockets. A run leaves no
process and no file behind, however it ends: configurations are kept in memory, and the balancers are killed
when the process that started them dies.
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
from bellrack.lab import scenario as scenarios
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

DESCRIPTORS_PER_CONNECTION = 2  # in this process: that of the client and that of the server
SPARE_DESCRIPTORS = 256  # for everything else
CONNECTIONS_PER_CORE = 250  # maximum number of new connections per second
BALANCERS_PER_CORE = 4
READY_TIMEOUT_SECONDS = 20.0  # until all balancers are ready
RESUME_TIMEOUT_SECONDS = 40.0  # until all connections that exist at the start are established
POLL_INTERVAL_SECONDS = 0.02  # while waiting for balancers and connections
TIME_LIMIT_TOLERANCE_SECONDS = 0.05  # added to each time limit of the rules on real sockets
LAG_CHECK_INTERVAL_SECONDS = 0.05
MAX_LOOP_LAG_SECONDS = 0.2  # with a larger lag of this process's event loop, the results are doubtful
EXIT_TIMEOUT_SECONDS = 5.0  # for killed balancers at the end of a run
# The platform's names of effects and of server states, and the negative answers of servers.
EFFECTS = {model.REPEATABLE: "retryable", model.REFERENCED: "dedup", model.ONCE_ONLY: "fragile"}
LIFECYCLES = {model.READY: "in_service", model.DRAINING: "terminating", model.GONE: "terminated"}
FAILURE_ANSWERS = {model.FULL: "BUSY", model.ERROR: "ERR"}
PR_SET_PDEATHSIG = 1  # option of prctl(2): signal sent to a process when its parent dies


class LiveEventQueue(EventQueue):
    """An event queue in real time, counted from the start of the run.

    Events that are scheduled before the start are kept until then. `on_error` is called with the exception of
    an event that fails.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_error: Callable[[Exception], None]):
        super().__init__()
        self.loop, self.on_error = loop, on_error
        self.started_at: float | None = None  # loop time
        self.pending: list[tuple] = []  # events scheduled before the start

    @property
    def now(self) -> float:
        """The time of the run in seconds; START until it starts."""
        return START if self.started_at is None else START + self.loop.time() - self.started_at

    @now.setter
    def now(self, value: float) -> None: ...

    def begin(self) -> None:
        """Start the clock and schedule the pending events."""
        self.started_at = self.loop.time()
        pending, self.pending = self.pending, []
        for when, rank, callback, values in pending:
            self.schedule_at(when, rank, callback, *values)

    def schedule_at(self, when: float, rank: int, callback: Callable, *values: object) -> None:
        """Call `callback(*values)` at a time of the run; `rank` is ignored in real time."""
        if self.started_at is None:
            self.pending.append((when, rank, callback, values))
        else:
            self.loop.call_at(self.started_at + when - START, self.run_event, callback, values)

    def run_event(self, callback: Callable, values: tuple) -> None:
        """Run an event and report its exception, if any."""
        try:
            callback(*values)
        except Exception as error:
            self.on_error(error)


class LiveNode(BalancerRecord):
    """A balancer process, with the connections of its clients and to discovery."""

    world: LiveWorld

    def __init__(self, world: LiveWorld, name: str, number: int, zone: int, incarnation: int, seed: int):
        super().__init__(world, name, number, zone, incarnation)
        self.seed, self.process, self.config_fd = seed, None, -1
        self.discovery_conns: dict[DiscoveryConnection, None] = {}
        self.watch_conn: DiscoveryConnection | None = None
        self.list_version = 0
        self.client_conns: dict[Attempt, ClientConnection] = {}
        self.memory_kb = 0  # peak

    def turn(self, callback: Callable, *values: Any) -> None:
        """Call `callback(*values)` unless the balancer has stopped."""
        if self.alive:
            callback(*values)

    # The process.

    async def start(self) -> None:
        """Start the process, with its configuration in a memory file."""
        world = self.world
        self.config_fd = os.memfd_create(f"bellrack-{self.name}")
        os.write(self.config_fd, json.dumps(world.configuration(self)).encode())
        path = f"/dev/fd/{self.config_fd}"
        stderr = asyncio.subprocess.DEVNULL
        if world.logs:
            stderr = open(world.logs / f"{self.name}-{self.incarnation}.log", "wb")  # noqa: SIM115 - for the child
        try:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bellrack",
                "serve",
                f"--config={path}",
                pass_fds=[self.config_fd],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=stderr,
                preexec_fn=self.set_up_child,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
        finally:
            if world.logs:
                stderr.close()
        world.processes.add(self.process)

    def set_up_child(self) -> None:
        """Set the resource limits and the death signal. Called in the child process before its exec."""
        limits = self.world.scenario.limits
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        resource.setrlimit(resource.RLIMIT_NOFILE, (limits.sockets, limits.sockets))
        if limits.memory_mb:
            resource.setrlimit(resource.RLIMIT_DATA, (limits.memory_mb << 20, limits.memory_mb << 20))
        os.setsid()  # otherwise Ctrl-C in the terminal would also signal the balancer

    async def ready(self) -> bool:
        """Wait until the balancer answers a PING, as the front would. Return False if it ends before that."""
        while self.alive and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.world.listen_addresses[self.number])
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer.strip() == b"PONG":
                    return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process and self.process.returncode is None:
            self.update_peak_memory()
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def update_peak_memory(self) -> None:
        """Read the peak memory of the process from /proc."""
        with contextlib.suppress(OSError, AttributeError, IndexError):  # no process, or one that has ended
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            peak = status.partition("VmHWM:")[2].split()[0]
            self.memory_kb = max(self.memory_kb, int(peak))

    def stop(self, how: str) -> None:
        """Kill the process and record the reason `how`."""
        self.send_signal(signal.SIGKILL)
        self.record_stop(how)
        self.release()

    def release(self) -> None:
        """Record the peak memory and close the memory file of the configuration."""
        self.update_peak_memory()
        if self.config_fd >= 0:
            os.close(self.config_fd)
            self.config_fd = -1

    def begin_shutdown(self, grace: float) -> None:
        """Send SIGTERM for a planned restart."""
        if self.alive and not self.shutting_down:
            self.shutting_down = True
            self.send_signal(signal.SIGTERM)

    # Discovery.

    def watch_opened(self, conn: DiscoveryConnection) -> None:
        """Register the watch, whose first message is the whole list."""
        self.watch_conn = conn
        self.world.discovery.watching.pop(self, None)
        self.world.discovery.watch(self, True)

    def watch_closed(self, conn: DiscoveryConnection) -> None:
        """Unregister the watch, unless another connection has replaced it."""
        if self.watch_conn is conn:
            self.watch_conn = None
            self.world.discovery.watching.pop(self, None)

    def request_refused(self) -> None:
        """Record that a request to discovery failed."""
        self.discovery_failed = True

    def apply_list(self, rows: list[tuple[Machine, str, float]], whole: bool) -> None:
        """Send entries of the list on the watch; `whole` marks the whole list."""
        if self.watch_conn and self.alive:
            self.watch_conn.send_chunk(json.dumps(self.list_message(rows, whole)).encode() + b"\n")
            for machine, state, since in rows:
                self.record_told(machine, state, since)

    def list_message(self, rows: list[tuple[Machine, str, float]], whole: bool) -> dict[str, Any]:
        """Return the message of discovery for these entries, under the next version."""
        self.list_version += 1
        world = self.world
        return {
            "generation": self.list_version,
            "reset": whole,
            "instances": [
                {
                    "instanceId": machine.name,
                    "hostPort": f"{HOST}:{world.server_ports[machine].number}",
                    "zone": world.scenario.zone[machine.zone].name,
                    "machineType": machine.kind.name,
                    "cell": machine.cell,
                    "lifecycle": LIFECYCLES[state],
                    "weight": machine.kind.listed,
                    "startedAtMs": round((since + world.unix_offset) * 1000) if since else 0,
                }
                for machine, state, since in rows
            ],
        }

    def on_discovery_failure(self) -> None:
        """Discovery became unavailable: reset the watch."""
        self.discovery_failed = True
        if self.watch_conn:
            self.watch_conn.reset()
            self.watch_closed(self.watch_conn)

    # Clients.

    def start_call(self, attempt: Attempt, at: str = "") -> None:
        """Connect a client and send the first line. `at` is the server of a connection that is resumed."""
        world, demand = self.world, attempt.demand
        kind = world.scenario.type[demand.type]
        wait = max(1, round((attempt.guard - world.now) * 1000)) if not at else 3_600_000
        pairs = [f"c={kind.name}", f"d={wait}"]
        if world.scenario.tenant:
            pairs.append(f"t={world.scenario.tenant[demand.tenant].name}")
        if demand.group:
            pairs.append(f"g={demand.group:x}")
        pairs += ["r=1"] * attempt.repeat + ["again=1"] * demand.returned + [f"at={at}"] * bool(at)
        conn = ClientConnection(
            self, attempt, f"OPEN {world.call_id(attempt)} {demand.key:x} {','.join(pairs)}"
        )
        self.client_conns[attempt] = conn
        world.attempts_by_call_id[world.call_id(attempt)] = attempt
        world.start_task(self.connect(attempt, conn))

    async def connect(self, attempt: Attempt, conn: ClientConnection) -> None:
        """Connect to the balancer; a failure is an answer `unreached`."""
        try:
            await self.world.loop.create_connection(lambda: conn, *self.world.listen_addresses[self.number])
        except OSError:
            if not conn.closed:
                conn.closed = True
                self.forget_attempt(attempt)
                attempt.on_answer("unreached", 0.0)

    def on_first_line_sent(self, attempt: Attempt) -> None:
        """Record that the balancer has received the call."""
        attempt.call = attempt.call or attempt
        if attempt.outcome != "completed":  # not for connections that are resumed
            self.record_call(attempt)

    def on_client_answer(self, conn: ClientConnection, word: str, rest: str) -> None:
        """The balancer sent the first line on a client's connection, the answer to the call."""
        attempt = conn.attempt
        if attempt.outcome == "completed":
            self.world.on_resume_answer(word)
            return
        how = {"UP": "completed", "BUSY": "rejected"}.get(word, "released")
        wait = int(rest) / 1000 if how == "rejected" and rest.isdigit() else 0.0
        self.record_answer(attempt, how, wait)
        if attempt.leg_record and how == "completed":
            attempt.leg_record.established = True
        self.world.event_queue.schedule_after(attempt.delay, ARRIVAL, attempt.on_answer, how, wait)
        if how != "completed":
            conn.close()
            self.forget_attempt(attempt)

    def on_client_conn_lost(self, conn: ClientConnection) -> None:
        """The balancer closed the connection, or died."""
        attempt = conn.attempt
        self.forget_attempt(attempt)
        if conn.moved:
            self.world.counters["moves"] += 1
        self.world.event_queue.schedule_after(
            attempt.delay,
            ARRIVAL,
            attempt.on_connection_end,
            "moved" if conn.moved else "reset" if conn.answer else "balancer killed",
        )

    def on_client_closed(self, attempt: Attempt, kind: str) -> None:
        """The client closes its connection."""
        conn = self.client_conns.get(attempt)
        if conn and not conn.closed:
            if not conn.answer:
                self.world.trace.add(self.world.now, "gone", attempt.id)
            conn.close()
            self.forget_attempt(attempt)

    def forget_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt whose connection is over from the indexes."""
        self.client_conns.pop(attempt, None)
        self.world.attempts_by_call_id.pop(self.world.call_id(attempt), None)

    def resume_standing(self, attempt: Attempt, machine: Machine) -> LegRecord:
        """Resume a connection that exists at the start: the client sends `at=`, the server knows the call."""
        leg_record = attempt.leg_record = LegRecord(
            attempt, None, machine, 1, self.world.now, self.world.delay(self.zone, machine.zone)
        )
        leg_record.established = True
        self.record_stood(attempt, machine)
        self.world.resumes_expected += 1
        self.start_call(attempt, machine.name)
        return leg_record


class LiveLegs(ServerLegs):
    """Set-ups at servers that are reached through sockets."""

    world: LiveWorld

    def on_server_first_line(self, conn: ServerConnection, line: str) -> None:
        """Handle the first line at a server: PING of a health check, OPEN of a call, or an invalid line."""
        words = line.split(" ")
        if words[0] == "PING":
            conn.send_line("PONG")
            return
        attempt = (
            self.world.attempts_by_call_id.get(words[1]) if words[0] == "OPEN" and len(words) == 4 else None
        )
        if attempt is None:
            conn.send_line("SYNTAX")  # also if the client has disconnected: then no one waits for the answer
            conn.close()
            return
        if ",at=" in words[3]:
            attempt.leg_record.link, conn.leg_record = conn, attempt.leg_record
            conn.send_line("UP 0")
            return
        attempt.call = attempt.call or attempt
        self.world.leg_counts[attempt] = number = self.world.leg_counts.get(attempt, 0) + 1
        leg_record = conn.leg_record = LegRecord(
            attempt,
            None,
            conn.machine,
            number,
            self.world.now,
            self.world.delay(attempt.node.zone, conn.machine.zone),
        )
        leg_record.link = conn
        self.record_sent(leg_record)
        # Adds the delay by which the network of the scenario is slower than loopback.
        self.world.event_queue.schedule_after(3 * leg_record.delay, RESULT, self.on_first_line, leg_record)

    def on_first_line(self, leg_record: LegRecord) -> None:
        """The first line of a leg reaches its server, after the delay of the modelled network."""
        if leg_record.machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(
                leg_record.machine.hung_until, RESULT, self.on_first_line, leg_record
            )
        elif leg_record.machine.up and not leg_record.machine.silent and not leg_record.over:
            self.accept_setup(leg_record)

    def report_result(self, leg_record: LegRecord, kind: str, wait: float) -> None:
        """Report the result of a leg that failed to its balancer after `wait` seconds."""
        self.world.event_queue.schedule_after(wait, RESULT, self.send_failure, leg_record, kind)

    def send_failure(self, leg_record: LegRecord, kind: str) -> None:
        """Send the negative answer, if the protocol has one for this result, or reset the connection."""
        if leg_record.over:
            return
        self.record_over(leg_record, kind)
        if kind in FAILURE_ANSWERS:
            leg_record.link.send_line(FAILURE_ANSWERS[kind])
            leg_record.link.close()
        else:
            leg_record.link.reset()

    def record_over(self, leg_record: LegRecord, kind: str) -> None:
        """Record the end of a leg and its result."""
        leg_record.over = True
        leg_record.node.record_back(leg_record, kind)

    def report_up(self, leg_record: LegRecord) -> None:
        """Report an established leg to its balancer after the network delay."""
        self.world.event_queue.schedule_after(leg_record.delay, RESULT, self.send_up, leg_record)

    def send_up(self, leg_record: LegRecord) -> None:
        """Send UP, and start the stream of the scenario."""
        if not leg_record.over and leg_record.up:
            leg_record.link.send_line(f"UP {leg_record.attempt.id:x}")
            leg_record.link.send_stream(self.world.scenario.clients.stream)

    def report_end(self, leg_record: LegRecord, silent: bool) -> None:
        """Reset a connection that the server ended; a `silent` end is not visible to the balancer."""
        if not silent:
            self.record_over(leg_record, model.RESET)
            leg_record.link.reset()

    def on_server_conn_lost(self, conn: ServerConnection) -> None:
        """The balancer closed its connection to a server."""
        leg_record = conn.leg_record
        if leg_record is None or leg_record.over:
            return
        self.record_over(
            leg_record, model.COMPLETED if leg_record.established and leg_record.up else model.CANCELLED
        )
        if not conn.transport.is_closing():
            conn.transport.close()
        if leg_record.up:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.remove_from_machine(leg_record)


class BackgroundTasks:
    """Tasks beside the main task of a run on sockets, and the first failure of any of them.

    Subclasses create the attributes.
    """

    loop: asyncio.AbstractEventLoop
    failure: asyncio.Future
    tasks: set[asyncio.Task]

    def fail(self, error: BaseException) -> None:
        """End the run with this exception, unless it has already failed."""
        if not self.failure.done():
            self.failure.set_exception(error)

    def start_task(self, coroutine: Any) -> None:
        """Run a coroutine in a task. If it raises an exception, the run fails."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)

    def task_done(self, task: asyncio.Task) -> None:
        """Forget a finished task, and fail the run if it raised an exception."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.fail(task.exception())


class LiveWorld(BackgroundTasks, World):
    """The world of a run on sockets: the model in real time, the balancer processes and the sockets."""

    legs_class = LiveLegs
    nodes: list[LiveNode]

    def __init__(self, scenario: Scenario, seed: int, loop: asyncio.AbstractEventLoop, logs: Path | None):
        self.loop, self.logs = loop, logs
        self.processes: set[asyncio.subprocess.Process] = set()
        self.tasks: set[asyncio.Task] = set()
        self.failure: asyncio.Future = loop.create_future()
        self.attempts_by_call_id: dict[str, Attempt] = {}
        self.leg_counts: dict[Attempt, int] = {}
        self.resumes_expected = self.resumes_done = 0  # connections that exist at the start
        self.lag = self.memory_kb = 0.0  # maximum seconds; peak of all balancers
        self.unix_offset = 0.0  # Unix time minus the run's clock
        names = scenarios.balancer_names(scenario)
        # The ports are bound without listening. A port that is only free might be taken by another run before
        # the balancer listens on it.
        self.balancer_ports = [Port() for _ in names]
        for port in self.balancer_ports:
            port.refuse()
        self.listen_addresses = [(HOST, port.number) for port in self.balancer_ports]
        self.discovery_ports: list[Port] = [Port() for _ in names]
        self.relays: dict[tuple[int, int], Relay] = {}
        self.peer_ports = free_ports(len(names)) if scenario.datagrams.allowed else []
        super().__init__(scenario, seed, None, LiveEventQueue(loop, self.fail))
        self.server_ports = {machine: Port() for machine in self.machines}
        self.server_conns: dict[Machine, dict[ServerConnection, None]] = {m: {} for m in self.machines}

    @staticmethod
    def call_id(attempt: Attempt) -> str:
        """Return the id of an attempt's call in the OPEN line."""
        return f"{attempt.id:016x}"

    def on_resume_answer(self, word: str) -> None:
        """A connection that exists at the start was answered; any answer but UP ends the run."""
        if word != "UP":
            self.fail(ScenarioError(f"a connection that exists at the start was answered {word}"))
        self.resumes_done += 1

    # Configuration of the processes.

    def configuration(self, node: LiveNode) -> dict[str, Any]:
        """Return the configuration of a balancer process."""
        scenario, number = self.scenario, node.number
        known_servers = node.told or self.discovery.known
        config = {
            "name": node.name,
            "listen": f"{HOST}:{self.listen_addresses[number][1]}",
            "discovery": f"{HOST}:{self.discovery_ports[number].number}",
            "seed": f"{node.seed:x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": scenario.limits.memory_mb or 192,
                "sockets": scenario.limits.sockets,
            },
            "known": node.list_message([(m, *known) for m, known in known_servers.items()], True),
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

    def relay_datagram(self, relay: Relay, data: bytes) -> None:
        """Forward a datagram with the losses, delays and duplicates of the scenario.

        It arrived at the address that its sender has for the receiver, and is sent from the address that the
        receiver has for the sender.
        """
        options, stream = self.scenario.datagrams, self.streams["datagrams"]
        self.counters["datagrams"] += 1
        self.counters["datagram_bytes"] += len(data)
        zones = self.nodes[relay.sender].zone, self.nodes[relay.receiver].zone
        if len(data) > MAX_DATAGRAM_BYTES or stream.bernoulli(options.loss) or zones in self.partitioned:
            return
        wait = stream.uniform_between(options.delay) * (
            REORDER_DELAY_FACTOR if stream.bernoulli(options.reorder) else 1
        )
        reverse = self.relays[relay.receiver, relay.sender].transport
        for _ in range(1 + stream.bernoulli(options.twice)):
            self.event_queue.schedule_after(
                wait, RESULT, reverse.sendto, data, (HOST, self.peer_ports[relay.receiver])
            )

    # Servers and balancers.

    def stop_machine(self, machine: Machine, silent: bool) -> None:
        """Stop a server: reset its connections and refuse new ones, or only stop answering if `silent`."""
        super().stop_machine(machine, silent)
        if silent:
            self.server_ports[machine].blackhole()
        else:
            for conn in list(self.server_conns[machine]):
                conn.reset()
            self.server_ports[machine].refuse()

    def restart_machine(self, machine: Machine, told_older: float = 0.0) -> None:
        """Restart a server cold; discovery reports its start as `told_older` seconds earlier."""
        if machine.up or machine.fallen:
            return
        for conn in list(self.server_conns[machine]):
            conn.reset()  # connections that were open when the machine vanished
        super().restart_machine(machine, told_older)
        self.start_task(self.server_ports[machine].open(self.loop, lambda: ServerConnection(self, machine)))

    def start_balancer(self, number: int, before: LiveNode | None = None) -> LiveNode:
        """Create the record of a balancer, which continues with the list of its predecessor `before`."""
        name, zone = scenarios.balancer_names(self.scenario)[number]
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
        """Start the successor of a balancer that has stopped."""
        self.front.remove(node)
        self.start_task(self.launch(self.start_balancer(node.number, node)))

    async def launch(self, node: LiveNode) -> None:
        """Start the process of a balancer, and add it to the front when it is ready."""
        await self.discovery_ports[node.number].open(self.loop, lambda: DiscoveryConnection(node))
        await node.start()
        if await node.ready():
            self.front.add(node)

    def do_stall(self, trouble: scenarios.Stall) -> None:
        """Stop reading on a share of the clients' connections."""
        stream = self.streams["stalls"]
        conns = [conn for node in self.nodes for conn in node.client_conns.values() if conn.answer == "UP"]
        stalled = [conn for conn in conns if not conn.closed and stream.bernoulli(trouble.share)]
        for conn in stalled:
            conn.transport.pause_reading()
        self.schedule_trouble_step(trouble.lasts, self.end_stall, stalled)

    def end_stall(self, stalled: list[ClientConnection]) -> None:
        """Read again on the stalled connections."""
        for conn in stalled:
            if not conn.closed:
                conn.transport.resume_reading()

    def on_hang(self, machine: Machine) -> None:
        """A server hangs; the answers that it holds back are sent when that is over."""
        super().on_hang(machine)
        self.event_queue.schedule_at(machine.hung_until, SAMPLE, self.end_hang, machine)

    def end_hang(self, machine: Machine) -> None:
        """Send the answers that a server held back while it hung."""
        for conn in list(self.server_conns[machine]):
            conn.send_held_answers()

    def report_delay(self, leg_record: LegRecord, delay: float) -> None:
        """Send a server's message delay, in seconds, to a balancer."""
        if not leg_record.over and leg_record.up:
            leg_record.link.send_line(f"LOAD {delay * 1000:.3f}")

    # The run.

    async def play(self, report_progress: Callable[[float], None]) -> None:  # type: ignore[override]
        """Run the scenario. `report_progress` receives the progress in seconds.

        Raises ScenarioError if balancers or the initial connections do not come up in time or a balancer ends
        by itself. An exception in the lab ends the run and is raised again.
        """
        for machine, port in self.server_ports.items():
            await port.open(self.loop, lambda machine=machine: ServerConnection(self, machine))
        for sender in range(len(self.peer_ports)):
            for receiver in range(len(self.peer_ports)):
                if sender != receiver:
                    _, relay = await self.loop.create_datagram_endpoint(
                        lambda sender=sender, receiver=receiver: Relay(self, sender, receiver),
                        local_addr=(HOST, 0),
                    )
                    self.relays[sender, receiver] = relay
        self.unix_offset = time.time() - START
        nodes = [
            self.start_balancer(number) for number, _ in enumerate(scenarios.balancer_names(self.scenario))
        ]
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                await asyncio.gather(*(self.launch(node) for node in nodes))
        except TimeoutError:
            raise ScenarioError(f"the balancers were not ready within {READY_TIMEOUT_SECONDS:g} s") from None
        if any(node.process.returncode is not None for node in nodes):
            raise ScenarioError("a balancer ended at its start; --logs=DIR keeps its log")
        self.create_standing_connections()
        deadline = self.loop.time() + RESUME_TIMEOUT_SECONDS
        while self.resumes_done < self.resumes_expected and not self.failure.done():
            if self.loop.time() > deadline:
                raise ScenarioError(
                    f"{self.resumes_expected - self.resumes_done} connections that exist "
                    f"at the start were not established within {RESUME_TIMEOUT_SECONDS:g} s"
                )
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self.unix_offset = time.time() - START
        self.event_queue.begin()
        self.schedule_start()
        self.event_queue.schedule_at(START, SAMPLE, self.measure_lag, self.loop.time())
        end = self.event_queue.started_at + self.scenario.length + self.scenario.tail
        while self.loop.time() < end and not self.failure.done():
            await asyncio.wait([self.failure], timeout=min(0.5, max(0.0, end - self.loop.time())))
            report_progress(min(self.scenario.length + self.scenario.tail, self.now - START))
            crashed = [
                node.name
                for node in self.nodes
                if node.alive
                and node.process
                and node.process.returncode is not None
                and not node.shutting_down
            ]
            if crashed:
                raise ScenarioError(f"{crashed[0]} ended by itself; --logs=DIR keeps its log")
        if self.failure.done():
            self.failure.result()

    def measure_lag(self, due: float) -> None:
        """Update the maximum lag of this process's event loop: this event was due at loop time `due`."""
        self.lag = max(self.lag, self.loop.time() - due)
        self.event_queue.schedule_after(
            LAG_CHECK_INTERVAL_SECONDS,
            SAMPLE,
            self.measure_lag,
            self.loop.time() + LAG_CHECK_INTERVAL_SECONDS,
        )

    async def finish(self) -> None:
        """End all tasks and processes and close all sockets, also after a failure."""
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            node.release()
            self.memory_kb = max(self.memory_kb, node.memory_kb)
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), EXIT_TIMEOUT_SECONDS)
        for port in [
            *getattr(self, "server_ports", {}).values(),
            *self.discovery_ports,
            *self.balancer_ports,
        ]:
            port.close()
        for relay in self.relays.values():
            relay.transport.close()


def platform_settings(scenario: Scenario, settings: model.Settings, number: int) -> dict[str, Any]:
    """Return the settings of balancer `number` in the format of the platform."""

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
    """Raise ScenarioError if this machine or the daemon cannot run the scenario.

    This is called before anything starts. It raises the soft limit of descriptors if necessary and allowed.
    """
    if not scenario.listing.asks:  # with a pushed list, the daemon assumes that its weights are live
        raise ScenarioError(f"{scenario.name}: listing.asks is false: on loopback the list must be asked for")
    cores, clients = len(os.sched_getaffinity(0)), scenario.clients
    balancers = len(scenarios.balancer_names(scenario))
    if balancers > BALANCERS_PER_CORE * cores:
        raise ScenarioError(
            f"{scenario.name}: {balancers} balancers, more than {BALANCERS_PER_CORE} a core on {cores} cores"
        )
    rate = clients.rate * max(
        [getattr(t, "factor", 1.0) for t in scenario.trouble if isinstance(t, scenarios.Burst)], default=1.0
    )
    if rate > CONNECTIONS_PER_CORE * min(cores, balancers):
        raise ScenarioError(
            f"{scenario.name}: {rate:g} new connections a second, more than {CONNECTIONS_PER_CORE} a core"
        )
    standing = max(clients.standing, clients.rate * clients.life)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = round(DESCRIPTORS_PER_CONNECTION * standing) + SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise ScenarioError(f"{scenario.name}: about {needed} descriptors, more than the {hard} allowed")
    if soft != resource.RLIM_INFINITY and needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
    per_balancer = 2 * standing / balancers + 64
    if per_balancer > scenario.limits.sockets:
        raise ScenarioError(
            f"{scenario.name}: about {per_balancer:.0f} descriptors a balancer, more than "
            f"limits.sockets = {scenario.limits.sockets}"
        )


def run(
    scenario: Scenario, seed: int, trace: str | None = None, logs: str | None = None, quiet: bool = False
) -> dict[str, Any]:
    """Run a scenario on sockets. Return a result as of a virtual-time run, and figures of the processes.

    `trace` is the file for the event trace, `logs` the folder for the logs of the balancers. Raises
    ScenarioError for a scenario that cannot be run and KeyboardInterrupt on Ctrl-C. No process is left
    behind.
    """
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
        world = asyncio.run(_run_world(scenario, seed, Path(logs) if logs else None, bar))
    if trace:
        world.trace.write(trace)
    return result_of(world)


async def _run_world(scenario: Scenario, seed: int, logs: Path | None, bar: Any) -> LiveWorld:
    """Run the scenario to its end and return its world."""
    loop = asyncio.get_running_loop()
    world = LiveWorld(scenario, seed, loop, logs)
    loop.set_exception_handler(
        lambda _, context: world.fail(context.get("exception") or RuntimeError(context.get("message", "")))
    )
    cpu_before = children_cpu()
    try:
        await world.play(lambda at: bar.update(at - bar.n))
    finally:
        await world.finish()
        world.cpu = children_cpu() - cpu_before
    return world


def children_cpu() -> float:
    """Return the processor seconds of all child processes that have ended."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def result_of(world: LiveWorld) -> dict[str, Any]:
    """Check the rules on the trace of a finished run, with the tolerance for sockets; return the result."""
    rules = world.scenario.rules
    rule_checker = RuleChecker(
        world.scenario, TIME_LIMIT_TOLERANCE_SECONDS + world.lag, rules.max_legs * rules.connect_timeout
    )
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
