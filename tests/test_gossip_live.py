"""The poll of a large tier between real processes: seven in three zones on loopback, faults between them."""

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
ZONES = "aaaabbc"  # by balancer; the fourth holds nothing, the last is alone in its zone
HELD = [(90, 30, 30, 30)] * 2 + [(84, 33, 27, 30), (0,) * 4] + [(30,) * 4] * 3
# `bellrack serve` with a tier of three taken for large, everything five times as often, connections by hand
# in place of clients, and its view told each turn.
SERVE = """
import json, sys
from bellrack import choice
from bellrack.net import node
from bellrack.net.config import read_config
from bellrack.peers import gossip
gossip.MAX_AGGREGATED_BALANCERS = 2
gossip.SEND_INTERVAL_SECONDS, gossip.SILENCE_SECONDS = 0.09, 2.0
choice.PUBLISH_INTERVAL_SECONDS = 0.1
held, listed, turn = json.loads(sys.argv[2]), gossip.Gossip.on_servers_listed, gossip.Gossip.on_period
def filled(self, servers, zone):
    listed(self, servers, zone)
    for mark, count in zip(sorted(self.zone_servers), held):
        self.set_held(mark, count, 0, 0)
def told(self, now, usual):
    turn(self, now, usual)
    print(json.dumps({"now": now, "hears": self.has_broadcasts(now), "heard": {
        peer: when for peer, (when, _) in self.sampled_peers.items()},
        "totals": [self.total(mark, now) for mark in sorted(self.zone_servers)]}), flush=True)
gossip.Gossip.on_servers_listed, gossip.Gossip.on_period = filled, told
node.run(read_config(sys.argv[1]))
"""


class Way(asyncio.DatagramProtocol):
    """Where a sender knows a receiver; datagrams get lost there, come twice, and with others' rubbish."""

    def __init__(self, tier, sender, receiver):
        self.tier, self.sender, self.receiver = tier, sender, receiver

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        tier, ends = self.tier, {self.sender, self.receiver}
        tier.forms.add(data[0])
        tier.largest = max(tier.largest, len(data))
        if not ends & tier.cut:
            back = tier.ways[self.receiver, self.sender].transport
            rubbish = tier.random.randbytes(tier.random.randrange(300))
            for one in [data] * tier.random.choice((0, 1, 1, 2)) + [b"\6\1" + rubbish]:
                back.sendto(one, (HOST, tier.ports[self.receiver]))


class Tier:
    def __init__(self):
        self.random, self.cut, self.forms, self.largest = random.Random(4), set(), set(), 0
        self.ports, self.ways = free_ports(len(ZONES)), {}
        self.processes, self.seen, self.tasks = [], [{} for _ in ZONES], []

    async def open(self, folder):
        loop = asyncio.get_running_loop()
        for sender in range(len(ZONES)):
            for receiver in range(len(ZONES)):
                _, self.ways[sender, receiver] = await loop.create_datagram_endpoint(
                    lambda ends=(sender, receiver): Way(self, *ends), local_addr=(HOST, 0)
                )
        for number, zone in enumerate(ZONES):
            path = folder / f"{number}.json"
            path.write_text(json.dumps(self.config(number, zone)))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                SERVE,
                str(path),
                json.dumps(HELD[number]),
                cwd=ROOT,
                env=os.environ | {"TMPDIR": str(folder)},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
            )
            self.processes.append(process)
            self.tasks.append(loop.create_task(self.follow(number, process)))

    def config(self, number, zone):
        peers = [
            f"{HOST}:{self.ways[number, other].transport.get_extra_info('sockname')[1]}"
            for other in range(len(ZONES))
        ]
        servers = [
            {
                "instanceId": f"{name}-{one}",
                "hostPort": f"{HOST}:1",
                "zone": name,
                "cell": 0,
                "lifecycle": "in_service",
                "weight": 1.0,
            }
            for name in "abc"
            for one in range(4)
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
                self.seen[number] = json.loads(line)

    async def until(self, true):
        async with asyncio.timeout(60):
            while not true():
                await asyncio.sleep(0.02)

    def knows(self, number):
        """That the first server of its zone holds far more than the second."""
        totals = self.seen[number].get("totals", [None])
        return None not in totals and totals[0] > 2 * totals[1]

    def hears(self, *numbers):
        return all(self.seen[number].get("hears") for number in numbers)

    def later(self, number, peer):
        """Has this one heard that one since now?"""
        before = self.seen[number]["now"]
        return lambda: self.seen[number]["heard"].get(str(peer), 0) > before

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.gather(*self.tasks)
        for way in self.ways.values():
            way.transport.close()


async def played(folder):
    tier = Tier()
    try:
        await tier.open(folder)
        # Who holds nothing learns from three mates which server is the full one, and nobody of other zones.
        await tier.until(lambda: tier.knows(3))
        await tier.until(lambda: tier.hears(0, 1, 2, 3, 4, 5))
        assert not tier.seen[6]["hears"] and set(tier.seen[4]["heard"]) == {"5"}
        # One is killed, whichever; one is stopped and woken.
        tier.processes[0].kill()
        await tier.until(tier.later(3, 1))
        await tier.until(tier.later(3, 2))
        tier.processes[1].send_signal(signal.SIGSTOP)
        await tier.until(tier.later(2, 3))
        await tier.until(lambda: tier.hears(2, 3) and tier.knows(3))
        tier.processes[1].send_signal(signal.SIGCONT)
        await tier.until(tier.later(1, 2))
        await tier.until(tier.later(3, 1))
        # A zone is cut in two: one side is alone and knows it, the other goes on; then it comes back.
        tier.cut = {3}
        await tier.until(lambda: not tier.seen[3]["hears"])
        await tier.until(tier.later(1, 2))
        await tier.until(lambda: tier.hears(1, 2, 4, 5))
        tier.cut = set()
        await tier.until(lambda: tier.hears(1, 2, 3) and tier.knows(3))
        # The rest of the tier is cut off, and a zone goes on with its own.
        tier.cut = {4, 5, 6}
        await tier.until(lambda: not tier.hears(4) and not tier.hears(5))
        await tier.until(tier.later(1, 3))
        await tier.until(lambda: tier.hears(1, 2, 3))
        assert tier.forms == {6} and tier.largest <= 256
        assert [process.returncode for process in tier.processes[1:]] == [None] * 6
    finally:
        await tier.close()


def test_seven_processes_in_three_zones_know_through_kills_stops_cuts_loss_and_rubbish(tmp_path):
    asyncio.run(played(tmp_path))
