"""Plays a hot restart whose hand-off is disturbed (`plan.Handoff`)."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from typing import TYPE_CHECKING

from bellrack.lab.soak.plan import PROCESS_PAUSE_SECONDS, SIGNALS, Disturbance, Handoff
from bellrack.lab.soak.processes import Balancer

if TYPE_CHECKING:
    from bellrack.lab.soak.troubles import Troubles

FRONT_END_DELAY_SECONDS = 0.3  # for this long after SIGTERM, new connections still arrive
SIGNAL_ROUNDS = 3  # each with one of each signal
SIGNAL_GAP_SECONDS = 0.02  # between two signals
REPORTED_DELAY_MS = 500  # by a server with late messages; the settings aim at 200


class DisturbedHandoff:
    """One hot restart: a successor starts, disturbances begin, and the predecessor gets SIGTERM.

    The methods for disturbances have the name of the disturbance's kind."""

    def __init__(self, troubles: Troubles, balancer: Balancer, handoff: Handoff):
        self.troubles, self.driver = troubles, troubles.driver
        self.balancer, self.handoff = balancer, handoff
        self.predecessors = list(balancer.processes)
        self.successor: asyncio.subprocess.Process

    async def play(self) -> None:
        """Play the hot restart to its end."""
        self.successor = await self.driver.start_successor(self.balancer)
        await asyncio.sleep(self.handoff.overlap)
        self.schedule_departure()
        disturbing = [asyncio.create_task(self.disturb(one)) for one in self.handoff.disturbances]
        await asyncio.sleep(self.handoff.lead)
        await asyncio.gather(*(self.balancer.terminate(process) for process in self.predecessors))
        await asyncio.gather(*disturbing)
        if self.successor.returncode is not None:
            await self.driver.fresh_start(self.balancer)

    def schedule_departure(self) -> None:
        """If the successor gets SIGTERM too, have clients connect elsewhere soon after both got it."""
        ends = [one.offset for one in self.handoff.disturbances if one.kind == "end_successor"]
        if ends:
            delay = self.handoff.lead + max([0.0, *ends]) + FRONT_END_DELAY_SECONDS
            asyncio.get_running_loop().call_later(delay, setattr, self.balancer, "in_front", False)

    async def disturb(self, disturbance: Disturbance) -> None:
        """Wait for the time of a disturbance and apply it."""
        await asyncio.sleep(self.handoff.lead + disturbance.offset)
        await getattr(self, disturbance.kind)(disturbance)
        self.troubles.injected.append(f"handoff {disturbance.kind}")

    async def hang(self, disturbance: Disturbance) -> None:
        """The server reads and does not answer."""
        await self.command_server(disturbance, do="hang")
        await asyncio.sleep(disturbance.seconds)
        await self.command_server(disturbance, do="resume")

    async def late(self, disturbance: Disturbance) -> None:
        """The server reports late messages."""
        await self.command_server(disturbance, do="late", ms=REPORTED_DELAY_MS)
        await asyncio.sleep(disturbance.seconds)
        await self.command_server(disturbance, do="late", ms=0)

    async def bye(self, disturbance: Disturbance) -> None:
        """The server announces the end of its connections and leaves them open."""
        await self.command_server(disturbance, do="bye")

    async def idle_reset(self, disturbance: Disturbance) -> None:
        """The connections to the server are reset."""
        await self.driver.proxy.command(do="idle_reset", s=disturbance.server)

    async def detach_at_successor(self, disturbance: Disturbance) -> None:
        """An operator detaches the server at the successor for a while."""
        await self.detach(self.successor, disturbance)

    async def detach_at_predecessor(self, disturbance: Disturbance) -> None:
        """An operator detaches the server at the predecessor for a while."""
        await self.detach(self.predecessors[-1], disturbance)

    async def detach(self, process: asyncio.subprocess.Process, disturbance: Disturbance) -> None:
        """Detach the server at this process, and attach it again at the successor."""
        number, server, detached = self.balancer.number, disturbance.server, self.troubles.detached
        if any(row[:2] == (number, server) for row in detached):
            return
        if not await self.troubles.detach_at(self.balancer, process, server, 0.0):
            return
        since, index = time.monotonic(), len(detached)
        detached.append((number, server, since, since))
        end = since + disturbance.seconds
        while time.monotonic() < end and self.successor.returncode is None:
            detached[index] = number, server, since, time.monotonic()
            await asyncio.sleep(0.02)
        await self.balancer.operator_request(self.successor, "/_servers/attach", server)

    async def pause_both(self, disturbance: Disturbance) -> None:
        """Both processes are stopped for the longest pause that STANDING.md allows."""
        processes = [*self.predecessors, self.successor]
        for number in (signal.SIGSTOP, signal.SIGCONT):
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(number)
            if number is signal.SIGSTOP:
                await asyncio.sleep(PROCESS_PAUSE_SECONDS)

    async def signals_to_both(self, disturbance: Disturbance) -> None:
        """Both processes get a series of signals that are not to end them."""
        for name in SIGNALS * SIGNAL_ROUNDS:
            for process in (*self.predecessors, self.successor):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.Signals[name])
            await asyncio.sleep(SIGNAL_GAP_SECONDS)

    async def end_successor(self, disturbance: Disturbance) -> None:
        """The successor gets SIGTERM too."""
        await self.balancer.terminate(self.successor)

    async def command_server(self, disturbance: Disturbance, **fields: object) -> None:
        """Send a command to the process of the disturbance's server."""
        helper = self.driver.server_processes[disturbance.server]
        await helper.command(s=disturbance.server, **fields)
