"""The poll of a large tier between seven real processes in three zones on loopback, with network faults."""

import asyncio
import json
import os
import random
import signal
import sys
from pathlib import Path

from helpers import CAPS, raw_settings

from bellrack.lab.sockets import HOST, free_ports

ROOT = Path(__file__).parent.parent
ZONES = "aaaabbc"  # by balancer; the last one is alone in its zone
# Connections of each balancer at the four servers of its zone; the fourth balancer has none.
HELD = [(90, 30, 30, 30)] * 2 + [(84, 33, 27, 30), (0,) * 4] + [(30,) * 4] * 3
# `bellrack serve` with periods five times as short, where a tier of more than two balancers counts as large.
# Set numbers of connections replace the clients, and the estimates are printed in each period.
SERVE = """
import json, sys
from bellrack import choice
from bellrack.net import node
from bellrack.net.config import read_config
from bellrack.peers import gossip
gossip.MAX_AGGREGATED_BALANCERS = 2
gossip.SEND_INTERVAL_SECONDS, gossip.SILENCE_SECONDS = 0.09, 2.0
choice.PUBLISH_INTERVAL_SECONDS = 0.1
held = json.loads(sys.argv[2])
set_servers, send_poll = gossip.Gossip.on_servers_listed, gossip.Gossip.on_period
def on_servers_listed(self, servers, zone):
    set_servers(self, servers, zone)
    for id_hash, count in zip(sorted(self.zone_servers), held):
        self.set_held(id_hash, count, 0, 0)
def on_period(self, now, baseline):
    send_poll(self, now, baseline)
    print(json.dumps({"now": now, "has_peers": self.has_broadcasts(now), "last_received": {
        peer: when for peer, (when, _) in self.sampled_peers.items()},
        "totals": [self.total(id_hash, now) for id_hash in sorted(self.zone_servers)]}), flush=True)
gossip.Gossip.on_servers_listed, gossip.Gossip.on_period = on_servers_listed, on_period
node.run(read_config(sys.argv[1]))
"""


class Relay(asyncio.DatagramProtocol):
    """The address at which one sender reaches one receiver.

    It loses and duplicates datagrams and sends garbage beside them. The receiver sees the address at which it
    reaches the sender itself.
    """

    def __init__(self, tier, sender, receiver):
        self.tier, self.sender, self.receiver = tier, sender, receiver

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        tier, ends = self.tier, {self.sender, self.receiver}
        tier.forms.add(data[0])
        tier.largest = max(tier.largest, len(data))
        if not ends & tier.isolated:
            opposite = tier.relays[self.receiver, self.sender].transport
            garbage = tier.random.randbytes(tier.random.randrange(300))
            for datagram in [data] * tier.random.choice((0, 1, 1, 2)) + [b"\6\1" + garbage]:
                opposite.sendto(datagram, (HOST, tier.ports[self.receiver]))


class Tier:
    """Seven processes and the relays between them; `reports` has the last printed state of each."""

    def __init__(self):
        self.random, self.isolated, self.forms, self.largest = random.Random(4), set(), set(), 0
        self.ports, self.relays = free_ports(len(ZONES)), {}
        self.processes, self.reports, self.tasks = [], [{} for _ in ZONES], []

    async def open(self, directory):
        loop = asyncio.get_running_loop()
        for sender in range(len(ZONES)):
            for receiver in range(len(ZONES)):
                _, self.relays[sender, receiver] = await loop.create_datagram_endpoint(
                    lambda ends=(sender, receiver): Relay(self, *ends), local_addr=(HOST, 0)
                )
        for number, zone in enumerate(ZONES):
            path = directory / f"{number}.json"
            path.write_text(json.dumps(self.config(number, zone)))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                SERVE,
                str(path),
                json.dumps(HELD[number]),
                cwd=ROOT,
                env=os.environ | {"TMPDIR": str(directory)},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
            )
            self.processes.append(process)
            self.tasks.append(loop.create_task(self.follow(number, process)))

    def config(self, number, zone):
        peers = [
            f"{HOST}:{self.relays[number, other].transport.get_extra_info('sockname')[1]}"
            for other in range(len(ZONES))
        ]
        servers = [
            {
                "instanceId": f"{name}-{index}",
                "hostPort": f"{HOST}:1",
                "zone": name,
                "cell": 0,
                "lifecycle": "in_service",
                "weight": 1.0,
            }
            for name in "abc"
            for index in range(4)
        ]
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:1",
            "peer_listen": f"{HOST}:{self.ports[number]}",
            "peers": peers,
            "known": {"generation": 1, "reset": True, "instances": servers},
            "settings": raw_settings(
                areas=["a", "b", "c"],
                az="abc".index(zone),
                slotNo=number,
                peersTotal=len(ZONES),
                caps=CAPS | {"mayTell": True},
            ),
        }

    async def follow(self, number, process):
        async for line in process.stdout:
            if line.startswith(b'{"now"'):
                self.reports[number] = json.loads(line)

    async def until(self, condition):
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.02)

    def has_estimates(self, number):
        """Whether the balancer knows that the first server of its zone has far more load than the second."""
        totals = self.reports[number].get("totals", [None])
        return None not in totals and totals[0] > 2 * totals[1]

    def has_peers(self, *numbers):
        return all(self.reports[number].get("has_peers") for number in numbers)

    def received_since_now(self, number, peer):
        """Returns a function that tells whether `number` has received a datagram of `peer` since now."""
        before = self.reports[number]["now"]
        return lambda: self.reports[number]["last_received"].get(str(peer), 0) > before

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.gather(*self.tasks)
        for relay in self.relays.values():
            relay.transport.close()


async def run_faults(directory):
    tier = Tier()
    try:
        await tier.open(directory)
        # The balancer without connections learns from three peers of its zone which server is full, and from
        # no peer of other zones. The balancer that is alone in its zone has no peers.
        await tier.until(lambda: tier.has_estimates(3))
        await tier.until(lambda: tier.has_peers(0, 1, 2, 3, 4, 5))
        assert not tier.reports[6]["has_peers"] and set(tier.reports[4]["last_received"]) == {"5"}
        # One process is killed; one is stopped and continued.
        tier.processes[0].kill()
        await tier.until(tier.received_since_now(3, 1))
        await tier.until(tier.received_since_now(3, 2))
        tier.processes[1].send_signal(signal.SIGSTOP)
        await tier.until(tier.received_since_now(2, 3))
        await tier.until(lambda: tier.has_peers(2, 3) and tier.has_estimates(3))
        tier.processes[1].send_signal(signal.SIGCONT)
        await tier.until(tier.received_since_now(1, 2))
        await tier.until(tier.received_since_now(3, 1))
        # One balancer is isolated and detects it, while the others go on; then it returns.
        tier.isolated = {3}
        await tier.until(lambda: not tier.reports[3]["has_peers"])
        await tier.until(tier.received_since_now(1, 2))
        await tier.until(lambda: tier.has_peers(1, 2, 4, 5))
        tier.isolated = set()
        await tier.until(lambda: tier.has_peers(1, 2, 3) and tier.has_estimates(3))
        # The other zones are isolated, and the first zone goes on with its own members.
        tier.isolated = {4, 5, 6}
        await tier.until(lambda: not tier.has_peers(4) and not tier.has_peers(5))
        await tier.until(tier.received_since_now(1, 3))
        await tier.until(lambda: tier.has_peers(1, 2, 3))
        assert tier.forms == {6} and tier.largest <= 256
        assert [process.returncode for process in tier.processes[1:]] == [None] * 6
    finally:
        await tier.close()


def test_processes_in_three_zones_keep_estimates_through_kills_stops_partitions_and_loss(tmp_path):
    asyncio.run(run_faults(tmp_path))
