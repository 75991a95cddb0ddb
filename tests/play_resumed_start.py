"""A start in the pages' own times, played by hand: `python tests/play_resumed_start.py`. Takes 75 s.

Eight balancers start with a list, one with none. Clients come 30 s after the start, when DEPLOY.md lets them
come at the latest; a fifth of them write their line at once, the rest by up to 38 s later. One server says
nothing until 60 s after the start. The balancer without a list gets one after 35 s. Exits with 1 if one of
the clients is not up.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from processes import BalancerProcess, Client, Clients, StandInProcess, balancer_settings, resumed_line

BALANCERS, STANDING, SERVERS = 8, 150, 6
CLIENTS_COME, LIST_COMES, SERVER_ANSWERS, LAST_LINE = 30.0, 35.0, 60.0, 38.0  # seconds


def wait_until(begun: float, after: float) -> None:
    time.sleep(max(0.0, begun + after - time.monotonic()))


def clients_of(number: int, balancer: BalancerProcess, address: tuple[str, int], names: list[str]) -> Clients:
    clients = []
    for index in range(STANDING):
        id, server = 10_000 * (number + 1) + index, names[index % len(names)]
        late = 0.0 if index % 5 == 0 else LAST_LINE * index / STANDING
        clients.append(Client(f"{id:016x}", server, address, [(late, resumed_line(id, server))]))
    return Clients(clients, within=CLIENTS_COME + LAST_LINE)


def main() -> int:
    folder = Path(tempfile.mkdtemp())
    servers, unlisted = StandInProcess(SERVERS), StandInProcess(0, number=1)
    unlisted.command("discovery", answering=False)
    servers.command("mode", mode="late", servers=servers.names[:1])
    raw = balancer_settings(servers, STANDING)
    balancers = [BalancerProcess(folder, f"n{number}", raw) for number in range(BALANCERS)]
    without = raw | {"known": None, "discovery": unlisted.discovery}
    balancers.append(BalancerProcess(folder, "without", without))
    begun = time.monotonic()
    try:
        addresses = [balancer.start().address() for balancer in balancers[:-1]]
        balancers[-1].start()
        line = balancers[-1].log.wait_for("event=listening")
        host, port = line.partition(" address=")[2].split()[0].split(":")
        addresses.append((host, int(port)))
        wait_until(begun, CLIENTS_COME)
        groups = [
            clients_of(number, balancer, address, servers.names)
            for number, (balancer, address) in enumerate(zip(balancers, addresses))
        ]
        wait_until(begun, LIST_COMES)
        unlisted.command("others", entries=servers.entries)
        unlisted.command("discovery", answering=True)
        wait_until(begun, SERVER_ANSWERS)
        servers.command("mode", mode="answers")
        servers.command("release")
        for group in groups:
            group.settle()
        answers = Counter(
            "up" if client.up else " ".join(line.split()[0] for line in client.answers) or "nothing"
            for group in groups
            for client in group.clients
        )
        print(f"{time.monotonic() - begun:.1f} s after the start: {dict(answers)}")
        return set(answers) != {"up"}
    finally:
        for balancer in balancers:
            balancer.end()
        servers.end()
        unlisted.end()


if __name__ == "__main__":
    sys.exit(main())
