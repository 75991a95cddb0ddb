"""A scale run on real time: hollow balancers on sockets of their own beside `bellrack serve` processes.

Owns the sockets on loopback, the processes and their end, and the stand-in servers and clients. It leaves no
process behind, however it ends. What a plan says of latency is left out: the way is loopback's.

Ways of datagrams. A hollow balancer has one socket; a real one has its own and, here, a front: the address
under which other real ones know it. All is sent to the socket itself, but between two real ones, where the
front of the receiver takes it and the front of the sender passes it on; and to `peers_all`, the relay, which
hands it to each from the socket, or the front, of the sender. So the sender's address names it everywhere.
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

READY_WITHIN = 30.0  # seconds until all processes are up, else the run is given up
LOOK = 0.5  # seconds between looks at memory, at processes and at our own loop
PING_EACH = 0.05
SOCKETS = 1024  # descriptors that a real balancer may hold
A_HOLLOW, A_REAL = 3, 8  # descriptors of ours: its socket, both ends of its watch; front, watch and more
SPARE = 256
LAST_WORD = 5.0  # seconds that processes get to end
AGAIN = 0.2  # seconds until a client that was turned away comes again
TICKS = os.sysconf("SC_CLK_TCK")


class Ear(asyncio.DatagramProtocol):
    """A socket for datagrams; what comes in goes to `heard(sender's address, data)`."""

    transport: Any = None

    def __init__(self, heard: Callable[[tuple[str, int], bytes], None]):
        self.heard = heard

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.heard(address[:2], data)

    def error_received(self, error: Exception) -> None: ...

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(data, address)

    @property
    def address(self) -> tuple[str, int]:
        return self.transport.get_extra_info("sockname")


class ServerLine(LineProtocol):
    """A server that takes whatever comes."""

    def line_received(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        self.send_line({"OPEN": f"UP {rest.partition(' ')[0]}", "PING": "PONG"}.get(word, "OK"))


class BalancerProcess:
    """A real balancer."""

    def __init__(self, number: int, listen: tuple[str, int], peer_listen: tuple[str, int]):
        self.number, self.listen, self.peer_listen = number, listen, peer_listen
        self.process: asyncio.subprocess.Process | None = None
        self.ticks_before = 0  # of processes that had this number before, while it counts
        self.alive = False

    async def start(self, config: dict[str, Any]) -> None:
        memory = os.memfd_create(f"bellrack-{self.number}")
        try:
            os.write(memory, json.dumps(config).encode())
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bellrack",
                "serve",
                f"--config=/dev/fd/{memory}",
                pass_fds=[memory],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
                preexec_fn=die_with_parent,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
            )
        finally:
            os.close(memory)
        self.alive = True

    async def ready(self) -> None:
        """Until it answers a PING."""
        while self.process.returncode is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer.strip() == b"PONG":
                    return
            await asyncio.sleep(PING_EACH)
        raise ScenarioError(f"scale: a real balancer ended at its start with {self.process.returncode}")

    def ticks(self) -> int:
        """Of processor time, so far."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            told = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            return int(told[11]) + int(told[12])
        return 0

    def kill(self) -> None:
        """By its id."""
        self.alive = False
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()

    async def gone(self) -> None:
        if self.process:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), LAST_WORD)


class RealTier(BackgroundTasks, Tier):
    def __init__(self, plan: Plan, seed: int, guard: MemoryGuard, loop: asyncio.AbstractEventLoop):
        super().__init__(plan, seed, guard)
        self.loop = loop
        self.failure: asyncio.Future = loop.create_future()
        self.event_queue = LiveEventQueue(loop, self.fail)
        self.measurements = [figures.Measurements() for _ in range(plan.total_balancers)]
        first = 0 if plan.real_first else plan.balancers
        self.real = list(range(first, first + plan.real))
        self.hollow = [number for number in range(plan.total_balancers) if number not in self.real]
        self.processes: dict[int, BalancerProcess] = {}
        self.ears: dict[int, Ear] = {}  # of hollow balancers; of real ones their fronts
        self.senders: dict[tuple[str, int], int] = {}  # numbers, by each address under which one sends
        self.relay: Ear | None = None
        self.tasks: set[asyncio.Task] = set()
        self.listeners: list[asyncio.Server] = []
        self.server_port = self.list_port = 0
        self.discovery_stub = DiscoveryStub(plan, loop, lambda number: f"{HOST}:{self.server_port}")
        self.lag, self.client_outcomes = 0.0, {"up": 0, "turned_away": 0, "no_answer": 0}
        self.started: dict[int, int] = {}  # ticks when counting began
        self.real_memory: dict[int, float] = {}

    # The network.

    async def ear(self, heard: Callable[[tuple[str, int], bytes], None]) -> Ear:
        _, ear = await self.loop.create_datagram_endpoint(lambda: Ear(heard), local_addr=(HOST, 0))
        return ear

    async def open(self) -> None:
        for factory in (ServerLine, lambda: CountedWatch(self.discovery_stub)):
            self.listeners.append(await self.loop.create_server(factory, HOST, 0, backlog=4096))
        self.server_port, self.list_port = (one.sockets[0].getsockname()[1] for one in self.listeners)
        self.relay = await self.ear(self.relayed)
        for number in range(self.plan.total_balancers):
            heard = self.fronted if number in self.real else self.direct
            self.ears[number] = ear = await self.ear(
                lambda sender, data, number=number, heard=heard: heard(number, sender, data)
            )
            self.senders[ear.address] = number
        ports = free_ports(len(self.real))
        for number, port in zip(self.real, ports):
            self.processes[number] = BalancerProcess(number, (HOST, self.a_port()), (HOST, port))
            self.senders[HOST, port] = number
        peers = [self.address(number) for number in range(self.plan.total_balancers)]
        self.configuration = configuration_factory(
            self.plan, f"{HOST}:{self.list_port}", peers, self.relay.address
        )

    @staticmethod
    def a_port() -> int:
        """For a door: free a moment ago."""
        with socket.create_server((HOST, 0)) as sock:
            return sock.getsockname()[1]

    def address(self, number: int) -> tuple[str, int]:
        """Where it hears."""
        return self.processes[number].peer_listen if number in self.processes else self.ears[number].address

    def send_datagram(self, sender: HollowBalancer, peer: int | None, data: bytes) -> None:
        """A hollow one's datagram goes out."""
        if not sender.alive:
            return
        number = sender.number
        sender.measurements.count_sent(
            data, self.plan.total_balancers - 1 if peer is None else 1, peer is None
        )
        if peer is None:
            self.ears[number].send(data, self.relay.address)
        elif 0 <= peer < self.plan.total_balancers:
            self.carry(number, peer, data)

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        """From the sender's socket or front to where the receiver hears."""
        if not self.drops_datagram(sender, receiver):
            if receiver in self.processes:
                self.measurements[receiver].count_received(data)
            self.ears[sender].send(data, self.address(receiver))

    def relayed(self, address: tuple[str, int], data: bytes) -> None:
        """To all others."""
        sender = self.senders.get(address)
        if sender is None:
            return
        self.last_broadcaster = sender
        if sender in self.processes:
            self.measurements[sender].count_sent(data, self.plan.total_balancers - 1, True)
        for number in range(self.plan.total_balancers):
            if number != sender:
                self.carry(sender, number, data)

    def fronted(self, receiver: int, address: tuple[str, int], data: bytes) -> None:
        """From one real balancer to another."""
        sender = self.senders.get(address)
        if sender is not None:
            self.measurements[sender].count_sent(data, 1, False)
            self.carry(sender, receiver, data)

    def direct(self, receiver: int, address: tuple[str, int], data: bytes) -> None:
        """A hollow balancer hears. What a real one sends of its own accord is counted, and lost, here."""
        sender = self.senders.get(address)
        if sender is None:
            return
        if sender in self.processes and address == self.processes[sender].peer_listen:
            self.measurements[sender].count_sent(data, 1, False)
            if self.drops_datagram(sender, receiver):
                return
        self.nodes[receiver].receive_datagram(sender, data)

    # Balancers.

    def make_balancer(self, number: int) -> HollowBalancer:
        config = self.configuration(number, self.zone(number), self.balancer_seeds.draw_seed())
        node = HollowBalancer(config, self.loop, self.measurements[number], self.send_datagram)
        node.on_connection_moved = lambda: self.loop.call_soon(self.open_elsewhere, node)
        node.start()
        return node

    def told_to(self, process: BalancerProcess) -> dict[str, Any]:
        """The configuration of a real one."""
        number = process.number

        def known(other: int) -> str:
            own = other == number or other not in self.processes
            host, port = self.address(other) if own else self.ears[other].address
            return f"{host}:{port}"

        return {
            "name": f"b{number}",
            "listen": "{}:{}".format(*process.listen),
            "discovery": f"{HOST}:{self.list_port}",
            "seed": f"{self.balancer_seeds.draw_seed():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "peer_listen": "{}:{}".format(*process.peer_listen),
            "peers": [known(other) for other in range(self.plan.total_balancers)],
            "peers_all": "{}:{}".format(*self.relay.address),
            "settings": balancer_settings(self.plan, self.zone(number), number),
        }

    async def starts(self, process: BalancerProcess) -> None:
        await process.start(self.told_to(process))
        await process.ready()

    def kill(self, number: int, lasts: float) -> None:
        process = self.processes.get(number)
        if process is None:
            super().kill(number, lasts)
        elif process.alive:
            process.ticks_before += process.ticks() - self.started.get(number, 0)
            self.started[number] = 0
            process.kill()
            if lasts:
                self.start_task(self.returns(process, lasts))

    async def returns(self, process: BalancerProcess, lasts: float) -> None:
        await process.gone()
        await asyncio.sleep(lasts)
        self.restarts += 1
        await self.starts(process)

    async def client(self, process: BalancerProcess, index: int) -> None:
        """One that stands for its life and comes again."""
        draw, turn = self.streams[f"client {process.number}-{index}"], 0
        while True:
            turn += 1
            how, life = "no_answer", draw.exponential(self.plan.clients.life)
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*process.listen)
                try:
                    mark = f"{process.number:x}-{index:x}-{turn:x}"
                    writer.write(f"OPEN {mark} {draw.draw_seed():x} c=view,d=2000\r\n".encode())
                    async with asyncio.timeout(5.0):
                        answer = await reader.readline()
                    how = "up" if answer.startswith(b"UP") else "turned_away" if answer else "no_answer"
                    if how == "up":
                        with contextlib.suppress(TimeoutError):
                            async with asyncio.timeout(life):
                                await reader.read()  # until it is moved, or its life ends
                finally:
                    writer.close()
            self.client_outcomes[how] += 1
            if how != "up":
                await asyncio.sleep(AGAIN)

    # The run.

    def look(self) -> None:
        processes = [one.process.pid for one in self.processes.values() if one.alive]
        self.guard.check(f"at {self.now - START:.1f} s", processes)
        for process in self.processes.values():
            if process.alive and process.process.returncode is not None:
                raise ScenarioError(
                    f"scale: real balancer {process.number} ended by itself, with "
                    f"{process.process.returncode}"
                )

    async def run_to(self, end: float, tell: Callable[[float], None]) -> None:
        while (left := START + end - self.now) > 0 and not self.failure.done():
            wait = min(LOOK, left)
            due = self.loop.time() + wait
            await asyncio.wait([self.failure], timeout=wait)
            self.lag = max(self.lag, self.loop.time() - due)
            tell(min(end, self.now - START))
            self.look()
        if self.failure.done():
            self.failure.result()

    async def play(self, tell: Callable[[float], None]) -> None:
        plan = self.plan
        await self.open()
        try:
            async with asyncio.timeout(READY_WITHIN):
                await asyncio.gather(*(self.starts(process) for process in self.processes.values()))
        except TimeoutError:
            raise ScenarioError(f"scale: real balancers were not ready within {READY_WITHIN:g} s") from None
        self.look()
        for number in self.hollow:
            self.nodes[number] = self.make_balancer(number)
            if number % 50 == 0:
                await asyncio.sleep(0)
                self.look()
        self.schedule_events()
        self.event_queue.begin()
        for process in self.processes.values():
            for index in range(plan.clients.standing):
                self.start_task(self.client(process, index))
        await self.run_to(plan.warm_up, tell)
        self.reset_counts()
        self.lag = 0.0
        self.client_outcomes = dict.fromkeys(self.client_outcomes, 0)
        for number, process in self.processes.items():
            self.started[number], process.ticks_before = process.ticks(), 0
        await self.run_to(plan.warm_up + plan.duration, tell)
        for number, process in self.processes.items():
            ticks = process.ticks_before + process.ticks() - self.started[number]
            self.measurements[number].cpu_ns = ticks * 1_000_000_000 // TICKS
            if process.alive:
                self.real_memory[number] = resident_mb([process.process.pid])
        self.faults += sum(node.counters["faults"] for node in self.nodes.values() if node.alive)

    async def finish(self) -> None:
        """End all that was started, whatever has happened."""
        for task in list(self.tasks):
            task.cancel()
        for process in self.processes.values():
            process.kill()
        for node in self.nodes.values():
            node.stop()
        for process in self.processes.values():
            await process.gone()
        for listener in self.listeners:
            listener.close()
        for ear in [*self.ears.values(), *([self.relay] if self.relay else [])]:
            ear.transport.close()

    def real_measurements(self) -> dict[str, Any]:
        """What this machine did; processor time of real ones has the kernel's part in it."""
        of_real = figures.processor_times(
            [self.measurements[number] for number in self.real], self.plan.duration
        )
        return {
            "lag": round(self.lag, 4),
            "doubtful": self.lag > MAX_LOOP_LAG_SECONDS,
            "clients": self.client_outcomes,
            "memory_mb": {str(number): round(value, 1) for number, value in self.real_memory.items()},
            "core": of_real.get("core"),
            "core_most": of_real.get("core_most"),
            "numbers": self.real,
        }


def refuse_if_too_large(plan: Plan) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = A_HOLLOW * plan.balancers + (A_REAL + 3 * plan.clients.standing) * plan.real + SPARE
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise ScenarioError(f"{plan.name}: about {wanted} descriptors, more than the {hard} allowed")
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def play(plan: Plan, seed: int, guard: MemoryGuard, tell: Callable[[float], None]) -> RealTier:
    """Raises ScenarioError for what cannot be played, KeyboardInterrupt on Ctrl-C; nothing is left behind."""
    refuse_if_too_large(plan)

    async def played() -> RealTier:
        tier = RealTier(plan, seed, guard, asyncio.get_running_loop())
        try:
            await tier.play(tell)
        finally:
            await tier.finish()
        return tier

    with use_discovery_request(DiscoveryRequest):
        return asyncio.run(played())
