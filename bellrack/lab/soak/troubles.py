"""Applies the troubles of a plan: signals, restarts, detached servers, drains and outages."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import signal
import time
from typing import TYPE_CHECKING

from bellrack.lab.soak.deployment import RAMP_SECONDS
from bellrack.lab.soak.disturbances import FRONT_END_DELAY_SECONDS, DisturbedHandoff
from bellrack.lab.soak.plan import MAX_SIGNAL_GAP_SECONDS, PROCESS_PAUSE_SECONDS, Trouble
from bellrack.lab.soak.processes import Balancer

if TYPE_CHECKING:
    from bellrack.lab.soak.driver import Driver

# From the start of a process until its own code handles signals.
SIGNALS_HANDLED_AFTER_SECONDS = 0.4
BETWEEN_OUTAGES_SECONDS = 1.0  # discovery answers at least this long between outages; less is of no use
# Kinds that are applied even while another trouble of the balancer is in progress.
UNSERIALIZED_KINDS = ("pause", "reload", "detach", "signals")
OPERATOR_PATIENCE_SECONDS = 2.0  # an operator calls a process that does not listen yet for this long


class Troubles:
    """Applies troubles to the processes of a run, and records what the oracle needs to know about them.

    The methods for troubles have the name of the trouble's kind.
    """

    def __init__(self, driver: Driver):
        self.driver = driver
        self.kills: dict[int, list[float]] = {number: [] for number in range(driver.plan.balancers)}
        self.detached: list[tuple[int, str, float, float]] = []  # balancer, server, since, until
        self.unreachable: list[tuple[float, float]] = []  # outages of discovery: from, until
        self.reloads: dict[int, list[float]] = {number: [] for number in range(driver.plan.balancers)}
        self.busy_servers: set[str] = set()
        self.discovery_lock = asyncio.Lock()
        self.injected: list[str] = []  # kinds of the troubles that were applied

    async def inject(self, trouble: Trouble) -> None:
        """Wait for the trouble's time and apply it, unless another one occupies its target then."""
        await self.driver.sleep_until(trouble.at)
        if isinstance(trouble.target, int):
            balancer = self.driver.balancers[trouble.target]
            if balancer.lock.locked() and trouble.kind not in UNSERIALIZED_KINDS:
                return
            method = getattr(self, trouble.kind)
            if trouble.kind in (*UNSERIALIZED_KINDS, "reload_twice"):
                await method(balancer, trouble)
            else:
                async with balancer.lock:
                    await method(balancer, trouble)
        elif trouble.kind == "discovery":
            if self.discovery_lock.locked():
                return
            async with self.discovery_lock:
                await self.discovery_trouble(trouble)
        elif trouble.target not in self.busy_servers:
            self.busy_servers.add(trouble.target)
            await getattr(self, trouble.kind)(trouble)
            self.busy_servers.discard(trouble.target)
        self.injected.append(trouble.kind)

    # Troubles of balancers.

    async def terminate_all(self, balancer: Balancer) -> None:
        """Terminate all processes of the balancer; new connections still arrive for a moment."""
        asyncio.get_running_loop().call_later(FRONT_END_DELAY_SECONDS, setattr, balancer, "in_front", False)
        await asyncio.gather(*(balancer.terminate(process) for process in list(balancer.processes)))

    async def restart(self, balancer: Balancer, trouble: Trouble) -> None:
        """A shutdown and then a fresh start."""
        await self.terminate_all(balancer)
        await self.driver.fresh_start(balancer)

    async def signals(self, balancer: Balancer, trouble: Trouble) -> None:
        """A series of signals reaches all processes of the balancer, in whatever state they are."""
        rng = random.Random(f"{trouble.at} {trouble.target}")
        for name in trouble.detail:
            for process in list(balancer.processes):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.Signals[name])
            await asyncio.sleep(MAX_SIGNAL_GAP_SECONDS * rng.random())

    async def restart_in_signals(self, balancer: Balancer, trouble: Trouble) -> None:
        """SIGTERM reaches the processes several times, with other signals in between."""
        again = dataclasses.replace(trouble, detail=(*trouble.detail, "SIGTERM", *trouble.detail, "SIGTERM"))
        await asyncio.gather(
            self.signals(balancer, trouble), self.terminate_all(balancer), self.signals(balancer, again)
        )
        await self.driver.fresh_start(balancer)

    async def end_at_start(self, balancer: Balancer, trouble: Trouble) -> None:
        """SIGTERM reaches a process that is starting, either after a kill or beside a serving predecessor."""
        beside = len(trouble.detail) % 2 == 0
        if not beside:
            await self.kill_processes(balancer, list(balancer.processes))
            balancer.in_front = False
        process = await balancer.spawn(self.driver.environment(balancer))
        # Not earlier: until the interpreter runs the balancer's code, SIGTERM ends the process by default.
        await asyncio.sleep(SIGNALS_HANDLED_AFTER_SECONDS + 0.1 * (trouble.until - trouble.at))
        await asyncio.gather(self.signals(balancer, trouble), balancer.terminate(process))
        if not beside:
            await self.driver.fresh_start(balancer)

    async def kill(self, balancer: Balancer, trouble: Trouble) -> None:
        """SIGKILL and then a fresh start."""
        await self.kill_processes(balancer, list(balancer.processes))
        balancer.in_front = False
        await self.driver.fresh_start(balancer)

    async def kill_processes(self, balancer: Balancer, processes: list[asyncio.subprocess.Process]) -> None:
        """Send SIGKILL to the processes and record when."""
        for process in processes:
            self.kills[balancer.number].append(time.monotonic())
            balancer.kill(process)
            await process.wait()
            balancer.remove_process(process)

    async def hot_restart(self, balancer: Balancer, trouble: Trouble) -> None:
        """A successor starts and takes over, then the predecessor shuts down."""
        predecessors = list(balancer.processes)
        await self.driver.start_successor(balancer)
        await asyncio.gather(*(balancer.terminate(process) for process in predecessors))

    async def disturbed_hot_restart(self, balancer: Balancer, trouble: Trouble) -> None:
        """A hot restart whose hand-off is disturbed."""
        await DisturbedHandoff(self, balancer, trouble.detail).play()

    async def hot_restart_twice(self, balancer: Balancer, trouble: Trouble) -> None:
        """A third process starts while the first is still shutting down."""
        first = list(balancer.processes)
        second = await self.driver.start_successor(balancer)
        ending = asyncio.gather(*(balancer.terminate(process) for process in first))
        third = await self.driver.start_successor(balancer)
        await ending
        await balancer.terminate(second)
        if third.returncode is not None:
            await self.driver.fresh_start(balancer)

    async def hot_restart_both_end(self, balancer: Balancer, trouble: Trouble) -> None:
        """The successor gets SIGTERM while the predecessor is still shutting down."""
        predecessors = list(balancer.processes)
        second = await self.driver.start_successor(balancer)
        loop = asyncio.get_running_loop()
        ending = asyncio.gather(*(balancer.terminate(process) for process in predecessors))
        await asyncio.sleep(0.2 + (trouble.until - trouble.at) / 3)
        loop.call_later(FRONT_END_DELAY_SECONDS, setattr, balancer, "in_front", False)
        await asyncio.gather(ending, balancer.terminate(second))
        await self.driver.fresh_start(balancer)

    async def hot_restart_first_killed(self, balancer: Balancer, trouble: Trouble) -> None:
        """The predecessor is killed while its successor is starting."""
        predecessors = list(balancer.processes)
        spawned = time.monotonic()
        process = await balancer.spawn(self.driver.environment(balancer))
        log, ready = balancer.logs[-1], asyncio.create_task(balancer.wait_until_ready(process))
        await asyncio.sleep(0.15 + 0.2 * (trouble.until - trouble.at))
        await self.kill_processes(balancer, predecessors)
        if not await ready:
            balancer.problems.append("refused start: its predecessor was killed")
        if " after=False" in log.read_text(errors="replace"):
            self.driver.starts[balancer.number].append(spawned)  # the kill came before the hand-off

    async def hot_restart_second_killed(self, balancer: Balancer, trouble: Trouble) -> None:
        """The successor is killed once it serves; the predecessor keeps running or is shutting down."""
        predecessors = list(balancer.processes)
        process = await self.driver.start_successor(balancer)
        ending = None
        if trouble.until - trouble.at > 1.5:
            ending = asyncio.gather(*(balancer.terminate(predecessor) for predecessor in predecessors))
            await asyncio.sleep(0.2)
        await self.kill_processes(balancer, [process])
        if ending:
            asyncio.get_running_loop().call_later(
                FRONT_END_DELAY_SECONDS, setattr, balancer, "in_front", False
            )
            await ending
            await self.driver.fresh_start(balancer)

    async def pause(self, balancer: Balancer, trouble: Trouble) -> None:
        """The processes are stopped repeatedly, each time for the longest pause that STANDING.md allows."""
        while time.monotonic() < self.driver.started_at + trouble.until:
            for process in list(balancer.processes):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PROCESS_PAUSE_SECONDS)
            for process in list(balancer.processes):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
            await asyncio.sleep(2 * PROCESS_PAUSE_SECONDS)

    async def reload(self, balancer: Balancer, trouble: Trouble) -> None:
        """SIGHUP after a new configuration that names the balancer's other discovery address."""
        addresses = self.driver.discovery.addresses[balancer.number]
        balancer.configuration["discovery"] = addresses[
            1 - addresses.index(balancer.configuration["discovery"])
        ]
        balancer.write_configuration()
        self.reloads[balancer.number].append(time.monotonic())
        for process in list(balancer.processes):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGHUP)

    async def reload_twice(self, balancer: Balancer, trouble: Trouble) -> None:
        """Two reloads in quick succession."""
        await self.reload(balancer, trouble)
        await asyncio.sleep(0.05)
        await self.reload(balancer, trouble)

    async def reload_at_start(self, balancer: Balancer, trouble: Trouble) -> None:
        """SIGHUP reaches a process that is starting."""
        await self.kill_processes(balancer, list(balancer.processes))
        balancer.in_front = False
        starting = asyncio.create_task(self.driver.fresh_start(balancer))
        while not balancer.processes:
            await asyncio.sleep(0.005)
        # Not earlier: until the interpreter runs the balancer's code, only the command `run` of the deploy
        # file can handle a signal.
        await asyncio.sleep(0.1 + 0.1 * (trouble.until - trouble.at))
        await self.reload(balancer, trouble)
        await starting

    async def detach(self, balancer: Balancer, trouble: Trouble, patience: float = 0.0) -> None:
        """An operator detaches a server and attaches it again, across other troubles of the balancer.

        `patience`: seconds for which the operator calls again while the process does not listen yet."""
        if not balancer.processes or any(
            row[:2] == (balancer.number, trouble.detail) for row in self.detached
        ):
            return
        fresh_starts = len(self.driver.starts[balancer.number])
        if not await self.detach_at(balancer, balancer.processes[-1], trouble.detail, patience):
            return
        since, index = time.monotonic(), len(self.detached)
        self.detached.append((balancer.number, trouble.detail, since, since))
        while time.monotonic() < self.driver.started_at + trouble.until + 2.0:
            # Orders of operators do not survive a plain restart or a kill.
            if len(self.driver.starts[balancer.number]) != fresh_starts or self.kills[balancer.number][
                -1:
            ] > [since]:
                return
            self.detached[index] = balancer.number, trouble.detail, since, time.monotonic()
            await asyncio.sleep(0.02)
        for process in reversed(balancer.processes):
            if await balancer.operator_request(process, "/_servers/attach", trouble.detail) == 200:
                return

    async def detach_waiting(self, balancer: Balancer, trouble: Trouble) -> None:
        """An operator detaches a server at a third process while the first is still shutting down."""
        restarts = asyncio.create_task(self.hot_restart_twice(balancer, trouble))
        spawned = len(balancer.logs)
        while len(balancer.logs) < spawned + 2 and not restarts.done():
            await asyncio.sleep(0.005)
        await self.detach(balancer, trouble, OPERATOR_PATIENCE_SECONDS)
        await restarts

    async def detach_at(
        self, balancer: Balancer, process: asyncio.subprocess.Process, server: str, patience: float
    ) -> bool:
        """Detach a server at this process; return whether it said yes.

        `patience`: seconds for which the operator calls again while it does not listen yet."""
        end = time.monotonic() + patience
        while (status := await balancer.operator_request(process, "/_servers/detach", server)) == 0:
            if process.returncode is not None or time.monotonic() >= end:
                return False
            await asyncio.sleep(0.005)
        return status == 200

    # Troubles of servers and of discovery.

    async def drain(self, trouble: Trouble) -> None:
        """Discovery announces a drain, and the server refuses requests until the end of the trouble."""
        await self.driver.discovery.command(do="change", s=trouble.target, state="terminating")
        await self.driver.server_processes[trouble.target].command(do="drain", s=trouble.target)
        await self.driver.sleep_until(trouble.until)
        await self.driver.server_processes[trouble.target].command(do="start", s=trouble.target)
        await self.driver.discovery.command(do="change", s=trouble.target, state="in_service")

    async def replace(self, trouble: Trouble) -> None:
        """The server is terminated and starts again cold; the clock behind its start time may be wrong."""
        await self.driver.discovery.command(do="change", s=trouble.target, state="terminated")
        await self.driver.server_processes[trouble.target].command(do="stop", s=trouble.target)
        await self.driver.sleep_until(trouble.until)
        await self.driver.server_processes[trouble.target].command(do="start", s=trouble.target)
        await self.driver.discovery.command(
            do="change", s=trouble.target, state="in_service", clock=trouble.detail
        )
        await asyncio.sleep(RAMP_SECONDS)  # the server is warm before its next trouble

    async def mode(self, trouble: Trouble) -> None:
        """The proxy disturbs attempts at the server in a mode of `proxy`."""
        await self.driver.proxy.command(do="mode", s=trouble.target, mode=trouble.detail)
        await self.driver.sleep_until(trouble.until)
        await self.driver.proxy.command(do="mode", s=trouble.target, mode="pass")

    async def idle_reset(self, trouble: Trouble) -> None:
        """The proxy resets the open connections to the server."""
        await self.driver.proxy.command(do="idle_reset", s=trouble.target)

    async def discovery_trouble(self, trouble: Trouble) -> None:
        """Discovery works in another mode of `discovery` until the end of the trouble."""
        outage_start = time.monotonic()
        await self.driver.discovery.command(do="mode", mode=trouble.detail)
        await self.driver.sleep_until(trouble.until)
        await self.driver.discovery.command(do="mode", mode="up")
        if trouble.detail == "down":
            self.unreachable.append((outage_start, time.monotonic()))
        await asyncio.sleep(BETWEEN_OUTAGES_SECONDS)
