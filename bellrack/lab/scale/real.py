"""Plays a scale run in real time: hollow balancers with sockets, beside `bellrack serve` processes.

Opens the sockets on loopback, starts and ends the processes, and runs stub servers and stub clients. No
process is left behind, however the run ends. The latency in a plan is ignored: datagrams take as long as
loopback takes.

Paths of datagrams: a hollow balancer has one socket. A real balancer has its own socket and, in this process,
a front, which is the address that the other real balancers have for it. A datagram is sent straight to the
receiver's socket, with two exceptions. Between two real balancers it is sent to the receiver's front and
forwarded from the sender's front. A datagram to all (`peers_all`) is sent to the relay, which forwards it to
each balancer from the socket or the front of the sender. So the source address always identifies the sender.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bellrack.lab.event_queue import START
from bellrack.lab.live import MAX_LOOP_LAG_SECONDS, BackgroundTasks, LiveEventQueue
from bellrack.lab.scale import figures
from bellrack.lab.scale.discovery_stub import CountedWatch, DiscoveryStub
from bellrack.lab.scale.guard import MemoryGuard, resident_mb
from bellrack.lab.scale.hollow import (
    DiscoveryRequest,
    HollowBalancer,
    configuration_factory,
    use_discovery_request,
)
from bellrack.lab.scale.plan import Plan, balancer_settings
from bellrack.lab.scale.run import die_with_parent
from bellrack.lab.scale.tier import Tier
from bellrack.lab.scenario import ScenarioError
from bellrack.lab.sockets import HOST, LineProtocol, free_ports

READY_TIMEOUT_SECONDS = 30.0  # until all processes are ready; otherwise the run fails
CHECK_INTERVAL_SECONDS = 0.5  # between checks of memory, of the processes and of the event loop's lag
PING_INTERVAL_SECONDS = 0.05
REAL_BALANCER_SOCKETS = 1024  # descriptors that a real balancer may hold
# Descriptors of this process for each balancer.
DESCRIPTORS_PER_HOLLOW = 3  # its socket and both ends of its watch
DESCRIPTORS_PER_REAL = 8  # its front, its watch and others
SPARE_DESCRIPTORS = 256
EXIT_TIMEOUT_SECONDS = 5.0  # for each process
CLIENT_RETRY_SECONDS = 0.2  # until a client that got no connection tries again
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class DatagramSocket(asyncio.DatagramProtocol):
    """A UDP socket. Calls `on_datagram(source address, data)` for each datagram received."""

    transport: Any = None

    def __init__(self, on_datagram: Callable[[tuple[str, int], bytes], None]):
        self.on_datagram = on_datagram

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.on_datagram(address[:2], data)

    def error_received(self, error: Exception) -> None: ...

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram, unless the socket is closed."""
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(data, address)

    @property
    def address(self) -> tuple[str, int]:
        """The local address of the socket."""
        return self.transport.get_extra_info("sockname")


class StubServerConnection(LineProtocol):
    """A connection at the stub server, which accepts every request."""

    def line_received(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        self.send_line({"OPEN": f"UP {rest.partition(' ')[0]}", "PING": "PONG"}.get(word, "OK"))


class BalancerProcess:
    """A real balancer: a `bellrack serve` process that can be restarted."""

    def __init__(self, number: int, listen: tuple[str, int], peer_listen: tuple[str, int]):
        self.number, self.listen, self.peer_listen = number, listen, peer_listen
        self.process: asyncio.subprocess.Process | None = None
        # Clock ticks of processor time of this balancer's earlier processes, since counting began.
        self.earlier_ticks = 0
        self.alive = False

    async def start(self, config: dict[str, Any]) -> None:
        """Starts the process. The configuration is passed in memory, without a file."""
        config_fd = os.memfd_create(f"bellrack-{self.number}")
        try:
            os.write(config_fd, json.dumps(config).encode())
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bellrack",
                "serve",
                f"--config=/dev/fd/{config_fd}",
                pass_fds=[config_fd],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
                preexec_fn=die_with_parent,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
            )
        finally:
            os.close(config_fd)
        self.alive = True

    async def wait_until_ready(self) -> None:
        """Waits until the process answers a PING. Raises ScenarioError if it ends before."""
        while self.process.returncode is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer.strip() == b"PONG":
                    return
            await asyncio.sleep(PING_INTERVAL_SECONDS)
        raise ScenarioError(
            f"scale: a real balancer ended while it was starting, with status {self.process.returncode}"
        )

    def cpu_ticks(self) -> int:
        """Returns the processor time of the current process in clock ticks; 0 if it cannot be read."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            return int(fields[11]) + int(fields[12])
        return 0

    def kill(self) -> None:
        """Kills the process if it runs."""
        self.alive = False
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()

    async def wait_for_exit(self) -> None:
        """Waits until the process has ended, for at most EXIT_TIMEOUT_SECONDS."""
        if self.process:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_SECONDS)


class RealTier(BackgroundTasks, Tier):
    """A tier of hollow and real balancers on sockets, in real time."""

    def __init__(self, plan: Plan, seed: int, guard: MemoryGuard, loop: asyncio.AbstractEventLoop):
        super().__init__(plan, seed, guard)
        self.loop = loop
        self.failure: asyncio.Future = loop.create_future()
        self.event_queue = LiveEventQueue(loop, self.fail)
        self.measurements = [figures.Measurements() for _ in range(plan.total_balancers)]
        first = 0 if plan.real_first else plan.balancers
        self.real = list(range(first, first + plan.real))  # the numbers of the real balancers
        self.hollow = [number for number in range(plan.total_balancers) if number not in self.real]
        self.processes: dict[int, BalancerProcess] = {}
        # The sockets of hollow balancers and the fronts of real ones.
        self.sockets: dict[int, DatagramSocket] = {}
        self.number_by_address: dict[tuple[str, int], int] = {}  # of each address from which one sends
        self.relay: DatagramSocket | None = None
        self.tasks: set[asyncio.Task] = set()
        self.listeners: list[asyncio.Server] = []
        self.server_port = self.discovery_port = 0
        self.discovery_stub = DiscoveryStub(plan, loop, lambda number: f"{HOST}:{self.server_port}")
        # The largest lag of the event loop in seconds, and the number of client connections by outcome.
        self.loop_lag, self.client_outcomes = 0.0, {"up": 0, "turned_away": 0, "no_answer": 0}
        self.initial_ticks: dict[int, int] = {}  # of the current process, when counting began
        self.real_memory_mb: dict[int, float] = {}

    # The network.

    async def open_datagram_socket(
        self, on_datagram: Callable[[tuple[str, int], bytes], None]
    ) -> DatagramSocket:
        """Opens a UDP socket on loopback, on a free port."""
        _, datagram_socket = await self.loop.create_datagram_endpoint(
            lambda: DatagramSocket(on_datagram), local_addr=(HOST, 0)
        )
        return datagram_socket

    async def open(self) -> None:
        """Opens all sockets of this process, and assigns addresses to the real balancers."""
        for factory in (StubServerConnection, lambda: CountedWatch(self.discovery_stub)):
            self.listeners.append(await self.loop.create_server(factory, HOST, 0, backlog=4096))
        self.server_port, self.discovery_port = (
            listener.sockets[0].getsockname()[1] for listener in self.listeners
        )
        self.relay = await self.open_datagram_socket(self.relay_datagram)
        for number in range(self.plan.total_balancers):
            on_datagram = self.on_front_datagram if number in self.real else self.on_hollow_datagram
            self.sockets[number] = datagram_socket = await self.open_datagram_socket(
                lambda source, data, number=number, on_datagram=on_datagram: on_datagram(number, source, data)
            )
            self.number_by_address[datagram_socket.address] = number
        ports = free_ports(len(self.real))
        for number, port in zip(self.real, ports):
            self.processes[number] = BalancerProcess(number, (HOST, self.free_tcp_port()), (HOST, port))
            self.number_by_address[HOST, port] = number
        peers = [self.peer_address(number) for number in range(self.plan.total_balancers)]
        self.create_configuration = configuration_factory(
            self.plan, f"{HOST}:{self.discovery_port}", peers, self.relay.address
        )

    @staticmethod
    def free_tcp_port() -> int:
        """Returns a port for a listening socket. It was free just now, but is not reserved."""
        with socket.create_server((HOST, 0)) as sock:
            return sock.getsockname()[1]

    def peer_address(self, number: int) -> tuple[str, int]:
        """Returns the address at which a balancer receives datagrams."""
        return (
            self.processes[number].peer_listen if number in self.processes else self.sockets[number].address
        )

    def send_datagram(self, sender: HollowBalancer, peer: int | None, data: bytes) -> None:
        """Sends a datagram of a hollow balancer to balancer `peer`, or to all others if it is None."""
        if not sender.alive:
            return
        number = sender.number
        sender.measurements.count_sent(
            data, self.plan.total_balancers - 1 if peer is None else 1, peer is None
        )
        if peer is None:
            self.sockets[number].send(data, self.relay.address)
        elif 0 <= peer < self.plan.total_balancers:
            self.forward_datagram(number, peer, data)

    def forward_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Sends a datagram from the sender's socket or front to the receiver's socket, unless it is lost."""
        if not self.drops_datagram(sender, receiver):
            if receiver in self.processes:
                self.measurements[receiver].count_received(data)
            self.sockets[sender].send(data, self.peer_address(receiver))

    def relay_datagram(self, source: tuple[str, int], data: bytes) -> None:
        """Forwards a datagram that the relay received to all balancers but the sender."""
        sender = self.number_by_address.get(source)
        if sender is None:
            return
        self.last_broadcaster = sender
        if sender in self.processes:
            self.measurements[sender].count_sent(data, self.plan.total_balancers - 1, True)
        for number in range(self.plan.total_balancers):
            if number != sender:
                self.forward_datagram(sender, number, data)

    def on_front_datagram(self, receiver: int, source: tuple[str, int], data: bytes) -> None:
        """Forwards a datagram from one real balancer to another."""
        sender = self.number_by_address.get(source)
        if sender is not None:
            self.measurements[sender].count_sent(data, 1, False)
            self.forward_datagram(sender, receiver, data)

    def on_hollow_datagram(self, receiver: int, source: tuple[str, int], data: bytes) -> None:
        """Passes a datagram to a hollow balancer.

        One that comes straight from the socket of a real balancer is counted and may be dropped here. All
        others have gone through `forward_datagram`.
        """
        sender = self.number_by_address.get(source)
        if sender is None:
            return
        if sender in self.processes and source == self.processes[sender].peer_listen:
            self.measurements[sender].count_sent(data, 1, False)
            if self.drops_datagram(sender, receiver):
                return
        self.nodes[receiver].receive_datagram(sender, data)

    # Balancers.

    def make_balancer(self, number: int) -> HollowBalancer:
        config = self.create_configuration(number, self.zone(number), self.balancer_seeds.draw_seed())
        node = HollowBalancer(config, self.loop, self.measurements[number], self.send_datagram)
        node.on_connection_moved = lambda: self.loop.call_soon(self.open_elsewhere, node)
        node.start()
        return node

    def real_configuration(self, process: BalancerProcess) -> dict[str, Any]:
        """Returns the configuration of a real balancer. It has the fronts of the other real balancers."""
        number = process.number

        def known_address(other: int) -> str:
            direct = other == number or other not in self.processes
            host, port = self.peer_address(other) if direct else self.sockets[other].address
            return f"{host}:{port}"

        return {
            "name": f"b{number}",
            "listen": "{}:{}".format(*process.listen),
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": f"{self.balancer_seeds.draw_seed():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": REAL_BALANCER_SOCKETS},
            "peer_listen": "{}:{}".format(*process.peer_listen),
            "peers": [known_address(other) for other in range(self.plan.total_balancers)],
            "peers_all": "{}:{}".format(*self.relay.address),
            "settings": balancer_settings(self.plan, self.zone(number), number),
        }

    async def start_real(self, process: BalancerProcess) -> None:
        """Starts a real balancer and waits until it is ready."""
        await process.start(self.real_configuration(process))
        await process.wait_until_ready()

    def kill(self, number: int, lasts: float) -> None:
        """Kills a balancer. It is restarted after `lasts` seconds, unless that is 0."""
        process = self.processes.get(number)
        if process is None:
            super().kill(number, lasts)
        elif process.alive:
            process.earlier_ticks += process.cpu_ticks() - self.initial_ticks.get(number, 0)
            self.initial_ticks[number] = 0
            process.kill()
            if lasts:
                self.start_task(self.restart_real(process, lasts))

    async def restart_real(self, process: BalancerProcess, delay: float) -> None:
        """Starts a killed balancer again, `delay` seconds after its process has ended."""
        await process.wait_for_exit()
        await asyncio.sleep(delay)
        self.restarts += 1
        await self.start_real(process)

    async def run_client(self, process: BalancerProcess, index: int) -> None:
        """Keeps one client connection to a real balancer open, and replaces it after a random lifetime."""
        random_stream, request_number = self.streams[f"client {process.number}-{index}"], 0
        while True:
            request_number += 1
            outcome, lifetime = "no_answer", random_stream.exponential(self.plan.clients.life)
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*process.listen)
                try:
                    request_id = f"{process.number:x}-{index:x}-{request_number:x}"
                    writer.write(
                        f"OPEN {request_id} {random_stream.draw_seed():x} c=view,d=2000\r\n".encode()
                    )
                    async with asyncio.timeout(5.0):
                        answer = await reader.readline()
                    outcome = "up" if answer.startswith(b"UP") else "turned_away" if answer else "no_answer"
                    if outcome == "up":
                        with contextlib.suppress(TimeoutError):
                            async with asyncio.timeout(lifetime):
                                await reader.read()  # until the balancer moves it, or its lifetime ends
                finally:
                    writer.close()
            self.client_outcomes[outcome] += 1
            if outcome != "up":
                await asyncio.sleep(CLIENT_RETRY_SECONDS)

    # The run.

    def check(self) -> None:
        """Checks the memory limit and the processes. Raises ScenarioError."""
        pids = [process.process.pid for process in self.processes.values() if process.alive]
        self.guard.check(f"at {self.now - START:.1f} s", pids)
        for process in self.processes.values():
            if process.alive and process.process.returncode is not None:
                raise ScenarioError(
                    f"scale: real balancer {process.number} exited unexpectedly with status "
                    f"{process.process.returncode}"
                )

    async def run_until(self, end: float, on_progress: Callable[[float], None]) -> None:
        """Waits until `end` seconds of the run have passed, with a check every CHECK_INTERVAL_SECONDS.

        Raises the exception of a failed background task.
        """
        while (left := START + end - self.now) > 0 and not self.failure.done():
            wait = min(CHECK_INTERVAL_SECONDS, left)
            due = self.loop.time() + wait
            await asyncio.wait([self.failure], timeout=wait)
            self.loop_lag = max(self.loop_lag, self.loop.time() - due)
            on_progress(min(end, self.now - START))
            self.check()
        if self.failure.done():
            self.failure.result()

    async def play(self, on_progress: Callable[[float], None]) -> None:
        """Starts all balancers and clients, warms up and measures.

        `on_progress` is called with the seconds of the run that have passed.
        """
        plan = self.plan
        await self.open()
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                await asyncio.gather(*(self.start_real(process) for process in self.processes.values()))
        except TimeoutError:
            raise ScenarioError(
                f"scale: real balancers were not ready within {READY_TIMEOUT_SECONDS:g} s"
            ) from None
        self.check()
        for number in self.hollow:
            self.nodes[number] = self.make_balancer(number)
            if number % 50 == 0:
                await asyncio.sleep(0)
                self.check()
        self.schedule_events()
        self.event_queue.begin()
        for process in self.processes.values():
            for index in range(plan.clients.standing):
                self.start_task(self.run_client(process, index))
        await self.run_until(plan.warm_up, on_progress)
        self.reset_counts()
        self.loop_lag = 0.0
        self.client_outcomes = dict.fromkeys(self.client_outcomes, 0)
        for number, process in self.processes.items():
            self.initial_ticks[number], process.earlier_ticks = process.cpu_ticks(), 0
        await self.run_until(plan.warm_up + plan.duration, on_progress)
        for number, process in self.processes.items():
            ticks = process.earlier_ticks + process.cpu_ticks() - self.initial_ticks[number]
            self.measurements[number].cpu_ns = ticks * 1_000_000_000 // CLOCK_TICKS_PER_SECOND
            if process.alive:
                self.real_memory_mb[number] = resident_mb([process.process.pid])
        self.faults += sum(node.counters["faults"] for node in self.nodes.values() if node.alive)

    async def finish(self) -> None:
        """Ends all tasks, processes and balancers and closes all sockets, whatever the state of the run."""
        for task in list(self.tasks):
            task.cancel()
        for process in self.processes.values():
            process.kill()
        for node in self.nodes.values():
            node.stop()
        for process in self.processes.values():
            await process.wait_for_exit()
        for listener in self.listeners:
            listener.close()
        for datagram_socket in [*self.sockets.values(), *([self.relay] if self.relay else [])]:
            datagram_socket.transport.close()

    def real_measurements(self) -> dict[str, Any]:
        """Returns what was measured of the real balancers and of this machine.

        The processor time of real balancers includes time spent in the kernel.
        """
        processor_times = figures.processor_times(
            [self.measurements[number] for number in self.real], self.plan.duration
        )
        return {
            "lag": round(self.loop_lag, 4),
            "doubtful": self.loop_lag > MAX_LOOP_LAG_SECONDS,
            "clients": self.client_outcomes,
            "memory_mb": {str(number): round(value, 1) for number, value in self.real_memory_mb.items()},
            "core": processor_times.get("core"),
            "core_most": processor_times.get("core_most"),
            "numbers": self.real,
        }


def raise_descriptor_limit(plan: Plan) -> None:
    """Raises the soft limit of descriptors to what the plan needs.

    Raises ScenarioError if the hard limit is lower.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = (
        DESCRIPTORS_PER_HOLLOW * plan.balancers
        + (DESCRIPTORS_PER_REAL + 3 * plan.clients.standing) * plan.real
        + SPARE_DESCRIPTORS
    )
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise ScenarioError(
            f"{plan.name}: needs about {needed} descriptors, but the hard limit is {hard} descriptors"
        )
    if soft != resource.RLIM_INFINITY and needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def play(plan: Plan, seed: int, guard: MemoryGuard, on_progress: Callable[[float], None]) -> RealTier:
    """Plays a plan in real time and returns the tier with its measurements.

    Raises ScenarioError if the plan cannot be played, and KeyboardInterrupt on Ctrl-C. No process remains in
    either case.
    """
    raise_descriptor_limit(plan)

    async def play_tier() -> RealTier:
        tier = RealTier(plan, seed, guard, asyncio.get_running_loop())
        try:
            await tier.play(on_progress)
        finally:
            await tier.finish()
        return tier

    with use_discovery_request(DiscoveryRequest):
        return asyncio.run(play_tier())
