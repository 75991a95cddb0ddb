"""Runs a plan: starts the processes, injects the troubles, runs the clients and collects the record."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import re
import time
from pathlib import Path
from typing import Any

from bellrack.lab.soak import oracle
from bellrack.lab.soak.clients import Client, Outcome
from bellrack.lab.soak.deployment import LIMITS, settings
from bellrack.lab.soak.plan import Plan
from bellrack.lab.soak.processes import Balancer, Helper, free_datagram_address
from bellrack.lab.soak.troubles import Troubles

SERVER_PROCESSES = 3
CLOCK_CHECK_INTERVAL_SECONDS = 0.02
PAUSE_THRESHOLD_SECONDS = 0.05  # a clock check this much later than its interval counts as a pause
# Log lines in which a balancer reports a fault of its own.
SELF_REPORTED = re.compile(r"event=(fault|violation|loop)\b")


class Driver:
    """Runs one plan with its processes; events, logs and configurations are files in `folder`."""

    def __init__(self, plan: Plan, folder: Path):
        self.plan, self.folder = plan, folder
        self.balancers: list[Balancer] = []
        # Start times by balancer; not of starts that take over from a predecessor (hot restart).
        self.starts: dict[int, list[float]] = {number: [] for number in range(plan.balancers)}
        self.helpers: list[Helper] = []
        self.server_processes: dict[str, Helper] = {}
        self.troubles = Troubles(self)
        # From, until: periods in which this process, which runs the clients, got no processor time.
        self.pauses: list[tuple[float, float]] = []

    # Starting processes.

    async def start(self) -> None:
        """Start servers, proxy, discovery and balancers."""
        plan, addresses = self.plan, {}
        for number in range(SERVER_PROCESSES):
            names = plan.servers[number::SERVER_PROCESSES]
            helper = await Helper.start("servers", str(self.events_path(f"servers-{number}")), *names)
            addresses |= helper.addresses
            self.server_processes |= dict.fromkeys(names, helper)
            self.helpers.append(helper)
        addresses = {name: addresses[name] for name in plan.servers}
        count = str(plan.balancers)
        self.proxy = await Helper.start("proxy", str(self.events_path("proxy")), count, json.dumps(addresses))
        proxy_addresses = json.dumps(self.proxy.addresses)
        self.discovery = await Helper.start("discovery", str(self.events_path("discovery")), proxy_addresses)
        self.helpers += [self.proxy, self.discovery]
        peers = [free_datagram_address() for _ in range(plan.balancers)]
        for number in range(plan.balancers):
            configuration = {
                "name": f"n{number}",
                "seed": f"{plan.seed * 1000 + number:016x}",
                "discovery": self.discovery.addresses[number][0],
                "limits": {"sockets": 1024},
                "peer_listen": peers[number],
                "peers": peers,
                "settings": settings(number, plan.balancers, plan.pushed),
                "known": {"generation": 1, "reset": True, "instances": self.initial_instances(number)},
            }
            self.balancers.append(Balancer(number, self.folder, configuration))
            self.balancers[-1].write_configuration()
        self.started_at = time.monotonic() + 1.5
        for number, faults in enumerate(plan.faults):
            shifted = [
                fault | {"at": fault["at"] + self.started_at, "until": fault["until"] + self.started_at}
                for fault in faults
            ]
            (self.folder / f"faults-{number}.json").write_text(json.dumps(shifted))
        await asyncio.gather(*(self.fresh_start(balancer) for balancer in self.balancers))

    def initial_instances(self, number: int) -> list[dict[str, Any]]:
        """Return the server list that the configuration of this balancer contains."""
        return [
            {
                "instanceId": name,
                "hostPort": self.proxy.addresses[number][name],
                "zone": "ab"[index % 2],
                "cell": 0,
                "machineType": "m",
                "lifecycle": "in_service",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for index, name in enumerate(self.plan.servers)
        ]

    def events_path(self, name: str) -> Path:
        """Return the file to which a helper process writes its events."""
        return self.folder / f"events-{name}.jsonl"

    def environment(self, balancer: Balancer) -> dict[str, str]:
        """Return the environment variables of the balancer's processes."""
        return dict(os.environ) | {"SOAK_FAULTS": str(self.folder / f"faults-{balancer.number}.json")}

    async def fresh_start(self, balancer: Balancer) -> None:
        """Start the balancer without a predecessor that hands over, and wait until it is ready."""
        self.starts[balancer.number].append(time.monotonic())
        process = await balancer.spawn(self.environment(balancer))
        if await balancer.wait_until_ready(process):
            balancer.in_front = True
        elif process.returncode is None:
            balancer.problems.append("refused start: not ready in time")

    async def start_successor(self, balancer: Balancer) -> asyncio.subprocess.Process:
        """Start a process that takes over from the balancer's running one, and wait until it is ready."""
        process = await balancer.spawn(self.environment(balancer))
        if not await balancer.wait_until_ready(process) and process.returncode is None:
            balancer.problems.append("refused start: a successor was not ready in time")
        return process

    # Running.

    async def run(self) -> list[Outcome]:
        """Run troubles and clients to the end of the plan; return the outcomes of clients that connected."""
        await asyncio.sleep(max(0.0, self.started_at - time.monotonic()))
        pause_recorder = asyncio.create_task(self.record_pauses())
        troubles = [asyncio.create_task(self.troubles.inject(trouble)) for trouble in self.plan.troubles]
        clients = [asyncio.create_task(self.run_client(number)) for number in range(len(self.plan.demands))]
        await asyncio.gather(*troubles)
        await self.sleep_until(self.plan.seconds)
        # The balancers are terminated while clients still use their connections.
        await asyncio.gather(*(self.troubles.terminate_all(balancer) for balancer in self.balancers))
        outcomes = await asyncio.gather(*clients)
        pause_recorder.cancel()
        return [outcome for outcome in outcomes if outcome]

    async def record_pauses(self) -> None:
        """Record when this process was not scheduled: input that arrives meanwhile is read late."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(CLOCK_CHECK_INTERVAL_SECONDS)
            if (now := time.monotonic()) > before + CLOCK_CHECK_INTERVAL_SECONDS + PAUSE_THRESHOLD_SECONDS:
                self.pauses.append((before, now))

    async def sleep_until(self, seconds: float) -> None:
        """Sleep until this time, in seconds from the start of the run."""
        await asyncio.sleep(max(0.0, self.started_at + seconds - time.monotonic()))

    async def run_client(self, number: int) -> Outcome | None:
        """Send a request of the plan to its balancer, or to the next one that accepts the connection."""
        demand = self.plan.demands[number]
        await self.sleep_until(demand.at)
        for offset in range(len(self.balancers)):
            balancer = self.balancers[(demand.balancer + offset) % len(self.balancers)]
            if not balancer.in_front:
                continue
            routed_demand = dataclasses.replace(demand, balancer=balancer.number)
            client = Client(routed_demand, number + 1, balancer.address)
            outcome = await client.run()
            if outcome.connected_at is not None:
                return outcome
        return None

    # Collecting the record.

    async def stop(self) -> None:
        """Kill all processes that are still running."""
        for balancer in self.balancers:
            for process in balancer.processes:
                balancer.kill(process)
        for helper in self.helpers:
            helper.process.kill()
            await helper.process.wait()

    def record(self, outcomes: list[Outcome]) -> oracle.Record:
        """Read the event files and return the record for the oracle."""
        events = []
        for path in self.folder.glob("events-*.jsonl"):
            with open(path, encoding="utf-8") as file:
                events += [json.loads(line) for line in file if line.endswith("\n")]
        events.sort(key=lambda event: event["t"])
        troubles = self.troubles
        return oracle.Record(
            LIMITS,
            events,
            outcomes,
            troubles.kills,
            self.starts,
            troubles.detached,
            troubles.unreachable,
            self.plan.pushed,
            {
                number: [
                    (self.started_at + fault["at"], self.started_at + fault["until"])
                    for fault in faults
                    if fault["kind"] == "broken"
                ]
                for number, faults in enumerate(self.plan.faults)
            },
            troubles.reloads,
            {balancer.number: sorted(balancer.first_answers.values()) for balancer in self.balancers},
            self.pauses,
        )

    def problems(self) -> list[str]:
        """Return crashes, hangs, refused starts and the faults that the balancers logged about themselves."""
        found = []
        for balancer in self.balancers:
            found += [f"n{balancer.number} {problem}" for problem in balancer.problems]
            for log in balancer.logs:
                text = log.read_text(errors="replace")
                found += [f"{log.name}: {line}" for line in text.splitlines() if SELF_REPORTED.search(line)]
                if "Traceback" in text:
                    found.append(f"{log.name}: a traceback")
        return found
