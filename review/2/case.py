"""Lines of a standing connection that begin with a word of the protocol: `MOVE wagon 7 to track 3`."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins import (
    BROKEN,
    HELD,
    Balancer,
    CannotRunError,
    Client,
    Discovery,
    Record,
    Server,
    play,
    settings,
    traffic_type,
)

FOLDER = Path(__file__).resolve().parent
CLIENTS = 12
DEADLINE_MS = 1800
LINES = 4  # that each client sends, one every 2 s; the answer to the second one is the line in question
# In half of the connections each. With TROUBLE=0 the same lines begin with another word.
WORDS, OTHER_WORDS = (b"MOVE", b"BYE"), (b"TAKE", b"ASK")


def answer(line: bytes, words: tuple[bytes, bytes]) -> bytes:
    """What the server sends back for `ask NUMBER of CLIENT`, at once."""
    number, client = int(line.split()[1]), int(line.split()[3])
    if number != 2:
        return b"wagon %d stands on track 3\r\n" % number
    return (words[0] + b" wagon 7 to track 3\r\n", words[1] + b" for track 3 until 14:05\r\n")[client % 2]


async def case(record: Record, folder: Path, trouble: bool) -> int:
    words = WORDS if trouble else OTHER_WORDS
    servers = [Server(record, f"s-{number}") for number in range(3)]
    for server in servers:
        server.say = lambda line: answer(line, words)
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    balancer = Balancer(
        record,
        folder,
        "n0",
        {
            "discovery": discovery.address,
            "settings": settings([traffic_type("path-view", guard_ms=DEADLINE_MS)]),
            "known": discovery.whole(),
        },
    )
    clients = [Client(record, "path-view", DEADLINE_MS) for _ in range(CLIENTS)]
    try:
        await balancer.start()
        await balancer.wait_for_pong()
        for number, client in enumerate(clients):
            client.text = lambda line, number=number: f"ask {line} of {number}"
        running = [asyncio.create_task(client.run(balancer.address)) for client in clients]
        await asyncio.wait_for(asyncio.gather(*(client.answered.wait() for client in clients)), 5)
        if not all(client.up for client in clients):
            raise CannotRunError("not all connections are up")
        await asyncio.sleep(LINES * 2.0 + 1.0)
        for client in clients:
            # No server has ended a connection, none is silent, and no client has left: a connection that has
            # ended by now was ended by the balancer, which owes the client `MOVE` before that.
            cut = bool(client.end) and client.lines[-1:] != ["MOVE"]
            record.write(
                "connection", id=client.id, sent=client.said, got=len(client.lines), ended=client.end or "no"
            )
            if cut:
                record.write("cut-off-without-move", id=client.id, after=client.lines[-1].replace(" ", "_"))
        lost = [client for client in clients if client.end and client.lines[-1:] != ["MOVE"]]
        for client in clients:
            client.leave()
        await asyncio.wait_for(asyncio.gather(*running), 5)
    finally:
        await balancer.end()
    record.write("result", connections=len(clients), cut_off_without_move=len(lost))
    return BROKEN if lost else HELD


play(case, FOLDER)
