"""Plays resumed connections, for the figures in `docs/`; run by hand.

Usage:
  play_resumed.py late [--processes=N] [--standing=N] [--seconds=S]
  play_resumed.py moves
  play_resumed.py start

`late`: all connect at once; a fifth of them write their line up to S seconds after connecting.
`moves`: 300 at three balancers and servers of two zones, then 20 s without a request; counts who is still
established.
`start`: a start of 70 s, with the times of DEPLOY.md. Eight balancers have a list, one has none for 35 s.
Clients connect after 30 s, the latest time that DEPLOY.md allows, and write up to 38 s later; one server is
silent until 60 s. Exits with 1 if a connection is not established.

Options:
  --processes=N  Number of balancers [default: 16].
  --standing=N   Resumed connections per balancer [default: 150].
  --seconds=S    Time of the latest line [default: 3.5].
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from docopt import docopt
from processes import (
    BalancerProcess,
    Client,
    Clients,
    StubProcess,
    balancer_settings,
    resumed_line,
    running,
)

START_SIZES = 8, 150  # balancers with a list, resumed connections of each
CLIENTS_COME, LIST_COMES, SERVER_ANSWERS, LAST_LINE = 30.0, 35.0, 60.0, 38.0  # seconds after the start
IDLE_SECONDS = 20.0  # without a request


def wait_until(started_at, after):
    time.sleep(max(0.0, started_at + after - time.monotonic()))


def clients_of(number, address, names, standing, late, within=40.0):
    """Returns resumed clients of one balancer.

    `late` returns, by a client's index, how many seconds after connecting its line is written."""
    clients = []
    for index in range(standing):
        id, server = 10_000 * (number + 1) + index, names[index % len(names)]
        clients.append(Client(f"{id:016x}", server, address, [(late(index), resumed_line(id, server))]))
    return Clients(clients, within)


def report(groups, started_at):
    answers = Counter(
        "up" if client.up else " ".join(line.split()[0] for line in client.answers) or "nothing"
        for group in groups
        for client in group.clients
    )
    print(f"{time.monotonic() - started_at:.1f} s after the start: {dict(answers)}")
    return set(answers) != {"up"}


def processes(count, raw):
    folder = Path(tempfile.mkdtemp())
    return [BalancerProcess(folder, f"n{number}", raw) for number in range(count)]


def late(servers, count, standing, seconds):
    started_at = time.monotonic()
    with running(processes(count, balancer_settings(servers, standing))) as balancers:
        addresses = [balancer.address() for balancer in balancers]
        groups = [
            clients_of(
                number,
                address,
                servers.names,
                standing,
                lambda index: seconds * (index % 7 + 1) / 7 if index % 5 == 0 else 0.0,
            )
            for number, address in enumerate(addresses)
        ]
        for group in groups:
            group.settle()
        return report(groups, started_at)


def moves(servers):
    started_at = time.monotonic()
    with running(processes(3, balancer_settings(servers, 100))) as balancers:
        groups = [
            clients_of(number, balancer.address(), servers.names, 100, lambda index: 0.0)
            for number, balancer in enumerate(balancers)
        ]
        for group in groups:
            group.settle()
        report(groups, started_at)
        end = time.monotonic() + IDLE_SECONDS
        while time.monotonic() < end:
            for group in groups:
                group.read(0.1)
        return report(groups, started_at)


def start(servers):
    unlisted = StubProcess(0, number=1)
    unlisted.command("discovery", answering=False)
    servers.command("mode", mode="late", servers=servers.names[:1])
    count, standing = START_SIZES
    raw, started_at = balancer_settings(servers, standing), time.monotonic()
    balancers = processes(count, raw)
    balancers += processes(1, raw | {"known": None, "discovery": unlisted.discovery})
    try:
        with running(balancers):
            addresses = [balancer.address() for balancer in balancers[:-1]]
            line = balancers[-1].log.wait_for("event=listening")
            host, port = line.partition(" address=")[2].split()[0].split(":")
            addresses.append((host, int(port)))
            wait_until(started_at, CLIENTS_COME)
            groups = [
                clients_of(
                    number,
                    address,
                    servers.names,
                    standing,
                    lambda index: LAST_LINE * index / standing if index % 5 else 0.0,
                    within=CLIENTS_COME + LAST_LINE,
                )
                for number, address in enumerate(addresses)
            ]
            wait_until(started_at, LIST_COMES)
            unlisted.command("others", entries=servers.entries)
            unlisted.command("discovery", answering=True)
            wait_until(started_at, SERVER_ANSWERS)
            servers.command("mode", mode="answers")
            servers.command("release")
            for group in groups:
                group.settle()
            return report(groups, started_at)
    finally:
        unlisted.end()


def main():
    args = docopt(__doc__)
    servers = StubProcess(8)
    try:
        if args["late"]:
            counts = int(args["--processes"]), int(args["--standing"])
            return late(servers, *counts, float(args["--seconds"]))
        return moves(servers) if args["moves"] else start(servers)
    finally:
        servers.end()


if __name__ == "__main__":
    sys.exit(main())
